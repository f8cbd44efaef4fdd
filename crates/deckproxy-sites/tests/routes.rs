//! `RouteTable`: the index compared with a linear search, and the validation of rules.

use deckproxy_sites::routes::{
    ForwardingError, RouteRule, RouteTable, SiteRoutes, find_linear, validate, validate_together,
};
use proptest::prelude::*;

fn rule(class: Option<&str>, prefix: u64, digits: u32, groups: (u32, u32), home: &str) -> RouteRule {
    let masked = if digits == 0 { 0 } else { prefix & u64::MAX << (64 - 4 * digits) };
    RouteRule {
        class: class.map(str::to_string),
        prefix: masked,
        prefix_digits: digits,
        groups,
        home: home.into(),
        via: None,
        copies_allowed: false,
    }
}

fn rules() -> impl Strategy<Value = Vec<RouteRule>> {
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
    fn the_index_finds_the_route_of_a_linear_search(rules in rules(), others in prop::collection::vec(any::<u64>(), 8)) {
        // Rules that `validate` rejects are left out, one at a time.
        let mut valid: Vec<RouteRule> = Vec::new();
        for rule in rules {
            valid.push(rule);
            if !validate("a", &["b", "c"], &valid).is_empty() {
                valid.pop();
            }
        }
        let routes = RouteTable::new("a", valid.clone());
        let edges = valid.iter().flat_map(|r| {
            let width = if r.prefix_digits == 0 { u64::MAX } else { u64::MAX.checked_shr(4 * r.prefix_digits).unwrap_or(0) };
            [r.prefix, r.prefix.wrapping_sub(1), r.prefix | width, (r.prefix | width).wrapping_add(1)]
        });
        for object in edges.chain(others) {
            for (class, group) in [("page", 0), ("page", 77), ("video", 255), ("other", 40)] {
                let expected = find_linear("a", &valid, class, group, object);
                prop_assert_eq!(routes.find(class, group, object), expected, "{:016x} {} {}", object, class, group);
            }
        }
    }

    #[test]
    fn rules_that_match_the_same_requests_are_reported(rules in rules()) {
        let overlap = |a: &RouteRule, b: &RouteRule| {
            a.class == b.class && a.prefix == b.prefix && a.prefix_digits == b.prefix_digits
                && a.groups.0 <= b.groups.1 && b.groups.0 <= a.groups.1
        };
        let expected = rules.iter().enumerate().any(|(i, a)| rules[..i].iter().any(|b| overlap(a, b)));
        let reported = validate("a", &["b", "c"], &rules).iter().any(|f| f.to_string().contains("matches the same"));
        prop_assert_eq!(reported, expected);
    }
}

#[test]
fn the_longest_prefix_takes_precedence_and_then_the_class() {
    let rules = vec![
        rule(None, 0, 0, (0, 255), "b"),
        rule(Some("page"), 0, 0, (0, 255), "c"),
        rule(None, 0x7 << 60, 1, (0, 127), "a"),
        rule(None, 0x7f << 56, 2, (0, 255), "b"),
    ];
    let routes = RouteTable::new("a", rules);
    let home = |class, group, object| routes.find(class, group, object).map(|r| r.home.as_str());
    assert_eq!(home("video", 0, 1), Some("b"));
    assert_eq!(home("page", 0, 1), Some("c"));
    assert_eq!(home("page", 127, 0x71 << 56), None, "this site's own");
    assert_eq!(
        home("page", 128, 0x71 << 56),
        Some("c"),
        "the group is not in that route: the enclosing prefix applies"
    );
    assert_eq!(home("page", 0, 0x7f12 << 48), Some("b"));
}

#[test]
fn each_error_names_its_route_and_field() {
    let mut rules = vec![
        rule(None, 0, 0, (0, 255), "west"),
        rule(None, 1 << 60, 1, (0, 255), "b"),
        rule(None, 2 << 60, 1, (0, 255), "a"),
        rule(None, 3 << 60, 1, (0, 255), "c"),
    ];
    rules[1].via = Some("a".into());
    rules[2].copies_allowed = true;
    rules[3].via = Some("b".into());
    let errors = validate("a", &["b"], &rules);
    let fields: Vec<(usize, &str)> = errors.iter().map(|error| (error.route, error.field)).collect();
    assert_eq!(fields, [(0, "home"), (1, "via"), (2, "mode")]);
}

#[test]
fn loops_and_long_paths_are_found_across_sites() {
    let via =
        |home: &str, via: &str| RouteRule { via: Some(via.into()), ..rule(None, 7 << 60, 1, (0, 255), home) };
    let site = |site: &str, rules: Vec<RouteRule>| SiteRoutes { site: site.into(), rules, max_hops: 3 };
    let ring = vec![site("a", vec![via("c", "b")]), site("b", vec![via("c", "a")]), site("c", vec![])];
    let errors = validate_together(&ring);
    assert_eq!(errors.len(), 2);
    assert!(errors[0].to_string().contains("a > b > a"), "{errors:?}");
    let mut line = ring.clone();
    line[1].rules = vec![rule(None, 7 << 60, 1, (0, 255), "c")];
    assert_eq!(validate_together(&line), []);
    line[0].max_hops = 1;
    assert!(validate_together(&line)[0].to_string().contains("over 1 hops"));
    // Only some of the requests that the first site's route matches loop, because of a longer prefix on the second
    // site.
    let mut partial = ring;
    partial[1].rules = vec![
        rule(None, 7 << 60, 1, (0, 255), "c"),
        RouteRule { via: Some("a".into()), ..rule(None, 0x7b << 56, 2, (9, 20), "c") },
    ];
    let errors = validate_together(&partial);
    let is_found =
        |error: &ForwardingError| error.site == 0 && error.to_string().contains("7b00000000000000");
    assert!(errors.iter().any(is_found), "{errors:?}");
}
