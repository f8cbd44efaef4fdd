//! The frames of the wire: batches of events in, replies of actions out.
//!
//! Fields are little-endian and unpadded; event records have 56 bytes, action records 40, and data without a
//! fixed size lies in the frame's tail. Times are milliseconds on both sides.

use deckproxy_control::interface::{
    Action, AttemptEnding, FillNote, GetOptions, Lifecycle, ListKind, Member, Request,
};
use std::fmt;
use std::io::{self, Read};

/// Bytes of an event record.
pub const EVENT: usize = 56;
/// Bytes of an action record.
pub const ACTION: usize = 40;
/// Bytes of a line in a list of members.
pub const ENTRY: usize = 22;
/// Bytes of a batch's header after the length.
const HEADER: usize = 16;
/// Most bytes taken for one batch.
const LARGEST: usize = 1 << 30;
/// Longest message to another router.
const PEER_MOST: usize = 256;

/// What is wrong with a frame, and where.
#[derive(Debug)]
pub enum WireError {
    /// Reading failed.
    Io(io::Error),
    /// The input ends inside a frame.
    Truncated(&'static str),
    /// A frame says something that cannot be.
    Malformed(String),
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            WireError::Io(e) => write!(f, "reading failed: {e}"),
            WireError::Truncated(what) => write!(f, "the input ends inside {what}"),
            WireError::Malformed(what) => f.write_str(what),
        }
    }
}

impl std::error::Error for WireError {}

/// One batch, its records still raw.
#[derive(Debug)]
pub struct Batch {
    /// The clock.
    pub now: f64,
    /// The batch's number.
    pub number: u32,
    count: usize,
    body: Vec<u8>,
}

/// An event as the wire tells it.
#[derive(Debug, PartialEq)]
pub enum WireEvent {
    /// The instance has started, with this seed and these settings.
    Start {
        /// Seed of its random numbers.
        seed: u64,
        /// The settings' text.
        conf: String,
    },
    /// The instance is dead.
    Destroy,
    /// News of the members.
    MemberList(ListKind, Vec<Member>),
    /// A request.
    Request(Request),
    /// A stream has begun.
    StreamStarted {
        /// The request.
        request: u32,
        /// The attempt.
        attempt: u32,
    },
    /// An attempt ended.
    AttemptEnded {
        /// The request.
        request: u32,
        /// The attempt.
        attempt: u32,
        /// Where it went.
        member: u32,
        /// How it ended.
        ending: AttemptEnding,
        /// Time since it was sent.
        elapsed: f64,
        /// The request is over.
        finished: bool,
        /// What is told of the copy or fill.
        note: FillNote,
        /// The raw load report.
        load: Vec<f32>,
    },
    /// The client has left.
    ClientGone(u32),
    /// A timer.
    Timer(u64),
    /// A probe's result.
    HealthChecked {
        /// The member.
        member: u32,
        /// Whether it answered well.
        ok: bool,
        /// The raw load report.
        load: Vec<f32>,
    },
    /// A message.
    PeerMessage(u32, Vec<u8>),
    /// A purge.
    Purged {
        /// The object, if one is named.
        object: Option<u64>,
        /// The group.
        group: u32,
        /// Time since the purge.
        age: f64,
    },
}

/// Reads one batch; `None` at the end of the input.
pub fn read_batch(input: &mut impl Read) -> Result<Option<Batch>, WireError> {
    let mut length = [0u8; 4];
    let mut got = 0;
    while got < length.len() {
        match input.read(&mut length[got..]) {
            Ok(0) if got == 0 => return Ok(None),
            Ok(0) => return Err(WireError::Truncated("a frame's length")),
            Ok(n) => got += n,
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) => return Err(WireError::Io(e)),
        }
    }
    let length = u32::from_le_bytes(length) as usize;
    // An empty batch tells a length of 0 although its header follows.
    let total = HEADER + length;
    if total > LARGEST {
        return Err(WireError::Malformed(format!(
            "a batch of {length} bytes is over the limit of {LARGEST}"
        )));
    }
    // Grows with what arrives, not with what the length promises.
    let mut body = Vec::new();
    input.by_ref().take(total as u64).read_to_end(&mut body).map_err(WireError::Io)?;
    if body.len() < total {
        return Err(WireError::Truncated("a batch"));
    }
    let header = Fields { bytes: &body[..HEADER], what: "the batch header" };
    let now = header.f64(0)?;
    let count = header.u32(8)? as usize;
    let number = header.u32(12)?;
    if !now.is_finite() {
        return Err(WireError::Malformed(format!("batch {number}: the clock is no number")));
    }
    if count.checked_mul(EVENT).is_none_or(|need| need > length) {
        return Err(WireError::Malformed(format!(
            "batch {number}: {count} records do not fit into {length} bytes"
        )));
    }
    Ok(Some(Batch { now, number, count, body }))
}

