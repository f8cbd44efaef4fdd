//! One gateway between sites: the routes, a requesting side for each peer, the serving side and the purge log.
//!
//! - [`config`]: the configuration.
//! - [`effects`]: destinations, effects and log events.
//! - `requests`: routing and forwarding of requests.
//! - `connections`: opening, handshakes and closing of connections.
//! - `messages`: received frames.
//! - `copy_age`: the limit on the age of own copies while a peer is unreachable.

pub mod config;
mod connections;
mod copy_age;
pub mod effects;
mod messages;
mod requests;

pub use config::{PeerConfig, SiteConfig};
pub use effects::{Destination, DistrustCounters, Effect, LogEvent, Unroutable};

use crate::purges::{PurgeLog, PurgeNotice};
use crate::requester::{self, RequestToken, Requester};
use crate::responder::{self, Responder};
use crate::routes::{RouteRule, RouteTable};
use crate::{ConnectionId, LinkLimits, Millis, TrustLimits};
use connections::Role;
use std::collections::{BTreeMap, HashMap, VecDeque};

/// A peer and the requesting side towards it.
#[derive(Debug)]
struct Peer {
    site: String,
    requester: Requester,
    /// Whether it was removed from the configuration: it gets no new requests, and its open exchanges are completed.
    is_removed: bool,
}

/// A gateway between sites.
#[derive(Debug)]
pub struct SiteGateway {
    own_site: String,
    max_hops: u32,
    link: LinkLimits,
    trust: TrustLimits,
    routes: RouteTable,
    peers: Vec<Peer>,
    epoch: u64,
    responder: Responder,
    purges: PurgeLog,
    roles: BTreeMap<ConnectionId, Role>,
    /// The index of the peer that each request is forwarded to.
    requests: HashMap<RequestToken, usize>,
    effects: VecDeque<Effect>,
    /// When the limit on the age of this site's copies was last set or renewed; `None` while there is none.
    copy_age_limited_at: Option<Millis>,
    /// How often the limit on the age of this site's copies was set or renewed since the start.
    pub copy_age_limits: u64,
    /// Requests sent to the home since the start because copies were not trusted.
    pub distrusted: DistrustCounters,
}

impl SiteGateway {
    /// Creates a gateway whose process has just started. `epoch`: a number that no other process uses.
    pub fn new(config: SiteConfig, epoch: u64, now: Millis) -> Self {
        let mut gateway = SiteGateway {
            peers: Vec::new(),
            epoch,
            routes: RouteTable::new(&config.own_site, config.rules),
            responder: Responder::new(config.link),
            purges: PurgeLog::new(&config.own_site, epoch, config.trust, now),
            roles: BTreeMap::new(),
            requests: HashMap::new(),
            effects: VecDeque::new(),
            copy_age_limited_at: None,
            copy_age_limits: 0,
            distrusted: DistrustCounters::default(),
            own_site: config.own_site,
            max_hops: config.max_hops,
            link: config.link,
            trust: config.trust,
        };
        for peer in &config.peers {
            gateway.add_peer(now, peer);
        }
        gateway
    }

    /// Removes and returns the next effect for the caller to execute.
    pub fn next_effect(&mut self) -> Option<Effect> {
        self.effects.pop_front()
    }

    /// This site's name.
    pub fn own_site(&self) -> &str {
        &self.own_site
    }

    /// The limits of the links.
    pub fn link_limits(&self) -> &LinkLimits {
        &self.link
    }

    /// The limits of the trust in copies.
    pub fn trust_limits(&self) -> &TrustLimits {
        &self.trust
    }

    /// The requesting side towards a peer.
    pub fn requester(&self, peer: usize) -> Option<&Requester> {
        self.peers.get(peer).map(|peer| &peer.requester)
    }

    /// Bytes of forwarded requests and their responses, in both directions, with what may be sent to this gateway at any
    /// time.
    pub fn held_bytes(&self) -> usize {
        let requesters = self.peers.iter().map(|peer| peer.requester.held_bytes());
        requesters.sum::<usize>() + self.responder.usage().retained_bytes
    }

    /// Sets how many bytes may be taken for further responses of peers.
    pub fn set_memory_room(&mut self, bytes: usize) {
        for index in 0..self.peers.len() {
            self.peers[index].requester.set_memory_room(bytes);
            self.collect_requester_effects(index);
        }
    }

    /// The serving side.
    pub fn responder(&self) -> &Responder {
        &self.responder
    }

