//! Assigns observers to members by rendezvous hashing over the instances that are alive.
//!
//! Instances with the same view compute the same assignment without communication: the candidates with the lowest hash-based
//! scores, those in the member's zone first. When an instance is lost, only its members are reassigned; when it returns, it
//! is assigned the same members again.

use crate::instance::Name;
use std::cmp::Ordering;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Hash seeds that separate the three uses of the hash function.
mod seeds {
    /// The score of an instance for a member.
    pub const SCORE: u64 = 0;
    /// A delay or an order that is derived from names.
    pub const UNIFORM: u64 = 1;
    /// The hash of a name.
    pub const NAME: u64 = 2;
}

/// An instance that may observe a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Its name.
    pub name: Name,
    /// Its zone.
    pub zone: Name,
    /// Its weight relative to other candidates.
    pub weight: u16,
}

/// The rank of a candidate; the lowest is the best.
struct Rank {
    other_zone: bool,
    score: f64,
    index: usize,
}

impl Rank {
    fn compare(&self, other: &Rank) -> Ordering {
        let by_zone = self.other_zone.cmp(&other.other_zone);
        by_zone.then(self.score.total_cmp(&other.score)).then(self.index.cmp(&other.index))
    }
}

/// The score of a candidate for a member; the lowest wins. A candidate of weight 2 wins twice as often as one of weight 1.
fn score(member: &str, candidate: &Candidate) -> f64 {
    let seed = xxh3_64_with_seed(member.as_bytes(), seeds::SCORE);
    let key = xxh3_64_with_seed(candidate.name.as_bytes(), seed);
    // Strictly between 0 and 1.
    let uniform = ((key >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    -uniform.ln() / f64::from(candidate.weight.max(1))
}

/// Indices into `candidates` of the observers of a member in a zone, the best first; at most `max_count` of them.
pub fn observers(member: &str, zone: &str, candidates: &[Candidate], max_count: usize) -> Vec<usize> {
    let mut best: Vec<Rank> = Vec::with_capacity(max_count + 1);
    for (index, candidate) in candidates.iter().enumerate() {
        let rank = Rank { other_zone: *candidate.zone != *zone, score: score(member, candidate), index };
        let at = best.partition_point(|other| other.compare(&rank).is_lt());
        if at < max_count {
            best.insert(at, rank);
            best.truncate(max_count);
        }
    }
    best.into_iter().map(|rank| rank.index).collect()
}

/// The hash of a name, the same on every instance.
pub fn hash_of_name(name: &str) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), seeds::NAME)
}

/// A number from 0 to 1, derived by hashing the names of a member and an instance. It spreads an action over time that all
/// instances would otherwise perform at once; with an empty instance name, it orders members identically on all instances.
pub fn keyed_uniform(member: &str, instance: &str) -> f64 {
    let seed = xxh3_64_with_seed(member.as_bytes(), seeds::UNIFORM);
    let key = xxh3_64_with_seed(instance.as_bytes(), seed);
    key as f64 / u64::MAX as f64
}
