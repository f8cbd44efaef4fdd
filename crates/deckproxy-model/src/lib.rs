//! A model of sites at sizes that sockets do not reach.
//!
//! Discrete events in simulated time, the same for the same seed. The gateways in it are the ones that are deployed: each
//! is a `deckproxy::routing::router::Router` with the decision module inside, and `deckproxy-recovery` before it. What is
//! modelled are the clients, caches, parents, origin, links, feed and faults around them.
//!
//! - [`queue`]: pending events, in a timing wheel.
//! - [`scenario`]: what is run, as data; [`file`]: experiments in files, [`expression`]s in them.
//! - [`load`]: what clients ask for, and how they come again.
//! - [`members`]: caches, parents and origin: cores, queues, copies, fills, cold starts.
//! - [`hosts`]: what stands between clients and members: the gateway, or one of the plain baselines.
//! - [`world`]: the run.
//! - [`check`]: the five rules and the sums that must hold, held against what passed.
//! - [`record`]: what a run leaves.
#![forbid(unsafe_code)]
#![allow(missing_docs, clippy::missing_panics_doc)]

pub mod check;
pub mod expression;
pub mod file;
pub mod hosts;
pub mod load;
pub mod members;
pub mod queue;
pub mod record;
pub mod scenario;
pub mod world;

/// Simulated time in microseconds since the run began.
pub type Micros = u64;

/// Microseconds of so many milliseconds.
pub fn micros(ms: f64) -> Micros {
    (ms * 1000.0).round().max(0.0) as Micros
}

/// The clock that gateways are shown, Unix ms, for a simulated time: any fixed beginning will do.
pub fn clock(at: Micros) -> f64 {
    1_700_000_000_000.0 + at as f64 / 1000.0
}

/// The random numbers of one entity: adding another one changes none of its draws.
pub fn stream(seed: u64, kind: u64, index: u64) -> rand_pcg::Pcg64Mcg {
    // splitmix64 over the three, so that neighbours share nothing.
    let mut x = seed ^ kind.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ index.wrapping_mul(0xd1b5_4a32_d192_ed03);
    for _ in 0..2 {
        x = x.wrapping_add(0x9e37_79b9_7f4a_7c15);
        x = (x ^ x >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        x = (x ^ x >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
        x ^= x >> 31;
    }
    rand::SeedableRng::seed_from_u64(x)
}
