//! One gateway between sites: routes, the near side towards each peer, the far side for all that come in, purges.

use crate::far::{self, Ended, Far, Run};
use crate::frame::{Ask, Beat, Bye, Frame, Hello, Say, VERSION};
use crate::near::{self, Near, Reply, Token, Want};
use crate::purges::{Doubt, News, Purges};
use crate::routes::{Routes, Rule};
use crate::{LinkLimits, Millis, TrustLimits};
use std::collections::{BTreeMap, HashMap, VecDeque};

/// Part of the grace after which the bound on copies' ages is set anew; see `Site::bound`.
const REBOUND: f64 = 0.2;

/// A connection, by the caller's number.
pub type Conn = u64;

/// A peer as it is set.
#[derive(Clone, Debug, PartialEq)]
pub struct Peer {
    /// Its site.
    pub site: String,
    /// Its gateways; addresses are the caller's.
    pub ways: usize,
    /// Connections to each.
    pub connections: usize,
}

/// How a gateway between sites is set up.
#[derive(Clone, Debug, PartialEq)]
pub struct Setup {
    /// This site.
    pub own: String,
    /// The sites to which links are opened.
    pub peers: Vec<Peer>,
    /// The routes.
    pub rules: Vec<Rule>,
    /// Sites that a request may pass.
    pub hops: u32,
    /// The links' limits.
    pub link: LinkLimits,
    /// What holds copies to be good.
    pub trust: TrustLimits,
}

/// Where a request is served.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Place {
    /// At this site.
    Here,
    /// Over the links to that site.
    Over(String),
    /// Nowhere: it came by there, or by too many sites.
    Nowhere(&'static str),
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Open a connection to a peer's gateway, both by place.
    Connect(usize, usize),
    /// Say something on a connection.
    Send(Conn, Frame),
    /// Close a connection once what was said is written.
    Close(Conn, String),
    /// The final answer to a request that crossed.
    Reply(Token, Reply),
    /// Serve a request that came over a link.
    Run(Run, Ask),
    /// Nobody waits for it any more.
    Withdraw(Run),
    /// A purge that another site told.
    Purged(News),
    /// Purges may have been told that did not come: no copy may answer that is older than this.
    Bound(Millis),
    /// A line for the operators.
    Log(String),
}

/// Whose connection it is, and how far it has come.
#[derive(Clone, Debug, PartialEq)]
enum Role {
    /// We opened it.
    Near { peer: usize, way: usize, up: bool },
    /// We accepted it; the peer's epoch and site once it has said hello.
    Far { since: Millis, hello: Option<(u64, String)> },
}

/// A gateway between sites.
#[derive(Debug)]
pub struct Site {
    setup: Setup,
    routes: Routes,
    nears: Vec<Near>,
    /// Peers, by place, that were taken out of the settings; their crossings come to their end.
    dropped: Vec<bool>,
    epoch: u64,
    far: Far,
    purges: Purges,
    roles: BTreeMap<Conn, Role>,
    /// Which near side holds a request.
    tokens: HashMap<Token, usize>,
    effects: VecDeque<Effect>,
    /// When the age of this site's own copies was bounded last, and whether it is.
    bounded: Option<Millis>,
    /// Times at which that was done.
    pub bounds: u64,
    /// Requests for copies that went to the home, by why the copies were not trusted.
    pub doubts: [u64; 3],
}

impl Site {
    /// A process that has just started. `epoch`: a number that no other process has.
    pub fn new(setup: Setup, epoch: u64, now: Millis) -> Self {
        let nears = setup.peers.iter().enumerate();
        Site {
            nears: nears.map(|(i, peer)| near_to(&setup.link, epoch, i, peer, now)).collect(),
            dropped: vec![false; setup.peers.len()],
            epoch,
            routes: Routes::new(&setup.own, setup.rules.clone()),
            far: Far::new(setup.link),
            purges: Purges::new(&setup.own, epoch, setup.trust, now),
            roles: BTreeMap::new(),
            tokens: HashMap::new(),
            effects: VecDeque::new(),
            bounded: None,
            bounds: 0,
            setup,
            doubts: [0; 3],
        }
    }

    /// The next thing to be done.
    pub fn effect(&mut self) -> Option<Effect> {
        self.effects.pop_front()
    }

    /// How it is set up.
    pub fn setup(&self) -> &Setup {
        &self.setup
    }

