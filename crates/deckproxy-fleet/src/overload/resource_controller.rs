//! Controls the admitted rate of one resource, as a congestion controller does a window.

use super::priority::{PRIORITIES, threshold};
use super::shed_controller::Limits;
use super::shed_level::ResourceShedLevel;
use super::summary::Rates;

/// Bad looks in a row until load is shed.
const BAD_EVALUATIONS: u32 = 2;
/// Looks in a row at which the admitted rate was not the bottleneck, until no load is shed any more.
const CALM_EVALUATIONS: u32 = 8;
/// Looks from one change to the next at least: the effect of a change must have been counted, or it is made twice.
const SETTLING_EVALUATIONS: u32 = 3;

/// Factor of the first increase: near the rate that was too much, the rate is probed.
const FIRST_STEP: f64 = 1.05;
/// Growth of each further step; once past the rate that was too much, the rate climbs.
const STEP_GROWTH: f64 = 1.6;
/// Largest step.
const LARGEST_STEP: f64 = 1.3;
/// First step after a bad look: what was served while queues were full says little of the capacity.
const FIRST_STEP_AFTER_BAD: f64 = 1.15;
/// Step while the capacity is unknown, as TCP's slow start after a time-out (RFC 5681, 3.1).
const SLOW_START_STEP: f64 = 2.0;
/// Slow start ends at this part of the best served rate.
const SLOW_START_END: f64 = 0.5;

/// Part of the admitted rate that must be completed in the same time, or the rest stands in queues.
const COMPLETED_PART: f64 = 0.6;
/// Part of the admitted rate that must be offered for that rate to be the bottleneck. What is offered varies: a rate at its
/// average is the bottleneck half of the time.
const BOTTLENECK_PART: f64 = 0.75;
/// Part of the first attempts at the last decrease under which the demand has gone, and the rate is found anew.
const GONE_DEMAND: f64 = 0.6;
/// Bounds on the ratio of the measured to the intended admitted rate.
const OVERSHOOT: std::ops::RangeInclusive<f64> = 0.8..=1.5;
/// Weight of the previous ratio in its moving average.
const OVERSHOOT_WEIGHT: f64 = 0.5;

/// Served share under which the resource has collapsed.
const COLLAPSE_SHARE: f64 = 0.5;
/// Part of the peak served rate that is admitted in a collapse, until queues of abandoned requests are empty.
const COLLAPSE_PART: f64 = 0.2;
/// Part of the served rate that is admitted while some of it is slow: the rest drains the queue.
const DRAIN_SOME: f64 = 0.95;
/// Part of the served rate that is admitted while all of it is slow.
const DRAIN_ALL: f64 = 0.8;
/// Part of the admitted rate that a bad look leaves at least.
const LARGEST_DECREASE: f64 = 0.5;

/// Looks at which all is served and most of it slowly whatever is admitted, after which that is taken for the normal
/// latency and not for a queue.
const SLOW_EVALUATIONS: u32 = 24;
/// Looks for which slowness is ignored then.
const IGNORED_EVALUATIONS: u32 = 120;
/// Most looks for which slowness is ignored; the number doubles each time.
const MOST_IGNORED_EVALUATIONS: u32 = 4800;

/// Part of the peak served rate that is admitted when shedding begins.
const PEAK_AT_START: f64 = 0.9;
/// Part of the peak served rate that is admitted at once on a good look.
const PEAK_ON_INCREASE: f64 = 0.7;
/// What each look leaves of the peak served rate.
const PEAK_DECAY: f64 = 0.99;
/// What each bad look leaves of the peak served rate.
const PEAK_AFTER_BAD: f64 = 0.75;
/// What each look leaves of the best served rate.
const BEST_DECAY: f64 = 0.999;

/// Part of the admitted rate that reserved retries may take at most.
const RETRY_PART: f64 = 0.5;

/// The controller of one resource. Rates are requests a second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct ResourceController {
    /// The admitted rate; `None`: no load is shed.
    admitted_rate: Option<f64>,
    bad_evaluations: u32,
    calm_evaluations: u32,
    /// Factor of the next increase.
    step: f64,
    /// The highest rate that was served lately.
    peak: f64,
    /// The same over a longer time, whatever bad looks there were.
    best: f64,
    /// After a bad look, the capacity is not known yet.
    in_slow_start: bool,
    /// Moving average of the measured to the intended admitted rate.
    overshoot: f64,
    /// Looks since the last change.
    since_change: u32,
    /// First attempts a second at the last decrease.
    demand: f64,
    /// Looks in a row at which all was served, and most of it slowly.
    slow_evaluations: u32,
    /// Looks for which slowness is still ignored.
    ignored_evaluations: u32,
    /// For how many looks slowness is ignored the next time; 0: [`IGNORED_EVALUATIONS`].
    next_ignored_evaluations: u32,
}

