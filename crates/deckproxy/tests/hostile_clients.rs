//! Malformed, silent, slow and flooding clients, and the limits that protect the gateway from them.

use deckproxy_standins::*;
use rmpv::Value;
use std::time::{Duration, Instant};

#[test]
fn request_received_byte_by_byte_is_served() {
    let (site, _gateway, mut client) = TestSite::start_with_client();
    let (id, bytes) = client.encode_request("page", &[("lookup", OBJECT)], &[]);
    for b in &bytes {
        client.send(&[*b]);
    }
    let (cache, request) = site.next_request();
    cache.answer(&request, "200", b"whole");
    client.expect_served(id, b"whole");
}

#[test]
fn malformed_bytes_close_only_their_connection() {
    let site = TestSite::start();
    let gateway = site.setup().start();
    let mut good = gateway.client();
    let id = good.request_object(OBJECT);
    let (cache, request) = site.next_request();
    let deep: Vec<u8> = std::iter::repeat_n(0x91, 100_000).collect();
    let huge = b"\x94\x00\x07\xa4page\x92\x80\xc6\xff\xff\xff\xff".to_vec();
    let many = b"\x94\x00\x07\xa4page\xdd\xff\xff\xff\xff".to_vec();
    for bad in [b"GET / HTTP/1.1\r\n\r\n".to_vec(), vec![0xc1], vec![0x94, 0xc1], deep, huge, many] {
        let mut client = gateway.client();
        client.send(&bad);
        client.expect_closed();
    }
    cache.answer(&request, "200", b"kept");
    good.expect_served(id, b"kept");
}

#[test]
fn oversized_request_is_answered_before_connection_closes() {
    let (_site, _gateway, mut client) = TestSite::start_with_client();
    client.send(b"\x94\x00\x07\xa4page\x92\x80\xc6\x7f\xff\xff\xff");
    client.expect_error(7, "Unusable");
    client.expect_closed();
}

#[test]
fn invalid_requests_get_an_error_and_connection_stays_open() {
    let (site, _gateway, mut client) = TestSite::start_with_client();
    let bad = [
        ("video", vec![("lookup", OBJECT)], 0),
        ("page", vec![("lookup", "no hex at all!!!")], 0),
        ("page", vec![], 0),
        ("page", vec![("lookup", OBJECT), ("allow", "soon")], 0),
        ("page", vec![("lookup", OBJECT), ("allow", "NaN")], 0),
        ("page", vec![("lookup", OBJECT), ("allow", "-5")], 0),
        ("page", vec![("lookup", OBJECT), ("allow", "+5")], 0),
        ("page", vec![("lookup", OBJECT), ("allow", "1e3")], 0),
        ("page", vec![("lookup", OBJECT), ("allow", "99999")], 0),
        ("page", vec![("lookup", OBJECT), ("allow", "100000000000000000000000")], 0),
        ("page", vec![("lookup", OBJECT), ("room", "inf")], 0),
        ("page", vec![("lookup", OBJECT), ("room", "9999999999")], 0),
        ("page", vec![("lookup", OBJECT), ("seg", "-1")], 0),
        ("page", vec![("lookup", OBJECT), ("seg", "007")], 0),
        ("page", vec![("lookup", OBJECT), ("seg", "4294967296")], 0),
        ("page", vec![("lookup", OBJECT), ("bucket", "256")], 0),
        ("page", vec![("lookup", OBJECT), ("dup", "2")], 0),
        ("page", vec![("lookup", OBJECT), ("replay", "5c0f")], 0),
        ("page", vec![("lookup", "7F3A9C21E0B4D655")], 0),
        ("post", vec![("lookup", OBJECT)], 0),
        ("page", vec![("lookup", OBJECT), ("ref", "short")], 0),
        ("page", vec![("lookup", OBJECT), ("etag", "a,miss=s-00000004")], 0),
        ("post", vec![("lookup", OBJECT), ("replay", "a\r\nb")], 0),
        ("post", vec![("lookup", OBJECT), ("replay", "5c0f")], 48_001),
    ];
    for (class, fields, body) in bad {
        let id = client.send_request(class, &fields, &vec![0; body]);
        client.expect_error(id, "Unusable");
    }
    let (id, _) = client.encode_request("page", &[], &[]);
    client.send_value(&Value::Array(vec![0.into(), id.into(), "page".into(), Value::Nil]));
    client.expect_error(id, "Unusable");
    client.send_value(&Value::Array(vec![2.into(), "unknown".into(), Value::Array(vec![])]));
    site.serve_object(&mut client, OBJECT, b"after");
    assert!(site.origin.request_if_any().is_none(), "nothing of it went out");
}

