//! The health of members: how an observer derives its report from health checks and attempts, and how the reports of all
//! observers decide whether a member is ejected.
//!
//! A member is ejected only if the required number of observers report it failing or half-open and none reports it healthy.
//! It is reinstated in steps: first it passes health checks again, then only its observers send it requests (a half-open
//! trial), then all other instances do, each after a delay of its own.

use crate::Millis;
use serde::{Deserialize, Serialize};

/// An observer's report on a member. The order of the variants is the wire format.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Health {
    /// It passes health checks.
    #[default]
    Healthy,
    /// It does not pass health checks.
    Failing,
    /// It passes health checks again, and is on trial with requests from its observers.
    HalfOpen,
}

impl Health {
    /// The state's name in log lines.
    pub fn log_name(self) -> &'static str {
        match self {
            Health::Healthy => "healthy",
            Health::Failing => "failing",
            Health::HalfOpen => "half-open",
        }
    }
}

/// Thresholds at which an observer's report changes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Thresholds {
    /// Consecutive failed checks after which a member is reported failing.
    pub failures: u32,
    /// Consecutive successful checks after which a failing member is on trial.
    pub successes: u32,
    /// Successful attempts that end the trial.
    pub trial_successes: u32,
    /// Time without a failure, in milliseconds, after which a successful check ends the trial too, for members that receive
    /// few requests.
    pub trial_time: Millis,
}

impl Default for Thresholds {
    fn default() -> Self {
        Thresholds { failures: 3, successes: 2, trial_successes: 5, trial_time: 3000.0 }
    }
}

/// An observer's state for one member: the health that it reports, and the results that lead to the next change.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Monitor {
    health: Health,
    /// Number of consecutive checks with the same result as the last one.
    streak: u32,
    last_check_succeeded: bool,
    /// Successful attempts since the state began.
    successful_attempts: u32,
    /// When the state began.
    state_since: Millis,
}

impl Monitor {
    /// The health that this observer reports.
    pub fn health(&self) -> Health {
        self.health
    }

    /// Whether the health is based on checks rather than on the initial assumption: an observer that has just taken over a
    /// failing member must not report it healthy before a check has succeeded.
    pub fn is_observed(&self) -> bool {
        self.health != Health::Healthy || self.last_check_succeeded
    }

    fn change_to(&mut self, now: Millis, health: Health) {
        (self.health, self.successful_attempts, self.state_since) = (health, 0, now);
    }

    /// Records the result of a health check by this observer.
    pub fn health_checked(&mut self, now: Millis, thresholds: &Thresholds, succeeded: bool) {
        self.streak = if self.last_check_succeeded == succeeded { self.streak + 1 } else { 1 };
        self.last_check_succeeded = succeeded;
        match (self.health, succeeded) {
            (Health::Healthy, false) if self.streak >= thresholds.failures => {
                self.change_to(now, Health::Failing);
            }
            (Health::Failing, true) if self.streak >= thresholds.successes => {
                self.change_to(now, Health::HalfOpen);
            }
            // A single failure ends a trial.
            (Health::HalfOpen, false) => self.change_to(now, Health::Failing),
            (Health::HalfOpen, true) if now - self.state_since >= thresholds.trial_time => {
                self.change_to(now, Health::Healthy);
            }
            _ => {}
        }
    }

    /// Records the result of an attempt by this observer; it has an effect during a trial only.
    pub fn attempt_ended(&mut self, now: Millis, thresholds: &Thresholds, succeeded: bool) {
        if self.health != Health::HalfOpen {
            return;
        }
        self.successful_attempts += u32::from(succeeded);
        if !succeeded {
            self.streak = 0;
            self.change_to(now, Health::Failing);
        } else if self.successful_attempts >= thresholds.trial_successes {
            self.change_to(now, Health::Healthy);
        }
    }
}

/// Whether the fleet ejects a member.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Ejection {
    /// No instance ejects it.
    #[default]
    None,
    /// All instances eject it except its observers, which send it trial requests.
    ExceptObservers,
    /// All instances eject it.
    All,
}

/// Combines the reports on a member.
///
/// `required` is the number of observers that have to agree before a member is ejected. A member that is already `ejected`
/// remains so, even when one of its observers is lost, until an observer reports it healthy or there are no reports.
pub fn combine_reports(reports: impl Iterator<Item = Health>, required: usize, ejected: bool) -> Ejection {
    let (mut failing, mut half_open, mut healthy) = (0, 0, 0);
    for report in reports {
        match report {
            Health::Failing => failing += 1,
            Health::HalfOpen => half_open += 1,
            Health::Healthy => healthy += 1,
        }
    }
    let needed = if ejected { 1 } else { required.max(1) };
    // One healthy report overrules the others: their observers may be partitioned from the member.
    if healthy > 0 || failing + half_open < needed {
        Ejection::None
    } else if half_open > 0 {
        Ejection::ExceptObservers
    } else {
        Ejection::All
    }
}

#[cfg(test)]
mod tests;
