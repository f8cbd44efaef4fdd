//! One gateway: its connections, the router between them, and the chores of keeping them.

use crate::program::Files;
use crate::program::flows::{ExitId, Flows};
use crate::program::recovery::Recovery;
use crate::program::sites::{LineId, Sites};
use crate::program::usage::Usage;
use crate::protocol::back;
use crate::protocol::limits::{self, Bounds};
use crate::routing::counters::ENDINGS;
use crate::routing::members::Place;
use crate::routing::router::{AttemptKey, ClientId, Effect, Router};
use crate::routing::timers::Timers;
use crate::transport::alarm::Alarm;
use crate::transport::client::Client;
use crate::transport::clock;
use crate::transport::feed::Feed;
use crate::transport::listener::Listener;
use crate::transport::member::Link;
use crate::transport::stream::Ledger;
use calloop::LoopHandle;
use deckproxy_control::interface::MemberId;
use deckproxy_flow::work::{Kind, Scheduler, TaskId};
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
/// From this number on, what the router takes for a client is a request that came over a link.
pub(super) const FAR: ClientId = 1 << 62;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Peer {
    Client(ClientId),
    Link(LinkId),
    Line(LineId),
    Feed,
    Collector(ExitId),
}

#[derive(Clone, Copy, Debug)]
pub(super) enum Chore {
    Connect(LinkId),
    LineUp(LineId),
    Feed,
    Accept,
    Unsent(AttemptKey),
    Linger(ClientId),
    Stragglers,
    LastCall,
    /// Flows had their time to be told at a planned end.
    Flush,
}

pub(super) struct Held {
    pub(super) link: Link,
    pub(super) member: MemberId,
    pub(super) place: Place,
    pub(super) connecting: bool,
}

/// The same time in whole microseconds.
pub(super) fn micros(ms: f64) -> u64 {
    (ms * 1000.0) as u64
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
    /// Links to gateways of other sites, where they are switched on.
    pub(super) sites: Option<Box<Sites>>,
    /// Metering and export of flows, where they are switched on.
    pub(super) flows: Option<Box<Flows>>,
    /// The door against storms, where it is switched on.
    pub(super) recovery: Option<Box<Recovery>>,
    /// Work that waits for time that requests leave.
    pub(super) background: Scheduler,
    keeping: TaskId,
    summing: TaskId,
    pub(super) terminating: Option<f64>,
    pub(super) done: bool,
    pub(super) peer_lines: u32,
    pub(super) most_sockets: usize,
    pub(super) longest_turn: f64,
}

