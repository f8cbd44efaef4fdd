//! Exchanges: one forwarded request and its response, shared by all clients that request the same part of an object.

use super::types::{ForwardedRequest, RequestToken, RetrySafety};
use crate::frame::ResponseHead;
use crate::{ConnectionId, Millis};
use bytes::BytesMut;
use std::collections::VecDeque;

/// Identifies an exchange; assigned by the requesting side.
pub(super) type ExchangeId = u64;

/// The key of an exchange: requests with the same key may share it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct CollapseKey {
    class: String,
    object: u64,
    part: Option<u32>,
}

impl CollapseKey {
    /// The key of a request; `None` if it must not share an exchange.
    pub(super) fn of(request: &ForwardedRequest) -> Option<Self> {
        request.may_collapse.then(|| CollapseKey {
            class: request.request.class.clone(),
            object: request.object,
            part: request.request.part,
        })
    }
}

/// A client's request that waits for the response of an exchange.
#[derive(Debug)]
pub(super) struct Waiter {
    pub(super) token: RequestToken,
    pub(super) request: ForwardedRequest,
}

/// An attempt in flight.
#[derive(Debug)]
pub(super) struct Attempt {
    /// The endpoint that it was sent to.
    pub(super) endpoint: usize,
    pub(super) number: u64,
    /// The connection on which its response arrives; `None` if that connection was lost.
    pub(super) connection: Option<ConnectionId>,
    pub(super) sent_at: Millis,
    /// Expected size of the response, bytes.
    pub(super) expected_bytes: f64,
    /// The response's head, until the response is complete.
    pub(super) response: Option<ResponseHead>,
    /// The body received so far.
    pub(super) body: BytesMut,
    /// Whether the body arrives in several chunks.
    pub(super) is_chunked: bool,
    /// Credit window: offset up to which the serving side may send the body, bytes.
    pub(super) credit_limit: usize,
    /// Bytes that its response may take: its credit window, and once that may be extended the whole body.
    pub(super) promised_bytes: usize,
    /// Whether memory is taken for the whole body, so that the credit window may be extended to its end.
    pub(super) may_extend: bool,
    /// Tag of the cached copy in the request.
    pub(super) cached_tag: Option<String>,
}

impl Attempt {
    /// Whether a body of several chunks is partially received.
    pub(super) fn is_receiving(&self) -> bool {
        self.is_chunked && !self.body.is_empty()
    }
}

/// An exchange: one forwarded request and its response.
#[derive(Debug)]
pub(super) struct Exchange {
    /// The key under which other requests join it; `None` if none may.
    pub(super) key: Option<CollapseKey>,
    /// The requests that wait for its response; the first one is the leader.
    pub(super) waiters: VecDeque<Waiter>,
    pub(super) attempt: Option<Attempt>,
    /// Whether its next attempt is a retry, or replaces one that was not sent because its leader was rejected.
    pub(super) is_retry: bool,
    /// When it is rejected if no attempt was sent by then; set when it is queued for an endpoint.
    pub(super) queued_until: Option<Millis>,
}

impl Exchange {
    /// Creates an exchange whose only request is its leader.
    pub(super) fn new(key: Option<CollapseKey>, leader: Waiter) -> Self {
        Exchange {
            key,
            waiters: VecDeque::from([leader]),
            attempt: None,
            is_retry: false,
            queued_until: None,
        }
    }

    /// Whether it is queued for an endpoint.
    pub(super) fn is_queued(&self) -> bool {
        self.attempt.is_none() && self.queued_until.is_some()
    }

    /// Whether its leader's request is idempotent.
    pub(super) fn is_idempotent(&self) -> bool {
        self.waiters.front().is_some_and(|leader| leader.request.retry_safety == RetrySafety::Idempotent)
    }

    /// The highest priority rank of its requests.
    pub(super) fn priority_rank(&self) -> f64 {
        self.waiters.iter().map(|waiter| waiter.request.priority_rank).fold(0.0, f64::max)
    }

    /// Removes one of its requests.
    pub(super) fn remove_waiter(&mut self, token: RequestToken) -> Option<Waiter> {
        let position = self.waiters.iter().position(|waiter| waiter.token == token)?;
        self.waiters.remove(position)
    }
}
