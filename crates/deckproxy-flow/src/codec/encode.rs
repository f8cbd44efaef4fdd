//! The encoder: builds the messages of an exporting process.

use super::{
    ENTERPRISE_BIT, Element, FIRST_TEMPLATE_ID, Field, LONG_LENGTH, Template, VARIABLE_LENGTH, Value, Version,
};
use bytes::{BufMut, Bytes, BytesMut};

/// The shortest and longest limit of a message's length, bytes.
const MESSAGE_LENGTH_LIMITS: (usize, usize) = (128, 65_535);
/// The longest value in a field of variable length, bytes.
const MAX_VARIABLE_LENGTH: usize = 0xfffe;
/// The alignment of sets, bytes.
const SET_ALIGNMENT: usize = 4;
/// The length of a set's header, bytes.
const SET_HEADER_LENGTH: usize = 4;
/// The shortest template, bytes: a withdrawal.
const MIN_TEMPLATE_LENGTH: usize = 4;
/// NetFlow v9's scope type "system" (RFC 3954, 6.1).
const SYSTEM_SCOPE: u16 = 1;

/// The set to which records are being added.
#[derive(Clone, Copy, Debug)]
struct OpenSet {
    /// Its position in the message.
    start: usize,
    id: u16,
    /// The length of the shortest record, bytes.
    min_record_length: usize,
}

impl OpenSet {
    /// The padding of the set if its last record ends at that position in the message. It must be shorter than any
    /// record, or it would be read as one (RFC 7011, 3.3.1).
    fn padding(&self, end: usize) -> usize {
        let length = end - self.start;
        let padding = length.next_multiple_of(SET_ALIGNMENT) - length;
        if padding < self.min_record_length { padding } else { 0 }
    }
}

/// The numbers of records in a message.
#[derive(Clone, Copy, Debug, Default)]
struct RecordCounts {
    /// All records, templates among them (counted by NetFlow v9).
    all: u16,
    /// Data records (counted by IPFIX).
    data: u32,
}

/// Builds the messages of one observation domain.
#[derive(Clone, Debug)]
pub struct Encoder {
    version: Version,
    domain: u32,
    /// Bytes.
    max_message_length: usize,
    /// IPFIX: data records so far; v9: messages so far. Both modulo 2^32.
    sequence: u32,
    /// The time from which v9's uptime counts, Unix milliseconds.
    started_at: u64,
    message: BytesMut,
    set: Option<OpenSet>,
    records: RecordCounts,
}

impl Encoder {
    /// An encoder of messages of at most `max_message_length` bytes (at most 65,535), with `sequence` as the first
    /// sequence number. `started_at`: Unix milliseconds.
    pub fn new(
        version: Version,
        domain: u32,
        max_message_length: usize,
        sequence: u32,
        started_at: u64,
    ) -> Self {
        let (shortest, longest) = MESSAGE_LENGTH_LIMITS;
        Encoder {
            version,
            domain,
            max_message_length: max_message_length.clamp(shortest, longest),
            sequence,
            started_at,
            message: BytesMut::new(),
            set: None,
            records: RecordCounts::default(),
        }
    }

    /// The sequence number of the next message.
    pub fn sequence(&self) -> u32 {
        self.sequence
    }

    /// Resets the sequence number to that of a message that was finished but never sent.
    pub fn rewind(&mut self, sequence: u32) {
        debug_assert!(self.message.is_empty(), "no message is open");
        self.sequence = sequence;
    }

    /// Whether no message is open.
    pub fn is_empty(&self) -> bool {
        self.message.is_empty()
    }

    /// Adds a template. Returns false, and adds nothing, if the message has no space for it.
    pub fn template(&mut self, template: &Template) -> bool {
        let bytes = self.encode_template(template);
        if !self.reserve(self.template_set(template.scope), bytes.len(), MIN_TEMPLATE_LENGTH) {
            return false;
        }
        self.message.put(bytes);
        self.records.all += 1;
        true
    }

    /// Withdraws a template (RFC 7011, 8.1; IPFIX over TCP only); `scope`: the template's number of scope fields.
    /// Returns false, and adds nothing, if the message has no space for it.
    pub fn withdraw(&mut self, id: u16, scope: u16) -> bool {
        if !self.reserve(self.template_set(scope), MIN_TEMPLATE_LENGTH, MIN_TEMPLATE_LENGTH) {
            return false;
        }
        self.message.put_u16(id);
        self.message.put_u16(0);
        true
    }

    /// Adds a data record with one value for each field. Returns false, and adds nothing, if the message has
    /// no space for it.
    pub fn record(&mut self, template: &Template, values: &[Value]) -> bool {
        debug_assert!(template.id >= FIRST_TEMPLATE_ID && template.fields.len() == values.len());
        let mut bytes = BytesMut::new();
        for (field, value) in template.fields.iter().zip(values) {
            encode_value(field, value, &mut bytes);
        }
        if !self.reserve(template.id, bytes.len(), template.min_record_length()) {
            return false;
        }
        self.message.put(bytes);
        self.records.all += 1;
        self.records.data += 1;
        true
    }

    /// Finishes and returns the open message, or `None` if no message is open. `now`: Unix milliseconds.
    pub fn finish(&mut self, now: u64) -> Option<Bytes> {
        if self.message.is_empty() {
            return None;
        }
        self.end_set();
        let mut message = std::mem::take(&mut self.message);
        let records = std::mem::take(&mut self.records);
        self.write_header(now, records, &mut message);
        let counted = match self.version {
            Version::Ipfix => records.data,
            Version::NetflowV9 => 1,
        };
        self.sequence = self.sequence.wrapping_add(counted);
        Some(message.freeze())
    }

