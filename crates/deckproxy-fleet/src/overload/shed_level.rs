//! How much the fleet lets in, and which rank that is: decided by one of it for all, from what all count.
//!
//! A cut is made where work is in vain (failed, late, or repeated) and not only where the module turns away: to turn away
//! is cheap, and to shed more than that would be a harm of its own. It goes by what was served: a little over that is let
//! in, more with each good look, sooner each time, and less at once where it goes badly.

use super::rank::{RANKS, cut};
use super::summary::{Rates, THINGS};
use crate::Millis;
use serde::{Deserialize, Serialize};

/// How cuts are made and taken back.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Share served of what ended, below which it goes badly, and from which it goes well.
    pub bad: f64,
    /// See `bad`.
    pub good: f64,
    /// Share of what ended that was in vain, or repeats for each first try, without which nothing is cut.
    pub vain: f64,
    /// See `vain`.
    pub repeats: f64,
    /// Requests a second of the fleet that must end for it to be judged, and that are always let in.
    pub least: f64,
    /// Repeats that pass for each first try that does.
    pub share: f64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { bad: 0.85, good: 0.95, vain: 0.05, repeats: 0.3, least: 10.0, share: 0.2 }
    }
}

/// From one look to the next, ms.
pub const LOOK: Millis = 250.0;
/// How long an epoch lasts, ms.
const EPOCH: Millis = 2000.0;
/// Bad looks in a row until a cut is made; looks in a row at which it was not in the way, until it is taken back.
const BAD: u32 = 2;
const CALM: u32 = 8;
/// What a good look makes of what is let in at first, and how much more each further one does, at most: near what was too
/// much it is probed, and once that is past it is climbed.
const STEP: f64 = 1.05;
const MORE: f64 = 1.6;
const STEP_MOST: f64 = 1.3;
/// The first step after much was in vain: what was served while queues were full says little of what can be.
const STEP_ANEW: f64 = 1.15;
/// Of what is let in, the part that must come out in the same time.
const OUT: f64 = 0.6;
/// Of what is let in, the part that must come for the cut to be in the way.
const NEAR: f64 = 0.75;
/// Bounds on what passes beside what was to.
const OVER: std::ops::RangeInclusive<f64> = 0.8..=1.5;
/// Of the most that was served, what is let in in a collapse.
const COLLAPSED: f64 = 0.2;
/// Share served under which it is a collapse.
const HALF: f64 = 0.5;
/// So much of the crowd is left where it has gone: what is let in is found anew.
const GONE: f64 = 0.6;
/// Of what is served, the part let in while some of it takes long, and while all of it does: the rest of the time goes to
/// who waits already.
const DRAINS: f64 = 0.95;
const DRAINS_ALL: f64 = 0.8;
/// Looks at which all is served, and most not soon, whatever is let in: that is how long it takes, and no queue.
const PATIENT: u32 = 24;
/// Looks for which it is left at that; each further time twice as many, up to so many.
const LEFT: u32 = 120;
const LEFT_MOST: u32 = 4800;
/// Looks from one change to the next at least: what one did must have been counted, or it is done twice.
const SETTLE: u32 = 3;
/// What a bad look leaves of it at least.
const LESS: f64 = 0.5;
/// Of the most that was served lately, the part let in at first, and that let in at once when it goes well again; what is
/// left of it by each look, and each time that it goes badly.
const PEAK: f64 = 0.9;
const ANEW: f64 = 0.7;
const FADES: f64 = 0.99;
const FAILED: f64 = 0.75;
/// What is left by each look of the most that was served in a longer time; up to so much of it what is let in is doubled each
/// time that it goes well, as TCP begins anew after a time-out (RFC 5681, 3.1).
const LASTS: f64 = 0.999;
const DOUBLED: f64 = 0.5;
/// Of what is let in, the part that may be promised to repeats at most.
const PROMISED: f64 = 0.5;

/// A cut at one thing, as it is told.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ShedLine {
    /// Ranks below it are turned away.
    pub rank: u32,
    /// Requests a second that the fleet lets in.
    pub cap: f32,
    /// Requests a second that came when it was decided.
    pub come: f32,
    /// Share of those turned away that is promised a time, of 65,535.
    pub promise: u16,
    /// Repeats a second that the fleet lets in.
    pub returns: f32,
}

