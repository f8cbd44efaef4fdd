//! The flow table: counts the traffic by client in bounded memory; the sums are always exact.
//!
//! When the table is full, the smallest of a few entries is folded: its counts are added to an entry with a
//! coarser key, first one with a wider prefix of the client, then one of leg, class and outcome alone. An update
//! that fits in no entry is counted in the overflow entry of its leg, so that nothing is lost.
//!
//! - [`flow`]: keys, updates, counts and flows.
//! - [`heavy_hitters`]: the keys with the largest sums.

pub mod flow;
pub mod heavy_hitters;

pub use flow::{Counts, EndReason, Flow, Key, Leg, Outcome, Update};
pub use heavy_hitters::{HeavyHitter, HeavyHitters};

use ahash::RandomState;
use flow::LEGS;
use hashbrown::HashTable;
use ipnet::IpNet;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr};

/// Unix milliseconds.
pub type Millis = u64;
/// The number of a name in the caller's table; 0: none.
pub type NameId = u32;

/// Smallest capacity of the table, entries.
const MIN_ENTRIES: usize = 16;
/// Number of entries from which the one to fold is chosen.
const FOLD_CANDIDATES: usize = 8;
/// Largest number of folds that are attempted to free one entry.
const MAX_FOLDS: usize = 16;

/// Limits of the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Largest number of entries; at least 16.
    pub entries: usize,
    /// Prefix lengths of IPv4 and IPv6 clients, bits.
    pub prefix_bits: (u8, u8),
    /// Prefix lengths of IPv4 and IPv6 clients in folded entries, bits.
    pub folded_prefix_bits: (u8, u8),
    /// Age at which a flow is exported even if it continues, ms.
    pub active_timeout: Millis,
    /// Idle time after which a flow has ended, ms.
    pub idle_timeout: Millis,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            entries: 16_384,
            prefix_bits: (32, 64),
            folded_prefix_bits: (16, 40),
            active_timeout: 60_000,
            idle_timeout: 15_000,
        }
    }
}

struct Entry {
    key: Key,
    counts: Counts,
}

/// The table of flows.
pub struct Meter {
    limits: Limits,
    /// Positions of the entries, by the hashes of their keys. The keys are stored only in the entries.
    index: HashTable<u32>,
    /// Randomly keyed, so that clients can't cause hash collisions by their choice of addresses.
    hasher: RandomState,
    entries: Vec<Entry>,
    /// Overflow entries, by leg.
    overflow: [Option<Counts>; LEGS.len()],
    /// Position at which the next search for an entry to fold begins.
    fold_position: usize,
    /// Position at which the next search for flows to export begins.
    export_position: usize,
    /// Number of entries folded since the start.
    pub folds: u64,
    /// Number of updates counted in an overflow entry since the start.
    pub overflows: u64,
}

/// The network of an address with the given prefix lengths for IPv4 and IPv6.
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
    // Never an error: the prefix length is limited to the address length.
    net.unwrap_or(IpNet::from(client))
}

/// An index as 32 bits, which saves memory; the settings allow far fewer entries than 2^32.
fn index_u32(index: usize) -> u32 {
    u32::try_from(index).unwrap_or(u32::MAX)
}

impl Meter {
    /// An empty table.
    pub fn new(limits: Limits) -> Self {
        let limits = Limits { entries: limits.entries.max(MIN_ENTRIES), ..limits };
        Meter {
            limits,
            index: HashTable::new(),
            hasher: RandomState::new(),
            entries: Vec::new(),
            overflow: [None; LEGS.len()],
            fold_position: 0,
            export_position: 0,
            folds: 0,
            overflows: 0,
        }
    }

    /// The prefix by which a client is counted.
    pub fn client(&self, address: IpAddr) -> IpNet {
        prefix(address.to_canonical(), self.limits.prefix_bits)
    }

