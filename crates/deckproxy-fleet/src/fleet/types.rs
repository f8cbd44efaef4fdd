//! Settings, heartbeats, effects and counters of an instance.

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

/// Settings of an instance in its fleet.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The fleet's name.
    pub fleet: String,
    /// This instance.
    pub own: Instance,
    /// Networks from which datagrams are accepted.
    pub prefixes: Vec<IpNet>,
    /// Addresses that are contacted to find other instances.
    pub seeds: Vec<SocketAddr>,
    /// Addresses of instances that are not reachable at the address that they announce.
    pub addresses: BTreeMap<Name, SocketAddr>,
    /// Minimum number of instances that the fleet is expected to have; 0: no minimum.
    pub expected_instances: usize,
    /// Maximum number of bytes that this instance sends a second.
    pub bytes_per_second: f64,
    /// Interval between heartbeats, in milliseconds; longer in a large fleet.
    pub heartbeat_interval: Millis,
    /// Interval between rounds of digests, in milliseconds.
    pub digest_interval: Millis,
    /// Gap between two readings of the clock, in milliseconds, above which the process is considered to have been paused.
    pub pause_threshold: Millis,
    /// Time after which an instance that is lost or has left is removed, in milliseconds.
    pub forget_after: Millis,
    /// How quickly SWIM detects failed instances.
    pub swim: SwimTiming,
    /// Number of observers of each member; 0: no member is checked.
    pub observers: usize,
    /// Interval between an observer's health checks of a member, in milliseconds.
    pub health_check_interval: Millis,
    /// Maximum share of a kind's ready members that may be ejected, 0 to 1.
    pub max_ejected_share: f64,
    /// Time over which the instances spread the reinstatement of a member, in milliseconds.
    pub reinstatement_spread: Millis,
    /// Thresholds at which an observer's report on a member changes.
    pub thresholds: Thresholds,
    /// Settings of coordinated load shedding; `None`: it is disabled.
    pub overload: Option<overload::Settings>,
}

/// The value of a heartbeat: an instance's state. The order of the fields is the wire format.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Number of requests in flight.
    pub open_requests: u32,
    /// It is about to leave.
    pub leaving: bool,
    /// Number of known instances that have not left, including itself. An instance that starts while the fleet is split sees
    /// only its own partition, and must not mistake that for the whole fleet.
    pub known_instances: u16,
}

/// A member on the platform's list.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedMember {
    /// Its identifier in this process.
    pub id: u32,
    /// Its name, the same on every instance.
    pub name: Name,
    /// Its zone's name.
    pub zone: Name,
    /// Its kind; the share of ejected members is limited for each kind.
    pub kind: u32,
    /// Whether the list marks it as ready for requests.
    pub ready: bool,
}

/// An effect for the caller to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send a datagram.
    Send {
        /// The receiver's address.
        to: SocketAddr,
        /// The encoded datagram.
        bytes: Vec<u8>,
    },
    /// Check a member's health.
    HealthCheck(u32),
    /// Replace the set of ejected members with these.
    Eject(Vec<u32>),
    /// The instance's view of the fleet has changed.
    StatusChanged(FleetStatus),
    /// Log a line for operators.
    Log(String),
}

/// An instance's view of the fleet and its state, for logs.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetStatus {
    /// Its view.
    pub view: View,
    /// Names of the other instances that are alive.
    pub alive: Vec<Name>,
    /// Names of the instances that are lost.
    pub lost: Vec<Name>,
    /// A checksum of the gossip store; equal for stores with the same content.
    pub store_checksum: u64,
    /// Number of members that this instance ejects.
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
    /// Datagrams that were not sent because the byte budget was exhausted.
    pub over_budget: u64,
    /// Entries and authors dropped at a limit of the gossip store.
    pub over_limit: u64,
    /// Health checks requested.
    pub health_checks: u64,
    /// Number of times that this instance continued under a new identity, as it was declared dead while alive or raised its
    /// incarnation.
    pub renewals: u64,
    /// Pauses of the process.
    pub pauses: u64,
}
