//! Admission control before the decision module: which requests are admitted, and when the clients of
//! rejected ones may retry.

mod types;

pub use types::{Class, Counters, RequestInfo, RequestOutcome, Settings, Status, Verdict};

use crate::budget::Budget;
use crate::class_shedding::ClassShedding;
use crate::retries::{Rejection, RequestKey, RetryTracker};
use crate::retry_after::{Bounds, RetryAfterSchedule};
use crate::retry_storm::RetryStorm;
use crate::{ClassIndex, Millis};

/// Requests that must have ended, or been rejected by the cap, in the recent windows for a pressure above 0.
const MIN_ENDED_FOR_PRESSURE: u64 = 20;
/// A retry that is early by less than this is accepted, in milliseconds.
const EARLY_TOLERANCE: Millis = 1.0;
/// Share of the served rate that is planned for retries; the rest is for first attempts.
const RETRY_RATE_SHARE: f64 = 0.25;
/// Lowest rate at which retries are scheduled, per second.
const MIN_RETRY_RATE: f64 = 1.0;

/// The admission control of one gateway.
#[derive(Debug)]
pub struct Admission {
    settings: Settings,
    retries: RetryTracker,
    /// Retry budgets by class; empty if retries are not limited.
    budgets: Vec<Budget>,
    storm: Option<RetryStorm>,
    class_shedding: ClassShedding,
    schedule: RetryAfterSchedule,
    /// Counters of requests since the start.
    pub counters: Counters,
}

