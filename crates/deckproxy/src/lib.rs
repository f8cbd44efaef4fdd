//! deckproxy on sockets: clients, caches and the control feed around the decision module.
//!
//! Layers, each of which uses only those before it: `protocol` (messages, without I/O), `transport` (sockets and
//! connections), `routing` (requests and attempts around the module, without I/O), `program` (wiring).
#![forbid(unsafe_code)]

pub mod program;
pub mod protocol;
pub mod routing;
pub mod transport;
