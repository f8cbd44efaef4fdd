//! The purge log: numbering, gaps, relaying and the lease.

use deckproxy_sites::TrustLimits;
use deckproxy_sites::frame::{Heartbeat, Hello};
use deckproxy_sites::purges::{Distrust, PurgeLog, PurgeNotice};

const TRUST: TrustLimits = TrustLimits {
    purge_grace: 1000.0,
    lease: 700.0,
    known_purge_history: 60_000.0,
    serve_when_partitioned: false,
    max_clock_skew: 100.0,
    copy_lifetime: 10_000.0,
};

fn log(site: &str, epoch: u64) -> PurgeLog {
    PurgeLog::new(site, epoch, TRUST, 0.0)
}

/// Exchanges hellos. Returns for each side the number of its last purge that the other side acknowledged.
fn exchange_hellos(
    a: &mut PurgeLog,
    b: &mut PurgeLog,
    names: [&str; 2],
    epochs: [u64; 2],
    now: f64,
) -> [u64; 2] {
    let hello = |site: &str| Hello { site: site.into(), ..Hello::default() };
    let from_a = a.fill_hello(now, Some(epochs[1]), hello(names[0]));
    let from_b = b.fill_hello(now, Some(epochs[0]), hello(names[1]));
    [a.hello_received(now, &from_b), b.hello_received(now, &from_a)]
}

fn object(object: u64, age: f64) -> PurgeNotice {
    PurgeNotice { object: Some(object), group: 3, age }
}

fn receive_pong(log: &mut PurgeLog, from: u64, sent_at: f64, now: f64, purges: u64) {
    let unix_time = (sent_at + now) / 2.0;
    log.pong_received(
        now,
        now,
        from,
        sent_at,
        &Heartbeat { unix_time, last_purge: purges, ..Heartbeat::default() },
    );
}

#[test]
fn duplicate_and_reordered_purges_apply_once_and_gaps_are_found() {
    let (mut a, mut b) = (log("a", 1), log("b", 2));
    exchange_hellos(&mut a, &mut b, ["a", "b"], [1, 2], 0.0);
    for n in 0..4 {
        a.purge_notified(10.0, object(n, 5.0));
    }
    let all: Vec<_> = a.entries_after(20.0, 0).collect();
    assert!(b.purge_received(30.0, 1, all[0].clone()).is_some());
    assert!(b.purge_received(31.0, 1, all[0].clone()).is_none(), "received already");
    let (purge, number) = b.purge_received(32.0, 1, all[1].clone()).unwrap();
    assert_eq!((purge, number), (object(1, 15.0), 2));
    receive_pong(&mut b, 1, 33.0, 34.0, 2);
    assert_eq!(b.check_trust(40.0, "a"), Ok(()));
    b.purge_received(41.0, 1, all[3].clone());
    assert_eq!((b.gaps, b.last_received_from(1)), (1, 4));
    receive_pong(&mut b, 1, 42.0, 43.0, 4);
    assert_eq!(b.check_trust(44.0, "a"), Err(Distrust::PurgesMissed));
    assert!(b.purge_received(45.0, 1, all[2].clone()).is_none(), "too late: a later one was received");
    receive_pong(&mut b, 1, 10_042.0, 10_043.0, 4);
    assert_eq!(b.check_trust(10_044.0, "a"), Ok(()), "the copies that it could have voided have expired");
}

#[test]
fn the_lease_runs_from_the_heartbeat_and_only_while_no_purge_is_missing() {
    let (mut a, mut b) = (log("a", 1), log("b", 2));
    exchange_hellos(&mut a, &mut b, ["a", "b"], [1, 2], 0.0);
    assert_eq!(
        b.check_trust(1.0, "a"),
        Err(Distrust::LeaseExpired),
        "no response to a heartbeat was received yet"
    );
    receive_pong(&mut b, 1, 100.0, 650.0, 0);
    assert_eq!(b.check_trust(799.0, "a"), Ok(()));
    assert_eq!(
        b.check_trust(800.0, "a"),
        Err(Distrust::LeaseExpired),
        "700 ms after the heartbeat was sent, however late the response"
    );
    receive_pong(&mut b, 1, 900.0, 910.0, 5);
    assert_eq!(
        b.check_trust(911.0, "a"),
        Err(Distrust::LeaseExpired),
        "five purges have not been received yet"
    );
}