impl Admission {
    /// Admission control without any requests so far. The same seed and calls yield the same decisions.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let budgets = settings.retry_budget.map(|limits| vec![Budget::new(limits); settings.classes.len()]);
        Admission {
            retries: RetryTracker::new(settings.remembered, settings.remembered_for, seed),
            budgets: budgets.unwrap_or_default(),
            storm: settings.storm.map(RetryStorm::new),
            class_shedding: ClassShedding::new(settings.shedding_steps.clone(), settings.shedding_delays),
            schedule: RetryAfterSchedule::new(!seed),
            counters: Counters::default(),
            settings,
        }
    }

    /// The cap on the admitted rate in a storm, in requests per second; `None`: there is no storm.
    pub fn cap(&self) -> Option<f64> {
        self.storm.as_ref().and_then(RetryStorm::cap)
    }

    /// The state, for logs.
    pub fn status(&self) -> Status {
        Status {
            storms: self.storm.as_ref().map_or(0, |storm| storm.storms),
            shedding_level: self.class_shedding.level() as u64,
            remembered: self.retries.len() as u64,
            overbooked: self.schedule.overbooked,
        }
    }

    /// Decides on a request. Requests of unknown classes are admitted.
    pub fn request(&mut self, now: Millis, request: RequestInfo) -> Verdict {
        let Some(class) = self.settings.classes.get(request.class).copied() else { return Verdict::Admit };
        let rejection = self.retries.get(now, request.key);
        let is_retry = rejection.is_some();
        self.count_arrival(now, is_retry);
        if !class.can_be_rejected {
            return self.admit(now, request.class, is_retry);
        }
        if let Some(early_by) = rejection.and_then(|rejection| self.early_by(now, rejection)) {
            // An early retry changes nothing: the client may retry at the same time as before.
            self.counters.too_early += 1;
            return Verdict::Reject { retry_after: early_by };
        }
        if self.class_shedding.is_shed(request.class) {
            self.counters.class_shed += 1;
            return self.reject(now, request.key, self.settings.max_retry_after);
        }
        if self.cap().is_some() && request.time_left < class.min_time_left {
            self.counters.too_late += 1;
            return self.reject(now, request.key, self.settings.min_retry_after);
        }
        if is_retry && !self.take_retry(request.class) {
            self.counters.no_budget += 1;
            return self.reject(now, request.key, self.settings.min_retry_after);
        }
        if !self.try_admit_below_cap(now, class.priority_weight) {
            self.counters.capped += 1;
            if is_retry && let Some(budget) = self.budgets.get_mut(request.class) {
                budget.refund();
            }
            return self.reject(now, request.key, self.settings.min_retry_after);
        }
        self.admit(now, request.class, is_retry)
    }

    fn count_arrival(&mut self, now: Millis, is_retry: bool) {
        if is_retry {
            self.counters.retries += 1;
        } else {
            self.counters.first_attempts += 1;
        }
        let Some(storm) = &mut self.storm else { return };
        storm.count(now, |counts| {
            if is_retry {
                counts.retries += 1;
            } else {
                counts.first_attempts += 1;
            }
        });
        // Requests that the cap rejected add to the pressure: they were not served.
        let recent = storm.recent();
        let ended = recent.ended() + recent.capped;
        let pressure =
            if ended < MIN_ENDED_FOR_PRESSURE { 0.0 } else { 1.0 - recent.served as f64 / ended as f64 };
        self.class_shedding.update(now, pressure);
    }

    /// How early a retry arrives, in milliseconds; `None`: it is not early. A retry that seems early by more than the
    /// longest retry-after time is not: the clock was set back.
    fn early_by(&self, now: Millis, rejection: Rejection) -> Option<Millis> {
        let early_by = rejection.retry_at - now;
        let is_early = (EARLY_TOLERANCE..=self.settings.max_retry_after).contains(&early_by);
        (self.settings.enforces_retry_after && is_early).then_some(early_by)
    }

    /// Takes a retry from the class's budget. Returns false if the budget is empty; without a budget, always true.
    fn take_retry(&mut self, class: ClassIndex) -> bool {
        self.budgets.get_mut(class).is_none_or(Budget::spend)
    }

    fn try_admit_below_cap(&mut self, now: Millis, priority_weight: f64) -> bool {
        let Some(storm) = &mut self.storm else { return true };
        let is_admitted = storm.try_admit(now, priority_weight);
        if !is_admitted {
            storm.count(now, |counts| counts.capped += 1);
        }
        is_admitted
    }

    fn admit(&mut self, now: Millis, class: ClassIndex, is_retry: bool) -> Verdict {
        if let Some(storm) = &mut self.storm {
            storm.count(now, |counts| counts.admitted += 1);
        }
        if is_retry {
            self.counters.admitted_retries += 1;
        } else {
            self.counters.admitted_first_attempts += 1;
            if let Some(budget) = self.budgets.get_mut(class) {
                budget.earn();
            }
        }
        Verdict::Admit
    }

    fn reject(&mut self, now: Millis, request: RequestKey, min: Millis) -> Verdict {
        let retry_after = self.retry_after(now, min);
        self.retries.record(now, request, now + retry_after);
        Verdict::Reject { retry_after }
    }

    /// The retry-after time of a client that is rejected now, in milliseconds: at least `min`, and at most the
    /// longest of the settings, which takes precedence.
    fn retry_after(&mut self, now: Millis, min: Millis) -> Millis {
        let max = self.settings.max_retry_after;
        if !self.settings.spreads_retry_after {
            return min.min(max);
        }
        let served_rate = self.storm.as_ref().map_or(0.0, RetryStorm::served_rate);
        let retry_rate = (served_rate * RETRY_RATE_SHARE).max(MIN_RETRY_RATE);
        self.schedule.schedule(now, Bounds { min, max }, retry_rate)
    }

    /// An admitted request has ended. `retry_after`: the decision module's retry-after time in milliseconds,
    /// 0 if it set none. Returns the retry-after time to send to the client.
    pub fn request_ended(
        &mut self,
        now: Millis,
        request: RequestKey,
        outcome: RequestOutcome,
        retry_after: Millis,
    ) -> Millis {
        if let Some(storm) = &mut self.storm {
            storm.count(now, |counts| match outcome {
                RequestOutcome::Served => counts.served += 1,
                RequestOutcome::Rejected => counts.rejected += 1,
                RequestOutcome::Failed | RequestOutcome::ClientGone => counts.wasted += 1,
            });
        }
        match outcome {
            RequestOutcome::Served => self.retries.remove(request),
            RequestOutcome::Rejected => {
                let retry_after = self.retry_after(now, retry_after.max(self.settings.min_retry_after));
                self.retries.record(now, request, now + retry_after);
                return retry_after;
            }
            // No retry-after time was sent: the next request is a retry, and is never early.
            RequestOutcome::Failed | RequestOutcome::ClientGone => self.retries.record(now, request, now),
        }
        retry_after
    }
}
