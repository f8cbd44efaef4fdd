//! Identifiers of the gateway's connections, and their state in the event loop.

use crate::program::subsystem::LinkId;
use crate::routing::ClientId;
use crate::routing::members::Endpoint;
use crate::transport::member::MemberConnection;
use deckproxy_control::interface::MemberId;

/// An upstream connection to a member; never reused within a process.
pub(super) type UpstreamId = u64;
/// A connection to a flow collector; never reused within a process.
pub(super) type CollectorId = u64;

/// A connection or socket that is ready to be served.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum ReadySource {
    /// A client's connection.
    Client(ClientId),
    /// An upstream connection to a member.
    Upstream(UpstreamId),
    /// A link to another site's gateway.
    Link(LinkId),
    /// The connection to the control feed.
    Feed,
    /// A connection to a flow collector.
    Collector(CollectorId),
    /// The datagram socket shared with the fleet's other instances.
    FleetSocket,
}

/// An upstream connection and its member.
pub(super) struct UpstreamConnection {
    /// The socket and the attempts in flight on it.
    pub(super) connection: MemberConnection,
    /// The member it was opened for.
    pub(super) member: MemberId,
    /// Address and incarnation of the member at that time.
    pub(super) endpoint: Endpoint,
    /// Whether the TCP handshake is still in progress.
    pub(super) connecting: bool,
}

/// Why a client's connection is evicted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EvictionReason {
    /// Another client wants to connect.
    NewClient,
    /// The gateway itself needs the descriptor: for the feed, a member, a link or its configuration.
    Internal,
}
