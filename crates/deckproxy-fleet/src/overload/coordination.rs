//! Sharing of counts and rejections, the leader's decision on the shed level, and its enforcement.

use super::admission::LATE_TOLERANCE;
use super::rejection_batch::RejectionBatch;
use super::retry_token_bucket::RetryTokenBucket;
use super::shed_controller::EVALUATION_INTERVAL;
use super::shed_level::{ShedLevel, TimestampedShedLevel};
use super::summary::{RESOURCES, Rates, Summary};
use super::types::Presence;
use super::{FleetLoad, Overload};
use crate::Millis;
use crate::gossip_store::{EntryView, GossipStore, Key, kinds};
use crate::instance::Name;
use crate::rendezvous::{Candidate, observers};
use serde::Serialize;

/// Time to live of a summary, in milliseconds: where datagrams are lost, a summary that is a little old says more than none.
const SUMMARY_TTL: u32 = 2500;
/// Time to live of a shed level, in milliseconds: it stays in force until another leader decides.
pub(super) const SHED_LEVEL_TTL: u32 = 6000;
/// Longest time to live of a batch of rejections, in milliseconds.
const LONGEST_BATCH_TTL: Millis = 10_000.0;
/// Number of subjects under which batches of rejections are written in turn; so many are in the store at a time.
const BATCH_SLOTS: u64 = 24;
/// Factor by which an instance may exceed its part of the retries that the fleet admits: they do not come evenly.
const RETRY_SLACK: f64 = 1.05;
/// Largest factor by which the rates are raised for instances whose summaries are not there yet.
const MISSING_SUMMARIES: f64 = 1.5;
/// By so much the offered requests may grow beyond the number of instances when that grows.
const GROWTH_SLACK: f64 = 1.5;

/// An entry to write to the gossip store.
#[derive(Clone, Debug, PartialEq)]
pub struct StoreWrite {
    /// Its key.
    pub key: Key,
    /// Its time to live, in milliseconds.
    pub ttl: u32,
    /// Its value; `None`: the entry is withdrawn.
    pub value: Option<Vec<u8>>,
}

impl StoreWrite {
    fn new(key: Key, ttl: u32, value: &impl Serialize) -> Self {
        StoreWrite { key, ttl, value: Some(postcard::to_stdvec(value).unwrap_or_default()) }
    }
}

impl Overload {
    /// Does what is due; returns the entries to write to the store.
    pub fn tick(&mut self, now: Millis, presence: &Presence, store: &GossipStore) -> Vec<StoreWrite> {
        let mut writes = Vec::new();
        if self.counter.tick(now) {
            let summary = self.counter.summary();
            writes.push(StoreWrite::new(Key::of_kind(kinds::SUMMARY), SUMMARY_TTL, &summary));
        }
        self.reshare_rejections_of_restarted(now, presence);
        self.merge_rejections(now, presence, store);
        writes.extend(self.enforce_shared_level(now, presence, store));
        if let Some(batch) = self.rejected.next_batch(now) {
            let ttl = (self.settings.max_retry_after + LATE_TOLERANCE).min(LONGEST_BATCH_TTL) as u32;
            let subject = (batch.number % BATCH_SLOTS).to_string().into();
            writes.push(StoreWrite::new(Key { kind: kinds::REJECTIONS, subject }, ttl, &batch));
        }
        if now >= self.next_evaluation && !presence.is_stale {
            self.next_evaluation = now + EVALUATION_INTERVAL;
            writes.extend(self.lead(now, presence, store));
        }
        writes
    }

    /// The level to announce where this instance is the leader. Where another one is, a level that this instance has
    /// announced is withdrawn, but not before the leader has decided: it may have just started.
    fn lead(&mut self, now: Millis, presence: &Presence, store: &GossipStore) -> Option<StoreWrite> {
        let key = Key::of_kind(kinds::SHED_LEVEL);
        let Some(leader) = leader(presence) else {
            self.is_leader = false;
            return None;
        };
        let was_leader = std::mem::replace(&mut self.is_leader, presence.is_own(leader));
        if self.is_leader {
            let level = self.decide(now, presence, store, was_leader);
            return Some(StoreWrite::new(key, SHED_LEVEL_TTL, &level));
        }
        let announces = |author: &Name| store.read(now, author, &key).is_some();
        let is_replaced = presence.own.as_ref().is_some_and(announces) && announces(leader);
        is_replaced.then_some(StoreWrite { key, ttl: SHED_LEVEL_TTL, value: None })
    }

