//! IPFIX (RFC 7011) and NetFlow v9 (RFC 3954): encoding and decoding of templates, records and messages.
//!
//! A value has the form in which it is transferred: an unsigned number of up to eight bytes, or a byte string. Its
//! meaning is defined by its element.
//!
//! - [`elements`]: the information elements in use.
//! - `version`: the protocols and their constants.
//! - `encode`, `decode`: messages to and from bytes.

mod decode;
pub mod elements;
mod encode;
mod version;

pub use decode::{DecodeError, DecodedMessage, DecodedRecord, Decoder, Limits, MessageSplitter};
pub use encode::Encoder;
pub use version::Version;
use version::{IPFIX_HEADER_LENGTH, NETFLOW_V9_HEADER_LENGTH};

use bytes::Bytes;

/// The field length of values that are preceded by their own lengths (RFC 7011, 7).
pub const VARIABLE_LENGTH: u16 = 0xffff;
/// The lowest id of a template, and of the data sets of that template (RFC 7011, 3.4.1).
pub const FIRST_TEMPLATE_ID: u16 = 256;
/// Marks a field whose enterprise number follows (RFC 7011, 3.2).
const ENTERPRISE_BIT: u16 = 0x8000;
/// The first byte of a value's length that announces a length of two more bytes (RFC 7011, 7).
const LONG_LENGTH: u8 = 255;

/// An information element of IANA's registry or of an enterprise (RFC 7011, 3.2).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Element {
    /// The number, below 2^15.
    pub id: u16,
    /// The enterprise that assigned the number; `None`: IANA.
    pub enterprise: Option<u32>,
}

/// A field of a template.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Field {
    /// The element of its values.
    pub element: Element,
    /// The length of its values in bytes, or [`VARIABLE_LENGTH`].
    pub length: u16,
}

/// The layout of records.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Template {
    /// The id, at least [`FIRST_TEMPLATE_ID`].
    pub id: u16,
    /// The number of leading fields that are the scope of an options record; 0: the records describe flows.
    pub scope: u16,
    /// The fields.
    pub fields: Vec<Field>,
}

impl Template {
    /// The length of the shortest record, bytes.
    pub fn min_record_length(&self) -> usize {
        self.fields.iter().map(|f| if f.length == VARIABLE_LENGTH { 1 } else { usize::from(f.length) }).sum()
    }
}

/// The value of a field.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Value {
    /// A number, encoded in as many bytes as the field has (reduced size, RFC 7011, 6.2).
    Number(u64),
    /// Any other value, such as a text or an address.
    Bytes(Bytes),
}

impl Value {
    /// A text value.
    pub fn text(text: &str) -> Self {
        Value::Bytes(Bytes::copy_from_slice(text.as_bytes()))
    }

    /// The value as a number; `None` for more than eight bytes. Bytes are read in network byte order.
    pub fn number(&self) -> Option<u64> {
        match self {
            Value::Number(n) => Some(*n),
            Value::Bytes(b) if b.len() <= 8 => Some(b.iter().fold(0, |n, b| n << 8 | u64::from(*b))),
            Value::Bytes(_) => None,
        }
    }

    /// The value encoded in `length` bytes: a number loses its high-order bytes, other values are truncated
    /// or padded with zeros.
    fn encode(&self, length: usize) -> Vec<u8> {
        match self {
            Value::Number(n) => {
                let all = n.to_be_bytes();
                let mut out = vec![0; length.saturating_sub(8)];
                out.extend(&all[8usize.saturating_sub(length)..]);
                out
            }
            Value::Bytes(bytes) => {
                // Texts of a fixed length are padded with zeros (RFC 7011, 6.1.6).
                let mut out = bytes[..bytes.len().min(length)].to_vec();
                out.resize(length, 0);
                out
            }
        }
    }
}
