//! Membership, gossip, distributed health checks and load shedding among the instances of a fleet.
//!
//! [`fleet::Fleet`] is a state machine without I/O or a clock. Its inputs are datagrams, results of health checks,
//! the list of members and the time; its outputs are datagrams, health checks and the set of ejected members. Each instance
//! decides on its own at any time: data from other instances improves its decisions, but it never waits for them. See
//! `docs/design/fleet.md`.
//!
//! - [`instance`]: names and incarnations, and which incarnation takes precedence.
//! - [`wire`]: the encoding of datagrams, and the reasons for which they are dropped.
//! - [`clock`]: a clock that excludes pauses of the process.
//! - [`swim`]: membership by SWIM (the crate `foca`).
//! - [`gossip_store`]: small versioned entries of each instance, replicated to all instances.
//! - [`liveness`], [`acknowledgements`], [`view`]: which instances are alive, whether they receive our heartbeats, and
//!   whether this partition of the fleet is the majority.
//! - [`rendezvous`]: which instance observes which member.
//! - [`health`]: the health of members from health checks and attempts, and when to eject them.
//! - [`overload`]: load shedding and retry-after times that all instances apply consistently.
#![forbid(unsafe_code)]

pub mod acknowledgements;
pub mod clock;
pub mod fleet;
pub mod gossip_store;
pub mod health;
mod health_checks;
pub mod instance;
pub mod liveness;
pub mod overload;
pub mod rendezvous;
pub mod swim;
pub mod view;
pub mod wire;

/// A time on a monotonic clock, by default the host's, or a duration, in milliseconds. Only differences between times are
/// meaningful.
pub type Millis = f64;
