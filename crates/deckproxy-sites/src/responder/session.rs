//! The serving side's state of sessions and their attempts.

use super::types::{RunId, RunResult};
use crate::{ConnectionId, Millis};
use std::collections::BTreeMap;

/// Identifies a session: the requesting site and the session number that it assigned.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct SessionKey {
    pub(super) site: String,
    pub(super) session: u64,
}

/// A response that is retained until the requesting side releases it.
#[derive(Debug)]
pub(super) struct RetainedResponse {
    pub(super) result: RunResult,
    /// Offset up to which the body was sent, bytes.
    pub(super) sent: usize,
    /// Credit window: offset up to which the body may be sent, bytes.
    pub(super) credit_limit: usize,
    pub(super) completed_at: Millis,
}

impl RetainedResponse {
    /// Whether more of the body may be sent within the credit window.
    pub(super) fn is_sendable(&self) -> bool {
        self.sent < self.result.body.len().min(self.credit_limit)
    }
}

/// The state of a received attempt.
#[derive(Debug)]
pub(super) enum AttemptProgress {
    /// Being executed.
    Running(RunId),
    /// The execution has ended; the response is retained.
    Completed(RetainedResponse),
    /// It must not be accepted if it arrives later.
    Fenced,
    /// The execution has ended, and the response was evicted.
    Evicted,
}

/// A received attempt.
#[derive(Debug)]
pub(super) struct Attempt {
    /// The connection for its response; `None` if that connection was lost.
    pub(super) connection: Option<ConnectionId>,
    pub(super) progress: AttemptProgress,
}

impl Attempt {
    /// Creates the state of an attempt that must not be accepted if it arrives later.
    pub(super) fn fenced() -> Self {
        Attempt { connection: None, progress: AttemptProgress::Fenced }
    }

    /// Whether the requesting side is owed its response: it is running, or its response is retained, as the requesting side
    /// has not released it yet.
    pub(super) fn is_owed(&self) -> bool {
        match self.progress {
            AttemptProgress::Running(_) | AttemptProgress::Completed(_) => true,
            AttemptProgress::Fenced | AttemptProgress::Evicted => false,
        }
    }

    /// When its response was completed, if that can be evicted: it has a body, and no connection to send it on.
    pub(super) fn evictable_since(&self) -> Option<Millis> {
        match &self.progress {
            AttemptProgress::Completed(response)
                if self.connection.is_none() && !response.result.body.is_empty() =>
            {
                Some(response.completed_at)
            }
            _ => None,
        }
    }
}

/// A session of a requesting side.
#[derive(Debug)]
pub(super) struct Session {
    pub(super) attempts: BTreeMap<u64, Attempt>,
    /// Attempts with lower numbers have ended, or were sent before this state was created.
    pub(super) lowest_open_attempt: u64,
    /// When it lost its last connection; `None` while it has one.
    pub(super) detached_since: Option<Millis>,
    /// Initial credit window of each body, bytes.
    pub(super) credit_window: usize,
}

impl Session {
    /// Creates the state of a newly seen session.
    pub(super) fn new(next_attempt: u64, credit_window: usize) -> Self {
        Session {
            attempts: BTreeMap::new(),
            lowest_open_attempt: next_attempt,
            detached_since: None,
            credit_window,
        }
    }

    /// Whether an attempt number was received before, or is fenced.
    pub(super) fn is_used(&self, number: u64) -> bool {
        number < self.lowest_open_attempt || self.attempts.contains_key(&number)
    }
}
