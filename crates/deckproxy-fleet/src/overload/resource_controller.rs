//! Controls the admitted rate of one resource, much as congestion control adjusts a send window.

use super::priority::{PRIORITIES, threshold};
use super::shed_controller::Limits;
use super::shed_level::ResourceShedLevel;
use super::summary::Rates;

/// Consecutive bad evaluations until load is shed.
const BAD_EVALUATIONS: u32 = 2;
/// Consecutive evaluations at which the admitted rate was not the bottleneck, until shedding ends.
const UNCONSTRAINED_EVALUATIONS: u32 = 8;
/// Minimum number of evaluations between two changes. Until the effect of a change shows in the counts, an evaluation would
/// repeat the change.
const MIN_EVALUATIONS_BETWEEN_CHANGES: u32 = 3;

/// Factor of the first increase: close to the rate that overloaded the resource, the rate is probed in small steps.
const FIRST_STEP: f64 = 1.05;
/// Growth per increase of the excess of a step over 1, so that the rate rises faster once it has passed the rate that
/// overloaded the resource.
const STEP_GROWTH: f64 = 1.6;
/// Factor of the largest increase.
const MAX_STEP: f64 = 1.3;
/// Factor of the first increase after a bad evaluation: the rate served while queues were full is a poor estimate of the
/// capacity.
const FIRST_STEP_AFTER_BAD: f64 = 1.15;
/// Factor of an increase while the capacity is unknown, as in TCP's slow start after a time-out (RFC 5681, 3.1).
const SLOW_START_STEP: f64 = 2.0;
/// Slow start ends at this fraction of the best served rate.
const SLOW_START_END: f64 = 0.5;

/// Fraction of the admitted rate that must be completed in the same time; otherwise requests are queueing.
const MIN_COMPLETED_FRACTION: f64 = 0.6;
/// Fraction of the admitted rate that must be offered for the admitted rate to be the bottleneck. It is below 1 because the
/// offered rate varies: an admitted rate equal to the average offered rate is the bottleneck half of the time.
const BOTTLENECK_FRACTION: f64 = 0.75;
/// Fraction of the first attempts at the last decrease below which demand counts as reduced: the rate then
/// rises in larger steps.
const REDUCED_DEMAND_FRACTION: f64 = 0.6;
/// Bounds on the ratio of the measured to the intended admitted rate.
const OVERSHOOT_RANGE: std::ops::RangeInclusive<f64> = 0.8..=1.5;
/// Weight of the previous ratio in its moving average.
const OVERSHOOT_WEIGHT: f64 = 0.5;

/// Served share of the completed requests below which the resource has collapsed.
const COLLAPSE_SHARE: f64 = 0.5;
/// Fraction of the peak served rate that is admitted in a collapse, until queues of abandoned requests have drained.
const COLLAPSE_PEAK_FRACTION: f64 = 0.2;
/// Fraction of the served rate that is admitted while little of it is slow; the remaining capacity drains the queue.
const DRAIN_FACTOR_LITTLE_SLOW: f64 = 0.95;
/// Fraction of the served rate that is admitted while all of it is slow.
const DRAIN_FACTOR_ALL_SLOW: f64 = 0.8;
/// Lower bound on the factor by which the admitted rate decreases outside a collapse.
const MIN_DECREASE_FACTOR: f64 = 0.5;

/// Consecutive slow evaluations, at any admitted rate, after which the latency is considered normal for the resource rather
/// than a sign of a queue. An evaluation is slow if the served share is good and the prompt share is bad.
const SLOW_EVALUATIONS: u32 = 24;
/// Number of evaluations for which slow requests are then ignored, at first.
const IGNORED_EVALUATIONS: u32 = 120;
/// Maximum number of evaluations for which slow requests are ignored; the number doubles each time.
const MAX_IGNORED_EVALUATIONS: u32 = 4800;

/// Minimum fraction of the peak served rate that is admitted when shedding begins outside a collapse, before the drain factor
/// is applied.
const START_PEAK_FRACTION: f64 = 0.9;
/// Minimum fraction of the peak served rate that is admitted after an increase.
const INCREASE_PEAK_FRACTION: f64 = 0.7;
/// Factor by which the peak served rate decays at each evaluation.
const PEAK_DECAY: f64 = 0.99;
/// Factor by which a decrease at a bad evaluation reduces the peak served rate.
const PEAK_DECAY_AFTER_BAD: f64 = 0.75;
/// Factor by which the best served rate decays at each evaluation.
const BEST_DECAY: f64 = 0.999;

