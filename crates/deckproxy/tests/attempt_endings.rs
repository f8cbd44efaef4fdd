//! Which ending of an attempt is reported to the decision module, for each case listed in docs/architecture.md.

use bytes::Bytes;
use deckproxy::protocol::config;
use deckproxy::protocol::downstream::{Answer, Call, ObjectId, RequestError};
use deckproxy::protocol::upstream::{Reply, Status};
use deckproxy::routing::counters::ENDINGS;
use deckproxy::routing::{AttemptKey, ConnectionFailure, Effect, Router};
use serde_json::json;

const NOW: f64 = 1_764_576_000_000.0;

/// A router with one cache and the origin as members.
fn router() -> Router {
    router_with("127.0.0.1:9")
}

/// Like [`router`], with the given member address in the list.
fn router_with(address: &str) -> Router {
    let entry = |id: &str, zone: &str, kind: &str| {
        json!({"id": id, "host_port": address, "locality": zone, "flavor": kind, "cell": 0,
            "phase": "Ready", "size": 100, "up_since_ms": 0})
    };
    let members = [entry("s-1", "edge", "box"), entry("s-2", "hub", "origin")];
    let class = |name: &str, effect: &str| json!({"name": name, "aimMs": 500.0, "deadlineMs": 1500.0, "effect": effect, "group": "all"});
    let config = json!({
        "listen": "127.0.0.1:1", "seed": "1",
        "known": {"n": 1, "events": [{"n": 1, "members": {"complete": true, "members": members}}]},
        "settings": {
            "services": [class("page", "retryable"), class("once", "fragile")],
            "familyInfo": {"goesThrough": [false, true], "sourceKind": 1, "bypassAllowed": true, "canJoin": true,
                "flowKbPerS": 1000.0, "zoneBalancers": [0, 1]},
            "limits": {"sendCap": 2, "cancel": true, "connectTimeoutMs": 400.0},
            "machineTypes": ["box", "origin"], "zones": ["hub", "edge"], "locality": 1, "groupSize": 1
        }
    });
    let config = config::read(config.to_string().as_bytes()).unwrap();
    Router::new(NOW, config.settings, config.seed, config.known)
}

fn call(class: &str, name: u64) -> Call {
    Call {
        name: format!("{name:016x}").into(),
        class: class.into(),
        timeout: 1000.0,
        idempotency_key: None,
        object: ObjectId { text: "000000000000002a".into(), number: 42 },
        part: None,
        group: 0,
        size_kb: Some(10.0),
        cached_tag: None,
        is_retry: false,
        body: Bytes::new(),
    }
}

/// The pending effects that concern requests.
fn effects(router: &mut Router) -> Vec<Effect> {
    let others = |e: &Effect| matches!(e, Effect::Log(_) | Effect::MembersChanged(_));
    std::iter::from_fn(|| router.next_effect()).filter(|e| !others(e)).collect()
}

/// Starts a request that must not run twice; returns the key of its attempt.
fn start_request(router: &mut Router) -> AttemptKey {
    router.request(NOW, 1, 7, call("once", 1));
    match &effects(router)[..] {
        [Effect::SendAttempt { key, .. }] => *key,
        other => panic!("{other:?}"),
    }
}

fn reply(status: Status) -> Reply {
    Reply {
        id: "0000000000000001".into(),
        status,
        load_report: Vec::new(),
        copy: None,
        body: Bytes::from_static(b"body"),
    }
}

fn count(router: &Router, ending: &str) -> u64 {
    router.counters.endings[ENDINGS.iter().position(|e| *e == ending).unwrap()]
}

/// Checks which ending an event leads to, and that the request is retried or rejected only if the attempt never ran.
fn check_ending(what: &str, ending: &str, never_ran: bool, trigger: impl Fn(&mut Router, AttemptKey)) {
    let mut router = router();
    let key = start_request(&mut router);
    trigger(&mut router, key);
    assert_eq!(count(&router, ending), 1, "{what}: {:?}", router.counters);
    assert_eq!(router.counters.endings.iter().sum::<u64>(), 1, "{what}");
    let after = effects(&mut router);
    let retried = after.iter().any(|e| matches!(e, Effect::SendAttempt { .. }));
    let rejected = after.iter().any(|e| matches!(e, Effect::Answer { answer: Answer::Rejected(_), .. }));
    let failed = after.iter().any(|e| matches!(e, Effect::Answer { answer: Answer::Failed, .. }));
    assert_eq!(retried || rejected, never_ran, "{what}: {after:?}");
    assert_eq!(failed, !never_ran, "{what}: {after:?}");
    assert_eq!(router.counters.broken_invariants, 0);
}

