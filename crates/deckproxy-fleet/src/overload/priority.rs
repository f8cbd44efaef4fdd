//! The priority of a request among all others, the same on every instance.
//!
//! Classes form bands by priority weight. Within a band a draw decides, keyed by client and epoch: a client that is below
//! the shed level on one instance is below it on every other until the epoch ends, so that retrying elsewhere is no new
//! draw; over epochs every client has its turn. Cheaper requests have a higher priority more often.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Buckets in which priorities are counted; part of the wire format.
pub const BUCKETS: usize = 24;
/// Number of priorities, which range from 0 to one less than this.
pub const PRIORITIES: u32 = 1 << 16;
/// Bounds on the cost of a request relative to the usual one.
const COSTS: std::ops::RangeInclusive<f64> = 0.25..=4.0;
/// Sets the keys of draws apart from other hashes of the fleet's name.
const KEY_SEED: u64 = 0x6f76_6572;

/// Keyed draws, the same on all instances of a fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrawKey(u64);

/// What is drawn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Draw {
    /// The place within a band: one for a client, whatever it requests.
    Priority = 1,
    /// Whether a rejected request gets a reserved retry-after time.
    Reservation = 2,
    /// The retry-after time.
    RetryAfter = 3,
}

impl DrawKey {
    /// The key of a fleet's name.
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

    /// A number strictly between 0 and 1 for a client's request in an epoch.
    pub fn draw(self, what: Draw, client: u64, object: u64, epoch: u64) -> f64 {
        let hash = self.hash(what as u64, [client, object, epoch]);
        ((hash >> 11) as f64 + 0.5) / (1u64 << 53) as f64
    }

    /// The number by which instances identify a client's request for an object among each other.
    pub fn request_id(self, client: u64, object: u64) -> u32 {
        (self.hash(u64::MAX, [client, object, 0]) >> 32) as u32
    }
}

/// The priority of a request in one of several bands, of which 0 is the lowest. `cost`: relative to the usual request;
/// `draw`: 0 to 1.
pub fn priority(band: usize, bands: usize, cost: f64, draw: f64) -> u32 {
    let cost = if cost.is_finite() { cost.clamp(*COSTS.start(), *COSTS.end()) } else { 1.0 };
    let within = draw.clamp(0.0, 1.0).powf(cost);
    let bands_total = bands.max(1) as f64;
    let place = (band.min(bands.saturating_sub(1)) as f64 + within) / bands_total;
    ((place * f64::from(PRIORITIES)) as u32).min(PRIORITIES - 1)
}

/// The bucket of a priority.
pub fn bucket(priority: u32) -> usize {
    (priority.min(PRIORITIES - 1) as usize * BUCKETS) / PRIORITIES as usize
}

/// The lowest priority to admit so that at most `capacity` of the arrivals are, which are assumed to be spread evenly within
/// each bucket. 0: all are admitted.
pub fn threshold(arrivals: &[f64; BUCKETS], capacity: f64) -> u32 {
    let mut left = capacity.max(0.0);
    for (bucket, arriving) in arrivals.iter().enumerate().rev() {
        if *arriving > left {
            let top = (bucket + 1) as f64;
            let share = left / arriving;
            return (((top - share) / BUCKETS as f64) * f64::from(PRIORITIES)).ceil() as u32;
        }
        left -= arriving;
    }
    0
}

#[cfg(test)]
mod tests;
