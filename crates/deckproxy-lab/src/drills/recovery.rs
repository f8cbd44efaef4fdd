//! The drill of recovery: the origin is slow for a while, and works on for clients that have left.

use super::{Options, Report, Spoil};
use crate::traffic;
use deckproxy_standins::free_address;
use deckproxy_standins::load_client::{Load, LoadClients, RetryPolicy};
use deckproxy_standins::record::{Fact, Outcome, Record, Seen};
use deckproxy_standins::rules::{self, Verdict};
use deckproxy_standins::site::{Site, SiteConfig};
use serde_json::{Value, json};
use std::collections::HashMap;
use std::thread;
use std::time::{Duration, Instant};

/// Requests a second, of which most need the origin; clients; and how long one waits, ms.
const RATE: f64 = 320.0;
const CLIENTS: usize = 40;
const ALLOW: f64 = 1400.0;
/// Requests that the origin works on at once, and by how much each takes longer while it is slow, ms.
const ROOM: usize = 9;
const SLOW: u64 = 90;
/// What is promised: work for each first try beside a calm time; the share of the goodput before.
const AMPLIFICATION: f64 = 1.3;
const GOOD: f64 = 0.95;

/// The shortest run, s: the first second is left out, and the quarter before the fault has to hold another one.
pub const LEAST_SECONDS: u64 = 8;

const DOOR: &str = "recovery { share_of_repeats: 0.2 }";

/// What one way of doing it came to.
struct Run {
    verdict: Verdict,
    before: f64,
    trough: f64,
    after: f64,
    /// Attempts at members for each first try, at the most over two seconds, beside those of the calm time.
    amplification: f64,
    /// Seconds from the end of the cause until the goodput was back; none: not in the run.
    seconds: Option<f64>,
    broken: Vec<String>,
}

impl Run {
    fn figures(&self) -> Value {
        let round = super::round;
        json!({"goodput_before": round(self.before), "goodput_trough": round(self.trough),
            "goodput_after": round(self.after), "amplification": round(self.amplification),
            "seconds_to_recover": self.seconds.map(round), "stuck": self.seconds.is_none()})
    }
}

/// Runs it three times: with recovery, without, and without while clients come again at once.
pub fn run(options: &Options) -> Report {
    let on = play(options, Some(DOOR), RetryPolicy::AfterAdvice);
    let off = play(options, None, RetryPolicy::AfterAdvice);
    let hasty = play(options, None, RetryPolicy::Immediate);
    let mut broken = on.broken.clone();
    let mut must = |holds: bool, what: String| {
        if !holds {
            broken.push(what);
        }
    };
    let fault = options.seconds as f64 / 4.0;
    let most = (fault * 3.0).max(20.0);
    must(
        on.amplification <= AMPLIFICATION,
        format!("{:.2} times the work for a first try; {AMPLIFICATION} are promised", on.amplification),
    );
    must(
        on.seconds.is_some_and(|s| s <= most),
        format!("back after {:?} s; {most} are promised", on.seconds),
    );
    must(
        on.before > 0.9,
        format!("{:.3} served before anything was wrong: the machine is too slow", on.before),
    );
    let breaks = |run: &Run| run.verdict.violations.len();
    let mut figures = on.figures();
    figures["off"] = off.figures();
    figures["at_once"] = hasty.figures();
    figures["rule_breaks"] = breaks(&on).into();
    figures["rule_breaks_off"] = (breaks(&off) + breaks(&hasty)).into();
    Report { figures, verdict: on.verdict, broken }
}

