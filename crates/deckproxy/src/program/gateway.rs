//! One gateway: its connections, the router between them, and the chores of keeping them.

use crate::program::files::{Files, Unread};
use crate::program::parts::Parts;
use crate::program::subsystem::{Context, Effect as PartEffect, Event, FAR, LineId, micros};
use crate::program::usage::Usage;
use crate::protocol::limits::{self, Bounds};
use crate::protocol::upstream;
use crate::routing::counters::ENDINGS;
use crate::routing::members::Endpoint;
use crate::routing::timers::Timers;
use crate::routing::{AttemptKey, ClientId, Effect, Router};
use crate::transport::alarm::Alarm;
use crate::transport::client::Client;
use crate::transport::clock;
use crate::transport::collector::Exits;
use crate::transport::datagrams::Datagrams;
use crate::transport::feed::Feed;
use crate::transport::line::Lines;
use crate::transport::listener::Listener;
use crate::transport::member::{Link, Message};
use crate::transport::stream::Ledger;
use calloop::LoopHandle;
use deckproxy_control::interface::MemberId;
use deckproxy_flow::work::{Kind, Scheduler, TaskId};
use deckproxy_operator::Operator;
use slog::{Logger, debug, info, warn};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

/// Microseconds that a turn leaves to background work where no connection waits for its own.
const SPARE: u64 = 2000;
/// The regular duties: what they may take at one time, and how long they may wait, microseconds.
const KEEPING: Kind = Kind { weight: 4, slice: 500, patience: 50_000 };
const SUMMING: Kind = Kind { weight: 1, slice: 1000, patience: 500_000 };
/// ms between looks at idle and stalled connections, between summaries in the log, and until accepting is tried
/// again when descriptors ran out.
const HOUSEKEEPING: f64 = 250.0;
const SUMMARY: f64 = 10_000.0;
pub(super) const ACCEPT_AGAIN: f64 = 20.0;
/// Connections served in one turn before the loop looks for news, and accepted in one go: those accepted before
/// are read first.
const BATCH: usize = 64;
pub(super) const ACCEPTS: usize = 16;
/// Log lines about single peers in one interval of the summary.
const PEER_LINES: u32 = 50;

pub(super) type LinkId = u64;
/// The way to a collector, by a number that no later one has.
pub(super) type ExitId = u64;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Peer {
    Client(ClientId),
    Link(LinkId),
    Line(LineId),
    Feed,
    Collector(ExitId),
    Fleet,
}

#[derive(Clone, Copy, Debug)]
pub(super) enum Chore {
    Connect(LinkId),
    LineUp(LineId),
    Feed,
    Accept,
    Unsent(AttemptKey),
    /// A closing connection has had its time.
    Linger(ClientId),
    /// A connection closes, whatever is open on it.
    Close(ClientId),
    Stragglers,
    LastCall,
    /// Only that the loop turns: a subsystem waits for the time.
    Turn,
}

/// For whom a client's connection makes room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Need {
    /// Another client.
    Newcomer,
    /// The gateway itself: the watch, a member, a link, its configuration.
    Own,
}

pub(super) struct Held {
    pub(super) link: Link,
    pub(super) member: MemberId,
    pub(super) endpoint: Endpoint,
    pub(super) connecting: bool,
}

/// What subsystems may look at, while the gateway's other parts are in use.
pub(super) fn context(now: f64, router: &Router) -> Context<'_> {
    Context { now, router, full: false }
}

/// Where links of other sites' gateways come in, and room for them, where an operator file says so.
fn lines(
    handle: &LoopHandle<'static, Gateway>,
    sockets: usize,
    operator: &Operator,
) -> io::Result<Option<Box<Lines>>> {
    let Some(sites) = &operator.sites else { return Ok(None) };
    let at = sites.listen.as_deref().and_then(|at| at.parse::<SocketAddr>().ok());
    let ready = |g: &mut Gateway| g.lines.iter_mut().for_each(|lines| lines.accepting = true);
    let named = |at, e| io::Error::new(io::Error::kind(&e), format!("links' address {at}: {e}"));
    let listener = at.map(|at| Listener::bind(handle, at, ready).map_err(|e| named(at, e)));
    Ok(Some(Box::new(Lines::new(listener.transpose()?, sockets))))
}

