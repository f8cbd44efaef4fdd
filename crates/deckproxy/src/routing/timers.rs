//! The timer heap.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

struct Entry<T> {
    at: f64,
    order: u64,
    what: T,
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
    /// The earliest is the greatest, as the heap gives that first; of two at one time the one set first.
    fn cmp(&self, other: &Self) -> Ordering {
        other.at.total_cmp(&self.at).then(other.order.cmp(&self.order))
    }
}

/// Timers by time. They can't be taken back; who set one ignores it when it is needed no more.
pub struct Timers<T> {
    heap: BinaryHeap<Entry<T>>,
    order: u64,
}

impl<T> Default for Timers<T> {
    fn default() -> Self {
        Timers { heap: BinaryHeap::new(), order: 0 }
    }
}

impl<T> Timers<T> {
    /// Sets a timer.
    pub fn set(&mut self, at: f64, what: T) {
        self.order += 1;
        self.heap.push(Entry { at, order: self.order, what });
    }

    /// Timers that are set.
    pub fn len(&self) -> usize {
        self.heap.len()
    }

    /// Whether none is set.
    pub fn is_empty(&self) -> bool {
        self.heap.is_empty()
    }

    /// When the next one is due.
    pub fn next(&self) -> Option<f64> {
        self.heap.peek().map(|e| e.at)
    }

    /// Takes the next one that is due, with the time it was set for.
    pub fn due(&mut self, now: f64) -> Option<(f64, T)> {
        self.next().filter(|at| *at <= now)?;
        self.heap.pop().map(|e| (e.at, e.what))
    }
}
