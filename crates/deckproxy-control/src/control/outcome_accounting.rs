//! Records what the outcome of an attempt shows about members, the origin and the location's link.

use super::Control;
use super::latency_inflation::LatencyInflation;
use super::request_state::{Attempt, AttemptKind, AttemptResult};
use super::sending_times::fill_time;
use super::tuning::{
    LATE_INFLATION, ORIGIN_LATENCY_TIME_CONSTANT, RECOVERED_FILL_SHARE, SLOW_SOURCE_INFLATION,
};
use crate::interface::{AttemptEnding, FillNote, MemberId, Millis, Request};

impl AttemptResult {
    /// The member to avoid in a retry. A failed fill is attributed to its source unless the cache is
    /// clearly at fault, as the cache has usually just processed the look-up.
    pub(super) fn member_at_fault(&self, attempt: &Attempt) -> MemberId {
        use AttemptEnding::{Cancelled, ConnectFailed, Reset};
        let is_cache_at_fault =
            matches!(self.ending, ConnectFailed | Reset | Cancelled) || self.note == FillNote::NoCapacity;
        let is_source_at_fault = attempt.plan.kind == AttemptKind::Fill && !is_cache_at_fault;
        attempt.plan.source.filter(|_| is_source_at_fault).unwrap_or(attempt.plan.member)
    }
}

/// The origin's role in an attempt.
struct OriginInvolvement {
    /// The origin is the attempt's target or source.
    is_endpoint: bool,
    /// The origin is half-open or was observed to be slow.
    is_failing: bool,
}

impl Control {
    /// Records the end of an attempt: loads, learned times and health.
    pub(super) fn record_outcome(
        &mut self,
        attempt: &Attempt,
        request: &Request,
        result: &AttemptResult,
        is_request_suspect: bool,
    ) {
        self.add_link_transfers(-attempt.link_transfers());
        self.release_endpoints(attempt, result);
        if let Some(report) = result.load {
            self.record_load_report(attempt.plan.member, report);
        }
        match result.ending {
            AttemptEnding::Served => self.record_served(attempt, request, result),
            AttemptEnding::Miss => self.record_success(attempt.plan.member),
            _ if is_request_suspect => {}
            _ => self.record_unserved(attempt, result),
        }
    }

    /// Removes the attempt from the load and the unanswered sends of its target and source.
    fn release_endpoints(&mut self, attempt: &Attempt, result: &AttemptResult) {
        use AttemptEnding::{Cancelled, NotSent, Timeout};
        let now = self.now;
        let is_silent = matches!(result.ending, Timeout | Cancelled | NotSent);
        for id in attempt.plan.endpoints() {
            let Some(state) = self.members.get_mut(id) else { continue };
            let is_target = id == attempt.plan.member;
            // A late fill or direct attempt was already removed from its target's load when it became late.
            if !is_target || attempt.plan.kind == AttemptKind::Lookup || !attempt.is_late {
                state.in_flight.add(-1.0, now);
            }
            self.members.change_health(id, |health| {
                health.trial_in_flight &= !attempt.is_trial;
                // An attempt that ended without a response before it was late is no evidence of silence.
                if is_target && !is_silent {
                    health.unanswered_sends = 0;
                } else if is_target && now < attempt.late_at {
                    health.unanswered_sends = health.unanswered_sends.saturating_sub(1);
                }
            });
        }
    }

    /// Records an attempt that was served.
    fn record_served(&mut self, attempt: &Attempt, request: &Request, result: &AttemptResult) {
        let member = attempt.plan.member;
        self.record_served_latency(attempt, request, result);
        if indicates_link_load(attempt, result) {
            self.infer_link_load(result.elapsed, fill_time(attempt.sending_time));
        }
        if request.size.is_none() && attempt.plan.kind == AttemptKind::Lookup {
            self.learn_sending_time(request, attempt, result.elapsed);
        }
        self.record_success(member);
        self.record_throughput(member, attempt.sending_time, None);
        if let Some(source) = attempt.other_source() {
            self.record_success(source);
            let served = if result.note == FillNote::Joined { 0.0 } else { attempt.sending_time };
            self.record_throughput(source, served, None);
        }
    }

    /// Records the latency of an answer for its source or, if its note shows that the parent fetched from
    /// the origin, for the origin. A fetch from the origin through a parent known to be slow is recorded
    /// for neither, as either may have caused the latency.
    fn record_served_latency(&mut self, attempt: &Attempt, request: &Request, result: &AttemptResult) {
        let source = attempt.other_source().and_then(|source| self.members.get(source));
        let parent = source.filter(|state| self.is_parent(&state.listed));
        let is_through_parent = parent.is_some();
        let is_parent_slow = parent.is_some_and(|state| state.inflation(self.now) > SLOW_SOURCE_INFLATION);
        let is_write = self.settings.classes[request.class].write;
        let is_filled_by_origin = result.note == FillNote::FilledByOrigin && !is_write;
        if !(is_filled_by_origin && is_through_parent) {
            self.record_latency(attempt, |expected| result.elapsed / expected);
        }
        if is_filled_by_origin && !is_parent_slow {
            self.record_origin_latency(attempt, result.elapsed);
        }
    }

