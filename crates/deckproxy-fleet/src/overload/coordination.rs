//! Sharing of counts and rejections, the leader's decision on the shed level, and enforcement of the shed level.

use super::admission::RESERVATION_GRACE;
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

/// Time to live of a summary, in milliseconds; when datagrams are lost, a slightly old summary is better than none.
const SUMMARY_TTL: u32 = 2500;
/// Time to live of a shed level, in milliseconds; when the leader is lost, its level stays in force until the next leader
/// decides.
pub(super) const SHED_LEVEL_TTL: u32 = 6000;
/// Longest time to live of a batch of rejections, in milliseconds.
const MAX_BATCH_TTL: Millis = 10_000.0;
/// Number of keys to which batches of rejections are written in rotation, and so the maximum number of batches of an instance
/// in the store.
const BATCH_SLOTS: u64 = 24;
/// Factor by which an instance may exceed its share of the retries that the fleet admits, as retries arrive unevenly.
const RETRY_SLACK: f64 = 1.05;
/// Largest factor by which rates are scaled up to account for instances whose summaries have not arrived yet.
const MAX_MISSING_SUMMARIES_SCALE: f64 = 1.5;
/// Largest growth of the offered rate that is followed when instances join, relative to the growth of their number.
const GROWTH_SLACK: f64 = 1.5;

/// An entry to write to the gossip store.
#[derive(Clone, Debug, PartialEq)]
pub struct StoreWrite {
    /// Key of the entry.
    pub key: Key,
    /// Time to live of the entry, in milliseconds.
    pub ttl: u32,
    /// Value of the entry; `None` withdraws it.
    pub value: Option<Vec<u8>>,
}

impl StoreWrite {
    fn new(key: Key, ttl: u32, value: &impl Serialize) -> Self {
        StoreWrite { key, ttl, value: Some(postcard::to_stdvec(value).unwrap_or_default()) }
    }
}

impl Overload {
    /// Performs the periodic work that is due; returns the entries to write to the store.
    pub fn tick(&mut self, now: Millis, presence: &Presence, store: &GossipStore) -> Vec<StoreWrite> {
        let mut writes = Vec::new();
        if self.request_counter.tick(now) {
            let summary = self.request_counter.summary();
            writes.push(StoreWrite::new(Key::of_kind(kinds::SUMMARY), SUMMARY_TTL, &summary));
        }
        self.reshare_rejections_of_restarted(now, presence);
        self.merge_rejections(now, presence, store);
        writes.extend(self.enforce_shared_level(now, presence, store));
        if let Some(batch) = self.rejected.next_batch(now) {
            let ttl = (self.settings.max_retry_after + RESERVATION_GRACE).min(MAX_BATCH_TTL) as u32;
            let subject = (batch.number % BATCH_SLOTS).to_string().into();
            writes.push(StoreWrite::new(Key { kind: kinds::REJECTIONS, subject }, ttl, &batch));
        }
        if now >= self.next_evaluation && !presence.is_stale {
            self.next_evaluation = now + EVALUATION_INTERVAL;
            writes.extend(self.lead(now, presence, store));
        }
        writes
    }

    /// Returns the shed level to announce if this instance is the leader. Otherwise withdraws a level that this instance
    /// announced earlier, but only once the leader has announced its own, as the leader may have just started.
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

    /// The summed rates of all present instances, by resource.
    fn fleet_rates(&self, now: Millis, presence: &Presence, store: &GossipStore) -> [Rates; RESOURCES] {
        let mut rates = [Rates::default(); RESOURCES];
        let own = self.request_counter.summary();
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
        // Instances whose summaries have not arrived yet are assumed to have the average rates.
        let scale = presence.count() as f64 / f64::from(summaries);
        for rates in &mut rates {
            rates.scale(scale.min(MAX_MISSING_SUMMARIES_SCALE));
        }
        rates
    }

    /// Initializes the controller of a new leader from the shed level in force.
    fn take_over(&mut self, now: Millis, rates: &[Rates; RESOURCES]) {
        let level = self.level;
        let mut shares = [1.0; RESOURCES];
        for ((share, resource_level), rates) in shares.iter_mut().zip(level.resources).zip(rates) {
            if let Some(resource_level) = resource_level {
                *share = rates.offered() / f64::from(resource_level.offered_rate).max(1.0);
            }
        }
        let age = now - self.epoch_started_at - f64::from(level.epoch_age);
        self.controller.take_over(now, &level, age, shares);
    }

    /// Shares the rejections of restarted instances again, as a restart loses them.
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

