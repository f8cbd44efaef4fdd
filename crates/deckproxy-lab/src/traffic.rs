//! The traffic of clients: popular objects far more often than others, pages far more often than writes.

use deckproxy_standins::load_client::{RequestGenerator, RequestSpec};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use std::sync::Arc;

/// Power of the Zipf distribution of objects.
const POPULARITY_POWER: f64 = 0.9;
/// Time that a client gives a request, ms.
pub const TIMEOUT_MS: u32 = 1400;

/// Numbers from 0 with the probability of the n-th in proportion to 1 / (n + 1) to a power.
///
/// Drawn by bisection of the cumulated weights. The model's Zipf numbers come from another algorithm (rejection-inversion)
/// and so are others for the same seed: both stay, as recorded figures depend on them.
#[derive(Clone, Debug)]
pub struct Zipf {
    /// Sum of the weights up to each number.
    cumulated: Vec<f64>,
}

impl Zipf {
    /// The distribution over the numbers below `count`.
    pub fn new(count: usize, power: f64) -> Self {
        let mut sum = 0.0;
        let weight = |n: usize| ((n + 1) as f64).powf(-power);
        let cumulated = (0..count).map(|n| {
            sum += weight(n);
            sum
        });
        Zipf { cumulated: cumulated.collect() }
    }

    /// The next number; 0 where there is none.
    pub fn sample(&self, rng: &mut Pcg64Mcg) -> usize {
        let total = self.cumulated.last().copied().unwrap_or(0.0);
        let target = rng.random::<f64>() * total;
        let last = self.cumulated.len().saturating_sub(1);
        self.cumulated.partition_point(|sum| *sum <= target).min(last)
    }
}

/// The number of a site's n-th object: the site in the first digit, the rest spread over all numbers.
pub fn object(site: u32, n: usize) -> u64 {
    let spread = (n as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 4;
    u64::from(site) << 60 | spread
}

/// An object's group, the same in every request for it.
pub fn group(object: u64) -> u32 {
    (object >> 20 & 0xff) as u32
}

/// Requests of a site's clients for `objects` objects of each of `sites` sites. `cross_site_share` of them are for objects
/// of other sites, `write_share` have an effect (half of these under an idempotency key); shares are from 0 to 1.
pub fn requests(
    site: u32,
    sites: u32,
    objects: usize,
    cross_site_share: f64,
    write_share: f64,
) -> RequestGenerator {
    let popularity = Zipf::new(objects, POPULARITY_POWER);
    Arc::new(move |rng| {
        let mut home_site = site;
        if sites > 1 && rng.random::<f64>() < cross_site_share {
            home_site = (site + rng.random_range(1..sites)) % sites;
        }
        let object = object(home_site, popularity.sample(rng));
        let class = match rng.random::<f64>() {
            x if x < write_share * 0.5 => "post",
            x if x < write_share => "once",
            _ => "page",
        };
        RequestSpec { class, object, group: group(object), home_site, timeout_ms: TIMEOUT_MS }
    })
}
