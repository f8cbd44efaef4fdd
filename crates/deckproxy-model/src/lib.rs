//! A discrete-event simulation of sites, for sizes that real sockets cannot reach.
//!
//! Time is simulated, and the same scenario and seed always give the same run. The gateways are the deployed
//! ones: each runs a `deckproxy::routing::Router` with the decision module inside, optionally behind the
//! admission control of `deckproxy-recovery`. Simulated are the clients, caches, parents, origins, links,
//! control feed and faults around them.
//!
//! - [`scenario`]: a run's parameters; [`experiment`]: experiment files; [`expression`]: load schedules
//!   inside those files.
//! - [`simulation`]: the event loop and everything that reacts to an event.
//! - [`queue`]: pending events, in a timing wheel.
//! - [`load`]: which requests clients send.
//! - [`members`]: state of caches, parents and origins.
//! - [`balancer`]: what distributes requests over members: the deployed gateway, or a plain baseline.
//! - [`check`]: the invariants of a run, checked independently of the code under test.
//! - [`record`]: the results of a run.
#![forbid(unsafe_code)]

pub mod balancer;
pub mod check;
pub mod experiment;
pub mod expression;

pub mod load;
pub mod members;
pub mod queue;
pub mod record;
pub mod scenario;
pub mod simulation;

/// Simulated time, or a span of it, in microseconds; times count from the beginning of the run.
pub type Micros = u64;

/// Unix time of the beginning of every run, in milliseconds. Any fixed value will do.
const RUN_START_UNIX_MS: f64 = 1_700_000_000_000.0;

/// Converts milliseconds to the nearest whole microseconds; negative values become 0.
pub fn micros(ms: f64) -> Micros {
    (ms * 1000.0).round().max(0.0) as Micros
}

/// A number of members or gateways as an id; they are far fewer than 2^32.
fn saturating_u32(number: usize) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}

/// The Unix time in milliseconds that gateways see at a simulated time.
pub fn unix_ms(at: Micros) -> f64 {
    RUN_START_UNIX_MS + at as f64 / 1000.0
}

/// The random number generator of one entity and purpose. Adding another entity changes none of its draws.
///
/// `purpose` and `index` select the generator among those of a `seed`; any values are allowed.
pub fn random_stream(seed: u64, purpose: u64, index: u64) -> rand_pcg::Pcg64Mcg {
    // splitmix64 over all three values, so that neighbouring streams are unrelated.
    let mut x =
        seed ^ purpose.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ index.wrapping_mul(0xd1b5_4a32_d192_ed03);
    for _ in 0..2 {
        x = x.wrapping_add(0x9e37_79b9_7f4a_7c15);
        x = (x ^ x >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        x = (x ^ x >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
        x ^= x >> 31;
    }
    rand::SeedableRng::seed_from_u64(x)
}
