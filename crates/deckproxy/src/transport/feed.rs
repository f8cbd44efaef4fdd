//! The connection to the control feed.

use crate::protocol::feed::{self, Decoder, FeedLine, LineTooLong};
use crate::transport::outbox::{Outgoing, Written};
use crate::transport::stream::{Progress, Stream};
use std::io;

/// The feed's connection, or one that is being made.
pub struct Feed {
    /// The socket and its buffers.
    pub stream: Stream,
    decoder: Decoder,
    /// When the last line came, or when it came up.
    pub heard: f64,
    up: bool,
    written: Vec<Written>,
}

impl Feed {
    /// A connection that is being made; it subscribes to what follows an event.
    pub fn new(mut stream: Stream, last: u64, now: f64) -> Self {
        stream.push(Outgoing::whole(0, feed::subscribe(last)));
        Feed { stream, decoder: Decoder::default(), heard: now, up: false, written: Vec::new() }
    }

    /// Its handshake is over: from now on a line comes each second, however long it took to come up.
    pub fn is_up(&mut self, now: f64) {
        if !std::mem::replace(&mut self.up, true) {
            self.heard = now;
        }
    }

    /// Reads what has come.
    pub fn read(&mut self) -> Progress {
        self.stream.read()
    }

    /// The next line, as the decoder gives it.
    pub fn take_line(&mut self, now: f64) -> Result<Option<FeedLine>, LineTooLong> {
        let line = self.decoder.next(&mut self.stream.input)?;
        match line {
            Some(_) => self.heard = now,
            None => self.stream.trim(true),
        }
        Ok(line)
    }

    /// Writes what the kernel takes.
    pub fn flush(&mut self) -> io::Result<()> {
        self.stream.flush(&mut self.written)?;
        self.written.clear();
        Ok(())
    }
}
