//! Decides the shed level from the request counts of all instances.
//!
//! Shedding starts when capacity is wasted: when requests are slow, or when few are served while others fail or many are
//! retries. Rejections by the decision module alone do not start it: rejecting is cheap, and shedding more requests than
//! that would itself do harm. The admitted rate follows the served rate: it is slightly higher, rises with each good
//! evaluation, and is reduced at once at a bad evaluation.

use super::resource_controller::ResourceController;
use super::shed_level::ShedLevel;
use super::summary::{RESOURCES, Rates};
use crate::Millis;

/// Thresholds at which shedding starts and ends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Served share of the completed requests below which an evaluation is bad.
    pub bad_share: f64,
    /// Served share of the completed requests from which an evaluation is good.
    pub good_share: f64,
    /// Wasted share of the completed requests from which load is shed, while the served share is bad.
    pub wasted_share: f64,
    /// Retries per first attempt from which load is shed, too, while the served share is bad.
    pub retry_ratio: f64,
    /// Completed requests per second of the fleet below which evaluations are not significant. This rate is always admitted.
    pub min_rate: f64,
    /// Retries admitted per admitted first attempt.
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

/// Time between two evaluations of the request counts, in milliseconds.
pub const EVALUATION_INTERVAL: Millis = 250.0;
/// Length of an epoch, in milliseconds.
const EPOCH_LENGTH: Millis = 2000.0;

/// Controls the shed level of all resources.
#[derive(Clone, Debug)]
pub struct ShedController {
    limits: Limits,
    resources: [ResourceController; RESOURCES],
    epoch: u64,
    epoch_started_at: Millis,
    /// Number of times that shedding started at a resource.
    pub activations: u64,
}

impl ShedController {
    /// A controller that sheds no load yet.
    pub fn new(limits: Limits) -> Self {
        let resources = Default::default();
        ShedController { limits, resources, epoch: 0, epoch_started_at: 0.0, activations: 0 }
    }

    /// Takes over from the previous leader, whose level has the given age in milliseconds. `shares`: for each resource, the
    /// rate that is offered to the instances of this leader, relative to the rate that was offered when the level was
    /// decided. After a network split, each part continues with its share of the admitted rate.
    pub fn take_over(&mut self, now: Millis, level: &ShedLevel, age: Millis, shares: [f64; RESOURCES]) {
        for ((resource, resource_level), share) in self.resources.iter_mut().zip(level.resources).zip(shares)
        {
            let admitted_rate =
                resource_level.map(|level| f64::from(level.admitted_rate) * share.clamp(0.0, 1.0));
            *resource = ResourceController::resume(&self.limits, admitted_rate);
        }
        self.epoch = level.epoch;
        self.epoch_started_at = now - age - f64::from(level.epoch_age);
    }

    /// Scales the controllers by the factors by which the offered rates changed along with the number of instances, so that
    /// the parts of a split together admit what the undivided fleet did, and the reunited fleet what its parts did.
    pub fn resize(&mut self, factors: [f64; RESOURCES]) {
        for (resource, factor) in self.resources.iter_mut().zip(factors) {
            resource.resize(&self.limits, factor);
        }
    }

    /// Decides the shed level from the summed rates of all instances; called once every [`EVALUATION_INTERVAL`].
    pub fn evaluate(&mut self, now: Millis, rates: &[Rates; RESOURCES]) -> ShedLevel {
        if self.epoch == 0 || now - self.epoch_started_at >= EPOCH_LENGTH {
            (self.epoch, self.epoch_started_at) = (self.epoch + 1, now);
        }
        let epoch_age = (now - self.epoch_started_at) as u16;
        let mut level = ShedLevel { epoch: self.epoch, epoch_age, resources: [None; RESOURCES] };
        for ((resource, rates), resource_level) in
            self.resources.iter_mut().zip(rates).zip(&mut level.resources)
        {
            let was_active = resource.is_active();
            resource.evaluate(&self.limits, rates);
            self.activations += u64::from(!was_active && resource.is_active());
            *resource_level = resource.shed_level(&self.limits, rates);
        }
        level
    }
}

#[cfg(test)]
mod tests;
