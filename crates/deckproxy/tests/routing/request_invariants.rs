//! Invariants of the router under any order of events: one final answer in time, no attempts for a request that has
//! ended, one attempt at a time, and no more attempts than the settings allow.

use crate::{ATTEMPTS, NOW, entry, numbered, router};
use bytes::Bytes;
use deckproxy::protocol::downstream::{Answer, Call, ObjectId};
use deckproxy::protocol::feed::{FeedEvent, Lifecycle};
use deckproxy::protocol::upstream::{Reply, Status};
use deckproxy::routing::{AttemptKey, ConnectionFailure, Effect, Router};
use proptest::prelude::*;
use std::collections::BTreeMap;

/// Half of the sum of the settings' answer slack and the socket slack, ms.
const SLACK: f64 = (8.0 + 50.0) / 2.0;

#[derive(Clone, Copy, Debug)]
enum Step {
    Request {
        class: usize,
        object: u64,
        timeout: u16,
    },
    /// The client cancels one of the open requests.
    Cancel(usize),
    ClientGone(u64),
    /// A member answers one of the attempts in flight.
    Reply {
        index: usize,
        status: u8,
    },
    /// One of the attempts in flight loses its connection.
    ConnectionFailure {
        index: usize,
        was_sent: bool,
    },
    Wait(u16),
    Purge(u64),
    Member {
        index: usize,
        state: u8,
    },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0usize..3, 0u64..4, 1u16..2000)
            .prop_map(|(class, object, timeout)| Step::Request { class, object, timeout }),
        1 => any::<usize>().prop_map(Step::Cancel),
        1 => (0u64..3).prop_map(Step::ClientGone),
        8 => (any::<usize>(), 0u8..7).prop_map(|(index, status)| Step::Reply { index, status }),
        2 => (any::<usize>(), any::<bool>()).prop_map(|(index, was_sent)| Step::ConnectionFailure { index, was_sent }),
        4 => (0u16..600).prop_map(Step::Wait),
        1 => (0u64..4).prop_map(Step::Purge),
        1 => (0usize..5, 0u8..4).prop_map(|(index, state)| Step::Member { index, state }),
    ]
}

/// A request by its client and the client's id for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct RequestKey {
    client: u64,
    id: u32,
}

/// The expected state of a request.
struct ModelRequest {
    class: usize,
    deadline: f64,
    attempts: usize,
    /// Whether one of its attempts may have run.
    may_have_run: bool,
    has_ended: bool,
}

/// The router under test, with the state to check its invariants against.
struct Model {
    router: Router,
    now: f64,
    last_event: u64,
    last_id: u32,
    requests: BTreeMap<RequestKey, ModelRequest>,
    names: BTreeMap<Box<str>, RequestKey>,
    in_flight: BTreeMap<AttemptKey, RequestKey>,
}

impl Model {
    /// Applies the router's effects and checks the invariants on them.
    fn apply_effects(&mut self) {
        while let Some(effect) = self.router.next_effect() {
            match effect {
                Effect::SendAttempt { key, call, .. } => {
                    let request_key = self.names[&call.name];
                    let request = self.requests.get_mut(&request_key).unwrap();
                    assert!(!request.has_ended, "an attempt for a request that has ended");
                    assert!(
                        !self.in_flight.values().any(|other| *other == request_key),
                        "two attempts at once"
                    );
                    request.attempts += 1;
                    assert!(request.attempts <= ATTEMPTS);
                    assert!(
                        request.class != 2 || !request.may_have_run,
                        "a request that may have run and is not idempotent is sent again"
                    );
                    assert!(self.in_flight.insert(key, request_key).is_none(), "a key used twice");
                }
                Effect::CancelAttempt { key, .. } => {
                    let Some(request_key) = self.in_flight.remove(&key) else { continue };
                    self.requests.get_mut(&request_key).unwrap().may_have_run = true;
                    self.router.attempt_cancelled(self.now, key, true);
                }
                Effect::Answer { client, id, answer, .. } => {
                    let request = self.requests.get_mut(&RequestKey { client, id }).unwrap();
                    assert!(!request.has_ended, "a second answer");
                    assert!(self.now <= request.deadline + SLACK, "{} ms late", self.now - request.deadline);
                    let is_rejected = matches!(answer, Answer::Rejected(_));
                    assert!(
                        !(is_rejected && request.class == 2 && request.may_have_run),
                        "a request that may have run is rejected"
                    );
                    request.has_ended = true;
                }
                Effect::SendHealthCheck { .. }
                | Effect::HealthChecked { .. }
                | Effect::MembersChanged(_)
                | Effect::CloseIdle(_)
                | Effect::ProcessGone(_)
                | Effect::Purged { .. }
                | Effect::Log(_) => {}
            }
        }
    }

