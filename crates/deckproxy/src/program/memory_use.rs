//! The memory that peers make the gateway hold, and the connections that wait for some of it.

use crate::program::connections::UpstreamId;
use std::collections::VecDeque;

/// Bytes that are held, by what holds them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct MemoryUse {
    /// Buffers of clients' connections, for input.
    pub(super) client_input: usize,
    /// Messages that wait for clients.
    pub(super) client_output: usize,
    /// Buffers of members' connections, for input, with what is reserved for the rest of answers.
    pub(super) member_input: usize,
    /// Messages that wait for members.
    pub(super) member_output: usize,
    /// Open requests with their bodies.
    pub(super) requests: usize,
    /// Buffers of links to other sites.
    pub(super) links: usize,
    /// Requests and answers that subsystems hold.
    pub(super) subsystems: usize,
    /// Messages that wait for collectors.
    pub(super) collectors: usize,
}

impl MemoryUse {
    /// All bytes that are held.
    pub(super) fn total(&self) -> usize {
        self.client_input
            + self.client_output
            + self.member_input
            + self.member_output
            + self.requests
            + self.links
            + self.subsystems
            + self.collectors
    }
}

/// Connections to members whose next answer waits for memory, in the order in which they are served.
#[derive(Debug, Default)]
pub(super) struct WaitingAnswers {
    queue: VecDeque<UpstreamId>,
}

impl WaitingAnswers {
    /// Number of connections that wait.
    pub(super) fn len(&self) -> usize {
        self.queue.len()
    }

    /// Adds a connection, unless it waits already.
    pub(super) fn push(&mut self, id: UpstreamId) {
        if !self.queue.contains(&id) {
            self.queue.push_back(id);
        }
    }

    /// The connection that has waited for longest.
    pub(super) fn first(&self) -> Option<UpstreamId> {
        self.queue.front().copied()
    }

    /// Removes the connection that has waited for longest.
    pub(super) fn remove_first(&mut self) {
        self.queue.pop_front();
    }
}
