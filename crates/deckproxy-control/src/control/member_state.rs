//! The state of a listed member.

use super::decay::TimedValue;
use super::latency_inflation::LatencyInflation;
use super::shared_load::SharedLoad;
use super::slow_start::SlowStartBudget;
use super::tuning::{
    BUSY_SHARE_SATURATED, LOAD_REPORT_TIME_CONSTANT, MEMBER_LATENCY_PRIOR, OBSERVATION_TIME_CONSTANT,
};
use crate::interface::{Lifecycle, Member, Millis};

/// Signs of a member's health, and its ejection.
#[derive(Debug, Default)]
pub(super) struct Health {
    pub(super) consecutive_failures: u32,
    pub(super) last_failure_at: Millis,
    /// Sends since the last sign of life.
    pub(super) unanswered_sends: u32,
    /// When the first of them was sent.
    pub(super) unanswered_since: Millis,
    pub(super) ejected_until: Millis,
    /// Length of the last ejection.
    pub(super) ejection_span: Millis,
    /// Half-open after an ejection: one trial at a time, until a good answer.
    pub(super) is_half_open: bool,
    pub(super) trial_in_flight: bool,
}

/// A listed member.
#[derive(Debug, Default)]
pub(super) struct MemberState {
    pub(super) listed: Member,
    pub(super) slow_start_budget: SlowStartBudget,
    /// Attempts in flight that draw on its link, fills that name it as their source included.
    pub(super) in_flight: SharedLoad,
    /// Its last report of its busy share.
    pub(super) busy_share: Option<TimedValue>,
    pub(super) latency: LatencyInflation,
    pub(super) health: Health,
    /// When it was last sent to, or named as a source.
    pub(super) last_used_at: Millis,
}

impl MemberState {
    /// A member known since `known_at` that takes nothing until `blocked_until`.
    pub(super) fn new(listed: Member, known_at: Millis, blocked_until: Millis) -> Self {
        MemberState {
            listed,
            slow_start_budget: SlowStartBudget::starting_at(known_at),
            health: Health { ejected_until: blocked_until, ..Health::default() },
            ..MemberState::default()
        }
    }

    /// Whether it takes requests: ready, not ejected, and no trial of it is in flight.
    pub(super) fn is_usable(&self, now: Millis) -> bool {
        let health = &self.health;
        let awaits_trial = health.is_half_open && health.trial_in_flight;
        self.listed.lifecycle == Lifecycle::Ready && now >= health.ejected_until && !awaits_trial
    }

    /// Whether it reported lately that its cores have time left.
    pub(super) fn reports_spare_capacity(&self, now: Millis) -> bool {
        let is_spare = |share: TimedValue| {
            share.value < BUSY_SHARE_SATURATED && now - share.at < LOAD_REPORT_TIME_CONSTANT
        };
        self.busy_share.is_some_and(is_spare)
    }

    /// Takes the latency inflation of one answer.
    pub(super) fn record_inflation(&mut self, inflation: f64, now: Millis) {
        self.latency.record(inflation, 1.0, OBSERVATION_TIME_CONSTANT, now);
    }

    /// The latency inflation to be expected; it tends to 1 without observations.
    pub(super) fn inflation(&self, now: Millis) -> f64 {
        self.latency.ratio(MEMBER_LATENCY_PRIOR, OBSERVATION_TIME_CONSTANT, now)
    }
}