fn play(options: &Options, operator: Option<&str>, patience: RetryPolicy) -> Run {
    let record = Record::default();
    let site = Site::start(0, SiteConfig { origin_concurrency: ROOM, ..SiteConfig::default() }, &record);
    let at = free_address();
    let mut gateway = site.gateway("n1", at, operator);
    // So many objects that most are asked for once.
    let draw = traffic::requests(0, 1, 200_000, 0.0, 0.02);
    let load = Load { retry_policy: patience, ..Load::new(0, at, CLIENTS, RATE, options.seed, &draw) };
    let callers = LoadClients::start(&load, &record);
    let start = Instant::now();
    let part = Duration::from_secs_f64(options.seconds as f64 / 4.0);
    thread::sleep(part);
    let from = record.now();
    site.slow_origin(SLOW);
    thread::sleep((part * 2).saturating_sub(start.elapsed()));
    site.slow_origin(0);
    let to = record.now();
    thread::sleep((part * 4).saturating_sub(start.elapsed()));
    let asked_until = record.now();
    callers.finish();
    gateway.signal("TERM");
    let code = gateway.wait_for_exit();
    let mut broken = Vec::new();
    if code != Some(0) {
        broken.push(format!("the gateway ended with {code:?}: {}", gateway.log()));
    }
    if gateway.log().contains("broken invariant") {
        broken.push(format!("the gateway's own checks failed: {}", gateway.log()));
    }
    let end = record.now();
    let mut facts = record.take();
    if options.spoil == Some(Spoil::Attempt) && operator.is_some() {
        // As if each attempt in the trouble had been made twice, one after the other.
        let twice: Vec<Seen> = facts
            .iter()
            .filter(|s| {
                matches!(s.fact, Fact::AttemptReceived { .. } | Fact::AttemptEnded { .. }) && s.at > from
            })
            .cloned()
            .collect();
        facts.extend(twice);
        facts.sort_by(|a, b| a.at.total_cmp(&b.at));
    }
    let verdict = rules::judge(&facts, rules::RuleLimits::default(), end);
    judge(&facts, [from, to, asked_until], verdict, broken)
}

/// What came of it, from what clients and members saw.
fn judge(facts: &[Seen], [from, to, end]: [f64; 3], verdict: Verdict, broken: Vec<String>) -> Run {
    let seconds = (end / 1000.0) as usize + 3;
    let (mut firsts, mut served, mut came) = (vec![0.0; seconds], vec![0.0; seconds], vec![0.0; seconds]);
    let mut asked = HashMap::new();
    for seen in facts {
        let second = ((seen.at / 1000.0) as usize).min(seconds - 1);
        match &seen.fact {
            // A repeat has less time left than a first try.
            Fact::RequestSent { name, timeout_ms: allow, .. } => {
                firsts[second] += f64::from(u8::from(*allow >= ALLOW - 0.5));
                // What is served counts for the second in which it was first asked for.
                asked.insert(name, ((seen.at - (ALLOW - allow)).max(0.0) / 1000.0) as usize);
            }
            Fact::Answered { name, outcome: Outcome::Served(_) | Outcome::Unchanged } => {
                if let Some(at) = asked.get(name) {
                    served[(*at).min(seconds - 1)] += 1.0;
                }
            }
            Fact::AttemptReceived { .. } => came[second] += 1.0,
            _ => {}
        }
    }
    let share = |top: &[f64], a: usize, b: usize| {
        let b = b.min(seconds);
        let below: f64 = firsts[a.min(b)..b].iter().sum();
        top[a.min(b)..b].iter().sum::<f64>() / below.max(1.0)
    };
    let (first, cause, over) = (1, (from / 1000.0) as usize, (to / 1000.0).ceil() as usize);
    let last = (end / 1000.0) as usize;
    let before = share(&served, first, cause);
    let calm = share(&came, first, cause);
    let trough = (cause..last).map(|s| share(&served, s, s + 1)).fold(before, f64::min);
    let amplification = (cause..last.saturating_sub(1)).map(|s| share(&came, s, s + 2) / calm.max(0.01));
    // Back and stays back: the last second that was not good, and the one after it.
    let bad = (over..last).rev().find(|s| share(&served, *s, s + 1) < GOOD * before);
    let back = bad.map_or(over, |s| s + 1);
    Run {
        before,
        trough,
        after: share(&served, last.saturating_sub(3), last),
        amplification: amplification.fold(0.0, f64::max),
        seconds: (back + 2 <= last).then(|| ((back * 1000) as f64 - to).max(0.0) / 1000.0),
        verdict,
        broken,
    }
}
