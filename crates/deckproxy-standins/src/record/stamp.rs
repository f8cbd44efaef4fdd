//! Stamps: what tells the copy that a body is from.

/// The head of a body, which tells the copy that it is from.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Stamp {
    /// The object.
    pub object: u64,
    /// The part of the object.
    pub part: u32,
    /// When the origin issued the copy, Unix ms.
    pub issued: u64,
    /// The site of that origin.
    pub site: u32,
}

/// Bytes of a stamp.
pub const STAMP_SIZE: usize = 24;

impl Stamp {
    /// A body of that size in bytes (at least [`STAMP_SIZE`]) that begins with the stamp.
    pub fn body(&self, size: usize) -> Vec<u8> {
        let mut body = Vec::with_capacity(size.max(STAMP_SIZE));
        body.extend(self.object.to_be_bytes());
        body.extend(self.part.to_be_bytes());
        body.extend(self.issued.to_be_bytes());
        body.extend(self.site.to_be_bytes());
        // The rest depends on the position, so that pieces in a wrong order are detected.
        body.extend((STAMP_SIZE..size).map(|i| filler(self.object, i)));
        body
    }

    /// The stamp of a body; `None` if no origin made that body.
    pub fn read(body: &[u8]) -> Option<Stamp> {
        let u64_at = |at: usize| Some(u64::from_be_bytes(*body.get(at..)?.first_chunk()?));
        let u32_at = |at: usize| Some(u32::from_be_bytes(*body.get(at..)?.first_chunk()?));
        let stamp = Stamp { object: u64_at(0)?, part: u32_at(8)?, issued: u64_at(12)?, site: u32_at(20)? };
        let intact =
            body.iter().enumerate().skip(STAMP_SIZE).all(|(i, byte)| *byte == filler(stamp.object, i));
        intact.then_some(stamp)
    }
}

/// The byte at a position of an object's body, past the stamp.
fn filler(object: u64, position: usize) -> u8 {
    (position as u64).wrapping_mul(object | 1).to_be_bytes()[3]
}
