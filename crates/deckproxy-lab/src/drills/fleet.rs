//! The drill of a fleet: instances that are killed, paused, restarted and cut off from each other, under traffic.

use super::{Options, Report, Spoil, round};
use crate::traffic;
pub use deckproxy_rig::draw::SHORTEST as LEAST_SECONDS;
use deckproxy_rig::draw::partings;
use deckproxy_rig::judge::{Figures, judge};
use deckproxy_rig::plan::Plan;
use deckproxy_rig::play::{Played, play};
use deckproxy_standins::record::{Fact, Seen};
use serde_json::json;
use std::sync::atomic::Ordering;

/// Runs it.
pub fn run(options: &Options) -> Report {
    let mut plan = Plan { seconds: options.seconds as f64, seed: options.seed, ..Plan::default() };
    plan.question =
        "A fleet of five in two zones while instances are killed, paused, restarted and cut off".to_string();
    plan.faults = partings(options.seed, plan.seconds, plan.instances);
    let draw = traffic::requests(0, 1, 600, 0.0, 0.06);
    let mut played = play(&plan, &draw, |_, _| {});
    if let Some(spoil) = options.spoil {
        put_wrong(&mut played, spoil);
    }
    let figures = judge(&played);
    if std::env::var_os("DECKLAB_LOGS").is_some() {
        played.logs.iter().for_each(|log| eprintln!("{log}"));
        eprintln!("{}", plan.text());
    }
    report(&played, figures)
}

/// The promises, held against what was counted.
fn report(played: &Played, f: Figures) -> Report {
    let mut broken = played.wrongs.clone();
    let mut promise = |holds: bool, what: String| {
        if !holds {
            broken.push(what);
        }
    };
    promise(
        f.kills > 0 && f.pauses > 0 && f.splits > 1 && f.restarts > 0,
        "each fault is to happen once at least".to_string(),
    );
    promise(
        f.probe_ratio <= 1.2,
        format!("{:.2} times the intended probes; 1.2 are promised", f.probe_ratio),
    );
    promise(
        f.probe_ratio_max < 2.0,
        format!("{:.2} times the intended probes of a member in 2 s; under 2 is promised", f.probe_ratio_max),
    );
    promise(
        f.coverage_gap <= 4000.0,
        format!("a member was not probed for {:.0} ms; 4000 are promised", f.coverage_gap),
    );
    promise(
        f.converge.is_some_and(|ms| ms <= 3000.0),
        format!("boards were the same after {:?} ms; 3000 are promised", f.converge),
    );
    promise(
        f.false_dead == 0,
        format!("{} times an instance was taken for gone without cause", f.false_dead),
    );
    let v = &f.verdict;
    let breaks = v.rule_breaks();
    let figures = json!({
        "instances": played.plan.instances, "kills": f.kills, "pauses": f.pauses, "splits": f.splits,
        "restarts": f.restarts, "probes": f.probes, "probe_ratio": round(f.probe_ratio),
        "probe_ratio_max": round(f.probe_ratio_max), "coverage_gap_ms_max": f.coverage_gap.round(),
        "false_dead": f.false_dead, "converge_ms_max": f.converge.map(f64::round),
        "bytes_per_s_instance": f.bytes.round(), "rule_breaks": breaks,
        "wanted": played.counts.wanted.load(Ordering::SeqCst), "got": played.counts.got.load(Ordering::SeqCst),
        "excused": played.counts.excused.load(Ordering::SeqCst),
    });
    Report { verdict: f.verdict, figures, broken }
}

/// Puts one thing wrong in a record.
fn put_wrong(played: &mut Played, spoil: Spoil) {
    let facts = &mut played.facts;
    let member = played.members[0].clone();
    let middle = (played.from + played.to) / 2.0;
    match spoil {
        Spoil::Probes => {
            // As many as if each of five observed it.
            let probed = |i: usize| Seen {
                at: middle + i as f64 * 200.0,
                fact: Fact::HealthChecked { member: member.clone() },
            };
            facts.extend((0..10).map(probed));
        }
        Spoil::Coverage => {
            let hole = middle..middle + 4500.0;
            facts.retain(|s| {
                !(matches!(&s.fact, Fact::HealthChecked { member: m } if *m == member)
                    && hole.contains(&s.at))
            });
        }
        Spoil::Board => {
            // One whose board never is that of the others again.
            let log = std::mem::take(&mut played.logs[0]);
            played.logs[0] = log.replace("\"board\":\"", "\"board\":\"ff");
        }
        Spoil::Answer => {
            let name = facts.iter().find_map(|s| match &s.fact {
                Fact::RequestSent { name, .. } => Some(name.clone()),
                _ => None,
            });
            facts.retain(|s| !matches!(&s.fact, Fact::Answered { name: n, .. } | Fact::Withdrawn { name: n } if Some(n) == name.as_ref()));
        }
        Spoil::Effect => {
            let ran = facts.iter().find(|s| matches!(s.fact, Fact::EffectApplied { .. })).cloned();
            facts.extend(ran.map(|s| Seen { at: s.at + 1.0, ..s }));
        }
        Spoil::Stale | Spoil::Attempt | Spoil::Record => {
            unreachable!("{spoil:?} is rejected before the drill starts")
        }
    }
    facts.sort_by(|a, b| a.at.total_cmp(&b.at));
}