    /// Number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether nothing is counted.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty() && self.overflow.iter().all(Option::is_none)
    }

    /// Memory allocated by the table, bytes.
    pub fn memory_bytes(&self) -> usize {
        // Each bucket of the index has a position and a control byte; at most 7 of 8 buckets are filled.
        self.entries.capacity() * size_of::<Entry>() + self.index.capacity() * 8 / 7 * (size_of::<u32>() + 1)
    }

    /// The position of a key's entry.
    fn find(&self, key: &Key) -> Option<usize> {
        let is_same = |position: &u32| self.entries[*position as usize].key == *key;
        self.index.find(self.hasher.hash_one(key), is_same).map(|position| *position as usize)
    }

    /// Counts an update.
    pub fn count(&mut self, now: Millis, key: Key, update: &Update) {
        if let Some(position) = self.find(&key) {
            return self.entries[position].counts.add(now, update);
        }
        if self.entries.len() < self.limits.entries || self.try_free_entry() {
            let mut counts = Counts::new(now);
            counts.add(now, update);
            return self.insert(key, counts);
        }
        // The table is full: count the update in an existing coarser entry, or else in the overflow entry.
        let mut coarser = self.coarser(&key);
        while let Some(key) = coarser {
            if let Some(position) = self.find(&key) {
                return self.entries[position].counts.add(now, update);
            }
            coarser = self.coarser(&key);
        }
        self.overflows += 1;
        self.overflow[key.leg as usize].get_or_insert_with(|| Counts::new(now)).add(now, update);
    }

    fn insert(&mut self, key: Key, counts: Counts) {
        let hash = self.hasher.hash_one(key);
        let position = index_u32(self.entries.len());
        self.entries.push(Entry { key, counts });
        let (entries, hasher) = (&self.entries, &self.hasher);
        self.index.insert_unique(hash, position, |position| hasher.hash_one(entries[*position as usize].key));
    }

    fn remove(&mut self, position: usize) -> Entry {
        let hash = |key: &Key| self.hasher.hash_one(key);
        let last = self.entries.len() - 1;
        let is_removed = |other: &u32| *other as usize == position;
        if let Ok(slot) = self.index.find_entry(hash(&self.entries[position].key), is_removed) {
            slot.remove();
        }
        // `swap_remove` moves the last entry to the removed one's position.
        if last != position
            && let Some(slot) =
                self.index.find_mut(hash(&self.entries[last].key), |other| *other as usize == last)
        {
            *slot = index_u32(position);
        }
        self.entries.swap_remove(position)
    }

    /// The next coarser key, into which a key is folded; `None` for the coarsest ones.
    fn coarser(&self, key: &Key) -> Option<Key> {
        match key.folded {
            0 => {
                let client = key.client.map(|net| prefix(net.addr(), self.limits.folded_prefix_bits));
                Some(Key { client, folded: 1, ..*key })
            }
            1 => Some(Key { client: None, member: 0, site: 0, folded: 2, ..*key }),
            _ => None,
        }
    }

    /// Folds up to [`MAX_FOLDS`] entries until one is free. Returns whether that succeeded.
    fn try_free_entry(&mut self) -> bool {
        for _ in 0..MAX_FOLDS {
            let Some(position) = self.next_to_fold() else { continue };
            let Some(coarser) = self.coarser(&self.entries[position].key) else { continue };
            self.folds += 1;
            let entry = self.remove(position);
            match self.find(&coarser) {
                Some(other) => {
                    self.entries[other].counts.merge(&entry.counts);
                    return true;
                }
                None => self.insert(coarser, entry.counts),
            }
        }
        false
    }

    /// The position of the smallest entry that can be folded, among the next few.
    fn next_to_fold(&mut self) -> Option<usize> {
        let count = self.entries.len();
        let candidates = (0..FOLD_CANDIDATES.min(count)).map(|i| (self.fold_position + i) % count);
        let bytes = |position: &usize| {
            let counts = &self.entries[*position].counts;
            counts.bytes_to_client + counts.bytes_from_client
        };
        let smallest = candidates.filter(|position| self.entries[*position].key.folded < 2).min_by_key(bytes);
        self.fold_position = (self.fold_position + FOLD_CANDIDATES) % count;
        smallest
    }

    /// Checks up to `max_entries` entries in turn, and removes the flows that are due for export. Returns
    /// whether it reached the end of the table.
    pub fn take_due(&mut self, now: Millis, max_entries: usize, flows: &mut Vec<Flow>) -> bool {
        if self.export_position == 0 {
            self.take_due_overflow(now, flows);
        }
        for _ in 0..max_entries {
            let Some(entry) = self.entries.get(self.export_position) else {
                self.export_position = 0;
                return true;
            };
            let Some(reason) = self.export_reason(now, &entry.counts) else {
                self.export_position += 1;
                continue;
            };
            // A flow that continues is removed too: its next update starts a new record, so nothing is
            // counted twice.
            let Entry { key, counts } = self.remove(self.export_position);
            flows.push(Flow { key, counts, reason });
        }
        false
    }

    fn take_due_overflow(&mut self, now: Millis, flows: &mut Vec<Flow>) {
        for (leg, overflow) in LEGS.into_iter().zip(&mut self.overflow) {
            let is_due = |counts: &mut Counts| now.saturating_sub(counts.first) >= self.limits.active_timeout;
            if let Some(counts) = overflow.take_if(is_due) {
                flows.push(Flow { key: Key::overflow(leg), counts, reason: EndReason::Active });
            }
        }
    }

    /// Why a flow is due for export, if it is.
    fn export_reason(&self, now: Millis, counts: &Counts) -> Option<EndReason> {
        if now.saturating_sub(counts.last) >= self.limits.idle_timeout {
            return Some(EndReason::Idle);
        }
        // A flow that begins far in the future was first counted before the clock was set back.
        let is_old = now.saturating_sub(counts.first) >= self.limits.active_timeout;
        let is_future = counts.first > now + self.limits.active_timeout;
        (is_old || is_future).then_some(EndReason::Active)
    }

    /// Removes and returns all flows, when the process shuts down.
    pub fn take_all(&mut self) -> Vec<Flow> {
        self.index.clear();
        let entries = std::mem::take(&mut self.entries).into_iter().map(|entry| (entry.key, entry.counts));
        let overflow = LEGS.into_iter().zip(std::mem::take(&mut self.overflow));
        let overflow = overflow.filter_map(|(leg, counts)| counts.map(|counts| (Key::overflow(leg), counts)));
        entries.chain(overflow).map(|(key, counts)| Flow { key, counts, reason: EndReason::End }).collect()
    }
}
