//! The decision module of deckproxy, a request router for caches that fill from parents and an origin.
//!
//! [`interface`] defines the types, events and actions; [`control`] makes every decision. The module does
//! no I/O: a host passes it events with the clock time and executes the actions that it returns.
#![forbid(unsafe_code)]

pub mod control;
pub mod interface;

pub use control::Control;
