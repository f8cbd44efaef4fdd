//! The state of a pending request and of its attempts.

use super::sending_times::fill_time;
use super::tuning::HOP_ALLOWANCE;
use crate::interface::{AttemptEnding, FillNote, LoadReport, MemberId, Millis, Request, RequestId};

/// What an attempt asks of its member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AttemptKind {
    /// A cache is asked for its copy.
    Lookup,
    /// A cache is asked to fill from a source.
    Fill,
    /// A source, or a cache for a write, is asked past the caches.
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

    /// An attempt past the caches; a miss at the member goes to the origin.
    pub(super) fn direct(request: RequestId, member: MemberId, origin: Option<MemberId>) -> Self {
        AttemptPlan { request, member, source: origin, kind: AttemptKind::Direct }
    }

    /// The members that the attempt draws on: the one it is sent to, and its source where that is another.
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
    /// Load of the member when it was sent, in answers over its capacity.
    pub(super) member_load: f64,
    /// The request's sending time.
    pub(super) sending_time: Millis,
    /// Whether that was told or learned of its object.
    pub(super) sending_time_known: bool,
    /// It is a half-open trial of its member or source.
    pub(super) is_trial: bool,
    /// It draws on the location's link by itself, and is not yet late.
    pub(super) uses_link: bool,
    /// When it counts as late.
    pub(super) late_at: Millis,
    /// It was found late: a fill then waits for a source that does not send.
    pub(super) is_late: bool,
}

/// What an attempt should take, and the member whose latency that shows.
#[derive(Clone, Copy, Debug)]
pub(super) struct LatencyExpectation {
    pub(super) member: MemberId,
    pub(super) expected: Millis,
}

impl Attempt {
    /// The source, where it is another member than the one the attempt was sent to.
    pub(super) fn other_source(&self) -> Option<MemberId> {
        self.plan.source.filter(|source| *source != self.plan.member)
    }

    /// Transfers over the location's link that the attempt counts as: 1 or 0.
    pub(super) fn link_transfers(&self) -> f64 {
        if self.uses_link { 1.0 } else { 0.0 }
    }

    /// Whose latency it shows: look-ups their cache's, fills their source's. An answer straight from a parent
    /// shows the link's, so nobody's.
    pub(super) fn latency_expectation(&self) -> Option<LatencyExpectation> {
        let AttemptPlan { member, source, kind, .. } = self.plan;
        if kind == AttemptKind::Lookup {
            let expected = self.sending_time * self.member_load.max(1.0) + HOP_ALLOWANCE;
            return Some(LatencyExpectation { member, expected });
        }
        let shown = source.filter(|source| kind == AttemptKind::Fill || *source == member)?;
        Some(LatencyExpectation { member: shown, expected: fill_time(self.sending_time) })
    }
}

/// The first attempt of a request that may have run.
#[derive(Clone, Copy, Debug)]
pub(super) struct PossibleRun {
    pub(super) sent_at: Millis,
    pub(super) member: MemberId,
}

/// A request that has no final answer, or whose attempts are not all over.
#[derive(Debug, Default)]
pub(super) struct PendingRequest {
    pub(super) request: Request,
    pub(super) arrived_at: Millis,
    /// It has its final answer; kept while an attempt is in flight.
    pub(super) has_ended: bool,
    /// A streamed answer has begun.
    pub(super) is_streaming: bool,
    /// Attempts sent so far.
    pub(super) sends: u32,
    pub(super) in_flight: Vec<Attempt>,
    pub(super) possible_run: Option<PossibleRun>,
    /// Members that failed this request.
    pub(super) failed_members: Vec<MemberId>,
    /// Since when it has waited for another request's fill, if it waits.
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

/// How an attempt ended, and what its answer told.
#[derive(Clone, Copy, Debug)]
pub(super) struct AttemptResult {
    pub(super) member: MemberId,
    pub(super) ending: AttemptEnding,
    pub(super) elapsed: Millis,
    pub(super) note: FillNote,
    pub(super) load: Option<LoadReport>,
}

impl AttemptResult {
    /// Whether the request may have run at the member.
    pub(super) fn may_have_run(&self) -> bool {
        use AttemptEnding::{ConnectFailed, Miss, NotSent, Rejected};
        !matches!(self.ending, Rejected | ConnectFailed | NotSent | Miss)
    }
}
