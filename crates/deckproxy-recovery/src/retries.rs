//! Detection of retries.
//!
//! A request of the same client for the same object soon after a rejection or failure is a retry. The
//! protocol has no field for it, so rejected and failed requests are recorded by client and object for a
//! limited time, in bounded memory.

use crate::Millis;
use crate::aging_map::AgingMap;
use ahash::RandomState;

/// Identifies a request: its retries have the same key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RequestKey {
    /// Number of the client.
    pub client: u64,
    /// Number of the object.
    pub object: u64,
}

/// The record of a request that was rejected or failed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rejection {
    /// The earliest time at which the client may retry.
    pub retry_at: Millis,
    /// Number of times that the request was rejected or failed.
    pub count: u32,
}

/// The requests that were recently rejected or failed, by the hash of their keys.
#[derive(Debug)]
pub struct RetryTracker {
    hasher: RandomState,
    rejections: AgingMap<u64, Rejection>,
}

impl RetryTracker {
    /// Records at most twice `capacity` requests. A record is retained for at least `span` milliseconds,
    /// unless `capacity` newer ones are added before that. The same seed yields the same hashes.
    pub fn new(capacity: usize, span: Millis, seed: u64) -> Self {
        let hasher = RandomState::with_seeds(seed, !seed, seed.rotate_left(17), seed.rotate_left(41));
        RetryTracker { hasher, rejections: AgingMap::new(capacity, span) }
    }

    fn hash(&self, request: RequestKey) -> u64 {
        self.hasher.hash_one(request)
    }

    /// Records that a request was rejected or failed, and may be retried from `retry_at` on.
    pub fn record(&mut self, now: Millis, request: RequestKey, retry_at: Millis) {
        self.rejections.rotate(now);
        let hash = self.hash(request);
        let earlier = self.rejections.get(&hash).map_or(0, |rejection| rejection.count);
        self.rejections.remove(&hash);
        self.rejections.insert(hash, Rejection { retry_at, count: earlier + 1 });
    }

    /// The last rejection of a request; `None`: it is a first attempt.
    pub fn get(&mut self, now: Millis, request: RequestKey) -> Option<Rejection> {
        self.rejections.rotate(now);
        self.rejections.get(&self.hash(request)).copied()
    }

    /// Removes the record of a request that was served: the next one with its key is a first attempt.
    pub fn remove(&mut self, request: RequestKey) {
        let hash = self.hash(request);
        self.rejections.remove(&hash);
    }

    /// Number of recorded requests.
    pub fn len(&self) -> usize {
        self.rejections.len()
    }

    /// Whether no request is recorded.
    pub fn is_empty(&self) -> bool {
        self.rejections.is_empty()
    }
}
