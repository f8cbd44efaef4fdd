//! The board: small versioned entries of each instance, the same at all that hear each other.
//!
//! Each author numbers its entries in one sequence; a later number of a key takes the earlier one's place. Two instances
//! compare by a digest (the last number that each has of every author) and send what the other lacks in the order of
//! numbers, so that whoever has number N of an author has all that still counts up to N: nothing is lost for good by a
//! lost datagram, and doubled, late or old ones change nothing (the scheme of van Renesse and others, "Efficient
//! reconciliation and flow control for anti-entropy protocols", 2008). An entry ends its span after it was made,
//! wherever it has been meanwhile: its age goes with it.

use crate::Millis;
use crate::instance::Name;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

/// Most bytes of a value, and of a subject.
pub const LARGEST_VALUE: usize = 200;
/// See `LARGEST_VALUE`.
pub const LONGEST_SUBJECT: usize = 64;
/// Authors of which a digest tells at most; more are told of by turns.
const DIGEST_AUTHORS: usize = 40;

/// Kinds of entries on the board.
pub mod kinds {
    /// An instance's beat ([`crate::fleet::Beat`]).
    pub const BEAT: u8 = 0;
    /// An observer's report on a member ([`crate::health::Health`]), by the member's name.
    pub const HEALTH: u8 = 1;
    /// What an instance counted ([`crate::overload::summary::Summary`]).
    pub const SUMMARY: u8 = 2;
    /// What is cut, as one decided for all ([`crate::overload::shed_level::ShedLevel`]).
    pub const CUT: u8 = 3;
    /// Who was turned away ([`crate::overload::rejected::RejectionBatch`]), by turns.
    pub const TURNED: u8 = 4;

    /// Those that change so often that boards are not compared by them.
    pub const BRISK: [u8; 4] = [BEAT, SUMMARY, CUT, TURNED];
}

/// What an entry is about.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key {
    /// The kind of entry: who reads it.
    pub kind: u8,
    /// Whom it is about, as a member's name; may be empty.
    pub subject: Name,
}

/// An entry.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Its author's number for it.
    pub version: u64,
    /// Own time at which it was made.
    pub made: Millis,
    /// How long it counts, ms.
    pub life: u32,
    /// What it says; none: the author took it back.
    pub value: Option<Vec<u8>>,
}

/// Bounds on a board.
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

#[derive(Clone, Debug)]
struct Author {
    life: u64,
    /// All that still counts up to this number is here.
    version: u64,
    entries: BTreeMap<Key, Entry>,
}

/// How far one is with an author's entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Mark {
    /// The author, by its name's hash.
    pub author: u64,
    /// The life.
    pub life: u64,
    /// The last number.
    pub version: u64,
}

/// What one has of the board.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// The last number of the one spoken to, in its last life: whether it is heard.
    pub yours: Option<(u64, u64)>,
    /// Marks of authors. Where they are not those of all, others are told of next time.
    pub marks: Vec<Mark>,
    /// They are those of all authors.
    pub whole: bool,
    /// It asks for what is marked, and for no digest in return.
    pub answer: bool,
}

/// An entry as it is sent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Told {
    /// What it is about.
    pub key: Key,
    /// Its number.
    pub version: u64,
    /// Its age, ms.
    pub age: u32,
    /// How long it counts, ms.
    pub life: u32,
    /// What it says.
    pub value: Option<Vec<u8>>,
}

/// Entries of one author, after a number and up to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Part {
    /// The author.
    pub author: Name,
    /// The life.
    pub life: u64,
    /// What is told begins after this number.
    pub after: u64,
    /// All that counts up to this number is told.
    pub upto: u64,
    /// The entries, by number.
    pub entries: Vec<Told>,
}

/// Entries that another lacked.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Delta {
    /// By author.
    pub parts: Vec<Part>,
}

/// What taking a delta brought.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Taken {
    /// Entries that are new here.
    pub fresh: usize,
    /// Parts that an earlier life wrote.
    pub old_lives: usize,
    /// Entries past a bound.
    pub over: usize,
    /// A later life of our own name has written.
    pub own_later: Option<u64>,
}

