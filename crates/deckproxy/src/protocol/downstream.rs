//! The clients' side: MessagePack-RPC.
//!
//! A first pass finds where a message ends; it keeps its place, so that each byte is looked at once however the
//! message is split, never recurses and never looks into bodies. The whole message is then decoded with `rmp`.

use crate::protocol::limits;
use bytes::{Bytes, BytesMut};
use rmp::Marker;
use rmp::decode;

/// A client's request.
#[derive(Clone, Debug, PartialEq)]
pub struct Call {
    /// The client's name for it; passed on.
    pub name: Box<str>,
    /// The class.
    pub class: Box<str>,
    /// How long the client waits, ms.
    pub allow: f64,
    /// The idempotency key.
    pub key: Option<Box<str>>,
    /// The object's name, as it is passed on, and as a number.
    pub object: (Box<str>, u64),
    /// The part, if named.
    pub part: Option<u32>,
    /// The object's group.
    pub group: u32,
    /// The part's size in KB.
    pub size: Option<f64>,
    /// The tag of the client's copy.
    pub have: Option<Box<str>>,
    /// The client marks it as one that it has asked before.
    pub again: bool,
    /// The body.
    pub body: Bytes,
}

/// A message from a client.
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    /// A request, under the client's id.
    Call(u32, Box<Call>),
    /// The question whether the gateway is ready.
    Ping(u32),
    /// Requests that the client gives up.
    Abort(Vec<u32>),
    /// A request that can't be used, and why.
    Unusable(u32, &'static str),
    /// A notification that means nothing here.
    Ignored,
}

/// A final answer.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// Served.
    Served(Bytes),
    /// The client's copy is the one that would be served.
    Unchanged,
    /// Refused, with the time to stay away in ms if one is named.
    Refused(f64),
    /// Failed.
    Failed,
    /// The request could not be used.
    Unusable(&'static str),
}

/// The connection can't be understood any further.
#[derive(Clone, Debug, PartialEq)]
pub struct Broken {
    /// What was wrong.
    pub why: &'static str,
    /// The id of the request that was being read, if it could be.
    pub id: Option<u32>,
}

/// Finds the messages in a stream of bytes.
#[derive(Debug, Default)]
pub struct Decoder {
    /// Bytes of the message that were passed over; may lie beyond what has come.
    at: usize,
    /// Within a message, values still to pass over. None are left while the end of the last one, a body, is
    /// still to come: that is not the same as standing between messages.
    left: Option<u64>,
    values: u64,
}

/// Bytes and further values that a value takes, its head given; none: the head is not whole.
fn extent(bytes: &[u8]) -> Result<Option<(usize, u64)>, &'static str> {
    let Some(first) = bytes.first() else { return Ok(None) };
    let number = |size: usize| {
        let text = bytes.get(1..1 + size)?;
        Some(text.iter().fold(0usize, |n, b| n << 8 | usize::from(*b)))
    };
    let data = |size: usize, more: usize| number(size).map(|n| (1 + size + more + n, 0));
    let list = |size: usize, each: u64| number(size).map(|n| (1 + size, each * n as u64));
    Ok(match Marker::from_u8(*first) {
        Marker::FixPos(_) | Marker::FixNeg(_) | Marker::Null | Marker::True | Marker::False => Some((1, 0)),
        Marker::U8 | Marker::I8 => Some((2, 0)),
        Marker::U16 | Marker::I16 => Some((3, 0)),
        Marker::U32 | Marker::I32 | Marker::F32 => Some((5, 0)),
        Marker::U64 | Marker::I64 | Marker::F64 => Some((9, 0)),
        Marker::FixStr(n) => Some((1 + usize::from(n), 0)),
        Marker::Str8 | Marker::Bin8 => data(1, 0),
        Marker::Str16 | Marker::Bin16 => data(2, 0),
        Marker::Str32 | Marker::Bin32 => data(4, 0),
        Marker::FixExt1 => Some((3, 0)),
        Marker::FixExt2 => Some((4, 0)),
        Marker::FixExt4 => Some((6, 0)),
        Marker::FixExt8 => Some((10, 0)),
        Marker::FixExt16 => Some((18, 0)),
        Marker::Ext8 => data(1, 1),
        Marker::Ext16 => data(2, 1),
        Marker::Ext32 => data(4, 1),
        Marker::FixArray(n) => Some((1, u64::from(n))),
        Marker::Array16 => list(2, 1),
        Marker::Array32 => list(4, 1),
        Marker::FixMap(n) => Some((1, 2 * u64::from(n))),
        Marker::Map16 => list(2, 2),
        Marker::Map32 => list(4, 2),
        Marker::Reserved => return Err("a reserved byte"),
    })
}

impl Decoder {
    /// Takes the next message off the buffer, if it is there whole.
    pub fn next(&mut self, buffer: &mut BytesMut) -> Result<Option<Message>, Broken> {
        match self.scan(buffer) {
            Ok(false) => Ok(None),
            Ok(true) => {
                let whole = buffer.split_to(self.at);
                *self = Decoder::default();
                message(&whole).map(Some)
            }
            Err(why) => Err(Broken { why, id: head(buffer).ok().map(|(id, ..)| id) }),
        }
    }

