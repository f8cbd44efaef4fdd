//! An instance of the program, and which of several incarnations under one name takes precedence.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;

/// The name of an instance, a zone or a member.
pub type Name = Arc<str>;

/// Maximum length of the name of an instance or a zone, in bytes.
pub const MAX_NAME_BYTES: usize = 63;

/// One incarnation of an instance, as it describes itself. The order of the fields is the wire format.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Instance {
    /// Its name, unique in the fleet.
    pub name: Name,
    /// The zone in which it runs.
    pub zone: Name,
    /// The address at which it receives datagrams.
    pub address: SocketAddr,
    /// Distinguishes processes under the same name: a later process has a higher number.
    pub incarnation: u64,
    /// Number of times that this process was declared dead while alive, and refuted it.
    pub renewals: u32,
    /// Its weight in the distribution of health checks, 1 to 1000.
    pub weight: u16,
}

impl Instance {
    /// Whether the names are well-formed and the weight and port are in range.
    pub fn is_valid(&self) -> bool {
        is_valid_name(&self.name)
            && is_valid_name(&self.zone)
            && (1..=1000).contains(&self.weight)
            && self.address.port() > 0
    }

    /// Orders incarnations and renewals under one name; the greatest takes precedence.
    pub fn precedence(&self) -> (u64, u32) {
        (self.incarnation, self.renewals)
    }
}

/// Whether a name has 1 to [`MAX_NAME_BYTES`] bytes, all of them allowed.
pub fn is_valid_name(name: &str) -> bool {
    (1..=MAX_NAME_BYTES).contains(&name.len()) && name.bytes().all(is_name_byte)
}

/// Whether a byte is allowed in a name: a-z, 0-9, "-", "." and "_".
pub fn is_name_byte(byte: u8) -> bool {
    byte.is_ascii_lowercase() || byte.is_ascii_digit() || b"-._".contains(&byte)
}

impl foca::Identity for Instance {
    /// Instances are identified by name, so that a restart at another address replaces the earlier incarnation too.
    type Addr = Name;

    fn renew(&self) -> Option<Self> {
        Some(Instance { renewals: self.renewals.wrapping_add(1), ..self.clone() })
    }

    fn addr(&self) -> Name {
        self.name.clone()
    }

    fn win_addr_conflict(&self, other: &Self) -> bool {
        (self.precedence(), self.address) > (other.precedence(), other.address)
    }
}
