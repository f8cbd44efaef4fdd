//! Effects that the router's owner applies.

use crate::protocol::downstream::{Answer, Call};
use crate::protocol::upstream::{AttemptOptions, CopyInfo};
use crate::routing::attempt_key::AttemptKey;
use crate::routing::members::Endpoint;
use deckproxy_control::interface::MemberId;
use std::rc::Rc;

/// Identifies a client's connection.
pub type ClientId = u64;

/// How a connection that was to carry an attempt or a health check failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionFailure {
    /// No connection was established, or it failed before the message was written completely: the attempt did not run.
    NotSent,
    /// The connection failed after the message was written: the attempt may have run.
    Reset,
}

/// An operation to perform outside the router. Effects must be applied in the order in which they are returned.
#[derive(Debug, PartialEq)]
pub enum Effect {
    /// Send an attempt.
    SendAttempt {
        /// Its key.
        key: AttemptKey,
        /// The member.
        member: MemberId,
        /// The member's endpoint.
        endpoint: Endpoint,
        /// The client that sent the request.
        client: ClientId,
        /// The request.
        call: Rc<Call>,
        /// Options of this attempt.
        options: AttemptOptions,
        /// Time after which the attempt is cancelled if none of it has been written, ms.
        unsent_timeout: f64,
    },
    /// Cancel an attempt, then call [`Router::attempt_cancelled`](crate::routing::Router::attempt_cancelled).
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
        /// The member's endpoint.
        endpoint: Endpoint,
    },
    /// Send a final answer to a client.
    Answer {
        /// Its connection.
        client: ClientId,
        /// The client's id of the request.
        id: u32,
        /// The answer.
        answer: Answer,
        /// The copy that it was served from, if the member named one.
        copy: Option<CopyInfo>,
    },
    /// The feed announced a purge of an object or, if `object` is `None`, of a group; to be forwarded to other sites.
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
        /// Whether it reported that it is healthy.
        healthy: bool,
    },
    /// The entries of these members have changed, or they are no longer listed.
    MembersChanged(Vec<MemberId>),
    /// Close a member's idle connections and retire the others.
    CloseIdle(MemberId),
    /// Likewise, and give up the attempts of which nothing was written: the process that they were meant for is gone, and
    /// another one may listen at its address.
    ProcessGone(MemberId),
    /// Write a line to the log.
    Log(String),
}
