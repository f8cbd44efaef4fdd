//! The rules that every attempt must satisfy before it is sent.

use super::Control;
use super::request_state::{AttemptPlan, PendingRequest, PossibleRun};
use super::tuning::{DEDUP_MARGIN, TIME_LEFT_MIN};
use crate::interface::{Class, Group, Idempotency, Member, MemberId};

impl Control {
    /// Whether an attempt is permitted by the limits of its request, by the attempts that may have been
    /// executed already, and by the settings about which members may be contacted. Whether the member
    /// accepts attempts at all is checked before.
    pub(super) fn is_permitted(&self, pending: &PendingRequest, plan: &AttemptPlan) -> bool {
        self.is_within_limits(pending)
            && self.may_run_again(pending, plan.member)
            && self.is_reachable(&self.members[&plan.member].listed)
    }

    /// The class of a pending request.
    pub(super) fn class_of(&self, pending: &PendingRequest) -> &Class {
        &self.settings.classes[pending.request.class]
    }

    /// Whether a request may have another attempt: checks the attempts in flight and in total, the
    /// deadline, and that there is no final answer and no streamed answer has begun.
    fn is_within_limits(&self, pending: &PendingRequest) -> bool {
        let may_hedge =
            self.settings.hedged_requests && self.class_of(pending).idempotency == Idempotency::Idempotent;
        let in_flight_max = if may_hedge { 2 } else { 1 };
        let is_over = pending.has_ended || pending.is_streaming;
        !is_over
            && pending.in_flight.len() < in_flight_max
            && pending.sends < self.settings.max_attempts
            && pending.request.deadline - self.now >= TIME_LEFT_MIN
    }

    /// Whether a request may have another attempt at any member at all.
    pub(super) fn is_sendable(&self, pending: &PendingRequest) -> bool {
        let class = self.class_of(pending);
        let may_run_again = match pending.possible_run {
            Some(first) if class.idempotency == Idempotency::Keyed => self.is_in_dedup_window(&first, class),
            Some(_) => class.idempotency == Idempotency::Idempotent,
            None => true,
        };
        may_run_again && self.is_within_limits(pending)
    }

    /// Whether members still discard duplicates of a keyed request that may have been executed.
    fn is_in_dedup_window(&self, first: &PossibleRun, class: &Class) -> bool {
        self.now < first.sent_at + class.dedup_window - DEDUP_MARGIN
    }

    /// Whether a request that may have been executed can be sent again, as its repetition has no effect.
    fn may_run_again(&self, pending: &PendingRequest, to: MemberId) -> bool {
        let Some(first) = pending.possible_run else { return true };
        let class = self.class_of(pending);
        match class.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::Keyed => {
                self.is_in_dedup_window(&first, class)
                    && self.share_dedup_group(class.group, first.member, to)
            }
            Idempotency::NotIdempotent => false,
        }
    }

    /// Whether two members discard each other's duplicates of a keyed request.
    fn share_dedup_group(&self, group: Group, first: MemberId, second: MemberId) -> bool {
        let same = |value: fn(&Member) -> u32| match (self.members.get(first), self.members.get(second)) {
            (Some(first), Some(second)) => value(&first.listed) == value(&second.listed),
            _ => false,
        };
        match group {
            Group::All => true,
            Group::Zone => same(|member| member.zone),
            Group::Cell => same(|member| member.cell),
        }
    }

    /// Whether this router may contact a member: caches only in its own location, parents and the origin
    /// only if the settings allow it.
    fn is_reachable(&self, member: &Member) -> bool {
        self.is_local_cache(member) || self.settings.cache_bypass && !self.is_cache(member)
    }
}
