//! The table of flows.
//!
//! Its memory has a bound; its sums are exact at any time. When it is full, the least useful of a few entries is folded
//! into a coarser one with its counts: a wider prefix of the client first, then the class alone. What finds no place
//! even so is counted in the one entry that is always there.

use ahash::RandomState;
use hashbrown::HashTable;
use ipnet::IpNet;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::hash::Hash;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr};

/// Unix milliseconds.
pub type Millis = u64;
/// A name by its number in the caller's list; 0: none.
pub type Name = u32;

/// How the table is set.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Entries, at most; 16 at least.
    pub entries: usize,
    /// Bits of a client's IPv4 and IPv6 address that tell clients apart.
    pub bits: (u8, u8),
    /// The same once an entry is folded.
    pub folded_bits: (u8, u8),
    /// A flow is told after so long, though it goes on.
    pub active: Millis,
    /// A flow that rested for so long has ended.
    pub idle: Millis,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { entries: 16_384, bits: (32, 64), folded_bits: (16, 40), active: 60_000, idle: 15_000 }
    }
}

/// How requests ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Outcome {
    /// Served.
    Served,
    /// Refused.
    Refused,
    /// Failed.
    Failed,
    /// Cut off, or given up by the client.
    Cut,
    /// Turned away, as it could not be used.
    Unusable,
    /// A cache answered that it has no copy.
    Missed,
}

/// Between whom the bytes went. Bytes of one leg are never summed with another's.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Leg {
    /// A client and the gateway.
    Client,
    /// The gateway and a cache, parent or origin: one flow for each that was asked, so that repeats show.
    Member,
    /// The gateway and one of another site.
    Link,
}

/// How many legs there are, and which.
const LEGS: usize = 3;
const LEGS_IN_ORDER: [Leg; LEGS] = [Leg::Client, Leg::Member, Leg::Link];

/// What tells flows apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Key {
    /// Between whom.
    pub leg: Leg,
    /// The client, as a prefix; none: all.
    pub client: Option<IpNet>,
    /// The class; 0: all.
    pub class: Name,
    /// The member that was asked; 0: none.
    pub member: Name,
    /// The site at the other end of the link; 0: none was crossed.
    pub site: Name,
    /// How it ended; none: any way.
    pub outcome: Option<Outcome>,
    /// How coarse it is: 0 as set, 1 by the wider prefix, 2 without a client, 3 all that found no place.
    pub folded: u8,
}

impl Key {
    /// All of a leg.
    pub const fn of(leg: Leg) -> Self {
        Key { leg, client: None, class: 0, member: 0, site: 0, outcome: None, folded: 0 }
    }

    /// The entry of a leg that is always there.
    const fn rest(leg: Leg) -> Self {
        Key { folded: 3, ..Key::of(leg) }
    }
}

/// What is counted at one time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Update {
    /// Bytes towards the client, and from it.
    pub out: u64,
    /// See `out`.
    pub back: u64,
    /// Requests that ended.
    pub requests: u64,
    /// How long the request took, microseconds; with one request.
    pub latency: Option<u64>,
}

/// Latencies by powers of two from 64 µs on.
const BUCKETS: usize = 20;

/// What a flow has counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Counts {
    /// Bytes towards the client, and from it.
    pub out: u64,
    /// See `out`.
    pub back: u64,
    /// Requests that ended.
    pub requests: u64,
    /// First and last time at which something was counted.
    pub first: Millis,
    /// See `first`.
    pub last: Millis,
    latencies: [u32; BUCKETS],
}

impl Counts {
    fn new(now: Millis) -> Self {
        Counts { out: 0, back: 0, requests: 0, first: now, last: now, latencies: [0; BUCKETS] }
    }

    fn add(&mut self, now: Millis, update: &Update) {
        self.out += update.out;
        self.back += update.back;
        self.requests += update.requests;
        // A clock that was set back makes no flow begin after it ended.
        self.first = self.first.min(now);
        self.last = self.last.max(now);
        if let Some(latency) = update.latency {
            let bucket = (u64::BITS - (latency / 64).leading_zeros()) as usize;
            let bucket = &mut self.latencies[bucket.min(BUCKETS - 1)];
            *bucket = bucket.saturating_add(1);
        }
    }

    /// Adds another flow's.
    pub fn merge(&mut self, other: &Counts) {
        self.out += other.out;
        self.back += other.back;
        self.requests += other.requests;
        self.first = self.first.min(other.first);
        self.last = self.last.max(other.last);
        for (own, other) in self.latencies.iter_mut().zip(other.latencies) {
            *own = own.saturating_add(other);
        }
    }

    /// A latency that 99 of 100 requests do not exceed, microseconds: the upper end of its bucket, at most twice too
    /// much; 0 where none was told.
    pub fn p99(&self) -> u64 {
        let all: u64 = self.latencies.iter().map(|n| u64::from(*n)).sum();
        let mut below = 0;
        for (i, n) in self.latencies.iter().enumerate() {
            below += u64::from(*n);
            if all > 0 && below * 100 >= all * 99 {
                return 64 << i;
            }
        }
        0
    }
}

