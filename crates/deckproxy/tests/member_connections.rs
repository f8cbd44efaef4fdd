//! Connections to members: when they are opened, reused, shared and closed. A fault would make a request be sent twice,
//! not be retried, or be answered late.

use deckproxy_standins::*;
use serde_json::json;
use std::time::{Duration, Instant};

/// Serves one request, so that a connection is established; returns the object's cache and the connection's number.
fn use_connection<'a>(site: &'a TestSite, client: &mut Client) -> (&'a Member, u64) {
    let (cache, request) = site.serve_object(client, OBJECT, b"warm");
    (cache, request.connection)
}

#[test]
fn refused_connection_proves_that_nothing_ran() {
    let site = TestSite::start();
    site.origin.stop_listening();
    let gateway = site.setup().start();
    let mut client = gateway.client();
    // Without an idempotency key it may be rejected as retryable only because it never ran.
    let id = client.send_request("once", &[("lookup", OBJECT)], b"x");
    client.expect_error(id, "Shed");
}

#[test]
fn stalled_handshake_times_out_and_never_ran() {
    let site = TestSite::start();
    let late = StalledListener::start();
    let setup = site.setup_with_cache_at(late.address);
    let gateway = setup.start();
    let mut client = gateway.client();
    // The descriptor count includes this client once it is answered.
    client.expect_ready();
    let before = gateway.usage().descriptors;
    let start = Instant::now();
    let id = client.request_object(OBJECT);
    let request = site.parent.next_request();
    assert!((380..1100).contains(&start.elapsed().as_millis()), "{:?}", start.elapsed());
    site.parent.answer(&request, "200", b"done");
    client.expect_served(id, b"done");
    // Only the parent's connection is new: the failed one is closed.
    until("the handshake is abandoned", || gateway.usage().descriptors <= before + 1);
}

#[test]
fn silent_member_ends_at_deadline_and_its_connection_is_not_reused() {
    let (site, _gateway, mut client) = TestSite::start_with_client();
    let (cache, connection) = use_connection(&site, &mut client);
    let start = Instant::now();
    let id = client.request_object(OBJECT);
    let request = cache.next_request();
    assert_eq!(request.connection, connection);
    client.expect_error(id, "Shed");
    let took = start.elapsed().as_millis();
    assert!((1195..1700).contains(&took), "{took} ms");
    cache.expect_cancelled(&request.id);
    // The process may have crashed silently: the next request uses a new connection.
    let id = client.request_object(OBJECT);
    let again = cache.next_request();
    assert_ne!(again.connection, connection);
    cache.answer(&again, "200", b"back");
    client.expect_served(id, b"back");
}

#[test]
fn connection_closed_while_idle_costs_nothing() {
    let (site, gateway, mut client) = TestSite::start_with_client();
    for _ in 0..3 {
        let (cache, connection) = use_connection(&site, &mut client);
        let before = gateway.usage().descriptors;
        cache.close(connection);
        cache.expect_closed();
        // A request sent before the gateway notices the close would cross it, which is another case.
        until("the gateway has noticed the close", || gateway.usage().descriptors < before);
    }
    assert!(!gateway.log().contains("attempts in flight"), "{}", gateway.log());
}

#[test]
fn connection_near_its_idle_timeout_is_not_used() {
    let site = TestSite::start();
    let mut setup = site.setup();
    setup.settings["limits"]["connIdleMs"] = json!(1000.0);
    let gateway = setup.start();
    let mut client = gateway.client();
    let (cache, first) = use_connection(&site, &mut client);
    // The gateway closes the connection half a second before the member would.
    let start = Instant::now();
    cache.expect_closed();
    assert!(start.elapsed() < Duration::from_secs(1), "{:?}", start.elapsed());
    let (_, second) = use_connection(&site, &mut client);
    assert_ne!(first, second);
}

#[test]
fn scarce_descriptors_share_connections_up_to_the_configured_limit() {
    let site = TestSite::start();
    let mut setup = site.setup();
    setup.settings["limits"]["maxStreams"] = json!(4);
    setup.sockets = 32;
    let gateway = setup.start();
    let mut client = gateway.client();
    let all = site.send_writes(&mut client, 30);
    let mut carried = std::collections::BTreeMap::new();
    for (_, a) in &all {
        *carried.entry(a.connection).or_insert(0) += 1;
    }
    assert!((8..=14).contains(&carried.len()), "{carried:?}");
    assert!(carried.values().all(|n| (2..=4).contains(n)), "{carried:?}");
    for (id, request) in &all {
        site.origin.answer(request, "200", request.id.as_bytes());
        client.expect_served(*id, request.id.as_bytes());
    }
}

