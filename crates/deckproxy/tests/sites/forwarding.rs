//! Requests that are forwarded to another site, and their answers.

use crate::{LinkedSite, SOUTHERN, SitePair, operator_text, wait_for_link};
use deckproxy_standins::*;
use std::time::Duration;

#[test]
fn cross_site_request_and_answer_are_unchanged() {
    let mut pair = SitePair::start();
    let fields = [("lookup", SOUTHERN), ("seg", "3"), ("ref", "00000000000000aa"), ("bucket", "9")];
    let id = pair.client.send_request("page", &fields, b"");
    let (cache, request) = pair.south.members.next_request();
    assert_eq!(
        (&*request.id, request.field("name"), request.field("piece")),
        ("00000000000000aa", Some(SOUTHERN), Some("3"))
    );
    let ttl: f64 = request.field("ttl").unwrap().parse().unwrap();
    assert!((1000.0..=1200.0).contains(&ttl), "the remaining time is sent as a duration: {ttl}");
    cache.answer(&request, "200", b"from the south");
    pair.client.expect_served(id, b"from the south");
    // Objects of the own site are served locally.
    pair.north.members.serve_object(&mut pair.client, "a000000000000001", b"own");
    assert!(pair.south.members.request_if_any().is_none());
}

#[test]
fn rejection_returns_with_retry_after() {
    let pair = SitePair::start();
    // The south has no member left, so its decision module rejects the request.
    let entries: Vec<_> = ["s-00000001", "s-00000002", "s-00000003", "s-00000004"]
        .iter()
        .map(|id| {
            entry(id, free_address(), if id.ends_with(['1', '2']) { "edge" } else { "hub" }, kind(id), "Gone")
        })
        .collect();
    let list = member_update(2, &entries);
    send_line(&pair.south.feed_connection, &list);
    let mut client = pair.north.gateway.client();
    let mut own = pair.south.gateway.client();
    let id = own.request_object(SOUTHERN);
    let local = own.expect_error(id, "Shed");
    let id = client.request_object(SOUTHERN);
    assert_eq!(client.expect_error(id, "Shed"), local, "the same rejection as for a client of the south");
}

fn kind(id: &str) -> &'static str {
    match &id[id.len() - 1..] {
        "3" => "parent",
        "4" => "origin",
        _ => "box",
    }
}

#[test]
fn requests_for_one_object_are_collapsed_across_sites() {
    let mut pair = SitePair::start();
    let mut others: Vec<Client> = (0..20).map(|_| pair.north.gateway.client()).collect();
    let first = pair.client.request_object(SOUTHERN);
    let (cache, request) = pair.south.members.next_request();
    let ids: Vec<u64> = others.iter_mut().map(|c| c.request_object(SOUTHERN)).collect();
    assert!(pair.south.members.request_if_any().is_none());
    cache.answer(&request, "200", b"for all");
    pair.client.expect_served(first, b"for all");
    others.iter_mut().zip(ids).for_each(|(client, id)| client.expect_served(id, b"for all"));
    assert!(pair.south.members.request_if_any().is_none());
}

#[test]
fn small_answers_overtake_a_large_one() {
    let mut pair = SitePair::start();
    pair.link.throttle(320);
    let large = vec![1; 200_000];
    let first = pair.client.send_request("page", &[("lookup", SOUTHERN), ("room", "200")], b"");
    let (cache, request) = pair.south.members.next_request();
    cache.answer(&request, "200", &large);
    std::thread::sleep(Duration::from_millis(50));
    pair.south.members.serve_object(&mut pair.client, "b000000000000002", b"small");
    pair.client.expect_served(first, &large);
}

#[test]
fn three_sites_in_a_ring_forward_without_loops() {
    let [a, b, c] = [free_address(), free_address(), free_address()];
    let east = LinkedSite::start(operator_text(
        "east",
        c,
        &[("north", a)],
        &[("a", "north", ""), ("d", "south", "via: \"north\"")],
    ));
    // The south routes d to the east and the east routes it to the south: each file is valid by itself.
    let routes = [("c", "east", ""), ("d", "east", "")];
    let south = LinkedSite::start(operator_text("south", b, &[("east", c)], &routes));
    let north = LinkedSite::start(operator_text(
        "north",
        a,
        &[("south", b)],
        &[("c", "east", "via: \"south\""), ("d", "south", "")],
    ));
    wait_for_link(&north, "south");
    wait_for_link(&south, "east");
    wait_for_link(&east, "north");
    let mut client = north.gateway.client();
    east.members.serve_object(&mut client, "c000000000000001", b"from the east");
    let id = client.request_object("d000000000000001");
    assert!(matches!(client.next_answer(), (got, Answer::Error(..)) if got == id), "the routes form a loop");
    // The log line may be read after the answer.
    until("the rejection is logged", || {
        [&south, &east].iter().any(|s| s.gateway.log().contains("over a link is rejected"))
    });
    // A purge announced in the north reaches all sites.
    send_line(
        &north.feed_connection,
        &serde_json::json!({"n": 2, "purge": {"key": "c000000000000001", "at": unix_ms()}}),
    );
    until("the purge applies in the east", || {
        let mut own = east.gateway.client();
        let (_, request) = east.members.serve_object(&mut own, "c000000000000001", b"new");
        request.field("within").is_some()
    });
}

#[test]
fn client_disconnect_cancels_its_cross_site_request() {
    let mut pair = SitePair::start();
    let id = pair.client.request_object(SOUTHERN);
    let (cache, request) = pair.south.members.next_request();
    pair.client.cancel(id);
    cache.expect_cancelled(&request.id);
    let other = pair.north.gateway.client();
    drop(other);
    let id = pair.client.request_object("b000000000000003");
    let (cache, request) = pair.south.members.next_request();
    drop(std::mem::replace(&mut pair.client, pair.north.gateway.client()));
    cache.expect_cancelled(&request.id);
    let _ = id;
    assert!(pair.north.feed.address.port() > 0);
}

/// Guards against a second execution at another site: the client of a forwarded request leaves while it runs, and another
/// one sends it again under the same name.
#[test]
fn forwarded_request_that_may_have_run_is_not_run_again_under_its_name() {
    let pair = SitePair::start();
    let fields = [("lookup", SOUTHERN), ("ref", "00000000000000aa")];
    let mut client = pair.north.gateway.client();
    client.send_request("once", &fields, b"effect");
    let request = pair.south.members.origin.next_request();
    drop(client);
    pair.south.members.origin.expect_cancelled(&request.id);
    for gateway in [&pair.north.gateway, &pair.south.gateway] {
        let mut again = gateway.client();
        let id = again.send_request("once", &fields, b"effect");
        assert!(matches!(again.next_answer(), (of, Answer::Error(word, _)) if of == id && word != "Shed"));
    }
    assert!(pair.south.members.origin.request_if_any().is_none(), "it ran twice");
}