/// What a look finds.
struct Assessment {
    served_share: f64,
    prompt_share: f64,
    /// Enough requests were completed to judge.
    is_significant: bool,
}

impl ResourceController {
    /// Continues at an admitted rate of another controller.
    pub(super) fn resume(limits: &Limits, admitted_rate: Option<f64>) -> Self {
        let admitted_rate = admitted_rate.map(|rate| rate.max(limits.min_rate));
        ResourceController {
            admitted_rate,
            step: FIRST_STEP,
            overshoot: 1.0,
            peak: admitted_rate.unwrap_or(0.0),
            best: admitted_rate.unwrap_or(0.0),
            ..ResourceController::default()
        }
    }

    /// Whether load is shed.
    pub(super) fn is_active(&self) -> bool {
        self.admitted_rate.is_some()
    }

    /// Multiplies all that is known of the capacity.
    pub(super) fn resize(&mut self, limits: &Limits, factor: f64) {
        self.admitted_rate = self.admitted_rate.map(|rate| (rate * factor).max(limits.min_rate));
        self.peak *= factor;
        self.best *= factor;
        self.since_change = 0;
    }

    /// The line to announce.
    pub(super) fn line(&self, limits: &Limits, rates: &Rates) -> Option<ResourceShedLevel> {
        let admitted_rate = self.admitted_rate?;
        // Retries are admitted beside the threshold.
        let for_firsts = (admitted_rate / self.overshoot - rates.admitted_retries).max(0.0);
        let min_priority = threshold(&rates.arrivals, for_firsts).min(PRIORITIES - 1);
        let retries = limits.retry_share * rates.admitted_firsts.min(rates.served);
        let retry_rate = retries.min(admitted_rate * RETRY_PART);
        let rejected_firsts = (rates.first_attempts() - for_firsts).max(0.0);
        let reserved_share = self.reserved_share(limits, rates, admitted_rate, retry_rate, rejected_firsts);
        Some(ResourceShedLevel {
            min_priority,
            admitted_rate: admitted_rate as f32,
            offered_rate: rates.offered() as f32,
            reserved_share: (reserved_share * f64::from(u16::MAX)) as u16,
            retry_rate: retry_rate as f32,
        })
    }

    /// The share of rejected first attempts that get a reserved time. None do while the look is bad, as nobody knows the
    /// capacity then, nor while more is admitted than was ever served: a step that turns out too long would break the
    /// reservations.
    fn reserved_share(
        &self,
        limits: &Limits,
        rates: &Rates,
        admitted_rate: f64,
        retry_rate: f64,
        rejected_firsts: f64,
    ) -> f64 {
        let good_share = (limits.bad_share + limits.good_share) / 2.0;
        let is_proven = admitted_rate <= self.peak * FIRST_STEP;
        let is_good = rates.served_share() >= good_share && rates.prompt_share() >= good_share;
        if !is_proven || !is_good {
            0.0
        } else if rejected_firsts > 0.0 {
            (retry_rate / rejected_firsts).min(1.0)
        } else {
            1.0
        }
    }

    /// Takes up the rates of all instances.
    pub(super) fn evaluate(&mut self, limits: &Limits, rates: &Rates) {
        self.ignored_evaluations = self.ignored_evaluations.saturating_sub(1);
        let served_share = rates.served_share();
        let assessment = Assessment {
            served_share,
            prompt_share: if self.ignored_evaluations > 0 { served_share } else { rates.prompt_share() },
            is_significant: rates.completed() >= limits.min_rate,
        };
        self.peak = (self.peak * PEAK_DECAY).max(rates.served);
        self.best = (self.best * BEST_DECAY).max(rates.served);
        match self.admitted_rate {
            None => self.evaluate_inactive(limits, rates, &assessment),
            Some(admitted_rate) => self.evaluate_active(limits, rates, &assessment, admitted_rate),
        }
    }

    /// Begins to shed load after bad looks in a row.
    fn evaluate_inactive(&mut self, limits: &Limits, rates: &Rates, assessment: &Assessment) {
        let Assessment { served_share, prompt_share, is_significant } = *assessment;
        let in_vain = rates.wasted >= limits.wasted_share * rates.completed()
            || rates.retries + rates.admitted_retries >= limits.retry_ratio * rates.first_attempts();
        let is_failing = served_share < limits.bad_share && in_vain;
        let is_slow = served_share >= limits.bad_share && prompt_share < limits.bad_share;
        let is_bad = is_significant && (is_failing || is_slow);
        self.bad_evaluations = if is_bad { self.bad_evaluations + 1 } else { 0 };
        if self.bad_evaluations < BAD_EVALUATIONS {
            return;
        }
        // In a collapse what was served before says nothing.
        let peak = if served_share >= COLLAPSE_SHARE { PEAK_AT_START * self.peak } else { 0.0 };
        let admitted_rate = rates.served.max(peak) * drain_part(prompt_share);
        *self = ResourceController {
            admitted_rate: Some(admitted_rate.max(limits.min_rate)),
            step: FIRST_STEP,
            overshoot: 1.0,
            in_slow_start: served_share < limits.bad_share,
            bad_evaluations: 0,
            calm_evaluations: 0,
            since_change: 0,
            slow_evaluations: 0,
            ..*self
        };
    }

