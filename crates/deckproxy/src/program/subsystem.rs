//! The interface between the event loop and a subsystem: typed events in, typed effects out.
//!
//! The loop owns connections, sockets, timers and background work. A subsystem ([`Subsystem`]) gets typed events
//! ([`Event`]) with a view of the router ([`Context`]), and appends typed effects ([`Effect`]) to a queue. It knows
//! neither the loop nor the other subsystems, so that each can be read, tested and switched off alone.

use crate::protocol::downstream::{Answer, Call};
use crate::protocol::upstream::{CopyInfo, Status};
use crate::routing::{AttemptKey, ClientId, Router};
use crate::transport::outbox::Written;
use bytes::Bytes;
use deckproxy_control::interface::MemberId;
use deckproxy_flow::export::Transport;
use deckproxy_flow::meter::Outcome;
use deckproxy_flow::work::{Micros, TaskId};
use deckproxy_operator::Operator;
use deckproxy_sites::far::Run;
use deckproxy_sites::frame::Frame;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::{IpAddr, SocketAddr};
use std::ops::RangeInclusive;

/// One connection of a link to another site's gateway.
pub type LinkId = u64;
/// A client's request: the client's connection and the id that the client gave the request.
pub type RequestKey = (ClientId, u32);
/// From this number on, what the router takes for a client is a request that came over a link.
pub const FIRST_LINK_CLIENT: ClientId = 1 << 62;

/// Converts a time of the loop's clock, ms, to whole microseconds.
pub fn micros(ms: f64) -> Micros {
    (ms * 1000.0) as Micros
}

/// What a subsystem may look at.
pub struct Context<'a> {
    /// The loop's clock, ms.
    pub now: f64,
    /// The router, its settings and the names of members.
    pub router: &'a Router,
    /// Requests that would be held for long are to be rejected: memory is at its bound, or a shutdown rejects.
    pub full: bool,
}

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
        written: Written,
    },
    /// A member answered.
    MemberReplied {
        /// The member's name.
        member: &'a str,
        /// What it answered; none if that is not in flight any more.
        key: Option<AttemptKey>,
        /// The answer's result code.
        word: Status,
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
        run: Run,
        /// Its class.
        class: String,
        /// The site that forwarded it, if it names one.
        site: Option<String>,
    },
    /// A request that came over a link has its answer or was cancelled.
    LinkRequestEnded {
        /// The request's number here.
        run: Run,
        /// How it ended.
        outcome: Outcome,
    },
}

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

/// What becomes of a client's request before the router gets it.
pub enum Verdict {
    /// The next subsystem, and at last the router, gets it.
    Pass,
    /// The subsystem took it over, and will answer it by [`Effect::Answer`].
    Taken,
    /// It is answered at once.
    Answer(Answer),
}

/// Effects that wait to be carried out, in order.
pub type Effects = VecDeque<Effect>;

/// A part of the program that an operator file switches on.
pub trait Subsystem {
    /// Takes an event.
    fn event(&mut self, cx: &Context<'_>, event: &Event<'_>, out: &mut Effects);

    /// Decides on a client's request before the router gets it.
    fn request(&mut self, _: &Context<'_>, _: RequestKey, _: &Call, _: &mut Effects) -> Verdict {
        Verdict::Pass
    }

    /// Takes the final answer to a client's request; returns the answer to send in its place, if another.
    fn answer(&mut self, _: &Context<'_>, _: RequestKey, _: &Answer) -> Option<Answer> {
        None
    }

