//! The interface of the decision module: settings, events, actions and ids. It holds no logic.

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

/// A clock time or a span, in milliseconds. Only differences of clock times have a meaning.
pub type Millis = f64;
/// Id of a member: a cache, a parent or the origin.
pub type MemberId = u32;
/// Id of a client's request.
pub type RequestId = u32;