#[test]
fn non_consecutive_message_ids_close_connection_after_pending_answers() {
    let (site, gateway, mut client) = TestSite::start_with_client();
    let first = client.request_object(OBJECT);
    let (cache, request) = site.next_request();
    client.encode_request("page", &[], &[]);
    let made_up = client.request_object(OBJECT);
    client.expect_error(made_up, "Unusable");
    let unread = client.request_object(OBJECT);
    cache.answer(&request, "200", b"first");
    client.expect_served(first, b"first");
    client.expect_closed();
    assert!(unread > 0 && site.request_if_any().is_none(), "nothing that came after it goes out");
    let mut client = gateway.client();
    client.encode_request("page", &[], &[]);
    let id = client.request_object(OBJECT);
    client.expect_error(id, "Unusable");
    client.expect_closed();
}

/// They are closed within 3 s of connecting, however their bytes are spread.
#[test]
fn clients_with_incomplete_messages_are_closed_and_idle_ones_are_not() {
    let site = TestSite::start();
    let gateway = site.setup().start();
    let start = Instant::now();
    let mut good = gateway.client();
    good.expect_ready();
    let mut silent: Vec<Client> = (0..20).map(|_| gateway.client()).collect();
    let mut half = gateway.client();
    let (_, bytes) = half.encode_request("page", &[("lookup", OBJECT)], &[1; 500]);
    half.send(&bytes[..40]);
    let mut begun = gateway.client();
    begun.expect_ready();
    begun.send(&bytes[..40]);
    let mut trickle = gateway.client();
    for byte in &bytes[..100] {
        if trickle.try_send(&[*byte]).is_err() {
            break;
        }
        std::thread::sleep(Duration::from_millis(25));
    }
    silent.iter_mut().chain([&mut half, &mut begun, &mut trickle]).for_each(Client::expect_closed);
    assert!(start.elapsed() < Duration::from_secs(3), "{:?}", start.elapsed());
    site.serve_object(&mut good, OBJECT, b"still");
}

#[test]
fn client_that_cancels_every_request_is_closed() {
    let (_site, _gateway, mut client) = TestSite::start_with_client();
    for _ in 0..1000 {
        let (id, bytes) = client.encode_request("page", &[("lookup", OBJECT)], &[]);
        if client.try_send(&bytes).is_err() || client.try_cancel(id).is_err() {
            break;
        }
    }
    client.expect_closed();
}

#[test]
fn silent_clients_do_not_evict_active_ones() {
    let site = TestSite::start();
    let mut setup = site.setup();
    setup.sockets = 96;
    let gateway = setup.start();
    let mut kept: Vec<Client> = (0..10).map(|_| gateway.client()).collect();
    for client in &mut kept {
        client.expect_ready();
    }
    let _silent: Vec<Client> = (0..200).map(|_| gateway.client()).collect();
    let start = Instant::now();
    kept.push(gateway.client());
    for client in &mut kept {
        site.serve_object(client, OBJECT, b"good");
    }
    assert!(start.elapsed() < Duration::from_millis(1500), "{:?}", start.elapsed());
    assert!(gateway.usage().descriptors <= 96, "{:?}", gateway.usage());
}

#[test]
fn body_of_60_mb_is_rejected_by_its_declared_length() {
    let (_site, gateway, mut client) = TestSite::start_with_client();
    let (id, mut bytes) = client.encode_request("page", &[("lookup", OBJECT)], &[]);
    bytes.truncate(bytes.len() - 2);
    bytes.extend([0xc6, 3, 0x93, 0x87, 0]);
    client.send(&bytes);
    client.expect_error(id, "Unusable");
    let start = Instant::now();
    while client.try_send(&[0; 64 * 1024]).is_ok() {}
    assert!(start.elapsed() < Duration::from_secs(2), "{:?}", start.elapsed());
    assert!(gateway.usage().peak_memory_kb < 32 * 1024, "{:?}", gateway.usage());
}

#[test]
fn request_beyond_32_in_flight_is_rejected_until_one_completes() {
    let (site, _gateway, mut client) = TestSite::start_with_client();
    let ids: Vec<u64> = (0..32).map(|i| client.send_request("once", &[("lookup", OBJECT)], &[i])).collect();
    let mut requests: Vec<MemberRequest> = ids.iter().map(|_| site.origin.next_request()).collect();
    requests.sort_by_key(|a| a.body.clone());
    let over = client.send_request("once", &[("lookup", OBJECT)], b"x");
    client.expect_error(over, "Shed");
    site.origin.answer(&requests[0], "200", b"one");
    client.expect_served(ids[0], b"one");
    site.serve_write(&mut client, b"x", b"next");
}

