//! One gateway: its connections, the router between them, and the chores of keeping them.

use crate::program::usage::Usage;
use crate::protocol::config::Config;
use crate::protocol::feed::Line;
use crate::protocol::front::{self, Answer, Message};
use crate::protocol::{back, limits};
use crate::routing::counters::ENDINGS;
use crate::routing::members::Place;
use crate::routing::router::{AttemptKey, Broke, ClientId, Effect, Router};
use crate::routing::timers::Timers;
use crate::transport::alarm::Alarm;
use crate::transport::client::Client;
use crate::transport::clock;
use crate::transport::feed::Feed;
use crate::transport::listener::{Accepted, Listener};
use crate::transport::member::Link;
use crate::transport::stream::{Progress, Stream, is_exhausted};
use calloop::{LoopHandle, Readiness};
use deckproxy_control::interface::MemberId;
use slog::{Logger, debug, info, warn};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::io;
use std::net::SocketAddr;

/// ms between looks at idle and stalled connections, between summaries in the log, and until accepting is tried
/// again when descriptors ran out.
const HOUSEKEEPING: f64 = 250.0;
const SUMMARY: f64 = 10_000.0;
const ACCEPT_AGAIN: f64 = 100.0;
/// Connections served in one turn before the loop looks for news, and accepted in one go.
const BATCH: usize = 64;
/// Log lines about single peers in one interval of the summary.
const PEER_LINES: u32 = 50;

type LinkId = u64;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Peer {
    Client(ClientId),
    Link(LinkId),
    Feed,
}

#[derive(Clone, Copy, Debug)]
enum Chore {
    Housekeeping,
    Summary,
    Connect(LinkId),
    Feed,
    Accept,
    Unsent(AttemptKey),
    Linger(ClientId),
    Stragglers,
    LastCall,
}

struct Held {
    link: Link,
    member: MemberId,
    place: Place,
    connecting: bool,
}

/// The state of the event loop.
pub struct Gateway {
    handle: LoopHandle<'static, Gateway>,
    log: Logger,
    router: Router,
    alarm: Alarm<Gateway>,
    chores: Timers<Chore>,
    listener: Option<Listener>,
    clients: BTreeMap<ClientId, Client>,
    links: BTreeMap<LinkId, Held>,
    pools: HashMap<MemberId, Vec<LinkId>>,
    carried: HashMap<AttemptKey, LinkId>,
    feed_at: Option<SocketAddr>,
    feed: Option<Feed>,
    feed_wait: f64,
    /// The last event before a gap for which the feed was asked again.
    feed_gap: Option<u64>,
    ready: VecDeque<Peer>,
    accepting: bool,
    next: u64,
    sockets: usize,
    terminating: Option<f64>,
    done: bool,
    peer_lines: u32,
    most_sockets: usize,
    longest_turn: f64,
}

