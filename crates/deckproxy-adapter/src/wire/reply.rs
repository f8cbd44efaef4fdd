//! Encodes actions into a reply.

use super::ACTION_BYTES;
use deckproxy_control::interface::{Action, GetOptions};

/// Longest message to another router, in bytes; longer ones are truncated.
const PEER_MESSAGE_MAX: usize = 256;
/// The position that addresses all routers.
const ALL_PEERS: u16 = u16::MAX;
/// Bytes of a reply's header: length, number of records, number of the batch.
const HEADER_BYTES: usize = 12;

/// A reply under construction.
#[derive(Default)]
pub struct Reply {
    records: Vec<u8>,
    tail: Vec<u8>,
    count: u32,
}

/// A range of bytes in the tail.
struct TailRange {
    offset: u32,
    length: u32,
}

impl Reply {
    /// Appends one action of an instance. An action whose attempt or router can't be encoded in its field is omitted.
    pub fn push(&mut self, instance: u16, action: &Action) {
        let mut record = Record::new(instance);
        match action {
            Action::Lookup { request, member, deadline } => {
                record.code(0).u32(3, *request).f64(7, *deadline).u32(15, *member);
            }
            Action::Reject { request, retry_after } => {
                record.code(1).u32(3, *request).f64(7, *retry_after);
            }
            Action::Fail { request } => {
                record.code(2).u32(3, *request);
            }
            Action::Cancel { request, attempt } => {
                // The settings allow no attempt whose number does not fit. Truncating it would cancel another attempt.
                let Ok(attempt) = u8::try_from(*attempt) else { return };
                record.code(3).u32(3, *request).u8(7, attempt);
            }
            Action::Timer { token, at } => {
                record.code(4).u64(3, *token).f64(11, *at);
            }
            Action::HealthCheck(member) => {
                record.code(5).u32(3, *member);
            }
            Action::CloseIdle(member) => {
                record.code(6).u32(3, *member);
            }
            Action::SendToPeer(peer, message) => {
                let Some(peer) = encode_peer(*peer) else { return };
                let range = self.append_to_tail(&message[..message.len().min(PEER_MESSAGE_MAX)]);
                record.code(7).u16(3, peer).range(5, &range);
            }
            Action::Log(line) => {
                let range = self.append_to_tail(line.as_bytes());
                record.code(8).range(3, &range);
            }
            Action::WatchMembers(on) => {
                record.code(10).u8(3, u8::from(*on));
            }
            Action::FetchMembers => {
                record.code(11);
            }
            Action::Get { request, member, deadline, source, copy_rank, max_age, options } => {
                record.code(12).u32(3, *request).u32(7, *member).f64(11, *deadline);
                record.u32(19, *source).u8(23, *copy_rank).f64(24, *max_age).u8(32, option_bits(*options));
            }
        }
        self.append(&record);
    }

    /// Appends a report of a panic in the decision module.
    pub fn push_panic(&mut self, instance: u16, message: &str) {
        let range = self.append_to_tail(message.as_bytes());
        let mut record = Record::new(instance);
        record.code(9).range(3, &range);
        self.append(&record);
    }

    fn append(&mut self, record: &Record) {
        self.records.extend_from_slice(&record.0);
        self.count += 1;
    }

    fn append_to_tail(&mut self, bytes: &[u8]) -> TailRange {
        let offset = saturating_u32(self.tail.len());
        self.tail.extend_from_slice(bytes);
        TailRange { offset, length: saturating_u32(bytes.len()) }
    }

    /// The complete frame in reply to the batch of that number.
    pub fn frame(&self, number: u32) -> Vec<u8> {
        let length = self.records.len() + self.tail.len();
        let mut frame = Vec::with_capacity(HEADER_BYTES + length);
        for word in [saturating_u32(length), self.count, number] {
            frame.extend_from_slice(&word.to_le_bytes());
        }
        frame.extend_from_slice(&self.records);
        frame.extend_from_slice(&self.tail);
        frame
    }
}

/// A router's position as encoded on the wire; `None` if it does not fit.
fn encode_peer(position: Option<u32>) -> Option<u16> {
    let Some(position) = position else { return Some(ALL_PEERS) };
    u16::try_from(position).ok().filter(|position| *position != ALL_PEERS)
}

/// A length as a field of 32 bits; longer ones saturate. A reply stays below the limit in practice, because it belongs to
/// one batch, whose size is bounded.
fn saturating_u32(length: usize) -> u32 {
    u32::try_from(length).unwrap_or(u32::MAX)
}

fn option_bits(options: GetOptions) -> u8 {
    u8::from(options.join)
        | u8::from(options.cached_only) << 1
        | u8::from(options.no_parent_copy) << 2
        | u8::from(options.renew) << 3
}

/// An action record under construction. All offsets are in bytes.
struct Record([u8; ACTION_BYTES]);

impl Record {
    fn new(instance: u16) -> Self {
        let mut record = Record([0; ACTION_BYTES]);
        record.u16(1, instance);
        record
    }

    fn put(&mut self, offset: usize, bytes: &[u8]) -> &mut Self {
        self.0[offset..offset + bytes.len()].copy_from_slice(bytes);
        self
    }

    fn code(&mut self, code: u8) -> &mut Self {
        self.put(0, &[code])
    }

    fn u8(&mut self, offset: usize, value: u8) -> &mut Self {
        self.put(offset, &[value])
    }

    fn u16(&mut self, offset: usize, value: u16) -> &mut Self {
        self.put(offset, &value.to_le_bytes())
    }

    fn u32(&mut self, offset: usize, value: u32) -> &mut Self {
        self.put(offset, &value.to_le_bytes())
    }

    fn u64(&mut self, offset: usize, value: u64) -> &mut Self {
        self.put(offset, &value.to_le_bytes())
    }

    fn f64(&mut self, offset: usize, value: f64) -> &mut Self {
        self.put(offset, &value.to_le_bytes())
    }

    fn range(&mut self, offset: usize, range: &TailRange) -> &mut Self {
        self.u32(offset, range.offset).u32(offset + 4, range.length)
    }
}
