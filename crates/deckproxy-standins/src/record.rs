//! What passed on the sockets, as the stand-ins saw it.

mod fact;
mod stamp;

pub use fact::{Fact, Outcome, Seen};
pub use stamp::{STAMP_SIZE, Stamp};

use std::collections::HashMap;
use std::net::IpAddr;
use std::sync::{Arc, Mutex};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

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
            start_unix_ms: u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX),
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
