//! Links to gateways of other sites.

use crate::protocol::limits;
use crate::protocol::link::{self, Decoder, FrameError};
use crate::transport::buffer_usage::BufferUsage;
use crate::transport::listener::Listener;
use crate::transport::stream::{Progress, Stream};
use crate::transport::write_buffer::{OutgoingMessage, WrittenMessage};
use deckproxy_sites::frame::{Frame, Payload};
use std::collections::{BTreeSet, HashMap};
use std::io;
use std::rc::Rc;

/// Key of what is no attempt; those are numbered from 1.
const OTHER: u64 = 0;

/// Where a link leads that is not established yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LinkTarget {
    /// The peer, by its position in the operator file.
    pub peer: usize,
    /// Which of the peer's addresses.
    pub address_index: usize,
}

/// A link, established or not.
pub struct SiteLink {
    /// The socket and its buffers.
    pub stream: Stream,
    /// Where it leads, while it is not established.
    pub connecting: Option<LinkTarget>,
    decoder: Decoder,
    /// Attempts that are not written completely.
    unwritten: BTreeSet<u64>,
    /// A frame was taken off the buffer since that was trimmed.
    taken: bool,
    /// Nothing that comes is handled; it closes once what waits is written.
    pub closing: bool,
    written: Vec<WrittenMessage>,
}

impl SiteLink {
    /// A link that was accepted, or that is being established to a target.
    pub fn new(stream: Stream, connecting: Option<LinkTarget>) -> Self {
        SiteLink {
            stream,
            connecting,
            decoder: Decoder,
            unwritten: BTreeSet::new(),
            taken: false,
            closing: false,
            written: Vec::new(),
        }
    }

    /// Reads what has come.
    pub fn read(&mut self) -> Progress {
        self.stream.read()
    }

    /// The next complete frame.
    ///
    /// # Errors
    /// What comes can't be decoded: the link is of no more use.
    pub fn take_frame(&mut self) -> Result<Option<Frame>, FrameError> {
        if self.closing {
            self.stream.input.clear();
            return Ok(None);
        }
        let frame = self.decoder.next(&mut self.stream.input)?;
        if frame.is_some() {
            self.taken = true;
        } else {
            self.stream.missing = self.decoder.missing(&self.stream.input);
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
            self.unwritten.insert(key);
        }
        self.stream.push(OutgoingMessage::single(key, link::encode_frame(frame)));
    }

    /// Whether a further piece of a body may be appended.
    pub fn accepts_pieces(&self) -> bool {
        !self.closing && self.stream.unwritten_bytes() < limits::LINK_WRITE_BUFFER
    }

    /// Takes the attempts of which no byte was written; they never will be.
    pub fn take_unsent(&mut self) -> Vec<u64> {
        let unwritten = std::mem::take(&mut self.unwritten);
        unwritten.into_iter().filter(|number| self.stream.cancel(*number)).collect()
    }

    /// Writes what the kernel takes.
    ///
    /// # Errors
    /// The error of the socket if writing fails.
    pub fn flush(&mut self) -> io::Result<()> {
        self.stream.flush(&mut self.written)?;
        for WrittenMessage { key, .. } in self.written.drain(..) {
            self.unwritten.remove(&key);
        }
        Ok(())
    }
}

/// All links.
pub struct SiteLinks {
    /// Where links come in, if they do.
    pub listener: Option<Listener>,
    /// Some may wait to be accepted.
    pub accept_pending: bool,
    /// The links, established or not, by number.
    pub open: HashMap<u64, SiteLink>,
    /// Those with something to write.
    pub to_flush: BTreeSet<u64>,
    /// Bytes in their buffers.
    pub usage: Rc<BufferUsage>,
    /// How many there may be, in both directions.
    pub limit: usize,
}

impl SiteLinks {
    /// No links yet, in a process with so many descriptors.
    pub fn new(listener: Option<Listener>, sockets: usize) -> Self {
        SiteLinks {
            listener,
            accept_pending: true,
            open: HashMap::new(),
            to_flush: BTreeSet::new(),
            usage: Rc::default(),
            limit: (sockets / limits::LINK_SHARE).max(1),
        }
    }

    /// Bytes in their buffers.
    pub fn buffered_bytes(&self) -> usize {
        self.usage.total()
    }

    /// Whether all is written.
    pub fn is_written(&self) -> bool {
        self.open.values().all(|link| link.stream.unwritten_bytes() == 0)
    }
}
