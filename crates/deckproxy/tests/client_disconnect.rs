//! Clients that disconnect or cancel: no attempt is started for them, whatever their requests wait for and however late
//! the event loop runs. The process is paused while a test fills the kernel's buffers with the events to be read.

use deckproxy_standins::limit_checkers::CancellationChecker;
use deckproxy_standins::*;
use serde_json::json;
use std::io::Read;
use std::thread;
use std::time::Duration;

/// Longer than the time after a disconnect within which a further attempt is tolerated.
const PAST_TOLERANCE: Duration = Duration::from_millis(120);

fn now() -> f64 {
    unix_ms() as f64
}

/// A client with a served write, so that an idle connection to the origin exists and the next write is sent at once.
fn client_with_idle_origin_connection(site: &TestSite, gateway: &Gateway) -> Client {
    let mut client = gateway.client();
    site.serve_write(&mut client, b"warm", b"warm");
    client
}

/// A fill in flight at a cache, and a second client's request that waits for it.
struct CollapsedFill<'a> {
    cache: &'a Member,
    _leader: Client,
    fill: MemberRequest,
    waiter: Client,
    /// The name of the waiter's request.
    waiter_request: String,
}

fn start_collapsed_fill<'a>(site: &'a TestSite, gateway: &Gateway) -> CollapsedFill<'a> {
    let mut leader = gateway.client();
    let (_, cache, fill) = site.start_fill(&mut leader, OBJECT);
    let mut waiter = gateway.client();
    waiter.request_object(OBJECT);
    let lookup = cache.answer_miss();
    until("the request waits for the fill", || cache.request_if_any().is_none());
    CollapsedFill { cache, _leader: leader, fill, waiter, waiter_request: lookup.id }
}

/// Passes the attempts that the caches receive shortly afterwards to the checker, and expects none for a disconnected
/// client.
fn expect_no_late_attempts(site: &TestSite, mut checker: CancellationChecker) {
    while let Some((_, request)) = site.request_if_any() {
        checker.attempt_began(&request.id, now());
    }
    assert!(
        checker.late_attempts().is_empty(),
        "sent for a disconnected client: {:?}",
        checker.late_attempts()
    );
}

/// Sends a write from a new client, and expects it to be the next request that the origin receives.
fn expect_next_write_is_of_new_client(site: &TestSite, gateway: &Gateway) {
    let request = site.serve_write(&mut gateway.client(), b"there", b"done");
    assert_eq!(request.body, b"there");
}

#[test]
fn disconnected_waiter_does_not_become_leader_when_leader_failure_is_read_first() {
    let site = TestSite::start();
    let gateway = site.setup().start();
    let CollapsedFill { cache, _leader, fill, waiter, waiter_request } =
        start_collapsed_fill(&site, &gateway);
    gateway.pause();
    cache.answer(&fill, "500", &[]);
    drop(waiter);
    let mut checker = CancellationChecker::default();
    checker.client_left(&waiter_request, now());
    thread::sleep(PAST_TOLERANCE);
    gateway.resume();
    // The leader retries, and nothing is sent for the disconnected client.
    let (_, next) = site.next_request();
    assert_eq!(next.id, fill.id);
    expect_no_late_attempts(&site, checker);
}

#[test]
fn disconnected_waiter_is_not_forwarded_by_a_timer_due_at_the_same_time() {
    let site = TestSite::start();
    let gateway = site.setup().start();
    let mut leader = gateway.client();
    let (_, cache, fill) = site.start_fill(&mut leader, OBJECT);
    let mut waiter = gateway.client();
    // The timeout is so short that the wait ends long before the leader's fill.
    waiter.send_request("page", &[("lookup", OBJECT), ("allow", "700")], &[]);
    let lookup = cache.answer_miss();
    until("the request waits for the fill", || cache.request_if_any().is_none());
    gateway.pause();
    drop(waiter);
    let mut checker = CancellationChecker::default();
    checker.client_left(&lookup.id, now());
    // While the process is paused, the waiter's own fill becomes due, some 160 ms before its timeout.
    thread::sleep(Duration::from_millis(450));
    gateway.resume();
    cache.answer(&fill, "200", b"filled");
    leader.expect_served(1, b"filled");
    expect_no_late_attempts(&site, checker);
}

