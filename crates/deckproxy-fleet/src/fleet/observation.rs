//! Checks the health of the members assigned to this instance, and reports on them.

use super::{Effect, Fleet, ListedMember, kinds};
use crate::Millis;
use crate::gossip_store::Key;
use crate::health::{Health, Monitor, Thresholds};
use crate::instance::{Instance, Name};
use crate::rendezvous::{Candidate, observers};

/// A report's time to live, in milliseconds.
const REPORT_TTL: Millis = 15_000.0;
/// Minimum time after which an unchanged report is written again, in milliseconds.
const REPORT_REFRESH: Millis = 5000.0;

/// The state of a member that this instance observes.
pub(super) struct Observation {
    monitor: Monitor,
    /// When the report was last written.
    reported_at: Millis,
}

impl Default for Observation {
    fn default() -> Self {
        Observation { monitor: Monitor::default(), reported_at: f64::MIN }
    }
}

impl Observation {
    fn is_on_trial(&self) -> bool {
        self.monitor.health() == Health::HalfOpen
    }
}

fn report_key(member: &Name) -> Key {
    Key { kind: kinds::HEALTH, subject: member.clone() }
}

fn candidate(instance: &Instance) -> Candidate {
    Candidate { name: instance.name.clone(), zone: instance.zone.clone(), weight: instance.weight }
}

impl Fleet {
    /// Sets the platform's list of members.
    pub fn set_members(&mut self, members: impl Iterator<Item = ListedMember>) {
        self.members = members.map(|member| (member.id, member)).collect();
        let members = &self.members;
        self.observations.retain(|id, _| members.contains_key(id));
        self.reinstatements.retain(|id, _| members.contains_key(id));
        self.reassign = true;
    }

    /// Number of members that are assigned to this instance.
    pub fn observed_count(&self) -> usize {
        self.health_checks.len()
    }

    /// Whether a member is assigned to this instance.
    pub fn observes(&self, member: u32) -> bool {
        self.health_checks.is_assigned(member)
    }

    /// Records the result of a requested health check.
    pub fn health_checked(&mut self, now: Millis, member: u32, succeeded: bool) {
        // A check that began before a pause, or of a member that has been reassigned since, does not count.
        if self.health_checks.finish(member) && self.stale_since.is_none() {
            self.record(now, member, |monitor, thresholds| {
                monitor.health_checked(now, thresholds, succeeded);
            });
        }
    }

    /// Whether any member is on trial with this instance's requests, so that `attempt_ended` must be called.
    pub fn has_trials(&self) -> bool {
        self.observations.values().any(Observation::is_on_trial)
    }

    /// Whether a member is on trial with this instance's requests.
    pub fn is_on_trial(&self, member: u32) -> bool {
        self.observations.get(&member).is_some_and(Observation::is_on_trial)
    }

    /// Records the result of an attempt at a member.
    pub fn attempt_ended(&mut self, now: Millis, member: u32, succeeded: bool) {
        if self.is_on_trial(member) {
            self.record(now, member, |monitor, thresholds| monitor.attempt_ended(now, thresholds, succeeded));
        }
    }

    /// Updates the state of a member, and writes the report if it has changed or has to be refreshed.
    fn record(&mut self, now: Millis, member: u32, update: impl FnOnce(&mut Monitor, &Thresholds)) {
        let observation = self.observations.entry(member).or_default();
        let before = observation.monitor.health();
        update(&mut observation.monitor, &self.settings.thresholds);
        let health = observation.monitor.health();
        let refresh = now - observation.reported_at >= REPORT_REFRESH && observation.monitor.is_observed();
        if health == before && !refresh {
            return;
        }
        observation.reported_at = now;
        let Some(name) = self.members.get(&member).map(|member| member.name.clone()) else { return };
        if health != before {
            self.log(format!("{name} is {}, as this instance observes it", health.log_name()));
        }
        let value = postcard::to_stdvec(&health).unwrap_or_default();
        let written = self.store.write(now, report_key(&name), REPORT_TTL as u32, Some(value));
        self.counters.over_limit += u64::from(!written);
        if health != before {
            self.push(now);
            self.update_ejections(now);
        }
    }

    /// Reassigns members if needed, and starts the health checks that are due.
    pub(super) fn check_members(&mut self, now: Millis) {
        if self.settings.observers == 0 || self.view.is_stale {
            return;
        }
        if std::mem::take(&mut self.reassign) {
            self.assign_members(now);
            self.withdraw_reports(now);
        }
        let rate = self.view.rate();
        let interval = self.settings.health_check_interval;
        let started = self.health_checks.start_due(now, interval, rate, &mut self.rng);
        self.counters.health_checks += started.len() as u64;
        self.effects.extend(started.into_iter().map(Effect::HealthCheck));
    }

    fn assign_members(&mut self, now: Millis) {
        let own = self.own().clone();
        let present = self.peers.values().filter(|peer| peer.status.is_present());
        let others = present.map(|peer| candidate(&peer.instance));
        // Index 0 is this instance.
        let candidates: Vec<Candidate> = std::iter::once(candidate(&own)).chain(others).collect();
        let observer_count = self.settings.observers;
        let assigned = self.members.values().filter(|member| {
            member.ready && observers(&member.name, &member.zone, &candidates, observer_count).contains(&0)
        });
        let assigned = assigned.map(|member| (member.id, &*member.name));
        let interval = self.settings.health_check_interval;
        self.health_checks.assign(now, interval, self.view.rate(), &own.name, assigned);
    }

    /// Withdraws the reports on members that have been reassigned, as they would count in addition to those of the new
    /// observers.
    fn withdraw_reports(&mut self, now: Millis) {
        let is_assigned = |id: &u32| self.health_checks.is_assigned(*id);
        let withdrawn: Vec<u32> = self.observations.keys().copied().filter(|id| !is_assigned(id)).collect();
        for id in withdrawn {
            self.observations.remove(&id);
            let Some(member) = self.members.get(&id) else { continue };
            self.store.write(now, report_key(&member.name), REPORT_TTL as u32, None);
        }
    }
}
