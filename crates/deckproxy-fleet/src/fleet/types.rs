//! Settings, effects and counters of an instance.

use crate::Millis;
use crate::health::Thresholds;
use crate::instance::{Instance, Name};
use crate::overload;
use crate::swim::SwimTiming;
use crate::view::View;
use ipnet::IpNet;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// How an instance takes part in its fleet.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The fleet's name.
    pub fleet: String,
    /// This instance.
    pub own: Instance,
    /// Networks that peers' addresses are in.
    pub prefixes: Vec<IpNet>,
    /// Addresses at which other instances may be found.
    pub seeds: Vec<SocketAddr>,
    /// Addresses of instances that are not reached at the address they announce.
    pub addresses: BTreeMap<Name, SocketAddr>,
    /// Number of instances that the fleet should have; 0: those that are known.
    pub expected_instances: usize,
    /// Most bytes that this instance sends a second.
    pub bytes_per_second: f64,
    /// From one heartbeat to the next in a small fleet, in milliseconds.
    pub heartbeat_interval: Millis,
    /// From one round of digests to the next, in milliseconds.
    pub digest_interval: Millis,
    /// A longer gap between two ticks is a pause of the process, in milliseconds.
    pub pause_threshold: Millis,
    /// Time after which a lost instance is forgotten, in milliseconds.
    pub forget_after: Millis,
    /// How quickly SWIM detects failed instances.
    pub swim: SwimTiming,
    /// Observers of a member; 0: no member is checked.
    pub observers: usize,
    /// From one health check of an observer to its next of the same member, in milliseconds.
    pub health_check_interval: Millis,
    /// Largest share of a kind's members that may be ejected, 0 to 1.
    pub max_ejected_share: f64,
    /// Time over which instances end the ejection of a member, in milliseconds.
    pub reinstatement_spread: Millis,
    /// What it takes to eject a member.
    pub thresholds: Thresholds,
    /// How overload is handled by the fleet together; `None`: it is not.
    pub overload: Option<overload::Settings>,
}

/// What an instance says of itself with each heartbeat. The order of the fields is the wire format.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Requests that are in flight.
    pub open_requests: u32,
    /// It is about to leave.
    pub leaving: bool,
    /// Instances that it knows and that have not left, itself included: an instance that starts while the fleet is split
    /// hears only of its own part, and must not take that for all of it.
    pub known_instances: u16,
}

/// A member on the platform's list.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedMember {
    /// Its number in this process.
    pub id: u32,
    /// Its name, the same on every instance.
    pub name: Name,
    /// Its zone's name.
    pub zone: Name,
    /// Its kind.
    pub kind: u32,
    /// It takes requests according to the list.
    pub ready: bool,
}

/// What the caller has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send a datagram.
    Send {
        /// The address.
        to: SocketAddr,
        /// The datagram.
        bytes: Vec<u8>,
    },
    /// Check a member's health.
    HealthCheck(u32),
    /// Eject these members, and no others, from now on.
    Eject(Vec<u32>),
    /// The instance's view of the fleet has changed.
    StatusChanged(FleetStatus),
    /// Log a line for the operators.
    Log(String),
}

/// What an instance sees of the fleet, for logs.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetStatus {
    /// Its view.
    pub view: View,
    /// Names of the instances that are alive, without ourselves.
    pub alive: Vec<Name>,
    /// Names of the instances that are lost.
    pub lost: Vec<Name>,
    /// A checksum that is equal where gossip stores have the same content.
    pub store_checksum: u64,
    /// Number of members that are ejected here.
    pub ejected: usize,
}

/// Counters since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Datagrams sent.
    pub sent: u64,
    /// Bytes sent.
    pub sent_bytes: u64,
    /// Datagrams accepted.
    pub received: u64,
    /// Datagrams dropped, in the order of [`crate::wire::DROP_REASONS`].
    pub dropped: [u64; 7],
    /// Datagrams that were not sent, as the byte budget was spent.
    pub over_budget: u64,
    /// Entries dropped at a limit of the gossip store.
    pub over_limit: u64,
    /// Health checks requested.
    pub health_checks: u64,
    /// Times that we were declared dead while alive.
    pub renewals: u64,
    /// Pauses of the process.
    pub pauses: u64,
}
