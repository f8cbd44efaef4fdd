//! Automatic recovery of a gateway from a retry storm, in which retries, restarts and cold caches amplify each other.
//!
//! - [`admission`]: admission control before the decision module: which requests are admitted, and when the clients of
//!   rejected ones may retry. It combines the other modules, except the recovery ramp.
//! - [`aging_map`]: a map in bounded memory whose entries expire by generation.
//! - [`budget`]: the retry budget: a limit on retries relative to first attempts, whichever layer sends them.
//! - [`retries`]: detection of retries by client and object, in bounded memory.
//! - [`retry_storm`]: detection of retry storms, and the cap on the admitted rate that ends them.
//! - [`retry_after`]: retry-after times of rejected clients, spread so that they do not retry at the same moment.
//! - [`class_shedding`]: shedding of request classes in the operator's order, with hysteresis.
//! - [`recovery_ramp`]: a limit on requests in flight to a site, connection or member that is available
//!   again; it starts at one trial request and grows while requests succeed.
//!
//! The decision module still selects the member and decides on retries, and may reject a request that was admitted
//! here. All times are milliseconds on the caller's clock, and only differences between them matter.
#![forbid(unsafe_code)]

pub mod admission;
pub mod aging_map;
pub mod budget;
pub mod class_shedding;
pub mod recovery_ramp;
pub mod retries;
pub mod retry_after;
pub mod retry_storm;

/// A point in time or a duration, in milliseconds.
pub type Millis = f64;
/// The index of a class of requests.
pub type ClassIndex = usize;
