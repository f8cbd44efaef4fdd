//! Changes of the member list while requests are routed, and ejected members.

use crate::{MEMBERS, NOW, entry, numbered, router};
use bytes::Bytes;
use deckproxy::protocol::downstream::{Call, ObjectId};
use deckproxy::protocol::feed::{FeedEvent, Lifecycle, MemberEntry};
use deckproxy::protocol::upstream::{Reply, Status};
use deckproxy::routing::{ConnectionFailure, Effect, Router};
use std::collections::BTreeMap;

/// A request for an object, named after the object.
fn page_request(object: u64, body: Bytes) -> Call {
    Call {
        name: format!("{object:016x}").into(),
        class: "page".into(),
        timeout: 1000.0,
        idempotency_key: None,
        object: ObjectId { text: format!("{object:016x}").into(), number: object },
        part: None,
        group: 0,
        size_kb: Some(10.0),
        cached_tag: None,
        is_retry: false,
        body,
    }
}

/// Tables stay bounded while member ids, the member at an address, clients and objects keep changing.
#[test]
fn thousands_of_member_lists_leak_nothing() {
    let mut router = router();
    let mut now = NOW;
    let mut largest_sizes = BTreeMap::new();
    let listed = |id: u64, lifecycle: Lifecycle, started: f64| MemberEntry {
        id: format!("s-{id:08x}").into(),
        ..entry(0, lifecycle, Some(started))
    };
    let mut event = 1;
    for generation in 1..4000u64 {
        now += 250.0;
        event += 1;
        let entries =
            vec![listed(generation, Lifecycle::Ready, now), listed(generation - 1, Lifecycle::Gone, now)];
        assert!(router.feed_event(
            now,
            numbered(event, FeedEvent::Members { complete: false, entries, unreadable: 0 }),
            false
        ));
        event += 1;
        assert!(router.feed_event(
            now,
            numbered(event, FeedEvent::PurgeObject { object: generation, at: now }),
            false
        ));
        for n in 0..20u32 {
            let object = generation * 20 + u64::from(n);
            let call = page_request(object, Bytes::from_static(b"body"));
            router.request(now, generation, n, call);
        }
        while let Some(effect) = router.next_effect() {
            let Effect::SendAttempt { key, call, .. } = effect else { continue };
            // One attempt in seven is never answered; of the others, one in five fails.
            match call.object.number % 35 {
                n if n % 7 == 0 => {}
                n if n % 5 == 0 => router.connection_failed(now, key, ConnectionFailure::Reset),
                _ => {
                    let (id, status, body) = (call.name.clone(), Status::Ok, Bytes::new());
                    router.reply(now, key, Reply { id, status, load_report: Vec::new(), copy: None, body });
                }
            }
        }
        if generation % 3 == 0 {
            router.client_gone(now, generation);
        }
        router.tick(now);
        while let Some(effect) = router.next_effect() {
            if let Effect::CancelAttempt { key, .. } = effect {
                router.attempt_cancelled(now, key, true);
            }
        }
        for (name, size) in router.table_sizes() {
            let largest = largest_sizes.entry(name).or_insert(0);
            *largest = size.max(*largest);
        }
    }
    let bound = |name: &str| match name {
        "objects" => 8192,
        "timers" => 1000,
        "requests" | "pending_requests" | "collapsed_fills" => 150,
        _ => 64,
    };
    assert!(largest_sizes.iter().all(|(name, size)| *size <= bound(name)), "{largest_sizes:?}");
    assert_eq!(router.body_bytes(), 4 * router.table_sizes().find(|s| s.0 == "requests").unwrap().1);
    assert_eq!(router.counters.broken_invariants, 0);
}

/// The members to which the router sends requests for many objects.
fn requested_members(router: &mut Router, now: f64, from: u32) -> Vec<String> {
    let mut members = Vec::new();
    for n in 0..40u32 {
        let object = u64::from(n) * 0x0123_4567_89ab;
        let name = format!("h{from}-{n}").into();
        let call = Call { name, ..page_request(object, Bytes::new()) };
        router.request(now, 1, from + n, call);
        while let Some(effect) = router.next_effect() {
            if let Effect::SendAttempt { key, member, .. } = effect {
                members.push(router.member_name(member).to_string());
                let reply = Reply {
                    id: "".into(),
                    status: Status::Ok,
                    load_report: Vec::new(),
                    copy: None,
                    body: Bytes::from_static(b"x"),
                };
                router.reply(now, key, reply);
            }
        }
    }
    members
}

fn member_id(router: &Router, name: &str) -> u32 {
    router.listed_members().find(|(_, other)| *other == name).map(|(m, _)| m.id).expect("it is listed")
}

#[test]
fn ejected_member_gets_no_requests_and_never_exceeds_its_listed_state() {
    let mut router = router();
    let first = member_id(&router, "s-1");
    let second = member_id(&router, "s-2");
    let both = requested_members(&mut router, NOW + 10.0, 0);
    assert!(both.iter().any(|m| m == "s-1") && both.iter().any(|m| m == "s-2"), "{both:?}");
    router.set_ejected(NOW + 20.0, &[first]);
    let without_first = requested_members(&mut router, NOW + 30.0, 100);
    assert!(without_first.iter().all(|m| m == "s-2"), "{without_first:?}");
    // The list reports it as draining: the end of the ejection does not make it ready again.
    let drain_first = FeedEvent::Members {
        complete: false,
        entries: vec![entry(0, Lifecycle::Draining, None)],
        unreadable: 0,
    };
    assert!(router.feed_event(NOW + 40.0, numbered(2, drain_first), false));
    router.set_ejected(NOW + 50.0, &[]);
    let drained = requested_members(&mut router, NOW + 60.0, 200);
    assert!(drained.iter().all(|m| m == "s-2"), "{drained:?}");
    // An update of the list does not end an ejection.
    router.set_ejected(NOW + 70.0, &[first, second]);
    let ready = FeedEvent::Members {
        complete: true,
        entries: (0..MEMBERS.len()).map(|at| entry(at, Lifecycle::Ready, None)).collect(),
        unreadable: 0,
    };
    assert!(router.feed_event(NOW + 80.0, numbered(3, ready), false));
    router.set_ejected(NOW + 90.0, &[first]);
    let again = requested_members(&mut router, NOW + 100.0, 300);
    assert!(again.iter().all(|m| m == "s-2"), "{again:?}");
    router.set_ejected(NOW + 110.0, &[]);
    let both = requested_members(&mut router, NOW + 120.0, 400);
    assert!(both.iter().any(|m| m == "s-1"), "{both:?}");
}

/// Guards against memory that grows with each request that a client sends and cancels at once.
#[test]
fn cancelled_requests_leave_no_timers() {
    let mut router = router();
    for number in 0..2000u32 {
        let call = page_request(u64::from(number), Bytes::new());
        router.request(NOW, 1, number, call);
        router.cancel(NOW, 1, number);
        while let Some(effect) = router.next_effect() {
            if let Effect::CancelAttempt { key, .. } = effect {
                router.attempt_cancelled(NOW, key, true);
            }
        }
    }
    let timers = router.table_sizes().find(|(name, _)| *name == "timers").unwrap().1;
    assert!(timers < 100, "{timers} timers");
}
