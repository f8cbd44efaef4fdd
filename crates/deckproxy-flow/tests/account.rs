//! Accounts of connections: whatever passes, and however it ends, each byte and each request is told once.

use deckproxy_flow::account::{Asker, Attempts, ClientAccount, Names, OTHERS};
use deckproxy_flow::meter::{Flow, Leg, Limits, Meter, Outcome};
use proptest::prelude::*;
use std::collections::VecDeque;
use std::net::{IpAddr, Ipv4Addr};

const CLIENT: IpAddr = IpAddr::V4(Ipv4Addr::new(127, 0, 0, 9));

/// Bytes out and back, and requests, of a leg.
fn sums(flows: &[Flow], leg: Leg) -> [u64; 3] {
    let add = |s: [u64; 3], f: &Flow| [s[0] + f.counts.out, s[1] + f.counts.back, s[2] + f.counts.requests];
    flows.iter().filter(|f| f.key.leg == leg).fold([0; 3], add)
}

fn requests(flows: &[Flow], outcome: Outcome) -> u64 {
    flows.iter().filter(|f| f.key.outcome == Some(outcome)).map(|f| f.counts.requests).sum()
}

#[derive(Clone, Debug)]
enum Step {
    Ask(u32, u64),
    Word(u64),
    Answer(u32, u64),
    Pong(u64),
    GiveUp(u32),
    /// The kernel takes so many bytes.
    Take(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0u32..12, 1u64..500).prop_map(|(id, bytes)| Step::Ask(id, bytes)),
        (1u64..50).prop_map(Step::Word),
        (0u32..12, 1u64..5000).prop_map(|(id, bytes)| Step::Answer(id, bytes)),
        (1u64..20).prop_map(Step::Pong),
        (0u32..12).prop_map(Step::GiveUp),
        (0u64..6000).prop_map(Step::Take),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, rng_seed: proptest::test_runner::RngSeed::Fixed(17), ..Default::default() })]

    /// Beside a plain sum of what passed, with a socket that takes what it likes and breaks at the end.
    #[test]
    fn every_byte_and_request_of_a_client_is_told_once(steps in prop::collection::vec(step(), 1..120), unread in 0u64..40) {
        let mut meter = Meter::new(Limits::default());
        let mut account = ClientAccount::new(Some(meter.client(CLIENT)));
        let (mut out, mut back, mut asked, mut now) = (0, 0, 0, 1_000_000);
        // Messages that wait: their lengths, and what is gone of the first.
        let (mut queue, mut gone) = (VecDeque::new(), 0u64);
        for step in steps {
            now += 100;
            match step {
                Step::Ask(id, bytes) => {
                    account.asked(&mut meter, now, id, 1, bytes);
                    (back, asked) = (back + bytes, asked + 1);
                }
                Step::Word(bytes) => {
                    account.heard(&mut meter, now, bytes);
                    back += bytes;
                }
                Step::Answer(id, bytes) => {
                    account.answered(Some(id), Outcome::Served);
                    queue.push_back(bytes);
                }
                Step::Pong(bytes) => {
                    account.answered(None, Outcome::Served);
                    queue.push_back(bytes);
                }
                Step::GiveUp(id) => account.gone(&mut meter, now, id),
                Step::Take(bytes) => {
                    gone += bytes;
                    while let Some(first) = queue.front().copied().filter(|first| *first <= gone) {
                        queue.pop_front();
                        (gone, out) = (gone - first, out + first);
                        account.written(&mut meter, now, first);
                    }
                    if queue.is_empty() {
                        gone = 0;
                    }
                }
            }
        }
        account.end(&mut meter, now, gone, unread);
        prop_assert_eq!(account.sizes(), [0, 0]);
        let flows = meter.take_all();
        prop_assert_eq!(sums(&flows, Leg::Client), [out + gone, back + unread, asked]);
    }
}

#[test]
fn an_answer_that_is_cut_counts_as_far_as_it_came() {
    let mut meter = Meter::new(Limits::default());
    let mut account = ClientAccount::new(Some(meter.client(CLIENT)));
    for id in 1..=3 {
        account.asked(&mut meter, 1000, id, 1, 60);
    }
    account.crosses(2, 7);
    account.answered(Some(1), Outcome::Served);
    account.answered(Some(2), Outcome::Served);
    account.written(&mut meter, 5000, 900);
    // The second is out in part, the third was not answered.
    account.end(&mut meter, 6000, 250, 0);
    let flows = meter.take_all();
    assert_eq!((requests(&flows, Outcome::Served), requests(&flows, Outcome::Canceled)), (1, 2));
    let crossed: Vec<_> = flows.iter().filter(|f| f.key.site == 7).map(|f| f.counts.out).collect();
    assert_eq!(crossed, [250]);
    assert_eq!(sums(&flows, Leg::Client), [1150, 180, 3]);
}

#[test]
fn attempts_are_flows_of_their_own_and_repeats_show() {
    let mut meter = Meter::new(Limits::default());
    let mut attempts = Attempts::default();
    let asker = Asker { client: Some(meter.client(CLIENT)), class: 1, site: 0 };
    attempts.sent(0, 1, asker, 5);
    assert!(attempts.wrote(1, 80));
    assert!(attempts.ended(&mut meter, 900, 1, Outcome::Failed, 0));
    attempts.sent(1000, 2, asker, 6);
    assert!(attempts.wrote(2, 81));
    assert!(attempts.ended(&mut meter, 3000, 2, Outcome::Served, 4000));
    // One that never went out is no attempt; what comes late, and probes, are the member's.
    attempts.sent(3000, 3, asker, 6);
    assert!(attempts.ended(&mut meter, 3100, 3, Outcome::Canceled, 0));
    assert!(!attempts.ended(&mut meter, 3200, 1, Outcome::Served, 300));
    Attempts::other(&mut meter, 3200, 5, 300, 0);
    assert!(!attempts.wrote(99, 12));
    Attempts::other(&mut meter, 3300, 6, 0, 12);
    assert!(attempts.is_empty());
    let flows = meter.take_all();
    assert_eq!(sums(&flows, Leg::Member), [4300, 80 + 81 + 12, 2]);
    assert_eq!(sums(&flows, Leg::Client), [0; 3]);
    let failed = flows.iter().find(|f| f.key.outcome == Some(Outcome::Failed)).unwrap();
    assert_eq!((failed.key.member, failed.key.client, failed.counts.back), (5, asker.client, 80));
}

#[test]
fn names_have_an_end() {
    let mut names = Names::new(4);
    let numbers: Vec<_> = ["a", "b", "c", "d", "a"].iter().map(|n| names.number(n)).collect();
    assert_eq!(numbers, [1, 2, 3, 3, 1]);
    assert_eq!((names.name(1), names.name(3), names.name(0), names.name(9)), ("a", OTHERS, "", ""));
    assert_eq!(names.number(""), 0);
}
