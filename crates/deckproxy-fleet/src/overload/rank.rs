//! Where a request stands among all others: the same place at every gateway, whoever asks there again.
//!
//! Classes stand in bands by worth. Within a band a draw decides, keyed by client and epoch, so that a client that was
//! below the cut at one gateway is below it at every other until the epoch ends: asking again elsewhere is no new
//! lottery, and over epochs everybody has his turn. What costs less stands higher more often.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Levels in which ranks are counted.
pub const LEVELS: usize = 24;
/// Ranks go from 0 to this number, which none has.
pub const RANKS: u32 = 1 << 16;
/// Bounds on how much dearer or cheaper than the usual request one may count.
const COSTS: std::ops::RangeInclusive<f64> = 0.25..=4.0;

/// Keys of the draws; the same at all gateways of a fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Keys(pub u64);

impl Keys {
    /// Of a fleet's name.
    pub fn of(fleet: &str) -> Self {
        Keys(xxh3_64_with_seed(fleet.as_bytes(), 0x6f76_6572))
    }

    fn mix(self, what: u64, words: [u64; 3]) -> u64 {
        let mut bytes = [0; 24];
        for (place, word) in bytes.chunks_exact_mut(8).zip(words) {
            place.copy_from_slice(&word.to_le_bytes());
        }
        xxh3_64_with_seed(&bytes, self.0 ^ what)
    }

    /// A number from 0 to 1, which it never is, for what somebody asks for in an epoch.
    pub fn draw(self, what: Draw, client: u64, object: u64, epoch: u64) -> f64 {
        let key = self.mix(what as u64, [client, object, epoch]);
        ((key >> 11) as f64 + 0.5) / (1u64 << 53) as f64
    }

    /// The number by which a client's wish for an object is known to others.
    pub fn wish(self, client: u64, object: u64) -> u32 {
        (self.mix(u64::MAX, [client, object, 0]) >> 32) as u32
    }
}

/// What is drawn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Draw {
    /// The place within a band; of a client, whatever it asks for.
    Place = 1,
    /// Whether a client that is turned away is promised a time.
    Promise = 2,
    /// Which one.
    Time = 3,
}

/// The rank of a request in a band of several, 0 the one worth least. `cost`: beside that of the usual request.
pub fn rank(band: usize, bands: usize, cost: f64, draw: f64) -> u32 {
    let cost = if cost.is_finite() { cost.clamp(*COSTS.start(), *COSTS.end()) } else { 1.0 };
    let within = draw.clamp(0.0, 1.0).powf(cost);
    let all = bands.max(1) as f64;
    let place = (band.min(bands.saturating_sub(1)) as f64 + within) / all;
    ((place * f64::from(RANKS)) as u32).min(RANKS - 1)
}

/// The level of a rank.
pub fn level(rank: u32) -> usize {
    (rank.min(RANKS - 1) as usize * LEVELS) / RANKS as usize
}

/// The rank from which on at most so many of these pass, who are spread evenly within each level. 0: all do.
pub fn cut(arrivals: &[f64; LEVELS], most: f64) -> u32 {
    let mut room = most.max(0.0);
    for (i, come) in arrivals.iter().enumerate().rev() {
        if *come > room {
            let top = (i + 1) as f64;
            let share = room / come;
            return (((top - share) / LEVELS as f64) * f64::from(RANKS)).ceil() as u32;
        }
        room -= come;
    }
    0
}

#[cfg(test)]
mod tests;
