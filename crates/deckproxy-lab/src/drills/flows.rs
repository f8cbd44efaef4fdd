//! The drill of flow export: what clients wrote and read beside what collectors received, while one of those is killed,
//! paused and started again, and another is exchanged by SIGHUP.

use super::promises::Promises;
use super::{Options, Report, Spoil};
use crate::traffic;
use deckproxy_standins::collector::{Collection, Collector};
use deckproxy_standins::load_client::{Load, LoadClients};
use deckproxy_standins::record::{Fact, Record, Seen, Traffic};
use deckproxy_standins::rules;
use deckproxy_standins::site::{Site, SiteConfig};
use deckproxy_standins::{Gateway, free_address, until};
use hdrhistogram::Histogram;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::json;
use std::collections::HashMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::thread;
use std::time::{Duration, Instant};

/// First address of the clients whose bytes have to be the same to the last.
const STEADY: Ipv4Addr = Ipv4Addr::new(127, 81, 0, 1);
/// First address of the clients that hang up in the middle of answers: of these the gateway counts also what was left in
/// the kernel.
const IMPATIENT: Ipv4Addr = Ipv4Addr::new(127, 82, 0, 1);
/// Steady clients, and their requests a second.
const STEADY_LOAD: (usize, f64) = (10, 250.0);
/// Impatient clients, and their requests a second.
const IMPATIENT_LOAD: (usize, f64) = (3, 30.0);
/// Share of the requests of impatient clients in which they hang up.
const DISCONNECT_SHARE: f64 = 0.7;
/// Most bytes that are left in the kernel for one client that hung up: on the gateway's side and its own.
const MAX_KERNEL_BYTES: u64 = 4 * 1024 * 1024;
/// Resident KB that the gateway may take in all.
const MAX_MEMORY_KB: u64 = 65_536;
/// Share of the bytes that the unreliable collector may miss.
const MAX_BYTE_ERROR: f64 = 0.01;
/// Time after the gateway's end in which collectors read what it has written.
const COLLECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Phases of a run in which the unreliable collector is there or missing.
const PHASES: f64 = 8.0;

/// The operator file that exports to all of these collectors.
fn operator_file(collectors: &[&Collector]) -> String {
    let entries: Vec<String> = collectors
        .iter()
        .map(|collector| format!(" collectors {{ address: \"{}\" transport: TCP }}\n", collector.address))
        .collect();
    let entries = entries.concat();
    format!(
        "flows {{\n{entries} delivery: TO_EACH\n stall_ms: 400\n spool_kb: 256\n flush_ms: 3000\n \
         meter {{ active_ms: 400 idle_ms: 150 }}\n}}\n"
    )
}

/// Whether a client is one of those whose addresses begin at `first`.
fn is_of(first: Ipv4Addr, client: IpAddr) -> bool {
    matches!(client, IpAddr::V4(v4) if v4.octets()[..2] == first.octets()[..2])
}

/// What a collector received about some clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Exported {
    /// Bytes towards the clients.
    read: u64,
    /// Bytes from the clients.
    written: u64,
    requests: u64,
}

impl Exported {
    fn of(collection: &Collection, first: Ipv4Addr) -> Self {
        let is_counted = |client: Option<IpAddr>| client.is_some_and(|client| is_of(first, client));
        let [read, written, requests] =
            collection.sums(|flow| flow.leg == "client" && is_counted(flow.client));
        Exported { read, written, requests }
    }

    fn sum(self, other: Exported) -> Exported {
        Exported {
            read: self.read + other.read,
            written: self.written + other.written,
            requests: self.requests + other.requests,
        }
    }

    /// The bytes that it lacks or has too many, beside those that clients read.
    fn byte_error(&self, seen: &Traffic) -> f64 {
        self.read.abs_diff(seen.read) as f64 / seen.read.max(1) as f64
    }
}

/// What some clients saw themselves.
fn seen_by(record: &Record, first: Ipv4Addr) -> Traffic {
    let own = record.traffic().into_iter().filter(|(client, _)| is_of(first, *client));
    own.fold(Traffic::default(), |sum, (_, traffic)| Traffic {
        read: sum.read + traffic.read,
        written: sum.written + traffic.written,
        requests: sum.requests + traffic.requests,
    })
}

/// The collectors of a run. The gateway exports to the unreliable one throughout, and to the first of the reliable ones
/// until it is exchanged for the second.
struct Collectors {
    unreliable: Collector,
    first: Collector,
    second: Collector,
}

/// What the collectors received.
struct Collections {
    unreliable: Collection,
    first: Collection,
    second: Collection,
}

