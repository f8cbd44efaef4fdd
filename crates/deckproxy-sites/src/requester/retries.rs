//! Retries within the budget after an attempt that did not serve its request, and retry-after times.

use super::Requester;
use super::exchange::ExchangeId;
use super::types::Reply;
use crate::Millis;

/// Multiplier of Fibonacci hashing (2^64 divided by the golden ratio), applied to exchange numbers.
const JITTER_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;
/// Bits of the hash used as jitter.
const JITTER_BITS: u32 = 24;

impl Requester {
    /// Sends the leader a response that applies to it alone. The next waiter becomes the leader if the retry budget
    /// allows another attempt; otherwise the waiters are rejected.
    pub(super) fn reply_to_leader(&mut self, now: Millis, id: ExchangeId, reply: &Reply) {
        let Some(exchange) = self.exchanges.get_mut(&id) else { return };
        let Some(leader) = exchange.waiters.pop_front() else { return self.end_exchange(now, id) };
        let has_waiters = !exchange.waiters.is_empty();
        exchange.is_retry = true;
        self.reply(&leader, reply.clone());
        if !has_waiters {
            return self.end_exchange(now, id);
        }
        if !self.retry_budget.withdraw() {
            return self.reject_all(now, id);
        }
        self.send_attempt(now, id);
    }

    /// Sends another attempt for the same leader if the retry budget allows it, and rejects all requests of the
    /// exchange otherwise. The caller has checked that the request is idempotent or was not executed.
    pub(super) fn retry(&mut self, now: Millis, id: ExchangeId) {
        if !self.retry_budget.withdraw() {
            return self.reject_all(now, id);
        }
        if let Some(exchange) = self.exchanges.get_mut(&id) {
            exchange.is_retry = true;
            exchange.queued_until = None;
        }
        self.send_attempt(now, id);
    }

    fn reject_all(&mut self, now: Millis, id: ExchangeId) {
        let reply = Reply::Rejected { retry_after: self.limits.retry_after };
        self.reply_to_all(now, id, &reply);
    }

    /// Retry-after while no endpoint is available, ms: after the next connection attempt, with jitter derived from the
    /// exchange's number.
    pub(super) fn retry_after_reconnect(&self, now: Millis, id: ExchangeId) -> Millis {
        let next_connects = self
            .endpoints
            .iter()
            .map(|endpoint| endpoint.unavailable_until.unwrap_or(now).max(endpoint.next_connect_at) - now);
        let soonest = next_connects.fold(f64::MAX, f64::min);
        let bits = id.wrapping_mul(JITTER_MULTIPLIER) >> (u64::BITS - JITTER_BITS);
        let jitter = bits as f64 / (1u64 << JITTER_BITS) as f64;
        soonest.max(self.limits.retry_after) * (1.0 + jitter)
    }
}
