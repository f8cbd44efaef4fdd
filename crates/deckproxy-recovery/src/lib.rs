//! How a gateway comes out of a storm without a person: repeats, restarts and cold caches that feed each other.
//!
//! - [`admission`]: all of it together, before the decision module: what passes, and when the rest is asked back.
//! - [`budget`]: repeats for each first try, by class, whoever makes them.
//! - [`retries`]: which requests are repeats, known by client and object in bounded memory.
//! - [`retry_storm`]: whether the gateway works for nobody, and how much it lets in until it works for somebody again.
//! - [`retry_after`]: when refused clients are asked back, spread so that they do not come as one wave.
//! - [`class_shedding`]: what is given up first, in the operator's order, without flapping.
//! - [`recovery_ramp`]: one prober, then more by measured success, for a site, link or member that came back.
//!
//! The decision module still decides which member, whether to retry and what it turns away itself: what passes here is
//! not promised anything there. All times are milliseconds on the caller's clock; only differences of them count.
#![forbid(unsafe_code)]

pub mod admission;
pub mod budget;
pub mod class_shedding;
pub mod recovery_ramp;
pub mod retries;
pub mod retry_after;
pub mod retry_storm;

/// Milliseconds.
pub type Millis = f64;
/// A class of requests, by its place.
pub type ClassNo = usize;
