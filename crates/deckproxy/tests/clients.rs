//! What clients send, and how a gateway holds against it.

mod common;
use common::*;
use rmpv::Value;
use std::time::{Duration, Instant};

#[test]
fn a_request_in_single_bytes_is_served() {
    let (world, _gateway, mut client) = TestSite::start_with_client();
    let (id, bytes) = client.encode_request("page", &[("lookup", OBJECT)], &[]);
    bytes.iter().for_each(|b| client.send(&[*b]));
    let (cache, ask) = world.next_request();
    cache.answer(&ask, "200", b"whole");
    client.expect_served(id, b"whole");
}

#[test]
fn bytes_that_mean_nothing_close_their_connection_and_no_other() {
    let world = TestSite::start();
    let gateway = world.setup().start();
    let mut good = gateway.client();
    let id = good.request_object(OBJECT);
    let (cache, ask) = world.next_request();
    let deep: Vec<u8> = std::iter::repeat_n(0x91, 100_000).collect();
    let huge = b"\x94\x00\x07\xa4page\x92\x80\xc6\xff\xff\xff\xff".to_vec();
    let many = b"\x94\x00\x07\xa4page\xdd\xff\xff\xff\xff".to_vec();
    for bad in [b"GET / HTTP/1.1\r\n\r\n".to_vec(), vec![0xc1], vec![0x94, 0xc1], deep, huge, many] {
        let mut client = gateway.client();
        client.send(&bad);
        client.expect_closed();
    }
    cache.answer(&ask, "200", b"kept");
    good.expect_served(id, b"kept");
}

#[test]
fn an_oversized_request_is_answered_before_its_connection_closes() {
    let (_world, _gateway, mut client) = TestSite::start_with_client();
    client.send(b"\x94\x00\x07\xa4page\x92\x80\xc6\x7f\xff\xff\xff");
    client.expect_error(7, "Unusable");
    client.expect_closed();
}

#[test]
fn requests_that_can_not_be_used_get_an_error_and_the_connection_goes_on() {
    let (world, _gateway, mut client) = TestSite::start_with_client();
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
    world.serve_object(&mut client, OBJECT, b"after");
    assert!(world.origin.request_if_any().is_none(), "nothing of it went out");
}

#[test]
fn message_ids_that_do_not_count_up_from_1_end_the_connection_once_all_is_answered() {
    let (world, gateway, mut client) = TestSite::start_with_client();
    let first = client.request_object(OBJECT);
    let (cache, ask) = world.next_request();
    client.encode_request("page", &[], &[]);
    let made_up = client.request_object(OBJECT);
    client.expect_error(made_up, "Unusable");
    let unread = client.request_object(OBJECT);
    cache.answer(&ask, "200", b"first");
    client.expect_served(first, b"first");
    client.expect_closed();
    assert!(unread > 0 && world.request_if_any().is_none(), "nothing that came after it goes out");
    let mut client = gateway.client();
    client.encode_request("page", &[], &[]);
    let id = client.request_object(OBJECT);
    client.expect_error(id, "Unusable");
    client.expect_closed();
}

/// Closed within 3 s of connecting, however its bytes are spread.
#[test]
fn clients_that_keep_a_message_waiting_are_closed_and_idle_ones_are_not() {
    let world = TestSite::start();
    let gateway = world.setup().start();
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
    assert!(start.elapsed() < Duration::from_millis(3000), "{:?}", start.elapsed());
    world.serve_object(&mut good, OBJECT, b"still");
}

#[test]
fn a_client_that_takes_back_all_it_asks_for_is_closed() {
    let (_world, _gateway, mut client) = TestSite::start_with_client();
    for _ in 0..1000 {
        let (id, bytes) = client.encode_request("page", &[("lookup", OBJECT)], &[]);
        if client.try_send(&bytes).is_err() || client.try_cancel(id).is_err() {
            break;
        }
    }
    client.expect_closed();
}

#[test]
fn hundreds_of_silent_clients_are_no_reason_to_lose_a_good_one() {
    let world = TestSite::start();
    let mut setup = world.setup();
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
        world.serve_object(client, OBJECT, b"good");
    }
    assert!(start.elapsed() < Duration::from_millis(1500), "{:?}", start.elapsed());
    assert!(gateway.usage().descriptors <= 96, "{:?}", gateway.usage());
}

