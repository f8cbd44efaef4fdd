//! Links to gateways of other sites.

use crate::protocol::limits;
use crate::protocol::link::{self, Decoder, FrameError};
use crate::transport::buffer_usage::BufferUsage;
use crate::transport::listener::Listener;
use crate::transport::stream::{Progress, READ_TURN_BYTES, Stream};
use crate::transport::write_buffer::{OutgoingMessage, WrittenMessage};
use deckproxy_sites::frame::{Frame, Payload};
use std::collections::{BTreeSet, HashMap};
use std::io;
use std::rc::Rc;

/// Key of frames that carry no attempt; attempts are numbered from 1.
const OTHER: u64 = 0;

/// The peer address to which a link is being established.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LinkTarget {
    /// The peer, by its position in the operator file.
    pub peer: usize,
    /// Index of the address in the peer's list.
    pub address_index: usize,
}

/// A link, established or not.
pub struct SiteLink {
    /// The socket and its buffers.
    pub stream: Stream,
    /// The target of a link that is not established yet.
    pub connecting: Option<LinkTarget>,
    decoder: Decoder,
    /// Numbers of the attempts that are not written completely.
    unwritten: BTreeSet<u64>,
    /// Whether a frame was decoded since the input buffer was last trimmed.
    consumed: bool,
    /// Received frames are dropped; the link closes once its write buffer is empty.
    pub closing: bool,
    /// Messages that the current flush has written completely; a field to reuse its memory.
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
            consumed: false,
            closing: false,
            written: Vec::new(),
        }
    }

    /// Reads the available bytes, up to the limit of one turn.
    pub fn read(&mut self) -> Progress {
        self.stream.read(READ_TURN_BYTES)
    }

    /// Removes the next complete frame from the input buffer and returns it.
    ///
    /// # Errors
    /// The received bytes can't be decoded; the link must be closed.
    pub fn take_frame(&mut self) -> Result<Option<Frame>, FrameError> {
        if self.closing {
            self.stream.input.clear();
            return Ok(None);
        }
        let frame = self.decoder.next(&mut self.stream.input)?;
        if frame.is_some() {
            self.consumed = true;
        } else {
            self.stream.missing = self.decoder.missing(&self.stream.input);
            self.stream.trim(std::mem::take(&mut self.consumed));
        }
        Ok(frame)
    }

    /// Appends a frame to the write buffer.
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

    /// Cancels the attempts of which no byte was written and returns their numbers. Clears the set of unwritten
    /// attempts.
    pub fn take_unsent(&mut self) -> Vec<u64> {
        let unwritten = std::mem::take(&mut self.unwritten);
        unwritten.into_iter().filter(|number| self.stream.cancel(*number)).collect()
    }

    /// Writes as much as the kernel accepts.
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
    /// Listener for links from other sites; none if this gateway accepts no links.
    pub listener: Option<Listener>,
    /// Whether links may be waiting to be accepted.
    pub accept_pending: bool,
    /// The links, established or not, by number.
    pub open: HashMap<u64, SiteLink>,
    /// Numbers of the links with bytes to write.
    pub to_flush: BTreeSet<u64>,
    /// Bytes in the links' buffers.
    pub usage: Rc<BufferUsage>,
    /// Maximum number of links, in both directions together.
    pub limit: usize,
}

impl SiteLinks {
    /// An empty set of links, limited to a fraction of the process's `sockets` descriptors.
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

    /// Bytes in the links' buffers.
    pub fn buffered_bytes(&self) -> usize {
        self.usage.total()
    }

    /// Whether the write buffers of all links are empty.
    pub fn is_written(&self) -> bool {
        self.open.values().all(|link| link.stream.unwritten_bytes() == 0)
    }
}
