//! A binary heap of events, to compare the timing wheel with.

use super::EventQueue;
use crate::Micros;
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

/// A pending event; ordered by time, then by its number in the order of adding.
#[derive(Debug)]
struct Pending<E> {
    at: Micros,
    number: u64,
    event: E,
}

impl<E> PartialEq for Pending<E> {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.number) == (other.at, other.number)
    }
}

impl<E> Eq for Pending<E> {}

impl<E> PartialOrd for Pending<E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Pending<E> {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

/// A queue of events in a binary heap.
#[derive(Debug)]
pub struct HeapQueue<E> {
    heap: BinaryHeap<Reverse<Pending<E>>>,
    last_number: u64,
    now: Micros,
}

impl<E> Default for HeapQueue<E> {
    fn default() -> Self {
        HeapQueue { heap: BinaryHeap::new(), last_number: 0, now: 0 }
    }
}

impl<E> EventQueue<E> for HeapQueue<E> {
    fn push(&mut self, at: Micros, event: E) {
        self.last_number += 1;
        self.heap.push(Reverse(Pending { at: at.max(self.now), number: self.last_number, event }));
    }

    fn pop(&mut self) -> Option<(Micros, E)> {
        let Reverse(Pending { at, event, .. }) = self.heap.pop()?;
        self.now = at;
        Some((at, event))
    }

    fn len(&self) -> usize {
        self.heap.len()
    }
}
