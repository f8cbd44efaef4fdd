//! What an instance does about the platform's members: its share of probing them, and which are held back.

use super::{Effect, Fleet, Listed, Peer, kinds};
use crate::Millis;
use crate::gossip_store::Key;
use crate::health::{Health, Held, Terms, Watch, judge};
use crate::instance::{Instance, Name};
use crate::rendezvous::{Candidate, observers, spread};
use crate::view::Standing;
use std::collections::{BTreeMap, BTreeSet};

/// Milliseconds for which an observer's report counts unless it is written again, and after which it is.
const REPORT_LIFE: Millis = 15_000.0;
const REPORT_AGAIN: Millis = 5000.0;

impl Fleet {
    /// The platform's list, whole.
    pub fn list(&mut self, members: impl Iterator<Item = Listed>) {
        self.members = members.map(|m| (m.id, m)).collect();
        let members = &self.members;
        self.watches.retain(|id, _| members.contains_key(id));
        self.lifts.retain(|id, _| members.contains_key(id));
        self.stirred = true;
    }

    /// A probe that was asked for has ended.
    pub fn probed(&mut self, now: Millis, member: u32, good: bool) {
        // From before a pause, or of a duty that is another's by now.
        if self.probing.ended(member) && self.woke.is_none() {
            self.watch(now, member, |watch, terms| watch.probed(now, terms, good));
        }
    }

    /// Whether any member is tried with requests by this instance, so that `attempted` is to be told.
    pub fn tries(&self) -> bool {
        self.watches.values().any(|(w, _)| w.health() == Health::Back)
    }

    /// Whether this one is.
    pub fn is_tried(&self, member: u32) -> bool {
        self.watches.get(&member).is_some_and(|(w, _)| w.health() == Health::Back)
    }

    /// An attempt at a member has ended.
    pub fn attempted(&mut self, now: Millis, member: u32, good: bool) {
        if self.is_tried(member) {
            self.watch(now, member, |watch, terms| watch.attempted(now, terms, good));
        }
    }

    fn watch(&mut self, now: Millis, member: u32, change: impl FnOnce(&mut Watch, &Terms)) {
        let (watch, written) = self.watches.entry(member).or_insert((Watch::default(), f64::MIN));
        let before = watch.health();
        change(watch, &self.settings.terms);
        let (health, due) = (watch.health(), now - *written >= REPORT_AGAIN);
        if health == before && !(due && watch.is_sure()) {
            return;
        }
        *written = now;
        let Some(name) = self.members.get(&member).map(|m| m.name.clone()) else { return };
        if health != before {
            self.log(format!("{name} is {health:?}, as this instance observes it"));
        }
        let value = postcard::to_stdvec(&health).unwrap_or_default();
        let key = Key { kind: kinds::HEALTH, subject: name };
        let fits = self.board.write(now, key, REPORT_LIFE as u32, Some(value));
        self.counters.over += u64::from(!fits);
        if health != before {
            self.push(now);
            self.judge(now);
        }
    }

    pub(super) fn observe(&mut self, now: Millis) {
        if self.settings.observers == 0 || self.view.old {
            return;
        }
        if std::mem::take(&mut self.stirred) {
            let own = self.own().clone();
            let candidate = |one: &Instance| Candidate {
                name: one.name.clone(),
                zone: one.zone.clone(),
                weight: one.weight,
            };
            let there = |p: &&Peer| matches!(p.standing, Standing::Heard | Standing::Doubtful);
            let others = self.peers.values().filter(there).map(|p| candidate(&p.instance));
            let all: Vec<Candidate> = std::iter::once(candidate(&own)).chain(others).collect();
            let mine = self.members.values().filter(|m| {
                m.ready && observers(&m.name, &m.zone, &all, self.settings.observers).contains(&0)
            });
            let mine = mine.map(|m| (m.id, &*m.name));
            self.probing.observe(now, self.settings.probe, self.view.rate(), &own.name, mine);
            let probing = &self.probing;
            // What is another's to say by now is taken back, or it would stand beside what that one sees.
            let others: Vec<u32> = self.watches.keys().copied().filter(|id| !probing.has(*id)).collect();
            for id in others {
                self.watches.remove(&id);
                let Some(member) = self.members.get(&id) else { continue };
                let key = Key { kind: kinds::HEALTH, subject: member.name.clone() };
                self.board.write(now, key, REPORT_LIFE as u32, None);
            }
        }
        let rate = self.view.rate();
        let due = self.probing.due(now, self.settings.probe, rate, &mut self.rng);
        self.counters.probes += due.len() as u64;
        self.effects.extend(due.into_iter().map(Effect::Probe));
    }