impl Batch {
    /// The number of its records.
    pub fn len(&self) -> usize {
        self.count
    }

    /// Whether it has no record.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Decodes the record at a place: its instance and event.
    pub fn event(&self, at: usize) -> Result<(u16, WireEvent), WireError> {
        let start = HEADER + at * EVENT;
        let tail = &self.body[HEADER + self.count * EVENT..];
        let record = self
            .body
            .get(start..start + EVENT)
            .filter(|_| at < self.count)
            .ok_or(WireError::Truncated("the records"))?;
        decode(record, tail)
            .map_err(|e| WireError::Malformed(format!("batch {}, record {at}: {e}", self.number)))
    }
}

struct Fields<'a> {
    bytes: &'a [u8],
    what: &'static str,
}

impl<'a> Fields<'a> {
    fn take<const N: usize>(&self, at: usize) -> Result<[u8; N], WireError> {
        self.bytes.get(at..at + N).and_then(|b| b.try_into().ok()).ok_or(WireError::Truncated(self.what))
    }
    fn u8(&self, at: usize) -> Result<u8, WireError> {
        Ok(self.take::<1>(at)?[0])
    }
    fn u16(&self, at: usize) -> Result<u16, WireError> {
        Ok(u16::from_le_bytes(self.take(at)?))
    }
    fn u32(&self, at: usize) -> Result<u32, WireError> {
        Ok(u32::from_le_bytes(self.take(at)?))
    }
    fn u64(&self, at: usize) -> Result<u64, WireError> {
        Ok(u64::from_le_bytes(self.take(at)?))
    }
    fn f32(&self, at: usize) -> Result<f32, WireError> {
        Ok(f32::from_le_bytes(self.take(at)?))
    }
    fn f64(&self, at: usize) -> Result<f64, WireError> {
        let x = f64::from_le_bytes(self.take(at)?);
        if x.is_nan() {
            Err(WireError::Malformed(format!("{}: no number at {at}", self.what)))
        } else {
            Ok(x)
        }
    }
    /// A field that points into the tail, its unit being `size` bytes.
    fn tail(&self, at: usize, tail: &'a [u8], size: usize) -> Result<&'a [u8], WireError> {
        let (offset, count) = (self.u32(at)? as usize, self.u32(at + 4)? as usize);
        let end = count.checked_mul(size).and_then(|n| n.checked_add(offset));
        end.and_then(|end| tail.get(offset..end)).ok_or_else(|| {
            WireError::Malformed(format!(
                "{}: offset {offset} with {count} of {size} bytes lies outside the tail of {}",
                self.what,
                tail.len()
            ))
        })
    }
    fn load(&self, at: usize) -> Result<Vec<f32>, WireError> {
        let n = usize::from(self.u8(at)?).min(4);
        (0..n).map(|i| self.f32(at + 1 + 4 * i)).collect()
    }
}

/// A whole number that travels as a float; nonsense reads as 0.
fn whole(x: f32) -> u32 {
    x as u32
}

fn decode(record: &[u8], tail: &[u8]) -> Result<(u16, WireEvent), WireError> {
    let f = Fields { bytes: record, what: "an event" };
    let i = f.u16(1)?;
    let event = match f.u8(0)? {
        0 => {
            let text = f.tail(11, tail, 1)?;
            let conf = String::from_utf8(text.to_vec())
                .map_err(|e| WireError::Malformed(format!("the settings are not UTF-8: {e}")))?;
            WireEvent::Start { seed: f.u64(3)?, conf }
        }
        1 => {
            let kind = match f.u8(3)? {
                1 => ListKind::Failed,
                2 => ListKind::Full,
                3 => ListKind::Delta,
                4 => ListKind::Cached,
                other => return Err(WireError::Malformed(format!("unknown kind of list {other}"))),
            };
            let lines = f.tail(8, tail, ENTRY)?;
            let members = lines.chunks_exact(ENTRY).map(entry).collect::<Result<_, _>>()?;
            WireEvent::MemberList(kind, members)
        }
        2 => {
            let size = f.f32(19)?;
            WireEvent::Request(Request {
                id: f.u32(3)?,
                part: whole(f.f32(7)?),
                object: f.u64(11)?,
                size: (size > 0.0 && size.is_finite()).then_some(f64::from(size)),
                deadline: f.f64(28)?,
                class: usize::from(f.u8(36)?),
                group: whole(f.f32(37)?),
            })
        }
        3 => WireEvent::StreamStarted { request: f.u32(3)?, attempt: u32::from(f.u8(7)?) },
        4 => WireEvent::AttemptEnded {
            request: f.u32(3)?,
            attempt: u32::from(f.u8(7)?),
            member: f.u32(8)?,
            ending: ending(f.u16(12)?)?,
            elapsed: f.f64(14)?,
            finished: f.u8(22)? != 0,
            note: note(f.u32(23)?),
            load: f.load(35)?,
        },
        5 => WireEvent::ClientGone(f.u32(3)?),
        6 => WireEvent::Timer(f.u64(3)?),
        7 => WireEvent::HealthChecked { member: f.u32(3)?, ok: f.u16(7)? == 200, load: f.load(17)? },
        8 => WireEvent::PeerMessage(u32::from(f.u16(3)?), f.tail(5, tail, 1)?.to_vec()),
        9 => WireEvent::Destroy,
        10 => {
            let object = f.u64(3)?;
            WireEvent::Purged {
                object: (object != 0).then_some(object),
                group: u32::from(f.u16(11)?),
                age: f.f64(13)?,
            }
        }
        other => return Err(WireError::Malformed(format!("unknown event code {other}"))),
    };
    Ok((i, event))
}

fn entry(line: &[u8]) -> Result<Member, WireError> {
    let f = Fields { bytes: line, what: "a list entry" };
    let started = f.f64(1)?;
    let weight = f64::from(f.f32(9)?);
    Ok(Member {
        lifecycle: match f.u8(0)? {
            0 => Lifecycle::Gone,
            1 => Lifecycle::Ready,
            2 => Lifecycle::Draining,
            other => return Err(WireError::Malformed(format!("unknown lifecycle {other}"))),
        },
        started: (started != 0.0).then_some(started),
        weight: if weight.is_finite() && weight > 0.0 { weight } else { 1.0 },
        kind: u32::from(f.u16(13)?),
        zone: u32::from(f.u8(15)?),
        cell: u32::from(f.u16(16)?),
        id: f.u32(18)?,
    })
}

fn ending(code: u16) -> Result<AttemptEnding, WireError> {
    Ok(match code {
        200 => AttemptEnding::Served,
        502 => AttemptEnding::Error,
        429 => AttemptEnding::Rejected,
        408 => AttemptEnding::Timeout,
        521 => AttemptEnding::ConnectFailed,
        520 => AttemptEnding::Reset,
        444 => AttemptEnding::Cancelled,
        409 => AttemptEnding::NotSent,
        204 => AttemptEnding::Miss,
        other => return Err(WireError::Malformed(format!("unknown outcome {other}"))),
    })
}

fn note(code: u32) -> FillNote {
    match code {
        1 => FillNote::Hit,
        2 => FillNote::Filled,
        3 => FillNote::FilledByOrigin,
        4 => FillNote::Joined,
        5 => FillNote::Stale,
        6 => FillNote::SourceRefused,
        7 => FillNote::SourceFailed,
        8 => FillNote::SourceLacks,
        9 => FillNote::NoPlace,
        10 => FillNote::OriginFailed,
        _ => FillNote::None,
    }
}

/// A reply under construction.
#[derive(Default)]
pub struct Reply {
    records: Vec<u8>,
    tail: Vec<u8>,
    count: u32,
}

impl Reply {
    /// Appends one action of an instance.
    pub fn push(&mut self, instance: u16, action: &Action) {
        let mut r = Record::new(instance);
        match action {
            Action::Lookup { request, member, deadline } => {
                r.code(0).u32(3, *request).f64(7, *deadline).u32(15, *member);
            }
            Action::Reject { request, retry_after } => {
                r.code(1).u32(3, *request).f64(7, *retry_after);
            }
            Action::Fail { request } => {
                r.code(2).u32(3, *request);
            }
            Action::Cancel { request, attempt } => {
                r.code(3).u32(3, *request).u8(7, *attempt as u8);
            }
            Action::Timer { token, at } => {
                r.code(4).u64(3, *token).f64(11, *at);
            }
            Action::HealthCheck(member) => {
                r.code(5).u32(3, *member);
            }
            Action::CloseIdle(member) => {
                r.code(6).u32(3, *member);
            }
            Action::SendToPeer(to, text) => {
                let at = self.append(&text[..text.len().min(PEER_MOST)]);
                r.code(7).u16(3, to.map_or(u16::MAX, |p| p as u16)).u32(5, at.0).u32(9, at.1);
            }
            Action::Log(text) => {
                let at = self.append(text.as_bytes());
                r.code(8).u32(3, at.0).u32(7, at.1);
            }
            Action::WatchMembers(on) => {
                r.code(10).u8(3, u8::from(*on));
            }
            Action::FetchMembers => {
                r.code(11);
            }
            Action::Get { request, member, deadline, source, copy_rank, max_age, options } => {
                r.code(12).u32(3, *request).u32(7, *member).f64(11, *deadline);
                r.u32(19, *source).u8(23, *copy_rank).f64(24, *max_age).u8(32, manner(*options));
            }
        }
        self.records.extend_from_slice(&r.0);
        self.count += 1;
    }

