//! Which classes are shed first, in the operator's order.
//!
//! Pressure ranges from 0 (all is served) to 1 (nothing is). A class is shed when the pressure was above its upper bound for
//! a while, and admitted again when it was below its lower bound for a longer one; one class at a time. So a pressure that
//! varies within the bounds, or faster than the times, changes nothing.

use crate::{ClassIndex, Millis};

/// A class to shed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Step {
    /// The class.
    pub class: ClassIndex,
    /// Pressure from which it is shed, 0 to 1.
    pub shed_from: f64,
    /// Pressure below which it is admitted again, 0 to 1.
    pub restore_below: f64,
}

/// How long the pressure must last.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Times {
    /// Time at or above `shed_from` until a class is shed, in milliseconds.
    pub shed_after: Millis,
    /// Time below `restore_below` until it is admitted again, in milliseconds.
    pub restore_after: Millis,
}

impl Default for Times {
    fn default() -> Self {
        Times { shed_after: 1000.0, restore_after: 3000.0 }
    }
}

/// Which classes are shed at present.
#[derive(Clone, Debug)]
pub struct ClassShedding {
    steps: Vec<Step>,
    times: Times,
    /// So many of the first steps are taken.
    level: usize,
    /// Since when the pressure asks for the next step.
    shed_since: Option<Millis>,
    /// Since when the pressure asks to take the last step back.
    restore_since: Option<Millis>,
    /// Steps taken and taken back so far.
    pub changes: u64,
}

impl ClassShedding {
    /// Sheds by these steps, of which none is taken yet.
    pub fn new(steps: Vec<Step>, times: Times) -> Self {
        ClassShedding { steps, times, level: 0, shed_since: None, restore_since: None, changes: 0 }
    }

    /// Takes up the present pressure.
    pub fn update(&mut self, now: Millis, pressure: f64) {
        let wants_shed = self.steps.get(self.level).is_some_and(|step| pressure >= step.shed_from);
        let wants_restore = self.level > 0 && pressure < self.steps[self.level - 1].restore_below;
        self.shed_since = since(self.shed_since, now, wants_shed);
        self.restore_since = since(self.restore_since, now, wants_restore);
        if self.shed_since.is_some_and(|since| now - since >= self.times.shed_after) {
            self.change_to(self.level + 1);
        } else if self.restore_since.is_some_and(|since| now - since >= self.times.restore_after) {
            self.change_to(self.level - 1);
        }
    }

    fn change_to(&mut self, level: usize) {
        (self.level, self.shed_since, self.restore_since) = (level, None, None);
        self.changes += 1;
    }

    /// Whether a class is shed.
    pub fn is_shed(&self, class: ClassIndex) -> bool {
        self.steps[..self.level].iter().any(|step| step.class == class)
    }

    /// Number of steps that are taken.
    pub fn level(&self) -> usize {
        self.level
    }
}

/// Since when something is wanted; a clock that was set back begins anew.
fn since(earlier: Option<Millis>, now: Millis, is_wanted: bool) -> Option<Millis> {
    is_wanted.then(|| earlier.filter(|since| *since <= now).unwrap_or(now))
}
