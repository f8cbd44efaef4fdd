//! Attempts: selecting an endpoint, sending, queueing for an endpoint, and ending them.

use super::Requester;
use super::exchange::{Attempt, ExchangeId};
use super::queue::TimeKey;
use super::types::{Effect, Reply};
use crate::Millis;
use crate::frame::{AttemptNumbers, Payload, Request};
use bytes::BytesMut;

/// Time left below which no attempt is sent, ms.
const MIN_TIME_LEFT: Millis = 5.0;
/// Smallest time left written into an attempt, ms.
const MIN_TIME_SENT: Millis = 1.0;
/// Retry-after of a client rejected because of a saturated link, as a share of the expected wait on that link.
const SATURATION_BACKOFF_SHARE: f64 = 0.5;

impl Requester {
    /// Sends an attempt for an exchange, queues the exchange for an endpoint, or rejects the leader if the response
    /// would miss its deadline.
    pub(super) fn send_attempt(&mut self, now: Millis, id: ExchangeId) {
        let Some(exchange) = self.exchanges.get(&id) else { return };
        let Some(leader) = exchange.waiters.front() else { return self.end_exchange(now, id) };
        let time_left = leader.request.deadline - now;
        if time_left < MIN_TIME_LEFT {
            let reply = Reply::Rejected { retry_after: self.limits.retry_after };
            return self.reply_to_leader(now, id, &reply);
        }
        let Some(index) = self.endpoint_with_capacity(now) else {
            return self.enqueue(now, id);
        };
        let estimate = &self.endpoints[index].estimate;
        let expected_bytes = estimate.expected_bytes(leader.request.request.size_kb);
        if !estimate.meets_deadline(expected_bytes, time_left, leader.request.priority_rank) {
            self.counters.rejected_saturated += 1;
            let backoff = estimate.expected_wait(0.0) * SATURATION_BACKOFF_SHARE;
            let reply = Reply::Rejected { retry_after: self.limits.retry_after.max(backoff) };
            return self.reply_to_leader(now, id, &reply);
        }
        self.send_to(now, id, index, expected_bytes, time_left);
    }

    /// Sends an attempt for an exchange to an endpoint.
    fn send_to(&mut self, now: Millis, id: ExchangeId, index: usize, expected_bytes: f64, time_left: Millis) {
        let endpoint = &mut self.endpoints[index];
        let Some(connection_id) = endpoint.least_loaded_connection() else { return };
        let Some(exchange) = self.exchanges.get_mut(&id) else { return };
        let Some(leader) = exchange.waiters.front() else { return };
        let number = endpoint.next_attempt;
        endpoint.next_attempt += 1;
        endpoint.attempts.insert(number, id);
        endpoint.estimate.attempt_sent(expected_bytes);
        if let Some(connection) = endpoint.connections.get_mut(&connection_id) {
            connection.attempts += 1;
        }
        // Accounts for the time that the request spends in flight.
        let one_way = endpoint.estimate.round_trip() / 2.0;
        let time_left = (time_left - one_way).max(MIN_TIME_SENT).floor();
        let request = Request { number, time_left, ..leader.request.request.clone() };
        let mut attempt = Attempt {
            endpoint: index,
            number,
            connection: Some(connection_id),
            sent_at: now,
            expected_bytes,
            response: None,
            body: BytesMut::new(),
            is_chunked: false,
            credit_limit: self.limits.credit_window,
            promised_bytes: 0,
            may_extend: false,
            cached_tag: request.cached_tag.clone(),
        };
        self.memory.promise(&mut attempt, self.limits.credit_window);
        exchange.attempt = Some(attempt);
        self.counters.attempts += 1;
        self.counters.retries += u64::from(exchange.is_retry);
        self.effects.push_back(Effect::Send(connection_id, Payload::Request(request)));
    }

