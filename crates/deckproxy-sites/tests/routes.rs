//! Routes: the index against a walk over all rules, and what is refused.

use deckproxy_sites::routes::{Routes, Rule, check, check_together, find_plainly};
use proptest::prelude::*;

fn rule(class: Option<&str>, prefix: u64, digits: u32, groups: (u32, u32), home: &str) -> Rule {
    let kept = if digits == 0 { 0 } else { prefix & u64::MAX << (64 - 4 * digits) };
    Rule {
        class: class.map(str::to_string),
        prefix: kept,
        digits,
        groups,
        home: home.into(),
        via: None,
        copies: false,
    }
}

fn rules() -> impl Strategy<Value = Vec<Rule>> {
    let class = prop::option::of(prop::sample::select(vec!["page", "video"]));
    let prefix = prop_oneof![any::<u64>(), (0u64..4).prop_map(|n| n << 60 | n << 52), Just(u64::MAX)];
    let groups = prop_oneof![
        Just((0, 255)),
        (0u32..8, 0u32..8).prop_map(|(a, b)| (a.min(b) * 32, a.max(b) * 32 + 31))
    ];
    let home = prop::sample::select(vec!["a", "b", "c"]);
    let one = (class, prefix, prop_oneof![0u32..4, 15u32..17], groups, home);
    prop::collection::vec(one.prop_map(|(c, p, d, g, h)| rule(c, p, d, g, h)), 0..40)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 600, rng_seed: proptest::test_runner::RngSeed::Fixed(16), ..Default::default() })]

    #[test]
    fn the_index_finds_what_a_walk_finds(rules in rules(), others in prop::collection::vec(any::<u64>(), 8)) {
        // Those that the check refuses are left out, one by one.
        let mut good: Vec<Rule> = Vec::new();
        for rule in rules {
            good.push(rule);
            if !check("a", &["b", "c"], &good).is_empty() {
                good.pop();
            }
        }
        let routes = Routes::new("a", good.clone());
        let edges = good.iter().flat_map(|r| {
            let width = if r.digits == 0 { u64::MAX } else { u64::MAX.checked_shr(4 * r.digits).unwrap_or(0) };
            [r.prefix, r.prefix.wrapping_sub(1), r.prefix | width, (r.prefix | width).wrapping_add(1)]
        });
        for object in edges.chain(others) {
            for (class, group) in [("page", 0), ("page", 77), ("video", 255), ("other", 40)] {
                let plain = find_plainly("a", &good, class, group, object);
                prop_assert_eq!(routes.find(class, group, object), plain, "{:016x} {} {}", object, class, group);
            }
        }
    }

    #[test]
    fn two_that_match_the_same_are_refused(rules in rules()) {
        let meets = |a: &Rule, b: &Rule| {
            a.class == b.class && a.prefix == b.prefix && a.digits == b.digits
                && a.groups.0 <= b.groups.1 && b.groups.0 <= a.groups.1
        };
        let doubled = rules.iter().enumerate().any(|(i, a)| rules[..i].iter().any(|b| meets(a, b)));
        let told = check("a", &["b", "c"], &rules).iter().any(|f| f.what.contains("matches the same"));
        prop_assert_eq!(told, doubled);
    }
}

#[test]
fn the_longest_prefix_counts_and_then_the_class() {
    let rules = vec![
        rule(None, 0, 0, (0, 255), "b"),
        rule(Some("page"), 0, 0, (0, 255), "c"),
        rule(None, 0x7 << 60, 1, (0, 127), "a"),
        rule(None, 0x7f << 56, 2, (0, 255), "b"),
    ];
    let routes = Routes::new("a", rules);
    let home = |class, group, object| routes.find(class, group, object).map(|r| r.home.as_str());
    assert_eq!(home("video", 0, 1), Some("b"));
    assert_eq!(home("page", 0, 1), Some("c"));
    assert_eq!(home("page", 127, 0x71 << 56), None, "this site's own");
    assert_eq!(
        home("page", 128, 0x71 << 56),
        Some("c"),
        "the group is not in that route: the next one round it"
    );
    assert_eq!(home("page", 0, 0x7f12 << 48), Some("b"));
}

#[test]
fn each_fault_names_its_route_and_field() {
    let mut rules = vec![
        rule(None, 0, 0, (0, 255), "west"),
        rule(None, 1 << 60, 1, (0, 255), "b"),
        rule(None, 2 << 60, 1, (0, 255), "a"),
        rule(None, 3 << 60, 1, (0, 255), "c"),
    ];
    rules[1].via = Some("a".into());
    rules[2].copies = true;
    rules[3].via = Some("b".into());
    let faults: Vec<(usize, &str)> = check("a", &["b"], &rules).iter().map(|f| (f.route, f.field)).collect();
    assert_eq!(faults, [(0, "home"), (1, "via"), (2, "mode")]);
}

#[test]
fn ways_that_go_round_are_found_over_several_files() {
    let by = |home: &str, via: &str| Rule { via: Some(via.into()), ..rule(None, 7 << 60, 1, (0, 255), home) };
    let ring = vec![
        ("a".to_string(), vec![by("c", "b")], 3),
        ("b".to_string(), vec![by("c", "a")], 3),
        ("c".to_string(), vec![], 3),
    ];
    let faults = check_together(&ring);
    assert_eq!(faults.len(), 2);
    assert!(faults[0].1.contains("a > b > a"), "{faults:?}");
    let mut line = ring.clone();
    line[1].1 = vec![rule(None, 7 << 60, 1, (0, 255), "c")];
    assert_eq!(check_together(&line), []);
    line[0].2 = 1;
    assert!(check_together(&line)[0].1.contains("over 1 hops"));
    // Only a part of what the first file routes goes round: a longer prefix in the second one does that.
    let mut part = ring;
    part[1].1 = vec![
        rule(None, 7 << 60, 1, (0, 255), "c"),
        Rule { via: Some("a".into()), ..rule(None, 0x7b << 56, 2, (9, 20), "c") },
    ];
    let faults = check_together(&part);
    assert!(faults.iter().any(|(file, what)| *file == 0 && what.contains("7b00000000000000")), "{faults:?}");
}
