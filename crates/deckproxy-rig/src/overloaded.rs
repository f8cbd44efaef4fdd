//! What a run under overload came to, as clients and members saw it.

use crate::load_generator::Try;
use crate::plan::{Plan, What};
use crate::play::Played;
use deckproxy_standins::load_client::{RequestGenerator, RequestSpec};
use deckproxy_standins::record::{Fact, Outcome};
use deckproxy_standins::rules::{self, Verdict};
use rand::RngExt;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;

/// What is promised, and how it is counted.
#[derive(Clone, Copy, Debug)]
pub struct Terms {
    /// Repeats that may be worked on for each first try that is, in the whole fleet.
    pub share: f64,
    /// Repeats that an instance may have saved up.
    pub saved: f64,
    /// Worth of a request by class.
    pub worth: fn(&str) -> f64,
    /// Whether the caches hold an object: else it takes a source.
    pub popular: fn(u64) -> bool,
}

/// Objects that the caches hold, and the share of requests for one of them; of those with an effect.
const POPULAR: u64 = 120;
const POPULAR_SHARE: f64 = 0.4;
const WRITES: f64 = 0.06;

fn worth(class: &str) -> f64 {
    if class == "page" { 1.0 } else { 3.0 }
}

fn popular(object: u64) -> bool {
    object < POPULAR << 32
}

/// What runs of [`draw`] are judged by, with what the operator file has unless it says otherwise.
pub fn terms() -> Terms {
    Terms { share: 0.2, saved: 5.0, worth, popular }
}

/// What clients ask for: some objects again and again, most but once.
pub fn draw() -> RequestGenerator {
    Arc::new(|rng| {
        let object = match rng.random::<f64>() < POPULAR_SHARE {
            true => rng.random_range(0..POPULAR) << 32 | 7,
            // Small ones: what is scarce is the origin, not the links.
            false => (rng.random::<u64>() | 1 << 60) / 61 * 61 + 9,
        };
        let class = match rng.random::<f64>() {
            x if x < WRITES * 0.5 => "post",
            x if x < WRITES => "once",
            _ => "page",
        };
        RequestSpec { class, object, group: 3, home_site: 0, timeout_ms: 1400 }
    })
}

/// What was counted.
#[derive(Clone, Debug)]
pub struct Figures {
    /// The rules.
    pub verdict: Verdict,
    /// Wishes, and tries of them.
    pub firsts: usize,
    /// See `firsts`.
    pub tries: usize,
    /// Tries at instances that were answered so, or by nobody whose fault it was.
    pub served: usize,
    /// See `served`.
    pub refused: usize,
    /// See `served`.
    pub failed: usize,
    /// Worth of what was served in its time.
    pub worth: f64,
    /// Attempts at members and tries of clients for each wish, at the most over two seconds, beside the calm time.
    pub amplification: f64,
    /// Attempts at members alone, so.
    pub attempts: f64,
    /// Repeats that were worked on beside what is allowed for them, at the most over two seconds: while the instances heard
    /// each other, and while they were split.
    pub budget: f64,
    /// See `budget`.
    pub budget_split: f64,
    /// Share of those refused while one of less worth and no more age was served.
    pub inversions: f64,
    /// Jain's index of the share served by each instance.
    pub jain: f64,
    /// Times to come back within the client's own, to which it came; and those at which it was served.
    pub promises: usize,
    /// See `promises`.
    pub kept: usize,
    /// Seconds from the end of the last fault until 0.95 of the goodput before; none: not within the run.
    pub seconds: Option<f64>,
    /// Share of the wishes served in time before the first fault, at the least over a second, and in the last two.
    pub before: f64,
    /// See `before`.
    pub trough: f64,
    /// See `before`.
    pub after: f64,
}

/// Span over which work is added up, and over which goodput is, ms.
const SPAN: f64 = 2000.0;
const SECOND: f64 = 1000.0;
/// Span within which one is served in another's place, ms.
const PLACE: f64 = 250.0;
/// A client that comes so little after its time has come to it, ms.
const ON_TIME: f64 = 100.0;
/// Goodput that counts as back, beside the calm time's.
const BACK: f64 = 0.95;
/// After the instances hear each other again, until they do as one, ms.
const HEALED: f64 = 3000.0;

fn is_served(t: &Try) -> bool {
    matches!(t.end, Some((_, Outcome::Served(_) | Outcome::Unchanged)))
}

fn back(t: &Try) -> Option<f64> {
    match t.end {
        Some((at, Outcome::Rejected(Some(ms)))) if ms > 0.0 => Some(at + ms),
        _ => None,
    }
}

