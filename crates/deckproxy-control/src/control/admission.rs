//! Admission control by latency objective: requests that would be answered too late are shed.

use super::Control;
use super::request_state::PendingRequest;
use super::sending_times::fill_time;
use super::tuning::{HOP_ALLOWANCE, OBJECTIVE_LEFT_MIN, ORIGIN_LATENCY_PRIOR, ORIGIN_LATENCY_TIME_CONSTANT};
use crate::interface::Millis;

impl Control {
    /// Whether an answer that takes `duration` would miss the request's latency objective, so that it is
    /// not worth the work. Large answers are shed first, as their objectives leave the least slack beyond
    /// their sending time.
    pub(super) fn is_too_late(&self, pending: &PendingRequest, duration: Millis) -> bool {
        let class = &self.settings.classes[pending.request.class];
        let stretch = class.latency_objective_stretch * self.sending_time(&pending.request);
        let objective = (class.latency_objective + stretch).min(class.deadline);
        let waited = self.now - pending.arrived_at;
        let left = (objective - waited).max(objective * OBJECTIVE_LEFT_MIN);
        duration + HOP_ALLOWANCE > left
    }

    /// Whether an answer from a member with that load would be too late.
    pub(super) fn is_too_late_at_load(&self, pending: &PendingRequest, load: f64) -> bool {
        self.is_too_late(pending, self.sending_time(&pending.request) * load.max(1.0))
    }

    /// Whether a source with that latency inflation would answer too late.
    pub(super) fn is_too_slow(&self, pending: &PendingRequest, inflation: f64) -> bool {
        let duration = fill_time(self.sending_time(&pending.request)) * inflation - HOP_ALLOWANCE;
        inflation > 1.0 && self.is_too_late(pending, duration)
    }

    /// Whether the origin was observed to be too slow for a request. Latencies are summed, so large
    /// answers, which suffer most from its overload, weigh more.
    pub(super) fn is_origin_too_slow(&self, pending: &PendingRequest) -> bool {
        let inflation =
            self.origin_latency.ratio(ORIGIN_LATENCY_PRIOR, ORIGIN_LATENCY_TIME_CONSTANT, self.now);
        self.is_too_slow(pending, inflation)
    }

    /// Whether the location's link is so loaded that one more transfer would be too late: an overloaded
    /// link serves no request in time. If the link's configured rate is too low, this sheds too many
    /// requests.
    pub(super) fn is_link_overloaded(&self, pending: &PendingRequest) -> bool {
        let load = self.link_load();
        load > 0.0 && self.is_too_late_at_load(pending, load)
    }
}
