//! The one way for a subsystem to join the program: it is told what happened and says what is to be done.
//!
//! The loop owns connections, sockets, timers and background work. A subsystem ([`Subsystem`]) gets typed events
//! ([`Event`]) with what it may look at ([`Context`]), and puts typed effects ([`Effect`]) behind those that wait. It
//! knows neither the loop nor its fellows, so that each can be read, tested and switched off alone.

use crate::protocol::downstream::{Answer, Call};
use crate::protocol::upstream::{Copy, Word};
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
use std::collections::{HashMap, VecDeque};
use std::net::{IpAddr, SocketAddr};
use std::ops::RangeInclusive;

/// A link's connection.
pub type LineId = u64;
/// From this number on, what the router takes for a client is a request that came over a link.
pub const FAR: ClientId = 1 << 62;

/// A time of the loop's clock, ms, in whole microseconds.
pub fn micros(ms: f64) -> Micros {
    (ms * 1000.0) as Micros
}

/// What a subsystem may look at.
pub struct Context<'a> {
    /// The loop's clock, ms.
    pub now: f64,
    /// The router, its settings and the names of members.
    pub router: &'a Router,
    /// Nothing that would be held for long may be taken on: memory is at its bound, or the process ends.
    pub full: bool,
}

/// What happened.
pub enum Event<'a> {
    /// A client connected; its address where a subsystem wants that.
    ClientCame { client: ClientId, address: Option<IpAddr> },
    /// Bytes came from a client that are no request.
    Heard { client: ClientId, bytes: usize },
    /// A client's request came, of so many bytes; one that can't be read has no class.
    Asked { client: ClientId, id: u32, class: &'a str, bytes: usize },
    /// An answer was put behind what waits for a client.
    Answered { client: ClientId, id: u32, answer: &'a Answer },
    /// A client's ping was answered.
    Ponged { client: ClientId },
    /// Bytes went to a client.
    Wrote { client: ClientId, bytes: usize },
    /// A client gave a request up.
    GaveUp { client: ClientId, id: u32 },
    /// A client's connection has ended: bytes of a message cut in writing, and those that were not looked at.
    ClientGone { client: ClientId, cut: usize, unread: usize },
    /// An attempt begins for a client, or for a request that came over a link.
    Sent { key: AttemptKey, client: ClientId, class: &'a str, member: &'a str },
    /// A message is with the kernel, whole or cut.
    MemberWrote { member: &'a str, written: Written },
    /// An answer came from a member; `key` none: to nothing that is out.
    MemberAnswered { member: &'a str, key: Option<AttemptKey>, word: Word, bytes: usize },
    /// Bytes came from a member that are no whole answer.
    MemberHeard { member: &'a str, bytes: usize },
    /// An attempt ended without an answer.
    AttemptEnded { key: AttemptKey, outcome: Outcome },
    /// The feed told a purge: of an object or, where there is none, of a group.
    Purged { object: Option<u64>, group: u32, age: f64 },
    /// A link's connection came in.
    LineCame(LineId),
    /// The connection that was asked for is up.
    LineUp { peer: usize, way: usize, line: LineId },
    /// It did not come up.
    LineNotUp { peer: usize, way: usize },
    /// Bytes came on a link.
    LineHeard { line: LineId, site: Option<&'a str>, bytes: usize },
    /// Bytes went on a link.
    LineWrote { site: Option<&'a str>, bytes: usize },
    /// A link's connection has ended; attempts of which no byte was written.
    LineDown { line: LineId, unsent: &'a [u64] },
    /// A collector's connection is up.
    ExitUp(usize),
    /// It is gone, or never came up.
    ExitBroke(usize),
    /// Bytes went to a collector.
    ExitMoved(usize),
    /// A message to a collector is with the kernel whole.
    ExitWrote { place: usize, number: u64 },
    /// A datagram came from another instance of the fleet, or from who says so.
    Datagram { from: SocketAddr, bytes: &'a [u8] },
    /// A probe ended.
    Probed { member: MemberId, good: bool },
    /// The list of members has changed.
    Listed,
    /// What one subsystem tells the others.
    Noted(&'a Note),
    /// A quarter of a second has passed.
    Kept,
    /// A planned end begins.
    Ending,
}

/// What one subsystem tells the others.
#[derive(Debug)]
pub enum Note {
    /// A client's request crosses to a site.
    Crosses { client: ClientId, id: u32, site: String },
    /// A request came over a link from a site.
    RunBegan { run: Run, class: String, site: Option<String> },
    /// It has its answer.
    RunEnded { run: Run, outcome: Outcome },
}

/// What is to be done.
pub enum Effect {
    /// The final answer to a client's request that the subsystem took on; it is counted.
    Answer { client: ClientId, id: u32, answer: Answer },
    /// Have the router serve a request that came over a link.
    Route { client: ClientId, call: Box<Call> },
    /// Nobody waits for that any more.
    Abort(ClientId),
    /// Requests that the subsystem took on, and that were given up, to be counted.
    Took,
    /// See `Took`.
    Gone,
    /// Copies are void.
    Purged { object: Option<u64>, group: u32, age: f64 },
    /// Tell the other subsystems.
    Noted(Note),
    /// Connect to a peer's gateway, both by place.
    LineConnect { peer: usize, way: usize, to: Option<SocketAddr> },
    /// Say something on a link.
    LineSend(LineId, Frame),
    /// Close a link once what was said is written.
    LineClose(LineId, String),
    /// Connect to a collector, by place.
    ExitConnect { place: usize, to: SocketAddr, transport: Transport },
    /// Send a message to it.
    ExitSend { place: usize, number: u64, message: Bytes },
    /// Close its connection.
    ExitClose(usize),
    /// There are other collectors now: the place that each had before, if any.
    ExitsMoved(Vec<Option<usize>>),
    /// Send a datagram.
    Datagram { to: SocketAddr, bytes: Vec<u8> },
    /// Probe a member.
    Probe(MemberId),
    /// From now on these members, and no others, get nothing new, whatever the list says.
    HoldBack(Vec<MemberId>),
    /// A background task has something to do, at that time or now.
    Work { task: TaskId, at: Option<Micros> },
    /// The loop is to turn at that time.
    TurnAt(f64),
    /// A line about a single peer, of which only so many are written.
    Line(String),
}

/// What becomes of a client's request before the router sees it.
pub enum Verdict {
    /// It goes on.
    Pass,
    /// The subsystem took it on, and answers it by an effect.
    Taken,
    /// It is answered with that.
    Answer(Answer),
}

/// Effects that wait to be carried out, in order.
pub type Effects = VecDeque<Effect>;

/// A part of the program that an operator file switches on.
pub trait Subsystem {
    /// Something happened.
    fn event(&mut self, cx: &Context<'_>, event: &Event<'_>, out: &mut Effects);

    /// A client's request, before the router sees it.
    fn request(&mut self, _: &Context<'_>, _: (ClientId, u32), _: &Call, _: &mut Effects) -> Verdict {
        Verdict::Pass
    }

    /// The answer to give a client in place of this one, if another.
    fn answer(&mut self, _: &Context<'_>, _: (ClientId, u32), _: &Answer) -> Option<Answer> {
        None
    }

    /// A request that it had the router serve has its answer, from that copy.
    fn routed(&mut self, _: &Context<'_>, _: ClientId, _: Answer, _: Option<Copy>, _: &mut Effects) {}

    /// A frame came on a link.
    fn frame(&mut self, _: &Context<'_>, _: LineId, _: Frame, _: &mut Effects) {}

    /// Says what is to be done by now. Called after events, until nothing more comes.
    fn pump(&mut self, _: &Context<'_>, _: &mut Effects) {}

    /// When it wants a tick, ms.
    fn due(&self) -> Option<f64> {
        None
    }

    /// That time has come.
    fn tick(&mut self, _: &Context<'_>, _: &mut Effects) {}

    /// Runs a background task until that time at most. Tells whether it has more to do; none: it is not its task.
    fn work(&mut self, _: &Context<'_>, _: TaskId, _: Micros, _: &mut Effects) -> Option<bool> {
        None
    }

    /// Bytes that it holds beside those that wait on connections.
    fn holds(&self) -> usize {
        0
    }

    /// Whether nothing is owed any more.
    fn is_settled(&self) -> bool {
        true
    }

    /// The process is about to be killed: what is owed is answered as failed.
    fn end_all(&mut self, _: &Context<'_>, _: &mut Effects) {}

    /// All requests are answered and the clients gone. Tells whether it has done what it still has to.
    fn finish(&mut self, _: &Context<'_>, _: &mut Effects) -> bool {
        true
    }

    /// A new operator file, in which it is still switched on.
    fn reload(&mut self, _: &Context<'_>, _: &Operator, _: &mut Effects) {}

    /// Its part of the summary.
    fn summary(&mut self) -> String;
}

/// Who clients are: their connections or, where asked for, their addresses.
#[derive(Debug, Default)]
pub struct Callers {
    addresses: Option<HashMap<ClientId, u64>>,
}

impl Callers {
    /// Known by their addresses, or by their connections.
    pub fn known_by(addresses: bool) -> Self {
        Callers { addresses: addresses.then(HashMap::new) }
    }

    /// Whether clients' addresses are wanted.
    pub fn wants_addresses(&self) -> bool {
        self.addresses.is_some()
    }

    /// Takes up who came and who went. To be told after all else that an event means: who has gone is not known any more.
    pub fn event(&mut self, event: &Event<'_>) {
        let Some(all) = &mut self.addresses else { return };
        match event {
            Event::ClientCame { client, address: Some(address) } => {
                all.insert(*client, number(*address));
            }
            Event::ClientGone { client, .. } => {
                all.remove(client);
            }
            _ => {}
        }
    }

    /// The number of a client, also over other connections where it is known by its address.
    pub fn of(&self, id: ClientId) -> u64 {
        self.addresses.as_ref().and_then(|all| all.get(&id).copied()).unwrap_or(id)
    }
}

fn number(address: IpAddr) -> u64 {
    match address.to_canonical() {
        IpAddr::V4(v4) => u64::from(u32::from(v4)),
        // Of IPv6 the network's half: a client has many addresses in it.
        IpAddr::V6(v6) => (u128::from(v6) >> 64) as u64,
    }
}

/// The requests of a client that an event ends: those it gave up, or all.
pub fn ended(event: &Event<'_>) -> Option<(ClientId, RangeInclusive<u32>)> {
    match event {
        Event::GaveUp { client, id } => Some((*client, *id..=*id)),
        Event::ClientGone { client, .. } => Some((*client, 0..=u32::MAX)),
        _ => None,
    }
}
