//! The control feed: one JSON object per line, and each second a line with only the number of the last event.

use crate::protocol::limits;
use bytes::{Bytes, BytesMut};
pub use deckproxy_control::interface::Lifecycle;
use serde_json::Value;
use std::fmt;
use std::net::SocketAddr;
use std::num::ParseIntError;

/// An entry of the member list.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberEntry {
    /// Its id.
    pub id: Box<str>,
    /// The address at which it listens, if that could be parsed.
    pub address: Option<SocketAddr>,
    /// The name of its zone.
    pub zone: Box<str>,
    /// The name of its kind.
    pub kind: Box<str>,
    /// Its cell.
    pub cell: u32,
    /// Its state.
    pub lifecycle: Lifecycle,
    /// Its size; 1 if the feed sets none.
    pub size: f64,
    /// When its process started, Unix ms; `None` if the feed sends 0 or nothing, as for a start that is not recent.
    pub started: Option<f64>,
}

/// An event of the feed.
#[derive(Clone, Debug, PartialEq)]
pub enum FeedEvent {
    /// The complete member list, or its changed entries.
    Members {
        /// Whether the list is complete.
        complete: bool,
        /// The entries.
        entries: Vec<MemberEntry>,
        /// Number of entries that could not be parsed.
        unreadable: usize,
    },
    /// A purge of one object.
    PurgeObject {
        /// The number of the object.
        object: u64,
        /// When it was purged, Unix ms.
        at: f64,
    },
    /// A purge of a whole group of objects.
    PurgeGroup {
        /// The group.
        group: u32,
        /// When it was purged, Unix ms.
        at: f64,
    },
    /// An event of a type that this version does not support.
    Unknown,
    /// An event that can't be parsed; only its number is used.
    Unreadable(EventError),
}

/// An event with its sequence number; numbers increase by one.
#[derive(Clone, Debug, PartialEq)]
pub struct NumberedEvent {
    /// Its number.
    pub number: u64,
    /// The event.
    pub event: FeedEvent,
}

/// The events that a gateway's configuration contains.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct KnownEvents {
    /// The number of the last event.
    pub last: u64,
    /// The events, in order.
    pub events: Vec<NumberedEvent>,
}

/// A line of the feed.
#[derive(Clone, Debug, PartialEq)]
pub enum FeedLine {
    /// An event.
    Event(NumberedEvent),
    /// The number of the last event.
    Last(u64),
    /// A line that can't be parsed.
    Unreadable(EventError),
}

/// Why a line or an event can't be parsed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EventError {
    /// The line is not JSON; the parser's message.
    NotJson(String),
    /// An event has no number.
    NumberMissing,
    /// A member list has no `members` array.
    MembersMissing,
    /// A purge has no time.
    PurgeTimeMissing,
    /// A purge's key is not a hex number.
    PurgeKey(ParseIntError),
    /// A purge names neither an object nor a group.
    PurgeTargetMissing,
}

impl fmt::Display for EventError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            EventError::NotJson(what) => f.write_str(what),
            EventError::NumberMissing => f.write_str("an event without its number"),
            EventError::MembersMissing => f.write_str("a list without its members"),
            EventError::PurgeTimeMissing => f.write_str("a purge without its time"),
            EventError::PurgeKey(what) => what.fmt(f),
            EventError::PurgeTargetMissing => f.write_str("a purge of nothing"),
        }
    }
}

impl std::error::Error for EventError {}

/// More bytes than the limit were received without the end of a line. Nothing that follows on the connection can be
/// decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LineTooLong;

impl fmt::Display for LineTooLong {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a line over the limit")
    }
}

impl std::error::Error for LineTooLong {}

/// Encodes a subscription to the events after the number `last`.
pub fn subscribe(last: u64) -> Bytes {
    format!("SUB {last}\n").into()
}

/// Incremental decoder of the lines in a byte stream.
#[derive(Debug, Default)]
pub struct Decoder {
    /// Offset up to which the next line was searched for its end.
    searched: usize,
}

