//! How an instance takes part, and what it is told and tells.

use crate::Millis;
use crate::health::Terms;
use crate::instance::{Instance, Name};
use crate::overload;
use crate::swim::Pace;
use crate::view::View;
use ipnet::IpNet;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// How an instance takes part.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The fleet's name.
    pub fleet: String,
    /// This instance.
    pub own: Instance,
    /// Peers' addresses are in one of these.
    pub prefixes: Vec<IpNet>,
    /// Where others may be found.
    pub seeds: Vec<SocketAddr>,
    /// Where instances are reached, if not at the address that they tell.
    pub reach: BTreeMap<Name, SocketAddr>,
    /// Instances that the fleet should have; 0: those known.
    pub size: usize,
    /// Bytes a second that this instance sends at most.
    pub bytes: f64,
    /// From one beat to the next in a small fleet, ms.
    pub beat: Millis,
    /// From one round of digests to the next, ms.
    pub round: Millis,
    /// A gap between two ticks that is longer is a pause of the process, ms.
    pub pause: Millis,
    /// After so long a lost instance is not expected back, ms.
    pub forget: Millis,
    /// How quickly the silent are found out.
    pub pace: Pace,
    /// Observers of a member; 0: none is probed.
    pub observers: usize,
    /// From one probe of an observer to its next of the same member, ms.
    pub probe: Millis,
    /// The share of a kind's members that may be held back at most, 0 to 1.
    pub most_held: f64,
    /// Milliseconds over which instances take a member back.
    pub spread: Millis,
    /// What it takes to hold a member back.
    pub terms: Terms,
    /// How overload is handled as one; none: it is not.
    pub overload: Option<overload::Settings>,
}

/// What an instance tells of itself with each beat.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Beat {
    /// Requests that are open.
    pub open: u32,
    /// It is about to go.
    pub leaving: bool,
    /// Instances that it knows and that have not left, itself among them: who starts while the fleet is split hears only of
    /// its own part, and must not take that for the whole.
    pub known: u16,
}

/// A member as the platform lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct Listed {
    /// Its number here.
    pub id: u32,
    /// Its name everywhere.
    pub name: Name,
    /// Its zone's name.
    pub zone: Name,
    /// Its kind.
    pub kind: u32,
    /// The list has it take requests.
    pub ready: bool,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send a datagram.
    Send(SocketAddr, Vec<u8>),
    /// Probe a member.
    Probe(u32),
    /// From now on these members, and no others, are held back.
    Hold(Vec<u32>),
    /// What is seen of the fleet has changed.
    Seen(Seen),
    /// A line for the operators.
    Log(String),
}

/// What an instance sees, for logs.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Seen {
    /// How sure it is.
    pub view: View,
    /// Those heard, by name, without ourselves.
    pub heard: Vec<Name>,
    /// Those taken for gone: their duties are others'.
    pub lost: Vec<Name>,
    /// A number that is the same where boards say the same.
    pub board: u64,
    /// Members that are held back here.
    pub held: usize,
}

/// Datagrams, by what became of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Sent, and their bytes.
    pub sent: u64,
    /// See `sent`.
    pub sent_bytes: u64,
    /// Taken.
    pub taken: u64,
    /// Not believed, in the order of [`crate::wire::DOUBTS`].
    pub doubted: [u64; 7],
    /// Not sent, as the budget of bytes was spent.
    pub held_back: u64,
    /// Entries dropped at a bound of the board.
    pub over: u64,
    /// Probes asked for.
    pub probes: u64,
    /// Times that we were declared dead while we lived.
    pub renewed: u64,
    /// Pauses of the process.
    pub pauses: u64,
}