    /// The site at the other end of a connection, once it is known.
    pub fn site_of(&self, conn: Conn) -> Option<&str> {
        match self.roles.get(&conn)? {
            Role::Near { peer, .. } => self.setup.peers.get(*peer).map(|p| &*p.site),
            Role::Far { hello, .. } => hello.as_ref().map(|(_, site)| &**site),
        }
    }

    /// The near side towards a peer, by place.
    pub fn near(&self, peer: usize) -> Option<&Near> {
        self.nears.get(peer)
    }

    /// The far side.
    pub fn far(&self) -> &Far {
        &self.far
    }

    /// The purges.
    pub fn purges(&self) -> &Purges {
        &self.purges
    }

    /// Takes other routes. Requests that are open go on as they went out.
    pub fn reroute(&mut self, rules: Vec<Rule>) {
        self.routes = Routes::new(&self.setup.own, rules.clone());
        self.setup.rules = rules;
    }

    /// Adds a peer. Gives its place.
    pub fn add_peer(&mut self, now: Millis, peer: Peer) -> usize {
        let place = self.nears.len();
        self.nears.push(near_to(&self.setup.link, self.epoch, place, &peer, now));
        self.setup.peers.push(peer);
        self.dropped.push(false);
        place
    }

    /// Takes a peer out, by place: it gets nothing new, and its links close once nothing is out on them.
    pub fn drop_peer(&mut self, peer: usize) {
        if let Some(near) = self.nears.get_mut(peer) {
            near.close();
            self.dropped[peer] = true;
        }
    }

    // ---- Requests ------------------------------------------------------------------------------------------

    /// Where a request is served that came by those sites, the first one first; none: from our own clients.
    pub fn place(&mut self, now: Millis, class: &str, group: u32, object: u64, path: &[String]) -> Place {
        let Some(rule) = self.routes.find(class, group, object) else { return Place::Here };
        let next = rule.next();
        if path.iter().any(|s| s == next) {
            return Place::Nowhere("it would come back to a site that it came by");
        }
        if path.len() >= self.setup.hops as usize {
            return Place::Nowhere("it came by too many sites");
        }
        if rule.copies {
            match self.purges.trust(now, &rule.home) {
                Ok(()) => return Place::Here,
                Err(Doubt::Lease) => self.doubts[0] += 1,
                Err(Doubt::Missed) => self.doubts[1] += 1,
                Err(Doubt::Clock) => self.doubts[2] += 1,
            }
        }
        Place::Over(next.to_string())
    }

    /// A request that is to cross to a site.
    pub fn request(&mut self, now: Millis, token: Token, to: &str, want: Want) {
        let Some(i) = self.peer(to) else {
            let reply = Reply::Refused(self.setup.link.cooldown);
            return self.effects.push_back(Effect::Reply(token, reply));
        };
        self.tokens.insert(token, i);
        self.nears[i].request(now, token, want);
        self.carry(i);
    }

    fn peer(&self, site: &str) -> Option<usize> {
        let mut peers = self.setup.peers.iter().zip(&self.dropped);
        peers.position(|(peer, dropped)| peer.site == site && !dropped)
    }

    /// Its client gave it up.
    pub fn cancel(&mut self, now: Millis, token: Token) {
        if let Some(i) = self.tokens.remove(&token) {
            self.nears[i].cancel(now, token);
            self.carry(i);
        }
    }

    /// Requests that wait for an answer over a link.
    pub fn open(&self) -> usize {
        self.tokens.len()
    }

    /// A request that came over a link has its final answer.
    pub fn ended(&mut self, now: Millis, run: Run, ended: Ended) {
        self.far.ended(now, run, ended);
        self.carry_far();
    }

    /// The next piece of a body for a connection that takes more.
    pub fn piece(&mut self, conn: Conn) -> Option<Frame> {
        self.far.piece(conn).map(Frame::from)
    }

    // ---- Purges --------------------------------------------------------------------------------------------

    /// The site's own feed told a purge.
    pub fn told(&mut self, now: Millis, news: News) {
        let number = self.purges.told(now, news);
        self.broadcast(now, number);
    }

    fn broadcast(&mut self, now: Millis, number: u64) {
        let up = self.roles.iter().filter(|(_, role)| match role {
            Role::Near { up, .. } => *up,
            Role::Far { hello, .. } => hello.is_some(),
        });
        let mut up: Vec<Conn> = up.map(|(conn, _)| *conn).collect();
        up.sort_unstable();
        for purge in self.purges.after(now, number - 1) {
            for conn in &up {
                self.effects.push_back(Effect::Send(*conn, Say::Purge(purge.clone()).into()));
            }
        }
    }

