//! Objects that were recently served and are therefore assumed to be cached, in bounded memory.

use crate::Millis;
use deckproxy_recovery::aging_map::AgingMap;

/// The set of recently served objects.
#[derive(Debug)]
pub struct RecentlyCached {
    objects: AgingMap<u64, ()>,
}

impl RecentlyCached {
    /// Creates a set of at most twice `capacity` objects. An object is remembered for at least `span` milliseconds, unless
    /// `capacity` other objects are inserted in that time.
    pub fn new(capacity: usize, span: Millis) -> Self {
        RecentlyCached { objects: AgingMap::new(capacity, span) }
    }

    /// Records that the object was served.
    pub fn insert(&mut self, now: Millis, object: u64) {
        self.objects.rotate(now);
        self.objects.insert(object, ());
    }

    /// Removes an object, when a request for it was rejected or failed: it may not be cached any more.
    pub fn remove(&mut self, object: u64) {
        self.objects.remove(&object);
    }

    /// Whether the object was served recently.
    pub fn contains(&self, object: u64) -> bool {
        self.objects.contains(&object)
    }
}

#[cfg(test)]
mod tests;
