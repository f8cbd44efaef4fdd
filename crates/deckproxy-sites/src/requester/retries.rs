//! What follows an attempt that did not serve its request: retries within the budget, and retry-after advice.

use super::Requester;
use super::exchange::ExchangeId;
use super::types::Reply;
use crate::Millis;

/// Multiplier that spreads the low bits of exchange numbers (2^64 divided by the golden ratio).
const JITTER_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;
/// Bits of the spread that are used.
const JITTER_BITS: u32 = 24;

impl Requester {
    /// Gives the leader a response that holds for it alone; the next waiter leads, if the retry budget allows it.
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

    /// Sends another attempt for the same leader, if the retry budget allows it. The caller has checked that a second
    /// execution does no harm or that there was none.
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

    /// Retry-after while no endpoint is up, ms: past the next connection attempt, spread by the exchange's number.
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