    // ---- Connections ---------------------------------------------------------------------------------------

    /// A connection to a peer's gateway is open.
    pub fn connected(&mut self, now: Millis, peer: usize, way: usize, conn: Conn) {
        let Some(near) = self.nears.get_mut(peer) else { return };
        near.connected(now, way, conn);
        self.roles.insert(conn, Role::Near { peer, way, up: false });
        let hello = Hello {
            version: VERSION,
            site: self.setup.own.clone(),
            to: self.setup.peers[peer].site.clone(),
            ..Hello::default()
        };
        let hello = self.purges.greet(now, near.epoch(way), near.greet(way, hello));
        self.effects.push_back(Effect::Send(conn, Say::Hello(hello).into()));
        self.carry(peer);
    }

    /// A connection to a peer's gateway could not be opened.
    pub fn not_connected(&mut self, now: Millis, peer: usize, way: usize) {
        if let Some(near) = self.nears.get_mut(peer) {
            near.not_connected(now, way);
            self.carry(peer);
        }
    }

    /// A connection came in.
    pub fn accepted(&mut self, now: Millis, conn: Conn) {
        self.roles.insert(conn, Role::Far { since: now, hello: None });
    }

    /// A connection has ended. `unsent`: attempts of which no byte was written.
    pub fn down(&mut self, now: Millis, conn: Conn, unsent: &[u64]) {
        match self.roles.remove(&conn) {
            Some(Role::Near { peer, way, up }) => {
                let before = self.nears[peer].ways_up();
                self.nears[peer].down(now, conn, unsent);
                let after = self.nears[peer].ways_up();
                if up && after < before {
                    let text = format!(
                        "link to {} ({way}): cut; {} of {} ways are up",
                        self.setup.peers[peer].site, after.0, after.1
                    );
                    self.effects.push_back(Effect::Log(text));
                }
                self.carry(peer);
            }
            Some(Role::Far { .. }) => {
                self.far.down(now, conn);
                self.carry_far();
            }
            None => {}
        }
    }

    /// Bytes came on a connection, though perhaps no whole frame: on a slow link one piece of a body can take longer
    /// than the silence that counts as a cut.
    pub fn alive(&mut self, now: Millis, conn: Conn) {
        match self.roles.get(&conn) {
            Some(Role::Near { peer, up: true, .. }) => self.nears[*peer].heard(now, conn),
            Some(Role::Far { hello: Some(_), .. }) => self.far.heard(now, conn),
            _ => {}
        }
    }

    /// A frame came. `clock`: Unix time.
    pub fn frame(&mut self, now: Millis, clock: Millis, conn: Conn, frame: Frame) {
        let Some(say) = frame.say else { return };
        match (self.roles.get(&conn).cloned(), say) {
            (Some(Role::Near { peer, way, up: false }), Say::Hello(hello)) => {
                self.answered(now, conn, peer, way, &hello)
            }
            (Some(Role::Far { hello: None, .. }), Say::Hello(hello)) => self.greeted(now, conn, &hello),
            (Some(Role::Near { .. } | Role::Far { .. }), Say::Bye(bye)) => {
                let why: String = bye.why.chars().take(200).collect();
                self.effects.push_back(Effect::Log(format!("link: the other side says: {why}")));
                self.close(now, conn, "the other side said goodbye");
            }
            (Some(Role::Near { peer, way, up: true }), Say::Purge(purge)) => {
                let epoch = self.nears[peer].epoch(way).unwrap_or(0);
                self.nears[peer].heard(now, conn);
                self.purge(now, epoch, purge);
            }
            (Some(Role::Far { hello: Some((epoch, _)), .. }), Say::Purge(purge)) => {
                self.far.heard(now, conn);
                self.purge(now, epoch, purge);
            }
            (Some(Role::Far { hello: Some((epoch, _)), .. }), Say::Ping(beat)) => {
                self.far.heard(now, conn);
                self.far.floor(conn, beat.floor);
                self.carry_far();
                // What is sent on this connection comes there in order: all purges up to that number before it.
                let pong = Beat {
                    number: beat.number,
                    clock,
                    purges: self.purges.last(),
                    has: self.purges.has(epoch),
                    floor: 0,
                };
                self.effects.push_back(Effect::Send(conn, Say::Pong(pong).into()));
            }
            (Some(Role::Near { peer, up: true, .. }), say) => {
                if !self.nears[peer].say(now, clock, conn, say, &mut self.purges) {
                    self.close(now, conn, "a message that does not belong there");
                }
                self.carry(peer);
            }
            (Some(Role::Far { hello: Some((_, site)), .. }), say) => {
                let comes_by = |ask: &Ask| {
                    ask.path.last() != Some(&site)
                        || ask.path.contains(&self.setup.own)
                        || ask.path.len() > 16
                };
                if matches!(&say, Say::Ask(ask) if comes_by(ask)) || !self.far.say(now, conn, say) {
                    self.close(now, conn, "a message that does not belong there");
                }
                self.carry_far();
            }
            (Some(_), _) => self.close(now, conn, "no hello"),
            (None, _) => {}
        }
    }

