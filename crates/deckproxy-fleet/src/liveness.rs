//! The status of other instances, from SWIM membership and their heartbeats in the gossip store.

use crate::Millis;

/// Minimum heartbeat interval per instance of the fleet, in milliseconds: it bounds the bytes a second that the heartbeats
/// of all instances cost.
const INTERVAL_PER_INSTANCE: Millis = 10.0;
/// Silence, in heartbeat intervals, after which an instance is suspect.
const SUSPECT_INTERVALS: f64 = 3.0;
/// Silence, in heartbeat intervals, after which an instance that SWIM considers dead is lost.
const LOST_INTERVALS: f64 = 5.0;
/// Multiple of `lost_after` after which a silent instance is lost even if SWIM considers it alive.
const LOST_DESPITE_SWIM_FACTOR: f64 = 2.0;

/// Timeouts that determine the status of other instances; they grow with the fleet, as gossip takes longer in a larger one.
///
/// The silence of an instance is the time since it wrote the newest of its entries that has arrived; in an idle fleet, that
/// is its last heartbeat.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Timeouts {
    /// Interval between heartbeats, in milliseconds.
    pub heartbeat_interval: Millis,
    /// Silence, in milliseconds, after which an instance is suspect: it no longer counts as alive, but keeps its members.
    pub suspect_after: Millis,
    /// Silence, in milliseconds, after which an instance that SWIM considers dead is lost: others observe its members. It
    /// exceeds `suspect_after` by more than the time in which a heartbeat reaches all instances, so that an instance that is
    /// cut off has stopped before others take over.
    pub lost_after: Millis,
}

impl Timeouts {
    /// The timeouts for a fleet of this many instances, which write heartbeats at least `interval` milliseconds apart.
    pub fn for_fleet(interval: Millis, instances: usize) -> Self {
        let interval = interval.max(INTERVAL_PER_INSTANCE * instances as f64);
        Timeouts {
            heartbeat_interval: interval,
            suspect_after: SUSPECT_INTERVALS * interval,
            lost_after: LOST_INTERVALS * interval,
        }
    }
}

/// The status of another instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerStatus {
    /// Its heartbeats arrive.
    Alive,
    /// It has been silent for longer than `suspect_after`, or SWIM considers it dead, but not for long enough to be lost.
    Suspect,
    /// It is considered dead.
    Lost,
    /// It has announced its departure.
    Left,
}

impl PeerStatus {
    /// Derives the status from whether SWIM considers the instance alive, the time since its last entry in the gossip store
    /// (`None`: it has no entry), and whether it has announced its departure.
    pub fn of(timeouts: &Timeouts, alive: bool, silence: Option<Millis>, left: bool) -> Self {
        let silence = silence.unwrap_or(Millis::INFINITY);
        match (left, alive) {
            (true, _) => PeerStatus::Left,
            (_, true) if silence <= timeouts.suspect_after => PeerStatus::Alive,
            (_, false) if silence > timeouts.lost_after => PeerStatus::Lost,
            // SWIM has not yet detected what the gossip store shows.
            _ if silence > LOST_DESPITE_SWIM_FACTOR * timeouts.lost_after => PeerStatus::Lost,
            _ => PeerStatus::Suspect,
        }
    }

    /// Whether the instance keeps its members and its share of limits.
    pub fn is_present(self) -> bool {
        matches!(self, PeerStatus::Alive | PeerStatus::Suspect)
    }
}
