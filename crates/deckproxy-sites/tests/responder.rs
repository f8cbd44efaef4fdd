//! The serving side: duplicate and fenced attempts, resumption, flow control and eviction.

mod common;

use common::{LINK, hello};
use deckproxy_sites::frame::{AttemptNumbers, AttemptState, Hello, Outcome, Payload, Request, WindowUpdate};
use deckproxy_sites::responder::{Effect, Responder, RunResult, Usage};

/// A responder with one established connection, 1.
fn connected() -> Responder {
    let mut responder = Responder::new(LINK);
    responder.hello_received(0.0, 1, &hello(1));
    responder
}

fn effects(responder: &mut Responder) -> Vec<Effect> {
    std::iter::from_fn(|| responder.next_effect()).collect()
}

fn request(number: u64) -> Payload {
    Payload::Request(Request { number, time_left: 500.0, ..Request::default() })
}

fn resume(numbers: Vec<u64>) -> Payload {
    Payload::Resume(AttemptNumbers { numbers })
}

fn started_run(responder: &mut Responder) -> Option<u64> {
    effects(responder).into_iter().find_map(|effect| match effect {
        Effect::Run(run, _) => Some(run),
        _ => None,
    })
}

fn served(body_length: usize) -> RunResult {
    RunResult { body: vec![1; body_length].into(), ..RunResult::without_body(Outcome::Served) }
}

fn statuses(effects: &[Effect]) -> Vec<(u64, AttemptState)> {
    let status = |effect: &Effect| match effect {
        Effect::Send(_, Payload::Status(status)) => Some((status.number, status.state())),
        _ => None,
    };
    effects.iter().filter_map(status).collect()
}

#[test]
fn an_attempt_number_is_executed_at_most_once() {
    let mut responder = connected();
    responder.receive(1.0, 1, request(1));
    assert!(started_run(&mut responder).is_some());
    responder.receive(2.0, 1, request(1));
    assert_eq!(started_run(&mut responder), None, "a duplicate");
    responder.hello_received(3.0, 2, &hello(1));
    responder.receive(4.0, 2, resume(vec![1, 2]));
    let expected = [(1, AttemptState::Running), (2, AttemptState::NeverReceived)];
    assert_eq!(statuses(&effects(&mut responder)), expected);
    responder.receive(5.0, 1, request(2));
    assert_eq!(started_run(&mut responder), None, "it was reported as never received: it is fenced");
    assert_eq!(responder.duplicates, 2);
    responder.discard_attempts_below(2, 3);
    assert_eq!(effects(&mut responder), [Effect::Cancel(1)], "the requesting side has ended the attempt");
    responder.receive(6.0, 1, request(1));
    responder.receive(6.0, 1, request(2));
    assert_eq!(started_run(&mut responder), None, "numbers of attempts that have ended are not accepted");
}

#[test]
fn a_response_is_retained_without_a_connection_until_the_session_expires() {
    let mut responder = connected();
    responder.receive(1.0, 1, request(1));
    let run = started_run(&mut responder).unwrap();
    responder.disconnected(2.0, 1);
    responder.run_ended(3.0, run, served(250));
    assert_eq!(effects(&mut responder), [], "there is no connection to send it on");
    responder.hello_received(4.0, 2, &hello(1));
    responder.receive(5.0, 2, resume(vec![1]));
    assert_eq!(statuses(&effects(&mut responder)), [(1, AttemptState::Completed)]);
    let chunks = std::iter::from_fn(|| responder.next_chunk(2)).count();
    assert_eq!(chunks, 3, "100, 100 and 50 bytes");
    responder.disconnected(6.0, 2);
    responder.tick(6.0 + 1001.0);
    assert_eq!(responder.usage(), Usage::default());
    responder.hello_received(2000.0, 3, &Hello { next_attempt: 2, ..hello(1) });
    responder.receive(2001.0, 3, resume(vec![1]));
    let expected = [(1, AttemptState::Unknown)];
    assert_eq!(statuses(&effects(&mut responder)), expected, "the session has expired");
}

/// Guards against a shutdown that ends before the other site has received what it is owed.
#[test]
fn a_response_is_owed_until_it_is_released_or_its_session_expires() {
    let mut responder = connected();
    for number in 1..=2 {
        responder.receive(1.0, 1, request(number));
    }
    let runs: Vec<u64> = effects(&mut responder)
        .into_iter()
        .filter_map(|effect| match effect {
            Effect::Run(run, _) => Some(run),
            _ => None,
        })
        .collect();
    assert_eq!(responder.owed_attempts(), 2, "they are running");
    for run in runs {
        responder.run_ended(2.0, run, served(0));
    }
    assert_eq!(responder.owed_attempts(), 2, "the heads may still be in transit");
    responder.receive(3.0, 1, Payload::Release(AttemptNumbers { numbers: vec![1] }));
    assert_eq!(responder.owed_attempts(), 1);
    responder.disconnected(4.0, 1);
    responder.tick(4.0 + 1000.0);
    assert_eq!(responder.owed_attempts(), 1, "it may be requested again on another connection");
    responder.tick(4.0 + 1001.0);
    assert_eq!(responder.owed_attempts(), 0, "the session has expired");
}

#[test]
fn bodies_are_sent_round_robin_within_their_credit_windows() {
    let mut responder = connected();
    for number in 1..=2 {
        responder.receive(1.0, 1, request(number));
        let run = started_run(&mut responder).unwrap();
        responder.run_ended(2.0, run, served(if number == 1 { 1000 } else { 150 }));
    }
    let chunk_order = |responder: &mut Responder| -> Vec<u64> {
        std::iter::from_fn(|| match responder.next_chunk(1) {
            Some(Payload::Chunk(chunk)) => Some(chunk.number),
            _ => None,
        })
        .collect()
    };
    assert_eq!(chunk_order(&mut responder), [1, 2, 1, 2, 1], "300 bytes of the first may be in flight");
    responder.receive(3.0, 1, Payload::WindowUpdate(WindowUpdate { number: 1, limit: 450 }));
    assert_eq!(chunk_order(&mut responder), [1, 1]);
}

#[test]
fn retained_responses_are_bounded_and_the_status_of_an_evicted_one_is_unknown() {
    let mut responder = connected();
    let runs: Vec<u64> = (1..=3)
        .map(|number| {
            responder.receive(1.0, 1, request(number));
            started_run(&mut responder).unwrap()
        })
        .collect();
    responder.disconnected(2.0, 1);
    for (i, run) in runs.into_iter().enumerate() {
        responder.run_ended(3.0 + i as f64, run, served(400));
    }
    assert_eq!(responder.usage().retained_bytes, 800, "of 1200 bytes 1000 may be retained");
    responder.hello_received(9.0, 2, &hello(1));
    responder.receive(9.0, 2, resume(vec![1, 2, 3]));
    let expected = [(1, AttemptState::Unknown), (2, AttemptState::Completed), (3, AttemptState::Completed)];
    assert_eq!(statuses(&effects(&mut responder)), expected);
}
