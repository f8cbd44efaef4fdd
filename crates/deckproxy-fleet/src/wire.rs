//! The encoding of datagrams between instances, and the reasons for which they are dropped.
//!
//! A datagram is a version byte, an eight-byte hash of the fleet's name, a message in the postcard encoding and a CRC-32C
//! over all of that. The encoding does not authenticate the sender: that is left to the configured prefixes and the network.

use crate::gossip_store::{Delta, Digest};
use crate::instance::{Instance, MAX_NAME_BYTES};
use ipnet::IpNet;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64;

/// Maximum size of a datagram, in bytes; small enough not to be fragmented.
pub const MAX_DATAGRAM_BYTES: usize = 1200;
/// Maximum size of a body, in bytes: what remains of a datagram if the sender's names have the maximum length.
pub const MAX_BODY_BYTES: usize = MAX_DATAGRAM_BYTES - FRAME_BYTES - 2 * MAX_NAME_BYTES - MAX_SENDER_BYTES;
/// Version of the encoding; datagrams of another version are dropped.
const VERSION: u8 = 1;
/// Size of the version, fleet hash and checksum, in bytes.
const FRAME_BYTES: usize = 1 + 8 + 4;
/// Maximum size of the sender without its names, in bytes: lengths, address, incarnation, renewals, weight and the body's
/// kind.
const MAX_SENDER_BYTES: usize = 40;

/// The content of a datagram. The order of the variants and fields is the wire format.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Body {
    /// A greeting to an instance that is not considered alive.
    Hello {
        /// This is the reply to a greeting.
        is_reply: bool,
        /// The receiver's last known incarnation, if it is higher than the one that the receiver uses.
        known_incarnation: Option<u64>,
    },
    /// A SWIM message.
    Swim(Vec<u8>),
    /// The versions up to which the sender has the entries of each author in the gossip store.
    Digest(Digest),
    /// Entries of the gossip store.
    Delta(Delta),
}

/// The message in a datagram.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Packet {
    /// The sender.
    pub from: Instance,
    /// The content.
    pub body: Body,
}

/// The reason for which a datagram is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DropReason {
    /// It is from an address outside the configured prefixes.
    ForeignAddress,
    /// It exceeds [`MAX_DATAGRAM_BYTES`].
    TooLarge,
    /// The checksum does not match, or the message cannot be decoded.
    Garbled,
    /// It has another version of the encoding.
    OtherVersion,
    /// It is from another fleet.
    OtherFleet,
    /// It is from an earlier incarnation of its sender, or from an instance under our own name.
    StaleIncarnation,
    /// The sender is new, and the limit on known instances is reached.
    TooManyInstances,
}

/// Names of the reasons in logs, in the order of [`DropReason`].
pub const DROP_REASONS: [&str; 7] =
    ["foreign", "too_large", "garbled", "other_version", "other_fleet", "old_incarnation", "too_many"];

/// Encodes and decodes the datagrams of one fleet.
#[derive(Clone, Debug)]
pub struct Wire {
    fleet: u64,
    prefixes: Vec<IpNet>,
}

impl Wire {
    /// Creates the codec of the fleet with this name; datagrams from addresses outside the prefixes are dropped.
    pub fn new(fleet: &str, prefixes: Vec<IpNet>) -> Self {
        Wire { fleet: xxh3_64(fleet.as_bytes()), prefixes }
    }

    /// Encodes a packet as a datagram; `None` if it would exceed [`MAX_DATAGRAM_BYTES`].
    pub fn encode(&self, packet: &Packet) -> Option<Vec<u8>> {
        let mut bytes = vec![VERSION];
        bytes.extend(self.fleet.to_le_bytes());
        let mut bytes = postcard::to_extend(packet, bytes).ok()?;
        bytes.extend(crc32c::crc32c(&bytes).to_le_bytes());
        (bytes.len() <= MAX_DATAGRAM_BYTES).then_some(bytes)
    }

    /// Checks a datagram and decodes its packet.
    ///
    /// # Errors
    /// Any [`DropReason`] but the last two, which depend on what is known of the sender.
    pub fn decode(&self, from: SocketAddr, datagram: &[u8]) -> Result<Packet, DropReason> {
        if !self.prefixes.iter().any(|prefix| prefix.contains(&from.ip().to_canonical())) {
            return Err(DropReason::ForeignAddress);
        }
        if datagram.len() > MAX_DATAGRAM_BYTES {
            return Err(DropReason::TooLarge);
        }
        let (content, checksum) = datagram.split_last_chunk::<4>().ok_or(DropReason::Garbled)?;
        if crc32c::crc32c(content) != u32::from_le_bytes(*checksum) {
            return Err(DropReason::Garbled);
        }
        let (version, content) = content.split_first().ok_or(DropReason::Garbled)?;
        if *version != VERSION {
            return Err(DropReason::OtherVersion);
        }
        let (fleet, message) = content.split_first_chunk::<8>().ok_or(DropReason::Garbled)?;
        if u64::from_le_bytes(*fleet) != self.fleet {
            return Err(DropReason::OtherFleet);
        }
        match postcard::take_from_bytes::<Packet>(message) {
            Ok((packet, [])) if packet.from.is_valid() => Ok(packet),
            _ => Err(DropReason::Garbled),
        }
    }
}
