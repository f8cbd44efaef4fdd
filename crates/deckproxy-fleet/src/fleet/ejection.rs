//! Decides which members are ejected, based on the reports of all observers.

use super::{Effect, Fleet, kinds};
use crate::Millis;
use crate::health::{Ejection, Health, combine_reports};
use crate::instance::Name;
use crate::liveness::PeerStatus;
use crate::rendezvous::keyed_uniform;
use std::collections::{BTreeMap, BTreeSet};

/// Resolution of the hash-based number from 0 to 1 that orders members for ejection.
const ORDER_STEPS: f64 = 1e9;

/// An observer's report on a member.
struct Report {
    health: Health,
    /// Whether the observer is lost.
    from_lost: bool,
}

/// A member to eject; the order decides which members are ejected when the limit does not allow all of them.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct EjectionCandidate {
    order: u64,
    id: u32,
}

impl Fleet {
    /// The members that this instance ejects.
    pub fn ejected(&self) -> &BTreeSet<u32> {
        &self.ejected
    }

    /// Recomputes the set of ejected members, and reports it if it has changed.
    pub(super) fn update_ejections(&mut self, now: Millis) {
        if self.view.is_stale {
            return;
        }
        let mut ejected = self.limit_ejections(self.candidates(now));
        self.delay_reinstatements(now, &mut ejected);
        if ejected != self.ejected {
            self.log_ejections(&ejected);
            self.ejected = ejected;
            self.effects.push_back(Effect::Eject(self.ejected.iter().copied().collect()));
        }
    }

    /// The observers' reports, by the member's name.
    fn reports(&self, now: Millis) -> BTreeMap<&Name, Vec<Report>> {
        let mut reports: BTreeMap<&Name, Vec<Report>> = BTreeMap::new();
        for entry in self.store.entries_of_kind(now, kinds::HEALTH) {
            let from_lost = self.peers.get(entry.author).is_some_and(|peer| peer.status == PeerStatus::Lost);
            if let Ok(health) = postcard::from_bytes(entry.value) {
                reports.entry(entry.subject).or_default().push(Report { health, from_lost });
            }
        }
        reports
    }

    /// The members that should be ejected according to the reports on them, by kind; the limit is not yet applied.
    fn candidates(&self, now: Millis) -> BTreeMap<u32, Vec<EjectionCandidate>> {
        let reports = self.reports(now);
        let mut candidates: BTreeMap<u32, Vec<EjectionCandidate>> = BTreeMap::new();
        for member in self.members.values().filter(|member| member.ready) {
            let Some(reports) = reports.get(&member.name) else { continue };
            if self.should_eject(member.id, reports) {
                let order = (keyed_uniform(&member.name, "") * ORDER_STEPS) as u64;
                candidates.entry(member.kind).or_default().push(EjectionCandidate { order, id: member.id });
            }
        }
        candidates
    }

    /// Whether this instance should eject a member according to the reports on it.
    fn should_eject(&self, member: u32, reports: &[Report]) -> bool {
        // The last report of a lost observer neither ejects a member nor reinstates one: its successors have to check the
        // member first.
        let ejected = self.ejected.contains(&member);
        let is_counted = |report: &&Report| !report.from_lost || ejected && report.health != Health::Healthy;
        let counted = reports.iter().filter(is_counted).map(|report| report.health);
        match combine_reports(counted, self.settings.observers, ejected) {
            Ejection::None => false,
            Ejection::ExceptObservers => !self.health_checks.is_assigned(member),
            Ejection::All => true,
        }
    }

    /// Limits the ejected share of each kind's ready members, so that the others can carry their load. Every instance
    /// selects the same members.
    fn limit_ejections(&self, candidates: BTreeMap<u32, Vec<EjectionCandidate>>) -> BTreeSet<u32> {
        let mut ejected = BTreeSet::new();
        for (kind, mut candidates) in candidates {
            let ready = self.members.values().filter(|member| member.ready && member.kind == kind).count();
            let max_ejected = (ready as f64 * self.settings.max_ejected_share) as usize;
            candidates.sort_unstable();
            ejected.extend(candidates.into_iter().take(max_ejected).map(|candidate| candidate.id));
        }
        ejected
    }

    /// Delays the reinstatement of members by a time that differs between instances, so that their requests do not all
    /// return at once. Observers do not wait: they have already sent the member trial requests.
    fn delay_reinstatements(&mut self, now: Millis, ejected: &mut BTreeSet<u32>) {
        let reinstated: Vec<u32> = self.ejected.difference(ejected).copied().collect();
        for id in reinstated {
            let Some(member) = self.members.get(&id) else { continue };
            let delay = if self.health_checks.is_assigned(id) {
                0.0
            } else {
                keyed_uniform(&member.name, &self.swim.own().name) * self.settings.reinstatement_spread
            };
            let at = *self.reinstatements.entry(id).or_insert(now + delay);
            if now < at {
                ejected.insert(id);
            }
        }
        self.reinstatements.retain(|id, at| now < *at && ejected.contains(id));
    }

    fn log_ejections(&mut self, ejected: &BTreeSet<u32>) {
        let added = self.names_of(ejected.difference(&self.ejected));
        let removed = self.names_of(self.ejected.difference(ejected));
        if !added.is_empty() {
            self.log(format!("ejected, as its observers agree that it fails: {added}"));
        }
        if !removed.is_empty() {
            self.log(format!("reinstated: {removed}"));
        }
    }

    fn names_of<'a>(&self, members: impl Iterator<Item = &'a u32>) -> String {
        let names = members.filter_map(|id| self.members.get(id).map(|member| member.name.to_string()));
        names.collect::<Vec<_>>().join(" ")
    }
}
