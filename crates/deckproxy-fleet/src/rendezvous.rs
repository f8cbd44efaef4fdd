//! Who observes which member: rendezvous hashing over the instances that are there.
//!
//! Each instance computes the same answer from the same view without a word: of all candidates those with the best keyed
//! draw, own zone first. Where one is lost, only its members get others; where one comes back, it gets the same ones.

use crate::instance::Name;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// An instance that may observe.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Its name.
    pub name: Name,
    /// Its zone.
    pub zone: Name,
    /// Its share beside others'.
    pub weight: u16,
}

/// A draw of an instance for a member: the lower, the better; of weight 2 twice as often the best as of weight 1.
fn draw(member: &str, one: &Candidate) -> f64 {
    let key = xxh3_64_with_seed(one.name.as_bytes(), xxh3_64_with_seed(member.as_bytes(), 0));
    // From 0 to 1, neither of which it is.
    let uniform = ((key >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    -uniform.ln() / f64::from(one.weight.max(1))
}

/// The places in `candidates` of those that observe a member of a zone, the best first, `wanted` of them at most.
pub fn observers(member: &str, zone: &str, candidates: &[Candidate], wanted: usize) -> Vec<usize> {
    let mut best: Vec<(bool, f64, usize)> = Vec::with_capacity(wanted + 1);
    for (i, one) in candidates.iter().enumerate() {
        let key = (*one.zone != *zone, draw(member, one), i);
        let at = best.partition_point(|other| {
            other.0.cmp(&key.0).then(other.1.total_cmp(&key.1)).then(other.2.cmp(&key.2)).is_lt()
        });
        if at < wanted {
            best.insert(at, key);
            best.truncate(wanted);
        }
    }
    best.into_iter().map(|(_, _, i)| i).collect()
}

/// A number for a name, the same everywhere.
pub fn key(name: &str) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), 2)
}

/// A number from 0 to 1 that each instance draws for itself for something that all would else do at one moment.
pub fn spread(what: &str, own: &str) -> f64 {
    let key = xxh3_64_with_seed(own.as_bytes(), xxh3_64_with_seed(what.as_bytes(), 1));
    key as f64 / u64::MAX as f64
}
