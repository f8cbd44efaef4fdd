//! Which requests are retries.
//!
//! A client that requests the same object soon after a rejection or failure retries. No field of the protocol says so; it is
//! known by client and object, for a while, in bounded memory.

use crate::Millis;
use crate::aging_map::AgingMap;
use ahash::RandomState;

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
    rejections: AgingMap<u64, Rejection>,
}

impl RetryTracker {
    /// Remembers `capacity` requests at least, and twice as many at most, for `span` milliseconds at least. The same seed
    /// gives the same keys.
    pub fn new(capacity: usize, span: Millis, seed: u64) -> Self {
        let hasher = RandomState::with_seeds(seed, !seed, seed.rotate_left(17), seed.rotate_left(41));
        RetryTracker { hasher, rejections: AgingMap::new(capacity, span) }
    }

    fn hash(&self, request: RequestKey) -> u64 {
        self.hasher.hash_one(request)
    }

    /// A request was rejected or failed, and may be retried at that time.
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

    /// A request was served: the next one is a first attempt.
    pub fn remove(&mut self, request: RequestKey) {
        let hash = self.hash(request);
        self.rejections.remove(&hash);
    }

    /// Number of requests that are remembered.
    pub fn len(&self) -> usize {
        self.rejections.len()
    }

    /// Whether none is remembered.
    pub fn is_empty(&self) -> bool {
        self.rejections.is_empty()
    }
}
