//! The bounded meter and the sketch of heavy hitters, compared with a plain map: time, memory, error.

use super::client_address;
use crate::measure::{Options, show};
use crate::output::print_line;
use crate::traffic::Zipf;
use deckproxy_flow::meter::{HeavyHitters, Key, Leg, Limits, Meter, Outcome, Update};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::collections::HashMap;
use std::hint::black_box;
use std::net::IpAddr;
use std::time::Instant;

/// Addresses that clients may have.
const CLIENTS: usize = 1_000_000;
const UPDATES: usize = 5_000_000;
/// Power of the Zipf distribution of clients.
const ZIPF_POWER: f64 = 0.9;
/// Sizes of the meter, flows.
const METER_ENTRIES: [usize; 3] = [2_000_000, 65_536, 16_384];
/// Sizes of the sketch, counters.
const SKETCH_COUNTERS: [usize; 2] = [64, 4096];
/// Heavy hitters that the sketch is asked for.
const TOP: usize = 10;
/// What each request adds.
const UPDATE: Update =
    Update { bytes_to_client: 1000, bytes_from_client: 60, requests: 1, latency: Some(900) };
/// Size of a memory page, bytes.
const PAGE_SIZE: u64 = 4096;

/// Bytes to and from a client, and its requests.
type PlainMap = HashMap<IpAddr, [u64; 3]>;

/// Runs the measurement.
pub fn run(options: &Options) {
    print_line!(
        "\n{UPDATES} updates of {CLIENTS} clients (Zipf, {ZIPF_POWER}), a byte count each: bounded meter, sketch, plain map"
    );
    let mut rng = Pcg64Mcg::seed_from_u64(options.seed);
    let zipf = Zipf::new(CLIENTS, ZIPF_POWER);
    // A client's number is below `CLIENTS`.
    let clients: Vec<u32> = (0..UPDATES).map(|_| zipf.sample(&mut rng) as u32).collect();
    let (plain, row) = measure_map(&clients);
    let mut rows = vec![row];
    rows.extend(METER_ENTRIES.map(|entries| measure_meter(&clients, entries)));
    rows.extend(SKETCH_COUNTERS.map(|counters| measure_sketch(&clients, counters, &plain)));
    show(&["what", "ns an update", "KB more resident", "entries", "error"], &rows);
}

/// The time and the memory that updates took since it was started.
struct Usage {
    start: Instant,
    resident_before: u64,
}

impl Usage {
    fn start() -> Self {
        let resident_before = resident_bytes();
        Usage { start: Instant::now(), resident_before }
    }

    /// Nanoseconds an update, and KB, as cells.
    fn cells(&self) -> [String; 2] {
        let ns = self.start.elapsed().as_nanos() as f64 / UPDATES as f64;
        let kb = resident_bytes().saturating_sub(self.resident_before) / 1024;
        [format!("{ns:.0}"), kb.to_string()]
    }
}

/// Resident bytes of this process.
fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1).and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_SIZE
}

fn measure_map(clients: &[u32]) -> (PlainMap, Vec<String>) {
    let usage = Usage::start();
    let mut plain = PlainMap::new();
    for client in clients {
        let [to, from, requests] = plain.entry(client_address(*client as usize)).or_default();
        *to += UPDATE.bytes_to_client;
        *from += UPDATE.bytes_from_client;
        *requests += UPDATE.requests;
    }
    let [ns, kb] = usage.cells();
    let entries = plain.len().to_string();
    (plain, vec!["plain map of bytes and requests".to_string(), ns, kb, entries, "0".to_string()])
}

fn measure_meter(clients: &[u32], entries: usize) -> Vec<String> {
    let usage = Usage::start();
    let mut meter = Meter::new(Limits { entries, ..Limits::default() });
    for client in clients {
        let key = key(&meter, *client);
        meter.count(1000, black_box(key), &UPDATE);
    }
    let [ns, kb] = usage.cells();
    let used = meter.len().to_string();
    let flows = meter.take_all();
    let requests: u64 = flows.iter().map(|flow| flow.counts.requests).sum();
    assert_eq!(requests, UPDATES as u64, "sums are exact");
    let folded = flows.iter().filter(|flow| flow.key.folded > 0);
    let folded_requests: u64 = folded.map(|flow| flow.counts.requests).sum();
    let error = format!("{:.3} known by wider prefixes alone", folded_requests as f64 / UPDATES as f64);
    vec![format!("meter of {entries}"), ns, kb, used, error]
}

fn key(meter: &Meter, client: u32) -> Key {
    Key {
        client: Some(meter.client(client_address(client as usize))),
        class: 1,
        outcome: Some(Outcome::Served),
        ..Key::of(Leg::Client)
    }
}

fn measure_sketch(clients: &[u32], counters: usize, plain: &PlainMap) -> Vec<String> {
    let usage = Usage::start();
    let mut sketch = HeavyHitters::new(counters);
    for client in clients {
        sketch.add(client_address(*client as usize), UPDATE.bytes_to_client);
    }
    let [ns, kb] = usage.cells();
    let found = sketch.top(TOP);
    let total = UPDATES as u64 * UPDATE.bytes_to_client;
    let worst = found.iter().map(|hitter| hitter.sum - plain[&hitter.key][0]).max().unwrap_or(0);
    let is_found = |client: &&IpAddr| found.iter().any(|hitter| hitter.key == **client);
    let hits = heaviest(plain).iter().filter(is_found).count();
    let error = format!("{hits} of the top {TOP}, off by {:.4} of all at most", worst as f64 / total as f64);
    vec![format!("sketch of {counters} counters"), ns, kb, counters.to_string(), error]
}

/// The clients that received most bytes.
fn heaviest(plain: &PlainMap) -> Vec<IpAddr> {
    let mut sums: Vec<(u64, IpAddr)> = plain.iter().map(|(client, sums)| (sums[0], *client)).collect();
    sums.sort_unstable_by(|a, b| b.cmp(a));
    sums.into_iter().take(TOP).map(|(_, client)| client).collect()
}
