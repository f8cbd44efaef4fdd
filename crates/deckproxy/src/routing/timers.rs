//! A priority queue of timers.

use std::cmp::Ordering;
use std::collections::BTreeMap;

/// Identifies a timer that is scheduled, and orders timers: by the time when they are due, and of two at the same time by
/// the one scheduled first.
#[derive(Clone, Copy, Debug)]
pub struct TimerId {
    at: f64,
    /// Increases with each timer that is scheduled.
    sequence: u64,
}

impl PartialEq for TimerId {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for TimerId {}

impl PartialOrd for TimerId {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for TimerId {
    fn cmp(&self, other: &Self) -> Ordering {
        self.at.total_cmp(&other.at).then(self.sequence.cmp(&other.sequence))
    }
}

/// Timers in the order of their due times, in any unit and time base. An owner that no longer needs a timer cancels it, or
/// ignores it when it fires.
pub struct Timers<T> {
    scheduled: BTreeMap<TimerId, T>,
    sequence: u64,
}

impl<T> Default for Timers<T> {
    fn default() -> Self {
        Timers { scheduled: BTreeMap::new(), sequence: 0 }
    }
}

impl<T> Timers<T> {
    /// Schedules a timer.
    pub fn schedule(&mut self, at: f64, payload: T) -> TimerId {
        self.sequence += 1;
        let id = TimerId { at, sequence: self.sequence };
        self.scheduled.insert(id, payload);
        id
    }

    /// Removes a timer, if it has not fired.
    pub fn cancel(&mut self, id: TimerId) {
        self.scheduled.remove(&id);
    }

    /// Number of timers that have not fired.
    pub fn len(&self) -> usize {
        self.scheduled.len()
    }

    /// Whether all timers have fired.
    pub fn is_empty(&self) -> bool {
        self.scheduled.is_empty()
    }

    /// When the next timer is due.
    pub fn next_deadline(&self) -> Option<f64> {
        self.scheduled.first_key_value().map(|(id, _)| id.at)
    }

    /// Removes and returns the next timer that is due, with the time that it was scheduled for.
    pub fn pop_due(&mut self, now: f64) -> Option<(f64, T)> {
        self.next_deadline().filter(|at| *at <= now)?;
        self.scheduled.pop_first().map(|(id, payload)| (id.at, payload))
    }
}
