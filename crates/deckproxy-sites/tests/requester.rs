//! The requesting side: lost connections, collapsing, queueing, endpoint selection and limits.

mod common;

use bytes::Bytes;
use common::{LINK, TRUST, hello};
use deckproxy_sites::LinkLimits;
use deckproxy_sites::close::CloseReason;
use deckproxy_sites::frame::{
    AttemptNumbers, AttemptState, AttemptStatus, BodyChunk, GoAway, Outcome, Payload, Request, ResponseHead,
};
use deckproxy_sites::purges::PurgeLog;
use deckproxy_sites::requester::{Effect, EndpointsUp, ForwardedRequest, Reply, Requester, RetrySafety};
use std::ops::Range;

/// A requester with one endpoint, and the purge log that it consults.
struct Fixture {
    requester: Requester,
    purges: PurgeLog,
}

fn forwarded_request(object: u64, retry_safety: RetrySafety, deadline: f64) -> ForwardedRequest {
    let request = Request {
        name: format!("{object:016x}"),
        class: "page".into(),
        size_kb: Some(0.1),
        ..Request::default()
    };
    let may_collapse = retry_safety == RetrySafety::Idempotent;
    ForwardedRequest { request, object, deadline, retry_safety, may_collapse, priority_rank: 0.5 }
}

impl Fixture {
    /// Creates a requester with one established connection, 1.
    fn connected() -> Self {
        let mut requester = Requester::new(LINK, 1, &[9], 0.0);
        requester.connected(0.0, 0, 1);
        requester.hello_received(0.0, 1, &hello(77));
        let mut fixture = Fixture { requester, purges: PurgeLog::new("a", 1, TRUST, 0.0) };
        fixture.effects();
        fixture
    }

    fn effects(&mut self) -> Vec<Effect> {
        std::iter::from_fn(|| self.requester.next_effect()).collect()
    }

    fn receive(&mut self, now: f64, connection: u64, payload: Payload) -> bool {
        self.requester.receive(now, now, connection, payload, &mut self.purges)
    }

    /// Passes in a request, and returns the number of the attempt that is sent.
    fn request(&mut self, now: f64, token: u64, request: ForwardedRequest) -> u64 {
        self.requester.request(now, token, request);
        sent_attempt(&self.effects()).expect("it was sent")
    }

    /// Loses the connection and establishes another one, 2.
    fn reconnect(&mut self, now: f64, epoch: u64) -> Vec<Effect> {
        self.requester.disconnected(now, 1, &[]);
        self.effects();
        self.requester.connected(now + 10.0, 0, 2);
        self.requester.hello_received(now + 10.0, 2, &hello(epoch));
        self.effects()
    }
}

fn sent_attempt(effects: &[Effect]) -> Option<u64> {
    effects.iter().find_map(|effect| match effect {
        Effect::Send(_, Payload::Request(request)) => Some(request.number),
        _ => None,
    })
}

fn replies(effects: &[Effect]) -> Vec<(u64, Reply)> {
    let reply = |effect: &Effect| match effect {
        Effect::Reply(token, reply) => Some((*token, reply.clone())),
        _ => None,
    };
    effects.iter().filter_map(reply).collect()
}

fn resumed_attempts(effects: &[Effect]) -> Vec<u64> {
    let numbers = |effect: &Effect| match effect {
        Effect::Send(2, Payload::Resume(AttemptNumbers { numbers })) => Some(numbers.clone()),
        _ => None,
    };
    effects.iter().find_map(numbers).unwrap_or_default()
}

fn status(number: u64, state: AttemptState) -> Payload {
    Payload::Status(AttemptStatus { number, state: state.into() })
}

fn response(number: u64, outcome: Outcome, body_length: u32) -> Payload {
    let outcome = outcome.into();
    Payload::Response(ResponseHead {
        number,
        outcome,
        body_length,
        retry_after: 120.0,
        ..ResponseHead::default()
    })
}