/// Maximum fraction of the admitted rate that retries may use.
const MAX_RETRY_FRACTION: f64 = 0.5;

/// The controller of one resource. Rates are in requests per second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct ResourceController {
    /// The admitted rate; `None` if no load is shed.
    admitted_rate: Option<f64>,
    bad_evaluations: u32,
    unconstrained_evaluations: u32,
    /// Factor of the next increase.
    step: f64,
    /// The highest recently served rate; it decays, also at bad evaluations.
    peak_served: f64,
    /// The highest served rate over a longer time; bad evaluations do not reduce it.
    best_served: f64,
    /// The capacity is not known yet after a bad evaluation.
    in_slow_start: bool,
    /// Moving average of the measured to the intended admitted rate.
    overshoot: f64,
    /// Evaluations since the last change.
    evaluations_since_change: u32,
    /// First attempts per second at the last decrease.
    demand_at_decrease: f64,
    /// Consecutive slow evaluations, see [`SLOW_EVALUATIONS`].
    slow_evaluations: u32,
    /// Remaining evaluations for which slow requests are ignored.
    ignored_evaluations: u32,
    /// Number of evaluations for which slow requests are ignored the next time; 0 stands for [`IGNORED_EVALUATIONS`].
    next_ignored_evaluations: u32,
}

/// What an evaluation derives from the completed requests.
struct Assessment {
    served_share: f64,
    prompt_share: f64,
    /// Enough requests were completed to judge by the shares.
    is_significant: bool,
}

impl ResourceController {
    /// Creates a controller that continues at the admitted rate of another one.
    pub(super) fn resume(limits: &Limits, admitted_rate: Option<f64>) -> Self {
        let admitted_rate = admitted_rate.map(|rate| rate.max(limits.min_rate));
        ResourceController {
            admitted_rate,
            step: FIRST_STEP,
            overshoot: 1.0,
            peak_served: admitted_rate.unwrap_or(0.0),
            best_served: admitted_rate.unwrap_or(0.0),
            ..ResourceController::default()
        }
    }

    /// Whether load is shed.
    pub(super) fn is_active(&self) -> bool {
        self.admitted_rate.is_some()
    }

    /// Multiplies the admitted rate and the capacity estimates by a factor.
    pub(super) fn resize(&mut self, limits: &Limits, factor: f64) {
        self.admitted_rate = self.admitted_rate.map(|rate| (rate * factor).max(limits.min_rate));
        self.peak_served *= factor;
        self.best_served *= factor;
        self.evaluations_since_change = 0;
    }

    /// The shed level to announce for the resource; `None` if no load is shed.
    pub(super) fn shed_level(&self, limits: &Limits, rates: &Rates) -> Option<ResourceShedLevel> {
        let admitted_rate = self.admitted_rate?;
        // The threshold is set for first attempts, so admitted retries are deducted from the rate first.
        let first_attempt_rate = (admitted_rate / self.overshoot - rates.admitted_retries).max(0.0);
        let min_priority = threshold(&rates.arrivals, first_attempt_rate).min(PRIORITIES - 1);
        let retries = limits.retry_share * rates.admitted_firsts.min(rates.served);
        let retry_rate = retries.min(admitted_rate * MAX_RETRY_FRACTION);
        let rejected_firsts = (rates.first_attempts() - first_attempt_rate).max(0.0);
        let reserved_share = self.reserved_share(limits, rates, admitted_rate, retry_rate, rejected_firsts);
        Some(ResourceShedLevel {
            min_priority,
            admitted_rate: admitted_rate as f32,
            offered_rate: rates.offered() as f32,
            reserved_share: (reserved_share * f64::from(u16::MAX)) as u16,
            retry_rate: retry_rate as f32,
        })
    }

