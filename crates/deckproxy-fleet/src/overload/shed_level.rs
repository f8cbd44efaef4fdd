//! The shed level: which priorities are rejected at each resource, as decided by the leader of the fleet.

use super::summary::RESOURCES;
use crate::Millis;
use serde::{Deserialize, Serialize};

/// Load shedding at one resource. The order of the fields is the wire format.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ResourceShedLevel {
    /// Requests of a lower priority are rejected, except retries at a reserved time and retries of requests with side effects
    /// that may have run.
    pub min_priority: u32,
    /// Requests per second that the fleet admits.
    pub admitted_rate: f32,
    /// Requests per second that were offered when this level was decided.
    pub offered_rate: f32,
    /// Share of the rejected first attempts that get a reserved retry-after time, in units of 1/65,535.
    pub reserved_share: u16,
    /// Retries per second that the fleet admits.
    pub retry_rate: f32,
}

/// The shed level of all resources. The order of the fields is the wire format.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ShedLevel {
    /// Number of the epoch, an input of the draws.
    pub epoch: u64,
    /// Age of the epoch when this level was decided, in milliseconds.
    pub epoch_age: u16,
    /// The level of each resource; `None` if no load is shed there.
    pub resources: [Option<ResourceShedLevel>; RESOURCES],
}

impl ShedLevel {
    /// Whether load is shed at any resource.
    pub fn is_shedding(&self) -> bool {
        self.resources.iter().any(Option::is_some)
    }

    /// This level, replaced at each resource by the level of `other` where that has the higher minimum priority.
    #[must_use]
    pub fn stricter(mut self, other: &ShedLevel) -> ShedLevel {
        for (level, other) in self.resources.iter_mut().zip(other.resources) {
            let Some(other) = other else { continue };
            if level.is_none_or(|level| level.min_priority < other.min_priority) {
                *level = Some(other);
            }
        }
        self
    }
}

/// A shed level with its times by the clock of this instance.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TimestampedShedLevel {
    /// The shed level.
    pub level: ShedLevel,
    /// When the epoch of the level began.
    pub epoch_started_at: Millis,
    /// Until when the level is in force unless another one is decided.
    pub expires_at: Millis,
}

impl TimestampedShedLevel {
    /// Combines two levels: the epoch of the later one, and the stricter level at each resource. The result is in force
    /// until the last of the two expires.
    #[must_use]
    pub fn combine(self, other: TimestampedShedLevel) -> TimestampedShedLevel {
        let (later, earlier) =
            if self.level.epoch < other.level.epoch { (other, self) } else { (self, other) };
        TimestampedShedLevel {
            level: later.level.stricter(&earlier.level),
            epoch_started_at: later.epoch_started_at,
            expires_at: later.expires_at.max(earlier.expires_at),
        }
    }
}
