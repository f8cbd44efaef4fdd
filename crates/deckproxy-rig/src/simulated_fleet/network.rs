//! The simulated network: how datagrams fare, and the events on their way.

use deckproxy_fleet::Millis;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

/// How datagrams fare.
#[derive(Clone, Copy, Debug)]
pub struct NetworkConditions {
    /// Share that is lost, 0 to 1.
    pub lost_share: f64,
    /// Share that comes twice, 0 to 1.
    pub duplicated_share: f64,
    /// The most that a datagram takes, ms: more than the gap between two sends puts them out of order.
    pub max_delay: Millis,
}

impl Default for NetworkConditions {
    fn default() -> Self {
        NetworkConditions { lost_share: 0.0, duplicated_share: 0.0, max_delay: 2.0 }
    }
}

/// Events by the time at which they are due, to the microsecond; of one time the first that was pushed.
pub(super) struct EventQueue<E> {
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
    pub(super) fn push(&mut self, at: Millis, event: E) {
        self.last_number += 1;
        self.due.push(Reverse(((at * 1000.0) as u64, self.last_number)));
        self.events.insert(self.last_number, event);
    }

    /// Takes the next event that is due by a time, with its own time, ms.
    pub(super) fn pop(&mut self, now: Millis) -> Option<(Millis, E)> {
        let Reverse((due, number)) = self.due.peek().copied()?;
        let at = due as f64 / 1000.0;
        if at > now {
            return None;
        }
        self.due.pop();
        Some((at, self.events.remove(&number)?))
    }
}