/// What was decided.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ShedLevel {
    /// The epoch, by which draws are keyed.
    pub epoch: u64,
    /// For how long it had lasted, ms.
    pub lasted: u16,
    /// By thing, where something is cut.
    pub things: [Option<ShedLine>; THINGS],
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct State {
    cap: Option<f64>,
    bad: u32,
    calm: u32,
    step: f64,
    /// The most that was served lately.
    peak: f64,
    /// The same over a longer time, whatever went badly.
    best: f64,
    /// It went badly, and has not been found out since how much can be served.
    anew: bool,
    /// What passed beside what was to, lately.
    over: f64,
    /// Looks since it was changed.
    since: u32,
    /// Requests a second that came when less was let in last.
    crowd: f64,
    /// Looks in a row at which all was served and not soon, and those for which that is left out of account.
    slow: u32,
    left: u32,
    /// For how many it is the next time.
    patience: u32,
}

/// What decides.
#[derive(Clone, Debug)]
pub struct ShedController {
    limits: Limits,
    things: [State; THINGS],
    epoch: u64,
    began: Millis,
    /// Cuts made so far.
    pub cuts: u64,
}

impl ShedController {
    /// With nothing cut.
    pub fn new(limits: Limits) -> Self {
        ShedController { limits, things: Default::default(), epoch: 0, began: 0.0, cuts: 0 }
    }

    /// Takes over from who decided until now; `parts`: the share of what came then that comes to those who go by this one,
    /// by thing: a part of a split goes on with its own part.
    pub fn take_over(&mut self, now: Millis, cut: &ShedLevel, age: Millis, parts: [f64; THINGS]) {
        for ((state, line), part) in self.things.iter_mut().zip(cut.things).zip(parts) {
            let cap = line.map(|l| f64::from(l.cap) * part.clamp(0.0, 1.0));
            let cap = cap.map(|cap| cap.max(self.limits.least));
            *state = State {
                cap,
                step: STEP,
                over: 1.0,
                peak: cap.unwrap_or(0.0),
                best: cap.unwrap_or(0.0),
                ..State::default()
            };
        }
        (self.epoch, self.began) = (cut.epoch, now - age - f64::from(cut.lasted));
    }

    /// More, or fewer, of the fleet are there than at the last look, and so many times as much comes to them: what is let in
    /// goes with it. So parts of a split let in what the whole did, and the whole what its parts did.
    pub fn resize(&mut self, times: [f64; THINGS]) {
        for (state, times) in self.things.iter_mut().zip(times) {
            state.cap = state.cap.map(|cap| (cap * times).max(self.limits.least));
            state.peak *= times;
            state.best *= times;
            state.since = 0;
        }
    }

    /// Decides from what all have counted, once each [`LOOK`].
    pub fn look(&mut self, now: Millis, sums: &[Rates; THINGS]) -> ShedLevel {
        if self.epoch == 0 || now - self.began >= EPOCH {
            (self.epoch, self.began) = (self.epoch + 1, now);
        }
        let lasted = (now - self.began) as u16;
        let mut told = ShedLevel { epoch: self.epoch, lasted, things: [None; THINGS] };
        for ((state, rates), line) in self.things.iter_mut().zip(sums).zip(&mut told.things) {
            let had = state.cap.is_some();
            state.look(&self.limits, rates);
            self.cuts += u64::from(!had && state.cap.is_some());
            *line = state.line(&self.limits, rates);
        }
        told
    }
}

/// The part let in of what can be served, where such a share was served soon.
fn drained(soon: f64) -> f64 {
    DRAINS - (DRAINS - DRAINS_ALL) * (1.0 - soon).clamp(0.0, 1.0)
}

