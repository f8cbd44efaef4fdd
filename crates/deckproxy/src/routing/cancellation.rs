//! Cancellation of requests and attempts.

use crate::routing::attempt_key::{AttemptKey, attempt_key};
use crate::routing::effect::{ClientId, Effect};
use crate::routing::router::Router;
use deckproxy_control::interface::{AttemptEnding, Event, RequestId};

impl Router {
    /// Handles a client's cancellation of a request.
    pub fn cancel(&mut self, now: f64, client: ClientId, id: u32) {
        if let Some(request) = self.requests.of_client(client, id) {
            self.counters.cancelled += 1;
            self.abandon(now, request);
        }
    }

    /// Cancels all open requests of a client whose connection has ended.
    pub fn client_gone(&mut self, now: f64, client: ClientId) {
        let open: Vec<u32> = self.requests.ids_of_client(client).collect();
        for id in open {
            self.cancel(now, client, id);
        }
    }

    /// Ends a request that needs no answer any more: cancels its attempts and notifies the decision module.
    pub(super) fn abandon(&mut self, now: f64, request: RequestId) {
        let Some(open) = self.requests.get_mut(request) else { return };
        open.finished = true;
        self.timers.cancel(open.answer_timer);
        for attempt in open.in_flight.iter_mut().filter(|attempt| attempt.cancelled_as.is_none()) {
            attempt.cancelled_as = Some(AttemptEnding::Cancelled);
            let key = attempt_key(request, attempt.number);
            self.effects.push_back(Effect::CancelAttempt { key, member: attempt.member });
        }
        let (client, id) = (open.client, open.client_id);
        self.requests.remove_unanswered(client, id);
        self.notify_control(now, Event::ClientGone(request));
        self.requests.remove_if_done(request);
    }

    /// Cancels an attempt that is in flight and not being cancelled already; `ending` is reported if it may have
    /// run.
    pub(super) fn cancel_attempt(&mut self, key: AttemptKey, ending: AttemptEnding) {
        let attempt = self.requests.attempt_mut(key);
        if let Some(attempt) = attempt.filter(|attempt| attempt.cancelled_as.is_none()) {
            attempt.cancelled_as = Some(ending);
            self.effects.push_back(Effect::CancelAttempt { key, member: attempt.member });
        }
    }

    /// Handles the owner's confirmation that an attempt was cancelled and is no longer in flight on a connection. It
    /// ends as not sent unless it may have run.
    pub fn attempt_cancelled(&mut self, now: f64, key: AttemptKey, may_have_run: bool) {
        let cancelled_as = self.requests.attempt(key).and_then(|attempt| attempt.cancelled_as);
        if let Some(ending) = cancelled_as {
            let ending = if may_have_run { ending } else { AttemptEnding::NotSent };
            self.end_attempt(now, key, ending.into());
        }
    }
}
