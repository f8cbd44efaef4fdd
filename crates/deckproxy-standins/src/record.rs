//! What passed on the sockets, as the stand-ins saw it.

use std::collections::HashMap;
use std::net::IpAddr;
use std::sync::{Arc, Mutex};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// The head of a body, which tells the copy that it is from.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Stamp {
    /// The object.
    pub object: u64,
    /// The part of the object.
    pub part: u32,
    /// When the origin issued the copy, Unix ms.
    pub issued: u64,
    /// The site of that origin.
    pub site: u32,
}

/// Bytes of a stamp.
pub const STAMP_SIZE: usize = 24;

impl Stamp {
    /// A body of that size in bytes (at least [`STAMP_SIZE`]) that begins with the stamp.
    pub fn body(&self, size: usize) -> Vec<u8> {
        let mut body = Vec::with_capacity(size.max(STAMP_SIZE));
        body.extend(self.object.to_be_bytes());
        body.extend(self.part.to_be_bytes());
        body.extend(self.issued.to_be_bytes());
        body.extend(self.site.to_be_bytes());
        // The rest depends on the position, so that pieces in a wrong order are detected.
        body.extend((STAMP_SIZE..size).map(|i| filler(self.object, i)));
        body
    }

    /// The stamp of a body; `None` if no origin made that body.
    pub fn read(body: &[u8]) -> Option<Stamp> {
        let number = |at: usize, n: usize| {
            body.get(at..at + n).map(|bytes| bytes.iter().fold(0u64, |sum, byte| sum << 8 | u64::from(*byte)))
        };
        let stamp = Stamp {
            object: number(0, 8)?,
            part: number(8, 4)? as u32,
            issued: number(12, 8)?,
            site: number(20, 4)? as u32,
        };
        let intact =
            body.iter().enumerate().skip(STAMP_SIZE).all(|(i, byte)| *byte == filler(stamp.object, i));
        intact.then_some(stamp)
    }
}

fn filler(object: u64, position: usize) -> u8 {
    (position as u64).wrapping_mul(object | 1).to_be_bytes()[3]
}

/// How a client was answered.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// With a body; its stamp, or `None` if no origin made it.
    Served(Option<Stamp>),
    /// The client's copy is still valid.
    Unchanged,
    /// Rejected, with the advised time until a retry (Retry-After), ms.
    Rejected(Option<f64>),
    /// With another error.
    Failed,
}

/// One thing that was observed.
#[derive(Clone, Debug)]
pub enum Fact {
    /// A client wrote a request's last byte.
    RequestSent {
        /// The request's name.
        name: String,
        /// The client's site.
        site: u32,
        /// The site whose origin has the object.
        home_site: u32,
        /// The request's class.
        class: &'static str,
        /// The object that it is for.
        object: u64,
        /// The object's purge group.
        group: u32,
        /// The time that the request has, ms.
        timeout_ms: f64,
    },
    /// A client read a complete answer.
    Answered {
        /// The request's name.
        name: String,
        /// How it was answered.
        outcome: Outcome,
    },
    /// A request needs no answer: its client left, or it crossed the planned close of its connection and is sent again.
    Withdrawn {
        /// The request's name.
        name: String,
    },
    /// A client's connection ended with this request in flight.
    ConnectionLost {
        /// The request's name.
        name: String,
    },
    /// A member received a complete attempt.
    AttemptReceived {
        /// The request's name.
        name: String,
        /// The member's site.
        site: u32,
        /// The member.
        member: String,
        /// The request's class.
        class: String,
    },
    /// An attempt was answered, cancelled, or its connection ended.
    AttemptEnded {
        /// The request's name.
        name: String,
        /// The member.
        member: String,
    },
    /// A request with an effect took effect.
    EffectApplied {
        /// The request's name.
        name: String,
        /// The member's site.
        site: u32,
        /// The request's idempotency key.
        key: Option<String>,
    },
    /// A site's feed announced that a member drains.
    DrainAnnounced {
        /// The member.
        member: String,
    },
    /// A site's feed announced a purge.
    PurgeAnnounced {
        /// The feed's site.
        site: u32,
        /// The purged object; `None` for a whole group.
        object: Option<u64>,
        /// The purged group, or the object's.
        group: u32,
        /// When the purge was made, Unix ms.
        at: u64,
    },
    /// A member filled a copy from a source.
    Filled {
        /// The member's site.
        site: u32,
        /// The member.
        member: String,
        /// The object.
        object: u64,
        /// The source's name.
        from: String,
    },
    /// A member answered from a copy.
    CacheHit {
        /// The member's site.
        site: u32,
        /// The member.
        member: String,
        /// The object.
        object: u64,
    },
    /// A member received a health check.
    HealthChecked {
        /// The member.
        member: String,
    },
    /// A site's gateway was killed: its requests in flight need no answer.
    GatewayKilled {
        /// The site.
        site: u32,
    },
    /// A link was cut or restored.
    LinkChanged {
        /// The kind of the cut, in words.
        kind: &'static str,
        /// Whether it is cut now.
        is_cut: bool,
    },
}

