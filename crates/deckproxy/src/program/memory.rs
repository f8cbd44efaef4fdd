//! The account of the memory that peers make the gateway hold, and the decisions that depend on it.
//!
//! All buffers and bodies are in the account, also memory that is only promised: the rest of an answer that has begun, and
//! the answers that open requests are expected to bring. The nearer a piece of work is to its end, the more memory it may
//! use, so that work in progress can always be completed: new requests are rejected first, then large answers of members
//! wait, and small ones last.

use crate::program::connections::{ReadySource, UpstreamId};
use crate::program::gateway::Gateway;
use crate::protocol::limits;
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
    fn push(&mut self, id: UpstreamId) {
        if !self.queue.contains(&id) {
            self.queue.push_back(id);
        }
    }
}

impl Gateway {
    /// The memory that peers make the gateway hold now.
    pub(super) fn memory_use(&self) -> MemoryUse {
        MemoryUse {
            client_input: self.client_buffers.input(),
            client_output: self.client_buffers.output(),
            member_input: self.upstream_buffers.input(),
            member_output: self.upstream_buffers.output(),
            requests: self.router.held_bytes(),
            links: self.site_links.as_ref().map_or(0, |links| links.buffered_bytes()),
            subsystems: self.subsystems.buffered_bytes(),
            collectors: self.collectors.as_ref().map_or(0, |collectors| collectors.buffered_bytes()),
        }
    }

    /// Whether new requests must be rejected: what is held is over its bound, or would be over the process's limit with
    /// the answers that are expected.
    pub(super) fn is_memory_full(&self) -> bool {
        let held = self.memory_use().total();
        held > self.bounds.requests || held + self.router.expected_bytes() > self.bounds.memory
    }

    /// Bytes that may be taken for further large answers.
    pub(super) fn memory_room(&self) -> usize {
        self.bounds.answers.saturating_sub(self.memory_use().total())
    }

    /// The number of bytes that may be read next from a member's connection. `None` if there is no memory for the answer
    /// that it is sending: the connection is queued, and read once there is.
    pub(super) fn member_read_limit(&mut self, id: UpstreamId) -> Option<usize> {
        let stream = &self.upstreams.get(&id)?.connection.stream;
        let missing = stream.missing;
        let is_large = missing > limits::MEMBER_READ;
        if is_large && stream.has_reservation() {
            return Some(missing);
        }
        if !self.admits_answer(missing) {
            self.waiting_answers.push(id);
            return None;
        }
        if !is_large {
            return Some(limits::MEMBER_READ);
        }
        self.upstreams.get_mut(&id)?.connection.stream.reserve_missing();
        Some(missing)
    }

    /// Whether there is memory for an answer of which so many bytes are missing. One large answer at a time is received
    /// whatever else is held, so that the others are not kept waiting without end.
    fn admits_answer(&self, missing: usize) -> bool {
        let (held, bounds) = (self.memory_use(), &self.bounds);
        if missing <= limits::MEMBER_READ {
            return held.total() <= bounds.read;
        }
        let fits = held.total() + missing <= bounds.answers
            && held.member_input + missing <= bounds.member_input
            && held.client_output <= bounds.unread;
        fits || self.upstream_buffers.reservations() == 0
    }

    /// Queues the connections to members whose answers waited for memory and may be received now.
    pub(super) fn resume_waiting_answers(&mut self) {
        while let Some(id) = self.waiting_answers.queue.front().copied() {
            let missing = self.upstreams.get(&id).map(|upstream| upstream.connection.stream.missing);
            if missing.is_some_and(|missing| !self.admits_answer(missing)) {
                return;
            }
            self.waiting_answers.queue.pop_front();
            if missing.is_some() && self.member_read_limit(id).is_some() {
                self.queue(ReadySource::Upstream(id));
            }
        }
    }
}