impl Collectors {
    fn collections(&self) -> Collections {
        Collections {
            unreliable: self.unreliable.collection(),
            first: self.first.collection(),
            second: self.second.collection(),
        }
    }

    /// Waits until the reliable collectors have read what the gateway has written.
    fn wait_for(&self, requests: u64) -> Collections {
        let end = Instant::now() + COLLECT_TIMEOUT;
        loop {
            let collections = self.collections();
            if collections.reliable(STEADY).requests >= requests || Instant::now() >= end {
                return collections;
            }
            thread::sleep(Duration::from_millis(5));
        }
    }
}

impl Collections {
    /// What the reliable collectors received together.
    fn reliable(&self, first: Ipv4Addr) -> Exported {
        Exported::of(&self.first, first).sum(Exported::of(&self.second, first))
    }

    /// Removes the largest flow of a steady client from the first collector's.
    fn remove_largest_flow(&mut self) {
        let flows = self.first.flows.iter().enumerate();
        let steady = flows.filter(|(_, flow)| flow.client.is_some_and(|client| is_of(STEADY, client)));
        if let Some((largest, _)) = steady.max_by_key(|(_, flow)| flow.bytes_out) {
            self.first.flows.swap_remove(largest);
        }
    }
}

/// A phase of the run from a time on, ms of the record.
struct Phase {
    from: f64,
    /// The unreliable collector is missing.
    is_down: bool,
}

/// Plays the drill.
pub fn run(options: &Options) -> Report {
    let record = Record::default();
    let site = Site::start(0, SiteConfig::default(), &record);
    let mut collectors =
        Collectors { unreliable: Collector::tcp(), first: Collector::tcp(), second: Collector::tcp() };
    let address = free_address();
    let operator_file = operator_file(&[&collectors.unreliable, &collectors.first]);
    let config = site.config("n1", address).to_string();
    let mut gateway = Gateway::spawn_with_operator(&config, address, "true", &operator_file);
    until("the gateway serves", || std::net::TcpStream::connect(address).is_ok());
    let clients = start_clients(address, options.seed, &record);
    let phases = interrupt(options, &record, &gateway, &mut collectors);
    clients.into_iter().for_each(LoadClients::finish);
    let memory_kb = gateway.usage().peak_memory_kb;
    gateway.signal("TERM");
    let code = gateway.wait_for_exit();
    let (steady, impatient) = (seen_by(&record, STEADY), seen_by(&record, IMPATIENT));
    let mut collections = collectors.wait_for(steady.requests);
    if options.spoil == Some(Spoil::Record) {
        collections.remove_largest_flow();
    }
    let Collections { unreliable, first, second } = &collections;
    let exported = collections.reliable(STEADY);
    let exported_impatient = collections.reliable(IMPATIENT);
    let received = Exported::of(unreliable, STEADY);
    let mut promises = Promises::default();
    promises.check(code == Some(0), || format!("the gateway ended with {code:?}: {}", gateway.log()));
    let is_exact = (exported.read, exported.written, exported.requests)
        == (steady.read, steady.written, steady.requests);
    promises
        .check(is_exact, || format!("the reliable collectors received {exported:?}, clients saw {steady:?}"));
    let most = impatient.read + impatient.requests * MAX_KERNEL_BYTES;
    let is_plausible = (impatient.read..=most).contains(&exported_impatient.read)
        && exported_impatient.requests <= impatient.requests;
    promises.check(is_plausible, || {
        format!(
            "of clients that disconnect they received {exported_impatient:?}; the clients saw {impatient:?}"
        )
    });
    promises.check(received.byte_error(&steady) < MAX_BYTE_ERROR, || {
        format!("the unreliable collector received {} of {} bytes", received.read, steady.read)
    });
    promises.check(received.requests + unreliable.lost_requests <= steady.requests, || {
        format!("it received more requests than there were: {received:?}, {steady:?}")
    });
    promises.check(memory_kb < MAX_MEMORY_KB, || {
        format!("{memory_kb} KB of memory; {MAX_MEMORY_KB} are promised")
    });
    promises.check(first.undecoded + second.undecoded + unreliable.undecoded == 0, || {
        "a collector received sets without a template".to_string()
    });
    promises.check(first.missing + second.missing == 0, || {
        "records are missing where no connection broke".to_string()
    });
    let end = record.now();
    let facts = record.take();
    let [up, down] = latencies(&facts, &phases);
    let [p50, p99, p50_down, p99_down] =
        [(&up, 0.5), (&up, 0.99), (&down, 0.5), (&down, 0.99)].map(|(latencies, q)| ms(latencies, q));
    promises.check(p50_down <= p50 * 1.5 + 2.0 && p99_down <= p99 * 2.0 + 20.0, || {
        format!(
            "answers take longer while a collector is missing: p50 {p50_down} for {p50} ms, p99 {p99_down} for {p99} ms"
        )
    });
    Report {
        figures: json!({
            "requests": steady.requests, "bytes_served": steady.read, "bytes_exported": received.read,
            "byte_error": to_millionths(received.byte_error(&steady)), "requests_exported": received.requests,
            "byte_error_kept": to_millionths(exported.byte_error(&steady)),
            "requests_exported_kept": exported.requests,
            "records": unreliable.flows.len(), "missing": unreliable.missing, "dropped": unreliable.lost_flows,
            "p50_ms": p50, "p99_ms": p99, "p50_ms_down": p50_down, "p99_ms_down": p99_down,
            "asked_up": up.len(), "asked_down": down.len(), "memory_kb": memory_kb,
            "hung_up_requests": impatient.requests, "hung_up_read": impatient.read,
            "hung_up_exported": exported_impatient.read,
        }),
        verdict: rules::judge(&facts, rules::RuleLimits::default(), end),
        broken: promises.into_broken(),
    }
}

