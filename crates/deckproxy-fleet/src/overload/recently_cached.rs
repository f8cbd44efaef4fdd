//! Objects that the caches were seen to hold lately, in bounded memory.

use crate::Millis;
use std::collections::HashSet;

/// Objects that were served, in two generations: the older one is dropped when the younger is full or old.
#[derive(Debug)]
pub struct RecentlyCached {
    young: HashSet<u64>,
    old: HashSet<u64>,
    young_since: Millis,
    capacity: usize,
    span: Millis,
}

impl RecentlyCached {
    /// Remembers `capacity` objects at least, and twice as many at most, for `span` milliseconds at least.
    pub fn new(capacity: usize, span: Millis) -> Self {
        let (young, old) = (HashSet::new(), HashSet::new());
        RecentlyCached { young, old, young_since: 0.0, capacity: capacity.max(1), span }
    }

    /// The object was served.
    pub fn insert(&mut self, now: Millis, object: u64) {
        if self.young.len() >= self.capacity || now - self.young_since > self.span {
            self.old = std::mem::take(&mut self.young);
            self.young_since = now;
        }
        self.young.insert(object);
    }

    /// A request for the object was rejected or failed: it is not cached any more.
    pub fn remove(&mut self, object: u64) {
        self.young.remove(&object);
        self.old.remove(&object);
    }

    /// Whether the object was served lately.
    pub fn contains(&self, object: u64) -> bool {
        self.young.contains(&object) || self.old.contains(&object)
    }
}

#[cfg(test)]
mod tests;
