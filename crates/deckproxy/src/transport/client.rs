//! A connection from a client.

use crate::protocol::downstream::{Answer, Decoder, Message, ProtocolError, encode_answer};
use crate::protocol::limits;
use crate::transport::stream::{Progress, Stream};
use crate::transport::write_buffer::{OutgoingMessage, WrittenMessage};
use bytes::Bytes;
use std::io;

/// Key of the answer to a request that counts as open until it is written.
const ANSWER: u64 = 1;
/// Key of all other messages.
const OTHER: u64 = 0;
/// The id of a connection's first request.
const FIRST_ID: u32 = 1;

/// A client's connection with its requests.
pub struct ClientConnection {
    /// The socket and its buffers.
    pub stream: Stream,
    decoder: Decoder,
    /// Requests whose answer the kernel has not accepted completely yet.
    open_requests: usize,
    /// When the connection was accepted, Unix ms.
    accepted_at: f64,
    /// When bytes were last read or written, Unix ms.
    active_at: f64,
    /// When a read last found no more bytes available, Unix ms.
    drained_at: f64,
    /// Since when no byte of a non-empty write buffer was written, Unix ms.
    stalled_since: Option<f64>,
    /// Since when the rest of a message is awaited, Unix ms.
    partial_since: Option<f64>,
    /// Whether a message was decoded since the input buffer was last trimmed.
    consumed: bool,
    /// The id that the next request must have.
    next_id: u32,
    /// Requests cancelled since the last answer to an open request was written.
    cancelled: usize,
    /// Bytes waiting to be written that answer no open request.
    other_bytes: usize,
    /// Received messages are dropped; the connection closes once no request is open and the write buffer is empty.
    closing: bool,
    /// When the connection was half-closed, Unix ms.
    half_closed_at: Option<f64>,
    /// Messages that the current flush has written completely; a field to reuse its memory.
    written: Vec<WrittenMessage>,
}

impl ClientConnection {
    /// A newly accepted connection.
    pub fn new(stream: Stream, now: f64) -> Self {
        ClientConnection {
            stream,
            decoder: Decoder::default(),
            open_requests: 0,
            accepted_at: now,
            active_at: now,
            drained_at: now,
            stalled_since: None,
            partial_since: None,
            consumed: false,
            next_id: FIRST_ID,
            cancelled: 0,
            other_bytes: 0,
            closing: false,
            half_closed_at: None,
            written: Vec::new(),
        }
    }

    /// Reads the available bytes, up to the limit of one turn.
    pub fn read(&mut self, now: f64) -> Progress {
        let before = self.stream.input.len();
        let progress = self.stream.read();
        if self.stream.input.len() > before {
            self.active_at = now;
        }
        if progress == Progress::Drained {
            self.drained_at = now;
        }
        progress
    }

    /// When a read last found no more bytes available, Unix ms.
    pub fn drained_at(&self) -> f64 {
        self.drained_at
    }

    /// Whether more bytes of rejections and pongs are waiting to be written than the limit allows.
    pub fn is_over_write_limit(&self) -> bool {
        !self.closing && self.other_bytes > limits::CLIENT_REJECTIONS
    }

    /// Whether a message has been received only in part.
    pub fn is_mid_message(&self) -> bool {
        self.partial_since.is_some()
    }

    /// Whether the client has sent a complete message with an id, even if its request is invalid.
    pub fn is_proven(&self) -> bool {
        self.next_id > FIRST_ID
    }

    /// When the connection was accepted, Unix ms.
    pub fn accepted_at(&self) -> f64 {
        self.accepted_at
    }

    /// Whether the first message, or the rest of a partial one, did not arrive within the read timeout.
    pub fn is_read_timed_out(&self, now: f64) -> bool {
        let waiting = if self.is_proven() { self.partial_since } else { Some(self.accepted_at) };
        !self.closing && waiting.is_some_and(|since| now - since > limits::CLIENT_READ_TIMEOUT)
    }

    /// Records the id of a message. Returns whether it is the expected next id.
    pub fn accept_id(&mut self, id: u32) -> bool {
        let follows = id == self.next_id;
        self.next_id = id.saturating_add(1).max(FIRST_ID + 1);
        follows
    }

    /// Starts to close: received messages are dropped, open requests are still answered.
    pub fn begin_close(&mut self) {
        self.closing = true;
    }

    /// Whether the connection is closing.
    pub fn is_closing(&self) -> bool {
        self.closing
    }