fn start_clients(address: SocketAddr, seed: u64, record: &Record) -> [LoadClients; 2] {
    let requests = traffic::requests(0, 1, 400, 0.0, 0.1);
    let load = |(clients, rate), seed| Load::new(0, address, clients, rate, seed, &requests);
    let steady = Load { first_address: Some(STEADY), ..load(STEADY_LOAD, seed) };
    let impatient = Load {
        first_address: Some(IMPATIENT),
        disconnect_share: DISCONNECT_SHARE,
        ..load(IMPATIENT_LOAD, !seed)
    };
    [steady, impatient].map(|load| LoadClients::start(&load, record))
}

fn to_millionths(x: f64) -> f64 {
    (x * 1e6).round() / 1e6
}

/// A quantile of latencies in µs, ms.
fn ms(latencies: &Histogram<u64>, quantile: f64) -> f64 {
    super::round(latencies.value_at_quantile(quantile) as f64 / 1000.0)
}

/// Has the unreliable collector come and go until the time is over, and exchanges the reliable ones in the middle.
fn interrupt(
    options: &Options,
    record: &Record,
    gateway: &Gateway,
    collectors: &mut Collectors,
) -> Vec<Phase> {
    let mut rng = Pcg64Mcg::seed_from_u64(options.seed ^ 0xf10e5);
    let (start, length) = (Instant::now(), Duration::from_secs(options.seconds));
    let phase_seconds = (options.seconds as f64 / PHASES).clamp(0.4, 5.0);
    let mut phases = Vec::new();
    let mut was_exchanged = false;
    let mut is_down = false;
    while start.elapsed() < length {
        let is_killed = rng.random::<bool>();
        if is_down && is_killed {
            collectors.unreliable.stop();
        }
        collectors.unreliable.set_paused(is_down && !is_killed);
        phases.push(Phase { from: record.now(), is_down });
        thread::sleep(Duration::from_secs_f64(phase_seconds * rng.random_range(0.8..1.2)));
        if !was_exchanged && start.elapsed() > length / 2 {
            was_exchanged = true;
            gateway.reload_operator(&operator_file(&[&collectors.unreliable, &collectors.second]));
        }
        // One that was paused reads on. (Killed as well, it would lose what its kernel had taken and nobody had read: the
        // protocol has no acknowledgement by which an exporter could know.)
        if is_down && is_killed {
            collectors.unreliable.restart();
        }
        is_down = !is_down;
    }
    collectors.unreliable.set_paused(false);
    phases
}

/// Latencies, µs, of the requests sent while the unreliable collector was there, and while it was missing.
fn latencies(facts: &[Seen], phases: &[Phase]) -> [Histogram<u64>; 2] {
    let mut latencies = [0, 1].map(|_| Histogram::<u64>::new(3).expect("three digits are allowed"));
    let mut sent = HashMap::new();
    for seen in facts {
        match &seen.fact {
            Fact::RequestSent { name, .. } => drop(sent.insert(name, seen.at)),
            Fact::Answered { name, .. } => {
                let Some(at) = sent.remove(name) else { continue };
                let is_down = phases.iter().rev().find(|phase| phase.from <= at).is_some_and(|p| p.is_down);
                let _ = latencies[usize::from(is_down)].record(((seen.at - at) * 1000.0) as u64);
            }
            _ => {}
        }
    }
    latencies
}
