//! A drain is announced while an attempt waits for its connection, while a fill through the draining member is in flight,
//! and while a waiter becomes the leader. Nothing new is sent to a draining member after the grace period.

use deckproxy_standins::*;
use serde_json::json;
use std::io::Read;
use std::time::{Duration, Instant};

/// Longer than the grace period after the announcement of a drain.
const PAST_GRACE: Duration = Duration::from_millis(560);

/// Announces a purge and waits until it applies: all earlier events have been applied by then.
fn wait_until_applied(site: &TestSite, client: &mut Client, subscription: &std::net::TcpStream, number: u64) {
    let group = 200 + number;
    send_line(subscription, &group_purge(number, group));
    until("all earlier events are applied", || {
        let fields = [("lookup", "0000000000000001"), ("bucket", &*group.to_string())];
        let id = client.send_request("page", &fields, &[]);
        let (cache, request) = site.next_request();
        cache.answer(&request, "200", b"x");
        client.expect_served(id, b"x");
        request.field("within").is_some()
    });
}

#[test]
fn attempt_connected_after_member_drain_is_not_sent() {
    let site = TestSite::start();
    let mut listener = StalledListener::start();
    let feed = Feed::start();
    let mut setup = site.setup();
    let slow = entry("s-00000009", listener.address, "hub", "origin", "Ready");
    let parent = site.parent.entry("hub", "parent", "Ready");
    let caches = [site.caches[0].entry("edge", "box", "Ready"), site.caches[1].entry("edge", "box", "Ready")];
    let entries = [&caches[..], &[parent, slow]].concat();
    setup.events = vec![complete_member_list(&entries)];
    // The connect timeout covers the kernel's second attempt of the handshake, and so does the request's deadline.
    setup.settings["limits"]["connectTimeoutMs"] = json!(8000.0);
    setup.settings["services"][2]["deadlineMs"] = json!(3000.0);
    setup.feed = feed.address;
    let gateway = setup.start();
    let (_, subscription) = feed.accept();
    let mut client = gateway.client();
    let id = client.send_request("once", &[("lookup", OBJECT), ("allow", "3000")], b"waits");
    listener.wait_for_handshake();
    let drain = entry("s-00000009", listener.address, "hub", "origin", "Terminating");
    send_line(&subscription, &member_update(2, &[drain]));
    let announced = Instant::now();
    let mut connection = listener.accept();
    assert!(announced.elapsed() > PAST_GRACE, "connected within the grace period: {:?}", announced.elapsed());
    connection.set_read_timeout(Some(Duration::from_millis(500))).unwrap();
    let got = connection.read(&mut [0; 64]);
    assert!(!matches!(got, Ok(1..)), "written after the drain: {got:?}");
    // It never ran, so it may be rejected as retryable.
    let answered = client.next_answer();
    assert!(
        answered.0 == id && matches!(&answered.1, Answer::Error(word, _) if word == "Shed"),
        "{answered:?}"
    );
}

#[test]
fn retried_fill_does_not_use_draining_parent() {
    let site = TestSite::start();
    let SubscribedGateway { gateway: _gateway, mut client, subscription, .. } = site.start_subscribed();
    let (id, cache, fill) = site.start_fill(&mut client, OBJECT);
    assert_eq!(fill.field("miss"), Some(&*site.parent.id));
    send_line(&subscription, &member_update(2, &[site.parent.entry("hub", "parent", "Terminating")]));
    let announced = Instant::now();
    let mut other = Client::connect(client.stream_handle().peer_addr().unwrap());
    wait_until_applied(&site, &mut other, &subscription, 3);
    until("the grace period is over", || announced.elapsed() > PAST_GRACE);
    cache.answer(&fill, "500", &[]);
    // The fill is retried at the same cache with the origin as its source, as the former source counts as failed.
    let next = cache.next_request();
    assert_eq!((next.id.as_str(), next.field("miss")), (fill.id.as_str(), Some(&*site.origin.id)));
    cache.answer(&next, "200", b"filled");
    client.expect_served(id, b"filled");
    assert!(site.parent.request_if_any().is_none(), "a request was sent to the draining parent");
}

#[test]
fn new_leader_does_not_use_draining_cache() {
    let site = TestSite::start();
    let SubscribedGateway { gateway, client: mut leader, subscription, .. } = site.start_subscribed();
    let (_, cache, fill) = site.start_fill(&mut leader, OBJECT);
    let mut waiter = gateway.client();
    let id = waiter.request_object(OBJECT);
    let lookup = cache.answer_miss();
    until("the request waits for the fill", || cache.request_if_any().is_none());
    send_line(&subscription, &member_update(2, &[cache.entry("edge", "box", "Terminating")]));
    let announced = Instant::now();
    let mut other = gateway.client();
    wait_until_applied(&site, &mut other, &subscription, 3);
    until("the grace period is over", || announced.elapsed() > PAST_GRACE);
    drop(leader);
    cache.expect_cancelled(&fill.id);
    // The waiter becomes the leader at the other cache, with whichever source is in use by then.
    let next = site.other_cache(cache).next_request();
    assert!(next.id == lookup.id && next.field("miss").is_some(), "{next:?}");
    site.other_cache(cache).answer(&next, "200", b"filled");
    waiter.expect_served(id, b"filled");
    assert!(cache.request_if_any().is_none(), "a request was sent to the draining cache");
}
