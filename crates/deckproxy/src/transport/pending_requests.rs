//! Requests of one client that are forwarded once all that the client has sent until now is read.

use crate::protocol::downstream::Call;
use std::collections::VecDeque;

/// Memory that a pending request takes besides its body, bytes.
const REQUEST_BYTES: usize = 512;

/// A request that has been received.
#[derive(Debug)]
pub struct PendingRequest {
    /// The client's id for it.
    pub id: u32,
    /// The request.
    pub call: Call,
    /// When it was received, Unix ms.
    pub received_at: f64,
}

impl PendingRequest {
    fn held_bytes(&self) -> usize {
        REQUEST_BYTES + self.call.body.len()
    }
}

/// The pending requests of one client, in the order in which they were received.
#[derive(Debug, Default)]
pub struct PendingRequests {
    queue: VecDeque<PendingRequest>,
    held_bytes: usize,
}

impl PendingRequests {
    /// Adds a request.
    pub fn push(&mut self, request: PendingRequest) {
        self.held_bytes += request.held_bytes();
        self.queue.push_back(request);
    }

    /// Removes the request that was received first.
    pub fn pop(&mut self) -> Option<PendingRequest> {
        let request = self.queue.pop_front()?;
        self.held_bytes -= request.held_bytes();
        Some(request)
    }

    /// Removes a request by its id. Returns whether it was pending.
    pub fn remove(&mut self, id: u32) -> bool {
        let Some(position) = self.queue.iter().position(|request| request.id == id) else { return false };
        let removed = self.queue.remove(position);
        self.held_bytes -= removed.map_or(0, |request| request.held_bytes());
        true
    }

    /// Number of requests.
    pub fn len(&self) -> usize {
        self.queue.len()
    }

    /// Whether no request is pending.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// When the first of them was received, Unix ms.
    pub fn oldest(&self) -> Option<f64> {
        self.queue.front().map(|request| request.received_at)
    }

    /// Bytes of memory that they take.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes
    }
}
