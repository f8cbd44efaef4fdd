//! The adapter: carries deckproxy's decisions over the simulator's wire. It only translates.
#![forbid(unsafe_code)]

pub mod host;
pub mod wire;
