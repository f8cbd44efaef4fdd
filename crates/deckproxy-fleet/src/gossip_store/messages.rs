//! Messages by which two gossip stores are reconciled. The order of the fields is the wire format.

use super::entry::Key;
use crate::instance::Name;
use serde::{Deserialize, Serialize};

/// A point in the sequence of an author's writes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Position {
    /// The author's incarnation.
    pub incarnation: u64,
    /// The last version number in it.
    pub version: u64,
}

/// How far an instance is with the entries of one author.
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
    /// The mark's position in the author's sequence.
    pub fn position(&self) -> Position {
        Position { incarnation: self.incarnation, version: self.version }
    }
}

/// What an instance has of the store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// The sender's position in the entries of the receiver, which acknowledges what it has received from it.
    pub receiver: Option<Position>,
    /// Positions by author; where there are too many for one digest, the next one has others.
    pub marks: Vec<Mark>,
    /// `marks` covers all authors that the sender knows.
    pub complete: bool,
    /// A request for the entries after `marks`, which is not answered by another digest.
    pub is_request: bool,
}

/// An entry as it is sent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EntryUpdate {
    /// Its key.
    pub key: Key,
    /// Its version.
    pub version: u64,
    /// Time since it was written, in milliseconds.
    pub age: u32,
    /// Time to live from when it was written, in milliseconds.
    pub ttl: u32,
    /// The value; `None` when the author withdrew the entry.
    pub value: Option<Vec<u8>>,
}

/// Consecutive entries of one author.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AuthorUpdate {
    /// The author.
    pub author: Name,
    /// Its incarnation.
    pub incarnation: u64,
    /// The entries begin after this version.
    pub after: u64,
    /// All live entries up to this version are included.
    pub up_to: u64,
    /// The entries in the order of their versions.
    pub entries: Vec<EntryUpdate>,
}

/// Entries that the receiver lacks.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Delta {
    /// By author.
    pub authors: Vec<AuthorUpdate>,
}
