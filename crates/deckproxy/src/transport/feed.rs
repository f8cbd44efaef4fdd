//! The connection to the control feed.

use crate::protocol::feed::{self, Decoder, FeedLine, LineTooLong};
use crate::transport::stream::{Progress, Stream};
use crate::transport::write_buffer::{OutgoingMessage, WrittenMessage};
use std::io;

/// Key of the subscription, the only message that is written.
const SUBSCRIPTION: u64 = 0;

/// The feed's connection, established or not.
pub struct FeedConnection {
    /// The socket and its buffers.
    pub stream: Stream,
    decoder: Decoder,
    /// When the last line came, or when the connection was established, Unix ms.
    pub last_line_at: f64,
    established: bool,
    written: Vec<WrittenMessage>,
}

impl FeedConnection {
    /// A connection that is not established yet; it subscribes to the events after that number.
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

    /// Notes that the connection is established: from now on a line comes each second, however long the handshake
    /// took.
    pub fn set_established(&mut self, now: f64) {
        if !std::mem::replace(&mut self.established, true) {
            self.last_line_at = now;
        }
    }

    /// Reads what has come.
    pub fn read(&mut self) -> Progress {
        self.stream.read()
    }

    /// The next complete line.
    ///
    /// # Errors
    /// The line is too long: the connection is of no more use.
    pub fn take_line(&mut self, now: f64) -> Result<Option<FeedLine>, LineTooLong> {
        let line = self.decoder.next(&mut self.stream.input)?;
        match line {
            Some(_) => self.last_line_at = now,
            None => self.stream.trim(true),
        }
        Ok(line)
    }

    /// Writes what the kernel takes.
    ///
    /// # Errors
    /// The error of the socket if writing fails.
    pub fn flush(&mut self) -> io::Result<()> {
        self.stream.flush(&mut self.written)?;
        self.written.clear();
        Ok(())
    }
}