    fn purge(&mut self, now: Millis, epoch: u64, purge: crate::frame::Purge) {
        let gaps = self.purges.gaps;
        if let Some((news, number)) = self.purges.received(now, epoch, purge) {
            self.effects.push_back(Effect::Purged(news));
            self.broadcast(now, number);
        }
        if self.purges.gaps > gaps {
            self.effects
                .push_back(Effect::Log("purges of a peer are missing: copies are not trusted".to_string()));
        }
    }

    /// What is wrong with a hello.
    fn misfit(&self, hello: &Hello, from: Option<&str>) -> Option<String> {
        if hello.version != VERSION {
            return Some(format!(
                "version {} of the link protocol is spoken here, not {}",
                VERSION, hello.version
            ));
        }
        if hello.to != self.setup.own {
            return Some(format!("this is site {:?}, not {:?}", self.setup.own, hello.to));
        }
        if hello.site == self.setup.own || hello.site.is_empty() || hello.site.len() > 63 {
            return Some(format!("site {:?} can't link to {:?}", hello.site, self.setup.own));
        }
        from.filter(|site| *site != hello.site)
            .map(|site| format!("site {site:?} was expected, not {:?}", hello.site))
    }

    /// The peer's gateway answered our hello.
    fn answered(&mut self, now: Millis, conn: Conn, peer: usize, way: usize, hello: &Hello) {
        let site = self.setup.peers[peer].site.clone();
        if let Some(what) = self.misfit(hello, Some(&site)) {
            return self.bye(now, conn, &what);
        }
        let from = self.purges.greeted(now, hello);
        if let Some(Role::Near { up, .. }) = self.roles.get_mut(&conn) {
            *up = true;
        }
        // Purges first: what is asked on this connection is asked after them.
        self.catch_up(now, conn, from);
        let before = self.nears[peer].ways_up();
        self.nears[peer].up(now, conn, hello);
        let after = self.nears[peer].ways_up();
        if after > before {
            let text = format!("link to {site} ({way}): up; {} of {} ways are up", after.0, after.1);
            self.effects.push_back(Effect::Log(text));
        }
        self.carry(peer);
    }

    /// A peer's gateway that connected said hello.
    fn greeted(&mut self, now: Millis, conn: Conn, hello: &Hello) {
        if let Some(what) = self.misfit(hello, None) {
            return self.bye(now, conn, &what);
        }
        let from = self.purges.greeted(now, hello);
        let back = Hello {
            version: VERSION,
            site: self.setup.own.clone(),
            to: hello.site.clone(),
            session: hello.session,
            credit: self.setup.link.credit as u32,
            reattach: self.setup.link.reattach as u32,
            ..Hello::default()
        };
        let back = self.purges.greet(now, Some(hello.epoch), back);
        self.roles.insert(conn, Role::Far { since: now, hello: Some((hello.epoch, hello.site.clone())) });
        self.effects.push_back(Effect::Send(conn, Say::Hello(back).into()));
        self.catch_up(now, conn, from);
        self.far.up(now, conn, hello);
        self.carry_far();
        // Who reaches us can most likely be reached.
        if let Some(peer) = self.peer(&hello.site) {
            self.nears[peer].try_now(now);
        }
    }

    fn catch_up(&mut self, now: Millis, conn: Conn, from: u64) {
        let lacking = self.purges.after(now, from).map(|purge| Effect::Send(conn, Say::Purge(purge).into()));
        self.effects.extend(lacking);
    }

    fn bye(&mut self, now: Millis, conn: Conn, what: &str) {
        self.effects.push_back(Effect::Log(format!("link: {what}")));
        self.effects.push_back(Effect::Send(conn, Say::Bye(Bye { why: what.to_string() }).into()));
        self.close(now, conn, what);
    }

    fn close(&mut self, now: Millis, conn: Conn, why: &str) {
        self.effects.push_back(Effect::Close(conn, why.to_string()));
        self.down(now, conn, &[]);
    }

