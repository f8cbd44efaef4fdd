//! The weighted rendezvous hash, which gives the same result at every router.

use crate::interface::Member;

/// Increment of splitmix64, added to an object's key so that small keys differ in many bits.
const OBJECT_INCREMENT: u64 = 0x9e37_79b9_7f4a_7c15;
/// Added to a member's id so that ids and object keys hash differently.
const MEMBER_INCREMENT: u64 = 0x5851;
/// Lower bound of a member's weight, so that every score is finite.
const WEIGHT_MIN: f64 = 1e-6;

/// Mixes 64 bits with the finalizer of splitmix64.
pub(super) fn mix64(mut bits: u64) -> u64 {
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}

/// The weighted score of a member for an object: the member with the highest score is the object's home,
/// the next one its failover.
pub(super) fn rendezvous_score(object: u64, member: &Member) -> f64 {
    let object_bits = mix64(object.wrapping_add(OBJECT_INCREMENT));
    let member_bits = mix64(u64::from(member.id) + MEMBER_INCREMENT);
    let bits = mix64(object_bits ^ member_bits);
    let unit = ((bits >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    -member.weight.max(WEIGHT_MIN) / unit.ln()
}
