//! What a gateway needs for a request by the number of caches in its location, while nothing happens, lists come, and
//! caches are silent or slow.

use super::{Options, show};
use crate::output::print_line;
use crate::traffic;
use clap::ValueEnum;
use deckproxy_standins::load_client::{Load, LoadClients};
use deckproxy_standins::record::{Fact, Outcome, Record};
use deckproxy_standins::site::{NodeFault, Site, SiteConfig};
use deckproxy_standins::{Gateway, free_address};
use serde_json::json;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

/// Numbers of caches in the location.
const SIZES: [usize; 4] = [8, 200, 800, 3200];
/// Gateways that share the caches, by the settings; one runs.
const GATEWAYS: u32 = 300;
/// Parents of the caches.
const PARENTS: usize = 12;
/// Requests a second: several times the mean of a gateway among many.
const RATE: f64 = 12.5;
const CLIENTS: usize = 4;
const OBJECTS: usize = 400;
/// Time between two lists, or two changed entries.
const LIST_INTERVAL: Duration = Duration::from_millis(250);
/// One of so many caches is silent, or slow.
const FAULTY_ONE_IN: usize = 8;
/// Time by which a slow cache answers later, ms.
const SLOW_MS: u64 = 400;

/// What happens while the load runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Condition {
    /// Nothing.
    Calm,
    /// The complete list of members comes again and again.
    Lists,
    /// Entries of the list change: caches drain and are ready again.
    Changes,
    /// Some caches answer nothing.
    Silent,
    /// Some caches are slow.
    Uneven,
}

/// What a gateway needed under one load.
struct Needs {
    /// CPU time until it was ready, ms.
    start_ms: f64,
    /// CPU time of a request, µs.
    request_us: f64,
    peak_memory_kb: u64,
    descriptors: usize,
    /// Connections made to members.
    connections: usize,
    /// Share of the requests that were served.
    served: f64,
}

/// Measures this build of the gateway, and another one if there is one, one after another.
pub fn run(options: &Options, other: Option<&Path>) {
    print_line!("{RATE} requests a second at one gateway of {GATEWAYS}, for {} s each", options.seconds);
    let programs = [("other", other), ("this", None)];
    let mut rows = Vec::new();
    for condition in Condition::value_variants() {
        for caches in SIZES {
            for (name, program) in
                programs.iter().filter(|(name, program)| *name == "this" || program.is_some())
            {
                let needs = measure(options, *program, caches, *condition);
                rows.push(row(&format!("{condition:?}"), caches, name, &needs));
                print_line!("{}", rows.last().map_or(String::new(), |row| row.join("  ")));
            }
        }
    }
    let header = [
        "condition",
        "caches",
        "build",
        "µs a request",
        "ms to start",
        "peak MB",
        "descriptors",
        "connections",
        "served",
    ];
    show(&header, &rows);
}

fn row(condition: &str, caches: usize, name: &str, needs: &Needs) -> Vec<String> {
    vec![
        condition.to_string(),
        caches.to_string(),
        name.to_string(),
        format!("{:.0}", needs.request_us),
        format!("{:.0}", needs.start_ms),
        format!("{:.1}", needs.peak_memory_kb as f64 / 1024.0),
        needs.descriptors.to_string(),
        needs.connections.to_string(),
        format!("{:.3}", needs.served),
    ]
}

/// Runs one load.
fn measure(options: &Options, program: Option<&Path>, caches: usize, condition: Condition) -> Needs {
    let record = Record::default();
    let site_config = SiteConfig { caches, parents: PARENTS, shared_listener: true, ..SiteConfig::default() };
    let site = Site::start(0, site_config, &record);
    let names = site.caches();
    for name in names.iter().step_by(FAULTY_ONE_IN) {
        match condition {
            Condition::Silent => site.set_fault(name, NodeFault::Hangs),
            Condition::Uneven => site.set_fault(name, NodeFault::Slow(SLOW_MS)),
            Condition::Calm | Condition::Lists | Condition::Changes => {}
        }
    }
    let gateway = start_gateway(&site, program);
    let started_ns = gateway.cpu_ns();
    let requests = traffic::requests(0, 1, OBJECTS, 0.0, 0.0);
    let load = Load::new(0, gateway.address, CLIENTS, RATE, options.seed, &requests);
    let clients = LoadClients::start(&load, &record);
    publish_lists(&site, &names, condition, Duration::from_secs(options.seconds));
    clients.finish();
    let usage = gateway.usage();
    let answered = record.count(|fact| matches!(fact, Fact::Answered { .. })).max(1);
    let is_served =
        |fact: &Fact| matches!(fact, Fact::Answered { outcome: Outcome::Served(_) | Outcome::Unchanged, .. });
    Needs {
        start_ms: started_ns as f64 / 1e6,
        request_us: (gateway.cpu_ns() - started_ns) as f64 / 1e3 / answered as f64,
        peak_memory_kb: usage.peak_memory_kb,
        descriptors: usage.descriptors,
        connections: site.connections_accepted(),
        served: record.count(is_served) as f64 / answered as f64,
    }
}

fn start_gateway(site: &Site, program: Option<&Path>) -> Gateway {
    let address = free_address();
    let mut config = site.config("pool", address);
    config["settings"]["familyInfo"]["zoneBalancers"] = json!([0, GATEWAYS]);
    config["settings"]["groupSize"] = json!(GATEWAYS);
    site.start_gateway(program, &config, "pool", address, None)
}

/// Has the feed publish what the condition asks for, for that time.
fn publish_lists(site: &Site, caches: &[String], condition: Condition, time: Duration) {
    let end = Instant::now() + time;
    let mut next = caches.iter().cycle();
    while Instant::now() < end {
        thread::sleep(LIST_INTERVAL.min(end.saturating_duration_since(Instant::now())));
        match condition {
            Condition::Lists => site.publish_all_members(),
            Condition::Changes => {
                let Some(name) = next.next() else { return };
                site.drain(name);
                site.publish_ready(name);
            }
            Condition::Calm | Condition::Silent | Condition::Uneven => {}
        }
    }
}
