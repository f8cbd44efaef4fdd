//! Heavy hitters: the keys with the largest sums, found in bounded memory.

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
    /// The estimated sum, which is never less than the exact one.
    pub sum: u64,
    /// The largest amount by which the sum may exceed the exact one.
    pub error: u64,
}

/// Finds the keys with the largest sums by the space-saving algorithm (Metwally, Agrawal, El Abbadi 2005). A
/// sum is never underestimated, and overestimated by at most its error, which is at most the total divided by
/// the number of slots.
pub struct HeavyHitters<K> {
    capacity: usize,
    slots: Vec<HeavyHitter<K>>,
    index: HashMap<K, u32, RandomState>,
    /// Each slot once, with a sum that may be outdated (too small). Sums are updated only when the smallest is
    /// needed, so that adding to a key with a slot doesn't change the heap.
    smallest: BinaryHeap<Reverse<(u64, u32)>>,
}

impl<K: Copy + Eq + Hash> HeavyHitters<K> {
    /// Tracks `capacity` keys, at least one.
    pub fn new(capacity: usize) -> Self {
        HeavyHitters {
            capacity: capacity.max(1),
            slots: Vec::new(),
            index: HashMap::default(),
            smallest: BinaryHeap::new(),
        }
    }

    /// Adds an amount to a key's sum.
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

    /// Assigns the slot with the smallest sum to a new key, whose error is that sum.
    fn replace_smallest(&mut self, key: K, amount: u64) {
        while let Some(mut top) = self.smallest.peek_mut() {
            let Reverse((recorded_sum, slot)) = *top;
            let current = &mut self.slots[slot as usize];
            if current.sum > recorded_sum {
                *top = Reverse((current.sum, slot));
                continue;
            }
            self.index.remove(&current.key);
            *current = HeavyHitter { key, sum: recorded_sum + amount, error: recorded_sum };
            self.index.insert(key, slot);
            *top = Reverse((recorded_sum + amount, slot));
            return;
        }
    }

    /// The `count` largest sums, in descending order.
    pub fn top(&self, count: usize) -> Vec<HeavyHitter<K>> {
        let mut all = self.slots.clone();
        all.sort_unstable_by_key(|slot| Reverse(slot.sum));
        all.truncate(count);
        all
    }
}
