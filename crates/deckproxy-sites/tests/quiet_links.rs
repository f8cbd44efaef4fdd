//! Purges over a link on which none was sent for long, with heartbeats from one side only.

mod common;

use common::{LINK, TRUST};
use deckproxy_sites::frame::{Frame, Heartbeat, Payload, Purge};
use deckproxy_sites::purges::PurgeNotice;
use deckproxy_sites::site::{Effect, PeerConfig, SiteConfig, SiteGateway};
use deckproxy_sites::{ConnectionId, TrustLimits};

/// Duration of one step, ms.
const STEP: f64 = 50.0;
/// Time after a purge by which every older copy has expired, ms.
const COPY_LIFETIME: f64 = 2000.0;
const PURGED_OBJECT: u64 = 7;

fn site(name: &str, epoch: u64, peer: Option<&str>) -> SiteGateway {
    let peer_config = |site: &str| PeerConfig { site: site.to_string(), endpoints: 1, connections: 1 };
    let config = SiteConfig {
        own_site: name.to_string(),
        peers: peer.map(peer_config).into_iter().collect(),
        rules: Vec::new(),
        max_hops: 1,
        link: LINK,
        trust: TrustLimits { copy_lifetime: COPY_LIFETIME, known_purge_history: COPY_LIFETIME, ..TRUST },
    };
    SiteGateway::new(config, epoch, 0.0)
}

/// Two sites on one clock: the first opens the link, the second accepts it.
struct LinkedPair {
    sites: [SiteGateway; 2],
    now: f64,
    connection: ConnectionId,
    /// Objects that each site was told to purge by the other one.
    purged: [Vec<Option<u64>>; 2],
    /// Frames other than the purges, which are lost while this is set.
    delivers_only_purges: bool,
}

impl LinkedPair {
    fn start() -> Self {
        let mut pair = LinkedPair {
            sites: [site("north", 1, Some("south")), site("south", 2, None)],
            now: 0.0,
            connection: 0,
            purged: [Vec::new(), Vec::new()],
            delivers_only_purges: false,
        };
        pair.run_for(10.0 * STEP);
        assert_ne!(pair.connection, 0, "the link is up");
        pair
    }

    fn run_for(&mut self, duration: f64) {
        let end = self.now + duration;
        while self.now < end {
            self.now += STEP;
            self.sites.iter_mut().for_each(|site| site.tick(self.now, self.now));
            self.execute_effects();
        }
    }

    fn execute_effects(&mut self) {
        loop {
            let next = (0..2).find_map(|index| Some((index, self.sites[index].next_effect()?)));
            let Some((index, effect)) = next else { return };
            match effect {
                Effect::Connect { peer, endpoint } => self.connect(peer, endpoint),
                Effect::Send(connection, frame) => self.deliver(1 - index, connection, frame),
                Effect::Close(connection, _) => self.sites[1 - index].disconnected(self.now, connection, &[]),
                Effect::Purge(notice) => self.purged[index].push(notice.object),
                _ => {}
            }
        }
    }

    fn connect(&mut self, peer: usize, endpoint: usize) {
        self.connection += 1;
        self.sites[1].accepted(self.now, self.connection);
        self.sites[0].connected(self.now, peer, endpoint, self.connection);
    }

    fn deliver(&mut self, to: usize, connection: ConnectionId, frame: Frame) {
        if self.delivers_only_purges && !matches!(frame.payload, Some(Payload::Purge(_))) {
            return;
        }
        self.sites[to].receive(self.now, self.now, connection, frame);
    }

    /// Notifies one site of a purge of an object.
    fn purge(&mut self, index: usize, object: u64) {
        self.sites[index].purge_notified(self.now, PurgeNotice { object: Some(object), group: 0, age: 0.0 });
        self.execute_effects();
    }
}

/// Guards against purges that are ignored because their sender was forgotten during a quiet time, although its
/// connection was up.
#[test]
fn purge_after_a_quiet_time_applies_on_the_site_that_only_accepts() {
    let mut pair = LinkedPair::start();
    let connection = pair.connection;
    for round in 1..=3u64 {
        pair.run_for(10.0 * COPY_LIFETIME);
        pair.purge(0, round);
        assert_eq!(pair.purged[1].last(), Some(&Some(round)), "round {round}");
        pair.purge(1, 100 + round);
        assert_eq!(pair.purged[0].last(), Some(&Some(100 + round)), "round {round}");
    }
    assert_eq!(pair.connection, connection, "the link was up throughout");
    assert_eq!(pair.sites.each_ref().map(|site| site.purges().gaps), [0, 0]);
}

/// The same on the side that opens the link, while bodies keep it alive and delay the responses to its heartbeats.
#[test]
fn purge_after_late_heartbeat_responses_applies_on_the_site_that_connects() {
    let mut pair = LinkedPair::start();
    let connection = pair.connection;
    pair.delivers_only_purges = true;
    for _ in 0..200 {
        pair.run_for(STEP);
        pair.sites.iter_mut().for_each(|site| site.mark_alive(pair.now, connection));
    }
    pair.purge(1, PURGED_OBJECT);
    assert_eq!(pair.purged[0], [Some(PURGED_OBJECT)]);
    assert_eq!(pair.connection, connection, "the link was up throughout");
}

/// A process that has ended is forgotten, so that restarts of a peer do not use more and more memory.
#[test]
fn disconnected_peer_is_forgotten_after_two_copy_lifetimes() {
    let mut pair = LinkedPair::start();
    pair.purge(0, PURGED_OBJECT);
    let connection = pair.connection;
    let south = &mut pair.sites[1];
    south.disconnected(pair.now, connection, &[]);
    for (after, expected) in [(1.9 * COPY_LIFETIME, 1), (2.1 * COPY_LIFETIME, 0)] {
        south.tick(pair.now + after, pair.now + after);
        assert_eq!(south.purges().last_received_from(1), expected, "{after} ms after the disconnection");
    }
    // A purge without a connection is not attributed to it.
    let purge = Purge { number: 2, object: Some(PURGED_OBJECT), ..Purge::default() };
    south.receive(pair.now, pair.now, connection, Payload::Purge(purge).into());
    south.receive(pair.now, pair.now, connection, Payload::Ping(Heartbeat::default()).into());
    assert_eq!(pair.purged[1], [Some(PURGED_OBJECT)]);
}
