//! The messages that reconcile two gossip stores. The order of the fields is the wire format.

use super::entry::Key;
use crate::instance::Name;
use serde::{Deserialize, Serialize};

/// A point in the sequence of an author's writes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Position {
    /// The author's incarnation.
    pub incarnation: u64,
    /// The last version number in this incarnation.
    pub version: u64,
}

/// How much of one author's entries an instance has.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Mark {
    /// Hash of the author's name.
    pub author: u64,
    /// The author's incarnation.
    pub incarnation: u64,
    /// Every live entry up to this version is present.
    pub version: u64,
}

impl Mark {
    /// The position in the author's sequence that the mark denotes.
    pub fn position(&self) -> Position {
        Position { incarnation: self.incarnation, version: self.version }
    }
}

/// Summary of the entries that an instance has.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// The sender's position in the receiver's own entries; acknowledges those up to it.
    pub receiver: Option<Position>,
    /// Positions by author; if there are too many authors for one digest, the next digest covers others.
    pub marks: Vec<Mark>,
    /// `marks` covers all authors that the sender knows.
    pub complete: bool,
    /// Requests the entries after `marks`; the receiver does not respond with a digest.
    pub is_request: bool,
}

/// An entry as sent between instances.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EntryUpdate {
    /// Its key.
    pub key: Key,
    /// Its version.
    pub version: u64,
    /// Time since it was written, in milliseconds.
    pub age: u32,
    /// Time to live since it was written, in milliseconds.
    pub ttl: u32,
    /// The value; `None` if the author withdrew the entry.
    pub value: Option<Vec<u8>>,
}

/// Consecutive entries of one author.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AuthorUpdate {
    /// The author.
    pub author: Name,
    /// Its incarnation.
    pub incarnation: u64,
    /// The entries start after this version.
    pub after: u64,
    /// All live entries up to this version are included.
    pub up_to: u64,
    /// The entries, ordered by version.
    pub entries: Vec<EntryUpdate>,
}

/// Entries that the receiver lacks.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Delta {
    /// The entries, grouped by author.
    pub authors: Vec<AuthorUpdate>,
}
