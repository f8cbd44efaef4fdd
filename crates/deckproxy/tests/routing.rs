//! Invariants of the router under any order of events: one final answer in time, nothing for a request that has ended,
//! one attempt at a time, and no more attempts than the settings allow.

use bytes::Bytes;
use deckproxy::protocol::config;
use deckproxy::protocol::downstream::{Answer, Call, ObjectId};
use deckproxy::protocol::feed::{FeedEvent, KnownEvents, Lifecycle, MemberEntry, NumberedEvent};
use deckproxy::protocol::upstream::{Reply, Status};
use deckproxy::routing::{AttemptKey, ConnectionFailure, Effect, Router};
use proptest::prelude::*;
use serde_json::json;
use std::collections::BTreeMap;

const NOW: f64 = 1_764_576_000_000.0;
const ATTEMPTS: usize = 4;
/// Half of the slack in the settings and of the sockets' own, ms.
const SLACK: f64 = (8.0 + 50.0) / 2.0;

#[derive(Clone, Copy, Debug)]
enum Step {
    Request { class: usize, object: u64, allow: u16 },
    Abort(usize),
    ClientGone(u64),
    Reply(usize, u8),
    ConnectionFailure(usize, bool),
    Wait(u16),
    Purge(u64),
    Member(usize, u8),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0usize..3, 0u64..4, 1u16..2000)
            .prop_map(|(class, object, allow)| Step::Request { class, object, allow }),
        1 => any::<usize>().prop_map(Step::Abort),
        1 => (0u64..3).prop_map(Step::ClientGone),
        8 => (any::<usize>(), 0u8..7).prop_map(|(at, word)| Step::Reply(at, word)),
        2 => (any::<usize>(), any::<bool>()).prop_map(|(at, sent)| Step::ConnectionFailure(at, sent)),
        4 => (0u16..600).prop_map(Step::Wait),
        1 => (0u64..4).prop_map(Step::Purge),
        1 => (0usize..5, 0u8..4).prop_map(|(at, state)| Step::Member(at, state)),
    ]
}

const MEMBERS: [(&str, &str, &str); 5] = [
    ("s-1", "edge", "box"),
    ("s-2", "edge", "box"),
    ("s-3", "hub", "parent"),
    ("s-4", "hub", "parent"),
    ("s-5", "hub", "origin"),
];

fn entry(at: usize, lifecycle: Lifecycle, started: Option<f64>) -> MemberEntry {
    let (id, zone, kind) = MEMBERS[at];
    MemberEntry {
        id: id.into(),
        address: Some("127.0.0.1:9".parse().unwrap()),
        zone: zone.into(),
        kind: kind.into(),
        cell: 0,
        lifecycle,
        size: 20.0,
        started,
    }
}

fn numbered(number: u64, event: FeedEvent) -> NumberedEvent {
    NumberedEvent { number, event }
}

fn router() -> Router {
    let class = |name: &str, effect: &str| {
        json!({"name": name, "aimMs": 500.0, "deadlineMs": 1500.0, "effect": effect, "group": "all",
            "dedupWindowMs": 1000.0})
    };
    let config = json!({
        "listen": "127.0.0.1:1", "seed": "1",
        "settings": {
            "services": [class("page", "retryable"), class("post", "dedup"), class("once", "fragile")],
            "familyInfo": {"goesThrough": [false, true, true], "shieldKind": 1, "sourceKind": 2,
                "bypassAllowed": true, "canJoin": true, "flowKbPerS": 1000.0, "zoneBalancers": [0, 1],
                "clearedWithinMs": 6000.0, "obeyAfterMs": 1000.0, "upperColdFrom": 0.1, "upperColdMs": 5000.0},
            "rules": {"answerSlackMs": 8.0, "coldFrom": 0.2, "rampTimeMs": 5000.0, "fallMultiple": 3.0},
            "limits": {"sendCap": ATTEMPTS, "cancel": true, "connectTimeoutMs": 400.0, "retryAfter": true,
                "maxRetryAfterMs": 500.0},
            "machineTypes": ["box", "parent", "origin"], "zones": ["hub", "edge"], "locality": 1, "groupSize": 1
        }
    });
    let config = config::read(config.to_string().as_bytes()).unwrap();
    let entries = (0..MEMBERS.len()).map(|at| entry(at, Lifecycle::Ready, None)).collect();
    Router::new(
        NOW,
        config.settings,
        config.seed,
        KnownEvents {
            last: 1,
            events: vec![NumberedEvent {
                number: 1,
                event: FeedEvent::Members { complete: true, entries, unreadable: 0 },
            }],
        },
    )
}