    /// Takes the answer to a request that was given to the router by [`Effect::Route`], and the copy it came from.
    fn routed(&mut self, _: &Context<'_>, _: ClientId, _: Answer, _: Option<CopyInfo>, _: &mut Effects) {}

    /// Takes a frame that came on a link.
    fn frame(&mut self, _: &Context<'_>, _: LinkId, _: Frame, _: &mut Effects) {}

    /// Appends the effects that wait. Called after events, until none comes any more.
    fn poll(&mut self, _: &Context<'_>, _: &mut Effects) {}

    /// When [`Subsystem::tick`] is to be called next, ms.
    fn next_due(&self) -> Option<f64> {
        None
    }

    /// The time given by [`Subsystem::next_due`] has come.
    fn tick(&mut self, _: &Context<'_>, _: &mut Effects) {}

    /// Runs a background task until that time at most. Returns whether it has more to do; none if the task is not
    /// this subsystem's.
    fn run_task(&mut self, _: &Context<'_>, _: TaskId, _: Micros, _: &mut Effects) -> Option<bool> {
        None
    }

    /// Bytes that it holds beside those that wait on connections.
    fn buffered_bytes(&self) -> usize {
        0
    }

    /// Whether it owes no answer any more.
    fn is_settled(&self) -> bool {
        true
    }

    /// The process is about to be killed: answers what is open as failed.
    fn fail_open(&mut self, _: &Context<'_>, _: &mut Effects) {}

    /// All requests are answered and all clients gone. Returns whether the subsystem has nothing left to do.
    fn finish(&mut self, _: &Context<'_>, _: &mut Effects) -> bool {
        true
    }

    /// Takes what may change while serving from a new operator file, in which it is still switched on.
    fn reload(&mut self, _: &Context<'_>, _: &Operator, _: &mut Effects) {}

    /// Its part of the summary in the log.
    fn summary(&mut self) -> String;
}

/// Identities of clients: their connections or, where asked for, their addresses.
#[derive(Debug, Default)]
pub struct ClientIdentities {
    addresses: Option<HashMap<ClientId, u64>>,
}

impl ClientIdentities {
    /// Identifies clients by their addresses, or by their connections.
    pub fn by_address(addresses: bool) -> Self {
        ClientIdentities { addresses: addresses.then(HashMap::new) }
    }

    /// Whether clients' addresses are wanted.
    pub fn wants_addresses(&self) -> bool {
        self.addresses.is_some()
    }

    /// Takes up clients that came and went. To be called last for an event: a client that has gone is not known
    /// afterwards.
    pub fn event(&mut self, event: &Event<'_>) {
        let Some(all) = &mut self.addresses else { return };
        match event {
            Event::ClientConnected { client, address: Some(address) } => {
                all.insert(*client, address_number(*address));
            }
            Event::ClientGone { client, .. } => {
                all.remove(client);
            }
            _ => {}
        }
    }

    /// The number that identifies a client, also over several connections where it is identified by its address.
    pub fn identity(&self, id: ClientId) -> u64 {
        self.addresses.as_ref().and_then(|all| all.get(&id).copied()).unwrap_or(id)
    }
}

fn address_number(address: IpAddr) -> u64 {
    match address.to_canonical() {
        IpAddr::V4(v4) => u64::from(u32::from(v4)),
        // Of IPv6 the network's half: a client has many addresses in it.
        IpAddr::V6(v6) => (u128::from(v6) >> 64) as u64,
    }
}

/// Clients' requests that a subsystem let pass or took over and that have no answer yet, with what it keeps of each.
#[derive(Debug)]
pub struct OpenRequests<T> {
    open: BTreeMap<RequestKey, T>,
}

impl<T> Default for OpenRequests<T> {
    fn default() -> Self {
        OpenRequests { open: BTreeMap::new() }
    }
}

impl<T> OpenRequests<T> {
    /// Adds a request.
    pub fn insert(&mut self, request: RequestKey, kept: T) {
        self.open.insert(request, kept);
    }

    /// Whether a request is open here.
    pub fn contains(&self, request: RequestKey) -> bool {
        self.open.contains_key(&request)
    }

    /// Removes a request that has its answer; none if it is not open here.
    pub fn remove(&mut self, request: RequestKey) -> Option<T> {
        self.open.remove(&request)
    }

    /// Removes the requests that an event cancels: one, or all of a client that has gone. In order of their ids.
    pub fn remove_cancelled(&mut self, event: &Event<'_>) -> Vec<(RequestKey, T)> {
        let Some((client, ids)) = cancelled_requests(event) else { return Vec::new() };
        let keys = (client, *ids.start())..=(client, *ids.end());
        let keys: Vec<RequestKey> = self.open.range(keys).map(|(key, _)| *key).collect();
        keys.into_iter().filter_map(|key| self.open.remove_entry(&key)).collect()
    }
}

/// The client and the ids of its requests that an event cancels.
fn cancelled_requests(event: &Event<'_>) -> Option<(ClientId, RangeInclusive<u32>)> {
    match event {
        Event::RequestCancelled { client, id } => Some((*client, *id..=*id)),
        Event::ClientGone { client, .. } => Some((*client, 0..=u32::MAX)),
        _ => None,
    }
}

/// The outcome that an answer to a client means for flows.
pub fn outcome_of(answer: &Answer) -> Outcome {
    match answer {
        Answer::Served(_) | Answer::NotModified => Outcome::Served,
        Answer::Rejected(_) => Outcome::Refused,
        Answer::Failed => Outcome::Failed,
        Answer::Invalid(_) => Outcome::Unusable,
    }
}
