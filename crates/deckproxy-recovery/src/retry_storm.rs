//! Whether a gateway works for nobody, and how much it lets in until it works for somebody again.
//!
//! In a metastable state the cause is over and the trouble stays: members work on requests whose clients have left, the
//! clients come again, and that work is in the way of theirs. What ends it is to let in less than can be done, and then
//! more step by step as what was let in is served.
//!
//! Time is cut into windows. Of the requests that ended in the last few, the share that was served tells how it goes.
//! Too small a share twice in a row, with repeats beside first tries, is a storm: what is let in is capped a little over
//! what was served. Each good window raises the cap, each bad one lowers it; once it has not been in the way for a while
//! the storm is over.

use crate::Millis;
use std::collections::VecDeque;

/// How storms are seen and left.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Length of a window.
    pub window: Millis,
    /// Share served below which a window is bad, and from which it is good.
    pub bad: f64,
    /// See `bad`.
    pub good: f64,
    /// Repeats for each first try from which a bad window is one of a storm.
    pub repeats: f64,
    /// Requests that must have ended in the windows looked at for them to tell anything.
    pub least: u64,
    /// The cap in a storm is so many times what was served, at first; and never under so many requests a second.
    pub over: f64,
    /// See `over`.
    pub floor: f64,
    /// What a good window makes of the cap, and a bad one.
    pub up: f64,
    /// See `up`.
    pub down: f64,
    /// Good windows in a row in which the cap was not in the way, until the storm is over.
    pub calm: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            window: 250.0,
            bad: 0.6,
            good: 0.9,
            repeats: 0.3,
            least: 20,
            over: 1.1,
            floor: 5.0,
            up: 1.2,
            down: 0.7,
            calm: 4,
        }
    }
}

/// What was counted in a window.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Counts {
    /// First tries and repeats that came.
    pub firsts: u64,
    /// See `firsts`.
    pub repeats: u64,
    /// Requests that were let in, and that the cap kept out.
    pub passed: u64,
    /// See `passed`.
    pub capped: u64,
    /// Requests that were let in and ended: served, turned away by the module, in vain.
    pub served: u64,
    /// See `served`.
    pub refused: u64,
    /// See `served`: failed, or their clients had left.
    pub wasted: u64,
}

impl Counts {
    fn add(&mut self, other: &Counts) {
        self.firsts += other.firsts;
        self.repeats += other.repeats;
        self.passed += other.passed;
        self.capped += other.capped;
        self.served += other.served;
        self.refused += other.refused;
        self.wasted += other.wasted;
    }

    fn ended(&self) -> u64 {
        self.served + self.refused + self.wasted
    }

    fn share(&self) -> f64 {
        self.served as f64 / self.ended().max(1) as f64
    }
}

/// Share of what is let in that is kept for the quarters of worth, evenly.
const KEPT: f64 = 0.2;
/// Windows looked at together.
const LOOKED_AT: usize = 4;

/// The state of a gateway.
#[derive(Clone, Debug)]
pub struct RetryStorm {
    limits: Limits,
    began: Option<Millis>,
    now: Counts,
    past: VecDeque<Counts>,
    /// Requests a second that are let in; none: no storm.
    cap: Option<f64>,
    /// Requests that may be let in now, by whoever comes; and those kept for each quarter of worth, so that none of them
    /// is starved by another.
    tokens: f64,
    kept: [f64; 4],
    filled: Millis,
    bad: u32,
    calm: u32,
    /// Storms so far.
    pub storms: u64,
}

impl RetryStorm {
    /// A calm one.
    pub fn new(limits: Limits) -> Self {
        RetryStorm {
            limits,
            began: None,
            now: Counts::default(),
            past: VecDeque::new(),
            cap: None,
            tokens: 0.0,
            kept: [0.0; 4],
            filled: 0.0,
            bad: 0,
            calm: 0,
            storms: 0,
        }
    }

    /// Requests a second that are let in; none: all.
    pub fn cap(&self) -> Option<f64> {
        self.cap
    }

