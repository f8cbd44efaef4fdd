//! Clients that left: nothing is begun for them, whatever their requests wait for and however far behind the loop is.
//! The process stands still while what is to be heard and what is not to happen are laid into the kernel.

mod common;
use common::*;
use deckproxy_standins::limit_checkers::CancellationChecker;
use serde_json::json;
use std::io::Read;
use std::thread;
use std::time::Duration;

const OBJECT: &str = "7f3a9c21e0b4d655";
/// Longer than a client may be gone before a further attempt is a broken rule.
const GONE: Duration = Duration::from_millis(120);

fn now() -> f64 {
    unix_ms() as f64
}

/// Has a write served, so that a connection to the origin rests: what is sent next is written at once.
fn warm(world: &TestSite, gateway: &Gateway) -> Client {
    let mut client = gateway.client();
    let id = client.send_request("once", &[("lookup", OBJECT)], b"warm");
    let ask = world.origin.next_request();
    world.origin.answer(&ask, "200", b"warm");
    client.expect_served(id, b"warm");
    client
}

/// A leader whose fill is out at a cache, and a client that waits for it: both look-ups' names too.
fn collapsed<'a>(
    world: &'a TestSite,
    gateway: &Gateway,
) -> (&'a Member, Client, MemberRequest, Client, String) {
    let mut leader = gateway.client();
    leader.request_object(OBJECT);
    let (cache, ask) = world.next_request();
    cache.answer(&ask, "404", &[]);
    let fill = cache.next_request();
    let mut waiter = gateway.client();
    waiter.request_object(OBJECT);
    let look_up = cache.next_request();
    cache.answer(&look_up, "404", &[]);
    // Answered by now: a ping behind it was heard after the miss.
    until("it waits", || cache.request_if_any().is_none());
    (cache, leader, fill, waiter, look_up.id)
}

#[test]
fn a_waiter_that_left_does_not_lead_where_the_leaders_failure_is_heard_first() {
    let world = TestSite::start();
    let gateway = world.setup().start();
    let (cache, _leader, fill, waiter, waiters_name) = collapsed(&world, &gateway);
    gateway.pause();
    cache.answer(&fill, "500", &[]);
    drop(waiter);
    let mut judge = CancellationChecker::default();
    judge.client_left(&waiters_name, now());
    thread::sleep(GONE);
    gateway.resume();
    // The leader leads on, and nobody is sent for the one that left.
    let (_, next) = world.next_request();
    assert_eq!(next.id, fill.id);
    while let Some((_, ask)) = world.request_if_any() {
        judge.attempt_began(&ask.id, now());
    }
    assert!(judge.late_attempts().is_empty(), "sent for a client that left: {:?}", judge.late_attempts());
}

#[test]
fn a_waiter_that_left_is_not_sent_on_by_a_timer_that_is_due_with_its_end() {
    let world = TestSite::start();
    let gateway = world.setup().start();
    let mut leader = gateway.client();
    leader.request_object(OBJECT);
    let (cache, ask) = world.next_request();
    cache.answer(&ask, "404", &[]);
    let fill = cache.next_request();
    let mut waiter = gateway.client();
    // It has so little time that its wait ends long before the leader's fill.
    waiter.send_request("page", &[("lookup", OBJECT), ("allow", "700")], &[]);
    let look_up = cache.next_request();
    cache.answer(&look_up, "404", &[]);
    until("it waits", || cache.request_if_any().is_none());
    gateway.pause();
    drop(waiter);
    let mut judge = CancellationChecker::default();
    judge.client_left(&look_up.id, now());
    // Its time to go alone comes while the process stands still, some 160 ms before it ends.
    thread::sleep(Duration::from_millis(450));
    gateway.resume();
    cache.answer(&fill, "200", b"filled");
    leader.expect_served(1, b"filled");
    while let Some((_, ask)) = world.request_if_any() {
        judge.attempt_began(&ask.id, now());
    }
    assert!(judge.late_attempts().is_empty(), "sent for a client that left: {:?}", judge.late_attempts());
}

#[test]
fn what_is_taken_back_behind_the_request_itself_is_sent_nowhere() {
    let world = TestSite::start();
    let gateway = world.setup().start();
    let mut client = warm(&world, &gateway);
    gateway.pause();
    let ids: Vec<u64> =
        (0..4).map(|n| client.send_request("once", &[("lookup", OBJECT)], &vec![n; 30_000])).collect();
    ids.iter().for_each(|id| client.cancel(*id));
    let kept = client.send_request("once", &[("lookup", OBJECT)], b"kept");
    thread::sleep(GONE);
    gateway.resume();
    let ask = world.origin.next_request();
    assert_eq!(ask.body, b"kept", "what was taken back went out");
    world.origin.answer(&ask, "200", b"done");
    client.expect_served(kept, b"done");
}

