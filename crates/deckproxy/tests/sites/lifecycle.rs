//! Reload and graceful shutdown of a gateway with links to other sites.

use crate::{SOUTHERN, SitePair};
use deckproxy_standins::*;
use std::time::Duration;

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
