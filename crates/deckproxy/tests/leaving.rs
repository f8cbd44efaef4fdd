//! Clients that left: nothing is begun for them, whatever their requests wait for and however far behind the loop is.
//! The process stands still while what is to be heard and what is not to happen are laid into the kernel.

mod common;
use common::*;
use deckproxy_standins::limit_checkers::CancellationChecker;
use serde_json::json;
use std::io::Read;
use std::thread;
use std::time::Duration;

/// Longer than a client may be gone before a further attempt is a broken rule.
const GONE: Duration = Duration::from_millis(120);

fn now() -> f64 {
    unix_ms() as f64
}

/// Has a write served, so that a connection to the origin rests: what is sent next is written at once.
fn warm(world: &TestSite, gateway: &Gateway) -> Client {
    let mut client = gateway.client();
    world.serve_write(&mut client, b"warm", b"warm");
    client
}

/// A leader whose fill is out at a cache, and a client that waits for it: both look-ups' names too.
fn collapsed<'a>(
    world: &'a TestSite,
    gateway: &Gateway,
) -> (&'a Member, Client, MemberRequest, Client, String) {
    let mut leader = gateway.client();
    let (_, cache, fill) = world.start_fill(&mut leader, OBJECT);
    let mut waiter = gateway.client();
    waiter.request_object(OBJECT);
    let look_up = cache.answer_miss();
    // Answered by now: a ping behind it was heard after the miss.
    until("it waits", || cache.request_if_any().is_none());
    (cache, leader, fill, waiter, look_up.id)
}

/// Reports the attempts that the caches receive in a short while, and expects that none was for a client that had left.
fn expect_no_late_attempts(world: &TestSite, mut checker: CancellationChecker) {
    while let Some((_, ask)) = world.request_if_any() {
        checker.attempt_began(&ask.id, now());
    }
    assert!(checker.late_attempts().is_empty(), "sent for a client that left: {:?}", checker.late_attempts());
}

/// Has a new client send a write, and expects that this is the next request that the origin receives.
fn expect_next_write_is_of_new_client(world: &TestSite, gateway: &Gateway) {
    let ask = world.serve_write(&mut gateway.client(), b"there", b"done");
    assert_eq!(ask.body, b"there");
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
    expect_no_late_attempts(&world, judge);
}

#[test]
fn a_waiter_that_left_is_not_sent_on_by_a_timer_that_is_due_with_its_end() {
    let world = TestSite::start();
    let gateway = world.setup().start();
    let mut leader = gateway.client();
    let (_, cache, fill) = world.start_fill(&mut leader, OBJECT);
    let mut waiter = gateway.client();
    // It has so little time that its wait ends long before the leader's fill.
    waiter.send_request("page", &[("lookup", OBJECT), ("allow", "700")], &[]);
    let look_up = cache.answer_miss();
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
    expect_no_late_attempts(&world, judge);
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
    expect_next_write_is_of_new_client(&world, &gateway);
}

#[test]
fn what_a_client_takes_back_is_heard_behind_answers_that_it_leaves_unread() {
    let (world, gateway, mut client) = TestSite::start_with_client();
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
    let _world = TestSite::start();
    let mut late = StalledListener::start();
    let mut setup = Setup::knowing(&[entry("s-00000009", late.address, "hub", "origin", "Ready")]);
    // The handshake has the time that the kernel takes for its second try.
    setup.settings["limits"]["connectTimeoutMs"] = json!(8000.0);
    setup.settings["rules"]["drainGraceMs"] = json!(8000.0);
    setup.settings["familyInfo"]["obeyAfterMs"] = json!(8000.0);
    setup.settings["services"][2]["deadlineMs"] = json!(8000.0);
    let gateway = setup.start();
    let mut client = gateway.client();
    client.send_request("once", &[("lookup", OBJECT), ("allow", "8000")], b"left");
    let mut other = gateway.client();
    other.expect_ready();
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
    let setup = world.setup_with_cache_at(late.address);
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
    expect_next_write_is_of_new_client(&world, &gateway);
    assert!(world.parent.request_if_any().is_none(), "sent for a client that left");
}
