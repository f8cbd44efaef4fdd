//! A map that forgets: two generations of keys, the older of which is dropped when the younger is full or old. Its memory is
//! bounded, and no entry needs a timer.

use crate::Millis;
use std::collections::HashMap;
use std::hash::Hash;

/// A map in bounded memory.
#[derive(Debug)]
pub struct AgingMap<K, V> {
    young: HashMap<K, V>,
    old: HashMap<K, V>,
    young_since: Millis,
    /// Most keys of the young generation.
    capacity: usize,
    /// Longest time that a generation is the young one, in milliseconds.
    span: Millis,
}

impl<K: Eq + Hash, V> AgingMap<K, V> {
    /// Remembers `capacity` keys at least, and twice as many at most, for `span` milliseconds at least.
    pub fn new(capacity: usize, span: Millis) -> Self {
        let (young, old) = (HashMap::new(), HashMap::new());
        AgingMap { young, old, young_since: 0.0, capacity: capacity.max(1), span }
    }

    /// Drops the old generation where the young one is full or old. To be called before an insertion.
    pub fn rotate(&mut self, now: Millis) {
        if self.young.len() >= self.capacity || now - self.young_since > self.span {
            self.old = std::mem::take(&mut self.young);
            self.young_since = now;
        }
    }

    /// Inserts a value into the young generation; an older value may stay behind it until its generation is dropped.
    pub fn insert(&mut self, key: K, value: V) {
        self.young.insert(key, value);
    }

    /// The last value of a key.
    pub fn get(&self, key: &K) -> Option<&V> {
        self.young.get(key).or(self.old.get(key))
    }

    /// Whether a key is remembered.
    pub fn contains(&self, key: &K) -> bool {
        self.get(key).is_some()
    }

    /// Forgets a key.
    pub fn remove(&mut self, key: &K) {
        self.young.remove(key);
        self.old.remove(key);
    }

    /// Number of keys in both generations.
    pub fn len(&self) -> usize {
        self.young.len() + self.old.len()
    }

    /// Whether no key is remembered.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
