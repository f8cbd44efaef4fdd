//! Decision logic of a gateway between sites, without I/O and without a clock.
//!
//! - [`site`]: the gateway, which combines the modules below.
//! - [`routes`]: which site is an object's home.
//! - [`requester`]: the requesting side: exchanges, request collapsing, sessions, retries and reattachment.
//! - [`responder`]: the serving side: received attempts, executions, responses retained after a lost connection.
//! - [`purges`]: the purge log, the leases under which copies are trusted, the clock skew between sites.
//! - [`throughput`]: throughput estimates of a link, and whether a response over it would meet its deadline.
//! - [`frame`]: the messages of the link protocol.
//!
//! The caller passes in events and the time; each state machine queues typed effects for the caller to execute. All
//! times are milliseconds on the caller's clock; only their differences matter.
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

/// Identifies a connection; assigned by the caller.
pub type ConnectionId = u64;

/// Converts a count, length or offset to a 32-bit field, saturating at the maximum.
fn saturating_u32(number: usize) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}
