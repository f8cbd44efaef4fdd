//! Which instance observes which member: rendezvous hashing over the instances that are alive.
//!
//! Each instance computes the same answer from the same view without an exchange: the candidates with the best keyed draws,
//! those of the member's zone first. Where an instance is lost, only its members get other observers; when it returns, it
//! gets the same members again.

use crate::instance::Name;
use std::cmp::Ordering;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Seeds that keep the three uses of the hash apart.
mod seeds {
    /// The draw of an instance for a member.
    pub const DRAW: u64 = 0;
    /// A moment or an order that is drawn by name.
    pub const UNIFORM: u64 = 1;
    /// The hash of a name.
    pub const NAME: u64 = 2;
}

/// An instance that may observe.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Its name.
    pub name: Name,
    /// Its zone.
    pub zone: Name,
    /// Its share relative to other candidates.
    pub weight: u16,
}

/// What candidates are ranked by; the least one is the best.
struct Rank {
    other_zone: bool,
    draw: f64,
    index: usize,
}

impl Rank {
    fn compare(&self, other: &Rank) -> Ordering {
        let by_zone = self.other_zone.cmp(&other.other_zone);
        by_zone.then(self.draw.total_cmp(&other.draw)).then(self.index.cmp(&other.index))
    }
}

/// The draw of a candidate for a member: the lower, the better. Weight 2 wins twice as often as weight 1.
fn draw(member: &str, candidate: &Candidate) -> f64 {
    let seed = xxh3_64_with_seed(member.as_bytes(), seeds::DRAW);
    let key = xxh3_64_with_seed(candidate.name.as_bytes(), seed);
    // Strictly between 0 and 1.
    let uniform = ((key >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    -uniform.ln() / f64::from(candidate.weight.max(1))
}

/// Indices into `candidates` of the observers of a member in a zone, the best first, at most `wanted` of them.
pub fn observers(member: &str, zone: &str, candidates: &[Candidate], wanted: usize) -> Vec<usize> {
    let mut best: Vec<Rank> = Vec::with_capacity(wanted + 1);
    for (index, candidate) in candidates.iter().enumerate() {
        let rank = Rank { other_zone: *candidate.zone != *zone, draw: draw(member, candidate), index };
        let at = best.partition_point(|other| other.compare(&rank).is_lt());
        if at < wanted {
            best.insert(at, rank);
            best.truncate(wanted);
        }
    }
    best.into_iter().map(|rank| rank.index).collect()
}

/// The hash of a name, the same on every instance.
pub fn hash_of_name(name: &str) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), seeds::NAME)
}

/// A number from 0 to 1 that an instance draws for itself, for something that all would otherwise do at one moment.
pub fn keyed_uniform(what: &str, own: &str) -> f64 {
    let seed = xxh3_64_with_seed(what.as_bytes(), seeds::UNIFORM);
    let key = xxh3_64_with_seed(own.as_bytes(), seed);
    key as f64 / u64::MAX as f64
}
