//! A drain told in the middle of something: while an attempt waits for its connection, while a fill by way of the member
//! that drains is out, and while the lead of a fill passes on. Nothing new goes to a drained member after its time.

mod common;
use common::*;
use serde_json::json;
use std::io::Read;
use std::time::{Duration, Instant};

/// Longer than the settings allow after word of a drain.
const GRACE: Duration = Duration::from_millis(560);

/// Waits until a purge told behind it binds: by then the gateway has heard all that was told before.
fn heard(world: &TestSite, client: &mut Client, line: &std::net::TcpStream, number: u64) {
    let group = 200 + number;
    send_line(line, &group_purge(number, group));
    until("what was told before is known", || {
        let fields = [("lookup", "0000000000000001"), ("bucket", &*group.to_string())];
        let id = client.send_request("page", &fields, &[]);
        let (cache, ask) = world.next_request();
        cache.answer(&ask, "200", b"x");
        client.expect_served(id, b"x");
        ask.field("within").is_some()
    });
}

#[test]
fn an_attempt_whose_connection_comes_up_after_the_members_drain_is_not_written() {
    let world = TestSite::start();
    let mut late = StalledListener::start();
    let feed = Feed::start();
    let mut setup = world.setup();
    let slow = entry("s-00000009", late.address, "hub", "origin", "Ready");
    let parent = world.parent.entry("hub", "parent", "Ready");
    let caches =
        [world.caches[0].entry("edge", "box", "Ready"), world.caches[1].entry("edge", "box", "Ready")];
    let entries = [&caches[..], &[parent, slow]].concat();
    setup.events = vec![complete_member_list(&entries)];
    // The handshake has the time that the kernel takes for its second try, and so has what waits for it.
    setup.settings["limits"]["connectTimeoutMs"] = json!(8000.0);
    setup.settings["services"][2]["deadlineMs"] = json!(3000.0);
    setup.feed = feed.address;
    let gateway = setup.start();
    let (_, line) = feed.accept();
    let mut client = gateway.client();
    let id = client.send_request("once", &[("lookup", OBJECT), ("allow", "3000")], b"waits");
    late.wait_for_handshake();
    let drain = entry("s-00000009", late.address, "hub", "origin", "Terminating");
    send_line(&line, &member_update(2, &[drain]));
    let told = Instant::now();
    let mut up = late.accept();
    assert!(told.elapsed() > GRACE, "it came up after the drain's time: {:?}", told.elapsed());
    up.set_read_timeout(Some(Duration::from_millis(500))).unwrap();
    let got = up.read(&mut [0; 64]);
    assert!(!matches!(got, Ok(1..)), "written after the drain: {got:?}");
    // It never ran: so a new try does no harm, or another way was found.
    let answered = client.next_answer();
    assert!(
        answered.0 == id && matches!(&answered.1, Answer::Error(word, _) if word == "Shed"),
        "{answered:?}"
    );
}

#[test]
fn a_fill_that_goes_again_does_not_name_the_parent_that_drains_meanwhile() {
    let world = TestSite::start();
    let SubscribedGateway { gateway: _gateway, mut client, subscription: line, .. } =
        world.start_subscribed();
    let (id, cache, fill) = world.start_fill(&mut client, OBJECT);
    assert_eq!(fill.field("miss"), Some(&*world.parent.id));
    send_line(&line, &member_update(2, &[world.parent.entry("hub", "parent", "Terminating")]));
    let told = Instant::now();
    let mut other = Client::connect(client.stream_handle().peer_addr().unwrap());
    heard(&world, &mut other, &line, 3);
    until("the drain's time is over", || told.elapsed() > GRACE);
    cache.answer(&fill, "500", &[]);
    // It goes again at the cache, whose source is taken to have failed, and by way of the origin.
    let next = cache.next_request();
    assert_eq!((next.id.as_str(), next.field("miss")), (fill.id.as_str(), Some(&*world.origin.id)));
    cache.answer(&next, "200", b"filled");
    client.expect_served(id, b"filled");
    assert!(world.parent.request_if_any().is_none(), "the parent that drains was asked");
}

#[test]
fn the_lead_passed_on_goes_to_no_cache_that_drains_meanwhile() {
    let world = TestSite::start();
    let SubscribedGateway { gateway, client: mut leader, subscription: line, .. } = world.start_subscribed();
    let (_, cache, fill) = world.start_fill(&mut leader, OBJECT);
    let mut waiter = gateway.client();
    let id = waiter.request_object(OBJECT);
    let look_up = cache.answer_miss();
    until("it waits", || cache.request_if_any().is_none());
    send_line(&line, &member_update(2, &[cache.entry("edge", "box", "Terminating")]));
    let told = Instant::now();
    let mut other = gateway.client();
    heard(&world, &mut other, &line, 3);
    until("the drain's time is over", || told.elapsed() > GRACE);
    drop(leader);
    cache.expect_cancelled(&fill.id);
    // The waiter leads, at the other cache, from wherever that fills by now.
    let next = world.other_cache(cache).next_request();
    assert!(next.id == look_up.id && next.field("miss").is_some(), "{next:?}");
    world.other_cache(cache).answer(&next, "200", b"filled");
    waiter.expect_served(id, b"filled");
    assert!(cache.request_if_any().is_none(), "the cache that drains was asked");
}
