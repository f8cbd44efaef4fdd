//! The protocol of clients: MessagePack-RPC.
//!
//! A first pass finds the end of a message (`framing`). It saves its position, so that completed values are not scanned
//! again however the message is split; it never recurses and skips bodies. The complete message is then decoded with
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
