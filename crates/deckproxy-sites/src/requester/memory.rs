//! Memory: what waiting requests and promised responses take, and when a response may be received completely.
//!
//! A credit window is a promise: the serving side may send that much at any time, so it counts from when it is granted.
//! The window of a body that does not fit into the first one is extended only once there is room for the whole body, in
//! the order in which the bodies asked, so that those that have begun can be completed.

use super::Requester;
use super::exchange::{Attempt, ExchangeId, Waiter};
use super::types::Effect;
use crate::frame::{Payload, WindowUpdate};
use crate::saturating_u32;
use std::collections::VecDeque;

/// Bytes that a waiting request takes besides its body.
const REQUEST_BYTES: usize = 1024;

/// The memory that one requesting side uses.
#[derive(Debug)]
pub(super) struct Memory {
    /// Bytes of waiting requests, and of responses that were received in part or may be sent at any time.
    held: usize,
    /// Bytes that may be taken for further responses; no limit until the caller sets one.
    room: usize,
    /// Exchanges whose body waits for room, in the order in which they asked.
    waiting: VecDeque<ExchangeId>,
}

/// Bytes that a request takes while it waits.
fn request_bytes(waiter: &Waiter) -> usize {
    REQUEST_BYTES + waiter.request.request.body.len()
}

impl Default for Memory {
    fn default() -> Self {
        Memory { held: 0, room: usize::MAX, waiting: VecDeque::new() }
    }
}

impl Memory {
    /// Counts a request that waits from now on.
    pub(super) fn request_added(&mut self, waiter: &Waiter) {
        self.held += request_bytes(waiter);
    }

    /// Counts a request that no longer waits.
    pub(super) fn request_removed(&mut self, waiter: &Waiter) {
        self.held -= request_bytes(waiter);
    }

    /// Sets the bytes that the response to an attempt may take.
    pub(super) fn promise(&mut self, attempt: &mut Attempt, bytes: usize) {
        self.held = self.held - attempt.promised_bytes + bytes;
        attempt.promised_bytes = bytes;
    }

    /// Counts an attempt that has ended.
    pub(super) fn attempt_removed(&mut self, attempt: &mut Attempt) {
        self.promise(attempt, 0);
    }

    /// Takes memory for the rest of a body beyond its window, if there is room. Returns whether the window may be extended.
    fn admit(&mut self, attempt: &mut Attempt, body_length: usize) -> bool {
        if attempt.may_extend {
            return true;
        }
        let further = body_length.saturating_sub(attempt.promised_bytes);
        if further > self.room {
            return false;
        }
        self.room -= further;
        attempt.may_extend = true;
        self.promise(attempt, attempt.promised_bytes + further);
        true
    }
}

impl Requester {
    /// Bytes of waiting requests, and of responses that were received in part or may be sent at any time.
    pub fn held_bytes(&self) -> usize {
        self.memory.held
    }

    /// Sets how many bytes may be taken for further responses, and extends the windows of the bodies that fit now.
    pub fn set_memory_room(&mut self, bytes: usize) {
        self.memory.room = bytes;
        while let Some(id) = self.memory.waiting.front().copied() {
            if !self.extend_window(id) {
                return;
            }
            self.memory.waiting.pop_front();
        }
    }

    /// Extends an attempt's credit window once at most half of it is left, or puts the exchange into the queue for
    /// memory.
    pub(super) fn extend_or_wait(&mut self, id: ExchangeId) {
        if !self.extend_window(id) && !self.memory.waiting.contains(&id) {
            self.memory.waiting.push_back(id);
        }
    }

    /// Extends an attempt's credit window if at most half of it is left. Returns false if there is no memory for it.
    fn extend_window(&mut self, id: ExchangeId) -> bool {
        let window = self.limits.credit_window;
        let attempt = self.exchanges.get_mut(&id).and_then(|exchange| exchange.attempt.as_mut());
        let Some(attempt) = attempt else { return true };
        let Some(head) = &attempt.response else { return true };
        let (body_length, received) = (head.body_length as usize, attempt.body.len());
        if attempt.credit_limit >= body_length || attempt.credit_limit.saturating_sub(received) > window / 2 {
            return true;
        }
        if !self.memory.admit(attempt, body_length) {
            return false;
        }
        attempt.credit_limit = received + window;
        let update = WindowUpdate { number: attempt.number, limit: saturating_u32(attempt.credit_limit) };
        if let Some(connection) = attempt.connection {
            self.effects.push_back(Effect::Send(connection, Payload::WindowUpdate(update)));
        }
        true
    }
}
