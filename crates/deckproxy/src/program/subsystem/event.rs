//! Events that the event loop delivers to subsystems.

use super::ids::LinkId;
use crate::protocol::downstream::Answer;
use crate::protocol::upstream::Status;
use crate::routing::{AttemptKey, ClientId};
use crate::transport::write_buffer::WrittenMessage;
use deckproxy_control::interface::MemberId;
use deckproxy_flow::meter::Outcome;
use deckproxy_sites::responder::RunId;
use std::net::{IpAddr, SocketAddr};

/// An event on a connection, a timer or the control feed.
pub enum Event<'a> {
    /// A client connected.
    ClientConnected {
        /// The new connection.
        client: ClientId,
        /// The client's address, if a subsystem needs it.
        address: Option<IpAddr>,
    },
    /// A client sent bytes that are not part of a request.
    ClientBytesReceived {
        /// The client.
        client: ClientId,
        /// Number of bytes.
        bytes: usize,
    },
    /// A client sent a request.
    RequestReceived {
        /// The client.
        client: ClientId,
        /// The client's id of the request.
        id: u32,
        /// The request's class; empty if the request can't be decoded.
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
    /// A message to a client was written completely.
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
    /// An attempt was started for a client's request, or for one that was received over a link.
    AttemptSent {
        /// The attempt.
        key: AttemptKey,
        /// The client, or a number from [`FIRST_LINK_CLIENT`] on for a request received over a link.
        client: ClientId,
        /// The request's class.
        class: &'a str,
        /// The member's name.
        member: &'a str,
    },
    /// The kernel accepted a message to a member, completely or in part.
    MemberBytesSent {
        /// The member's name.
        member: &'a str,
        /// The message, and the number of bytes accepted.
        written: WrittenMessage,
    },
    /// A member answered.
    MemberReplied {
        /// The member's name.
        member: &'a str,
        /// The attempt that it answered; none if that is no longer in flight.
        key: Option<AttemptKey>,
        /// The answer's status.
        status: Status,
        /// Size of the message.
        bytes: usize,
    },
    /// A member sent bytes that do not form a complete answer.
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
    /// The gateway of another site opened a link connection.
    LinkAccepted(LinkId),
    /// A requested link connection was established.
    LinkConnected {
        /// Index of the peer.
        peer: usize,
        /// Index among the peer's addresses.
        address_index: usize,
        /// The connection.
        link: LinkId,
    },
    /// A requested link connection could not be established.
    LinkConnectFailed {
        /// Index of the peer.
        peer: usize,
        /// Index among the peer's addresses.
        address_index: usize,
    },
    /// Bytes were received on a link.
    LinkBytesReceived {
        /// The connection.
        link: LinkId,
        /// The site at its other end, once known.
        site: Option<&'a str>,
        /// Number of bytes.
        bytes: usize,
    },
    /// The kernel accepted bytes for a link.
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
    /// The connection to the collector with this index was established.
    CollectorConnected(usize),
    /// The connection to the collector with this index ended or could not be established.
    CollectorFailed(usize),
    /// The kernel accepted bytes for the collector with this index.
    CollectorBytesSent(usize),
    /// The kernel accepted a message to a collector completely.
    CollectorMessageSent {
        /// Index of the collector.
        index: usize,
        /// The message's number.
        number: u64,
    },
    /// A datagram was received on the fleet's socket; its sender is not authenticated.
    Datagram {
        /// The sender's address.
        from: SocketAddr,
        /// The payload.
        bytes: &'a [u8],
    },
    /// A health check of a member ended.
    HealthChecked {
        /// The member.
        member: MemberId,
        /// Whether it answered in time.
        healthy: bool,
    },
    /// Entries of the member list changed.
    MemberListChanged {
        /// The members whose entries changed, or that are no longer listed.
        members: &'a [MemberId],
    },
    /// A subsystem, possibly the receiving one, published a note.
    Notified(&'a Note),
    /// Periodic housekeeping, every quarter of a second.
    Housekeeping,
    /// A graceful shutdown began.
    ShutdownBegan,
}

/// A notification that one subsystem publishes to all.
#[derive(Debug)]
pub enum Note {
    /// A client's request was forwarded to another site.
    RequestForwarded {
        /// The client.
        client: ClientId,
        /// The client's id of the request.
        id: u32,
        /// Name of the site.
        site: String,
    },
    /// A request was received over a link.
    LinkRequestBegan {
        /// The number of the request at this gateway.
        run: RunId,
        /// Its class.
        class: String,
        /// The site that forwarded it, if it names one.
        site: Option<String>,
    },
    /// A request that was received over a link was answered or cancelled.
    LinkRequestEnded {
        /// The number of the request at this gateway.
        run: RunId,
        /// How it ended.
        outcome: Outcome,
    },
}

/// The flow export outcome of an answer to a client.
pub fn outcome_of(answer: &Answer) -> Outcome {
    match answer {
        Answer::Served(_) | Answer::NotModified => Outcome::Served,
        Answer::Rejected(_) => Outcome::Rejected,
        Answer::Failed => Outcome::Failed,
        Answer::Invalid(_) => Outcome::Invalid,
    }
}
