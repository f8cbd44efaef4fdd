//! Entries of the gossip store, their keys and the kinds of entries there are.

use crate::Millis;
use crate::instance::Name;
use serde::{Deserialize, Serialize};

/// Largest value of an entry, in bytes: several entries must fit into one datagram.
pub const LARGEST_VALUE: usize = 200;
/// Longest subject of an entry, in bytes.
pub const LONGEST_SUBJECT: usize = 64;

/// The kinds of entries. The numbers are sent over the network.
pub mod kinds {
    /// An instance's heartbeat ([`crate::fleet::Heartbeat`]).
    pub const HEARTBEAT: u8 = 0;
    /// An observer's report on a member ([`crate::health::Health`]); the subject is the member's name.
    pub const HEALTH: u8 = 1;
    /// An instance's request counts ([`crate::overload::summary::Summary`]).
    pub const SUMMARY: u8 = 2;
    /// The load shedding that the leader decided ([`crate::overload::shed_level::ShedLevel`]).
    pub const SHED_LEVEL: u8 = 3;
    /// Requests that an instance rejected ([`crate::overload::rejection_batch::RejectionBatch`]); the subject is a slot number.
    pub const REJECTIONS: u8 = 4;

    /// Kinds that change so often that stores are not compared by them.
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
    /// The key of an entry of a kind of which each author has one only.
    pub fn of_kind(kind: u8) -> Self {
        Key { kind, subject: Name::from("") }
    }
}

/// A stored entry.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// The author's version number.
    pub version: u64,
    /// When it was written, on the clock of this instance.
    pub written_at: Millis,
    /// Time to live after `written_at`, in milliseconds.
    pub ttl: u32,
    /// The value; `None` when the author withdrew the entry.
    pub value: Option<Vec<u8>>,
}

impl Entry {
    /// Whether the time to live is over.
    pub fn is_expired(&self, now: Millis) -> bool {
        now - self.written_at >= f64::from(self.ttl)
    }

    /// Time until it expires, in milliseconds.
    pub(super) fn expires_in(&self, now: Millis) -> Millis {
        self.written_at + f64::from(self.ttl) - now
    }
}

/// A live entry as [`super::GossipStore::entries_of_kind`] yields it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EntryView<'a> {
    /// Who wrote it.
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
pub(super) fn fits(key: &Key, value: Option<&Vec<u8>>) -> bool {
    key.subject.len() <= LONGEST_SUBJECT && value.is_none_or(|value| value.len() <= LARGEST_VALUE)
}