/// Where datagrams of the fleet's other instances come in, where an operator file says so.
fn datagrams(
    handle: &LoopHandle<'static, Gateway>,
    operator: &Operator,
) -> io::Result<Option<Box<Datagrams>>> {
    let Some(at) = operator.fleet.as_ref().and_then(|fleet| fleet.listens()) else { return Ok(None) };
    let ready = |g: &mut Gateway| Gateway::queue(&mut g.ready, Peer::Fleet);
    let bound = Datagrams::bind(handle, at, ready);
    let named = |e| io::Error::new(io::Error::kind(&e), format!("the fleet's address {at}: {e}"));
    Ok(Some(Box::new(bound.map_err(named)?)))
}

/// The state of the event loop.
pub struct Gateway {
    pub(super) handle: LoopHandle<'static, Gateway>,
    pub(super) log: Logger,
    pub(super) router: Router,
    pub(super) alarm: Alarm<Gateway>,
    pub(super) chores: Timers<Chore>,
    pub(super) listener: Option<Listener>,
    pub(super) clients: BTreeMap<ClientId, Client>,
    pub(super) links: BTreeMap<LinkId, Held>,
    pub(super) pools: HashMap<MemberId, Vec<LinkId>>,
    pub(super) carried: HashMap<AttemptKey, LinkId>,
    pub(super) listen: SocketAddr,
    pub(super) feed_at: Option<SocketAddr>,
    pub(super) feed: Option<Feed>,
    pub(super) feed_wait: f64,
    /// The last event before a gap for which the feed was asked again.
    pub(super) feed_gap: Option<u64>,
    pub(super) ready: VecDeque<Peer>,
    pub(super) accepting: bool,
    /// Accepting will be tried again by a chore.
    pub(super) accept_due: bool,
    /// Nobody new is to come: what waits is accepted, and refused.
    pub(super) last_accepts: bool,
    pub(super) next: u64,
    pub(super) bounds: Bounds,
    /// What the connections hold, by kind.
    pub(super) from_clients: Rc<Ledger>,
    pub(super) from_members: Rc<Ledger>,
    pub(super) from_feed: Rc<Ledger>,
    /// What an operator file switched on.
    pub(super) parts: Parts,
    /// Connections of links to gateways of other sites, where there are such.
    pub(super) lines: Option<Box<Lines>>,
    /// The ways to collectors of flows, where there are such.
    pub(super) exits: Option<Box<Exits>>,
    /// Datagrams of the fleet's other instances, where there are such.
    pub(super) datagrams: Option<Box<Datagrams>>,
    /// Work that waits for time that requests leave.
    pub(super) background: Scheduler,
    keeping: TaskId,
    summing: TaskId,
    pub(super) terminating: Option<f64>,
    pub(super) done: bool,
    pub(super) peer_lines: u32,
    /// That no descriptor is left for clients was told in this interval of the summary.
    pub(super) lack_told: bool,
    pub(super) most_sockets: usize,
    pub(super) longest_turn: f64,
}

