//! What a gateway needs for the same load with 200 and with 3,200 caches in its location, side by side.

use deckproxy_standins::load_client::{Load, LoadClients, RequestGenerator, RequestSpec};
use deckproxy_standins::record::Record;
use deckproxy_standins::rules::{self, RuleLimits, Verdict};
use deckproxy_standins::site::{NodeFault, Site, SiteConfig};
use deckproxy_standins::{Gateway, free_address};
use rand::RngExt;
use serde_json::json;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Caches of the usual size, and sixteen times as many.
const SIZES: [usize; 2] = [200, 3200];
const PARENTS: usize = 12;
/// Gateways that share the caches, by the settings; one of them runs for each size.
const GATEWAYS: u32 = 300;
const CLIENTS: usize = 4;
/// Requests a second.
const RATE: f64 = 120.0;
const OBJECTS: u64 = 400;
const SECONDS: u64 = 8;
/// Share of the requests that must be served.
const SERVED_SHARE: f64 = 0.8;
/// CPU seconds that the larger pool may take over the smaller one's, by the standing test: as a multiple, once, and for each
/// thousand caches.
const CPU_MULTIPLE: f64 = 1.4;
const CPU_ONCE: f64 = 0.02;
const CPU_PER_THOUSAND_CACHES: f64 = 0.03;

/// A site of one size with its gateway and the load on it.
struct Run {
    site: Site,
    caches: Vec<String>,
    gateway: Gateway,
    record: Record,
    clients: LoadClients,
    /// CPU time of the gateway when the load began, ns.
    started_ns: u64,
}

impl Run {
    fn start(caches: usize, fault: impl Fn(usize) -> NodeFault) -> Self {
        let record = Record::default();
        let config = SiteConfig { caches, parents: PARENTS, shared_listener: true, ..SiteConfig::default() };
        let site = Site::start(0, config, &record);
        let caches = site.caches();
        for (index, name) in caches.iter().enumerate() {
            site.set_fault(name, fault(index));
        }
        let listen = free_address();
        let mut config = site.config("n1", listen);
        config["settings"]["familyInfo"]["zoneBalancers"] = json!([0, GATEWAYS]);
        config["settings"]["groupSize"] = json!(GATEWAYS);
        let gateway = site.gateway_with_config(&config, "n1", listen, None);
        let started_ns = gateway.cpu_ns();
        let generator: RequestGenerator = Arc::new(|rng| RequestSpec {
            class: "page",
            object: rng.random_range(0..OBJECTS),
            group: 1,
            home_site: 0,
            timeout_ms: 1400,
        });
        let clients = LoadClients::start(&Load::new(0, listen, CLIENTS, RATE, 1, &generator), &record);
        Run { site, caches, gateway, record, clients, started_ns }
    }

    /// Ends the load; returns the CPU time that the gateway used for it, s, and the verdict on its answers.
    fn finish(self) -> (f64, Verdict) {
        self.clients.finish();
        let cpu = (self.gateway.cpu_ns() - self.started_ns) as f64 / 1e9;
        (cpu, rules::judge(&self.record.take(), RuleLimits::default(), self.record.now()))
    }
}

/// Compares both sizes. `act` is called twenty times a second with each of them.
fn compare(fault: impl Fn(usize) -> NodeFault, act: impl Fn(&Run, usize)) {
    let runs = SIZES.map(|caches| Run::start(caches, &fault));
    for step in 0..usize::try_from(SECONDS * 20).expect("a short run") {
        for run in &runs {
            act(run, step);
        }
        thread::sleep(Duration::from_millis(50));
    }
    let [(usual_cpu, _), (large_cpu, verdict)] = runs.map(Run::finish);
    let allowed = CPU_MULTIPLE * usual_cpu + CPU_ONCE + CPU_PER_THOUSAND_CACHES * (SIZES[1] as f64 / 1000.0);
    println!("CPU s: {usual_cpu:.3} and {large_cpu:.3}, {allowed:.3} allowed; {} requests", verdict.requests);
    assert!(
        large_cpu <= allowed,
        "{large_cpu:.3} s with {} caches, {usual_cpu:.3} s with {}",
        SIZES[1],
        SIZES[0]
    );
    assert_eq!(verdict.unanswered, 0, "{:?}", verdict.violations);
    assert!(verdict.home_served_share > SERVED_SHARE, "{:.3} served", verdict.home_served_share);
}

/// Guards against a cost of the size of a pool for each request: with 3,200 caches in one location a decision took
/// 0.4 s, and every answer came seconds too late.
#[test]
fn request_costs_no_more_cpu_with_many_caches_in_a_location() {
    compare(|_| NodeFault::None, |_, _| {});
}

/// Guards against the same cost when entries of the list change, lists come again, and some caches are silent or slow.
#[test]
fn request_costs_no_more_cpu_with_many_caches_that_change_and_fail() {
    let fault = |index| match index % 16 {
        0 => NodeFault::Hangs,
        8 => NodeFault::Slow(300),
        _ => NodeFault::None,
    };
    compare(fault, |run, step| {
        let name = &run.caches[step % run.caches.len()];
        match step % 4 {
            0 => run.site.drain(name),
            2 => run.site.publish_ready(&run.caches[(step - 2) % run.caches.len()]),
            _ if step == 41 => run.site.publish_all_members(),
            _ => {}
        }
    });
}
