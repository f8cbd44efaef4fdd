//! Translates between the simulator's wire protocol and the decision module's events and actions.
#![forbid(unsafe_code)]

pub mod host;
pub mod wire;