    // ---- Time ----------------------------------------------------------------------------------------------

    /// Carries out what is due. `clock`: Unix time.
    pub fn tick(&mut self, now: Millis, clock: Millis) {
        self.purges.tick(now);
        for i in 0..self.nears.len() {
            self.nears[i].tick(now, clock, &self.purges);
            self.carry(i);
        }
        self.far.tick(now);
        self.carry_far();
        self.bound(now);
        let silence = self.setup.link.silence;
        let mute = self
            .roles
            .iter()
            .filter(|(_, role)| matches!(role, Role::Far { since, hello: None } if now - since > silence));
        for conn in mute.map(|(conn, _)| *conn).collect::<Vec<_>>() {
            self.close(now, conn, "no hello in time");
        }
    }

    /// While a peer is not heard that may have told purges of this site's objects, only copies may answer that are
    /// younger than the grace: whatever was told longer ago than that, they come after it.
    fn bound(&mut self, now: Millis) {
        let peers = self.setup.peers.iter().zip(&self.dropped).filter(|(_, dropped)| !**dropped);
        let trusted = |site: &str| !matches!(self.purges.trust(now, site), Err(Doubt::Lease | Doubt::Missed));
        let unheard = peers.map(|(peer, _)| &*peer.site).find(|site| !trusted(site)).map(str::to_string);
        let Some(site) = unheard.filter(|_| !self.setup.trust.serve_when_cut) else {
            if self.bounded.take().is_some() {
                let text = "all peers are heard: own copies may be of any age again".to_string();
                self.effects.push_back(Effect::Log(text));
            }
            return;
        };
        let grace = self.setup.trust.grace;
        if self.bounded.is_none() {
            let text = format!(
                "site {site} is not heard, or purges of its may be missing: own copies may be {grace:.0} ms old at most"
            );
            self.effects.push_back(Effect::Log(text));
        }
        if self.bounded.is_none_or(|at| now - at >= grace * REBOUND) {
            self.bounded = Some(now);
            self.bounds += 1;
            self.effects.push_back(Effect::Bound(grace * (1.0 - 2.0 * REBOUND)));
        }
    }

    /// When `tick` is to be called next, at the latest.
    pub fn next_due(&self) -> Option<Millis> {
        self.nears.iter().filter_map(Near::next_due).min_by(f64::total_cmp)
    }

    /// The end is near: nothing new is taken over links.
    pub fn go_away(&mut self, why: &str, cooldown: Millis) {
        self.far.go_away(why, cooldown);
        self.carry_far();
    }

    /// Opens no further links.
    pub fn close_all(&mut self) {
        self.nears.iter_mut().for_each(Near::close);
    }

    /// Carries on what a near side wants done.
    fn carry(&mut self, peer: usize) {
        while let Some(effect) = self.nears[peer].effect() {
            match effect {
                near::Effect::Connect(way) => self.effects.push_back(Effect::Connect(peer, way)),
                near::Effect::Send(conn, say) => self.effects.push_back(Effect::Send(conn, say.into())),
                near::Effect::Close(conn, why) => {
                    self.roles.remove(&conn);
                    self.effects.push_back(Effect::Close(conn, why));
                }
                near::Effect::Reply(token, reply) => {
                    self.tokens.remove(&token);
                    self.effects.push_back(Effect::Reply(token, reply));
                }
            }
        }
    }

    fn carry_far(&mut self) {
        while let Some(effect) = self.far.effect() {
            self.effects.push_back(match effect {
                far::Effect::Send(conn, say) => Effect::Send(conn, say.into()),
                far::Effect::Close(conn, why) => {
                    self.roles.remove(&conn);
                    Effect::Close(conn, why)
                }
                far::Effect::Run(run, ask) => Effect::Run(run, ask),
                far::Effect::Withdraw(run) => Effect::Withdraw(run),
            });
        }
    }
}

fn near_to(link: &LinkLimits, epoch: u64, place: usize, peer: &Peer, now: Millis) -> Near {
    let session = |way: usize| mix(epoch ^ mix((place as u64) << 32 | way as u64));
    let sessions: Vec<u64> = (0..peer.ways).map(session).collect();
    Near::new(*link, peer.connections, &sessions, now)
}

/// Spreads a number's bits (the finalizer of SplitMix64).
fn mix(n: u64) -> u64 {
    let n = (n ^ (n >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let n = (n ^ (n >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    n ^ (n >> 31)
}
