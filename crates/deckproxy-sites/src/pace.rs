//! What a way to another site carries: its round trip, its pace, and whether an answer over it could be in time.

use crate::Millis;

/// Weight of a new reading of the round trip.
const TRIP_WEIGHT: f64 = 0.2;
/// Bytes that make a reading of the pace.
const READING: f64 = 64.0 * 1024.0;
/// The pace is the best reading of this span and the one before, ms. A poorer reading says only that something else
/// held up; after two spans without any, nothing is known.
const SPAN: Millis = 5000.0;
/// Size that is awaited where none is told, bytes; learned from what comes.
const USUAL: f64 = 8.0 * 1024.0;
/// Below this part of the time left, the answer of a request of middling worth has to be awaited; see `fits`.
const MIDDLING: f64 = 0.75;

/// What was seen of one way.
#[derive(Clone, Debug)]
pub struct Pace {
    trip: Option<Millis>,
    /// The best readings, bytes a millisecond, of this span and the one before, and when this one began.
    best: [Option<f64>; 2],
    since: Millis,
    usual: f64,
    /// Bytes that are awaited.
    awaited: f64,
    /// Bodies of which a part is here. While there is one, what comes tells the pace of the way: the other side has the
    /// rest at hand.
    receiving: usize,
    /// Since when, and the time and bytes of the reading so far.
    begun: Millis,
    reading: (Millis, f64),
}

impl Default for Pace {
    fn default() -> Self {
        Pace {
            trip: None,
            best: [None; 2],
            since: 0.0,
            usual: USUAL,
            awaited: 0.0,
            receiving: 0,
            begun: 0.0,
            reading: (0.0, 0.0),
        }
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

    /// The pace in bytes a millisecond, where it was seen lately.
    pub fn bytes_per_ms(&self) -> Option<f64> {
        self.best.iter().flatten().copied().max_by(f64::total_cmp)
    }

    /// Bytes to be awaited of an answer; told in KB or not.
    pub fn expect(&self, told_kb: Option<f64>) -> f64 {
        told_kb.map_or(self.usual, |kb| kb * 1024.0)
    }

    /// An attempt went out.
    pub fn asked(&mut self, bytes: f64) {
        self.awaited += bytes;
    }

    /// An attempt is over, of which so many bytes were awaited; `size`: those that its answer had, where it came.
    pub fn over(&mut self, bytes: f64, size: Option<usize>) {
        self.awaited = (self.awaited - bytes).max(0.0);
        if let Some(size) = size {
            self.usual += 0.05 * (size as f64 - self.usual);
        }
    }

    /// A body begins to come that will take several pieces.
    pub fn begins(&mut self, now: Millis) {
        if self.receiving == 0 {
            self.begun = now;
        }
        self.receiving += 1;
    }

    /// One of those is whole, or given up.
    pub fn ends(&mut self, now: Millis) {
        self.receiving = self.receiving.saturating_sub(1);
        if self.receiving == 0 {
            self.reading.0 += now - self.begun;
        }
    }

    /// Bytes of answers came.
    pub fn came(&mut self, now: Millis, bytes: usize) {
        if self.receiving == 0 {
            return;
        }
        self.reading.1 += bytes as f64;
        let took = self.reading.0 + now - self.begun;
        if self.reading.1 >= READING && took > 0.0 {
            let seen = self.reading.1 / took.max(0.1);
            self.best[0] = Some(self.best[0].map_or(seen, |best| best.max(seen)));
            (self.begun, self.reading) = (now, (0.0, 0.0));
        }
    }

    /// Forgets readings that are too old.
    pub fn tick(&mut self, now: Millis) {
        if now - self.since >= SPAN {
            self.best = [None, self.best[0]];
            self.since = now;
        }
    }

    /// The time until an answer of that size is here.
    pub fn wait(&self, bytes: f64) -> Millis {
        self.round_trip() + self.bytes_per_ms().map_or(0.0, |pace| (self.awaited + bytes) / pace.max(1e-3))
    }

    /// Whether an answer could be in time. What is worth more may use more of what is left, so that on a crowded way
    /// the requests of least worth go first: `rank` is 0 for the least of all classes and 1 for the greatest.
    pub fn fits(&self, bytes: f64, left: Millis, rank: f64) -> bool {
        let part = MIDDLING + (1.0 - MIDDLING) * (2.0 * rank - 1.0);
        self.wait(bytes) <= left * part.clamp(0.5, 1.0)
    }

    /// The way was cut: what had begun to come begins anew.
    pub fn cut(&mut self) {
        (self.receiving, self.reading) = (0, (0.0, 0.0));
    }
}
