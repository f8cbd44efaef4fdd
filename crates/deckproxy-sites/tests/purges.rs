//! The log of purges: numbers, gaps, relays, and the lease.

use deckproxy_sites::TrustLimits;
use deckproxy_sites::frame::{Beat, Hello};
use deckproxy_sites::purges::{Doubt, News, Purges};

const TRUST: TrustLimits = TrustLimits {
    grace: 1000.0,
    lease: 700.0,
    known: 60_000.0,
    serve_when_cut: false,
    skew: 100.0,
    copy_life: 10_000.0,
};

fn log(site: &str, epoch: u64) -> Purges {
    Purges::new(site, epoch, TRUST, 0.0)
}

/// Each tells the other who it is; gives the numbers after which each is to be sent the other's purges.
fn greet(a: &mut Purges, b: &mut Purges, names: [&str; 2], epochs: [u64; 2], now: f64) -> [u64; 2] {
    let hello = |site: &str| Hello { site: site.into(), ..Hello::default() };
    let from_a = a.greet(now, Some(epochs[1]), hello(names[0]));
    let from_b = b.greet(now, Some(epochs[0]), hello(names[1]));
    [a.greeted(now, &from_b), b.greeted(now, &from_a)]
}

fn object(object: u64, age: f64) -> News {
    News { object: Some(object), group: 3, age }
}

fn vouch(log: &mut Purges, from: u64, asked: f64, now: f64, purges: u64) {
    let clock = (asked + now) / 2.0;
    log.vouched(now, now, from, asked, &Beat { clock, purges, ..Beat::default() });
}

#[test]
fn doubled_and_reordered_purges_count_once_and_gaps_are_found() {
    let (mut a, mut b) = (log("a", 1), log("b", 2));
    greet(&mut a, &mut b, ["a", "b"], [1, 2], 0.0);
    for n in 0..4 {
        a.told(10.0, object(n, 5.0));
    }
    let all: Vec<_> = a.after(20.0, 0).collect();
    assert!(b.received(30.0, 1, all[0].clone()).is_some());
    assert!(b.received(31.0, 1, all[0].clone()).is_none(), "told already");
    let (news, number) = b.received(32.0, 1, all[1].clone()).unwrap();
    assert_eq!((news, number), (object(1, 15.0), 2));
    vouch(&mut b, 1, 33.0, 34.0, 2);
    assert_eq!(b.trust(40.0, "a"), Ok(()));
    b.received(41.0, 1, all[3].clone());
    assert_eq!((b.gaps, b.has(1)), (1, 4));
    vouch(&mut b, 1, 42.0, 43.0, 4);
    assert_eq!(b.trust(44.0, "a"), Err(Doubt::Missed));
    assert!(b.received(45.0, 1, all[2].clone()).is_none(), "too late: what came after it is here");
    vouch(&mut b, 1, 10_042.0, 10_043.0, 4);
    assert_eq!(b.trust(10_044.0, "a"), Ok(()), "the copies that it could have voided are gone");
}

#[test]
fn the_lease_counts_from_the_question_and_only_where_nothing_is_missing() {
    let (mut a, mut b) = (log("a", 1), log("b", 2));
    greet(&mut a, &mut b, ["a", "b"], [1, 2], 0.0);
    assert_eq!(b.trust(1.0, "a"), Err(Doubt::Lease), "nothing was said yet");
    vouch(&mut b, 1, 100.0, 650.0, 0);
    assert_eq!(b.trust(799.0, "a"), Ok(()));
    assert_eq!(b.trust(800.0, "a"), Err(Doubt::Lease), "700 ms after the question, however late the answer");
    vouch(&mut b, 1, 900.0, 910.0, 5);
    assert_eq!(b.trust(911.0, "a"), Err(Doubt::Lease), "five purges are on their way");
}

