//! The input of a client's connection: message boundaries, message ids and read timeouts.

use crate::protocol::downstream::{Decoder, Message, ProtocolError};
use crate::protocol::limits;
use crate::transport::stream::Stream;

/// The id of a connection's first message.
const FIRST_ID: u32 = 1;

/// What happens to the messages that a client sends, in the order in which a connection may change it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum InputMode {
    /// Messages are handled.
    Accept,
    /// The connection is draining: new requests are rejected at once, other messages are handled.
    Reject,
    /// Input is read and dropped: it can't be decoded, or nothing more can be answered.
    Discard,
}

/// A message that has been received only in part.
#[derive(Clone, Copy, Debug)]
struct PartialMessage {
    /// When its first bytes were received, Unix ms.
    since: f64,
    /// Its request has its final answer, so that the message is dropped as it arrives.
    is_answered: bool,
    /// Bytes up to which memory is taken for it.
    admitted_bytes: usize,
}

/// Decodes the messages of one client.
pub struct ClientInput {
    mode: InputMode,
    decoder: Decoder,
    /// The message whose rest is awaited.
    partial: Option<PartialMessage>,
    /// When the connection was accepted, Unix ms.
    accepted_at: f64,
    /// When bytes were last received, Unix ms.
    received_at: f64,
    /// Whether a message was decoded since the input buffer was last trimmed.
    consumed: bool,
    /// The id that the next message must have.
    next_id: u32,
}

impl ClientInput {
    /// The input of a connection accepted at `now`, Unix ms.
    pub fn new(now: f64) -> Self {
        ClientInput {
            mode: InputMode::Accept,
            decoder: Decoder::default(),
            partial: None,
            accepted_at: now,
            received_at: now,
            consumed: false,
            next_id: FIRST_ID,
        }
    }

    /// What happens to received messages.
    pub fn mode(&self) -> InputMode {
        self.mode
    }

    /// Changes what happens to received messages; a connection never returns to an earlier mode.
    pub fn restrict(&mut self, mode: InputMode) {
        self.mode = self.mode.max(mode);
    }

    /// Records that bytes were received at `now`, Unix ms.
    pub fn received(&mut self, now: f64) {
        self.received_at = now;
    }

    /// When the connection was accepted, Unix ms.
    pub fn accepted_at(&self) -> f64 {
        self.accepted_at
    }

    /// Whether a message has been received only in part.
    pub fn is_mid_message(&self) -> bool {
        self.partial.is_some()
    }

    /// Whether the client has sent a complete message with an id, even if its request is invalid.
    pub fn is_proven(&self) -> bool {
        self.next_id > FIRST_ID
    }

    /// Whether the first message did not arrive within the read timeout, or the rest of a later one stopped arriving
    /// for that long or did not arrive within the message timeout.
    pub fn is_timed_out(&self, now: f64) -> bool {
        if self.mode != InputMode::Accept {
            return false;
        }
        if !self.is_proven() {
            return now - self.accepted_at > limits::CLIENT_READ_TIMEOUT;
        }
        self.partial.is_some_and(|partial| {
            now - self.received_at > limits::CLIENT_READ_TIMEOUT
                || now - partial.since > limits::CLIENT_MESSAGE_TIMEOUT
        })
    }

    /// Records the id of a message. Returns whether it is the expected next id.
    pub fn accept_id(&mut self, id: u32) -> bool {
        let follows = id == self.next_id;
        self.next_id = id.saturating_add(1).max(FIRST_ID + 1);
        follows
    }

    /// Whether received bytes may contain a message that has not been handled.
    pub fn has_unhandled_messages(&self, stream: &Stream) -> bool {
        let is_decoded = stream.input.is_empty() || self.partial.is_some();
        self.mode != InputMode::Discard && (stream.is_readable() || !is_decoded)
    }

    /// The id of the request that has been received in part and has no answer yet, if its id has been received.
    pub fn unanswered_partial_request(&self, stream: &Stream) -> Option<u32> {
        let is_answerable = self.mode != InputMode::Discard && self.partial.is_some_and(|it| !it.is_answered);
        is_answerable.then(|| self.decoder.partial_request(&stream.input)).flatten()
    }

    /// Bytes that the message received in part takes beyond those for which memory is taken, with all that is known to
    /// be missing of it.
    pub fn unadmitted_bytes(&self, stream: &Stream) -> usize {
        let announced = stream.input.len() + stream.missing;
        let partial = self.partial.filter(|partial| !partial.is_answered);
        partial.map_or(0, |partial| announced.saturating_sub(partial.admitted_bytes))
    }

    /// Takes memory for the message received in part, with all that is known to be missing of it.
    pub fn admit_partial_message(&mut self, stream: &mut Stream) {
        if let Some(partial) = &mut self.partial {
            partial.admitted_bytes = stream.input.len() + stream.missing;
            stream.reserve_missing();
        }
    }

    /// Drops the message received in part, and the rest of it as it arrives. Its request must have its final answer.
    /// Returns the number of bytes dropped now.
    pub fn drop_partial_message(&mut self, stream: &mut Stream) -> usize {
        let before = stream.input.len();
        if let Some(partial) = &mut self.partial {
            partial.is_answered = true;
        }
        self.decoder.drop_message(&mut stream.input);
        stream.missing = 0;
        stream.trim(true);
        before - stream.input.len()
    }

    /// Removes the next complete message from the input buffer and returns it.
    ///
    /// # Errors
    /// [`ProtocolError`] if the buffered bytes are not a valid message.
    pub fn take_message(&mut self, stream: &mut Stream) -> Result<Option<Message>, ProtocolError> {
        if self.mode == InputMode::Discard {
            self.partial = None;
            stream.input.clear();
            stream.trim(true);
            return Ok(None);
        }
        loop {
            let message = self.decoder.next(&mut stream.input);
            if message == Ok(None) {
                self.await_rest(stream);
                return message;
            }
            self.consumed = true;
            let is_answered = self.partial.take().is_some_and(|partial| partial.is_answered);
            match message {
                Ok(_) if is_answered => {}
                Err(error) if is_answered => return Err(ProtocolError { request_id: None, ..error }),
                message => return message,
            }
        }
    }

    /// Records whether the rest of a message is awaited, and releases unused memory.
    fn await_rest(&mut self, stream: &mut Stream) {
        let since = self.received_at;
        let is_partial = !stream.input.is_empty() || self.decoder.is_mid_message();
        let partial = self.partial.unwrap_or(PartialMessage { since, is_answered: false, admitted_bytes: 0 });
        self.partial = is_partial.then_some(partial);
        stream.missing = self.decoder.missing(stream.input.len());
        stream.trim(std::mem::take(&mut self.consumed));
    }
}
