//! What a way to another site carries: its round trip, its pace, and whether an answer over it could be in time.

use crate::Millis;

/// Weight of a new reading of the round trip, and of the pace.
const TRIP_WEIGHT: f64 = 0.2;
const PACE_WEIGHT: f64 = 0.3;
/// Span over which the pace is read, ms.
const SPAN: f64 = 100.0;
/// Bytes that must be awaited all the time for a span to tell the pace: less says only how little was asked for.
const BUSY: usize = 32 * 1024;
/// Size that is awaited where none is told, bytes; learned from what comes.
const USUAL: f64 = 8.0 * 1024.0;
/// Below this part of the time left, the answer of a request of middling worth has to be awaited; see `fits`.
const MIDDLING: f64 = 0.75;

/// What was seen of one way.
#[derive(Clone, Debug)]
pub struct Pace {
    trip: Option<Millis>,
    /// Bytes a millisecond while it was busy; none: never seen busy.
    pace: Option<f64>,
    usual: f64,
    /// Bytes that are awaited.
    awaited: f64,
    /// The span being read: since when, bytes in it, whether it was busy throughout.
    span: Option<(Millis, f64)>,
}

impl Default for Pace {
    fn default() -> Self {
        Pace { trip: None, pace: None, usual: USUAL, awaited: 0.0, span: None }
    }
}

impl Pace {
    /// A heartbeat came back after so long.
    pub fn trip(&mut self, took: Millis) {
        self.trip = Some(self.trip.map_or(took, |old| old + TRIP_WEIGHT * (took - old)));
    }

    /// The round trip, 0 where it is not known.
    pub fn round_trip(&self) -> Millis {
        self.trip.unwrap_or(0.0)
    }

    /// The pace in bytes a millisecond, where it was seen.
    pub fn bytes_per_ms(&self) -> Option<f64> {
        self.pace
    }

    /// Bytes to be awaited of an answer; told in KB or not.
    pub fn expect(&self, told_kb: Option<f64>) -> f64 {
        told_kb.map_or(self.usual, |kb| kb * 1024.0)
    }

    /// An attempt went out.
    pub fn asked(&mut self, now: Millis, bytes: f64) {
        self.awaited += bytes;
        self.begin(now);
    }

    /// An attempt is over, of which so many bytes were awaited; `size`: those that its answer had, where it came.
    pub fn over(&mut self, bytes: f64, size: Option<usize>) {
        self.awaited = (self.awaited - bytes).max(0.0);
        if let Some(size) = size {
            self.usual += 0.05 * (size as f64 - self.usual);
        }
        if self.awaited < BUSY as f64 {
            self.span = None;
        }
    }

    /// Bytes of answers came.
    pub fn came(&mut self, now: Millis, bytes: usize) {
        let Some((since, sum)) = &mut self.span else { return };
        *sum += bytes as f64;
        let took = now - *since;
        if took >= SPAN {
            let seen = *sum / took;
            self.pace = Some(self.pace.map_or(seen, |old| old + PACE_WEIGHT * (seen - old)));
            self.span = None;
            self.begin(now);
        }
    }

    fn begin(&mut self, now: Millis) {
        if self.span.is_none() && self.awaited >= BUSY as f64 {
            self.span = Some((now, 0.0));
        }
    }

    /// The time until an answer of that size is here.
    pub fn wait(&self, bytes: f64) -> Millis {
        self.round_trip() + self.pace.map_or(0.0, |pace| (self.awaited + bytes) / pace.max(1e-3))
    }

    /// Whether an answer could be in time. What is worth more may use more of what is left, so that on a crowded way
    /// the requests of least worth go first: `rank` is 0 for the least of all classes and 1 for the greatest.
    pub fn fits(&self, bytes: f64, left: Millis, rank: f64) -> bool {
        let part = MIDDLING + (1.0 - MIDDLING) * (2.0 * rank - 1.0);
        self.wait(bytes) <= left * part.clamp(0.5, 1.0)
    }

    /// All that was awaited is gone: the way was cut.
    pub fn cut(&mut self) {
        self.span = None;
    }
}
