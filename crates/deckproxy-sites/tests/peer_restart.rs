//! Two connections to one address of a peer that reach different processes, as while the peer is restarted.

mod common;

use common::{LINK, TRUST, hello};
use deckproxy_sites::ConnectionId;
use deckproxy_sites::frame::{Heartbeat, Hello, Payload, Purge};
use deckproxy_sites::site::{Effect, PeerConfig, SiteConfig, SiteGateway};

/// Epochs of the process that ends and of its successor.
const EPOCHS: [u64; 2] = [1, 2];
/// The connections to them.
const CONNECTIONS: [ConnectionId; 2] = [11, 12];

/// A gateway of site a with a connection to each of the two processes of site b, whose logs go back as far as given, ms.
fn connected(histories: [f64; 2]) -> SiteGateway {
    let config = SiteConfig {
        own_site: "a".to_string(),
        peers: vec![PeerConfig { site: "b".to_string(), endpoints: 1, connections: 2 }],
        rules: Vec::new(),
        max_hops: 1,
        link: LINK,
        trust: TRUST,
    };
    let mut site = SiteGateway::new(config, 9, 0.0);
    for (index, purge_history) in histories.into_iter().enumerate() {
        let connection = CONNECTIONS[index];
        site.connected(0.0, 0, 0, connection);
        let hello = Hello { purge_history, ..hello(EPOCHS[index]) };
        site.receive(0.0, 0.0, connection, Payload::Hello(hello).into());
    }
    site
}

fn receive_purge(site: &mut SiteGateway, index: usize, number: u64, object: u64) {
    let (origin_epoch, origin_number) = (EPOCHS[index], number);
    let object = Some(object);
    let purge = Purge { number, object, origin_epoch, origin_number, ..Purge::default() };
    site.receive(1.0, 1.0, CONNECTIONS[index], Payload::Purge(purge).into());
}

/// Objects that the site purged.
fn purged(site: &mut SiteGateway) -> Vec<u64> {
    let effects = std::iter::from_fn(|| site.next_effect());
    let object = |effect| match effect {
        Effect::Purge(notice) => notice.object,
        _ => None,
    };
    effects.filter_map(object).collect()
}

/// Guards against purges of a new process that are taken for known ones, because those of the process before it were
/// counted in its log.
#[test]
fn purges_of_two_processes_of_one_endpoint_are_counted_apart() {
    let mut site = connected([TRUST.copy_lifetime; 2]);
    (1..=3).for_each(|number| receive_purge(&mut site, 0, number, 100 + number));
    (1..=3).for_each(|number| receive_purge(&mut site, 1, number, 200 + number));
    receive_purge(&mut site, 0, 4, 104);
    assert_eq!(purged(&mut site), [101, 102, 103, 201, 202, 203, 104]);
    assert_eq!(EPOCHS.map(|epoch| site.purges().last_received_from(epoch)), [4, 3]);
    assert_eq!(site.purges().gaps, 0);
}

/// Guards against trust in a process because of a heartbeat response of another one.
#[test]
fn heartbeat_response_confirms_only_the_process_that_sent_it() {
    // The first process may lack purges from before its start.
    let mut site = connected([0.0, TRUST.copy_lifetime]);
    site.tick(1.0, 1.0);
    let respond = |site: &mut SiteGateway, connection: ConnectionId| {
        let pong = Heartbeat { sequence: 1, unix_time: 2.0, ..Heartbeat::default() };
        site.receive(2.0, 2.0, connection, Payload::Pong(pong).into());
    };
    respond(&mut site, CONNECTIONS[0]);
    assert!(site.purges().check_trust(2.0, "b").is_err(), "the second process has confirmed nothing");
    respond(&mut site, CONNECTIONS[1]);
    assert_eq!(site.purges().check_trust(2.0, "b"), Ok(()));
}
