//! The drill of flow export: what clients wrote and read beside what collectors were told, while one of those is killed,
//! stalled and started again, and another is exchanged by SIGHUP.

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
use std::net::{IpAddr, Ipv4Addr};
use std::thread;
use std::time::{Duration, Instant};

/// Clients whose bytes have to be the same to the last, and those that hang up in the middle of answers: of these the
/// gateway counts also what stood in the kernel.
const STEADY: Ipv4Addr = Ipv4Addr::new(127, 81, 0, 1);
const HASTY: Ipv4Addr = Ipv4Addr::new(127, 82, 0, 1);
/// Requests a second of each kind.
const RATE: f64 = 250.0;
const HASTY_RATE: f64 = 30.0;
/// Bytes that stand in the kernel for one client that hung up, at most: the gateway's side and its own.
const IN_KERNEL: u64 = 4 * 1024 * 1024;
/// Resident KB that the gateway may take in all.
const MEMORY: u64 = 65_536;

fn operator(collectors: &[&Collector]) -> String {
    let all: String = collectors
        .iter()
        .map(|c| format!(" collectors {{ address: \"{}\" transport: TCP }}\n", c.address))
        .collect();
    format!(
        "flows {{\n{all} delivery: TO_EACH\n stall_ms: 400\n spool_kb: 256\n flush_ms: 3000\n \
         meter {{ active_ms: 400 idle_ms: 150 }}\n}}\n"
    )
}

fn of(net: Ipv4Addr, client: IpAddr) -> bool {
    matches!(client, IpAddr::V4(v4) if v4.octets()[..2] == net.octets()[..2])
}

/// Bytes out, bytes back and requests of some clients, as a collector was told them.
fn told(collection: &Collection, net: Ipv4Addr) -> [u64; 3] {
    collection.sums(|f| f.leg == "client" && f.client.is_some_and(|c| of(net, c)))
}

/// The same as the clients saw it themselves.
fn passed(record: &Record, net: Ipv4Addr) -> Traffic {
    let own = record.traffic().into_iter().filter(|(client, _)| of(net, *client));
    own.fold(Traffic::default(), |sum, (_, p)| Traffic {
        read: sum.read + p.read,
        written: sum.written + p.written,
        requests: sum.requests + p.requests,
    })
}

