//! The clients' side: MessagePack-RPC.
//!
//! A first pass finds where a message ends (`framing`); it keeps its position, so that each byte is looked at once
//! however the message is split, never recurses and never looks into bodies. The complete message is then decoded with
//! `rmp`.

mod decode;
mod encode;
mod error;
mod framing;
mod message;

pub use decode::Decoder;
pub(super) use decode::{object_id, token};
pub use encode::{encode_answer, encode_ready};
pub use error::{ProtocolError, RequestError};
pub use message::{Answer, Call, Message, ObjectId};
