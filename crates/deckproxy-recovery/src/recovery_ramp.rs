//! A recovery ramp: limits the requests in flight to a target (a site, connection or member) that is
//! available again. The limit starts at one trial request and doubles with each step whose requests succeed.
//!
//! Nothing outside this crate's tests uses it yet.

use crate::Millis;

/// Limits of a ramp.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Backoff before the first trial request, in milliseconds; it doubles with each failure.
    pub min_backoff: Millis,
    /// Longest backoff before a trial request, in milliseconds.
    pub max_backoff: Millis,
    /// Limit at which the ramp ends: from there on, requests in flight are not limited.
    pub unlimited_from: u32,
    /// Share of a step's requests that may fail, 0 to 1. Above it, the limit is halved.
    pub max_failures: f64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { min_backoff: 100.0, max_backoff: 5000.0, unlimited_from: 64, max_failures: 0.2 }
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    /// The requests in flight are not limited.
    Unlimited,
    /// No request may be sent before `until`.
    Down { until: Millis },
    /// At most `limit` requests may be in flight; the counts are the results of this step so far.
    Ramping { limit: u32, successes: u32, failures: u32 },
}

impl State {
    fn step(limit: u32) -> Self {
        State::Ramping { limit, successes: 0, failures: 0 }
    }
}

/// The ramp of one target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RecoveryRamp {
    limits: Limits,
    state: State,
    in_flight: u32,
    /// Backoff after the next failure.
    backoff: Millis,
}

impl RecoveryRamp {
    /// The ramp of a target that is available: its requests are not limited.
    pub fn new(limits: Limits) -> Self {
        RecoveryRamp { limits, state: State::Unlimited, in_flight: 0, backoff: limits.min_backoff }
    }

    /// Records that the target was lost: no request may be sent until the backoff has passed.
    pub fn mark_lost(&mut self, now: Millis) {
        self.state = State::Down { until: now + self.backoff };
        self.backoff = (self.backoff * 2.0).min(self.limits.max_backoff);
    }

    /// Records that the target is reported available again: a trial request may be sent at once.
    pub fn mark_available(&mut self) {
        if matches!(self.state, State::Down { .. }) {
            self.state = State::step(1);
        }
    }

    /// Admits a request if the limit allows it, and counts it as in flight. Returns whether it was admitted.
    pub fn try_acquire(&mut self, now: Millis) -> bool {
        // If more than the longest backoff is left, the clock was set back: a trial is allowed at once.
        if let State::Down { until } = self.state
            && (now >= until || until - now > self.limits.max_backoff)
        {
            self.state = State::step(1);
        }
        let acquired = match self.state {
            State::Unlimited => true,
            State::Down { .. } => false,
            State::Ramping { limit, .. } => self.in_flight < limit,
        };
        self.in_flight += u32::from(acquired);
        acquired
    }

    /// A request that [`RecoveryRamp::try_acquire`] admitted has ended.
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
            self.mark_lost(now);
        } else if ended >= limit {
            self.finish_step(now, limit, ended, failures);
        }
    }

    fn finish_step(&mut self, now: Millis, limit: u32, ended: u32, failures: u32) {
        let has_failed = f64::from(failures) > self.limits.max_failures * f64::from(ended);
        let next = if has_failed { limit / 2 } else { limit * 2 };
        self.state = match next {
            0 => State::Down { until: now + self.backoff },
            next if next >= self.limits.unlimited_from => {
                self.backoff = self.limits.min_backoff;
                State::Unlimited
            }
            next => State::step(next),
        };
    }

    /// Largest number of requests in flight; `None`: not limited.
    pub fn limit(&self) -> Option<u32> {
        match self.state {
            State::Unlimited => None,
            State::Down { .. } => Some(0),
            State::Ramping { limit, .. } => Some(limit),
        }
    }
}