#[test]
fn after_a_lost_connection_no_attempt_is_sent_before_the_status_is_known() {
    let mut fixture = Fixture::connected();
    let first = fixture.request(10.0, 1, forwarded_request(5, RetrySafety::Idempotent, 900.0));
    let effects = fixture.reconnect(20.0, 77);
    assert_eq!(resumed_attempts(&effects), [first]);
    assert_eq!(sent_attempt(&effects), None, "the first attempt may still be in flight");
    fixture.requester.tick(40.0, 40.0, &fixture.purges);
    assert_eq!(sent_attempt(&fixture.effects()), None);
    fixture.receive(50.0, 2, status(first, AttemptState::NeverReceived));
    let second = sent_attempt(&fixture.effects())
        .expect("another attempt is sent, as the first one was never received");
    assert!(second > first, "under a new number, as the old one is fenced");
    fixture.receive(60.0, 2, response(second, Outcome::Served, 0));
    assert_eq!(replies(&fixture.effects()).len(), 1);
}

#[test]
fn a_running_attempt_is_reattached_and_its_response_is_passed_on() {
    let mut fixture = Fixture::connected();
    let number = fixture.request(10.0, 1, forwarded_request(5, RetrySafety::NotIdempotent, 900.0));
    fixture.reconnect(20.0, 77);
    fixture.receive(40.0, 2, status(number, AttemptState::Running));
    assert!(fixture.effects().is_empty());
    fixture.receive(90.0, 2, response(number, Outcome::Served, 4));
    let chunk = BodyChunk { number, offset: 0, bytes: Bytes::from_static(b"done") };
    fixture.receive(91.0, 2, Payload::Chunk(chunk));
    let reply = Reply::Served { body: Bytes::from_static(b"done"), issued_at: None, tag: String::new() };
    assert_eq!(replies(&fixture.effects()), [(1, reply)]);
}

/// Guards against the loss of a response whose site is removed from the configuration before its connection is lost.
#[test]
fn a_closing_requester_reconnects_as_long_as_an_exchange_is_open() {
    let mut fixture = Fixture::connected();
    let number = fixture.request(10.0, 1, forwarded_request(5, RetrySafety::NotIdempotent, 900.0));
    fixture.requester.close();
    fixture.requester.disconnected(20.0, 1, &[]);
    let due = fixture.requester.next_timer().expect("the reconnect is scheduled");
    assert!(due < 100.0, "{due}");
    fixture.requester.tick(due, due, &fixture.purges);
    assert_eq!(fixture.effects(), [Effect::Connect(0)]);
    fixture.requester.connected(due, 0, 2);
    fixture.requester.hello_received(due, 2, &hello(77));
    assert_eq!(resumed_attempts(&fixture.effects()), [number]);
    fixture.receive(100.0, 2, status(number, AttemptState::Completed));
    fixture.receive(100.0, 2, response(number, Outcome::Served, 0));
    assert_eq!(replies(&fixture.effects()).len(), 1);
    fixture.requester.tick(110.0, 110.0, &fixture.purges);
    let closes = |effect: &Effect| matches!(effect, Effect::Close(2, CloseReason::PeerRemoved));
    assert!(fixture.effects().iter().any(closes), "no exchange is open");
    fixture.requester.disconnected(111.0, 2, &[]);
    fixture.requester.tick(2000.0, 2000.0, &fixture.purges);
    assert_eq!(fixture.effects(), [], "no connection is opened any more");
}

#[test]
fn an_attempt_of_unknown_status_fails_unless_the_request_is_idempotent() {
    for (retry_safety, is_retried) in [(RetrySafety::NotIdempotent, false), (RetrySafety::Idempotent, true)] {
        // The endpoint's process was replaced, the serving side does not know the status, or the session timed out.
        for case in 0..3 {
            let mut fixture = Fixture::connected();
            let number = fixture.request(10.0, 1, forwarded_request(5, retry_safety, 5000.0));
            let effects = match case {
                0 => fixture.reconnect(20.0, 78),
                1 => {
                    fixture.reconnect(20.0, 77);
                    fixture.receive(40.0, 2, status(number, AttemptState::Unknown));
                    fixture.effects()
                }
                _ => {
                    fixture.requester.disconnected(20.0, 1, &[]);
                    fixture.requester.tick(20.0 + 1000.0 + 2.0, 0.0, &fixture.purges);
                    fixture.requester.connected(1030.0, 0, 2);
                    fixture.requester.hello_received(1030.0, 2, &hello(77));
                    fixture.effects()
                }
            };
            assert_eq!(sent_attempt(&effects).is_some(), is_retried, "{retry_safety:?} {case}");
            let failed = replies(&effects) == [(1, Reply::Failed)];
            assert_eq!(failed, !is_retried, "{retry_safety:?} {case}");
        }
    }
}

