//! Flow export: what metering costs a request, what the table and the sketch cost beside a plain map, how fast flows go
//! out.

use super::{Options, cpu, show};
use crate::output::print_line;
use crate::traffic::Zipf;
use deckproxy_flow::codec::Version;
use deckproxy_flow::codec::elements::EXAMPLE_ENTERPRISE;
use deckproxy_flow::export::{Backlog, Effect, Exporter, Settings, Transport};
use deckproxy_flow::meter::{HeavyHitters, Key, Leg, Limits, Meter, Outcome, Update};
use deckproxy_standins::collector::Collector;
use deckproxy_standins::free_address;
use deckproxy_standins::record::Record;
use deckproxy_standins::site::{Site, SiteConfig};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::collections::HashMap;
use std::hint::black_box;
use std::net::{IpAddr, Ipv4Addr};
use std::time::Instant;

/// Addresses that clients may have, and updates.
const CLIENTS: usize = 1_000_000;
const UPDATES: usize = 5_000_000;
/// Runs all parts.
pub fn run(options: &Options) {
    request(options);
    table(options);
    export();
}

fn request(options: &Options) {
    print_line!(
        "\nCPU of the gateway's loop per request, metered and exported or not, side by side; 1,000 requests a second each"
    );
    let record = Record::default();
    let site = Site::start(0, SiteConfig::default(), &record);
    let collector = Collector::tcp();
    let text = format!(
        "flows {{ collectors {{ address: \"{}\" transport: TCP }} meter {{ active_ms: 1000 idle_ms: 500 }} }}",
        collector.address
    );
    let gateways =
        [site.gateway("off", free_address(), None), site.gateway("on", free_address(), Some(&text))];
    cpu::beside(["off", "on"], &gateways, options.seconds, options.seed, &record);
    print_line!(
        "resident KB, off and on: {} and {}",
        gateways[0].usage().peak_memory_kb,
        gateways[1].usage().peak_memory_kb
    );
}

/// Resident bytes of this process.
fn resident() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    text.split_whitespace().nth(1).and_then(|n| n.parse::<u64>().ok()).unwrap_or(0) * 4096
}

fn address(n: usize) -> IpAddr {
    // Spread out as clients of many networks are.
    Ipv4Addr::from((n as u32).wrapping_mul(0x9e37_79b1)).into()
}

