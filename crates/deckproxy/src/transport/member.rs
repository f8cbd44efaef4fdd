//! A connection to a member. It carries many attempts, and knows of each whether it was written whole.

use crate::protocol::upstream::{self, Decoder, Reply, ReplyError};
use crate::transport::outbox::{Outgoing, Written};
use crate::transport::stream::{Progress, Stream};
use bytes::Bytes;
use std::collections::{HashMap, HashSet, VecDeque};
use std::io;

/// Key of what goes out and is no attempt.
const OTHER: u64 = u64::MAX;

struct Ask {
    name: Box<str>,
    /// When it was written whole, if it was.
    written: Option<f64>,
    /// The member is told when it is given up; a probe ends by itself.
    quits: bool,
}

/// A connection to a member, or one that is being made.
pub struct Link {
    /// The socket and its buffers.
    pub stream: Stream,
    decoder: Decoder,
    asks: HashMap<u64, Ask>,
    names: HashMap<Box<str>, u64>,
    /// Names given up here: an answer to one may still be on its way.
    given_up: HashSet<Box<str>>,
    /// Names answered here lately: a second answer to one may come late, behind the next ask under that name.
    answered: VecDeque<Box<str>>,
    /// When something last came, and when it last had something to do.
    heard: f64,
    used: f64,
    /// An answer was taken off the buffer since that was trimmed.
    taken: bool,
    /// Takes nothing new; closes once nothing is out.
    pub retired: bool,
    written: Vec<Written>,
}

/// What is sent to a member.
pub enum Message {
    /// An attempt.
    Ask {
        /// Its encoded command.
        parts: [Bytes; 3],
        /// Time until it is taken back if none of it is written, ms.
        unsent: f64,
    },
    /// A probe.
    Probe,
}

/// How much of an attempt that is given up was written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Withdrawn {
    /// None of it.
    Unsent,
    /// Some of it; the rest still waits.
    Cut,
    /// All of it.
    Sent,
}

/// Names given up on one connection, from which it is retired; and names answered there that are remembered.
const NAMES: usize = 32;

impl Link {
    /// A connection that is being made.
    pub fn new(stream: Stream, now: f64) -> Self {
        Link {
            stream,
            decoder: Decoder::default(),
            asks: HashMap::new(),
            names: HashMap::new(),
            given_up: HashSet::new(),
            answered: VecDeque::new(),
            heard: now,
            used: now,
            taken: false,
            retired: false,
            written: Vec::new(),
        }
    }

    /// Attempts and probes out on it.
    pub fn load(&self) -> usize {
        self.asks.len()
    }

    /// Since when it has had nothing to do.
    pub fn idle_since(&self) -> f64 {
        self.used
    }

    /// Whether an attempt of that name can go out here: an answer under it must have but one meaning.
    pub fn takes(&self, name: &str) -> bool {
        let used = self.names.contains_key(name) || self.given_up.contains(name);
        !self.retired && !used && !self.answered.iter().any(|other| **other == *name)
    }

    /// Appends an attempt.
    pub fn ask(&mut self, key: u64, name: Box<str>, parts: [Bytes; 3], now: f64) {
        self.add(key, name, Outgoing { key, parts }, true, now);
    }

    /// Appends a probe.
    pub fn probe(&mut self, key: u64, name: Box<str>, now: f64) {
        let message = Outgoing::whole(key, upstream::encode_health_check(&name));
        self.add(key, name, message, false, now);
    }

    fn add(&mut self, key: u64, name: Box<str>, message: Outgoing, quits: bool, now: f64) {
        self.used = now;
        self.names.insert(name.clone(), key);
        self.asks.insert(key, Ask { name, written: None, quits });
        self.stream.push(message);
    }

    /// Takes back an attempt of which no byte was written. Tells whether that was so.
    pub fn take_back(&mut self, key: u64) -> bool {
        if !self.stream.withdraw(key) {
            return false;
        }
        if let Some(ask) = self.asks.remove(&key) {
            self.names.remove(&ask.name);
        }
        true
    }

