//! Accounting at the end of an admitted request.

use super::Overload;
use super::rejected_requests::Rejection;
use super::summary::{Rates, increment};
use super::types::{RequestInfo, Ticket};
use crate::Millis;
use deckproxy_recovery::admission::RequestOutcome;

/// A served request that took more than this fraction of its client's remaining time counts as slow: it was probably queued.
/// Detecting queues this early lets load be shed before the queueing delay reaches the clients' timeouts.
const PROMPT_TIME_FRACTION: f64 = 0.25;

impl Overload {
    /// Handles the end of an admitted request. `retry_after`: the time set by the decision module, in milliseconds, if it
    /// rejected the request. Returns the retry-after time to send.
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
        let tally = self.request_counter.tally(ticket.resource);
        increment(match outcome {
            RequestOutcome::Served => &mut tally.served,
            RequestOutcome::Rejected => &mut tally.rejected,
            RequestOutcome::Failed | RequestOutcome::ClientGone => &mut tally.wasted,
        });
        let is_slow = now - ticket.admitted_at > ticket.request.time_left * PROMPT_TIME_FRACTION;
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
        // Only served requests earn retries. While load is shed, the shed level sets the rate of retries instead.
        if !ticket.is_retry && self.resource_level(ticket.resource).is_none() {
            self.retry_budget.earn();
        }
        if !self.has_effect(request) {
            self.recently_cached.insert(now, request.object);
        }
    }

    /// Handles a request that the decision module rejected; returns the retry-after time to send.
    fn rejected_downstream(&mut self, now: Millis, ticket: &Ticket, retry_after: Millis) -> Millis {
        self.recently_cached.remove(ticket.request.object);
        let time_left = ticket.request.time_left - (now - ticket.admitted_at);
        let request = RequestInfo { time_left, ..ticket.request };
        let resource_level = self.resource_level(ticket.resource);
        if resource_level.is_some() {
            return self.retry_after(now, &request, resource_level);
        }
        // While no load is shed, reserved times are limited by this instance's own retry budget.
        let own = Rates::of(&self.request_counter.summary(), ticket.resource as usize);
        let is_good = own.served_share() >= self.settings.limits.good_share;
        let time = self.reservable_time(now, &request).map(|time| time.max(retry_after));
        let reserved = time.filter(|_| is_good && self.retry_budget.spend());
        self.record_rejection(now, &request, reserved)
    }

    /// Handles a request that failed or whose client disconnected: the next attempt is a retry, which may arrive at once.
    fn wasted(&mut self, now: Millis, ticket: &Ticket) {
        let request = &ticket.request;
        self.recently_cached.remove(request.object);
        let may_have_run = self.has_effect(request);
        let rejection = Rejection { retry_at: now, is_reserved: false, may_have_run };
        self.rejected.record(now, self.request_id(request), rejection);
    }
}
