//! Request collapsing: one leader per object and part fills, and the other requests wait for its fill.

use super::Control;
use super::request_state::{AttemptPlan, PendingRequest};
use super::tuning::{HOP_ALLOWANCE, LARGE_SENDING_TIME, LATE_MULTIPLE, TIMER_PERIOD, WAITERS_MAX};
use crate::interface::{MemberId, Millis, Request, RequestId};
use std::collections::VecDeque;

/// Key of a fill: a part of an object.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct FillKey {
    object: u64,
    part: u32,
}

impl FillKey {
    /// The key of a request's fill.
    pub(super) fn of(request: &Request) -> Self {
        FillKey { object: request.object, part: request.part }
    }
}

/// A fill in progress with its leader and waiters.
#[derive(Debug)]
pub(super) struct CollapsedFill {
    pub(super) leader: RequestId,
    /// The cache that fills.
    pub(super) cache: MemberId,
    pub(super) waiters: VecDeque<RequestId>,
}

impl Control {
    /// Whether a request leads a fill.
    pub(super) fn is_leader(&self, id: RequestId) -> bool {
        let Some(pending) = self.pending.get(&id) else { return false };
        let fill = self.collapsed_fills.get(&FillKey::of(&pending.request));
        fill.is_some_and(|fill| fill.leader == id)
    }

    /// Handles a miss at a cache: the request becomes the leader of a fill, waits for the running fill,
    /// or sends a fill of its own at once, which joins the running one if the settings allow it.
    pub(super) fn handle_miss(&mut self, id: RequestId, cache: MemberId) {
        let Some(pending) = self.pending.get(&id) else { return };
        let is_large = self.sending_time(&pending.request) >= LARGE_SENDING_TIME;
        let cannot_wait = self.settings.join_fills && is_large || self.has_time_for_only_one_attempt(pending);
        let new = CollapsedFill { leader: id, cache, waiters: VecDeque::new() };
        let fill = self.collapsed_fills.entry(FillKey::of(&pending.request)).or_insert(new);
        if fill.leader == id || cannot_wait || fill.waiters.len() >= WAITERS_MAX {
            let cache = fill.cache;
            return self.fill(id, cache);
        }
        fill.waiters.push_back(id);
        self.set_waiting_since(id, Some(self.now));
    }

    /// Sets the clock time since which a request has waited for a fill; `None`: it does not wait.
    pub(super) fn set_waiting_since(&mut self, id: RequestId, since: Option<Millis>) {
        if let Some(pending) = self.pending.get_mut(&id) {
            pending.waiting_since = since;
        }
    }

    /// Whether a request has no more time than one attempt needs, so that it cannot wait for the next run
    /// of the timer.
    pub(super) fn has_time_for_only_one_attempt(&self, pending: &PendingRequest) -> bool {
        let attempt_time = LATE_MULTIPLE * (self.sending_time(&pending.request) + HOP_ALLOWANCE);
        pending.request.deadline - self.now <= attempt_time + TIMER_PERIOD
    }

    /// Sends a fill at a cache from the first source that accepts it; else at another cache; else
    /// bypasses the caches.
    pub(super) fn fill(&mut self, id: RequestId, cache: MemberId) {
        let Some(pending) = self.pending.get(&id) else { return };
        let request = pending.request;
        if pending.sends == 1 && self.is_too_late_at_load(pending, self.load_factor_by_id(cache)) {
            return self.give_up(id);
        }
        // While the link is overloaded nothing is filled from the origin. If notes do not show which
        // fills the origin serves, nothing is filled at all.
        let avoids_origin = self.is_leader(id) && self.is_link_overloaded(pending);
        if avoids_origin && !self.origin_latency.has_observations() {
            return self.give_up(id);
        }
        let avoided = self.origin().filter(|_| avoids_origin);
        match self.send_fill(&request, cache, avoided) {
            Some(filled) => self.set_fill_cache(&request, filled),
            None => self.bypass_caches(id),
        }
    }

    /// Sends a fill from the first usable source at the first cache that accepts it; returns the cache. Other
    /// sources are not tried, as whether a cache accepts the fill does not depend on its source.
    fn send_fill(
        &mut self,
        request: &Request,
        cache: MemberId,
        avoided: Option<MemberId>,
    ) -> Option<MemberId> {
        let failed = self.pending.get(&request.id)?.failed_members.clone();
        let mut sources = self.source_order(request);
        let source = loop {
            let source = self.next_source(request.id, &mut sources)?;
            if avoided != Some(source) && !failed.contains(&source) {
                break source;
            }
        };
        if !self.is_sendable(self.pending.get(&request.id)?) {
            self.refill_slow_start_budgets(self.local_caches(), &failed);
            return None;
        }
        let mut order = self.cache_order(request);
        let mut next = Some(cache);
        while let Some(cache) = next {
            let plan = AttemptPlan::fill(request.id, cache, source);
            if !failed.contains(&cache) && self.try_send(plan) {
                return Some(cache);
            }
            next = self.next_member(&mut order);
        }
        None
    }

    /// Records the cache at which a leader fills.
    fn set_fill_cache(&mut self, request: &Request, cache: MemberId) {
        let fill = self.collapsed_fills.get_mut(&FillKey::of(request));
        if let Some(fill) = fill.filter(|fill| fill.leader == request.id) {
            fill.cache = cache;
        }
    }

    /// Ends the fill of a leader that was served by a cache; look-ups are sent there for its waiters.
    pub(super) fn complete_fill(&mut self, id: RequestId, key: FillKey, cache: MemberId) {
        if !self.remove_waiter(id, key) {
            return;
        }
        let waiters = self.collapsed_fills.remove(&key).map(|fill| fill.waiters).unwrap_or_default();
        for waiter in waiters {
            self.set_waiting_since(waiter, None);
            if !self.try_send(AttemptPlan::lookup(waiter, cache)) {
                self.route(waiter);
            }
        }
    }

    /// Removes an unserved request from a fill. If it was the leader, the oldest waiter takes over and
    /// avoids the members at which the request failed.
    pub(super) fn release_fill(&mut self, id: RequestId, key: FillKey, failed: Vec<MemberId>) {
        if !self.remove_waiter(id, key) {
            return;
        }
        let Some(fill) = self.collapsed_fills.get_mut(&key) else { return };
        let Some(next) = fill.waiters.pop_front() else {
            self.collapsed_fills.remove(&key);
            return;
        };
        fill.leader = next;
        let cache = fill.cache;
        if let Some(pending) = self.pending.get_mut(&next) {
            pending.waiting_since = None;
            pending.failed_members.extend(failed);
        }
        self.fill(next, cache);
    }

    /// Removes a request from a fill's waiters; returns whether it is the leader of that fill.
    fn remove_waiter(&mut self, id: RequestId, key: FillKey) -> bool {
        let Some(fill) = self.collapsed_fills.get_mut(&key) else { return false };
        fill.waiters.retain(|waiter| *waiter != id);
        fill.leader == id
    }
}