    /// Adjusts the admitted rate, or ends the shedding.
    fn evaluate_active(
        &mut self,
        limits: &Limits,
        rates: &Rates,
        assessment: &Assessment,
        admitted_rate: f64,
    ) {
        let Assessment { served_share, prompt_share, is_significant } = *assessment;
        self.since_change += 1;
        let offered = rates.offered();
        let is_bottleneck = offered > admitted_rate * BOTTLENECK_PART;
        if offered > admitted_rate {
            let latest = (1.0 - OVERSHOOT_WEIGHT) * rates.admitted / admitted_rate;
            let average = OVERSHOOT_WEIGHT * self.overshoot + latest;
            self.overshoot = average.clamp(*OVERSHOOT.start(), *OVERSHOOT.end());
        }
        let is_slow = is_significant && served_share >= limits.good_share && prompt_share < limits.bad_share;
        self.slow_evaluations = if is_slow { self.slow_evaluations + 1 } else { 0 };
        if self.slow_evaluations >= SLOW_EVALUATIONS {
            return self.accept_latency();
        }
        let is_queueing =
            rates.admitted >= limits.min_rate && rates.completed() < COMPLETED_PART * rates.admitted;
        let is_bad = is_significant && served_share < limits.bad_share || is_queueing;
        // A short queue keeps the sources busy.
        let is_mediocre =
            is_significant && (served_share < limits.good_share || prompt_share < limits.bad_share);
        let is_settled = self.since_change >= SETTLING_EVALUATIONS;
        if is_settled && (is_bad || is_mediocre) {
            self.decrease(limits, rates, assessment, admitted_rate, is_bad);
        } else if is_bottleneck && is_settled && !is_mediocre {
            self.increase(rates, admitted_rate);
        }
        let is_calm = !is_bottleneck && served_share >= limits.bad_share;
        self.calm_evaluations = if is_calm { self.calm_evaluations + 1 } else { 0 };
        if self.calm_evaluations >= CALM_EVALUATIONS {
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
        self.demand = rates.first_attempts();
        self.since_change = 0;
        self.step = if is_bad { FIRST_STEP_AFTER_BAD } else { FIRST_STEP };
        self.in_slow_start = is_bad;
        self.peak = if is_bad { self.peak * PEAK_AFTER_BAD } else { self.peak };
        let served = rates.served.min(admitted_rate);
        let least = admitted_rate * LARGEST_DECREASE;
        let decreased = if assessment.served_share < COLLAPSE_SHARE {
            admitted_rate.min(self.peak * COLLAPSE_PART)
        } else if is_bad {
            served.max(least)
        } else {
            (served * drain_part(assessment.prompt_share)).max(least)
        };
        self.admitted_rate = Some(decreased.max(limits.min_rate));
    }

    fn increase(&mut self, rates: &Rates, admitted_rate: f64) {
        self.since_change = 0;
        if rates.first_attempts() < GONE_DEMAND * self.demand {
            self.step = self.step.max(FIRST_STEP_AFTER_BAD);
        }
        self.in_slow_start &= admitted_rate < SLOW_START_END * self.best;
        let step = if self.in_slow_start { SLOW_START_STEP } else { self.step };
        self.admitted_rate = Some((admitted_rate * step).max(PEAK_ON_INCREASE * self.peak));
        self.step = (1.0 + (self.step - 1.0) * STEP_GROWTH).min(LARGEST_STEP);
    }

    /// The resource is slow whatever is admitted: ends the shedding, and ignores slowness for a while.
    fn accept_latency(&mut self) {
        let ignored_evaluations = self.next_ignored_evaluations.max(IGNORED_EVALUATIONS);
        *self = ResourceController {
            ignored_evaluations,
            next_ignored_evaluations: (ignored_evaluations * 2).min(MOST_IGNORED_EVALUATIONS),
            best: self.best,
            ..ResourceController::default()
        };
    }

    /// Ends the shedding; what was served stays known.
    fn deactivate(&mut self) {
        *self = ResourceController {
            ignored_evaluations: self.ignored_evaluations,
            next_ignored_evaluations: self.next_ignored_evaluations,
            peak: self.peak,
            best: self.best,
            ..ResourceController::default()
        };
    }
}

/// The part of the served rate to admit where such a share of it was prompt.
fn drain_part(prompt_share: f64) -> f64 {
    DRAIN_SOME - (DRAIN_SOME - DRAIN_ALL) * (1.0 - prompt_share).clamp(0.0, 1.0)
}
