//! Crossings that wait for an endpoint, and the ordered keys of times and priorities.

use super::crossing::CrossingId;
use crate::Millis;
use std::collections::BTreeSet;

/// Time keys per millisecond.
const KEYS_PER_MS: f64 = 1000.0;

/// A time as an ordered key, µs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct TimeKey(u64);

impl TimeKey {
    /// The key of a time.
    pub(super) fn at(time: Millis) -> Self {
        TimeKey((time.max(0.0) * KEYS_PER_MS) as u64)
    }

    /// A time by which this key has surely passed, ms.
    pub(super) fn passed_by(self) -> Millis {
        (self.0 + 1) as f64 / KEYS_PER_MS
    }
}

/// A priority rank as an ordered key, the highest rank first.
fn priority_key(rank: f64) -> u32 {
    ((1.0 - rank.clamp(0.0, 1.0)) * f64::from(u32::MAX)) as u32
}

/// Crossings that wait for an endpoint. An entry may be outdated: the crossing may have been sent or have ended.
#[derive(Debug, Default)]
pub(super) struct CrossingQueue {
    /// By priority and then by age.
    by_priority: BTreeSet<(u32, CrossingId)>,
    /// By the time at which they are rejected.
    by_timeout: BTreeSet<(TimeKey, CrossingId)>,
}

impl CrossingQueue {
    /// Adds a crossing.
    pub(super) fn push(&mut self, crossing: CrossingId, priority_rank: f64, until: Millis) {
        self.by_priority.insert((priority_key(priority_rank), crossing));
        self.by_timeout.insert((TimeKey::at(until), crossing));
    }

    /// Takes the crossing of the highest priority, the oldest first.
    pub(super) fn pop_first(&mut self) -> Option<CrossingId> {
        self.by_priority.pop_first().map(|(_, crossing)| crossing)
    }

    /// Takes the next crossing whose timeout has passed.
    pub(super) fn pop_timed_out(&mut self, now: Millis) -> Option<CrossingId> {
        let (timeout, crossing) = self.by_timeout.first().copied()?;
        if timeout > TimeKey::at(now) {
            return None;
        }
        self.by_timeout.pop_first();
        Some(crossing)
    }

    /// The next timeout, ms.
    pub(super) fn next_timeout(&self) -> Option<Millis> {
        self.by_timeout.first().map(|(timeout, _)| timeout.passed_by())
    }
}