    /// What was counted lately, and over how long.
    pub fn lately(&self) -> (Counts, Millis) {
        let mut sum = Counts::default();
        self.past.iter().for_each(|c| sum.add(c));
        (sum, self.past.len() as f64 * self.limits.window)
    }

    /// Requests served a second, lately.
    pub fn pace(&self) -> f64 {
        let (sum, span) = self.lately();
        sum.served as f64 * 1000.0 / span.max(self.limits.window)
    }

    /// Counts something in the window that runs.
    pub fn count(&mut self, now: Millis, add: impl FnOnce(&mut Counts)) {
        self.tick(now);
        add(&mut self.now);
    }

    /// Whether one more is let in now. `worth`: its class's place among all, from 0 to 1: in a storm the last part of
    /// what may be let in is kept for those worth more.
    pub fn admits(&mut self, now: Millis, worth: f64) -> bool {
        self.tick(now);
        let Some(cap) = self.cap else { return true };
        let worth = worth.clamp(0.0, 1.0);
        let most = (cap * self.limits.window / 1000.0).max(1.0);
        let more = cap * (now - self.filled).max(0.0) / 1000.0;
        self.filled = now;
        self.tokens = (self.tokens + more * (1.0 - KEPT)).min(most);
        self.kept.iter_mut().for_each(|kept| *kept = (*kept + more * KEPT / 4.0).min(1.0));
        // At worth 0 a third of the tokens is left to others.
        let needs = 1.0 + (1.0 - worth) * most / 3.0;
        let kept = &mut self.kept[((worth * 4.0) as usize).min(3)];
        let from = if self.tokens >= needs.min(most) { &mut self.tokens } else { kept };
        let may = *from >= 1.0;
        if may {
            *from -= 1.0;
        }
        may
    }

    /// Closes windows that are over.
    pub fn tick(&mut self, now: Millis) {
        let began = *self.began.get_or_insert(now);
        // A clock that was set back, or stood still for long, begins anew.
        if now < began || now - began > self.limits.window * 40.0 {
            self.began = Some(now);
            self.filled = now;
            self.now = Counts::default();
            return;
        }
        let mut began = began;
        while now - began >= self.limits.window {
            began += self.limits.window;
            self.close(began);
        }
        self.began = Some(began);
    }

    fn close(&mut self, at: Millis) {
        let last = std::mem::take(&mut self.now);
        self.past.push_back(last);
        if self.past.len() > LOOKED_AT {
            self.past.pop_front();
        }
        let (sum, span) = self.lately();
        let tells = sum.ended() >= self.limits.least;
        let is_bad = tells && sum.share() < self.limits.bad;
        let limits = self.limits;
        match &mut self.cap {
            None => {
                let repeated = sum.repeats as f64 > limits.repeats * sum.firsts as f64;
                self.bad = if is_bad && repeated { self.bad + 1 } else { 0 };
                if self.bad >= 2 {
                    let pace = sum.served as f64 * 1000.0 / span;
                    self.cap = Some((pace * limits.over).max(limits.floor));
                    (self.tokens, self.kept, self.filled, self.calm) = (0.0, [0.0; 4], at, 0);
                    self.storms += 1;
                    self.past.clear();
                }
            }
            Some(cap) => {
                // In a storm each window speaks for itself: what was let in before it began tells nothing.
                let share = last.share();
                let enough = last.ended() > 0;
                if enough && share < limits.bad {
                    *cap = (*cap * limits.down).max(limits.floor);
                } else if enough && share >= limits.good && last.capped > 0 {
                    *cap *= limits.up;
                }
                let calm = share >= limits.good && enough && last.capped * 20 <= last.passed;
                self.calm = if calm || (last.capped == 0 && last.passed == 0) { self.calm + 1 } else { 0 };
                if self.calm >= limits.calm {
                    self.cap = None;
                    self.bad = 0;
                }
            }
        }
    }
}
