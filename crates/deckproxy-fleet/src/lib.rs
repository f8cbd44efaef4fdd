//! What the instances of one fleet know of each other, and what they do as one.
//!
//! A state machine without I/O and clock: datagrams, probes' results, the list of members and the time go in, datagrams,
//! probes and what the fleet holds of members come out ([`fleet::Fleet`]). Each instance decides alone at any moment;
//! what it hears only makes it decide better, and nobody waits for it. See `docs/design/fleet.md`.
//!
//! - [`instance`]: who is who, and which life of a name counts.
//! - [`wire`]: datagrams, and why one is not believed.
//! - [`clock`]: time that stands still while the process does.
//! - [`swim`]: who is there, by SWIM (the crate `foca`).
//! - [`gossip_store`]: small versioned entries of each instance, the same at all that hear each other.
//! - [`view`]: how sure an instance is of what it sees.
//! - [`rendezvous`]: who probes which member, and how often, whatever falls apart.
//! - [`health`]: from probes and attempts to what the fleet holds of a member.
//! - [`overload`]: who sheds what, and who may come back when, as one.
#![forbid(unsafe_code)]

pub mod clock;
pub mod fleet;
pub mod gossip_store;
pub mod health;
pub mod instance;
pub mod overload;
mod probing;
pub mod rendezvous;
pub mod swim;
pub mod view;
pub mod wire;

/// A time of the host's monotonic clock, or a span, in milliseconds. Only differences of times mean anything.
pub type Millis = f64;
