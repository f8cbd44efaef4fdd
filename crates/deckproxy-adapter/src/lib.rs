//! The adapter: carries the decision module's events and actions over the simulator's wire. It only
//! translates.
#![forbid(unsafe_code)]

pub mod host;
pub mod wire;
