//! Checks the health of the members assigned to this instance, and reports on them.

use super::{Effect, Fleet, ListedMember, kinds};
use crate::Millis;
use crate::gossip_store::Key;
use crate::health::{Health, Monitor, Thresholds};
use crate::health_checks::Assignment;
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
        self.trials.retain(|id| members.contains_key(id));
        self.reinstatements.retain(|id, _| members.contains_key(id));
        self.reassign = true;
    }

    /// Adds a member of the platform's list, or changes its entry.
    pub fn set_member(&mut self, member: ListedMember) {
        if self.members.get(&member.id) != Some(&member) {
            self.unassigned.insert(member.id);
            self.members.insert(member.id, member);
        }
    }

    /// Removes a member that the platform no longer lists; returns it.
    pub fn remove_member(&mut self, id: u32) -> Option<ListedMember> {
        let removed = self.members.remove(&id)?;
        self.remove_observation(id);
        self.reinstatements.remove(&id);
        self.unassigned.insert(id);
        Some(removed)
    }

    fn remove_observation(&mut self, id: u32) -> Option<Observation> {
        self.trials.remove(&id);
        self.observations.remove(&id)
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
        !self.trials.is_empty()
    }

    /// Whether a member is on trial with this instance's requests.
    pub fn is_on_trial(&self, member: u32) -> bool {
        self.trials.contains(&member)
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
        if health == Health::HalfOpen {
            self.trials.insert(member);
        } else {
            self.trials.remove(&member);
        }
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
            self.unassigned.clear();
            self.assign_members(now);
            self.withdraw_reports(now);
        } else if !self.unassigned.is_empty() {
            self.assign_changed_members(now);
        }
        let rate = self.view.rate();
        let interval = self.settings.health_check_interval;
        let started = self.health_checks.start_due(now, interval, rate, &mut self.rng);
        self.counters.health_checks += started.len() as u64;
        self.effects.extend(started.into_iter().map(Effect::HealthCheck));
    }

    /// The instances that may observe members; this instance is the first.
    fn observer_candidates(&self) -> Vec<Candidate> {
        let present = self.peers.values().filter(|peer| peer.status.is_present());
        let others = present.map(|peer| candidate(&peer.instance));
        std::iter::once(candidate(self.own())).chain(others).collect()
    }

    /// Whether this instance is one of a member's observers.
    fn is_observer(&self, member: &ListedMember, candidates: &[Candidate]) -> bool {
        let count = self.settings.observers;
        member.ready && observers(&member.name, &member.zone, candidates, count).contains(&0)
    }

    /// Assigns all members to their observers.
    fn assign_members(&mut self, now: Millis) {
        let candidates = self.observer_candidates();
        let assigned = self.members.values().filter(|member| self.is_observer(member, &candidates));
        let assigned: Vec<(u32, Name)> = assigned.map(|member| (member.id, member.name.clone())).collect();
        let own = self.own().name.clone();
        let assignment = self.assignment(now, &own);
        self.health_checks.assign(&assignment, assigned.iter().map(|(id, name)| (*id, &**name)));
    }

    /// Assigns the members whose entries have changed while the observers are the same as before.
    fn assign_changed_members(&mut self, now: Millis) {
        let candidates = self.observer_candidates();
        let own = self.own().name.clone();
        let assignment = self.assignment(now, &own);
        for id in std::mem::take(&mut self.unassigned) {
            let observed = self.members.get(&id).filter(|member| self.is_observer(member, &candidates));
            if let Some(name) = observed.map(|member| member.name.clone()) {
                self.health_checks.add(&assignment, id, &name);
            } else {
                self.health_checks.remove(id);
                self.withdraw_report(now, id);
            }
        }
    }

    fn assignment<'a>(&self, now: Millis, own: &'a str) -> Assignment<'a> {
        Assignment { now, interval: self.settings.health_check_interval, rate: self.view.rate(), own }
    }

    /// Withdraws the reports on members that have been reassigned.
    fn withdraw_reports(&mut self, now: Millis) {
        let is_assigned = |id: &u32| self.health_checks.is_assigned(*id);
        let withdrawn: Vec<u32> = self.observations.keys().copied().filter(|id| !is_assigned(id)).collect();
        for id in withdrawn {
            self.withdraw_report(now, id);
        }
    }

    /// Withdraws the report on a member that has been reassigned, if there is one, as it would count in addition to those of
    /// the new observers.
    fn withdraw_report(&mut self, now: Millis, id: u32) {
        if self.remove_observation(id).is_none() {
            return;
        }
        let Some(member) = self.members.get(&id) else { return };
        self.store.write(now, report_key(&member.name), REPORT_TTL as u32, None);
    }
}
