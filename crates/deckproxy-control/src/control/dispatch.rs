//! Dispatch: routes a request to a cache or directly to a source, and sends its final answer.

use super::Control;
use super::collapsing::FillKey;
use super::member_order::MemberOrder;
use super::request_state::{AttemptPlan, PendingRequest};
use super::sending_times::fill_time;
use super::tuning::{
    DEMAND_TIME_CONSTANT, OBJECTS_MAX, RETRY_AFTER_SHARE, SLOW_SOURCE_RETRY_DELAY, SLOW_SOURCE_RETRY_SHARE,
};
use crate::interface::{Action, Idempotency, MemberId, Millis, Request, RequestId};

impl Control {
    /// Accepts a client's request.
    pub(super) fn accept_request(&mut self, request: Request) {
        if request.class >= self.class_sending_times.len() {
            self.actions.push(Action::Fail { request: request.id });
            return;
        }
        self.retry_budget.deposit();
        self.record_demand(&request);
        let pending = PendingRequest { request, arrived_at: self.now, ..PendingRequest::default() };
        self.pending.insert(request.id, pending);
        self.route(request.id);
    }

    fn record_demand(&mut self, request: &Request) {
        let (now, sending_time) = (self.now, self.sending_time(request));
        if request.size.is_some() {
            self.class_sending_times[request.class].learn(sending_time);
        }
        self.demand.add(sending_time, now, DEMAND_TIME_CONSTANT);
        if self.objects.len() < OBJECTS_MAX || self.objects.contains_key(&request.object) {
            let stats = self.objects.entry(request.object).or_default();
            stats.demand.add(sending_time, now, DEMAND_TIME_CONSTANT);
        }
    }

    /// Routes a request: a look-up at the first cache that accepts it; else bypasses the caches.
    pub(super) fn route(&mut self, id: RequestId) {
        let Some(pending) = self.pending.get(&id) else { return };
        if self.class_of(pending).write {
            return self.bypass_caches(id);
        }
        // If this router is already filling the object, the object is looked up at that cache first.
        let fill = self.collapsed_fills.get(&FillKey::of(&pending.request));
        let is_usable = |cache: &MemberId| self.members.get(*cache).is_some_and(|s| s.is_usable(self.now));
        let fill_cache = fill.map(|fill| fill.cache).filter(is_usable);
        let mut order = self.cache_order(&pending.request);
        let mut next = fill_cache.or_else(|| self.next_member(&mut order));
        if pending.sends == 0 && self.is_cache_overloaded(pending, next) {
            return self.give_up(id);
        }
        let failed = pending.failed_members.clone();
        if !self.is_sendable(pending) {
            // No look-up can be sent, but a cache that warms up may take the request as a leader or waiter.
            order = self.cache_order(&pending.request).only_warming_up();
            next = fill_cache.or_else(|| self.next_member(&mut order));
        }
        while let Some(cache) = next {
            if !failed.contains(&cache) && self.try_cache(id, cache) {
                return;
            }
            next = self.next_member(&mut order);
        }
        self.bypass_caches(id);
    }

    /// Looks a request up at a cache, or has the cache fill. Returns false if the cache accepts no attempt.
    fn try_cache(&mut self, id: RequestId, cache: MemberId) -> bool {
        // A cache that warms up is empty, and a look-up costs it as much of its slow-start budget as the fill
        // that would follow, so the fill is sent at once.
        if self.is_cache_warming_up(cache) && self.accepts_attempts(cache) {
            self.handle_miss(id, cache);
            return true;
        }
        self.try_send(AttemptPlan::lookup(id, cache))
    }

    /// Whether even the first usable cache, if any, is too loaded for a request. A cache that reports spare
    /// CPU is not: its load consists of waiting fills, so it can still serve look-ups.
    fn is_cache_overloaded(&self, pending: &PendingRequest, first_usable: Option<MemberId>) -> bool {
        let state = first_usable.and_then(|cache| self.members.get(cache));
        let loaded = state.filter(|state| !state.reports_spare_capacity(self.now));
        self.is_too_late_at_load(pending, loaded.map_or(1.0, |state| self.load_factor(state)))
    }

    fn is_cache_warming_up(&self, cache: MemberId) -> bool {
        self.members.get(cache).is_some_and(|state| self.is_warming_up(&state.listed))
    }

    /// Sends a request without a cache look-up, or gives it up.
    pub(super) fn bypass_caches(&mut self, id: RequestId) {
        let Some(pending) = self.pending.get(&id) else { return };
        let is_write = self.class_of(pending).write;
        let is_sent = if is_write { self.send_write(id) } else { self.send_to_source(id) };
        if !is_sent {
            self.give_up(id);
        }
    }

