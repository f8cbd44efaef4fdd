//! What passed on the sockets, as the stand-ins saw it.

use std::collections::HashMap;
use std::net::IpAddr;
use std::sync::{Arc, Mutex};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// What a body tells of the copy that it is from.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Stamp {
    /// The object and its part.
    pub object: u64,
    pub part: u32,
    /// The Unix millisecond at which the origin gave it out.
    pub issued: u64,
    /// The site whose origin that was.
    pub site: u32,
}

/// Bytes of a stamp.
pub const STAMP: usize = 24;

impl Stamp {
    /// A body of that size, the stamp first.
    pub fn body(&self, size: usize) -> Vec<u8> {
        let mut body = Vec::with_capacity(size.max(STAMP));
        body.extend(self.object.to_be_bytes());
        body.extend(self.part.to_be_bytes());
        body.extend(self.issued.to_be_bytes());
        body.extend(self.site.to_be_bytes());
        // What follows depends on the place, so that pieces in a wrong order are seen.
        body.extend((STAMP..size).map(|i| filler(self.object, i)));
        body
    }

    /// The stamp of a body; none if it is not one that an origin made.
    pub fn read(body: &[u8]) -> Option<Stamp> {
        let number = |at: usize, n: usize| {
            body.get(at..at + n).map(|b| b.iter().fold(0u64, |sum, b| sum << 8 | u64::from(*b)))
        };
        let stamp = Stamp {
            object: number(0, 8)?,
            part: number(8, 4)? as u32,
            issued: number(12, 8)?,
            site: number(20, 4)? as u32,
        };
        let whole = body.iter().enumerate().skip(STAMP).all(|(i, b)| *b == filler(stamp.object, i));
        whole.then_some(stamp)
    }
}

fn filler(object: u64, at: usize) -> u8 {
    (at as u64).wrapping_mul(object | 1).to_be_bytes()[3]
}

/// How a client was answered.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    Served(Option<Stamp>),
    Unchanged,
    /// With the time to come back, ms.
    Refused(Option<f64>),
    Failed,
}

/// One thing that was seen.
#[derive(Clone, Debug)]
pub enum Fact {
    /// A client at a site wrote a request's last byte.
    Asked { name: String, site: u32, home: u32, class: &'static str, object: u64, group: u32, allow: f64 },
    /// A client read an answer whole.
    Answered { name: String, outcome: Outcome },
    /// A request crossed the planned close of its connection: the protocol has it asked again.
    Recalled { name: String },
    /// A client's connection ended with this request open.
    Lost { name: String },
    /// An attempt came whole to a member.
    Came { name: String, site: u32, member: String, lane: String },
    /// It was answered, given up, or its connection ended.
    Over { name: String, member: String },
    /// A request with an effect ran: its name and key.
    Ran { name: String, site: u32, key: Option<String> },
    /// The feed of a site told that a member drains.
    Drained { member: String },
    /// The feed of a site told a purge.
    Purged { site: u32, object: Option<u64>, group: u32, at: u64 },
    /// A fill went to a source: for the figures.
    Filled { site: u32, member: String, object: u64, from: String },
    /// A lookup was a hit: for the figures.
    Hit { site: u32, member: String, object: u64 },
    /// A probe came to a member.
    Probed { member: String },
    /// A site's gateway was killed: what was open there is owed by nobody.
    Killed { site: u32 },
    /// A link was cut, or is whole again.
    Cut { kind: &'static str, on: bool },
}

/// A fact with its time, in ms since the record began.
#[derive(Clone, Debug)]
pub struct Seen {
    pub at: f64,
    pub fact: Fact,
}

/// What clients of one address wrote and read, on the sockets.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Passed {
    pub read: u64,
    pub wrote: u64,
    /// Requests that were written whole.
    pub asked: u64,
}

/// A record that many threads write.
#[derive(Clone, Debug)]
pub struct Record {
    start: Instant,
    unix: u64,
    all: Arc<Mutex<Vec<Seen>>>,
    passed: Arc<Mutex<HashMap<IpAddr, Passed>>>,
}

impl Default for Record {
    fn default() -> Self {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Record {
            start: Instant::now(),
            unix: since.as_millis() as u64,
            all: Arc::default(),
            passed: Arc::default(),
        }
    }
}

impl Record {
    /// Notes a fact now.
    pub fn note(&self, fact: Fact) {
        let at = self.now();
        self.all.lock().unwrap().push(Seen { at, fact });
    }

    /// Counts what clients of an address wrote and read.
    pub fn pass(&self, client: IpAddr, more: Passed) {
        let mut all = self.passed.lock().unwrap();
        let sum = all.entry(client).or_default();
        *sum = Passed {
            read: sum.read + more.read,
            wrote: sum.wrote + more.wrote,
            asked: sum.asked + more.asked,
        };
    }

    /// What the clients of each address wrote and read.
    pub fn passed(&self) -> HashMap<IpAddr, Passed> {
        self.passed.lock().unwrap().clone()
    }

    /// Milliseconds since the record began.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64() * 1000.0
    }

    /// The Unix millisecond at which it began.
    pub fn unix(&self) -> u64 {
        self.unix
    }

    /// Hands over all that was noted, in the order of time.
    pub fn take(&self) -> Vec<Seen> {
        let mut all = std::mem::take(&mut *self.all.lock().unwrap());
        all.sort_by(|a, b| a.at.total_cmp(&b.at));
        all
    }

    /// How many facts fit a question.
    pub fn count(&self, fits: impl Fn(&Fact) -> bool) -> usize {
        self.all.lock().unwrap().iter().filter(|seen| fits(&seen.fact)).count()
    }
}
