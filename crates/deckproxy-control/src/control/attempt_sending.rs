//! Sends attempts: look-ups, fills, retries, hedged requests and direct attempts all go through
//! [`Control::try_send`].

use super::Control;
use super::request_state::{Attempt, AttemptKind, AttemptPlan, PendingRequest};
use super::sending_times::fill_time;
use super::tuning::{COPY_RANK, LATE_MULTIPLE};
use crate::interface::{Action, GetOptions, Millis};

impl Control {
    /// Sends an attempt if all rules allow it; returns whether it was sent.
    pub(super) fn try_send(&mut self, plan: AttemptPlan) -> bool {
        let accepted = plan.endpoints().all(|member| self.accepts_attempts(member));
        let Some(pending) = self.pending.get(&plan.request).filter(|_| accepted) else { return false };
        if !self.is_permitted(pending, &plan) {
            return false;
        }
        let attempt = self.new_attempt(pending, plan);
        let action = self.action_for(pending, &plan);
        let cost = self.slow_start_cost(pending.request.class);
        self.actions.push(action);
        self.record_send(&plan, cost);
        self.add_link_transfers(attempt.link_transfers());
        if let Some(pending) = self.pending.get_mut(&plan.request) {
            pending.in_flight.push(attempt);
            pending.sends += 1;
        }
        true
    }

    fn new_attempt(&self, pending: &PendingRequest, plan: AttemptPlan) -> Attempt {
        let member_load = self.load_factor(&self.members[&plan.member]);
        let link_load = if plan.kind == AttemptKind::Lookup { 1.0 } else { self.link_load() };
        let sending_time = self.sending_time(&pending.request);
        let expected = fill_time(sending_time * member_load.max(link_load));
        let leads_fill = plan.kind == AttemptKind::Fill && self.is_leader(plan.request);
        Attempt {
            number: pending.sends,
            plan,
            sent_at: self.now,
            member_load,
            sending_time,
            sending_time_known: self.is_sending_time_known(&pending.request),
            is_trial: plan.endpoints().any(|member| self.members[&member].health.is_half_open),
            uses_link: plan.kind == AttemptKind::Direct || leads_fill,
            late_at: self.now + LATE_MULTIPLE * expected,
            is_late: false,
        }
    }

    /// The action that sends an attempt: a look-up at the origin, and at a cache if no purge limits the
    /// age of the copy; otherwise a get with its options.
    fn action_for(&self, pending: &PendingRequest, plan: &AttemptPlan) -> Action {
        let AttemptPlan { request, member, kind, .. } = *plan;
        let deadline = pending.request.deadline;
        let target = &self.members[&member].listed;
        let purge_max_age = self.purge_max_age(&pending.request);
        if kind == AttemptKind::Lookup && purge_max_age.is_none() || self.is_origin(target) {
            return Action::Lookup { request, member, deadline };
        }
        let class = self.class_of(pending);
        let stores_copy = !class.write && self.is_local_cache(target);
        Action::Get {
            request,
            member,
            deadline,
            source: plan.source.unwrap_or(member),
            copy_rank: if stores_copy { COPY_RANK } else { 0 },
            max_age: purge_max_age.map_or(0.0, |age| allowed_age(age, class.freshness_lifetime)),
            options: GetOptions {
                join: self.settings.join_fills && kind != AttemptKind::Lookup,
                cached_only: self.is_cached_only(pending, plan),
                ..GetOptions::default()
            },
        }
    }

    /// Whether the parent may answer a fill only from its cache, because the origin or the location's
    /// link is overloaded. If the parent has no copy, the request is given up at once.
    fn is_cached_only(&self, pending: &PendingRequest, plan: &AttemptPlan) -> bool {
        let is_parent = plan.source.is_some_and(|source| self.is_parent(&self.members[&source].listed));
        if plan.kind != AttemptKind::Fill || !is_parent {
            return false;
        }
        let leads_on_overloaded_link = self.is_leader(plan.request) && self.is_link_overloaded(pending);
        self.is_origin_too_slow(pending) || leads_on_overloaded_link
    }

    /// Records a sent attempt at its member and source.
    fn record_send(&mut self, plan: &AttemptPlan, slow_start_cost: Millis) {
        let now = self.now;
        for id in plan.endpoints() {
            let Some(state) = self.members.get_mut(id) else { continue };
            state.slow_start_budget.spend(slow_start_cost);
            state.in_flight.add(1.0, now);
            state.last_used_at = now;
            let is_target = id == plan.member;
            self.members.change_health(id, |health| health.record_send(is_target, now));
        }
    }
}

/// The lower of the age that a purge allows and the freshness lifetime, if the class has one.
fn allowed_age(purge_max_age: Millis, freshness_lifetime: Millis) -> Millis {
    if freshness_lifetime > 0.0 { purge_max_age.min(freshness_lifetime) } else { purge_max_age }
}
