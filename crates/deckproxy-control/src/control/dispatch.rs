//! Dispatch: routes a request to a cache or directly to a source, and sends its final answer.

use super::Control;
use super::collapsing::FillKey;
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
        let fill_cache = self.collapsed_fills.get(&FillKey::of(&pending.request)).map(|fill| fill.cache);
        let caches: Vec<MemberId> = fill_cache.into_iter().chain(self.caches_for(&pending.request)).collect();
        if pending.sends == 0 && self.are_caches_overloaded(pending, &caches) {
            return self.give_up(id);
        }
        let failed = pending.failed_members.clone();
        for cache in caches.into_iter().filter(|cache| !failed.contains(cache)) {
            // A cache that warms up is empty, and a look-up costs it as much of its slow-start budget as
            // the fill that would follow, so the fill is sent at once.
            if self.is_cache_warming_up(cache) && self.accepts_attempts(cache) {
                return self.handle_miss(id, cache);
            }
            if self.try_send(AttemptPlan::lookup(id, cache)) {
                return;
            }
        }
        self.bypass_caches(id);
    }

    /// Whether even the first usable cache is too loaded for a request. A cache that reports spare CPU is
    /// not: its load consists of waiting fills, so it can still serve look-ups.
    fn are_caches_overloaded(&self, pending: &PendingRequest, caches: &[MemberId]) -> bool {
        let mut states = caches.iter().filter_map(|cache| self.members.get(cache));
        let best = states.find(|state| state.is_usable(self.now));
        let loaded = best.filter(|state| !state.reports_spare_capacity(self.now));
        self.is_too_late_at_load(pending, loaded.map_or(0.0, |state| self.member_load(state)))
    }

    fn is_cache_warming_up(&self, cache: MemberId) -> bool {
        self.members.get(&cache).is_some_and(|state| self.is_warming_up(&state.listed))
    }

    /// Sends a request without a cache look-up: to the parents in hash order, then to the origin. A write is
    /// executed at the origin: it is sent there directly, else through a parent, else through a cache.
    pub(super) fn bypass_caches(&mut self, id: RequestId) {
        let Some(pending) = self.pending.get(&id) else { return };
        let (request, failed, origin) = (pending.request, pending.failed_members.clone(), self.origin());
        let is_write = self.class_of(pending).write;
        let is_blocked = if is_write { origin.is_none() } else { self.is_link_overloaded(pending) };
        // For reads this also refills slow-start budgets, so it is done even if nothing can be sent.
        let mut targets =
            if is_write { self.write_targets(&request, origin) } else { self.responsive_sources(id) };
        targets.retain(|target| is_write || !failed.contains(target));
        let mut plans = targets.into_iter().map(|target| AttemptPlan::direct(id, target, origin));
        if is_blocked || !plans.any(|plan| self.try_send(plan)) {
            self.give_up(id);
        }
    }

    /// Members that may process a write, the origin first.
    fn write_targets(&self, request: &Request, origin: Option<MemberId>) -> Vec<MemberId> {
        let mut targets = self.sources_for(request);
        targets.rotate_right(usize::from(origin.is_some()));
        targets.extend(self.caches_for(request));
        targets
    }

    /// The sources that accept attempts and whose fills would not be too late, in order of preference. If
    /// there are none, the slow sources that are due for another trial: if all requests were rejected, a
    /// recovery would never be noticed.
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

    /// Whether a slow source is due for a trial. The interval is chosen so that the trials of all routers
    /// together use only [`SLOW_SOURCE_RETRY_SHARE`] of its throughput.
    fn is_due_for_trial(&self, source: MemberId, request: &Request) -> bool {
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
