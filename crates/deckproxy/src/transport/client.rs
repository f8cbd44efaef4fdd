//! A client's connection.

use crate::protocol::downstream::{Answer, Decoder, Message, ProtocolError, encode_answer};
use crate::protocol::limits;
use crate::transport::stream::{Progress, Stream};
use crate::transport::write_buffer::{OutgoingMessage, WrittenMessage};
use bytes::Bytes;
use std::io;

/// Key of the answer to a request that counts as open until it is written.
const ANSWER: u64 = 1;
/// Key of all else that is written.
const OTHER: u64 = 0;
/// The id that a connection's first request has.
const FIRST_ID: u32 = 1;

/// A client's connection with its requests.
pub struct ClientConnection {
    /// The socket and its buffers.
    pub stream: Stream,
    decoder: Decoder,
    /// Requests whose answer the kernel has not taken yet.
    open_requests: usize,
    /// When the connection was accepted, Unix ms.
    accepted_at: f64,
    /// When something was last read or written, Unix ms.
    active_at: f64,
    /// When there was last nothing more to read, Unix ms.
    drained_at: f64,
    /// Since when the client takes nothing of what waits for it, Unix ms.
    stalled_since: Option<f64>,
    /// Since when the rest of a message is awaited, Unix ms.
    partial_since: Option<f64>,
    /// A message was taken off the buffer since that was trimmed.
    taken: bool,
    /// The id that its next request must have.
    next_id: u32,
    /// Requests cancelled since one was answered.
    cancelled: usize,
    /// Bytes that wait to be written and answer no open request.
    other_bytes: usize,
    /// Nothing that comes is handled; the connection closes once what waits is written.
    closing: bool,
    /// When the connection was half-closed, Unix ms.
    half_closed_at: Option<f64>,
    written: Vec<WrittenMessage>,
}

impl ClientConnection {
    /// A connection just accepted.
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
            taken: false,
            next_id: FIRST_ID,
            cancelled: 0,
            other_bytes: 0,
            closing: false,
            half_closed_at: None,
            written: Vec::new(),
        }
    }

    /// Reads what has come.
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

    /// When all that had come was read, Unix ms.
    pub fn drained_at(&self) -> f64 {
        self.drained_at
    }

    /// Whether it leaves more rejections and pongs unread than it may.
    pub fn is_over_write_limit(&self) -> bool {
        !self.closing && self.other_bytes > limits::CLIENT_REJECTIONS
    }

    /// Whether the rest of a message is still to come.
    pub fn is_mid_message(&self) -> bool {
        self.partial_since.is_some()
    }

    /// Whether it has sent a complete message that can be used.
    pub fn is_proven(&self) -> bool {
        self.next_id > FIRST_ID
    }

    /// When it was accepted, Unix ms.
    pub fn accepted_at(&self) -> f64 {
        self.accepted_at
    }

    /// Whether its first message, or the rest of one that has begun, is awaited for too long.
    pub fn is_read_timed_out(&self, now: f64) -> bool {
        let waiting = if self.is_proven() { self.partial_since } else { Some(self.accepted_at) };
        !self.closing && waiting.is_some_and(|since| now - since > limits::CLIENT_READ_TIMEOUT)
    }

    /// Takes the id of a message. Returns whether it follows the one before.
    pub fn accept_id(&mut self, id: u32) -> bool {
        let follows = id == self.next_id;
        self.next_id = id.saturating_add(1).max(FIRST_ID + 1);
        follows
    }

    /// Begins to close: nothing that comes is handled, what waits is written.
    pub fn begin_close(&mut self) {
        self.closing = true;
    }

    /// Whether it is closing.
    pub fn is_closing(&self) -> bool {
        self.closing
    }

    /// The next complete message.
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
            self.stream.trim(std::mem::take(&mut self.taken));
        } else {
            (self.partial_since, self.taken) = (None, true);
        }
        message
    }

    /// Counts a request as open, if the limit allows. Returns whether it does.
    pub fn admit(&mut self) -> bool {
        let admitted = self.open_requests < limits::CLIENT_REQUESTS;
        self.open_requests += usize::from(admitted);
        admitted
    }

    /// Bytes in its buffers.
    pub fn buffered_bytes(&self) -> usize {
        self.stream.input.len() + self.stream.unwritten_bytes()
    }

    /// Whether no request is open and nothing waits to be written.
    pub fn is_idle(&self) -> bool {
        self.open_requests == 0 && self.stream.unwritten_bytes() == 0
    }

    /// Whether it has taken nothing of what waits for it for too long, whatever it goes on sending.
    pub fn is_stalled(&self, now: f64) -> bool {
        self.stalled_since.is_some_and(|since| now - since > limits::CLIENT_WRITE_TIMEOUT)
    }

    /// Since when nothing was read or written, Unix ms.
    pub fn idle_since(&self) -> f64 {
        self.active_at
    }

    /// Appends the answer to an admitted request, or to one that was not.
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

    /// Counts a request as cancelled. Returns whether too many were, one after another.
    pub fn cancel_request(&mut self) -> bool {
        self.open_requests = self.open_requests.saturating_sub(1);
        self.cancelled += 1;
        self.cancelled > limits::CLIENT_CANCELLATIONS
    }

    /// Whether it is half-closed.
    pub fn is_half_closed(&self) -> bool {
        self.half_closed_at.is_some()
    }

    /// Whether something still comes on a half-closed connection, though not for ever (lingering close): closed over
    /// what comes it would be reset, and the client lose what it has not read yet.
    pub fn is_still_sending(&self, now: f64) -> bool {
        let lingers = |since| now - since < limits::CLOSING_INTERVAL && now - self.active_at < limits::LINGER;
        self.half_closed_at.is_some_and(lingers)
    }

    /// Half-closes it where it is closing, no request is open and all is written. Returns whether it did so now.
    pub fn half_close_if_done(&mut self, now: f64) -> bool {
        let is_due = self.closing && self.is_idle() && self.half_closed_at.is_none();
        if is_due {
            self.half_closed_at = Some(now);
            self.stream.half_close();
        }
        is_due
    }

    /// Writes what the kernel takes, and calls `complete` with the length of each message that it took completely, in
    /// order.
    ///
    /// # Errors
    /// The error of the socket if writing fails.
    pub fn flush(&mut self, now: f64, mut complete: impl FnMut(usize)) -> io::Result<()> {
        let before = self.stream.unwritten_bytes();
        let flushed = self.stream.flush(&mut self.written);
        let left = self.stream.unwritten_bytes();
        if left < before {
            self.active_at = now;
            self.stalled_since = None;
        }
        self.stalled_since = (left > 0).then(|| self.stalled_since.unwrap_or(now));
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
