//! Slow start: limits what is sent to a member whose process started recently.

use super::Control;
use super::pool::{Pool, PoolKey, ReadyMember};
use super::rendezvous_hash::mix64;
use super::tuning::{GOLDEN_FRACTION, SLOW_START_SEND_COST, SLOW_START_SHARE};
use crate::interface::{Member, MemberId, Millis, SlowStart};

/// The limits of this router for a member that warms up.
#[derive(Clone, Copy, Debug)]
pub(super) struct SlowStartLimits {
    pub(super) rule: SlowStart,
    /// This router's position among all routers.
    pub(super) position: u32,
    /// This router's share of the member's capacity, in concurrent answers at full rate.
    pub(super) capacity_share: f64,
    /// Cost in ms of a send of the most expensive class.
    pub(super) max_send_cost: Millis,
}

/// This router's share of a member's slow-start budget, in ms of sending time.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct SlowStartBudget {
    /// The unspent budget; `None` before the first use.
    balance: Option<Millis>,
    updated_at: Millis,
}

impl SlowStartBudget {
    /// Creates a budget that is refilled from that time on.
    pub(super) fn starting_at(now: Millis) -> Self {
        SlowStartBudget { balance: None, updated_at: now }
    }

    /// Deducts the cost of a send.
    pub(super) fn spend(&mut self, cost: Millis) {
        self.balance = self.balance.map(|balance| balance - cost);
    }

    /// Refills the budget and returns whether this router may send to a member that warms up.
    ///
    /// The budget is refilled continuously, at [`SLOW_START_SHARE`] of the load that the slow-start rule
    /// allows at the member's current capacity. A send is allowed once the balance covers a send of the
    /// most expensive class. An allowance expires after one overload window, so that idle periods
    /// accumulate no burst. The initial balances are spread by the golden ratio, so that the routers in
    /// any range of positions send one after another and not at once.
    pub(super) fn allows_send(&mut self, member: &Member, limits: &SlowStartLimits, now: Millis) -> bool {
        let SlowStartLimits { rule, position, capacity_share, max_send_cost } = *limits;
        let age = (now - member.started.unwrap_or(now)).max(0.0);
        let capacity = rule.initial_share + (1.0 - rule.initial_share) * age / rule.duration;
        let rate = SLOW_START_SHARE * rule.overload_multiple * capacity * capacity_share;
        let member_offset = mix64(u64::from(member.id)) as f64 / u64::MAX as f64;
        let initial = max_send_cost * (f64::from(position) * GOLDEN_FRACTION + member_offset).fract();
        let refill = rate * (now - self.updated_at).max(0.0);
        let balance = self.balance.unwrap_or(initial) + refill;
        let expired_sends = ((balance - rate * rule.overload_window) / max_send_cost).floor().max(0.0);
        let balance = balance - expired_sends * max_send_cost;
        self.balance = Some(balance);
        self.updated_at = now.max(self.updated_at);
        balance >= max_send_cost
    }
}

impl Control {
    fn slow_start_rule(&self, member: &Member) -> SlowStart {
        if self.is_cache(member) { self.settings.cache_slow_start } else { self.settings.parent_slow_start }
    }

    /// Whether a member started recently enough to be warming up. The origin never warms up.
    pub(super) fn is_warming_up(&self, member: &Member) -> bool {
        let duration = self.slow_start_rule(member).duration;
        !self.is_origin(member) && member.started.is_some_and(|at| self.now - at < duration)
    }

    /// Cost of a send of a class in slow-start budgets.
    pub(super) fn slow_start_cost(&self, class: usize) -> Millis {
        self.class_sending_times[class].mean() * SLOW_START_SEND_COST
    }

    /// Whether a member accepts a new attempt: it is ready, not ejected and, while it warms up, this
    /// router's slow-start budget allows a send.
    pub(super) fn accepts_attempts(&mut self, id: MemberId) -> bool {
        let Some(state) = self.members.get(id).filter(|state| state.is_usable(self.now)) else {
            return false;
        };
        let member = state.listed;
        if !self.is_warming_up(&member) {
            return true;
        }
        let limits = SlowStartLimits {
            rule: self.slow_start_rule(&member),
            position: self.settings.position,
            capacity_share: self.capacity(&member).unwrap_or(1.0) / self.routers_sharing(&member),
            max_send_cost: (0..self.class_sending_times.len())
                .map(|class| self.slow_start_cost(class))
                .fold(1.0, f64::max),
        };
        let now = self.now;
        let state = self.members.get_mut(id);
        state.is_some_and(|state| state.slow_start_budget.allows_send(&member, &limits, now))
    }

    /// The ready members of a pool that are warming up.
    pub(super) fn members_warming_up<'a>(
        &'a self,
        pool: &'a Pool,
    ) -> impl Iterator<Item = &'a ReadyMember> + 'a {
        let warms_up = |id: &MemberId| self.is_warming_up(&self.members[id].listed);
        pool.recently_started().filter(warms_up).filter_map(|id| pool.ready_member(id))
    }

    /// Refills the slow-start budgets of a pool's members, except for some. They are refilled whenever an
    /// attempt could be sent to the members, as the rate rises while a member warms up.
    pub(super) fn refill_slow_start_budgets(&mut self, key: PoolKey, except: &[MemberId]) {
        let Some(pool) = self.members.pool(key) else { return };
        let started: Vec<MemberId> = pool.recently_started().collect();
        for id in started {
            if !self.is_warming_up(&self.members[&id].listed) {
                self.members.record_warmed_up(id);
            } else if !except.contains(&id) {
                self.accepts_attempts(id);
            }
        }
    }
}