#[test]
fn reusing_an_in_flight_id_closes_connection() {
    let (site, _gateway, mut client) = TestSite::start_with_client();
    let (_, bytes) = client.encode_request("page", &[("lookup", OBJECT)], &[]);
    client.send(&bytes);
    let (cache, request) = site.next_request();
    client.send(&bytes);
    client.expect_closed();
    cache.expect_cancelled(&request.id);
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
    assert!(cache.request_if_any().is_none(), "it waits");
    drop(leader);
    cache.expect_cancelled(&fill.id);
    let next = cache.next_request();
    assert_eq!((&next.id, next.field("miss")), (&lookup.id, Some("s-00000003")));
    cache.answer(&next, "200", b"filled");
    waiter.expect_served(id, b"filled");
}

#[test]
fn deadline_counts_from_last_byte_of_request() {
    let (site, _gateway, mut client) = TestSite::start_with_client();
    let (id, bytes) = client.encode_request("page", &[("lookup", OBJECT), ("allow", "300")], &[]);
    let (most, last) = bytes.split_at(bytes.len() - 1);
    client.send(most);
    std::thread::sleep(Duration::from_millis(400));
    client.send(last);
    let (cache, request) = site.next_request();
    assert!(request.field("ttl").unwrap().parse::<u64>().unwrap() > 250);
    cache.answer(&request, "200", b"in time");
    client.expect_served(id, b"in time");
}

#[test]
fn client_that_never_reads_delays_nobody_and_memory_stays_bounded() {
    let site = TestSite::start();
    let gateway = site.setup().start();
    let body = vec![9u8; 240_000];
    let mut greedy: Vec<Client> = (0..30).map(|_| gateway.client()).collect();
    for client in &mut greedy {
        for _ in 0..32 {
            client.request_object(OBJECT);
        }
    }
    let mut answered = 0;
    while let Some((cache, request)) = site.request_if_any() {
        cache.try_answer(&request, "200", &body);
        answered += 1;
    }
    assert!(answered > 600, "{answered}");
    // While the caches count as overloaded the request may be rejected, and is retried.
    let mut other = gateway.client();
    let mut serve = || {
        let id = other.request_object("00000000000000aa");
        while let Some((cache, request)) = site.request_if_any() {
            cache.try_answer(&request, "200", b"mine");
            if request.field("name") == Some("00000000000000aa") {
                break;
            }
        }
        let (of, answer) = other.next_answer();
        assert_eq!(of, id);
        matches!(answer, Answer::Served(body, _) if body == b"mine")
    };
    until("another client is served", &mut serve);
    let memory = gateway.usage().peak_memory_kb;
    assert!(memory < 128 * 1024, "{memory} KB");
    // Over 140 MB were answered to clients that read nothing; all of it is freed with them.
    drop(greedy);
    until("it is served again", serve);
}

#[test]
fn clients_beyond_the_limit_evict_idle_ones() {
    let site = TestSite::start();
    let mut setup = site.setup();
    setup.sockets = 96;
    let gateway = setup.start();
    let mut busy = gateway.client();
    let first = busy.request_object(OBJECT);
    let (cache, request) = site.next_request();
    let mut all = Vec::new();
    for _ in 0..100 {
        let mut client = gateway.client();
        client.expect_ready();
        all.push(client);
        assert!(gateway.usage().descriptors <= 96, "{:?}", gateway.usage());
    }
    cache.answer(&request, "200", b"kept");
    busy.expect_served(first, b"kept");
}

#[test]
fn descriptor_exhaustion_neither_spins_nor_ends_the_process() {
    let site = TestSite::start();
    let gateway = site.setup().start_limited("ulimit -n 32");
    let mut busy: Vec<Client> = Vec::new();
    let mut requests = Vec::new();
    // Fewer requests in flight than descriptors, then idle connections until no descriptor is left.
    for _ in 0..4 {
        let mut client = gateway.client();
        client.request_object(OBJECT);
        requests.push(site.next_request());
        busy.push(client);
    }
    let idle: Vec<Client> = (0..60).map(|_| gateway.client()).collect();
    until("the lack is noted", || gateway.log().contains("no descriptor is left"));
    let before = gateway.cpu_ms();
    std::thread::sleep(Duration::from_millis(500));
    assert!(gateway.cpu_ms() - before < 100, "{} ms of CPU in half a second", gateway.cpu_ms() - before);
    for (client, (cache, request)) in busy.iter_mut().zip(&requests) {
        cache.answer(request, "200", b"kept");
        client.expect_served(1, b"kept");
    }
    drop(idle);
    until("new clients are served", || {
        let mut client = gateway.client();
        let id = client.ping();
        client.next_answer() == (id, Answer::Ready(true))
    });
}

