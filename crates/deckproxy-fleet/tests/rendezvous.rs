//! The assignment of observers to members, and the bound on health checks over all partitions of a fleet.

use deckproxy_fleet::instance::Name;
use deckproxy_fleet::rendezvous::{Candidate, observers};
use deckproxy_fleet::view::{View, is_majority};
use std::collections::BTreeMap;

fn fleet(n: usize, zones: usize) -> Vec<Candidate> {
    let one = |i: usize| Candidate {
        name: Name::from(format!("i{i:03}")),
        zone: Name::from(format!("z{}", i % zones)),
        weight: 1,
    };
    (0..n).map(one).collect()
}

#[test]
fn observers_in_the_members_zone_come_first_and_the_load_is_even() {
    let all = fleet(12, 3);
    let mut counts: BTreeMap<usize, usize> = BTreeMap::new();
    for m in 0..3000 {
        let zone = format!("z{}", m % 3);
        let two = observers(&format!("m{m}"), &zone, &all, 2);
        assert_eq!(two.len(), 2);
        assert!(two.iter().all(|i| *all[*i].zone == *zone));
        for i in two {
            *counts.entry(i).or_default() += 1;
        }
    }
    assert!(counts.values().all(|n| (400..600).contains(n)), "{counts:?}");
    // In a zone without enough instances, observers of other zones are added.
    let few: Vec<Candidate> =
        all.iter().filter(|c| &*c.zone != "z1" || &*c.name == "i001").cloned().collect();
    let two = observers("m1", "z1", &few, 2);
    assert_eq!(&*few[two[0]].name, "i001");
    assert_ne!(&*few[two[1]].zone, "z1");
}

#[test]
fn only_the_members_of_a_lost_instance_get_other_observers() {
    let all = fleet(10, 1);
    let rest: Vec<Candidate> = all.iter().filter(|c| &*c.name != "i004").cloned().collect();
    let mut moved = 0;
    for m in 0..1000 {
        let name = format!("m{m}");
        let names = |all: &[Candidate]| -> Vec<Name> {
            observers(&name, "z0", all, 2).into_iter().map(|i| all[i].name.clone()).collect()
        };
        let (before, after) = (names(&all), names(&rest));
        let kept = before.iter().filter(|n| after.contains(n)).count();
        assert_eq!(kept, 2 - usize::from(before.iter().any(|n| &**n == "i004")));
        moved += 2 - kept;
    }
    assert!((150..250).contains(&moved), "{moved} of 2000, a tenth is intended");
}

#[test]
fn shares_are_proportional_to_weights() {
    let mut all = fleet(5, 1);
    all[0].weight = 4;
    let first = (0..4000).filter(|m| observers(&format!("m{m}"), "z0", &all, 1) == [0]).count();
    assert!((1800..2200).contains(&first), "{first} of 4000, half is intended");
}

fn rate(confirmed: usize, expected: usize, has_first: bool) -> f64 {
    let is_majority = is_majority(confirmed, expected, has_first);
    let (is_settled, is_stale) = (true, false);
    View { expected, alive: confirmed, confirmed, since: 0.0, is_majority, is_settled, is_stale }.rate()
}

/// The health checks of one member relative to the intended number, if the instances of each part of a fleet reach only each
/// other.
fn load(parts: &[Vec<usize>], n: usize, observer_count: usize) -> f64 {
    let each = parts.iter().map(|part| {
        rate(part.len(), n, part.contains(&0)) * part.len().min(observer_count) as f64
            / observer_count.min(n) as f64
    });
    each.sum()
}

/// All partitions of a set.
fn partitions(n: usize) -> Vec<Vec<Vec<usize>>> {
    if n == 0 {
        return vec![vec![]];
    }
    let mut out = Vec::new();
    for parts in partitions(n - 1) {
        for i in 0..parts.len() {
            let mut with = parts.clone();
            with[i].push(n - 1);
            out.push(with);
        }
        let mut alone = parts;
        alone.push(vec![n - 1]);
        out.push(alone);
    }
    out
}

#[test]
fn the_load_is_at_most_one_and_a_half_over_all_partitions() {
    let mut worst: f64 = 0.0;
    for n in 1..=9 {
        for parts in partitions(n) {
            for observer_count in 1..=3 {
                let load = load(&parts, n, observer_count);
                worst = worst.max(load);
                assert!(load <= 1.5 + 1e-9, "{parts:?} with {observer_count} observers: {load}");
            }
        }
    }
    assert!(worst > 1.3, "the bound is almost reached: {worst}");
}

/// Bounds the checks of a member where views do not form partitions and each instance reaches any set of others. This is the
/// bound of the rule in `View::rate` alone: SWIM and the gossip store route around a broken path, so that such views do not
/// last.
#[test]
fn the_load_is_bounded_over_all_views_of_five_instances() {
    let n = 5usize;
    let mut worst: f64 = 0.0;
    // The instances are in the order of their scores for the member: the first two in a view observe it.
    for views in 0..(1u32 << (n * (n - 1))) {
        let mut sum = 0.0;
        for i in 0..n {
            let others = views >> (i * (n - 1)) & 0b1111;
            // Bit j of `others` is instance j, or instance j + 1 if j >= i.
            let better = (0..i).filter(|j| others >> j & 1 == 1).count();
            if better < 2 {
                let reachable = 1 + others.count_ones() as usize;
                sum += rate(reachable, n, true) / 2.0;
            }
        }
        worst = worst.max(sum);
    }
    assert!((2.0..=2.2).contains(&worst), "{worst}");
}
