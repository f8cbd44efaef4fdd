//! Compares stores by their digests, and collects the entries that the other store lacks.

use super::messages::{AuthorUpdate, Delta, Digest, EntryUpdate, Mark, Position};
use super::{Author, GossipStore, hash};
use crate::Millis;
use crate::instance::Name;
use std::collections::BTreeSet;

/// Maximum number of authors in one digest, so that it fits into a datagram; if there are more, successive digests rotate
/// through them.
const MAX_DIGEST_AUTHORS: usize = 40;
/// Size of an author's header without the name, in bytes: two versions, the incarnation and the number of entries.
const AUTHOR_HEADER_BYTES: usize = 36;
/// Minimum space for entries after an author's header, in bytes; if less would remain, no further author is added.
const MIN_ENTRY_BYTES: usize = 32;
/// Size of an entry without its subject and value, in bytes: kind, version, age, time to live and lengths.
const ENTRY_HEADER_BYTES: usize = 24;

/// The result of comparing another instance's digest with this store.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Comparison {
    /// Entries that the other instance lacks, as many as fit.
    pub delta: Delta,
    /// A request for the entries that are missing here; `None` if there are none.
    pub request: Option<Digest>,
}

/// An author of whom another instance lacks the entries after a version.
struct Missing {
    author: Name,
    after: u64,
}

impl GossipStore {
    /// The next digest to send to an instance; advances the rotation through the authors.
    pub fn digest(&mut self, to: &str) -> Digest {
        let complete = self.authors.len() <= MAX_DIGEST_AUTHORS;
        let skip = if complete { 0 } else { self.rotation % self.authors.len() };
        self.rotation = self.rotation.wrapping_add(MAX_DIGEST_AUTHORS);
        let rotated = self.authors.iter().cycle().skip(skip).take(self.authors.len());
        let marks = rotated.take(MAX_DIGEST_AUTHORS).map(|(name, author)| mark(name, author)).collect();
        Digest { receiver: self.position(to), marks, complete, is_request: false }
    }

    /// Compares the digest that `from` sent with this store. `budget` is the maximum size of the delta, in bytes.
    pub fn compare(&mut self, now: Millis, from: &str, digest: &Digest, budget: usize) -> Comparison {
        let missing = self.missing_at_peer(digest);
        let delta = self.delta(now, &missing, budget);
        let request = if digest.is_request { None } else { self.request(from, digest) };
        Comparison { delta, request }
    }

    /// The owner's entries after a version, for an instance that has all earlier ones.
    pub fn own_entries_after(&self, now: Millis, after: u64, budget: usize) -> Delta {
        self.delta(now, &[Missing { author: self.own.clone(), after }], budget)
    }

    fn author_by_hash(&self, hash: u64) -> Option<(&Name, &Author)> {
        self.names.get(&hash).and_then(|name| self.authors.get_key_value(name))
    }

    /// The authors of whom the sender of a digest lacks entries, in the order in which they are sent.
    fn missing_at_peer(&self, digest: &Digest) -> Vec<Missing> {
        let mut missing = Vec::new();
        for mark in &digest.marks {
            let Some((name, author)) = self.author_by_hash(mark.author) else { continue };
            if author.incarnation > mark.incarnation {
                missing.push(Missing { author: name.clone(), after: 0 });
            } else if author.incarnation == mark.incarnation && author.version > mark.version {
                missing.push(Missing { author: name.clone(), after: mark.version });
            }
        }
        if digest.complete && !digest.is_request {
            let marked: BTreeSet<u64> = digest.marks.iter().map(|mark| mark.author).collect();
            let unmarked = self.authors.keys().filter(|name| !marked.contains(&hash(name)));
            missing.extend(unmarked.map(|name| Missing { author: name.clone(), after: 0 }));
        }
        // Own entries come first, as possibly no other instance has them yet. The authors after the first are rotated, so
        // that each is included in turn when not all fit.
        missing.sort_by_key(|missing| missing.author != self.own);
        if missing.len() > 2 {
            let rotation = self.rotation % (missing.len() - 1);
            missing[1..].rotate_left(rotation);
        }
        missing
    }

    /// A request for the entries that are present at the sender of a digest but missing here.
    fn request(&self, from: &str, digest: &Digest) -> Option<Digest> {
        let marks: Vec<Mark> = digest.marks.iter().filter_map(|mark| self.position_if_behind(mark)).collect();
        let receiver = self.position(from);
        (!marks.is_empty()).then_some(Digest { receiver, marks, complete: false, is_request: true })
    }

    /// This store's position, if it is behind another instance's mark.
    fn position_if_behind(&self, mark: &Mark) -> Option<Mark> {
        let here = self.author_by_hash(mark.author).map(|(_, author)| author.position());
        if here.is_some_and(|here| here >= mark.position()) {
            return None;
        }
        let Position { incarnation, version } = here.unwrap_or_default();
        Some(Mark { author: mark.author, incarnation, version })
    }

    /// The missing entries, as many as fit into `budget` bytes.
    fn delta(&self, now: Millis, missing: &[Missing], budget: usize) -> Delta {
        let mut delta = Delta::default();
        let mut remaining = budget;
        for Missing { author: name, after } in missing {
            let Some(author) = self.authors.get(name) else { continue };
            let header = name.len() + AUTHOR_HEADER_BYTES;
            if remaining < header + MIN_ENTRY_BYTES {
                break;
            }
            remaining -= header;
            let update = author_update(now, name, author, *after, &mut remaining);
            // A new incarnation is announced even before an entry is written in it.
            if update.up_to > *after || *after == 0 {
                delta.authors.push(update);
            }
        }
        delta
    }
}

fn mark(name: &Name, author: &Author) -> Mark {
    Mark { author: hash(name), incarnation: author.incarnation, version: author.version }
}

/// An author's entries after a version, as many as fit into the `remaining` bytes.
fn author_update(
    now: Millis,
    name: &Name,
    author: &Author,
    after: u64,
    remaining: &mut usize,
) -> AuthorUpdate {
    let live = author.entries.iter().filter(|(_, entry)| entry.version > after && !entry.is_expired(now));
    let mut newer: Vec<_> = live.collect();
    newer.sort_by_key(|(_, entry)| entry.version);
    let mut update = AuthorUpdate {
        author: name.clone(),
        incarnation: author.incarnation,
        after,
        up_to: author.version,
        entries: Vec::new(),
    };
    for (key, entry) in newer {
        let size = key.subject.len() + entry.value.as_ref().map_or(0, Vec::len) + ENTRY_HEADER_BYTES;
        if size > *remaining {
            // The receiver requests the rest with its next digest.
            update.up_to = update.entries.last().map_or(after, |last| last.version);
            break;
        }
        *remaining -= size;
        update.entries.push(EntryUpdate {
            key: key.clone(),
            version: entry.version,
            age: (now - entry.written_at).clamp(0.0, f64::from(u32::MAX)) as u32,
            ttl: entry.ttl,
            value: entry.value.clone(),
        });
    }
    update
}
