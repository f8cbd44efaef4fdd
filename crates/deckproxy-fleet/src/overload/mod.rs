//! Overload, handled by the fleet together: which requests are shed, and when their clients may retry.
//!
//! Each instance counts its requests and what becomes of them ([`summary`]), and shares the counts in the gossip store. The
//! leader among the instances that hear each other looks at the sum and decides one shed level for all
//! ([`shed_controller`], [`shed_level`]): requests of a lower [`priority`] are rejected on every instance. Of those rejected,
//! as many get a reserved retry-after time as the fleet's retry budget allows; all instances know who was rejected
//! ([`rejected_requests`]), so that retrying elsewhere or too early gains nothing. Objects that the caches hold are admitted
//! where only the way to the sources is overloaded ([`recently_cached`]).
//!
//! An instance that hears no other decides alone, from its own counts.
//!
//! - `admission`: the decision on a request.
//! - `completion`: what follows from the end of an admitted request.
//! - `coordination`: sharing of counts, the leader's decision and its enforcement.

mod admission;
mod completion;
mod coordination;
pub mod priority;
pub mod recently_cached;
pub mod rejected_requests;
pub mod rejection_batch;
mod resource_controller;
pub mod retry_token_bucket;
pub mod shed_controller;
pub mod shed_level;
pub mod summary;
mod types;

pub use coordination::StoreWrite;
pub use deckproxy_recovery::admission::RequestOutcome;
pub use types::{Class, Counters, Presence, PresentInstance, RequestInfo, Settings, Ticket, Verdict};

use crate::Millis;
use crate::instance::Name;
use deckproxy_recovery::budget::Budget;
use priority::DrawKey;
use recently_cached::RecentlyCached;
use rejected_requests::RejectedRequests;
use retry_token_bucket::RetryTokenBucket;
use shed_controller::ShedController;
use shed_level::ShedLevel;
use std::collections::BTreeMap;
use summary::{RESOURCES, RequestCounter};

/// Time for which a served object is taken for cached, in milliseconds.
const CACHED_FOR: Millis = 60_000.0;
/// Rejected requests are remembered for so many times the longest retry-after time.
const REMEMBERED_TIMES: f64 = 4.0;
/// Least retry-after time by which that is computed, in milliseconds.
const REMEMBERED_LEAST: Millis = 1000.0;

/// Load shedding of one instance.
#[derive(Debug)]
pub struct Overload {
    settings: Settings,
    draw_key: DrawKey,
    /// Number of priority bands.
    bands: usize,
    counter: RequestCounter,
    controller: ShedController,
    /// This instance was the leader at the last look.
    is_leader: bool,
    next_evaluation: Millis,
    /// The shed level in force.
    level: ShedLevel,
    /// When its epoch began.
    epoch_began: Millis,
    /// Until when it stays in force where the store has no level.
    level_expires_at: Millis,
    /// The view has been fresh since the start of the process.
    has_been_fresh: bool,
    /// Retries that are admitted while load is shed, by resource.
    retry_tokens: [RetryTokenBucket; RESOURCES],
    /// Retries that are admitted while no load is shed.
    retry_budget: Budget,
    rejected: RejectedRequests,
    recently_cached: RecentlyCached,
    incarnations: BTreeMap<Name, u64>,
    last_fleet_load: FleetLoad,
    /// Decisions since the start.
    pub counters: Counters,
}

/// What the leader saw at a look.
#[derive(Clone, Copy, Debug, PartialEq)]
struct FleetLoad {
    instances: usize,
    /// Requests offered a second, by resource.
    offered: [f64; RESOURCES],
}

/// How much is remembered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RejectionCounts {
    /// Rejected requests that are remembered.
    pub remembered: u64,
    /// Rejections of this instance that were not shared with the others.
    pub not_shared: u64,
}

impl Overload {
    /// Load shedding of an instance that has received nothing yet.
    pub fn new(now: Millis, settings: Settings) -> Self {
        let remembered_for = settings.max_retry_after.max(REMEMBERED_LEAST) * REMEMBERED_TIMES;
        Overload {
            draw_key: DrawKey::of_fleet(&settings.fleet),
            bands: settings.classes.iter().map(|class| class.band + 1).max().unwrap_or(1),
            counter: RequestCounter::new(now, settings.window),
            controller: ShedController::new(settings.limits),
            is_leader: false,
            next_evaluation: now,
            level: ShedLevel::default(),
            epoch_began: now,
            level_expires_at: now,
            has_been_fresh: false,
            retry_tokens: [RetryTokenBucket::empty(now); RESOURCES],
            retry_budget: Budget::new(settings.retry_budget),
            rejected: RejectedRequests::new(settings.remembered, remembered_for),
            recently_cached: RecentlyCached::new(settings.remembered, CACHED_FOR),
            incarnations: BTreeMap::new(),
            last_fleet_load: FleetLoad { instances: 1, offered: [0.0; RESOURCES] },
            counters: Counters::default(),
            settings,
        }
    }

    /// The shed level in force.
    pub fn level(&self) -> &ShedLevel {
        &self.level
    }

    /// Whether this instance decides for those that hear it.
    pub fn is_leader(&self) -> bool {
        self.is_leader
    }

    /// How many rejections are remembered, and were not shared.
    pub fn rejection_counts(&self) -> RejectionCounts {
        let remembered = self.rejected.len() as u64;
        RejectionCounts { remembered, not_shared: self.rejected.not_shared }
    }
}

#[cfg(test)]
mod tests;
