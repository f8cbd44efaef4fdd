//! What an instance sees of its fleet, whether it is in the majority, and at which rate it may act.

use crate::Millis;

/// Largest rate of an instance that has just come to the majority.
const UNSETTLED_RATE: f64 = 0.5;

/// An instance's view of the fleet.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct View {
    /// Instances that the fleet should have.
    pub expected: usize,
    /// Those that are alive, ourselves included.
    pub alive: usize,
    /// Those of them that receive our heartbeats, as far as their digests show; ourselves included.
    pub confirmed: usize,
    /// Since when all but this is as it is.
    pub since: Millis,
    /// This part of the fleet is the majority.
    pub is_majority: bool,
    /// It has been the majority for long enough for those who acted before to have noticed.
    pub is_settled: bool,
    /// The process was paused, or has just started, and has not received enough since.
    pub is_stale: bool,
}

impl View {
    /// Takes what is seen now; `since` stays where nothing changed.
    pub fn update(&mut self, now: Millis, seen: &View) {
        let seen = View { since: self.since, ..*seen };
        if seen != *self {
            *self = View { since: now, ..seen };
        }
    }

    /// The share of its full rate at which this part of the fleet checks members: all of it in the majority, which takes
    /// over from the others; elsewhere the part's own share of the fleet. So all parts together act at one and a half times
    /// the rate of the undivided fleet at most, and at its rate at most where no part is the majority.
    ///
    /// An instance that has just come to the majority, or with it, acts at half the rate for a moment: those that acted
    /// before may not have received word of it yet, and stop only when they do, or when they notice that they are cut off.
    pub fn rate(&self) -> f64 {
        let share = self.confirmed as f64 / self.expected.max(1) as f64;
        match (self.is_stale, self.is_majority, self.is_settled) {
            (true, ..) => 0.0,
            (_, true, true) => 1.0,
            (_, true, false) => share.min(UNSETTLED_RATE),
            _ => share,
        }
    }
}

/// Whether a part of the fleet is the majority: more than half of it, and of two halves the one that has the instance with
/// the first of all names.
pub fn is_majority(confirmed: usize, expected: usize, has_first: bool) -> bool {
    2 * confirmed > expected || 2 * confirmed == expected && has_first
}
