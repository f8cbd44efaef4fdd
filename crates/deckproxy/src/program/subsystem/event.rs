//! What the event loop notifies subsystems of.

use super::ids::LinkId;
use crate::protocol::downstream::Answer;
use crate::protocol::upstream::Status;
use crate::routing::{AttemptKey, ClientId};
use crate::transport::write_buffer::WrittenMessage;
use deckproxy_control::interface::MemberId;
use deckproxy_flow::meter::Outcome;
use deckproxy_sites::responder::RunId;
use std::net::{IpAddr, SocketAddr};

/// What happened.
pub enum Event<'a> {
    /// A client connected; the address only where a subsystem wants it.
    ClientConnected {
        /// The new connection.
        client: ClientId,
        /// The client's address.
        address: Option<IpAddr>,
    },
    /// A client sent bytes that are no request.
    ClientBytesReceived {
        /// The client.
        client: ClientId,
        /// Number of bytes.
        bytes: usize,
    },
    /// A client sent a request; one that can't be read has an empty class.
    RequestReceived {
        /// The client.
        client: ClientId,
        /// The client's id of the request.
        id: u32,
        /// The request's class.
        class: &'a str,
        /// Size of the message.
        bytes: usize,
    },
    /// An answer was appended to a client's write buffer.
    AnswerQueued {
        /// The client.
        client: ClientId,
        /// The client's id of the request.
        id: u32,
        /// The answer.
        answer: &'a Answer,
    },
    /// A client's ping was answered.
    PingAnswered {
        /// The client.
        client: ClientId,
    },
    /// A message was written to a client completely.
    ClientBytesSent {
        /// The client.
        client: ClientId,
        /// Size of the message.
        bytes: usize,
    },
    /// A client cancelled a request.
    RequestCancelled {
        /// The client.
        client: ClientId,
        /// The client's id of the request.
        id: u32,
    },
    /// A client's connection ended.
    ClientGone {
        /// The client.
        client: ClientId,
        /// Bytes written of a message that was cut off.
        cut: usize,
        /// Bytes received and not decoded.
        unread: usize,
    },
    /// An attempt begins for a client, or for a request that came over a link.
    AttemptSent {
        /// The attempt.
        key: AttemptKey,
        /// The client, or a number from [`FIRST_LINK_CLIENT`] on.
        client: ClientId,
        /// The request's class.
        class: &'a str,
        /// The member's name.
        member: &'a str,
    },
    /// The kernel took a message to a member, completely or in part.
    MemberBytesSent {
        /// The member's name.
        member: &'a str,
        /// The message and how much of it.
        written: WrittenMessage,
    },
    /// A member answered.
    MemberReplied {
        /// The member's name.
        member: &'a str,
        /// What it answered; none if that is not in flight any more.
        key: Option<AttemptKey>,
        /// The answer's status.
        status: Status,
        /// Size of the message.
        bytes: usize,
    },
    /// A member sent bytes that are no complete answer.
    MemberBytesReceived {
        /// The member's name.
        member: &'a str,
        /// Number of bytes.
        bytes: usize,
    },
    /// An attempt ended without an answer.
    AttemptEnded {
        /// The attempt.
        key: AttemptKey,
        /// How it ended.
        outcome: Outcome,
    },
    /// The control feed announced a purge.
    Purged {
        /// The object; none for the whole group.
        object: Option<u64>,
        /// The group.
        group: u32,
        /// Time since the purge, ms.
        age: f64,
    },
    /// Another site's gateway connected.
    LinkAccepted(LinkId),
    /// A link's connection that was asked for is established.
    LinkConnected {
        /// Index of the peer.
        peer: usize,
        /// Index among the peer's addresses.
        address_index: usize,
        /// The connection.
        link: LinkId,
    },
    /// A link's connection that was asked for was not established.
    LinkConnectFailed {
        /// Index of the peer.
        peer: usize,
        /// Index among the peer's addresses.
        address_index: usize,
    },
    /// Bytes came on a link.
    LinkBytesReceived {
        /// The connection.
        link: LinkId,
        /// The site at its other end, once known.
        site: Option<&'a str>,
        /// Number of bytes.
        bytes: usize,
    },
    /// The kernel took bytes for a link.
    LinkBytesSent {
        /// The site at its other end, once known.
        site: Option<&'a str>,
        /// Number of bytes.
        bytes: usize,
    },
    /// A link's connection ended.
    LinkClosed {
        /// The connection.
        link: LinkId,
        /// Attempts of which no byte was written.
        unsent: &'a [u64],
    },
    /// The connection to the collector at that index is established.
    CollectorConnected(usize),
    /// The connection to the collector at that index ended or could not be established.
    CollectorFailed(usize),
    /// The kernel took bytes for the collector at that index.
    CollectorBytesSent(usize),
    /// The kernel took a message to a collector completely.
    CollectorMessageSent {
        /// Index of the collector.
        index: usize,
        /// The message.
        number: u64,
    },
    /// A datagram came from another instance of the fleet, or from whoever claims to be one.
    Datagram {
        /// The sender's address.
        from: SocketAddr,
        /// The payload.
        bytes: &'a [u8],
    },
    /// A member's health check ended.
    HealthChecked {
        /// The member.
        member: MemberId,
        /// Whether it answered in time.
        healthy: bool,
    },
    /// The member list changed.
    MemberListChanged,
    /// Another subsystem, or this one, published a note.
    Notified(&'a Note),
    /// A quarter of a second has passed.
    Housekeeping,
    /// A graceful shutdown begins.
    ShutdownBegan,
}

/// What one subsystem publishes to all.
#[derive(Debug)]
pub enum Note {
    /// A client's request is forwarded to another site.
    RequestForwarded {
        /// The client.
        client: ClientId,
        /// The client's id of the request.
        id: u32,
        /// Name of the site.
        site: String,
    },
    /// A request came over a link.
    LinkRequestBegan {
        /// The request's number here.
        run: RunId,
        /// Its class.
        class: String,
        /// The site that forwarded it, if it names one.
        site: Option<String>,
    },
    /// A request that came over a link has its answer or was cancelled.
    LinkRequestEnded {
        /// The request's number here.
        run: RunId,
        /// How it ended.
        outcome: Outcome,
    },
}

/// The outcome that an answer to a client means for flows.
pub fn outcome_of(answer: &Answer) -> Outcome {
    match answer {
        Answer::Served(_) | Answer::NotModified => Outcome::Served,
        Answer::Rejected(_) => Outcome::Rejected,
        Answer::Failed => Outcome::Failed,
        Answer::Invalid(_) => Outcome::Invalid,
    }
}
