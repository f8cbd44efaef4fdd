//! The path of a request from the client to a member and back, and the handling of each ending of an attempt.

use deckproxy_standins::*;
use serde_json::json;
use std::time::Duration;

#[test]
fn cache_hit_forwards_all_fields_and_bytes_unchanged() {
    let (site, _gateway, mut client) = TestSite::start_with_client();
    let body: Vec<u8> = (0..240_000u32).map(|i| (i * 7 + i / 251) as u8).collect();
    let name = fresh_name();
    let fields = [("ref", name.as_str()), ("lookup", OBJECT), ("seg", "3"), ("bucket", "17"), ("extra", "x")];
    let id = client.send_request("page", &fields, &[]);
    let (cache, request) = site.next_request();
    assert_eq!(request.id, name);
    assert_eq!(
        (request.field("lane"), request.field("name"), request.field("piece")),
        (Some("page"), Some(OBJECT), Some("3"))
    );
    let ttl: u64 = request.field("ttl").unwrap().parse().unwrap();
    assert!((1..=1200).contains(&ttl), "{ttl}");
    for absent in ["miss", "prio", "within", "f", "mine", "dedupe"] {
        assert_eq!(request.field(absent), None, "{absent}");
    }
    cache.answer(&request, "200", &body);
    client.expect_served(id, &body);
}

#[test]
fn miss_is_filled_by_a_leader_while_others_wait() {
    let (site, _gateway, mut client) = TestSite::start_with_client();
    let first = client.request_object(OBJECT);
    let (cache, lookup) = site.next_request();
    cache.answer(&lookup, "404", &[]);
    let fill = cache.next_request();
    assert_eq!(fill.id, lookup.id);
    assert_eq!(
        (fill.field("miss"), fill.field("prio"), fill.field("f")),
        (Some("s-00000003"), Some("2"), Some("merge"))
    );
    let second = client.request_object(OBJECT);
    let lookup = cache.answer_miss();
    assert!(cache.request_if_any().is_none(), "the second request waits");
    cache.answer(&fill, "200", b"filled");
    client.expect_served(first, b"filled");
    let again = cache.next_request();
    assert_eq!((again.id.as_str(), again.field("miss")), (lookup.id.as_str(), None));
    cache.answer(&again, "200", b"filled");
    client.expect_served(second, b"filled");
}

#[test]
fn valid_client_copy_is_answered_without_body() {
    let (site, _gateway, mut client) = TestSite::start_with_client();
    let id = client.send_request("page", &[("lookup", OBJECT), ("etag", "4be0c1927d55a6f3")], &[]);
    let (cache, request) = site.next_request();
    assert_eq!(request.field("mine"), Some("4be0c1927d55a6f3"));
    cache.send(
        request.connection,
        &Member::encode(&request.id, "304", "entity=4be0c1927d55a6f3,issued=1", &[]),
    );
    let (got, answer) = client.next_answer();
    let notmod = [("notmod".to_string(), "1".to_string())].into();
    assert_eq!((got, answer), (id, Answer::Served(Vec::new(), notmod)));
}

/// A "not modified" answer for another tag, forwarded to the client, would wrongly confirm the client's own copy.
#[test]
fn not_modified_for_another_tag_is_retried() {
    for fields in ["entity=4be0c1927d55a6f4,issued=1", "entity=,issued=1", "issued=1", "-"] {
        let site = TestSite::start();
        let gateway = site.setup().start();
        let mut client = gateway.client();
        let id = client.send_request("page", &[("lookup", OBJECT), ("etag", "4be0c1927d55a6f3")], &[]);
        let (cache, request) = site.next_request();
        cache.send(request.connection, &Member::encode(&request.id, "304", fields, &[]));
        let other = site.other_cache(cache);
        let again = other.next_request();
        other.answer(&again, "200", b"bytes");
        client.expect_served(id, b"bytes");
    }
}

#[test]
fn not_modified_without_client_copy_is_retried() {
    let (site, _gateway, mut client) = TestSite::start_with_client();
    let id = client.request_object(OBJECT);
    let (cache, request) = site.next_request();
    cache.answer(&request, "304", &[]);
    let other = site.other_cache(cache);
    let again = other.next_request();
    other.answer(&again, "200", b"bytes");
    client.expect_served(id, b"bytes");
}

#[test]
fn idempotent_write_is_retried_with_its_key_after_reset() {
    let (site, _gateway, mut client) = TestSite::start_with_client();
    let body: Vec<u8> = (0..48_000u32).map(|i| (i % 253) as u8).collect();
    let id = client.send_request("post", &[("lookup", OBJECT), ("replay", "5c0f6e1a2b3d4c59")], &body);
    let request = site.origin.next_request();
    assert_eq!((request.field("dedupe"), &request.body), (Some("5c0f6e1a2b3d4c59"), &body));
    site.origin.reset(request.connection);
    let again = site.origin.next_request();
    assert_eq!(
        (again.field("dedupe"), &again.body, &again.id),
        (Some("5c0f6e1a2b3d4c59"), &body, &request.id)
    );
    site.origin.answer(&again, "200", b"done");
    client.expect_served(id, b"done");
}

