//! `decklab demo`: the main job on an embedded default.

use crate::error::LabError;
use crate::output::print_line;
use crate::traffic;
use clap::Args;
use comfy_table::Table;
use deckproxy_rig::judge::judge;
use deckproxy_rig::plan::{Fault, FaultKind, Plan};
use deckproxy_rig::run::run_plan;
use deckproxy_standins::free_address;
use deckproxy_standins::load_client::{Load, LoadClients};
use deckproxy_standins::record::{Fact, Outcome, Record};
use deckproxy_standins::rules;
use deckproxy_standins::site::{Site, SiteConfig};
use hdrhistogram::Histogram;
use indicatif::{ProgressBar, ProgressStyle};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

/// How the demo runs.
#[derive(Debug, Args)]
pub struct Options {
    /// Seconds of traffic.
    #[arg(long, default_value_t = 8, value_parser = clap::value_parser!(u64).range(1..=600))]
    seconds: u64,
    /// Requests a second.
    #[arg(long, default_value_t = 300, value_parser = clap::value_parser!(u32).range(1..=5000))]
    rate: u32,
    /// Clients.
    #[arg(long, default_value_t = 12, value_parser = clap::value_parser!(u32).range(1..=200))]
    clients: u32,
    /// An operator file for the gateway, as for `deckproxy run`.
    #[arg(long, value_name = "FILE")]
    operator: Option<PathBuf>,
    /// Seed of the traffic.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// A fleet of so many gateways in two zones, one of which is killed and comes back; clients go on to the others.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u32).range(1..=24), conflicts_with = "operator")]
    gateways: u32,
}