    /// Sends a read to the first source that accepts it. Returns whether it was sent.
    fn send_to_source(&mut self, id: RequestId) -> bool {
        let Some(pending) = self.pending.get(&id) else { return false };
        let (request, failed) = (pending.request, pending.failed_members.clone());
        let origin = self.origin();
        let may_send = self.is_sendable(pending) && self.settings.cache_bypass;
        let is_blocked = self.is_link_overloaded(pending) || !may_send;
        let mut sources = self.source_order(&request);
        if is_blocked {
            return false;
        }
        while let Some(source) = self.next_source(id, &mut sources) {
            if !failed.contains(&source) && self.try_send(AttemptPlan::direct(id, source, origin)) {
                return true;
            }
        }
        false
    }

    /// Sends a write, which is executed at the origin: to the origin directly, else through a parent, else
    /// through a cache. Returns whether it was sent.
    fn send_write(&mut self, id: RequestId) -> bool {
        let Some(origin) = self.origin() else { return false };
        let Some(pending) = self.pending.get(&id) else { return false };
        let (request, is_sendable) = (pending.request, self.is_sendable(pending));
        if !is_sendable || !self.settings.cache_bypass {
            self.refill_parents();
        }
        if !is_sendable {
            self.refill_slow_start_budgets(self.local_caches(), &[]);
            return false;
        }
        if self.settings.cache_bypass {
            if self.try_send(AttemptPlan::direct(id, origin, Some(origin))) {
                return true;
            }
            let parents = self.parent_order(&request);
            if parents.is_some_and(|parents| self.send_write_through(id, parents, origin)) {
                return true;
            }
        }
        self.send_write_through(id, self.cache_order(&request), origin)
    }

    /// Sends a write through the first member that accepts it. Returns whether it was sent.
    fn send_write_through(&mut self, id: RequestId, mut members: MemberOrder, origin: MemberId) -> bool {
        while let Some(member) = self.next_member(&mut members) {
            if self.try_send(AttemptPlan::direct(id, member, Some(origin))) {
                return true;
            }
        }
        false
    }

    /// Whether a slow source is due for a trial. The interval is chosen so that the trials of all routers
    /// together use only [`SLOW_SOURCE_RETRY_SHARE`] of its throughput.
    pub(super) fn is_due_for_trial(&self, source: MemberId, request: &Request) -> bool {
        let state = &self.members[&source];
        let routers = self.routers_sharing(&state.listed);
        let capacity = self.capacity(&state.listed).unwrap_or(1.0);
        // Interval for a single router and a capacity of one answer.
        let unit_interval: Millis = fill_time(self.sending_time(request)) / SLOW_SOURCE_RETRY_SHARE;
        let interval = (unit_interval * routers / capacity).max(SLOW_SOURCE_RETRY_DELAY);
        self.now - state.last_used_at > interval
    }

    /// Ends a request that cannot be served: rejects it if the client can safely send it again at any time,
    /// else fails it.
    pub(super) fn give_up(&mut self, id: RequestId) {
        let Some(pending) = self.pending.get_mut(&id) else { return };
        if !pending.has_ended {
            pending.has_ended = true;
            let answer = self.final_answer(id);
            self.actions.extend(answer);
        }
        self.remove_if_settled(id);
    }

    fn final_answer(&self, id: RequestId) -> Option<Action> {
        let pending = self.pending.get(&id)?;
        let class = self.class_of(pending);
        // A rejection declares a retry harmless whenever the client sends it. Members discard duplicates of a
        // key for the deduplication window only, so a key does not make a rejection safe.
        let is_retry_harmless =
            class.idempotency == Idempotency::Idempotent || pending.possible_run.is_none();
        if !is_retry_harmless {
            return Some(Action::Fail { request: id });
        }
        let advised = self.settings.max_retry_after.min(RETRY_AFTER_SHARE * class.latency_objective);
        let retry_after = if self.settings.retry_after { advised } else { 0.0 };
        Some(Action::Reject { request: id, retry_after })
    }

    /// Removes a request without attempts in flight; if it leads a fill, a waiter takes over the lead.
    pub(super) fn remove_if_settled(&mut self, id: RequestId) {
        if self.pending.get(&id).is_none_or(|pending| !pending.in_flight.is_empty()) {
            return;
        }
        if let Some(pending) = self.pending.remove(&id) {
            self.release_fill(id, FillKey::of(&pending.request), pending.failed_members);
        }
    }
}
