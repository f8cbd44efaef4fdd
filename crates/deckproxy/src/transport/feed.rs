//! The connection to the control feed.

use crate::protocol::feed::{self, Decoder, FeedLine, LineTooLong};
use crate::transport::stream::{Progress, READ_TURN_BYTES, Stream};
use crate::transport::write_buffer::{OutgoingMessage, WrittenMessage};
use std::io;

/// Key of the subscription, the only message that is sent.
const SUBSCRIPTION: u64 = 0;

/// The feed's connection, established or not.
pub struct FeedConnection {
    /// The socket and its buffers.
    pub stream: Stream,
    decoder: Decoder,
    /// When the last line arrived; before the first one, when the connection was opened or established. Unix ms.
    pub last_line_at: f64,
    established: bool,
    /// Messages that the current flush has written completely; a field to reuse its memory.
    written: Vec<WrittenMessage>,
}

impl FeedConnection {
    /// A connection that is not established yet; it subscribes to the events after number `last`.
    pub fn new(mut stream: Stream, last: u64, now: f64) -> Self {
        stream.push(OutgoingMessage::single(SUBSCRIPTION, feed::subscribe(last)));
        FeedConnection {
            stream,
            decoder: Decoder::default(),
            last_line_at: now,
            established: false,
            written: Vec::new(),
        }
    }

    /// Records that the connection is established. The silence of the feed is measured from here, as it sends a line
    /// every second once connected, however long the handshake took.
    pub fn set_established(&mut self, now: f64) {
        if !std::mem::replace(&mut self.established, true) {
            self.last_line_at = now;
        }
    }

    /// Reads the available bytes, up to the limit of one turn.
    pub fn read(&mut self) -> Progress {
        self.stream.read(READ_TURN_BYTES)
    }

    /// Removes the next complete line from the input buffer and returns it.
    ///
    /// # Errors
    /// The line is too long; the connection must be closed.
    pub fn take_line(&mut self, now: f64) -> Result<Option<FeedLine>, LineTooLong> {
        let line = self.decoder.next(&mut self.stream.input)?;
        match line {
            Some(_) => self.last_line_at = now,
            None => self.stream.trim(true),
        }
        Ok(line)
    }

    /// Writes as much as the kernel accepts.
    ///
    /// # Errors
    /// The error of the socket if writing fails.
    pub fn flush(&mut self) -> io::Result<()> {
        self.stream.flush(&mut self.written)?;
        self.written.clear();
        Ok(())
    }
}