impl Gateway {
    /// A gateway that listens, knows what its configuration told it, and begins to connect to the feed.
    pub fn new(handle: LoopHandle<'static, Gateway>, log: Logger, config: Config) -> io::Result<Self> {
        let now = clock::now();
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
            feed_at: config.feed,
            feed: None,
            feed_wait: limits::FEED_BACKOFF.0,
            feed_gap: None,
            ready: VecDeque::new(),
            accepting: true,
            next: 0,
            sockets: config.sockets,
            terminating: None,
            done: false,
            peer_lines: 0,
            most_sockets: 0,
            longest_turn: 0.0,
        };
        gateway.chores.set(now + HOUSEKEEPING, Chore::Housekeeping);
        gateway.chores.set(now + SUMMARY, Chore::Summary);
        gateway.chores.set(now, Chore::Feed);
        Ok(gateway)
    }

    /// Whether all is answered after the end was asked for.
    pub fn is_done(&self) -> bool {
        self.done
    }

    /// Whether there is something to do without news from the kernel.
    pub fn is_busy(&self) -> bool {
        !self.ready.is_empty() || self.accepting
    }

    /// Begins to end: what still comes is served, then the process ends by itself.
    pub fn terminate(&mut self, now: f64) {
        if self.terminating.is_some() {
            return;
        }
        info!(self.log, "told to end"; "open" => self.router.owed(), "clients" => self.clients.len());
        self.terminating = Some(now);
        self.chores.set(now + limits::STRAGGLERS, Chore::Stragglers);
        let longest = self.router.conf().settings.classes.iter().map(|c| c.deadline).fold(0.0, f64::max);
        let last = longest.min(limits::LONGEST_COUNTED) + limits::STRAGGLERS - limits::LAST_CALL;
        self.chores.set(now + last, Chore::LastCall);
    }

    /// One turn after news from the kernel: what is due, then each connection that has something, in turn.
    pub fn turn(&mut self) -> calloop::Result<()> {
        let start = clock::now();
        self.due(start);
        if self.accepting {
            self.accept(clock::now());
        }
        for _ in 0..BATCH.min(self.ready.len()) {
            let Some(peer) = self.ready.pop_front() else { break };
            let now = clock::now();
            match peer {
                Peer::Client(id) => self.serve_client(now, id),
                Peer::Link(id) => self.serve_link(now, id),
                Peer::Feed => self.serve_feed(now),
            }
            self.pump(now);
            self.due(now);
        }
        if self.terminating.is_some() && self.listener.is_none() && self.router.owed() == 0 {
            self.finish(clock::now());
        }
        self.most_sockets = self.most_sockets.max(self.clients.len() + self.links.len());
        self.longest_turn = self.longest_turn.max(clock::now() - start);
        let next =
            [self.router.next_due(), self.chores.next()].into_iter().flatten().fold(f64::MAX, f64::min);
        self.alarm.set(&self.handle, next)
    }

    /// All is answered: closes the clients' connections once that is written, and then the process ends.
    fn finish(&mut self, now: f64) {
        for id in self.clients.keys().copied().collect::<Vec<_>>() {
            if let Some(client) = self.clients.get_mut(&id).filter(|c| !c.is_closing()) {
                client.begin_close();
                self.chores.set(now + limits::LINGER, Chore::Linger(id));
                self.flush_client(now, id);
            }
        }
        self.done = self.clients.is_empty();
    }

    fn due(&mut self, now: f64) {
        self.router.tick(now);
        while let Some((_, chore)) = self.chores.due(now) {
            match chore {
                Chore::Housekeeping => {
                    self.housekeeping(now);
                    self.chores.set(now + HOUSEKEEPING, Chore::Housekeeping);
                }
                Chore::Summary => {
                    self.summary("summary");
                    self.peer_lines = 0;
                    self.chores.set(now + SUMMARY, Chore::Summary);
                }
                Chore::Connect(id) if self.links.get(&id).is_some_and(|h| h.connecting) => {
                    self.end_link(now, id, "connect time-out");
                }
                Chore::Connect(_) => {}
                Chore::Feed => self.connect_feed(now),
                Chore::Accept => self.accepting = true,
                Chore::Stragglers => {
                    if let Some(listener) = self.listener.take() {
                        self.accept_from(now, &listener);
                        listener.close(&self.handle);
                    }
                }
                Chore::Unsent(key) => self.take_back(now, key),
                Chore::Linger(id) => self.end_client(now, id),
                Chore::LastCall => self.router.end_all(now),
            }
        }
        self.pump(now);
    }

    /// Carries out what the router wants done.
    fn pump(&mut self, now: f64) {
        while let Some(effect) = self.router.effect() {
            match effect {
                Effect::Ask { key, member, place, call, orders } => {
                    self.send(now, key, member, place, call.name.clone(), back::ask(&call, &orders));
                }
                Effect::Probe { key, member, place } => {
                    let tag = format!("p{:x}", key & 0xffff_ffff);
                    let parts = [back::probe(&tag), bytes::Bytes::new(), bytes::Bytes::new()];
                    self.send(now, key, member, place, tag.into(), parts);
                }
                Effect::Withdraw { key, .. } => self.withdraw(now, key),
                Effect::Answer { client, id, answer } => self.answer(now, client, id, &answer),
                Effect::Close(member) => self.close_idle(member),
                Effect::Log(text) => self.line(&text),
            }
        }
    }

    // ---- Clients -------------------------------------------------------------------------------------------

    fn accept(&mut self, now: f64) {
        self.accepting = false;
        if let Some(listener) = self.listener.take() {
            self.accept_from(now, &listener);
            self.listener = Some(listener);
        }
    }

    fn accept_from(&mut self, now: f64, listener: &Listener) {
        for _ in 0..BATCH {
            if self.clients.len() >= self.sockets / limits::CLIENT_SHARE && !self.close_idle_client() {
                // Those that wait stay in the kernel's queue until a place is free.
                return self.chores.set(now + ACCEPT_AGAIN, Chore::Accept);
            }
            let socket = match listener.accept() {
                Accepted::One(socket) => socket,
                Accepted::None => return,
                Accepted::Exhausted => {
                    self.line("no descriptor is left for a client");
                    self.close_idle_client();
                    return self.chores.set(now + ACCEPT_AGAIN, Chore::Accept);
                }
            };
            self.next += 1;
            let id = self.next;
            let ready = move |g: &mut Gateway, news| g.client_news(id, news);
            match Stream::accepted(&self.handle, socket, ready) {
                Ok(stream) => {
                    self.clients.insert(id, Client::new(stream, now));
                }
                Err(e) => self.line(&format!("a client's connection could not be taken: {e}")),
            }
        }
        self.accepting = true;
    }

    /// Makes room for a new client: the one idle for longest is closed.
    fn close_idle_client(&mut self) -> bool {
        let idle = self.clients.iter().filter(|(_, c)| c.is_idle());
        let oldest = idle.min_by(|a, b| a.1.idle_since().total_cmp(&b.1.idle_since())).map(|(id, _)| *id);
        if let Some(client) = oldest.and_then(|id| self.clients.remove(&id)) {
            client.stream.close(&self.handle);
        }
        oldest.is_some()
    }

    fn client_news(&mut self, id: ClientId, news: Readiness) {
        if let Some(client) = self.clients.get_mut(&id) {
            client.stream.note(news);
            Self::queue(&mut self.ready, Peer::Client(id));
        }
    }

    fn queue(ready: &mut VecDeque<Peer>, peer: Peer) {
        if !ready.contains(&peer) {
            ready.push_back(peer);
        }
    }

    fn serve_client(&mut self, now: f64, id: ClientId) {
        self.flush_client(now, id);
        let Some(client) = self.clients.get_mut(&id) else { return };
        let progress = if client.wants_reading() { client.read(now) } else { Progress::Drained };
        loop {
            let Some(client) = self.clients.get_mut(&id) else { return };
            match client.take_message() {
                Ok(None) => break,
                Ok(Some(message)) => self.client_message(clock::now(), id, message),
                Err(broken) => {
                    // What can still be answered is, then the connection closes.
                    if let Some(request) = broken.id {
                        client.answer(request, &Answer::Unusable(broken.why), false);
                    }
                    client.begin_close();
                    self.chores.set(now + limits::LINGER, Chore::Linger(id));
                    self.router.counters.unusable += 1;
                    self.router.client_gone(now, id);
                    self.line(&format!("a client's connection closes: {}", broken.why));
                    self.flush_client(now, id);
                }
            }
            self.pump(now);
        }
        match progress {
            Progress::More => Self::queue(&mut self.ready, Peer::Client(id)),
            Progress::Ended => self.end_client(now, id),
            Progress::Drained => {}
        }
    }

    fn client_message(&mut self, now: f64, id: ClientId, message: Message) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        match message {
            Message::Call(request, call) => {
                if self.router.is_open(id, request) {
                    // Two open requests of one id: no answer could be told from the other's.
                    self.router.counters.unusable += 1;
                    self.line("a client's connection closes: two open requests of one id");
                    return self.end_client(now, id);
                }
                if client.admit() {
                    return self.router.request(now, id, request, *call);
                }
                self.router.counters.refused += 1;
                client.answer(request, &Answer::Refused(0.0), false);
            }
            Message::Ping(request) => client.push(front::ready(request, self.terminating.is_none())),
            Message::Abort(requests) => {
                for request in requests {
                    if self.router.is_open(id, request) {
                        client.release();
                        self.router.abort(now, id, request);
                    }
                }
                return;
            }
            Message::Unusable(request, why) => {
                self.router.counters.unusable += 1;
                client.answer(request, &Answer::Unusable(why), false);
            }
            Message::Ignored => return,
        }
        self.flush_client(now, id);
    }

    fn answer(&mut self, now: f64, id: ClientId, request: u32, answer: &Answer) {
        if let Some(client) = self.clients.get_mut(&id) {
            client.answer(request, answer, true);
            self.flush_client(now, id);
        }
    }

    fn flush_client(&mut self, now: f64, id: ClientId) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        let before = client.stream.queued();
        let broken = client.flush(now).is_err();
        let left = client.stream.queued();
        if broken {
            self.end_client(now, id);
        } else if before >= limits::CLIENT_OUTGOING && left < limits::CLIENT_OUTGOING {
            Self::queue(&mut self.ready, Peer::Client(id));
        }
    }

    fn end_client(&mut self, now: f64, id: ClientId) {
        if let Some(client) = self.clients.remove(&id) {
            client.stream.close(&self.handle);
            self.router.client_gone(now, id);
        }
    }

    // ---- Members -------------------------------------------------------------------------------------------

    fn send(
        &mut self,
        now: f64,
        key: AttemptKey,
        member: MemberId,
        place: Place,
        name: Box<str>,
        parts: [bytes::Bytes; 3],
    ) {
        let Some(id) = self.link_for(now, member, place, &name) else {
            return self.router.broke(now, key, Broke::NeverSent);
        };
        if let Some(held) = self.links.get_mut(&id) {
            held.link.ask(key, name, parts, now);
            self.carried.insert(key, id);
        }
        self.flush_link(now, id);
        if self.links.get(&id).is_some_and(|h| !h.link.is_written(key)) {
            self.chores.set(now + self.router.conf().limits.connect, Chore::Unsent(key));
        }
    }

    /// An attempt that could not begin to be written for as long as a connection may take never will be: what
    /// was decided with it, on drains, purges and cold members, holds no more.
    fn take_back(&mut self, now: f64, key: AttemptKey) {
        let held = self.carried.get(&key).and_then(|id| self.links.get_mut(id));
        if held.is_some_and(|h| h.link.take_back(key)) {
            self.carried.remove(&key);
            self.router.broke(now, key, Broke::NeverSent);
        }
    }

    /// A connection that can take an attempt of that name, made if there is none.
    fn link_for(&mut self, now: f64, member: MemberId, place: Place, name: &str) -> Option<LinkId> {
        let (idle, streams) = (self.router.conf().limits.idle, self.router.conf().limits.streams);
        let mut found = None;
        for id in self.pools.get(&member).cloned().unwrap_or_default() {
            let Some(held) = self.links.get_mut(&id) else { continue };
            // A new process, or another address: the old connections carry nothing new. Nor does one that the
            // member is about to close for being idle.
            let old = idle > 0.0 && now - held.link.idle_since() > idle - limits::IDLE_MARGIN;
            held.link.retired |= held.place != place || old && held.link.load() == 0;
            if held.link.retired && held.link.load() == 0 {
                self.drop_link(id);
            } else if held.link.load() < streams
                && held.link.stream.queued() < limits::MEMBER_OUTGOING
                && held.link.takes(name)
            {
                found = found.or(Some(id));
            }
        }
        found.or_else(|| self.connect(now, member, place))
    }

    fn connect(&mut self, now: f64, member: MemberId, place: Place) -> Option<LinkId> {
        let most = self.sockets.saturating_sub(self.sockets / limits::CLIENT_SHARE + limits::RESERVE);
        if self.links.len() >= most {
            let idle = self.links.iter().filter(|(_, h)| h.link.load() == 0).map(|(id, _)| *id).next();
            self.drop_link(idle?);
        }
        self.next += 1;
        let id = self.next;
        let ready = move |g: &mut Gateway, news| g.link_news(id, news);
        let mut made = Stream::connect(&self.handle, place.address, ready);
        if made.as_ref().is_err_and(is_exhausted) && self.close_idle_client() {
            // The lack is ours; an idle client's descriptor is worth less than a request.
            made = Stream::connect(&self.handle, place.address, ready);
        }
        let stream = match made {
            Ok(stream) => stream,
            Err(e) => {
                self.line(&format!("member {}: {e}", self.router.member_name(member)));
                return None;
            }
        };
        self.links.insert(id, Held { link: Link::new(stream, now), member, place, connecting: true });
        self.pools.entry(member).or_default().push(id);
        self.chores.set(now + self.router.conf().limits.connect, Chore::Connect(id));
        Some(id)
    }

    fn link_news(&mut self, id: LinkId, news: Readiness) {
        if let Some(held) = self.links.get_mut(&id) {
            held.link.stream.note(news);
            Self::queue(&mut self.ready, Peer::Link(id));
        }
    }

    fn serve_link(&mut self, now: f64, id: LinkId) {
        let Some(held) = self.links.get_mut(&id) else { return };
        if held.connecting {
            match held.link.stream.is_connecting() {
                Ok(still) => held.connecting = still,
                Err(e) => return self.end_link(now, id, &format!("not connected: {e}")),
            }
        }
        self.flush_link(now, id);
        // At the bound nothing more is read: what came would only wait here for its clients.
        let full = self.outgoing() > limits::OUTGOING;
        let Some(held) = self.links.get_mut(&id) else { return };
        let readable = held.link.stream.is_readable() && !full;
        let progress = if readable { held.link.read(now) } else { Progress::Drained };
        loop {
            let Some(held) = self.links.get_mut(&id) else { return };
            match held.link.take_reply(now) {
                Ok(None) => break,
                Ok(Some((Some(key), reply))) => {
                    self.carried.remove(&key);
                    self.router.reply(clock::now(), key, reply);
                }
                Ok(Some((None, _))) => {}
                Err(why) => return self.end_link(now, id, why),
            }
            self.pump(now);
        }
        match progress {
            Progress::More => Self::queue(&mut self.ready, Peer::Link(id)),
            Progress::Ended => self.end_link(now, id, "closed"),
            Progress::Drained => {}
        }
        if self.links.get(&id).is_some_and(|h| h.link.retired && h.link.load() == 0) {
            self.drop_link(id);
        }
    }

    /// Bytes that wait for clients.
    fn outgoing(&self) -> usize {
        self.clients.values().map(|c| c.stream.queued()).sum()
    }

    fn flush_link(&mut self, now: f64, id: LinkId) {
        let Some(held) = self.links.get_mut(&id) else { return };
        if let Err(e) = held.link.flush(now) {
            self.end_link(now, id, &format!("broke: {e}"));
        }
    }

    fn withdraw(&mut self, now: f64, key: AttemptKey) {
        let patience = self.router.conf().limits.connect;
        let id = self.carried.remove(&key);
        let held = id.and_then(|id| self.links.get_mut(&id));
        let sent = held.and_then(|h| h.link.withdraw(key, now, patience));
        if let Some(id) = id {
            self.flush_link(now, id);
        }
        self.router.withdrawn(now, key, sent.unwrap_or(true));
    }

    /// A connection has ended: what was out on it ends as it was sent.
    fn end_link(&mut self, now: f64, id: LinkId, why: &str) {
        let Some(held) = self.links.get_mut(&id) else { return };
        let lost = held.link.lost();
        let name = self.router.member_name(held.member).to_string();
        if !lost.is_empty() {
            self.line(&format!("member {name}: connection {why}, {} attempts out", lost.len()));
        }
        self.drop_link(id);
        for (key, written) in lost {
            self.carried.remove(&key);
            self.router.broke(now, key, if written { Broke::Reset } else { Broke::NeverSent });
        }
    }

    /// Closes a connection on which nothing is out.
    fn drop_link(&mut self, id: LinkId) {
        if let Some(held) = self.links.remove(&id) {
            if let Some(pool) = self.pools.get_mut(&held.member) {
                pool.retain(|other| *other != id);
            }
            held.link.stream.close(&self.handle);
        }
    }

    fn close_idle(&mut self, member: MemberId) {
        for id in self.pools.get(&member).cloned().unwrap_or_default() {
            if self.links.get(&id).is_some_and(|h| h.link.load() == 0) {
                self.drop_link(id);
            }
        }
    }

    // ---- The feed ------------------------------------------------------------------------------------------

    fn connect_feed(&mut self, now: f64) {
        let Some(at) = self.feed_at.filter(|_| self.feed.is_none()) else { return };
        match Stream::connect(&self.handle, at, |g: &mut Gateway, news| g.feed_news(news)) {
            Ok(stream) => self.feed = Some(Feed::new(stream, self.router.last_event(), now)),
            Err(e) => self.lose_feed(now, &e.to_string()),
        }
    }

    fn feed_news(&mut self, news: Readiness) {
        if let Some(feed) = &mut self.feed {
            feed.stream.note(news);
            Self::queue(&mut self.ready, Peer::Feed);
        }
    }

    fn serve_feed(&mut self, now: f64) {
        let Some(feed) = &mut self.feed else { return };
        match feed.stream.is_connecting() {
            Ok(true) => return,
            Ok(false) => {}
            Err(e) => return self.lose_feed(now, &e.to_string()),
        }
        if feed.flush().is_err() {
            return self.lose_feed(now, "broke");
        }
        let progress = if feed.stream.is_readable() { feed.read() } else { Progress::Drained };
        loop {
            let Some(feed) = &mut self.feed else { return };
            match feed.take_line(now) {
                Ok(None) => break,
                Ok(Some(Ok(Line::Last(last)))) => {
                    if last > self.router.last_event() && !self.gap_is_final() {
                        return self.lose_feed(now, "events are missing");
                    }
                    self.feed_wait = limits::FEED_BACKOFF.0;
                }
                Ok(Some(Ok(Line::Event(number, news)))) => {
                    let gaps = self.feed_gap == Some(self.router.last_event());
                    if !self.router.feed(now, number, news, gaps) && !self.gap_is_final() {
                        return self.lose_feed(now, "events are missing");
                    }
                    self.feed_wait = limits::FEED_BACKOFF.0;
                    self.pump(now);
                }
                Ok(Some(Err(why))) => self.line(&format!("a line of the feed was dropped: {why}")),
                Err(why) => return self.lose_feed(now, why),
            }
        }
        match progress {
            Progress::More => Self::queue(&mut self.ready, Peer::Feed),
            Progress::Ended => self.lose_feed(now, "closed"),
            Progress::Drained => {}
        }
    }

    /// Whether the feed was asked again already for what follows the last event; if not, it will be.
    fn gap_is_final(&mut self) -> bool {
        let last = Some(self.router.last_event());
        std::mem::replace(&mut self.feed_gap, last) == last
    }

    /// The feed's connection is of no more use: a new one is made after a while that grows.
    fn lose_feed(&mut self, now: f64, why: &str) {
        if let Some(feed) = self.feed.take() {
            feed.stream.close(&self.handle);
        }
        self.line(&format!("control feed: {why}"));
        self.chores.set(now + self.feed_wait, Chore::Feed);
        self.feed_wait = (self.feed_wait * 2.0).min(limits::FEED_BACKOFF.1);
    }

    // ---- Chores --------------------------------------------------------------------------------------------

    fn housekeeping(&mut self, now: f64) {
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
        };
        let stale: Vec<ClientId> = self.clients.iter().filter(|(_, c)| stale(c)).map(|(id, _)| *id).collect();
        for id in stale {
            debug!(self.log, "closing a client's connection that is stalled or idle"; "client" => id);
            self.end_client(now, id);
        }
        // What was not read at the bound is read again.
        if self.outgoing() <= limits::OUTGOING {
            let waiting = self.links.iter().filter(|(_, h)| h.link.stream.is_readable()).map(|(id, _)| *id);
            for id in waiting.collect::<Vec<_>>() {
                Self::queue(&mut self.ready, Peer::Link(id));
            }
        } else {
            self.evict(now);
        }
    }

    /// At the bound on bytes that wait for clients, the one that leaves most unread is closed.
    fn evict(&mut self, now: f64) {
        let worst = self.clients.iter().max_by_key(|(_, c)| c.stream.queued()).map(|(id, _)| *id);
        if let Some(id) = worst {
            self.line("closing the client's connection that leaves most unread");
            self.end_client(now, id);
        }
    }

    /// A line about a single peer, of which only so many are written in an interval.
    fn line(&mut self, text: &str) {
        self.peer_lines += 1;
        if self.peer_lines <= PEER_LINES {
            warn!(self.log, "peer"; "what" => text.to_string());
        }
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
            "feed" => self.feed.is_some(), "event" => self.router.last_event(),
            "cpu_ms" => usage.cpu, "memory_kb" => usage.memory, "descriptors" => usage.descriptors,
            "broken" => c.broken, "overdue" => c.overdue, "timer_late_ms" => format!("{:.1}", c.late),
            "longest_turn_ms" => format!("{:.1}", self.longest_turn));
    }
}