#[test]
fn a_body_of_60_mb_is_turned_away_by_its_length() {
    let (_world, gateway, mut client) = TestSite::start_with_client();
    let (id, mut bytes) = client.encode_request("page", &[("lookup", OBJECT)], &[]);
    bytes.truncate(bytes.len() - 2);
    bytes.extend([0xc6, 3, 0x93, 0x87, 0]);
    client.send(&bytes);
    client.expect_error(id, "Unusable");
    let start = Instant::now();
    while client.try_send(&[0; 64 * 1024]).is_ok() {}
    assert!(start.elapsed() < Duration::from_millis(2000), "{:?}", start.elapsed());
    assert!(gateway.usage().peak_memory_kb < 32 * 1024, "{:?}", gateway.usage());
}

#[test]
fn a_33rd_open_request_is_refused_and_room_comes_back() {
    let (world, _gateway, mut client) = TestSite::start_with_client();
    let ids: Vec<u64> = (0..32).map(|i| client.send_request("once", &[("lookup", OBJECT)], &[i])).collect();
    let mut asks: Vec<MemberRequest> = ids.iter().map(|_| world.origin.next_request()).collect();
    asks.sort_by_key(|a| a.body.clone());
    let over = client.send_request("once", &[("lookup", OBJECT)], b"x");
    client.expect_error(over, "Shed");
    world.origin.answer(&asks[0], "200", b"one");
    client.expect_served(ids[0], b"one");
    world.serve_write(&mut client, b"x", b"next");
}

#[test]
fn an_open_id_used_again_closes_the_connection() {
    let (world, _gateway, mut client) = TestSite::start_with_client();
    let (_, bytes) = client.encode_request("page", &[("lookup", OBJECT)], &[]);
    client.send(&bytes);
    let (cache, ask) = world.next_request();
    client.send(&bytes);
    client.expect_closed();
    cache.expect_cancelled(&ask.id);
}

#[test]
fn an_aborted_request_is_given_up_at_the_cache_and_never_answered() {
    let (world, _gateway, mut client) = TestSite::start_with_client();
    let id = client.request_object(OBJECT);
    let (cache, ask) = world.next_request();
    client.cancel(id);
    cache.expect_cancelled(&ask.id);
    cache.answer(&ask, "200", b"too late");
    client.expect_silence();
    let id = client.request_object(OBJECT);
    let ask = cache.next_request();
    cache.answer(&ask, "200", b"next");
    client.expect_served(id, b"next");
}

#[test]
fn a_clients_end_gives_up_its_requests_and_lets_another_lead() {
    let world = TestSite::start();
    let gateway = world.setup().start();
    let mut leader = gateway.client();
    let (_, cache, fill) = world.start_fill(&mut leader, OBJECT);
    let mut waiter = gateway.client();
    let id = waiter.request_object(OBJECT);
    let look_up = cache.answer_miss();
    assert!(cache.request_if_any().is_none(), "it waits");
    drop(leader);
    cache.expect_cancelled(&fill.id);
    let next = cache.next_request();
    assert_eq!((&next.id, next.field("miss")), (&look_up.id, Some("s-00000003")));
    cache.answer(&next, "200", b"filled");
    waiter.expect_served(id, b"filled");
}

#[test]
fn the_deadline_counts_from_the_last_byte() {
    let (world, _gateway, mut client) = TestSite::start_with_client();
    let (id, bytes) = client.encode_request("page", &[("lookup", OBJECT), ("allow", "300")], &[]);
    let (most, last) = bytes.split_at(bytes.len() - 1);
    client.send(most);
    std::thread::sleep(Duration::from_millis(400));
    client.send(last);
    let (cache, ask) = world.next_request();
    assert!(ask.field("ttl").unwrap().parse::<u64>().unwrap() > 250);
    cache.answer(&ask, "200", b"in time");
    client.expect_served(id, b"in time");
}

