//! Links between gateways: a four-byte length, followed by a protobuf frame of `deckproxy_sites::frame`.

use crate::protocol::downstream::{self, Call, RequestError};
use crate::protocol::limits;
use bytes::{Buf, BufMut, Bytes, BytesMut};
use deckproxy_sites::frame::{Frame, Request};
use prost::Message;
use std::fmt;

/// Size of the length prefix in bytes.
const LENGTH_PREFIX_BYTES: usize = 4;

/// Why a frame can't be decoded. Nothing that follows on its connection can be decoded either.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameError {
    /// Its length is over the limit.
    TooLong,
    /// It is not a protobuf frame.
    Unreadable,
}

impl fmt::Display for FrameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            FrameError::TooLong => "a frame over the limit",
            FrameError::Unreadable => "a frame that can't be read",
        })
    }
}

impl std::error::Error for FrameError {}

/// Decoder of the frames in a byte stream.
#[derive(Debug, Default)]
pub struct Decoder;

/// The length of the frame at the start of `bytes`, if the length prefix is complete.
fn frame_length(bytes: &[u8]) -> Option<usize> {
    let length = bytes.first_chunk::<LENGTH_PREFIX_BYTES>()?;
    Some(u32::from_be_bytes(*length) as usize)
}

impl Decoder {
    /// Removes the next frame from the buffer and decodes it, if it is complete. Its length is checked before anything
    /// is allocated for it.
    ///
    /// # Errors
    /// The input can't be decoded; neither it nor anything after it on the connection can be used.
    pub fn next(&self, buffer: &mut BytesMut) -> Result<Option<Frame>, FrameError> {
        let Some(length) = frame_length(buffer) else { return Ok(None) };
        if length > limits::LINK_FRAME {
            return Err(FrameError::TooLong);
        }
        if buffer.len() < LENGTH_PREFIX_BYTES + length {
            return Ok(None);
        }
        buffer.advance(LENGTH_PREFIX_BYTES);
        let frame = buffer.split_to(length).freeze();
        // The decoder drops fields that only a later version knows.
        Frame::decode(frame).map(Some).map_err(|_| FrameError::Unreadable)
    }

    /// Minimum number of bytes that are still missing.
    pub fn missing(&self, buffer: &[u8]) -> usize {
        let length = frame_length(buffer).unwrap_or(0);
        (LENGTH_PREFIX_BYTES + length.min(limits::LINK_FRAME)).saturating_sub(buffer.len())
    }
}

/// Encodes a frame.
pub fn encode_frame(frame: &Frame) -> Bytes {
    let length = frame.encoded_len();
    let mut bytes = BytesMut::with_capacity(LENGTH_PREFIX_BYTES + length);
    // A frame is far below 2^32 bytes, as bodies are sent in chunks.
    bytes.put_u32(u32::try_from(length).unwrap_or(u32::MAX));
    // Fails only if the buffer is too small; it has room for the whole frame.
    let _ = frame.encode(&mut bytes);
    bytes.freeze()
}

/// Converts a client's request into a request to another site; its number and remaining time are set when it is sent.
pub fn request_from_call(call: &Call, path: Vec<String>) -> Request {
    Request {
        number: 0,
        name: call.name.to_string(),
        class: call.class.to_string(),
        time_left: call.timeout,
        idempotency_key: call.idempotency_key.as_deref().map(str::to_string),
        object: call.object.text.to_string(),
        part: call.part,
        group: call.group,
        size_kb: call.size_kb,
        cached_tag: call.cached_tag.as_deref().map(str::to_string),
        site_path: path,
        body: call.body.clone(),
    }
}

/// Converts a request forwarded by another site, which is validated by the same rules as a client's.
///
/// # Errors
/// A field has an invalid value. The error names the idempotency key `key` and the cached tag `have`; a size or a
/// remaining time that is out of range has a variant of its own.
pub fn call_from_request(request: Request) -> Result<Call, RequestError> {
    let idempotency_key =
        request.idempotency_key.as_deref().map(|key| downstream::token(key, "key")).transpose()?;
    let cached_tag = request.cached_tag.as_deref().map(|tag| downstream::token(tag, "have")).transpose()?;
    if request.class.len() > limits::FIELD {
        return Err(RequestError::Field("class"));
    }
    if request.group >= limits::GROUPS {
        return Err(RequestError::Field("group"));
    }
    if request.body.len() > limits::CLIENT_BODY {
        return Err(RequestError::BodyTooLarge);
    }
    let size_kb = request.size_kb.filter(|kb| *kb > 0.0);
    if size_kb.is_some_and(|kb| !kb.is_finite()) || !request.time_left.is_finite() || request.time_left <= 0.0
    {
        return Err(RequestError::SizeOrTimeoutOutOfRange);
    }
    Ok(Call {
        name: downstream::object_id(&request.name, "name")?.text,
        class: request.class.into(),
        timeout: request.time_left,
        idempotency_key,
        object: downstream::object_id(&request.object, "object")?,
        part: request.part,
        group: request.group,
        size_kb,
        cached_tag,
        // Retries are counted at the site that received the client's request.
        is_retry: false,
        // A slice would keep the whole frame alive.
        body: Bytes::copy_from_slice(&request.body),
    })
}
