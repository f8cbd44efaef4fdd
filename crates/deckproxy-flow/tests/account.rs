//! Accounting of connections: each byte and each request is counted exactly once, however the connection ends.

use deckproxy_flow::account::{Attempts, ClientAccount, Names, OTHERS, RequestSource};
use deckproxy_flow::meter::{Flow, Leg, Limits, Meter, Outcome};
use proptest::prelude::*;
use std::collections::VecDeque;
use std::net::{IpAddr, Ipv4Addr};

const CLIENT: IpAddr = IpAddr::V4(Ipv4Addr::new(127, 0, 0, 9));

/// The sums of a leg: bytes towards the client, bytes in the other direction, and requests.
fn sums(flows: &[Flow], leg: Leg) -> [u64; 3] {
    let add = |s: [u64; 3], f: &Flow| {
        [s[0] + f.counts.bytes_to_client, s[1] + f.counts.bytes_from_client, s[2] + f.counts.requests]
    };
    flows.iter().filter(|f| f.key.leg == leg).fold([0; 3], add)
}

fn requests(flows: &[Flow], outcome: Outcome) -> u64 {
    flows.iter().filter(|f| f.key.outcome == Some(outcome)).map(|f| f.counts.requests).sum()
}

#[derive(Clone, Debug)]
enum Step {
    /// A request is received, with this id and length.
    Request(u32, u64),
    /// Bytes that belong to no request are received.
    OtherBytes(u64),
    /// The answer to a request is queued, with this length.
    Answer(u32, u64),
    /// A message that answers no request is queued, with this length.
    Pong(u64),
    /// The client cancels the request with this id.
    Cancel(u32),
    /// The kernel accepts this many bytes.
    Write(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0u32..12, 1u64..500).prop_map(|(id, bytes)| Step::Request(id, bytes)),
        (1u64..50).prop_map(Step::OtherBytes),
        (0u32..12, 1u64..5000).prop_map(|(id, bytes)| Step::Answer(id, bytes)),
        (1u64..20).prop_map(Step::Pong),
        (0u32..12).prop_map(Step::Cancel),
        (0u64..6000).prop_map(Step::Write),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, rng_seed: proptest::test_runner::RngSeed::Fixed(17), ..Default::default() })]

    /// Compares the flows with sums over the steps, for a socket with partial writes that is closed at the end.
    #[test]
    fn every_byte_and_request_of_a_client_is_counted_once(steps in prop::collection::vec(step(), 1..120), unread in 0u64..40) {
        let mut meter = Meter::new(Limits::default());
        let mut account = ClientAccount::new(Some(meter.client(CLIENT)));
        let (mut sent, mut received, mut requests_received, mut now) = (0, 0, 0, 1_000_000);
        // The lengths of the queued messages, and the number of written bytes of the first.
        let (mut queue, mut partly_written) = (VecDeque::new(), 0u64);
        for step in steps {
            now += 100;
            match step {
                Step::Request(id, bytes) => {
                    account.request_received(&mut meter, now, id, 1, bytes);
                    (received, requests_received) = (received + bytes, requests_received + 1);
                }
                Step::OtherBytes(bytes) => {
                    account.other_bytes_received(&mut meter, now, bytes);
                    received += bytes;
                }
                Step::Answer(id, bytes) => {
                    account.answer_queued(Some(id), Outcome::Served);
                    queue.push_back(bytes);
                }
                Step::Pong(bytes) => {
                    account.answer_queued(None, Outcome::Served);
                    queue.push_back(bytes);
                }
                Step::Cancel(id) => account.request_cancelled(&mut meter, now, id),
                Step::Write(bytes) => {
                    partly_written += bytes;
                    while let Some(first) = queue.front().copied().filter(|first| *first <= partly_written) {
                        queue.pop_front();
                        (partly_written, sent) = (partly_written - first, sent + first);
                        account.message_written(&mut meter, now, first);
                    }
                    if queue.is_empty() {
                        partly_written = 0;
                    }
                }
            }
        }
        account.connection_closed(&mut meter, now, partly_written, unread);
        prop_assert_eq!([account.open_requests(), account.queued_messages()], [0, 0]);
        let flows = meter.take_all();
        prop_assert_eq!(sums(&flows, Leg::Client), [sent + partly_written, received + unread, requests_received]);
    }
}

#[test]
fn a_truncated_answer_counts_its_written_bytes() {
    let mut meter = Meter::new(Limits::default());
    let mut account = ClientAccount::new(Some(meter.client(CLIENT)));
    for id in 1..=3 {
        account.request_received(&mut meter, 1000, id, 1, 60);
    }
    account.request_forwarded(2, 7);
    account.answer_queued(Some(1), Outcome::Served);
    account.answer_queued(Some(2), Outcome::Served);
    account.message_written(&mut meter, 5000, 900);
    // The second answer is partly written, the third request has no answer.
    account.connection_closed(&mut meter, 6000, 250, 0);
    let flows = meter.take_all();
    assert_eq!((requests(&flows, Outcome::Served), requests(&flows, Outcome::Canceled)), (1, 2));
    let forwarded: Vec<_> =
        flows.iter().filter(|f| f.key.site == 7).map(|f| f.counts.bytes_to_client).collect();
    assert_eq!(forwarded, [250]);
    assert_eq!(sums(&flows, Leg::Client), [1150, 180, 3]);
}

#[test]
fn each_attempt_including_retries_is_counted_as_a_flow() {
    let mut meter = Meter::new(Limits::default());
    let mut attempts = Attempts::default();
    let source = RequestSource { client: Some(meter.client(CLIENT)), class: 1, site: 0 };
    attempts.started(0, 1, source, 5);
    assert!(attempts.bytes_written(1, 80));
    assert!(attempts.ended(&mut meter, 900, 1, Outcome::Failed, 0));
    attempts.started(1000, 2, source, 6);
    assert!(attempts.bytes_written(2, 81));
    assert!(attempts.ended(&mut meter, 3000, 2, Outcome::Served, 4000));
    // An attempt without bytes is not counted; late answers and health checks are counted for the member.
    attempts.started(3000, 3, source, 6);
    assert!(attempts.ended(&mut meter, 3100, 3, Outcome::Canceled, 0));
    assert!(!attempts.ended(&mut meter, 3200, 1, Outcome::Served, 300));
    Attempts::count_other_bytes(&mut meter, 3200, 5, 300, 0);
    assert!(!attempts.bytes_written(99, 12));
    Attempts::count_other_bytes(&mut meter, 3300, 6, 0, 12);
    assert!(attempts.is_empty());
    let flows = meter.take_all();
    assert_eq!(sums(&flows, Leg::Member), [4300, 80 + 81 + 12, 2]);
    assert_eq!(sums(&flows, Leg::Client), [0; 3]);
    let failed = flows.iter().find(|f| f.key.outcome == Some(Outcome::Failed)).unwrap();
    assert_eq!(
        (failed.key.member, failed.key.client, failed.counts.bytes_from_client),
        (5, source.client, 80)
    );
}

#[test]
fn names_beyond_the_capacity_share_one_number() {
    let mut names = Names::new(4);
    let numbers: Vec<_> = ["a", "b", "c", "d", "a"].iter().map(|n| names.number(n)).collect();
    assert_eq!(numbers, [1, 2, 3, 3, 1]);
    assert_eq!((names.name(1), names.name(3), names.name(0), names.name(9)), ("a", OTHERS, "", ""));
    assert_eq!(names.number(""), 0);
}
