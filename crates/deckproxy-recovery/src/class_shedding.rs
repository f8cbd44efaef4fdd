//! Load shedding by class, in the operator's order.
//!
//! Pressure ranges from 0 (all requests are served) to 1 (none is). A class is shed once the pressure has
//! been at or above its upper threshold for a configured time, and admitted again once the pressure has been
//! below its lower threshold for another, by default longer, time. Classes are shed and admitted again one at a
//! time. Pressure that varies between the thresholds, or faster than these times, changes nothing.

use crate::{ClassIndex, Millis};

/// A class to shed and its thresholds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Step {
    /// The class.
    pub class: ClassIndex,
    /// Pressure at or above which the class is shed, 0 to 1.
    pub shed_from: f64,
    /// Pressure below which the class is admitted again, 0 to 1.
    pub restore_below: f64,
}

/// How long the pressure must be past a threshold before a class is shed or admitted again.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Delays {
    /// Time at or above `shed_from` until a class is shed, in milliseconds.
    pub shed_after: Millis,
    /// Time below `restore_below` until the class is admitted again, in milliseconds.
    pub restore_after: Millis,
}

impl Default for Delays {
    fn default() -> Self {
        Delays { shed_after: 1000.0, restore_after: 3000.0 }
    }
}

/// The classes that are shed at present.
#[derive(Clone, Debug)]
pub struct ClassShedding {
    steps: Vec<Step>,
    delays: Delays,
    /// Number of steps in effect, counted from the first.
    level: usize,
    /// Since when the pressure has been at or above the threshold of the next step.
    shed_since: Option<Millis>,
    /// Since when the pressure has been below the restore threshold of the last step in effect.
    restore_since: Option<Millis>,
    /// Number of times that a class was shed or admitted again.
    pub changes: u64,
}

impl ClassShedding {
    /// Starts with no class shed.
    pub fn new(steps: Vec<Step>, delays: Delays) -> Self {
        ClassShedding { steps, delays, level: 0, shed_since: None, restore_since: None, changes: 0 }
    }

    /// Updates the shed classes for the present pressure, by one step at most.
    pub fn update(&mut self, now: Millis, pressure: f64) {
        let should_shed = self.steps.get(self.level).is_some_and(|step| pressure >= step.shed_from);
        let should_restore = self.level > 0 && pressure < self.steps[self.level - 1].restore_below;
        self.shed_since = true_since(self.shed_since, now, should_shed);
        self.restore_since = true_since(self.restore_since, now, should_restore);
        if self.shed_since.is_some_and(|since| now - since >= self.delays.shed_after) {
            self.change_to(self.level + 1);
        } else if self.restore_since.is_some_and(|since| now - since >= self.delays.restore_after) {
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

    /// Number of steps in effect.
    pub fn level(&self) -> usize {
        self.level
    }
}

/// Since when a condition has been true without interruption; `earlier`: since when it was at the last update. If
/// the clock was set back, the time starts over at `now`.
fn true_since(earlier: Option<Millis>, now: Millis, is_true: bool) -> Option<Millis> {
    is_true.then(|| earlier.filter(|since| *since <= now).unwrap_or(now))
}
