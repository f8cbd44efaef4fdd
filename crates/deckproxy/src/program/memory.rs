//! The account of the memory that peers make the gateway hold, and the decisions that depend on it.
//!
//! Buffers and bodies of clients, members, links and collectors are in it, also memory that is only promised: the rest of an
//! answer that has begun, and the answers that open requests are expected to bring. The nearer a piece of work is to its
//! end, the more memory it may use, so that work in progress can always be completed: requests with large bodies are
//! rejected first, then all new ones, then large answers of members wait, and small ones last.

use crate::program::connections::{ReadySource, UpstreamId};
use crate::program::gateway::Gateway;
use crate::program::memory_use::MemoryUse;
use crate::protocol::limits;

impl Gateway {
    /// The memory that peers make the gateway hold now.
    pub(super) fn memory_use(&self) -> MemoryUse {
        MemoryUse {
            client_input: self.client_buffers.input(),
            client_output: self.client_buffers.output(),
            member_input: self.upstream_buffers.input(),
            member_output: self.upstream_buffers.output(),
            requests: self.client_buffers.requests() + self.router.held_bytes(),
            links: self.site_links.as_ref().map_or(0, |links| links.buffered_bytes()),
            subsystems: self.subsystems.buffered_bytes(),
            collectors: self.collectors.as_ref().map_or(0, |collectors| collectors.buffered_bytes()),
        }
    }

    /// Whether a request with a body of so many bytes must be rejected: what is held is over its bound, or would be over
    /// the process's limit with the answers that are expected.
    pub(super) fn is_memory_full(&self, body: usize) -> bool {
        let held = self.memory_use().total();
        let bound = if body > limits::CLIENT_INPUT { self.bounds.bodies } else { self.bounds.requests };
        held > bound || held + self.router.expected_bytes() > self.bounds.memory
    }

    /// Whether there is memory for so many further bytes of a client's message of which a part is missing.
    pub(super) fn admits_partial_message(&self, bytes: usize) -> bool {
        let held = self.memory_use();
        held.client_input + bytes <= self.bounds.client_input && held.total() + bytes <= self.bounds.bodies
    }

    /// Whether so much is held that hardly anything may be added.
    pub(super) fn is_memory_scarce(&self) -> bool {
        self.memory_use().total() > self.bounds.read
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

    /// Whether there is memory for an answer of which so many bytes are missing. One large answer at a time may
    /// use a little more, so that members that stop inside answers can't keep all others out.
    fn admits_answer(&self, missing: usize) -> bool {
        let (held, bounds) = (self.memory_use(), &self.bounds);
        if missing <= limits::MEMBER_READ {
            return held.total() <= bounds.read;
        }
        if self.upstream_buffers.reservations() == 0 {
            return held.total() + missing <= bounds.read;
        }
        held.total() + missing <= bounds.answers
            && held.member_input + missing <= bounds.member_input
            && held.client_output <= bounds.unread
    }

    /// Queues the connections to members whose answers waited for memory and may be received now.
    pub(super) fn resume_waiting_answers(&mut self) {
        while let Some(id) = self.waiting_answers.first() {
            let missing = self.upstreams.get(&id).map(|upstream| upstream.connection.stream.missing);
            if missing.is_some_and(|missing| !self.admits_answer(missing)) {
                return;
            }
            self.waiting_answers.remove_first();
            if missing.is_some() && self.member_read_limit(id).is_some() {
                self.queue(ReadySource::Upstream(id));
            }
        }
    }
}