#[test]
fn address_taken_over_by_a_new_member_gets_a_new_connection() {
    let site = TestSite::start();
    let SubscribedGateway { gateway: _gateway, mut client, subscription, .. } = site.start_subscribed();
    let (cache, connection) = use_connection(&site, &mut client);
    let other = site.other_cache(cache);
    let members = [
        cache.entry("edge", "box", "Gone"),
        other.entry("edge", "box", "Gone"),
        entry("s-0000000a", cache.address, "edge", "box", "Ready"),
    ];
    send_line(&subscription, &member_update(2, &members));
    // The old member's idle connection is closed, though the address is the same.
    cache.expect_closed();
    let id = client.request_object(OBJECT);
    let request = cache.next_request();
    assert_ne!(request.connection, connection);
    cache.answer(&request, "200", b"new");
    client.expect_served(id, b"new");
}

#[test]
fn restarted_member_gets_a_new_connection() {
    let site = TestSite::start();
    let SubscribedGateway { gateway: _gateway, mut client, subscription, .. } = site.start_subscribed();
    let (cache, connection) = use_connection(&site, &mut client);
    // The old process crashed silently: the connection still looks open.
    let mut again = cache.entry("edge", "box", "Ready");
    again["up_since_ms"] = json!(unix_ms() - 60_000);
    let other = site.other_cache(cache).entry("edge", "box", "Terminating");
    send_line(&subscription, &member_update(2, &[again, other]));
    until("requests use a new connection", || {
        let (_, now) = use_connection(&site, &mut client);
        now != connection
    });
}

#[test]
fn partial_answer_on_an_idle_connection_corrupts_no_later_one() {
    let (site, _gateway, mut client) = TestSite::start_with_client();
    let request = site.serve_write(&mut client, b"x", b"done");
    site.origin.send(request.connection, b"*4\r\n$16\r\n0123");
    // A request that must not run twice would be lost after the partial answer.
    let id = client.send_request("once", &[("lookup", OBJECT)], b"y");
    let next = site.origin.next_request();
    assert_ne!(next.connection, request.connection);
    site.origin.answer(&next, "200", b"whole");
    client.expect_served(id, b"whole");
}

/// Regression test: the connection had the fewest attempts in flight of the shared ones and was therefore preferred.
#[test]
fn partial_answer_on_an_idle_connection_is_not_shared_when_descriptors_are_scarce() {
    let site = TestSite::start();
    let mut setup = site.setup();
    // Five connections to members, one of which is reserved: attempts share four.
    setup.sockets = 12;
    let gateway = setup.start();
    let mut client = gateway.client();
    let all = site.send_writes(&mut client, 4);
    let (id, idle_request) = &all[0];
    site.origin.answer(idle_request, "200", b"done");
    client.expect_served(*id, b"done");
    site.origin.send(idle_request.connection, b"*4\r\n$16\r\n0123");
    let id = client.send_request("once", &[("lookup", OBJECT)], b"y");
    let next = site.origin.next_request();
    assert_ne!(next.connection, idle_request.connection);
    site.origin.answer(&next, "200", b"whole");
    client.expect_served(id, b"whole");
}

/// Regression test: after its attempt timed out, the connection was treated like any other with one attempt in flight.
#[test]
fn connection_with_an_incomplete_answer_is_not_reused() {
    let site = TestSite::start();
    let mut setup = site.setup();
    setup.sockets = 12;
    let gateway = setup.start();
    let mut client = gateway.client();
    let broken = client.send_request("once", &[("lookup", OBJECT), ("allow", "700")], b"x");
    let first = site.origin.next_request();
    let all = site.send_writes(&mut client, 4);
    assert_eq!(all[3].1.connection, first.connection, "the fifth attempt shares a connection");
    let whole = Member::encode(&first.id, "200", "-", &[7; 5000]);
    site.origin.send(first.connection, &whole[..3000]);
    // The request timed out, and more than the connect timeout has passed since the last byte.
    client.expect_error(broken, "Fault");
    let id = client.send_request("once", &[("lookup", OBJECT)], b"y");
    let next = site.origin.next_request();
    assert_ne!(next.connection, first.connection);
    site.origin.answer(&next, "200", b"whole");
    client.expect_served(id, b"whole");
}
