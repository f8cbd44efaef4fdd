//! The control feed: one JSON object a line, and each second a line that holds the last number alone.

use crate::protocol::limits;
use bytes::{Bytes, BytesMut};
use serde_json::Value;

/// A member's state as the feed names it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Takes requests.
    Ready,
    /// Drains.
    Terminating,
    /// Has left.
    Gone,
}

/// One line of the list of members.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Its id.
    pub id: Box<str>,
    /// Where it listens.
    pub address: Option<std::net::SocketAddr>,
    /// The name of its zone.
    pub zone: Box<str>,
    /// The name of its kind.
    pub kind: Box<str>,
    /// Its cell.
    pub cell: u32,
    /// Its state.
    pub phase: Phase,
    /// Its size.
    pub size: f64,
    /// The Unix millisecond of a late start.
    pub started: Option<f64>,
}

/// What an event tells.
#[derive(Clone, Debug, PartialEq)]
pub enum News {
    /// The list of members, whole or what has changed; and how many entries could not be read.
    Members {
        /// It is the whole list.
        whole: bool,
        /// The entries.
        entries: Vec<Entry>,
        /// Entries that could not be read.
        dropped: usize,
    },
    /// A purge of one object.
    PurgeObject(u64, f64),
    /// A purge of a whole group.
    PurgeGroup(u32, f64),
    /// Something this version does not know.
    Unknown,
    /// It can't be read; only its number counts.
    Unreadable(String),
}

/// A line.
#[derive(Clone, Debug, PartialEq)]
pub enum Line {
    /// An event and its number.
    Event(u64, News),
    /// The number of the last event.
    Last(u64),
}

/// Encodes the subscription from the event after a number.
pub fn subscribe(last: u64) -> Bytes {
    format!("SUB {last}\n").into()
}

/// Finds the lines in a stream of bytes.
#[derive(Debug, Default)]
pub struct Decoder {
    searched: usize,
}

impl Decoder {
    /// Takes the next line off the buffer; `Some(Err)` is a line that can't be read, `Err` a line without end.
    #[allow(clippy::type_complexity)]
    pub fn next(&mut self, buffer: &mut BytesMut) -> Result<Option<Result<Line, String>>, &'static str> {
        let Some(end) = buffer[self.searched..].iter().position(|b| *b == b'\n') else {
            self.searched = buffer.len();
            return if buffer.len() > limits::FEED_LINE { Err("a line over the limit") } else { Ok(None) };
        };
        let line = buffer.split_to(self.searched + end + 1);
        self.searched = 0;
        Ok(Some(self::line(&line)))
    }
}

fn line(bytes: &[u8]) -> Result<Line, String> {
    let value: Value = serde_json::from_slice(bytes).map_err(|e| e.to_string())?;
    match value.as_u64() {
        Some(last) => Ok(Line::Last(last)),
        None => event(&value).map(|(n, news)| Line::Event(n, news)),
    }
}

/// Reads one event; only one without a number is an error.
pub fn event(value: &Value) -> Result<(u64, News), String> {
    let number = value["n"].as_u64().ok_or("an event without its number")?;
    Ok((number, news(value).unwrap_or_else(News::Unreadable)))
}

fn news(value: &Value) -> Result<News, String> {
    Ok(if let Some(list) = value.get("members") {
        let entries = list["members"].as_array().ok_or("a list without its members")?;
        let read: Vec<Entry> = entries.iter().filter_map(entry).collect();
        let whole = list["complete"].as_bool().unwrap_or(false);
        News::Members { whole, dropped: entries.len() - read.len(), entries: read }
    } else if let Some(purge) = value.get("purge") {
        let at = purge["at"].as_f64().ok_or("a purge without its time")?;
        let key = purge["key"].as_str().map(|key| u64::from_str_radix(key, 16).map_err(|e| e.to_string()));
        match (key.transpose()?, purge["group"].as_u64().and_then(|g| u32::try_from(g).ok())) {
            (Some(key), _) => News::PurgeObject(key, at),
            (None, Some(group)) => News::PurgeGroup(group, at),
            (None, None) => return Err("a purge of nothing".to_string()),
        }
    } else {
        News::Unknown
    })
}

fn entry(value: &Value) -> Option<Entry> {
    let text = |name: &str| value[name].as_str().unwrap_or_default();
    let id = text("id");
    let plain = |b: u8| b.is_ascii_alphanumeric() || b"-_.:".contains(&b);
    if id.is_empty() || id.len() > limits::FIELD || !id.bytes().all(plain) {
        return None;
    }
    Some(Entry {
        id: id.into(),
        address: text("host_port").parse().ok(),
        zone: text("locality").into(),
        kind: text("flavor").into(),
        cell: value["cell"].as_u64().and_then(|n| u32::try_from(n).ok()).unwrap_or(0),
        phase: match text("phase") {
            "Ready" => Phase::Ready,
            "Terminating" => Phase::Terminating,
            "Gone" => Phase::Gone,
            _ => return None,
        },
        size: value["size"].as_f64().filter(|s| s.is_finite() && *s > 0.0).unwrap_or(1.0),
        started: value["up_since_ms"].as_f64().filter(|t| *t > 0.0),
    })
}
