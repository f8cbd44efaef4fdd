//! Which requests are repeats.
//!
//! A client that was refused or failed and asks for the same object soon after repeats itself. No field of the protocol
//! says so; it is known by client and object, for a while, in bounded memory: two generations of keys, the older of which
//! is dropped when the younger is full or old.

use crate::Millis;
use ahash::RandomState;
use std::collections::HashMap;
use std::hash::Hash;

/// What is remembered of a request that was turned away.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rejection {
    /// When the client was asked back; what comes before is hasty.
    pub back: Millis,
    /// How often it was turned away, this time included.
    pub times: u32,
}

/// Requests that were turned away lately.
#[derive(Debug)]
pub struct RetryTracker {
    hasher: RandomState,
    young: HashMap<u64, Rejection>,
    old: HashMap<u64, Rejection>,
    since: Millis,
    /// Keys of one generation at most, and how long it lasts.
    most: usize,
    span: Millis,
}

impl RetryTracker {
    /// Remembers so many at least, twice as many at most, for `span` at least. The same seed gives the same keys.
    pub fn new(most: usize, span: Millis, seed: u64) -> Self {
        let hasher = RandomState::with_seeds(seed, !seed, seed.rotate_left(17), seed.rotate_left(41));
        RetryTracker {
            hasher,
            young: HashMap::new(),
            old: HashMap::new(),
            since: 0.0,
            most: most.max(1),
            span,
        }
    }

    fn key(&self, client: impl Hash, object: u64) -> u64 {
        self.hasher.hash_one((client, object))
    }

    fn turn(&mut self, now: Millis) {
        if self.young.len() >= self.most || now - self.since > self.span {
            self.old = std::mem::take(&mut self.young);
            self.since = now;
        }
    }

    /// A request was turned away, and asked back for that time.
    pub fn turned(&mut self, now: Millis, client: impl Hash, object: u64, back: Millis) {
        self.turn(now);
        let key = self.key(client, object);
        let times = self.old.remove(&key).map_or(0, |t| t.times);
        let turned = self.young.entry(key).or_insert(Rejection { back, times });
        *turned = Rejection { back, times: turned.times + 1 };
    }

    /// What is known of a request: whether it repeats one that was turned away.
    pub fn get(&mut self, now: Millis, client: impl Hash, object: u64) -> Option<Rejection> {
        self.turn(now);
        let key = self.key(client, object);
        self.young.get(&key).or(self.old.get(&key)).copied()
    }

    /// It was served: the next one is a first try.
    pub fn served(&mut self, client: impl Hash, object: u64) {
        let key = self.key(client, object);
        self.young.remove(&key);
        self.old.remove(&key);
    }

    /// Requests that are remembered.
    pub fn len(&self) -> usize {
        self.young.len() + self.old.len()
    }

    /// Whether none is.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
