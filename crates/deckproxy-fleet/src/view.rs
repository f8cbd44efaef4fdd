//! An instance's view of its fleet: whether it is in the majority partition, and at which rate it may run health checks.

use crate::Millis;

/// Maximum rate of an instance that has just joined the majority, or whose partition has just become the majority.
const UNSETTLED_RATE: f64 = 0.5;

/// An instance's view of the fleet.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct View {
    /// Number of instances that the fleet should have.
    pub expected: usize,
    /// Number of instances that are alive, including this one.
    pub alive: usize,
    /// Estimate, from recent digests, of how many of those receive our heartbeats; including this one.
    pub confirmed: usize,
    /// When any other field last changed.
    pub since: Millis,
    /// This partition of the fleet is the majority.
    pub is_majority: bool,
    /// It has been the majority for long enough for the instances that acted before to have noticed.
    pub is_settled: bool,
    /// The process was paused or has just started, and its view is not yet up to date.
    pub is_stale: bool,
}

impl View {
    /// Updates the view from an observation; `since` changes only if another field does.
    pub fn update(&mut self, now: Millis, observed: &View) {
        let observed = View { since: self.since, ..*observed };
        if observed != *self {
            *self = View { since: now, ..observed };
        }
    }

    /// The share of the full rate at which this partition of the fleet checks members. The majority partition checks at the
    /// full rate, as it takes over from the others; any other partition checks in proportion to its share of the fleet. All
    /// partitions together thus check at no more than one and a half times the rate of the undivided fleet, and at no more
    /// than its rate if none of them is the majority. While the view is stale, the rate is 0.
    ///
    /// A partition that has just become the majority, or an instance that has just joined it, checks at half the rate or
    /// less at first: the instances that acted before stop only when they learn of the change, or detect that they are cut
    /// off.
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

/// Whether a partition of the fleet is the majority: more than half of the instances, or exactly half of them including the
/// instance whose name sorts first.
pub fn is_majority(confirmed: usize, expected: usize, has_first: bool) -> bool {
    2 * confirmed > expected || 2 * confirmed == expected && has_first
}
