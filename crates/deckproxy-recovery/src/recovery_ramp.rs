//! A recovery ramp: one trial request, then more by measured success, for a site, connection or member that returned.
//!
//! Nothing outside this crate's tests uses it yet.

use crate::Millis;

/// How a ramp goes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// First wait until a trial after a failure, in milliseconds; it doubles each time.
    pub min_wait: Millis,
    /// Longest wait until a trial, in milliseconds.
    pub max_wait: Millis,
    /// Requests in flight at which the ramp ends and bounds nothing any more.
    pub full: u32,
    /// Failed share of a step's requests above which the ramp goes back by one step, 0 to 1.
    pub max_failures: f64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { min_wait: 100.0, max_wait: 5000.0, full: 64, max_failures: 0.2 }
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    /// The ramp bounds nothing.
    Full,
    /// No request is sent before that time.
    Down { until: Millis },
    /// The requests in flight are bounded; results of this step so far.
    Ramping { limit: u32, successes: u32, failures: u32 },
}

impl State {
    fn step(limit: u32) -> Self {
        State::Ramping { limit, successes: 0, failures: 0 }
    }
}

/// The ramp of one site, connection or member.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RecoveryRamp {
    limits: Limits,
    state: State,
    in_flight: u32,
    /// Wait after the next failure.
    wait: Millis,
}

impl RecoveryRamp {
    /// The ramp of something that works.
    pub fn new(limits: Limits) -> Self {
        RecoveryRamp { limits, state: State::Full, in_flight: 0, wait: limits.min_wait }
    }

    /// It is lost: no request is sent for a while.
    pub fn lost(&mut self, now: Millis) {
        self.state = State::Down { until: now + self.wait };
        self.wait = (self.wait * 2.0).min(self.limits.max_wait);
    }

    /// It is announced to be back: a trial may be sent at once.
    pub fn returned(&mut self) {
        if matches!(self.state, State::Down { .. }) {
            self.state = State::step(1);
        }
    }

    /// Takes a place for a request, where there is one; returns whether it did.
    pub fn try_acquire(&mut self, now: Millis) -> bool {
        // A wait longer than the longest is from before the clock was set back.
        if let State::Down { until } = self.state
            && (now >= until || until - now > self.limits.max_wait)
        {
            self.state = State::step(1);
        }
        let acquired = match self.state {
            State::Full => true,
            State::Down { .. } => false,
            State::Ramping { limit, .. } => self.in_flight < limit,
        };
        self.in_flight += u32::from(acquired);
        acquired
    }

    /// A request that had a place ended.
    pub fn release(&mut self, now: Millis, success: bool) {
        self.in_flight = self.in_flight.saturating_sub(1);
        let State::Ramping { limit, successes, failures } = &mut self.state else { return };
        if success {
            *successes += 1;
        } else {
            *failures += 1;
        }
        let (limit, ended, failures) = (*limit, *successes + *failures, *failures);
        if limit == 1 && failures > 0 {
            self.lost(now);
        } else if ended >= limit {
            self.finish_step(now, limit, ended, failures);
        }
    }

    fn finish_step(&mut self, now: Millis, limit: u32, ended: u32, failures: u32) {
        let has_failed = f64::from(failures) > self.limits.max_failures * f64::from(ended);
        let next = if has_failed { limit / 2 } else { limit * 2 };
        self.state = match next {
            0 => State::Down { until: now + self.wait },
            next if next >= self.limits.full => {
                self.wait = self.limits.min_wait;
                State::Full
            }
            next => State::step(next),
        };
    }

    /// Most requests in flight; `None`: any number.
    pub fn limit(&self) -> Option<u32> {
        match self.state {
            State::Full => None,
            State::Down { .. } => Some(0),
            State::Ramping { limit, .. } => Some(limit),
        }
    }
}
