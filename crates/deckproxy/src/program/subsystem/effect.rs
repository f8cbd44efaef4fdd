//! What subsystems ask the event loop to do.

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

/// What the event loop is to do.
pub enum Effect {
    /// Send the final answer to a client's request that the subsystem took over; it is counted.
    Answer {
        /// The client.
        client: ClientId,
        /// The client's id of the request.
        id: u32,
        /// The answer.
        answer: Answer,
    },
    /// Have the router serve a request that came over a link.
    Route {
        /// A number from [`FIRST_LINK_CLIENT`] on that stands for the request.
        client: ClientId,
        /// The request.
        call: Box<Call>,
    },
    /// Cancel a request that was given to the router by `Route`.
    Abort(ClientId),
    /// Count a request that the subsystem took over.
    CountReceived,
    /// Count a request that the subsystem took over and whose client cancelled it.
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
    /// Close a link, for that reason, once all frames are written.
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
    /// Close the connection to the collector at that index.
    CloseCollector(usize),
    /// The list of collectors changed: for each new index the previous one, if any.
    ReorderCollectors(Vec<Option<usize>>),
    /// Send a datagram to another instance of the fleet.
    SendDatagram {
        /// Its address.
        to: SocketAddr,
        /// The payload.
        bytes: Vec<u8>,
    },
    /// Send a member a health check.
    HealthCheck(MemberId),
    /// From now on these members, and no others, are ejected: they get no new attempts, whatever the list says.
    EjectMembers(Vec<MemberId>),
    /// Run a background task at that time, or as soon as there is time.
    WakeTask {
        /// The task.
        task: TaskId,
        /// When; none for now.
        at: Option<Micros>,
    },
    /// Wake the loop at that time, ms.
    WakeLoopAt(f64),
    /// Log a line about a single peer, of which only so many are written.
    LogPeer(String),
}

/// Effects that wait to be carried out, in order.
pub type Effects = VecDeque<Effect>;
