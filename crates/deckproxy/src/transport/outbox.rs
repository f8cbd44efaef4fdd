//! What waits to be written to one connection.

use bytes::Bytes;
use std::collections::VecDeque;
use std::io::{self, IoSlice, Write};

/// Slices handed to the kernel in one call, at most.
const SLICES: usize = 48;

/// One encoded message. Its key tells its owner which one has been written.
#[derive(Debug)]
pub struct Outgoing {
    /// The owner's name for it.
    pub key: u64,
    /// Its bytes, in order; the body in the middle is shared, not copied.
    pub parts: [Bytes; 3],
}

impl Outgoing {
    /// A message in one piece.
    pub fn whole(key: u64, bytes: impl Into<Bytes>) -> Self {
        Outgoing { key, parts: [bytes.into(), Bytes::new(), Bytes::new()] }
    }

    /// Its length in bytes.
    pub fn len(&self) -> usize {
        self.parts.iter().map(Bytes::len).sum()
    }

    /// Whether it has no bytes.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// A message that is with the kernel whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Written {
    /// Its owner's name for it.
    pub key: u64,
    /// Its length in bytes.
    pub bytes: usize,
}

/// Messages in order, the first of them perhaps written in part.
#[derive(Debug, Default)]
pub struct Outbox {
    queue: VecDeque<Outgoing>,
    /// Bytes of the first message that are with the kernel.
    sent: usize,
    bytes: usize,
}

impl Outbox {
    /// Appends a message.
    pub fn push(&mut self, message: Outgoing) {
        self.bytes += message.len();
        self.queue.push_back(message);
    }

    /// Bytes not yet with the kernel.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Whether all is written.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// The key of a message that is with the kernel in part, and how many bytes of it are.
    pub fn cut(&self) -> Option<Written> {
        let first = self.queue.front().filter(|_| self.sent > 0)?;
        Some(Written { key: first.key, bytes: self.sent })
    }

    /// Takes a message back of which no byte is written. Tells whether it was found so.
    pub fn withdraw(&mut self, key: u64) -> bool {
        let Some(at) = self.queue.iter().position(|m| m.key == key) else { return false };
        if at == 0 && self.sent > 0 {
            return false;
        }
        if let Some(message) = self.queue.remove(at) {
            self.bytes -= message.len();
        }
        true
    }

    /// Writes until all is with the kernel or it takes no more; appends the messages written whole.
    /// Tells whether the kernel took all.
    pub fn flush(&mut self, socket: &mut impl Write, written: &mut Vec<Written>) -> io::Result<bool> {
        while !self.queue.is_empty() {
            let mut skip = self.sent;
            let mut slices = Vec::with_capacity(SLICES);
            for part in self.queue.iter().flat_map(|m| &m.parts).filter(|p| !p.is_empty()) {
                let gone = skip.min(part.len());
                skip -= gone;
                if gone < part.len() {
                    slices.push(IoSlice::new(&part[gone..]));
                }
                if slices.len() == SLICES {
                    break;
                }
            }
            match socket.write_vectored(&slices) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(n) => self.advance(n, written),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Ok(false),
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        Ok(true)
    }

    fn advance(&mut self, bytes: usize, written: &mut Vec<Written>) {
        self.bytes -= bytes;
        self.sent += bytes;
        while let Some(len) = self.queue.front().map(Outgoing::len).filter(|len| *len <= self.sent) {
            self.sent -= len;
            written.extend(self.queue.pop_front().map(|m| Written { key: m.key, bytes: len }));
        }
    }
}
