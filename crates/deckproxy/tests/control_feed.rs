//! The control feed: event numbers, heartbeats, reconnects, and a gateway without a feed.

use deckproxy_standins::limit_checkers::DescriptorExhaustionChecker;
use deckproxy_standins::*;
use serde_json::json;
use std::io::{Read, Write};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

#[test]
fn gateway_serves_without_the_feed() {
    let (site, _gateway, mut client) = TestSite::start_with_client();
    assert!(!site.is_bound_by_purge(&mut client, 1));
}

#[test]
fn cut_feed_resumes_after_last_event() {
    let site = TestSite::start();
    let SubscribedGateway { gateway: _gateway, mut client, feed, subscription } = site.start_subscribed();
    send_line(&subscription, &group_purge(2, 5));
    until("the purge is applied", || site.is_bound_by_purge(&mut client, 5));
    drop(subscription);
    let (from, subscription) = feed.accept();
    assert_eq!(from, 2);
    // An event that is repeated, or that arrives in pieces, is applied once.
    send_line(&subscription, &group_purge(2, 6));
    let text = format!("{}\n", group_purge(3, 7));
    let (a, b) = text.split_at(20);
    (&subscription).write_all(a.as_bytes()).unwrap();
    (&subscription).write_all(b.as_bytes()).unwrap();
    until("the purge is applied", || site.is_bound_by_purge(&mut client, 7));
    assert!(!site.is_bound_by_purge(&mut client, 6), "an event with a repeated number was applied");
}

#[test]
fn missing_events_are_requested_again_once() {
    let site = TestSite::start();
    let SubscribedGateway { gateway: _gateway, mut client, feed, subscription } = site.start_subscribed();
    send_line(&subscription, &group_purge(4, 5));
    let (from, subscription) = feed.accept();
    assert_eq!(from, 1, "2 and 3 are missing");
    // The feed no longer has them; later events still apply.
    send_line(&subscription, &group_purge(4, 5));
    until("the purge is applied", || site.is_bound_by_purge(&mut client, 5));
    // A heartbeat with a later number reveals missing events too.
    send_line(&subscription, &json!(9));
    let (from, subscription) = feed.accept();
    assert_eq!(from, 4);
    for number in 5..=9 {
        send_line(&subscription, &group_purge(number, 10));
    }
    until("the purges are applied", || site.is_bound_by_purge(&mut client, 10));
}

#[test]
fn malformed_lines_are_dropped_and_the_rest_applies() {
    let site = TestSite::start();
    let SubscribedGateway { gateway: _gateway, mut client, subscription, .. } = site.start_subscribed();
    for bad in ["", "{", "[[[[", "{\"n\":-1}", "\u{0}\u{1}", "{\"purge\":{}}", "nonsense"] {
        (&subscription).write_all(format!("{bad}\n").as_bytes()).unwrap();
    }
    send_line(&subscription, &json!({"n": 2, "purge": {"key": "no hex", "at": 1}}));
    send_line(&subscription, &json!({"n": 3, "members": {"complete": true}}));
    send_line(
        &subscription,
        &json!({"n": 4, "members": {"complete": false, "members": [{"id": "s,1"}, 7, {}]}}),
    );
    send_line(&subscription, &json!({"n": 5, "later": {"version": 2}}));
    send_line(&subscription, &group_purge(6, 5));
    until("the purge is applied", || site.is_bound_by_purge(&mut client, 5));
}

#[test]
fn silent_feed_is_reconnected() {
    let site = TestSite::start();
    let feed = Feed::start();
    let mut setup = site.setup();
    setup.feed = feed.address;
    let _gateway = setup.start();
    let (_, subscription) = feed.accept();
    let start = Instant::now();
    // Three heartbeats keep the connection, then they stop.
    for _ in 0..3 {
        send_line(&subscription, &json!(1));
        std::thread::sleep(Duration::from_millis(300));
    }
    let (from, _second) = feed.accept();
    assert_eq!(from, 1);
    assert!(start.elapsed() > Duration::from_millis(2200), "{:?}", start.elapsed());
    // The old connection is closed.
    subscription.set_read_timeout(Some(PATIENCE)).unwrap();
    assert!(matches!((&subscription).read(&mut [0]), Ok(0) | Err(_)));
}

#[test]
fn closed_feed_connection_is_retried_repeatedly() {
    let site = TestSite::start();
    let feed = Feed::start();
    let mut setup = site.setup();
    setup.feed = feed.address;
    let gateway = setup.start();
    for _ in 0..5 {
        let (from, subscription) = feed.accept();
        assert_eq!(from, 1);
        drop(subscription);
    }
    let mut client = gateway.client();
    assert!(!site.is_bound_by_purge(&mut client, 5));
}

/// Regression test: the feed was considered silent before its connection was established, and so was each later
/// connection.
#[test]
fn feed_timeout_starts_when_the_connection_is_up() {
    let site = TestSite::start();
    let mut listener = StalledListener::start();
    let mut setup = site.setup();
    setup.feed = listener.address;
    let _gateway = setup.start();
    // The second attempt of the handshake succeeds, after 1 s; nothing is sent for another 1.9 s.
    let mut connection = listener.accept();
    let mut first_line = [0; 6];
    connection.set_read_timeout(Some(PATIENCE)).unwrap();
    connection.read_exact(&mut first_line).unwrap();
    assert_eq!(&first_line, b"SUB 1\n");
    connection.set_read_timeout(Some(Duration::from_millis(1900))).unwrap();
    let got = connection.read(&mut [0]);
    assert!(
        matches!(&got, Err(e) if e.kind() == std::io::ErrorKind::WouldBlock),
        "the connection was abandoned: {got:?}"
    );
}