/// Judges a run whose first fault begins after a calm time.
pub fn judge(played: &Played, terms: Terms) -> Figures {
    let plan = &played.plan;
    let verdict = rules::judge(&played.facts, rules::RuleLimits::default(), played.end);
    let tries = &played.tries;
    let begin = plan.faults.iter().map(|f| f.at).fold(plan.seconds, f64::min) * 1000.0 + played.from;
    let over = plan.faults.iter().map(|f| f.at + f.lasts).fold(0.0, f64::max) * 1000.0 + played.from;
    // Of the calm time the beginning is left out: caches are empty then.
    let calm = (played.from + (begin - played.from) * 0.4, begin);
    let mut wishes: BTreeMap<u64, (f64, bool, &str, f64)> = BTreeMap::new();
    for t in tries {
        let wish = wishes.entry(t.wish).or_insert((t.since, false, t.class, f64::MAX));
        if is_served(t) {
            wish.1 = true;
            wish.3 = wish.3.min(t.end.map_or(f64::MAX, |e| e.0));
        }
    }
    let came = came(played);
    let attempts =
        |from: f64, to: f64| came.values().flatten().filter(|at| (from..to).contains(*at)).count() as f64;
    let firsts = |from: f64, to: f64| wishes.values().filter(|w| (from..to).contains(&w.0)).count() as f64;
    let asked = |from: f64, to: f64| tries.iter().filter(|t| (from..to).contains(&t.at)).count() as f64;
    let work = |from: f64, to: f64| (attempts(from, to) + asked(from, to)) / firsts(from, to).max(1.0);
    let alone = |from: f64, to: f64| attempts(from, to) / firsts(from, to).max(1.0);
    let spans = |step: f64, span: f64| {
        let last = played.to - span;
        (0..).map(move |i| begin + f64::from(i) * step).take_while(move |at| *at <= last)
    };
    let most =
        |of: &dyn Fn(f64, f64) -> f64| spans(500.0, SPAN).map(|at| of(at, at + SPAN)).fold(0.0, f64::max);
    let good = |from: f64, to: f64| {
        let of = wishes.values().filter(|w| (from..to).contains(&w.0));
        let (all, got) = of.fold((0.0, 0.0), |s, w| (s.0 + 1.0, s.1 + f64::from(u8::from(w.1))));
        if all > 0.0 { got / all } else { 1.0 }
    };
    let before = good(calm.0, calm.1);
    // What is asked in the last second and a half has no time left to be served.
    let last = played.to - 1500.0;
    let seconds = |at: f64| good(at, at + SECOND);
    let steps = || (0..).map(|i| over + f64::from(i) * 250.0).take_while(|at| *at + SECOND <= last);
    let bad = steps().filter(|at| seconds(*at) < BACK * before).last();
    let recovered = match bad {
        None => Some(0.0),
        Some(at) if at + 2.0 * SECOND <= last => Some((at + 250.0 - over) / 1000.0),
        Some(_) => None,
    };
    let (budget, budget_split) = budgets(played, &came, terms, begin);
    let (promises, kept) = promises(tries);
    let count = |is: fn(&Outcome) -> bool| tries.iter().filter(|t| t.end.is_some_and(|e| is(&e.1))).count();
    Figures {
        firsts: wishes.len(),
        tries: tries.len(),
        served: count(|o| matches!(o, Outcome::Served(_) | Outcome::Unchanged)),
        refused: count(|o| matches!(o, Outcome::Rejected(_))),
        failed: count(|o| matches!(o, Outcome::Failed)),
        worth: wishes.values().filter(|w| w.1).map(|w| (terms.worth)(w.2)).sum(),
        amplification: most(&work) / work(calm.0, calm.1).max(1e-9),
        attempts: most(&alone) / alone(calm.0, calm.1).max(1e-9),
        budget,
        budget_split,
        inversions: inversions(tries, terms),
        jain: jain(tries, plan, begin),
        promises,
        kept,
        seconds: recovered,
        before,
        trough: spans(250.0, SECOND).map(seconds).fold(before, f64::min),
        after: good(last - 2000.0, last),
        verdict,
    }
}

/// When attempts came to members, by name.
fn came(played: &Played) -> HashMap<&str, Vec<f64>> {
    let mut out: HashMap<&str, Vec<f64>> = HashMap::new();
    for seen in &played.facts {
        if let Fact::AttemptReceived { name, .. } = &seen.fact {
            out.entry(name.as_str()).or_default().push(seen.at);
        }
    }
    out
}

