//! Requests that were rejected here or by another instance, and when each may be retried.
//!
//! A request is identified by 32 bits of client and object; with a hundred thousand remembered, a first attempt is taken for
//! one of them with a chance of one in 43,000, which costs that client a wait. Rejections of this instance are shared in
//! batches of bounded size; those that do not fit are counted and not shared.

use super::rejection_batch::{BATCH_SIZE, RejectedRequest, RejectionBatch};
use crate::Millis;
use crate::instance::Name;
use deckproxy_recovery::aging_map::AgingMap;
use std::collections::BTreeMap;

/// Least time between two batches, in milliseconds.
const BATCH_INTERVAL: Millis = 125.0;
/// Most rejections that wait to be shared.
const PENDING: usize = 2 * BATCH_SIZE;
/// The same, with those of another instance that was restarted.
const PENDING_WITH_RESTORED: usize = 4 * BATCH_SIZE;

/// What is known of a rejected request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rejection {
    /// When it may be retried.
    pub retry_at: Millis,
    /// Capacity is reserved for it then.
    pub is_reserved: bool,
    /// It failed and may have run: its retry is not shed.
    pub may_have_run: bool,
}

impl Rejection {
    /// Whether this replaces one that is known: a reserved time counts before others, the earlier one of two, and any where
    /// the known time has passed.
    fn replaces(&self, known: &Rejection, now: Millis) -> bool {
        (self.is_reserved, -self.retry_at) > (known.is_reserved, -known.retry_at) || now > known.retry_at
    }
}

/// The last batch that was received of an author.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
struct LastBatch {
    incarnation: u64,
    number: u64,
}

/// A batch of another instance.
#[derive(Clone, Debug)]
struct ReceivedBatch {
    made_at: Millis,
    batch: RejectionBatch,
}

/// All rejected requests that are known, in bounded memory.
#[derive(Debug)]
pub struct RejectedRequests {
    rejections: AgingMap<u32, Rejection>,
    /// Time for which batches of others are kept, in milliseconds.
    span: Millis,
    /// To be shared.
    pending: Vec<RejectedRequest>,
    last_batch_at: Millis,
    batch_number: u64,
    last_batches: BTreeMap<Name, LastBatch>,
    /// Batches by author: an instance that was restarted has forgotten them.
    received: BTreeMap<Name, Vec<ReceivedBatch>>,
    /// Rejections of this instance that were not shared, as there was no capacity for them.
    pub not_shared: u64,
}

impl RejectedRequests {
    /// Remembers `capacity` requests at least, and twice as many at most, for `span` milliseconds at least.
    pub fn new(capacity: usize, span: Millis) -> Self {
        RejectedRequests {
            rejections: AgingMap::new(capacity, span),
            span,
            pending: Vec::new(),
            last_batch_at: f64::MIN,
            batch_number: 0,
            last_batches: BTreeMap::new(),
            received: BTreeMap::new(),
            not_shared: 0,
        }
    }

    /// Remembers a rejection of this instance, and shares it.
    pub fn record(&mut self, now: Millis, request: u32, rejection: Rejection) {
        self.insert(now, request, rejection);
        if self.pending.len() < PENDING {
            self.pending.push(RejectedRequest { request, rejection });
        } else {
            self.not_shared += 1;
        }
    }

    fn insert(&mut self, now: Millis, request: u32, rejection: Rejection) {
        let known = self.get(request);
        self.rejections.rotate(now);
        let kept = known.filter(|known| !rejection.replaces(known, now)).unwrap_or(rejection);
        let may_have_run = rejection.may_have_run || known.is_some_and(|known| known.may_have_run);
        self.rejections.insert(request, Rejection { may_have_run, ..kept });
    }

    /// What is known of a request.
    pub fn get(&self, request: u32) -> Option<Rejection> {
        self.rejections.get(&request).copied()
    }

    /// The request was served: the next one is a first attempt.
    pub fn remove(&mut self, request: u32) {
        self.rejections.remove(&request);
    }

    /// The next batch to share, where one is due.
    pub fn next_batch(&mut self, now: Millis) -> Option<RejectionBatch> {
        if self.pending.is_empty() || now - self.last_batch_at < BATCH_INTERVAL {
            return None;
        }
        self.last_batch_at = now;
        self.batch_number += 1;
        let count = self.pending.len().min(BATCH_SIZE);
        Some(RejectionBatch::encode(now, self.batch_number, self.pending.drain(..count)))
    }

    /// Takes up a batch of another instance's incarnation, made `age` milliseconds ago. One that is known, or older than
    /// the last, changes nothing.
    pub fn merge(
        &mut self,
        now: Millis,
        author: &Name,
        incarnation: u64,
        age: Millis,
        batch: &RejectionBatch,
    ) {
        let this = LastBatch { incarnation, number: batch.number };
        let last = self.last_batches.get(author).copied().unwrap_or_default();
        if this <= last {
            return;
        }
        self.last_batches.insert(author.clone(), this);
        for RejectedRequest { request, rejection } in batch.decode(now - age) {
            self.insert(now, request, rejection);
        }
        let received = self.received.entry(author.clone()).or_default();
        received.retain(|earlier| now - earlier.made_at < self.span);
        received.push(ReceivedBatch { made_at: now - age, batch: batch.clone() });
    }

    /// An author was restarted and has forgotten its rejections: shares them again as ours.
    pub fn reshare(&mut self, now: Millis, author: &Name) {
        for ReceivedBatch { made_at, batch } in self.received.remove(author).unwrap_or_default() {
            for rejected in batch.decode(made_at) {
                if rejected.rejection.retry_at > now && self.pending.len() < PENDING_WITH_RESTORED {
                    self.pending.push(rejected);
                }
            }
        }
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

#[cfg(test)]
mod tests;
