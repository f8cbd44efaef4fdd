//! Decoding the fields of a record.

use super::error::RecordError;

/// Most values of a load report.
const LOAD_VALUES_MAX: usize = 4;

/// The bytes of a record, and its name for errors. All offsets are in bytes.
pub(super) struct Fields<'a> {
    bytes: &'a [u8],
    part: &'static str,
}

impl<'a> Fields<'a> {
    pub(super) fn new(bytes: &'a [u8], part: &'static str) -> Self {
        Fields { bytes, part }
    }

    fn array<const N: usize>(&self, offset: usize) -> Result<[u8; N], RecordError> {
        let bytes = self.bytes.get(offset..offset + N).and_then(|bytes| bytes.try_into().ok());
        bytes.ok_or(RecordError::Truncated(self.part))
    }

    pub(super) fn u8(&self, offset: usize) -> Result<u8, RecordError> {
        Ok(u8::from_le_bytes(self.array(offset)?))
    }

    pub(super) fn u16(&self, offset: usize) -> Result<u16, RecordError> {
        Ok(u16::from_le_bytes(self.array(offset)?))
    }

    pub(super) fn u32(&self, offset: usize) -> Result<u32, RecordError> {
        Ok(u32::from_le_bytes(self.array(offset)?))
    }

    pub(super) fn u64(&self, offset: usize) -> Result<u64, RecordError> {
        Ok(u64::from_le_bytes(self.array(offset)?))
    }

    pub(super) fn f32(&self, offset: usize) -> Result<f32, RecordError> {
        Ok(f32::from_le_bytes(self.array(offset)?))
    }

    /// A number other than NaN; infinite ones are allowed.
    pub(super) fn f64(&self, offset: usize) -> Result<f64, RecordError> {
        let number = f64::from_le_bytes(self.array(offset)?);
        if number.is_nan() { Err(RecordError::NotANumber { part: self.part, offset }) } else { Ok(number) }
    }

    /// A whole number that is encoded as a float; fractions are truncated, and values out of range saturate.
    pub(super) fn whole_f32(&self, offset: usize) -> Result<u32, RecordError> {
        Ok(self.f32(offset)? as u32)
    }

    /// The bytes of the tail that a field refers to by an offset and a number of units; `unit` is the size of one in
    /// bytes.
    pub(super) fn tail(&self, offset: usize, tail: &'a [u8], unit: usize) -> Result<&'a [u8], RecordError> {
        let (start, count) = (self.u32(offset)? as usize, self.u32(offset + 4)? as usize);
        let end = count.checked_mul(unit).and_then(|length| length.checked_add(start));
        let bytes = end.and_then(|end| tail.get(start..end));
        let part = self.part;
        bytes.ok_or(RecordError::OutsideTail { part, offset: start, count, unit, tail: tail.len() })
    }

    /// The values of a load report, which are preceded by their number. Values past the maximum are ignored.
    pub(super) fn load_values(&self, offset: usize) -> Result<Vec<f32>, RecordError> {
        let count = usize::from(self.u8(offset)?).min(LOAD_VALUES_MAX);
        (0..count).map(|i| self.f32(offset + 1 + 4 * i)).collect()
    }
}
