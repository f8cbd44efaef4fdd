//! Receiving: answers, retries of rejected attempts, and connections that end.

use super::{AVOIDED_MS, ConnectionEnds, NEXT_INSTANCE_MS, Worker};
use crate::load_generator::client::{Answer, InFlight, PendingRequest};
use crate::load_generator::{AttemptAnswer, RetryPolicy};
use deckproxy_standins::record::{Fact, Outcome};
use mio::Events;
use rand::RngExt;
use std::time::Duration;

/// How long past its time an answer is waited for, ms.
const LATE_ANSWER_WAIT_MS: f64 = 600.0;
/// Time until a client tries the next instance after a rejection with [`RetryPolicy::Immediate`], ms.
const IMMEDIATE_RETRY_MS: f64 = 20.0;
/// Probability that a client comes back to the instance that named a Retry-After, and not to any.
const SAME_INSTANCE_PROBABILITY: f64 = 0.5;

impl Worker {
    /// Waits for events of the sockets, and reads and writes what they allow.
    pub(super) fn poll(&mut self, events: &mut Events, timeout: Duration) {
        // Where it is interrupted, the next turn looks again.
        let _ = self.poll.poll(events, Some(timeout));
        for event in events.iter() {
            let Some(ends) = self.connections.get(&event.token().0).copied() else { continue };
            if event.is_writable() {
                self.flush(ends);
            }
            if event.is_readable() {
                self.receive(ends);
            }
        }
    }

    fn receive(&mut self, ends: ConnectionEnds) {
        let Some(connection) = self.open_connection(ends) else { return };
        let received = connection.receive();
        let mut first_answers = Vec::new();
        for answer in received.answers {
            match answer {
                Answer::First(in_flight, outcome) => first_answers.push((in_flight, outcome)),
                Answer::Repeated(name, outcome) => self.record.note(Fact::Answered { name, outcome }),
            }
        }
        for (in_flight, outcome) in first_answers {
            self.finish(in_flight, outcome);
        }
        if received.has_ended {
            self.disconnect(ends);
        }
    }

    /// Ends an attempt that was answered, and schedules a retry where it was rejected.
    fn finish(&mut self, in_flight: InFlight, outcome: Outcome) {
        let now = self.record.now();
        let InFlight { request, mut attempt } = in_flight;
        let name = attempt.name.clone();
        let endpoint = &self.endpoints[attempt.instance];
        if endpoint.excuses_late_answer(attempt.at, attempt.timeout_ms, now) {
            self.record.note(Fact::Withdrawn { name });
        } else {
            self.record.note(Fact::Answered { name, outcome });
        }
        attempt.answer = Some(AttemptAnswer { at: now, outcome });
        self.finished.push(attempt);
        if let Outcome::Rejected(retry_after_ms) = outcome {
            self.retry_rejected(now, request, retry_after_ms.unwrap_or(0.0));
        }
    }

    /// Schedules the retry of a rejected request, as the retry policy has it.
    fn retry_rejected(&mut self, now: f64, request: PendingRequest, retry_after_ms: f64) {
        match self.settings.retry_policy {
            RetryPolicy::Immediate => {
                self.schedule(now + IMMEDIATE_RETRY_MS, self.next_instance(request));
            }
            RetryPolicy::FollowRetryAfter if request.attempts == 1 => {
                self.schedule(now + NEXT_INSTANCE_MS, self.next_instance(request));
            }
            RetryPolicy::FollowRetryAfter => {
                let any = self.any_instance();
                let comes_back = self.rng.random_bool(SAME_INSTANCE_PROBABILITY);
                let instance = if comes_back { request.instance } else { any };
                let after_retry_after = retry_after_ms > 0.0;
                let retry = PendingRequest { instance, after_retry_after, ..request };
                self.schedule(now + retry_after_ms, retry);
            }
        }
    }

    /// Gives up connections with overdue answers.
    pub(super) fn drop_overdue(&mut self, now: f64) {
        let is_overdue = |in_flight: &InFlight| {
            now > in_flight.attempt.at + in_flight.attempt.timeout_ms + LATE_ANSWER_WAIT_MS
        };
        let mut overdue = Vec::new();
        for (number, client) in self.clients.iter().enumerate() {
            for (instance, connection) in &client.connections {
                if connection.in_flight.values().any(is_overdue) {
                    overdue.push(ConnectionEnds { client: number, instance: *instance });
                }
            }
        }
        for ends in overdue {
            self.disconnect(ends);
        }
    }

    /// Ends a connection. Its attempts are excused where the instance could not answer, or they crossed the close; those
    /// that may run twice are retried elsewhere.
    pub(super) fn disconnect(&mut self, ends: ConnectionEnds) {
        let ConnectionEnds { client, instance } = ends;
        let Some(mut connection) = self.clients[client].connections.remove(&instance) else { return };
        let _ = self.poll.registry().deregister(&mut connection.stream);
        self.connections.remove(&connection.key);
        let now = self.record.now();
        if !connection.in_flight.is_empty() {
            self.clients[client].avoided_until.insert(instance, now + AVOIDED_MS);
        }
        for (_, InFlight { request, attempt }) in connection.in_flight {
            let is_excused = self.endpoints[instance].excuses_loss(attempt.at, now);
            let name = attempt.name.clone();
            self.record.note(if is_excused {
                Fact::Withdrawn { name }
            } else {
                Fact::ConnectionLost { name }
            });
            self.finished.push(attempt);
            if request.spec.class == "page" {
                self.schedule(now + NEXT_INSTANCE_MS, self.next_instance(request));
            }
        }
    }
}
