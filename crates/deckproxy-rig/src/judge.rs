//! What a run of a fleet showed: counted at members, relays and clients. For two figures alone the instances' own logs are
//! used, as nobody else can tell: whom each took for dead, and what each had on its board.

use crate::fleet_agreement::{convergence, false_deaths};
use crate::intervals::{longest_gap, most_within};
use crate::plan::{FaultKind, Plan};
use crate::run::RunRecord;
use deckproxy_standins::record::Fact;
use deckproxy_standins::rules::{self, RuleLimits, Verdict};
use std::collections::BTreeSet;

/// The span in which health checks of a member are counted, ms.
const CHECK_SPAN_MS: f64 = 2000.0;
/// Observers that a member is meant to have.
const OBSERVERS: usize = 2;

/// What was counted in a run of a fleet.
#[derive(Clone, Debug)]
pub struct FleetFigures {
    /// The rules that hold for any run.
    pub verdict: Verdict,
    /// Health checks of members that no fault touched.
    pub health_checks: usize,
    /// Those beside what is intended, over the run.
    pub check_ratio: f64,
    /// The same for one member in any 2 s, at the most.
    pub check_ratio_max: f64,
    /// The longest time for which such a member was not checked by anybody, ms.
    pub coverage_gap_ms: f64,
    /// Times that an instance was taken for dead without cause.
    pub false_deaths: usize,
    /// The longest time from the end of a fault until all instances heard each other and had the same board, ms; none: after
    /// a fault they never did.
    pub convergence_ms: Option<f64>,
    /// Bytes of datagrams a second of each instance.
    pub bytes_per_second: f64,
    /// Kills in the plan.
    pub kills: usize,
    /// Pauses in the plan.
    pub pauses: usize,
    /// Splits in the plan, one-way ones among them.
    pub splits: usize,
    /// Restarts in the plan, those after a kill among them.
    pub restarts: usize,
}

/// Judges a run.
pub fn judge(run: &RunRecord) -> FleetFigures {
    let plan = &run.plan;
    let times = health_check_times(run);
    let health_checks = times.iter().map(Vec::len).sum::<usize>();
    let intended_per_ms = plan.instances.min(OBSERVERS) as f64 / plan.health_check_interval_ms as f64;
    let traffic_ms = run.traffic_to - run.traffic_from;
    let intended = intended_per_ms * traffic_ms * times.len() as f64;
    let most_in_span = times.iter().map(|times| most_within(times, CHECK_SPAN_MS)).max().unwrap_or(0);
    let gaps = times.iter().map(|times| longest_gap(times, run.traffic_from, run.traffic_to));
    FleetFigures {
        verdict: rules::judge(&run.facts, RuleLimits::default(), run.end),
        health_checks,
        check_ratio: health_checks as f64 / intended.max(1e-9),
        check_ratio_max: most_in_span as f64 / (intended_per_ms * CHECK_SPAN_MS),
        coverage_gap_ms: gaps.fold(0.0, f64::max),
        false_deaths: false_deaths(run),
        convergence_ms: convergence(run),
        bytes_per_second: run.datagrams.bytes as f64 / plan.instances as f64 / (traffic_ms / 1000.0),
        kills: count(plan, |kind| matches!(kind, FaultKind::Kill(_))),
        pauses: count(plan, |kind| matches!(kind, FaultKind::Pause(_))),
        splits: count(plan, FaultKind::is_partition),
        restarts: count(plan, |kind| {
            matches!(kind, FaultKind::Restart(_) | FaultKind::Kill(_) | FaultKind::RollingRestart)
        }),
    }
}

fn count(plan: &Plan, is_counted: fn(&FaultKind) -> bool) -> usize {
    plan.faults.iter().filter(|fault| is_counted(&fault.kind)).count()
}

/// Members that a fault of the plan touches.
fn touched_members(run: &RunRecord) -> BTreeSet<&str> {
    let caches = run.plan.caches;
    let members = |kind: &FaultKind| match kind {
        FaultKind::Cache(number, _) => &run.members[*number..=*number],
        FaultKind::Cut { zone, .. } => &run.members[zone * caches..(zone + 1) * caches],
        _ => &[],
    };
    run.plan.faults.iter().flat_map(|fault| members(&fault.kind)).map(String::as_str).collect()
}

/// Times at which each member was checked during the traffic, ms of the record; of members that no fault touches.
fn health_check_times(run: &RunRecord) -> Vec<Vec<f64>> {
    let touched = touched_members(run);
    let members = run.members.iter().filter(|member| !touched.contains(member.as_str()));
    members.map(|member| check_times_of(run, member)).collect()
}

fn check_times_of(run: &RunRecord, name: &str) -> Vec<f64> {
    let traffic = run.traffic_from..=run.traffic_to;
    let checks = run.facts.iter().filter(|seen| {
        matches!(&seen.fact, Fact::HealthChecked { member } if member == name) && traffic.contains(&seen.at)
    });
    checks.map(|seen| seen.at).collect()
}
