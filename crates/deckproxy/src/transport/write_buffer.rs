//! The write buffer of one connection.

use bytes::Bytes;
use std::collections::VecDeque;
use std::io::{self, ErrorKind, IoSlice, Write};

/// Maximum number of slices in one vectored write.
const MAX_SLICES: usize = 48;
/// Bytes that the allocator and shared ownership add to the encoded bytes of a message.
const ALLOCATION_OVERHEAD_BYTES: usize = 64;

/// One encoded message.
#[derive(Debug)]
pub struct OutgoingMessage {
    /// Identifies the message to its owner.
    pub key: u64,
    /// The encoded bytes, in order; the body in the middle is shared, not copied.
    pub parts: [Bytes; 3],
}

impl OutgoingMessage {
    /// A message in a single part.
    pub fn single(key: u64, bytes: impl Into<Bytes>) -> Self {
        OutgoingMessage { key, parts: [bytes.into(), Bytes::new(), Bytes::new()] }
    }

    /// Length in bytes.
    pub fn len(&self) -> usize {
        self.parts.iter().map(Bytes::len).sum()
    }

    /// Whether the message has no bytes.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// A message of which the kernel accepted some or all bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WrittenMessage {
    /// Identifies the message to its owner.
    pub key: u64,
    /// Bytes of the message that the kernel accepted.
    pub bytes: usize,
}

/// A queue of messages, of which the first may be partially written.
#[derive(Debug, Default)]
pub struct WriteBuffer {
    queue: VecDeque<OutgoingMessage>,
    /// Bytes of the first message that the kernel accepted.
    first_written: usize,
    /// Bytes waiting to be written.
    bytes: usize,
}

impl WriteBuffer {
    /// Appends a message.
    pub fn push(&mut self, message: OutgoingMessage) {
        self.bytes += message.len();
        self.queue.push_back(message);
    }

    /// Bytes that the kernel has not accepted yet.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Bytes of memory that the waiting messages take: far more than their own bytes if these are few.
    pub fn held_bytes(&self) -> usize {
        let queue = self.queue.capacity() * size_of::<OutgoingMessage>();
        self.bytes + queue + self.queue.len() * ALLOCATION_OVERHEAD_BYTES
    }

    /// Whether no message is waiting.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// The partially written message with the number of bytes written; none if there is no such message.
    pub fn partially_written(&self) -> Option<WrittenMessage> {
        let first = self.queue.front().filter(|_| self.first_written > 0)?;
        Some(WrittenMessage { key: first.key, bytes: self.first_written })
    }

    /// Removes a message of which no byte is written. Returns whether it was removed.
    pub fn cancel(&mut self, key: u64) -> bool {
        let Some(position) = self.queue.iter().position(|message| message.key == key) else { return false };
        if position == 0 && self.first_written > 0 {
            return false;
        }
        if let Some(message) = self.queue.remove(position) {
            self.bytes -= message.len();
        }
        true
    }

    /// Writes until the buffer is empty or the kernel would block, and appends completely written messages to
    /// `written`. Returns whether the buffer is empty.
    ///
    /// # Errors
    /// The error of the socket if writing fails; [`ErrorKind::WriteZero`] if it accepts no bytes.
    pub fn flush(&mut self, socket: &mut impl Write, written: &mut Vec<WrittenMessage>) -> io::Result<bool> {
        while !self.queue.is_empty() {
            match socket.write_vectored(&self.slices()) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(bytes) => self.advance(bytes, written),
                Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(false),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        // Frees the queue, which may have grown large.
        self.queue = VecDeque::new();
        Ok(true)
    }

    /// The first unwritten bytes, as slices for a vectored write.
    fn slices(&self) -> Vec<IoSlice<'_>> {
        let mut written = self.first_written;
        let mut slices = Vec::with_capacity(MAX_SLICES);
        for part in self.queue.iter().flat_map(|message| &message.parts).filter(|part| !part.is_empty()) {
            let skipped = written.min(part.len());
            written -= skipped;
            if skipped < part.len() {
                slices.push(IoSlice::new(&part[skipped..]));
            }
            if slices.len() == MAX_SLICES {
                break;
            }
        }
        slices
    }

    /// Records that the kernel accepted `bytes`, and moves completely written messages from the queue to `written`.
    fn advance(&mut self, bytes: usize, written: &mut Vec<WrittenMessage>) {
        self.bytes -= bytes;
        self.first_written += bytes;
        while let Some(length) =
            self.queue.front().map(OutgoingMessage::len).filter(|length| *length <= self.first_written)
        {
            self.first_written -= length;
            let message = self.queue.pop_front();
            written.extend(message.map(|message| WrittenMessage { key: message.key, bytes: length }));
        }
    }
}