    /// The share of rejected first attempts that get a reserved time. It is 0 while too few requests are served or prompt,
    /// as the capacity is unknown then. It is also 0 while the admitted rate is well above the peak served rate: if it
    /// turned out to exceed the capacity, reservations would be broken.
    fn reserved_share(
        &self,
        limits: &Limits,
        rates: &Rates,
        admitted_rate: f64,
        retry_rate: f64,
        rejected_firsts: f64,
    ) -> f64 {
        let good_share = (limits.bad_share + limits.good_share) / 2.0;
        let is_proven = admitted_rate <= self.peak_served * FIRST_STEP;
        let is_good = rates.served_share() >= good_share && rates.prompt_share() >= good_share;
        if !is_proven || !is_good {
            0.0
        } else if rejected_firsts > 0.0 {
            (retry_rate / rejected_firsts).min(1.0)
        } else {
            1.0
        }
    }

    /// Updates the controller from the summed rates of all instances.
    pub(super) fn evaluate(&mut self, limits: &Limits, rates: &Rates) {
        self.ignored_evaluations = self.ignored_evaluations.saturating_sub(1);
        let served_share = rates.served_share();
        let assessment = Assessment {
            served_share,
            prompt_share: if self.ignored_evaluations > 0 { served_share } else { rates.prompt_share() },
            is_significant: rates.completed() >= limits.min_rate,
        };
        self.peak_served = (self.peak_served * PEAK_DECAY).max(rates.served);
        self.best_served = (self.best_served * BEST_DECAY).max(rates.served);
        match self.admitted_rate {
            None => self.evaluate_inactive(limits, rates, &assessment),
            Some(admitted_rate) => self.evaluate_active(limits, rates, &assessment, admitted_rate),
        }
    }

    /// Starts to shed load after [`BAD_EVALUATIONS`] consecutive bad evaluations.
    fn evaluate_inactive(&mut self, limits: &Limits, rates: &Rates, assessment: &Assessment) {
        let Assessment { served_share, prompt_share, is_significant } = *assessment;
        let is_wasteful = rates.wasted >= limits.wasted_share * rates.completed()
            || rates.retries + rates.admitted_retries >= limits.retry_ratio * rates.first_attempts();
        let is_failing = served_share < limits.bad_share && is_wasteful;
        let is_slow = served_share >= limits.bad_share && prompt_share < limits.bad_share;
        let is_bad = is_significant && (is_failing || is_slow);
        self.bad_evaluations = if is_bad { self.bad_evaluations + 1 } else { 0 };
        if self.bad_evaluations < BAD_EVALUATIONS {
            return;
        }
        // In a collapse, the rate served earlier is no estimate of the capacity.
        let peak = if served_share >= COLLAPSE_SHARE { START_PEAK_FRACTION * self.peak_served } else { 0.0 };
        let admitted_rate = rates.served.max(peak) * drain_factor(prompt_share);
        *self = ResourceController {
            admitted_rate: Some(admitted_rate.max(limits.min_rate)),
            step: FIRST_STEP,
            overshoot: 1.0,
            in_slow_start: served_share < limits.bad_share,
            bad_evaluations: 0,
            unconstrained_evaluations: 0,
            evaluations_since_change: 0,
            slow_evaluations: 0,
            ..*self
        };
    }

