//! Schedules when rejected clients may retry.
//!
//! Future time is divided into slots. The capacity of a slot is the number of retries that can be served in
//! it in addition to the first attempts that will arrive. A rejected client is assigned a random time in the
//! first slot with free capacity, so that retries are spread over time, however many clients were rejected at
//! the same moment.

use crate::Millis;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::VecDeque;
use std::ops::RangeInclusive;

/// Length of a slot, in milliseconds.
const SLOT_LENGTH: Millis = 50.0;
/// Smallest capacity of a slot, in retries.
const MIN_SLOT_CAPACITY: f64 = 0.05;
/// The schedule is cleared when the clock was set back by more slots than this.
const MAX_SLOTS_SET_BACK: i64 = 100;
/// Shortest retry-after time, in milliseconds.
const MIN_RETRY_AFTER: Millis = 1.0;

/// Bounds on a retry-after time, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// The shortest time.
    pub min: Millis,
    /// The longest time; takes precedence where the shortest is longer.
    pub max: Millis,
}

/// The retries scheduled in the current slot and later ones.
#[derive(Debug)]
pub struct RetryAfterSchedule {
    rng: Pcg64Mcg,
    /// Retries scheduled in each slot; index 0 is slot number `first_slot`.
    slots: VecDeque<u32>,
    /// Number of the first slot, counted from time 0 of the clock.
    first_slot: i64,
    /// Retries scheduled although no slot within the bounds had free capacity.
    pub overbooked: u64,
    /// All retries scheduled.
    pub scheduled: u64,
}

impl RetryAfterSchedule {
    /// An empty schedule.
    pub fn new(seed: u64) -> Self {
        RetryAfterSchedule {
            rng: Pcg64Mcg::seed_from_u64(seed),
            slots: VecDeque::new(),
            first_slot: 0,
            overbooked: 0,
            scheduled: 0,
        }
    }

    /// Schedules the retry of a client within the bounds; `rate`: retries that can be served per second.
    /// Returns the time from now, in milliseconds.
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
            // No slot has free capacity: pick one uniformly at random.
            self.overbooked += 1;
            self.rng.random_range(from..=to)
        });
        self.slots[slot] += 1;
        // The index is small: no slot is later than the longest retry-after time.
        let begin =
            self.first_slot.saturating_add(i64::try_from(slot).unwrap_or(i64::MAX)) as f64 * SLOT_LENGTH;
        let retry_after = begin + self.rng.random::<f64>() * SLOT_LENGTH - now;
        retry_after.clamp(min.max(MIN_RETRY_AFTER).min(max), max)
    }

    /// Drops the slots that have passed, or all of them if the clock was set back too far.
    fn advance(&mut self, now: Millis) {
        let current = (now / SLOT_LENGTH).floor() as i64;
        if current < self.first_slot - MAX_SLOTS_SET_BACK {
            self.slots.clear();
        }
        while self.first_slot < current && self.slots.pop_front().is_some() {
            self.first_slot += 1;
        }
        if self.slots.is_empty() {
            self.first_slot = current;
        }
    }

    fn slot_index(&self, at: Millis) -> usize {
        let slots_ahead = (at / SLOT_LENGTH).floor() as i64 - self.first_slot;
        usize::try_from(slots_ahead).unwrap_or(0)
    }

    /// The first slot with free capacity. Unused capacity of up to one retry carries over to the next slot, as
    /// the capacity of a single slot may be less than one retry.
    fn free_slot(&self, range: RangeInclusive<usize>, rate: f64) -> Option<usize> {
        let capacity = (rate * SLOT_LENGTH / 1000.0).max(MIN_SLOT_CAPACITY);
        let mut free = 0.0;
        for index in range {
            free += capacity;
            let scheduled = f64::from(self.slots[index]);
            if scheduled + 1.0 <= free {
                return Some(index);
            }
            free = (free - scheduled).clamp(0.0, 1.0);
        }
        None
    }
}
