//! The demo of a fleet: several gateways, one of which is killed and restarted.

use super::{OBJECTS, Options, WRITE_SHARE, percent, violations};
use crate::output::{print_line, print_rows};
use crate::traffic;
use deckproxy_rig::judge::{FleetFigures, judge};
use deckproxy_rig::plan::{Fault, FaultKind, Plan};
use deckproxy_rig::run::{RunRecord, run_plan};
use std::sync::atomic::Ordering;

/// The shortest run, s: long enough for the killed gateway to come back to its fleet.
const LEAST_SECONDS: f64 = 8.0;
/// The instance that is killed.
const KILLED: usize = 1;
/// When it is killed and for how long it is gone, as shares of the run.
const KILLED_AT: f64 = 0.3;
const KILLED_FOR: f64 = 0.3;

/// Runs it; whether all went well.
pub fn run(options: &Options) -> bool {
    let plan = plan(options);
    print_line!(
        "{} gateways in 2 zones, 3 caches in each, a parent, an origin and the feeds run on loopback",
        plan.instances
    );
    let requests = traffic::requests(0, 1, OBJECTS, 0.0, WRITE_SHARE);
    let run = run_plan(&plan, &requests, |at, event| print_line!("{at:5.1} s  {event}"));
    let figures = judge(&run);
    print_rows(rows(&run, &figures));
    figures.verdict.holds() && run.process_faults.is_empty() && figures.verdict.served > 0
}

fn plan(options: &Options) -> Plan {
    let seconds = (options.seconds as f64).max(LEAST_SECONDS);
    let kill =
        Fault { at: seconds * KILLED_AT, duration: seconds * KILLED_FOR, kind: FaultKind::Kill(KILLED) };
    Plan {
        seconds,
        instances: options.gateways as usize,
        rate: f64::from(options.rate),
        clients: options.clients as usize,
        seed: options.seed,
        faults: vec![kill],
        ..Plan::default()
    }
}

fn rows(run: &RunRecord, figures: &FleetFigures) -> [(&'static str, String); 7] {
    let verdict = &figures.verdict;
    let requested = run.counts.wanted.load(Ordering::SeqCst);
    let served = run.counts.served.load(Ordering::SeqCst);
    [
        ("requests of clients", requested.to_string()),
        ("served, by whichever gateway", format!("{served} ({})", percent(served, requested))),
        (
            "attempts / rejected / failed",
            format!("{} / {} / {}", verdict.requests, verdict.rejected, verdict.failed),
        ),
        ("health checks of a cache, relative to one fleet's", format!("{:.2}", figures.check_ratio)),
        ("gossip of a gateway, bytes a second", format!("{:.0}", figures.bytes_per_second)),
        (
            "p50 / p99, ms",
            format!(
                "{:.1} / {:.1}",
                verdict.home_latencies.quantile(0.5),
                verdict.home_latencies.quantile(0.99)
            ),
        ),
        ("rules broken", violations(verdict)),
    ]
}
