//! What a run showed: counted at members, relays and clients. Of two things alone the instances' own logs tell, as nobody
//! else can: whom each took for dead, and what each had on its board.

use crate::fleet_view::{View, views};
use crate::plan::What;
use crate::play::Played;
use crate::processes::Absences;
use deckproxy_standins::record::Fact;
use deckproxy_standins::rules::{self, Verdict};
use std::collections::BTreeSet;

/// What was counted.
#[derive(Clone, Debug)]
pub struct Figures {
    /// The rules.
    pub verdict: Verdict,
    /// Probes that came to members which no fault touched.
    pub probes: usize,
    /// Those beside what is intended: over the run, and at worst for one member in any 2 s.
    pub probe_ratio: f64,
    /// See `probe_ratio`.
    pub probe_ratio_max: f64,
    /// The longest time for which such a member was not probed by anybody, ms.
    pub coverage_gap: f64,
    /// Times that an instance was taken for gone without cause.
    pub false_dead: usize,
    /// The longest time from the end of a fault until all heard each other and had the same board, ms; none: a fault ended
    /// after which that never was.
    pub converge: Option<f64>,
    /// Bytes of datagrams a second of each instance.
    pub bytes: f64,
    /// Kills, pauses, splits (one way ones among them) and restarts.
    pub kills: usize,
    /// See `kills`.
    pub pauses: usize,
    /// See `kills`.
    pub splits: usize,
    /// See `kills`.
    pub restarts: usize,
}

/// After an instance was away or cut off, until nobody may take it for gone any more, ms.
const GRACE: f64 = 5000.0;
/// A span in which probes of a member are counted, ms.
const SPAN: f64 = 2000.0;

/// Judges a run.
pub fn judge(played: &Played) -> Figures {
    let plan = &played.plan;
    let verdict = rules::judge(&played.facts, rules::RuleLimits::default(), played.end);
    let touched: BTreeSet<&str> = plan
        .faults
        .iter()
        .flat_map(|fault| match &fault.what {
            What::Cache(n, _) => vec![played.members[*n].as_str()],
            What::Cut(_, zone, _) => {
                let of = zone * plan.caches..(zone + 1) * plan.caches;
                played.members[of].iter().map(String::as_str).collect()
            }
            _ => Vec::new(),
        })
        .collect();
    let members: Vec<&str> =
        played.members.iter().map(String::as_str).filter(|m| !touched.contains(m)).collect();
    let times: Vec<Vec<f64>> = members
        .iter()
        .map(|name| {
            let probed = played.facts.iter().filter(|s| {
                matches!(&s.fact, Fact::HealthChecked { member } if member == name)
                    && s.at >= played.from
                    && s.at <= played.to
            });
            probed.map(|s| s.at).collect()
        })
        .collect();
    let probes = times.iter().map(Vec::len).sum::<usize>();
    let each = plan.instances.min(2) as f64 / plan.probe as f64;
    let span = played.to - played.from;
    let count = |what: fn(&What) -> bool| plan.faults.iter().filter(|f| what(&f.what)).count();
    Figures {
        verdict,
        probes,
        probe_ratio: probes as f64 / (each * span * members.len() as f64).max(1e-9),
        probe_ratio_max: times.iter().map(|t| most_within(t, SPAN)).max().unwrap_or(0) as f64 / (each * SPAN),
        coverage_gap: times.iter().map(|t| longest_gap(t, played.from, played.to)).fold(0.0, f64::max),
        false_dead: false_dead(played),
        converge: converge(played),
        bytes: played.sent.1 as f64 / plan.instances as f64 / (span / 1000.0),
        kills: count(|w| matches!(w, What::Kill(_))),
        pauses: count(|w| matches!(w, What::Pause(_))),
        splits: count(|w| matches!(w, What::Split(_) | What::Mute(_))),
        restarts: count(|w| matches!(w, What::Restart(_) | What::Kill(_) | What::Rolling)),
    }
}

/// The most of these times that lie within any span of that length.
pub fn most_within(times: &[f64], span: f64) -> usize {
    let within = |(i, at): (usize, &f64)| times[i..].iter().take_while(|t| **t < at + span).count();
    times.iter().enumerate().map(within).max().unwrap_or(0)
}

