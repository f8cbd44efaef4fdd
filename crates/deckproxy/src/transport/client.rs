//! A connection from a client.

use crate::protocol::downstream::{Answer, Message, ProtocolError, encode_answer};
use crate::protocol::limits;
use crate::transport::client_input::{ClientInput, InputMode};
use crate::transport::owed_answers::OwedAnswers;
use crate::transport::pending_requests::PendingRequests;
use crate::transport::stream::{Progress, Stream};
use crate::transport::write_buffer::{OutgoingMessage, WrittenMessage};
use bytes::Bytes;
use std::io;

/// Key of the messages that answer no admitted request; the answer to one has the request's id, which is never 0.
const OTHER: u64 = 0;

/// A client's connection with its requests.
pub struct ClientConnection {
    /// The socket and its buffers.
    pub stream: Stream,
    input: ClientInput,
    /// Received requests that are not forwarded yet. After a change, call [`ClientConnection::pending_changed`].
    pub pending: PendingRequests,
    /// Whether its last slice ended before everything that it had sent was read.
    pub has_backlog: bool,
    /// The admitted requests whose answers are not written yet.
    owed: OwedAnswers,
    /// When bytes were last read or written, Unix ms.
    active_at: f64,
    /// When a read last found no more bytes available, Unix ms.
    drained_at: f64,
    /// Since when no byte of a non-empty write buffer was written, Unix ms.
    stalled_since: Option<f64>,
    /// Requests cancelled since the last answer to an admitted request was written.
    cancelled: usize,
    /// Bytes waiting to be written that answer no admitted request.
    other_bytes: usize,
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
            input: ClientInput::new(now),
            pending: PendingRequests::default(),
            has_backlog: false,
            owed: OwedAnswers::default(),
            active_at: now,
            drained_at: now,
            stalled_since: None,
            cancelled: 0,
            other_bytes: 0,
            half_closed_at: None,
            written: Vec::new(),
        }
    }

    /// Reads the available bytes, up to the limit of one turn.
    pub fn read(&mut self, now: f64) -> Progress {
        let before = self.stream.input.len();
        let progress = self.stream.read(limits::CLIENT_READ.max(self.stream.missing));
        if self.stream.input.len() > before {
            self.active_at = now;
            self.input.received(now);
        }
        if progress == Progress::Drained {
            self.drained_at = now;
        }
        progress
    }

    /// Whether little is left to decode, and the kernel has no more.
    pub fn has_small_rest(&self) -> bool {
        !self.stream.is_readable() && self.stream.input.len() <= limits::CLIENT_SMALL_REST
    }

    /// When a read last found no more bytes available, Unix ms.
    pub fn drained_at(&self) -> f64 {
        self.drained_at
    }

    /// Whether more bytes of rejections and pongs are waiting to be written than the limit allows.
    pub fn is_over_write_limit(&self) -> bool {
        self.input.mode() != InputMode::Discard && self.other_bytes > limits::CLIENT_REJECTIONS
    }

    /// Whether more bytes of rejections and pongs are waiting to be written than are allowed while memory is scarce.
    pub fn is_over_scarce_write_limit(&self) -> bool {
        self.input.mode() != InputMode::Discard && self.other_bytes > limits::CLIENT_REJECTIONS_SCARCE
    }

    /// Updates the accounting after a change of the pending requests.
    pub fn pending_changed(&mut self) {
        self.stream.set_request_bytes(self.pending.held_bytes());
    }

    /// Whether a message has been received only in part.
    pub fn is_mid_message(&self) -> bool {
        self.input.is_mid_message()
    }

    /// Whether the client has sent a complete message with an id, even if its request is invalid.
    pub fn is_proven(&self) -> bool {
        self.input.is_proven()
    }

    /// When the connection was accepted, Unix ms.
    pub fn accepted_at(&self) -> f64 {
        self.input.accepted_at()
    }

    /// Whether the first message, or the rest of a partial one, is overdue.
    pub fn is_read_timed_out(&self, now: f64) -> bool {
        self.input.is_timed_out(now)
    }

    /// Records the id of a message. Returns whether it is the expected next id.
    pub fn accept_id(&mut self, id: u32) -> bool {
        self.input.accept_id(id)
    }

    /// Starts to close: open requests are still answered, and received messages are handled as `mode` says. Returns
    /// whether the connection was open until now.
    pub fn begin_close(&mut self, mode: InputMode) -> bool {
        let was_open = !self.is_closing();
        self.input.restrict(mode);
        was_open
    }

    /// Whether the connection is closing: new requests on it are rejected or dropped.
    pub fn is_closing(&self) -> bool {
        self.input.mode() != InputMode::Accept
    }

    /// Whether received data is dropped.
    pub fn is_discarding(&self) -> bool {
        self.input.mode() == InputMode::Discard
    }

    /// The id of the request that has been received in part and has no answer yet, if its id has been received.
    pub fn unanswered_partial_request(&self) -> Option<u32> {
        self.input.unanswered_partial_request(&self.stream)
    }

    /// Appends the final answer to the request received in part, which is of use until `due`, Unix ms; its message is
    /// dropped as it arrives. Returns the number of bytes dropped now.
    pub fn answer_partial_request(&mut self, id: u32, answer: &Answer, due: f64) -> usize {
        self.answer_unadmitted(id, answer, due);
        self.drop_partial_message()
    }

    /// Bytes that the message received in part takes beyond those for which memory is taken, with all that is known to
    /// be missing of it.
    pub fn unadmitted_bytes(&self) -> usize {
        self.input.unadmitted_bytes(&self.stream)
    }

    /// Takes memory for the message received in part, with all that is known to be missing of it.
    pub fn admit_partial_message(&mut self) {
        self.input.admit_partial_message(&mut self.stream);
    }

    /// Drops the message received in part, and the rest of it as it arrives. Its request must have its final answer.
    /// Returns the number of bytes dropped now.
    pub fn drop_partial_message(&mut self) -> usize {
        self.input.drop_partial_message(&mut self.stream)
    }

    /// Removes the next complete message from the input buffer and returns it.
    ///
    /// # Errors
    /// [`ProtocolError`] if the buffered bytes are not a valid message.
    pub fn take_message(&mut self) -> Result<Option<Message>, ProtocolError> {
        self.input.take_message(&mut self.stream)
    }

    /// Takes a request into the account of owed answers, if the limit on open requests allows it. Its answer is of use
    /// until `due`, Unix ms. Returns whether it was admitted.
    pub fn admit(&mut self, id: u32, due: f64) -> bool {
        self.owed.admit(id, due)
    }

    /// Whether a request was admitted and has no final answer yet, wherever it waits for one.
    pub fn is_request_open(&self, id: u32) -> bool {
        self.owed.is_awaited(id)
    }

    /// Bytes that are received and not decoded, or wait to be written.
    pub fn buffered_bytes(&self) -> usize {
        self.stream.input.len() + self.stream.unwritten_bytes()
    }

    /// Bytes of memory that the connection's buffers take.
    pub fn held_bytes(&self) -> usize {
        self.stream.held_bytes()
    }

    /// Whether no answer is owed and the write buffer is empty.
    pub fn is_idle(&self) -> bool {
        self.owed.is_empty() && self.stream.unwritten_bytes() == 0
    }

    /// Until when the connection must not be reset, Unix ms: as long as an answer to its client is not written completely
    /// and still of use. `None` if there is no such answer.
    pub fn owed_until(&self, now: f64) -> Option<f64> {
        let due = self.owed.due();
        (!self.is_idle() && now < due).then_some(due)
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

    /// Appends the final answer to an admitted request. Returns false if the request is not open: it was cancelled.
    pub fn answer(&mut self, id: u32, answer: &Answer) -> bool {
        let is_open = self.owed.answered(id);
        if is_open {
            self.append(OutgoingMessage { key: u64::from(id), parts: encode_answer(id, answer) });
        }
        is_open
    }

    /// Appends the final answer to a request that was not admitted. It is of use until `due`, Unix ms.
    pub fn answer_unadmitted(&mut self, id: u32, answer: &Answer, due: f64) {
        self.owed.extend_due(due);
        self.append(OutgoingMessage { key: OTHER, parts: encode_answer(id, answer) });
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

    /// Removes a cancelled request from the account of owed answers. Returns whether it was open.
    pub fn cancel_request(&mut self, id: u32) -> bool {
        let was_open = self.owed.cancelled(id);
        self.cancelled += usize::from(was_open);
        was_open
    }

    /// Whether the number of cancellations without an answer in between exceeds the limit.
    pub fn cancels_too_many(&self) -> bool {
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

    /// Whether the connection is closing, and all that was received is handled, answered and written.
    pub fn is_ready_to_half_close(&self) -> bool {
        self.is_closing()
            && self.is_idle()
            && !self.is_half_closed()
            && !self.input.has_unhandled_messages(&self.stream)
    }

    /// Half-closes the connection; data received from now on is dropped.
    pub fn half_close(&mut self, now: f64) {
        self.half_closed_at = Some(now);
        self.input.restrict(InputMode::Discard);
        self.stream.half_close();
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
            match u32::try_from(key) {
                Ok(id) if key != OTHER => {
                    self.owed.written(id);
                    self.cancelled = 0;
                }
                _ => self.other_bytes -= bytes,
            }
        }
        flushed
    }
}