impl Gateway {
    /// A gateway that listens, knows what its configuration told it, and begins to connect to the feed.
    pub fn new(handle: LoopHandle<'static, Gateway>, log: Logger, files: Files) -> io::Result<Self> {
        let now = clock::now();
        let Files { config, operator } = files;
        let lines = lines(&handle, config.sockets, &operator)?;
        let mut background = Scheduler::default();
        let (keeping, summing) = (background.add(KEEPING), background.add(SUMMING));
        background.wake_at(keeping, micros(now + HOUSEKEEPING));
        background.wake_at(summing, micros(now + SUMMARY));
        let datagrams = datagrams(&handle, &operator)?;
        let name = config.name;
        let router = Router::new(now, config.conf, config.seed, config.known);
        let parts = Parts::start(&log, now, (&name, config.seed), &router, &operator, &mut background);
        let parts = parts.map_err(io::Error::other)?;
        let collectors = parts.collectors();
        let kept = lines.as_ref().map_or(0, |l| l.most) + collectors + usize::from(datagrams.is_some());
        let alarm = Alarm::register(&handle).map_err(io::Error::other)?;
        let at = config.listen;
        let listener = Listener::bind(&handle, at, |g: &mut Gateway| g.accepting = true);
        let listener = listener.map_err(|e| io::Error::new(e.kind(), format!("{at}: {e}")))?;
        let mut gateway = Gateway {
            handle,
            log,
            router,
            alarm,
            chores: Timers::default(),
            listener: Some(listener),
            clients: BTreeMap::new(),
            links: BTreeMap::new(),
            pools: HashMap::new(),
            carried: HashMap::new(),
            listen: config.listen,
            feed_at: config.feed,
            feed: None,
            feed_wait: limits::FEED_BACKOFF.0,
            feed_gap: None,
            ready: VecDeque::new(),
            accepting: true,
            accept_due: false,
            last_accepts: false,
            next: 0,
            bounds: Bounds::of(config.memory, config.sockets.saturating_sub(kept)),
            from_clients: Rc::default(),
            from_members: Rc::default(),
            from_feed: Rc::default(),
            parts,
            lines,
            datagrams,
            exits: (collectors > 0).then(|| Box::new(Exits::new(collectors))),
            background,
            keeping,
            summing,
            terminating: None,
            done: false,
            peer_lines: 0,
            lack_told: false,
            most_sockets: 0,
            longest_turn: 0.0,
        };
        gateway.chores.schedule(now, Chore::Feed);
        gateway.pump(now);
        Ok(gateway)
    }

    /// Whether all is answered after the end was asked for.
    pub fn is_done(&self) -> bool {
        self.done
    }

    /// Whether there is something to do without news from the kernel.
    pub fn is_busy(&self) -> bool {
        !self.ready.is_empty() || self.accepting || self.background.is_ready()
    }

    /// Begins to end: what still comes is served, then the process ends by itself.
    pub fn terminate(&mut self, now: f64) {
        if self.terminating.is_some() {
            return;
        }
        info!(self.log, "told to end"; "open" => self.router.unanswered(), "clients" => self.clients.len());
        self.terminating = Some(now);
        self.chores.schedule(now + limits::STRAGGLERS, Chore::Stragglers);
        self.parts.tell(&context(now, &self.router), &Event::Ending);
        // The fleet hears good-bye at once, and the address is free for who comes next.
        self.pump(now);
        if let Some(socket) = self.datagrams.take() {
            socket.close(&self.handle);
        }
        let longest = self.router.conf().settings.classes.iter().map(|c| c.deadline).fold(0.0, f64::max);
        let last = longest.min(limits::LONGEST_COUNTED) + limits::STRAGGLERS - limits::LAST_CALL;
        self.chores.schedule(now + last, Chore::LastCall);
    }

    /// Takes from a new configuration what may change while serving: where the feed is, which is asked there at
    /// once for what follows the last event, and the limits. All else needs a restart, and a configuration that
    /// can't be used changes nothing: what serves goes on. No connection of a client or member is touched.
    pub fn reload(&mut self, now: f64, read: impl Fn() -> Result<Files, Unread>) {
        let mut files = read();
        if matches!(files, Err(Unread::Exhausted(_))) && self.make_room(now, Need::Own) {
            // The lack is ours: nobody tells it again, and the feed may have moved.
            files = read();
        }
        let Files { config, operator } = match files {
            Ok(files) => files,
            Err(why) => return warn!(self.log, "reload: the configuration in force stays"; "why" => %why),
        };
        info!(self.log, "reload: the feed is asked anew"; "feed" => ?config.feed, "event" => self.router.last_event());
        if config.listen != self.listen {
            warn!(self.log, "reload: listen takes a restart"; "listen" => %config.listen);
        }
        self.parts.reload(&self.log, &context(now, &self.router), &operator);
        self.carry_out(now);
        let kept = self.lines.as_ref().map_or(0, |l| l.most) + self.parts.collectors();
        let kept = kept + usize::from(self.datagrams.is_some());
        self.bounds = Bounds::of(config.memory, config.sockets.saturating_sub(kept));
        self.feed_at = config.feed;
        // Also where the address is the same: whoever asks for a reload doubts what is known.
        if let Some(feed) = self.feed.take() {
            feed.stream.close(&self.handle);
        }
        self.feed_wait = limits::FEED_BACKOFF.0;
        self.connect_feed(now);
    }

