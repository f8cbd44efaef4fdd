//! The state of pending requests and their attempts.

use super::sending_times::fill_time;
use super::tuning::HOP_ALLOWANCE;
use crate::interface::{AttemptEnding, FillNote, LoadReport, MemberId, Millis, Request, RequestId};

/// What an attempt requests from its member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AttemptKind {
    /// A look-up: a cache answers from its own copy.
    Lookup,
    /// A cache fills from a source.
    Fill,
    /// A source, or for a write possibly a cache, is sent the request without a cache look-up.
    Direct,
}

/// An attempt that is to be sent.
#[derive(Clone, Copy, Debug)]
pub(super) struct AttemptPlan {
    pub(super) request: RequestId,
    pub(super) member: MemberId,
    pub(super) source: Option<MemberId>,
    pub(super) kind: AttemptKind,
}

impl AttemptPlan {
    /// A look-up at a cache.
    pub(super) fn lookup(request: RequestId, cache: MemberId) -> Self {
        AttemptPlan { request, member: cache, source: None, kind: AttemptKind::Lookup }
    }

    /// A fill at a cache from a source.
    pub(super) fn fill(request: RequestId, cache: MemberId, source: MemberId) -> Self {
        AttemptPlan { request, member: cache, source: Some(source), kind: AttemptKind::Fill }
    }

    /// An attempt that bypasses the caches; the member forwards a miss to the origin.
    pub(super) fn direct(request: RequestId, member: MemberId, origin: Option<MemberId>) -> Self {
        AttemptPlan { request, member, source: origin, kind: AttemptKind::Direct }
    }

    /// The members whose load the attempt adds to: its target, and its source if that is another member.
    pub(super) fn endpoints(&self) -> impl Iterator<Item = MemberId> + use<> {
        let source = self.source.filter(|source| *source != self.member);
        std::iter::once(self.member).chain(source)
    }
}

/// An attempt in flight.
#[derive(Clone, Copy, Debug)]
pub(super) struct Attempt {
    /// Its number among the request's sends, from 0.
    pub(super) number: u32,
    pub(super) plan: AttemptPlan,
    pub(super) sent_at: Millis,
    /// Factor by which the member's load prolonged answers at the time of sending, 1 or more.
    pub(super) member_load: f64,
    /// Sending time of the request's answer.
    pub(super) sending_time: Millis,
    /// Whether that is known from the size or learned from the object, not only a mean of the class.
    pub(super) sending_time_known: bool,
    /// It is a half-open trial of its member or source.
    pub(super) is_trial: bool,
    /// It counts as a transfer over the location's link: a direct attempt or a leader's fill that is not
    /// late.
    pub(super) uses_link: bool,
    /// Clock time from which it is late.
    pub(super) late_at: Millis,
    /// It has been marked late.
    pub(super) is_late: bool,
}

/// The expected duration of an attempt, and the member whose latency it measures.
#[derive(Clone, Copy, Debug)]
pub(super) struct LatencyExpectation {
    pub(super) member: MemberId,
    pub(super) expected: Millis,
}

impl Attempt {
    /// The source, if that is another member than the target.
    pub(super) fn other_source(&self) -> Option<MemberId> {
        self.plan.source.filter(|source| *source != self.plan.member)
    }

    /// Number of transfers over the location's link that the attempt counts as: 1 or 0.
    pub(super) fn link_transfers(&self) -> f64 {
        if self.uses_link { 1.0 } else { 0.0 }
    }

    /// The member whose latency the attempt measures: its cache for a look-up, its source for a fill. A
    /// direct answer from a parent measures the link, so it is attributed to no member.
    pub(super) fn latency_expectation(&self) -> Option<LatencyExpectation> {
        let AttemptPlan { member, source, kind, .. } = self.plan;
        if kind == AttemptKind::Lookup {
            let expected = self.sending_time * self.member_load + HOP_ALLOWANCE;
            return Some(LatencyExpectation { member, expected });
        }
        let measured = source.filter(|source| kind == AttemptKind::Fill || *source == member)?;
        Some(LatencyExpectation { member: measured, expected: fill_time(self.sending_time) })
    }
}

/// The first attempt of a request that may have been executed.
#[derive(Clone, Copy, Debug)]
pub(super) struct PossibleRun {
    pub(super) sent_at: Millis,
    pub(super) member: MemberId,
}

/// A request without a final answer or with attempts in flight.
#[derive(Debug, Default)]
pub(super) struct PendingRequest {
    pub(super) request: Request,
    pub(super) arrived_at: Millis,
    /// It has its final answer; the entry is retained while an attempt is in flight.
    pub(super) has_ended: bool,
    /// A streamed answer has begun.
    pub(super) is_streaming: bool,
    /// Attempts sent so far.
    pub(super) sends: u32,
    pub(super) in_flight: Vec<Attempt>,
    pub(super) possible_run: Option<PossibleRun>,
    /// Members at which attempts of this request failed.
    pub(super) failed_members: Vec<MemberId>,
    /// Clock time since which it has waited for another request's fill, if it waits.
    pub(super) waiting_since: Option<Millis>,
}

impl PendingRequest {
    /// Removes an attempt from those in flight.
    pub(super) fn remove_attempt(&mut self, number: u32, member: MemberId) -> Option<Attempt> {
        let matches = |attempt: &Attempt| attempt.number == number && attempt.plan.member == member;
        let index = self.in_flight.iter().position(matches)?;
        Some(self.in_flight.remove(index))
    }
}

/// The result of an attempt.
#[derive(Clone, Copy, Debug)]
pub(super) struct AttemptResult {
    pub(super) member: MemberId,
    pub(super) ending: AttemptEnding,
    pub(super) elapsed: Millis,
    pub(super) note: FillNote,
    pub(super) load: Option<LoadReport>,
}

impl AttemptResult {
    /// Whether the request may have been executed at the member.
    pub(super) fn may_have_run(&self) -> bool {
        use AttemptEnding::{ConnectFailed, Miss, NotSent, Rejected};
        !matches!(self.ending, Rejected | ConnectFailed | NotSent | Miss)
    }
}
