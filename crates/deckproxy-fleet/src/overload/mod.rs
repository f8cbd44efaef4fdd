//! Fleet-wide load shedding: which requests are shed, and when their clients may retry.
//!
//! Each instance counts its requests and their outcomes ([`summary`]) and publishes the counts in the gossip store. The
//! instances that can reach each other have one leader, which decides a common shed level from the summed counts
//! ([`shed_controller`], [`shed_level`]): every instance rejects requests of a lower [`priority`]. As many of the rejected
//! requests as the fleet's retry budget allows get a reserved retry-after time. Instances share their rejections
//! ([`rejected_requests`]), so that a client gains nothing by retrying too early or on another instance. Requests for
//! objects in the caches are still admitted while only the path to the sources is overloaded ([`recently_cached`]).
//!
//! An instance that can reach no other decides alone, from its own counts.
//!
//! - `admission`: the admission decision for a request.
//! - `completion`: accounting at the end of an admitted request.
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

/// Time for which an object is assumed to be cached after it was served, in milliseconds.
const ASSUMED_CACHED_DURATION: Millis = 60_000.0;
/// Time for which rejected requests are remembered, as a multiple of the longest retry-after time.
const RETENTION_FACTOR: f64 = 4.0;
/// Lower bound on the retry-after time that [`RETENTION_FACTOR`] is applied to, in milliseconds.
const MIN_RETENTION_BASE: Millis = 1000.0;

/// Load shedding of one instance.
#[derive(Debug)]
pub struct Overload {
    settings: Settings,
    draw_key: DrawKey,
    /// Number of priority bands.
    bands: usize,
    request_counter: RequestCounter,
    controller: ShedController,
    /// This instance was the leader at the last evaluation.
    is_leader: bool,
    next_evaluation: Millis,
    /// The shed level in force.
    level: ShedLevel,
    /// When the epoch of the shed level began.
    epoch_started_at: Millis,
    /// Until when the shed level stays in force while the store has none.
    level_expires_at: Millis,
    /// The view was fresh at least once since the process started.
    had_fresh_view: bool,
    /// Retries to admit while load is shed, by resource.
    retry_tokens: [RetryTokenBucket; RESOURCES],
    /// Retries to admit while no load is shed.
    retry_budget: Budget,
    rejected: RejectedRequests,
    recently_cached: RecentlyCached,
    incarnations: BTreeMap<Name, u64>,
    last_fleet_load: FleetLoad,
    /// Decisions since the process started.
    pub counters: Counters,
}

/// Size and load of the fleet at an evaluation by the leader.
#[derive(Clone, Copy, Debug, PartialEq)]
struct FleetLoad {
    instances: usize,
    /// Requests offered per second, by resource.
    offered: [f64; RESOURCES],
}

/// Numbers of rejections remembered and not shared.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RejectionCounts {
    /// Rejected requests that are currently remembered.
    pub remembered: u64,
    /// Rejections by this instance that were not shared with the other instances.
    pub not_shared: u64,
}

impl Overload {
    /// Creates the state of an instance that has not received any request or gossip yet.
    pub fn new(now: Millis, settings: Settings) -> Self {
        let remembered_for = settings.max_retry_after.max(MIN_RETENTION_BASE) * RETENTION_FACTOR;
        Overload {
            draw_key: DrawKey::of_fleet(&settings.fleet),
            bands: settings.classes.iter().map(|class| class.band + 1).max().unwrap_or(1),
            request_counter: RequestCounter::new(now, settings.window),
            controller: ShedController::new(settings.limits),
            is_leader: false,
            next_evaluation: now,
            level: ShedLevel::default(),
            epoch_started_at: now,
            level_expires_at: now,
            had_fresh_view: false,
            retry_tokens: [RetryTokenBucket::empty(now); RESOURCES],
            retry_budget: Budget::new(settings.retry_budget),
            rejected: RejectedRequests::new(settings.remembered, remembered_for),
            recently_cached: RecentlyCached::new(settings.remembered, ASSUMED_CACHED_DURATION),
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

    /// Whether this instance is the leader, which decides the shed level.
    pub fn is_leader(&self) -> bool {
        self.is_leader
    }

    /// Numbers of rejections that are remembered and that were not shared.
    pub fn rejection_counts(&self) -> RejectionCounts {
        let remembered = self.rejected.len() as u64;
        RejectionCounts { remembered, not_shared: self.rejected.not_shared }
    }
}

#[cfg(test)]
mod tests;
