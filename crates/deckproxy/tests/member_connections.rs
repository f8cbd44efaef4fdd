//! What members and their connections do, and how attempts end by that. A fault would show as a request that is sent
//! twice, not retried, or answered late.

use deckproxy_standins::*;
use serde_json::json;
use std::time::{Duration, Instant};

/// Serves one request, so that a connection is up; returns the cache of the object and the connection's number.
fn use_connection<'a>(site: &'a TestSite, client: &mut Client) -> (&'a Member, u64) {
    let (cache, request) = site.serve_object(client, OBJECT, b"warm");
    (cache, request.connection)
}

#[test]
fn refused_connection_proves_that_nothing_ran() {
    let site = TestSite::start();
    site.origin.stop_listening();
    let gateway = site.setup().start();
    let mut client = gateway.client();
    // Without an idempotency key it may be rejected as safe to retry only because it never ran.
    let id = client.send_request("once", &[("lookup", OBJECT)], b"x");
    client.expect_error(id, "Shed");
}

#[test]
fn stalled_handshake_times_out_and_never_ran() {
    let site = TestSite::start();
    let late = StalledListener::start();
    let setup = site.setup_with_cache_at(late.address);
    let gateway = setup.start();
    let mut client = gateway.client();
    // The gateway has this client's descriptor once it has answered.
    client.expect_ready();
    let before = gateway.usage().descriptors;
    let start = Instant::now();
    let id = client.request_object(OBJECT);
    let request = site.parent.next_request();
    assert!((380..1100).contains(&start.elapsed().as_millis()), "{:?}", start.elapsed());
    site.parent.answer(&request, "200", b"done");
    client.expect_served(id, b"done");
    // Only the parent's connection is new: the failed one is closed.
    until("the handshake is given up", || gateway.usage().descriptors <= before + 1);
}

#[test]
fn silent_member_ends_at_deadline_and_its_connection_is_not_reused() {
    let (site, _gateway, mut client) = TestSite::start_with_client();
    let (cache, connection) = use_connection(&site, &mut client);
    let start = Instant::now();
    let id = client.request_object(OBJECT);
    let request = cache.next_request();
    assert_eq!(request.connection, connection);
    client.expect_error(id, "Shed");
    let took = start.elapsed().as_millis();
    assert!((1195..1700).contains(&took), "{took} ms");
    cache.expect_cancelled(&request.id);
    // The process may have crashed silently: the next request uses a new connection.
    let id = client.request_object(OBJECT);
    let again = cache.next_request();
    assert_ne!(again.connection, connection);
    cache.answer(&again, "200", b"back");
    client.expect_served(id, b"back");
}

#[test]
fn connection_closed_while_idle_costs_nothing() {
    let (site, gateway, mut client) = TestSite::start_with_client();
    for _ in 0..3 {
        let (cache, connection) = use_connection(&site, &mut client);
        let before = gateway.usage().descriptors;
        cache.close(connection);
        cache.expect_closed();
        // A request sent before the gateway's socket reports the close would cross it, which is another case.
        until("the gateway has seen it", || gateway.usage().descriptors < before);
    }
    assert!(!gateway.log().contains("attempts out"), "{}", gateway.log());
}

#[test]
fn connection_near_its_idle_timeout_is_not_used() {
    let site = TestSite::start();
    let mut setup = site.setup();
    setup.settings["limits"]["connIdleMs"] = json!(1000.0);
    let gateway = setup.start();
    let mut client = gateway.client();
    let (cache, first) = use_connection(&site, &mut client);
    // The gateway closes it half a second before the member would.
    let start = Instant::now();
    cache.expect_closed();
    assert!(start.elapsed() < Duration::from_secs(1), "{:?}", start.elapsed());
    let (_, second) = use_connection(&site, &mut client);
    assert_ne!(first, second);
}

/// Sends so many writes, one after another, and waits for each at the origin.
fn send_writes(site: &TestSite, client: &mut Client, count: usize) -> Vec<(u64, MemberRequest)> {
    (0..count)
        .map(|_| (client.send_request("once", &[("lookup", OBJECT)], b"x"), site.origin.next_request()))
        .collect()
}

#[test]
fn malformed_answer_ends_only_its_attempt() {
    let (site, _gateway, mut client) = TestSite::start_with_client();
    let all = send_writes(&site, &mut client, 10);
    site.origin.send(all[3].1.connection, b"$5\r\nnoise\r\n");
    // The class must not be retried once it may have run.
    client.expect_error(all[3].0, "Fault");
    for (id, request) in all.iter().filter(|(id, _)| *id != all[3].0) {
        site.origin.answer(request, "200", b"whole");
        client.expect_served(*id, b"whole");
    }
}

