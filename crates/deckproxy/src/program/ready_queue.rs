//! The connections that are ready to be served, and those that have used up their slice of the loop's time.
//!
//! A connection that is ready is served before those with a backlog, whatever these still have to read: a peer that sends
//! at full speed delays its own work, not that of the others.

use crate::program::connections::ReadySource;
use std::collections::{HashSet, VecDeque};

/// Two queues of connections; each connection is in one of them at most.
#[derive(Debug, Default)]
pub(super) struct ReadyQueue {
    ready: VecDeque<ReadySource>,
    backlog: VecDeque<ReadySource>,
    queued: HashSet<ReadySource>,
}

impl ReadyQueue {
    /// Adds a connection that has become ready, unless it is queued.
    pub(super) fn push(&mut self, source: ReadySource) {
        if self.queued.insert(source) {
            self.ready.push_back(source);
        }
    }

    /// Adds a connection that has used up its slice with work left, unless it is queued.
    pub(super) fn push_backlog(&mut self, source: ReadySource) {
        if self.queued.insert(source) {
            self.backlog.push_back(source);
        }
    }

    /// Removes the next ready connection.
    pub(super) fn pop(&mut self) -> Option<ReadySource> {
        let source = self.ready.pop_front()?;
        self.queued.remove(&source);
        Some(source)
    }

    /// Removes the next connection with a backlog.
    pub(super) fn pop_backlog(&mut self) -> Option<ReadySource> {
        let source = self.backlog.pop_front()?;
        self.queued.remove(&source);
        Some(source)
    }

    /// Number of ready connections.
    pub(super) fn ready(&self) -> usize {
        self.ready.len()
    }

    /// Number of connections with a backlog.
    pub(super) fn backlog(&self) -> usize {
        self.backlog.len()
    }

    /// Whether no connection is queued.
    pub(super) fn is_empty(&self) -> bool {
        self.queued.is_empty()
    }
}