impl Gateway {
    /// A gateway that listens, knows what its configuration told it, and begins to connect to the feed.
    pub fn new(handle: LoopHandle<'static, Gateway>, log: Logger, files: Files) -> io::Result<Self> {
        let now = clock::now();
        let Files { config, operator } = files;
        let sites = Sites::start(&handle, now, config.seed, config.sockets, &operator)?;
        let lines = sites.as_ref().map_or(0, |s| s.most_lines);
        let mut background = Scheduler::default();
        let (keeping, summing) = (background.add(KEEPING), background.add(SUMMING));
        background.wake_at(keeping, micros(now + HOUSEKEEPING));
        background.wake_at(summing, micros(now + SUMMARY));
        let flows = Flows::start(now, config.seed, &config.conf.classes, &operator, &mut background);
        let collectors = operator.flows.as_ref().map_or(0, |f| f.collectors.len());
        let recovery = Recovery::start(&log, &config.conf, config.seed, &operator);
        let alarm = Alarm::register(&handle).map_err(io::Error::other)?;
        let router = Router::new(now, config.conf, config.seed, config.known);
        let listener = Listener::bind(&handle, config.listen, |g: &mut Gateway| g.accepting = true)?;
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
            bounds: Bounds::of(config.memory, config.sockets.saturating_sub(lines + collectors)),
            from_clients: Rc::default(),
            from_members: Rc::default(),
            from_feed: Rc::default(),
            sites,
            flows,
            recovery,
            background,
            keeping,
            summing,
            terminating: None,
            done: false,
            peer_lines: 0,
            most_sockets: 0,
            longest_turn: 0.0,
        };
        gateway.chores.set(now, Chore::Feed);
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
        info!(self.log, "told to end"; "open" => self.router.owed(), "clients" => self.clients.len());
        self.terminating = Some(now);
        self.chores.set(now + limits::STRAGGLERS, Chore::Stragglers);
        if let Some(sites) = &mut self.sites {
            sites.site.go_away("a planned end", 0.0);
        }
        let longest = self.router.conf().settings.classes.iter().map(|c| c.deadline).fold(0.0, f64::max);
        let last = longest.min(limits::LONGEST_COUNTED) + limits::STRAGGLERS - limits::LAST_CALL;
        self.chores.set(now + last, Chore::LastCall);
    }

    /// Takes from a new configuration what may change while serving: where the feed is, which is asked there at
    /// once for what follows the last event, and the limits. All else needs a restart, and a configuration that
    /// can't be used changes nothing: what serves goes on. No connection of a client or member is touched.
    pub fn reload(&mut self, now: f64, read: Result<Files, String>) {
        let Files { config, operator } = match read {
            Ok(files) => files,
            Err(why) => return warn!(self.log, "reload: the configuration in force stays"; "why" => why),
        };
        info!(self.log, "reload: the feed is asked anew"; "feed" => ?config.feed, "event" => self.router.last_event());
        if config.listen != self.listen {
            warn!(self.log, "reload: listen takes a restart"; "listen" => %config.listen);
        }
        self.reload_sites(now, &operator);
        self.reload_flows(now, &operator);
        if self.recovery.is_some() != operator.recovery.is_some() {
            warn!(self.log, "reload: switching recovery on or off takes a restart");
        }
        let lines = self.sites.as_ref().map_or(0, |s| s.most_lines);
        let collectors = operator.flows.as_ref().map_or(0, |f| f.collectors.len());
        self.bounds = Bounds::of(config.memory, config.sockets.saturating_sub(lines + collectors));
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
        }
        if self.sites.as_ref().is_some_and(|s| s.accepting) {
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
            }
            self.pump(now);
            self.due(now);
        }
        self.work(start);
        if self.terminating.is_some()
            && self.listener.is_none()
            && self.router.owed() == 0
            && self.sites_settled()
        {
            self.finish(clock::now());
        }
        self.most_sockets = self.most_sockets.max(self.clients.len() + self.links.len());
        self.longest_turn = self.longest_turn.max(clock::now() - start);
        let background = self.background.next_due().map(|at| at as f64 / 1000.0);
        let next = [self.router.next_due(), self.chores.next(), self.sites_due(), background]
            .into_iter()
            .flatten()
            .fold(f64::MAX, f64::min);
        self.alarm.set(&self.handle, next)
    }

    /// All is answered: closes the clients' connections once that is written, and then the process ends.
    fn finish(&mut self, now: f64) {
        for id in self.clients.keys().copied().collect::<Vec<_>>() {
            if let Some(client) = self.clients.get_mut(&id).filter(|c| !c.is_closing()) {
                client.begin_close();
                self.flush_client(now, id);
            }
        }
        self.done = self.clients.is_empty() && self.flush_flows(now);
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
                    self.background.wake_at(task, micros(began + HOUSEKEEPING));
                    false
                }
                task if task == self.summing => {
                    self.summary("summary");
                    self.peer_lines = 0;
                    self.background.wake_at(task, micros(began + SUMMARY));
                    false
                }
                task => self.is_flow_task(task) && self.work_flows(began, task, slice),
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
        self.tick_sites(now);
        while let Some((_, chore)) = self.chores.due(now) {
            match chore {
                Chore::Connect(id) if self.links.get(&id).is_some_and(|h| h.connecting) => {
                    self.end_link(now, id, "connect time-out");
                }
                Chore::Connect(_) => {}
                Chore::Flush => {}
                Chore::LineUp(id) => self.line_not_up(now, id),
                Chore::Feed => self.connect_feed(now),
                Chore::Accept => (self.accept_due, self.accepting) = (false, true),
                // What still waits in the kernel's queue is accepted and told, then nobody listens any more.
                Chore::Stragglers => (self.last_accepts, self.accepting) = (true, true),
                Chore::Unsent(key) => self.take_back(now, key),
                Chore::Linger(id) => self.end_client(now, id),
                Chore::LastCall => {
                    self.router.end_all(now);
                    self.end_crossings(now);
                    let all = self.clients.keys().map(|id| Chore::Linger(*id)).collect::<Vec<_>>();
                    all.into_iter().for_each(|chore| self.chores.set(now + limits::LINGER, chore));
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

    /// Carries out what the router wants done.
    pub(super) fn pump(&mut self, now: f64) {
        loop {
            self.pump_router(now);
            if !self.pump_sites(now) {
                return;
            }
        }
    }

    fn pump_router(&mut self, now: f64) {
        while let Some(effect) = self.router.effect() {
            match effect {
                Effect::Ask { key, member, place, client, call, orders } => {
                    if let Some(flows) = &mut self.flows {
                        flows.sent(now, key, client, &call.class, self.router.member_name(member));
                    }
                    self.send(now, key, member, place, &call.name, Some(back::ask(&call, &orders)));
                }
                Effect::Probe { key, member, place } => {
                    let tag = format!("p{:x}", key & 0xffff_ffff);
                    self.send(now, key, member, place, &tag, None);
                }
                Effect::Withdraw { key, .. } => self.withdraw(now, key),
                Effect::Answer { client, id, answer, copy } => match client {
                    0..FAR => self.answer(now, client, id, &answer),
                    FAR.. => self.run_ended(now, client - FAR, answer, copy),
                },
                Effect::Purged { object, group, age } => self.tell_sites(now, object, group, age),
                Effect::Close(member) => self.close_idle(member),
                Effect::Log(text) => self.line(&text),
            }
        }
    }

    // ---- Chores --------------------------------------------------------------------------------------------

    fn housekeeping(&mut self, now: f64) {
        if let Some(text) = self.recovery.as_mut().and_then(|r| r.news()) {
            info!(self.log, "recovery"; "what" => text);
        }
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
        let stale = |c: &Client| {
            let quiet = now - c.idle_since();
            c.stream.queued() > 0 && quiet > limits::CLIENT_STALL
                || c.is_idle() && quiet > limits::CLIENT_IDLE
                || c.is_overdue(now)
        };
        let stale: Vec<ClientId> = self.clients.iter().filter(|(_, c)| stale(c)).map(|(id, _)| *id).collect();
        for id in stale {
            debug!(self.log, "closing a client's connection that is stalled, idle or half-spoken"; "client" => id);
            self.end_client(now, id);
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
            self.end_client(now, id);
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
        let all = own.into_iter().chain(bytes).chain(self.router.sizes());
        all.map(|(name, size)| format!("{name}:{size}")).collect::<Vec<_>>().join(",")
    }

    /// Writes the summary.
    pub fn summary(&mut self, name: &'static str) {
        let c = self.router.counters;
        let usage = Usage::now();
        let endings: Vec<String> =
            ENDINGS.iter().zip(c.endings).filter(|(_, n)| *n > 0).map(|(w, n)| format!("{w}:{n}")).collect();
        info!(self.log, "{}", name;
            "taken" => c.taken, "served" => c.served, "refused" => c.refused, "failed" => c.failed,
            "gone" => c.gone, "unusable" => c.unusable, "owed" => self.router.owed(),
            "attempts" => endings.join(","), "probes" => c.probes,
            "clients" => self.clients.len(), "links" => self.links.len(), "most_sockets" => self.most_sockets,
            "sizes" => self.sizes(),
            "sites" => self.sites_summary(),
            "recovery" => self.recovery.as_ref().map_or_else(|| "off".to_string(), |r| r.summary()),
            "flows" => self.flows.as_mut().map_or_else(|| "off".to_string(), |f| f.summary()),
            "feed" => self.feed.is_some(), "event" => self.router.last_event(),
            "cpu_ms" => usage.cpu, "memory_kb" => usage.memory, "descriptors" => usage.descriptors,
            "broken" => c.broken, "overdue" => c.overdue, "timer_late_ms" => format!("{:.1}", c.late),
            "longest_turn_ms" => format!("{:.1}", self.longest_turn));
    }
}
