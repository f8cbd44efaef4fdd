//! The estimated capacity of a kind of member, for member lists without capacities.

use super::Control;
use super::decay::decay_factor;
use super::tuning::{BUSY_SHARE_MIN, CAPACITY_LEARNING_TIME, OBSERVATION_TIME_CONSTANT};
use crate::interface::{Member, MemberId, Millis};

/// Throughput of one member of a kind; the other routers' part is extrapolated from this router's. All
/// sums decay.
#[derive(Clone, Copy, Debug)]
pub(super) struct KindThroughput {
    /// Sending time of the answers served.
    served: Millis,
    /// Clock time at which the observation began.
    since: Millis,
    updated_at: Millis,
    /// Sum of the reported busy shares.
    busy_share_sum: f64,
    /// Number of the reported busy shares.
    busy_share_reports: f64,
}

impl KindThroughput {
    fn starting_at(now: Millis) -> Self {
        KindThroughput {
            served: 0.0,
            since: now,
            updated_at: now,
            busy_share_sum: 0.0,
            busy_share_reports: 0.0,
        }
    }

    fn decay_to(&mut self, now: Millis) {
        let factor = decay_factor(now - self.updated_at, OBSERVATION_TIME_CONSTANT);
        self.served *= factor;
        self.busy_share_sum *= factor;
        self.busy_share_reports *= factor;
        self.updated_at = now;
    }

    /// Estimated capacity in concurrent answers at full rate: the average number in flight divided by the
    /// busy share. Without reported busy shares this is a lower bound.
    fn capacity(&self, now: Millis) -> Option<f64> {
        let observed_time = OBSERVATION_TIME_CONSTANT
            * (1.0 - decay_factor(self.updated_at - self.since, OBSERVATION_TIME_CONSTANT));
        let reported = self.busy_share_reports > 0.0;
        let busy_share = if reported { self.busy_share_sum / self.busy_share_reports } else { 1.0 };
        let learned = now - self.since > CAPACITY_LEARNING_TIME;
        learned.then(|| (self.served / observed_time / busy_share.clamp(BUSY_SHARE_MIN, 1.0)).max(1.0))
    }
}

impl Control {
    /// A member's capacity in concurrent answers at full rate: as listed, else estimated from the
    /// throughput of its kind.
    pub(super) fn capacity(&self, member: &Member) -> Option<f64> {
        if self.settings.weights_are_capacities {
            return Some(member.weight);
        }
        self.kind_throughput.get(&member.kind)?.capacity(self.now)
    }

    /// Records the sending time of an answer that a member served, and its reported busy share, if any.
    pub(super) fn record_throughput(&mut self, id: MemberId, served: Millis, busy_share: Option<f64>) {
        if self.settings.weights_are_capacities {
            return;
        }
        let Some(member) = self.members.get(id).map(|state| state.listed) else { return };
        let pool = self.members.pool(self.members.pool_key(&member));
        let others = pool
            .map_or(0, |pool| pool.ready_count_of_kind(member.kind) - usize::from(pool.is_ready(member.id)));
        let served_by_all = served * self.routers_sharing(&member) / (1.0 + others as f64);
        let entry = self.kind_throughput.entry(member.kind);
        let throughput = entry.or_insert(KindThroughput::starting_at(self.now));
        throughput.decay_to(self.now);
        throughput.served += served_by_all;
        if let Some(share) = busy_share {
            throughput.busy_share_sum += share;
            throughput.busy_share_reports += 1.0;
        }
    }
}
