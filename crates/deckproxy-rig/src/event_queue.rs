//! A queue of events in the order of time.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

/// Events by the time at which they are due, to the microsecond; of one time the first that was pushed.
pub(crate) struct EventQueue<E> {
    /// Times, µs, and numbers.
    due: BinaryHeap<Reverse<(u64, u64)>>,
    /// Events by their numbers.
    events: BTreeMap<u64, E>,
    last_number: u64,
}

impl<E> Default for EventQueue<E> {
    fn default() -> Self {
        EventQueue { due: BinaryHeap::new(), events: BTreeMap::new(), last_number: 0 }
    }
}

impl<E> EventQueue<E> {
    /// Adds an event that is due at a time, ms.
    pub(crate) fn push(&mut self, at: f64, event: E) {
        self.last_number += 1;
        self.due.push(Reverse(((at * 1000.0) as u64, self.last_number)));
        self.events.insert(self.last_number, event);
    }

    /// Takes the next event that is due by a time, with its own time, ms.
    pub(crate) fn pop(&mut self, now: f64) -> Option<(f64, E)> {
        let Reverse((due, number)) = self.due.peek().copied()?;
        let at = due as f64 / 1000.0;
        if at > now {
            return None;
        }
        self.due.pop();
        Some((at, self.events.remove(&number)?))
    }

    /// Drops all events.
    pub(crate) fn clear(&mut self) {
        self.due.clear();
        self.events.clear();
    }
}
