//! Which objects the caches were seen to hold lately, in bounded memory.

use crate::Millis;
use std::collections::HashSet;

/// Objects that were served, by two generations: the older is dropped when the younger is full or old.
#[derive(Debug)]
pub struct RecentlyCached {
    young: HashSet<u64>,
    old: HashSet<u64>,
    since: Millis,
    most: usize,
    span: Millis,
}

impl RecentlyCached {
    /// Remembers so many at least, twice as many at most, for `span` ms at least.
    pub fn new(most: usize, span: Millis) -> Self {
        RecentlyCached { young: HashSet::new(), old: HashSet::new(), since: 0.0, most: most.max(1), span }
    }

    /// It was served.
    pub fn served(&mut self, now: Millis, object: u64) {
        if self.young.len() >= self.most || now - self.since > self.span {
            self.old = std::mem::take(&mut self.young);
            self.since = now;
        }
        self.young.insert(object);
    }

    /// It was turned away for want of a source, or failed: it is held no more.
    pub fn lost(&mut self, object: u64) {
        self.young.remove(&object);
        self.old.remove(&object);
    }

    /// Whether it was served lately.
    pub fn has(&self, object: u64) -> bool {
        self.young.contains(&object) || self.old.contains(&object)
    }
}

#[cfg(test)]
mod tests;
