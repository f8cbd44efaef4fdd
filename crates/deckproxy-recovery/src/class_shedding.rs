//! What is given up first, in the operator's order.
//!
//! Pressure goes from 0 (all is served) to 1 (nothing is). A step is taken when the pressure was over its `enter` for a
//! while, and taken back when it was under its `leave` for a longer one; one step at a time, each held for a least time.
//! So a pressure that goes up and down, within the band or faster than the times, moves nothing.

use crate::{ClassNo, Millis};

/// One step: a class that is given up from then on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Step {
    /// The class.
    pub class: ClassNo,
    /// Pressure from which it is given up, and under which it is served again.
    pub enter: f64,
    /// See `enter`.
    pub leave: f64,
}

/// How long the pressure must last.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Times {
    /// Over `enter`, until a step is taken.
    pub enter: Millis,
    /// Under `leave`, until it is taken back.
    pub leave: Millis,
}

impl Default for Times {
    fn default() -> Self {
        Times { enter: 1000.0, leave: 3000.0 }
    }
}

/// Where a gateway stands among the steps.
#[derive(Clone, Debug)]
pub struct ClassShedding {
    steps: Vec<Step>,
    times: Times,
    level: usize,
    /// Since when the pressure asks for the next step, or for one less.
    up: Option<Millis>,
    down: Option<Millis>,
    /// Steps taken and taken back.
    pub changes: u64,
}

impl ClassShedding {
    /// With these steps; nothing is given up yet.
    pub fn new(steps: Vec<Step>, times: Times) -> Self {
        ClassShedding { steps, times, level: 0, up: None, down: None, changes: 0 }
    }

    /// Takes the pressure.
    pub fn pressure(&mut self, now: Millis, pressure: f64) {
        let wants_up = self.steps.get(self.level).is_some_and(|s| pressure >= s.enter);
        let wants_down = self.level > 0 && pressure < self.steps[self.level - 1].leave;
        let since = |old: Option<Millis>, wants: bool| match wants {
            // A clock that was set back begins anew.
            true => Some(old.filter(|at| *at <= now).unwrap_or(now)),
            false => None,
        };
        (self.up, self.down) = (since(self.up, wants_up), since(self.down, wants_down));
        if self.up.is_some_and(|at| now - at >= self.times.enter) {
            (self.level, self.up, self.down) = (self.level + 1, None, None);
            self.changes += 1;
        } else if self.down.is_some_and(|at| now - at >= self.times.leave) {
            (self.level, self.up, self.down) = (self.level - 1, None, None);
            self.changes += 1;
        }
    }

    /// Whether a class is given up.
    pub fn gives_up(&self, class: ClassNo) -> bool {
        self.steps[..self.level].iter().any(|s| s.class == class)
    }

    /// Steps that are taken.
    pub fn level(&self) -> usize {
        self.level
    }
}