    /// Records a fetch from the origin. An answer faster than expected resets the origin's latency
    /// inflation. For a late attempt only the time since it became late is added, as the periodic timer
    /// records the time before.
    fn record_origin_latency(&mut self, attempt: &Attempt, elapsed: Millis) {
        let recorded = if attempt.is_late { attempt.late_at - attempt.sent_at } else { 0.0 };
        let expected = if attempt.is_late { 0.0 } else { fill_time(attempt.sending_time) };
        if elapsed < expected {
            self.origin_latency = LatencyInflation::default();
        }
        self.origin_latency.record(elapsed - recorded, expected, ORIGIN_LATENCY_TIME_CONSTANT, self.now);
    }

    /// Records the latency inflation of an attempt, computed from its expected duration.
    fn record_latency(&mut self, attempt: &Attempt, inflation: impl Fn(Millis) -> f64) {
        let Some(expectation) = attempt.latency_expectation() else { return };
        let Some(state) = self.members.get_mut(expectation.member) else { return };
        let inflation = inflation(expectation.expected);
        // A fill that is clearly faster than expected resets the latency inflation of a slow source.
        let is_fast_fill = attempt.plan.kind == AttemptKind::Fill && inflation < RECOVERED_FILL_SHARE;
        if is_fast_fill && state.inflation(self.now) > SLOW_SOURCE_INFLATION {
            state.latency = LatencyInflation::default();
        }
        state.record_inflation(inflation, self.now);
    }

    /// Records an attempt that was not served.
    fn record_unserved(&mut self, attempt: &Attempt, result: &AttemptResult) {
        use AttemptEnding::{Rejected, Timeout};
        let is_fill = attempt.plan.kind == AttemptKind::Fill;
        let origin = self.origin_involvement(attempt);
        // Failures at a parent while the origin is failing are not attributed to the parent, as it can
        // still serve its copies.
        if is_fill && !origin.is_endpoint && origin.is_failing {
            return;
        }
        let is_overload = matches!(result.ending, Timeout | Rejected);
        if is_overload && attempt.plan.kind != AttemptKind::Lookup && !attempt.is_late {
            self.record_latency(attempt, |_| LATE_INFLATION);
            if result.ending == Rejected && is_fill {
                self.record_failure(attempt.other_source().unwrap_or(attempt.plan.member));
            }
            return;
        }
        if let Some(member) = failed_member(attempt, result, origin.is_endpoint) {
            self.record_failure(member);
        }
    }

    fn origin_involvement(&self, attempt: &Attempt) -> OriginInvolvement {
        let origin = self.origin().and_then(|id| self.members.get(id));
        let Some(origin) = origin else {
            return OriginInvolvement { is_endpoint: false, is_failing: false };
        };
        let id = origin.listed.id;
        OriginInvolvement {
            is_endpoint: attempt.plan.member == id || attempt.plan.source == Some(id),
            is_failing: origin.health.is_half_open || origin.inflation(self.now) > SLOW_SOURCE_INFLATION,
        }
    }
}

/// Whether the duration of a served fill indicates the load of the location's link: the source answered
/// from a copy, the sending time is known, and the cache does not report the link's load.
fn indicates_link_load(attempt: &Attempt, result: &AttemptResult) -> bool {
    let is_from_copy = !matches!(result.note, FillNote::FilledByOrigin | FillNote::Joined);
    let is_unreported = result.load.is_none_or(|report| report.link.is_none());
    attempt.plan.kind == AttemptKind::Fill && is_unreported && attempt.sending_time_known && is_from_copy
}

/// The member to which a failed attempt is attributed, if any.
fn failed_member(attempt: &Attempt, result: &AttemptResult, is_origin_endpoint: bool) -> Option<MemberId> {
    use AttemptEnding::{Cancelled, ConnectFailed, NotSent, Rejected, Reset, Timeout};
    use FillNote::{NoCapacity, OriginFailed, SourceMiss};
    let source = attempt.other_source();
    match result.ending {
        NotSent | Cancelled => None,
        // Overload and the client's own deadline are no evidence of a member's health.
        Timeout if !attempt.is_trial && result.note == FillNote::None && !is_origin_endpoint => None,
        Rejected if !attempt.is_trial && source.is_none() => None,
        ConnectFailed | Reset => Some(attempt.plan.member),
        _ if matches!(result.note, NoCapacity | SourceMiss | OriginFailed) => None,
        // A failed fill is attributed to its source, as the cache has usually just processed the look-up.
        _ => Some(source.unwrap_or(attempt.plan.member)),
    }
}