/// Times at which the instances did not hear each other, and a while after.
fn apart(played: &Played) -> Vec<(f64, f64)> {
    let parted = |w: &What| matches!(w, What::Split(_) | What::Mute(_));
    let of = played.plan.faults.iter().filter(|f| parted(&f.what));
    of.map(|f| (played.from + f.at * 1000.0, played.from + (f.at + f.lasts) * 1000.0 + HEALED)).collect()
}

/// Repeats that members were asked for beside those allowed, at the most over any two seconds: as one, and split.
fn budgets(played: &Played, came: &HashMap<&str, Vec<f64>>, terms: Terms, begin: f64) -> (f64, f64) {
    let worked: Vec<(f64, bool)> = played
        .tries
        .iter()
        .filter_map(|t| came.get(t.name.as_str()).and_then(|at| at.first()).map(|at| (*at, t.before > 0)))
        .collect();
    let apart = apart(played);
    let (mut one, mut split): (f64, f64) = (0.0, 0.0);
    let mut at = begin;
    while at + SPAN <= played.to {
        let within = worked.iter().filter(|(w, _)| (at..at + SPAN).contains(w));
        let (firsts, repeats) = within.fold((0.0, 0.0), |s, (_, again)| match again {
            true => (s.0, s.1 + 1.0),
            false => (s.0 + 1.0, s.1),
        });
        // What was saved up may be spent at once.
        let saved = terms.saved * played.plan.instances as f64;
        let ratio: f64 = repeats / (terms.share * firsts + saved).max(1.0);
        match apart.iter().any(|(from, to)| *from < at + SPAN && at < *to) {
            true => split = split.max(ratio),
            false => one = one.max(ratio),
        }
        at += 250.0;
    }
    (one, split)
}

/// Share of the refused tries for which, within the same quarter of a second and at the same crowded thing, one of less
/// worth and no more age was served at any instance.
fn inversions(tries: &[Try], terms: Terms) -> f64 {
    let slot = |at: f64| (at / PLACE) as u64;
    // By slot and thing: of each worth that was served, the least age.
    let mut served: HashMap<(u64, bool), Vec<(f64, f64)>> = HashMap::new();
    for t in tries.iter().filter(|t| is_served(t)) {
        let key = (slot(t.at), (terms.popular)(t.object) && t.class == "page");
        served.entry(key).or_default().push(((terms.worth)(t.class), t.at - t.since));
    }
    let refused: Vec<&Try> =
        tries.iter().filter(|t| matches!(t.end, Some((_, Outcome::Rejected(_))))).collect();
    let inverted = refused.iter().filter(|t| {
        let key = (slot(t.at), (terms.popular)(t.object) && t.class == "page");
        let (worth, age) = ((terms.worth)(t.class), t.at - t.since);
        served.get(&key).is_some_and(|all| all.iter().any(|(w, a)| *w < worth && *a <= age + 1.0))
    });
    inverted.count() as f64 / refused.len().max(1) as f64
}

/// Jain's index of what instances served of the wishes that came to them first, from the first fault on; those that were
/// away for long have no share.
fn jain(tries: &[Try], plan: &Plan, begin: f64) -> f64 {
    let mut by: BTreeMap<usize, (f64, f64)> = BTreeMap::new();
    let served: HashSet<u64> = tries.iter().filter(|t| is_served(t)).map(|t| t.wish).collect();
    for t in tries.iter().filter(|t| t.before == 0 && t.at >= begin) {
        let one = by.entry(t.door).or_default();
        one.0 += 1.0;
        one.1 += f64::from(u8::from(served.contains(&t.wish)));
    }
    let shares: Vec<f64> =
        (0..plan.instances).filter_map(|i| by.get(&i)).filter(|s| s.0 >= 20.0).map(|s| s.1 / s.0).collect();
    let (sum, squares) = shares.iter().fold((0.0, 0.0), |s, x| (s.0 + x, s.1 + x * x));
    if squares > 0.0 { sum * sum / (shares.len() as f64 * squares) } else { 1.0 }
}

/// Times to come back to which clients came, and those at which they were served.
fn promises(tries: &[Try]) -> (usize, usize) {
    let mut told: HashMap<u64, f64> = HashMap::new();
    let (mut all, mut kept) = (0, 0);
    for t in tries {
        if let Some(at) = told.get(&t.wish).copied().filter(|_| t.told)
            && (at - 1.0..at + ON_TIME).contains(&t.at)
        {
            all += 1;
            kept += usize::from(is_served(t));
        }
        match back(t) {
            Some(at) => drop(told.insert(t.wish, at)),
            None => drop(told.remove(&t.wish)),
        }
    }
    (all, kept)
}
