//! Small answers together with large ones on a narrow link, with bodies in chunks under credit and in one piece.

use super::{LinkPath, SitePair, is_small, page};
use crate::measure::{Options, show};
use crate::output::print_line;
use crate::traffic;
use deckproxy_standins::load_client::RequestGenerator;
use deckproxy_standins::record::{Fact, Outcome, Seen};
use deckproxy_standins::site::object_size;
use rand::RngExt;
use std::collections::HashMap;
use std::sync::Arc;

/// Size of the large objects, bytes.
const LARGE_BYTES: usize = 180_000;
/// Bytes a millisecond of the link.
const LINK_BYTES_PER_MS: u64 = 2000;
/// Requests a second.
const RATE: f64 = 150.0;

/// Reads of the south's objects: one in twenty large, the others small.
fn mixed_objects() -> RequestGenerator {
    Arc::new(|rng| {
        let is_large = rng.random_range(0..20) == 0;
        let object = loop {
            let object = traffic::object(1, rng.random_range(0..400));
            if is_large && object_size(object) == LARGE_BYTES || !is_large && is_small(object) {
                break object;
            }
        };
        page(object, 1)
    })
}

/// Times of served requests, ms, ascending.
#[derive(Default)]
struct Latencies {
    small: Vec<f64>,
    large: Vec<f64>,
}

impl Latencies {
    fn of(facts: &[Seen]) -> Self {
        let mut sent = HashMap::new();
        let mut latencies = Latencies::default();
        for seen in facts {
            match &seen.fact {
                Fact::RequestSent { name, object, .. } => drop(sent.insert(name, (seen.at, *object))),
                Fact::Answered { name, outcome: Outcome::Served(_) } => {
                    let Some((at, object)) = sent.get(name) else { continue };
                    let of_size = if is_small(*object) { &mut latencies.small } else { &mut latencies.large };
                    of_size.push(seen.at - at);
                }
                _ => {}
            }
        }
        latencies.small.sort_by(f64::total_cmp);
        latencies.large.sort_by(f64::total_cmp);
        latencies
    }
}

fn quantile(sorted: &[f64], quantile: f64) -> f64 {
    let place = ((sorted.len() as f64 - 1.0) * quantile).max(0.0) as usize;
    sorted.get(place).copied().unwrap_or(0.0)
}

fn median_and_p99(sorted: &[f64]) -> String {
    format!("{:.1} / {:.1}", quantile(sorted, 0.5), quantile(sorted, 0.99))
}

/// Runs the measurement.
pub fn run(options: &Options) {
    print_line!(
        "\nSmall answers together with large ones (180 KB), link of 2 MB a second each connection, one connection"
    );
    let mut rows = Vec::new();
    for (name, link_settings) in [
        ("pieces of 16 KB, credit of 64 KB", "chunk_kb: 16 credit_kb: 64"),
        ("bodies in one piece", "chunk_kb: 256 credit_kb: 16384"),
    ] {
        let pair = SitePair::start(link_settings, LinkPath::Relayed);
        pair.load(options, RATE, &mixed_objects());
        pair.relay.throttle(LINK_BYTES_PER_MS);
        let result = pair.load(options, RATE, &mixed_objects());
        let latencies = Latencies::of(&result.facts);
        let verdict = &result.verdict;
        rows.push(vec![
            name.to_string(),
            format!("{:.3}", verdict.served as f64 / verdict.requests.max(1) as f64),
            median_and_p99(&latencies.small),
            median_and_p99(&latencies.large),
        ]);
    }
    show(&["bodies", "served", "small: p50 / p99 ms", "large: p50 / p99 ms"], &rows);
}
