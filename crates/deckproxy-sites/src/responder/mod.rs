//! The serving side: attempts received over links, by session and number.
//!
//! A number is executed at most once, whatever connection it arrives on and however often. An execution continues when
//! its connection is lost; its response is retained until the requesting side releases it, until the session is
//! forgotten, or until it is evicted to bound the memory. A number whose status is requested in a session that does not
//! know it was never received, and is fenced: should it still arrive on an old connection, it is dropped.
//!
//! - [`types`]: what goes in and what comes out.
//! - `session`: what is remembered of sessions and attempts.
//! - `connections`: handshake, loss, received messages and timeouts.
//! - `attempts`: accepting, executing, resuming and forgetting attempts.
//! - `responses`: response heads and bodies, with flow control and eviction.

mod attempts;
mod connections;
mod responses;
mod session;
pub mod types;

pub use types::{Effect, RunId, RunResult, Usage};

use crate::{ConnectionId, LinkLimits, Millis};
use connections::Peer;
use session::{Session, SessionKey};
use std::collections::{BTreeMap, VecDeque};

/// Where an execution's response goes.
#[derive(Clone, Debug)]
struct RunOrigin {
    session: SessionKey,
    attempt: u64,
}

/// The announcement that no new attempts are accepted.
#[derive(Clone, Debug)]
struct Shutdown {
    reason: String,
    retry_after: Millis,
}

/// All that is served over links.
#[derive(Debug)]
pub struct Responder {
    limits: LinkLimits,
    sessions: BTreeMap<SessionKey, Session>,
    peers: BTreeMap<ConnectionId, Peer>,
    runs: BTreeMap<RunId, RunOrigin>,
    last_run: RunId,
    /// Responses that are not released yet, bytes.
    retained_bytes: usize,
    shutdown: Option<Shutdown>,
    effects: VecDeque<Effect>,
    /// Attempts that were received a second time or after they were fenced, since the start.
    pub duplicates: u64,
    /// Responses evicted to bound the memory, since the start.
    pub evicted: u64,
}

impl Responder {
    /// A responder without connections.
    pub fn new(limits: LinkLimits) -> Self {
        Responder {
            limits,
            sessions: BTreeMap::new(),
            peers: BTreeMap::new(),
            runs: BTreeMap::new(),
            last_run: 0,
            retained_bytes: 0,
            shutdown: None,
            effects: VecDeque::new(),
            duplicates: 0,
            evicted: 0,
        }
    }

    /// Takes the next effect that the caller has to carry out.
    pub fn next_effect(&mut self) -> Option<Effect> {
        self.effects.pop_front()
    }

    /// What is in memory.
    pub fn usage(&self) -> Usage {
        Usage {
            runs: self.runs.len(),
            sessions: self.sessions.len(),
            connections: self.peers.len(),
            retained_bytes: self.retained_bytes,
        }
    }

    /// Attempts whose response the requesting side still lacks, at least in part.
    pub fn unfinished_attempts(&self) -> usize {
        let attempts = self.sessions.values().flat_map(|session| session.attempts.values());
        attempts.filter(|attempt| attempt.is_unfinished()).count()
    }
}
