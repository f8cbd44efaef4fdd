//! A gossip store: small versioned entries of each instance, replicated to all instances that can reach each other.
//!
//! Each author numbers its entries in one sequence; a later version of a key replaces the earlier one. Two instances
//! exchange digests (the last version that each has of every author) and send each other the missing entries in the order of
//! their versions, so that an instance at version N of an author has all its live entries up to N. Later datagrams make up
//! for a lost one, and duplicate, delayed or old datagrams do no harm (the scheme of van Renesse and others,
//! "Efficient reconciliation and flow control for anti-entropy protocols", 2008). Each entry is sent with its age, so that
//! its time to live counts from when it was written, however it was forwarded.
//!
//! - `entry`: entries, keys and kinds.
//! - `messages`: digests and deltas as they are sent.
//! - `anti_entropy`: comparison of stores, and the entries that the other store lacks.
//! - `merge`: merging of the entries that another instance sent.

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
use entry::is_within_limits;
use std::collections::BTreeMap;
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

/// Limits on the size of a store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum number of authors.
    pub authors: usize,
    /// Maximum number of entries per author.
    pub entries: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { authors: 2048, entries: 1024 }
    }
}

/// The size of a store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoreSize {
    /// Number of authors.
    pub authors: usize,
    /// Number of entries of all authors.
    pub entries: usize,
}

/// The entries of one author.
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
    /// Authors' names by hash.
    names: BTreeMap<u64, Name>,
    /// Advances with each digest, so that digests and deltas rotate through the authors.
    rotation: usize,
}

/// The hash of an author's name in [`Mark::author`].
fn hash(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

impl GossipStore {
    /// Creates an empty store for its owner, the only instance that writes to it directly, in the given incarnation.
    pub fn new(own: Name, incarnation: u64, limits: Limits) -> Self {
        let mut store = GossipStore {
            own: own.clone(),
            limits,
            authors: BTreeMap::new(),
            names: BTreeMap::new(),
            rotation: 0,
        };
        store.start_incarnation(own, incarnation);
        store
    }

    fn start_incarnation(&mut self, name: Name, incarnation: u64) {
        self.names.insert(hash(&name), name.clone());
        self.authors.insert(name, Author { incarnation, version: 0, entries: BTreeMap::new() });
    }

    /// Changes the owner's incarnation number; its entries and versions are retained.
    pub fn adopt_incarnation(&mut self, incarnation: u64) {
        if let Some(own) = self.authors.get_mut(&self.own) {
            own.incarnation = incarnation;
        }
    }

    /// Writes an entry of the owner that expires after `ttl` milliseconds. Returns `false`, and writes nothing, if it
    /// exceeds a limit.
    pub fn write(&mut self, now: Millis, key: Key, ttl: u32, value: Option<Vec<u8>>) -> bool {
        let capacity = self.limits.entries;
        let Some(own) = self.authors.get_mut(&self.own) else { return false };
        let has_capacity = own.entries.len() < capacity || own.entries.contains_key(&key);
        if !is_within_limits(&key, value.as_ref()) || !has_capacity {
            return false;
        }
        own.version += 1;
        // An instance that has only the previous entry must not retain it for longer than others retain this one.
        let previous = own.entries.get(&key);
        let remaining_ttl = previous.map_or(0.0, |old| old.expires_in(now));
        let ttl = ttl.max(remaining_ttl.max(0.0).ceil() as u32);
        own.entries.insert(key, Entry { version: own.version, written_at: now, ttl, value });
        true
    }

    /// The owner's last version.
    pub fn last_version(&self) -> u64 {
        self.authors.get(&self.own).map_or(0, |own| own.version)
    }

    /// An author's live entry with this key.
    pub fn read<'a>(&'a self, now: Millis, author: &str, key: &Key) -> Option<EntryView<'a>> {
        let (author, record) = self.authors.get_key_value(author)?;
        let (key, entry) = record.entries.get_key_value(key)?;
        entry_view(now, author, key, entry)
    }

    /// All live entries of a kind, ordered by author and subject.
    pub fn entries_of_kind(&self, now: Millis, kind: u8) -> impl Iterator<Item = EntryView<'_>> {
        self.authors.iter().flat_map(move |(author, record)| {
            let from = Key::of_kind(kind);
            let entries = record.entries.range(from..).take_while(move |(key, _)| key.kind == kind);
            entries.filter_map(move |(key, entry)| entry_view(now, author, key, entry))
        })
    }

    /// Time since an author wrote the newest entry that is present, in milliseconds; `None` if there is none.
    pub fn silence(&self, now: Millis, author: &str) -> Option<Millis> {
        let entries = self.authors.get(author)?.entries.values();
        entries.map(|entry| now - entry.written_at).min_by(f64::total_cmp)
    }

    /// The known incarnation of an author.
    pub fn incarnation(&self, author: &str) -> Option<u64> {
        self.authors.get(author).map(|record| record.incarnation)
    }

    fn position(&self, author: &str) -> Option<Position> {
        self.authors.get(author).map(Author::position)
    }

    /// The size of the store.
    pub fn size(&self) -> StoreSize {
        let entries = self.authors.values().map(|author| author.entries.len()).sum();
        StoreSize { authors: self.authors.len(), entries }
    }

    /// A checksum that is equal for stores with the same live content: authors, incarnations, keys and values of all kinds
    /// but those in `except`. Versions and ages are not included.
    pub fn checksum(&self, now: Millis, except: &[u8]) -> u64 {
        let mut sum = Xxh3::new();
        for (name, author) in &self.authors {
            let is_included = |(key, entry): &(&Key, &Entry)| {
                !except.contains(&key.kind) && !entry.is_expired(now) && entry.value.is_some()
            };
            let mut live = author.entries.iter().filter(is_included).peekable();
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

    /// Drops expired entries. Authors keep their incarnation and version, so that old messages are still recognized as old.
    pub fn drop_expired(&mut self, now: Millis) {
        for author in self.authors.values_mut() {
            author.entries.retain(|_, entry| !entry.is_expired(now));
        }
    }

    /// Removes an author, such as an instance that is not expected to return. The owner is never removed.
    pub fn forget(&mut self, name: &str) {
        if *name != *self.own && self.authors.remove(name).is_some() {
            self.names.remove(&hash(name));
        }
    }
}

fn entry_view<'a>(now: Millis, author: &'a Name, key: &'a Key, entry: &'a Entry) -> Option<EntryView<'a>> {
    let value = entry.value.as_deref().filter(|_| !entry.is_expired(now))?;
    let (age, expires_in) = (now - entry.written_at, entry.expires_in(now));
    Some(EntryView { author, subject: &key.subject, age, expires_in, value })
}
