//! The drill of a fleet: instances that are killed, paused, restarted and cut off from each other, under traffic.

use super::promises::Promises;
use super::{Options, Report, Spoil, round};
use crate::traffic;
use deckproxy_rig::judge::{FleetFigures, judge};
use deckproxy_rig::plan::Plan;
pub use deckproxy_rig::plan::generator::LEAST_MEMBERSHIP_SECONDS as LEAST_SECONDS;
use deckproxy_rig::plan::generator::membership_faults;
use deckproxy_rig::run::{RunRecord, run_plan};
use deckproxy_standins::record::{Fact, Seen};
use serde_json::{Value, json};
use std::sync::atomic::Ordering;

/// Health checks of members over the run, relative to those intended, that are allowed.
const MOST_CHECK_RATIO: f64 = 1.2;
/// Health checks of one member in any 2 s, relative to those intended, that are not reached.
const MOST_CHECK_RATIO_IN_SPAN: f64 = 2.0;
/// The longest time for which a member may not be checked, ms.
const MOST_COVERAGE_GAP_MS: f64 = 4000.0;
/// The longest time until the instances' boards converge after a fault, ms.
const MOST_CONVERGENCE_MS: f64 = 3000.0;
/// Length of the gap in the health checks of a member that is put into a record, ms.
const SPOILT_GAP_MS: f64 = 4500.0;

/// Runs the drill.
pub fn run(options: &Options) -> Report {
    let mut plan = Plan { seconds: options.seconds as f64, seed: options.seed, ..Plan::default() };
    plan.question =
        "A fleet of five in two zones while instances are killed, paused, restarted and cut off".to_string();
    plan.faults = membership_faults(options.seed, plan.seconds, plan.instances);
    let mut run = run_plan(&plan, &traffic::requests(0, 1, 600, 0.0, 0.06), |_, _| {});
    if let Some(kind) = options.spoil {
        spoil(&mut run, kind);
    }
    let figures = judge(&run);
    if std::env::var_os("DECKLAB_LOGS").is_some() {
        run.logs.iter().for_each(|log| eprintln!("{log}"));
        eprintln!("{}", plan.text());
    }
    Report {
        broken: broken_promises(&run, &figures),
        figures: json_figures(&run, &figures),
        verdict: figures.verdict,
    }
}

fn broken_promises(run: &RunRecord, figures: &FleetFigures) -> Vec<String> {
    let mut promises = Promises::with_broken(run.process_faults.clone());
    let FleetFigures { kills, pauses, splits, restarts, .. } = *figures;
    promises.check(kills > 0 && pauses > 0 && splits > 1 && restarts > 0, || {
        "each fault is to happen once at least".to_string()
    });
    promises.check(figures.check_ratio <= MOST_CHECK_RATIO, || {
        format!(
            "{:.2} times the intended health checks; {MOST_CHECK_RATIO} are promised",
            figures.check_ratio
        )
    });
    promises.check(figures.check_ratio_max < MOST_CHECK_RATIO_IN_SPAN, || {
        format!(
            "{:.2} times the intended health checks of a member in 2 s; under 2 is promised",
            figures.check_ratio_max
        )
    });
    promises.check(figures.coverage_gap_ms <= MOST_COVERAGE_GAP_MS, || {
        format!("a member was not checked for {:.0} ms; 4000 are promised", figures.coverage_gap_ms)
    });
    promises.check(figures.convergence_ms.is_some_and(|ms| ms <= MOST_CONVERGENCE_MS), || {
        format!("boards converged after {:?} ms; 3000 are promised", figures.convergence_ms)
    });
    promises.check(figures.false_deaths == 0, || {
        format!("{} times an instance was declared dead without cause", figures.false_deaths)
    });
    promises.into_broken()
}

/// The figures of the drill's JSON object; its keys are documented.
fn json_figures(run: &RunRecord, figures: &FleetFigures) -> Value {
    json!({
        "instances": run.plan.instances, "kills": figures.kills, "pauses": figures.pauses,
        "splits": figures.splits, "restarts": figures.restarts, "probes": figures.health_checks,
        "probe_ratio": round(figures.check_ratio), "probe_ratio_max": round(figures.check_ratio_max),
        "coverage_gap_ms_max": figures.coverage_gap_ms.round(), "false_dead": figures.false_deaths,
        "converge_ms_max": figures.convergence_ms.map(f64::round),
        "bytes_per_s_instance": figures.bytes_per_second.round(),
        "rule_breaks": figures.verdict.rule_breaks(),
        "wanted": run.counts.wanted.load(Ordering::SeqCst), "got": run.counts.served.load(Ordering::SeqCst),
        "excused": run.counts.excused.load(Ordering::SeqCst),
    })
}

/// Puts one violation into a record.
fn spoil(run: &mut RunRecord, spoil: Spoil) {
    let member = run.members[0].clone();
    let middle = (run.traffic_from + run.traffic_to) / 2.0;
    let facts = &mut run.facts;
    match spoil {
        Spoil::Probes => {
            // As many health checks of a member as if each of five instances observed it.
            let check = |i: usize| Seen {
                at: middle + i as f64 * 200.0,
                fact: Fact::HealthChecked { member: member.clone() },
            };
            facts.extend((0..10).map(check));
        }
        Spoil::Coverage => {
            let gap = middle..middle + SPOILT_GAP_MS;
            facts.retain(|seen| {
                let is_check = matches!(&seen.fact, Fact::HealthChecked { member: m } if *m == member);
                !(is_check && gap.contains(&seen.at))
            });
        }
        Spoil::Board => {
            // An instance whose board never is that of the others.
            let log = std::mem::take(&mut run.logs[0]);
            run.logs[0] = log.replace("\"store_checksum\":\"", "\"store_checksum\":\"ff");
        }
        Spoil::Answer => {
            let name = facts.iter().find_map(|seen| match &seen.fact {
                Fact::RequestSent { name, .. } => Some(name.clone()),
                _ => None,
            });
            facts.retain(|seen| {
                let (Fact::Answered { name: answered, .. } | Fact::Withdrawn { name: answered }) = &seen.fact
                else {
                    return true;
                };
                Some(answered) != name.as_ref()
            });
        }
        Spoil::Effect => {
            let effect = facts.iter().find(|seen| matches!(seen.fact, Fact::EffectApplied { .. })).cloned();
            facts.extend(effect.map(|seen| Seen { at: seen.at + 1.0, ..seen }));
        }
        Spoil::Stale | Spoil::Attempt | Spoil::Record => {
            unreachable!("{spoil:?} is rejected before the drill starts")
        }
    }
    run.facts.sort_by(|a, b| a.at.total_cmp(&b.at));
}