    /// Removes the next complete message from the input buffer and returns it.
    ///
    /// # Errors
    /// [`ProtocolError`] if the buffered bytes are not a valid message.
    pub fn take_message(&mut self) -> Result<Option<Message>, ProtocolError> {
        if self.closing {
            self.partial_since = None;
            self.stream.input.clear();
            self.stream.trim(true);
            return Ok(None);
        }
        let message = self.decoder.next(&mut self.stream.input);
        if message == Ok(None) {
            let is_partial = !self.stream.input.is_empty();
            self.partial_since = is_partial.then(|| self.partial_since.unwrap_or(self.active_at));
            self.stream.missing = self.decoder.missing(self.stream.input.len());
            self.stream.trim(std::mem::take(&mut self.consumed));
        } else {
            (self.partial_since, self.consumed) = (None, true);
        }
        message
    }

    /// Counts a request as open if the limit on open requests allows it. Returns whether it was admitted.
    pub fn admit(&mut self) -> bool {
        let admitted = self.open_requests < limits::CLIENT_REQUESTS;
        self.open_requests += usize::from(admitted);
        admitted
    }

    /// Bytes in the connection's buffers.
    pub fn buffered_bytes(&self) -> usize {
        self.stream.input.len() + self.stream.unwritten_bytes()
    }

    /// Whether no request is open and the write buffer is empty.
    pub fn is_idle(&self) -> bool {
        self.open_requests == 0 && self.stream.unwritten_bytes() == 0
    }

    /// Whether no pending byte could be written for longer than the write timeout, even if the client continues to
    /// send.
    pub fn is_stalled(&self, now: f64) -> bool {
        self.stalled_since.is_some_and(|since| now - since > limits::CLIENT_WRITE_TIMEOUT)
    }

    /// When bytes were last read or written, Unix ms.
    pub fn idle_since(&self) -> f64 {
        self.active_at
    }

    /// Appends the answer to a request; `admitted` says whether the request was counted as open.
    pub fn answer(&mut self, id: u32, answer: &Answer, admitted: bool) {
        let key = if admitted { ANSWER } else { OTHER };
        self.append(OutgoingMessage { key, parts: encode_answer(id, answer) });
    }

    /// Appends bytes that answer no request.
    pub fn push(&mut self, bytes: Bytes) {
        self.append(OutgoingMessage::single(OTHER, bytes));
    }

    fn append(&mut self, message: OutgoingMessage) {
        if message.key == OTHER {
            self.other_bytes += message.len();
        }
        self.stream.push(message);
    }

    /// Counts a request as cancelled. Returns whether the number of cancellations without an answer in between
    /// exceeds the limit.
    pub fn cancel_request(&mut self) -> bool {
        self.open_requests = self.open_requests.saturating_sub(1);
        self.cancelled += 1;
        self.cancelled > limits::CLIENT_CANCELLATIONS
    }

    /// Whether the connection is half-closed.
    pub fn is_half_closed(&self) -> bool {
        self.half_closed_at.is_some()
    }

    /// Whether the client still sends on a half-closed connection, within the time limit of the lingering close.
    /// Closing a connection with unread input resets it, and the client would lose answers that it has not read yet.
    pub fn is_still_sending(&self, now: f64) -> bool {
        let lingers = |since| now - since < limits::CLOSING_INTERVAL && now - self.active_at < limits::LINGER;
        self.half_closed_at.is_some_and(lingers)
    }

    /// Half-closes a closing connection once no request is open and the write buffer is empty. Returns whether it did.
    pub fn half_close_if_done(&mut self, now: f64) -> bool {
        let is_due = self.closing && self.is_idle() && self.half_closed_at.is_none();
        if is_due {
            self.half_closed_at = Some(now);
            self.stream.half_close();
        }
        is_due
    }

    /// Writes as much as the kernel accepts, and calls `complete` with the length of each completely written message,
    /// in order.
    ///
    /// # Errors
    /// The error of the socket if writing fails.
    pub fn flush(&mut self, now: f64, mut complete: impl FnMut(usize)) -> io::Result<()> {
        let before = self.stream.unwritten_bytes();
        let flushed = self.stream.flush(&mut self.written);
        let unwritten = self.stream.unwritten_bytes();
        if unwritten < before {
            self.active_at = now;
            self.stalled_since = None;
        }
        self.stalled_since = (unwritten > 0).then(|| self.stalled_since.unwrap_or(now));
        for WrittenMessage { key, bytes } in self.written.drain(..) {
            complete(bytes);
            if key == ANSWER {
                self.open_requests = self.open_requests.saturating_sub(1);
                self.cancelled = 0;
            } else {
                self.other_bytes -= bytes;
            }
        }
        flushed
    }
}
