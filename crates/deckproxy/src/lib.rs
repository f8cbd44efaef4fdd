//! The gateway: connects clients, caches and the control feed to the decision module.
//!
//! Layers, each of which uses only those before it: `protocol` (messages, without I/O), `transport` (sockets and
//! connections), `routing` (requests and attempts around the decision module, without I/O), `program` (the event loop,
//! the subsystems and the command line).
#![forbid(unsafe_code)]

pub mod program;
pub mod protocol;
pub mod routing;
pub mod transport;