#[test]
fn bodies_queued_for_a_stalled_member_are_bounded() {
    let site = TestSite::start();
    let gateway = site.setup().start();
    let mut first = gateway.client();
    site.serve_write(&mut first, b"x", b"done");
    site.origin.stop_reading();
    let body = vec![1u8; 48_000];
    let mut clients: Vec<Client> = (0..100).map(|_| gateway.client()).collect();
    for client in &mut clients {
        (0..32).for_each(|_| {
            client.send_request("once", &[("lookup", OBJECT)], &body);
        });
    }
    // 154 MB were sent; every request is answered, rejected if it could not be queued.
    for client in &mut clients {
        (0..32).for_each(|_| assert!(matches!(client.next_answer().1, Answer::Error(..))));
    }
    let memory = gateway.usage().peak_memory_kb;
    assert!(memory < 128 * 1024, "{memory} KB");
}

/// With the smallest limits of a deployment, buffered bytes, partial messages included, are bounded by the memory limit.
#[test]
fn hostile_clients_stay_within_32_mb_and_256_descriptors() {
    let site = TestSite::start();
    let mut setup = site.setup();
    (setup.memory_mb, setup.sockets) = (32, 256);
    let gateway = setup.start();
    let first = gateway.client();
    site.origin.stop_reading();
    let body = vec![1u8; 48_000];
    let mut refused = 0;
    let mut most = (0, 0);
    for round in 0..3 {
        let mut clients: Vec<Client> = (0..70).map(|_| gateway.client()).collect();
        for (at, client) in clients.iter_mut().enumerate() {
            let (_, half) = client.encode_request("once", &[("lookup", OBJECT)], &body);
            if at % 2 == 0 {
                let _ = client.try_send(&half[..40_000]);
                continue;
            }
            let _ = client.try_send(&half);
            for _ in 0..20 {
                let (_, bytes) = client.encode_request("once", &[("lookup", OBJECT)], &body);
                let _ = client.try_send(&bytes);
            }
        }
        for client in clients.iter_mut().skip(1).step_by(2) {
            for _ in 0..21 {
                refused +=
                    usize::from(matches!(client.next_answer().1, Answer::Error(word, _) if word == "Shed"));
            }
        }
        // The program's own pages, 5 MB as deployed, are within the 32 MB too, with 3 MB to spare.
        let (memory, descriptors) = (gateway.own_memory_kb(), gateway.usage().descriptors);
        most = (memory.max(most.0), descriptors.max(most.1));
        assert!(memory < 24 * 1024 && descriptors <= 256, "round {round}: {memory} KB, {descriptors}");
    }
    assert!(refused > 300, "{refused} refused, {most:?}");
    drop(first);
}

#[test]
fn flood_from_some_clients_delays_no_deadline_of_another() {
    let (site, gateway, mut client) = TestSite::start_with_client();
    let stop = std::sync::Arc::new(std::sync::atomic::AtomicBool::new(false));
    let floods: Vec<_> = (0..6)
        .map(|_| {
            let (mut flood, stop) = (gateway.client(), stop.clone());
            std::thread::spawn(move || {
                let mut sent = 0u64;
                while !stop.load(std::sync::atomic::Ordering::SeqCst) {
                    (0..200).for_each(|_| sent = flood.ping());
                    (0..200).for_each(|_| drop(flood.next_answer()));
                }
                sent
            })
        })
        .collect();
    for _ in 0..3 {
        let start = std::time::Instant::now();
        let id = client.send_request("page", &[("lookup", OBJECT), ("allow", "250")], &[]);
        let (_, request) = site.next_request();
        client.expect_error(id, "Shed");
        let took = start.elapsed().as_millis();
        assert!((245..450).contains(&took), "{took} ms for {request:?}");
    }
    stop.store(true, std::sync::atomic::Ordering::SeqCst);
    let sent: u64 = floods.into_iter().map(|f| f.join().unwrap()).sum();
    assert!(sent > 2000, "{sent} pings are no flood");
}
