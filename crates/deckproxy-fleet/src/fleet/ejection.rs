//! Decides which members are ejected, from the reports of all observers.

use super::{Effect, Fleet, kinds};
use crate::Millis;
use crate::health::{Ejection, Health, combine};
use crate::instance::Name;
use crate::liveness::PeerStatus;
use crate::rendezvous::keyed_uniform;
use std::collections::{BTreeMap, BTreeSet};

/// Steps between 0 and 1 of the draw that orders members for ejection.
const ORDER_STEPS: f64 = 1e9;

/// An observer's report on a member.
struct Report {
    health: Health,
    /// The observer is lost.
    from_lost: bool,
}

/// A member to eject; the order decides which ones are where not all can be.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Nominee {
    order: u64,
    id: u32,
}

impl Fleet {
    /// Members that are ejected here.
    pub fn ejected(&self) -> &BTreeSet<u32> {
        &self.ejected
    }

    pub(super) fn update_ejections(&mut self, now: Millis) {
        if self.view.is_stale {
            return;
        }
        let mut ejected = self.limit_ejections(self.nominees(now));
        self.delay_reinstatements(now, &mut ejected);
        if ejected != self.ejected {
            self.log_ejections(&ejected);
            self.ejected = ejected;
            self.effects.push_back(Effect::Eject(self.ejected.iter().copied().collect()));
        }
    }

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

    /// The members that the reports on them would have ejected, by kind.
    fn nominees(&self, now: Millis) -> BTreeMap<u32, Vec<Nominee>> {
        let reports = self.reports(now);
        let mut nominees: BTreeMap<u32, Vec<Nominee>> = BTreeMap::new();
        for member in self.members.values().filter(|member| member.ready) {
            let Some(reports) = reports.get(&member.name) else { continue };
            if self.is_nominated(member.id, reports) {
                let order = (keyed_uniform(&member.name, "") * ORDER_STEPS) as u64;
                nominees.entry(member.kind).or_default().push(Nominee { order, id: member.id });
            }
        }
        nominees
    }

    fn is_nominated(&self, member: u32, reports: &[Report]) -> bool {
        // The last report of a lost observer neither ejects a member nor reinstates one: its successors have to check first.
        let ejected = self.ejected.contains(&member);
        let counts = |report: &&Report| !report.from_lost || ejected && report.health != Health::Healthy;
        let counted = reports.iter().filter(counts).map(|report| report.health);
        match combine(counted, self.settings.observers, ejected) {
            Ejection::None => false,
            Ejection::ExceptObservers => !self.health_checks.is_assigned(member),
            Ejection::All => true,
        }
    }

    /// Never ejects so many of a kind that the others could not carry their load; the same ones on every instance.
    fn limit_ejections(&self, nominees: BTreeMap<u32, Vec<Nominee>>) -> BTreeSet<u32> {
        let mut ejected = BTreeSet::new();
        for (kind, mut nominees) in nominees {
            let ready = self.members.values().filter(|member| member.ready && member.kind == kind).count();
            let most = (ready as f64 * self.settings.max_ejected_share) as usize;
            nominees.sort_unstable();
            ejected.extend(nominees.into_iter().take(most).map(|nominee| nominee.id));
        }
        ejected
    }

    /// Keeps members ejected for a moment that each instance draws for itself, so that requests do not all return at once.
    /// Observers do not wait: they have tried the member already.
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
