//! Effects that subsystems return to the event loop.

use super::event::Note;
use super::ids::LinkId;
use crate::protocol::downstream::{Answer, Call};
use crate::routing::ClientId;
use bytes::Bytes;
use deckproxy_control::interface::MemberId;
use deckproxy_flow::export::Transport;
use deckproxy_flow::scheduler::{Micros, TaskId};
use deckproxy_sites::frame::Frame;
use std::collections::VecDeque;
use std::net::SocketAddr;

/// An action for the event loop to carry out.
pub enum Effect {
    /// Send the final answer to a client's request that the subsystem took over, and count it.
    Answer {
        /// The client.
        client: ClientId,
        /// The client's id of the request.
        id: u32,
        /// The answer.
        answer: Answer,
    },
    /// Pass a request that was received over a link to the router.
    Route {
        /// The request's id in place of a client: [`FIRST_LINK_CLIENT`] or above.
        client: ClientId,
        /// The request.
        call: Box<Call>,
    },
    /// Cancel a request that was passed to the router by [`Effect::Route`].
    Abort(ClientId),
    /// Count a request that the subsystem took over.
    CountReceived,
    /// Count a request that the subsystem took over and its client cancelled.
    CountCancelled,
    /// Invalidate copies.
    Purge {
        /// The object; none for the whole group.
        object: Option<u64>,
        /// The group.
        group: u32,
        /// Time since the purge, ms.
        age: f64,
    },
    /// Publish a note to all subsystems.
    Notify(Note),
    /// Connect to a peer's gateway.
    ConnectLink {
        /// Index of the peer.
        peer: usize,
        /// Index among the peer's addresses.
        address_index: usize,
        /// The address; none if the peer has none at that index.
        to: Option<SocketAddr>,
    },
    /// Send a frame on a link.
    SendFrame(LinkId, Frame),
    /// Close a link for the given reason once all queued frames are written.
    CloseLink(LinkId, String),
    /// Connect to a collector.
    ConnectCollector {
        /// Index of the collector.
        index: usize,
        /// Its address.
        to: SocketAddr,
        /// The transport protocol.
        transport: Transport,
    },
    /// Send a message to a collector.
    SendToCollector {
        /// Index of the collector.
        index: usize,
        /// The message's number, for [`Event::CollectorMessageSent`].
        number: u64,
        /// The encoded message.
        message: Bytes,
    },
    /// Close the connection to the collector with this index.
    CloseCollector(usize),
    /// The list of collectors changed; holds the previous index, if any, for each new index.
    ReorderCollectors(Vec<Option<usize>>),
    /// Send a datagram to another instance of the fleet.
    SendDatagram {
        /// Its address.
        to: SocketAddr,
        /// The payload.
        bytes: Vec<u8>,
    },
    /// Send a health check to a member.
    HealthCheck(MemberId),
    /// Replace the set of ejected members: they get no new attempts, whatever the member list says.
    EjectMembers(Vec<MemberId>),
    /// Schedule a background task.
    WakeTask {
        /// The task.
        task: TaskId,
        /// When to run it; none for as soon as possible.
        at: Option<Micros>,
    },
    /// Wake the loop at this time, ms.
    WakeLoopAt(f64),
    /// Write a rate-limited log line about a single peer.
    LogPeer(String),
}

/// Pending effects, in the order in which they are carried out.
pub type Effects = VecDeque<Effect>;