#[test]
fn scarce_descriptors_share_connections_up_to_the_configured_limit() {
    let site = TestSite::start();
    let mut setup = site.setup();
    setup.settings["limits"]["maxStreams"] = json!(4);
    setup.sockets = 32;
    let gateway = setup.start();
    let mut client = gateway.client();
    let all = send_writes(&site, &mut client, 30);
    let mut carried = std::collections::BTreeMap::new();
    for (_, a) in &all {
        *carried.entry(a.connection).or_insert(0) += 1;
    }
    assert!((8..=14).contains(&carried.len()), "{carried:?}");
    assert!(carried.values().all(|n| (2..=4).contains(n)), "{carried:?}");
    for (id, request) in &all {
        site.origin.answer(request, "200", request.id.as_bytes());
        client.expect_served(*id, request.id.as_bytes());
    }
}

#[test]
fn answer_received_byte_by_byte_is_complete() {
    let (site, _gateway, mut client) = TestSite::start_with_client();
    let id = client.request_object(OBJECT);
    let (cache, request) = site.next_request();
    for byte in Member::encode(&request.id, "200", "entity=t,issued=1", b"one\r\n*4\r\ntwo") {
        cache.send(request.connection, &[byte]);
    }
    client.expect_served(id, b"one\r\n*4\r\ntwo");
}

#[test]
fn answer_cut_in_its_body_counts_as_reset() {
    let (site, _gateway, mut client) = TestSite::start_with_client();
    let id = client.request_object(OBJECT);
    let (cache, request) = site.next_request();
    let bytes = Member::encode(&request.id, "200", "-", &[7; 5000]);
    cache.send(request.connection, &bytes[..3000]);
    cache.close(request.connection);
    let other = site.other_cache(cache);
    let again = other.next_request();
    other.answer(&again, "200", b"whole");
    client.expect_served(id, b"whole");
}

#[test]
fn crashed_member_fails_only_its_own_requests() {
    let (site, _gateway, mut client) = TestSite::start_with_client();
    let objects: Vec<String> = (0..20u64).map(|i| format!("{:016x}", i * 0x0101_0101_0101)).collect();
    let ids: Vec<u64> = objects.iter().map(|o| client.request_object(o)).collect();
    let requests: Vec<(&Member, MemberRequest)> = ids.iter().map(|_| site.next_request()).collect();
    let (gone, kept): (Vec<_>, Vec<_>) = requests.iter().partition(|(m, _)| m.id == site.caches[0].id);
    assert!(!gone.is_empty() && !kept.is_empty());
    site.caches[0].stop_listening();
    site.caches[0].reset(gone[0].1.connection);
    let mut served = 0;
    for (member, request) in &kept {
        member.answer(request, "200", b"kept");
        served += 1;
    }
    // Requests of the crashed cache are retried at the other, as far as the retry budget reaches.
    let mut answers = 0;
    while answers < ids.len() {
        while let Some(request) = site.caches[1].request_if_any() {
            site.caches[1].answer(&request, "200", b"moved");
            served += 1;
        }
        while answers < ids.len() && served > 0 {
            match client.next_answer().1 {
                Answer::Served(..) => served -= 1,
                Answer::Error(word, _) => assert_eq!(word, "Shed"),
                Answer::Ready(_) => unreachable!(),
            }
            answers += 1;
            if served == 0 {
                break;
            }
        }
        if served == 0 && answers < ids.len() && site.caches[1].request_if_any().is_none() {
            client.next_answer();
            answers += 1;
        }
    }
}

#[test]
fn address_taken_over_by_a_new_member_gets_a_new_connection() {
    let site = TestSite::start();
    let SubscribedGateway { gateway: _gateway, mut client, subscription: line, .. } = site.start_subscribed();
    let (cache, connection) = use_connection(&site, &mut client);
    let other = site.other_cache(cache);
    let members = [
        cache.entry("edge", "box", "Gone"),
        other.entry("edge", "box", "Gone"),
        entry("s-0000000a", cache.address, "edge", "box", "Ready"),
    ];
    send_line(&line, &member_update(2, &members));
    // The old member's idle connection is closed, though the address is the same.
    cache.expect_closed();
    let id = client.request_object(OBJECT);
    let request = cache.next_request();
    assert_ne!(request.connection, connection);
    cache.answer(&request, "200", b"new");
    client.expect_served(id, b"new");
}

