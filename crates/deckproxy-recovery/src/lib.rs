//! How a gateway comes out of a retry storm without an operator: retries, restarts and cold caches that feed each other.
//!
//! - [`admission`]: all parts together, before the decision module: which requests are admitted, and when the clients of the
//!   others may retry.
//! - [`aging_map`]: bounded memory for what was seen lately.
//! - [`budget`]: retries for each first attempt, by class, whoever makes them.
//! - [`retries`]: which requests are retries, known by client and object in bounded memory.
//! - [`retry_storm`]: whether most of the work is in vain, and how much is admitted until it is not.
//! - [`retry_after`]: when rejected clients may retry, spread so that they do not return at once.
//! - [`class_shedding`]: which classes are shed first, in the operator's order, without flapping.
//! - [`recovery_ramp`]: one trial request, then more by measured success, for a site, connection or member that returned.
//!
//! The decision module still decides which member is used, whether to retry and what it rejects itself: a request that is
//! admitted here is promised nothing there. All times are milliseconds on the caller's clock; only differences of them
//! count.
#![forbid(unsafe_code)]

pub mod admission;
pub mod aging_map;
pub mod budget;
pub mod class_shedding;
pub mod recovery_ramp;
pub mod retries;
pub mod retry_after;
pub mod retry_storm;

/// A time or a span, in milliseconds.
pub type Millis = f64;
/// The index of a class of requests.
pub type ClassIndex = usize;
