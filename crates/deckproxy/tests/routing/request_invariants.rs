//! Invariants of the router under any order of events: one final answer in time, nothing for a request that has ended,
//! one attempt at a time, and no more attempts than the settings allow.

use crate::{ATTEMPTS, NOW, entry, numbered, router};
use bytes::Bytes;
use deckproxy::protocol::downstream::{Answer, Call, ObjectId};
use deckproxy::protocol::feed::{FeedEvent, Lifecycle};
use deckproxy::protocol::upstream::{Reply, Status};
use deckproxy::routing::{AttemptKey, ConnectionFailure, Effect, Router};
use proptest::prelude::*;
use std::collections::BTreeMap;

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