/// Why a flow is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// It rested.
    Idle,
    /// It goes on.
    Active,
    /// The process ends.
    End,
}

/// A flow to be told.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Flow {
    /// What it is.
    pub key: Key,
    /// What it counted.
    pub counts: Counts,
    /// Why it is told.
    pub reason: Reason,
}

struct Entry {
    key: Key,
    counts: Counts,
}

/// Entries looked at for one that may be folded, and folds tried for one place.
const LOOKED_AT: usize = 8;
const FOLDS: usize = 16;

/// The table.
pub struct Meter {
    limits: Limits,
    /// Places of the entries by the hashes of their keys, which stand in the entries alone.
    index: HashTable<u32>,
    /// Keyed anew by each process: who chooses addresses can't choose hashes.
    hasher: RandomState,
    entries: Vec<Entry>,
    /// What found no place, by leg.
    rest: [Option<Counts>; LEGS],
    /// Where the next look for something to fold, and the next look for flows to tell, begins.
    hand: usize,
    teller: usize,
    /// Folds so far, and updates that went to the one entry that is always there.
    pub folds: u64,
    /// See `folds`.
    pub overflows: u64,
}

/// The first bits of an address.
fn prefix(client: IpAddr, bits: (u8, u8)) -> IpNet {
    let net = match client {
        IpAddr::V4(v4) => {
            let bits = bits.0.min(32);
            let mask = u32::MAX.checked_shl(32 - u32::from(bits)).unwrap_or(0);
            IpNet::new(Ipv4Addr::from(u32::from(v4) & mask).into(), bits)
        }
        IpAddr::V6(v6) => {
            let bits = bits.1.min(128);
            let mask = u128::MAX.checked_shl(128 - u32::from(bits)).unwrap_or(0);
            IpNet::new(Ipv6Addr::from(u128::from(v6) & mask).into(), bits)
        }
    };
    // The bits were held to what the family has.
    net.unwrap_or(IpNet::from(client))
}

impl Meter {
    /// An empty table.
    pub fn new(limits: Limits) -> Self {
        let limits = Limits { entries: limits.entries.max(16), ..limits };
        Meter {
            limits,
            index: HashTable::new(),
            hasher: RandomState::new(),
            entries: Vec::new(),
            rest: [None; LEGS],
            hand: 0,
            teller: 0,
            folds: 0,
            overflows: 0,
        }
    }

    /// The prefix by which a client is told from others.
    pub fn client(&self, address: IpAddr) -> IpNet {
        prefix(address.to_canonical(), self.limits.bits)
    }

