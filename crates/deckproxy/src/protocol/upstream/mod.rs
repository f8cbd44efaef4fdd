//! The protocol of members (caches, parents, the origin): RESP arrays of bulk strings.

mod decode;
mod encode;
mod message;

pub use decode::{Decoder, ReplyError};
pub use encode::{encode_attempt, encode_cancel, encode_health_check};
pub use message::{AttemptOptions, CopyInfo, Reply, Status};
