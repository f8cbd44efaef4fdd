//! Encoding of answers to clients.
//!
//! Writing to a vector can't fail, so the results of rmp are ignored.

use crate::protocol::downstream::message::Answer;
use bytes::Bytes;
use rmp::encode;

/// Message type of a response on the wire.
const RESPONSE: u64 = 1;

/// Encodes a final answer as three buffers: the bytes before its body, the body, and the bytes after it.
pub fn encode_answer(id: u32, answer: &Answer) -> [Bytes; 3] {
    let mut head = Vec::with_capacity(48);
    response(&mut head, id);
    let mut tail = Vec::new();
    let mut body = Bytes::new();
    match answer {
        Answer::Served(bytes) => {
            body = bytes.clone();
            result(&mut head, body.len());
            let _ = encode::write_map_len(&mut tail, 0);
        }
        Answer::NotModified => {
            result(&mut head, 0);
            let _ = encode::write_map_len(&mut tail, 1);
            field(&mut tail, "notmod", "1");
        }
        Answer::Rejected(retry_after) => {
            let cooldown = (*retry_after >= 1.0).then(|| format!("{:.0}", retry_after.floor()));
            error(&mut tail, "Shed", cooldown.as_deref().map(|cooldown| ("cooldown", cooldown)));
        }
        Answer::Failed => error(&mut tail, "Fault", None),
        Answer::Invalid(what) => error(&mut tail, "Unusable", Some(("why", what.as_str()))),
    }
    [head.into(), body, tail.into()]
}

/// Encodes the answer to a ping.
pub fn encode_ready(id: u32, ready: bool) -> Bytes {
    let mut bytes = Vec::with_capacity(16);
    response(&mut bytes, id);
    let _ = encode::write_nil(&mut bytes);
    let _ = encode::write_array_len(&mut bytes, 2);
    let _ = encode::write_bool(&mut bytes, ready);
    let _ = encode::write_map_len(&mut bytes, 0);
    bytes.into()
}

/// Writes the head of a response.
fn response(out: &mut Vec<u8>, id: u32) {
    let _ = encode::write_array_len(out, 4);
    let _ = encode::write_uint(out, RESPONSE);
    let _ = encode::write_uint(out, u64::from(id));
}

/// Writes a nil error and the head of a result with a body of that length.
fn result(out: &mut Vec<u8>, body: usize) {
    let _ = encode::write_nil(out);
    let _ = encode::write_array_len(out, 2);
    // Bodies are far below 2^32 bytes: members' answers are limited.
    let _ = encode::write_bin_len(out, u32::try_from(body).unwrap_or(u32::MAX));
}

fn field(out: &mut Vec<u8>, name: &str, value: &str) {
    let _ = encode::write_str(out, name);
    let _ = encode::write_str(out, value);
}

/// Writes an error with at most one field, and a nil result.
fn error(out: &mut Vec<u8>, kind: &str, detail: Option<(&str, &str)>) {
    let _ = encode::write_array_len(out, 2);
    let _ = encode::write_str(out, kind);
    let _ = encode::write_map_len(out, u32::from(detail.is_some()));
    if let Some((name, value)) = detail {
        field(out, name, value);
    }
    let _ = encode::write_nil(out);
}