    /// One turn after news from the kernel: what is due, then each connection that has something, in turn.
    pub fn turn(&mut self) -> calloop::Result<()> {
        let start = clock::now();
        self.due(start);
        if self.accepting {
            self.accept(clock::now());
            self.pump(start);
        }
        if self.lines.as_ref().is_some_and(|l| l.accepting) {
            self.accept_lines(clock::now());
        }
        for _ in 0..BATCH.min(self.ready.len()) {
            let Some(peer) = self.ready.pop_front() else { break };
            let now = clock::now();
            match peer {
                Peer::Client(id) => self.serve_client(now, id),
                Peer::Link(id) => self.serve_link(now, id),
                Peer::Line(id) => self.serve_line(now, id),
                Peer::Feed => self.serve_feed(now),
                Peer::Collector(id) => self.serve_exit(now, id),
                Peer::Fleet => self.take_datagrams(now),
            }
            self.pump(now);
            self.due(now);
        }
        self.work(start);
        if self.terminating.is_some()
            && self.listener.is_none()
            && self.router.unanswered() == 0
            && self.parts.is_settled()
            && self.lines.as_ref().is_none_or(|l| l.is_written())
        {
            self.finish(clock::now());
            self.pump(start);
        }
        self.most_sockets = self.most_sockets.max(self.clients.len() + self.links.len());
        self.longest_turn = self.longest_turn.max(clock::now() - start);
        let background = self.background.next_due().map(|at| at as f64 / 1000.0);
        let next = [self.router.next_deadline(), self.chores.next_deadline(), self.parts.due(), background]
            .into_iter()
            .flatten()
            .fold(f64::MAX, f64::min);
        self.alarm.set(&self.handle, next)
    }

    /// All is answered: closes the clients' connections once that is written and nothing came in the moment before,
    /// and then the process ends.
    fn finish(&mut self, now: f64) {
        for id in self.clients.keys().copied().collect::<Vec<_>>() {
            self.retire_client(now, id);
        }
        if self.clients.is_empty() {
            if self.parts.counts_members() {
                // What has come on them and was not looked at counts too.
                for id in self.links.keys().copied().collect::<Vec<_>>() {
                    self.drop_link(id);
                }
            }
            self.done = self.parts.finish(&context(now, &self.router));
            self.carry_out(now);
        }
    }

    /// Background work in the time that this turn has left: what waited too long also where there is none.
    fn work(&mut self, start: f64) {
        let idle = self.ready.is_empty() && !self.accepting;
        let used = micros(clock::now()).saturating_sub(micros(start));
        let mut left = if idle { SPARE.saturating_sub(used) } else { 0 };
        loop {
            let began = clock::now();
            let Some((task, slice)) = self.background.next(micros(began), left) else { return };
            let more = match task {
                task if task == self.keeping => {
                    self.housekeeping(began);
                    self.pump(began);
                    self.background.wake_at(task, micros(began + HOUSEKEEPING));
                    false
                }
                task if task == self.summing => {
                    self.summary("summary");
                    (self.peer_lines, self.lack_told) = (0, false);
                    self.background.wake_at(task, micros(began + SUMMARY));
                    false
                }
                task => self.work_parts(task, micros(began) + slice),
            };
            let ended = micros(clock::now());
            let took = ended.saturating_sub(micros(began));
            self.background.ran(ended, task, took, more);
            left = left.saturating_sub(took);
            if left == 0 {
                return;
            }
        }
    }

