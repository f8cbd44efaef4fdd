//! Decides the shed level from the request counts of all instances.
//!
//! Load is shed where work is in vain (it fails, is late, or is for retries), not only where the decision module rejects:
//! rejecting is cheap, and shedding more than that would itself do harm. The admitted rate follows the served rate: a
//! little more than that is admitted, more with each good look, and less at once where the look is bad.

use super::resource_controller::ResourceController;
use super::shed_level::ShedLevel;
use super::summary::{RESOURCES, Rates};
use crate::Millis;

/// When load is shed, and when no longer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Served share of the completed requests below which a look is bad.
    pub bad_share: f64,
    /// Served share of the completed requests from which a look is good.
    pub good_share: f64,
    /// Wasted share of the completed requests from which load is shed.
    pub wasted_share: f64,
    /// Retries for each first attempt from which load is shed, too.
    pub retry_ratio: f64,
    /// Completed requests a second of the fleet below which nothing is judged; so many are always admitted.
    pub min_rate: f64,
    /// Retries admitted for each first attempt that is.
    pub retry_share: f64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            bad_share: 0.85,
            good_share: 0.95,
            wasted_share: 0.05,
            retry_ratio: 0.3,
            min_rate: 10.0,
            retry_share: 0.2,
        }
    }
}

/// From one look at the counts to the next, in milliseconds.
pub const EVALUATION_INTERVAL: Millis = 250.0;
/// Length of an epoch, in milliseconds.
const EPOCH: Millis = 2000.0;

/// Controls the shed level of all resources.
#[derive(Clone, Debug)]
pub struct ShedController {
    limits: Limits,
    resources: [ResourceController; RESOURCES],
    epoch: u64,
    epoch_began: Millis,
    /// Times that shedding began at a resource.
    pub activations: u64,
}

impl ShedController {
    /// A controller that sheds no load yet.
    pub fn new(limits: Limits) -> Self {
        let resources = Default::default();
        ShedController { limits, resources, epoch: 0, epoch_began: 0.0, activations: 0 }
    }

    /// Takes over from the previous leader, whose level has the given age in milliseconds. `shares`: by resource, the part of
    /// the requests offered then that is offered to the instances that follow this one; a part of a split continues with its
    /// own part of the admitted rate.
    pub fn take_over(&mut self, now: Millis, level: &ShedLevel, age: Millis, shares: [f64; RESOURCES]) {
        for ((resource, line), share) in self.resources.iter_mut().zip(level.resources).zip(shares) {
            let admitted_rate = line.map(|line| f64::from(line.admitted_rate) * share.clamp(0.0, 1.0));
            *resource = ResourceController::resume(&self.limits, admitted_rate);
        }
        self.epoch = level.epoch;
        self.epoch_began = now - age - f64::from(level.epoch_age);
    }

    /// The number of instances has changed, and with it the offered requests by these factors: so parts of a split together
    /// admit what the undivided fleet did, and the reunited fleet what its parts did.
    pub fn resize(&mut self, factors: [f64; RESOURCES]) {
        for (resource, factor) in self.resources.iter_mut().zip(factors) {
            resource.resize(&self.limits, factor);
        }
    }

    /// Decides from the rates of all instances, once every [`EVALUATION_INTERVAL`].
    pub fn evaluate(&mut self, now: Millis, rates: &[Rates; RESOURCES]) -> ShedLevel {
        if self.epoch == 0 || now - self.epoch_began >= EPOCH {
            (self.epoch, self.epoch_began) = (self.epoch + 1, now);
        }
        let epoch_age = (now - self.epoch_began) as u16;
        let mut level = ShedLevel { epoch: self.epoch, epoch_age, resources: [None; RESOURCES] };
        for ((resource, rates), line) in self.resources.iter_mut().zip(rates).zip(&mut level.resources) {
            let was_active = resource.is_active();
            resource.evaluate(&self.limits, rates);
            self.activations += u64::from(!was_active && resource.is_active());
            *line = resource.line(&self.limits, rates);
        }
        level
    }
}

#[cfg(test)]
mod tests;
