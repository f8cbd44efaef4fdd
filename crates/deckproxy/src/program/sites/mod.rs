//! Links to the gateways of other sites: request forwarding in both directions and replication of purges.

mod forwarding;

use crate::program::subsystem::{
    Context, Effect, Effects, Event, FIRST_LINK_CLIENT, Field, LinkId, OpenRequests, RequestKey, Subsystem,
    Verdict,
};
use crate::protocol::downstream::{Answer, Call};
use crate::protocol::limits;
use crate::protocol::upstream::CopyInfo;
use crate::routing::ClientId;
use crate::routing::recent_names::RecentNames;
use deckproxy_operator::Operator;
use deckproxy_sites::frame::Frame;
use deckproxy_sites::purges::PurgeNotice;
use deckproxy_sites::requester::{Reply, RequestToken, Requester};
use deckproxy_sites::responder::RunId;
use deckproxy_sites::site::{self, PeerConfig, SiteConfig, SiteGateway};
use slog::{Logger, info, warn};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

/// Where the answer to a forwarded request is sent.
#[derive(Clone, Copy, Debug)]
enum ReplyTarget {
    /// A client.
    Client(RequestKey),
    /// Another site, as the request was received over one link and forwarded over another.
    Run(RunId),
}

/// A configured peer.
struct ActivePeer {
    /// Its index in the state machine and in the list of addresses.
    index: usize,
    /// The peer's entry in the operator file.
    settings: deckproxy_operator::Peer,
}

/// The links of one gateway.
pub struct Sites {
    log: Logger,
    site: SiteGateway,
    /// Addresses of the peers' gateways, by the peer's index.
    addresses: Vec<Vec<SocketAddr>>,
    /// The configured peers by site name.
    peers: BTreeMap<String, ActivePeer>,
    /// Where the answer to each forwarded request is sent.
    reply_targets: HashMap<RequestToken, ReplyTarget>,
    /// Names of the forwarded requests of clients that are not idempotent.
    forwarded_names: HashMap<RequestToken, Box<str>>,
    /// Names of those that have ended and must not run again.
    recent_names: RecentNames,
    /// Forwarded requests of clients.
    client_requests: OpenRequests<RequestToken>,
    /// Requests that were received over one link and forwarded over another.
    transit_requests: HashMap<RunId, RequestToken>,
    /// The token assigned last.
    last_token: RequestToken,
    /// Time of the last tick, ms.
    last_tick: f64,
}

fn addresses(peer: &deckproxy_operator::Peer) -> Vec<SocketAddr> {
    peer.addresses.iter().filter_map(|address| address.parse().ok()).collect()
}

fn peer_config(peer: &deckproxy_operator::Peer) -> PeerConfig {
    PeerConfig {
        site: peer.site.clone(),
        endpoints: peer.addresses.len(),
        connections: peer.connections.unwrap_or(deckproxy_operator::defaults::peer::CONNECTIONS) as usize,
    }
}

impl Sites {
    /// Starts the links that the operator file configures; returns none if it configures none.
    pub(super) fn start(log: &Logger, now: f64, seed: u64, operator: &Operator) -> Option<Box<Self>> {
        let sites = operator.sites.as_ref()?;
        let config = SiteConfig {
            own_site: sites.name.clone(),
            peers: sites.peers.iter().map(peer_config).collect(),
            rules: sites.route_rules(),
            max_hops: sites.max_hops(),
            link: sites.link_limits(),
            trust: sites.trust_limits(),
        };
        let peers = sites.peers.iter().enumerate().map(|(index, peer)| {
            let settings = peer.clone();
            (peer.site.clone(), ActivePeer { index, settings })
        });
        // The seed is new with each start; the time distinguishes two starts that got the same seed.
        let epoch = seed ^ (now * 1000.0) as u64;
        Some(Box::new(Sites {
            log: log.clone(),
            site: SiteGateway::new(config, epoch, now),
            addresses: sites.peers.iter().map(addresses).collect(),
            peers: peers.collect(),
            reply_targets: HashMap::new(),
            forwarded_names: HashMap::new(),
            recent_names: RecentNames::default(),
            client_requests: OpenRequests::default(),
            transit_requests: HashMap::new(),
            last_token: 0,
            last_tick: now,
        }))
    }

    /// The site at the other end of a link, once it is known.
    pub(super) fn site_of(&self, link: LinkId) -> Option<&str> {
        self.site.site_of(link)
    }

    /// The next chunk of a body for a link whose write buffer has room.
    pub(super) fn next_body_chunk(&mut self, link: LinkId) -> Option<Frame> {
        self.site.next_chunk(link)
    }

    /// Removes the peers that a new operator file omits or configures differently.
    fn remove_peers(&mut self, new: &deckproxy_operator::Sites) {
        let is_kept = |name: &str, old: &ActivePeer| {
            new.peers.iter().any(|peer| peer.site == name && *peer == old.settings)
        };
        let removed = self.peers.iter().filter(|(name, peer)| !is_kept(name, peer));
        for name in removed.map(|(name, _)| name.clone()).collect::<Vec<_>>() {
            if let Some(peer) = self.peers.remove(&name) {
                self.site.remove_peer(peer.index);
            }
        }
    }

