//! An instance of the program, and which of several lives under one name counts.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;

/// The name of an instance, a zone or a member.
pub type Name = Arc<str>;

/// Longest name of an instance or a zone, bytes.
pub const LONGEST_NAME: usize = 63;

/// One life of one instance, as it tells of itself.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Instance {
    /// Its name: one of each in a fleet.
    pub name: Name,
    /// The zone in which it stands.
    pub zone: Name,
    /// Where its datagrams are taken.
    pub address: SocketAddr,
    /// Which life of that name this is: a later one has a higher number.
    pub start: u64,
    /// How often this life was declared dead while it lived, and came back.
    pub renewals: u32,
    /// Its share of duties beside others', 1 to 1000.
    pub weight: u16,
}

impl Instance {
    /// Whether names are of a form that is taken, and the weight in its range.
    pub fn is_sound(&self) -> bool {
        let named = |name: &str| (1..=LONGEST_NAME).contains(&name.len()) && name.bytes().all(is_plain);
        named(&self.name) && named(&self.zone) && (1..=1000).contains(&self.weight) && self.address.port() > 0
    }

    /// The order of lives and renewals under one name.
    pub fn age(&self) -> (u64, u32) {
        (self.start, self.renewals)
    }
}

/// Whether a byte may stand in a name: a-z, 0-9, "-", "." and "_".
pub fn is_plain(byte: u8) -> bool {
    byte.is_ascii_lowercase() || byte.is_ascii_digit() || b"-._".contains(&byte)
}

impl foca::Identity for Instance {
    /// Instances are told apart by name: a restart at another address takes the old life's place too.
    type Addr = Name;

    fn renew(&self) -> Option<Self> {
        Some(Instance { renewals: self.renewals.wrapping_add(1), ..self.clone() })
    }

    fn addr(&self) -> Name {
        self.name.clone()
    }

    fn win_addr_conflict(&self, other: &Self) -> bool {
        (self.age(), self.address) > (other.age(), other.address)
    }
}
