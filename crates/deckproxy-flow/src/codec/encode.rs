//! Messages out.

use super::{Element, FIRST_TEMPLATE, Template, VARIABLE, Value};
use bytes::{BufMut, Bytes, BytesMut};

/// Which protocol is spoken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Version {
    /// IPFIX, RFC 7011.
    Ipfix,
    /// NetFlow v9, RFC 3954: no enterprise elements, no fields of variable length.
    NetflowV9,
}

impl Version {
    fn header(self) -> usize {
        match self {
            Version::Ipfix => 16,
            Version::NetflowV9 => 20,
        }
    }

    fn template_set(self, scope: u16) -> u16 {
        match (self, scope) {
            (Version::Ipfix, 0) => 2,
            (Version::Ipfix, _) => 3,
            (Version::NetflowV9, 0) => 0,
            (Version::NetflowV9, _) => 1,
        }
    }
}

/// Builds the messages of one observation domain.
#[derive(Clone, Debug)]
pub struct Encoder {
    version: Version,
    domain: u32,
    /// Bytes of a message, at most.
    largest: usize,
    /// IPFIX: data records so far; v9: messages so far. Both modulo 2^32.
    sequence: u32,
    /// When v9's clock of uptime began, Unix ms.
    started: u64,
    message: BytesMut,
    /// Where the open set starts, its id, and the bytes of its shortest record.
    set: Option<(usize, u16, usize)>,
    /// Records in the message: all (v9 counts them), and of data.
    records: (u16, u32),
}

impl Encoder {
    /// Messages of a domain, of so many bytes at most (65,535 for IPFIX).
    pub fn new(version: Version, domain: u32, largest: usize, sequence: u32, started: u64) -> Self {
        Encoder {
            version,
            domain,
            largest: largest.clamp(128, 65_535),
            sequence,
            started,
            message: BytesMut::new(),
            set: None,
            records: (0, 0),
        }
    }

    /// The sequence number of the next message.
    pub fn sequence(&self) -> u32 {
        self.sequence
    }

    /// What was finished from that number on was never sent: the numbers go on from there.
    pub fn rewind(&mut self, sequence: u32) {
        debug_assert!(self.message.is_empty(), "no message is open");
        self.sequence = sequence;
    }

    /// Whether nothing waits in an open message.
    pub fn is_empty(&self) -> bool {
        self.message.is_empty()
    }

    fn room(&self) -> usize {
        // Three bytes may go for the padding of the open set.
        self.largest.saturating_sub(self.message.len().max(self.version.header()) + 3)
    }

    fn begin(&mut self, id: u16, bytes: usize, least: usize) -> bool {
        let opens = !matches!(self.set, Some((_, open, _)) if open == id);
        if self.room() < bytes + if opens { 4 } else { 0 } {
            return false;
        }
        if self.message.is_empty() {
            self.message.put_bytes(0, self.version.header());
        }
        if opens {
            self.end_set();
            self.set = Some((self.message.len(), id, least));
            self.message.put_u16(id);
            self.message.put_u16(0);
        }
        true
    }

    fn end_set(&mut self) {
        let Some((start, id, least)) = self.set.take() else { return };
        // Padding to a multiple of four, where it can't be taken for a record (RFC 7011, 3.3.1).
        let length = self.message.len() - start;
        let padding = length.next_multiple_of(4) - length;
        if padding < least {
            self.message.put_bytes(0, padding);
        }
        let length = (self.message.len() - start) as u16;
        self.message[start..start + 2].copy_from_slice(&id.to_be_bytes());
        self.message[start + 2..start + 4].copy_from_slice(&length.to_be_bytes());
    }

    /// Adds a template; false: the message has no room for it.
    pub fn template(&mut self, template: &Template) -> bool {
        let mut bytes = BytesMut::new();
        let v9 = self.version == Version::NetflowV9;
        bytes.put_u16(template.id);
        match (v9, template.scope) {
            (false | true, 0) => bytes.put_u16(template.fields.len() as u16),
            (false, scope) => {
                bytes.put_u16(template.fields.len() as u16);
                bytes.put_u16(scope);
            }
            // v9 counts bytes of scope and of options (RFC 3954, 6.1).
            (true, scope) => {
                bytes.put_u16(scope * 4);
                bytes.put_u16((template.fields.len() as u16 - scope) * 4);
            }
        }
        for (i, field) in template.fields.iter().enumerate() {
            match field.element {
                Element { id, enterprise: Some(enterprise) } if !v9 => {
                    bytes.put_u16(id | 0x8000);
                    bytes.put_u16(field.length);
                    bytes.put_u32(enterprise);
                }
                // v9's scopes are numbers of their own: 1 is the system.
                Element { .. } if v9 && i < usize::from(template.scope) => {
                    bytes.put_u16(1);
                    bytes.put_u16(field.length);
                }
                Element { id, .. } => {
                    bytes.put_u16(id);
                    bytes.put_u16(field.length);
                }
            }
        }
        if !self.begin(self.version.template_set(template.scope), bytes.len(), 4) {
            return false;
        }
        self.message.put(bytes);
        self.records.0 += 1;
        true
    }

    /// Withdraws a template (RFC 7011, 8.1; IPFIX over TCP only). False: no room.
    pub fn withdraw(&mut self, id: u16, scope: u16) -> bool {
        if !self.begin(self.version.template_set(scope), 4, 4) {
            return false;
        }
        self.message.put_u16(id);
        self.message.put_u16(0);
        true
    }

    /// Adds a record of a template, one value for each field; false: the message has no room for it.
    pub fn record(&mut self, template: &Template, values: &[Value]) -> bool {
        debug_assert!(template.id >= FIRST_TEMPLATE && template.fields.len() == values.len());
        let mut bytes = BytesMut::new();
        for (field, value) in template.fields.iter().zip(values) {
            if field.length != VARIABLE {
                bytes.put(&value.wire(usize::from(field.length))[..]);
                continue;
            }
            let long = match value {
                Value::Number(_) => value.wire(8),
                Value::Bytes(b) => b[..b.len().min(0xfffe)].to_vec(),
            };
            if long.len() < 255 {
                bytes.put_u8(long.len() as u8);
            } else {
                bytes.put_u8(255);
                bytes.put_u16(long.len() as u16);
            }
            bytes.put(&long[..]);
        }
        if !self.begin(template.id, bytes.len(), template.least()) {
            return false;
        }
        self.message.put(bytes);
        self.records.0 += 1;
        self.records.1 += 1;
        true
    }

    /// Ends the message and hands it over; none: it holds nothing. `now`: Unix ms.
    pub fn finish(&mut self, now: u64) -> Option<Bytes> {
        if self.message.is_empty() {
            return None;
        }
        self.end_set();
        let mut message = std::mem::take(&mut self.message);
        let (all, data) = std::mem::take(&mut self.records);
        let seconds = (now / 1000) as u32;
        let mut head = &mut message[..];
        match self.version {
            Version::Ipfix => {
                let length = head.len() as u16;
                head.put_u16(10);
                head.put_u16(length);
                head.put_u32(seconds);
                head.put_u32(self.sequence);
                head.put_u32(self.domain);
                self.sequence = self.sequence.wrapping_add(data);
            }
            Version::NetflowV9 => {
                head.put_u16(9);
                head.put_u16(all);
                head.put_u32(now.saturating_sub(self.started) as u32);
                head.put_u32(seconds);
                head.put_u32(self.sequence);
                head.put_u32(self.domain);
                self.sequence = self.sequence.wrapping_add(1);
            }
        }
        Some(message.freeze())
    }
}