#[test]
fn a_client_that_never_reads_holds_up_nobody_and_memory_stays_bounded() {
    let world = TestSite::start();
    let gateway = world.setup().start();
    let body = vec![9u8; 240_000];
    let mut greedy: Vec<Client> = (0..30).map(|_| gateway.client()).collect();
    for client in &mut greedy {
        for _ in 0..32 {
            client.request_object(OBJECT);
        }
    }
    let mut answered = 0;
    while let Some((cache, ask)) = world.request_if_any() {
        cache.try_answer(&ask, "200", &body);
        answered += 1;
    }
    assert!(answered > 600, "{answered}");
    // While the caches are taken for crowded it may be refused, and comes back.
    let mut other = gateway.client();
    let mut serve = || {
        let id = other.request_object("00000000000000aa");
        while let Some((cache, ask)) = world.request_if_any() {
            cache.try_answer(&ask, "200", b"mine");
            if ask.field("name") == Some("00000000000000aa") {
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
    // Over 140 MB were answered to clients that read nothing; all of that is gone with them.
    drop(greedy);
    until("it is served again", serve);
}

#[test]
fn clients_beyond_the_budget_take_the_place_of_idle_ones() {
    let world = TestSite::start();
    let mut setup = world.setup();
    setup.sockets = 96;
    let gateway = setup.start();
    let mut busy = gateway.client();
    let first = busy.request_object(OBJECT);
    let (cache, ask) = world.next_request();
    let mut all = Vec::new();
    for _ in 0..100 {
        let mut client = gateway.client();
        client.expect_ready();
        all.push(client);
        assert!(gateway.usage().descriptors <= 96, "{:?}", gateway.usage());
    }
    cache.answer(&ask, "200", b"kept");
    busy.expect_served(first, b"kept");
}

#[test]
fn without_a_descriptor_left_it_neither_spins_nor_dies() {
    let world = TestSite::start();
    let gateway = world.setup().start_limited("ulimit -n 32");
    let mut busy: Vec<Client> = Vec::new();
    let mut asks = Vec::new();
    // Fewer open requests than descriptors, then idle connections until there are no more.
    for _ in 0..4 {
        let mut client = gateway.client();
        client.request_object(OBJECT);
        asks.push(world.next_request());
        busy.push(client);
    }
    let idle: Vec<Client> = (0..60).map(|_| gateway.client()).collect();
    until("the lack is noted", || gateway.log().contains("no descriptor is left"));
    let before = gateway.cpu_ms();
    std::thread::sleep(Duration::from_millis(500));
    assert!(gateway.cpu_ms() - before < 100, "{} ms of CPU in half a second", gateway.cpu_ms() - before);
    for (client, (cache, ask)) in busy.iter_mut().zip(&asks) {
        cache.answer(ask, "200", b"kept");
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
fn bodies_that_wait_for_a_stalled_member_are_bounded() {
    let world = TestSite::start();
    let gateway = world.setup().start();
    let mut first = gateway.client();
    world.serve_write(&mut first, b"x", b"done");
    world.origin.stop_reading();
    let body = vec![1u8; 48_000];
    let mut clients: Vec<Client> = (0..100).map(|_| gateway.client()).collect();
    for client in &mut clients {
        (0..32).for_each(|_| {
            client.send_request("once", &[("lookup", OBJECT)], &body);
        });
    }
    // 154 MB were sent; all of it is answered, what found no room at once.
    for client in &mut clients {
        (0..32).for_each(|_| assert!(matches!(client.next_answer().1, Answer::Error(..))));
    }
    let memory = gateway.usage().peak_memory_kb;
    assert!(memory < 128 * 1024, "{memory} KB");
}

/// The smallest limits that a deployment gives: what connections hold ends by the memory, also half of messages.
#[test]
fn bad_clients_find_room_in_32_mb_and_256_descriptors_and_no_more() {
    let world = TestSite::start();
    let mut setup = world.setup();
    (setup.memory_mb, setup.sockets) = (32, 256);
    let gateway = setup.start();
    let first = gateway.client();
    world.origin.stop_reading();
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
        // The program's own pages, 5 MB as it is deployed, are within the 32 MB too, with 3 MB to spare.
        let (memory, descriptors) = (gateway.own_memory_kb(), gateway.usage().descriptors);
        most = (memory.max(most.0), descriptors.max(most.1));
        assert!(memory < 24 * 1024 && descriptors <= 256, "round {round}: {memory} KB, {descriptors}");
    }
    assert!(refused > 300, "{refused} refused, {most:?}");
    drop(first);
}

#[test]
fn a_flood_from_some_clients_delays_no_deadline_of_another() {
    let (world, gateway, mut client) = TestSite::start_with_client();
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
        let (_, ask) = world.next_request();
        client.expect_error(id, "Shed");
        let took = start.elapsed().as_millis();
        assert!((245..450).contains(&took), "{took} ms for {ask:?}");
    }
    stop.store(true, std::sync::atomic::Ordering::SeqCst);
    let sent: u64 = floods.into_iter().map(|f| f.join().unwrap()).sum();
    assert!(sent > 2000, "{sent} pings are no flood");
}
