//! When refused clients are asked back.
//!
//! Time ahead is cut into slots, each with room for as many as can be served in it beside the first tries that will
//! come. A refused client gets the first slot that has room, at a place in it drawn at random; so they come back as a
//! stream and not as one wave, however many were refused at one moment.

use crate::Millis;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::VecDeque;

/// Length of a slot.
const SLOT: Millis = 50.0;

/// The slots ahead.
#[derive(Debug)]
pub struct RetryAfterSchedule {
    rng: Pcg64Mcg,
    /// Clients asked back in each slot, from `first` on.
    slots: VecDeque<u32>,
    first: i64,
    /// Those that found no room within the span asked for.
    pub crowded: u64,
    /// All that were asked back.
    pub promised: u64,
}

impl RetryAfterSchedule {
    /// Nobody is asked back yet.
    pub fn new(seed: u64) -> Self {
        RetryAfterSchedule {
            rng: Pcg64Mcg::seed_from_u64(seed),
            slots: VecDeque::new(),
            first: 0,
            crowded: 0,
            promised: 0,
        }
    }

    /// Milliseconds after which a client is asked back: `least` at least and `most` at most, where `pace` can return a
    /// second.
    pub fn back(&mut self, now: Millis, least: Millis, most: Millis, pace: f64) -> Millis {
        self.promised += 1;
        let least = least.max(0.0).min(most);
        let here = (now / SLOT).floor() as i64;
        // A clock that was set back begins anew.
        if here < self.first - 100 {
            self.slots.clear();
        }
        while self.first < here && self.slots.pop_front().is_some() {
            self.first += 1;
        }
        if self.slots.is_empty() {
            self.first = here;
        }
        let room = (pace * SLOT / 1000.0).max(0.05);
        let from = (((now + least) / SLOT).floor() as i64 - self.first).max(0) as usize;
        let to = (((now + most) / SLOT).floor() as i64 - self.first).max(0) as usize;
        if self.slots.len() <= to {
            self.slots.resize(to + 1, 0);
        }
        // Room under one client in a slot is one client in several.
        let mut owed = 0.0;
        let mut found = None;
        for at in from..=to {
            owed += room;
            if f64::from(self.slots[at]) + 1.0 <= owed {
                found = Some(at);
                break;
            }
            owed = (owed - f64::from(self.slots[at])).clamp(0.0, 1.0);
        }
        let at = match found {
            Some(at) => at,
            None => {
                // All is taken: anywhere, evenly.
                self.crowded += 1;
                self.rng.random_range(from..=to)
            }
        };
        self.slots[at] += 1;
        let begin = (self.first + at as i64) as f64 * SLOT;
        let back = begin + self.rng.random::<f64>() * SLOT - now;
        back.clamp(least.max(1.0).min(most), most)
    }
}
