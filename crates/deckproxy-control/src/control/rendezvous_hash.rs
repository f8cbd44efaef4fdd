//! The weighted rendezvous hash, which gives the same result at every router.

use crate::interface::MemberId;

/// Increment of splitmix64, added to an object's key so that small keys differ in many bits.
const OBJECT_INCREMENT: u64 = 0x9e37_79b9_7f4a_7c15;
/// Added to a member's id so that ids and object keys hash differently.
const MEMBER_INCREMENT: u64 = 0x5851;
/// Lower bound of a member's weight, so that every score is finite.
const WEIGHT_MIN: f64 = 1e-6;
/// Factor by which rounding may at most raise a score over its bound.
const ROUNDING_ALLOWANCE: f64 = 1.0 + 1e-9;

/// Mixes 64 bits with the finalizer of splitmix64.
pub(super) fn mix64(mut bits: u64) -> u64 {
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}

/// Hash of a member's id.
pub(super) fn member_hash(id: MemberId) -> u64 {
    mix64(u64::from(id) + MEMBER_INCREMENT)
}

/// Hash of an object's key.
pub(super) fn object_hash(object: u64) -> u64 {
    mix64(object.wrapping_add(OBJECT_INCREMENT))
}

/// The score of a member for an object, before its logarithm is taken: the member with the highest score is
/// the object's home, the next one its failover.
#[derive(Clone, Copy, Debug)]
pub(super) struct UnitScore {
    /// Uniform between 0 and 1, both excluded.
    unit: f64,
    weight: f64,
}

impl UnitScore {
    /// Combines the hashes of an object and of a member with that weight.
    pub(super) fn new(object_hash: u64, member_hash: u64, weight: f64) -> Self {
        let bits = mix64(object_hash ^ member_hash);
        let unit = ((bits >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
        UnitScore { unit, weight: weight.max(WEIGHT_MIN) }
    }

    /// The weighted score.
    pub(super) fn score(self) -> f64 {
        -self.weight / self.unit.ln()
    }

    /// Whether the score is certainly lower than another one, without a logarithm: as `-ln(u) >= 1 - u`, the
    /// score is at most `weight / (1 - u)`.
    pub(super) fn is_below(self, score: f64) -> bool {
        self.weight * ROUNDING_ALLOWANCE < score * (1.0 - self.unit)
    }
}
