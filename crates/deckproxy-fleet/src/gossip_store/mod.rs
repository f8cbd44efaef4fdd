//! A gossip store: small versioned entries of each instance, replicated to all instances that hear each other.
//!
//! Each author numbers its entries in one sequence; a later version of a key replaces the earlier one. Two instances
//! compare by a digest (the last version that each has of every author) and send what the other lacks in the order of
//! versions, so that an instance at version N of an author has all live entries up to N: a lost datagram loses nothing for
//! good, and doubled, late or old ones change nothing (the scheme of van Renesse and others, "Efficient reconciliation and
//! flow control for anti-entropy protocols", 2008). An entry expires its time to live after it was written, whichever
//! instances passed it on: its age is sent with it.
//!
//! - `entry`: entries, keys and kinds.
//! - `messages`: digests and deltas as they are sent.
//! - `anti_entropy`: comparison of stores, and what the other one lacks.
//! - `merge`: taking up what another instance sent.

mod anti_entropy;
mod entry;
mod merge;
mod messages;

pub use anti_entropy::Comparison;
pub use entry::{Entry, EntryView, Key, MAX_SUBJECT_BYTES, MAX_VALUE_BYTES, kinds};
pub use merge::MergeOutcome;
pub use messages::{AuthorUpdate, Delta, Digest, EntryUpdate, Mark, Position};

use crate::Millis;
use crate::instance::Name;
use entry::fits;
use std::collections::BTreeMap;
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

/// Bounds on a store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Authors.
    pub authors: usize,
    /// Entries of one author.
    pub entries: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { authors: 2048, entries: 1024 }
    }
}

/// How much a store holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoreSize {
    /// Authors.
    pub authors: usize,
    /// Entries of all authors.
    pub entries: usize,
}

#[derive(Clone, Debug)]
struct Author {
    incarnation: u64,
    /// All live entries up to this version are present.
    version: u64,
    entries: BTreeMap<Key, Entry>,
}

impl Author {
    fn position(&self) -> Position {
        Position { incarnation: self.incarnation, version: self.version }
    }
}

/// The gossip store of one instance.
#[derive(Clone, Debug)]
pub struct GossipStore {
    own: Name,
    limits: Limits,
    authors: BTreeMap<Name, Author>,
    /// Names by their hashes.
    names: BTreeMap<u64, Name>,
    /// Counts up with each digest, so that authors take turns.
    turn: usize,
}

