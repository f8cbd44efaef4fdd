//! Batches of events.

use super::EVENT_BYTES;
use super::error::WireError;
use super::event::{WireEvent, decode_event};
use super::fields::Fields;
use std::io::{self, Read};

/// Bytes of a batch's header after the length.
const HEADER_BYTES: usize = 16;
/// Most bytes accepted for one batch, its header included.
const BATCH_BYTES_MAX: usize = 1 << 30;

/// One batch; its records are decoded on access.
#[derive(Debug)]
pub struct Batch {
    /// The current time, in ms.
    pub now: f64,
    /// The batch's number.
    pub number: u32,
    /// Number of its records.
    count: usize,
    /// Header, records and tail.
    body: Vec<u8>,
}

/// Reads one batch; `None` at the end of the input.
///
/// # Errors
/// [`WireError`] if the input fails or ends within a batch, or if the batch's header is invalid.
pub fn read_batch(input: &mut impl Read) -> Result<Option<Batch>, WireError> {
    let Some(length) = read_length(input)? else { return Ok(None) };
    let body = read_body(input, length)?;
    let header = Fields::new(&body[..HEADER_BYTES], "the batch header");
    let now = header.f64(0).map_err(WireError::Header)?;
    let count = header.u32(8).map_err(WireError::Header)? as usize;
    let number = header.u32(12).map_err(WireError::Header)?;
    if !now.is_finite() {
        return Err(WireError::ClockNotFinite { batch: number });
    }
    if count.checked_mul(EVENT_BYTES).is_none_or(|needed| needed > length) {
        return Err(WireError::TooManyRecords { batch: number, count, length });
    }
    Ok(Some(Batch { now, number, count, body }))
}

/// Reads the length of a batch, which excludes its header; `None` at the end of the input.
fn read_length(input: &mut impl Read) -> Result<Option<usize>, WireError> {
    let mut length = [0u8; 4];
    let mut filled = 0;
    while filled < length.len() {
        match input.read(&mut length[filled..]) {
            Ok(0) if filled == 0 => return Ok(None),
            Ok(0) => return Err(WireError::Truncated("a frame's length")),
            Ok(count) => filled += count,
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) => return Err(WireError::Io(error)),
        }
    }
    Ok(Some(u32::from_le_bytes(length) as usize))
}

/// Reads the header of a batch and the `length` bytes after it.
fn read_body(input: &mut impl Read, length: usize) -> Result<Vec<u8>, WireError> {
    let total = HEADER_BYTES + length;
    if total > BATCH_BYTES_MAX {
        return Err(WireError::BatchTooLong { length, limit: BATCH_BYTES_MAX });
    }
    // The buffer grows with the bytes that arrive: the claimed length, which may be wrong, reserves no memory.
    let mut body = Vec::new();
    input.by_ref().take(total as u64).read_to_end(&mut body).map_err(WireError::Io)?;
    if body.len() < total { Err(WireError::Truncated("a batch")) } else { Ok(body) }
}

impl Batch {
    /// The number of records.
    pub fn len(&self) -> usize {
        self.count
    }

    /// Whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Decodes the record at a position into its instance and event.
    ///
    /// # Errors
    /// [`WireError`] if there is no record at this position or it cannot be decoded.
    pub fn event(&self, record: usize) -> Result<(u16, WireEvent), WireError> {
        let start = HEADER_BYTES + record * EVENT_BYTES;
        let bytes = self.body.get(start..start + EVENT_BYTES).filter(|_| record < self.count);
        let bytes = bytes.ok_or(WireError::Truncated("the records"))?;
        let tail = &self.body[HEADER_BYTES + self.count * EVENT_BYTES..];
        decode_event(bytes, tail).map_err(|error| WireError::Record { batch: self.number, record, error })
    }
}