    /// Adds the peers of a new operator file that are not configured yet.
    fn add_peers(&mut self, now: f64, new: &deckproxy_operator::Sites) {
        for peer in &new.peers {
            if !self.peers.contains_key(&peer.site) {
                let index = self.site.add_peer(now, &peer_config(peer));
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
            Event::Purged { object, group, age } => {
                self.site.purge_notified(cx.now, PurgeNotice { object, group, age });
            }
            Event::LinkAccepted(link) => self.site.accepted(cx.now, link),
            Event::LinkConnected { peer, address_index, link } => {
                self.site.connected(cx.now, peer, address_index, link);
            }
            Event::LinkConnectFailed { peer, address_index } => {
                self.site.connect_failed(cx.now, peer, address_index);
            }
            Event::LinkBytesReceived { link, .. } => self.site.mark_alive(cx.now, link),
            Event::LinkClosed { link, unsent } => self.site.disconnected(cx.now, link, unsent),
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
        self.site.receive(cx.now, cx.now, link, frame);
    }

    fn poll(&mut self, cx: &Context<'_>, out: &mut Effects) {
        self.site.set_memory_room(cx.memory_room);
        while let Some(effect) = self.site.next_effect() {
            match effect {
                site::Effect::Connect { peer, endpoint: address_index } => {
                    let to = self.addresses.get(peer).and_then(|all| all.get(address_index)).copied();
                    out.push_back(Effect::ConnectLink { peer, address_index, to });
                }
                site::Effect::Send(link, frame) => out.push_back(Effect::SendFrame(link, frame)),
                site::Effect::Close(link, reason) => {
                    out.push_back(Effect::CloseLink(link, reason.to_string()));
                }
                site::Effect::Reply(token, reply) => self.forwarded_reply(cx, token, reply, out),
                site::Effect::Run(run, request) => self.link_request(cx, run, request, out),
                site::Effect::Cancel(run) => self.cancel_link_request(cx, run, out),
                site::Effect::Purge(PurgeNotice { object, group, age }) => {
                    out.push_back(Effect::Purge { object, group, age });
                }
                site::Effect::LimitCopyAge(age) => {
                    out.extend((0..limits::GROUPS).map(|group| Effect::Purge { object: None, group, age }));
                }
                site::Effect::Log(event) => info!(self.log, "sites"; "what" => event.to_string()),
            }
        }
    }

    fn next_due(&self) -> Option<f64> {
        let heartbeat = self.last_tick + self.site.link_limits().heartbeat_interval;
        Some(self.site.next_timer().map_or(heartbeat, |due| due.min(heartbeat)))
    }

    fn tick(&mut self, cx: &Context<'_>, _: &mut Effects) {
        self.last_tick = cx.now;
        self.site.tick(cx.now, cx.now);
    }

    fn buffered_bytes(&self) -> usize {
        self.site.held_bytes()
    }

    fn is_settled(&self) -> bool {
        self.site.open_requests() == 0 && self.site.responder().owed_attempts() == 0
    }

    /// Answers all forwarded requests as failed, as the process is about to be killed.
    fn fail_open(&mut self, cx: &Context<'_>, out: &mut Effects) {
        let all: Vec<RequestToken> = self.reply_targets.keys().copied().collect();
        for token in all {
            self.site.cancel(cx.now, token);
            self.forwarded_reply(cx, token, Reply::Failed, out);
        }
    }

    /// Applies the routes and peers of a new operator file.
    fn reload(&mut self, cx: &Context<'_>, operator: &Operator, _: &mut Effects) {
        let Some(new) = &operator.sites else { return };
        let has_new_limits =
            new.link_limits() != *self.site.link_limits() || new.trust_limits() != *self.site.trust_limits();
        if new.name != self.site.own_site() || has_new_limits {
            warn!(self.log, "reload: the site's name, link and trust take a restart");
        }
        self.remove_peers(new);
        self.add_peers(cx.now, new);
        self.site.set_routes(new.route_rules());
        info!(self.log, "reload: routes and peers are in force"; "routes" => new.routes.len(), "peers" => new.peers.len());
    }

    fn summary(&mut self) -> Vec<Field> {
        let site = &self.site;
        let peers =
            self.peers.iter().filter_map(|(name, peer)| site.requester(peer.index).map(|side| (name, side)));
        let peers = peers.map(|(name, requester)| Field::group(name, peer_fields(requester)));
        let usage = site.responder().usage();
        let responder = [
            Field::value("runs", usage.runs),
            Field::value("sessions", usage.sessions),
            Field::value("connections", usage.connections),
            Field::value("retained_bytes", usage.retained_bytes),
            Field::value("duplicates", site.responder().duplicates),
        ];
        let purges = [
            Field::value("last", site.purges().last_number()),
            Field::value("retained", site.purges().len()),
            Field::value("gaps", site.purges().gaps),
        ];
        let untrusted = [
            Field::value("lease", site.distrusted.lease_expired),
            Field::value("missed", site.distrusted.purges_missed),
            Field::value("clock", site.distrusted.clock_skew),
            Field::value("copy_age_limits", site.copy_age_limits),
        ];
        let own = [
            Field::group("responder", responder),
            Field::group("purges", purges),
            Field::group("untrusted", untrusted),
        ];
        peers.chain(own).collect()
    }
}

/// A peer's part of the summary line.
fn peer_fields(requester: &Requester) -> [Field; 13] {
    let (counters, open, endpoints) = (requester.counters, requester.open_counts(), requester.endpoints_up());
    [
        Field::value("endpoints", format_args!("{}/{}", endpoints.up, endpoints.total)),
        Field::value("in_flight", open.exchanges),
        Field::value("unresolved", open.unresolved_attempts),
        Field::value("requests", counters.requests),
        Field::value("collapsed", counters.collapsed),
        Field::value("attempts", counters.attempts),
        Field::value("retries", counters.retries),
        Field::value("queued", counters.queued),
        Field::value("unreachable", counters.rejected_unreachable),
        Field::value("saturated", counters.rejected_saturated),
        Field::value("full", counters.rejected_full),
        Field::value("stale", counters.stale_responses),
        Field::value("connections_lost", counters.connections_lost),
    ]
}
