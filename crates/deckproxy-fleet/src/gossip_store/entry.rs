//! Entries of the gossip store, their keys and their kinds.

use crate::Millis;
use crate::instance::Name;
use serde::{Deserialize, Serialize};

/// Maximum size of an entry's value, in bytes: several entries must fit into one datagram.
pub const MAX_VALUE_BYTES: usize = 200;
/// Maximum length of an entry's subject, in bytes.
pub const MAX_SUBJECT_BYTES: usize = 64;

/// The kinds of entries. The numbers are part of the wire format.
pub mod kinds {
    /// An instance's heartbeat ([`crate::fleet::Heartbeat`]).
    pub const HEARTBEAT: u8 = 0;
    /// An observer's report on a member ([`crate::health::Health`]); the subject is the member's name.
    pub const HEALTH: u8 = 1;
    /// An instance's request counts ([`crate::overload::summary::Summary`]).
    pub const SUMMARY: u8 = 2;
    /// The load shedding decided by the leader ([`crate::overload::shed_level::ShedLevel`]).
    pub const SHED_LEVEL: u8 = 3;
    /// Requests that an instance rejected ([`crate::overload::rejection_batch::RejectionBatch`]); the subject is a slot
    /// number.
    pub const REJECTIONS: u8 = 4;

    /// Kinds that change so often that they are excluded from the checksum by which stores are compared.
    pub const VOLATILE: [u8; 4] = [HEARTBEAT, SUMMARY, SHED_LEVEL, REJECTIONS];
}

/// Identifies an entry among those of its author.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key {
    /// One of [`kinds`].
    pub kind: u8,
    /// What the entry is about, such as a member's name; may be empty.
    pub subject: Name,
}

impl Key {
    /// The key for a kind of which each author has a single entry.
    pub fn of_kind(kind: u8) -> Self {
        Key { kind, subject: Name::from("") }
    }
}

/// A stored entry.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// The author's version number.
    pub version: u64,
    /// When it was written, on this instance's clock.
    pub written_at: Millis,
    /// Time to live after `written_at`, in milliseconds.
    pub ttl: u32,
    /// The value; `None` if the author withdrew the entry.
    pub value: Option<Vec<u8>>,
}

impl Entry {
    /// Whether the time to live has elapsed.
    pub fn is_expired(&self, now: Millis) -> bool {
        now - self.written_at >= f64::from(self.ttl)
    }

    /// Time until it expires, in milliseconds.
    pub(super) fn expires_in(&self, now: Millis) -> Millis {
        self.written_at + f64::from(self.ttl) - now
    }
}

/// A live entry, as returned by [`super::GossipStore::read`] and [`super::GossipStore::entries_of_kind`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EntryView<'a> {
    /// The instance that wrote it.
    pub author: &'a Name,
    /// What it is about.
    pub subject: &'a Name,
    /// Time since it was written, in milliseconds.
    pub age: Millis,
    /// Time until it expires, in milliseconds.
    pub expires_in: Millis,
    /// Its value.
    pub value: &'a [u8],
}

/// Whether a key and a value are within the size limits.
pub(super) fn is_within_limits(key: &Key, value: Option<&Vec<u8>>) -> bool {
    key.subject.len() <= MAX_SUBJECT_BYTES && value.is_none_or(|value| value.len() <= MAX_VALUE_BYTES)
}
