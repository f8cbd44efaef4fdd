//! Decisions of a gateway between sites, without I/O and without a clock.
//!
//! - [`site`]: everything below together, as a gateway drives it.
//! - [`routes`]: which site is an object's home.
//! - [`requester`]: the side whose clients request: exchanges, request collapsing, sessions, retries and reattachment.
//! - [`responder`]: the side that serves: received attempts, executions, responses retained for a lost connection.
//! - [`purges`]: the purge log, the leases under which copies are trusted, the clock skew between sites.
//! - [`throughput`]: what a link carries, and whether a response over it would meet its deadline.
//! - [`frame`]: the messages of the link protocol.
//!
//! Events and the time are passed in; each state machine queues typed effects for the caller to carry out. All times
//! are milliseconds on the caller's clock; only differences of them count.
#![forbid(unsafe_code)]

pub mod close;
pub mod frame;
mod limits;
pub mod purges;
pub mod requester;
pub mod responder;
pub mod routes;
pub mod site;
pub mod throughput;

pub use limits::{LinkLimits, TrustLimits};

/// Milliseconds.
pub type Millis = f64;

/// A connection, by the caller's number.
pub type ConnectionId = u64;

/// A number, a length or an offset as a field of 32 bits. Where one may be over the limit, the limit stands for it.
fn saturating_u32(number: usize) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}