#[test]
fn write_without_key_that_may_have_run_fails() {
    let (site, _gateway, mut client) = TestSite::start_with_client();
    let id = client.send_request("once", &[("lookup", OBJECT)], b"x");
    let request = site.origin.next_request();
    site.origin.reset(request.connection);
    client.expect_error(id, "Fault");
    assert!(site.origin.request_if_any().is_none() && site.parent.request_if_any().is_none());
}

#[test]
fn idempotent_class_without_key_is_not_forwarded() {
    let (site, _gateway, mut client) = TestSite::start_with_client();
    let id = client.send_request("post", &[("lookup", OBJECT)], b"x");
    client.expect_error(id, "Unusable");
    assert!(site.origin.request_if_any().is_none());
}

#[test]
fn failed_read_is_retried_at_the_next_cache() {
    for ending in ["500", "503", "504", "reset", "unreadable"] {
        let site = TestSite::start();
        let gateway = site.setup().start();
        let mut client = gateway.client();
        let id = client.request_object(OBJECT);
        let (cache, request) = site.next_request();
        match ending {
            "reset" => cache.reset(request.connection),
            "unreadable" => cache.send(request.connection, b"*4\r\n$99999999\r\n"),
            ending => cache.answer(&request, ending, &[]),
        }
        let other = site.other_cache(cache);
        let again = other.next_request();
        other.answer(&again, "200", ending.as_bytes());
        client.expect_served(id, ending.as_bytes());
    }
}

#[test]
fn answers_may_come_in_any_order() {
    let (site, _gateway, mut client) = TestSite::start_with_client();
    let objects = ["7f3a9c21e0b4d655", "7f3a9c21e0b4d656", "7f3a9c21e0b4d657"];
    let ids = objects.map(|o| client.request_object(o));
    let requests = ids.map(|_| site.next_request());
    for (cache, request) in requests.iter().rev() {
        cache.answer(request, "200", request.field("name").unwrap().as_bytes());
        let at = objects.iter().position(|o| Some(*o) == request.field("name")).unwrap();
        client.expect_served(ids[at], objects[at].as_bytes());
    }
}

#[test]
fn purge_limits_the_age_of_later_requests() {
    let site = TestSite::start();
    let feed = Feed::start();
    let mut setup = site.setup();
    setup.feed = feed.address;
    // One purge of the object before the start, and one of its group later.
    setup.events.push(json!({"n": 2, "purge": {"key": OBJECT, "at": unix_ms() - 1000}}));
    let gateway = setup.start();
    let mut client = gateway.client();
    let within = |request: &MemberRequest| request.field("within").unwrap().parse::<u64>().unwrap();
    let id = client.request_object(OBJECT);
    let (cache, request) = site.next_request();
    assert!((1000..3000).contains(&within(&request)), "{request:?}");
    cache.answer(&request, "200", b"1");
    client.expect_served(id, b"1");
    let (from, subscription) = feed.accept();
    assert_eq!(from, 2);
    send_line(&subscription, &json!({"n": 3, "purge": {"group": 17, "at": unix_ms() - 300}}));
    until("the purge is applied", || {
        let id = client.send_request("page", &[("lookup", OBJECT), ("bucket", "17")], &[]);
        let (cache, request) = site.next_request();
        cache.answer(&request, "200", b"2");
        client.expect_served(id, b"2");
        (300..1000).contains(&within(&request))
    });
    let id = client.send_request("page", &[("lookup", "0000000000000001"), ("bucket", "16")], &[]);
    let (cache, request) = site.next_request();
    assert_eq!(request.field("within"), None, "another object of another group");
    cache.answer(&request, "200", b"3");
    client.expect_served(id, b"3");
}

#[test]
fn draining_cache_gets_no_new_requests_and_finishes_its_own() {
    let site = TestSite::start();
    let SubscribedGateway { gateway: _gateway, mut client, subscription, .. } = site.start_subscribed();
    let first = client.request_object(OBJECT);
    let (cache, request) = site.next_request();
    let draining = cache.entry("edge", "box", "Terminating");
    send_line(&subscription, &member_update(2, &[draining]));
    let other = site.other_cache(cache);
    // Requests that still reach the draining cache were sent before the event was applied.
    until("requests go to the other cache", || {
        let id = client.request_object(OBJECT);
        let (cache, request) = site.next_request();
        cache.answer(&request, "200", b"new");
        client.expect_served(id, b"new");
        cache.id == other.id
    });
    cache.answer(&request, "200", b"old");
    client.expect_served(first, b"old");
    for _ in 0..5 {
        let id = client.request_object(OBJECT);
        let request = other.next_request();
        other.answer(&request, "200", b"new");
        client.expect_served(id, b"new");
    }
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