#[test]
fn request_cancelled_right_after_it_is_sent_is_not_forwarded() {
    let site = TestSite::start();
    let gateway = site.setup().start();
    let mut client = client_with_idle_origin_connection(&site, &gateway);
    gateway.pause();
    let ids: Vec<u64> =
        (0..4).map(|n| client.send_request("once", &[("lookup", OBJECT)], &vec![n; 30_000])).collect();
    for id in &ids {
        client.cancel(*id);
    }
    let kept = client.send_request("once", &[("lookup", OBJECT)], b"kept");
    thread::sleep(PAST_TOLERANCE);
    gateway.resume();
    let request = site.origin.next_request();
    assert_eq!(request.body, b"kept", "a cancelled request was sent");
    site.origin.answer(&request, "200", b"done");
    client.expect_served(kept, b"done");
}

#[test]
fn request_followed_by_disconnect_is_not_forwarded() {
    let site = TestSite::start();
    let gateway = site.setup().start();
    let mut client = client_with_idle_origin_connection(&site, &gateway);
    gateway.pause();
    client.send_request("once", &[("lookup", OBJECT)], b"left");
    drop(client);
    thread::sleep(PAST_TOLERANCE);
    gateway.resume();
    expect_next_write_is_of_new_client(&site, &gateway);
}

#[test]
fn cancellation_is_read_while_answers_wait_for_a_slow_reader() {
    let (site, gateway, mut client) = TestSite::start_with_client();
    // A small receive buffer, so that answers queue at the gateway while the client does not read.
    socket2::SockRef::from(&client.stream_handle()).set_recv_buffer_size(64 * 1024).unwrap();
    let body = vec![7u8; 240_000];
    let ids: Vec<u64> = (0..31).map(|_| client.request_object(OBJECT)).collect();
    let requests: Vec<(&Member, MemberRequest)> = ids.iter().map(|_| site.next_request()).collect();
    let open = client.send_request("once", &[("lookup", OBJECT)], b"x");
    let out = site.origin.next_request();
    for (cache, request) in &requests {
        cache.answer(request, "200", &body);
    }
    // Over 7 MB were read from the caches; the kernel accepts only a part of them.
    let mut other = gateway.client();
    until("the answers are queued for the client", || {
        let ping = other.ping();
        other.next_answer() == (ping, Answer::Ready(true)) && gateway.usage().peak_memory_kb > 6 * 1024
    });
    client.cancel(open);
    site.origin.expect_cancelled(&out.id);
    for _ in &ids {
        assert!(matches!(client.next_answer().1, Answer::Served(b, _) if b == body));
    }
}

#[test]
fn attempt_waiting_for_connection_is_removed_when_its_client_disconnects() {
    let _site = TestSite::start();
    let mut listener = StalledListener::start();
    let mut setup = Setup::knowing(&[entry("s-00000009", listener.address, "hub", "origin", "Ready")]);
    // The connect timeout covers the kernel's second attempt of the handshake.
    setup.settings["limits"]["connectTimeoutMs"] = json!(8000.0);
    setup.settings["rules"]["drainGraceMs"] = json!(8000.0);
    setup.settings["familyInfo"]["obeyAfterMs"] = json!(8000.0);
    setup.settings["services"][2]["deadlineMs"] = json!(8000.0);
    let gateway = setup.start();
    let mut client = gateway.client();
    client.send_request("once", &[("lookup", OBJECT), ("allow", "8000")], b"left");
    let mut other = gateway.client();
    other.expect_ready();
    listener.wait_for_handshake();
    gateway.pause();
    let mut origin = listener.accept();
    drop(client);
    thread::sleep(PAST_TOLERANCE);
    gateway.resume();
    let id = other.send_request("once", &[("lookup", OBJECT), ("allow", "8000")], b"there");
    origin.set_read_timeout(Some(PATIENCE)).unwrap();
    let mut got = Vec::new();
    let mut chunk = [0; 4096];
    while !got.windows(5).any(|w| w == b"there") {
        let n = origin.read(&mut chunk).unwrap();
        assert!(n > 0, "the next request uses the connection");
        got.extend_from_slice(&chunk[..n]);
    }
    assert!(!got.windows(4).any(|w| w == b"left"), "sent for a disconnected client");
    assert_eq!(id, 2);
}