#[test]
fn requests_unsent_to_a_stalled_member_count_as_never_run() {
    let site = TestSite::start();
    let mut setup = site.setup();
    // Few connections, which attempts must share.
    setup.sockets = 40;
    let gateway = setup.start();
    let mut client = gateway.client();
    // Once its connection is up the origin stops reading: the kernel's buffers fill with bodies.
    let id = client.send_request("once", &[("lookup", OBJECT)], b"x");
    let request = site.origin.next_request();
    site.origin.answer(&request, "200", b"done");
    client.expect_served(id, b"done");
    site.origin.stop_reading();
    let body = vec![1u8; 48_000];
    let mut refused = Vec::new();
    let mut failed = Vec::new();
    let mut clients: Vec<Client> = (0..12).map(|_| gateway.client()).collect();
    let mut names = Vec::new();
    for client in &mut clients {
        let name = |_| fresh_name();
        let all: Vec<String> = (0..30).map(name).collect();
        for name in &all {
            client.send_request("once", &[("lookup", OBJECT), ("ref", name)], &body);
        }
        names.push(all);
    }
    for (client, names) in clients.iter_mut().zip(&names) {
        for _ in names {
            let (id, answer) = client.next_answer();
            let name = names[usize::try_from(id).unwrap() - 1].clone();
            match answer {
                Answer::Error(word, _) if word == "Shed" => refused.push(name),
                Answer::Error(word, _) if word == "Fault" => failed.push(name),
                other => panic!("{other:?}"),
            }
        }
    }
    assert!(refused.len() > 50 && failed.len() > 5, "{} refused, {} failed", refused.len(), failed.len());
    // When it reads on, nothing that was rejected is among what the kernel had buffered.
    site.origin.resume_reading();
    while let Some(request) = site.origin.request_if_any() {
        assert!(failed.contains(&request.id), "{} was refused and yet came", request.id);
    }
}

#[test]
fn requests_unsent_to_a_stalled_cache_are_retried_elsewhere_before_the_deadline() {
    let site = TestSite::start();
    let mut setup = site.setup();
    // Few connections, which attempts must share.
    setup.sockets = 40;
    let gateway = setup.start();
    let mut client = gateway.client();
    let (cache, _) = use_connection(&site, &mut client);
    cache.stop_reading();
    let body = vec![1u8; 48_000];
    let start = Instant::now();
    let mut clients: Vec<Client> = (0..4).map(|_| gateway.client()).collect();
    for client in &mut clients {
        (0..30).for_each(|_| {
            client.send_request("page", &[("lookup", OBJECT)], &body);
        });
    }
    site.other_cache(cache).next_request();
    let took = start.elapsed().as_millis();
    assert!((380..850).contains(&took), "{took} ms");
}

#[test]
fn restarted_member_gets_a_new_connection() {
    let site = TestSite::start();
    let SubscribedGateway { gateway: _gateway, mut client, subscription: line, .. } = site.start_subscribed();
    let (cache, connection) = use_connection(&site, &mut client);
    // Its old process crashed silently: the connection still looks open.
    let mut again = cache.entry("edge", "box", "Ready");
    again["up_since_ms"] = json!(unix_ms() - 60_000);
    let other = site.other_cache(cache).entry("edge", "box", "Terminating");
    send_line(&line, &member_update(2, &[again, other]));
    until("requests go by a new connection", || {
        let (_, now) = use_connection(&site, &mut client);
        now != connection
    });
}

#[test]
fn partial_answer_on_an_idle_connection_corrupts_no_later_one() {
    let (site, _gateway, mut client) = TestSite::start_with_client();
    let request = site.serve_write(&mut client, b"x", b"done");
    site.origin.send(request.connection, b"*4\r\n$16\r\n0123");
    // A request that must not run twice would be lost after the partial answer.
    let id = client.send_request("once", &[("lookup", OBJECT)], b"y");
    let next = site.origin.next_request();
    assert_ne!(next.connection, request.connection);
    site.origin.answer(&next, "200", b"whole");
    client.expect_served(id, b"whole");
}

/// Regression test: it was the shared connection with the fewest attempts in flight, and therefore preferred.
#[test]
fn partial_answer_on_an_idle_connection_is_not_shared_when_descriptors_are_scarce() {
    let site = TestSite::start();
    let mut setup = site.setup();
    // Five connections to members, one of which is reserved: attempts share four.
    setup.sockets = 12;
    let gateway = setup.start();
    let mut client = gateway.client();
    let all = send_writes(&site, &mut client, 4);
    let (id, rests) = &all[0];
    site.origin.answer(rests, "200", b"done");
    client.expect_served(*id, b"done");
    site.origin.send(rests.connection, b"*4\r\n$16\r\n0123");
    let id = client.send_request("once", &[("lookup", OBJECT)], b"y");
    let next = site.origin.next_request();
    assert_ne!(next.connection, rests.connection);
    site.origin.answer(&next, "200", b"whole");
    client.expect_served(id, b"whole");
}

