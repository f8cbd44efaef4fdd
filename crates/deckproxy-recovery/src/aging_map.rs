//! A map that expires its entries by generation: it has two generations of keys, and drops the older one when
//! the younger one is full or has reached its maximum age. This bounds the memory without a timer for each
//! entry.

use crate::Millis;
use std::collections::HashMap;
use std::hash::Hash;

/// A map in bounded memory with two generations of keys.
#[derive(Debug)]
pub struct AgingMap<K, V> {
    young: HashMap<K, V>,
    old: HashMap<K, V>,
    young_since: Millis,
    /// Number of keys at which the young generation is full.
    capacity: usize,
    /// Age at which the young generation becomes the old one, in milliseconds.
    span: Millis,
}

impl<K: Eq + Hash, V> AgingMap<K, V> {
    /// An empty map of at most twice `capacity` keys. A key is retained for at least `span` milliseconds,
    /// unless `capacity` newer ones are inserted before that.
    pub fn new(capacity: usize, span: Millis) -> Self {
        let (young, old) = (HashMap::new(), HashMap::new());
        AgingMap { young, old, young_since: 0.0, capacity: capacity.max(1), span }
    }

    /// If the young generation is full or older than `span`, drops the old one and replaces it with the young one.
    /// Must be called before each insertion.
    pub fn rotate(&mut self, now: Millis) {
        if self.young.len() >= self.capacity || now - self.young_since > self.span {
            self.old = std::mem::take(&mut self.young);
            self.young_since = now;
        }
    }

    /// Inserts a value into the young generation. It hides an earlier value in the old generation until that
    /// is dropped.
    pub fn insert(&mut self, key: K, value: V) {
        self.young.insert(key, value);
    }

    /// The value that was inserted last for a key.
    pub fn get(&self, key: &K) -> Option<&V> {
        self.young.get(key).or(self.old.get(key))
    }

    /// Whether the map contains a key.
    pub fn contains(&self, key: &K) -> bool {
        self.get(key).is_some()
    }

    /// Removes a key from both generations.
    pub fn remove(&mut self, key: &K) {
        self.young.remove(key);
        self.old.remove(key);
    }

    /// Number of entries in both generations; a key that is in both counts twice.
    pub fn len(&self) -> usize {
        self.young.len() + self.old.len()
    }

    /// Whether the map has no entries.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
