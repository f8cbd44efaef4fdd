//! The meter: sums are exact however flows are folded, memory is bounded, and heavy hitters are within their
//! error bound.

use deckproxy_flow::meter::{
    EndReason, Flow, HeavyHitter, HeavyHitters, Key, Leg, Limits, Meter, Outcome, Update,
};
use proptest::prelude::*;
use std::collections::HashMap;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr};

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 200,
        rng_seed: proptest::test_runner::RngSeed::Fixed(17),
        ..ProptestConfig::default()
    }
}

/// The key of a client's flow: on the client leg, or on the member leg if a member is given.
fn key(meter: &Meter, client: IpAddr, class: u32, member: u32, outcome: Outcome) -> Key {
    let leg = if member == 0 { Leg::Client } else { Leg::Member };
    Key { client: Some(meter.client(client)), class, member, outcome: Some(outcome), ..Key::of(leg) }
}

fn v4(n: u32) -> IpAddr {
    Ipv4Addr::from(n).into()
}

fn served(bytes_to_client: u64) -> Update {
    Update { bytes_to_client, bytes_from_client: 3, requests: 1, latency: Some(700) }
}

fn sums<'a>(flows: impl IntoIterator<Item = &'a Flow>) -> [u64; 3] {
    let add = |s: [u64; 3], f: &Flow| {
        [s[0] + f.counts.bytes_to_client, s[1] + f.counts.bytes_from_client, s[2] + f.counts.requests]
    };
    flows.into_iter().fold([0; 3], add)
}

proptest! {
    #![proptest_config(config())]

    /// Compares the meter with an unbounded map: the sums in total and by leg are equal however small the table is,
    /// and those by class as long as no update is counted in an overflow entry.
    #[test]
    fn sums_are_exact_however_much_is_folded(
        steps in prop::collection::vec((any::<u32>(), 1u32..4, 0u32..5, 0u64..1 << 34, 0u64..400), 1..600),
        entries in 16usize..64,
    ) {
        let mut meter = Meter::new(Limits { entries, active_timeout: 500, idle_timeout: 100, ..Limits::default() });
        let mut expected: HashMap<u32, [u64; 3]> = HashMap::new();
        let mut legs: HashMap<Leg, [u64; 3]> = HashMap::new();
        let (mut exported, mut now) = (Vec::new(), 1000u64);
        for (client, class, member, bytes_to_client, later) in steps {
            // Sometimes the clock is set back.
            now = if later > 390 { now.saturating_sub(300) } else { now + later / 10 };
            let client = if client % 5 == 0 { IpAddr::from(Ipv6Addr::from(u128::from(client) << 90)) } else { v4(client) };
            let outcome = if bytes_to_client % 2 == 0 { Outcome::Served } else { Outcome::Canceled };
            meter.count(now, key(&meter, client, class, member, outcome), &served(bytes_to_client));
            let leg = if member == 0 { Leg::Client } else { Leg::Member };
            for sum in [expected.entry(class).or_default(), legs.entry(leg).or_default()] {
                *sum = [sum[0] + bytes_to_client, sum[1] + 3, sum[2] + 1];
            }
            prop_assert!(meter.len() <= entries);
            meter.take_due(now, 3, &mut exported);
        }
        exported.extend(meter.take_all());
        prop_assert!(meter.is_empty());
        let all = expected.values().fold([0; 3], |a, b| [a[0] + b[0], a[1] + b[1], a[2] + b[2]]);
        prop_assert_eq!(sums(&exported), all);
        // Folding never mixes bytes of different legs.
        for (leg, sum) in legs {
            prop_assert_eq!(sums(exported.iter().filter(|f| f.key.leg == leg)), sum);
        }
        if meter.overflows == 0 {
            for (class, sum) in expected {
                prop_assert_eq!(sums(exported.iter().filter(|f| f.key.class == class)), sum);
            }
        }
    }

    #[test]
    fn the_sum_of_a_heavy_hitter_is_within_its_error(adds in prop::collection::vec((0u32..60, 1u64..1000), 1..800), slots in 1usize..40) {
        let mut top = HeavyHitters::new(slots);
        let mut expected: HashMap<u32, u64> = HashMap::new();
        for (key, amount) in adds {
            top.add(key, amount);
            *expected.entry(key).or_default() += amount;
        }
        let total: u64 = expected.values().sum();
        for HeavyHitter { key, sum, error } in top.top(slots) {
            prop_assert!(sum >= expected[&key] && sum - error <= expected[&key]);
            prop_assert!(error <= total / slots as u64);
        }
        // Each key whose sum exceeds the total divided by the number of slots is found.
        let found: Vec<u32> = top.top(slots).into_iter().map(|hitter| hitter.key).collect();
        for (key, sum) in &expected {
            prop_assert!(*sum <= total / slots as u64 || found.contains(key));
        }
    }
}

