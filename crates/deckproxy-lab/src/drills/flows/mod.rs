//! The drill of flow export: what clients wrote and read, compared with what collectors received, while one of those is
//! killed, paused and restarted, and another is exchanged by SIGHUP.

mod collected;
mod outcome;

use super::{Options, Report, Spoil};
use crate::traffic;
use collected::{Collectors, seen_by};
use deckproxy_standins::collector::Collector;
use deckproxy_standins::load_client::{Load, LoadClients};
use deckproxy_standins::record::Record;
use deckproxy_standins::rules;
use deckproxy_standins::site::{Site, SiteConfig};
use deckproxy_standins::{Gateway, free_address, until};
use outcome::{Outcome, latencies};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::net::{Ipv4Addr, SocketAddr};
use std::thread;
use std::time::{Duration, Instant};

/// First address of the clients whose bytes have to be the same to the last.
const STEADY: Ipv4Addr = Ipv4Addr::new(127, 81, 0, 1);
/// First address of the clients that disconnect in the middle of answers: of these the gateway counts also what was left
/// in the kernel.
const IMPATIENT: Ipv4Addr = Ipv4Addr::new(127, 82, 0, 1);
/// Steady clients, and their requests a second.
const STEADY_LOAD: (usize, f64) = (10, 250.0);
/// Impatient clients, and their requests a second.
const IMPATIENT_LOAD: (usize, f64) = (3, 30.0);
/// Share of the requests of impatient clients in which they disconnect.
const DISCONNECT_SHARE: f64 = 0.7;
/// Phases of a run in which the unreliable collector is there or missing.
const PHASES: f64 = 8.0;

/// A phase of the run from a time on, ms of the record.
struct Phase {
    from: f64,
    /// The unreliable collector is missing.
    is_down: bool,
}

/// Runs the drill.
pub fn run(options: &Options) -> Report {
    let record = Record::default();
    let site = Site::start(0, SiteConfig::default(), &record);
    let mut collectors =
        Collectors { unreliable: Collector::tcp(), first: Collector::tcp(), second: Collector::tcp() };
    let address = free_address();
    let mut gateway = start_gateway(&site, address, &collectors);
    let clients = start_clients(address, options.seed, &record);
    let phases = interrupt(options, &record, &gateway, &mut collectors);
    clients.into_iter().for_each(LoadClients::finish);
    let memory_kb = gateway.usage().peak_memory_kb;
    gateway.signal("TERM");
    let exit_code = gateway.wait_for_exit();
    let (steady, impatient) = (seen_by(&record, STEADY), seen_by(&record, IMPATIENT));
    let mut collections = collectors.wait_for(steady.requests);
    if options.spoil == Some(Spoil::Record) {
        collections.remove_largest_flow();
    }
    let end = record.now();
    let facts = record.take();
    let latencies = latencies(&facts, &phases);
    let outcome =
        Outcome { exit_code, log: gateway.log(), memory_kb, steady, impatient, collections, latencies };
    Report {
        figures: outcome.figures(),
        verdict: rules::judge(&facts, rules::RuleLimits::default(), end),
        broken: outcome.broken_promises(),
    }
}

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

fn start_gateway(site: &Site, address: SocketAddr, collectors: &Collectors) -> Gateway {
    let operator_file = operator_file(&[&collectors.unreliable, &collectors.first]);
    let config = site.config("n1", address).to_string();
    let gateway = Gateway::spawn_with_operator(&config, address, "true", &operator_file);
    until("the gateway serves", || std::net::TcpStream::connect(address).is_ok());
    gateway
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

/// Has the unreliable collector fail again and again until the time is over, and exchanges the reliable ones in the
/// middle.
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
