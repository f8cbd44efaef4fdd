//! Decoding events.

use super::MEMBER_BYTES;
use super::error::RecordError;
use super::fields::Fields;
use deckproxy_control::interface::{AttemptEnding, FillNote, Lifecycle, ListKind, Member, Request};

/// Code of a successful health check.
const HEALTHY: u16 = 200;

/// An event as encoded on the wire: load reports are not yet decoded, and instances are started and destroyed by
/// events.
#[derive(Debug, PartialEq)]
pub enum WireEvent {
    /// Starts the instance.
    Start {
        /// Seed of its random numbers.
        seed: u64,
        /// Its settings, as text.
        settings: String,
    },
    /// Removes the instance.
    Destroy,
    /// A member list, or a part of one.
    MemberList(ListKind, Vec<Member>),
    /// A client's request arrived.
    Request(Request),
    /// A streamed answer has begun.
    StreamStarted {
        /// The request.
        request: u32,
        /// Number of the attempt, from 0.
        attempt: u32,
    },
    /// An attempt ended.
    AttemptEnded {
        /// The request.
        request: u32,
        /// Number of the attempt, from 0.
        attempt: u32,
        /// The member it was sent to.
        member: u32,
        /// How it ended.
        ending: AttemptEnding,
        /// Time since it was sent, in ms.
        elapsed: f64,
        /// Whether the request has its final answer.
        finished: bool,
        /// What the answer reports about its copy or fill.
        note: FillNote,
        /// Values of the load report, in the order that the settings name.
        load: Vec<f32>,
    },
    /// The client has disconnected.
    ClientGone(u32),
    /// A timer is due.
    Timer(u64),
    /// The result of a health check.
    HealthChecked {
        /// The member.
        member: u32,
        /// Whether the check succeeded.
        ok: bool,
        /// Values of the load report, in the order that the settings name.
        load: Vec<f32>,
    },
    /// A message from another router.
    PeerMessage(u32, Vec<u8>),
    /// An object, or all objects of a group, were purged.
    Purged {
        /// The object; `None`: the whole group.
        object: Option<u64>,
        /// The group.
        group: u32,
        /// Time since the purge, in ms.
        age: f64,
    },
}

/// Decodes an event record into its instance and event.
pub(super) fn decode_event(record: &[u8], tail: &[u8]) -> Result<(u16, WireEvent), RecordError> {
    let fields = Fields::new(record, "an event");
    let instance = fields.u16(1)?;
    let event = match fields.u8(0)? {
        0 => start(&fields, tail)?,
        1 => member_list(&fields, tail)?,
        2 => WireEvent::Request(request(&fields)?),
        3 => WireEvent::StreamStarted { request: fields.u32(3)?, attempt: u32::from(fields.u8(7)?) },
        4 => attempt_ended(&fields)?,
        5 => WireEvent::ClientGone(fields.u32(3)?),
        6 => WireEvent::Timer(fields.u64(3)?),
        7 => health_checked(&fields)?,
        8 => WireEvent::PeerMessage(u32::from(fields.u16(3)?), fields.tail(5, tail, 1)?.to_vec()),
        9 => WireEvent::Destroy,
        10 => purged(&fields)?,
        code => return Err(RecordError::UnknownEvent(code)),
    };
    Ok((instance, event))
}

fn start(fields: &Fields<'_>, tail: &[u8]) -> Result<WireEvent, RecordError> {
    let text = fields.tail(11, tail, 1)?.to_vec();
    let settings = String::from_utf8(text).map_err(RecordError::SettingsNotUtf8)?;
    Ok(WireEvent::Start { seed: fields.u64(3)?, settings })
}

fn member_list(fields: &Fields<'_>, tail: &[u8]) -> Result<WireEvent, RecordError> {
    let kind = match fields.u8(3)? {
        1 => ListKind::Failed,
        2 => ListKind::Full,
        3 => ListKind::Delta,
        4 => ListKind::Cached,
        code => return Err(RecordError::UnknownListKind(code)),
    };
    let entries = fields.tail(8, tail, MEMBER_BYTES)?;
    let members = entries.chunks_exact(MEMBER_BYTES).map(member).collect::<Result<_, _>>()?;
    Ok(WireEvent::MemberList(kind, members))
}

