//! Inputs and outputs of the serving side.

use crate::close::CloseReason;
use crate::frame::{Outcome, Payload, Request};
use crate::{ConnectionId, Millis};
use bytes::Bytes;

/// Identifies an execution of a request; assigned by the serving side.
pub type RunId = u64;

/// The result of an execution.
#[derive(Clone, Debug, PartialEq)]
pub struct RunResult {
    /// How it ended.
    pub outcome: Outcome,
    /// With `Rejected`: time after which the client may retry, ms; 0: unspecified.
    pub retry_after: Millis,
    /// The body.
    pub body: Bytes,
    /// When the origin issued the copy, on this side's clock, if it is known.
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

/// An action for the caller to execute.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send a message on a connection.
    Send(ConnectionId, Payload),
    /// Close a connection once all earlier messages are sent.
    Close(ConnectionId, CloseReason),
    /// Execute a request.
    Run(RunId, Request),
    /// Cancel an execution: the requesting side no longer waits for it.
    Cancel(RunId),
}

/// Memory use of the serving side.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Executions.
    pub runs: usize,
    /// Sessions.
    pub sessions: usize,
    /// Connections.
    pub connections: usize,
    /// Bytes of responses that are not released yet.
    pub retained_bytes: usize,
}
