//! The interface of the decision module: settings, events, actions and ids. It contains no logic.

mod action;
mod attempt;
mod event;
mod member;
mod settings;

pub use action::{Action, GetOptions};
pub use attempt::{AttemptEnding, FillNote, LoadReport, Request};
pub use event::Event;
pub use member::{Lifecycle, ListKind, Member};
pub use settings::{Class, Group, Idempotency, Settings, Siblings, SlowStart};

/// A clock time or a duration in milliseconds. Clock times have no fixed epoch; only their differences
/// are meaningful.
pub type Millis = f64;
/// Id of a member: a cache, a parent or the origin.
pub type MemberId = u32;
/// Id of a client's request.
pub type RequestId = u32;
