//! Links between gateways: a length of four bytes, then a protobuf frame of `deckproxy_sites::frame`.

use crate::protocol::downstream::{self, Call};
use crate::protocol::limits;
use bytes::{Buf, BufMut, Bytes, BytesMut};
use deckproxy_sites::frame::{Ask, Frame};
use prost::Message;

/// Bytes of a frame's length.
const LENGTH: usize = 4;

/// Finds the frames in a stream of bytes.
#[derive(Debug, Default)]
pub struct Decoder;

impl Decoder {
    /// Takes the next frame off the buffer, if it is there whole. Its length is looked at before room is made for it.
    pub fn next(&self, buffer: &mut BytesMut) -> Result<Option<Frame>, &'static str> {
        let Some(length) = buffer.get(..LENGTH) else { return Ok(None) };
        let length = u32::from_be_bytes([length[0], length[1], length[2], length[3]]) as usize;
        if length > limits::LINK_FRAME {
            return Err("a frame over the limit");
        }
        if buffer.len() < LENGTH + length {
            return Ok(None);
        }
        buffer.advance(LENGTH);
        let frame =
            Frame::decode(buffer.split_to(length).freeze()).map_err(|_| "a frame that can't be read")?;
        // A later version may say what is not known here; it counts as nothing said.
        Ok(Some(frame))
    }

    /// Bytes that are missing at least.
    pub fn lacks(&self, buffer: &[u8]) -> usize {
        let length =
            buffer.get(..LENGTH).map_or(0, |l| u32::from_be_bytes([l[0], l[1], l[2], l[3]]) as usize);
        (LENGTH + length.min(limits::LINK_FRAME)).saturating_sub(buffer.len())
    }
}

/// Encodes a frame.
pub fn frame(frame: &Frame) -> Bytes {
    let length = frame.encoded_len();
    let mut bytes = BytesMut::with_capacity(LENGTH + length);
    bytes.put_u32(length as u32);
    // Fails only where the buffer is too small, which it is not.
    let _ = frame.encode(&mut bytes);
    bytes.freeze()
}

/// A client's request as it crosses; number and time left are filled in when it is sent.
pub fn ask(call: &Call, path: Vec<String>) -> Ask {
    Ask {
        number: 0,
        name: call.name.to_string(),
        class: call.class.to_string(),
        allow: call.allow,
        key: call.key.as_deref().map(str::to_string),
        object: call.object.0.to_string(),
        part: call.part,
        group: call.group,
        size: call.size,
        have: call.have.as_deref().map(str::to_string),
        path,
        // What is kept for a repeat must not keep the whole buffer alive that it came in.
        body: call.body.clone(),
    }
}

/// A request that came over a link, held to the same rules as a client's.
pub fn call(ask: Ask) -> Result<Call, &'static str> {
    let key = ask.key.as_deref().map(|key| downstream::word(key, "key")).transpose()?;
    let have = ask.have.as_deref().map(|have| downstream::word(have, "have")).transpose()?;
    if ask.class.len() > limits::FIELD {
        return Err("class");
    }
    if ask.group >= limits::GROUPS {
        return Err("group");
    }
    if ask.body.len() > limits::CLIENT_BODY {
        return Err("the body is over the limit");
    }
    let size = ask.size.filter(|kb| *kb > 0.0);
    if size.is_some_and(|kb| !kb.is_finite()) || !ask.allow.is_finite() || ask.allow <= 0.0 {
        return Err("size or allow is out of range");
    }
    Ok(Call {
        name: downstream::hex(&ask.name, "name")?.0,
        class: ask.class.into(),
        allow: ask.allow,
        key,
        object: downstream::hex(&ask.object, "object")?,
        part: ask.part,
        group: ask.group,
        size,
        have,
        // It is counted where the client asked.
        again: false,
        body: Bytes::copy_from_slice(&ask.body),
    })
}
