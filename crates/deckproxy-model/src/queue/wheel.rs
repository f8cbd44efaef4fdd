//! A queue of events whose cost does not depend on how many are pending.

use super::EventQueue;
use crate::Micros;
use std::collections::VecDeque;

/// Bits of a slot's index within its level.
const SLOT_BITS: u32 = 6;
/// Slots of each level.
const SLOTS: usize = 1 << SLOT_BITS;
/// Number of levels; they cover 2^48 µs, which are nine years.
const LEVELS: usize = 8;

/// A hierarchical timing wheel (Varghese and Lauck, 1987): an event is on the level of the highest digit in
/// which its time differs from now, and moves down when that digit is reached. Adding and removing cost the
/// same at any number of events.
#[derive(Debug)]
pub struct TimingWheel<E> {
    levels: Vec<[VecDeque<(Micros, E)>; SLOTS]>,
    /// For each level one bit a slot, set where the slot has events.
    occupied: [u64; LEVELS],
    now: Micros,
    len: usize,
}

impl<E> Default for TimingWheel<E> {
    fn default() -> Self {
        TimingWheel {
            levels: (0..LEVELS).map(|_| std::array::from_fn(|_| VecDeque::new())).collect(),
            occupied: [0; LEVELS],
            now: 0,
            len: 0,
        }
    }
}

/// The slot of a time on a level.
fn slot_at(at: Micros, level: usize) -> usize {
    // Of the shifted time only the lowest bits count.
    (at >> lower_bits(level)) as usize % SLOTS
}

/// The bits of a time that the levels below this one cover.
fn lower_bits(level: usize) -> u32 {
    // A level is below `LEVELS`.
    SLOT_BITS * level as u32
}

impl<E> TimingWheel<E> {
    fn insert(&mut self, at: Micros, event: E) {
        let difference = at ^ self.now;
        let level = match difference {
            0 => 0,
            _ => ((63 - difference.leading_zeros()) / SLOT_BITS) as usize,
        };
        let level = level.min(LEVELS - 1);
        let slot = slot_at(at, level);
        self.levels[level][slot].push_back((at, event));
        self.occupied[level] |= 1 << slot;
    }

    /// The first occupied slot of a level from now on.
    fn first_slot(&self, level: usize) -> usize {
        let current = slot_at(self.now, level);
        // A slot's index is below 64.
        let distance = self.occupied[level].rotate_right(current as u32).trailing_zeros() as usize;
        (current + distance) % SLOTS
    }

    fn pop_lowest_level(&mut self, slot: usize) -> Option<(Micros, E)> {
        let (at, event) = self.levels[0][slot].pop_front()?;
        if self.levels[0][slot].is_empty() {
            self.occupied[0] &= !(1 << slot);
        }
        self.now = at;
        self.len -= 1;
        Some((at, event))
    }

    /// Advances to a slot and moves its events to lower levels, in their order.
    fn cascade(&mut self, level: usize, slot: usize) {
        let lower_bits = lower_bits(level);
        self.occupied[level] &= !(1 << slot);
        let events = std::mem::take(&mut self.levels[level][slot]);
        let slot_start = events.front().map_or(self.now, |(at, _)| at >> lower_bits << lower_bits);
        self.now = self.now.max(slot_start);
        for (at, event) in events {
            self.insert(at, event);
        }
    }
}

impl<E> EventQueue<E> for TimingWheel<E> {
    fn push(&mut self, at: Micros, event: E) {
        self.len += 1;
        self.insert(at.max(self.now), event);
    }

    fn pop(&mut self) -> Option<(Micros, E)> {
        if self.len == 0 {
            return None;
        }
        loop {
            // The lowest occupied level has the next event, in its first slot from now on.
            let level = (0..LEVELS).find(|level| self.occupied[*level] != 0)?;
            let slot = self.first_slot(level);
            if level == 0 {
                return self.pop_lowest_level(slot);
            }
            self.cascade(level, slot);
        }
    }

    fn len(&self) -> usize {
        self.len
    }
}