    /// Which members are held back by what all observers say.
    pub(super) fn judge(&mut self, now: Millis) {
        if self.view.old {
            return;
        }
        let mut reports: BTreeMap<&Name, Vec<(Health, bool)>> = BTreeMap::new();
        for (author, member, _, value) in self.board.all(now, kinds::HEALTH) {
            let lost = self.peers.get(author).is_some_and(|p| p.standing == Standing::Lost);
            if let Ok(health) = postcard::from_bytes(value) {
                reports.entry(member).or_default().push((health, lost));
            }
        }
        let mut wanted: BTreeMap<u32, Vec<(u64, u32)>> = BTreeMap::new();
        for member in self.members.values().filter(|m| m.ready) {
            let Some(reports) = reports.get(&member.name) else { continue };
            // What a lost one said last holds nobody back anew, and lets nobody go: its successors have to see for themselves.
            let held = self.held.contains(&member.id);
            let counts = reports.iter().filter(|(health, lost)| !lost || held && *health != Health::Good);
            let counts = counts.map(|(health, _)| *health);
            let held = match judge(counts, self.settings.observers, held) {
                Held::No => false,
                Held::ButObservers => !self.probing.has(member.id),
                Held::Yes => true,
            };
            if held {
                let order = (spread(&member.name, "") * 1e9) as u64;
                wanted.entry(member.kind).or_default().push((order, member.id));
            }
        }
        // Never so many that the others could not bear what these leave to them; the same ones everywhere.
        let mut hold: BTreeSet<u32> = BTreeSet::new();
        for (kind, mut members) in wanted {
            let all = self.members.values().filter(|m| m.ready && m.kind == kind).count();
            members.sort_unstable();
            let most = (all as f64 * self.settings.most_held) as usize;
            hold.extend(members.into_iter().take(most).map(|(_, id)| id));
        }
        // A member that is taken back is so by each instance at a moment of its own; its observers tried it already.
        for id in self.held.difference(&hold).copied().collect::<Vec<_>>() {
            let Some(member) = self.members.get(&id) else { continue };
            let wait = match self.probing.has(id) {
                true => 0.0,
                false => spread(&member.name, &self.swim.own().name) * self.settings.spread,
            };
            let at = *self.lifts.entry(id).or_insert(now + wait);
            if now < at {
                hold.insert(id);
            }
        }
        self.lifts.retain(|id, at| now < *at && hold.contains(id));
        if hold != self.held {
            let names = |ids: &mut dyn Iterator<Item = &u32>| {
                let names = ids.filter_map(|id| self.members.get(id).map(|m| m.name.to_string()));
                names.collect::<Vec<_>>().join(" ")
            };
            let more = names(&mut hold.difference(&self.held));
            let less = names(&mut self.held.difference(&hold));
            if !more.is_empty() {
                self.log(format!("held back, as its observers agree that it fails: {more}"));
            }
            if !less.is_empty() {
                self.log(format!("taken back: {less}"));
            }
            self.held = hold;
            self.effects.push_back(Effect::Hold(self.held.iter().copied().collect()));
        }
    }
}
