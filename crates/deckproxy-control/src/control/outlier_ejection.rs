//! Outlier ejection: members that fail or fall silent are ejected, and slow members are weighted as
//! smaller ones.

use super::Control;
use super::member_state::{Health, MemberState};
use super::pool::Pool;
use super::tuning::{LOG_LINES_MAX, MEDIAN_INFLATION_MIN, OUTLIER_RATIO};
use crate::interface::{Action, Member, MemberId};

impl Control {
    /// Ejects a member temporarily; afterwards it is half-open.
    pub(super) fn eject(&mut self, id: MemberId, reason: &str) {
        let now = self.now;
        let ejected = self.members.change_health(id, |health| health.eject(now));
        let Some(duration) = ejected.flatten() else { return };
        let Member { kind, zone, .. } = self.members[&id].listed;
        self.log(|| format!("member {id} (kind {kind}, zone {zone}) out for {duration:.0} ms: {reason}"));
    }

    /// Writes a log line, up to a maximum number per router.
    fn log(&mut self, line: impl FnOnce() -> String) {
        if self.log_lines < LOG_LINES_MAX {
            self.log_lines += 1;
            self.actions.push(Action::Log(line()));
        }
    }

    /// Records a success of a member and ends its half-open state.
    pub(super) fn record_success(&mut self, id: MemberId) {
        self.members.change_health(id, Health::record_success);
    }

    /// Records a failure that the member itself caused. The origin is never ejected, as no other member
    /// can replace it.
    pub(super) fn record_failure(&mut self, id: MemberId) {
        let now = self.now;
        let failed_often = self.members.change_health(id, |health| health.record_failure(now));
        let is_the_origin = self.origin() == Some(id);
        if !is_the_origin && failed_often == Some(true) {
            self.eject(id, "failing, or failed its trial");
        }
    }

    /// Ratio of a member's latency inflation to its pool's median if the member is an outlier, else 1. An
    /// outlier is weighted as a smaller member, so its objects spill over sooner. If it was only slower
    /// because its requests were harder, the cost is a second copy of the objects that spill over.
    pub(super) fn outlier_slowness(&self, state: &MemberState) -> f64 {
        let inflation = state.inflation(self.now);
        if max_slowness(inflation) <= 1.0 {
            return 1.0;
        }
        let Some(pool) = self.members.pool(self.members.pool_key(&state.listed)) else { return 1.0 };
        let median = if pool.is_ready(state.listed.id) {
            self.median_inflation_of_others(pool)
        } else {
            self.inflation_at_rank(pool, pool.ready_count().checked_sub(1).map(|last| last / 2))
        };
        slowness_over_median(inflation, median)
    }

    /// The low median of the latency inflations of the other ready members of a pool, for each member whose
    /// own inflation is above it; no other member is an outlier. `None` without other members.
    pub(super) fn median_inflation_of_others(&self, pool: &Pool) -> Option<f64> {
        self.inflation_at_rank(pool, pool.ready_count().checked_sub(2).map(|last| last / 2))
    }

    /// The latency inflation with that rank, from 0, among a pool's ready members.
    fn inflation_at_rank(&self, pool: &Pool, rank: Option<usize>) -> Option<f64> {
        let mut inflations: Vec<f64> = pool.ready_states().map(|state| state.inflation(self.now)).collect();
        let (_, inflation, _) = inflations.select_nth_unstable_by(rank?, f64::total_cmp);
        Some(*inflation)
    }
}

/// Slowness of a member with that latency inflation, compared with the median of its pool.
pub(super) fn slowness_over_median(inflation: f64, median: Option<f64>) -> f64 {
    let Some(median) = median else { return 1.0 };
    let ratio = inflation / median.max(MEDIAN_INFLATION_MIN);
    if ratio > OUTLIER_RATIO { ratio } else { 1.0 }
}

/// Upper bound of the slowness of a member with that latency inflation, whatever its pool's median is.
pub(super) fn max_slowness(inflation: f64) -> f64 {
    slowness_over_median(inflation, Some(MEDIAN_INFLATION_MIN))
}
