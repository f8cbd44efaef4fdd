//! Objects that the caches were seen to hold lately, in bounded memory.

use crate::Millis;
use deckproxy_recovery::aging_map::AgingMap;

/// Objects that were served.
#[derive(Debug)]
pub struct RecentlyCached {
    objects: AgingMap<u64, ()>,
}

impl RecentlyCached {
    /// Remembers `capacity` objects at least, and twice as many at most, for `span` milliseconds at least.
    pub fn new(capacity: usize, span: Millis) -> Self {
        RecentlyCached { objects: AgingMap::new(capacity, span) }
    }

    /// The object was served.
    pub fn insert(&mut self, now: Millis, object: u64) {
        self.objects.rotate(now);
        self.objects.insert(object, ());
    }

    /// A request for the object was rejected or failed: it is not cached any more.
    pub fn remove(&mut self, object: u64) {
        self.objects.remove(&object);
    }

    /// Whether the object was served lately.
    pub fn contains(&self, object: u64) -> bool {
        self.objects.contains(&object)
    }
}

#[cfg(test)]
mod tests;
