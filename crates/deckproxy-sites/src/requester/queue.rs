//! The queue of exchanges that wait for an endpoint, and the ordered keys of times and priorities.

use super::exchange::ExchangeId;
use crate::Millis;
use std::collections::BTreeSet;

/// Microseconds per millisecond.
const MICROS_PER_MS: f64 = 1000.0;

/// A time as an ordered key, µs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct TimeKey(u64);

impl TimeKey {
    /// The key of a time.
    pub(super) fn at(time: Millis) -> Self {
        TimeKey((time.max(0.0) * MICROS_PER_MS) as u64)
    }

    /// The earliest time later than every time with this key, ms.
    pub(super) fn upper_bound(self) -> Millis {
        (self.0 + 1) as f64 / MICROS_PER_MS
    }
}

/// A priority rank as an ordered key, the highest rank first.
fn priority_key(rank: f64) -> u32 {
    ((1.0 - rank.clamp(0.0, 1.0)) * f64::from(u32::MAX)) as u32
}

/// Exchanges that wait for an endpoint. Entries may be outdated: an attempt may have been sent since, or the exchange
/// may have ended.
#[derive(Debug, Default)]
pub(super) struct ExchangeQueue {
    /// By priority and then by age.
    by_priority: BTreeSet<(u32, ExchangeId)>,
    /// By the time at which they are rejected.
    by_timeout: BTreeSet<(TimeKey, ExchangeId)>,
}

impl ExchangeQueue {
    /// Adds an exchange.
    pub(super) fn push(&mut self, exchange: ExchangeId, priority_rank: f64, until: Millis) {
        self.by_priority.insert((priority_key(priority_rank), exchange));
        self.by_timeout.insert((TimeKey::at(until), exchange));
    }

    /// Removes and returns the exchange of the highest priority, and of these the oldest.
    pub(super) fn pop_first(&mut self) -> Option<ExchangeId> {
        self.by_priority.pop_first().map(|(_, exchange)| exchange)
    }

    /// Removes and returns the next exchange whose timeout has passed.
    pub(super) fn pop_timed_out(&mut self, now: Millis) -> Option<ExchangeId> {
        let (timeout, exchange) = self.by_timeout.first().copied()?;
        if timeout > TimeKey::at(now) {
            return None;
        }
        self.by_timeout.pop_first();
        Some(exchange)
    }

    /// The next timeout, ms.
    pub(super) fn next_timeout(&self) -> Option<Millis> {
        self.by_timeout.first().map(|(timeout, _)| timeout.upper_bound())
    }
}
