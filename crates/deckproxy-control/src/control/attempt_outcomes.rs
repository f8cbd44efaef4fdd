//! Decides what follows the end of an attempt: the request's end, a wait, a fill or a retry.

use super::Control;
use super::collapsing::FillKey;
use super::request_state::{Attempt, AttemptKind, AttemptResult, PossibleRun};
use super::tuning::{HOP_ALLOWANCE, WAITER_TIMEOUT, WAITING_SENDS_MAX};
use crate::interface::{Action, AttemptEnding, FillNote, Request, RequestId};

/// Number of failed attempts above which a request whose last attempt ended in an error is no longer
/// retried, as the request itself is then assumed to be faulty.
const FAULTY_REQUEST_FAILURES: usize = 2;

impl Control {
    /// Handles the end of an attempt. `is_finished`: the request has its final answer.
    pub(super) fn handle_outcome(
        &mut self,
        id: RequestId,
        attempt_number: u32,
        result: AttemptResult,
        is_finished: bool,
    ) {
        let Some(pending) = self.pending.get_mut(&id) else { return };
        let Some(attempt) = pending.remove_attempt(attempt_number, result.member) else { return };
        pending.has_ended |= is_finished || result.ending == AttemptEnding::Served;
        if result.may_have_run() && pending.possible_run.is_none() {
            let (sent_at, member) = (attempt.sent_at, attempt.plan.member);
            pending.possible_run = Some(PossibleRun { sent_at, member });
        }
        // If an error follows an earlier failure, the request itself may be faulty.
        let is_request_suspect = result.ending == AttemptEnding::Error && !pending.failed_members.is_empty();
        let (request, has_ended) = (pending.request, pending.has_ended);
        self.record_outcome(&attempt, &request, &result, is_request_suspect);
        if has_ended {
            return self.end_request(&request, &attempt, &result);
        }
        let is_lookup_miss = result.ending == AttemptEnding::Miss && attempt.plan.kind == AttemptKind::Lookup;
        if self.awaits_other_outcome(id, is_lookup_miss) {
            return;
        }
        if is_lookup_miss {
            return self.handle_lookup_miss(&request, &attempt, result.note);
        }
        if result.note == FillNote::SourceMiss {
            return self.give_up(id);
        }
        self.retry(&request, &attempt, &result, is_request_suspect);
    }

    /// Cancels the other attempts in flight after a final answer. The waiters of the fill are released
    /// without waiting for the cancellations.
    fn end_request(&mut self, request: &Request, attempt: &Attempt, result: &AttemptResult) {
        let pending = self.pending.get(&request.id).filter(|_| self.settings.cancellation);
        if let Some(pending) = pending {
            let cancel = |other: &Attempt| Action::Cancel { request: request.id, attempt: other.number };
            self.actions.extend(pending.in_flight.iter().map(cancel));
        }
        if result.ending == AttemptEnding::Served && attempt.plan.kind != AttemptKind::Direct {
            self.complete_fill(request.id, FillKey::of(request), attempt.plan.member);
        }
        self.remove_if_settled(request.id);
    }

    /// Whether the request waits for a fill, or the outcome of another attempt decides. After a missed
    /// look-up only a fill decides.
    fn awaits_other_outcome(&self, id: RequestId, is_lookup_miss: bool) -> bool {
        let Some(pending) = self.pending.get(&id) else { return true };
        let decides = |other: &Attempt| !is_lookup_miss || other.plan.kind == AttemptKind::Fill;
        pending.waiting_since.is_some() || pending.in_flight.iter().any(decides)
    }

    /// Handles a missed look-up: the request leads, joins or waits for a fill. If the miss reports that
    /// another router's fill is in progress and fills cannot be joined, the request waits for the
    /// object's sending time and is looked up again.
    fn handle_lookup_miss(&mut self, request: &Request, attempt: &Attempt, note: FillNote) {
        if self.waits_for_other_router(request, note) {
            // The start of the wait is set back so that it times out after the expected duration of the
            // fill.
            let since = self.now - WAITER_TIMEOUT + self.sending_time(request) + HOP_ALLOWANCE;
            self.set_waiting_since(request.id, Some(since));
            return;
        }
        self.handle_miss(request.id, attempt.plan.member);
    }

    fn waits_for_other_router(&self, request: &Request, note: FillNote) -> bool {
        let Some(pending) = self.pending.get(&request.id) else { return false };
        let is_filling_elsewhere = note == FillNote::Joined && !self.settings.join_fills;
        is_filling_elsewhere
            && pending.sends < WAITING_SENDS_MAX
            && !self.has_time_for_only_one_attempt(pending)
            && !self.collapsed_fills.contains_key(&FillKey::of(request))
    }

    /// Retries a failed attempt and avoids the member at fault, if the retry budget and the client's
    /// deadline allow it; else gives the request up.
    fn retry(&mut self, request: &Request, attempt: &Attempt, result: &AttemptResult, is_suspect: bool) {
        let Some(pending) = self.pending.get_mut(&request.id) else { return };
        pending.failed_members.push(result.member_at_fault(attempt));
        let failed = pending.failed_members.clone();
        let is_request_faulty = is_suspect && failed.len() > FAULTY_REQUEST_FAILURES;
        if !self.retry_budget.is_available() || self.now >= request.deadline || is_request_faulty {
            return self.give_up(request.id);
        }
        self.retry_budget.withdraw();
        if attempt.plan.kind != AttemptKind::Fill {
            return self.route(request.id);
        }
        let key = FillKey::of(request);
        let fill = self.collapsed_fills.get(&key);
        if fill.is_some_and(|fill| fill.leader == request.id && !fill.waiters.is_empty()) {
            self.release_fill(request.id, key, failed);
        }
        self.handle_miss(request.id, attempt.plan.member);
    }
}
