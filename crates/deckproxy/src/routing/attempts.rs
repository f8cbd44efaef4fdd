//! Sending attempts and handling their endings.

use crate::protocol::downstream::Answer;
use crate::protocol::upstream::{AttemptOptions, Reply, Status};
use crate::routing::attempt_key::{AttemptKey, attempt_key, request_of};
use crate::routing::completion::FinalAnswer;
use crate::routing::counters;
use crate::routing::deadline::Deadline;
use crate::routing::effect::{ClientId, ConnectionFailure, Effect};
use crate::routing::requests::{Attempt, OpenRequest};
use crate::routing::router::Router;
use deckproxy_control::interface::{
    AttemptEnding, Event, FillNote, Idempotency, LoadReport, MemberId, RequestId,
};
use std::rc::Rc;

/// How an attempt ended, with the answer and load report received.
pub(super) struct AttemptResult {
    /// The ending.
    pub(super) ending: AttemptEnding,
    /// The answer for the client, if the attempt yielded one.
    pub(super) answer: Option<FinalAnswer>,
    /// The member's load report, if it sent one.
    pub(super) load: Option<LoadReport>,
}

impl From<AttemptEnding> for AttemptResult {
    fn from(ending: AttemptEnding) -> Self {
        AttemptResult { ending, answer: None, load: None }
    }
}

/// Whether an attempt with this ending is certain not to have run.
fn never_ran(ending: AttemptEnding) -> bool {
    matches!(
        ending,
        AttemptEnding::Rejected | AttemptEnding::ConnectFailed | AttemptEnding::NotSent | AttemptEnding::Miss
    )
}

impl Router {
    /// Sends an attempt of a request to a member, with the deadline `until`; 0 stands for the request's own deadline,
    /// which also limits any other.
    pub(super) fn send_attempt(
        &mut self,
        now: f64,
        request: RequestId,
        member: MemberId,
        until: f64,
        options: AttemptOptions,
    ) {
        let unfinished = self.requests.is_unfinished(request);
        self.check_invariant(unfinished, "no attempt for a request that has ended");
        let endpoint = self.members.endpoint(member);
        let Some(open) = self.requests.get_mut(request) else { return };
        let number = open.attempts;
        open.attempts += 1;
        open.in_flight.push(Attempt { number, member, sent_at: now, cancelled_as: None, timeout: None });
        let until = if until > 0.0 { until.min(open.deadline) } else { open.deadline };
        let too_late =
            open.finished || until <= now || number >= self.instance_settings.settings.max_attempts;
        let key = attempt_key(request, number);
        if too_late {
            return self.end_attempt(now, key, AttemptEnding::NotSent.into());
        }
        let Some(endpoint) = endpoint else {
            return self.end_attempt(now, key, AttemptEnding::ConnectFailed.into());
        };
        let Some(open) = self.requests.get(request) else { return };
        let (client, call) = (open.client, Rc::clone(&open.call));
        let unsent_timeout = self.instance_settings.limits.unsent_timeout.min(self.retry_window(now, open));
        let timeout = self.timers.schedule(until, Deadline::Attempt(key));
        if let Some(attempt) = self.requests.attempt_mut(key) {
            attempt.timeout = Some(timeout);
        }
        let options = AttemptOptions { timeout: until - now, ..options };
        let effect = Effect::SendAttempt { key, member, endpoint, client, call, options, unsent_timeout };
        self.effects.push_back(effect);
    }

    /// Time left of the deduplication window of a keyed request that may have run, ms. Once it has passed, members no
    /// longer drop a duplicate, so an attempt still unwritten must not be sent. `f64::MAX` if no attempt may have run
    /// or the class is not keyed.
    fn retry_window(&self, now: f64, open: &OpenRequest) -> f64 {
        let class =
            self.classes.get(&open.call.class).map(|class| &self.instance_settings.settings.classes[*class]);
        let window =
            class.filter(|class| class.idempotency == Idempotency::Keyed).map(|class| class.dedup_window);
        open.may_have_run_since.zip(window).map_or(f64::MAX, |(first, window)| first + window - now)
    }