    /// Adjusts the admitted rate, or ends shedding.
    fn evaluate_active(
        &mut self,
        limits: &Limits,
        rates: &Rates,
        assessment: &Assessment,
        admitted_rate: f64,
    ) {
        let Assessment { served_share, prompt_share, is_significant } = *assessment;
        self.evaluations_since_change += 1;
        let offered = rates.offered();
        let is_bottleneck = offered > admitted_rate * BOTTLENECK_FRACTION;
        if offered > admitted_rate {
            let latest = (1.0 - OVERSHOOT_WEIGHT) * rates.admitted / admitted_rate;
            let average = OVERSHOOT_WEIGHT * self.overshoot + latest;
            self.overshoot = average.clamp(*OVERSHOOT_RANGE.start(), *OVERSHOOT_RANGE.end());
        }
        let is_slow = is_significant && served_share >= limits.good_share && prompt_share < limits.bad_share;
        self.slow_evaluations = if is_slow { self.slow_evaluations + 1 } else { 0 };
        if self.slow_evaluations >= SLOW_EVALUATIONS {
            return self.accept_latency();
        }
        let is_queueing =
            rates.admitted >= limits.min_rate && rates.completed() < MIN_COMPLETED_FRACTION * rates.admitted;
        let is_bad = is_significant && served_share < limits.bad_share || is_queueing;
        // A short queue keeps the sources busy, so slow requests count only when the prompt share is bad.
        let is_degraded =
            is_significant && (served_share < limits.good_share || prompt_share < limits.bad_share);
        let is_settled = self.evaluations_since_change >= MIN_EVALUATIONS_BETWEEN_CHANGES;
        if is_settled && (is_bad || is_degraded) {
            self.decrease(limits, rates, assessment, admitted_rate, is_bad);
        } else if is_bottleneck && is_settled && !is_degraded {
            self.increase(rates, admitted_rate);
        }
        let is_unconstrained = !is_bottleneck && served_share >= limits.bad_share;
        self.unconstrained_evaluations =
            if is_unconstrained { self.unconstrained_evaluations + 1 } else { 0 };
        if self.unconstrained_evaluations >= UNCONSTRAINED_EVALUATIONS {
            self.deactivate();
        }
    }

    fn decrease(
        &mut self,
        limits: &Limits,
        rates: &Rates,
        assessment: &Assessment,
        admitted_rate: f64,
        is_bad: bool,
    ) {
        self.demand_at_decrease = rates.first_attempts();
        self.evaluations_since_change = 0;
        self.step = if is_bad { FIRST_STEP_AFTER_BAD } else { FIRST_STEP };
        self.in_slow_start = is_bad;
        self.peak_served = if is_bad { self.peak_served * PEAK_DECAY_AFTER_BAD } else { self.peak_served };
        let served = rates.served.min(admitted_rate);
        let lower_bound = admitted_rate * MIN_DECREASE_FACTOR;
        let decreased = if assessment.served_share < COLLAPSE_SHARE {
            admitted_rate.min(self.peak_served * COLLAPSE_PEAK_FRACTION)
        } else if is_bad {
            served.max(lower_bound)
        } else {
            (served * drain_factor(assessment.prompt_share)).max(lower_bound)
        };
        self.admitted_rate = Some(decreased.max(limits.min_rate));
    }

    fn increase(&mut self, rates: &Rates, admitted_rate: f64) {
        self.evaluations_since_change = 0;
        if rates.first_attempts() < REDUCED_DEMAND_FRACTION * self.demand_at_decrease {
            self.step = self.step.max(FIRST_STEP_AFTER_BAD);
        }
        self.in_slow_start &= admitted_rate < SLOW_START_END * self.best_served;
        let step = if self.in_slow_start { SLOW_START_STEP } else { self.step };
        self.admitted_rate = Some((admitted_rate * step).max(INCREASE_PEAK_FRACTION * self.peak_served));
        self.step = (1.0 + (self.step - 1.0) * STEP_GROWTH).min(MAX_STEP);
    }

    /// Ends shedding at a resource that is slow at any admitted rate, and ignores slow requests for some time.
    fn accept_latency(&mut self) {
        let ignored_evaluations = self.next_ignored_evaluations.max(IGNORED_EVALUATIONS);
        *self = ResourceController {
            ignored_evaluations,
            next_ignored_evaluations: (ignored_evaluations * 2).min(MAX_IGNORED_EVALUATIONS),
            best_served: self.best_served,
            ..ResourceController::default()
        };
    }

    /// Ends shedding, and keeps the peak and best served rates.
    fn deactivate(&mut self) {
        *self = ResourceController {
            ignored_evaluations: self.ignored_evaluations,
            next_ignored_evaluations: self.next_ignored_evaluations,
            peak_served: self.peak_served,
            best_served: self.best_served,
            ..ResourceController::default()
        };
    }
}

/// The fraction of the served rate to admit for a given prompt share.
fn drain_factor(prompt_share: f64) -> f64 {
    DRAIN_FACTOR_LITTLE_SLOW
        - (DRAIN_FACTOR_LITTLE_SLOW - DRAIN_FACTOR_ALL_SLOW) * (1.0 - prompt_share).clamp(0.0, 1.0)
}