/// Idle clients use up each freed descriptor, and new clients keep arriving, while service discovery is down and after
/// it is restored.
#[test]
fn descriptor_exhaustion_by_idle_clients_spares_the_watch_and_new_clients() {
    let site = TestSite::start();
    let mut setup = site.setup();
    let at = free_address();
    setup.feed = at;
    let gateway = setup.start_limited("ulimit -n 32");
    let mut idle: Vec<Client> = Vec::new();
    until("no descriptor is left", || {
        let mut client = gateway.client();
        client.expect_ready();
        idle.push(client);
        // Not a count: the process may have inherited descriptors above its limit, and an eviction frees one at once.
        gateway.log().contains("no descriptor is left for a client")
    });
    assert!(gateway.usage().descriptors >= 31, "{:?}", gateway.usage());
    let mut checker = DescriptorExhaustionChecker::default();
    let (filling, caches) = (AtomicBool::new(true), AtomicBool::new(true));
    thread::scope(|scope| {
        // Another idle client connects whenever one was closed.
        scope.spawn(|| {
            let mut more = Vec::new();
            while filling.load(Ordering::SeqCst) {
                if let Ok(stream) = std::net::TcpStream::connect(gateway.address) {
                    more.push(stream);
                }
                if more.len() > 64 {
                    more.drain(..32);
                }
                thread::sleep(Duration::from_millis(2));
            }
        });
        let caches = &caches;
        scope.spawn(move || {
            while caches.load(Ordering::SeqCst) {
                let asked = site.request_if_any();
                if let Some((cache, request)) = asked {
                    cache.try_answer(&request, "200", b"there");
                }
            }
        });
        let mut discovery: Option<std::net::TcpListener> = None;
        let mut subscription = None;
        for n in 0..60 {
            if n == 20 {
                discovery = Some(std::net::TcpListener::bind(at).unwrap());
                if let Some(l) = &discovery {
                    l.set_nonblocking(true).unwrap();
                }
                checker.discovery_restored(unix_ms() as f64);
            }
            checker.record_newcomer(is_served_in_time(&gateway));
            if let Some(got) =
                discovery.as_ref().filter(|_| subscription.is_none()).and_then(|l| l.accept().ok())
            {
                checker.discovery_watched(unix_ms() as f64);
                subscription = Some(got);
            }
        }
        let end = Instant::now() + PATIENCE;
        while subscription.is_none() && Instant::now() < end {
            subscription = discovery.as_ref().and_then(|l| l.accept().ok());
            if subscription.is_some() {
                checker.discovery_watched(unix_ms() as f64);
            }
            thread::sleep(Duration::from_millis(2));
        }
        filling.store(false, Ordering::SeqCst);
        caches.store(false, Ordering::SeqCst);
    });
    assert!(checker.holds(), "{checker:?}");
    // Logged once per summary interval: a line for each client would use up the log's rate limit.
    let lacks = gateway.log().matches("no descriptor is left").count();
    assert!((1..=2).contains(&lacks), "{lacks} lines");
}

/// All descriptors are used by new clients, none of which is overdue with its first message, when the watch is due to
/// reconnect. Regression test: that attempt and each later one in such a situation failed.
#[test]
fn watch_gets_a_descriptor_when_all_clients_are_new() {
    let site = TestSite::start();
    let mut setup = site.setup();
    let at = free_address();
    setup.feed = at;
    let gateway = setup.start_limited("ulimit -n 32");
    let refusals = || gateway.log().matches("control feed: Connection refused").count();
    // From the sixth attempt on, the interval is 1 s.
    until("the attempts are 1 s apart", || refusals() >= 6);
    let attempts = refusals();
    until("the next attempt was made", || refusals() > attempts);
    let start = Instant::now();
    gateway.pause();
    let discovery = std::net::TcpListener::bind(at).unwrap();
    discovery.set_nonblocking(true).unwrap();
    let _silent: Vec<_> = (0..40).map(|_| std::net::TcpStream::connect(gateway.address).unwrap()).collect();
    until("the following attempt is nearly due", || start.elapsed() > Duration::from_millis(970));
    gateway.resume();
    until("discovery is watched", || discovery.accept().is_ok());
    assert!(start.elapsed() < Duration::from_millis(1900), "not at the first attempt: {:?}", start.elapsed());
}

/// Whether a new client is served before its request times out.
fn is_served_in_time(gateway: &Gateway) -> bool {
    let mut client = gateway.client();
    let (_, bytes) = client.encode_request("page", &[("lookup", OBJECT)], &[]);
    let mut handle = client.stream_handle();
    handle.set_read_timeout(Some(Duration::from_millis(1200))).unwrap();
    let sent = handle.write_all(&bytes);
    sent.is_ok() && matches!(handle.read(&mut [0; 256]), Ok(1..))
}