#[test]
fn a_request_whose_client_closed_behind_it_is_sent_nowhere() {
    let world = TestSite::start();
    let gateway = world.setup().start();
    let mut client = warm(&world, &gateway);
    gateway.pause();
    client.send_request("once", &[("lookup", OBJECT)], b"left");
    drop(client);
    thread::sleep(GONE);
    gateway.resume();
    let mut other = gateway.client();
    let id = other.send_request("once", &[("lookup", OBJECT)], b"there");
    let ask = world.origin.next_request();
    assert_eq!(ask.body, b"there");
    world.origin.answer(&ask, "200", b"done");
    other.expect_served(id, b"done");
}

#[test]
fn what_a_client_takes_back_is_heard_behind_answers_that_it_leaves_unread() {
    let world = TestSite::start();
    let gateway = world.setup().start();
    let mut client = gateway.client();
    // The kernel holds little for a client that does not read.
    socket2::SockRef::from(&client.stream_handle()).set_recv_buffer_size(64 * 1024).unwrap();
    let body = vec![7u8; 240_000];
    let ids: Vec<u64> = (0..31).map(|_| client.request_object(OBJECT)).collect();
    let asks: Vec<(&Member, MemberRequest)> = ids.iter().map(|_| world.next_request()).collect();
    let open = client.send_request("once", &[("lookup", OBJECT)], b"x");
    let out = world.origin.next_request();
    for (cache, ask) in &asks {
        cache.answer(ask, "200", &body);
    }
    // All is read from the caches: over 7 MB, of which the kernel takes a part.
    let mut other = gateway.client();
    until("the answers wait for their reader", || {
        let ping = other.ping();
        other.next_answer() == (ping, Answer::Ready(true)) && gateway.usage().peak_memory_kb > 6 * 1024
    });
    client.cancel(open);
    world.origin.expect_cancelled(&out.id);
    for _ in &ids {
        assert!(matches!(client.next_answer().1, Answer::Served(b, _) if b == body));
    }
}

#[test]
fn an_attempt_that_waits_for_its_connection_is_taken_off_when_its_client_leaves() {
    let world = TestSite::start();
    let mut late = StalledListener::start();
    let mut setup = world.setup();
    let entries = vec![entry("s-00000009", late.address, "hub", "origin", "Ready")];
    setup.events = vec![json!({"n": 1, "members": {"revision": 1, "complete": true, "members": entries}})];
    // The handshake has the time that the kernel takes for its second try.
    setup.settings["limits"]["connectTimeoutMs"] = json!(8000.0);
    setup.settings["rules"]["drainGraceMs"] = json!(8000.0);
    setup.settings["familyInfo"]["obeyAfterMs"] = json!(8000.0);
    setup.settings["services"][2]["deadlineMs"] = json!(8000.0);
    let gateway = setup.start();
    let mut client = gateway.client();
    client.send_request("once", &[("lookup", OBJECT), ("allow", "8000")], b"left");
    let mut other = gateway.client();
    let ping = other.ping();
    assert_eq!(other.next_answer(), (ping, Answer::Ready(true)));
    late.wait_for_handshake();
    gateway.pause();
    let mut origin = late.accept();
    drop(client);
    thread::sleep(GONE);
    gateway.resume();
    let id = other.send_request("once", &[("lookup", OBJECT), ("allow", "8000")], b"there");
    origin.set_read_timeout(Some(PATIENCE)).unwrap();
    let mut got = Vec::new();
    let mut chunk = [0; 4096];
    while !got.windows(5).any(|w| w == b"there") {
        let n = origin.read(&mut chunk).unwrap();
        assert!(n > 0, "the connection is used by the next one");
        got.extend_from_slice(&chunk[..n]);
    }
    assert!(!got.windows(4).any(|w| w == b"left"), "sent for a client that left");
    assert_eq!(id, 2);
}

#[test]
fn an_attempt_whose_connection_did_not_come_up_goes_nowhere_else_for_a_client_that_left() {
    let world = TestSite::start();
    let late = StalledListener::start();
    let mut setup = world.setup();
    let entries = vec![
        entry("s-00000009", late.address, "edge", "box", "Ready"),
        world.parent.entry("hub", "parent", "Ready"),
        world.origin.entry("hub", "origin", "Ready"),
    ];
    setup.events = vec![json!({"n": 1, "members": {"revision": 1, "complete": true, "members": entries}})];
    let gateway = setup.start();
    let mut client = gateway.client();
    // Its connection to the parent rests then.
    let id = client.request_object(OBJECT);
    let ask = world.parent.next_request();
    world.parent.answer(&ask, "200", b"warm");
    client.expect_served(id, b"warm");
    client.request_object(OBJECT);
    late.wait_for_handshake();
    gateway.pause();
    drop(client);
    // The connect time-out of 400 ms passes meanwhile.
    thread::sleep(Duration::from_millis(450));
    gateway.resume();
    let mut other = gateway.client();
    let id = other.send_request("once", &[("lookup", OBJECT)], b"there");
    let ask = world.origin.next_request();
    assert_eq!(ask.body, b"there");
    world.origin.answer(&ask, "200", b"done");
    other.expect_served(id, b"done");
    assert!(world.parent.request_if_any().is_none(), "sent for a client that left");
}