#[test]
fn a_site_with_too_large_a_clock_skew_is_not_trusted() {
    let (mut a, mut b) = (log("a", 1), log("b", 2));
    exchange_hellos(&mut a, &mut b, ["a", "b"], [1, 2], 0.0);
    b.pong_received(20.0, 20.0, 1, 10.0, &Heartbeat { unix_time: 515.0, ..Heartbeat::default() });
    assert_eq!(b.check_trust(30.0, "a"), Err(Distrust::ClockSkew));
    assert_eq!(b.clock_skew("a"), Some(500.0));
}

#[test]
fn a_new_process_is_trusted_once_its_known_history_covers_a_copy_lifetime() {
    let short = TrustLimits { known_purge_history: 0.0, ..TRUST };
    let mut a = PurgeLog::new("a", 1, short, 1000.0);
    let mut b = log("b", 2);
    exchange_hellos(&mut a, &mut b, ["a", "b"], [1, 2], 3000.0);
    receive_pong(&mut b, 1, 3000.0, 3001.0, 0);
    assert_eq!(
        b.check_trust(3002.0, "a"),
        Err(Distrust::PurgesMissed),
        "its history covers two seconds of a copy's ten"
    );
    receive_pong(&mut b, 1, 11_000.0, 11_001.0, 0);
    assert_eq!(b.check_trust(11_002.0, "a"), Ok(()));
}

#[test]
fn acknowledged_purges_are_not_sent_again() {
    let (mut a, mut b) = (log("a", 1), log("b", 2));
    exchange_hellos(&mut a, &mut b, ["a", "b"], [1, 2], 0.0);
    for n in 0..3 {
        a.purge_notified(10.0, object(n, 0.0));
    }
    let first: Vec<_> = a.entries_after(11.0, 0).collect();
    b.purge_received(12.0, 1, first[0].clone());
    b.purge_received(12.0, 1, first[1].clone());
    let [from, _] = exchange_hellos(&mut a, &mut b, ["a", "b"], [1, 2], 500.0);
    let rest: Vec<u64> = a.entries_after(500.0, from).map(|p| p.number).collect();
    assert_eq!(rest, [3]);
    // A new process of that site has received no purges.
    let mut new = log("b", 3);
    let [from, _] = exchange_hellos(&mut a, &mut new, ["a", "b"], [1, 3], 600.0);
    assert_eq!(a.entries_after(600.0, from).count(), 3);
}

#[test]
fn purges_are_relayed_around_a_ring_once() {
    let names = ["a", "b", "c"];
    let mut logs: Vec<PurgeLog> = (0..3).map(|i| log(names[i], i as u64 + 1)).collect();
    let mut pair = |i: usize, j: usize| {
        let mut one = std::mem::replace(&mut logs[i], log("x", 99));
        exchange_hellos(&mut one, &mut logs[j], [names[i], names[j]], [i as u64 + 1, j as u64 + 1], 0.0);
        logs[i] = one;
    };
    pair(0, 1);
    pair(1, 2);
    pair(2, 0);
    logs[0].purge_notified(10.0, object(7, 0.0));
    let mut received = [0; 3];
    for _ in 0..6 {
        for from in 0..3 {
            let all: Vec<_> = logs[from].entries_after(20.0, 0).collect();
            for to in (0..3).filter(|to| *to != from) {
                for purge in &all {
                    received[to] +=
                        usize::from(logs[to].purge_received(20.0, from as u64 + 1, purge.clone()).is_some());
                }
            }
        }
    }
    assert_eq!(received, [0, 1, 1]);
    assert!(logs.iter().all(|l| l.last_number() == 1), "relays of known purges are not logged");
}

#[test]
fn a_copy_may_be_served_unless_a_later_purge_is_enforced() {
    let mut a = log("a", 1);
    a.purge_notified(5000.0, object(7, 100.0));
    assert!(
        a.may_serve(5400.0, 7, 3, 4000.0),
        "the notification is more recent than half of the grace period"
    );
    assert!(!a.may_serve(5500.0, 7, 3, 4000.0));
    assert!(a.may_serve(5500.0, 7, 3, 4900.0), "issued at the purge or after it");
    assert!(a.may_serve(5500.0, 8, 3, 4000.0), "another object of the group");
    a.purge_notified(5000.0, PurgeNotice { object: None, group: 3, age: 0.0 });
    assert!(!a.may_serve(5500.0, 8, 3, 4000.0));
    a.tick(16_000.0);
    assert!(
        a.is_empty() && a.may_serve(16_000.0, 7, 3, 0.0),
        "all copies older than the purges have expired"
    );
}
