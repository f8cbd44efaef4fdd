//! Outlier ejection: members that fail or fall silent are ejected, and slow members are weighted as
//! smaller ones.

use super::Control;
use super::member_state::MemberState;
use super::tuning::{
    EJECTION_FAILURES, EJECTION_RECOVERY_FACTOR, EJECTION_TIME_MAX, EJECTION_TIME_MIN, LOG_LINES_MAX,
    MEDIAN_INFLATION_MIN, OUTLIER_RATIO,
};
use crate::interface::{Action, Member, MemberId};

impl Control {
    /// Ejects a member temporarily; afterwards it is half-open.
    pub(super) fn eject(&mut self, id: MemberId, reason: &str) {
        let Some(state) = self.members.get_mut(&id) else { return };
        let health = &mut state.health;
        if self.now < health.ejected_until {
            return;
        }
        health.ejection_duration =
            (health.ejection_duration * 2.0).clamp(EJECTION_TIME_MIN, EJECTION_TIME_MAX);
        health.ejected_until = self.now + health.ejection_duration;
        health.is_half_open = true;
        health.trial_in_flight = false;
        health.consecutive_failures = 0;
        health.unanswered_sends = 0;
        let (Member { kind, zone, .. }, duration) = (state.listed, health.ejection_duration);
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
        let Some(state) = self.members.get_mut(&id) else { return };
        let health = &mut state.health;
        health.consecutive_failures = 0;
        if health.is_half_open {
            health.is_half_open = false;
            health.ejection_duration *= EJECTION_RECOVERY_FACTOR;
        }
    }

    /// Records a failure that the member itself caused. The origin is never ejected, as no other member
    /// can replace it.
    pub(super) fn record_failure(&mut self, id: MemberId) {
        let is_the_origin = self.origin() == Some(id);
        let Some(state) = self.members.get_mut(&id) else { return };
        let health = &mut state.health;
        // Failures at the same instant usually result from one broken connection and count as one
        // failure.
        let is_same_failure = health.last_failure_at == self.now && health.consecutive_failures > 0;
        health.consecutive_failures += u32::from(!is_same_failure);
        health.last_failure_at = self.now;
        let failed_often = health.consecutive_failures >= EJECTION_FAILURES && !is_same_failure;
        if !is_the_origin && (health.is_half_open || failed_often) {
            self.eject(id, "failing, or failed its trial");
        }
    }

    /// Ratio of a member's latency inflation to its pool's median if the member is an outlier, else 1. An
    /// outlier is weighted as a smaller member, so its objects spill over sooner. If it was only slower
    /// because its requests were harder, the cost is a second copy of the objects that spill over.
    pub(super) fn outlier_slowness(&self, state: &MemberState) -> f64 {
        let mut inflations: Vec<f64> =
            self.pool_of(&state.listed).map(|other| other.inflation(self.now)).collect();
        if inflations.is_empty() {
            return 1.0;
        }
        inflations.sort_by(f64::total_cmp);
        let median = inflations[(inflations.len() - 1) / 2];
        let ratio = state.inflation(self.now) / median.max(MEDIAN_INFLATION_MIN);
        if ratio > OUTLIER_RATIO { ratio } else { 1.0 }
    }
}