    /// Enforces the strictest shed level in the store. While the view is stale after a pause, the level in force is kept; a
    /// process that has just started has no level to keep, and enforces the one in the store.
    ///
    /// If the level in force disappears from the store before it expires, its author was restarted and lost it: this
    /// instance keeps enforcing the level, and announces it in place of the author.
    fn enforce_shared_level(
        &mut self,
        now: Millis,
        presence: &Presence,
        store: &GossipStore,
    ) -> Option<StoreWrite> {
        if presence.is_stale && self.had_fresh_view {
            return None;
        }
        self.had_fresh_view = !presence.is_stale;
        let is_present = |author: &Name| presence.is_own(author) || presence.has_other(author);
        // The level of a lost leader stays in force until another leader has decided. The store also has the levels that
        // this instance announced; they take no precedence.
        let shared = strictest(now, store, is_present).or_else(|| strictest(now, store, |_| true));
        if shared.is_none() && self.level.is_shedding() && now < self.level_expires_at {
            return Some(self.announce_again(now));
        }
        let level = ShedLevel { epoch: self.level.epoch, ..ShedLevel::default() };
        let none = TimestampedShedLevel { level, epoch_started_at: self.epoch_started_at, expires_at: now };
        self.enforce(now, shared.unwrap_or(none));
        None
    }

    /// Announces the level in force again, with the current age of the epoch and the remaining time of the level.
    fn announce_again(&self, now: Millis) -> StoreWrite {
        let level = ShedLevel { epoch_age: (now - self.epoch_started_at) as u16, ..self.level };
        let ttl = (self.level_expires_at - now).ceil() as u32;
        StoreWrite::new(Key::of_kind(kinds::SHED_LEVEL), ttl, &level)
    }

    fn enforce(&mut self, now: Millis, shared: TimestampedShedLevel) {
        let TimestampedShedLevel { level, epoch_started_at, expires_at } = shared;
        if level.epoch != self.level.epoch {
            self.epoch_started_at = epoch_started_at;
        }
        self.level_expires_at = expires_at;
        let own = self.request_counter.summary();
        for (resource, retry_tokens) in self.retry_tokens.iter_mut().enumerate() {
            let Some(resource_level) = level.resources[resource] else {
                *retry_tokens = RetryTokenBucket::empty(now);
                continue;
            };
            // This instance's share of the retries is its share of the offered rate.
            let offered = Rates::of(&own, resource).offered();
            let share = (offered / f64::from(resource_level.offered_rate).max(1.0)).min(1.0);
            retry_tokens.set_refill_rate(now, f64::from(resource_level.retry_rate) * share * RETRY_SLACK);
        }
        self.level = level;
    }
}

/// The factors by which the offered rates changed along with the number of instances. When that number falls, a factor is
/// between the ratio of the numbers and 1. When it grows, a factor is between 1 and [`GROWTH_SLACK`] times the ratio, so
/// that a reunited fleet admits no less than the leader's part of the split did.
fn growth(last: &FleetLoad, fleet_load: &FleetLoad) -> [f64; RESOURCES] {
    let instances = fleet_load.instances as f64 / last.instances.max(1) as f64;
    let mut factors = [1.0; RESOURCES];
    for (factor, (current, previous)) in
        factors.iter_mut().zip(fleet_load.offered.into_iter().zip(last.offered))
    {
        let offered = current / previous.max(1.0);
        *factor = if instances > 1.0 {
            offered.clamp(1.0, GROWTH_SLACK * instances)
        } else {
            offered.clamp(instances, 1.0)
        };
    }
    factors
}

/// The leader of the instances that can reach each other, chosen by rendezvous hashing without an exchange of messages.
/// `None` if the name of this instance is not known.
fn leader(presence: &Presence) -> Option<&Name> {
    let others = presence.others.iter().map(|other| &other.name);
    let names: Vec<&Name> = std::iter::once(presence.own.as_ref()?).chain(others).collect();
    let candidate = |name: &&Name| Candidate { name: Name::clone(name), zone: Name::from(""), weight: 1 };
    let candidates: Vec<Candidate> = names.iter().map(candidate).collect();
    observers("overload", "", &candidates, 1).first().map(|index| names[*index])
}

/// The strictest of the shed levels in the store whose authors satisfy `is_eligible`.
fn strictest(
    now: Millis,
    store: &GossipStore,
    is_eligible: impl Fn(&Name) -> bool,
) -> Option<TimestampedShedLevel> {
    let entries = store.entries_of_kind(now, kinds::SHED_LEVEL);
    let levels = entries.filter(|entry| is_eligible(entry.author)).filter_map(|entry| {
        let level: ShedLevel = postcard::from_bytes(entry.value).ok()?;
        let epoch_started_at = now - entry.age - f64::from(level.epoch_age);
        Some(TimestampedShedLevel { level, epoch_started_at, expires_at: now + entry.expires_in })
    });
    levels.reduce(TimestampedShedLevel::combine)
}
