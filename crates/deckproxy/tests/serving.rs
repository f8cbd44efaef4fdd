//! The ordinary path and what the module does after each ending, from a client's bytes to a member's and back.

mod common;
use common::*;
use serde_json::json;

#[test]
fn a_hit_passes_all_fields_and_the_bytes_unchanged() {
    let (world, _gateway, mut client) = TestSite::start_with_client();
    let body: Vec<u8> = (0..240_000u32).map(|i| (i * 7 + i / 251) as u8).collect();
    let name = fresh_name();
    let fields = [("ref", name.as_str()), ("lookup", OBJECT), ("seg", "3"), ("bucket", "17"), ("extra", "x")];
    let id = client.send_request("page", &fields, &[]);
    let (cache, ask) = world.next_request();
    assert_eq!(ask.id, name);
    assert_eq!(
        (ask.field("lane"), ask.field("name"), ask.field("piece")),
        (Some("page"), Some(OBJECT), Some("3"))
    );
    let ttl: u64 = ask.field("ttl").unwrap().parse().unwrap();
    assert!((1..=1200).contains(&ttl), "{ttl}");
    for absent in ["miss", "prio", "within", "f", "mine", "dedupe"] {
        assert_eq!(ask.field(absent), None, "{absent}");
    }
    cache.answer(&ask, "200", &body);
    client.expect_served(id, &body);
}

#[test]
fn after_a_miss_one_request_leads_the_fill_and_the_other_waits_for_it() {
    let (world, _gateway, mut client) = TestSite::start_with_client();
    let first = client.request_object(OBJECT);
    let (cache, look_up) = world.next_request();
    cache.answer(&look_up, "404", &[]);
    let fill = cache.next_request();
    assert_eq!(fill.id, look_up.id);
    assert_eq!(
        (fill.field("miss"), fill.field("prio"), fill.field("f")),
        (Some("s-00000003"), Some("2"), Some("merge"))
    );
    let second = client.request_object(OBJECT);
    let look_up = cache.answer_miss();
    assert!(cache.request_if_any().is_none(), "the second waits");
    cache.answer(&fill, "200", b"filled");
    client.expect_served(first, b"filled");
    let again = cache.next_request();
    assert_eq!((again.id.as_str(), again.field("miss")), (look_up.id.as_str(), None));
    cache.answer(&again, "200", b"filled");
    client.expect_served(second, b"filled");
}

#[test]
fn a_clients_copy_that_holds_is_told_without_bytes() {
    let (world, _gateway, mut client) = TestSite::start_with_client();
    let id = client.send_request("page", &[("lookup", OBJECT), ("etag", "4be0c1927d55a6f3")], &[]);
    let (cache, ask) = world.next_request();
    assert_eq!(ask.field("mine"), Some("4be0c1927d55a6f3"));
    cache.send(ask.connection, &Member::encode(&ask.id, "304", "entity=4be0c1927d55a6f3,issued=1", &[]));
    let (got, answer) = client.next_answer();
    let notmod = [("notmod".to_string(), "1".to_string())].into();
    assert_eq!((got, answer), (id, Answer::Served(Vec::new(), notmod)));
}

/// Told to the client, it would take its own copy for the one that was meant.
#[test]
fn a_copy_that_holds_proves_nothing_to_a_client_with_another_one() {
    for fields in ["entity=4be0c1927d55a6f4,issued=1", "entity=,issued=1", "issued=1", "-"] {
        let world = TestSite::start();
        let gateway = world.setup().start();
        let mut client = gateway.client();
        let id = client.send_request("page", &[("lookup", OBJECT), ("etag", "4be0c1927d55a6f3")], &[]);
        let (cache, ask) = world.next_request();
        cache.send(ask.connection, &Member::encode(&ask.id, "304", fields, &[]));
        let other = world.other_cache(cache);
        let again = other.next_request();
        other.answer(&again, "200", b"bytes");
        client.expect_served(id, b"bytes");
    }
}

#[test]
fn a_copy_that_holds_proves_nothing_to_a_client_without_one() {
    let (world, _gateway, mut client) = TestSite::start_with_client();
    let id = client.request_object(OBJECT);
    let (cache, ask) = world.next_request();
    cache.answer(&ask, "304", &[]);
    let other = world.other_cache(cache);
    let again = other.next_request();
    other.answer(&again, "200", b"bytes");
    client.expect_served(id, b"bytes");
}

#[test]
fn a_keyed_write_whose_origin_resets_goes_again_with_its_key() {
    let (world, _gateway, mut client) = TestSite::start_with_client();
    let body: Vec<u8> = (0..48_000u32).map(|i| (i % 253) as u8).collect();
    let id = client.send_request("post", &[("lookup", OBJECT), ("replay", "5c0f6e1a2b3d4c59")], &body);
    let ask = world.origin.next_request();
    assert_eq!((ask.field("dedupe"), &ask.body), (Some("5c0f6e1a2b3d4c59"), &body));
    world.origin.reset(ask.connection);
    let again = world.origin.next_request();
    assert_eq!((again.field("dedupe"), &again.body, &again.id), (Some("5c0f6e1a2b3d4c59"), &body, &ask.id));
    world.origin.answer(&again, "200", b"done");
    client.expect_served(id, b"done");
}

