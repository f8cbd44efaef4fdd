//! The priority of a request among all others, the same on every instance.
//!
//! Classes form bands by priority weight. Within a band, the priority is drawn by a hash of the client and the epoch: a
//! client that is below the shed level on one instance is below it on all instances until the epoch ends, so that retrying
//! on another instance does not change its priority. Each epoch draws again, so that no client is always shed. Cheaper
//! requests have a higher priority more often.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Number of priority ranges by which arrivals are counted; part of the wire format.
pub const BUCKETS: usize = 24;
/// Number of priorities, which range from 0 to one less than this.
pub const PRIORITIES: u32 = 1 << 16;
/// Bounds on the cost of a request relative to the usual cost.
const COST_RANGE: std::ops::RangeInclusive<f64> = 0.25..=4.0;
/// Seed that keeps the keys of draws distinct from other hashes of the fleet's name.
const KEY_SEED: u64 = 0x6f76_6572;

/// Key of pseudorandom draws, which are the same on all instances of a fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrawKey(u64);

/// The quantity that is drawn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Draw {
    /// The position in a band, before the cost of the request is applied: the same for all requests of a client.
    Priority = 1,
    /// Whether a rejected request gets a reserved retry-after time.
    Reservation = 2,
    /// The retry-after time.
    RetryAfter = 3,
}

impl DrawKey {
    /// Derives the key from the fleet's name.
    pub fn of_fleet(fleet: &str) -> Self {
        DrawKey(xxh3_64_with_seed(fleet.as_bytes(), KEY_SEED))
    }

    fn hash(self, what: u64, words: [u64; 3]) -> u64 {
        let mut bytes = [0; 24];
        for (chunk, word) in bytes.chunks_exact_mut(8).zip(words) {
            chunk.copy_from_slice(&word.to_le_bytes());
        }
        xxh3_64_with_seed(&bytes, self.0 ^ what)
    }

    /// A uniform number strictly between 0 and 1 for a client's request in an epoch.
    pub fn draw(self, what: Draw, client: u64, object: u64, epoch: u64) -> f64 {
        let hash = self.hash(what as u64, [client, object, epoch]);
        ((hash >> 11) as f64 + 0.5) / (1u64 << 53) as f64
    }

    /// The identifier of a client's request for an object that instances use when they share rejections.
    pub fn request_id(self, client: u64, object: u64) -> u32 {
        (self.hash(u64::MAX, [client, object, 0]) >> 32) as u32
    }
}

/// The priority of a request in one of several bands, of which 0 is the lowest. `cost` is relative to the usual request;
/// `draw` is between 0 and 1.
pub fn priority(band: usize, bands: usize, cost: f64, draw: f64) -> u32 {
    let cost = if cost.is_finite() { cost.clamp(*COST_RANGE.start(), *COST_RANGE.end()) } else { 1.0 };
    let position_in_band = draw.clamp(0.0, 1.0).powf(cost);
    let band_count = bands.max(1) as f64;
    let position = (band.min(bands.saturating_sub(1)) as f64 + position_in_band) / band_count;
    ((position * f64::from(PRIORITIES)) as u32).min(PRIORITIES - 1)
}

/// The bucket of a priority.
pub fn bucket(priority: u32) -> usize {
    (priority.min(PRIORITIES - 1) as usize * BUCKETS) / PRIORITIES as usize
}

/// The lowest priority to admit so that at most `capacity` of the arrivals are admitted, assuming that arrivals are spread
/// evenly within each bucket. 0 admits all arrivals.
pub fn threshold(arrivals: &[f64; BUCKETS], capacity: f64) -> u32 {
    let mut remaining = capacity.max(0.0);
    for (bucket, arriving) in arrivals.iter().enumerate().rev() {
        if *arriving > remaining {
            let upper_edge = (bucket + 1) as f64;
            let share = remaining / arriving;
            return (((upper_edge - share) / BUCKETS as f64) * f64::from(PRIORITIES)).ceil() as u32;
        }
        remaining -= arriving;
    }
    0
}

#[cfg(test)]
mod tests;
