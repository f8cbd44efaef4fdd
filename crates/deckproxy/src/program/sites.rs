//! Links to gateways of other sites: requests that cross either way, purges told and heard.

use crate::program::subsystem::{
    Context, Effect, Effects, Event, FAR, LineId, Note, Subsystem, Verdict, ended,
};
use crate::protocol::downstream::{Answer, Call};
use crate::protocol::upstream::Copy;
use crate::protocol::{limits, link};
use crate::routing::ClientId;
use bytes::Bytes;
use deckproxy_control::interface;
use deckproxy_flow::meter::Outcome;
use deckproxy_operator::Operator;
use deckproxy_sites::far::{Ended, Run};
use deckproxy_sites::frame::{Ask, Frame, Word};
use deckproxy_sites::near::{Repeat, Reply, Token, Want};
use deckproxy_sites::purges::News;
use deckproxy_sites::site::{self, Place, Site};
use slog::{Logger, info, warn};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

/// Who waits for the answer to a crossing.
#[derive(Clone, Copy, Debug)]
enum Owner {
    Client(ClientId, u32),
    /// A request that came over a link and goes on over another.
    Run(Run),
}

/// The links of one gateway.
pub struct Sites {
    log: Logger,
    site: Site,
    /// Addresses of the peers' gateways, by place.
    addresses: Vec<Vec<SocketAddr>>,
    /// The peers in force, by name, with the place that each has.
    peers: BTreeMap<String, (usize, deckproxy_operator::Peer)>,
    owners: HashMap<Token, Owner>,
    tokens: BTreeMap<(ClientId, u32), Token>,
    /// Requests from links that went on over other links.
    forwarded: HashMap<Run, Token>,
    next: Token,
    ticked: f64,
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

/// A class's place among all by worth, from 0 to 1.
fn rank(classes: &[interface::Class], class: usize) -> f64 {
    let worth = classes[class].priority_weight;
    let below = classes.iter().filter(|c| c.priority_weight < worth).count();
    let above = classes.iter().filter(|c| c.priority_weight > worth).count();
    if below + above == 0 { 0.5 } else { below as f64 / (below + above) as f64 }
}

/// What crossing a request takes; the error tells why it can't be used.
fn want(cx: &Context<'_>, call: &Call, path: Vec<String>) -> Result<Want, &'static str> {
    let class = cx.router.validate(call)?;
    let settings = &cx.router.conf().settings;
    let kind = &settings.classes[class];
    let safe = kind.idempotency == interface::Idempotency::Idempotent;
    Ok(Want {
        object: call.object.1,
        expires: cx.now + call.allow.min(kind.deadline),
        repeat: if safe { Repeat::Safe } else { Repeat::Never },
        joins: settings.join_fills && safe && !kind.write && !kind.stream,
        rank: rank(&settings.classes, class),
        ask: link::ask(call, path),
    })
}

fn outcome(answer: &Answer) -> Outcome {
    match answer {
        Answer::Served(_) | Answer::Unchanged => Outcome::Served,
        Answer::Refused(_) => Outcome::Refused,
        Answer::Failed => Outcome::Failed,
        Answer::Unusable(_) => Outcome::Unusable,
    }
}

impl Sites {
    /// Starts what the operator file asks for; none where it asks for nothing.
    pub(super) fn start(log: &Logger, now: f64, seed: u64, operator: &Operator) -> Option<Box<Self>> {
        let sites = operator.sites.as_ref()?;
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
        Some(Box::new(Sites {
            log: log.clone(),
            site: Site::new(setup, epoch, now),
            addresses: sites.peers.iter().map(addresses).collect(),
            peers: sites.peers.iter().enumerate().map(|(i, p)| (p.site.clone(), (i, p.clone()))).collect(),
            owners: HashMap::new(),
            tokens: BTreeMap::new(),
            forwarded: HashMap::new(),
            next: 0,
            ticked: now,
        }))
    }

    /// Whether a client's request of that id is on a link.
    pub(super) fn crosses(&self, client: ClientId, id: u32) -> bool {
        self.tokens.contains_key(&(client, id))
    }

    /// The site at the other end of a link, once that is known.
    pub(super) fn site_of(&self, line: LineId) -> Option<&str> {
        self.site.site_of(line)
    }

    /// The next piece of a body for a link that takes some.
    pub(super) fn piece(&mut self, line: LineId) -> Option<Frame> {
        self.site.piece(line)
    }

    fn token(&mut self, owner: Owner) -> Token {
        self.next += 1;
        self.owners.insert(self.next, owner);
        self.next
    }

    /// Requests that a client gave up.
    fn gone(&mut self, now: f64, client: ClientId, ids: std::ops::RangeInclusive<u32>, out: &mut Effects) {
        let keys = (client, *ids.start())..=(client, *ids.end());
        let gone: Vec<_> = self.tokens.range(keys).map(|(key, token)| (*key, *token)).collect();
        for (key, token) in gone {
            self.tokens.remove(&key);
            self.owners.remove(&token);
            self.site.cancel(now, token);
            out.push_back(Effect::Gone);
        }
    }

    /// A request came over a link.
    fn run(&mut self, cx: &Context<'_>, run: Run, ask: Ask, out: &mut Effects) {
        let path = ask.path.clone();
        let site = path.last().cloned();
        out.push_back(Effect::Noted(Note::RunBegan { run, class: ask.class.clone(), site }));
        let call = match link::call(ask) {
            Ok(call) if !cx.full => call,
            Ok(_) => return self.run_ended(cx, run, Answer::Refused(0.0), None, out),
            Err(why) => return self.run_ended(cx, run, Answer::Unusable(why), None, out),
        };
        match self.site.place(cx.now, &call.class, call.group, call.object.1, &path) {
            Place::Here => out.push_back(Effect::Route { client: FAR + run, call: Box::new(call) }),
            Place::Nowhere(why) => {
                out.push_back(Effect::Line(format!("a request over a link is turned away: {why}")));
                self.run_ended(cx, run, Answer::Unusable(why), None, out);
            }
            Place::Over(to) => {
                let path = path.into_iter().chain([self.site.setup().own.clone()]).collect();
                match want(cx, &call, path) {
                    Err(why) => self.run_ended(cx, run, Answer::Unusable(why), None, out),
                    Ok(want) => {
                        let token = self.token(Owner::Run(run));
                        self.forwarded.insert(run, token);
                        self.site.request(cx.now, token, &to, want);
                    }
                }
            }
        }
    }

    /// A request that came over a link has its answer.
    fn run_ended(
        &mut self,
        cx: &Context<'_>,
        run: Run,
        answer: Answer,
        copy: Option<Copy>,
        out: &mut Effects,
    ) {
        out.push_back(Effect::Noted(Note::RunEnded { run, outcome: outcome(&answer) }));
        let (word, cooldown, body) = match answer {
            Answer::Served(body) => (Word::Served, 0.0, body),
            Answer::Unchanged => (Word::Unchanged, 0.0, Bytes::new()),
            Answer::Refused(cooldown) => (Word::Refused, cooldown, Bytes::new()),
            Answer::Failed => (Word::Failed, 0.0, Bytes::new()),
            Answer::Unusable(_) => (Word::Unusable, 0.0, Bytes::new()),
        };
        let issued = copy.as_ref().and_then(|c| c.issued);
        let tag = copy.map_or(String::new(), |c| c.tag.into());
        self.site.ended(cx.now, run, Ended { word, cooldown, body, issued, tag });
    }

    /// A request that crossed has its final answer.
    fn crossed(&mut self, cx: &Context<'_>, token: Token, reply: Reply, out: &mut Effects) {
        let most = cx.router.conf().settings.max_retry_after;
        let advice = cx.router.conf().settings.retry_after;
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
        match self.owners.remove(&token) {
            Some(Owner::Client(client, id)) => {
                self.tokens.remove(&(client, id));
                out.push_back(Effect::Answer { client, id, answer });
            }
            Some(Owner::Run(run)) => {
                self.forwarded.remove(&run);
                self.run_ended(cx, run, answer, copy, out);
            }
            None => {}
        }
    }

    /// Nobody waits any more for a request that came over a link.
    fn withdraw(&mut self, cx: &Context<'_>, run: Run, out: &mut Effects) {
        out.push_back(Effect::Noted(Note::RunEnded { run, outcome: Outcome::Cut }));
        match self.forwarded.remove(&run) {
            Some(token) => {
                self.owners.remove(&token);
                self.site.cancel(cx.now, token);
            }
            None => out.push_back(Effect::Abort(FAR + run)),
        }
    }
}

impl Subsystem for Sites {
    fn event(&mut self, cx: &Context<'_>, event: &Event<'_>, out: &mut Effects) {
        if let Some((client, ids)) = ended(event) {
            self.gone(cx.now, client, ids, out);
        }
        match *event {
            Event::Purged { object, group, age } => self.site.told(cx.now, News { object, group, age }),
            Event::LineCame(line) => self.site.accepted(cx.now, line),
            Event::LineUp { peer, way, line } => self.site.connected(cx.now, peer, way, line),
            Event::LineNotUp { peer, way } => self.site.not_connected(cx.now, peer, way),
            Event::LineHeard { line, .. } => self.site.alive(cx.now, line),
            Event::LineDown { line, unsent } => self.site.down(cx.now, line, unsent),
            Event::Ending => self.site.go_away("a planned end", 0.0),
            _ => {}
        }
    }

    /// Sends a client's request over a link, where it is for another site.
    fn request(&mut self, cx: &Context<'_>, of: (ClientId, u32), call: &Call, out: &mut Effects) -> Verdict {
        let place = self.site.place(cx.now, &call.class, call.group, call.object.1, &[]);
        let Place::Over(to) = place else { return Verdict::Pass };
        match want(cx, call, vec![self.site.setup().own.clone()]) {
            Err(why) => Verdict::Answer(Answer::Unusable(why)),
            Ok(want) => {
                let token = self.token(Owner::Client(of.0, of.1));
                self.tokens.insert(of, token);
                self.site.request(cx.now, token, &to, want);
                out.push_back(Effect::Noted(Note::Crosses { client: of.0, id: of.1, site: to }));
                out.push_back(Effect::Took);
                Verdict::Taken
            }
        }
    }

    fn routed(
        &mut self,
        cx: &Context<'_>,
        client: ClientId,
        answer: Answer,
        copy: Option<Copy>,
        out: &mut Effects,
    ) {
        self.run_ended(cx, client - FAR, answer, copy, out);
    }

    fn frame(&mut self, cx: &Context<'_>, line: LineId, frame: Frame, _: &mut Effects) {
        self.site.frame(cx.now, cx.now, line, frame);
    }

    fn pump(&mut self, cx: &Context<'_>, out: &mut Effects) {
        while let Some(effect) = self.site.effect() {
            match effect {
                site::Effect::Connect(peer, way) => {
                    let to = self.addresses.get(peer).and_then(|all| all.get(way)).copied();
                    out.push_back(Effect::LineConnect { peer, way, to });
                }
                site::Effect::Send(line, frame) => out.push_back(Effect::LineSend(line, frame)),
                site::Effect::Close(line, why) => out.push_back(Effect::LineClose(line, why)),
                site::Effect::Reply(token, reply) => self.crossed(cx, token, reply, out),
                site::Effect::Run(run, ask) => self.run(cx, run, ask, out),
                site::Effect::Withdraw(run) => self.withdraw(cx, run, out),
                site::Effect::Purged(News { object, group, age }) => {
                    out.push_back(Effect::Purged { object, group, age });
                }
                site::Effect::Bound(age) => {
                    out.extend((0..limits::GROUPS).map(|group| Effect::Purged { object: None, group, age }));
                }
                site::Effect::Log(text) => info!(self.log, "sites"; "what" => text),
            }
        }
    }

    fn due(&self) -> Option<f64> {
        let regular = self.ticked + self.site.setup().link.heartbeat;
        Some(self.site.next_due().map_or(regular, |due| due.min(regular)))
    }

    fn tick(&mut self, cx: &Context<'_>, _: &mut Effects) {
        self.ticked = cx.now;
        self.site.tick(cx.now, cx.now);
    }

    fn holds(&self) -> usize {
        self.site.far().sizes()[3]
    }

    fn is_settled(&self) -> bool {
        self.site.open() == 0 && self.site.far().owed() == 0
    }

    /// The process is about to be killed: what still crosses has failed.
    fn end_all(&mut self, cx: &Context<'_>, out: &mut Effects) {
        let all: Vec<Token> = self.owners.keys().copied().collect();
        for token in all {
            self.site.cancel(cx.now, token);
            self.crossed(cx, token, Reply::Failed, out);
        }
    }

    /// Takes routes and peers from a new operator file.
    fn reload(&mut self, cx: &Context<'_>, operator: &Operator, _: &mut Effects) {
        let Some(new) = &operator.sites else { return };
        let link = (new.name != self.site.setup().own) || new.link_limits() != self.site.setup().link;
        if link || new.trust_limits() != self.site.setup().trust {
            warn!(self.log, "reload: the site's name, link and trust take a restart");
        }
        let gone = self
            .peers
            .iter()
            .filter(|(name, (_, old))| !new.peers.iter().any(|p| p.site == **name && p == old));
        for name in gone.map(|(name, _)| name.clone()).collect::<Vec<_>>() {
            if let Some((place, _)) = self.peers.remove(&name) {
                self.site.drop_peer(place);
            }
        }
        for peer in &new.peers {
            if !self.peers.contains_key(&peer.site) {
                let place = self.site.add_peer(cx.now, set_up(peer));
                self.addresses.push(addresses(peer));
                self.peers.insert(peer.site.clone(), (place, peer.clone()));
            }
        }
        self.site.reroute(new.rules());
        info!(self.log, "reload: routes and peers are taken"; "routes" => new.routes.len(), "peers" => new.peers.len());
    }

    fn summary(&mut self) -> String {
        let site = &self.site;
        let peers = self.peers.iter().filter_map(|(name, (place, _))| site.near(*place).map(|n| (name, n)));
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