/// Runs it.
pub fn run(options: &Options) -> Report {
    let record = Record::default();
    let site = Site::start(0, SiteConfig::default(), &record);
    let mut flaky = Collector::tcp();
    let (first, second) = (Collector::tcp(), Collector::tcp());
    let at = free_address();
    let mut gateway = Gateway::spawn_with_operator(
        &site.config("n1", at).to_string(),
        at,
        "true",
        &operator(&[&flaky, &first]),
    );
    until("the gateway serves", || std::net::TcpStream::connect(at).is_ok());
    let draw = traffic::requests(0, 1, 400, 0.0, 0.1);
    let steady = Load { first_address: Some(STEADY), ..Load::new(0, at, 10, RATE, options.seed, &draw) };
    let hasty = Load {
        first_address: Some(HASTY),
        disconnect_share: 0.7,
        ..Load::new(0, at, 3, HASTY_RATE, !options.seed, &draw)
    };
    let callers = [steady, hasty].map(|load| LoadClients::start(load, &record));
    let slices = faults(options, &record, &gateway, &mut flaky, &[&first, &second]);
    callers.into_iter().for_each(LoadClients::finish);
    let memory = gateway.usage().peak_memory_kb;
    gateway.signal("TERM");
    let code = gateway.wait_for_exit();
    let (mine, hasty) = (passed(&record, STEADY), passed(&record, HASTY));
    let kept = |flaky: &Collector| [first.collection(), second.collection(), flaky.collection()];
    // What the gateway has written is in the kernel when it ends; a collector reads it in a moment.
    let end = Instant::now() + Duration::from_secs(2);
    while Instant::now() < end
        && kept(&flaky)[..2].iter().map(|c| told(c, STEADY)[2]).sum::<u64>() < mine.requests
    {
        thread::sleep(Duration::from_millis(5));
    }
    let [mut first, second, flaky] = kept(&flaky);
    if options.spoil == Some(Spoil::Record) {
        let largest = first.flows.iter().enumerate().filter(|(_, f)| f.client.is_some_and(|c| of(STEADY, c)));
        let largest = largest.max_by_key(|(_, f)| f.bytes_out).map(|(i, _)| i);
        largest.map(|i| first.flows.swap_remove(i));
    }
    let add = |a: [u64; 3], b: [u64; 3]| [a[0] + b[0], a[1] + b[1], a[2] + b[2]];
    let sure = add(told(&first, STEADY), told(&second, STEADY));
    let sure_hasty = add(told(&first, HASTY), told(&second, HASTY));
    let got = told(&flaky, STEADY);
    let error = |got: u64| got.abs_diff(mine.read) as f64 / mine.read.max(1) as f64;
    let mut broken = Vec::new();
    let mut must = |holds: bool, what: String| {
        if !holds {
            broken.push(what);
        }
    };
    must(code == Some(0), format!("the gateway ended with {code:?}: {}", gateway.log()));
    must(
        sure == [mine.read, mine.written, mine.requests],
        format!("the collector that stayed was told {sure:?}, clients saw {mine:?}"),
    );
    must(
        (hasty.read..=hasty.read + hasty.requests * IN_KERNEL).contains(&sure_hasty[0])
            && sure_hasty[2] <= hasty.requests,
        format!("of clients that hang up it was told {sure_hasty:?}; they saw {hasty:?}"),
    );
    must(
        error(got[0]) < 0.01,
        format!("the collector that came and went was told {} of {} bytes", got[0], mine.read),
    );
    must(
        got[2] + flaky.lost_requests <= mine.requests,
        format!("it was told more requests than there were: {got:?}, {mine:?}"),
    );
    must(memory < MEMORY, format!("{memory} KB of memory; {MEMORY} are promised"));
    must(
        first.undecoded + second.undecoded + flaky.undecoded == 0,
        "a collector met sets without a template".into(),
    );
    must(first.missing + second.missing == 0, "records are missing where no connection broke".into());
    let end = record.now();
    let facts = record.take();
    let [up, down] = latencies(&facts, &slices);
    let ms = |h: &Histogram<u64>, q: f64| super::round(h.value_at_quantile(q) as f64 / 1000.0);
    let far = |q: f64, times: f64, more: f64| ms(&down, q) > ms(&up, q) * times + more;
    must(
        !far(0.5, 1.5, 2.0) && !far(0.99, 2.0, 20.0),
        format!(
            "answers take longer while a collector is missing: p50 {} for {} ms, p99 {} for {} ms",
            ms(&down, 0.5),
            ms(&up, 0.5),
            ms(&down, 0.99),
            ms(&up, 0.99)
        ),
    );
    Report {
        figures: json!({
            "requests": mine.requests, "bytes_served": mine.read, "bytes_exported": got[0],
            "byte_error": (error(got[0]) * 1e6).round() / 1e6, "requests_exported": got[2],
            "byte_error_kept": (error(sure[0]) * 1e6).round() / 1e6, "requests_exported_kept": sure[2],
            "records": flaky.flows.len(), "missing": flaky.missing, "dropped": flaky.lost_flows,
            "p50_ms": ms(&up, 0.5), "p99_ms": ms(&up, 0.99), "p50_ms_down": ms(&down, 0.5), "p99_ms_down": ms(&down, 0.99),
            "asked_up": up.len(), "asked_down": down.len(), "memory_kb": memory,
            "hung_up_requests": hasty.requests, "hung_up_read": hasty.read, "hung_up_exported": sure_hasty[0],
        }),
        verdict: rules::judge(&facts, rules::RuleLimits::default(), end),
        broken,
    }
}

/// Slices of time in which the one collector is there or not, alternating, and how it is missing. Gives when each began.
fn faults(
    options: &Options,
    record: &Record,
    gateway: &Gateway,
    flaky: &mut Collector,
    others: &[&Collector; 2],
) -> Vec<(f64, bool)> {
    let mut rng = Pcg64Mcg::seed_from_u64(options.seed ^ 0xf10e5);
    let (start, length) = (Instant::now(), Duration::from_secs(options.seconds));
    let mut slices = Vec::new();
    let mut swapped = false;
    let slice = (options.seconds as f64 / 8.0).clamp(0.4, 5.0);
    let mut down = false;
    while start.elapsed() < length {
        let killed = rng.random::<bool>();
        if down && killed {
            flaky.stop();
        }
        flaky.set_paused(down && !killed);
        slices.push((record.now(), down));
        thread::sleep(Duration::from_secs_f64(slice * rng.random_range(0.8..1.2)));
        if !swapped && start.elapsed() > length / 2 {
            swapped = true;
            gateway.reload_operator(&operator(&[flaky, others[1]]));
        }
        // One that stalled reads on. (Killed as well, it would lose all that its kernel had taken and nobody read: there
        // is no word in the protocol by which an exporter could know.)
        if down && killed {
            flaky.restart();
        }
        down = !down;
    }
    flaky.set_paused(false);
    slices
}

/// Latencies in µs of what was asked while the collector was there, and while it was not.
fn latencies(facts: &[Seen], slices: &[(f64, bool)]) -> [Histogram<u64>; 2] {
    let mut all = [0, 1].map(|_| Histogram::<u64>::new(3).expect("three digits are allowed"));
    let mut asked = HashMap::new();
    for seen in facts {
        match &seen.fact {
            Fact::RequestSent { name, .. } => drop(asked.insert(name, seen.at)),
            Fact::Answered { name, .. } => {
                let Some(at) = asked.remove(name) else { continue };
                let down = slices.iter().rev().find(|(from, _)| *from <= at).is_some_and(|(_, down)| *down);
                let _ = all[usize::from(down)].record(((seen.at - at) * 1000.0) as u64);
            }
            _ => {}
        }
    }
    all
}
