//! The drill of recovery: the origin is slow for a while, and works on for clients that have left.

mod goodput;

use super::promises::Promises;
use super::{Options, Report, Spoil, round};
use crate::traffic;
use deckproxy_standins::load_client::{Load, LoadClients, RetryPolicy};
use deckproxy_standins::record::{Fact, Record, Seen};
use deckproxy_standins::rules::{self, Verdict};
use deckproxy_standins::site::{Site, SiteConfig};
use deckproxy_standins::{Gateway, free_address};
use goodput::{Goodput, Period};
use serde_json::{Value, json};
use std::thread;
use std::time::{Duration, Instant};

/// Requests a second; most of them need the origin.
const RATE: f64 = 320.0;
const CLIENTS: usize = 40;
/// Objects of the site: so many that most are requested once.
const OBJECTS: usize = 200_000;
/// Share of the requests that have an effect.
const WRITE_SHARE: f64 = 0.02;
/// Requests that the origin works on at once.
const ORIGIN_CONCURRENCY: usize = 9;
/// By how much each request to the origin takes longer while it is slow, ms.
const ORIGIN_DELAY_MS: u64 = 90;
/// Attempts for each first attempt, relative to the time before the fault, that are allowed.
const MOST_AMPLIFICATION: f64 = 1.3;
/// Share of the requests that has to be served before the fault, for the machine to count as fast enough.
const CALM_GOODPUT: f64 = 0.9;
/// The goodput has recovered within this multiple of the fault's duration, or within `RECOVERY_SECONDS`.
const RECOVERY_MULTIPLE: f64 = 3.0;
const RECOVERY_SECONDS: f64 = 20.0;
/// The operator file of the run with recovery.
const OPERATOR_FILE: &str = "recovery { share_of_repeats: 0.2 }";

/// The shortest run, s: the first second is left out, and the quarter before the fault has to hold another one.
pub const LEAST_SECONDS: u64 = 8;

/// The results of one run.
struct Run {
    verdict: Verdict,
    goodput: Goodput,
    /// What was wrong with the way in which the gateway ended.
    broken: Vec<String>,
}

impl Run {
    fn violations(&self) -> usize {
        self.verdict.violations.len()
    }
}

/// The same load and fault with and without recovery.
struct Comparison {
    recovery: Run,
    off: Run,
    /// Without recovery, and with clients that retry at once.
    immediate_retries: Run,
}

/// Runs the drill.
pub fn run(options: &Options) -> Report {
    let comparison = Comparison {
        recovery: run_once(options, Some(OPERATOR_FILE), RetryPolicy::AfterAdvice),
        off: run_once(options, None, RetryPolicy::AfterAdvice),
        immediate_retries: run_once(options, None, RetryPolicy::Immediate),
    };
    Report {
        broken: broken_promises(options, &comparison.recovery),
        figures: figures(&comparison),
        verdict: comparison.recovery.verdict,
    }
}

/// A quarter of the run: the time before the fault, and the fault's duration.
fn quarter(options: &Options) -> Duration {
    Duration::from_secs_f64(options.seconds as f64 / 4.0)
}

fn broken_promises(options: &Options, run: &Run) -> Vec<String> {
    let Goodput { before, amplification, recovery_seconds, .. } = run.goodput;
    let mut promises = Promises::with_broken(run.broken.clone());
    promises.check(amplification <= MOST_AMPLIFICATION, || {
        format!("{amplification:.2} attempts for each first attempt; {MOST_AMPLIFICATION} are promised")
    });
    let most = (quarter(options).as_secs_f64() * RECOVERY_MULTIPLE).max(RECOVERY_SECONDS);
    promises.check(recovery_seconds.is_some_and(|seconds| seconds <= most), || {
        format!("recovered after {recovery_seconds:?} s; {most} are promised")
    });
    promises.check(before > CALM_GOODPUT, || {
        format!("{before:.3} served before the fault: the machine is too slow")
    });
    promises.into_broken()
}

/// The figures of the drill's JSON object; its keys are documented.
fn figures(comparison: &Comparison) -> Value {
    let Comparison { recovery, off, immediate_retries } = comparison;
    let mut figures = goodput_figures(&recovery.goodput);
    figures["off"] = goodput_figures(&off.goodput);
    figures["at_once"] = goodput_figures(&immediate_retries.goodput);
    figures["rule_breaks"] = recovery.violations().into();
    figures["rule_breaks_off"] = (off.violations() + immediate_retries.violations()).into();
    figures
}

fn goodput_figures(goodput: &Goodput) -> Value {
    json!({
        "goodput_before": round(goodput.before), "goodput_trough": round(goodput.trough),
        "goodput_after": round(goodput.after), "amplification": round(goodput.amplification),
        "seconds_to_recover": goodput.recovery_seconds.map(round),
        "stuck": goodput.recovery_seconds.is_none(),
    })
}

/// Runs the load and the fault once.
fn run_once(options: &Options, operator_file: Option<&str>, retry_policy: RetryPolicy) -> Run {
    let record = Record::default();
    let config = SiteConfig { origin_concurrency: ORIGIN_CONCURRENCY, ..SiteConfig::default() };
    let site = Site::start(0, config, &record);
    let address = free_address();
    let mut gateway = site.gateway("n1", address, operator_file);
    let requests = traffic::requests(0, 1, OBJECTS, 0.0, WRITE_SHARE);
    let load = Load { retry_policy, ..Load::new(0, address, CLIENTS, RATE, options.seed, &requests) };
    let clients = LoadClients::start(&load, &record);
    let period = slow_origin_period(&site, &record, quarter(options));
    clients.finish();
    let broken = end(&mut gateway);
    let end_ms = record.now();
    let mut facts = record.take();
    if options.spoil == Some(Spoil::Attempt) && operator_file.is_some() {
        double_attempts(&mut facts, period.fault_start);
    }
    let verdict = rules::judge(&facts, rules::RuleLimits::default(), end_ms);
    Run { verdict, goodput: Goodput::of(&facts, period), broken }
}

/// Waits a quarter of the run, makes the origin slow for another one, and waits for the rest.
fn slow_origin_period(site: &Site, record: &Record, quarter: Duration) -> Period {
    let start = Instant::now();
    thread::sleep(quarter);
    let fault_start = record.now();
    site.slow_origin(ORIGIN_DELAY_MS);
    thread::sleep((quarter * 2).saturating_sub(start.elapsed()));
    site.slow_origin(0);
    let fault_end = record.now();
    thread::sleep((quarter * 4).saturating_sub(start.elapsed()));
    Period { fault_start, fault_end, traffic_end: record.now() }
}

/// Ends the gateway, and gives what is wrong with the way in which it ended.
fn end(gateway: &mut Gateway) -> Vec<String> {
    gateway.signal("TERM");
    let code = gateway.wait_for_exit();
    let log = gateway.log();
    let mut broken = Vec::new();
    if code != Some(0) {
        broken.push(format!("the gateway ended with {code:?}: {log}"));
    }
    if log.contains("broken invariant") {
        broken.push(format!("the gateway's own checks failed: {log}"));
    }
    broken
}

/// Spoils a record as if each attempt after a time had been made twice, one after the other.
fn double_attempts(facts: &mut Vec<Seen>, after_ms: f64) {
    let is_attempt = |seen: &&Seen| {
        matches!(seen.fact, Fact::AttemptReceived { .. } | Fact::AttemptEnded { .. }) && seen.at > after_ms
    };
    let doubled: Vec<Seen> = facts.iter().filter(is_attempt).cloned().collect();
    facts.extend(doubled);
    facts.sort_by(|a, b| a.at.total_cmp(&b.at));
}
