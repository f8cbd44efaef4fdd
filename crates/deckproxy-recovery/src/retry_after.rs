//! When rejected clients may retry.
//!
//! The time ahead is divided into slots, each with the capacity for as many as can be served in it beside the first attempts
//! that will arrive. A rejected client gets the first slot with free capacity, at a moment in it drawn at random; so clients
//! return as a stream and not at once, however many were rejected at one moment.

use crate::Millis;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::VecDeque;
use std::ops::RangeInclusive;

/// Length of a slot, in milliseconds.
const SLOT: Millis = 50.0;
/// Least capacity of a slot, in clients.
const LEAST_CAPACITY: f64 = 0.05;
/// A clock that was set back by more slots than this begins a new schedule.
const CLOCK_SET_BACK: i64 = 100;
/// Shortest retry-after time, in milliseconds.
const SHORTEST: Millis = 1.0;

/// Bounds on a retry-after time, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// The shortest time.
    pub min: Millis,
    /// The longest time, which counts before the shortest.
    pub max: Millis,
}

/// The slots ahead.
#[derive(Debug)]
pub struct RetryAfterSchedule {
    rng: Pcg64Mcg,
    /// Clients scheduled in each slot, from `first` on.
    slots: VecDeque<u32>,
    /// Number of the first slot.
    first: i64,
    /// Clients scheduled although no slot within the bounds had free capacity.
    pub overbooked: u64,
    /// All clients scheduled.
    pub scheduled: u64,
}

impl RetryAfterSchedule {
    /// An empty schedule.
    pub fn new(seed: u64) -> Self {
        RetryAfterSchedule {
            rng: Pcg64Mcg::seed_from_u64(seed),
            slots: VecDeque::new(),
            first: 0,
            overbooked: 0,
            scheduled: 0,
        }
    }

    /// Schedules a client within the bounds, where `rate` clients may return a second. Returns the time from now, in
    /// milliseconds.
    pub fn schedule(&mut self, now: Millis, bounds: Bounds, rate: f64) -> Millis {
        self.scheduled += 1;
        let max = bounds.max;
        let min = bounds.min.max(0.0).min(max);
        self.advance(now);
        let from = self.slot_index(now + min);
        let to = self.slot_index(now + max);
        if self.slots.len() <= to {
            self.slots.resize(to + 1, 0);
        }
        let slot = self.free_slot(from..=to, rate).unwrap_or_else(|| {
            // All are taken: any slot, evenly.
            self.overbooked += 1;
            self.rng.random_range(from..=to)
        });
        self.slots[slot] += 1;
        // The slots ahead reach to the longest retry-after time: their index is small.
        let begin = self.first.saturating_add(i64::try_from(slot).unwrap_or(i64::MAX)) as f64 * SLOT;
        let retry_after = begin + self.rng.random::<f64>() * SLOT - now;
        retry_after.clamp(min.max(SHORTEST).min(max), max)
    }

    /// Drops the slots that have passed.
    fn advance(&mut self, now: Millis) {
        let current = (now / SLOT).floor() as i64;
        if current < self.first - CLOCK_SET_BACK {
            self.slots.clear();
        }
        while self.first < current && self.slots.pop_front().is_some() {
            self.first += 1;
        }
        if self.slots.is_empty() {
            self.first = current;
        }
    }

    fn slot_index(&self, at: Millis) -> usize {
        let slots_ahead = (at / SLOT).floor() as i64 - self.first;
        usize::try_from(slots_ahead).unwrap_or(0)
    }

    /// The first slot with free capacity. A capacity of less than one client adds up over several slots.
    fn free_slot(&self, range: RangeInclusive<usize>, rate: f64) -> Option<usize> {
        let capacity = (rate * SLOT / 1000.0).max(LEAST_CAPACITY);
        let mut free = 0.0;
        for index in range {
            free += capacity;
            let taken = f64::from(self.slots[index]);
            if taken + 1.0 <= free {
                return Some(index);
            }
            free = (free - taken).clamp(0.0, 1.0);
        }
        None
    }
}