/// The board of one instance.
#[derive(Clone, Debug)]
pub struct GossipStore {
    own: Name,
    limits: Limits,
    authors: BTreeMap<Name, Author>,
    /// Names by their hashes.
    names: BTreeMap<u64, Name>,
    turn: usize,
}

fn hash(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

fn ended(entry: &Entry, now: Millis) -> bool {
    now - entry.made >= f64::from(entry.life)
}

impl GossipStore {
    /// A board on which only its owner may write, in its present life.
    pub fn new(own: Name, life: u64, limits: Limits) -> Self {
        let mut board = GossipStore {
            own: own.clone(),
            limits,
            authors: BTreeMap::new(),
            names: BTreeMap::new(),
            turn: 0,
        };
        board.begin(own, life);
        board
    }

    fn begin(&mut self, name: Name, life: u64) {
        self.names.insert(hash(&name), name.clone());
        self.authors.insert(name, Author { life, version: 0, entries: BTreeMap::new() });
    }

    /// The owner goes on in another life: what it wrote is written anew.
    pub fn live_on(&mut self, life: u64) {
        if let Some(own) = self.authors.get_mut(&self.own) {
            own.life = life;
        }
    }

    /// Writes an entry that counts for so many ms. Tells whether there was room for it.
    pub fn write(&mut self, now: Millis, key: Key, life: u32, value: Option<Vec<u8>>) -> bool {
        let room = self.limits.entries;
        let Some(own) = self.authors.get_mut(&self.own) else { return false };
        let fits = key.subject.len() <= LONGEST_SUBJECT
            && value.as_ref().is_none_or(|v| v.len() <= LARGEST_VALUE)
            && (own.entries.len() < room || own.entries.contains_key(&key));
        if fits {
            own.version += 1;
            // Who has only the entry before this one drops that no later than all others drop this one.
            let rest = own.entries.get(&key).map_or(0.0, |old| old.made + f64::from(old.life) - now);
            let life = life.max(rest.max(0.0).ceil() as u32);
            own.entries.insert(key, Entry { version: own.version, made: now, life, value });
        }
        fits
    }

    /// The last number that the owner gave.
    pub fn last(&self) -> u64 {
        self.authors.get(&self.own).map_or(0, |a| a.version)
    }

    /// What an author says about something, with its age in ms.
    pub fn read(&self, now: Millis, author: &str, key: &Key) -> Option<(Millis, &[u8])> {
        let entry = self.authors.get(author)?.entries.get(key)?;
        let value = entry.value.as_deref().filter(|_| !ended(entry, now))?;
        Some((now - entry.made, value))
    }

    /// All that is said in entries of a kind: author, subject, age, value.
    pub fn all(&self, now: Millis, kind: u8) -> impl Iterator<Item = (&Name, &Name, Millis, &[u8])> {
        self.authors.iter().flat_map(move |(author, a)| {
            let from = Key { kind, subject: Name::from("") };
            let entries = a.entries.range(from..).take_while(move |(key, _)| key.kind == kind);
            entries.filter(move |(_, e)| !ended(e, now)).filter_map(move |(key, e)| {
                e.value.as_deref().map(|value| (author, &key.subject, now - e.made, value))
            })
        })
    }

    /// How long ago the last thing was written that is here of an author, ms; none where nothing counts any more.
    pub fn quiet(&self, now: Millis, author: &str) -> Option<Millis> {
        let entries = self.authors.get(author)?.entries.values();
        entries.map(|e| now - e.made).min_by(f64::total_cmp)
    }

    /// The life of an author that counts.
    pub fn life(&self, author: &str) -> Option<u64> {
        self.authors.get(author).map(|a| a.life)
    }

    /// Authors, and entries of all.
    pub fn sizes(&self) -> (usize, usize) {
        (self.authors.len(), self.authors.values().map(|a| a.entries.len()).sum())
    }

    /// A number that is the same for boards that say the same: authors, lives and values of all kinds but those named,
    /// whatever their numbers and ages.
    pub fn sum(&self, now: Millis, but: &[u8]) -> u64 {
        let mut sum = Xxh3::new();
        for (name, author) in &self.authors {
            let counts = |(key, e): &(&Key, &Entry)| !but.contains(&key.kind) && !ended(e, now);
            let mut said = author.entries.iter().filter(counts).filter(|(_, e)| e.value.is_some()).peekable();
            if said.peek().is_none() {
                continue;
            }
            sum.update(name.as_bytes());
            sum.update(&author.life.to_le_bytes());
            for (key, entry) in said {
                sum.update(&[0, key.kind]);
                sum.update(key.subject.as_bytes());
                sum.update(entry.value.as_deref().unwrap_or_default());
            }
        }
        sum.digest()
    }

    /// Drops what has ended. Authors stay with their life and number, so that old words of theirs stay old.
    pub fn tidy(&mut self, now: Millis) {
        for author in self.authors.values_mut() {
            author.entries.retain(|_, e| !ended(e, now));
        }
    }

    /// Forgets an author as a whole, as one that is not expected back.
    pub fn forget(&mut self, name: &str) {
        if *name != *self.own && self.authors.remove(name).is_some() {
            self.names.remove(&hash(name));
        }
    }

    // ---- Comparing -----------------------------------------------------------------------------------------

    fn mark(&self, name: &Name) -> Option<Mark> {
        let author = self.authors.get(name)?;
        Some(Mark { author: hash(name), life: author.life, version: author.version })
    }

    /// What to tell another of what is here.
    pub fn digest(&mut self, to: &str) -> Digest {
        let yours = self.authors.get(to).map(|a| (a.life, a.version));
        let whole = self.authors.len() <= DIGEST_AUTHORS;
        let skip = if whole { 0 } else { self.turn % self.authors.len() };
        self.turn = self.turn.wrapping_add(DIGEST_AUTHORS);
        let names: Vec<Name> =
            self.authors.keys().cycle().skip(skip).take(self.authors.len()).cloned().collect();
        let marks = names.iter().take(DIGEST_AUTHORS).filter_map(|name| self.mark(name));
        Digest { yours, marks: marks.collect(), whole, answer: false }
    }

    /// What another lacks that sent this digest, as many bytes as fit, and a digest of what we lack ourselves.
    pub fn compare(
        &mut self,
        now: Millis,
        from: &str,
        digest: &Digest,
        most: usize,
    ) -> (Delta, Option<Digest>) {
        let mut lacks = Vec::new();
        for mark in &digest.marks {
            let known =
                self.names.get(&mark.author).and_then(|n| self.authors.get(n).map(|a| (n.clone(), a)));
            match known {
                Some((name, a)) if a.life > mark.life => lacks.push((name, 0)),
                Some((name, a)) if a.life == mark.life && a.version > mark.version => {
                    lacks.push((name, mark.version));
                }
                _ => {}
            }
        }
        if digest.whole && !digest.answer {
            let told: std::collections::BTreeSet<u64> = digest.marks.iter().map(|m| m.author).collect();
            let untold = self.authors.keys().filter(|name| !told.contains(&hash(name)));
            lacks.extend(untold.map(|name| (name.clone(), 0)));
        }
        // Its own words are brought to whoever lacks them by an author itself first, then by turns.
        let own = self.own.clone();
        lacks.sort_by_key(|(name, _)| *name != own);
        if lacks.len() > 2 {
            let turn = self.turn % (lacks.len() - 1);
            lacks[1..].rotate_left(turn);
        }
        let delta = self.delta(now, &lacks, most);
        if digest.answer {
            return (delta, None);
        }
        let behind = digest.marks.iter().filter(|mark| {
            let here = self.names.get(&mark.author).and_then(|n| self.authors.get(n));
            here.is_none_or(|a| (a.life, a.version) < (mark.life, mark.version))
        });
        let marks: Vec<Mark> = behind
            .map(|mark| {
                let here = self.names.get(&mark.author).and_then(|n| self.authors.get(n));
                let (life, version) = here.map_or((0, 0), |a| (a.life, a.version));
                Mark { author: mark.author, life, version }
            })
            .collect();
        let yours = self.authors.get(from).map(|a| (a.life, a.version));
        let ask = (!marks.is_empty()).then_some(Digest { yours, marks, whole: false, answer: true });
        (delta, ask)
    }

    /// The owner's last entries, for those who have all before them.
    pub fn news(&self, now: Millis, after: u64, most: usize) -> Delta {
        self.delta(now, &[(self.own.clone(), after)], most)
    }

    fn delta(&self, now: Millis, lacks: &[(Name, u64)], most: usize) -> Delta {
        let mut delta = Delta::default();
        let mut room = most;
        for (name, after) in lacks {
            let Some(author) = self.authors.get(name) else { continue };
            // A name, two lives' worth of numbers, the entries' count.
            let head = name.len() + 36;
            if room < head + 32 {
                break;
            }
            room -= head;
            let mut newer: Vec<(&Key, &Entry)> =
                author.entries.iter().filter(|(_, e)| e.version > *after && !ended(e, now)).collect();
            newer.sort_by_key(|(_, e)| e.version);
            let mut part = Part {
                author: name.clone(),
                life: author.life,
                after: *after,
                upto: author.version,
                entries: Vec::new(),
            };
            for (key, entry) in newer {
                let size = key.subject.len() + entry.value.as_ref().map_or(0, Vec::len) + 24;
                if size > room {
                    // What does not fit is asked for with the next digest.
                    part.upto = part.entries.last().map_or(*after, |told| told.version);
                    break;
                }
                room -= size;
                part.entries.push(Told {
                    key: key.clone(),
                    version: entry.version,
                    age: (now - entry.made).clamp(0.0, f64::from(u32::MAX)) as u32,
                    life: entry.life,
                    value: entry.value.clone(),
                });
            }
            // Of a new life it is told also where nothing was written in it yet.
            if part.upto > *after || *after == 0 {
                delta.parts.push(part);
            }
        }
        delta
    }

    /// Takes what another told.
    pub fn take(&mut self, now: Millis, delta: Delta) -> Taken {
        let mut taken = Taken::default();
        for part in delta.parts {
            if part.author == self.own {
                let life = self.life(&self.own);
                if life.is_some_and(|life| part.life > life) {
                    taken.own_later = taken.own_later.max(Some(part.life));
                }
                continue;
            }
            match self.life(&part.author) {
                Some(life) if part.life < life => {
                    taken.old_lives += 1;
                    continue;
                }
                Some(life) if part.life == life => {}
                Some(_) => self.begin(part.author.clone(), part.life),
                None if self.authors.len() < self.limits.authors && is_name(&part.author) => {
                    self.begin(part.author.clone(), part.life);
                }
                None => {
                    taken.over += 1;
                    continue;
                }
            }
            self.take_part(now, part, &mut taken);
        }
        taken
    }

    fn take_part(&mut self, now: Millis, part: Part, taken: &mut Taken) {
        let room = self.limits.entries;
        let Some(author) = self.authors.get_mut(&part.author) else { return };
        // What lies between is not known: the next digest asks for it.
        if part.after > author.version {
            return;
        }
        for told in part.entries {
            if told.version > part.upto || told.version <= part.after {
                continue;
            }
            if told.key.subject.len() > LONGEST_SUBJECT
                || told.value.as_ref().is_some_and(|v| v.len() > LARGEST_VALUE)
                || author.entries.len() >= room && !author.entries.contains_key(&told.key)
            {
                taken.over += 1;
                continue;
            }
            let newer = author.entries.get(&told.key).is_none_or(|e| e.version < told.version);
            // One that ended was dropped here, and is no news by a number that was passed.
            if newer && told.version > author.version && told.age < told.life {
                let made = now - f64::from(told.age);
                let entry = Entry { version: told.version, made, life: told.life, value: told.value };
                author.entries.insert(told.key, entry);
                taken.fresh += 1;
            }
        }
        author.version = author.version.max(part.upto);
    }
}

fn is_name(name: &str) -> bool {
    (1..=crate::instance::LONGEST_NAME).contains(&name.len()) && name.bytes().all(crate::instance::is_plain)
}