/// The longest time without any of these.
pub fn longest_gap(times: &[f64], from: f64, to: f64) -> f64 {
    let mut last = from;
    let mut worst: f64 = 0.0;
    for at in times.iter().copied().filter(|t| (from..=to).contains(t)).chain([to]) {
        worst = worst.max(at - last);
        last = at;
    }
    worst
}

/// Times, ms of the record, at which a pair of instances could not hear each other, one way or both.
fn apart(played: &Played, one: usize, other: usize) -> Vec<(f64, f64)> {
    let mut out: Vec<(f64, f64)> = [one, other].iter().flat_map(|i| played.absent[*i].all()).collect();
    for fault in &played.plan.faults {
        if let What::Split(part) | What::Mute(part) = &fault.what {
            let at = played.from + fault.at * 1000.0;
            let end = at + fault.lasts * 1000.0;
            // Of one part, they hear at the end of it what the others took them for.
            let same = part.contains(&one) == part.contains(&other);
            out.push((if same { end } else { at }, end));
        }
    }
    out
}

fn false_dead(played: &Played) -> usize {
    let mut wrong = 0;
    for (viewer, log) in played.logs.iter().enumerate() {
        let views = views(log);
        for pair in views.windows(2) {
            let at = pair[1].at - played.unix as f64;
            // Who is unheard for a moment keeps its duties; what counts is that others take them over.
            for gone in pair[1].lost.difference(&pair[0].lost) {
                let Some(i) = (0..played.plan.instances).find(|i| format!("i{i}") == *gone) else { continue };
                let cause = apart(played, viewer, i);
                let caused = cause.iter().any(|(from, to)| *from <= at && at <= *to + GRACE);
                wrong += usize::from(!caused && at <= played.to && at >= played.from);
            }
        }
    }
    wrong
}

/// Whether all instances that run hear each other and have the same board at a time, ms of the record.
fn together(played: &Played, views: &[Vec<View>], at: f64) -> bool {
    let here: Vec<usize> = (0..played.plan.instances).filter(|i| !played.absent[*i].touch(at, at)).collect();
    let names: BTreeSet<String> = here.iter().map(|i| format!("i{i}")).collect();
    let unix = at + played.unix as f64;
    let now: Vec<Option<&View>> =
        here.iter().map(|i| views[*i].iter().take_while(|v| v.at <= unix).last()).collect();
    let boards: BTreeSet<&str> = now.iter().flatten().map(|v| v.board.as_str()).collect();
    boards.len() <= 1
        && here.iter().zip(&now).all(|(i, view)| {
            view.is_some_and(|view| {
                let mut heard = view.heard.clone();
                heard.insert(format!("i{i}"));
                heard == names && !view.old
            })
        })
}

fn converge(played: &Played) -> Option<f64> {
    let plan = &played.plan;
    if !plan.fleet || plan.alone {
        return Some(0.0);
    }
    let views: Vec<Vec<View>> = played.logs.iter().map(|log| self::views(log)).collect();
    // When each fault that parts instances was over, and until when none other began.
    let mut heals: Vec<f64> = played
        .absent
        .iter()
        .flat_map(Absences::all)
        .map(|(_, to)| to)
        .filter(|to| *to < played.to && *to > played.from)
        .collect();
    let begins: Vec<f64> = plan.faults.iter().map(|f| played.from + f.at * 1000.0).collect();
    for fault in plan.faults.iter().filter(|f| matches!(f.what, What::Split(_) | What::Mute(_))) {
        heals.push(played.from + (fault.at + fault.lasts) * 1000.0);
    }
    let mut worst: f64 = 0.0;
    for heal in heals {
        let next = begins.iter().copied().filter(|at| *at > heal).fold(played.to, f64::min);
        // The moment itself still belongs to the fault.
        let mut at = heal + 1.0;
        while at < next && !together(played, &views, at) {
            at += 20.0;
        }
        if at >= next {
            // There was no time for it; else it never came.
            if next - heal > 3000.0 {
                return None;
            }
            continue;
        }
        worst = worst.max(at - heal);
    }
    Some(worst)
}