fn hash(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

impl GossipStore {
    /// An empty store in which only its owner writes, in its present incarnation.
    pub fn new(own: Name, incarnation: u64, limits: Limits) -> Self {
        let mut store = GossipStore {
            own: own.clone(),
            limits,
            authors: BTreeMap::new(),
            names: BTreeMap::new(),
            turn: 0,
        };
        store.begin_author(own, incarnation);
        store
    }

    fn begin_author(&mut self, name: Name, incarnation: u64) {
        self.names.insert(hash(&name), name.clone());
        self.authors.insert(name, Author { incarnation, version: 0, entries: BTreeMap::new() });
    }

    /// The owner continues under another incarnation number; its entries and versions stay.
    pub fn adopt_incarnation(&mut self, incarnation: u64) {
        if let Some(own) = self.authors.get_mut(&self.own) {
            own.incarnation = incarnation;
        }
    }

    /// Writes an entry of the owner; `ttl`: milliseconds after which it expires. Returns `false`, and writes nothing, where
    /// it exceeds a limit.
    pub fn write(&mut self, now: Millis, key: Key, ttl: u32, value: Option<Vec<u8>>) -> bool {
        let capacity = self.limits.entries;
        let Some(own) = self.authors.get_mut(&self.own) else { return false };
        let has_capacity = own.entries.len() < capacity || own.entries.contains_key(&key);
        if !fits(&key, value.as_ref()) || !has_capacity {
            return false;
        }
        own.version += 1;
        // An instance that has only the previous entry must not keep that for longer than others keep this one.
        let previous = own.entries.get(&key);
        let left = previous.map_or(0.0, |old| old.expires_in(now));
        let ttl = ttl.max(left.max(0.0).ceil() as u32);
        own.entries.insert(key, Entry { version: own.version, written_at: now, ttl, value });
        true
    }

    /// The owner's last version.
    pub fn last_version(&self) -> u64 {
        self.authors.get(&self.own).map_or(0, |own| own.version)
    }

    /// An author's live entry of that key.
    pub fn read<'a>(&'a self, now: Millis, author: &str, key: &Key) -> Option<EntryView<'a>> {
        let (author, record) = self.authors.get_key_value(author)?;
        let (key, entry) = record.entries.get_key_value(key)?;
        view(now, author, key, entry)
    }

    /// All live entries of a kind, by author and subject.
    pub fn entries_of_kind(&self, now: Millis, kind: u8) -> impl Iterator<Item = EntryView<'_>> {
        self.authors.iter().flat_map(move |(author, record)| {
            let from = Key::of_kind(kind);
            let entries = record.entries.range(from..).take_while(move |(key, _)| key.kind == kind);
            entries.filter_map(move |(key, entry)| view(now, author, key, entry))
        })
    }

    /// Milliseconds since an author wrote the last entry that is present; `None` where there is none.
    pub fn silence(&self, now: Millis, author: &str) -> Option<Millis> {
        let entries = self.authors.get(author)?.entries.values();
        entries.map(|entry| now - entry.written_at).min_by(f64::total_cmp)
    }

    /// The incarnation of an author that is known here.
    pub fn incarnation(&self, author: &str) -> Option<u64> {
        self.authors.get(author).map(|record| record.incarnation)
    }

    fn position(&self, author: &str) -> Option<Position> {
        self.authors.get(author).map(Author::position)
    }

    /// How much the store holds.
    pub fn size(&self) -> StoreSize {
        let entries = self.authors.values().map(|author| author.entries.len()).sum();
        StoreSize { authors: self.authors.len(), entries }
    }

    /// A checksum that is equal for stores with the same live content: authors, incarnations and values of all kinds but
    /// those in `except`, whatever the versions and ages.
    pub fn checksum(&self, now: Millis, except: &[u8]) -> u64 {
        let mut sum = Xxh3::new();
        for (name, author) in &self.authors {
            let counts = |(key, entry): &(&Key, &Entry)| {
                !except.contains(&key.kind) && !entry.is_expired(now) && entry.value.is_some()
            };
            let mut live = author.entries.iter().filter(counts).peekable();
            if live.peek().is_none() {
                continue;
            }
            sum.update(name.as_bytes());
            sum.update(&author.incarnation.to_le_bytes());
            for (key, entry) in live {
                sum.update(&[0, key.kind]);
                sum.update(key.subject.as_bytes());
                sum.update(entry.value.as_deref().unwrap_or_default());
            }
        }
        sum.digest()
    }

    /// Drops expired entries. Authors stay with their incarnation and version, so that old messages stay old.
    pub fn drop_expired(&mut self, now: Millis) {
        for author in self.authors.values_mut() {
            author.entries.retain(|_, entry| !entry.is_expired(now));
        }
    }

    /// Forgets an author altogether, such as an instance that is not expected back. The owner stays.
    pub fn forget(&mut self, name: &str) {
        if *name != *self.own && self.authors.remove(name).is_some() {
            self.names.remove(&hash(name));
        }
    }
}

fn view<'a>(now: Millis, author: &'a Name, key: &'a Key, entry: &'a Entry) -> Option<EntryView<'a>> {
    let value = entry.value.as_deref().filter(|_| !entry.is_expired(now))?;
    let (age, expires_in) = (now - entry.written_at, entry.expires_in(now));
    Some(EntryView { author, subject: &key.subject, age, expires_in, value })
}
