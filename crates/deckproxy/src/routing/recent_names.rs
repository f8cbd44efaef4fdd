//! The names of requests that have ended and must not run again.

use ahash::RandomState;
use std::collections::{HashSet, VecDeque};

/// Most names that are remembered; the oldest are forgotten first.
const MAX_NAMES: usize = 32 * 1024;

/// Names of ended requests that may have run and are not idempotent. They are remembered by their hashes.
#[derive(Debug, Default)]
pub struct RecentNames {
    hasher: RandomState,
    hashes: HashSet<u64>,
    /// In the order in which they were added.
    order: VecDeque<u64>,
}

impl RecentNames {
    /// Remembers a name.
    pub fn insert(&mut self, name: &str) {
        let hash = self.hasher.hash_one(name);
        if !self.hashes.insert(hash) {
            return;
        }
        self.order.push_back(hash);
        if self.order.len() > MAX_NAMES
            && let Some(oldest) = self.order.pop_front()
        {
            self.hashes.remove(&oldest);
        }
    }

    /// Whether a name is remembered.
    pub fn contains(&self, name: &str) -> bool {
        self.hashes.contains(&self.hasher.hash_one(name))
    }
}
