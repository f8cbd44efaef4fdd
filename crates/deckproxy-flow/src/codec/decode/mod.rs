//! The decoder: reads messages as a collector does.
//!
//! Any input can be decoded safely: every length is checked, and the size of each stored or returned collection is
//! limited.

mod sets;
mod splitter;

pub use splitter::MessageSplitter;

use super::{Element, IPFIX_HEADER_LENGTH, NETFLOW_V9_HEADER_LENGTH, Template, Value, Version};
use bytes::{Buf, Bytes};
use sets::SetReader;
use std::collections::{BTreeMap, HashMap};
use std::fmt;

/// Sequence numbers are counted modulo 2^32: a distance of at least this much means that the number is behind
/// the expected one.
const FIRST_BACKWARD_DISTANCE: u32 = 1 << 31;

/// Limits on the data that a decoder stores and returns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Observation domains of one exporter.
    pub domains: usize,
    /// Templates of one domain.
    pub templates: usize,
    /// Fields of one template.
    pub fields: usize,
    /// Records of one message.
    pub records: usize,
    /// Milliseconds after which a template expires unless it is repeated; 0: never (TCP).
    pub template_lifetime: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { domains: 64, templates: 256, fields: 128, records: 32_768, template_lifetime: 0 }
    }
}

/// Why a message, or the rest of one, was not decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DecodeError {
    /// The version is neither IPFIX nor NetFlow v9.
    UnknownVersion,
    /// A length does not match the data.
    InvalidLength,
    /// One of the [`Limits`] is exceeded.
    LimitExceeded,
    /// A template is malformed.
    InvalidTemplate,
}

/// The texts appear in the log of the lab's collector, so they stay as they are.
impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            DecodeError::UnknownVersion => "Version",
            DecodeError::InvalidLength => "Length",
            DecodeError::LimitExceeded => "Limit",
            DecodeError::InvalidTemplate => "Template",
        })
    }
}

impl std::error::Error for DecodeError {}

/// A data record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DecodedRecord {
    /// The number of scope fields of the record's template; 0: the record is a flow.
    pub scope: u16,
    /// The elements of the template with their values.
    pub values: Vec<(Element, Value)>,
}

/// The content of a message.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DecodedMessage {
    /// The observation domain.
    pub domain: u32,
    /// When the message was exported, Unix seconds.
    pub exported: u32,
    /// The sequence number of the header.
    pub sequence: u32,
    /// Records (IPFIX) or messages (NetFlow v9) missing before this message, according to its sequence number.
    pub missing: u32,
    /// The data records.
    pub records: Vec<DecodedRecord>,
    /// The number of sets with an unknown template.
    pub unknown_sets: usize,
    /// The number of templates that were defined or withdrawn.
    pub templates: usize,
    /// Why the rest of the message was not decoded; `None`: there was no error.
    pub error: Option<DecodeError>,
}

/// A template with the time of its last definition, in milliseconds.
#[derive(Debug)]
struct StoredTemplate {
    template: Template,
    defined_at: u64,
}

#[derive(Debug, Default)]
struct Domain {
    templates: BTreeMap<u16, StoredTemplate>,
    /// The sequence number that the next message should have.
    next_sequence: Option<u32>,
}

impl Domain {
    /// Records or messages missing before `sequence`. A number behind the expected one belongs to a late or
    /// duplicate message, or to a restarted exporter: nothing is missing.
    fn missing_before(&self, sequence: u32) -> u32 {
        let distance = self.next_sequence.map_or(0, |next| sequence.wrapping_sub(next));
        if distance < FIRST_BACKWARD_DISTANCE { distance } else { 0 }
    }
}

/// Decodes the messages of one exporter and stores its templates.
#[derive(Debug)]
pub struct Decoder {
    limits: Limits,
    domains: HashMap<(Version, u32), Domain>,
}

impl Decoder {
    /// A decoder without any templates.
    pub fn new(limits: Limits) -> Self {
        Decoder { limits, domains: HashMap::new() }
    }

    /// Decodes one message. `now`: milliseconds on any clock. After an error the result contains the data
    /// decoded before it.
    pub fn decode(&mut self, now: u64, message: &Bytes) -> DecodedMessage {
        let mut decoded = DecodedMessage::default();
        if let Err(error) = self.read(now, message.clone(), &mut decoded) {
            decoded.error = Some(error);
        }
        decoded
    }

    fn read(&mut self, now: u64, mut rest: Bytes, decoded: &mut DecodedMessage) -> Result<(), DecodeError> {
        let version = read_header(&mut rest, decoded)?;
        let key = (version, decoded.domain);
        if !self.domains.contains_key(&key) && self.domains.len() >= self.limits.domains {
            return Err(DecodeError::LimitExceeded);
        }
        let limits = self.limits;
        let domain = self.domains.entry(key).or_default();
        if limits.template_lifetime > 0 {
            let is_current =
                |stored: &StoredTemplate| now.saturating_sub(stored.defined_at) <= limits.template_lifetime;
            domain.templates.retain(|_, stored| is_current(stored));
        }
        decoded.missing = domain.missing_before(decoded.sequence);
        let result = SetReader { version, now, limits: &limits, domain, decoded }.read_sets(&mut rest);
        let counted = match version {
            // A message has at most 65,535 bytes, and therefore far fewer than 2^32 records.
            Version::Ipfix => u32::try_from(decoded.records.len()).unwrap_or(u32::MAX),
            Version::NetflowV9 => 1,
        };
        domain.next_sequence = Some(decoded.sequence.wrapping_add(counted));
        result
    }
}

/// Reads the header of the message in `rest`, and leaves the sets there.
fn read_header(rest: &mut Bytes, decoded: &mut DecodedMessage) -> Result<Version, DecodeError> {
    let number = rest.get(..2).map(|bytes| u16::from_be_bytes([bytes[0], bytes[1]]));
    let version = Version::from_number(number.ok_or(DecodeError::InvalidLength)?);
    let version = version.ok_or(DecodeError::UnknownVersion)?;
    match version {
        Version::Ipfix if rest.len() >= IPFIX_HEADER_LENGTH => {
            rest.advance(2);
            let length = usize::from(rest.get_u16());
            if length < IPFIX_HEADER_LENGTH || length > rest.len() + 4 {
                return Err(DecodeError::InvalidLength);
            }
            rest.truncate(length - 4);
            decoded.exported = rest.get_u32();
        }
        Version::NetflowV9 if rest.len() >= NETFLOW_V9_HEADER_LENGTH => {
            // Version, number of records, and uptime.
            rest.advance(8);
            decoded.exported = rest.get_u32();
        }
        Version::Ipfix | Version::NetflowV9 => return Err(DecodeError::InvalidLength),
    }
    decoded.sequence = rest.get_u32();
    decoded.domain = rest.get_u32();
    Ok(version)
}
