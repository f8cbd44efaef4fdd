//! Whether the instances of a run agreed on who is alive and what is on their boards, by the views in their logs.

use crate::absence::Span;
use crate::fleet_view::{View, views};
use crate::plan::{Fault, FaultKind};
use crate::run::RunRecord;
use std::collections::BTreeSet;

/// Time after an instance was absent or cut off in which others may still take it for dead, ms.
const DETECTION_GRACE_MS: f64 = 5000.0;
/// Step in which convergence after a fault is sought, ms.
const CONVERGENCE_STEP_MS: f64 = 20.0;
/// A fault that is followed by the next one within this time need not be followed by convergence, ms.
const CONVERGENCE_TIME_MS: f64 = 3000.0;

/// The span of a fault, ms of the record.
fn span(run: &RunRecord, fault: &Fault) -> Span {
    let from = run.traffic_from + fault.at * 1000.0;
    Span { from, to: from + fault.duration * 1000.0 }
}

/// Spans at which a pair of instances could not hear each other, one way or both.
fn separations(run: &RunRecord, one: usize, other: usize) -> Vec<Span> {
    let mut spans: Vec<Span> = [one, other].iter().flat_map(|i| run.absences[*i].spans()).collect();
    for fault in &run.plan.faults {
        let (FaultKind::Split(part) | FaultKind::Mute(part)) = &fault.kind else { continue };
        let Span { from, to } = span(run, fault);
        // Two of one part learn at its end what the others took them for.
        let in_same_part = part.contains(&one) == part.contains(&other);
        spans.push(Span { from: if in_same_part { to } else { from }, to });
    }
    spans
}

/// How often an instance took another one for dead during the traffic though nothing had separated them.
pub(crate) fn false_deaths(run: &RunRecord) -> usize {
    let per_viewer = run.logs.iter().enumerate().map(|(viewer, log)| {
        let views = views(log);
        views.windows(2).map(|pair| newly_lost_without_cause(run, viewer, &pair[0], &pair[1])).sum::<usize>()
    });
    per_viewer.sum()
}

/// Instances that a viewer takes for dead from one view to the next without cause. One that is merely unheard for a moment
/// keeps its duties; what counts is that others take them over.
fn newly_lost_without_cause(run: &RunRecord, viewer: usize, before: &View, after: &View) -> usize {
    let at = after.at - run.start_unix_ms as f64;
    if at < run.traffic_from || at > run.traffic_to {
        return 0;
    }
    let newly_lost = after.lost.difference(&before.lost);
    let instances = newly_lost.filter_map(|name| instance_number(run, name));
    let has_cause = |instance: usize| {
        let mut spans = separations(run, viewer, instance).into_iter();
        spans.any(|span| span.from <= at && at <= span.to + DETECTION_GRACE_MS)
    };
    instances.filter(|instance| !has_cause(*instance)).count()
}

fn instance_number(run: &RunRecord, name: &str) -> Option<usize> {
    (0..run.plan.instances).find(|i| instance_name(*i) == name)
}

fn instance_name(number: usize) -> String {
    format!("i{number}")
}

/// Whether all instances that run hear each other and have the same board at a time, ms of the record.
fn have_converged(run: &RunRecord, views: &[Vec<View>], at: f64) -> bool {
    let present: Vec<usize> = (0..run.plan.instances).filter(|i| !run.absences[*i].overlap(at, at)).collect();
    let names: BTreeSet<String> = present.iter().map(|i| instance_name(*i)).collect();
    let unix = at + run.start_unix_ms as f64;
    let latest = |i: &usize| views[*i].iter().take_while(|view| view.at <= unix).last();
    let current: Vec<Option<&View>> = present.iter().map(latest).collect();
    let boards: BTreeSet<&str> = current.iter().flatten().map(|view| view.board.as_str()).collect();
    let hears_all = |instance: usize, view: &View| {
        let mut heard = view.heard.clone();
        heard.insert(instance_name(instance));
        heard == names && !view.is_stale
    };
    boards.len() <= 1
        && present.iter().zip(&current).all(|(i, view)| view.is_some_and(|view| hears_all(*i, view)))
}

/// Times at which instances could hear each other again after a fault, ms of the record.
fn recoveries(run: &RunRecord) -> Vec<f64> {
    let absences = run.absences.iter().flat_map(super::absence::Absences::spans);
    let returns = absences.map(|span| span.to).filter(|to| *to < run.traffic_to && *to > run.traffic_from);
    let partitions = run.plan.faults.iter().filter(|fault| fault.kind.is_partition());
    returns.chain(partitions.map(|fault| span(run, fault).to)).collect()
}

/// The longest time from a recovery until the instances had converged, ms; none: after one of them they never did. Where
/// the next fault leaves too little time for it, it is not expected.
pub(crate) fn convergence(run: &RunRecord) -> Option<f64> {
    if !run.plan.fleet || run.plan.isolated {
        return Some(0.0);
    }
    let views: Vec<Vec<View>> = run.logs.iter().map(|log| views(log)).collect();
    let begins: Vec<f64> = run.plan.faults.iter().map(|fault| span(run, fault).from).collect();
    let mut longest: f64 = 0.0;
    for recovery in recoveries(run) {
        let next_fault = begins.iter().copied().filter(|at| *at > recovery).fold(run.traffic_to, f64::min);
        // The moment itself still belongs to the fault.
        let mut at = recovery + 1.0;
        while at < next_fault && !have_converged(run, &views, at) {
            at += CONVERGENCE_STEP_MS;
        }
        if at < next_fault {
            longest = longest.max(at - recovery);
        } else if next_fault - recovery > CONVERGENCE_TIME_MS {
            return None;
        }
    }
    Some(longest)
}
