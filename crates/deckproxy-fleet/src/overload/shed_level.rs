//! The shed level: which priorities are rejected at each resource, as the leader decided for the fleet.

use super::summary::RESOURCES;
use crate::Millis;
use serde::{Deserialize, Serialize};

/// Load shedding at one resource. The order of the fields is the wire format.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ResourceShedLevel {
    /// First attempts of a lower priority are rejected.
    pub min_priority: u32,
    /// Requests a second that the fleet admits.
    pub admitted_rate: f32,
    /// Requests a second that arrived when this was decided.
    pub offered_rate: f32,
    /// Share of the rejected first attempts that get a reserved retry-after time, in 65,535ths.
    pub reserved_share: u16,
    /// Retries a second that the fleet admits.
    pub retry_rate: f32,
}

/// The shed level of all resources. The order of the fields is the wire format.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ShedLevel {
    /// The epoch, which keys the draws.
    pub epoch: u64,
    /// Age of the epoch when this was decided, in milliseconds.
    pub epoch_age: u16,
    /// By resource; `None` where no load is shed.
    pub resources: [Option<ResourceShedLevel>; RESOURCES],
}

impl ShedLevel {
    /// Whether load is shed at any resource.
    pub fn is_shedding(&self) -> bool {
        self.resources.iter().any(Option::is_some)
    }

    /// This level, with the line of `other` at each resource where that has the higher minimal priority.
    #[must_use]
    pub fn stricter(mut self, other: &ShedLevel) -> ShedLevel {
        for (line, other) in self.resources.iter_mut().zip(other.resources) {
            let Some(other) = other else { continue };
            if line.is_none_or(|line| line.min_priority < other.min_priority) {
                *line = Some(other);
            }
        }
        self
    }
}

/// A shed level with its times on the clock of this instance.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TimestampedShedLevel {
    /// The level.
    pub level: ShedLevel,
    /// When its epoch began.
    pub epoch_started_at: Millis,
    /// Until when it is in force, unless another one is decided.
    pub expires_at: Millis,
}

impl TimestampedShedLevel {
    /// Combines two decisions: the epoch of the later one, and the stricter line at each resource. Both are in force until
    /// the last of them expires.
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