    fn due(&mut self, now: f64) {
        self.router.tick(now);
        self.parts.tick(&context(now, &self.router));
        while let Some((_, chore)) = self.chores.pop_due(now) {
            match chore {
                Chore::Connect(id) if self.links.get(&id).is_some_and(|h| h.connecting) => {
                    self.end_link(now, id, "connect time-out");
                }
                Chore::Connect(_) | Chore::Turn => {}
                Chore::LineUp(id) => self.line_not_up(now, id),
                Chore::Feed => self.connect_feed(now),
                Chore::Accept => {
                    (self.accept_due, self.accepting) = (false, true);
                    self.lines.iter_mut().for_each(|lines| lines.accepting = true);
                }
                // What still waits in the kernel's queue is accepted and told, then nobody listens any more.
                Chore::Stragglers => (self.last_accepts, self.accepting) = (true, true),
                Chore::Unsent(key) => self.take_back(now, key),
                Chore::Linger(id) => self.lingered(now, id),
                Chore::Close(id) => self.end_client(now, id),
                Chore::LastCall => {
                    // Clients that come without end must not put off the end itself: who waits now is not accepted.
                    if let Some(listener) = self.listener.take() {
                        listener.close(&self.handle);
                    }
                    self.router.fail_all(now);
                    self.parts.end_all(&context(now, &self.router));
                    self.carry_out(now);
                    let all = self.clients.keys().map(|id| Chore::Close(*id)).collect::<Vec<_>>();
                    all.into_iter().for_each(|chore| self.chores.schedule(now + limits::LINGER, chore));
                }
            }
        }
        self.pump(now);
    }

    /// Queues a connection for its turn, once.
    pub(super) fn queue(ready: &mut VecDeque<Peer>, peer: Peer) {
        if !ready.contains(&peer) {
            ready.push_back(peer);
        }
    }

    /// Carries out what the router and the subsystems want done.
    pub(super) fn pump(&mut self, now: f64) {
        loop {
            self.pump_router(now);
            if !self.pump_parts(now) {
                return;
            }
        }
    }

    fn pump_router(&mut self, now: f64) {
        while let Some(effect) = self.router.next_effect() {
            match effect {
                Effect::SendAttempt { key, client, .. } if !self.is_wanted(now, key, client) => {}
                Effect::SendAttempt {
                    key,
                    member,
                    endpoint,
                    client,
                    call,
                    options,
                    unsent_timeout: unsent,
                } => {
                    let event = Event::Sent {
                        key,
                        client,
                        class: &call.class,
                        member: self.router.member_name(member),
                    };
                    self.parts.tell(&context(now, &self.router), &event);
                    let parts = upstream::ask(&call, &options);
                    self.send(now, (key, member, endpoint), &call.name, Message::Ask { parts, unsent });
                }
                Effect::SendHealthCheck { key, member, endpoint } => {
                    let tag = format!("p{:x}", key & 0xffff_ffff);
                    self.send(now, (key, member, endpoint), &tag, Message::Probe);
                }
                Effect::CancelAttempt { key, .. } => self.withdraw(now, key),
                Effect::Answer { client, id, answer, copy } => match client {
                    0..FAR => self.answer(now, client, id, &answer),
                    FAR.. => self.parts.routed(&context(now, &self.router), client, answer, copy),
                },
                Effect::Purged { object, group, age } => {
                    let event = Event::Purged { object, group, age };
                    self.parts.tell(&context(now, &self.router), &event);
                }
                Effect::HealthChecked { member, healthy } => {
                    self.parts.tell(&context(now, &self.router), &Event::Probed { member, good: healthy });
                }
                Effect::MembersChanged => self.parts.tell(&context(now, &self.router), &Event::Listed),
                Effect::CloseIdle(member) => self.close_idle(member),
                Effect::Log(text) => self.line(&text),
            }
        }
    }

