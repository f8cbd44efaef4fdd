//! Requests that were rejected by this or another instance, and when each may be retried.
//!
//! A request is identified by a 32-bit hash of client and object. With a hundred thousand requests remembered, a first
//! attempt is mistaken for one of them with a probability of one in 43,000; its client may have to wait without need.
//! Rejections by this instance are shared in batches of bounded size; those that do not fit are counted and not shared.

use super::rejection_batch::{BATCH_SIZE, RejectedRequest, RejectionBatch};
use crate::Millis;
use crate::instance::Name;
use deckproxy_recovery::aging_map::AgingMap;
use std::collections::BTreeMap;

/// Minimum time between two batches, in milliseconds.
const BATCH_INTERVAL: Millis = 125.0;
/// Maximum number of rejections that are queued to be shared.
const MAX_PENDING: usize = 2 * BATCH_SIZE;
/// The same limit while rejections of a restarted instance are queued again.
const MAX_PENDING_WITH_RESHARED: usize = 4 * BATCH_SIZE;

/// The state of a rejected request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rejection {
    /// Time from which the request may be retried.
    pub retry_at: Millis,
    /// Capacity is reserved for the retry at that time.
    pub is_reserved: bool,
    /// The request failed or its client disconnected, and it may have run. Its retry is not shed.
    pub may_have_run: bool,
}

impl Rejection {
    /// Whether this rejection replaces the known one. A reserved time takes precedence over others, then the earlier time;
    /// a known time that has passed is always replaced.
    fn replaces(&self, known: &Rejection, now: Millis) -> bool {
        (self.is_reserved, -self.retry_at) > (known.is_reserved, -known.retry_at) || now > known.retry_at
    }
}

/// Identifies the last batch that was received from an author.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
struct LastBatch {
    incarnation: u64,
    number: u64,
}

/// A batch received from another instance.
#[derive(Clone, Debug)]
struct ReceivedBatch {
    created_at: Millis,
    batch: RejectionBatch,
}

/// All known rejected requests, in bounded memory.
#[derive(Debug)]
pub struct RejectedRequests {
    rejections: AgingMap<u32, Rejection>,
    /// Time for which batches of other instances are retained, in milliseconds.
    span: Millis,
    /// Rejections queued to be shared.
    pending: Vec<RejectedRequest>,
    last_batch_at: Millis,
    batch_number: u64,
    last_batches: BTreeMap<Name, LastBatch>,
    /// Received batches by author, to be shared again when the author is restarted and has lost them.
    received: BTreeMap<Name, Vec<ReceivedBatch>>,
    /// Rejections by this instance that were not shared because the queue was full.
    pub not_shared: u64,
}

impl RejectedRequests {
    /// Creates a map of at most twice `capacity` requests. A request is remembered for at least `span` milliseconds, unless
    /// `capacity` other requests are inserted in that time.
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

    /// Records a rejection by this instance, and queues it to be shared.
    pub fn record(&mut self, now: Millis, request: u32, rejection: Rejection) {
        self.insert(now, request, rejection);
        if self.pending.len() < MAX_PENDING {
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

    /// The known rejection of a request.
    pub fn get(&self, request: u32) -> Option<Rejection> {
        self.rejections.get(&request).copied()
    }

    /// Removes a request that was served: the next request with this identifier is a first attempt.
    pub fn remove(&mut self, request: u32) {
        self.rejections.remove(&request);
    }

    /// Returns the next batch to share, if one is due.
    pub fn next_batch(&mut self, now: Millis) -> Option<RejectionBatch> {
        if self.pending.is_empty() || now - self.last_batch_at < BATCH_INTERVAL {
            return None;
        }
        self.last_batch_at = now;
        self.batch_number += 1;
        let count = self.pending.len().min(BATCH_SIZE);
        Some(RejectionBatch::encode(now, self.batch_number, self.pending.drain(..count)))
    }

    /// Merges a batch that an incarnation of another instance made `age` milliseconds ago. A batch that is not newer than
    /// the last one of its author is ignored.
    pub fn merge(
        &mut self,
        now: Millis,
        author: &Name,
        incarnation: u64,
        age: Millis,
        batch: &RejectionBatch,
    ) {
        let received_batch = LastBatch { incarnation, number: batch.number };
        let last = self.last_batches.get(author).copied().unwrap_or_default();
        if received_batch <= last {
            return;
        }
        self.last_batches.insert(author.clone(), received_batch);
        for RejectedRequest { request, rejection } in batch.decode(now - age) {
            self.insert(now, request, rejection);
        }
        let received = self.received.entry(author.clone()).or_default();
        received.retain(|earlier| now - earlier.created_at < self.span);
        received.push(ReceivedBatch { created_at: now - age, batch: batch.clone() });
    }

    /// Queues the rejections of a restarted author to be shared again by this instance, as the author has lost them.
    pub fn reshare(&mut self, now: Millis, author: &Name) {
        for ReceivedBatch { created_at, batch } in self.received.remove(author).unwrap_or_default() {
            for rejected in batch.decode(created_at) {
                if rejected.rejection.retry_at > now && self.pending.len() < MAX_PENDING_WITH_RESHARED {
                    self.pending.push(rejected);
                }
            }
        }
    }

    /// Number of remembered requests.
    pub fn len(&self) -> usize {
        self.rejections.len()
    }

    /// Whether no request is remembered.
    pub fn is_empty(&self) -> bool {
        self.rejections.is_empty()
    }
}

#[cfg(test)]
mod tests;
