//! A client's connection.

use crate::protocol::downstream::{self, Answer, Decoder, Message, ProtocolError};
use crate::protocol::limits;
use crate::transport::outbox::{Outgoing, Written};
use crate::transport::stream::{Progress, Stream};
use bytes::Bytes;
use std::io;

/// Keys of what goes out: the answer to a request that counts as open until it is written, or anything else.
const COUNTED: u64 = 1;
const OTHER: u64 = 0;

/// A client's connection with its requests.
pub struct Client {
    /// The socket and its buffers.
    pub stream: Stream,
    decoder: Decoder,
    /// Requests whose answer is not with the kernel yet.
    open: usize,
    /// When it was accepted, when something last came or went, and since when a message is on its way.
    opened: f64,
    moved: f64,
    /// When there was last nothing more to read.
    heard: f64,
    /// Since when what waits for it does not move.
    stuck: Option<f64>,
    partial: Option<f64>,
    /// A message was taken off the buffer since that was trimmed.
    taken: bool,
    /// The id that its next request has; none came yet where it is 1.
    next_id: u32,
    /// Requests taken back since one was answered.
    taken_back: usize,
    /// Bytes that wait to go out and answer no open request.
    refusals: usize,
    /// Nothing that comes is looked at; it closes once what waits is written.
    closing: bool,
    /// When the other side was told that nothing more comes.
    shut: Option<f64>,
    written: Vec<Written>,
}

impl Client {
    /// A connection just accepted.
    pub fn new(stream: Stream, now: f64) -> Self {
        let (decoder, written) = (Decoder::default(), Vec::new());
        Client {
            stream,
            decoder,
            open: 0,
            opened: now,
            moved: now,
            heard: now,
            stuck: None,
            partial: None,
            taken: false,
            next_id: 1,
            taken_back: 0,
            refusals: 0,
            closing: false,
            shut: None,
            written,
        }
    }

    /// Reads what has come.
    pub fn read(&mut self, now: f64) -> Progress {
        let before = self.stream.input.len();
        let progress = self.stream.read();
        if self.stream.input.len() > before {
            self.moved = now;
        }
        if progress == Progress::Drained {
            self.heard = now;
        }
        progress
    }

    /// When all that had come was read.
    pub fn heard(&self) -> f64 {
        self.heard
    }

    /// Whether it leaves more refusals and pongs unread than it may.
    pub fn is_overfull(&self) -> bool {
        !self.closing && self.refusals > limits::CLIENT_REJECTIONS
    }

    /// Whether the rest of a message is still to come.
    pub fn is_amid(&self) -> bool {
        self.partial.is_some()
    }

    /// Whether it has sent a whole message that can be used.
    pub fn is_proven(&self) -> bool {
        self.next_id > 1
    }

    /// When it was accepted.
    pub fn opened(&self) -> f64 {
        self.opened
    }

    /// Whether it keeps a message waiting for so long: its first one, or the rest of one that has begun.
    pub fn is_overdue(&self, now: f64) -> bool {
        let waiting = if self.is_proven() { self.partial } else { Some(self.opened) };
        !self.closing && waiting.is_some_and(|since| now - since > limits::CLIENT_READ_TIMEOUT)
    }

    /// Takes the id of a message. Tells whether it follows the one before.
    pub fn follows(&mut self, id: u32) -> bool {
        let follows = id == self.next_id;
        self.next_id = id.saturating_add(1).max(2);
        follows
    }

    /// Begins to close: nothing that comes is looked at, what waits is written.
    pub fn begin_close(&mut self) {
        self.closing = true;
    }

    /// Whether it is closing.
    pub fn is_closing(&self) -> bool {
        self.closing
    }

    /// The next message that has come whole.
    pub fn take_message(&mut self) -> Result<Option<Message>, ProtocolError> {
        if self.closing {
            self.partial = None;
            self.stream.input.clear();
            self.stream.trim(true);
            return Ok(None);
        }
        let message = self.decoder.next(&mut self.stream.input);
        if message != Ok(None) {
            (self.partial, self.taken) = (None, true);
        } else {
            let begun = !self.stream.input.is_empty();
            self.partial = begun.then(|| self.partial.unwrap_or(self.moved));
            self.stream.lacks = self.decoder.lacks(self.stream.input.len());
            self.stream.trim(std::mem::take(&mut self.taken));
        }
        message
    }

    /// Counts a request as open. Tells whether there was room for it.
    pub fn admit(&mut self) -> bool {
        let room = self.open < limits::CLIENT_REQUESTS;
        self.open += usize::from(room);
        room
    }

    /// Bytes that it holds here.
    pub fn holds(&self) -> usize {
        self.stream.input.len() + self.stream.queued()
    }

    /// Whether no request is open and nothing waits to go out.
    pub fn is_idle(&self) -> bool {
        self.open == 0 && self.stream.queued() == 0
    }

    /// Whether it has read nothing of what waits for it for so long, whatever it goes on sending.
    pub fn is_stalled(&self, now: f64) -> bool {
        self.stuck.is_some_and(|since| now - since > limits::CLIENT_WRITE_TIMEOUT)
    }

    /// Since when nothing came or went.
    pub fn idle_since(&self) -> f64 {
        self.moved
    }

    /// Appends the answer to an admitted request, or to one that was not.
    pub fn answer(&mut self, id: u32, answer: &Answer, admitted: bool) {
        let key = if admitted { COUNTED } else { OTHER };
        self.append(Outgoing { key, parts: downstream::encode_answer(id, answer) });
    }

    /// Appends bytes that answer no request.
    pub fn push(&mut self, bytes: Bytes) {
        self.append(Outgoing::whole(OTHER, bytes));
    }

    fn append(&mut self, message: Outgoing) {
        if message.key == OTHER {
            self.refusals += message.len();
        }
        self.stream.push(message);
    }

    /// A request left without an answer. Tells whether that were too many one after another.
    pub fn release(&mut self) -> bool {
        self.open = self.open.saturating_sub(1);
        self.taken_back += 1;
        self.taken_back > limits::CLIENT_CANCELLATIONS
    }

    /// Whether the other side was told that nothing more comes.
    pub fn is_shut(&self) -> bool {
        self.shut.is_some()
    }

    /// Whether something still comes on a connection that was shut, though not for ever: closed over what comes it would
    /// be reset, and what the other side has not read yet taken back (lingering close).
    pub fn still_comes(&self, now: f64) -> bool {
        self.shut
            .is_some_and(|since| now - since < limits::CLOSING_INTERVAL && now - self.moved < limits::LINGER)
    }

    /// Where it is closing, nothing is owed on it and all is written, tells the other side that nothing more comes. Tells
    /// whether it did so now.
    pub fn shut(&mut self, now: f64) -> bool {
        let due = self.closing && self.is_idle() && self.shut.is_none();
        if due {
            self.shut = Some(now);
            self.stream.shut();
        }
        due
    }

    /// Writes what the kernel takes, and tells of each message that it took whole, in order.
    pub fn flush(&mut self, now: f64, mut whole: impl FnMut(usize)) -> io::Result<()> {
        let before = self.stream.queued();
        let done = self.stream.flush(&mut self.written);
        if self.stream.queued() < before {
            self.moved = now;
            self.stuck = None;
        }
        self.stuck = (self.stream.queued() > 0).then(|| self.stuck.unwrap_or(now));
        for Written { key, bytes } in self.written.drain(..) {
            whole(bytes);
            if key == COUNTED {
                self.open = self.open.saturating_sub(1);
                self.taken_back = 0;
            } else {
                self.refusals -= bytes;
            }
        }
        done
    }
}