#[test]
fn an_attempt_that_was_not_written_is_sent_again_at_once_on_another_connection() {
    let mut fixture = Fixture::connected();
    fixture.requester.connected(5.0, 0, 2);
    fixture.requester.hello_received(5.0, 2, &hello(77));
    fixture.effects();
    let number = fixture.request(10.0, 1, forwarded_request(5, RetrySafety::NotIdempotent, 900.0));
    fixture.requester.disconnected(20.0, 1, &[number]);
    assert!(sent_attempt(&fixture.effects()).is_some_and(|second| second != number));
}

#[test]
fn requests_for_one_part_collapse_and_the_next_waiter_becomes_the_leader_after_a_failure() {
    let mut fixture = Fixture::connected();
    let first = fixture.request(10.0, 1, forwarded_request(5, RetrySafety::Idempotent, 900.0));
    for token in 2..=3 {
        fixture.requester.request(11.0, token, forwarded_request(5, RetrySafety::Idempotent, 900.0));
    }
    assert_eq!(sent_attempt(&fixture.effects()), None, "they wait for the first one's response");
    // The third waiter is over the limit, and is forwarded in an exchange of its own.
    fixture.requester.request(11.0, 4, forwarded_request(5, RetrySafety::Idempotent, 900.0));
    assert!(sent_attempt(&fixture.effects()).is_some());
    fixture.receive(20.0, 1, response(first, Outcome::Failed, 0));
    let effects = fixture.effects();
    assert_eq!(replies(&effects), [(1, Reply::Failed)]);
    let second = sent_attempt(&effects).expect("the next waiter becomes the leader");
    fixture.receive(30.0, 1, response(second, Outcome::Rejected, 0));
    let rejected = Reply::Rejected { retry_after: 120.0 };
    let expected = [(2, rejected.clone()), (3, rejected)];
    assert_eq!(replies(&fixture.effects()), expected, "with the retry-after as it was received");
}

#[test]
fn a_canceled_leader_does_not_cancel_the_exchange() {
    let mut fixture = Fixture::connected();
    let number = fixture.request(10.0, 1, forwarded_request(5, RetrySafety::Idempotent, 900.0));
    fixture.requester.request(11.0, 2, forwarded_request(5, RetrySafety::Idempotent, 900.0));
    fixture.requester.cancel(12.0, 1);
    assert_eq!(fixture.effects(), [], "the other request still waits");
    fixture.receive(20.0, 1, response(number, Outcome::Served, 0));
    let tokens: Vec<u64> = replies(&fixture.effects()).iter().map(|(token, _)| *token).collect();
    assert_eq!(tokens, [2]);
    let number = fixture.request(30.0, 3, forwarded_request(6, RetrySafety::Idempotent, 900.0));
    fixture.requester.cancel(31.0, 3);
    let release = Effect::Send(1, Payload::Release(AttemptNumbers { numbers: vec![number] }));
    assert_eq!(fixture.effects(), [release], "no request waits for it: the attempt is released");
}

#[test]
fn without_an_endpoint_requests_are_queued_and_then_rejected_with_a_retry_after() {
    let mut fixture = Fixture::connected();
    fixture.requester.disconnected(10.0, 1, &[]);
    fixture.effects();
    fixture.requester.request(20.0, 1, forwarded_request(5, RetrySafety::NotIdempotent, 900.0));
    assert_eq!(replies(&fixture.effects()), []);
    fixture.requester.tick(60.0, 0.0, &fixture.purges);
    assert_eq!(replies(&fixture.effects()), []);
    fixture.requester.tick(121.0, 0.0, &fixture.purges);
    let rejected = replies(&fixture.effects());
    assert!(
        matches!(rejected[..], [(1, Reply::Rejected { retry_after })] if retry_after >= 50.0),
        "{rejected:?}"
    );
    // A request that is queued while an endpoint recovers is sent.
    fixture.requester.request(130.0, 2, forwarded_request(6, RetrySafety::NotIdempotent, 900.0));
    fixture.requester.connected(140.0, 0, 2);
    fixture.requester.hello_received(150.0, 2, &hello(77));
    assert!(sent_attempt(&fixture.effects()).is_some());
}

