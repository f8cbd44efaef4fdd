//! Which requests clients send.

#[cfg(test)]
mod tests;

use crate::scenario::Load;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

/// Draws ranks from 0, the n-th with a probability in proportion to 1 / (n + 1)^exponent, in constant time
/// however many there are (rejection-inversion; Hörmann and Derflinger, 1996).
#[derive(Clone, Copy, Debug)]
pub struct Zipf {
    count: f64,
    exponent: f64,
    /// The integral at the left end of the range.
    left: f64,
    /// The integral at the right end of the range.
    right: f64,
    /// Distance from a rank within which a draw is accepted without further computation.
    acceptance: f64,
}

/// Below this distance from exponent 1 a series stands for the formula, which would divide by almost 0.
const SERIES_THRESHOLD: f64 = 1e-8;

fn integral(x: f64, exponent: f64) -> f64 {
    // (x^(1-e) - 1) / (1-e), and its limit ln x at e = 1.
    let log = x.ln();
    let t = log * (1.0 - exponent);
    log * if t.abs() < SERIES_THRESHOLD { 1.0 + t / 2.0 } else { t.exp_m1() / t }
}

fn inverse_integral(x: f64, exponent: f64) -> f64 {
    let t = (x * (1.0 - exponent)).max(-1.0 + 1e-15);
    (x * if t.abs() < SERIES_THRESHOLD { 1.0 - t / 2.0 } else { t.ln_1p() / t }).exp()
}

impl Zipf {
    /// A distribution over `count` ranks; 0 counts as 1.
    pub fn new(count: usize, exponent: f64) -> Self {
        let count = count.max(1) as f64;
        let left = integral(1.5, exponent) - 1.0;
        let right = integral(count + 0.5, exponent);
        let acceptance = 2.0 - inverse_integral(integral(2.5, exponent) - 2f64.powf(-exponent), exponent);
        Zipf { count, exponent, left, right, acceptance }
    }

    /// Draws a rank from 0 to one below the count.
    pub fn draw(&self, rng: &mut Pcg64Mcg) -> usize {
        loop {
            let u = self.right + rng.random::<f64>() * (self.left - self.right);
            let x = inverse_integral(u, self.exponent);
            let rank = (x + 0.5).floor().clamp(1.0, self.count);
            let accepted = rank - x <= self.acceptance
                || u >= integral(rank + 0.5, self.exponent) - rank.powf(-self.exponent);
            if accepted {
                return rank as usize - 1;
            }
        }
    }
}

/// A class of requests. The discriminant is its index in the gateway's settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    /// A read without side effects.
    Read,
    /// A write with an idempotency key.
    KeyedWrite,
    /// A write that must not run twice and has no key.
    UnkeyedWrite,
}

impl Class {
    /// Its name in the gateway's settings.
    pub fn name(self) -> &'static str {
        match self {
            Class::Read => "page",
            Class::KeyedWrite => "post",
            Class::UnkeyedWrite => "once",
        }
    }
}

/// What a client requests; the same for all attempts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClientRequest {
    /// Its class.
    pub class: Class,
    /// The object that is read or written.
    pub object: u64,
    /// Size of the answer in KB.
    pub size_kb: f64,
}

/// The object of a site with an index; the site is in the highest digit and the rest is spread out.
pub fn object_id(site: usize, index: u64) -> u64 {
    (site as u64) << 60 | (index + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 4
}

/// Size of an object in KB, 1.05 to 180: most are small, some large.
pub fn object_size_kb(object: u64) -> f64 {
    match object % 61 {
        0 => 180.0,
        1..5 => 60.0,
        n => 0.6 + 0.09 * n as f64,
    }
}

/// Popularity rank of the object that a flash crowd requests.
const HOT_RANK: u64 = 7;

/// Draws the requests of one site's clients.
#[derive(Clone, Debug)]
pub struct RequestGenerator {
    site: usize,
    popularity: Zipf,
    objects: u64,
    rank_drift_per_second: f64,
    write_share: f64,
}

impl RequestGenerator {
    /// A generator for a site.
    pub fn new(site: usize, load: &Load) -> Self {
        RequestGenerator {
            site,
            popularity: Zipf::new(load.objects, load.zipf_exponent),
            objects: load.objects as u64,
            rank_drift_per_second: load.rank_drift_per_second,
            write_share: load.write_share,
        }
    }

    /// Draws a request at a time in seconds; with probability `hot_share` it is for the hot object of a
    /// flash crowd.
    pub fn draw(&self, rng: &mut Pcg64Mcg, seconds: f64, hot_share: f64) -> ClientRequest {
        let shift = (seconds * self.rank_drift_per_second) as u64;
        let rank = self.popularity.draw(rng) as u64;
        let rank = if hot_share > 0.0 && rng.random::<f64>() < hot_share { HOT_RANK } else { rank };
        let object = object_id(self.site, (rank + shift) % self.objects);
        let class = match rng.random::<f64>() {
            x if x < self.write_share * 0.5 => Class::KeyedWrite,
            x if x < self.write_share => Class::UnkeyedWrite,
            _ => Class::Read,
        };
        ClientRequest { class, object, size_kb: object_size_kb(object) }
    }
}
