//! The decision module of deckproxy, a request router for caches that fill from parents and an origin.
//!
//! [`interface`] holds the types, events and actions; [`control`] holds every decision. The module does no
//! I/O: a host hands it events with the clock time and carries out the actions that it returns.
#![forbid(unsafe_code)]

pub mod control;
pub mod interface;

pub use control::Control;
