//! Clients' requests: accepting, collapsing, canceling and replying to them.

use super::Requester;
use super::exchange::{CollapseKey, Exchange, ExchangeId, Waiter};
use super::queue::TimeKey;
use super::types::{Effect, ForwardedRequest, Reply, RequestToken};
use crate::Millis;

impl Requester {
    /// Accepts a request to be forwarded. It joins an exchange in flight if possible; otherwise an exchange is opened
    /// for it.
    pub fn request(&mut self, now: Millis, token: RequestToken, request: ForwardedRequest) {
        self.counters.requests += 1;
        let key = CollapseKey::of(&request);
        if let Some(id) = key.as_ref().and_then(|key| self.collapsible.get(key).copied())
            && let Some(exchange) = self.exchanges.get_mut(&id)
            && exchange.waiters.len() <= self.limits.max_waiters
        {
            self.counters.collapsed += 1;
            self.requests.insert(token, id);
            self.deadlines.insert((TimeKey::at(request.deadline), token));
            let waiter = Waiter { token, request };
            self.memory.request_added(&waiter);
            exchange.waiters.push_back(waiter);
            return;
        }
        if self.exchanges.len() >= self.limits.max_exchanges {
            self.counters.rejected_full += 1;
            let reply = Reply::Rejected { retry_after: self.limits.retry_after };
            self.effects.push_back(Effect::Reply(token, reply));
            return;
        }
        let id = self.open_exchange(key, Waiter { token, request });
        self.retry_budget.deposit();
        self.send_attempt(now, id);
    }

    fn open_exchange(&mut self, key: Option<CollapseKey>, leader: Waiter) -> ExchangeId {
        self.last_exchange += 1;
        let id = self.last_exchange;
        // If the exchange under this key has reached its limit of waiters, the new exchange can't be joined.
        let key = key.filter(|key| !self.collapsible.contains_key(key));
        if let Some(key) = &key {
            self.collapsible.insert(key.clone(), id);
        }
        self.memory.request_added(&leader);
        self.requests.insert(leader.token, id);
        self.deadlines.insert((TimeKey::at(leader.request.deadline), leader.token));
        self.exchanges.insert(id, Exchange::new(key, leader));
        id
    }

    /// Cancels a request whose client no longer waits.
    pub fn cancel(&mut self, now: Millis, token: RequestToken) {
        let Some(id) = self.requests.remove(&token) else { return };
        let Some(exchange) = self.exchanges.get_mut(&id) else { return };
        if let Some(waiter) = exchange.remove_waiter(token) {
            self.memory.request_removed(&waiter);
            self.deadlines.remove(&(TimeKey::at(waiter.request.deadline), token));
        }
        if exchange.waiters.is_empty() {
            self.end_exchange(now, id);
        }
    }

    /// Sends one request its final response.
    pub(super) fn reply(&mut self, waiter: &Waiter, reply: Reply) {
        self.memory.request_removed(waiter);
        self.requests.remove(&waiter.token);
        self.deadlines.remove(&(TimeKey::at(waiter.request.deadline), waiter.token));
        self.effects.push_back(Effect::Reply(waiter.token, reply));
    }

    /// Sends all requests of an exchange their final response, and ends the exchange.
    pub(super) fn reply_to_all(&mut self, now: Millis, id: ExchangeId, reply: &Reply) {
        let Some(exchange) = self.exchanges.get_mut(&id) else { return };
        for waiter in std::mem::take(&mut exchange.waiters) {
            self.reply(&waiter, reply.clone());
        }
        self.end_exchange(now, id);
    }

    /// Ends an exchange that no request waits for.
    pub(super) fn end_exchange(&mut self, now: Millis, id: ExchangeId) {
        self.end_attempt(now, id, None);
        if let Some(exchange) = self.exchanges.remove(&id)
            && let Some(key) = exchange.key
        {
            self.collapsible.remove(&key);
        }
    }

    /// Ends a request whose deadline has passed.
    pub(super) fn deadline_passed(&mut self, now: Millis, token: RequestToken) {
        let Some(id) = self.requests.get(&token).copied() else { return };
        let Some(exchange) = self.exchanges.get_mut(&id) else { return };
        let Some(waiter) = exchange.remove_waiter(token) else { return };
        let was_last = exchange.waiters.is_empty();
        // A request that was never sent was not executed: a retry is safe.
        let was_sent = exchange.attempt.is_some() || exchange.is_retry;
        let reply =
            if was_sent { Reply::Failed } else { Reply::Rejected { retry_after: self.limits.retry_after } };
        self.reply(&waiter, reply);
        if was_last {
            self.end_exchange(now, id);
        }
    }
}
