//! Connections of links between gateways.

use crate::protocol::limits;
use crate::protocol::link::{self, Decoder, FrameError};
use crate::transport::listener::Listener;
use crate::transport::outbox::{Outgoing, Written};
use crate::transport::stream::{Ledger, Progress, Stream};
use deckproxy_sites::frame::{Frame, Payload};
use std::collections::{BTreeSet, HashMap};
use std::io;
use std::rc::Rc;

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
    pub fn take_frame(&mut self) -> Result<Option<Frame>, FrameError> {
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
        let key = match &frame.payload {
            Some(Payload::Request(request)) => request.number,
            _ => OTHER,
        };
        if key != OTHER {
            self.waiting.insert(key);
        }
        self.stream.push(Outgoing::whole(key, link::encode_frame(frame)));
    }

    /// Whether a further piece of a body may be put there.
    pub fn takes_pieces(&self) -> bool {
        !self.closing && self.stream.queued() < limits::LINK_WRITE_BUFFER
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

/// A connection of a link that is held: made, or being made to a peer's gateway, both by place.
pub struct Held {
    /// The connection.
    pub line: Line,
    /// Where it leads while it is being made.
    pub connecting: Option<(usize, usize)>,
}

/// All connections of links.
pub struct Lines {
    /// Where they come in.
    pub listener: Option<Listener>,
    /// Some wait to be accepted.
    pub accepting: bool,
    /// Those that are held, by number.
    pub held: HashMap<u64, Held>,
    /// Those with something to write.
    pub touched: BTreeSet<u64>,
    /// Bytes that they hold.
    pub ledger: Rc<Ledger>,
    /// How many may be held, both ways.
    pub most: usize,
}

impl Lines {
    /// None yet, of so many descriptors of the process.
    pub fn new(listener: Option<Listener>, sockets: usize) -> Self {
        Lines {
            listener,
            accepting: true,
            held: HashMap::new(),
            touched: BTreeSet::new(),
            ledger: Rc::default(),
            most: (sockets / limits::LINK_SHARE).max(1),
        }
    }

    /// Bytes that the connections hold.
    pub fn holds(&self) -> usize {
        self.ledger.input.get() + self.ledger.output.get()
    }

    /// Whether all is written.
    pub fn is_written(&self) -> bool {
        self.held.values().all(|h| h.line.stream.queued() == 0)
    }
}