fn request(fields: &Fields<'_>) -> Result<Request, RecordError> {
    let size = fields.f32(19)?;
    Ok(Request {
        id: fields.u32(3)?,
        part: fields.whole_f32(7)?,
        object: fields.u64(11)?,
        size: (size > 0.0 && size.is_finite()).then_some(f64::from(size)),
        deadline: fields.f64(28)?,
        class: usize::from(fields.u8(36)?),
        group: fields.whole_f32(37)?,
    })
}

fn attempt_ended(fields: &Fields<'_>) -> Result<WireEvent, RecordError> {
    Ok(WireEvent::AttemptEnded {
        request: fields.u32(3)?,
        attempt: u32::from(fields.u8(7)?),
        member: fields.u32(8)?,
        ending: ending(fields.u16(12)?)?,
        elapsed: fields.f64(14)?,
        finished: fields.u8(22)? != 0,
        note: note(fields.u32(23)?),
        load: fields.load_values(35)?,
    })
}

fn health_checked(fields: &Fields<'_>) -> Result<WireEvent, RecordError> {
    let (member, ok) = (fields.u32(3)?, fields.u16(7)? == HEALTHY);
    Ok(WireEvent::HealthChecked { member, ok, load: fields.load_values(17)? })
}

fn purged(fields: &Fields<'_>) -> Result<WireEvent, RecordError> {
    let object = fields.u64(3)?;
    let (group, age) = (u32::from(fields.u16(11)?), fields.f64(13)?);
    Ok(WireEvent::Purged { object: (object != 0).then_some(object), group, age })
}

/// Decodes an entry of a member list.
fn member(entry: &[u8]) -> Result<Member, RecordError> {
    let fields = Fields::new(entry, "a list entry");
    let started = fields.f64(1)?;
    let weight = f64::from(fields.f32(9)?);
    Ok(Member {
        lifecycle: lifecycle(fields.u8(0)?)?,
        started: (started != 0.0).then_some(started),
        weight: if weight.is_finite() && weight > 0.0 { weight } else { 1.0 },
        kind: u32::from(fields.u16(13)?),
        zone: u32::from(fields.u8(15)?),
        cell: u32::from(fields.u16(16)?),
        id: fields.u32(18)?,
    })
}

fn lifecycle(code: u8) -> Result<Lifecycle, RecordError> {
    match code {
        0 => Ok(Lifecycle::Gone),
        1 => Ok(Lifecycle::Ready),
        2 => Ok(Lifecycle::Draining),
        code => Err(RecordError::UnknownLifecycle(code)),
    }
}

fn ending(code: u16) -> Result<AttemptEnding, RecordError> {
    match code {
        200 => Ok(AttemptEnding::Served),
        502 => Ok(AttemptEnding::Error),
        429 => Ok(AttemptEnding::Rejected),
        408 => Ok(AttemptEnding::Timeout),
        521 => Ok(AttemptEnding::ConnectFailed),
        520 => Ok(AttemptEnding::Reset),
        444 => Ok(AttemptEnding::Cancelled),
        409 => Ok(AttemptEnding::NotSent),
        204 => Ok(AttemptEnding::Miss),
        code => Err(RecordError::UnknownEnding(code)),
    }
}

/// Decodes a fill note; unknown codes count as none.
fn note(code: u32) -> FillNote {
    match code {
        1 => FillNote::Hit,
        2 => FillNote::Filled,
        3 => FillNote::FilledByOrigin,
        4 => FillNote::Joined,
        5 => FillNote::Stale,
        6 => FillNote::SourceRejected,
        7 => FillNote::SourceFailed,
        8 => FillNote::SourceMiss,
        9 => FillNote::NoCapacity,
        10 => FillNote::OriginFailed,
        _ => FillNote::None,
    }
}
