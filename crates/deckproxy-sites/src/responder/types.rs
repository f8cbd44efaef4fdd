//! What goes into the serving side and what comes out of it.

use crate::close::CloseReason;
use crate::frame::{Outcome, Payload, Request};
use crate::{ConnectionId, Millis};
use bytes::Bytes;

/// An execution of a request, by this side's number.
pub type RunId = u64;

/// How an execution ended.
#[derive(Clone, Debug, PartialEq)]
pub struct RunResult {
    /// How it ended.
    pub outcome: Outcome,
    /// With `Rejected`: when the client may retry, ms; 0 gives no advice.
    pub retry_after: Millis,
    /// The body.
    pub body: Bytes,
    /// When the origin issued the copy, on this side's clock, where it is known.
    pub issued_at: Option<Millis>,
    /// The copy's tag.
    pub tag: String,
}

impl RunResult {
    /// A result without a body.
    pub fn without_body(outcome: Outcome) -> Self {
        RunResult { outcome, retry_after: 0.0, body: Bytes::new(), issued_at: None, tag: String::new() }
    }
}

/// What the caller has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send a message on a connection.
    Send(ConnectionId, Payload),
    /// Close a connection once everything before is sent.
    Close(ConnectionId, CloseReason),
    /// Execute a request.
    Run(RunId, Request),
    /// Cancel an execution: no one waits for it any more.
    Cancel(RunId),
}

/// What the serving side has in memory.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Executions.
    pub runs: usize,
    /// Sessions.
    pub sessions: usize,
    /// Connections.
    pub connections: usize,
    /// Responses that are not released yet, bytes.
    pub retained_bytes: usize,
}
