//! Links to gateways of other sites: their connections, requests that cross either way, purges told and heard.

use crate::program::gateway::{Chore, FAR, Gateway, Peer};
use crate::protocol::back::Copy;
use crate::protocol::front::{Answer, Call};
use crate::protocol::{limits, link};
use crate::routing::router::ClientId;
use crate::transport::line::Line;
use crate::transport::listener::{Accepted, Listener};
use crate::transport::stream::{Ledger, Progress, Stream};
use bytes::Bytes;
use calloop::{LoopHandle, Readiness};
use deckproxy_control::interface;
use deckproxy_operator::Operator;
use deckproxy_sites::far::{Ended, Run};
use deckproxy_sites::frame::{Ask, Word};
use deckproxy_sites::near::{Repeat, Reply, Token, Want};
use deckproxy_sites::purges::News;
use deckproxy_sites::site::{self, Effect, Place, Site};
use slog::{info, warn};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::io;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::rc::Rc;

pub(super) type LineId = u64;

/// Pieces of bodies put on one connection before others have their turn.
const PIECES: usize = 32;

struct Held {
    line: Line,
    /// Where it leads, and that it is being made.
    connecting: Option<(usize, usize)>,
}

/// Who waits for the answer to a crossing.
#[derive(Clone, Copy, Debug)]
enum Owner {
    Client(ClientId, u32),
    /// A request that came over a link and goes on over another.
    Run(Run),
}

/// The links of one gateway.
pub struct Sites {
    pub(super) site: Site,
    listener: Option<Listener>,
    pub(super) accepting: bool,
    lines: HashMap<LineId, Held>,
    /// Addresses of the peers' gateways, by place.
    addresses: Vec<Vec<SocketAddr>>,
    /// The peers in force, by name, with the place that each has.
    peers: BTreeMap<String, (usize, deckproxy_operator::Peer)>,
    owners: HashMap<Token, Owner>,
    tokens: BTreeMap<(ClientId, u32), Token>,
    /// Requests from links that went on over other links.
    forwarded: HashMap<Run, Token>,
    next: Token,
    /// Connections with something to write.
    touched: BTreeSet<LineId>,
    ticked: f64,
    ledger: Rc<Ledger>,
    /// Connections that may be held, both ways.
    pub(super) most_lines: usize,
}

fn addresses(peer: &deckproxy_operator::Peer) -> Vec<SocketAddr> {
    peer.addresses.iter().filter_map(|a| a.parse().ok()).collect()
}

fn set_up(peer: &deckproxy_operator::Peer) -> site::Peer {
    site::Peer {
        site: peer.site.clone(),
        ways: peer.addresses.len(),
        connections: peer.connections.unwrap_or(deckproxy_operator::defaults::CONNECTIONS) as usize,
    }
}

impl Sites {
    /// Starts what the operator file asks for; none where it asks for nothing.
    pub(super) fn start(
        handle: &LoopHandle<'static, Gateway>,
        now: f64,
        seed: u64,
        sockets: usize,
        operator: &Operator,
    ) -> io::Result<Option<Box<Self>>> {
        let Some(sites) = &operator.sites else { return Ok(None) };
        let listener = sites.listen.as_deref().and_then(|at| at.parse::<SocketAddr>().ok());
        let ready = |g: &mut Gateway| {
            if let Some(sites) = &mut g.sites {
                sites.accepting = true;
            }
        };
        let named = |at, e| io::Error::new(io::Error::kind(&e), format!("links' address {at}: {e}"));
        let listener = listener.map(|at| Listener::bind(handle, at, ready).map_err(|e| named(at, e)));
        let setup = site::Setup {
            own: sites.name.clone(),
            peers: sites.peers.iter().map(set_up).collect(),
            rules: sites.rules(),
            hops: sites.hops(),
            link: sites.link_limits(),
            trust: sites.trust_limits(),
        };
        // The seed is new with each start; the time keeps two that got the same one apart.
        let epoch = seed ^ (now * 1000.0) as u64;
        Ok(Some(Box::new(Sites {
            site: Site::new(setup, epoch, now),
            listener: listener.transpose()?,
            accepting: true,
            lines: HashMap::new(),
            addresses: sites.peers.iter().map(addresses).collect(),
            peers: sites.peers.iter().enumerate().map(|(i, p)| (p.site.clone(), (i, p.clone()))).collect(),
            owners: HashMap::new(),
            tokens: BTreeMap::new(),
            forwarded: HashMap::new(),
            next: 0,
            touched: BTreeSet::new(),
            ticked: now,
            ledger: Rc::default(),
            most_lines: (sockets / limits::LINK_SHARE).max(1),
        })))
    }