    /// Whether an attempt is still to go out, once its client was heard. If not, its withdrawal comes behind.
    fn is_wanted(&mut self, now: f64, key: AttemptKey, client: ClientId) -> bool {
        self.hear_before(now, client);
        self.router.is_wanted(key)
    }

    /// Has the subsystems say what is to be done, and does it. Tells whether there was anything.
    fn pump_parts(&mut self, now: f64) -> bool {
        if !self.parts.is_on() {
            return false;
        }
        let full = self.parts.has_sites() && (self.is_full() || self.last_accepts);
        self.parts.pump(&Context { now, router: &self.router, full });
        let any = self.carry_out(now);
        self.flush_lines(now) || any
    }

    /// Carries out what subsystems want done. Tells whether there was anything.
    pub(super) fn carry_out(&mut self, now: f64) -> bool {
        let mut any = false;
        while let Some(effect) = self.parts.effect() {
            any = true;
            match effect {
                PartEffect::Answer { client, id, answer } => {
                    self.router.counters.count(&answer);
                    self.answer(now, client, id, &answer);
                }
                PartEffect::Route { client, call } => self.router.request(now, client, 0, *call),
                PartEffect::Abort(client) => self.router.cancel(now, client, 0),
                PartEffect::Took => self.router.counters.accepted += 1,
                PartEffect::Gone => self.router.counters.cancelled += 1,
                PartEffect::Purged { object, group, age } => self.router.purged(now, object, group, age),
                PartEffect::Noted(note) => {
                    self.parts.tell(&context(now, &self.router), &Event::Noted(&note));
                }
                PartEffect::LineConnect { peer, way, to } => self.connect_line(now, peer, way, to),
                PartEffect::LineSend(id, frame) => {
                    if let Some(lines) = &mut self.lines
                        && let Some(held) = lines.held.get_mut(&id).filter(|h| !h.line.closing)
                    {
                        held.line.send(&frame);
                        lines.touched.insert(id);
                    }
                }
                PartEffect::LineClose(id, why) => {
                    if let Some(lines) = &mut self.lines
                        && let Some(held) = lines.held.get_mut(&id)
                    {
                        held.line.closing = true;
                        lines.touched.insert(id);
                    }
                    self.line(&format!("a link closes: {why}"));
                }
                PartEffect::ExitConnect { place, to, transport } => {
                    self.connect_exit(now, place, to, transport);
                }
                PartEffect::ExitSend { place, number, message } => {
                    self.send_exit(now, place, number, message);
                }
                PartEffect::ExitClose(place) => self.close_exit(place),
                PartEffect::ExitsMoved(before) => {
                    let gone = self.exits.get_or_insert_default().reorder(&before);
                    gone.into_iter().for_each(|exit| exit.close(&self.handle));
                }
                PartEffect::Datagram { to, bytes } => {
                    self.datagrams.iter_mut().for_each(|socket| socket.send(to, &bytes));
                }
                PartEffect::Probe(member) => self.router.health_check(now, member),
                PartEffect::HoldBack(members) => self.router.set_ejected(now, &members),
                PartEffect::Work { task, at: Some(at) } => self.background.wake_at(task, at),
                PartEffect::Work { task, at: None } => self.background.wake(micros(now), task),
                PartEffect::TurnAt(at) => self.chores.schedule(at, Chore::Turn),
                PartEffect::Line(text) => self.line(&text),
            }
        }
        any
    }

    /// Takes datagrams that wait, so many in one go.
    fn take_datagrams(&mut self, now: f64) {
        for _ in 0..BATCH {
            let Some((from, bytes)) = self.datagrams.as_mut().and_then(|socket| socket.take()) else {
                return;
            };
            self.parts.tell(&context(now, &self.router), &Event::Datagram { from, bytes });
        }
        Self::queue(&mut self.ready, Peer::Fleet);
    }

    // ---- Chores --------------------------------------------------------------------------------------------