impl State {
    /// What is told of it.
    fn line(&self, limits: &Limits, rates: &Rates) -> Option<ShedLine> {
        let cap = self.cap?;
        // Repeats that pass do so beside the cut.
        let room = (cap / self.over - rates.back).max(0.0);
        let rank = cut(&rates.levels, room);
        let returns = (limits.share * rates.firsts.min(rates.served)).min(cap * PROMISED);
        let away = (rates.come() - room).max(0.0);
        // While it goes badly nobody knows what will be free.
        let good = (limits.bad + limits.good) / 2.0;
        // Nor while more is let in than was ever served: a step that turns out too long breaks what it promised.
        let borne = cap <= self.peak * STEP;
        let well = borne && rates.share() >= good && rates.soon() >= good;
        let promise = match () {
            () if !well => 0.0,
            () if away > 0.0 => (returns / away).min(1.0),
            () => 1.0,
        };
        Some(ShedLine {
            rank: rank.min(RANKS - 1),
            cap: cap as f32,
            come: (rates.come() + rates.back) as f32,
            promise: (promise * f64::from(u16::MAX)) as u16,
            returns: returns as f32,
        })
    }

    fn look(&mut self, limits: &Limits, rates: &Rates) {
        let tells = rates.ended() >= limits.least;
        let share = rates.share();
        self.left = self.left.saturating_sub(1);
        let soon = if self.left > 0 { share } else { rates.soon() };
        self.peak = (self.peak * FADES).max(rates.served);
        self.best = (self.best * LASTS).max(rates.served);
        let Some(cap) = self.cap else {
            let in_vain = rates.wasted >= limits.vain * rates.ended()
                || rates.repeats + rates.back >= limits.repeats * rates.come();
            let bad = tells && (share < limits.bad && in_vain || share >= limits.bad && soon < limits.bad);
            self.bad = if bad { self.bad + 1 } else { 0 };
            if self.bad >= BAD {
                // Where little came to an end, as in a collapse, what was served before says nothing.
                let peak = if share >= HALF { PEAK * self.peak } else { 0.0 };
                let cap = Some((rates.served.max(peak) * drained(soon)).max(limits.least));
                let anew = share < limits.bad;
                *self =
                    State { cap, step: STEP, over: 1.0, anew, bad: 0, calm: 0, since: 0, slow: 0, ..*self };
            }
            return;
        };
        self.since += 1;
        let come = rates.come() + rates.back;
        // What comes goes up and down: a cut that is as high as it is on the average is in the way half of the time.
        let in_the_way = come > cap * NEAR;
        if come > cap {
            self.over = (0.5 * self.over + 0.5 * rates.passed / cap).clamp(*OVER.start(), *OVER.end());
        }
        let settled = self.since >= SETTLE;
        self.slow = if tells && share >= limits.good && soon < limits.bad { self.slow + 1 } else { 0 };
        if self.slow >= PATIENT {
            let left = self.patience.max(LEFT);
            *self = State { left, patience: (left * 2).min(LEFT_MOST), best: self.best, ..State::default() };
            return;
        }
        // What is let in and does not come out stands in queues already.
        let stands = rates.passed >= limits.least && rates.ended() < OUT * rates.passed;
        let bad = tells && share < limits.bad || stands;
        // A little of a queue keeps the sources busy.
        let mild = tells && (share < limits.good || soon < limits.bad);
        if settled && (bad || mild) {
            self.crowd = rates.come();
            self.since = 0;
            self.step = if bad { STEP_ANEW } else { STEP };
            self.anew = bad;
            self.peak = if bad { self.peak * FAILED } else { self.peak };
            let less = match () {
                // Queues are full of what nobody waits for any more: until that has gone nothing else is served.
                () if share < HALF => cap.min(self.peak * COLLAPSED),
                () if bad => rates.served.min(cap).max(cap * LESS),
                () => (rates.served.min(cap) * drained(soon)).max(cap * LESS),
            };
            self.cap = Some(less.max(limits.least));
        } else if in_the_way && settled && !mild {
            self.since = 0;
            if rates.come() < GONE * self.crowd {
                self.step = self.step.max(STEP_ANEW);
            }
            self.anew &= cap < DOUBLED * self.best;
            let step = if self.anew { 2.0 } else { self.step };
            self.cap = Some((cap * step).max(ANEW * self.peak));
            self.step = (1.0 + (self.step - 1.0) * MORE).min(STEP_MOST);
        }
        self.calm = if in_the_way || share < limits.bad { 0 } else { self.calm + 1 };
        if self.calm >= CALM {
            let State { left, patience, peak, best, .. } = *self;
            *self = State { left, patience, peak, best, ..State::default() };
        }
    }
}

#[cfg(test)]
mod tests;
