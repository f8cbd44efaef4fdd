//! Malformed and incomplete requests: how they are answered, and which connections are closed.

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
    assert!(site.origin.request_if_any().is_none(), "no invalid request was forwarded");
}

#[test]
fn non_consecutive_message_ids_close_connection_after_pending_answers() {
    let (site, gateway, mut client) = TestSite::start_with_client();
    let first = client.request_object(OBJECT);
    let (cache, request) = site.next_request();
    client.encode_request("page", &[], &[]);
    let non_consecutive = client.request_object(OBJECT);
    client.expect_error(non_consecutive, "Unusable");
    let later = client.request_object(OBJECT);
    client.expect_error(later, "Shed");
    cache.answer(&request, "200", b"first");
    client.expect_served(first, b"first");
    client.expect_closed();
    assert!(site.request_if_any().is_none(), "no later request is forwarded");
    let mut client = gateway.client();
    client.encode_request("page", &[], &[]);
    let id = client.request_object(OBJECT);
    client.expect_error(id, "Unusable");
    client.expect_closed();
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

/// The clients are closed within 3 s of connecting, however their bytes are spread over time.
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
