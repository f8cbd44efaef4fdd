//! Datagrams between instances: their form, and why one is not believed.
//!
//! A datagram is a byte of version, eight bytes that stand for the fleet's name, a message in postcard's form, and a
//! CRC-32C over all of that. Neither says who may speak: the operators' prefixes do, and the network must.

use crate::gossip_store::{Delta, Digest};
use crate::instance::Instance;
use ipnet::IpNet;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64;

/// Largest datagram, bytes: it passes any network whole.
pub const LARGEST: usize = 1200;
/// Room that is left for a body in any case.
pub const BODY: usize = LARGEST - OVERHEAD - 2 * crate::instance::LONGEST_NAME - 40;
/// Version of the form; another one is not read.
const VERSION: u8 = 1;
/// Version, fleet and checksum.
const OVERHEAD: usize = 1 + 8 + 4;

/// What a datagram says.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Body {
    /// Who is there? `answer`: that is what this is. `known`: the last life of the one spoken to, where that is another.
    Hello {
        /// It answers one.
        answer: bool,
        /// The life that is known.
        known: Option<u64>,
    },
    /// A message of SWIM.
    Swim(Vec<u8>),
    /// What the sender has of the board.
    Digest(Digest),
    /// Entries of the board.
    Delta(Delta),
}

/// A datagram.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Packet {
    /// Who says it.
    pub from: Instance,
    /// What is said.
    pub body: Body,
}

/// Why a datagram is not believed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Doubt {
    /// From an address outside the operators' prefixes.
    Foreign,
    /// Over the largest size.
    TooLarge,
    /// Its bytes are not those that were sent, or mean nothing.
    Garbled,
    /// Of another version of the form.
    OtherVersion,
    /// Of another fleet.
    OtherFleet,
    /// An earlier life of its sender, or of ourselves, says it.
    OldLife,
    /// Of an instance that is new where as many are known as may be.
    TooMany,
}

/// Names of the doubts, in the order of their places.
pub const DOUBTS: [&str; 7] =
    ["foreign", "too_large", "garbled", "other_version", "other_fleet", "old_life", "too_many"];

/// Reads and writes the datagrams of one fleet.
#[derive(Clone, Debug)]
pub struct Wire {
    fleet: u64,
    prefixes: Vec<IpNet>,
}

impl Wire {
    /// Of a fleet's name; peers' addresses are in one of the prefixes.
    pub fn new(fleet: &str, prefixes: Vec<IpNet>) -> Self {
        Wire { fleet: xxh3_64(fleet.as_bytes()), prefixes }
    }

    /// The bytes of a packet; none where they would be too many.
    pub fn encode(&self, packet: &Packet) -> Option<Vec<u8>> {
        let mut bytes = vec![VERSION];
        bytes.extend(self.fleet.to_le_bytes());
        let mut bytes = postcard::to_extend(packet, bytes).ok()?;
        bytes.extend(crc32c::crc32c(&bytes).to_le_bytes());
        (bytes.len() <= LARGEST).then_some(bytes)
    }

    /// The packet in a datagram.
    pub fn decode(&self, from: SocketAddr, bytes: &[u8]) -> Result<Packet, Doubt> {
        if !self.prefixes.iter().any(|net| net.contains(&from.ip().to_canonical())) {
            return Err(Doubt::Foreign);
        }
        if bytes.len() > LARGEST {
            return Err(Doubt::TooLarge);
        }
        let (text, sum) = bytes.split_last_chunk::<4>().ok_or(Doubt::Garbled)?;
        if crc32c::crc32c(text) != u32::from_le_bytes(*sum) {
            return Err(Doubt::Garbled);
        }
        let (version, text) = text.split_first().ok_or(Doubt::Garbled)?;
        if *version != VERSION {
            return Err(Doubt::OtherVersion);
        }
        let (fleet, text) = text.split_first_chunk::<8>().ok_or(Doubt::Garbled)?;
        if u64::from_le_bytes(*fleet) != self.fleet {
            return Err(Doubt::OtherFleet);
        }
        match postcard::take_from_bytes::<Packet>(text) {
            Ok((packet, [])) if packet.from.is_sound() => Ok(packet),
            _ => Err(Doubt::Garbled),
        }
    }
}
