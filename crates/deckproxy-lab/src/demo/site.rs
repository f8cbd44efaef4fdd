//! The demo of a site: one gateway in front of caches, a parent and an origin.

use super::{OBJECTS, Options, WRITE_SHARE, percent, violations};
use crate::error::LabError;
use crate::output::{print_line, print_rows};
use crate::traffic;
use deckproxy_standins::free_address;
use deckproxy_standins::load_client::{Load, LoadClients};
use deckproxy_standins::record::{Fact, Outcome, Record, Seen};
use deckproxy_standins::rules::{self, Latencies, Verdict};
use deckproxy_standins::site::{Site, SiteConfig};
use hdrhistogram::Histogram;
use indicatif::{ProgressBar, ProgressStyle};
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

/// Time between two steps of the progress bar.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(100);

/// Runs it; whether all went well.
///
/// # Errors
///
/// The operator file cannot be read, or has faults.
pub fn run(options: &Options) -> Result<bool, LabError> {
    let operator_file = options.operator.as_deref().map(read_operator_file).transpose()?;
    let record = Record::default();
    let site = Site::start(0, SiteConfig::default(), &record);
    let address = free_address();
    print_line!(
        "3 caches, a parent, an origin and the control feed run on loopback; the gateway listens on {address}"
    );
    let mut gateway = site.gateway("n1", address, operator_file.as_deref());
    let requests = traffic::requests(0, 1, OBJECTS, 0.0, WRITE_SHARE);
    let rate = f64::from(options.rate);
    let load = Load::new(0, address, options.clients as usize, rate, options.seed, &requests);
    let clients = LoadClients::start(&load, &record);
    show_progress(Duration::from_secs(options.seconds), &record);
    clients.finish();
    gateway.signal("TERM");
    let code = gateway.wait_for_exit();
    let end = record.now();
    let facts = record.take();
    let verdict = rules::judge(&facts, rules::RuleLimits::default(), end);
    print_rows(rows(&verdict, &CacheCounts::of(&facts, &site.caches())));
    print_line!(
        "The gateway ended by itself on SIGTERM with exit code {}.",
        code.map_or("?".into(), |code| code.to_string())
    );
    Ok(verdict.holds() && code == Some(0) && verdict.served > 0)
}

/// The text of an operator file without faults.
fn read_operator_file(path: &Path) -> Result<String, LabError> {
    let bytes = std::fs::read(path).map_err(LabError::file(path))?;
    let contents = |faults| LabError::Contents { path: path.to_path_buf(), faults };
    deckproxy_operator::read(&bytes).map_err(contents)?;
    Ok(String::from_utf8_lossy(&bytes).into_owned())
}

/// Waits for the run's end, and shows meanwhile what was served.
fn show_progress(duration: Duration, record: &Record) {
    let steps = |span: Duration| {
        let steps = span.as_millis() / PROGRESS_INTERVAL.as_millis();
        u64::try_from(steps).unwrap_or(u64::MAX)
    };
    let bar = ProgressBar::new(steps(duration));
    if let Ok(style) = ProgressStyle::with_template("{bar:30} {msg}") {
        bar.set_style(style);
    }
    let start = Instant::now();
    while start.elapsed() < duration {
        thread::sleep(PROGRESS_INTERVAL);
        bar.set_position(steps(start.elapsed()));
        let served = record.count(|fact| matches!(fact, Fact::Answered { outcome: Outcome::Served(_), .. }));
        let hits = record.count(|fact| matches!(fact, Fact::CacheHit { .. }));
        let fills = record.count(|fact| matches!(fact, Fact::Filled { .. }));
        bar.set_message(format!("{served} served, {hits} cache hits, {fills} fills"));
    }
    bar.finish_and_clear();
}

/// What the caches did, without the parent.
struct CacheCounts {
    hits: usize,
    fills: usize,
}

impl CacheCounts {
    fn of(facts: &[Seen], caches: &[String]) -> Self {
        let is_hit =
            |seen: &&Seen| matches!(&seen.fact, Fact::CacheHit { member, .. } if caches.contains(member));
        let is_fill =
            |seen: &&Seen| matches!(&seen.fact, Fact::Filled { member, .. } if caches.contains(member));
        CacheCounts { hits: facts.iter().filter(is_hit).count(), fills: facts.iter().filter(is_fill).count() }
    }
}

fn rows(verdict: &Verdict, caches: &CacheCounts) -> [(&'static str, String); 8] {
    let CacheCounts { hits, fills } = *caches;
    let served = verdict.served;
    [
        ("requests", verdict.requests.to_string()),
        ("served", format!("{served} ({})", percent(served as u64, verdict.requests as u64))),
        ("rejected / failed", format!("{} / {}", verdict.rejected, verdict.failed)),
        ("cache hits", format!("{hits} ({})", percent(hits as u64, served as u64))),
        ("fills of caches, for the misses", format!("{fills} for {}", served.saturating_sub(hits))),
        ("fills of the parent from the origin", (verdict.fills - fills).to_string()),
        ("p50 / p99, ms", latency_quantiles(verdict)),
        ("rules broken", violations(verdict)),
    ]
}

/// The median and the 99th percentile of all latencies, ms.
fn latency_quantiles(verdict: &Verdict) -> String {
    let mut latencies_us = Histogram::<u64>::new(3).expect("three digits are allowed");
    let latencies = [&verdict.home_latencies, &verdict.cross_site_latencies];
    for ms in latencies.into_iter().flat_map(Latencies::as_slice) {
        let _ = latencies_us.record((ms * 1000.0) as u64);
    }
    let quantile_ms = |quantile| latencies_us.value_at_quantile(quantile) as f64 / 1000.0;
    format!("{:.1} / {:.1}", quantile_ms(0.5), quantile_ms(0.99))
}