/// What the test knows of a request.
struct Seen {
    class: usize,
    due: f64,
    asks: usize,
    /// Whether its attempt may have run.
    may_have_run: bool,
    over: bool,
}

struct Model {
    router: Router,
    now: f64,
    event: u64,
    next: u32,
    requests: BTreeMap<(u64, u32), Seen>,
    names: BTreeMap<Box<str>, (u64, u32)>,
    out: BTreeMap<AttemptKey, (u64, u32)>,
}

impl Model {
    fn settle(&mut self) {
        while let Some(effect) = self.router.next_effect() {
            match effect {
                Effect::SendAttempt { key, call, .. } => {
                    let id = self.names[&call.name];
                    let seen = self.requests.get_mut(&id).unwrap();
                    assert!(!seen.over, "an attempt for a request that has ended");
                    assert!(!self.out.values().any(|other| *other == id), "two attempts at once");
                    seen.asks += 1;
                    assert!(seen.asks <= ATTEMPTS);
                    assert!(
                        seen.class != 2 || !seen.may_have_run,
                        "an effect that may have run is sent again"
                    );
                    assert!(self.out.insert(key, id).is_none(), "a key used twice");
                }
                Effect::CancelAttempt { key, .. } => {
                    let Some(id) = self.out.remove(&key) else { continue };
                    self.requests.get_mut(&id).unwrap().may_have_run = true;
                    self.router.attempt_cancelled(self.now, key, true);
                }
                Effect::Answer { client, id, answer, .. } => {
                    let seen = self.requests.get_mut(&(client, id)).unwrap();
                    assert!(!seen.over, "a second answer");
                    assert!(self.now <= seen.due + SLACK, "{} ms late", self.now - seen.due);
                    let refused = matches!(answer, Answer::Rejected(_));
                    assert!(!(refused && seen.class == 2 && seen.may_have_run), "a refusal that may do harm");
                    seen.over = true;
                }
                Effect::SendHealthCheck { .. }
                | Effect::HealthChecked { .. }
                | Effect::MembersChanged
                | Effect::CloseIdle(_)
                | Effect::Purged { .. }
                | Effect::Log(_) => {}
            }
        }
    }

