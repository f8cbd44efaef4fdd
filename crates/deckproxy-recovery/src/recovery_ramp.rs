//! One prober, then more by measured success: for a site, a link or a member that came back.

use crate::Millis;

/// How a return goes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Until it is probed again after a failure, at first and at most; doubling.
    pub again: (Millis, Millis),
    /// Requests that may be out at the end of the ramp; from there on it bounds nothing.
    pub full: u32,
    /// Share of failures among those of a step from which the step before counts again.
    pub failures: f64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { again: (100.0, 5000.0), full: 64, failures: 0.2 }
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    /// It bounds nothing.
    Full,
    /// Nothing goes there before that time.
    Down { until: Millis },
    /// So many may be out; of this step, so many went well and wrong.
    Returning { may: u32, well: u32, wrong: u32 },
}

/// A ramp.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RecoveryRamp {
    limits: Limits,
    state: State,
    out: u32,
    wait: Millis,
}

impl RecoveryRamp {
    /// Of something that is well.
    pub fn new(limits: Limits) -> Self {
        RecoveryRamp { limits, state: State::Full, out: 0, wait: limits.again.0 }
    }

    /// It is lost.
    pub fn lost(&mut self, now: Millis) {
        self.state = State::Down { until: now + self.wait };
        self.wait = (self.wait * 2.0).min(self.limits.again.1);
    }

    /// It is said to be back: it is believed step by step.
    pub fn back(&mut self) {
        if matches!(self.state, State::Down { .. }) {
            self.state = State::Returning { may: 1, well: 0, wrong: 0 };
        }
    }

    /// Whether one more may go there now; it counts as out then.
    pub fn take(&mut self, now: Millis) -> bool {
        if let State::Down { until } = self.state
            && (now >= until || until - now > self.limits.again.1)
        {
            self.state = State::Returning { may: 1, well: 0, wrong: 0 };
        }
        let may = match self.state {
            State::Full => true,
            State::Down { .. } => false,
            State::Returning { may, .. } => self.out < may,
        };
        self.out += u32::from(may);
        may
    }

    /// One that was out has ended.
    pub fn ended(&mut self, now: Millis, well: bool) {
        self.out = self.out.saturating_sub(1);
        let State::Returning { may, well: w, wrong } = &mut self.state else { return };
        if well {
            *w += 1
        } else {
            *wrong += 1
        }
        let (done, failed) = (*w + *wrong, f64::from(*wrong));
        if *may == 1 && *wrong > 0 {
            return self.lost(now);
        }
        if done < *may {
            return;
        }
        let next = match failed > self.limits.failures * f64::from(done) {
            true => *may / 2,
            false => *may * 2,
        };
        self.state = match next {
            0 => State::Down { until: now + self.wait },
            next if next >= self.limits.full => {
                self.wait = self.limits.again.0;
                State::Full
            }
            may => State::Returning { may, well: 0, wrong: 0 },
        };
    }

    /// Requests that may be out; none: any number.
    pub fn may(&self) -> Option<u32> {
        match self.state {
            State::Full => None,
            State::Down { .. } => Some(0),
            State::Returning { may, .. } => Some(may),
        }
    }
}