    /// Attempts that are not written whole.
    pub fn unwritten(&self) -> Vec<u64> {
        self.asks.iter().filter(|(_, a)| a.quits && a.written.is_none()).map(|(key, _)| *key).collect()
    }

    /// Whether an attempt is written whole.
    pub fn is_written(&self, key: u64) -> bool {
        self.asks.get(&key).is_none_or(|a| a.written.is_some())
    }

    /// Gives an attempt up; none if it is not here. Tells how much of it was written. A connection on which
    /// nothing came for `patience` ms since it was written whole may be dead without a word, and one on which half of an
    /// answer has stood for so long will hardly bring the rest: it is retired.
    pub fn withdraw(&mut self, key: u64, now: f64, patience: f64) -> Option<Withdrawn> {
        let ask = self.asks.remove(&key)?;
        self.names.remove(&ask.name);
        self.used = now;
        if self.stream.withdraw(key) {
            return Some(Withdrawn::Unsent);
        }
        let cut = self.stream.cut().is_some_and(|cut| cut.key == key);
        if ask.quits {
            self.stream.push(Outgoing::whole(OTHER, upstream::encode_cancel(&ask.name)));
        }
        self.given_up.insert(ask.name);
        let silent = ask.written.is_some_and(|at| self.heard < at && now - at > patience);
        // An answer that broke off in its middle: whatever is asked here would be answered behind it, or never.
        let amid = !self.stream.input.is_empty() && now - self.heard > patience;
        self.retired |= silent || amid || self.given_up.len() > NAMES;
        Some(if cut { Withdrawn::Cut } else { Withdrawn::Sent })
    }

    /// Reads what has come.
    pub fn read(&mut self, now: f64) -> Progress {
        let before = self.stream.input.len();
        let progress = self.stream.read();
        if self.stream.input.len() > before {
            self.heard = now;
        }
        progress
    }

    /// Whether nothing is out on it and the member has closed it, which the loop may not have told yet: an ask
    /// written to it would end as one that may have run.
    pub fn is_stale(&mut self, now: f64) -> bool {
        self.load() == 0 && self.stream.is_open() && self.read(now) == Progress::Ended
    }

    /// The next answer that has come whole, and the key of what it answers; none for what was given up.
    pub fn take_reply(&mut self, now: f64) -> Result<Option<(Option<u64>, Reply)>, ReplyError> {
        let Some(reply) = self.decoder.next(&mut self.stream.input)? else {
            self.stream.lacks = self.decoder.lacks(self.stream.input.len());
            self.stream.trim(std::mem::take(&mut self.taken));
            return Ok(None);
        };
        self.taken = true;
        // An answer to what was not written yet answers something else.
        let key = self.names.get(&reply.id).copied();
        let key = key.filter(|key| self.asks.get(key).is_some_and(|a| a.written.is_some()));
        if let Some(ask) = key.and_then(|key| self.asks.remove(&key)) {
            self.names.remove(&ask.name);
            self.used = now;
            if ask.quits {
                self.answered.truncate(NAMES - 1);
                self.answered.push_front(ask.name);
            }
        } else {
            self.given_up.remove(&reply.id);
        }
        Ok(Some((key, reply)))
    }

    /// Writes what the kernel takes, and tells of each message that it took whole.
    pub fn flush(&mut self, now: f64, mut whole: impl FnMut(Written)) -> io::Result<()> {
        let done = self.stream.flush(&mut self.written);
        for one in self.written.drain(..) {
            whole(one);
            let key = one.key;
            self.asks.get_mut(&key).into_iter().for_each(|a| a.written = Some(now));
        }
        done
    }

    /// What was out when the connection ended: its key, and whether it had been written whole.
    pub fn lost(&mut self) -> Vec<(u64, bool)> {
        self.names.clear();
        let mut lost: Vec<(u64, bool)> =
            self.asks.drain().map(|(key, a)| (key, a.written.is_some())).collect();
        lost.sort_unstable();
        lost
    }
}
