//! Look-ups of routes: the index and a walk over the list.

use super::{Options, show};
use deckproxy_sites::routes::{RouteRule, RouteTable, find_linear, validate};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::HashSet;
use std::hint::black_box;
use std::time::{Duration, Instant};

/// Numbers of routes.
const ROUTES: [usize; 3] = [10, 1000, 100_000];
/// Objects that are looked up.
const LOOKUPS: usize = 100_000;
/// Rules that the walks over a list visit in all: look-ups in a long list take long, so that there are fewer.
const VISITED_RULES: usize = 2_000_000;
/// The fewest look-ups in a list.
const LEAST_LOOKUPS: usize = 20;
/// The site whose routes are measured.
const SITE: &str = "a";
/// The class and group of the requests.
const CLASS: &str = "page";
const GROUP: u32 = 7;

/// Runs the measurement.
pub fn run(options: &Options) {
    let mut rng = Pcg64Mcg::seed_from_u64(options.seed);
    let rows: Vec<Vec<String>> = ROUTES.iter().map(|count| measure(&rules(*count), &mut rng)).collect();
    show(
        &["routes", "index, ns", "list, ns", "ratio", "bytes a route", "check / build, ms", "hits of 100000"],
        &rows,
    );
}

/// Rules with different prefixes of 4 to 7 digits that are spread over all objects.
fn rules(count: usize) -> Vec<RouteRule> {
    let mut prefixes = HashSet::new();
    let rules = (0..count).map(rule);
    rules.filter(|rule| prefixes.insert((rule.prefix, rule.prefix_digits))).collect()
}

fn rule(i: usize) -> RouteRule {
    // At most 7.
    let prefix_digits = 4 + (i % 4) as u32;
    let mask = u64::MAX << (64 - 4 * prefix_digits);
    RouteRule {
        class: None,
        prefix: (i as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15) & mask,
        prefix_digits,
        groups: (0, 255),
        home: "b".into(),
        via: None,
        copies_allowed: false,
    }
}

/// The row of a table of routes.
fn measure(rules: &[RouteRule], rng: &mut Pcg64Mcg) -> Vec<String> {
    let (faults, checked) = timed(|| validate(SITE, &["b"], rules).len());
    let (routes, built) = timed(|| RouteTable::new(SITE, rules.to_vec()));
    let objects: Vec<u64> = (0..LOOKUPS).map(|_| rng.random()).collect();
    let in_index = |object| black_box(routes.find(CLASS, GROUP, object)).is_some();
    let in_list = |object| black_box(find_linear(SITE, rules, CLASS, GROUP, object)).is_some();
    let (index_ns, hits) = look_up(&objects, in_index);
    let few = &objects[..(VISITED_RULES / rules.len()).clamp(LEAST_LOOKUPS, objects.len())];
    let (list_ns, list_hits) = look_up(few, in_list);
    let (_, index_hits) = look_up(few, in_index);
    assert_eq!((faults, list_hits), (0, index_hits), "the index and the list differ");
    vec![
        rules.len().to_string(),
        format!("{index_ns:.0}"),
        format!("{list_ns:.0}"),
        format!("{:.0}", list_ns / index_ns),
        format!("{}", routes.index_bytes() / rules.len()),
        format!("{:.1} / {:.1}", checked.as_secs_f64() * 1000.0, built.as_secs_f64() * 1000.0),
        hits.to_string(),
    ]
}

/// A result, and how long it took.
fn timed<T>(compute: impl FnOnce() -> T) -> (T, Duration) {
    let start = Instant::now();
    let result = compute();
    (result, start.elapsed())
}

/// Nanoseconds for looking up an object, and how many were found.
fn look_up(objects: &[u64], find: impl Fn(u64) -> bool) -> (f64, usize) {
    let (hits, duration) = timed(|| objects.iter().filter(|object| find(**object)).count());
    (duration.as_nanos() as f64 / objects.len() as f64, hits)
}

#[cfg(test)]
mod tests;
