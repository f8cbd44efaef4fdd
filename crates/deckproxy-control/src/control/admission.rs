//! Admission by latency objective: what would be answered too late is shed.

use super::Control;
use super::request_state::PendingRequest;
use super::sending_times::fill_time;
use super::tuning::{HOP_ALLOWANCE, OBJECTIVE_LEFT_MIN, ORIGIN_LATENCY_PRIOR, ORIGIN_LATENCY_TIME_CONSTANT};
use crate::interface::Millis;

impl Control {
    /// Whether an answer that duration so long would come too long after its latency objective to be worth its
    /// work. Large answers of low weight are shed first, as their objectives leave them the least time.
    pub(super) fn is_too_late(&self, pending: &PendingRequest, duration: Millis) -> bool {
        let class = &self.settings.classes[pending.request.class];
        let stretch = class.latency_objective_stretch * self.sending_time(&pending.request);
        let objective = (class.latency_objective + stretch).min(class.deadline);
        let waited = self.now - pending.arrived_at;
        let left = (objective - waited).max(objective * OBJECTIVE_LEFT_MIN);
        duration + HOP_ALLOWANCE > left
    }

    /// Whether an answer from a member of that load would come too late.
    pub(super) fn is_too_late_at_load(&self, pending: &PendingRequest, load: f64) -> bool {
        self.is_too_late(pending, self.sending_time(&pending.request) * load.max(1.0))
    }

    /// Whether a source of that latency inflation would answer too late.
    pub(super) fn is_too_slow(&self, pending: &PendingRequest, inflation: f64) -> bool {
        let duration = fill_time(self.sending_time(&pending.request)) * inflation - HOP_ALLOWANCE;
        inflation > 1.0 && self.is_too_late(pending, duration)
    }

    /// Whether the origin was seen to be overloaded for a request. Large answers suffer most there and weigh
    /// more.
    pub(super) fn is_origin_too_slow(&self, pending: &PendingRequest) -> bool {
        let inflation =
            self.origin_latency.ratio(ORIGIN_LATENCY_PRIOR, ORIGIN_LATENCY_TIME_CONSTANT, self.now);
        self.is_too_slow(pending, inflation)
    }

    /// Whether the location's link is so full that one more transfer would come too late: a link that
    /// everyone fills lets nobody through. This sheds too much where the link's rate is told too low.
    pub(super) fn is_link_overloaded(&self, pending: &PendingRequest) -> bool {
        let load = self.link_load();
        load > 0.0 && self.is_too_late_at_load(pending, load)
    }
}
