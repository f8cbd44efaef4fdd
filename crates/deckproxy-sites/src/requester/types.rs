//! What goes into the requesting side and what comes out of it.

use crate::close::CloseReason;
use crate::frame::{Payload, Request};
use crate::{ConnectionId, Millis};
use bytes::Bytes;

/// A client's request, by the caller's number.
pub type RequestToken = u64;

/// Whether a request that may have been executed may be sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetrySafety {
    /// A second execution does no harm.
    Idempotent,
    /// It must not be executed twice.
    NotIdempotent,
}

/// A client's request that is to cross to another site.
#[derive(Clone, Debug)]
pub struct ForwardedRequest {
    /// The request as it is sent; attempt number and time left are filled in for each attempt.
    pub request: Request,
    /// The object as a number.
    pub object: u64,
    /// When the client stops waiting.
    pub deadline: Millis,
    /// Whether it may be sent again once it may have been executed.
    pub retry_safety: RetrySafety,
    /// Whether it may share one exchange with other requests for the same part.
    pub may_collapse: bool,
    /// Rank of its class among all by priority weight, from 0 for the lowest to 1 for the highest.
    pub priority_rank: f64,
}

/// The final response to a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// Served.
    Served {
        /// The body.
        body: Bytes,
        /// The earliest time at which the origin can have issued the copy, where it is known.
        issued_at: Option<Millis>,
        /// The copy's tag.
        tag: String,
    },
    /// The client's cached copy is current.
    NotModified {
        /// The earliest time at which the origin can have issued the copy, where it is known.
        issued_at: Option<Millis>,
        /// The copy's tag.
        tag: String,
    },
    /// Rejected without being executed.
    Rejected {
        /// When the client may retry, ms.
        retry_after: Millis,
    },
    /// Failed; it may have been executed.
    Failed,
    /// The serving side finds the request not valid.
    Invalid,
}

/// What the caller has to do.
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
    /// Requests accepted for exchange.
    pub requests: u64,
    /// Requests that waited for an endpoint.
    pub queued: u64,
    /// Requests that joined the exchange of another one.
    pub collapsed: u64,
    /// Attempts sent.
    pub attempts: u64,
    /// Of the attempts, retries.
    pub retries: u64,
    /// Requests rejected because no endpoint was up.
    pub rejected_unreachable: u64,
    /// Requests rejected because the response would have missed the deadline.
    pub rejected_saturated: u64,
    /// Requests rejected because too many exchanges were open.
    pub rejected_full: u64,
    /// Responses discarded because their copy was older than a purge.
    pub stale_responses: u64,
    /// Connections lost.
    pub connections_lost: u64,
}

/// What is open at the moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OpenCounts {
    /// Exchanges.
    pub exchanges: usize,
    /// Requests.
    pub requests: usize,
    /// Attempts whose connection was lost and whose status is not known.
    pub unresolved_attempts: usize,
}

/// How many of a peer's endpoints are up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndpointsUp {
    /// Endpoints with a connection that completed its handshake.
    pub up: usize,
    /// All endpoints.
    pub total: usize,
}
