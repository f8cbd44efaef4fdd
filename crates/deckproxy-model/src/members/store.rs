//! The copies of a cache or parent.

use crate::Micros;
use ahash::AHashMap;
use std::collections::VecDeque;

/// A bounded set of copies; replacement by CLOCK: a copy that was not used since the last pass of the hand
/// goes first.
#[derive(Debug, Default)]
pub struct ObjectStore {
    copies: AHashMap<u64, StoredCopy>,
    /// Objects in the order in which the hand reaches them; some may have been removed meanwhile.
    ring: VecDeque<u64>,
    capacity: usize,
}

#[derive(Clone, Copy, Debug)]
struct StoredCopy {
    /// When the origin issued it.
    issued: Micros,
    /// Whether it was used since the last pass of the hand.
    used: bool,
}

impl ObjectStore {
    /// A store for a number of objects, 0 to store nothing.
    pub fn new(capacity: usize) -> Self {
        ObjectStore { capacity, ..ObjectStore::default() }
    }

    /// When the stored copy of an object was issued; marks it as used.
    pub fn get(&mut self, object: u64) -> Option<Micros> {
        let copy = self.copies.get_mut(&object)?;
        copy.used = true;
        Some(copy.issued)
    }

    /// Stores a copy; of two copies of one object the later issued one remains.
    pub fn put(&mut self, object: u64, issued: Micros) {
        if self.capacity == 0 {
            return;
        }
        if let Some(copy) = self.copies.get_mut(&object) {
            copy.issued = copy.issued.max(issued);
            return;
        }
        self.evict_to(self.capacity - 1);
        self.copies.insert(object, StoredCopy { issued, used: false });
        self.ring.push_back(object);
    }

    fn evict_to(&mut self, remaining: usize) {
        while self.copies.len() > remaining {
            let Some(object) = self.ring.pop_front() else { break };
            match self.copies.get_mut(&object) {
                Some(copy) if copy.used => {
                    copy.used = false;
                    self.ring.push_back(object);
                }
                _ => {
                    self.copies.remove(&object);
                }
            }
        }
    }

    /// Removes the copy of an object if it was issued before a time.
    pub fn remove_issued_before(&mut self, object: u64, time: Micros) {
        if self.copies.get(&object).is_some_and(|copy| copy.issued < time) {
            // The hand skips its place in the ring.
            self.copies.remove(&object);
        }
    }

    /// Number of copies.
    pub fn len(&self) -> usize {
        self.copies.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.copies.is_empty()
    }

    /// Removes all copies.
    pub fn clear(&mut self) {
        self.copies.clear();
        self.ring.clear();
    }
}
