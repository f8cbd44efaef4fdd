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
mod tests {
    use super::*;

    #[test]
    fn what_was_served_lately_is_warm_until_it_is_lost_or_old() {
        let mut recently_cached = RecentlyCached::new(4, 1000.0);
        (0..4).for_each(|i| recently_cached.served(f64::from(i as u32), i));
        assert!((0..4).all(|i| recently_cached.has(i)));
        recently_cached.lost(2);
        assert!(!recently_cached.has(2));
        (4..12).for_each(|i| recently_cached.served(10.0, i));
        assert!(!recently_cached.has(0) && recently_cached.has(11), "two generations of four");
        recently_cached.served(1500.0, 20);
        recently_cached.served(3000.0, 21);
        assert!(!recently_cached.has(11) && recently_cached.has(20));
    }
}