    /// Appends the report that the decision code failed.
    pub fn panic(&mut self, instance: u16, text: &str) {
        let at = self.append(text.as_bytes());
        let mut r = Record::new(instance);
        r.code(9).u32(3, at.0).u32(7, at.1);
        self.records.extend_from_slice(&r.0);
        self.count += 1;
    }

    fn append(&mut self, bytes: &[u8]) -> (u32, u32) {
        let offset = self.tail.len() as u32;
        self.tail.extend_from_slice(bytes);
        (offset, bytes.len() as u32)
    }

    /// The whole frame, answering the batch of that number.
    pub fn frame(&self, number: u32) -> Vec<u8> {
        let length = (self.records.len() + self.tail.len()) as u32;
        let mut frame = Vec::with_capacity(12 + length as usize);
        for word in [length, self.count, number] {
            frame.extend_from_slice(&word.to_le_bytes());
        }
        frame.extend_from_slice(&self.records);
        frame.extend_from_slice(&self.tail);
        frame
    }
}

fn manner(how: GetOptions) -> u8 {
    u8::from(how.join)
        | u8::from(how.cached_only) << 1
        | u8::from(how.no_parent_copy) << 2
        | u8::from(how.renew) << 3
}

struct Record([u8; ACTION]);

impl Record {
    fn new(instance: u16) -> Self {
        let mut r = Record([0; ACTION]);
        r.u16(1, instance);
        r
    }
    fn put(&mut self, at: usize, bytes: &[u8]) -> &mut Self {
        self.0[at..at + bytes.len()].copy_from_slice(bytes);
        self
    }
    fn code(&mut self, code: u8) -> &mut Self {
        self.put(0, &[code])
    }
    fn u8(&mut self, at: usize, x: u8) -> &mut Self {
        self.put(at, &[x])
    }
    fn u16(&mut self, at: usize, x: u16) -> &mut Self {
        self.put(at, &x.to_le_bytes())
    }
    fn u32(&mut self, at: usize, x: u32) -> &mut Self {
        self.put(at, &x.to_le_bytes())
    }
    fn u64(&mut self, at: usize, x: u64) -> &mut Self {
        self.put(at, &x.to_le_bytes())
    }
    fn f64(&mut self, at: usize, x: f64) -> &mut Self {
        self.put(at, &x.to_le_bytes())
    }
}
