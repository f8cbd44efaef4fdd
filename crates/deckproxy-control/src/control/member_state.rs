//! The state of a listed member.

use super::decay::TimedValue;
use super::latency_inflation::LatencyInflation;
use super::shared_load::SharedLoad;
use super::slow_start::SlowStartBudget;
use super::tuning::{
    BUSY_SHARE_SATURATED, EJECTION_FAILURES, EJECTION_RECOVERY_FACTOR, EJECTION_TIME_MAX, EJECTION_TIME_MIN,
    LOAD_REPORT_TIME_CONSTANT, MEMBER_LATENCY_PRIOR, OBSERVATION_TIME_CONSTANT, SILENT_SENDS,
    SILENT_TRIAL_SENDS,
};
use crate::interface::{Lifecycle, Member, Millis};

/// Health and ejection of a member.
#[derive(Debug, Default)]
pub(super) struct Health {
    pub(super) consecutive_failures: u32,
    pub(super) last_failure_at: Millis,
    /// Sends to the member since its last response; errors and connection failures count as responses.
    pub(super) unanswered_sends: u32,
    /// Clock time of the first unanswered send.
    pub(super) unanswered_since: Millis,
    pub(super) ejected_until: Millis,
    /// Duration of the last ejection, shortened if the half-open trial after it succeeded.
    pub(super) ejection_duration: Millis,
    /// Half-open after an ejection: only one trial at a time until an answer succeeds.
    pub(super) is_half_open: bool,
    pub(super) trial_in_flight: bool,
}

impl Health {
    /// Clock time from which the member is usable if it is ready; infinite while its half-open trial is in
    /// flight.
    pub(super) fn usable_from(&self) -> Millis {
        let awaits_trial = self.is_half_open && self.trial_in_flight;
        if awaits_trial { f64::INFINITY } else { self.ejected_until }
    }

    /// Records a send to the member, as its target or as its source.
    pub(super) fn record_send(&mut self, is_target: bool, now: Millis) {
        self.trial_in_flight |= self.is_half_open;
        if is_target {
            if self.unanswered_sends == 0 {
                self.unanswered_since = now;
            }
            self.unanswered_sends += 1;
        }
    }

    /// Ejects the member, unless it is ejected already. Returns for how long.
    pub(super) fn eject(&mut self, now: Millis) -> Option<Millis> {
        if now < self.ejected_until {
            return None;
        }
        self.ejection_duration = (self.ejection_duration * 2.0).clamp(EJECTION_TIME_MIN, EJECTION_TIME_MAX);
        self.ejected_until = now + self.ejection_duration;
        self.is_half_open = true;
        self.trial_in_flight = false;
        self.consecutive_failures = 0;
        self.unanswered_sends = 0;
        Some(self.ejection_duration)
    }

    /// Records a success, which ends the half-open state.
    pub(super) fn record_success(&mut self) {
        self.consecutive_failures = 0;
        if self.is_half_open {
            self.is_half_open = false;
            self.ejection_duration *= EJECTION_RECOVERY_FACTOR;
        }
    }

    /// Records a failure. Returns whether the member is to be ejected.
    pub(super) fn record_failure(&mut self, now: Millis) -> bool {
        // Failures at the same instant usually result from one broken connection and count as one failure.
        let is_same_failure = self.last_failure_at == now && self.consecutive_failures > 0;
        self.consecutive_failures += u32::from(!is_same_failure);
        self.last_failure_at = now;
        let failed_often = self.consecutive_failures >= EJECTION_FAILURES && !is_same_failure;
        self.is_half_open || failed_often
    }

    /// Whether so many sends are unanswered that the member is silent once they have been so for long.
    pub(super) fn is_silence_suspect(&self) -> bool {
        let sends = if self.is_half_open { SILENT_TRIAL_SENDS } else { SILENT_SENDS };
        self.unanswered_sends >= sends
    }
}

/// A listed member.
#[derive(Debug, Default)]
pub(super) struct MemberState {
    pub(super) listed: Member,
    pub(super) slow_start_budget: SlowStartBudget,
    /// Attempts in flight at the member, including fills that use it as their source. Fills and direct
    /// attempts that were sent to it are excluded once they are late.
    pub(super) in_flight: SharedLoad,
    /// The last reported share of its CPU time in use.
    pub(super) busy_share: Option<TimedValue>,
    pub(super) latency: LatencyInflation,
    pub(super) health: Health,
    /// Clock time at which it was last the target or source of an attempt.
    pub(super) last_used_at: Millis,
}

impl MemberState {
    /// Creates a member known since `known_at` that accepts no attempts until `blocked_until`.
    pub(super) fn new(listed: Member, known_at: Millis, blocked_until: Millis) -> Self {
        MemberState {
            listed,
            slow_start_budget: SlowStartBudget::starting_at(known_at),
            health: Health { ejected_until: blocked_until, ..Health::default() },
            ..MemberState::default()
        }
    }

    /// Whether it accepts requests: it is ready and not ejected, and no trial of it is in flight.
    pub(super) fn is_usable(&self, now: Millis) -> bool {
        self.listed.lifecycle == Lifecycle::Ready && now >= self.health.usable_from()
    }

    /// Whether a recent report shows that its CPU is not saturated.
    pub(super) fn reports_spare_capacity(&self, now: Millis) -> bool {
        let is_spare = |share: TimedValue| {
            share.value < BUSY_SHARE_SATURATED && now - share.at < LOAD_REPORT_TIME_CONSTANT
        };
        self.busy_share.is_some_and(is_spare)
    }

    /// Records the latency inflation of one answer.
    pub(super) fn record_inflation(&mut self, inflation: f64, now: Millis) {
        self.latency.record(inflation, 1.0, OBSERVATION_TIME_CONSTANT, now);
    }

    /// The expected latency inflation; it tends to 1 without observations.
    pub(super) fn inflation(&self, now: Millis) -> f64 {
        self.latency.ratio(MEMBER_LATENCY_PRIOR, OBSERVATION_TIME_CONSTANT, now)
    }
}