/// Regression test: its attempt timed out, and the connection looked like any other with one attempt in flight.
#[test]
fn connection_with_an_incomplete_answer_is_not_reused() {
    let site = TestSite::start();
    let mut setup = site.setup();
    setup.sockets = 12;
    let gateway = setup.start();
    let mut client = gateway.client();
    let broken = client.send_request("once", &[("lookup", OBJECT), ("allow", "700")], b"x");
    let first = site.origin.next_request();
    let all = send_writes(&site, &mut client, 4);
    assert_eq!(all[3].1.connection, first.connection, "the fifth shares");
    let whole = Member::encode(&first.id, "200", "-", &[7; 5000]);
    site.origin.send(first.connection, &whole[..3000]);
    // Its timeout is over, and more than the connect timeout has passed since the last byte.
    client.expect_error(broken, "Fault");
    let id = client.send_request("once", &[("lookup", OBJECT)], b"y");
    let next = site.origin.next_request();
    assert_ne!(next.connection, first.connection);
    site.origin.answer(&next, "200", b"whole");
    client.expect_served(id, b"whole");
}

/// Regression test: the second answer was taken for the fill's, and the next attempt was sent beside the fill.
#[test]
fn second_answer_to_a_lookup_does_not_end_its_fill() {
    let (site, _gateway, mut client) = TestSite::start_with_client();
    let id = client.request_object(OBJECT);
    let (cache, request) = site.next_request();
    cache.answer(&request, "404", &[]);
    let fill = cache.next_request();
    assert_eq!(fill.id, request.id);
    cache.answer(&request, "404", &[]);
    assert!(site.request_if_any().is_none(), "sent again while the fill is out");
    cache.answer(&fill, "200", b"filled");
    client.expect_served(id, b"filled");
}

#[test]
fn second_answer_to_a_write_does_not_end_its_retry() {
    let (site, _gateway, mut client) = TestSite::start_with_client();
    let id = client.send_request("post", &[("lookup", OBJECT), ("replay", "5c0f6e1a2b3d4c59")], b"write");
    let request = site.origin.next_request();
    site.origin.answer(&request, "500", &[]);
    let again = site.origin.next_request();
    assert_eq!(again.id, request.id);
    site.origin.answer(&request, "500", &[]);
    assert!(site.origin.request_if_any().is_none(), "sent again while the repeat is out");
    site.origin.answer(&again, "200", b"done");
    client.expect_served(id, b"done");
}

/// Regression test: the retry was decided in time, and then waited for its connection until long after the window.
#[test]
fn idempotent_write_is_not_sent_after_its_retry_window() {
    let site = TestSite::start();
    let mut origin = StalledListener::start_empty();
    let mut setup = site.setup();
    let long = json!(8000.0);
    setup.settings["limits"]["connectTimeoutMs"] = long.clone();
    setup.settings["rules"]["drainGraceMs"] = long.clone();
    setup.settings["familyInfo"]["obeyAfterMs"] = long.clone();
    setup.settings["services"][1]["deadlineMs"] = long;
    setup.settings["services"][1]["dedupWindowMs"] = json!(700.0);
    let entries = [entry("s-00000009", origin.address, "hub", "origin", "Ready")];
    setup.events = vec![complete_member_list(&entries)];
    let gateway = setup.start();
    let mut client = gateway.client();
    let key = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211";
    let id = client.send_request("post", &[("lookup", OBJECT), ("replay", key), ("allow", "8000")], b"write");
    let start = Instant::now();
    let mut first = origin.accept();
    let mut got = [0; 4];
    std::io::Read::read_exact(&mut first, &mut got).unwrap();
    // It may have run. No connection comes up until the handshake's second attempt.
    origin.fill_queue();
    socket2::SockRef::from(&first).set_linger(Some(Duration::ZERO)).unwrap();
    drop(first);
    client.expect_error(id, "Shed");
    assert!(start.elapsed() < Duration::from_millis(900), "at its window's end: {:?}", start.elapsed());
    let mut second = origin.accept();
    second.set_read_timeout(Some(QUIET)).unwrap();
    let read = std::io::Read::read(&mut second, &mut got);
    assert!(!matches!(read, Ok(1..)), "written after its time: {got:?}");
}
