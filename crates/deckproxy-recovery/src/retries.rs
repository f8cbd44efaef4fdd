//! Which requests are retries.
//!
//! A client that requests the same object soon after a rejection or failure retries. No field of the protocol says so; it is
//! known by client and object, for a while, in bounded memory: two generations of keys, the older of which is dropped when
//! the younger is full or old.

use crate::Millis;
use ahash::RandomState;
use std::collections::HashMap;

/// Identifies a request and its retries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RequestKey {
    /// The client's number.
    pub client: u64,
    /// The object's number.
    pub object: u64,
}

/// What is remembered of a request that was rejected or failed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rejection {
    /// When the client may retry; before that it is too early.
    pub retry_at: Millis,
    /// How often the request was rejected or failed.
    pub count: u32,
}

/// Requests that were rejected or failed lately.
#[derive(Debug)]
pub struct RetryTracker {
    hasher: RandomState,
    young: HashMap<u64, Rejection>,
    old: HashMap<u64, Rejection>,
    young_since: Millis,
    /// Most keys of a generation.
    capacity: usize,
    /// Longest time that a generation is the young one.
    span: Millis,
}

impl RetryTracker {
    /// Remembers `capacity` requests at least, and twice as many at most, for `span` milliseconds at least. The same seed
    /// gives the same keys.
    pub fn new(capacity: usize, span: Millis, seed: u64) -> Self {
        let hasher = RandomState::with_seeds(seed, !seed, seed.rotate_left(17), seed.rotate_left(41));
        RetryTracker {
            hasher,
            young: HashMap::new(),
            old: HashMap::new(),
            young_since: 0.0,
            capacity: capacity.max(1),
            span,
        }
    }

    fn hash(&self, request: RequestKey) -> u64 {
        self.hasher.hash_one(request)
    }

    fn rotate(&mut self, now: Millis) {
        if self.young.len() >= self.capacity || now - self.young_since > self.span {
            self.old = std::mem::take(&mut self.young);
            self.young_since = now;
        }
    }

    /// A request was rejected or failed, and may be retried at that time.
    pub fn record(&mut self, now: Millis, request: RequestKey, retry_at: Millis) {
        self.rotate(now);
        let hash = self.hash(request);
        let earlier = self.old.remove(&hash).map_or(0, |rejection| rejection.count);
        let rejection = self.young.entry(hash).or_insert(Rejection { retry_at, count: earlier });
        *rejection = Rejection { retry_at, count: rejection.count + 1 };
    }

    /// The last rejection of a request; `None`: it is a first attempt.
    pub fn get(&mut self, now: Millis, request: RequestKey) -> Option<Rejection> {
        self.rotate(now);
        let hash = self.hash(request);
        self.young.get(&hash).or(self.old.get(&hash)).copied()
    }

    /// A request was served: the next one is a first attempt.
    pub fn remove(&mut self, request: RequestKey) {
        let hash = self.hash(request);
        self.young.remove(&hash);
        self.old.remove(&hash);
    }

    /// Number of requests that are remembered.
    pub fn len(&self) -> usize {
        self.young.len() + self.old.len()
    }

    /// Whether none is remembered.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