    fn take(&mut self, step: Step) {
        let pick = |at: usize, from: usize| (from > 0).then(|| at % from);
        match step {
            Step::Request { class, object, allow } => {
                self.next += 1;
                let (client, id) = (u64::from(self.next % 3), self.next);
                let name: Box<str> = format!("{id:016x}").into();
                self.names.insert(name.clone(), (client, id));
                let due = self.now + f64::from(allow).min(1500.0);
                let seen = Seen { class, due, asks: 0, may_have_run: false, over: false };
                self.requests.insert((client, id), seen);
                let call = Call {
                    name,
                    class: ["page", "post", "once"][class].into(),
                    timeout: f64::from(allow),
                    idempotency_key: Some("k".into()),
                    object: ObjectId { text: format!("{object:016x}").into(), number: object },
                    part: None,
                    group: 3,
                    size_kb: Some(20.0),
                    cached_tag: None,
                    is_retry: false,
                    body: Bytes::from_static(b"body"),
                };
                self.router.request(self.now, client, id, call);
            }
            Step::Abort(at) => {
                let open: Vec<_> = self.requests.iter().filter(|(_, s)| !s.over).map(|(id, _)| *id).collect();
                let Some(at) = pick(at, open.len()) else { return };
                self.requests.get_mut(&open[at]).unwrap().over = true;
                self.router.cancel(self.now, open[at].0, open[at].1);
            }
            Step::ClientGone(client) => {
                self.requests.iter_mut().filter(|(id, _)| id.0 == client).for_each(|(_, s)| s.over = true);
                self.router.client_gone(self.now, client);
            }
            Step::Reply(at, word) => {
                let Some(at) = pick(at, self.out.len()) else { return };
                let (key, id) = self.out.pop_nth(at);
                let words = [
                    Status::Ok,
                    Status::Miss,
                    Status::Miss,
                    Status::Rejected,
                    Status::Error,
                    Status::Expired,
                    Status::NotModified,
                ];
                let word = words[usize::from(word)];
                let runs = matches!(word, Status::Ok | Status::Error | Status::NotModified);
                self.requests.get_mut(&id).unwrap().may_have_run |= runs;
                let reply = Reply {
                    id: "".into(),
                    status: word,
                    load_report: Vec::new(),
                    copy: None,
                    body: Bytes::new(),
                };
                self.router.reply(self.now, key, reply);
            }
            Step::ConnectionFailure(at, sent) => {
                let Some(at) = pick(at, self.out.len()) else { return };
                let (key, id) = self.out.pop_nth(at);
                self.requests.get_mut(&id).unwrap().may_have_run |= sent;
                self.router.connection_failed(
                    self.now,
                    key,
                    if sent { ConnectionFailure::Reset } else { ConnectionFailure::NotSent },
                );
            }
            Step::Wait(span) => self.wait(f64::from(span)),
            Step::Purge(object) => {
                self.event += 1;
                assert!(self.router.feed_event(
                    self.now,
                    numbered(self.event, FeedEvent::PurgeObject { object, at: self.now - 50.0 }),
                    false
                ));
            }
            Step::Member(at, state) => {
                self.event += 1;
                let (lifecycle, started) = match state {
                    0 => (Lifecycle::Gone, None),
                    1 => (Lifecycle::Draining, None),
                    2 => (Lifecycle::Ready, Some(self.now - 100.0)),
                    _ => (Lifecycle::Ready, None),
                };
                let entries = vec![entry(at, lifecycle, started)];
                let news = FeedEvent::Members { complete: false, entries, unreadable: 0 };
                assert!(self.router.feed_event(self.now, numbered(self.event, news), false));
            }
        }
        self.settle();
    }

    /// Advances time as the event loop does: from one due time to the next.
    fn wait(&mut self, span: f64) {
        let end = self.now + span;
        while let Some(due) = self.router.next_deadline().filter(|due| *due <= end) {
            self.now = self.now.max(due);
            self.router.tick(self.now);
            self.settle();
        }
        self.now = end;
    }
}

trait PopNth<K, V> {
    fn pop_nth(&mut self, at: usize) -> (K, V);
}

impl<K: Ord + Copy, V> PopNth<K, V> for BTreeMap<K, V> {
    fn pop_nth(&mut self, at: usize) -> (K, V) {
        let key = *self.keys().nth(at).unwrap();
        self.remove_entry(&key).unwrap()
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400, failure_persistence: None, rng_seed: prop::test_runner::RngSeed::Fixed(7),
        ..ProptestConfig::default()
    })]

    #[test]
    fn every_request_gets_one_answer_in_time(steps in prop::collection::vec(step(), 1..120)) {
        let mut model = Model {
            router: router(),
            now: NOW,
            event: 1,
            next: 0,
            requests: BTreeMap::new(),
            names: BTreeMap::new(),
            out: BTreeMap::new(),
        };
        model.settle();
        for s in steps { model.take(s); }
        model.wait(3000.0);
        prop_assert!(model.requests.values().all(|s| s.over), "a request without its answer");
        prop_assert_eq!(model.router.unanswered(), 0);
        prop_assert!(model.out.is_empty(), "an attempt that outlives its request");
        let c = model.router.counters;
        prop_assert_eq!((c.broken_invariants, c.overdue), (0, 0));
        prop_assert_eq!(c.accepted, c.served + c.rejected + c.failed + c.cancelled);
    }
}