    /// Bytes that the links' connections hold.
    pub(super) fn holds(&self) -> usize {
        self.ledger.input.get() + self.ledger.output.get() + self.site.far().sizes()[3]
    }

    fn token(&mut self, owner: Owner) -> Token {
        self.next += 1;
        self.owners.insert(self.next, owner);
        self.next
    }
}

/// A class's place among all by worth, from 0 to 1.
fn rank(classes: &[interface::Class], class: usize) -> f64 {
    let worth = classes[class].worth;
    let below = classes.iter().filter(|c| c.worth < worth).count();
    let above = classes.iter().filter(|c| c.worth > worth).count();
    if below + above == 0 { 0.5 } else { below as f64 / (below + above) as f64 }
}

/// Whether a client's request of that id is on a link.
pub(super) fn crosses(sites: &Option<Box<Sites>>, client: ClientId, id: u32) -> bool {
    sites.as_ref().is_some_and(|s| s.tokens.contains_key(&(client, id)))
}

impl Gateway {
    // ---- Requests ------------------------------------------------------------------------------------------

    /// What crossing a request takes; the error tells why it can't be used.
    fn want(&self, now: f64, call: &Call, path: Vec<String>) -> Result<Want, &'static str> {
        let class = self.router.usable(call)?;
        let settings = &self.router.conf().settings;
        let kind = &settings.classes[class];
        let safe = kind.effect == interface::Effect::Safe;
        Ok(Want {
            object: call.object.1,
            expires: now + call.allow.min(kind.deadline),
            repeat: if safe { Repeat::Safe } else { Repeat::Never },
            joins: settings.joins && safe && !kind.write && !kind.stream,
            rank: rank(&settings.classes, class),
            ask: link::ask(call, path),
        })
    }

    /// Sends a client's request over a link, where it is for another site; else gives it back.
    pub(super) fn cross(&mut self, now: f64, client: ClientId, id: u32, call: Call) -> Option<Call> {
        let Some(sites) = &mut self.sites else { return Some(call) };
        let place = sites.site.place(now, &call.class, call.group, call.object.1, &[]);
        let Place::Over(to) = place else { return Some(call) };
        let own = vec![sites.site.setup().own.clone()];
        match self.want(now, &call, own) {
            Err(why) => {
                self.router.counters.unusable += 1;
                self.answer(now, client, id, &Answer::Unusable(why));
            }
            Ok(want) => {
                if let Some(sites) = &mut self.sites {
                    let token = sites.token(Owner::Client(client, id));
                    sites.tokens.insert((client, id), token);
                    if let Some(flows) = &mut self.flows {
                        flows.crosses(client, id, &to);
                    }
                    self.router.counters.taken += 1;
                    sites.site.request(now, token, &to, want);
                }
            }
        }
        None
    }

    /// A client has given up requests of these ids, or its connection has ended.
    pub(super) fn cross_gone(&mut self, now: f64, client: ClientId, ids: RangeInclusive<u32>) {
        let Some(sites) = &mut self.sites else { return };
        let keys = (client, *ids.start())..=(client, *ids.end());
        let gone: Vec<_> = sites.tokens.range(keys).map(|(key, token)| (*key, *token)).collect();
        for (key, token) in gone {
            sites.tokens.remove(&key);
            sites.owners.remove(&token);
            sites.site.cancel(now, token);
            self.router.counters.gone += 1;
        }
    }

    /// A request came over a link.
    fn run(&mut self, now: f64, run: Run, ask: Ask) {
        let full = self.is_full() || self.last_accepts;
        let path = ask.path.clone();
        if let Some(flows) = &mut self.flows {
            flows.run_began(now, run, &ask.class, path.last().map(String::as_str));
        }
        let Some(sites) = &mut self.sites else { return };
        let call = match link::call(ask) {
            Ok(call) if !full => call,
            Ok(_) => return self.run_ended(now, run, Answer::Refused(0.0), None),
            Err(why) => return self.run_ended(now, run, Answer::Unusable(why), None),
        };
        match sites.site.place(now, &call.class, call.group, call.object.1, &path) {
            Place::Here => self.router.request(now, FAR + run, 0, call),
            Place::Nowhere(why) => {
                self.line(&format!("a request over a link is turned away: {why}"));
                self.run_ended(now, run, Answer::Unusable(why), None);
            }
            Place::Over(to) => {
                let path = path.into_iter().chain([sites.site.setup().own.clone()]).collect();
                match self.want(now, &call, path) {
                    Err(why) => self.run_ended(now, run, Answer::Unusable(why), None),
                    Ok(want) => {
                        if let Some(sites) = &mut self.sites {
                            let token = sites.token(Owner::Run(run));
                            sites.forwarded.insert(run, token);
                            sites.site.request(now, token, &to, want);
                        }
                    }
                }
            }
        }
    }

    /// A request that came over a link has its answer.
    pub(super) fn run_ended(&mut self, now: f64, run: Run, answer: Answer, copy: Option<Copy>) {
        if let Some(flows) = &mut self.flows {
            flows.run_ended(now, run, &answer);
        }
        let Some(sites) = &mut self.sites else { return };
        let (word, cooldown, body) = match answer {
            Answer::Served(body) => (Word::Served, 0.0, body),
            Answer::Unchanged => (Word::Unchanged, 0.0, Bytes::new()),
            Answer::Refused(cooldown) => (Word::Refused, cooldown, Bytes::new()),
            Answer::Failed => (Word::Failed, 0.0, Bytes::new()),
            Answer::Unusable(_) => (Word::Unusable, 0.0, Bytes::new()),
        };
        let issued = copy.as_ref().and_then(|c| c.issued);
        let tag = copy.map_or(String::new(), |c| c.tag.into());
        sites.site.ended(now, run, Ended { word, cooldown, body, issued, tag });
    }

    /// A request that crossed has its final answer.
    fn crossed(&mut self, now: f64, token: Token, reply: Reply) {
        let Some(sites) = &mut self.sites else { return };
        let most = self.router.conf().settings.max_retry_after;
        let advice = self.router.conf().settings.retry_after;
        let (answer, copy) = match reply {
            Reply::Served(body, issued, tag) => {
                (Answer::Served(body), Some(Copy { issued, tag: tag.into() }))
            }
            Reply::Unchanged(issued, tag) => (Answer::Unchanged, Some(Copy { issued, tag: tag.into() })),
            Reply::Refused(wait) if advice => (Answer::Refused(wait.min(most)), None),
            Reply::Refused(_) => (Answer::Refused(0.0), None),
            Reply::Failed => (Answer::Failed, None),
            Reply::Unusable => (Answer::Unusable("the other site can't use it"), None),
        };
        match sites.owners.remove(&token) {
            Some(Owner::Client(client, id)) => {
                sites.tokens.remove(&(client, id));
                self.router.counters.count(&answer);
                self.answer(now, client, id, &answer);
            }
            Some(Owner::Run(run)) => {
                sites.forwarded.remove(&run);
                self.run_ended(now, run, answer, copy);
            }
            None => {}
        }
    }

    /// The process is about to be killed: what still crosses has failed.
    pub(super) fn end_crossings(&mut self, now: f64) {
        let Some(sites) = &mut self.sites else { return };
        let all: Vec<Token> = sites.owners.keys().copied().collect();
        for token in all {
            if let Some(sites) = &mut self.sites {
                sites.site.cancel(now, token);
            }
            self.crossed(now, token, Reply::Failed);
        }
    }

    /// The feed told a purge.
    pub(super) fn tell_sites(&mut self, now: f64, object: Option<u64>, group: u32, age: f64) {
        if let Some(sites) = &mut self.sites {
            sites.site.told(now, News { object, group, age });
        }
    }

    // ---- Connections ---------------------------------------------------------------------------------------

    /// Accepts links that wait.
    pub(super) fn accept_lines(&mut self, now: f64) {
        loop {
            let Some(sites) = &mut self.sites else { return };
            sites.accepting = false;
            let Some(listener) = &sites.listener else { return };
            match listener.accept() {
                Accepted::None => return,
                Accepted::Exhausted => return self.line("no descriptor is left for a link"),
                Accepted::One(socket) => {
                    if sites.lines.len() >= sites.most_lines {
                        self.line("a link is turned away: too many connections");
                        continue;
                    }
                    // Little stands in the kernel before what is more urgent. Fails only where the socket is gone.
                    let _ = socket2::SockRef::from(&socket).set_send_buffer_size(limits::LINK_SENDING);
                    self.next += 1;
                    let id = self.next;
                    let ready = move |g: &mut Gateway, news| g.line_news(id, news);
                    match Stream::accepted(&self.handle, &sites.ledger, socket, ready) {
                        Ok(stream) => {
                            sites.lines.insert(id, Held { line: Line::new(stream), connecting: None });
                            sites.site.accepted(now, id);
                        }
                        Err(e) => self.line(&format!("a link could not be taken: {e}")),
                    }
                }
            }
        }
    }

    fn connect_line(&mut self, now: f64, peer: usize, way: usize) {
        let patience = self.router.conf().limits.connect;
        self.next += 1;
        let id = self.next;
        let Some(sites) = &mut self.sites else { return };
        let at = sites.addresses.get(peer).and_then(|all| all.get(way)).copied();
        let ready = move |g: &mut Gateway, news| g.line_news(id, news);
        let made = at.filter(|_| sites.lines.len() < sites.most_lines);
        let made = made.map(|at| Stream::connect(&self.handle, &sites.ledger, at, ready));
        match made {
            Some(Ok(stream)) => {
                let held = Held { line: Line::new(stream), connecting: Some((peer, way)) };
                sites.lines.insert(id, held);
                self.chores.set(now + patience, Chore::LineUp(id));
            }
            Some(Err(e)) => {
                sites.site.not_connected(now, peer, way);
                self.line(&format!("link: {e}"));
            }
            None => sites.site.not_connected(now, peer, way),
        }
    }

    /// A connection that should be up by now: given up if it is not.
    pub(super) fn line_not_up(&mut self, now: f64, id: LineId) {
        let held = self.sites.as_ref().and_then(|s| s.lines.get(&id));
        if held.is_some_and(|h| h.connecting.is_some()) {
            self.end_line(now, id);
        }
    }

    fn line_news(&mut self, id: LineId, news: Readiness) {
        if let Some(held) = self.sites.as_mut().and_then(|s| s.lines.get_mut(&id)) {
            held.line.stream.note(news);
            Self::queue(&mut self.ready, Peer::Line(id));
        }
    }

    pub(super) fn serve_line(&mut self, now: f64, id: LineId) {
        let Some(sites) = &mut self.sites else { return };
        let Some(held) = sites.lines.get_mut(&id) else { return };
        if let Some((peer, way)) = held.connecting {
            match held.line.stream.is_connecting() {
                Ok(true) => return,
                Ok(false) => {
                    held.connecting = None;
                    sites.site.connected(now, peer, way, id);
                }
                Err(_) => return self.end_line(now, id),
            }
        }
        sites.touched.insert(id);
        let before = held.line.stream.input.len();
        let readable = held.line.stream.is_readable();
        let progress = if readable { held.line.read() } else { Progress::Drained };
        let came = held.line.stream.input.len() - before;
        if came > 0 {
            if let Some(flows) = &mut self.flows {
                flows.link_passed(now, sites.site.site_of(id), came, 0);
            }
            sites.site.alive(now, id);
        }
        loop {
            let Some(sites) = &mut self.sites else { return };
            let Some(held) = sites.lines.get_mut(&id) else { return };
            match held.line.take_frame() {
                Ok(None) => break,
                Ok(Some(frame)) => sites.site.frame(now, now, id, frame),
                Err(why) => {
                    self.line(&format!("a link closes: {why}"));
                    return self.end_line(now, id);
                }
            }
            self.pump(now);
        }
        match progress {
            Progress::More => Self::queue(&mut self.ready, Peer::Line(id)),
            Progress::Ended => self.end_line(now, id),
            Progress::Drained => {}
        }
    }

    /// Writes what waits on a connection, and pieces of bodies as long as it takes them.
    fn flush_line(&mut self, now: f64, id: LineId) {
        for _ in 0..PIECES {
            let Some(sites) = &mut self.sites else { return };
            let Some(held) = sites.lines.get_mut(&id) else { return };
            if held.connecting.is_some() {
                return;
            }
            let before = held.line.stream.queued();
            let broken = held.line.flush().is_err();
            if let Some(flows) = &mut self.flows {
                let went = before - held.line.stream.queued();
                flows.link_passed(now, sites.site.site_of(id), 0, went);
            }
            if broken || held.line.stream.queued() > limits::LINK_STUCK {
                return self.end_line(now, id);
            }
            if held.line.closing && held.line.stream.queued() == 0 {
                return self.end_line(now, id);
            }
            let piece = held.line.takes_pieces().then(|| sites.site.piece(id)).flatten();
            let Some(piece) = piece else { return };
            held.line.send(&piece);
        }
        // Others have their turn; what it still has to send goes on then.
        Self::queue(&mut self.ready, Peer::Line(id));
    }

    fn end_line(&mut self, now: f64, id: LineId) {
        let Some(sites) = &mut self.sites else { return };
        let Some(mut held) = sites.lines.remove(&id) else { return };
        sites.touched.remove(&id);
        let unsent = held.line.unsent();
        held.line.stream.close(&self.handle);
        match held.connecting {
            Some((peer, way)) => sites.site.not_connected(now, peer, way),
            None => sites.site.down(now, id, &unsent),
        }
    }

    /// Carries out what the links want done. Tells whether there was anything.
    pub(super) fn pump_sites(&mut self, now: f64) -> bool {
        let mut any = false;
        loop {
            let Some(sites) = &mut self.sites else { return any };
            if let Some(effect) = sites.site.effect() {
                any = true;
                match effect {
                    Effect::Connect(peer, way) => self.connect_line(now, peer, way),
                    Effect::Send(id, frame) => {
                        if let Some(held) = sites.lines.get_mut(&id).filter(|h| !h.line.closing) {
                            held.line.send(&frame);
                            sites.touched.insert(id);
                        }
                    }
                    Effect::Close(id, why) => {
                        if let Some(held) = sites.lines.get_mut(&id) {
                            held.line.closing = true;
                            sites.touched.insert(id);
                        }
                        self.line(&format!("a link closes: {why}"));
                    }
                    Effect::Reply(token, reply) => self.crossed(now, token, reply),
                    Effect::Run(run, ask) => self.run(now, run, ask),
                    Effect::Withdraw(run) => {
                        if let Some(flows) = &mut self.flows {
                            flows.run_withdrawn(now, run);
                        }
                        match sites.forwarded.remove(&run) {
                            Some(token) => {
                                sites.owners.remove(&token);
                                sites.site.cancel(now, token);
                            }
                            None => self.router.abort(now, FAR + run, 0),
                        }
                    }
                    Effect::Purged(news) => self.router.purged(now, news.object, news.group, news.age),
                    Effect::Bound(age) => {
                        for group in 0..limits::GROUPS {
                            self.router.purged(now, None, group, age);
                        }
                    }
                    Effect::Log(text) => info!(self.log, "sites"; "what" => text),
                }
            } else if let Some(id) = sites.touched.pop_first() {
                self.flush_line(now, id);
            } else {
                return any;
            }
        }
    }

    // ---- Time ----------------------------------------------------------------------------------------------

    /// When the links want a tick.
    pub(super) fn sites_due(&self) -> Option<f64> {
        let sites = self.sites.as_ref()?;
        let regular = sites.ticked + sites.site.setup().link.heartbeat;
        Some(sites.site.next_due().map_or(regular, |due| due.min(regular)))
    }

    pub(super) fn tick_sites(&mut self, now: f64) {
        if self.sites_due().is_some_and(|due| due <= now)
            && let Some(sites) = &mut self.sites
        {
            sites.ticked = now;
            sites.site.tick(now, now);
        }
    }

    /// Whether nothing is owed over links any more.
    pub(super) fn sites_settled(&self) -> bool {
        self.sites.as_ref().is_none_or(|s| {
            s.site.open() == 0
                && s.site.far().owed() == 0
                && s.lines.values().all(|h| h.line.stream.queued() == 0)
        })
    }

    /// Takes routes and peers from a new operator file.
    pub(super) fn reload_sites(&mut self, now: f64, operator: &Operator) {
        let (Some(sites), Some(new)) = (&mut self.sites, &operator.sites) else {
            if self.sites.is_some() != operator.sites.is_some() {
                warn!(self.log, "reload: switching sites on or off takes a restart");
            }
            return;
        };
        let link = (new.name != sites.site.setup().own) || new.link_limits() != sites.site.setup().link;
        if link || new.trust_limits() != sites.site.setup().trust {
            warn!(self.log, "reload: the site's name, link and trust take a restart");
        }
        let gone = sites
            .peers
            .iter()
            .filter(|(name, (_, old))| !new.peers.iter().any(|p| p.site == **name && p == old));
        for name in gone.map(|(name, _)| name.clone()).collect::<Vec<_>>() {
            if let Some((place, _)) = sites.peers.remove(&name) {
                sites.site.drop_peer(place);
            }
        }
        for peer in &new.peers {
            if !sites.peers.contains_key(&peer.site) {
                let place = sites.site.add_peer(now, set_up(peer));
                sites.addresses.push(addresses(peer));
                sites.peers.insert(peer.site.clone(), (place, peer.clone()));
            }
        }
        sites.site.reroute(new.rules());
        info!(self.log, "reload: routes and peers are taken"; "routes" => new.routes.len(), "peers" => new.peers.len());
    }

    /// The links' part of the summary.
    pub(super) fn sites_summary(&self) -> String {
        let Some(sites) = &self.sites else { return "off".to_string() };
        let site = &sites.site;
        let peers = sites.peers.iter().filter_map(|(name, (place, _))| site.near(*place).map(|n| (name, n)));
        let peers = peers.map(|(name, near)| {
            let (c, [crossings, _, lost], (up, all)) = (near.counters, near.sizes(), near.ways_up());
            format!(
                "{name}[ways:{up}/{all},open:{crossings},lost:{lost},taken:{},joined:{},attempts:{},repeats:{},\
                 parked:{},no_way:{},crowded:{},full:{},stale:{},cuts:{}]",
                c.taken, c.joined, c.attempts, c.repeats, c.parked, c.no_way, c.crowded, c.full, c.stale, c.cuts
            )
        });
        let [runs, sessions, lines, kept] = site.far().sizes();
        let far = format!(
            "far[runs:{runs},sessions:{sessions},lines:{lines},kept:{kept},doubled:{}]",
            site.far().doubled
        );
        let purges = format!(
            "purges[last:{},kept:{},gaps:{}]",
            site.purges().last(),
            site.purges().len(),
            site.purges().gaps
        );
        let [lease, missed, clock] = site.doubts;
        let doubts = format!("untrusted[lease:{lease},missed:{missed},clock:{clock},bounds:{}]", site.bounds);
        peers.chain([far, purges, doubts]).collect::<Vec<_>>().join(",")
    }
}
