//! The keys with the greatest sums, in bounded memory.

use super::index_u32;
use ahash::RandomState;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::hash::Hash;

/// A key with its sum.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeavyHitter<K> {
    /// The key.
    pub key: K,
    /// Its sum, which may be too great.
    pub sum: u64,
    /// How much too great the sum may be.
    pub error: u64,
}

/// Finds the keys with the greatest sums by the space-saving algorithm (Metwally, Agrawal, El Abbadi 2005). A sum is
/// never too small, and too great by its error at most, which is below the total divided by the number of slots.
pub struct HeavyHitters<K> {
    capacity: usize,
    slots: Vec<HeavyHitter<K>>,
    index: HashMap<K, u32, RandomState>,
    /// Each slot once, under a sum that it had. It is brought up to date only when the smallest is needed, so that adding
    /// to a key that has a slot moves nothing.
    smallest: BinaryHeap<Reverse<(u64, u32)>>,
}

impl<K: Copy + Eq + Hash> HeavyHitters<K> {
    /// With so many slots, at least one.
    pub fn new(capacity: usize) -> Self {
        HeavyHitters {
            capacity: capacity.max(1),
            slots: Vec::new(),
            index: HashMap::default(),
            smallest: BinaryHeap::new(),
        }
    }

    /// Adds to a key's sum.
    pub fn add(&mut self, key: K, amount: u64) {
        if let Some(slot) = self.index.get(&key) {
            self.slots[*slot as usize].sum += amount;
            return;
        }
        if self.slots.len() < self.capacity {
            let slot = index_u32(self.slots.len());
            self.slots.push(HeavyHitter { key, sum: amount, error: 0 });
            self.smallest.push(Reverse((amount, slot)));
            self.index.insert(key, slot);
            return;
        }
        self.replace_smallest(key, amount);
    }

    /// Gives a new key the slot of the smallest sum, which is its error from then on.
    fn replace_smallest(&mut self, key: K, amount: u64) {
        while let Some(mut top) = self.smallest.peek_mut() {
            let Reverse((known_sum, slot)) = *top;
            let current = &mut self.slots[slot as usize];
            if current.sum > known_sum {
                *top = Reverse((current.sum, slot));
                continue;
            }
            self.index.remove(&current.key);
            *current = HeavyHitter { key, sum: known_sum + amount, error: known_sum };
            self.index.insert(key, slot);
            *top = Reverse((known_sum + amount, slot));
            return;
        }
    }

    /// The greatest sums, in descending order.
    pub fn top(&self, count: usize) -> Vec<HeavyHitter<K>> {
        let mut all = self.slots.clone();
        all.sort_unstable_by_key(|slot| Reverse(slot.sum));
        all.truncate(count);
        all
    }
}