/// Ids, owners of addresses, clients and objects keep changing while a gateway serves.
#[test]
fn thousands_of_member_lists_leak_nothing() {
    let mut router = router();
    let mut now = NOW;
    let mut most = BTreeMap::new();
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
            let call = Call {
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
                body: Bytes::from_static(b"body"),
            };
            router.request(now, generation, n, call);
        }
        while let Some(effect) = router.next_effect() {
            let Effect::SendAttempt { key, call, .. } = effect else { continue };
            // One attempt in seven is never answered, one in five fails.
            match call.object.number % 35 {
                n if n % 7 == 0 => {}
                n if n % 5 == 0 => router.connection_failed(now, key, ConnectionFailure::Reset),
                _ => {
                    let (id, word, body) = (call.name.clone(), Status::Ok, Bytes::new());
                    router.reply(
                        now,
                        key,
                        Reply { id, status: word, load_report: Vec::new(), copy: None, body },
                    );
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
            let seen = most.entry(name).or_insert(0);
            *seen = size.max(*seen);
        }
    }
    let bound = |name: &str| match name {
        "objects" => 8192,
        "timers" => 1000,
        "requests" | "deciding" | "filling" => 150,
        _ => 64,
    };
    assert!(most.iter().all(|(name, size)| *size <= bound(name)), "{most:?}");
    assert_eq!(router.body_bytes(), 4 * router.table_sizes().find(|s| s.0 == "requests").unwrap().1);
    assert_eq!(router.counters.broken_invariants, 0);
}

/// Where the router sends requests for many objects.
fn asked(router: &mut Router, now: f64, from: u32) -> Vec<String> {
    let mut out = Vec::new();
    for n in 0..40u32 {
        let object = u64::from(n) * 0x0123_4567_89ab;
        let call = Call {
            name: format!("h{from}-{n}").into(),
            timeout: 1000.0,
            object: ObjectId { text: format!("{object:016x}").into(), number: object },
            part: None,
            group: 0,
            size_kb: Some(10.0),
            class: "page".into(),
            idempotency_key: None,
            cached_tag: None,
            is_retry: false,
            body: Bytes::new(),
        };
        router.request(now, 1, from + n, call);
        while let Some(effect) = router.next_effect() {
            if let Effect::SendAttempt { key, member, .. } = effect {
                out.push(router.member_name(member).to_string());
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
    out
}

fn number(router: &Router, name: &str) -> u32 {
    router.listed_members().find(|(_, other)| *other == name).map(|(m, _)| m.id).expect("it is listed")
}

#[test]
fn ejected_member_gets_no_requests_and_never_exceeds_its_listed_state() {
    let mut router = router();
    let one = number(&router, "s-1");
    let two = number(&router, "s-2");
    let both = asked(&mut router, NOW + 10.0, 0);
    assert!(both.iter().any(|m| m == "s-1") && both.iter().any(|m| m == "s-2"), "{both:?}");
    router.set_ejected(NOW + 20.0, &[one]);
    let held = asked(&mut router, NOW + 30.0, 100);
    assert!(held.iter().all(|m| m == "s-2"), "{held:?}");
    // The list has it drain; the end of its ejection does not bring it back.
    let drains = FeedEvent::Members {
        complete: false,
        entries: vec![entry(0, Lifecycle::Draining, None)],
        unreadable: 0,
    };
    assert!(router.feed_event(NOW + 40.0, numbered(2, drains), false));
    router.set_ejected(NOW + 50.0, &[]);
    let drained = asked(&mut router, NOW + 60.0, 200);
    assert!(drained.iter().all(|m| m == "s-2"), "{drained:?}");
    // Updates of the list do not end an ejection.
    router.set_ejected(NOW + 70.0, &[one, two]);
    let ready = FeedEvent::Members {
        complete: true,
        entries: (0..MEMBERS.len()).map(|at| entry(at, Lifecycle::Ready, None)).collect(),
        unreadable: 0,
    };
    assert!(router.feed_event(NOW + 80.0, numbered(3, ready), false));
    router.set_ejected(NOW + 90.0, &[one]);
    let again = asked(&mut router, NOW + 100.0, 300);
    assert!(again.iter().all(|m| m == "s-2"), "{again:?}");
    router.set_ejected(NOW + 110.0, &[]);
    let both = asked(&mut router, NOW + 120.0, 400);
    assert!(both.iter().any(|m| m == "s-1"), "{both:?}");
}