/// A small fleet at work.
fn fleet(options: &Options) -> ExitCode {
    let seconds = (options.seconds as f64).max(8.0);
    let mut plan = Plan {
        seconds,
        instances: options.gateways as usize,
        rate: f64::from(options.rate),
        clients: options.clients as usize,
        seed: options.seed,
        ..Plan::default()
    };
    plan.faults.push(Fault { at: seconds * 0.3, duration: seconds * 0.3, kind: FaultKind::Kill(1) });
    print_line!(
        "{} gateways in 2 zones, 3 caches in each, a parent, an origin and the feeds run on loopback",
        plan.instances
    );
    let draw = traffic::requests(0, 1, 2000, 0.0, 0.04);
    let run = run_plan(&plan, &draw, |at, what| print_line!("{at:5.1} s  {what}"));
    let figures = judge(&run);
    let v = &figures.verdict;
    let mut table = Table::new();
    table.set_header(["", ""]);
    let wanted = run.counts.wanted.load(Ordering::SeqCst).max(1);
    let got = run.counts.served.load(Ordering::SeqCst);
    let rows = [
        ("wanted by clients", wanted.to_string()),
        ("got at last, wherever", format!("{got} ({:.1}%)", 100.0 * got as f64 / wanted as f64)),
        ("requests / refused / failed", format!("{} / {} / {}", v.requests, v.rejected, v.failed)),
        ("probes of a member beside those meant for one fleet", format!("{:.2}", figures.check_ratio)),
        ("bytes a second that a gateway spends on its fellows", format!("{:.0}", figures.bytes_per_second)),
        ("p50 / p99, ms", format!("{:.1} / {:.1}", v.quantile(0, 0.5), v.quantile(0, 0.99))),
        ("rules broken", if v.holds() { "none".to_string() } else { v.violations.join("; ") }),
    ];
    for (name, value) in rows {
        table.add_row([name.to_string(), value]);
    }
    print_line!("{table}");
    let good = v.holds() && run.process_faults.is_empty() && v.served > 0;
    if good { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// The text of an operator file without faults.
fn operator_file(path: &Path) -> Result<String, LabError> {
    let bytes = std::fs::read(path).map_err(LabError::file(path))?;
    let contents = |faults| LabError::Contents { path: path.to_path_buf(), faults };
    deckproxy_operator::read(&bytes).map_err(contents)?;
    Ok(String::from_utf8_lossy(&bytes).into_owned())
}

/// Runs it.
pub fn run(options: &Options) -> Result<ExitCode, LabError> {
    if options.gateways > 1 {
        return Ok(fleet(options));
    }
    let operator = options.operator.as_deref().map(operator_file).transpose()?;
    let record = Record::default();
    let site = Site::start(0, SiteConfig::default(), &record);
    let at = free_address();
    print_line!(
        "3 caches, a parent, an origin and the control feed run on loopback; the gateway listens on {at}"
    );
    let mut gateway = site.gateway("n1", at, operator.as_deref());
    let draw = traffic::requests(0, 1, 2000, 0.0, 0.04);
    let rate = f64::from(options.rate);
    let load = Load::new(0, at, options.clients as usize, rate, options.seed, &draw);
    let callers = LoadClients::start(&load, &record);
    let bar = ProgressBar::new(options.seconds * 10);
    if let Ok(style) = ProgressStyle::with_template("{bar:30} {msg}") {
        bar.set_style(style);
    }
    let start = Instant::now();
    while start.elapsed() < Duration::from_secs(options.seconds) {
        thread::sleep(Duration::from_millis(100));
        bar.set_position((start.elapsed().as_millis() / 100) as u64);
        let served = record.count(|f| matches!(f, Fact::Answered { outcome: Outcome::Served(_), .. }));
        let hits = record.count(|f| matches!(f, Fact::CacheHit { .. }));
        let fills = record.count(|f| matches!(f, Fact::Filled { .. }));
        bar.set_message(format!("{served} served, {hits} hits in caches, {fills} fills"));
    }
    bar.finish_and_clear();
    callers.finish();
    gateway.signal("TERM");
    let code = gateway.wait_for_exit();
    let end = record.now();
    let facts = record.take();
    let verdict = rules::judge(&facts, rules::RuleLimits::default(), end);
    let mut took = Histogram::<u64>::new(3).expect("three digits are allowed");
    for ms in verdict.latencies_ms.iter().flatten() {
        let _ = took.record((ms * 1000.0) as u64);
    }
    let reads = verdict.served.max(1);
    let caches = site.caches();
    let in_caches = |member: &String| caches.contains(member);
    let hits = facts
        .iter()
        .filter(|s| matches!(&s.fact, Fact::CacheHit { member, .. } if in_caches(member)))
        .count();
    let led =
        facts.iter().filter(|s| matches!(&s.fact, Fact::Filled { member, .. } if in_caches(member))).count();
    let at_origin = verdict.fills - led;
    let misses = reads.saturating_sub(hits);
    let mut table = Table::new();
    table.set_header(["", ""]);
    let rows = [
        ("requests", verdict.requests.to_string()),
        (
            "served",
            format!(
                "{} ({:.1}%)",
                verdict.served,
                100.0 * verdict.served as f64 / verdict.requests.max(1) as f64
            ),
        ),
        ("refused / failed", format!("{} / {}", verdict.rejected, verdict.failed)),
        ("served from a copy in a cache", format!("{hits} ({:.1}%)", 100.0 * hits as f64 / reads as f64)),
        ("fills of caches for the other requests", format!("{led} for {misses}")),
        ("fills of the parent from the origin", at_origin.to_string()),
        (
            "p50 / p99, ms",
            format!(
                "{:.1} / {:.1}",
                took.value_at_quantile(0.5) as f64 / 1000.0,
                took.value_at_quantile(0.99) as f64 / 1000.0
            ),
        ),
        ("rules broken", if verdict.holds() { "none".to_string() } else { verdict.violations.join("; ") }),
    ];
    for (name, value) in rows {
        table.add_row([name.to_string(), value]);
    }
    print_line!("{table}");
    print_line!(
        "The gateway ended by itself on SIGTERM with exit code {}.",
        code.map_or("?".into(), |c| c.to_string())
    );
    let good = verdict.holds() && code == Some(0) && verdict.served > 0;
    Ok(if good { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