#[test]
fn the_queue_is_drained_by_priority_and_no_faster_than_a_recovered_endpoint_allows() {
    let link = LinkLimits { recovery_ramp: 1000.0, max_exchanges: 100, ..LINK };
    let mut requester = Requester::new(link, 1, &[9], 0.0);
    for token in 0..40 {
        let priority_rank = if token % 2 == 0 { 0.2 } else { 0.8 };
        let request = forwarded_request(token, RetrySafety::Idempotent, 900.0);
        requester.request(10.0, token, ForwardedRequest { priority_rank, ..request });
    }
    requester.connected(20.0, 0, 1);
    requester.hello_received(30.0, 1, &hello(77));
    let sent: Vec<String> = std::iter::from_fn(|| requester.next_effect())
        .filter_map(|effect| match effect {
            Effect::Send(_, Payload::Request(request)) => Some(request.name),
            _ => None,
        })
        .collect();
    let expected: Vec<String> = (0..16).map(|n| format!("{:016x}", 2 * n + 1)).collect();
    assert_eq!(sent[..16], expected, "those of high priority, the oldest first");
    assert!(sent.len() < 40, "not all at once: {}", sent.len());
}

/// A requester with two endpoints, each with one connection: 1 and 2.
fn two_endpoints(recovery_ramp: f64) -> Requester {
    let limits = LinkLimits { recovery_ramp, max_exchanges: 1000, ..LINK };
    let mut requester = Requester::new(limits, 1, &[9, 10], 0.0);
    for (endpoint, connection) in [(0, 1), (1, 2)] {
        requester.connected(0.0, endpoint, connection);
        requester.hello_received(0.0, connection, &hello(70 + connection));
    }
    while requester.next_effect().is_some() {}
    requester
}

/// The connections on which requests for the given objects are sent, one after another.
fn connections_used(requester: &mut Requester, now: f64, objects: Range<u64>) -> Vec<u64> {
    for object in objects {
        requester.request(now, object, forwarded_request(object, RetrySafety::Idempotent, now + 900.0));
    }
    let connection = |effect: Effect| match effect {
        Effect::Send(connection, Payload::Request(_)) => Some(connection),
        _ => None,
    };
    std::iter::from_fn(|| requester.next_effect()).filter_map(connection).collect()
}

#[test]
fn endpoints_share_the_load_and_take_over_from_one_another() {
    let mut requester = two_endpoints(0.0);
    let used = connections_used(&mut requester, 10.0, 0..40);
    assert_eq!(used.iter().filter(|connection| **connection == 1).count(), 20, "{used:?}");
    // The first endpoint sends a GoAway: all new requests are sent to the second one.
    let mut purges = PurgeLog::new("a", 1, TRUST, 0.0);
    let go_away = GoAway { reason: "a planned end".into(), retry_after: 100.0 };
    requester.receive(20.0, 20.0, 1, Payload::GoAway(go_away), &mut purges);
    assert_eq!(connections_used(&mut requester, 30.0, 100..120), [2; 20]);
    // The first endpoint is available again, and the connection to the second one is lost: its attempts in flight wait,
    // and new requests are sent to the first one.
    requester.disconnected(140.0, 2, &[]);
    requester.tick(140.0, 140.0, &purges);
    assert_eq!(connections_used(&mut requester, 141.0, 200..220), [1; 20]);
    assert_eq!(requester.open_counts().unresolved_attempts, 40, "their status is not known");
    assert_eq!(requester.endpoints_up(), EndpointsUp { up: 1, total: 2 });
}

