//! The frames of the simulator's wire: batches of events in, replies of actions out.
//!
//! Fields are little-endian and unpadded. Event records have [`EVENT_BYTES`], action records
//! [`ACTION_BYTES`], and data without a fixed size lies in the frame's tail. Times are milliseconds on both
//! sides.

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
/// Bytes of a line in a member list.
pub const MEMBER_BYTES: usize = 22;
