//! Reattachment: resolves the status of attempts whose connection was lost.

use super::Requester;
use super::exchange::ExchangeId;
use super::types::{Effect, Reply};
use crate::frame::{AttemptState, AttemptStatus};
use crate::{ConnectionId, Millis};

impl Requester {
    /// Detaches all attempts from a lost connection. Those of which no byte was written are retried immediately; the
    /// status of the others is requested on another connection.
    pub(super) fn detach_attempts(
        &mut self,
        now: Millis,
        index: usize,
        connection: ConnectionId,
        unsent: &[u64],
    ) {
        let endpoint = &mut self.endpoints[index];
        let mut never_sent: Vec<ExchangeId> = Vec::new();
        let mut unresolved = Vec::new();
        for (number, id) in &endpoint.attempts {
            let Some(attempt) = self.exchanges.get_mut(id).and_then(|exchange| exchange.attempt.as_mut())
            else {
                continue;
            };
            if attempt.connection != Some(connection) {
                continue;
            }
            if attempt.is_receiving() {
                endpoint.estimate.body_ended(now);
            }
            attempt.connection = None;
            attempt.response = None;
            attempt.body.clear();
            attempt.is_chunked = false;
            if unsent.contains(number) {
                never_sent.push(*id);
            } else {
                unresolved.push(*number);
            }
        }
        // A status that was requested on this connection is requested again on another one.
        for requested_on in endpoint.unresolved.values_mut() {
            requested_on.take_if(|requested_on| *requested_on == connection);
        }
        endpoint.unresolved.extend(unresolved.into_iter().map(|number| (number, None)));
        if let Some(other) = endpoint.least_loaded_connection() {
            let resume = endpoint.resume_on(other);
            self.effects.extend(resume.map(|payload| Effect::Send(other, payload)));
        }
        for id in never_sent {
            self.remove_attempt(now, id, None);
            self.retry(now, id);
        }
    }

    /// Processes the status of an attempt, if it was requested on this connection.
    pub(super) fn status_received(
        &mut self,
        now: Millis,
        index: usize,
        connection: ConnectionId,
        status: &AttemptStatus,
    ) {
        if self.endpoints[index].unresolved.get(&status.number) == Some(&Some(connection)) {
            self.resolve(now, index, status.number, status.state(), connection);
        }
    }

    /// Resolves all attempts as unknown: the serving side has no state of the session.
    pub(super) fn resolve_all_as_unknown(&mut self, now: Millis, index: usize, connection: ConnectionId) {
        for number in std::mem::take(&mut self.endpoints[index].unresolved).into_keys() {
            self.resolve(now, index, number, AttemptState::Unknown, connection);
        }
    }

    /// Reattaches to an attempt whose connection was lost, retries it or ends its exchange, depending on its status.
    /// `connection`: the one on which its response arrives, if one follows.
    pub(super) fn resolve(
        &mut self,
        now: Millis,
        index: usize,
        number: u64,
        state: AttemptState,
        connection: ConnectionId,
    ) {
        let Some(endpoint) = self.endpoints.get_mut(index) else { return };
        endpoint.unresolved.remove(&number);
        let Some(id) = endpoint.attempts.get(&number).copied() else { return };
        let Some(exchange) = self.exchanges.get_mut(&id) else { return };
        let is_idempotent = exchange.is_idempotent();
        let detached = exchange.attempt.as_mut().filter(|attempt| attempt.connection.is_none());
        let Some(attempt) = detached else { return };
        match state {
            AttemptState::Running | AttemptState::Completed => {
                attempt.connection = Some(connection);
                attempt.credit_limit = self.limits.credit_window;
                if let Some(connection) = endpoint.connections.get_mut(&connection) {
                    connection.attempts += 1;
                }
            }
            // The attempt is fenced, so that it will not be executed: a retry is safe.
            AttemptState::NeverReceived => {
                self.end_attempt(now, id, None);
                self.retry(now, id);
            }
            AttemptState::Unknown => {
                self.end_attempt(now, id, None);
                if is_idempotent {
                    self.retry(now, id);
                } else {
                    self.reply_to_all(now, id, &Reply::Failed);
                }
            }
        }
    }
}
