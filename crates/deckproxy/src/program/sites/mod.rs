//! Links to gateways of other sites: requests forwarded either way, and purges replicated.

mod forwarding;

use crate::program::subsystem::{
    Context, Effect, Effects, Event, FIRST_LINK_CLIENT, LinkId, OpenRequests, RequestKey, Subsystem, Verdict,
};
use crate::protocol::downstream::{Answer, Call};
use crate::protocol::limits;
use crate::protocol::upstream::CopyInfo;
use crate::routing::ClientId;
use deckproxy_operator::Operator;
use deckproxy_sites::far::Run;
use deckproxy_sites::frame::Frame;
use deckproxy_sites::near::{Reply, Token};
use deckproxy_sites::purges::News;
use deckproxy_sites::site::{self, Site};
use slog::{Logger, info, warn};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

/// Who waits for the answer to a forwarded request.
#[derive(Clone, Copy, Debug)]
enum Owner {
    /// A client.
    Client(RequestKey),
    /// Another site: a request that came over a link and goes on over another.
    Run(Run),
}

/// A peer in force.
struct ActivePeer {
    /// Its index in the state machine and in the list of addresses.
    index: usize,
    /// Its part of the operator file.
    settings: deckproxy_operator::Peer,
}

/// The links of one gateway.
pub struct Sites {
    log: Logger,
    site: Site,
    /// Addresses of the peers' gateways, by the peer's index.
    addresses: Vec<Vec<SocketAddr>>,
    /// The peers in force, by the site's name.
    peers: BTreeMap<String, ActivePeer>,
    /// Who waits for each forwarded request.
    owners: HashMap<Token, Owner>,
    /// Clients' requests that were forwarded.
    client_requests: OpenRequests<Token>,
    /// Requests from links that were forwarded over other links.
    transit_requests: HashMap<Run, Token>,
    /// The token given last.
    last_token: Token,
    /// Time of the last tick, ms.
    last_tick: f64,
}

fn addresses(peer: &deckproxy_operator::Peer) -> Vec<SocketAddr> {
    peer.addresses.iter().filter_map(|address| address.parse().ok()).collect()
}

fn peer_setup(peer: &deckproxy_operator::Peer) -> site::Peer {
    site::Peer {
        site: peer.site.clone(),
        ways: peer.addresses.len(),
        connections: peer.connections.unwrap_or(deckproxy_operator::defaults::CONNECTIONS) as usize,
    }
}

impl Sites {
    /// Starts what the operator file asks for; none where it asks for nothing.
    pub(super) fn start(log: &Logger, now: f64, seed: u64, operator: &Operator) -> Option<Box<Self>> {
        let sites = operator.sites.as_ref()?;
        let setup = site::Setup {
            own: sites.name.clone(),
            peers: sites.peers.iter().map(peer_setup).collect(),
            rules: sites.rules(),
            hops: sites.hops(),
            link: sites.link_limits(),
            trust: sites.trust_limits(),
        };
        let peers = sites.peers.iter().enumerate().map(|(index, peer)| {
            let settings = peer.clone();
            (peer.site.clone(), ActivePeer { index, settings })
        });
        // The seed is new with each start; the time keeps two that got the same one apart.
        let epoch = seed ^ (now * 1000.0) as u64;
        Some(Box::new(Sites {
            log: log.clone(),
            site: Site::new(setup, epoch, now),
            addresses: sites.peers.iter().map(addresses).collect(),
            peers: peers.collect(),
            owners: HashMap::new(),
            client_requests: OpenRequests::default(),
            transit_requests: HashMap::new(),
            last_token: 0,
            last_tick: now,
        }))
    }

    /// Whether a client's request was forwarded and has no answer yet.
    pub(super) fn has_request(&self, request: RequestKey) -> bool {
        self.client_requests.contains(request)
    }

    /// The site at the other end of a link, once that is known.
    pub(super) fn site_of(&self, link: LinkId) -> Option<&str> {
        self.site.site_of(link)
    }

    /// The next piece of a body for a link that has room to write.
    pub(super) fn body_piece(&mut self, link: LinkId) -> Option<Frame> {
        self.site.piece(link)
    }

    /// Drops the peers that a new operator file has no more, or with other settings.
    fn drop_peers(&mut self, new: &deckproxy_operator::Sites) {
        let is_kept = |name: &str, old: &ActivePeer| {
            new.peers.iter().any(|peer| peer.site == name && *peer == old.settings)
        };
        let gone = self.peers.iter().filter(|(name, peer)| !is_kept(name, peer));
        for name in gone.map(|(name, _)| name.clone()).collect::<Vec<_>>() {
            if let Some(peer) = self.peers.remove(&name) {
                self.site.drop_peer(peer.index);
            }
        }
    }

