//! What follows from the end of an admitted request.

use super::Overload;
use super::rejected_requests::Rejection;
use super::summary::{Rates, increment};
use super::types::{RequestInfo, Ticket};
use crate::Millis;
use deckproxy_recovery::admission::RequestOutcome;

/// A served request that took more than this part of its client's time stood in a queue: seen so early, load is shed before
/// the queue is as long as clients wait.
const PROMPT_PART: f64 = 0.25;

impl Overload {
    /// An admitted request ended. `retry_after`: the decision module's time in milliseconds, where it rejected the request.
    /// Returns the retry-after time to give.
    pub fn request_ended(
        &mut self,
        now: Millis,
        ticket: &Ticket,
        outcome: RequestOutcome,
        retry_after: Millis,
    ) -> Millis {
        self.count_outcome(now, ticket, outcome);
        match outcome {
            RequestOutcome::Served => self.served(now, ticket),
            RequestOutcome::Rejected => return self.rejected_downstream(now, ticket, retry_after),
            RequestOutcome::Failed | RequestOutcome::ClientGone => self.wasted(now, ticket),
        }
        retry_after
    }

    fn count_outcome(&mut self, now: Millis, ticket: &Ticket, outcome: RequestOutcome) {
        let tally = self.counter.tally(ticket.resource);
        increment(match outcome {
            RequestOutcome::Served => &mut tally.served,
            RequestOutcome::Rejected => &mut tally.rejected,
            RequestOutcome::Failed | RequestOutcome::ClientGone => &mut tally.wasted,
        });
        let is_slow = now - ticket.admitted_at > ticket.request.time_left * PROMPT_PART;
        if outcome == RequestOutcome::Served && is_slow {
            increment(&mut tally.slow);
        }
    }

    fn request_id(&self, request: &RequestInfo) -> u32 {
        self.draw_key.request_id(request.client, request.object)
    }

    fn has_effect(&self, request: &RequestInfo) -> bool {
        self.settings.classes.get(request.class).is_some_and(|class| class.has_effect)
    }

    fn served(&mut self, now: Millis, ticket: &Ticket) {
        let request = &ticket.request;
        self.rejected.remove(self.request_id(request));
        // A request in vain earns no retries; while load is shed, the line provides them.
        if !ticket.is_retry && self.line(ticket.resource).is_none() {
            self.retry_budget.earn();
        }
        if !self.has_effect(request) {
            self.recently_cached.insert(now, request.object);
        }
    }

    /// The decision module rejected it.
    fn rejected_downstream(&mut self, now: Millis, ticket: &Ticket, retry_after: Millis) -> Millis {
        self.recently_cached.remove(ticket.request.object);
        let time_left = ticket.request.time_left - (now - ticket.admitted_at);
        let request = RequestInfo { time_left, ..ticket.request };
        let line = self.line(ticket.resource);
        if line.is_some() {
            return self.retry_after(now, &request, line);
        }
        // While no load is shed, as many get a reserved time as the own retry budget allows.
        let own = Rates::of(&self.counter.summary(), ticket.resource as usize);
        let is_good = own.served_share() >= self.settings.limits.good_share;
        let time = self.reservable_time(now, &request).map(|time| time.max(retry_after));
        let reserved = time.filter(|_| is_good && self.retry_budget.spend());
        self.record_rejection(now, &request, reserved)
    }

    /// It failed, or its client left: the next one is a retry, and not too early.
    fn wasted(&mut self, now: Millis, ticket: &Ticket) {
        let request = &ticket.request;
        self.recently_cached.remove(request.object);
        let may_have_run = self.has_effect(request);
        let rejection = Rejection { retry_at: now, is_reserved: false, may_have_run };
        self.rejected.record(now, self.request_id(request), rejection);
    }
}
