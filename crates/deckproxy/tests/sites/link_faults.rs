//! Links that are cut, silent or slow, and gateways that are killed.

use crate::{LinkedSite, SOUTHERN, SitePair, operator_text};
use deckproxy_standins::link_relay::LinkState;
use deckproxy_standins::*;
use std::time::{Duration, Instant};

#[test]
fn write_whose_answer_was_lost_with_the_link_runs_once() {
    for state in [LinkState::Reset, LinkState::Silent, LinkState::HalfOpen] {
        let mut pair = SitePair::start();
        let fields = [("lookup", SOUTHERN), ("replay", "k1")];
        let id = pair.client.send_request("post", &fields, b"write");
        let origin = &pair.south.members.origin;
        let request = origin.next_request();
        pair.link.set_state(state);
        // The requester needs time to notice a silent link.
        std::thread::sleep(Duration::from_millis(if state == LinkState::Reset { 20 } else { 400 }));
        origin.answer(&request, "200", b"written");
        std::thread::sleep(Duration::from_millis(50));
        pair.link.set_state(LinkState::Up);
        pair.client.expect_served(id, b"written");
        assert!(origin.request_if_any().is_none(), "{state:?}: it ran a second time");
    }
}

#[test]
fn write_at_a_killed_gateway_fails_and_does_not_run_again() {
    let mut pair = SitePair::start();
    let id = pair.client.send_request("post", &[("lookup", SOUTHERN), ("replay", "k1")], b"write");
    let request = pair.south.members.origin.next_request();
    pair.south.gateway.kill();
    pair.south.gateway = pair.south.setup.start();
    let start = Instant::now();
    pair.client.expect_error(id, "Fault");
    assert!(
        start.elapsed() < Duration::from_millis(900),
        "failed as soon as the new process announces its new epoch"
    );
    assert!(pair.south.members.origin.request_if_any().is_none(), "{} ran again", request.id);
}

#[test]
fn read_at_a_killed_gateway_is_retried() {
    let mut pair = SitePair::start();
    let id = pair.client.request_object(SOUTHERN);
    let _ = pair.south.members.next_request();
    pair.south.gateway.kill();
    pair.south.gateway = pair.south.setup.start();
    let (cache, request) = pair.south.members.next_request();
    cache.answer(&request, "200", b"again");
    pair.client.expect_served(id, b"again");
}

/// The south has two gateways with the same caches; one of them is killed.
#[test]
fn second_path_takes_over_at_once() {
    let [first, second] = [free_address(), free_address()];
    let south = LinkedSite::start(format!("sites {{ name: \"south\" listen: \"{first}\" }}"));
    let mut setup = south.members.setup();
    setup.operator = Some(format!("sites {{ name: \"south\" listen: \"{second}\" }}"));
    let mut other = setup.start();
    let north = operator_text("north", free_address(), &[("south", first)], &[("b", "south", "")]);
    let north = LinkedSite::start(
        north.replace(&format!("addresses: \"{first}\""), &format!("addresses: [\"{first}\", \"{second}\"]")),
    );
    until("both endpoints are up", || north.gateway.log().contains("2 of 2 endpoints are up"));
    other.kill();
    until("one endpoint is down", || {
        north.gateway.log().contains("1 of 2 endpoints are up") && north.gateway.log().contains(": down")
    });
    let mut client = north.gateway.client();
    for n in 0..5 {
        south.members.serve_object(&mut client, &format!("b00000000000000{n}"), b"by the other way");
    }
}

#[test]
fn interrupted_body_is_completed_after_reconnect() {
    let mut pair = SitePair::start();
    pair.link.throttle(400);
    let body: Vec<u8> = (0..200_000u32).map(|i| (i % 253) as u8).collect();
    let id = pair.client.send_request("page", &[("lookup", SOUTHERN), ("room", "200")], b"");
    let (cache, request) = pair.south.members.next_request();
    cache.answer(&request, "200", &body);
    let before = pair.link.bytes_relayed();
    until("a part of the body has arrived", || pair.link.bytes_relayed() > before + 60_000);
    pair.link.set_state(LinkState::Reset);
    std::thread::sleep(Duration::from_millis(30));
    pair.link.set_state(LinkState::Up);
    pair.client.expect_served(id, &body);
    assert!(pair.south.members.request_if_any().is_none(), "the body was requested again");
}

#[test]
fn slow_link_is_not_treated_as_cut() {
    let mut pair = SitePair::start();
    until("the round-trip time is known", || pair.north.gateway.log().contains("all peers are reachable"));
    // One frame of 16 KB takes three times the silence timeout.
    pair.link.throttle(24);
    let body = vec![5; 20_000];
    let id = pair.client.send_request("page", &[("lookup", SOUTHERN), ("room", "20")], b"");
    let (cache, request) = pair.south.members.next_request();
    cache.answer(&request, "200", &body);
    pair.client.expect_served(id, &body);
    assert!(!pair.north.gateway.log().contains(": down"), "{}", pair.north.gateway.log());
}

#[test]
fn requests_wait_briefly_for_a_down_link_and_are_then_rejected_with_retry_after() {
    let mut pair = SitePair::start();
    pair.link.set_state(LinkState::Reset);
    until("the cut is detected", || pair.north.gateway.log().contains("link to south (0): down"));
    let start = Instant::now();
    let id = pair.client.request_object(SOUTHERN);
    let fields = pair.client.expect_error(id, "Shed");
    let took = start.elapsed().as_millis();
    assert!((150..600).contains(&took), "{took} ms");
    assert!(fields["cooldown"].parse::<u32>().unwrap() >= 1, "{fields:?}");
    // A request that arrives just before the link is restored is served.
    let id = pair.client.request_object(SOUTHERN);
    pair.link.set_state(LinkState::Up);
    let (cache, request) = pair.south.members.next_request();
    cache.answer(&request, "200", b"back");
    pair.client.expect_served(id, b"back");
}

/// Guards against a closed link that stays for ever because its peer does not read what is left to write.
#[test]
fn closing_link_whose_peer_does_not_read_is_reset() {
    let mut pair = SitePair::start();
    pair.fill_silent_link();
    until("the link is closed", || pair.south.gateway.log().contains("a link closes: silent"));
    until("the link is reset", || pair.south.gateway.log().contains("a closing link is reset"));
}
