//! What the router asks its owner to do.

use crate::protocol::downstream::{Answer, Call};
use crate::protocol::upstream::{AttemptOptions, CopyInfo};
use crate::routing::attempt_key::AttemptKey;
use crate::routing::members::Endpoint;
use deckproxy_control::interface::MemberId;
use std::rc::Rc;

/// A client's connection.
pub type ClientId = u64;

/// How an attempt or a health check ended without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionFailure {
    /// No connection came up, or it broke before all was written: the attempt never ran.
    NotSent,
    /// The connection broke after all was written: the attempt may have run.
    Reset,
}

/// What is to be done outside the router. Effects are to be carried out in the order in which they are given out.
#[derive(Debug, PartialEq)]
pub enum Effect {
    /// Send an attempt.
    SendAttempt {
        /// Its key.
        key: AttemptKey,
        /// The member.
        member: MemberId,
        /// Where the member is reached.
        endpoint: Endpoint,
        /// The client whose request it is.
        client: ClientId,
        /// The request.
        call: Rc<Call>,
        /// Options of this attempt.
        options: AttemptOptions,
        /// Time after which it is cancelled if none of it is written, ms.
        unsent_timeout: f64,
    },
    /// Cancel an attempt; to be answered with [`Router::attempt_cancelled`](crate::routing::Router::attempt_cancelled).
    CancelAttempt {
        /// Its key.
        key: AttemptKey,
        /// The member.
        member: MemberId,
    },
    /// Send a health check.
    SendHealthCheck {
        /// Its key.
        key: AttemptKey,
        /// The member.
        member: MemberId,
        /// Where the member is reached.
        endpoint: Endpoint,
    },
    /// The final answer to a client.
    Answer {
        /// Its connection.
        client: ClientId,
        /// The client's id of the request.
        id: u32,
        /// The answer.
        answer: Answer,
        /// The copy that it was served from, where the member named one.
        copy: Option<CopyInfo>,
    },
    /// The feed announced a purge, to be forwarded to other sites: of an object or, where there is none, of a group.
    Purged {
        /// The object.
        object: Option<u64>,
        /// The group.
        group: u32,
        /// Time since the purge, ms.
        age: f64,
    },
    /// A health check ended.
    HealthChecked {
        /// The member.
        member: MemberId,
        /// Whether it answered that it is well.
        healthy: bool,
    },
    /// The list of members has changed.
    MembersChanged,
    /// Close idle connections to a member.
    CloseIdle(MemberId),
    /// A line for the operators' log.
    Log(String),
}
