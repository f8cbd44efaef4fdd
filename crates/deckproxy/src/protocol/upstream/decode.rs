//! Decoding of members' answers.
//!
//! The decoder is hand-written: it saves its position in a partially received message, checks each length before it
//! allocates for it, and returns large bodies as slices of the read buffer.

use crate::protocol::limits;
use crate::protocol::upstream::message::{CopyInfo, Reply, Status};
use bytes::{Bytes, BytesMut};
use std::fmt;
use std::ops::Range;

/// Why a member's answer can't be decoded. Nothing that follows on its connection can be decoded either.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplyError {
    /// A string is not terminated at the end of its declared length.
    UnterminatedString,
    /// A line that should contain a length does not.
    InvalidLength,
    /// A string is longer than the limit.
    StringTooLong,
    /// The message is not an array of bulk strings, or the array's length is not allowed.
    NotAReply,
    /// The id, the status or the fields are not UTF-8.
    NotUtf8,
    /// The status is unknown.
    UnknownStatus,
    /// A served answer has no body.
    BodyMissing,
}

impl fmt::Display for ReplyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ReplyError::UnterminatedString => "a string without its end",
            ReplyError::InvalidLength => "no length",
            ReplyError::StringTooLong => "a string over the limit",
            ReplyError::NotAReply => "not an answer",
            ReplyError::NotUtf8 => "not a text",
            ReplyError::UnknownStatus => "an unknown word",
            ReplyError::BodyMissing => "an answer without its body",
        })
    }
}

impl std::error::Error for ReplyError {}

/// A length line is invalid with more bytes than this, or with as many digits; valid lengths are much shorter.
const LENGTH_LINE_LIMIT: usize = 16;
/// Terminator of lines and strings.
const LINE_END: &[u8; 2] = b"\r\n";

/// Position of an answer's request name or health check tag.
const ID: usize = 0;
/// Position of its status.
const STATUS: usize = 1;
/// Position of its fields.
const FIELDS: usize = 2;
/// Position of its body.
const BODY: usize = 3;

/// Incremental decoder of the answers in a byte stream.
#[derive(Debug, Default)]
pub struct Decoder {
    /// Start of the next line or string.
    position: usize,
    /// Offset up to which that line was searched for its terminator.
    searched: usize,
    /// Strings of the message not yet received; 0 between messages.
    strings_left: usize,
    /// Length of the string that starts at `position`, once its length line has been read.
    length: Option<usize>,
    /// The strings received so far of the current message.
    strings: Vec<Range<usize>>,
}

impl Decoder {
    /// Removes the next answer from the buffer and decodes it, if it is complete.
    ///
    /// # Errors
    /// The input can't be decoded; neither it nor anything after it on the connection can be used.
    pub fn next(&mut self, buffer: &mut BytesMut) -> Result<Option<Reply>, ReplyError> {
        loop {
            if let Some(length) = self.length {
                if !self.read_string(buffer, length)? {
                    return Ok(None);
                }
                if self.strings_left == 0 {
                    let complete = buffer.split_to(self.position).freeze();
                    let strings = std::mem::take(self).strings;
                    return decode_reply(&complete, &strings).map(Some);
                }
            } else if !self.read_length_line(buffer)? {
                return Ok(None);
            }
        }
    }

    /// Reads a string of that length and its terminator; returns whether it was complete.
    fn read_string(&mut self, buffer: &[u8], length: usize) -> Result<bool, ReplyError> {
        let end = self.position + length;
        let after = end + LINE_END.len();
        if buffer.len() < after {
            return Ok(false);
        }
        if &buffer[end..after] != LINE_END {
            return Err(ReplyError::UnterminatedString);
        }
        self.strings.push(self.position..end);
        (self.position, self.searched, self.length) = (after, after, None);
        self.strings_left -= 1;
        Ok(true)
    }