    /// Ends the attempt of an exchange, and releases it on the serving side. `response_bytes`: size of the response, if
    /// it is complete.
    pub(super) fn end_attempt(&mut self, now: Millis, id: ExchangeId, response_bytes: Option<usize>) {
        let Some(attempt) = self.remove_attempt(now, id, response_bytes) else { return };
        let Some(endpoint) = self.endpoints.get(attempt.endpoint) else { return };
        let open = attempt.connection.filter(|connection| endpoint.connections.contains_key(connection));
        // The release may be lost: as a backstop, heartbeats carry the lowest open attempt number.
        if let Some(connection) = open.or_else(|| endpoint.least_loaded_connection()) {
            let released = AttemptNumbers { numbers: vec![attempt.number] };
            self.effects.push_back(Effect::Send(connection, Payload::Release(released)));
        }
    }

    /// Removes the attempt of an exchange from the endpoint, its connection and the link estimate, without notifying
    /// the serving side.
    pub(super) fn remove_attempt(
        &mut self,
        now: Millis,
        id: ExchangeId,
        response_bytes: Option<usize>,
    ) -> Option<Attempt> {
        let mut attempt = self.exchanges.get_mut(&id)?.attempt.take()?;
        self.memory.attempt_removed(&mut attempt);
        let endpoint = self.endpoints.get_mut(attempt.endpoint)?;
        endpoint.estimate.attempt_finished(attempt.expected_bytes, response_bytes);
        if attempt.is_receiving() {
            endpoint.estimate.body_ended(now);
        }
        endpoint.attempts.remove(&attempt.number);
        endpoint.unresolved.remove(&attempt.number);
        if let Some(connection) = attempt.connection.and_then(|id| endpoint.connections.get_mut(&id)) {
            connection.attempts = connection.attempts.saturating_sub(1);
        }
        Some(attempt)
    }

    /// The endpoint for the next attempt: the available one with the lowest cost, if it has capacity.
    fn endpoint_with_capacity(&self, now: Millis) -> Option<usize> {
        let ramp = self.limits.recovery_ramp;
        let available = self.endpoints.iter().enumerate().filter(|(_, endpoint)| endpoint.is_available(now));
        let cheapest = available.min_by(|a, b| a.1.cost(now, ramp).total_cmp(&b.1.cost(now, ramp)));
        cheapest.filter(|(_, endpoint)| endpoint.has_capacity(now, ramp)).map(|(index, _)| index)
    }

    /// Queues an exchange while no endpoint is available, or the one with the lowest cost has no capacity. It is
    /// rejected after the queue timeout.
    fn enqueue(&mut self, now: Millis, id: ExchangeId) {
        let Some(exchange) = self.exchanges.get_mut(&id) else { return };
        let waiters = exchange.waiters.len() as u64;
        let until = *exchange.queued_until.get_or_insert(now + self.limits.queue_timeout);
        if TimeKey::at(until) > TimeKey::at(now) {
            self.counters.queued += waiters;
            self.queue.push(id, exchange.priority_rank(), until);
            return;
        }
        self.counters.rejected_unreachable += waiters;
        let reply = Reply::Rejected { retry_after: self.retry_after_reconnect(now, id) };
        self.reply_to_all(now, id, &reply);
    }

    /// Rejects the exchanges whose queue timeout has passed, and sends attempts for the others while an endpoint has
    /// capacity.
    pub(super) fn drain_queue(&mut self, now: Millis) {
        self.queue_checked_at = now;
        while let Some(id) = self.queue.pop_timed_out(now) {
            self.send_queued(now, id);
        }
        while self.endpoint_with_capacity(now).is_some() {
            let Some(id) = self.queue.pop_first() else { return };
            self.send_queued(now, id);
        }
    }

    /// Sends an attempt for an exchange, unless one was sent or the exchange has ended since it was queued.
    fn send_queued(&mut self, now: Millis, id: ExchangeId) {
        if self.exchanges.get(&id).is_some_and(super::exchange::Exchange::is_queued) {
            self.send_attempt(now, id);
        }
    }
}