    /// Bytes that are missing at least.
    pub fn lacks(&self, have: usize) -> usize {
        self.at.saturating_sub(have)
    }

    fn scan(&mut self, bytes: &[u8]) -> Result<bool, &'static str> {
        if self.left.is_none() {
            match bytes.first().map(|b| Marker::from_u8(*b)) {
                None => return Ok(false),
                Some(Marker::FixArray(_) | Marker::Array16 | Marker::Array32) => self.left = Some(1),
                Some(_) => return Err("not a message"),
            }
        }
        let mut left = self.left.unwrap_or(0);
        while left > 0 && self.at < bytes.len() {
            let Some((len, more)) = extent(&bytes[self.at..])? else { return Ok(false) };
            self.at += len;
            self.values += 1;
            left = left - 1 + more;
            self.left = Some(left);
            if self.at > limits::CLIENT_MESSAGE || self.values + left > limits::CLIENT_VALUES {
                return Err("a message over the limit");
            }
        }
        Ok(left == 0 && self.at <= bytes.len())
    }
}

/// Passes over one value of a whole message.
fn skip(rest: &mut &[u8]) -> Result<(), &'static str> {
    let mut left = 1;
    while left > 0 {
        let (len, more) = extent(rest)?.ok_or("a value cut short")?;
        *rest = rest.get(len..).ok_or("a value cut short")?;
        left = left - 1 + more;
    }
    Ok(())
}

/// Reads a text where there is one.
fn text<'a>(rest: &mut &'a [u8]) -> Result<&'a str, &'static str> {
    let (text, after) = decode::read_str_from_slice(*rest).map_err(|_| "not a text")?;
    *rest = after;
    Ok(text)
}

/// The kind of a message, the id of a request, and what follows.
fn head(bytes: &[u8]) -> Result<(u32, &[u8]), &'static str> {
    let mut rest = bytes;
    let count = decode::read_array_len(&mut rest).map_err(|_| "not a message")?;
    let kind: u32 = decode::read_int(&mut rest).map_err(|_| "not a message")?;
    if count != 4 || kind != 0 {
        return Err("not a request");
    }
    let id = decode::read_int(&mut rest).map_err(|_| "no message id")?;
    Ok((id, rest))
}

fn message(whole: &[u8]) -> Result<Message, Broken> {
    let Ok((id, rest)) = head(whole) else {
        return notification(whole).map_err(|why| Broken { why, id: None });
    };
    Ok(request(id, rest).unwrap_or_else(|why| Message::Unusable(id, why)))
}

fn notification(whole: &[u8]) -> Result<Message, &'static str> {
    let mut rest = whole;
    let count = decode::read_array_len(&mut rest).map_err(|_| "not a message")?;
    let kind: u32 = decode::read_int(&mut rest).map_err(|_| "not a message")?;
    if (count, kind) != (3, 2) {
        return Err("neither a request nor a notification");
    }
    if text(&mut rest) != Ok("abort") {
        return Ok(Message::Ignored);
    }
    let count = decode::read_array_len(&mut rest).map_err(|_| "abort without ids")?;
    let ids = (0..count).map(|_| decode::read_int(&mut rest).map_err(|_| "abort of no id"));
    ids.collect::<Result<_, _>>().map(Message::Abort)
}

fn request(id: u32, mut rest: &[u8]) -> Result<Message, &'static str> {
    let method = text(&mut rest)?;
    if method == "ping" {
        return Ok(Message::Ping(id));
    }
    if !matches!(decode::read_array_len(&mut rest), Ok(2)) {
        return Err("parameters are not fields and a body");
    }
    let fields = decode::read_map_len(&mut rest).map_err(|_| "fields are not a map")?;
    let mut call = Call {
        name: "".into(),
        class: method.into(),
        allow: 0.0,
        key: None,
        object: ("".into(), 0),
        part: None,
        group: 0,
        size: None,
        have: None,
        again: false,
        body: Bytes::new(),
    };
    for _ in 0..fields {
        let Ok(name) = text(&mut rest) else {
            skip(&mut rest)?;
            skip(&mut rest)?;
            continue;
        };
        match name {
            "ref" => call.name = hex(text(&mut rest)?, "ref")?.0,
            "lookup" => call.object = hex(text(&mut rest)?, "lookup")?,
            "allow" => call.allow = number(text(&mut rest)?, "allow")?,
            "room" => call.size = Some(number(text(&mut rest)?, "room")?).filter(|kb| *kb > 0.0),
            "seg" => call.part = Some(whole_number(text(&mut rest)?, "seg")?),
            "bucket" => {
                let group = whole_number(text(&mut rest)?, "bucket")?;
                call.group = Some(group).filter(|n| *n < limits::GROUPS).ok_or("bucket")?;
            }
            "dup" => {
                if text(&mut rest)? != "1" {
                    return Err("dup");
                }
                call.again = true;
            }
            "replay" => call.key = Some(word(text(&mut rest)?, "replay")?),
            "etag" => call.have = Some(word(text(&mut rest)?, "etag")?),
            _ => skip(&mut rest)?,
        }
    }
    if call.name.is_empty() || call.object.0.is_empty() || call.allow <= 0.0 {
        return Err("ref, lookup or allow is missing");
    }
    let length = decode::read_bin_len(&mut rest).map_err(|_| "the body is not binary")? as usize;
    if length > limits::CLIENT_BODY {
        return Err("the body is over the limit");
    }
    if rest.len() < length {
        return Err("the body is cut short");
    }
    // A slice would keep the whole buffer alive that it came in, many times what is counted for it.
    call.body = Bytes::copy_from_slice(&rest[..length]);
    Ok(Message::Call(id, Box::new(call)))
}

