//! The load of members and of the location's link, and the processing of load reports.

use super::Control;
use super::decay::TimedValue;
use super::member_state::MemberState;
use super::outlier_ejection::{max_slowness, slowness_over_median};
use super::pool::Pool;
use super::tuning::{BUSY_SHARE_SATURATED, CAPACITY_MIN, FILL_RATE_MULTIPLE};
use crate::interface::{LoadReport, Member, MemberId, Millis};

impl Control {
    fn routers_in(&self, zone: u32) -> f64 {
        let routers = self.settings.zone_routers.get(zone as usize).copied();
        f64::from(routers.unwrap_or(self.settings.routers).max(1))
    }

    /// Number of routers that may send to a member: those of its location for a cache, else all.
    pub(super) fn routers_sharing(&self, member: &Member) -> f64 {
        if self.is_cache(member) {
            self.routers_in(member.zone)
        } else {
            f64::from(self.settings.routers.max(1))
        }
    }

    /// A member's load: the attempts in flight of all routers divided by its capacity; 0 if the capacity
    /// is unknown. An outlier is weighted as a smaller member.
    pub(super) fn member_load(&self, state: &MemberState) -> f64 {
        self.load_at_slowness(state, self.outlier_slowness(state))
    }

    /// Upper bound of a member's load, which does not depend on the other members of its pool.
    pub(super) fn max_load(&self, state: &MemberState) -> f64 {
        self.load_at_slowness(state, max_slowness(state.inflation(self.now)))
    }

    /// A member's load if its outlier slowness is known.
    fn load_at_slowness(&self, state: &MemberState, slowness: f64) -> f64 {
        let in_flight = state.in_flight.total(self.routers_sharing(&state.listed), self.now);
        let load = |capacity: f64| in_flight * slowness / capacity.max(CAPACITY_MIN);
        self.capacity(&state.listed).map_or(0.0, load)
    }

    /// Factor by which a member's load prolongs answers, 1 or more: an overloaded member serves its answers
    /// in turn.
    pub(super) fn load_factor(&self, state: &MemberState) -> f64 {
        if self.max_load(state) <= 1.0 { 1.0 } else { self.member_load(state).max(1.0) }
    }

    /// The load factor of the member with that id; 1 if it is not listed.
    pub(super) fn load_factor_by_id(&self, id: MemberId) -> f64 {
        self.members.get(id).map_or(1.0, |state| self.load_factor(state))
    }

    /// Mean load of a pool's ready members.
    pub(super) fn mean_load(&self, pool: &Pool) -> f64 {
        let median = self.median_inflation_of_others(pool);
        let load = |state: &MemberState| {
            self.load_at_slowness(state, slowness_over_median(state.inflation(self.now), median))
        };
        pool.ready_states().map(load).sum::<f64>() / pool.ready_count().max(1) as f64
    }

    /// Number of concurrent transfers that the location's link can carry, if its rate is known.
    pub(super) fn link_capacity(&self) -> Option<f64> {
        let rate = self.settings.zone_link_rate.get(self.settings.zone as usize).copied()?;
        let is_known = rate > 0.0 && self.settings.transfer_rate > 0.0;
        is_known.then(|| (rate / self.settings.transfer_rate / FILL_RATE_MULTIPLE).max(1.0))
    }

    /// Load of the location's link with one more transfer: relative to its capacity if its rate is known,
    /// else as the caches report it; 0 without either.
    pub(super) fn link_load(&self) -> f64 {
        match self.link_capacity() {
            Some(capacity) => {
                let routers = self.routers_in(self.settings.zone);
                (self.link.total(routers, self.now) + 1.0) / capacity
            }
            None => self.link.decayed_report(self.now),
        }
    }

    /// Changes the number of this router's transfers over the location's link; the change may be
    /// negative.
    pub(super) fn add_link_transfers(&mut self, change: f64) {
        self.link.add(change, self.now);
    }

    /// Infers the load of the location's link from a fill that was expected to take `expected` ms.
    pub(super) fn infer_link_load(&mut self, elapsed: Millis, expected: Millis) {
        if let Some(capacity) = self.link_capacity() {
            self.link.report(FILL_RATE_MULTIPLE * capacity * elapsed / expected, self.now);
        }
    }

    /// Records a member's load report.
    pub(super) fn record_load_report(&mut self, id: MemberId, report: LoadReport) {
        let Some(state) = self.members.get(id) else { return };
        let member = state.listed;
        let in_flight = report.in_flight.or_else(|| self.in_flight_from_busy_share(state, &report));
        let now = self.now;
        if let Some(state) = self.members.get_mut(id) {
            state.busy_share =
                report.busy_share.map(|value| TimedValue { value, at: now }).or(state.busy_share);
            if let Some(in_flight) = in_flight {
                state.in_flight.report(in_flight, now);
            }
        }
        self.record_throughput(id, 0.0, report.busy_share);
        if let Some(utilization) = report.link.filter(|_| self.is_local_cache(&member)) {
            let capacity = self.link_capacity();
            let transfers = capacity.map_or(utilization + self.link.own(), |capacity| utilization * capacity);
            self.link.report(transfers, now);
        }
    }

    /// Attempts in flight estimated from a member's busy share, if its capacity is listed. A saturated member
    /// may have more in flight, so its share is only used as a lower bound.
    fn in_flight_from_busy_share(&self, state: &MemberState, report: &LoadReport) -> Option<f64> {
        let busy_share = report.busy_share.filter(|_| self.settings.weights_are_capacities)?;
        let in_flight = busy_share * state.listed.weight;
        let estimated = state.in_flight.total(self.routers_sharing(&state.listed), self.now);
        (busy_share < BUSY_SHARE_SATURATED || in_flight > estimated).then_some(in_flight)
    }
}
