//! Inputs and outputs of the requesting side.

use crate::close::CloseReason;
use crate::frame::{Payload, Request};
use crate::{ConnectionId, Millis};
use bytes::Bytes;

/// Identifies a client's request; assigned by the caller.
pub type RequestToken = u64;

/// Whether a request that may have been executed may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetrySafety {
    /// A second execution has no further effect.
    Idempotent,
    /// It must not be executed twice.
    NotIdempotent,
}

/// A client's request to be forwarded to another site.
#[derive(Clone, Debug)]
pub struct ForwardedRequest {
    /// The request to send; the attempt number and the time left are filled in for each attempt.
    pub request: Request,
    /// The object's number.
    pub object: u64,
    /// When the client stops waiting.
    pub deadline: Millis,
    /// Whether it may be retried if it may have been executed.
    pub retry_safety: RetrySafety,
    /// Whether it may share one exchange with other requests for the same part.
    pub may_collapse: bool,
    /// Rank of its class by priority weight, from 0 for the lowest to 1 for the highest.
    pub priority_rank: f64,
}

/// The final response to a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// Served.
    Served {
        /// The body.
        body: Bytes,
        /// The earliest time at which the origin can have issued the copy, if it is known.
        issued_at: Option<Millis>,
        /// The copy's tag.
        tag: String,
    },
    /// The client's cached copy is current.
    NotModified {
        /// The earliest time at which the origin can have issued the copy, if it is known.
        issued_at: Option<Millis>,
        /// The copy's tag.
        tag: String,
    },
    /// Rejected without being executed.
    Rejected {
        /// Time after which the client may retry, ms.
        retry_after: Millis,
    },
    /// Failed; it may have been executed.
    Failed,
    /// The serving side rejected the request as invalid.
    Invalid,
}

/// An action for the caller to execute.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Open a connection to an endpoint, by its index.
    Connect(usize),
    /// Send a message on a connection.
    Send(ConnectionId, Payload),
    /// Close a connection.
    Close(ConnectionId, CloseReason),
    /// Pass the final response to a request's client.
    Reply(RequestToken, Reply),
}

/// Events since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Counters {
    /// Requests received for forwarding.
    pub requests: u64,
    /// Requests queued for an endpoint; a request that is queued again counts again.
    pub queued: u64,
    /// Requests that joined the exchange of another request.
    pub collapsed: u64,
    /// Attempts sent.
    pub attempts: u64,
    /// Attempts sent that were retries.
    pub retries: u64,
    /// Requests rejected because no available endpoint had capacity within the queue timeout.
    pub rejected_unreachable: u64,
    /// Requests rejected because the response would have missed the deadline.
    pub rejected_saturated: u64,
    /// Requests rejected because too many exchanges were open.
    pub rejected_full: u64,
    /// Responses discarded because a purge voided their copy.
    pub stale_responses: u64,
    /// Connections lost.
    pub connections_lost: u64,
}

/// Numbers of open exchanges, requests and unresolved attempts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OpenCounts {
    /// Exchanges.
    pub exchanges: usize,
    /// Requests.
    pub requests: usize,
    /// Attempts whose connection was lost and whose status is not known.
    pub unresolved_attempts: usize,
}

/// The number of a peer's endpoints that are up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndpointsUp {
    /// Endpoints with a connection that completed its handshake.
    pub up: usize,
    /// All endpoints.
    pub total: usize,
}