    /// Reads the length line of an array or a string; returns whether it was complete.
    fn read_length_line(&mut self, buffer: &[u8]) -> Result<bool, ReplyError> {
        let from = self.searched.max(self.position);
        let Some(offset) = buffer[from..].windows(LINE_END.len()).position(|pair| pair == LINE_END) else {
            // The last byte may be the first half of a terminator.
            self.searched = buffer.len().saturating_sub(1).max(self.position);
            let too_long = buffer.len() - self.position > LENGTH_LINE_LIMIT;
            return if too_long { Err(ReplyError::InvalidLength) } else { Ok(false) };
        };
        let end = from + offset;
        let line = &buffer[self.position..end];
        let number = parse_length(line).ok_or(ReplyError::InvalidLength)?;
        (self.position, self.searched) = (end + LINE_END.len(), end + LINE_END.len());
        match (self.strings_left, line.first()) {
            (0, Some(b'*')) if (2..=limits::MEMBER_STRINGS).contains(&number) => self.strings_left = number,
            (1.., Some(b'$')) => {
                let limit = if self.strings.len() == BODY { limits::OBJECT } else { limits::MEMBER_TEXT };
                if number > limit {
                    return Err(ReplyError::StringTooLong);
                }
                self.length = Some(number);
            }
            _ => return Err(ReplyError::NotAReply),
        }
        Ok(true)
    }

    /// Minimum number of bytes that are still missing after `have` bytes were received.
    pub fn missing(&self, have: usize) -> usize {
        self.length.map_or(0, |length| (self.position + length + LINE_END.len()).saturating_sub(have))
    }
}

/// The length in a line, after its type byte.
fn parse_length(line: &[u8]) -> Option<usize> {
    let digits = std::str::from_utf8(line.get(1..)?).ok()?;
    let is_plain = digits.bytes().all(|byte| byte.is_ascii_digit()) && digits.len() < LENGTH_LINE_LIMIT;
    digits.parse().ok().filter(|_| is_plain)
}

fn decode_reply(complete: &Bytes, strings: &[Range<usize>]) -> Result<Reply, ReplyError> {
    let text = |position: usize| match strings.get(position) {
        Some(range) => std::str::from_utf8(&complete[range.clone()]).map_err(|_| ReplyError::NotUtf8),
        None => Ok(""),
    };
    let id = text(ID)?;
    let status = parse_status(text(STATUS)?)?;
    if status == Status::Ok && strings.len() <= BODY {
        return Err(ReplyError::BodyMissing);
    }
    let fields = text(FIELDS)?;
    let served = matches!(status, Status::Ok | Status::NotModified);
    Ok(Reply {
        id: id.into(),
        status,
        load_report: load_report(fields),
        copy: if served { copy_info(fields) } else { None },
        body: body(complete, strings.get(BODY)),
    })
}

fn parse_status(word: &str) -> Result<Status, ReplyError> {
    Ok(match word {
        "200" => Status::Ok,
        "304" => Status::NotModified,
        "404" => Status::Miss,
        "503" => Status::Rejected,
        "500" => Status::Error,
        "504" => Status::Expired,
        "alive" => Status::Health(true),
        "dead" => Status::Health(false),
        _ => return Err(ReplyError::UnknownStatus),
    })
}

fn body(complete: &Bytes, range: Option<&Range<usize>>) -> Bytes {
    let Some(range) = range else { return Bytes::new() };
    if range.len() < limits::SMALL_BODY {
        // A slice would keep the whole read buffer alive, which is many times the size of the body.
        return Bytes::copy_from_slice(&complete[range.clone()]);
    }
    complete.slice(range.clone())
}

/// Names and values of the load reports in the fields.
fn load_report(fields: &str) -> Vec<(Box<str>, f64)> {
    let fields = fields.split(',').filter_map(|field| field.split_once('='));
    let reports = fields.filter(|(name, _)| *name == "rep");
    let values = reports.flat_map(|(_, all)| all.split(';')).filter_map(|value| value.split_once(':'));
    let number = |text: &str| text.parse::<f64>().ok().filter(|number| number.is_finite());
    values.filter_map(|(name, value)| number(value).map(|value| (name.into(), value))).collect()
}

/// The copy that the fields describe, if they contain its time of issue or its tag.
fn copy_info(fields: &str) -> Option<CopyInfo> {
    let value_of = |wanted| {
        let mut fields = fields.split(',').filter_map(|field| field.split_once('='));
        fields.find(|(name, _)| *name == wanted).map(|(_, value)| value)
    };
    let issued = value_of("issued").and_then(|text| text.parse::<f64>().ok()).filter(|at| at.is_finite());
    let tag = value_of("entity").unwrap_or("");
    (issued.is_some() || !tag.is_empty()).then(|| CopyInfo { issued, tag: tag.into() })
}
