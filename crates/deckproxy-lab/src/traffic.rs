//! What clients ask for: popular objects far more often than others, pages far more often than writes.

use deckproxy_standins::load_client::{RequestGenerator, RequestSpec};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use std::sync::Arc;

/// Numbers from 0 with the probability of the n-th in proportion to 1 / (n + 1) to a power.
#[derive(Clone, Debug)]
pub struct Zipf {
    sums: Vec<f64>,
}

impl Zipf {
    /// So many numbers.
    pub fn new(count: usize, power: f64) -> Self {
        let mut sum = 0.0;
        let weight = |n: usize| ((n + 1) as f64).powf(-power);
        let sums = (0..count).map(|n| {
            sum += weight(n);
            sum
        });
        Zipf { sums: sums.collect() }
    }

    /// The next number.
    pub fn draw(&self, rng: &mut Pcg64Mcg) -> usize {
        let all = self.sums.last().copied().unwrap_or(0.0);
        let at = rng.random::<f64>() * all;
        self.sums.partition_point(|sum| *sum <= at).min(self.sums.len().saturating_sub(1))
    }
}

/// An object's number: the site in the first digit, the rest spread out.
pub fn object(site: u32, n: usize) -> u64 {
    let spread = (n as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 4;
    u64::from(site) << 60 | spread
}

/// An object's group, the same wherever it is asked for.
pub fn group(object: u64) -> u32 {
    (object >> 20 & 0xff) as u32
}

/// Requests of clients of a site: `away` of them for objects of the other sites, `writes` of them with an effect.
pub fn draw(site: u32, sites: u32, objects: usize, away: f64, writes: f64) -> RequestGenerator {
    let zipf = Zipf::new(objects, 0.9);
    Arc::new(move |rng| {
        let mut home = site;
        if sites > 1 && rng.random::<f64>() < away {
            home = (site + rng.random_range(1..sites)) % sites;
        }
        let object = object(home, zipf.draw(rng));
        let class = match rng.random::<f64>() {
            x if x < writes * 0.5 => "post",
            x if x < writes => "once",
            _ => "page",
        };
        RequestSpec { class, object, group: group(object), home_site: home, timeout_ms: 1400 }
    })
}