    fn housekeeping(&mut self, now: f64) {
        self.parts.tell(&context(now, &self.router), &Event::Kept);
        if self.feed.as_ref().is_some_and(|f| now - f.heard > limits::FEED_SILENCE) {
            self.lose_feed(now, "silent");
        }
        let idle = self.router.conf().limits.idle;
        let old = |h: &Held| {
            h.link.load() == 0
                && (h.link.retired || idle > 0.0 && now - h.link.idle_since() > idle - limits::IDLE_MARGIN)
        };
        let old: Vec<LinkId> = self.links.iter().filter(|(_, h)| old(h)).map(|(id, _)| *id).collect();
        old.into_iter().for_each(|id| self.drop_link(id));
        for id in self.clients.keys().copied().collect::<Vec<_>>() {
            let Some(client) = self.clients.get(&id) else { continue };
            let quiet = now - client.idle_since();
            if client.is_stalled(now) {
                debug!(self.log, "closing a client's connection that leaves its answers unread"; "client" => id);
                self.cut_client(now, id);
            } else if client.is_overdue(now) {
                // What it asked for before is still answered.
                self.dismiss(now, id, "it keeps a message waiting");
            } else if client.is_idle() && quiet > limits::CLIENT_IDLE {
                self.retire_client(now, id);
            }
        }
        // What was not read at the bound is read again.
        if self.from_clients.output.get() <= self.bounds.unread {
            let waiting = self.links.iter().filter(|(_, h)| h.link.stream.is_readable()).map(|(id, _)| *id);
            for id in waiting.collect::<Vec<_>>() {
                Self::queue(&mut self.ready, Peer::Link(id));
            }
        } else {
            self.evict(now);
        }
    }

    /// At the bound on bytes that wait for clients, the one that holds most is closed.
    fn evict(&mut self, now: f64) {
        let worst = self.clients.iter().max_by_key(|(_, c)| c.holds()).map(|(id, _)| *id);
        if let Some(id) = worst {
            self.line("closing the client's connection that leaves most unread");
            self.cut_client(now, id);
        }
    }

    /// A line about a single peer, of which only so many are written in an interval.
    pub(super) fn line(&mut self, text: &str) {
        self.peer_lines += 1;
        if self.peer_lines <= PEER_LINES {
            warn!(self.log, "peer"; "what" => text.to_string());
        }
    }

    /// Sizes of all that grows with what passes by; each has an end.
    fn sizes(&self) -> String {
        let own =
            [("pools", self.pools.len()), ("carried", self.carried.len()), ("chores", self.chores.len())];
        let bytes = [
            ("read", self.from_clients.input.get() + self.from_members.input.get()),
            ("unread", self.from_clients.output.get()),
        ];
        let all = own.into_iter().chain(bytes).chain(self.router.table_sizes());
        all.map(|(name, size)| format!("{name}:{size}")).collect::<Vec<_>>().join(",")
    }

    /// Writes the summary.
    pub fn summary(&mut self, name: &'static str) {
        let c = self.router.counters;
        let usage = Usage::now();
        let [sites, recovery, flows, fleet] = self.parts.summary();
        let endings: Vec<String> =
            ENDINGS.iter().zip(c.endings).filter(|(_, n)| *n > 0).map(|(w, n)| format!("{w}:{n}")).collect();
        info!(self.log, "{}", name;
            "taken" => c.accepted, "served" => c.served, "refused" => c.rejected, "failed" => c.failed,
            "gone" => c.cancelled, "unusable" => c.invalid, "owed" => self.router.unanswered(),
            "attempts" => endings.join(","), "probes" => c.health_checks,
            "clients" => self.clients.len(), "links" => self.links.len(), "most_sockets" => self.most_sockets,
            "sizes" => self.sizes(),
            "sites" => sites, "recovery" => recovery, "flows" => flows, "fleet" => fleet,
            "feed" => self.feed.is_some(), "event" => self.router.last_event(),
            "cpu_ms" => usage.cpu, "memory_kb" => usage.memory, "descriptors" => usage.descriptors,
            "broken" => c.broken_invariants, "overdue" => c.overdue, "timer_late_ms" => format!("{:.1}", c.late),
            "longest_turn_ms" => format!("{:.1}", self.longest_turn));
    }
}