    fn decide(
        &mut self,
        now: Millis,
        presence: &Presence,
        store: &GossipStore,
        was_leader: bool,
    ) -> ShedLevel {
        let rates = self.fleet_rates(now, presence, store);
        if !was_leader {
            self.take_over(now, &rates);
        }
        let fleet_load =
            FleetLoad { instances: presence.count(), offered: rates.map(|rates| rates.offered()) };
        let last = std::mem::replace(&mut self.last_fleet_load, fleet_load);
        if was_leader && fleet_load.instances != last.instances {
            self.controller.resize(growth(&last, &fleet_load));
        }
        self.counters.decisions += 1;
        self.controller.evaluate(now, &rates)
    }

    /// The rates of all instances that are present, by resource.
    fn fleet_rates(&self, now: Millis, presence: &Presence, store: &GossipStore) -> [Rates; RESOURCES] {
        let mut rates = [Rates::default(); RESOURCES];
        let own = self.counter.summary();
        let entries = store.entries_of_kind(now, kinds::SUMMARY);
        let present = entries.filter(|entry| presence.has_other(entry.author));
        let others = present.filter_map(|entry| postcard::from_bytes::<Summary>(entry.value).ok());
        let mut summaries = 0;
        for summary in others.chain([own]) {
            summaries += 1;
            for (resource, rates) in rates.iter_mut().enumerate() {
                rates.add(&summary, resource);
            }
        }
        // Instances whose summaries are not there yet count like the others.
        let missing = presence.count() as f64 / f64::from(summaries);
        for rates in &mut rates {
            rates.scale(missing.min(MISSING_SUMMARIES));
        }
        rates
    }

    /// Continues with the level in force.
    fn take_over(&mut self, now: Millis, rates: &[Rates; RESOURCES]) {
        let level = self.level;
        let mut shares = [1.0; RESOURCES];
        for ((share, line), rates) in shares.iter_mut().zip(level.resources).zip(rates) {
            if let Some(line) = line {
                *share = rates.offered() / f64::from(line.offered_rate).max(1.0);
            }
        }
        let age = now - self.epoch_began - f64::from(level.epoch_age);
        self.controller.take_over(now, &level, age, shares);
    }

    /// Shares the rejections of instances that were restarted, as they have forgotten them.
    fn reshare_rejections_of_restarted(&mut self, now: Millis, presence: &Presence) {
        for other in &presence.others {
            let known = self.incarnations.insert(other.name.clone(), other.incarnation);
            if known.is_some_and(|known| known < other.incarnation) {
                self.rejected.reshare(now, &other.name);
            }
        }
    }

    fn merge_rejections(&mut self, now: Millis, presence: &Presence, store: &GossipStore) {
        for EntryView { author, age, value, .. } in store.entries_of_kind(now, kinds::REJECTIONS) {
            if presence.is_own(author) {
                continue;
            }
            if let Ok(batch) = postcard::from_bytes::<RejectionBatch>(value) {
                let incarnation = store.incarnation(author).unwrap_or(0);
                self.rejected.merge(now, author, incarnation, age, &batch);
            }
        }
    }

