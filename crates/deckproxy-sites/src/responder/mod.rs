//! The serving side: attempts received over links, by session and number.
//!
//! An attempt number is executed at most once, whatever connections it arrives on and however often. An execution
//! continues when its connection is lost; its response is retained until the requesting side releases it, until the
//! session expires, or until it is evicted to bound the memory. If the status of an attempt that was never received is
//! requested, its number is fenced: if the attempt still arrives on an old connection, it is dropped.
//!
//! - [`types`]: inputs and outputs.
//! - `session`: state of sessions and attempts.
//! - `connections`: handshake, loss, received messages and timeouts.
//! - `attempts`: accepting, executing, resuming and discarding attempts.
//! - `responses`: response heads and bodies, with flow control and eviction.

mod attempts;
mod connections;
mod responses;
mod session;
pub mod types;

pub use types::{Effect, RunId, RunResult, Usage};

use crate::{ConnectionId, LinkLimits, Millis};
use connections::PeerConnection;
use session::{Session, SessionKey};
use std::collections::{BTreeMap, VecDeque};

/// The attempt to which an execution belongs.
#[derive(Clone, Debug)]
struct AttemptKey {
    session: SessionKey,
    attempt: u64,
}

/// The request to all requesting sides to send no new attempts to this process.
#[derive(Clone, Debug)]
struct Shutdown {
    reason: String,
    retry_after: Millis,
}

/// The serving side of all links.
#[derive(Debug)]
pub struct Responder {
    limits: LinkLimits,
    sessions: BTreeMap<SessionKey, Session>,
    connections: BTreeMap<ConnectionId, PeerConnection>,
    runs: BTreeMap<RunId, AttemptKey>,
    last_run: RunId,
    /// Bytes of responses that are not released yet.
    retained_bytes: usize,
    shutdown: Option<Shutdown>,
    effects: VecDeque<Effect>,
    /// Attempts received since the start that were duplicates, were fenced or had ended before.
    pub duplicates: u64,
    /// Responses evicted to bound the memory, since the start.
    pub evicted: u64,
}

impl Responder {
    /// Creates a responder without connections.
    pub fn new(limits: LinkLimits) -> Self {
        Responder {
            limits,
            sessions: BTreeMap::new(),
            connections: BTreeMap::new(),
            runs: BTreeMap::new(),
            last_run: 0,
            retained_bytes: 0,
            shutdown: None,
            effects: VecDeque::new(),
            duplicates: 0,
            evicted: 0,
        }
    }

    /// Removes and returns the next effect for the caller to execute.
    pub fn next_effect(&mut self) -> Option<Effect> {
        self.effects.pop_front()
    }

    /// Counts the objects in memory.
    pub fn usage(&self) -> Usage {
        Usage {
            runs: self.runs.len(),
            sessions: self.sessions.len(),
            connections: self.connections.len(),
            retained_bytes: self.retained_bytes,
        }
    }

    /// Number of attempts whose response the requesting side is owed: it has not released them, and its session has not
    /// expired.
    pub fn owed_attempts(&self) -> usize {
        let attempts = self.sessions.values().flat_map(|session| session.attempts.values());
        attempts.filter(|attempt| attempt.is_owed()).count()
    }
}
