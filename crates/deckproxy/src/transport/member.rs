//! A connection to a member. It carries concurrent attempts and records whether each was written completely.

use crate::protocol::limits;
use crate::protocol::upstream::{Decoder, Reply, ReplyError, encode_cancel, encode_health_check};
use crate::transport::stream::{Progress, Stream};
use crate::transport::write_buffer::{OutgoingMessage, WrittenMessage};
use bytes::Bytes;
use std::collections::{HashMap, HashSet, VecDeque};
use std::io;

/// Key of messages that are neither an attempt nor a health check.
const OTHER: u64 = u64::MAX;
/// A connection with more cancelled names without an answer than this is retired. It also remembers at most this many
/// of the most recently answered names.
const MAX_TRACKED_NAMES: usize = 32;

/// A message to a member.
pub enum MemberMessage {
    /// An attempt.
    Attempt {
        /// The encoded command.
        parts: [Bytes; 3],
        /// Time after which the attempt is cancelled if no byte of it was written, ms.
        unsent_timeout: f64,
    },
    /// A health check.
    HealthCheck,
}

/// How much of a cancelled attempt was written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WrittenPart {
    /// No byte; the message was removed from the write buffer.
    None,
    /// Some bytes; the rest is still in the write buffer.
    Some,
    /// All bytes.
    All,
}

/// An attempt or health check in flight on a connection that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Lost {
    /// Its key.
    pub key: u64,
    /// Whether it was written completely.
    pub written: bool,
}

/// An answer received from a member.
#[derive(Debug)]
pub struct ReceivedReply {
    /// Key of the attempt or health check that it answers; none if it is no longer in flight.
    pub key: Option<u64>,
    /// The answer.
    pub reply: Reply,
}

/// An attempt or health check in flight.
struct InFlight {
    name: Box<str>,
    /// When it was written completely, Unix ms; none before that.
    written_at: Option<f64>,
    /// Whether it is an attempt, whose cancellation is sent to the member; a health check needs none.
    is_attempt: bool,
}

/// A connection to a member, established or not.
pub struct MemberConnection {
    /// The socket and its buffers.
    pub stream: Stream,
    decoder: Decoder,
    /// Attempts and health checks in flight, by key.
    in_flight: HashMap<u64, InFlight>,
    /// Their keys, by name.
    keys: HashMap<Box<str>, u64>,
    /// Cancelled names whose answer may still arrive.
    cancelled: HashSet<Box<str>>,
    /// The most recently answered names. A duplicate answer could otherwise be matched to a new attempt of that name.
    answered: VecDeque<Box<str>>,
    /// When bytes were last received, Unix ms.
    received_at: f64,
    /// When a message was last appended, answered or cancelled, Unix ms; `cancel_unsent` does not update it.
    used_at: f64,
    /// Whether an answer was decoded since the input buffer was last trimmed.
    consumed: bool,
    /// Accepts no new attempts; closes once nothing is in flight.
    pub retired: bool,
    /// Messages that the current flush has written completely; a field to reuse its memory.
    written: Vec<WrittenMessage>,
}

impl MemberConnection {
    /// A connection that is not established yet.
    pub fn new(stream: Stream, now: f64) -> Self {
        MemberConnection {
            stream,
            decoder: Decoder::default(),
            in_flight: HashMap::new(),
            keys: HashMap::new(),
            cancelled: HashSet::new(),
            answered: VecDeque::new(),
            received_at: now,
            used_at: now,
            consumed: false,
            retired: false,
            written: Vec::new(),
        }
    }

