//! The account of what one client is owed: each admitted request, from its admission until its final answer is written.
//!
//! It makes no difference to the account whether a request is pending on the connection, open in the router or forwarded to
//! another site. It alone decides which request ids are open, whether a connection is idle, and how long one that closes
//! stays open.

use crate::protocol::limits;
use std::collections::BTreeMap;

/// How far an admitted request is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AnswerState {
    /// It has no final answer yet.
    Awaited,
    /// The kernel has not accepted its final answer completely yet.
    Unwritten,
}

/// The requests of one client whose final answers are not written yet.
#[derive(Debug, Default)]
pub struct OwedAnswers {
    requests: BTreeMap<u32, AnswerState>,
    /// When the last of the answers is no longer of use to the client, Unix ms.
    due: f64,
}

impl OwedAnswers {
    /// Adds a request whose answer is of use until `due`, Unix ms. Returns whether the limit on open requests allows it.
    pub fn admit(&mut self, id: u32, due: f64) -> bool {
        if self.requests.len() >= limits::CLIENT_REQUESTS || self.requests.contains_key(&id) {
            return false;
        }
        self.requests.insert(id, AnswerState::Awaited);
        self.extend_due(due);
        true
    }

    /// Records that an answer outside the account, such as a rejection, is of use until `due`, Unix ms.
    pub fn extend_due(&mut self, due: f64) {
        self.due = self.due.max(due);
    }

    /// Whether a request has no final answer yet.
    pub fn is_awaited(&self, id: u32) -> bool {
        self.requests.get(&id) == Some(&AnswerState::Awaited)
    }

    /// Records that a request's final answer waits to be written. Returns whether it was awaited.
    pub fn answered(&mut self, id: u32) -> bool {
        let awaited = self.requests.get_mut(&id).filter(|state| **state == AnswerState::Awaited);
        awaited.map(|state| *state = AnswerState::Unwritten).is_some()
    }

    /// Removes a request that its client has cancelled. Returns whether it was awaited.
    pub fn cancelled(&mut self, id: u32) -> bool {
        self.is_awaited(id) && self.requests.remove(&id).is_some()
    }

    /// Removes a request whose final answer is written completely.
    pub fn written(&mut self, id: u32) {
        self.requests.remove(&id);
    }

    /// Whether no answer is owed.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// When the last of the answers is no longer of use to the client, Unix ms.
    pub fn due(&self) -> f64 {
        self.due
    }
}