    /// Handles a member's reply to an attempt or a health check.
    pub fn reply(&mut self, now: f64, key: AttemptKey, reply: Reply) {
        let values = reply.load_report.iter().map(|(name, value)| (&**name, *value));
        let load = deckproxy_settings::read_load_report(values);
        if let Some(member) = self.health_checks.remove(&key) {
            return self.health_checked(now, member, reply.status == Status::Health(true), load);
        }
        let copy = reply.copy;
        // "Not modified" is valid only for the copy that the client named.
        let client_copy = self.requests.of_attempt(key).and_then(|open| open.call.cached_tag.as_ref());
        let is_client_copy = client_copy.is_some() && client_copy == copy.as_ref().map(|copy| &copy.tag);
        let (ending, answer) = match reply.status {
            Status::Ok => (AttemptEnding::Served, Some(Answer::Served(reply.body))),
            Status::NotModified if is_client_copy => (AttemptEnding::Served, Some(Answer::NotModified)),
            Status::Miss => (AttemptEnding::Miss, None),
            Status::Rejected => (AttemptEnding::Rejected, None),
            Status::Expired => (AttemptEnding::NotSent, None),
            // Invalid replies: a health check's status for an attempt, or "not modified" for another copy than the
            // client's.
            Status::Error | Status::Health(_) | Status::NotModified => (AttemptEnding::Error, None),
        };
        let answer = answer.map(|answer| FinalAnswer { answer, copy });
        self.end_attempt(now, key, AttemptResult { ending, answer, load });
    }

    /// Handles a failure of the connection that carried an attempt or a health check.
    pub fn connection_failed(&mut self, now: f64, key: AttemptKey, failure: ConnectionFailure) {
        if let Some(member) = self.health_checks.remove(&key) {
            return self.health_checked(now, member, false, None);
        }
        let ending = match failure {
            ConnectionFailure::NotSent => AttemptEnding::ConnectFailed,
            ConnectionFailure::Reset => AttemptEnding::Reset,
        };
        self.end_attempt(now, key, ending.into());
    }

    /// Handles the end of an attempt: answers the client if there is an answer, and notifies the decision module.
    pub(super) fn end_attempt(&mut self, now: f64, key: AttemptKey, result: AttemptResult) {
        let AttemptResult { ending, answer, load } = result;
        let Some(request) = request_of(key) else { return };
        let Some(attempt) = self.requests.remove_attempt(key) else { return };
        if let Some(timeout) = attempt.timeout {
            self.timers.cancel(timeout);
        }
        let Some(open) = self.requests.get_mut(request) else { return };
        if !never_ran(ending) {
            open.may_have_run_since.get_or_insert(attempt.sent_at);
        }
        let unanswered = !open.finished;
        self.counters.endings[counters::index_of(ending)] += 1;
        if let Some(answer) = answer.filter(|_| unanswered) {
            self.finish(request, answer);
        }
        let finished = !self.requests.is_unfinished(request);
        self.requests.remove_if_done(request);
        let outcome = Event::AttemptEnded {
            request,
            attempt: attempt.number,
            member: attempt.member,
            ending,
            elapsed: now - attempt.sent_at,
            finished,
            note: FillNote::None,
            load,
        };
        self.notify_control(now, outcome);
    }

    /// Whether an attempt is in flight and not being cancelled.
    pub fn is_attempt_active(&self, key: AttemptKey) -> bool {
        self.requests.attempt(key).is_some_and(|attempt| attempt.cancelled_as.is_none())
    }

    /// The client whose request an attempt belongs to, if the request is open.
    pub fn client_of(&self, key: AttemptKey) -> Option<ClientId> {
        self.requests.of_attempt(key).map(|open| open.client)
    }
}