    /// The purge log.
    pub fn purges(&self) -> &PurgeLog {
        &self.purges
    }

    /// Replaces the routes. Open requests are not rerouted.
    pub fn set_routes(&mut self, rules: Vec<RouteRule>) {
        self.routes = RouteTable::new(&self.own_site, rules);
    }

    /// Adds a peer. Returns its index.
    pub fn add_peer(&mut self, now: Millis, config: &PeerConfig) -> usize {
        let index = self.peers.len();
        let sessions: Vec<u64> =
            (0..config.endpoints).map(|endpoint| session_number(self.epoch, index, endpoint)).collect();
        let requester = Requester::new(self.link, config.connections, &sessions, now);
        self.peers.push(Peer { site: config.site.clone(), requester, is_removed: false });
        index
    }

    /// Removes a peer: no new requests are forwarded to it, and its links are closed once no exchange is open on them.
    pub fn remove_peer(&mut self, peer: usize) {
        if let Some(peer) = self.peers.get_mut(peer) {
            peer.requester.close();
            peer.is_removed = true;
        }
    }

    /// The index of the peer with the given site name.
    fn peer_index(&self, site: &str) -> Option<usize> {
        self.peers.iter().position(|peer| peer.site == site && !peer.is_removed)
    }

    /// Processes a purge from the site's own feed: logs it and sends it to the peers.
    pub fn purge_notified(&mut self, now: Millis, notice: PurgeNotice) {
        let number = self.purges.purge_notified(now, notice);
        self.broadcast_purge(now, number);
    }

    /// Processes expired timers. `unix_time`: the current Unix time.
    pub fn tick(&mut self, now: Millis, unix_time: Millis) {
        self.mark_connected_peers(now);
        self.purges.tick(now);
        for index in 0..self.peers.len() {
            self.peers[index].requester.tick(now, unix_time, &self.purges);
            self.collect_requester_effects(index);
        }
        self.responder.tick(now);
        self.collect_responder_effects();
        self.limit_copy_age(now);
        self.close_without_hello(now);
    }

    /// The time by which [`SiteGateway::tick`] must be called next for the timers of the requesting sides. The timeouts
    /// of the serving side, of handshakes and of the copy age limit are not included: for these the caller must also
    /// call `tick` at regular intervals.
    pub fn next_timer(&self) -> Option<Millis> {
        self.peers.iter().filter_map(|peer| peer.requester.next_timer()).min_by(f64::total_cmp)
    }

    /// Asks all requesting sides to send no new attempts to this process.
    pub fn go_away(&mut self, reason: &str, retry_after: Millis) {
        self.responder.go_away(reason, retry_after);
        self.collect_responder_effects();
    }

    /// Queues the effects of the requesting side towards a peer.
    fn collect_requester_effects(&mut self, peer: usize) {
        while let Some(effect) = self.peers[peer].requester.next_effect() {
            self.effects.push_back(match effect {
                requester::Effect::Connect(endpoint) => Effect::Connect { peer, endpoint },
                requester::Effect::Send(connection, payload) => Effect::Send(connection, payload.into()),
                requester::Effect::Close(connection, reason) => {
                    self.roles.remove(&connection);
                    Effect::Close(connection, reason)
                }
                requester::Effect::Reply(token, reply) => {
                    self.requests.remove(&token);
                    Effect::Reply(token, reply)
                }
            });
        }
    }

    /// Queues the effects of the serving side.
    fn collect_responder_effects(&mut self) {
        while let Some(effect) = self.responder.next_effect() {
            self.effects.push_back(match effect {
                responder::Effect::Send(connection, payload) => Effect::Send(connection, payload.into()),
                responder::Effect::Close(connection, reason) => {
                    self.roles.remove(&connection);
                    Effect::Close(connection, reason)
                }
                responder::Effect::Run(run, request) => Effect::Run(run, request),
                responder::Effect::Cancel(run) => Effect::Cancel(run),
            });
        }
    }
}

/// Derives the session number for one endpoint of a peer, which no other process uses.
fn session_number(epoch: u64, peer: usize, endpoint: usize) -> u64 {
    mix_bits(epoch ^ mix_bits((peer as u64) << 32 | endpoint as u64))
}

/// Mixes the bits of a number (the finalizer of `SplitMix64`).
fn mix_bits(number: u64) -> u64 {
    let number = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let number = (number ^ (number >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    number ^ (number >> 31)
}
