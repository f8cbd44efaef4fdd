//! The frames of the simulator's wire protocol: batches of events are received, replies of actions are sent.
//!
//! Fields are little-endian and unpadded. An event record is [`EVENT_BYTES`] long, an action record
//! [`ACTION_BYTES`]; data of variable size is in the frame's tail. Times are in milliseconds.

mod batch;
mod error;
mod event;
mod fields;
mod reply;

pub use batch::{Batch, read_batch};
pub use error::{RecordError, WireError};
pub use event::WireEvent;
pub use reply::Reply;

/// Bytes of an event record.
pub const EVENT_BYTES: usize = 56;
/// Bytes of an action record.
pub const ACTION_BYTES: usize = 40;
/// Bytes of an entry in a member list.
pub const MEMBER_BYTES: usize = 22;
