//! What a gateway counted of what was asked for and of what became of it, in a form that adds up over gateways.

use super::rank::{LEVELS, level};
use crate::Millis;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// What can be crowded, each with a cut of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Thing {
    /// The caches: what they were seen to hold passes there.
    Caches = 0,
    /// The way to the sources, for what the caches have to be filled with first.
    Sources = 1,
}

/// How many there are.
pub const THINGS: usize = 2;

/// What was counted of one thing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// First tries that came, by level of their ranks.
    pub levels: [u16; LEVELS],
    /// Repeats that came and had not been promised that time, as far as they were known for such.
    pub repeats: u16,
    /// Repeats that passed.
    pub back: u16,
    /// First tries that passed, and all that did.
    pub firsts: u16,
    /// See `firsts`.
    pub passed: u16,
    /// Of those that passed and ended: served, turned away by the module, failed or left.
    pub served: u16,
    /// See `served`.
    pub refused: u16,
    /// See `served`.
    pub wasted: u16,
    /// Of those served, the ones that took long, of their clients' time.
    pub slow: u16,
}

impl Tally {
    fn add(&mut self, other: &Tally) {
        for (sum, more) in self.levels.iter_mut().zip(other.levels) {
            *sum = sum.saturating_add(more);
        }
        let sums = [
            (&mut self.repeats, other.repeats),
            (&mut self.back, other.back),
            (&mut self.firsts, other.firsts),
            (&mut self.passed, other.passed),
            (&mut self.served, other.served),
            (&mut self.refused, other.refused),
            (&mut self.wasted, other.wasted),
            (&mut self.slow, other.slow),
        ];
        sums.into_iter().for_each(|(sum, more)| *sum = sum.saturating_add(more));
    }

    /// Counts one that came, by its rank.
    pub fn came(&mut self, rank: u32) {
        let at = &mut self.levels[level(rank)];
        *at = at.saturating_add(1);
    }
}

/// What a gateway counted over a span.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// The span, ms.
    pub span: u16,
    /// By thing, in the order of [`Thing`].
    pub things: [Tally; THINGS],
}

/// Events a second, of one gateway or the sum of several.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Rates {
    /// See [`Tally::levels`].
    pub levels: [f64; LEVELS],
    /// See [`Tally`].
    pub repeats: f64,
    /// See [`Tally`].
    pub back: f64,
    /// See [`Tally`].
    pub firsts: f64,
    /// See [`Tally`].
    pub passed: f64,
    /// See [`Tally`].
    pub served: f64,
    /// See [`Tally`].
    pub refused: f64,
    /// See [`Tally`].
    pub wasted: f64,
    /// See [`Tally`].
    pub slow: f64,
}

impl Rates {
    /// Adds what one gateway counted of a thing.
    pub fn add(&mut self, summary: &Summary, thing: usize) {
        let Some(t) = summary.things.get(thing).filter(|_| summary.span > 0) else { return };
        let second = 1000.0 / f64::from(summary.span);
        for (sum, n) in self.levels.iter_mut().zip(t.levels) {
            *sum += f64::from(n) * second;
        }
        let sums = [
            (&mut self.repeats, t.repeats),
            (&mut self.back, t.back),
            (&mut self.firsts, t.firsts),
            (&mut self.passed, t.passed),
            (&mut self.served, t.served),
            (&mut self.refused, t.refused),
            (&mut self.wasted, t.wasted),
            (&mut self.slow, t.slow),
        ];
        sums.into_iter().for_each(|(sum, n)| *sum += f64::from(n) * second);
    }

    /// What all of them counted, where so many of all have told.
    pub fn scale(&mut self, by: f64) {
        self.levels.iter_mut().for_each(|n| *n *= by);
        let all = [
            &mut self.repeats,
            &mut self.back,
            &mut self.firsts,
            &mut self.passed,
            &mut self.served,
            &mut self.refused,
            &mut self.wasted,
            &mut self.slow,
        ];
        all.into_iter().for_each(|n| *n *= by);
    }

    /// First tries a second.
    pub fn come(&self) -> f64 {
        self.levels.iter().sum()
    }

    /// Requests a second that passed and ended.
    pub fn ended(&self) -> f64 {
        self.served + self.refused + self.wasted
    }

    /// The share served of those; 1 where none ended.
    pub fn share(&self) -> f64 {
        if self.ended() > 0.0 { self.served / self.ended() } else { 1.0 }
    }

    /// The share of those that was served soon.
    pub fn soon(&self) -> f64 {
        if self.ended() > 0.0 { (self.served - self.slow) / self.ended() } else { 1.0 }
    }
}

/// Windows that a summary is over.
const WINDOWS: usize = 2;

/// Counts in windows.
#[derive(Clone, Debug)]
pub struct Counting {
    window: Millis,
    began: Millis,
    now: [Tally; THINGS],
    past: VecDeque<[Tally; THINGS]>,
}

impl Counting {
    /// Windows of that length from now on.
    pub fn new(now: Millis, window: Millis) -> Self {
        Counting { window, began: now, now: Default::default(), past: VecDeque::new() }
    }

    /// The counts of the window that runs.
    pub fn of(&mut self, thing: Thing) -> &mut Tally {
        &mut self.now[thing as usize]
    }

    /// Closes the window once it is over. After a pause of the process what was counted before it tells nothing.
    pub fn tick(&mut self, now: Millis) -> bool {
        let age = now - self.began;
        if age < self.window {
            return false;
        }
        if age > self.window * 8.0 {
            self.past.clear();
            self.now = Default::default();
        } else {
            self.past.push_back(std::mem::take(&mut self.now));
            if self.past.len() > WINDOWS {
                self.past.pop_front();
            }
        }
        self.began = now;
        true
    }

    /// What was counted lately.
    pub fn summary(&self) -> Summary {
        let mut sum = Summary { span: (self.window * self.past.len() as f64) as u16, ..Summary::default() };
        for past in &self.past {
            sum.things.iter_mut().zip(past).for_each(|(sum, more)| sum.add(more));
        }
        sum
    }
}

#[cfg(test)]
mod tests;