#[test]
fn failed_connection_is_not_retried_for_a_disconnected_client() {
    let site = TestSite::start();
    let listener = StalledListener::start();
    let setup = site.setup_with_cache_at(listener.address);
    let gateway = setup.start();
    let mut client = gateway.client();
    // Leaves an idle connection to the parent.
    let id = client.request_object(OBJECT);
    let request = site.parent.next_request();
    site.parent.answer(&request, "200", b"warm");
    client.expect_served(id, b"warm");
    client.request_object(OBJECT);
    listener.wait_for_handshake();
    gateway.pause();
    drop(client);
    // The connect timeout of 400 ms passes meanwhile.
    thread::sleep(Duration::from_millis(450));
    gateway.resume();
    expect_next_write_is_of_new_client(&site, &gateway);
    assert!(site.parent.request_if_any().is_none(), "sent for a disconnected client");
}

#[test]
fn cancelled_request_is_cancelled_at_cache_and_never_answered() {
    let (site, _gateway, mut client) = TestSite::start_with_client();
    let id = client.request_object(OBJECT);
    let (cache, request) = site.next_request();
    client.cancel(id);
    cache.expect_cancelled(&request.id);
    cache.answer(&request, "200", b"too late");
    client.expect_silence();
    let id = client.request_object(OBJECT);
    let request = cache.next_request();
    cache.answer(&request, "200", b"next");
    client.expect_served(id, b"next");
}

#[test]
fn client_disconnect_cancels_its_requests_and_a_waiter_becomes_leader() {
    let site = TestSite::start();
    let gateway = site.setup().start();
    let mut leader = gateway.client();
    let (_, cache, fill) = site.start_fill(&mut leader, OBJECT);
    let mut waiter = gateway.client();
    let id = waiter.request_object(OBJECT);
    let lookup = cache.answer_miss();
    assert!(cache.request_if_any().is_none(), "the request waits for the fill");
    drop(leader);
    cache.expect_cancelled(&fill.id);
    let next = cache.next_request();
    assert_eq!((&next.id, next.field("miss")), (&lookup.id, Some("s-00000003")));
    cache.answer(&next, "200", b"filled");
    waiter.expect_served(id, b"filled");
}

/// Guards against a second execution of a request that is not idempotent: its client leaves while it runs, and another one
/// sends it again under the same name.
#[test]
fn request_that_may_have_run_is_not_run_again_under_its_name() {
    let (site, gateway, mut client) = TestSite::start_with_client();
    let fields = [("lookup", OBJECT), ("ref", "00000000000000aa")];
    client.send_request("once", &fields, b"effect");
    let request = site.origin.next_request();
    drop(client);
    site.origin.expect_cancelled(&request.id);
    let mut again = gateway.client();
    let id = again.send_request("once", &fields, b"effect");
    assert!(matches!(again.next_answer(), (of, Answer::Error(word, _)) if of == id && word != "Shed"));
    assert!(site.origin.request_if_any().is_none(), "it ran twice");
    // The connection and other names stay usable, and an answered request counts as well.
    let served = site.serve_write(&mut again, b"new", b"done");
    let id = again.send_request("once", &[("lookup", OBJECT), ("ref", &served.id)], b"new");
    assert!(matches!(again.next_answer(), (of, Answer::Error(..)) if of == id));
    assert!(site.origin.request_if_any().is_none(), "it ran twice");
}

/// Requests that may run several times, and those that never ran, may come again under their names.
#[test]
fn request_without_effect_may_come_again_under_its_name() {
    let (site, gateway, mut client) = TestSite::start_with_client();
    let fields = [("lookup", OBJECT), ("ref", "00000000000000aa")];
    client.send_request("page", &fields, &[]);
    let (cache, request) = site.next_request();
    drop(client);
    cache.expect_cancelled(&request.id);
    let mut again = gateway.client();
    let id = again.send_request("page", &fields, &[]);
    let (cache, request) = site.next_request();
    cache.answer(&request, "200", b"page");
    again.expect_served(id, b"page");
}