fn table(options: &Options) {
    print_line!(
        "\n{UPDATES} updates of {CLIENTS} clients (Zipf, 0.9), a byte count each: bounded table and sketch beside a plain map"
    );
    let mut rng = Pcg64Mcg::seed_from_u64(options.seed);
    let zipf = Zipf::new(CLIENTS, 0.9);
    let draws: Vec<u32> = (0..UPDATES).map(|_| zipf.sample(&mut rng) as u32).collect();
    let key = |meter: &Meter, n: u32| Key {
        client: Some(meter.client(address(n as usize))),
        class: 1,
        outcome: Some(Outcome::Served),
        ..Key::of(Leg::Client)
    };
    let update = Update { bytes_to_client: 1000, bytes_from_client: 60, requests: 1, latency: Some(900) };
    let before = resident();
    let start = Instant::now();
    let mut plain: HashMap<IpAddr, [u64; 3]> = HashMap::new();
    for n in &draws {
        let sum = plain.entry(address(*n as usize)).or_default();
        *sum = [sum[0] + update.bytes_to_client, sum[1] + update.bytes_from_client, sum[2] + update.requests];
    }
    let each = |start: Instant| format!("{:.0}", start.elapsed().as_nanos() as f64 / UPDATES as f64);
    let kb = |before: u64| format!("{}", resident().saturating_sub(before) / 1024);
    let mut rows = vec![vec![
        "plain map of bytes and requests".to_string(),
        each(start),
        kb(before),
        plain.len().to_string(),
        "0".to_string(),
    ]];
    for entries in [2_000_000, 65_536, 16_384] {
        let before = resident();
        let start = Instant::now();
        let mut meter = Meter::new(Limits { entries, ..Limits::default() });
        for n in &draws {
            let key = key(&meter, *n);
            meter.count(1000, black_box(key), &update);
        }
        let (ns, memory, len) = (each(start), kb(before), meter.len());
        let flows = meter.take_all();
        let sum: u64 = flows.iter().map(|f| f.counts.requests).sum();
        assert_eq!(sum, UPDATES as u64, "sums are exact");
        let folded: u64 = flows.iter().filter(|f| f.key.folded > 0).map(|f| f.counts.requests).sum();
        rows.push(vec![
            format!("table of {entries}"),
            ns,
            memory,
            len.to_string(),
            format!("{:.3} known by wider prefixes alone", folded as f64 / UPDATES as f64),
        ]);
    }
    for places in [64, 4096] {
        let before = resident();
        let start = Instant::now();
        let mut top = HeavyHitters::new(places);
        for n in &draws {
            top.add(address(*n as usize), update.bytes_to_client);
        }
        let (ns, memory) = (each(start), kb(before));
        let total = UPDATES as u64 * update.bytes_to_client;
        let worst = top.top(10).iter().map(|hitter| hitter.sum - plain[&hitter.key][0]).max().unwrap_or(0);
        let mut exact: Vec<(u64, IpAddr)> = plain.iter().map(|(k, v)| (v[0], *k)).collect();
        exact.sort_unstable_by(|a, b| b.cmp(a));
        let found = top.top(10);
        let hits = exact[..10].iter().filter(|(_, k)| found.iter().any(|hitter| hitter.key == *k)).count();
        rows.push(vec![
            format!("sketch of {places} places"),
            ns,
            memory,
            places.to_string(),
            format!("{hits} of the top 10, off by {:.4} of all at most", worst as f64 / total as f64),
        ]);
    }
    show(&["what", "ns an update", "KB more resident", "entries", "error"], &rows);
}

fn export() {
    const FLOWS: usize = 500_000;
    print_line!("\nFlows encoded and handed over, one core, no socket");
    let mut rows = Vec::new();
    for (name, version, largest) in [
        ("IPFIX, 1,400 bytes", Version::Ipfix, 1400),
        ("IPFIX, 65,000 bytes", Version::Ipfix, 65_000),
        ("NetFlow v9, 1,400 bytes", Version::NetflowV9, 1400),
    ] {
        let mut meter = Meter::new(Limits { entries: FLOWS, ..Limits::default() });
        for n in 0..FLOWS {
            let client = Some(meter.client(address(n)));
            let key = Key { client, class: 1, outcome: Some(Outcome::Served), ..Key::of(Leg::Client) };
            meter.count(
                1000,
                key,
                &Update { bytes_to_client: 1000, bytes_from_client: 60, requests: 1, latency: Some(900) },
            );
        }
        let settings = Settings {
            version,
            domain: 1,
            enterprise: EXAMPLE_ENTERPRISE,
            max_message: largest,
            message_rate: 0,
            template_interval: 60_000,
            spool_size: usize::MAX / 2,
            max_in_flight: usize::MAX,
            stall_timeout: 1000,
            replicate: false,
        };
        let mut exporter = Exporter::new(settings, &[Transport::Tcp], 0, 0);
        meter.take_all().into_iter().for_each(|flow| exporter.push(flow));
        exporter.poll(1, 1, &|_| "page");
        exporter.connected(1, 0);
        let (start, mut bytes) = (Instant::now(), 0);
        while exporter.poll(2, 64, &|_| "page") || exporter.backlog() != Backlog::default() {
            while let Some(effect) = exporter.next_effect() {
                if let Effect::Send { collector, number, message } = effect {
                    bytes += message.len();
                    exporter.message_sent(2, collector, number);
                }
            }
        }
        let rate = FLOWS as f64 / start.elapsed().as_secs_f64();
        rows.push(vec![
            name.to_string(),
            format!("{rate:.0}"),
            format!("{:.0}", bytes as f64 / FLOWS as f64),
        ]);
    }
    show(&["what", "flows a second", "bytes a flow"], &rows);
}
