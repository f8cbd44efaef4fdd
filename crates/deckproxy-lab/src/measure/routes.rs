//! Look-ups of routes: the index beside a walk over the list.

use super::{Options, show};
use deckproxy_sites::routes::{RouteRule, RouteTable, find_linear, validate};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::hint::black_box;
use std::time::Instant;

/// Runs it.
pub fn run(options: &Options) {
    let mut rng = Pcg64Mcg::seed_from_u64(options.seed);
    let mut rows = Vec::new();
    for count in [10usize, 1000, 100_000] {
        let rules: Vec<RouteRule> = (0..count)
            .map(|i| {
                // Spread prefixes of 4 to 7 digits, each its own.
                let digits = 4 + (i % 4) as u32;
                let prefix = (i as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15) & u64::MAX << (64 - 4 * digits);
                RouteRule {
                    class: None,
                    prefix,
                    prefix_digits: digits,
                    groups: (0, 255),
                    home: "b".into(),
                    via: None,
                    copies_allowed: false,
                }
            })
            .collect();
        let mut seen = std::collections::HashSet::new();
        let rules: Vec<RouteRule> =
            rules.into_iter().filter(|r| seen.insert((r.prefix, r.prefix_digits))).collect();
        let start = Instant::now();
        let faults = validate("a", &["b"], &rules).len();
        let checked = start.elapsed();
        let start = Instant::now();
        let routes = RouteTable::new("a", rules.clone());
        let built = start.elapsed();
        let objects: Vec<u64> = (0..100_000).map(|_| rng.random()).collect();
        let time = |objects: &[u64], find: &dyn Fn(u64) -> bool| {
            let start = Instant::now();
            let hits = objects.iter().filter(|o| find(**o)).count();
            (start.elapsed().as_nanos() as f64 / objects.len() as f64, hits)
        };
        let (index, hits) = time(&objects, &|o| black_box(routes.find("page", 7, o)).is_some());
        // The list takes long: fewer look-ups, the first of the same.
        let few = &objects[..(2_000_000 / count).clamp(20, objects.len())];
        let (list, plain) = time(few, &|o| black_box(find_linear("a", &rules, "page", 7, o)).is_some());
        let (_, same) = time(few, &|o| routes.find("page", 7, o).is_some());
        assert_eq!((faults, plain), (0, same), "the index and the list differ");
        rows.push(vec![
            rules.len().to_string(),
            format!("{index:.0}"),
            format!("{list:.0}"),
            format!("{:.0}", list / index),
            format!("{}", routes.index_bytes() / rules.len()),
            format!("{:.1} / {:.1}", checked.as_secs_f64() * 1000.0, built.as_secs_f64() * 1000.0),
            hits.to_string(),
        ]);
    }
    show(
        &["routes", "index, ns", "list, ns", "ratio", "bytes a route", "check / build, ms", "hits of 100000"],
        &rows,
    );
}