    /// Adds the peers of a new operator file that are not in force.
    fn add_peers(&mut self, now: f64, new: &deckproxy_operator::Sites) {
        for peer in &new.peers {
            if !self.peers.contains_key(&peer.site) {
                let index = self.site.add_peer(now, peer_setup(peer));
                self.addresses.push(addresses(peer));
                self.peers.insert(peer.site.clone(), ActivePeer { index, settings: peer.clone() });
            }
        }
    }
}

impl Subsystem for Sites {
    fn event(&mut self, cx: &Context<'_>, event: &Event<'_>, out: &mut Effects) {
        self.cancel_client_requests(cx.now, event, out);
        match *event {
            Event::Purged { object, group, age } => self.site.told(cx.now, News { object, group, age }),
            Event::LinkAccepted(link) => self.site.accepted(cx.now, link),
            Event::LinkConnected { peer, address_index, link } => {
                self.site.connected(cx.now, peer, address_index, link);
            }
            Event::LinkConnectFailed { peer, address_index } => {
                self.site.not_connected(cx.now, peer, address_index);
            }
            Event::LinkBytesReceived { link, .. } => self.site.alive(cx.now, link),
            Event::LinkClosed { link, unsent } => self.site.down(cx.now, link, unsent),
            Event::ShutdownBegan => self.site.go_away("a planned end", 0.0),
            _ => {}
        }
    }

    fn request(&mut self, cx: &Context<'_>, request: RequestKey, call: &Call, out: &mut Effects) -> Verdict {
        self.forward_client_request(cx, request, call, out)
    }

    fn routed(
        &mut self,
        cx: &Context<'_>,
        client: ClientId,
        answer: Answer,
        copy: Option<CopyInfo>,
        out: &mut Effects,
    ) {
        self.answer_link(cx, client - FIRST_LINK_CLIENT, answer, copy, out);
    }

    fn frame(&mut self, cx: &Context<'_>, link: LinkId, frame: Frame, _: &mut Effects) {
        self.site.frame(cx.now, cx.now, link, frame);
    }

    fn poll(&mut self, cx: &Context<'_>, out: &mut Effects) {
        while let Some(effect) = self.site.effect() {
            match effect {
                site::Effect::Connect(peer, address_index) => {
                    let to = self.addresses.get(peer).and_then(|all| all.get(address_index)).copied();
                    out.push_back(Effect::ConnectLink { peer, address_index, to });
                }
                site::Effect::Send(link, frame) => out.push_back(Effect::SendFrame(link, frame)),
                site::Effect::Close(link, why) => out.push_back(Effect::CloseLink(link, why)),
                site::Effect::Reply(token, reply) => self.forwarded_reply(cx, token, reply, out),
                site::Effect::Run(run, ask) => self.link_request(cx, run, ask, out),
                site::Effect::Withdraw(run) => self.cancel_link_request(cx, run, out),
                site::Effect::Purged(News { object, group, age }) => {
                    out.push_back(Effect::Purge { object, group, age });
                }
                site::Effect::Bound(age) => {
                    out.extend((0..limits::GROUPS).map(|group| Effect::Purge { object: None, group, age }));
                }
                site::Effect::Log(text) => info!(self.log, "sites"; "what" => text),
            }
        }
    }

    fn next_due(&self) -> Option<f64> {
        let heartbeat = self.last_tick + self.site.setup().link.heartbeat;
        Some(self.site.next_due().map_or(heartbeat, |due| due.min(heartbeat)))
    }

    fn tick(&mut self, cx: &Context<'_>, _: &mut Effects) {
        self.last_tick = cx.now;
        self.site.tick(cx.now, cx.now);
    }

    fn buffered_bytes(&self) -> usize {
        self.site.far().sizes()[3]
    }

    fn is_settled(&self) -> bool {
        self.site.open() == 0 && self.site.far().owed() == 0
    }

    /// The process is about to be killed: all forwarded requests fail.
    fn fail_open(&mut self, cx: &Context<'_>, out: &mut Effects) {
        let all: Vec<Token> = self.owners.keys().copied().collect();
        for token in all {
            self.site.cancel(cx.now, token);
            self.forwarded_reply(cx, token, Reply::Failed, out);
        }
    }

    /// Takes routes and peers from a new operator file.
    fn reload(&mut self, cx: &Context<'_>, operator: &Operator, _: &mut Effects) {
        let Some(new) = &operator.sites else { return };
        let setup = self.site.setup();
        if new.name != setup.own || new.link_limits() != setup.link || new.trust_limits() != setup.trust {
            warn!(self.log, "reload: the site's name, link and trust take a restart");
        }
        self.drop_peers(new);
        self.add_peers(cx.now, new);
        self.site.reroute(new.rules());
        info!(self.log, "reload: routes and peers are taken"; "routes" => new.routes.len(), "peers" => new.peers.len());
    }

    fn summary(&mut self) -> String {
        let site = &self.site;
        let peers =
            self.peers.iter().filter_map(|(name, peer)| site.near(peer.index).map(|side| (name, side)));
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