#[test]
fn each_cause_reports_its_ending() {
    check_ending("no connection, or written only in part", "connect_failed", true, |r, k| {
        r.connection_failed(NOW, k, ConnectionFailure::NotSent);
    });
    check_ending("reset after it was written completely", "reset", false, |r, k| {
        r.connection_failed(NOW, k, ConnectionFailure::Reset);
    });
    check_ending("a miss", "miss", true, |r, k| r.reply(NOW, k, reply(Status::Miss)));
    check_ending("overloaded member", "rejected", true, |r, k| r.reply(NOW, k, reply(Status::Rejected)));
    check_ending("expired at the member", "not_sent", true, |r, k| r.reply(NOW, k, reply(Status::Expired)));
    check_ending("an error", "error", false, |r, k| r.reply(NOW, k, reply(Status::Error)));
    check_ending("not modified without a client copy", "error", false, |r, k| {
        r.reply(NOW, k, reply(Status::NotModified));
    });
    check_ending("health check answer", "error", false, |r, k| r.reply(NOW, k, reply(Status::Health(true))));
    check_ending("no answer before the deadline", "timeout", false, |r, k| {
        r.tick(NOW + 1000.0);
        let cancel = r.next_effect();
        assert!(matches!(cancel, Some(Effect::CancelAttempt { key, .. }) if key == k), "{cancel:?}");
        r.attempt_cancelled(NOW + 1000.0, k, true);
    });
    check_ending("deadline passed before it was written", "not_sent", true, |r, k| {
        r.tick(NOW + 1000.0);
        assert!(matches!(r.next_effect(), Some(Effect::CancelAttempt { .. })));
        r.attempt_cancelled(NOW + 1000.0, k, false);
    });
}

#[test]
fn member_without_address_is_never_contacted() {
    let mut router = router_with("nowhere");
    router.request(NOW, 1, 7, call("once", 1));
    let after = effects(&mut router);
    assert_eq!(after.len(), 1, "{after:?}");
    assert!(matches!(after[0], Effect::Answer { answer: Answer::Rejected(_), .. }), "{after:?}");
    assert!(count(&router, "connect_failed") >= 1);
}

#[test]
fn cancelled_attempt_may_have_run_only_if_partly_written() {
    for (sent, ending) in [(true, "cancelled"), (false, "not_sent")] {
        let mut router = router();
        let key = start_request(&mut router);
        router.cancel(NOW + 5.0, 1, 7);
        assert!(matches!(&effects(&mut router)[..], [Effect::CancelAttempt { key: k, .. }] if *k == key));
        router.attempt_cancelled(NOW + 5.0, key, sent);
        assert_eq!((count(&router, ending), router.counters.endings.iter().sum::<u64>()), (1, 1));
        assert!(effects(&mut router).is_empty(), "no answer is pending");
    }
}

#[test]
fn served_answer_is_sent_once() {
    let mut router = router();
    let key = start_request(&mut router);
    router.reply(NOW + 5.0, key, reply(Status::Ok));
    router.reply(NOW + 6.0, key, reply(Status::Ok));
    let answer = Answer::Served(Bytes::from_static(b"body"));
    assert_eq!(effects(&mut router), [Effect::Answer { client: 1, id: 7, answer, copy: None }]);
    assert_eq!((count(&router, "ok"), router.unanswered()), (1, 0));
    // No timer is left.
    router.tick(NOW + 100_000.0);
    assert!(effects(&mut router).is_empty());
    assert_eq!((router.counters.overdue, router.counters.broken_invariants), (0, 0));
}

