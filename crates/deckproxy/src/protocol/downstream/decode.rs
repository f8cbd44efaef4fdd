//! Decoding of clients' messages.

use crate::protocol::downstream::error::{ProtocolError, RequestError};
use crate::protocol::downstream::framing::{Scanner, skip_value};
use crate::protocol::downstream::message::{Call, Message, ObjectId};
use crate::protocol::limits;
use bytes::{Buf, Bytes, BytesMut};
use rmp::decode;

/// Number of elements of a request's array, and its message type on the wire.
const REQUEST: (u32, u32) = (4, 0);
/// Number of elements of a notification's array, and its message type on the wire.
const NOTIFICATION: (u32, u32) = (3, 2);
/// Number of hex digits in a name.
const NAME_DIGITS: usize = 16;

/// Incremental decoder of the messages in a byte stream.
#[derive(Debug, Default)]
pub struct Decoder {
    scanner: Scanner,
    /// Whether the message that is being received is dropped.
    drops: bool,
}

impl Decoder {
    /// Removes the next message from the buffer and decodes it, if it is complete.
    ///
    /// # Errors
    /// The input can't be decoded; neither it nor anything after it on the connection can be used.
    pub fn next(&mut self, buffer: &mut BytesMut) -> Result<Option<Message>, ProtocolError> {
        match self.scanner.scan(buffer) {
            Ok(None) => {
                if self.drops {
                    self.drop_scanned(buffer);
                }
                Ok(None)
            }
            Ok(Some(length)) => {
                let complete = buffer.split_to(length);
                self.scanner = Scanner::default();
                let drops = std::mem::take(&mut self.drops);
                if drops { Ok(Some(Message::Ignored)) } else { message(&complete).map(Some) }
            }
            Err(error) => Err(ProtocolError { error, request_id: request_head(buffer).map(|(id, _)| id) }),
        }
    }

    /// Drops the message whose start is in the buffer, and the rest of it as it arrives.
    pub fn drop_message(&mut self, buffer: &mut BytesMut) {
        self.drops = true;
        self.drop_scanned(buffer);
    }

    fn drop_scanned(&mut self, buffer: &mut BytesMut) {
        let bytes = self.scanner.drop_scanned(buffer.len());
        buffer.advance(bytes);
    }

    /// The id of the request at the start of the buffer, if it has been received; the rest may be missing.
    pub fn partial_request(&self, buffer: &[u8]) -> Option<u32> {
        request_head(buffer).map(|(id, _)| id)
    }

    /// Whether a part of a message was received, of which nothing may be left in the buffer.
    pub fn is_mid_message(&self) -> bool {
        self.scanner.is_mid_message()
    }

    /// Minimum number of bytes that are still missing after `have` bytes were received.
    pub fn missing(&self, have: usize) -> usize {
        self.scanner.missing(have)
    }
}

/// Reads a string; on an error, `rest` is unchanged.
fn read_str<'a>(rest: &mut &'a [u8]) -> Result<&'a str, RequestError> {
    let (text, after) = decode::read_str_from_slice(*rest).map_err(|_| RequestError::NotAString)?;
    *rest = after;
    Ok(text)
}

/// Reads the number of elements and the type of a message.
fn read_type(rest: &mut &[u8]) -> Option<(u32, u32)> {
    let count = decode::read_array_len(rest).ok()?;
    let message_type = decode::read_int(rest).ok()?;
    Some((count, message_type))
}

/// The id of a request and the bytes after it; `None` if the message is not a request.
fn request_head(bytes: &[u8]) -> Option<(u32, &[u8])> {
    let mut rest = bytes;
    if read_type(&mut rest)? != REQUEST {
        return None;
    }
    let id = decode::read_int(&mut rest).ok()?;
    Some((id, rest))
}

fn message(complete: &[u8]) -> Result<Message, ProtocolError> {
    match request_head(complete) {
        Some((id, rest)) => Ok(request(id, rest).unwrap_or_else(|error| Message::Invalid { id, error })),
        None => notification(complete).map_err(|error| ProtocolError { error, request_id: None }),
    }
}

fn notification(complete: &[u8]) -> Result<Message, RequestError> {
    let mut rest = complete;
    if read_type(&mut rest).ok_or(RequestError::NotAMessage)? != NOTIFICATION {
        return Err(RequestError::UnknownMessageKind);
    }
    if read_str(&mut rest) != Ok("abort") {
        return Ok(Message::Ignored);
    }
    let count = decode::read_array_len(&mut rest).map_err(|_| RequestError::CancelIdsMissing)?;
    let ids = (0..count).map(|_| decode::read_int(&mut rest).map_err(|_| RequestError::InvalidCancelId));
    ids.collect::<Result<_, _>>().map(Message::Cancel)
}