    fn step(&mut self, step: Step) {
        let pick = |index: usize, count: usize| (count > 0).then(|| index % count);
        match step {
            Step::Request { class, object, timeout } => {
                self.last_id += 1;
                let (client, id) = (u64::from(self.last_id % 3), self.last_id);
                let name: Box<str> = format!("{id:016x}").into();
                self.names.insert(name.clone(), RequestKey { client, id });
                let deadline = self.now + f64::from(timeout).min(1500.0);
                let request =
                    ModelRequest { class, deadline, attempts: 0, may_have_run: false, has_ended: false };
                self.requests.insert(RequestKey { client, id }, request);
                let call = Call {
                    name,
                    class: ["page", "post", "once"][class].into(),
                    timeout: f64::from(timeout),
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
            Step::Cancel(index) => {
                let open = self.requests.iter().filter(|(_, request)| !request.has_ended);
                let open: Vec<RequestKey> = open.map(|(key, _)| *key).collect();
                let Some(index) = pick(index, open.len()) else { return };
                self.requests.get_mut(&open[index]).unwrap().has_ended = true;
                self.router.cancel(self.now, open[index].client, open[index].id);
            }
            Step::ClientGone(client) => {
                let of_client = self.requests.iter_mut().filter(|(key, _)| key.client == client);
                of_client.for_each(|(_, request)| request.has_ended = true);
                self.router.client_gone(self.now, client);
            }
            Step::Reply { index, status } => {
                let Some(index) = pick(index, self.in_flight.len()) else { return };
                let (key, request_key) = self.in_flight.pop_nth(index);
                let statuses = [
                    Status::Ok,
                    Status::Miss,
                    Status::Miss,
                    Status::Rejected,
                    Status::Error,
                    Status::Expired,
                    Status::NotModified,
                ];
                let status = statuses[usize::from(status)];
                let has_run = matches!(status, Status::Ok | Status::Error | Status::NotModified);
                self.requests.get_mut(&request_key).unwrap().may_have_run |= has_run;
                let reply =
                    Reply { id: "".into(), status, load_report: Vec::new(), copy: None, body: Bytes::new() };
                self.router.reply(self.now, key, reply);
            }
            Step::ConnectionFailure { index, was_sent } => {
                let Some(index) = pick(index, self.in_flight.len()) else { return };
                let (key, request_key) = self.in_flight.pop_nth(index);
                self.requests.get_mut(&request_key).unwrap().may_have_run |= was_sent;
                let failure = if was_sent { ConnectionFailure::Reset } else { ConnectionFailure::NotSent };
                self.router.connection_failed(self.now, key, failure);
            }
            Step::Wait(span) => self.wait(f64::from(span)),
            Step::Purge(object) => {
                self.last_event += 1;
                assert!(self.router.feed_event(
                    self.now,
                    numbered(self.last_event, FeedEvent::PurgeObject { object, at: self.now - 50.0 }),
                    false
                ));
            }
            Step::Member { index, state } => {
                self.last_event += 1;
                let (lifecycle, started) = match state {
                    0 => (Lifecycle::Gone, None),
                    1 => (Lifecycle::Draining, None),
                    2 => (Lifecycle::Ready, Some(self.now - 100.0)),
                    _ => (Lifecycle::Ready, None),
                };
                let entries = vec![entry(index, lifecycle, started)];
                let list = FeedEvent::Members { complete: false, entries, unreadable: 0 };
                assert!(self.router.feed_event(self.now, numbered(self.last_event, list), false));
            }
        }
        self.apply_effects();
    }

    /// Advances time as the event loop does, from one deadline to the next.
    fn wait(&mut self, span: f64) {
        let end = self.now + span;
        while let Some(due) = self.router.next_deadline().filter(|due| *due <= end) {
            self.now = self.now.max(due);
            self.router.tick(self.now);
            self.apply_effects();
        }
        self.now = end;
    }
}

/// Removes and returns an entry by its position.
trait PopNth<K, V> {
    fn pop_nth(&mut self, index: usize) -> (K, V);
}

impl<K: Ord + Copy, V> PopNth<K, V> for BTreeMap<K, V> {
    fn pop_nth(&mut self, index: usize) -> (K, V) {
        let key = *self.keys().nth(index).unwrap();
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
            last_event: 1,
            last_id: 0,
            requests: BTreeMap::new(),
            names: BTreeMap::new(),
            in_flight: BTreeMap::new(),
        };
        model.apply_effects();
        for step in steps { model.step(step); }
        model.wait(3000.0);
        prop_assert!(model.requests.values().all(|request| request.has_ended), "a request without its answer");
        prop_assert_eq!(model.router.unanswered(), 0);
        prop_assert!(model.in_flight.is_empty(), "an attempt that outlives its request");
        let c = model.router.counters;
        prop_assert_eq!((c.broken_invariants, c.overdue), (0, 0));
        prop_assert_eq!(c.accepted, c.served + c.rejected + c.failed + c.cancelled);
    }
}
