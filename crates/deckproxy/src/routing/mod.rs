//! Requests, attempts, members and timers around the decision module; sans-I/O. Typed input in, typed effects out.

pub mod counters;
pub mod members;
pub mod router;
pub mod timers;