#[test]
fn client_disconnect_cancels_its_attempt_without_answer() {
    let mut router = router();
    let key = start_request(&mut router);
    router.cancel(NOW + 5.0, 1, 7);
    assert!(matches!(&effects(&mut router)[..], [Effect::CancelAttempt { key: k, .. }] if *k == key));
    // The answer crosses the cancellation: it counts as the attempt's ending and is not forwarded.
    router.reply(NOW + 6.0, key, reply(Status::Ok));
    router.attempt_cancelled(NOW + 6.0, key, true);
    assert!(effects(&mut router).is_empty());
    assert_eq!((router.counters.cancelled, count(&router, "ok"), count(&router, "cancelled")), (1, 1, 0));
    // It has run, and its class is not idempotent: under its name it would run a second time.
    router.request(NOW + 7.0, 1, 8, call("once", 1));
    let answer = Answer::Invalid(RequestError::NameInUse);
    assert_eq!(effects(&mut router), [Effect::Answer { client: 1, id: 8, answer, copy: None }]);
}

#[test]
fn request_name_can_be_used_again_once_no_attempt_has_it_unless_it_may_have_run() {
    // An idempotent request that has run, and another one that was not sent.
    for (class, status, may_have_run) in [("page", Status::Ok, true), ("once", Status::Expired, false)] {
        let mut router = router();
        router.request(NOW, 1, 7, call(class, 1));
        let Effect::SendAttempt { key, .. } = effects(&mut router)[0] else { panic!("it is sent") };
        router.cancel(NOW + 5.0, 1, 7);
        effects(&mut router);
        router.request(NOW + 5.5, 1, 8, call(class, 1));
        let answer = Answer::Invalid(RequestError::NameInUse);
        assert_eq!(effects(&mut router), [Effect::Answer { client: 1, id: 8, answer, copy: None }]);
        router.reply(NOW + 6.0, key, reply(status));
        router.attempt_cancelled(NOW + 6.0, key, may_have_run);
        effects(&mut router);
        router.request(NOW + 7.0, 1, 9, call(class, 1));
        assert!(matches!(&effects(&mut router)[..], [Effect::SendAttempt { .. }]), "{class}");
    }
}

#[test]
fn request_name_in_use_is_rejected() {
    let mut router = router();
    start_request(&mut router);
    router.request(NOW, 2, 7, call("page", 1));
    assert_eq!(RequestError::NameInUse.to_string(), "ref is in use");
    let answer = Answer::Invalid(RequestError::NameInUse);
    assert_eq!(effects(&mut router), [Effect::Answer { client: 2, id: 7, answer, copy: None }]);
}

#[test]
fn no_request_outlives_its_deadline_whatever_its_attempts_do() {
    let mut router = router();
    start_request(&mut router);
    // The cancellation is never confirmed; the client must be answered nevertheless.
    router.tick(NOW + 1000.0);
    assert!(matches!(&effects(&mut router)[..], [Effect::CancelAttempt { .. }]));
    router.tick(NOW + 1058.0);
    let after = effects(&mut router);
    assert_eq!(after, [Effect::Answer { client: 1, id: 7, answer: Answer::Failed, copy: None }]);
    assert_eq!((router.counters.overdue, router.unanswered()), (1, 0));
}

#[test]
fn process_end_answers_all_pending_requests() {
    let mut router = router();
    let key = start_request(&mut router);
    router.request(NOW, 1, 8, call("page", 2));
    effects(&mut router);
    router.fail_all(NOW + 1.0);
    let after = effects(&mut router);
    let failed = |e: &&Effect| matches!(e, Effect::Answer { answer: Answer::Failed, .. });
    assert_eq!(after.iter().filter(failed).count(), 2, "{after:?}");
    assert!(after.iter().any(|e| matches!(e, Effect::CancelAttempt { key: k, .. } if *k == key)));
    assert_eq!(router.unanswered(), 0);
}

#[test]
fn requests_beyond_max_open_are_rejected() {
    let text = json!({"listen": "127.0.0.1:1", "seed": 1, "settings": {"services": [{"name": "page",
        "effect": "retryable", "deadlineMs": 1000.0}], "limits": {"maxOpen": 0}}});
    let config = config::read(text.to_string().as_bytes()).unwrap();
    let mut router = Router::new(NOW, config.settings, config.seed, config.known);
    router.request(NOW, 1, 7, call("page", 1));
    let rejection = Effect::Answer { client: 1, id: 7, answer: Answer::Rejected(0.0), copy: None };
    assert_eq!(effects(&mut router), [rejection]);
}
