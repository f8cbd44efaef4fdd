//! The load that several routers together put on one member or link.

use super::decay::{TimedValue, decay_factor};
use super::tuning::{
    LOAD_REPORT_SMOOTHING, LOAD_REPORT_TIME_CONSTANT, LOAD_REPORT_WEIGHT, OWN_LOAD_TIME_CONSTANT,
};
use crate::interface::Millis;

/// Attempts in flight at a member or over a link: this router's own, and an estimate of the other
/// routers'.
///
/// The other routers' load is extrapolated from the mean of this router's own load, as the few attempts
/// in flight at one moment are too noisy, and corrected by load reports.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct SharedLoad {
    own: f64,
    own_mean: f64,
    updated_at: Millis,
    others_reported: Option<TimedValue>,
}

impl SharedLoad {
    /// This router's own attempts in flight.
    pub(super) fn own(&self) -> f64 {
        self.own
    }

    /// Changes the number of this router's own attempts in flight; the change may be negative.
    pub(super) fn add(&mut self, change: f64, now: Millis) {
        self.own_mean = self.own_mean_at(now);
        self.updated_at = now;
        self.own = (self.own + change).max(0.0);
    }

    /// Records a report of the load of all routers. Reports are smoothed: if routers reacted to each
    /// momentary load, all of them would move their requests away at once.
    pub(super) fn report(&mut self, total: f64, now: Millis) {
        let others = (total - self.own).max(0.0);
        let value = match self.others_reported {
            Some(previous) => previous.value + LOAD_REPORT_SMOOTHING * (others - previous.value),
            None => others,
        };
        self.others_reported = Some(TimedValue { value, at: now });
    }

    /// The estimated load of all routers; `routers` is their number.
    pub(super) fn total(&self, routers: f64, now: Millis) -> f64 {
        let estimate = (routers - 1.0) * self.own_mean_at(now);
        let others = match self.others_reported.filter(|_| routers > 1.0) {
            Some(report) => {
                let weight = LOAD_REPORT_WEIGHT * decay_factor(now - report.at, LOAD_REPORT_TIME_CONSTANT);
                estimate + (report.value - estimate) * weight
            }
            None => estimate,
        };
        self.own + others
    }

    /// The other routers' load as reported, decayed by the report's age; 0 without a report.
    pub(super) fn decayed_report(&self, now: Millis) -> f64 {
        let decayed =
            |report: TimedValue| report.value * decay_factor(now - report.at, LOAD_REPORT_TIME_CONSTANT);
        self.others_reported.map_or(0.0, decayed)
    }

    fn own_mean_at(&self, now: Millis) -> f64 {
        self.own + (self.own_mean - self.own) * decay_factor(now - self.updated_at, OWN_LOAD_TIME_CONSTANT)
    }
}