    /// Enforces the strictest of the levels in the store. After a pause the level in force stays while the view is stale; a
    /// process that has just started has none to keep.
    ///
    /// Where the store has none any more before the level in force has expired, its author was restarted and has forgotten
    /// it: it stays in force, and is announced in the author's place.
    fn enforce_shared_level(
        &mut self,
        now: Millis,
        presence: &Presence,
        store: &GossipStore,
    ) -> Option<StoreWrite> {
        if presence.is_stale && self.has_been_fresh {
            return None;
        }
        self.has_been_fresh = !presence.is_stale;
        let is_present = |author: &Name| presence.is_own(author) || presence.has_other(author);
        // The level of a leader that is lost stays in force until another one has decided. The own level is in the store,
        // too, and has no precedence.
        let shared = strictest(now, store, is_present).or_else(|| strictest(now, store, |_| true));
        if shared.is_none() && self.level.is_shedding() && now < self.level_expires_at {
            return Some(self.announce_again(now));
        }
        let level = ShedLevel { epoch: self.level.epoch, ..ShedLevel::default() };
        let none = TimestampedShedLevel { level, epoch_began: self.epoch_began, expires_at: now };
        self.enforce(now, shared.unwrap_or(none));
        None
    }

    /// Announces the level in force, with the epoch's present age and the time that the level has left.
    fn announce_again(&self, now: Millis) -> StoreWrite {
        let level = ShedLevel { epoch_age: (now - self.epoch_began) as u16, ..self.level };
        let ttl = (self.level_expires_at - now).ceil() as u32;
        StoreWrite::new(Key::of_kind(kinds::SHED_LEVEL), ttl, &level)
    }

    fn enforce(&mut self, now: Millis, shared: TimestampedShedLevel) {
        let TimestampedShedLevel { level, epoch_began, expires_at } = shared;
        if level.epoch != self.level.epoch {
            self.epoch_began = epoch_began;
        }
        self.level_expires_at = expires_at;
        let own = self.counter.summary();
        for (resource, retry_tokens) in self.retry_tokens.iter_mut().enumerate() {
            let Some(line) = level.resources[resource] else {
                *retry_tokens = RetryTokenBucket::empty(now);
                continue;
            };
            // This instance's part, by what is offered here and to all.
            let offered = Rates::of(&own, resource).offered();
            let part = (offered / f64::from(line.offered_rate).max(1.0)).min(1.0);
            retry_tokens.set_rate(now, f64::from(line.retry_rate) * part * RETRY_SLACK);
        }
        self.level = level;
    }
}

/// The factors by which the offered requests have changed with the number of instances. A part of a split never admits more
/// than its share of instances would, nor the reunited fleet less than its parts.
fn growth(last: &FleetLoad, fleet_load: &FleetLoad) -> [f64; RESOURCES] {
    let instances = fleet_load.instances as f64 / last.instances.max(1) as f64;
    let mut factors = [1.0; RESOURCES];
    for (factor, (now, before)) in factors.iter_mut().zip(fleet_load.offered.into_iter().zip(last.offered)) {
        let offered = now / before.max(1.0);
        *factor = if instances > 1.0 {
            offered.clamp(1.0, GROWTH_SLACK * instances)
        } else {
            offered.clamp(instances, 1.0)
        };
    }
    factors
}

/// The instance that decides for those that hear each other: by rendezvous, without an exchange. `None` where no own name
/// is known.
fn leader(presence: &Presence) -> Option<&Name> {
    let others = presence.others.iter().map(|other| &other.name);
    let names: Vec<&Name> = std::iter::once(presence.own.as_ref()?).chain(others).collect();
    let candidate = |name: &&Name| Candidate { name: Name::clone(name), zone: Name::from(""), weight: 1 };
    let candidates: Vec<Candidate> = names.iter().map(candidate).collect();
    observers("overload", "", &candidates, 1).first().map(|index| names[*index])
}

/// The strictest of the levels that some authors have decided.
fn strictest(
    now: Millis,
    store: &GossipStore,
    counts: impl Fn(&Name) -> bool,
) -> Option<TimestampedShedLevel> {
    let entries = store.entries_of_kind(now, kinds::SHED_LEVEL);
    let levels = entries.filter(|entry| counts(entry.author)).filter_map(|entry| {
        let level: ShedLevel = postcard::from_bytes(entry.value).ok()?;
        let epoch_began = now - entry.age - f64::from(level.epoch_age);
        Some(TimestampedShedLevel { level, epoch_began, expires_at: now + entry.expires_in })
    });
    levels.reduce(TimestampedShedLevel::combine)
}