#[test]
fn a_scan_of_addresses_exceeds_no_limit_and_loses_no_counts() {
    let mut meter = Meter::new(Limits { entries: 1000, ..Limits::default() });
    // One busy client among 65,536 clients with one request each.
    let busy = key(&meter, v4(0x7f00_0001), 1, 0, Outcome::Served);
    let mut most = 0;
    for n in 0..65_536u32 {
        meter.count(10, key(&meter, v4(0x0a00_0000 + n * 256), 1, 0, Outcome::Served), &served(100));
        meter.count(10, busy, &served(1000));
        most = most.max(meter.memory_bytes());
    }
    assert!(meter.len() <= 1000);
    assert!(most < 1000 * 1000, "{most} bytes for 1000 entries");
    let flows = meter.take_all();
    assert_eq!(sums(&flows), [65_536 * 1100, 65_536 * 2 * 3, 65_536 * 2]);
    let busiest = flows.iter().find(|f| f.key == busy).expect("the largest flow is not folded");
    assert_eq!(busiest.counts.requests, 65_536);
    assert!(
        flows.iter().filter(|f| f.key.folded == 1).count() > 100,
        "the other flows are folded to wider prefixes"
    );
}

#[test]
fn a_burst_of_short_requests_is_counted_completely() {
    let mut meter = Meter::new(Limits::default());
    for n in 0..100_000u64 {
        let key = key(&meter, v4((n % 5000) as u32), 2, (n % 7) as u32, Outcome::Served);
        meter.count(
            1_000_000 + n / 100,
            key,
            &Update { bytes_to_client: 40, bytes_from_client: 60, requests: 1, latency: Some(100) },
        );
    }
    let flows = meter.take_all();
    assert_eq!(sums(&flows), [4_000_000, 6_000_000, 100_000]);
}

#[test]
fn flows_are_exported_when_idle_when_old_and_at_the_end() {
    let mut meter = Meter::new(Limits { active_timeout: 1000, idle_timeout: 100, ..Limits::default() });
    let key = meter_key;
    let reasons =
        |flows: &[Flow]| flows.iter().map(|f| (f.key, f.reason, f.counts.requests)).collect::<Vec<_>>();
    meter.count(0, key(1), &served(10));
    meter.count(50, key(2), &served(10));
    let mut exported = Vec::new();
    assert!(meter.take_due(100, 10, &mut exported), "it reached the end of the table");
    assert_eq!(reasons(&exported), [(key(1), EndReason::Idle, 1)]);
    for now in (60..1060).step_by(50) {
        meter.count(now, key(2), &served(10));
    }
    exported.clear();
    meter.take_due(1055, 10, &mut exported);
    assert_eq!(reasons(&exported), [(key(2), EndReason::Active, 21)]);
    meter.count(1056, key(2), &served(1 << 40));
    meter.count(1056, key(2), &served(1 << 40));
    let end = meter.take_all();
    assert_eq!(reasons(&end), [(key(2), EndReason::End, 2)]);
    assert_eq!(end[0].counts.bytes_to_client, 2 << 40, "beyond 2^32");
}

fn meter_key(n: u32) -> Key {
    key(&Meter::new(Limits::default()), v4(n), 1, 0, Outcome::Served)
}

#[test]
fn no_flow_ends_before_its_start_when_the_clock_is_set_back() {
    let mut meter = Meter::new(Limits { active_timeout: 1000, idle_timeout: 100, ..Limits::default() });
    meter.count(1_000_000, meter_key(1), &served(10));
    meter.count(5_000, meter_key(1), &served(10));
    meter.count(900_000, meter_key(2), &served(10));
    let mut exported = Vec::new();
    meter.take_due(5_000, 10, &mut exported);
    meter.take_due(5_200, 10, &mut exported);
    assert_eq!(sums(&exported)[2] + sums(&meter.take_all())[2], 3);
    assert!(exported.iter().all(|f| f.counts.first <= f.counts.last));
}

#[test]
fn the_percentile_is_at_most_twice_too_high() {
    let mut meter = Meter::new(Limits::default());
    for n in 0..1000u64 {
        let latency = if n < 985 { 900 } else { 50_000 };
        meter.count(0, meter_key(1), &Update { latency: Some(latency), requests: 1, ..Update::default() });
    }
    let p99 = meter.take_all()[0].counts.p99();
    assert!((50_000..=100_000).contains(&p99), "{p99}");
}
