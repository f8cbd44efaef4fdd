//! Whether another instance is alive, from SWIM's membership and its heartbeats in the gossip store.

use crate::Millis;

/// Milliseconds that each instance of a fleet adds to the heartbeat interval at least, so that the heartbeats of all cost a
/// bounded number of bytes a second.
const INTERVAL_PER_INSTANCE: Millis = 10.0;
/// Heartbeat intervals of silence after which an instance is suspect.
const SUSPECT_INTERVALS: f64 = 3.0;
/// Heartbeat intervals of silence after which an instance that SWIM considers dead is lost.
const LOST_INTERVALS: f64 = 5.0;
/// So many times the time to be lost, an instance is lost even while SWIM holds it for alive.
const LOST_DESPITE_SWIM: f64 = 2.0;

/// Times by which other instances are judged; they grow with the fleet, as gossip takes longer in a larger one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Timeouts {
    /// From one heartbeat to the next, in milliseconds.
    pub heartbeat_interval: Millis,
    /// Silence, in milliseconds, after which an instance is suspect: it counts as unheard and keeps its members.
    pub suspect_after: Millis,
    /// Silence, in milliseconds, after which an instance that SWIM considers dead is lost: others observe its members. It
    /// exceeds `suspect_after` by more than a heartbeat takes to reach all, so that an instance that is cut off has stopped
    /// before others take over.
    pub lost_after: Millis,
}

impl Timeouts {
    /// For a fleet of so many instances, which write a heartbeat every `interval` milliseconds or less often.
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
    /// It has been silent for a moment, or SWIM holds it for dead while its heartbeats still arrive.
    Suspect,
    /// It is taken for dead.
    Lost,
    /// It announced that it leaves.
    Left,
}

impl PeerStatus {
    /// From whether SWIM holds the instance for alive, how long it has been silent (`None`: it has no entry), and whether
    /// it announced that it leaves.
    pub fn of(timeouts: &Timeouts, alive: bool, silence: Option<Millis>, left: bool) -> Self {
        let silence = silence.unwrap_or(Millis::INFINITY);
        match (left, alive) {
            (true, _) => PeerStatus::Left,
            (_, true) if silence <= timeouts.suspect_after => PeerStatus::Alive,
            (_, false) if silence > timeouts.lost_after => PeerStatus::Lost,
            // SWIM is late to find out what the gossip store shows.
            _ if silence > LOST_DESPITE_SWIM * timeouts.lost_after => PeerStatus::Lost,
            _ => PeerStatus::Suspect,
        }
    }

    /// Whether the instance keeps its members and its share of limits.
    pub fn is_present(self) -> bool {
        matches!(self, PeerStatus::Alive | PeerStatus::Suspect)
    }
}
