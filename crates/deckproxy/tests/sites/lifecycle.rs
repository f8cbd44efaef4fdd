//! Reload and graceful shutdown of a gateway with links to other sites.

use crate::{SOUTHERN, SitePair};
use deckproxy_standins::link_relay::LinkState;
use deckproxy_standins::*;
use std::time::{Duration, Instant};

#[test]
fn reload_changes_routes_and_peers_with_requests_in_flight() {
    let mut pair = SitePair::start();
    let open = pair.client.request_object(SOUTHERN);
    let (cache, request) = pair.south.members.next_request();
    let text = std::fs::read_to_string(pair.north.gateway.operator_file()).unwrap();
    // An invalid file changes nothing.
    pair.north.gateway.reload_operator(&text.replace("home: \"south\"", "home: \"west\""));
    until("the fault is logged", || pair.north.gateway.log().contains("no peer is named"));
    pair.north.gateway.reload_operator(&text.replace("prefix: \"b\"", "prefix: \"e\""));
    until("the new routes are in force", || {
        pair.north.gateway.log().contains("routes and peers are in force")
    });
    pair.north.members.serve_object(&mut pair.client, "b000000000000009", b"here now");
    cache.answer(&request, "200", b"as it went out");
    pair.client.expect_served(open, b"as it went out");
    // The links close when the peer is removed, and open again when it is added.
    let alone = pair.north.setup.operator.as_ref().unwrap();
    let alone: String =
        alone.lines().filter(|l| !l.starts_with("peers") && !l.starts_with("routes")).collect();
    let other = alone
        .replace("link {", &format!("peers {{ site: \"west\" addresses: \"{}\" }} link {{", free_address()));
    pair.north.gateway.reload_operator(&other);
    until("the links close", || pair.link.open_connections() == 0);
    pair.north.gateway.reload_operator(&text);
    until("the links are open again", || pair.link.open_connections() > 0);
}

#[test]
fn graceful_shutdown_answers_cross_site_requests() {
    for far in [true, false] {
        let mut pair = SitePair::start();
        let id = pair.client.request_object(SOUTHERN);
        let (cache, request) = pair.south.members.next_request();
        let ends = if far { &pair.south } else { &pair.north };
        ends.gateway.signal("TERM");
        std::thread::sleep(Duration::from_millis(100));
        cache.answer(&request, "200", b"to the last");
        pair.client.expect_served(id, b"to the last");
        let ends = if far { &mut pair.south } else { &mut pair.north };
        assert_eq!(ends.gateway.wait_for_exit(), Some(0));
        if far {
            let id = pair.client.request_object(SOUTHERN);
            pair.client.expect_error(id, "Shed");
        }
    }
}

/// Guards against a shutdown that ends while the link is lost, although the other site is still owed an answer.
#[test]
fn graceful_shutdown_keeps_an_answer_until_the_lost_link_is_back() {
    let mut pair = SitePair::start_with_deadline(9000.0);
    let id = pair.client.send_request("page", &[("lookup", SOUTHERN), ("allow", "9000")], b"");
    let (cache, request) = pair.south.members.next_request();
    let start = Instant::now();
    pair.south.gateway.signal("TERM");
    pair.link.set_state(LinkState::Reset);
    cache.answer(&request, "200", b"kept");
    // Longer than new requests are accepted.
    until("a shutdown without owed answers would have ended", || {
        start.elapsed() > Duration::from_millis(1200)
    });
    pair.link.set_state(LinkState::Up);
    pair.client.expect_served(id, b"kept");
    assert_eq!(pair.south.gateway.wait_for_exit(), Some(0));
}

/// Guards against a shutdown that waits past its kill for another site that does not come back for its answer.
#[test]
fn graceful_shutdown_ends_although_the_other_site_is_lost() {
    let mut pair = SitePair::start();
    pair.client.request_object(SOUTHERN);
    let (cache, request) = pair.south.members.next_request();
    pair.link.set_state(LinkState::Reset);
    cache.answer(&request, "200", b"for nobody");
    let start = Instant::now();
    pair.south.gateway.signal("TERM");
    assert_eq!(pair.south.gateway.wait_for_exit(), Some(0));
    // SIGKILL would come 3.7 s after SIGTERM.
    assert!(start.elapsed() < Duration::from_millis(3500), "{:?}", start.elapsed());
}

/// Guards against a shutdown that never ends because another site does not read what it is owed.
#[test]
fn graceful_shutdown_ends_although_another_site_reads_nothing() {
    let mut pair = SitePair::start();
    pair.fill_silent_link();
    let start = Instant::now();
    pair.south.gateway.signal("TERM");
    assert_eq!(pair.south.gateway.wait_for_exit(), Some(0));
    // SIGKILL would come 3.7 s after SIGTERM.
    assert!(start.elapsed() < Duration::from_millis(3500), "{:?}", start.elapsed());
}
