//! Silent, slow and flooding clients, and the limits that protect the gateway from them.

use deckproxy_standins::*;
use std::time::{Duration, Instant};

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
    let mut active: Vec<Client> = (0..10).map(|_| gateway.client()).collect();
    for client in &mut active {
        client.expect_ready();
    }
    let _silent: Vec<Client> = (0..200).map(|_| gateway.client()).collect();
    let start = Instant::now();
    active.push(gateway.client());
    for client in &mut active {
        site.serve_object(client, OBJECT, b"good");
    }
    assert!(start.elapsed() < Duration::from_millis(1500), "{:?}", start.elapsed());
    assert!(gateway.usage().descriptors <= 96, "{:?}", gateway.usage());
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
    until("the exhaustion is logged", || gateway.log().contains("no descriptor is left"));
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
    // The request may be rejected while the caches count as overloaded, and is then repeated.
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
    until("the client is served again", serve);
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
    let mut rejected = 0;
    let mut peak = (0, 0);
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
                rejected +=
                    usize::from(matches!(client.next_answer().1, Answer::Error(word, _) if word == "Shed"));
            }
        }
        // The 32 MB also include the program's own pages, 5 MB as deployed, and a margin of 3 MB.
        let (memory, descriptors) = (gateway.own_memory_kb(), gateway.usage().descriptors);
        peak = (memory.max(peak.0), descriptors.max(peak.1));
        assert!(memory < 24 * 1024 && descriptors <= 256, "round {round}: {memory} KB, {descriptors}");
    }
    assert!(rejected > 300, "{rejected} rejected, {peak:?}");
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
    assert!(sent > 2000, "{sent} pings are not a flood");
}
