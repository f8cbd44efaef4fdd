//! One connection of a link between gateways.

use crate::protocol::limits;
use crate::protocol::link::{self, Decoder};
use crate::transport::outbox::{Outgoing, Written};
use crate::transport::stream::{Progress, Stream};
use deckproxy_sites::frame::{Frame, Say};
use std::collections::BTreeSet;
use std::io;

/// Key of what is no attempt; those are numbered from 1.
const OTHER: u64 = 0;

/// A connection, or one that is being made.
pub struct Line {
    /// The socket and its buffers.
    pub stream: Stream,
    decoder: Decoder,
    /// Attempts that are not written whole.
    waiting: BTreeSet<u64>,
    taken: bool,
    /// Nothing that comes is looked at; it closes once what waits is written.
    pub closing: bool,
    written: Vec<Written>,
}

impl Line {
    /// A connection, made or being made.
    pub fn new(stream: Stream) -> Self {
        Line {
            stream,
            decoder: Decoder,
            waiting: BTreeSet::new(),
            taken: false,
            closing: false,
            written: Vec::new(),
        }
    }

    /// Reads what has come.
    pub fn read(&mut self) -> Progress {
        self.stream.read()
    }

    /// The next frame that has come whole.
    pub fn take_frame(&mut self) -> Result<Option<Frame>, &'static str> {
        if self.closing {
            self.stream.input.clear();
            return Ok(None);
        }
        let frame = self.decoder.next(&mut self.stream.input)?;
        if frame.is_some() {
            self.taken = true;
        } else {
            self.stream.lacks = self.decoder.lacks(&self.stream.input);
            self.stream.trim(std::mem::take(&mut self.taken));
        }
        Ok(frame)
    }

    /// Appends a frame.
    pub fn send(&mut self, frame: &Frame) {
        let key = match &frame.say {
            Some(Say::Ask(ask)) => ask.number,
            _ => OTHER,
        };
        if key != OTHER {
            self.waiting.insert(key);
        }
        self.stream.push(Outgoing::whole(key, link::frame(frame)));
    }

    /// Whether a further piece of a body may be put there.
    pub fn takes_pieces(&self) -> bool {
        !self.closing && self.stream.queued() < limits::LINK_OUTGOING
    }

    /// Attempts of which no byte was written; they never will be.
    pub fn unsent(&mut self) -> Vec<u64> {
        let waiting = std::mem::take(&mut self.waiting);
        waiting.into_iter().filter(|number| self.stream.withdraw(*number)).collect()
    }

    /// Writes what the kernel takes.
    pub fn flush(&mut self) -> io::Result<()> {
        self.stream.flush(&mut self.written)?;
        for Written { key, .. } in self.written.drain(..) {
            self.waiting.remove(&key);
        }
        Ok(())
    }
}
