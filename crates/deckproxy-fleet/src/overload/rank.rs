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
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn the_same_client_has_the_same_place_until_the_epoch_ends() {
        let keys = Keys::of("edge");
        let at = |client, epoch| keys.draw(Draw::Place, client, 0, epoch);
        assert_eq!(at(7, 3), Keys::of("edge").draw(Draw::Place, 7, 0, 3));
        assert_ne!(at(7, 3), at(7, 4));
        assert_ne!(at(7, 3), at(8, 3));
        // Over epochs everybody is in the upper half about as often.
        for client in 0..20 {
            let upper = (0..400).filter(|e| at(client, *e) > 0.5).count();
            assert!((140..260).contains(&upper), "client {client}: {upper}");
        }
    }

    #[test]
    fn what_costs_less_passes_more_often_and_nothing_never() {
        let passes =
            |cost: f64| (1..1000).filter(|i| rank(0, 1, cost, f64::from(*i) / 1000.0) >= RANKS / 2).count();
        let (cheap, usual, dear) = (passes(0.25), passes(1.0), passes(4.0));
        assert!(cheap > usual && usual > dear && dear > 100, "{cheap} {usual} {dear}");
        assert_eq!(passes(f64::NAN), usual);
    }

    proptest! {
        #[test]
        fn bands_never_mix(bands in 1usize..9, cost in 0.0f64..100.0, draw in 0.0f64..1.0, other in 0.0f64..1.0) {
            for band in 1..bands {
                prop_assert!(rank(band, bands, cost, draw) >= rank(band - 1, bands, 1.0, other));
            }
            prop_assert!(rank(bands, bands, cost, draw) < RANKS);
        }

        #[test]
        fn what_passes_a_cut_is_no_more_than_was_asked_for(
            arrivals in proptest::array::uniform24(0.0f64..50.0), most in 0.0f64..1500.0,
        ) {
            let cut = cut(&arrivals, most);
            let width = f64::from(RANKS) / LEVELS as f64;
            let passed: f64 = arrivals.iter().enumerate().map(|(i, come)| {
                let (from, to) = (i as f64 * width, (i + 1) as f64 * width);
                come * ((to - f64::from(cut)) / (to - from)).clamp(0.0, 1.0)
            }).sum();
            prop_assert!(passed <= most + 1e-6, "{passed} of {most}");
            // And no less than a rank's worth under it, unless all pass.
            prop_assert!(cut == 0 || passed >= most - 0.2, "{passed} of {most}");
        }
    }
}
