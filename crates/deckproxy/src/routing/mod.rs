//! Requests, attempts, members and timers around the decision module, without I/O.

mod actions;
mod answer_sizes;
mod attempt_key;
mod attempts;
mod cancellation;
mod completion;
pub mod counters;
mod deadline;
mod effect;
mod feed_events;
mod health_checks;
mod intake;
pub mod members;
pub mod recent_names;
mod requests;
mod router;
pub mod timers;

pub use attempt_key::AttemptKey;
pub use effect::{ClientId, ConnectionFailure, Effect};
pub use router::Router;
