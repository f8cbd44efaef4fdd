//! The model: requests, executions, purges, and the bodies of objects.

use bytes::Bytes;
use deckproxy_sites::responder::RunId;
use std::collections::BTreeSet;

/// Number of objects of each home.
pub const OBJECTS: u64 = 12;

/// A request and its state.
pub struct TrackedRequest {
    pub is_idempotent: bool,
    pub object: u64,
    pub deadline: f64,
    pub is_answered: bool,
    /// Number of executions so far, without those that were rejected.
    pub executions: usize,
    /// Executions in progress, with the index of the executing site.
    pub live_runs: BTreeSet<(usize, RunId)>,
}

/// An execution in progress.
pub struct Run {
    pub site: usize,
    pub request: String,
    pub ends_at: f64,
    pub object: u64,
    pub is_idempotent: bool,
}

/// The times of a purge and of its notification of a site.
#[derive(Clone, Copy, Debug)]
pub struct PurgeTimes {
    pub purged_at: f64,
    pub notified_at: f64,
}

/// The number of an object of a home.
pub fn object(home: usize, index: u64) -> u64 {
    [0xa, 0xb][home] << 60 | index
}

/// The length of an object's body.
pub fn body_length(object: u64) -> usize {
    16 + (object & 0xff) as usize * 90
}

/// An object's body: its number, the time at which the copy was issued, and a pattern.
pub fn body(object: u64, issued_at: f64) -> Bytes {
    let mut bytes = object.to_be_bytes().to_vec();
    bytes.extend(issued_at.to_be_bytes());
    bytes.extend((0..body_length(object) - 16).map(|i| (i % 251) as u8));
    bytes.into()
}

/// Checks that a body is complete, and returns the time at which its copy was issued.
pub fn check_body(body: &[u8], expected_object: u64) -> f64 {
    let object = u64::from_be_bytes(body[..8].try_into().unwrap());
    assert_eq!(object, expected_object, "another object's body");
    assert_eq!(body.len(), body_length(object), "an incomplete body");
    let pattern = body[16..].iter().enumerate();
    assert!(pattern.into_iter().all(|(i, byte)| *byte == (i % 251) as u8), "chunks out of order");
    f64::from_be_bytes(body[8..16].try_into().unwrap())
}
