//! Which scenarios make sense.

use super::{Fault, FaultKind, Load, Scenario};
use crate::expression;
use std::fmt;

/// A field of an experiment whose value cannot be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidField {
    /// Path of the field as experiment files and `--sweep` name it, such as `faults[2].at`.
    pub path: String,
    /// What is wrong with it.
    pub reason: String,
}

impl InvalidField {
    /// Creates the error of one field.
    pub fn new(path: impl Into<String>, reason: impl Into<String>) -> Self {
        InvalidField { path: path.into(), reason: reason.into() }
    }
}

impl fmt::Display for InvalidField {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.reason)
    }
}

impl std::error::Error for InvalidField {}

/// Collects the fields that do not hold what is required of them.
#[derive(Default)]
struct Validator {
    errors: Vec<InvalidField>,
}

impl Validator {
    fn require(&mut self, valid: bool, path: &str, reason: &str) {
        if !valid {
            self.errors.push(InvalidField::new(path, reason));
        }
    }
}

impl Scenario {
    /// All fields whose values cannot be used; none when the scenario can be run.
    pub fn validate(&self) -> Vec<InvalidField> {
        let mut validator = Validator::default();
        let seconds = self.duration_seconds;
        validator.require(
            seconds > 0.0 && seconds <= 86_400.0,
            "seconds",
            "over 0 and up to 86400 are wanted",
        );
        validator.require((1..=16).contains(&self.sites), "sites", "1 to 16 are wanted");
        validator.require((1..=10_000).contains(&self.locations), "locations", "1 to 10000 are wanted");
        let per_location = "1 to 1000 in a location are wanted";
        validator.require((1..=1000).contains(&self.gateways), "gateways", per_location);
        validator.require((1..=1000).contains(&self.caches), "caches", per_location);
        validator.require((1..=1000).contains(&self.parents), "parents", "1 to 1000 are wanted");
        validator.require(self.record_interval_ms >= 10.0, "step", "10 ms at least are wanted");
        validate_load(&self.load, &mut validator);
        for (index, fault) in self.faults.iter().enumerate() {
            self.validate_fault(index, fault, &mut validator);
        }
        validator.errors
    }

    fn validate_fault(&self, index: usize, fault: &Fault, validator: &mut Validator) {
        let within_run = fault.start_ms <= self.duration_seconds * 1000.0;
        let span_valid = fault.start_ms >= 0.0 && fault.duration_ms >= 0.0 && within_run;
        let reason = "it must begin within the run, and last 0 ms or more";
        validator.require(span_valid, &format!("faults[{index}].at"), reason);
        let share = largest_share(&fault.kind);
        let reason = "a share from 0 to 1 is wanted";
        validator.require((0.0..=1.0).contains(&share), &format!("faults[{index}].share"), reason);
        if let FaultKind::SiteLoss { site } = fault.kind {
            validator.require(site < self.sites, &format!("faults[{index}].site"), "there is no such site");
        }
    }
}

fn validate_load(load: &Load, validator: &mut Validator) {
    let rate = load.requests_per_second;
    validator.require(rate > 0.0 && rate <= 10e6, "load.rate", "over 0 and up to 10000000 are wanted");
    validator.require((1..=10_000_000).contains(&load.objects), "load.objects", "1 to 10000000 are wanted");
    let reason = "a share from 0 to 1 is wanted";
    validator.require((0.0..=1.0).contains(&load.write_share), "load.writes", reason);
    if let Some(Err(error)) = load.schedule.as_deref().map(expression::parse) {
        validator.require(false, "load.schedule", &error.to_string());
    }
    validator.require(load.client_timeout_ms >= 50.0, "load.patience", "50 ms at least are wanted");
    validator.require((1..=100).contains(&load.max_attempts), "load.tries", "1 to 100 are wanted");
}

/// The largest of the shares that a fault names, 0 where it names none.
fn largest_share(kind: &FaultKind) -> f64 {
    match kind {
        FaultKind::Crash { share }
        | FaultKind::Hang { share }
        | FaultKind::Slow { share, .. }
        | FaultKind::LinkFlap { share, .. } => *share,
        FaultKind::Gray { share, error_share } => share.max(*error_share),
        FaultKind::FlashCrowd { hot_share, .. } => *hot_share,
        _ => 0.0,
    }
}