#[test]
fn the_share_of_a_recovered_endpoint_grows_along_the_ramp() {
    let mut requester = two_endpoints(1000.0);
    // Both have been up long enough to have their full shares.
    requester.disconnected(2000.0, 2, &[]);
    requester.connected(2050.0, 1, 3);
    requester.hello_received(2050.0, 3, &hello(72));
    let share = |requester: &mut Requester, now: f64, objects: Range<u64>| {
        let used = connections_used(requester, now, objects);
        used.iter().filter(|connection| **connection == 3).count() as f64 / used.len() as f64
    };
    let first = share(&mut requester, 2060.0, 0..60);
    assert!(first < 0.1, "{first}");
    let later = share(&mut requester, 3100.0, 100..300);
    assert!((0.45..0.7).contains(&later), "{later}");
}

#[test]
fn open_exchanges_are_bounded() {
    let mut fixture = Fixture::connected();
    for token in 0..4 {
        fixture.request(10.0, token, forwarded_request(100 + token, RetrySafety::Idempotent, 900.0));
    }
    fixture.requester.request(10.0, 9, forwarded_request(999, RetrySafety::Idempotent, 900.0));
    assert_eq!(replies(&fixture.effects()), [(9, Reply::Rejected { retry_after: 50.0 })]);
}

#[test]
fn messages_that_are_not_allowed_are_reported() {
    let mut fixture = Fixture::connected();
    let number = fixture.request(10.0, 1, forwarded_request(5, RetrySafety::Idempotent, 900.0));
    let chunk = |offset, bytes: &'static [u8]| {
        Payload::Chunk(BodyChunk { number, offset, bytes: Bytes::from_static(bytes) })
    };
    assert!(!fixture.receive(11.0, 1, chunk(0, b"before its head")));
    assert!(fixture.receive(12.0, 1, response(number, Outcome::Served, 4)));
    assert!(!fixture.receive(13.0, 1, chunk(2, b"cd")), "a chunk out of order");
    assert!(!fixture.receive(14.0, 1, chunk(0, b"abcde")), "more than the body's length");
    assert!(
        !fixture.receive(15.0, 1, response(number, Outcome::Served, 100_000_000)),
        "a body over the limit"
    );
    assert!(!fixture.receive(16.0, 1, Payload::Request(Request::default())), "a message to the serving side");
}

fn extended_windows(effects: &[Effect]) -> Vec<u64> {
    let number = |effect: &Effect| match effect {
        Effect::Send(_, Payload::WindowUpdate(update)) => Some(update.number),
        _ => None,
    };
    effects.iter().filter_map(number).collect()
}

/// Guards against memory for bodies that nothing has counted: what a peer may send at any time counts, and the window of
/// a body is extended only once there is room for all of it.
#[test]
fn credit_windows_count_as_memory_and_are_extended_as_there_is_room() {
    let window = LINK.credit_window;
    let mut fixture = Fixture::connected();
    fixture.requester.set_memory_room(0);
    let numbers: Vec<u64> = (1..=3)
        .map(|token| fixture.request(10.0, token, forwarded_request(token, RetrySafety::Idempotent, 900.0)))
        .collect();
    assert!(fixture.requester.held_bytes() >= 3 * window);
    let length = u32::try_from(3 * window).unwrap();
    for number in &numbers {
        fixture.receive(20.0, 1, response(*number, Outcome::Served, length));
        let bytes = Bytes::from(vec![1; window]);
        assert!(fixture.receive(20.0, 1, Payload::Chunk(BodyChunk { number: *number, offset: 0, bytes })));
    }
    assert_eq!(extended_windows(&fixture.effects()), [], "there is no room for any of them");
    fixture.requester.set_memory_room(2 * window);
    assert_eq!(extended_windows(&fixture.effects()), numbers[..1]);
    assert!(fixture.requester.held_bytes() >= 5 * window);
    fixture.requester.cancel(30.0, 1);
    fixture.requester.cancel(30.0, 2);
    fixture.requester.set_memory_room(4 * window);
    assert_eq!(extended_windows(&fixture.effects()), numbers[2..], "the next one whose client waits");
    fixture.requester.cancel(40.0, 3);
    assert_eq!(fixture.requester.held_bytes(), 0);
}