    /// Number of attempts and health checks in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight.len()
    }

    /// Since when the connection counts as idle if nothing is in flight, Unix ms.
    pub fn idle_since(&self) -> f64 {
        self.used_at
    }

    /// Whether nothing is in flight, and the connection is retired or receives an unwanted answer.
    pub fn is_superfluous(&self) -> bool {
        self.in_flight() == 0 && (self.retired || self.receives_unwanted_answer())
    }

    /// Whether a large answer is being received that nobody waits for.
    pub fn receives_unwanted_answer(&self) -> bool {
        self.in_flight() == 0 && self.stream.missing > limits::MEMBER_READ
    }

    /// Whether an attempt of this name can be sent here: an answer under the name must be unambiguous.
    pub fn accepts(&self, name: &str) -> bool {
        let used = self.keys.contains_key(name) || self.cancelled.contains(name);
        !self.retired && !used && !self.answered.iter().any(|other| **other == *name)
    }

    /// Appends an attempt to the write buffer.
    pub fn send_attempt(&mut self, key: u64, name: Box<str>, parts: [Bytes; 3], now: f64) {
        self.send(name, OutgoingMessage { key, parts }, true, now);
    }

    /// Appends a health check to the write buffer.
    pub fn send_health_check(&mut self, key: u64, tag: Box<str>, now: f64) {
        let message = OutgoingMessage::single(key, encode_health_check(&tag));
        self.send(tag, message, false, now);
    }

    fn send(&mut self, name: Box<str>, message: OutgoingMessage, is_attempt: bool, now: f64) {
        self.used_at = now;
        self.keys.insert(name.clone(), message.key);
        self.in_flight.insert(message.key, InFlight { name, written_at: None, is_attempt });
        self.stream.push(message);
    }

    /// Cancels an attempt if no byte of it was written. Returns whether it was cancelled.
    pub fn cancel_unsent(&mut self, key: u64) -> bool {
        if !self.stream.cancel(key) {
            return false;
        }
        if let Some(cancelled) = self.in_flight.remove(&key) {
            self.keys.remove(&cancelled.name);
        }
        true
    }

    /// Keys of the attempts that are not written completely.
    pub fn unwritten_attempts(&self) -> Vec<u64> {
        let unwritten = |message: &InFlight| message.is_attempt && message.written_at.is_none();
        self.in_flight.iter().filter(|(_, message)| unwritten(message)).map(|(key, _)| *key).collect()
    }

    /// Whether an attempt is written completely, or not in flight here.
    pub fn is_written(&self, key: u64) -> bool {
        self.in_flight.get(&key).is_none_or(|message| message.written_at.is_some())
    }

    /// Cancels an attempt or a health check. Returns how much of it was written; none if it is not in flight here.
    ///
    /// Retires the connection if the message was written more than `silence_timeout` ms ago and nothing was received
    /// since, as it may be silently broken; or if the last bytes of an incomplete answer were received as long ago, as
    /// the rest is unlikely to arrive.
    pub fn cancel(&mut self, key: u64, now: f64, silence_timeout: f64) -> Option<WrittenPart> {
        let message = self.in_flight.remove(&key)?;
        self.keys.remove(&message.name);
        self.used_at = now;
        if self.stream.cancel(key) {
            return Some(WrittenPart::None);
        }
        let is_partial = self.stream.partially_written().is_some_and(|partial| partial.key == key);
        if message.is_attempt {
            self.stream.push(OutgoingMessage::single(OTHER, encode_cancel(&message.name)));
        }
        self.cancelled.insert(message.name);
        let silent = message.written_at.is_some_and(|at| self.received_at < at && now - at > silence_timeout);
        // Later messages on this connection would be answered only after the incomplete answer, or never.
        let mid_answer = !self.stream.input.is_empty() && now - self.received_at > silence_timeout;
        self.retired |= silent || mid_answer || self.cancelled.len() > MAX_TRACKED_NAMES;
        Some(if is_partial { WrittenPart::Some } else { WrittenPart::All })
    }

    /// Reads the available bytes, at most `limit`.
    pub fn read(&mut self, now: f64, limit: usize) -> Progress {
        let before = self.stream.input.len();
        let progress = self.stream.read(limit);
        if self.stream.input.len() > before {
            self.received_at = now;
        }
        progress
    }

    /// Whether nothing is in flight and the member has closed the connection, which the kernel may not have reported
    /// yet. The outcome of an attempt written to it would be unknown, as it might have run.
    pub fn is_stale(&mut self, now: f64) -> bool {
        self.in_flight() == 0
            && self.stream.is_open()
            && self.read(now, limits::MEMBER_READ) == Progress::Ended
    }

    /// Removes the next complete answer from the input buffer and returns it with the key of its attempt or health
    /// check.
    ///
    /// # Errors
    /// The received bytes can't be decoded; the connection must be closed.
    pub fn take_reply(&mut self, now: f64) -> Result<Option<ReceivedReply>, ReplyError> {
        let Some(reply) = self.decoder.next(&mut self.stream.input)? else {
            self.stream.missing = self.decoder.missing(self.stream.input.len());
            self.stream.trim(std::mem::take(&mut self.consumed));
            return Ok(None);
        };
        self.consumed = true;
        let key = self.keys.get(&reply.id).copied();
        // An answer cannot belong to a message that is not completely written yet.
        let key =
            key.filter(|key| self.in_flight.get(key).is_some_and(|message| message.written_at.is_some()));
        if let Some(message) = key.and_then(|key| self.in_flight.remove(&key)) {
            self.keys.remove(&message.name);
            self.used_at = now;
            if message.is_attempt {
                self.answered.truncate(MAX_TRACKED_NAMES - 1);
                self.answered.push_front(message.name);
            }
        } else {
            self.cancelled.remove(&reply.id);
        }
        Ok(Some(ReceivedReply { key, reply }))
    }

    /// Writes as much as the kernel accepts, and calls `complete` with each completely written message.
    ///
    /// # Errors
    /// The error of the socket if writing fails.
    pub fn flush(&mut self, now: f64, mut complete: impl FnMut(WrittenMessage)) -> io::Result<()> {
        let flushed = self.stream.flush(&mut self.written);
        for written in self.written.drain(..) {
            complete(written);
            if let Some(message) = self.in_flight.get_mut(&written.key) {
                message.written_at = Some(now);
            }
        }
        flushed
    }

    /// Removes and returns all messages in flight after the connection has ended, sorted by key.
    pub fn take_lost(&mut self) -> Vec<Lost> {
        self.keys.clear();
        let lost = self.in_flight.drain();
        let lost = lost.map(|(key, message)| Lost { key, written: message.written_at.is_some() });
        let mut lost: Vec<Lost> = lost.collect();
        lost.sort_unstable();
        lost
    }
}