fn request(id: u32, mut rest: &[u8]) -> Result<Message, RequestError> {
    let method = read_str(&mut rest)?;
    if method == "ping" {
        return Ok(Message::Ping(id));
    }
    if !matches!(decode::read_array_len(&mut rest), Ok(2)) {
        return Err(RequestError::BadParameters);
    }
    let mut call = Call {
        name: "".into(),
        class: method.into(),
        timeout: 0.0,
        idempotency_key: None,
        object: ObjectId { text: "".into(), number: 0 },
        part: None,
        group: 0,
        size_kb: None,
        cached_tag: None,
        is_retry: false,
        body: Bytes::new(),
    };
    let fields = decode::read_map_len(&mut rest).map_err(|_| RequestError::FieldsNotAMap)?;
    for _ in 0..fields {
        read_field(&mut call, &mut rest)?;
    }
    if call.name.is_empty() || call.object.text.is_empty() || call.timeout <= 0.0 {
        return Err(RequestError::FieldMissing);
    }
    call.body = body(rest)?;
    Ok(Message::Call { id, call: Box::new(call) })
}

/// Reads one field into the request, by its name on the wire. Unknown fields are skipped.
fn read_field(call: &mut Call, rest: &mut &[u8]) -> Result<(), RequestError> {
    let Ok(name) = read_str(rest) else {
        skip_value(rest)?;
        return skip_value(rest);
    };
    match name {
        "ref" => call.name = object_id(read_str(rest)?, "ref")?.text,
        "lookup" => call.object = object_id(read_str(rest)?, "lookup")?,
        "allow" => call.timeout = number(read_str(rest)?, "allow")?,
        "room" => call.size_kb = Some(number(read_str(rest)?, "room")?).filter(|kb| *kb > 0.0),
        "seg" => call.part = Some(integer(read_str(rest)?, "seg")?),
        "bucket" => {
            let group = integer(read_str(rest)?, "bucket")?;
            call.group =
                Some(group).filter(|group| *group < limits::GROUPS).ok_or(RequestError::Field("bucket"))?;
        }
        "dup" => {
            if read_str(rest)? != "1" {
                return Err(RequestError::Field("dup"));
            }
            call.is_retry = true;
        }
        "replay" => call.idempotency_key = Some(token(read_str(rest)?, "replay")?),
        "etag" => call.cached_tag = Some(token(read_str(rest)?, "etag")?),
        _ => skip_value(rest)?,
    }
    Ok(())
}

fn body(mut rest: &[u8]) -> Result<Bytes, RequestError> {
    let length = decode::read_bin_len(&mut rest).map_err(|_| RequestError::BodyNotBinary)? as usize;
    if length > limits::CLIENT_BODY {
        return Err(RequestError::BodyTooLarge);
    }
    // A slice would keep the whole read buffer alive, which is many times the size accounted for the body.
    let body = rest.get(..length).ok_or(RequestError::BodyCutShort)?;
    Ok(Bytes::copy_from_slice(body))
}

/// Parses a name of 16 lower-case hex digits.
pub(in crate::protocol) fn object_id(text: &str, field: &'static str) -> Result<ObjectId, RequestError> {
    let is_digit = |byte: u8| matches!(byte, b'0'..=b'9' | b'a'..=b'f');
    if text.len() != NAME_DIGITS || !text.bytes().all(is_digit) {
        return Err(RequestError::Field(field));
    }
    let number = u64::from_str_radix(text, 16).map_err(|_| RequestError::Field(field))?;
    Ok(ObjectId { text: text.into(), number })
}

/// Parses a number in the protocol's form: digits, optionally followed by a point and digits. Signs, exponents and
/// words such as `inf` are refused, as they would be forwarded to members in another form than they were received in.
fn number(text: &str, field: &'static str) -> Result<f64, RequestError> {
    let is_digits = |part: &str| !part.is_empty() && part.bytes().all(|byte| byte.is_ascii_digit());
    let (integer, fraction) = text.split_once('.').unwrap_or((text, "0"));
    let is_plain = text.len() <= limits::DIGITS && is_digits(integer) && is_digits(fraction);
    text.parse().ok().filter(|_| is_plain).ok_or(RequestError::Field(field))
}

/// Parses an integer. Leading zeros are refused, as the number would be forwarded in another form than it was received
/// in.
fn integer(text: &str, field: &'static str) -> Result<u32, RequestError> {
    let is_digits = text.bytes().all(|byte| byte.is_ascii_digit());
    let is_plain = is_digits && (text.len() == 1 || !text.starts_with('0'));
    text.parse().ok().filter(|_| is_plain).ok_or(RequestError::Field(field))
}

/// Checks that a string can be put into the field lists of the members' protocol.
pub(in crate::protocol) fn token(text: &str, field: &'static str) -> Result<Box<str>, RequestError> {
    let is_plain = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.:/".contains(&byte);
    let fits = !text.is_empty() && text.len() <= limits::FIELD && text.bytes().all(is_plain);
    if fits { Ok(text.into()) } else { Err(RequestError::Field(field)) }
}
