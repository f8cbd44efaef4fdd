//! The health of members: from an observer's checks and attempts to its report, and from all reports to whether the member
//! is ejected.
//!
//! A member is ejected only where as many observers as are wanted report that it fails, and none reports otherwise. It
//! returns in steps: it answers checks again, then its observers alone send it requests (a half-open trial), then all
//! others do, each at a moment of its own.

use crate::Millis;
use serde::{Deserialize, Serialize};

/// An observer's report on a member. The order of the variants is the wire format.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Health {
    /// It answers checks.
    #[default]
    Healthy,
    /// It does not answer checks.
    Failing,
    /// It answers checks again, and is on trial with requests of its observers.
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

/// What it takes to change an observer's report.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Thresholds {
    /// Failed checks in a row after which a member fails.
    pub failures: u32,
    /// Good checks in a row after which a failing member is on trial.
    pub successes: u32,
    /// Good attempts that end the trial.
    pub trial_successes: u32,
    /// Milliseconds without a failure that end the trial too, where few requests come.
    pub trial_time: Millis,
}

impl Default for Thresholds {
    fn default() -> Self {
        Thresholds { failures: 3, successes: 2, trial_successes: 5, trial_time: 3000.0 }
    }
}

/// An observer's evidence on one member.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Monitor {
    health: Health,
    /// Checks in a row that ended like the last one.
    streak: u32,
    last_was_good: bool,
    /// Good attempts in the state.
    good_attempts: u32,
    /// When the state began.
    since: Millis,
}

impl Monitor {
    /// The health to report.
    pub fn health(&self) -> Health {
        self.health
    }

    /// Whether that has been observed and is not only the initial assumption: an observer that has just taken over a
    /// failing member must not report it healthy before it has seen that.
    pub fn is_observed(&self) -> bool {
        self.health != Health::Healthy || self.last_was_good
    }

    fn change_to(&mut self, now: Millis, health: Health) {
        (self.health, self.good_attempts, self.since) = (health, 0, now);
    }

    /// A health check of this observer ended.
    pub fn health_checked(&mut self, now: Millis, thresholds: &Thresholds, good: bool) {
        self.streak = if self.last_was_good == good { self.streak + 1 } else { 1 };
        self.last_was_good = good;
        match (self.health, good) {
            (Health::Healthy, false) if self.streak >= thresholds.failures => {
                self.change_to(now, Health::Failing);
            }
            (Health::Failing, true) if self.streak >= thresholds.successes => {
                self.change_to(now, Health::HalfOpen);
            }
            // One failure ends a trial.
            (Health::HalfOpen, false) => self.change_to(now, Health::Failing),
            (Health::HalfOpen, true) if now - self.since >= thresholds.trial_time => {
                self.change_to(now, Health::Healthy);
            }
            _ => {}
        }
    }

    /// An attempt of this observer's requests ended; it counts during a trial only.
    pub fn attempt_ended(&mut self, now: Millis, thresholds: &Thresholds, good: bool) {
        if self.health != Health::HalfOpen {
            return;
        }
        self.good_attempts += u32::from(good);
        if !good {
            self.streak = 0;
            self.change_to(now, Health::Failing);
        } else if self.good_attempts >= thresholds.trial_successes {
            self.change_to(now, Health::Healthy);
        }
    }
}

/// Whether the fleet ejects a member.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Ejection {
    /// No instance does.
    #[default]
    None,
    /// All do except its observers, which send it trial requests.
    ExceptObservers,
    /// All do.
    All,
}

/// Combines the reports on a member. `wanted`: observers that have to agree. `ejected`: it is ejected so far; that stays so
/// until an observer reports it healthy or none reports anything any more, as when one of its observers is lost.
pub fn combine(reports: impl Iterator<Item = Health>, wanted: usize, ejected: bool) -> Ejection {
    let (mut failing, mut half_open, mut healthy) = (0, 0, 0);
    for report in reports {
        match report {
            Health::Failing => failing += 1,
            Health::HalfOpen => half_open += 1,
            Health::Healthy => healthy += 1,
        }
    }
    let needed = if ejected { 1 } else { wanted.max(1) };
    // One healthy report outweighs the others: those observers may be cut off themselves.
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
