//! Splits a byte stream into messages: IPFIX over TCP (RFC 7011, 10.4).

use super::DecodeError;
use crate::codec::{IPFIX_HEADER_LENGTH, Version};
use bytes::{Bytes, BytesMut};

/// Buffers a byte stream and returns its messages. The buffer has no limit of its own: the caller must remove all
/// complete messages after each [`MessageSplitter::push`], so that at most one message of 65,535 bytes remains.
#[derive(Debug, Default)]
pub struct MessageSplitter {
    buffer: BytesMut,
}

impl MessageSplitter {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Removes and returns the next complete message, or `None` if more bytes are needed.
    ///
    /// # Errors
    /// The stream is not IPFIX, or a length is invalid; the following messages can't be located.
    pub fn next_message(&mut self) -> Result<Option<Bytes>, DecodeError> {
        let Some(head) = self.buffer.get(..4) else { return Ok(None) };
        let version = u16::from_be_bytes([head[0], head[1]]);
        let length = usize::from(u16::from_be_bytes([head[2], head[3]]));
        if version != Version::Ipfix.number() {
            return Err(DecodeError::UnknownVersion);
        }
        if length < IPFIX_HEADER_LENGTH {
            return Err(DecodeError::InvalidLength);
        }
        if self.buffer.len() < length {
            return Ok(None);
        }
        Ok(Some(self.buffer.split_to(length).freeze()))
    }
}