#[test]
fn a_write_that_may_have_run_and_has_no_key_is_failed_not_refused() {
    let (world, _gateway, mut client) = TestSite::start_with_client();
    let id = client.send_request("once", &[("lookup", OBJECT)], b"x");
    let ask = world.origin.next_request();
    world.origin.reset(ask.connection);
    client.expect_error(id, "Fault");
    assert!(world.origin.request_if_any().is_none() && world.parent.request_if_any().is_none());
}

#[test]
fn a_keyed_request_without_its_key_is_not_sent_anywhere() {
    let (world, _gateway, mut client) = TestSite::start_with_client();
    let id = client.send_request("post", &[("lookup", OBJECT)], b"x");
    client.expect_error(id, "Unusable");
    assert!(world.origin.request_if_any().is_none());
}

#[test]
fn after_each_failure_of_a_read_the_next_cache_is_asked() {
    for word in ["500", "503", "504", "reset", "unreadable"] {
        let world = TestSite::start();
        let gateway = world.setup().start();
        let mut client = gateway.client();
        let id = client.request_object(OBJECT);
        let (cache, ask) = world.next_request();
        match word {
            "reset" => cache.reset(ask.connection),
            "unreadable" => cache.send(ask.connection, b"*4\r\n$99999999\r\n"),
            word => cache.answer(&ask, word, &[]),
        }
        let other = world.other_cache(cache);
        let again = other.next_request();
        other.answer(&again, "200", word.as_bytes());
        client.expect_served(id, word.as_bytes());
    }
}

#[test]
fn answers_come_in_any_order() {
    let (world, _gateway, mut client) = TestSite::start_with_client();
    let objects = ["7f3a9c21e0b4d655", "7f3a9c21e0b4d656", "7f3a9c21e0b4d657"];
    let ids = objects.map(|o| client.request_object(o));
    let asks = ids.map(|_| world.next_request());
    for (cache, ask) in asks.iter().rev() {
        cache.answer(ask, "200", ask.field("name").unwrap().as_bytes());
        let at = objects.iter().position(|o| Some(*o) == ask.field("name")).unwrap();
        client.expect_served(ids[at], objects[at].as_bytes());
    }
}

#[test]
fn a_purge_binds_what_is_sent_after_it() {
    let world = TestSite::start();
    let feed = Feed::start();
    let mut setup = world.setup();
    setup.feed = feed.address;
    // One purge in the past of the start, one told later; one of the object, one of its group.
    setup.events.push(json!({"n": 2, "purge": {"key": OBJECT, "at": unix_ms() - 1000}}));
    let gateway = setup.start();
    let mut client = gateway.client();
    let within = |ask: &MemberRequest| ask.field("within").unwrap().parse::<u64>().unwrap();
    let id = client.request_object(OBJECT);
    let (cache, ask) = world.next_request();
    assert!((1000..3000).contains(&within(&ask)), "{ask:?}");
    cache.answer(&ask, "200", b"1");
    client.expect_served(id, b"1");
    let (from, line) = feed.accept();
    assert_eq!(from, 2);
    send_line(&line, &json!({"n": 3, "purge": {"group": 17, "at": unix_ms() - 300}}));
    until("the purge is known", || {
        let id = client.send_request("page", &[("lookup", OBJECT), ("bucket", "17")], &[]);
        let (cache, ask) = world.next_request();
        cache.answer(&ask, "200", b"2");
        client.expect_served(id, b"2");
        (300..1000).contains(&within(&ask))
    });
    let id = client.send_request("page", &[("lookup", "0000000000000001"), ("bucket", "16")], &[]);
    let (cache, ask) = world.next_request();
    assert_eq!(ask.field("within"), None, "another object of another group");
    cache.answer(&ask, "200", b"3");
    client.expect_served(id, b"3");
}

#[test]
fn a_draining_cache_gets_nothing_new_and_finishes_what_it_has() {
    let world = TestSite::start();
    let SubscribedGateway { gateway: _gateway, mut client, subscription: line, .. } =
        world.start_subscribed();
    let first = client.request_object(OBJECT);
    let (cache, ask) = world.next_request();
    let draining = cache.entry("edge", "box", "Terminating");
    send_line(&line, &member_update(2, &[draining]));
    let other = world.other_cache(cache);
    // Whatever still goes to the draining one was sent before the news came.
    until("requests go to the other cache", || {
        let id = client.request_object(OBJECT);
        let (cache, ask) = world.next_request();
        cache.answer(&ask, "200", b"new");
        client.expect_served(id, b"new");
        cache.id == other.id
    });
    cache.answer(&ask, "200", b"old");
    client.expect_served(first, b"old");
    for _ in 0..5 {
        let id = client.request_object(OBJECT);
        let ask = other.next_request();
        other.answer(&ask, "200", b"new");
        client.expect_served(id, b"new");
    }
}
