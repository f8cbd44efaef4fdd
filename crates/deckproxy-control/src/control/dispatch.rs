//! Dispatch: a request's way to a cache or past the caches, and its final answer.

use super::Control;
use super::collapsing::FillKey;
use super::request_state::{AttemptPlan, PendingRequest};
use super::sending_times::fill_time;
use super::tuning::{
    DEMAND_TIME_CONSTANT, OBJECTS_MAX, RETRY_AFTER_SHARE, SLOW_SOURCE_RETRY_DELAY, SLOW_SOURCE_RETRY_SHARE,
};
use crate::interface::{Action, Group, Idempotency, MemberId, Millis, Request, RequestId};

impl Control {
    /// Takes a client's request.
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

    /// Routes a request: a look-up at the first cache that takes it, else past the caches.
    pub(super) fn route(&mut self, id: RequestId) {
        let Some(pending) = self.pending.get(&id) else { return };
        if self.class_of(pending).write {
            return self.send_past_caches(id);
        }
        // Where a fill of this router runs, the object is looked up there.
        let fill_cache = self.collapsed_fills.get(&FillKey::of(&pending.request)).map(|fill| fill.cache);
        let caches: Vec<MemberId> = fill_cache.into_iter().chain(self.caches_for(&pending.request)).collect();
        if pending.sends == 0 && self.are_caches_overloaded(pending, &caches) {
            return self.give_up(id);
        }
        let failed = pending.failed_members.clone();
        for cache in caches.into_iter().filter(|cache| !failed.contains(cache)) {
            // A cache that warms up is empty, and a look-up weighs on it as much as its fill: that comes at
            // once.
            if self.is_cache_warming_up(cache) && self.accepts_attempts(cache) {
                return self.handle_miss(id, cache);
            }
            if self.try_send(AttemptPlan::lookup(id, cache)) {
                return;
            }
        }
        self.send_past_caches(id);
    }

    /// Whether even the best usable cache is too loaded for a request. One that reports spare capacity is
    /// not: its load is fills that wait, so it still takes look-ups.
    fn are_caches_overloaded(&self, pending: &PendingRequest, caches: &[MemberId]) -> bool {
        let mut states = caches.iter().filter_map(|cache| self.members.get(cache));
        let best = states.find(|state| state.is_usable(self.now));
        let loaded = best.filter(|state| !state.reports_spare_capacity(self.now));
        self.is_too_late_at_load(pending, loaded.map_or(0.0, |state| self.member_load(state)))
    }

    fn is_cache_warming_up(&self, cache: MemberId) -> bool {
        self.members.get(&cache).is_some_and(|state| self.is_warming_up(&state.listed))
    }

    /// Sends a request past the caches: to the parents in their order, then to the origin. A write runs at
    /// the origin: it goes straight there, else through a parent, else through a cache.
    pub(super) fn send_past_caches(&mut self, id: RequestId) {
        let Some(pending) = self.pending.get(&id) else { return };
        let (request, failed, origin) = (pending.request, pending.failed_members.clone(), self.origin());
        let is_write = self.class_of(pending).write;
        let is_blocked = if is_write { origin.is_none() } else { self.is_link_overloaded(pending) };
        // Listing the sources brings slow-start budgets up to date, also where nothing can be sent.
        let mut targets =
            if is_write { self.write_targets(&request, origin) } else { self.responsive_sources(id) };
        targets.retain(|target| is_write || !failed.contains(target));
        let mut plans = targets.into_iter().map(|target| AttemptPlan::direct(id, target, origin));
        if is_blocked || !plans.any(|plan| self.try_send(plan)) {
            self.give_up(id);
        }
    }

    /// Members that may run a write, the origin first.
    fn write_targets(&self, request: &Request, origin: Option<MemberId>) -> Vec<MemberId> {
        let mut targets = self.sources_for(request);
        targets.rotate_right(usize::from(origin.is_some()));
        targets.extend(self.caches_for(request));
        targets
    }

    /// The sources that take attempts and whose fills would not come too late, in the hash's order. Where
    /// there are none, the slow ones that are due for another trial: rejecting all would never show that they
    /// recovered.
    pub(super) fn responsive_sources(&mut self, id: RequestId) -> Vec<MemberId> {
        let Some(request) = self.pending.get(&id).map(|pending| pending.request) else { return Vec::new() };
        let mut sources = self.sources_for(&request);
        sources.retain(|source| self.accepts_attempts(*source));
        let Some(pending) = self.pending.get(&id) else { return sources };
        let is_slow = |source: &MemberId| self.is_too_slow(pending, self.members[source].inflation(self.now));
        let (mut slow, responsive): (Vec<_>, Vec<_>) = sources.into_iter().partition(is_slow);
        if !responsive.is_empty() {
            return responsive;
        }
        slow.retain(|source| self.is_due_for_trial(*source, &request));
        slow
    }

    /// Whether a slow source was left alone long enough: all routers that share it may together ask for a
    /// small share of what it can send.
    fn is_due_for_trial(&self, source: MemberId, request: &Request) -> bool {
        let state = &self.members[&source];
        let routers = self.routers_sharing(&state.listed);
        let capacity = self.capacity(&state.listed).unwrap_or(1.0);
        let own_share: Millis = fill_time(self.sending_time(request)) / SLOW_SOURCE_RETRY_SHARE;
        let interval = (own_share * routers / capacity).max(SLOW_SOURCE_RETRY_DELAY);
        self.now - state.last_used_at > interval
    }

    /// Gives the final answer where nothing more can be done: a rejection if a new request does no harm, else
    /// a failure.
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
        let never_ran = pending.possible_run.is_none();
        let is_repeatable = match class.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::Keyed => never_ran || class.group == Group::All,
            Idempotency::NotIdempotent => never_ran,
        };
        if !is_repeatable {
            return Some(Action::Fail { request: id });
        }
        let advised = self.settings.max_retry_after.min(RETRY_AFTER_SHARE * class.latency_objective);
        let retry_after = if self.settings.retry_after { advised } else { 0.0 };
        Some(Action::Reject { request: id, retry_after })
    }

    /// Removes a request that has no attempt in flight; a fill that it leads passes to a waiter.
    pub(super) fn remove_if_settled(&mut self, id: RequestId) {
        if self.pending.get(&id).is_none_or(|pending| !pending.in_flight.is_empty()) {
            return;
        }
        if let Some(pending) = self.pending.remove(&id) {
            self.release_fill(id, FillKey::of(&pending.request), pending.failed_members);
        }
    }
}