    /// How many entries there are.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether nothing is counted.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty() && self.rest.iter().all(Option::is_none)
    }

    /// Bytes that the table takes.
    pub fn size(&self) -> usize {
        // A slot of the index holds a number and a byte of control; it is filled to 7 of 8 at most.
        self.entries.capacity() * size_of::<Entry>() + self.index.capacity() * 8 / 7 * (size_of::<u32>() + 1)
    }

    /// Where the entry of a key is.
    fn find(&self, key: &Key) -> Option<usize> {
        let same = |at: &u32| self.entries[*at as usize].key == *key;
        self.index.find(self.hasher.hash_one(key), same).map(|at| *at as usize)
    }

    /// Counts.
    pub fn count(&mut self, now: Millis, key: Key, update: &Update) {
        if let Some(at) = self.find(&key) {
            return self.entries[at].counts.add(now, update);
        }
        if self.entries.len() < self.limits.entries || self.make_room() {
            let mut counts = Counts::new(now);
            counts.add(now, update);
            return self.insert(key, counts);
        }
        // No place: the coarser entry for it, where there is one.
        let mut coarse = Some(key);
        while let Some(wider) = coarse {
            if let Some(at) = self.find(&wider) {
                return self.entries[at].counts.add(now, update);
            }
            coarse = self.coarser(&wider);
        }
        self.overflows += 1;
        self.rest[key.leg as usize].get_or_insert_with(|| Counts::new(now)).add(now, update);
    }

    fn insert(&mut self, key: Key, counts: Counts) {
        let hash = self.hasher.hash_one(key);
        let at = self.entries.len() as u32;
        self.entries.push(Entry { key, counts });
        let (entries, hasher) = (&self.entries, &self.hasher);
        self.index.insert_unique(hash, at, |at| hasher.hash_one(entries[*at as usize].key));
    }

    fn remove(&mut self, at: usize) -> Entry {
        let hash = |key: &Key| self.hasher.hash_one(key);
        let last = self.entries.len() - 1;
        if let Ok(slot) = self.index.find_entry(hash(&self.entries[at].key), |i| *i as usize == at) {
            slot.remove();
        }
        // The last one takes its place.
        if last != at
            && let Some(slot) = self.index.find_mut(hash(&self.entries[last].key), |i| *i as usize == last)
        {
            *slot = at as u32;
        }
        self.entries.swap_remove(at)
    }

    /// The key into which one is folded.
    fn coarser(&self, key: &Key) -> Option<Key> {
        match key.folded {
            0 => {
                let client = key.client.map(|net| prefix(net.addr(), self.limits.folded_bits));
                Some(Key { client, folded: 1, ..*key })
            }
            1 => Some(Key { client: None, member: 0, site: 0, folded: 2, ..*key }),
            _ => None,
        }
    }

    /// Folds until an entry is free. Tells whether one is.
    fn make_room(&mut self) -> bool {
        for _ in 0..FOLDS {
            let count = self.entries.len();
            let some = (0..LOOKED_AT.min(count)).map(|i| (self.hand + i) % count);
            let weight = |at: &usize| {
                let counts = &self.entries[*at].counts;
                counts.out + counts.back
            };
            let least = some.filter(|at| self.entries[*at].key.folded < 2).min_by_key(weight);
            self.hand = (self.hand + LOOKED_AT) % count;
            let Some(at) = least else { continue };
            let Some(coarse) = self.coarser(&self.entries[at].key) else { continue };
            self.folds += 1;
            let entry = self.remove(at);
            match self.find(&coarse) {
                Some(other) => {
                    self.entries[other].counts.merge(&entry.counts);
                    return true;
                }
                None => self.insert(coarse, entry.counts),
            }
        }
        false
    }

    /// Looks at some entries in turn, and hands over the flows that are to be told. Tells whether it came round.
    pub fn tell(&mut self, now: Millis, looks: usize, out: &mut Vec<Flow>) -> bool {
        if self.teller == 0 {
            for (leg, rest) in LEGS_IN_ORDER.into_iter().zip(&mut self.rest) {
                if let Some(counts) = rest.take_if(|c| now.saturating_sub(c.first) >= self.limits.active) {
                    out.push(Flow { key: Key::rest(leg), counts, reason: Reason::Active });
                }
            }
        }
        for _ in 0..looks {
            let Some(entry) = self.entries.get(self.teller) else {
                self.teller = 0;
                return true;
            };
            let counts = entry.counts;
            let reason = match (now.saturating_sub(counts.last), now.saturating_sub(counts.first)) {
                (rested, _) if rested >= self.limits.idle => Reason::Idle,
                (_, lasts) if lasts >= self.limits.active => Reason::Active,
                // What seems to come from the future was counted before the clock was set back.
                _ if counts.first > now + self.limits.active => Reason::Active,
                _ => {
                    self.teller += 1;
                    continue;
                }
            };
            // Also one that goes on leaves: its next update begins it anew, and nothing is counted twice.
            let entry = self.remove(self.teller);
            out.push(Flow { key: entry.key, counts, reason });
        }
        false
    }

    /// Hands over all flows: the process ends.
    pub fn end(&mut self) -> Vec<Flow> {
        self.index.clear();
        let all = std::mem::take(&mut self.entries).into_iter().map(|e| (e.key, e.counts));
        let rest = LEGS_IN_ORDER.into_iter().zip(std::mem::take(&mut self.rest));
        let all = all.chain(rest.filter_map(|(leg, counts)| counts.map(|c| (Key::rest(leg), c))));
        all.map(|(key, counts)| Flow { key, counts, reason: Reason::End }).collect()
    }
}

/// The keys with the greatest sums, in bounded memory: space-saving (Metwally, Agrawal, El Abbadi 2005). A sum is never
/// too small, and too great by its error at most, which is below the total divided by the number of places.
pub struct Top<K> {
    places: usize,
    slots: Vec<(K, u64, u64)>,
    index: HashMap<K, u32, RandomState>,
    /// Each slot once, under a sum that it had: brought up to date only when the least is looked for, so that adding to
    /// a key that has a place moves nothing.
    least: BinaryHeap<Reverse<(u64, u32)>>,
}

impl<K: Copy + Eq + Hash> Top<K> {
    /// With so many places, one at least.
    pub fn new(places: usize) -> Self {
        Top { places: places.max(1), slots: Vec::new(), index: HashMap::default(), least: BinaryHeap::new() }
    }

    /// Adds to a key's sum.
    pub fn add(&mut self, key: K, amount: u64) {
        if let Some(at) = self.index.get(&key) {
            self.slots[*at as usize].1 += amount;
            return;
        }
        if self.slots.len() < self.places {
            let at = self.slots.len() as u32;
            self.slots.push((key, amount, 0));
            self.least.push(Reverse((amount, at)));
            self.index.insert(key, at);
            return;
        }
        // The least gives its place, and its sum, which is the error from now on.
        while let Some(mut top) = self.least.peek_mut() {
            let Reverse((sum, at)) = *top;
            let (old, now, _) = self.slots[at as usize];
            if now > sum {
                *top = Reverse((now, at));
                continue;
            }
            self.index.remove(&old);
            self.slots[at as usize] = (key, sum + amount, sum);
            self.index.insert(key, at);
            *top = Reverse((sum + amount, at));
            return;
        }
    }

    /// The greatest, each with its sum and the error of that.
    pub fn top(&self, count: usize) -> Vec<(K, u64, u64)> {
        let mut all = self.slots.clone();
        all.sort_unstable_by_key(|(_, sum, _)| Reverse(*sum));
        all.truncate(count);
        all
    }
}
