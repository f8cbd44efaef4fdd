//! Health checks of members.

use crate::protocol::limits;
use crate::routing::attempt_key::{AttemptKey, health_check_key};
use crate::routing::deadline::Deadline;
use crate::routing::effect::{ConnectionFailure, Effect};
use crate::routing::router::Router;
use deckproxy_control::interface::{Event, LoadReport, MemberId};

impl Router {
    /// Sends a member a health check.
    pub fn health_check(&mut self, now: f64, member: MemberId) {
        let allowed = self.instance_settings.limits.health_checks;
        self.check_invariant(allowed, "health checks are allowed");
        self.health_checks_sent += 1;
        let key = health_check_key(self.health_checks_sent);
        let Some(endpoint) = self.members.endpoint(member).filter(|_| allowed) else {
            return self.health_checked(now, member, false, None);
        };
        self.counters.health_checks += 1;
        self.health_checks.insert(key, member);
        self.timers.schedule(now + limits::HEALTH_CHECK_TIMEOUT, Deadline::HealthCheck(key));
        self.effects.push_back(Effect::SendHealthCheck { key, member, endpoint });
    }

    /// Reports the result of a health check to the owner and the decision module.
    pub(super) fn health_checked(
        &mut self,
        now: f64,
        member: MemberId,
        healthy: bool,
        load: Option<LoadReport>,
    ) {
        self.effects.push_back(Effect::HealthChecked { member, healthy });
        self.notify_control(now, Event::HealthChecked { member, ok: healthy, load });
    }

    /// Handles the timeout of a health check, if it is still in flight.
    pub(super) fn health_check_timed_out(&mut self, now: f64, key: AttemptKey) {
        if let Some(member) = self.health_checks.get(&key).copied() {
            self.effects.push_back(Effect::CancelAttempt { key, member });
            self.connection_failed(now, key, ConnectionFailure::Reset);
        }
    }
}
