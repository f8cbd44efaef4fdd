//! A connection to a member. It carries many attempts, and knows of each whether it was written completely.

use crate::protocol::upstream::{Decoder, Reply, ReplyError, encode_cancel, encode_health_check};
use crate::transport::stream::{Progress, Stream};
use crate::transport::write_buffer::{OutgoingMessage, WrittenMessage};
use bytes::Bytes;
use std::collections::{HashMap, HashSet, VecDeque};
use std::io;

/// Key of what is written and is neither an attempt nor a health check.
const OTHER: u64 = u64::MAX;
/// Names cancelled on one connection from which it is retired; and names answered there that are remembered.
const NAMES: usize = 32;

/// What is sent to a member.
pub enum MemberMessage {
    /// An attempt.
    Attempt {
        /// Its encoded command.
        parts: [Bytes; 3],
        /// Time after which it is cancelled if none of it is written, ms.
        unsent_timeout: f64,
    },
    /// A health check.
    HealthCheck,
}

/// How much of a cancelled attempt was written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WrittenPart {
    /// None of it; it never will be.
    None,
    /// Some of it; the rest still waits.
    Some,
    /// All of it.
    All,
}

/// An attempt or health check that is lost with its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Lost {
    /// Its key.
    pub key: u64,
    /// It was written completely.
    pub written: bool,
}

/// An answer that was received from a member.
#[derive(Debug)]
pub struct ReceivedReply {
    /// Key of the attempt or health check that it answers; none if that is no longer in flight.
    pub key: Option<u64>,
    /// The answer.
    pub reply: Reply,
}

/// What a connection's kind of message needs to know while it is in flight.
struct InFlight {
    name: Box<str>,
    /// When it was written completely, Unix ms, if it was.
    written_at: Option<f64>,
    /// An attempt, of whose cancellation the member is notified; a health check ends by itself.
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
    /// Names cancelled here: an answer to one may still be on its way.
    cancelled: HashSet<Box<str>>,
    /// Names answered here lately: a second answer to one may come late, behind the next attempt under that name.
    answered: VecDeque<Box<str>>,
    /// When something last came, Unix ms.
    received_at: f64,
    /// When something was last in flight, Unix ms.
    used_at: f64,
    /// An answer was taken off the buffer since that was trimmed.
    taken: bool,
    /// Takes nothing new; closes once nothing is in flight.
    pub retired: bool,
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
            taken: false,
            retired: false,
            written: Vec::new(),
        }
    }

    /// Attempts and health checks in flight on it.
    pub fn in_flight(&self) -> usize {
        self.in_flight.len()
    }

    /// Since when nothing is in flight, Unix ms.
    pub fn idle_since(&self) -> f64 {
        self.used_at
    }

    /// Whether an attempt of that name can be sent here: an answer under it must have but one meaning.
    pub fn accepts(&self, name: &str) -> bool {
        let used = self.keys.contains_key(name) || self.cancelled.contains(name);
        !self.retired && !used && !self.answered.iter().any(|other| **other == *name)
    }

    /// Appends an attempt.
    pub fn send_attempt(&mut self, key: u64, name: Box<str>, parts: [Bytes; 3], now: f64) {
        self.send(name, OutgoingMessage { key, parts }, true, now);
    }

    /// Appends a health check.
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

    /// Cancels an attempt if no byte of it was written. Returns whether that was so.
    pub fn cancel_unsent(&mut self, key: u64) -> bool {
        if !self.stream.cancel(key) {
            return false;
        }
        if let Some(cancelled) = self.in_flight.remove(&key) {
            self.keys.remove(&cancelled.name);
        }
        true
    }

    /// Attempts that are not written completely.
    pub fn unwritten_attempts(&self) -> Vec<u64> {
        let unwritten = |message: &InFlight| message.is_attempt && message.written_at.is_none();
        self.in_flight.iter().filter(|(_, message)| unwritten(message)).map(|(key, _)| *key).collect()
    }

    /// Whether an attempt is written completely, or not in flight here.
    pub fn is_written(&self, key: u64) -> bool {
        self.in_flight.get(&key).is_none_or(|message| message.written_at.is_some())
    }

    /// Cancels an attempt; none if it is not in flight here. Returns how much of it was written.
    ///
    /// A connection on which nothing came for `patience` ms since the attempt was written may be dead without a sign,
    /// and one on which half of an answer has stood for so long will hardly bring the rest: it is retired.
    pub fn cancel(&mut self, key: u64, now: f64, patience: f64) -> Option<WrittenPart> {
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
        let silent = message.written_at.is_some_and(|at| self.received_at < at && now - at > patience);
        // Whatever is sent behind an answer that broke off would be answered behind it, or never.
        let mid_answer = !self.stream.input.is_empty() && now - self.received_at > patience;
        self.retired |= silent || mid_answer || self.cancelled.len() > NAMES;
        Some(if is_partial { WrittenPart::Some } else { WrittenPart::All })
    }

    /// Reads what has come.
    pub fn read(&mut self, now: f64) -> Progress {
        let before = self.stream.input.len();
        let progress = self.stream.read();
        if self.stream.input.len() > before {
            self.received_at = now;
        }
        progress
    }

    /// Whether nothing is in flight and the member has closed it, which the kernel may not have reported yet: an
    /// attempt written to it would end as one that may have run.
    pub fn is_stale(&mut self, now: f64) -> bool {
        self.in_flight() == 0 && self.stream.is_open() && self.read(now) == Progress::Ended
    }

    /// The next complete answer, and the key of what it answers; none for what is not in flight any more.
    ///
    /// # Errors
    /// What comes can't be decoded: the connection is of no more use.
    pub fn take_reply(&mut self, now: f64) -> Result<Option<ReceivedReply>, ReplyError> {
        let Some(reply) = self.decoder.next(&mut self.stream.input)? else {
            self.stream.missing = self.decoder.missing(self.stream.input.len());
            self.stream.trim(std::mem::take(&mut self.taken));
            return Ok(None);
        };
        self.taken = true;
        let key = self.keys.get(&reply.id).copied();
        // An answer to what is not written yet answers something else.
        let key =
            key.filter(|key| self.in_flight.get(key).is_some_and(|message| message.written_at.is_some()));
        if let Some(message) = key.and_then(|key| self.in_flight.remove(&key)) {
            self.keys.remove(&message.name);
            self.used_at = now;
            if message.is_attempt {
                self.answered.truncate(NAMES - 1);
                self.answered.push_front(message.name);
            }
        } else {
            self.cancelled.remove(&reply.id);
        }
        Ok(Some(ReceivedReply { key, reply }))
    }

    /// Writes what the kernel takes, and calls `complete` with each message that it took completely.
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

    /// Takes what is in flight as the connection has ended, by key.
    pub fn take_lost(&mut self) -> Vec<Lost> {
        self.keys.clear();
        let lost = self.in_flight.drain();
        let lost = lost.map(|(key, message)| Lost { key, written: message.written_at.is_some() });
        let mut lost: Vec<Lost> = lost.collect();
        lost.sort_unstable();
        lost
    }
}
