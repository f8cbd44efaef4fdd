//! What the instances of one fleet know of each other, and what they do together.
//!
//! A state machine without I/O and clock: datagrams, results of health checks, the list of members and the time go in;
//! datagrams, health checks and the set of ejected members come out ([`fleet::Fleet`]). Each instance decides alone at any
//! moment; what it receives only makes it decide better, and nothing waits for it. See `docs/design/fleet.md`.
//!
//! - [`instance`]: names, incarnations and which of several counts.
//! - [`wire`]: datagrams, and why one is dropped.
//! - [`clock`]: time that stands still while the process is paused.
//! - [`swim`]: membership by SWIM (the crate `foca`).
//! - [`gossip_store`]: small versioned entries of each instance, replicated to all.
//! - [`liveness`], [`acknowledgements`], [`view`]: which instances are alive, whether they hear us, and whether this part
//!   of the fleet is the majority.
//! - [`rendezvous`]: which instance observes which member.
//! - [`health`]: from health checks and attempts to the ejection of members.
//! - [`overload`]: load shedding and retry-after times that all instances apply alike.
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

/// A time of the host's monotonic clock, or a span, in milliseconds. Only differences of times mean anything.
pub type Millis = f64;