#[test]
fn a_clock_that_differs_too_much_is_not_trusted() {
    let (mut a, mut b) = (log("a", 1), log("b", 2));
    greet(&mut a, &mut b, ["a", "b"], [1, 2], 0.0);
    b.vouched(20.0, 20.0, 1, 10.0, &Beat { clock: 515.0, ..Beat::default() });
    assert_eq!(b.trust(30.0, "a"), Err(Doubt::Clock));
    assert_eq!(b.skew("a"), Some(500.0));
}

#[test]
fn a_new_process_is_trusted_as_far_back_as_it_knows() {
    let short = TrustLimits { known: 0.0, ..TRUST };
    let mut a = Purges::new("a", 1, short, 1000.0);
    let mut b = log("b", 2);
    greet(&mut a, &mut b, ["a", "b"], [1, 2], 3000.0);
    vouch(&mut b, 1, 3000.0, 3001.0, 0);
    assert_eq!(b.trust(3002.0, "a"), Err(Doubt::Missed), "it knows two seconds; a copy lives ten");
    vouch(&mut b, 1, 11_000.0, 11_001.0, 0);
    assert_eq!(b.trust(11_002.0, "a"), Ok(()));
}

#[test]
fn what_a_peer_has_is_not_sent_again() {
    let (mut a, mut b) = (log("a", 1), log("b", 2));
    greet(&mut a, &mut b, ["a", "b"], [1, 2], 0.0);
    for n in 0..3 {
        a.told(10.0, object(n, 0.0));
    }
    let first: Vec<_> = a.after(11.0, 0).collect();
    b.received(12.0, 1, first[0].clone());
    b.received(12.0, 1, first[1].clone());
    let [from, _] = greet(&mut a, &mut b, ["a", "b"], [1, 2], 500.0);
    let rest: Vec<u64> = a.after(500.0, from).map(|p| p.number).collect();
    assert_eq!(rest, [3]);
    // Another process under that name has nothing.
    let mut new = log("b", 3);
    let [from, _] = greet(&mut a, &mut new, ["a", "b"], [1, 3], 600.0);
    assert_eq!(a.after(600.0, from).count(), 3);
}

#[test]
fn purges_go_round_a_ring_once() {
    let names = ["a", "b", "c"];
    let mut logs: Vec<Purges> = (0..3).map(|i| log(names[i], i as u64 + 1)).collect();
    let mut pair = |i: usize, j: usize| {
        let mut one = std::mem::replace(&mut logs[i], log("x", 99));
        greet(&mut one, &mut logs[j], [names[i], names[j]], [i as u64 + 1, j as u64 + 1], 0.0);
        logs[i] = one;
    };
    pair(0, 1);
    pair(1, 2);
    pair(2, 0);
    logs[0].told(10.0, object(7, 0.0));
    let mut heard = [0; 3];
    for _ in 0..6 {
        for from in 0..3 {
            let all: Vec<_> = logs[from].after(20.0, 0).collect();
            for to in (0..3).filter(|to| *to != from) {
                for purge in &all {
                    heard[to] +=
                        usize::from(logs[to].received(20.0, from as u64 + 1, purge.clone()).is_some());
                }
            }
        }
    }
    assert_eq!(heard, [0, 1, 1]);
    assert!(logs.iter().all(|l| l.last() == 1), "the log does not grow by relays of what is known");
}

#[test]
fn a_copy_may_answer_unless_a_purge_after_it_is_to_be_obeyed() {
    let mut a = log("a", 1);
    a.told(5000.0, object(7, 100.0));
    assert!(a.may_answer(5400.0, 7, 3, 4000.0), "the news is younger than half of the grace");
    assert!(!a.may_answer(5500.0, 7, 3, 4000.0));
    assert!(a.may_answer(5500.0, 7, 3, 4900.0), "given out at the purge or after it");
    assert!(a.may_answer(5500.0, 8, 3, 4000.0), "another object of the group");
    a.told(5000.0, News { object: None, group: 3, age: 0.0 });
    assert!(!a.may_answer(5500.0, 8, 3, 4000.0));
    a.tick(16_000.0);
    assert!(a.is_empty() && a.may_answer(16_000.0, 7, 3, 0.0), "copies that old are gone by themselves");
}
