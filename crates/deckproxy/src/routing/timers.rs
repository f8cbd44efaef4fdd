//! A priority queue of timers.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

struct Entry<T> {
    at: f64,
    /// Increases with each timer that is scheduled.
    sequence: u64,
    payload: T,
}

impl<T> PartialEq for Entry<T> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl<T> Eq for Entry<T> {}

impl<T> PartialOrd for Entry<T> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> Ord for Entry<T> {
    /// Reversed, as [`BinaryHeap`] is a max-heap: the earliest timer is the greatest, and of two at the same time the
    /// one scheduled first.
    fn cmp(&self, other: &Self) -> Ordering {
        other.at.total_cmp(&self.at).then(other.sequence.cmp(&self.sequence))
    }
}

/// Timers in the order of their due times, in any unit and time base. They can't be cancelled: the owner ignores a
/// timer that it no longer needs when it fires.
pub struct Timers<T> {
    heap: BinaryHeap<Entry<T>>,
    sequence: u64,
}

impl<T> Default for Timers<T> {
    fn default() -> Self {
        Timers { heap: BinaryHeap::new(), sequence: 0 }
    }
}

impl<T> Timers<T> {
    /// Schedules a timer.
    pub fn schedule(&mut self, at: f64, payload: T) {
        self.sequence += 1;
        self.heap.push(Entry { at, sequence: self.sequence, payload });
    }

    /// Number of timers that have not fired.
    pub fn len(&self) -> usize {
        self.heap.len()
    }

    /// Whether all timers have fired.
    pub fn is_empty(&self) -> bool {
        self.heap.is_empty()
    }

    /// When the next timer is due.
    pub fn next_deadline(&self) -> Option<f64> {
        self.heap.peek().map(|entry| entry.at)
    }

    /// Removes and returns the next timer that is due, with the time that it was scheduled for.
    pub fn pop_due(&mut self, now: f64) -> Option<(f64, T)> {
        self.next_deadline().filter(|at| *at <= now)?;
        self.heap.pop().map(|entry| (entry.at, entry.payload))
    }
}