impl Decoder {
    /// Removes the next line from the buffer and decodes it, if it is complete.
    ///
    /// # Errors
    /// The buffer has no end of a line and is longer than [`limits::FEED_LINE`].
    pub fn next(&mut self, buffer: &mut BytesMut) -> Result<Option<FeedLine>, LineTooLong> {
        let Some(end) = buffer[self.searched..].iter().position(|byte| *byte == b'\n') else {
            self.searched = buffer.len();
            return if buffer.len() > limits::FEED_LINE { Err(LineTooLong) } else { Ok(None) };
        };
        let line = buffer.split_to(self.searched + end + 1);
        self.searched = 0;
        Ok(Some(decode_line(&line).unwrap_or_else(FeedLine::Unreadable)))
    }
}

fn decode_line(bytes: &[u8]) -> Result<FeedLine, EventError> {
    let value: Value =
        serde_json::from_slice(bytes).map_err(|error| EventError::NotJson(error.to_string()))?;
    match value.as_u64() {
        Some(last) => Ok(FeedLine::Last(last)),
        None => decode_event(&value).map(FeedLine::Event),
    }
}

/// Decodes one event.
///
/// # Errors
/// The event has no number. An event with any other fault is returned as [`FeedEvent::Unreadable`].
pub fn decode_event(value: &Value) -> Result<NumberedEvent, EventError> {
    let number = value["n"].as_u64().ok_or(EventError::NumberMissing)?;
    Ok(NumberedEvent { number, event: event(value).unwrap_or_else(FeedEvent::Unreadable) })
}

fn event(value: &Value) -> Result<FeedEvent, EventError> {
    if let Some(list) = value.get("members") {
        member_list(list)
    } else if let Some(purge) = value.get("purge") {
        purge_event(purge)
    } else {
        Ok(FeedEvent::Unknown)
    }
}

fn member_list(list: &Value) -> Result<FeedEvent, EventError> {
    let all = list["members"].as_array().ok_or(EventError::MembersMissing)?;
    let entries: Vec<MemberEntry> = all.iter().filter_map(member_entry).collect();
    let complete = list["complete"].as_bool().unwrap_or(false);
    Ok(FeedEvent::Members { complete, unreadable: all.len() - entries.len(), entries })
}

fn purge_event(purge: &Value) -> Result<FeedEvent, EventError> {
    let at = purge["at"].as_f64().ok_or(EventError::PurgeTimeMissing)?;
    if let Some(key) = purge["key"].as_str() {
        let object = u64::from_str_radix(key, 16).map_err(EventError::PurgeKey)?;
        return Ok(FeedEvent::PurgeObject { object, at });
    }
    let group = purge["group"].as_u64().and_then(|group| u32::try_from(group).ok());
    group.map(|group| FeedEvent::PurgeGroup { group, at }).ok_or(EventError::PurgeTargetMissing)
}

fn member_entry(value: &Value) -> Option<MemberEntry> {
    let text = |name: &str| value[name].as_str().unwrap_or_default();
    let id = text("id");
    let is_plain = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.:".contains(&byte);
    if id.is_empty() || id.len() > limits::FIELD || !id.bytes().all(is_plain) {
        return None;
    }
    Some(MemberEntry {
        id: id.into(),
        address: text("host_port").parse().ok(),
        zone: text("locality").into(),
        kind: text("flavor").into(),
        cell: value["cell"].as_u64().and_then(|cell| u32::try_from(cell).ok()).unwrap_or(0),
        lifecycle: lifecycle(text("phase"))?,
        size: value["size"].as_f64().filter(|size| size.is_finite() && *size > 0.0).unwrap_or(1.0),
        started: value["up_since_ms"].as_f64().filter(|at| *at > 0.0),
    })
}

/// The lifecycle state for the feed's `phase`.
fn lifecycle(phase: &str) -> Option<Lifecycle> {
    match phase {
        "Ready" => Some(Lifecycle::Ready),
        "Terminating" => Some(Lifecycle::Draining),
        "Gone" => Some(Lifecycle::Gone),
        _ => None,
    }
}
