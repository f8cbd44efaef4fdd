//! Purges across sites, and the age of copies while a peer is unreachable.

use crate::{LinkedSite, SOUTHERN, SitePair, operator_text, wait_for_link};
use deckproxy_standins::link_relay::LinkState;
use deckproxy_standins::*;
use std::time::Duration;

#[test]
fn purge_on_one_site_applies_on_the_other() {
    let mut pair = SitePair::start();
    let purge = |n: u64| serde_json::json!({"n": n, "purge": {"key": SOUTHERN, "at": unix_ms()}});
    send_line(&pair.north.feed_connection, &purge(2));
    let mut within = None;
    until("the purge applies in the south", || {
        let mut own = pair.south.gateway.client();
        let (_, request) = pair.south.members.serve_object(&mut own, SOUTHERN, b"new");
        within = request.field("within").and_then(|w| w.parse::<u64>().ok());
        within.is_some()
    });
    assert!(within.unwrap() < 5000, "{within:?}");
    // The requester does not pass on an answer older than a purge that it knows of.
    let id = pair.client.request_object("b000000000000005");
    let (cache, request) = pair.south.members.next_request();
    let key = serde_json::json!({"n": 3, "purge": {"key": "b000000000000005", "at": unix_ms()}});
    send_line(&pair.north.feed_connection, &key);
    std::thread::sleep(Duration::from_millis(650));
    let old = format!("entity=t1,issued={}", unix_ms() - 60_000);
    cache.send(request.connection, &Member::encode(&request.id, "200", &old, b"old"));
    let (cache, request) = pair.south.members.next_request();
    let new = format!("entity=t2,issued={}", unix_ms());
    cache.send(request.connection, &Member::encode(&request.id, "200", &new, b"new"));
    pair.client.expect_served(id, b"new");
}

/// Guards against purges that are ignored after two copy lifetimes in which only heartbeats of the other side came.
#[test]
fn purge_after_a_quiet_time_applies_on_the_site_that_only_accepts() {
    let south_at = free_address();
    let with_short_life = |text: String| text.replace("trust {", "trust { copy_life_ms: 500");
    let south = LinkedSite::start(with_short_life(operator_text("south", south_at, &[], &[])));
    let routes = [("b", "south", "")];
    let north = operator_text("north", free_address(), &[("south", south_at)], &routes);
    let north = LinkedSite::start(with_short_life(north));
    wait_for_link(&north, "south");
    std::thread::sleep(Duration::from_millis(1600));
    let purge = serde_json::json!({"n": 2, "purge": {"key": SOUTHERN, "at": unix_ms()}});
    send_line(&north.feed_connection, &purge);
    let mut own = south.gateway.client();
    until("the purge applies in the south", || {
        let (_, request) = south.members.serve_object(&mut own, SOUTHERN, b"new");
        request.field("within").is_some()
    });
    let link_ups = north.gateway.log().matches("link to south (0): up; 1 of 1 endpoints").count();
    assert_eq!(link_ups, 1, "the link was up throughout");
}

#[test]
fn own_copies_are_limited_in_age_while_the_peer_is_unreachable() {
    let pair = SitePair::start();
    let within = |pair: &SitePair| {
        let mut own = pair.north.gateway.client();
        let (_, request) = pair.north.members.serve_object(&mut own, "a000000000000001", b"own");
        request.field("within").and_then(|w| w.parse::<u64>().ok())
    };
    until("the south is reachable", || pair.north.gateway.log().contains("all peers are reachable"));
    pair.link.set_state(LinkState::Silent);
    until("the north considers the south unreachable", || {
        pair.north.gateway.log().matches("is unreachable").count() == 2
    });
    let max_age = within(&pair);
    assert!(max_age.is_some_and(|w| w <= 1000), "{max_age:?}");
    pair.link.set_state(LinkState::Up);
    until("the south is reachable again", || {
        pair.north.gateway.log().matches("all peers are reachable").count() == 2
    });
}

#[test]
fn local_copies_are_served_while_the_lease_lasts() {
    let mut pair = SitePair::start_with("mode: COPIES");
    until("the south is reachable", || pair.north.gateway.log().contains("all peers are reachable"));
    pair.north.members.serve_object(&mut pair.client, SOUTHERN, b"copy");
    pair.link.set_state(LinkState::Silent);
    until("the north considers the south unreachable", || {
        pair.north.gateway.log().matches("is unreachable").count() == 2
    });
    let id = pair.client.request_object(SOUTHERN);
    pair.client.expect_error(id, "Shed");
    assert!(pair.north.members.request_if_any().is_none(), "a copy was requested after the lease expired");
}
