//! Finds the end of a MessagePack value without decoding it.

use crate::protocol::downstream::error::RequestError;
use crate::protocol::limits;
use rmp::Marker;

/// Extent of a value, as declared by its head.
struct Extent {
    /// Bytes of the head and of the data whose length it declares.
    bytes: usize,
    /// Number of values that follow as its elements.
    values: u64,
}

impl Extent {
    fn of(bytes: usize) -> Extent {
        Extent { bytes, values: 0 }
    }
}

/// The extent of the value at the start of `bytes`; `None` if its head is not complete.
fn extent(bytes: &[u8]) -> Result<Option<Extent>, RequestError> {
    let Some(first) = bytes.first() else { return Ok(None) };
    let number = |size: usize| {
        let number = bytes.get(1..1 + size)?;
        Some(number.iter().fold(0usize, |n, byte| n << 8 | usize::from(*byte)))
    };
    // Data with a length of `size` bytes, and `type_bytes` bytes for the type of an extension.
    let data = |size: usize, type_bytes: usize| number(size).map(|n| Extent::of(1 + size + type_bytes + n));
    // A collection with a count of `size` bytes and `each` values per element: two in a map.
    let list =
        |size: usize, each: u64| number(size).map(|n| Extent { bytes: 1 + size, values: each * n as u64 });
    Ok(match Marker::from_u8(*first) {
        Marker::FixPos(_) | Marker::FixNeg(_) | Marker::Null | Marker::True | Marker::False => {
            Some(Extent::of(1))
        }
        Marker::U8 | Marker::I8 => Some(Extent::of(2)),
        Marker::U16 | Marker::I16 | Marker::FixExt1 => Some(Extent::of(3)),
        Marker::U32 | Marker::I32 | Marker::F32 => Some(Extent::of(5)),
        Marker::U64 | Marker::I64 | Marker::F64 => Some(Extent::of(9)),
        Marker::FixStr(n) => Some(Extent::of(1 + usize::from(n))),
        Marker::Str8 | Marker::Bin8 => data(1, 0),
        Marker::Str16 | Marker::Bin16 => data(2, 0),
        Marker::Str32 | Marker::Bin32 => data(4, 0),
        Marker::FixExt2 => Some(Extent::of(4)),
        Marker::FixExt4 => Some(Extent::of(6)),
        Marker::FixExt8 => Some(Extent::of(10)),
        Marker::FixExt16 => Some(Extent::of(18)),
        Marker::Ext8 => data(1, 1),
        Marker::Ext16 => data(2, 1),
        Marker::Ext32 => data(4, 1),
        Marker::FixArray(n) => Some(Extent { bytes: 1, values: u64::from(n) }),
        Marker::Array16 => list(2, 1),
        Marker::Array32 => list(4, 1),
        Marker::FixMap(n) => Some(Extent { bytes: 1, values: 2 * u64::from(n) }),
        Marker::Map16 => list(2, 2),
        Marker::Map32 => list(4, 2),
        Marker::Reserved => return Err(RequestError::ReservedByte),
    })
}

/// Skips one value of a complete message.
pub(super) fn skip_value(rest: &mut &[u8]) -> Result<(), RequestError> {
    let mut left = 1;
    while left > 0 {
        let extent = extent(rest)?.ok_or(RequestError::ValueCutShort)?;
        *rest = rest.get(extent.bytes..).ok_or(RequestError::ValueCutShort)?;
        left = left - 1 + extent.values;
    }
    Ok(())
}

/// Finds the end of one message that is received in several reads.
#[derive(Debug, Default)]
pub(super) struct Scanner {
    /// Offset of the next value in the message; may be beyond the bytes received.
    position: usize,
    /// Values still to skip; `None` between messages. It is `Some(0)` while the end of the last value, a body, has not
    /// been received, which differs from being between messages.
    left: Option<u64>,
    /// Number of values skipped so far.
    values: u64,
    /// Bytes of the message that were dropped from the start of the buffer.
    dropped: usize,
}

impl Scanner {
    /// Continues the scan in the bytes received so far of a message. Returns its length once it is complete.
    pub(super) fn scan(&mut self, bytes: &[u8]) -> Result<Option<usize>, RequestError> {
        if self.left.is_none() {
            match bytes.first().map(|byte| Marker::from_u8(*byte)) {
                None => return Ok(None),
                Some(Marker::FixArray(_) | Marker::Array16 | Marker::Array32) => self.left = Some(1),
                Some(_) => return Err(RequestError::NotAMessage),
            }
        }
        let mut left = self.left.unwrap_or(0);
        while left > 0 && self.position < bytes.len() {
            let Some(extent) = extent(&bytes[self.position..])? else { return Ok(None) };
            self.position += extent.bytes;
            self.values += 1;
            left = left - 1 + extent.values;
            self.left = Some(left);
            if self.dropped + self.position > limits::CLIENT_MESSAGE
                || self.values + left > limits::CLIENT_VALUES
            {
                return Err(RequestError::MessageTooLarge);
            }
        }
        let complete = left == 0 && self.position <= bytes.len();
        Ok(complete.then_some(self.position))
    }

    /// Whether a part of a message was scanned.
    pub(super) fn is_mid_message(&self) -> bool {
        self.left.is_some()
    }

    /// Records that the scanned bytes among the `have` bytes received are dropped from the buffer. Returns their number.
    pub(super) fn drop_scanned(&mut self, have: usize) -> usize {
        let bytes = self.position.min(have);
        self.position -= bytes;
        self.dropped += bytes;
        bytes
    }

    /// Minimum number of bytes that are still missing of a message after `have` bytes were received.
    pub(super) fn missing(&self, have: usize) -> usize {
        self.position.saturating_sub(have)
    }
}