/// A name of 16 hex digits.
pub(super) fn hex(text: &str, field: &'static str) -> Result<(Box<str>, u64), &'static str> {
    if text.len() != 16 || !text.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f')) {
        return Err(field);
    }
    u64::from_str_radix(text, 16).map(|n| (text.into(), n)).map_err(|_| field)
}

/// A number as the page writes it: digits, perhaps a point and digits. What else may be read as a number, as a sign,
/// an exponent or a word, would go on to members in another form than it came.
fn number(text: &str, field: &'static str) -> Result<f64, &'static str> {
    let digits = |part: &str| !part.is_empty() && part.bytes().all(|b| b.is_ascii_digit());
    let (whole, fraction) = text.split_once('.').unwrap_or((text, "0"));
    let plain = text.len() <= limits::DIGITS && digits(whole) && digits(fraction);
    text.parse().ok().filter(|_| plain).ok_or(field)
}

/// A whole number; one with zeros in front would go on in another form than it came.
fn whole_number(text: &str, field: &'static str) -> Result<u32, &'static str> {
    let plain = text.bytes().all(|b| b.is_ascii_digit()) && (text.len() == 1 || !text.starts_with('0'));
    text.parse().ok().filter(|_| plain).ok_or(field)
}

/// A text that can stand in the members' lists of fields.
pub(super) fn word(text: &str, field: &'static str) -> Result<Box<str>, &'static str> {
    let plain = |b: u8| b.is_ascii_alphanumeric() || b"-_.:/".contains(&b);
    let fits = !text.is_empty() && text.len() <= limits::FIELD && text.bytes().all(plain);
    if fits { Ok(text.into()) } else { Err(field) }
}

/// Encodes a final answer: what comes before its body, its body, what comes after.
pub fn answer(id: u32, answer: &Answer) -> [Bytes; 3] {
    let mut head = Vec::with_capacity(48);
    begin(&mut head, id);
    let mut tail = Vec::new();
    let mut body = Bytes::new();
    match answer {
        Answer::Served(bytes) => {
            body = bytes.clone();
            served(&mut head, body.len());
            let _ = rmp::encode::write_map_len(&mut tail, 0);
        }
        Answer::Unchanged => {
            served(&mut head, 0);
            let _ = rmp::encode::write_map_len(&mut tail, 1);
            pair(&mut tail, "notmod", "1");
        }
        Answer::Refused(wait) => {
            let wait = (*wait >= 1.0).then(|| format!("{:.0}", wait.floor()));
            error(&mut tail, "Shed", wait.as_deref().map(|w| ("cooldown", w)));
        }
        Answer::Failed => error(&mut tail, "Fault", None),
        Answer::Unusable(why) => error(&mut tail, "Unusable", Some(("why", why))),
    }
    [head.into(), body, tail.into()]
}

/// Encodes the answer to a ping.
pub fn ready(id: u32, ready: bool) -> Bytes {
    let mut bytes = Vec::with_capacity(16);
    begin(&mut bytes, id);
    let _ = rmp::encode::write_nil(&mut bytes);
    let _ = rmp::encode::write_array_len(&mut bytes, 2);
    let _ = rmp::encode::write_bool(&mut bytes, ready);
    let _ = rmp::encode::write_map_len(&mut bytes, 0);
    bytes.into()
}

// Writing to a vector can't fail; what rmp returns is dropped in what follows and above.

fn begin(out: &mut Vec<u8>, id: u32) {
    let _ = rmp::encode::write_array_len(out, 4);
    let _ = rmp::encode::write_uint(out, 1);
    let _ = rmp::encode::write_uint(out, u64::from(id));
}

fn served(out: &mut Vec<u8>, body: usize) {
    let _ = rmp::encode::write_nil(out);
    let _ = rmp::encode::write_array_len(out, 2);
    let _ = rmp::encode::write_bin_len(out, body as u32);
}

fn pair(out: &mut Vec<u8>, name: &str, value: &str) {
    let _ = rmp::encode::write_str(out, name);
    let _ = rmp::encode::write_str(out, value);
}

fn error(out: &mut Vec<u8>, word: &str, field: Option<(&str, &str)>) {
    let _ = rmp::encode::write_array_len(out, 2);
    let _ = rmp::encode::write_str(out, word);
    let _ = rmp::encode::write_map_len(out, u32::from(field.is_some()));
    field.into_iter().for_each(|(name, value)| pair(out, name, value));
    let _ = rmp::encode::write_nil(out);
}
