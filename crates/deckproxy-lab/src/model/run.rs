//! The result of one run of a scenario, and its file in the folder of an experiment.

use crate::error::LabError;
use deckproxy_model::record::{Point, Record, Recovery};
use deckproxy_model::scenario::{BalancerKind, Scenario};
use serde::{Deserialize, Serialize};
use std::fs;
use std::path::{Path, PathBuf};

/// A run that is not back after so many times the length of its faults is stuck.
const STUCK_MULTIPLE: f64 = 3.0;
/// Seconds that a run may take to recover however short its faults were.
const LEAST_RECOVERY_SECONDS: f64 = 20.0;

/// The result of one run, as it is stored.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Run {
    /// The variant of the experiment that was run.
    pub variant: String,
    /// Its seed.
    pub seed: u64,
    /// The scenario as it was run: the record of another one is not taken for it.
    pub scenario: Scenario,
    /// Requests of clients, each counted once.
    pub requests: u64,
    /// Share of them that was served.
    pub served: f64,
    /// Share served before the faults.
    pub before: f64,
    /// The least share served since the faults began.
    pub trough: f64,
    /// Share served at the end.
    pub after: f64,
    /// The most work for each request during and after the faults, relative to the work before them.
    pub amplification: f64,
    /// Seconds from the end of the faults until service was back; none: not within the run.
    pub seconds_to_recover: Option<f64>,
    /// Median of the latency, ms.
    pub p50: f64,
    /// 99th percentile of the latency, ms.
    pub p99: f64,
    /// Rules that were broken, by the model's checkers and the gateway's own.
    pub rule_breaks: u64,
    /// The first of them.
    pub first_break: Option<String>,
    /// Events that were simulated.
    pub events: u64,
    /// Seconds that the run took.
    pub took: f64,
    /// Requests at each cache.
    pub per_cache: Vec<u64>,
    /// What was counted in each step of the run.
    pub points: Vec<Point>,
}

/// A span of a run, ms from its beginning.
#[derive(Clone, Copy, Debug)]
struct Span {
    from: f64,
    to: f64,
}

/// From the first fault's beginning to the last one's end; a moment after a quarter of the run where there is none.
fn fault_span(scenario: &Scenario) -> Span {
    let spans = scenario
        .faults
        .iter()
        .map(|fault| Span { from: fault.start_ms, to: fault.start_ms + fault.duration_ms });
    let joined = spans.reduce(|a, b| Span { from: a.from.min(b.from), to: a.to.max(b.to) });
    let quarter = scenario.duration_seconds * 250.0;
    joined.unwrap_or(Span { from: quarter, to: quarter })
}

impl Run {
    /// The result of a scenario's record.
    pub fn new(variant: &str, scenario: Scenario, record: Record) -> Self {
        let Span { from, to } = fault_span(&scenario);
        let Recovery { before, trough, after, seconds, amplification } = record.recovery(from, to);
        let requests = record.sum(|point| point.requests);
        Run {
            variant: variant.to_string(),
            seed: scenario.seed,
            scenario,
            requests,
            served: record.sum(|point| point.served) as f64 / requests.max(1) as f64,
            before,
            trough,
            after,
            amplification,
            seconds_to_recover: seconds,
            p50: record.p50_ms,
            p99: record.p99_ms,
            rule_breaks: record.violations.total() + record.gateway_violations,
            first_break: record.first_violation,
            events: record.events,
            took: record.wall_seconds,
            per_cache: record.attempts_per_cache,
            points: record.points,
        }
    }

    /// Whether it was not back within three times the length of its faults, or 20 s, whichever is more.
    pub fn is_stuck(&self) -> bool {
        let Span { from, to } = fault_span(&self.scenario);
        let allowed = ((to - from) * STUCK_MULTIPLE / 1000.0).max(LEAST_RECOVERY_SECONDS);
        self.seconds_to_recover.is_none_or(|seconds| seconds > allowed)
    }

    /// Whether the gateway promises something for it: baselines may break what they like.
    pub fn is_gateway(&self) -> bool {
        matches!(self.scenario.balancer, BalancerKind::Gateway | BalancerKind::GatewayWithRecovery)
    }

    /// The stored result of the same variant, seed and scenario, if there is one.
    pub fn load(folder: &Path, variant: &str, scenario: &Scenario) -> Option<Run> {
        let bytes = fs::read(path(folder, variant, scenario.seed)).ok()?;
        let run: Run = serde_json::from_slice(&bytes).ok()?;
        (run.scenario == *scenario && run.variant == variant).then_some(run)
    }

    /// Stores the result. A run that is interrupted leaves no half of a file.
    pub fn store(&self, folder: &Path) -> Result<(), LabError> {
        let bytes = serde_json::to_vec(self).map_err(LabError::json(&self.variant))?;
        let path = path(folder, &self.variant, self.seed);
        let part = path.with_extension("part");
        fs::write(&part, bytes).and_then(|()| fs::rename(&part, &path)).map_err(LabError::file(&path))
    }
}

fn path(folder: &Path, variant: &str, seed: u64) -> PathBuf {
    let plain = |c: char| if c.is_ascii_alphanumeric() { c } else { '-' };
    let variant: String = variant.chars().map(plain).collect();
    folder.join(format!("run-{variant}-{seed}.json"))
}