/// A fact with its time.
#[derive(Clone, Debug)]
pub struct Seen {
    /// Milliseconds since the record began.
    pub at: f64,
    /// What was observed.
    pub fact: Fact,
}

/// What clients of one address wrote and read on the sockets.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Bytes read.
    pub read: u64,
    /// Bytes written.
    pub written: u64,
    /// Requests that were written completely.
    pub requests: u64,
}

/// A record that many threads write.
#[derive(Clone, Debug)]
pub struct Record {
    start: Instant,
    start_unix_ms: u64,
    facts: Arc<Mutex<Vec<Seen>>>,
    traffic: Arc<Mutex<HashMap<IpAddr, Traffic>>>,
}

impl Default for Record {
    fn default() -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Record {
            start: Instant::now(),
            start_unix_ms: since_epoch.as_millis() as u64,
            facts: Arc::default(),
            traffic: Arc::default(),
        }
    }
}

impl Record {
    /// Adds a fact at the present time.
    ///
    /// # Panics
    /// Panics if a thread panicked while it held the lock.
    pub fn note(&self, fact: Fact) {
        let at = self.now();
        self.facts.lock().unwrap().push(Seen { at, fact });
    }

    /// Adds to what clients of an address wrote and read.
    ///
    /// # Panics
    /// Panics if a thread panicked while it held the lock.
    pub fn count_traffic(&self, client: IpAddr, more: Traffic) {
        let mut traffic = self.traffic.lock().unwrap();
        let sum = traffic.entry(client).or_default();
        sum.read += more.read;
        sum.written += more.written;
        sum.requests += more.requests;
    }

    /// What the clients of each address wrote and read.
    ///
    /// # Panics
    /// Panics if a thread panicked while it held the lock.
    pub fn traffic(&self) -> HashMap<IpAddr, Traffic> {
        self.traffic.lock().unwrap().clone()
    }

    /// Milliseconds since the record began.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64() * 1000.0
    }

    /// When the record began, Unix ms.
    pub fn start_unix_ms(&self) -> u64 {
        self.start_unix_ms
    }

    /// Takes all facts so far out of the record, in the order of time.
    ///
    /// # Panics
    /// Panics if a thread panicked while it held the lock.
    pub fn take(&self) -> Vec<Seen> {
        let mut facts = std::mem::take(&mut *self.facts.lock().unwrap());
        facts.sort_by(|a, b| a.at.total_cmp(&b.at));
        facts
    }

    /// How many facts match.
    ///
    /// # Panics
    /// Panics if a thread panicked while it held the lock.
    pub fn count(&self, matches: impl Fn(&Fact) -> bool) -> usize {
        self.facts.lock().unwrap().iter().filter(|seen| matches(&seen.fact)).count()
    }
}