    fn template_set(&self, scope: u16) -> u16 {
        if scope == 0 { self.version.template_set() } else { self.version.options_template_set() }
    }

    /// The length of the message so far, including its header.
    fn used_space(&self) -> usize {
        self.message.len().max(self.version.header_length())
    }

    fn free_space(&self) -> usize {
        let padding = SET_ALIGNMENT - 1;
        self.max_message_length.saturating_sub(self.used_space() + padding)
    }

    /// Prepares the message for `length` more bytes in a set with this id. Returns false if there is too
    /// little space.
    fn reserve(&mut self, id: u16, length: usize, min_record_length: usize) -> bool {
        let is_new_set = self.set.is_none_or(|set| set.id != id);
        let needed = length + if is_new_set { SET_HEADER_LENGTH } else { 0 };
        if self.free_space() < needed {
            return false;
        }
        let (set, begin) = match self.set {
            Some(set) if !is_new_set => (set, self.used_space()),
            open => {
                let used = self.used_space();
                let start = used + open.map_or(0, |open| open.padding(used));
                (OpenSet { start, id, min_record_length }, start)
            }
        };
        // The free space accounts for the padding of one set; a new set may also follow the padding of the
        // previous one.
        let end = begin + needed;
        if end + set.padding(end) > self.max_message_length {
            return false;
        }
        if self.message.is_empty() {
            self.message.put_bytes(0, self.version.header_length());
        }
        if is_new_set {
            self.end_set();
            self.set = Some(set);
            self.message.put_bytes(0, SET_HEADER_LENGTH);
        }
        true
    }

    /// Pads the open set and writes its header.
    fn end_set(&mut self) {
        let Some(set) = self.set.take() else { return };
        self.message.put_bytes(0, set.padding(self.message.len()));
        let length = saturating_u16(self.message.len() - set.start);
        let mut header = &mut self.message[set.start..set.start + SET_HEADER_LENGTH];
        header.put_u16(set.id);
        header.put_u16(length);
    }

    fn write_header(&self, now: u64, records: RecordCounts, message: &mut BytesMut) {
        // Both times are 32 bits wide on the wire: the seconds wrap in 2106, v9's uptime after 49 days.
        let seconds = (now / 1000) as u32;
        let uptime = now.saturating_sub(self.started_at) as u32;
        let length = saturating_u16(message.len());
        let mut header = &mut message[..];
        header.put_u16(self.version.number());
        match self.version {
            Version::Ipfix => header.put_u16(length),
            Version::NetflowV9 => {
                header.put_u16(records.all);
                header.put_u32(uptime);
            }
        }
        header.put_u32(seconds);
        header.put_u32(self.sequence);
        header.put_u32(self.domain);
    }

    fn encode_template(&self, template: &Template) -> BytesMut {
        let mut bytes = BytesMut::new();
        let fields = saturating_u16(template.fields.len());
        bytes.put_u16(template.id);
        match (self.version, template.scope) {
            (_, 0) => bytes.put_u16(fields),
            (Version::Ipfix, scope) => {
                bytes.put_u16(fields);
                bytes.put_u16(scope);
            }
            // v9 counts the bytes of the scope and of the options instead of fields (RFC 3954, 6.1).
            (Version::NetflowV9, scope) => {
                bytes.put_u16(scope * 4);
                bytes.put_u16((fields - scope) * 4);
            }
        }
        for (index, field) in template.fields.iter().enumerate() {
            self.encode_field(field, index < usize::from(template.scope), &mut bytes);
        }
        bytes
    }

    fn encode_field(&self, field: &Field, is_scope: bool, bytes: &mut BytesMut) {
        let Element { id, enterprise } = field.element;
        match (self.version, enterprise) {
            (Version::Ipfix, Some(enterprise)) => {
                bytes.put_u16(id | ENTERPRISE_BIT);
                bytes.put_u16(field.length);
                bytes.put_u32(enterprise);
            }
            (Version::NetflowV9, _) if is_scope => {
                bytes.put_u16(SYSTEM_SCOPE);
                bytes.put_u16(field.length);
            }
            (Version::Ipfix | Version::NetflowV9, _) => {
                bytes.put_u16(id);
                bytes.put_u16(field.length);
            }
        }
    }
}

/// Appends a value, preceded by its length in a field of variable length.
fn encode_value(field: &Field, value: &Value, bytes: &mut BytesMut) {
    if field.length != VARIABLE_LENGTH {
        bytes.put(&value.encode(usize::from(field.length))[..]);
        return;
    }
    let encoded = match value {
        Value::Number(_) => value.encode(8),
        Value::Bytes(value) => value[..value.len().min(MAX_VARIABLE_LENGTH)].to_vec(),
    };
    match u8::try_from(encoded.len()) {
        Ok(length) if length < LONG_LENGTH => bytes.put_u8(length),
        _ => {
            bytes.put_u8(LONG_LENGTH);
            bytes.put_u16(saturating_u16(encoded.len()));
        }
    }
    bytes.put(&encoded[..]);
}

/// A length or count as a 16-bit field. The encoder never reaches the limit: a message has at most 65,535
/// bytes, and data that doesn't fit in a message isn't added.
fn saturating_u16(length: usize) -> u16 {
    u16::try_from(length).unwrap_or(u16::MAX)
}
