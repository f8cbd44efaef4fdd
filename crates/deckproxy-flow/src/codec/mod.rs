//! IPFIX (RFC 7011) and NetFlow v9 (RFC 3954): templates, records, messages, both ways.
//!
//! A field's value is kept in the one form in which it goes over the wire: an unsigned number of up to eight bytes, or
//! bytes. What a number means is its element's.

mod decode;
pub mod elements;
mod encode;

pub use decode::{Collected, Decoder, Fault, Limits, Splitter};
pub use encode::{Encoder, Version};

use bytes::Bytes;

/// Length that says that a field's length stands before each value (RFC 7011, 7).
pub const VARIABLE: u16 = 0xffff;
/// Least id of a template, and of a set of data.
pub const FIRST_TEMPLATE: u16 = 256;

/// An information element, of IANA's registry or of an enterprise (RFC 7011, 3.2).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Element {
    /// Its number, below 2^15.
    pub id: u16,
    /// The enterprise that numbered it; none: IANA.
    pub enterprise: Option<u32>,
}

/// A field of a template.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Field {
    /// What it holds.
    pub element: Element,
    /// Its bytes, or `VARIABLE`.
    pub length: u16,
}

/// The form of a record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Template {
    /// Its id, from `FIRST_TEMPLATE` on.
    pub id: u16,
    /// The first so many fields are the scope of an options record; 0: the records are flows.
    pub scope: u16,
    /// The fields.
    pub fields: Vec<Field>,
}

impl Template {
    /// Bytes of its shortest record.
    pub fn least(&self) -> usize {
        self.fields.iter().map(|f| if f.length == VARIABLE { 1 } else { usize::from(f.length) }).sum()
    }
}

/// The value of a field.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Value {
    /// A number, sent in as many bytes as the field has (reduced size, RFC 7011, 6.2).
    Number(u64),
    /// Anything else: a text, an address.
    Bytes(Bytes),
}

impl Value {
    /// A text.
    pub fn text(text: &str) -> Self {
        Value::Bytes(Bytes::copy_from_slice(text.as_bytes()))
    }

    /// The number of a value that is one; bytes of at most eight count as one too.
    pub fn number(&self) -> Option<u64> {
        match self {
            Value::Number(n) => Some(*n),
            Value::Bytes(b) if b.len() <= 8 => Some(b.iter().fold(0, |n, b| n << 8 | u64::from(*b))),
            Value::Bytes(_) => None,
        }
    }

    /// The bytes that go over the wire in a field of that many.
    fn wire(&self, length: usize) -> Vec<u8> {
        match self {
            Value::Number(n) => {
                let all = n.to_be_bytes();
                let mut out = vec![0; length.saturating_sub(8)];
                out.extend(&all[8usize.saturating_sub(length)..]);
                out
            }
            Value::Bytes(bytes) => {
                // Texts of a fixed length end with zeros (RFC 7011, 6.1.6).
                let mut out = bytes[..bytes.len().min(length)].to_vec();
                out.resize(length, 0);
                out
            }
        }
    }
}
