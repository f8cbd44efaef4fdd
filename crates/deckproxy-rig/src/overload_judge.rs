//! What a run under overload came to, as clients and members saw it: goodput, amplification by retries, fairness, and
//! whether what Retry-After promised came true.

use crate::load_generator::ClientAttempt;
use crate::run::RunRecord;
use deckproxy_standins::load_client::{RequestGenerator, RequestSpec};
use deckproxy_standins::record::{Fact, Outcome};
use deckproxy_standins::rules::{self, RuleLimits, Verdict};
use rand::RngExt;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;

/// Span over which work is added up, ms.
const WORK_SPAN_MS: f64 = 2000.0;
/// Step from one such span to the next, ms.
const WORK_STEP_MS: f64 = 500.0;
/// Step from one span of the retry budget to the next, and of goodput, ms.
const STEP_MS: f64 = 250.0;
/// Span over which goodput is taken, ms.
const GOODPUT_SPAN_MS: f64 = 1000.0;
/// Span over which goodput at the end of the run is taken, ms.
const FINAL_SPAN_MS: f64 = 2000.0;
/// Time before the end of the traffic in which a request has too little time left to be served, ms.
const CUT_OFF_MS: f64 = 1500.0;
/// Share of the time before the first fault that is left out of the calm time: caches are empty then.
const WARM_UP_SHARE: f64 = 0.4;
/// Span within which one request is served in place of another, ms.
const INVERSION_SPAN_MS: f64 = 250.0;
/// Slack when the ages of two requests are compared, ms.
const AGE_SLACK_MS: f64 = 1.0;
/// A client that comes back within this time after Retry-After has come on time, ms.
const RETURN_SLACK_MS: f64 = 100.0;
/// Goodput that counts as recovered, beside that of the calm time.
const RECOVERED_SHARE: f64 = 0.95;
/// Time after a split until the instances shed load as one again, ms.
const HEAL_MS: f64 = 3000.0;
/// First attempts that an instance must have had to count for fairness.
const LEAST_FIRST_ATTEMPTS: f64 = 20.0;

/// Objects that the caches hold.
const POPULAR_OBJECTS: u64 = 120;
/// Share of the requests that are for one of them.
const POPULAR_SHARE: f64 = 0.4;
/// Share of the requests that have an effect.
const WRITE_SHARE: f64 = 0.06;
/// Time that a client gives a request, ms.
const TIMEOUT_MS: u32 = 1400;

/// What a run is judged by.
#[derive(Clone, Copy, Debug)]
pub struct OverloadCriteria {
    /// Retries that may be worked on for each first attempt that is, in the whole fleet.
    pub retry_share: f64,
    /// Retries that an instance may have saved up.
    pub saved_retries: f64,
    /// Priority weight of a request by its class.
    pub priority_weight: fn(&str) -> f64,
    /// Whether the caches hold an object; the origin is needed for the others.
    pub is_popular: fn(u64) -> bool,
}

impl Default for OverloadCriteria {
    /// The criteria for the traffic of [`requests`], with the defaults of the operator file.
    fn default() -> Self {
        OverloadCriteria { retry_share: 0.2, saved_retries: 5.0, priority_weight, is_popular }
    }
}

fn priority_weight(class: &str) -> f64 {
    if class == "page" { 1.0 } else { 3.0 }
}

fn is_popular(object: u64) -> bool {
    object < POPULAR_OBJECTS << 32
}

impl OverloadCriteria {
    /// Whether an attempt is one that a cache can serve; else it needs the origin.
    fn is_cacheable(&self, attempt: &ClientAttempt) -> bool {
        (self.is_popular)(attempt.object) && attempt.class == "page"
    }
}

/// Requests for some objects again and again, for most but once.
pub fn requests() -> RequestGenerator {
    Arc::new(|rng| {
        let object = if rng.random::<f64>() < POPULAR_SHARE {
            rng.random_range(0..POPULAR_OBJECTS) << 32 | 7
        } else {
            // Small ones: the origin is scarce, not the links.
            (rng.random::<u64>() | 1 << 60) / 61 * 61 + 9
        };
        let class = match rng.random::<f64>() {
            x if x < WRITE_SHARE * 0.5 => "post",
            x if x < WRITE_SHARE => "once",
            _ => "page",
        };
        RequestSpec { class, object, group: 3, home_site: 0, timeout_ms: TIMEOUT_MS }
    })
}

/// What was counted in a run under overload.
#[derive(Clone, Debug)]
pub struct OverloadFigures {
    /// The rules that hold for any run.
    pub verdict: Verdict,
    /// Requests that clients wanted.
    pub requests: usize,
    /// Attempts of them.
    pub attempts: usize,
    /// Attempts that were served.
    pub served: usize,
    /// Attempts that were rejected.
    pub rejected: usize,
    /// Attempts that failed.
    pub failed: usize,
    /// Priority weight of the requests that were served.
    pub served_weight: f64,
    /// Attempts at members and instances for each request, at the most over two seconds, beside the calm time.
    pub amplification: f64,
    /// The same of attempts at members alone.
    pub member_amplification: f64,
    /// Retries that were worked on beside their budget, at the most over two seconds in which the instances heard each
    /// other.
    pub budget_ratio: f64,
    /// The same while they were split.
    pub split_budget_ratio: f64,
    /// Share of the rejected attempts for which one of less weight and no more age was served.
    pub inversions: f64,
    /// Jain's index of the shares that the instances served.
    pub jain_index: f64,
    /// Retry-Afters to which clients came back in time.
    pub returns: usize,
    /// Those at which they were served.
    pub served_returns: usize,
    /// Seconds from the end of the last fault until 0.95 of the goodput before; none: not within the run.
    pub recovery_seconds: Option<f64>,
    /// Share of the requests served before the first fault.
    pub goodput_before: f64,
    /// The least share served over a second from the first fault on.
    pub goodput_trough: f64,
    /// The share served in the last two seconds.
    pub goodput_after: f64,
}

/// A request that a client wanted.
struct Request {
    /// When, ms of the record.
    at: f64,
    class: &'static str,
    is_served: bool,
}

/// A run with what is looked up often.
struct Judge<'a> {
    run: &'a RunRecord,
    criteria: OverloadCriteria,
    /// The first fault's beginning and the last one's end, ms of the record.
    faults_from: f64,
    faults_to: f64,
    /// Requests by number.
    requests: BTreeMap<u64, Request>,
    /// Times at which attempts came to members, by name.
    member_attempts: HashMap<&'a str, Vec<f64>>,
}

/// Judges a run whose first fault begins after a calm time.
pub fn judge(run: &RunRecord, criteria: OverloadCriteria) -> OverloadFigures {
    Judge::new(run, criteria).figures()
}

impl<'a> Judge<'a> {
    fn new(run: &'a RunRecord, criteria: OverloadCriteria) -> Self {
        let plan = &run.plan;
        let first = plan.faults.iter().map(|fault| fault.at).fold(plan.seconds, f64::min);
        let last = plan.faults.iter().map(|fault| fault.at + fault.duration).fold(0.0, f64::max);
        Judge {
            run,
            criteria,
            faults_from: first * 1000.0 + run.traffic_from,
            faults_to: last * 1000.0 + run.traffic_from,
            requests: requests_of(&run.attempts),
            member_attempts: member_attempts(run),
        }
    }

    fn figures(&self) -> OverloadFigures {
        let run = self.run;
        let attempts = &run.attempts;
        let count =
            |is_counted: fn(&ClientAttempt) -> bool| attempts.iter().filter(|a| is_counted(a)).count();
        let calm_from = run.traffic_from + (self.faults_from - run.traffic_from) * WARM_UP_SHARE;
        let goodput_before = self.goodput(calm_from, self.faults_from);
        let amplification = |work: &dyn Fn(f64, f64) -> f64| {
            let most = self.faulty_spans(WORK_STEP_MS, WORK_SPAN_MS).map(|at| work(at, at + WORK_SPAN_MS));
            most.fold(0.0, f64::max) / work(calm_from, self.faults_from).max(1e-9)
        };
        let (budget_ratio, split_budget_ratio) = self.budget_ratios();
        let (returns, served_returns) = returns(attempts);
        let last = self.last_request();
        let trough = self.faulty_spans(STEP_MS, GOODPUT_SPAN_MS).map(|at| self.goodput_at(at));
        OverloadFigures {
            verdict: rules::judge(&run.facts, RuleLimits::default(), run.end),
            requests: self.requests.len(),
            attempts: attempts.len(),
            served: count(ClientAttempt::is_served),
            rejected: count(ClientAttempt::is_rejected),
            failed: count(|a| a.answer.is_some_and(|answer| matches!(answer.outcome, Outcome::Failed))),
            served_weight: self.served_weight(),
            amplification: amplification(&|from, to| self.work(from, to)),
            member_amplification: amplification(&|from, to| self.member_work(from, to)),
            budget_ratio,
            split_budget_ratio,
            inversions: self.inversions(),
            jain_index: self.jain_index(),
            returns,
            served_returns,
            recovery_seconds: self.recovery_seconds(goodput_before),
            goodput_before,
            goodput_trough: trough.fold(goodput_before, f64::min),
            goodput_after: self.goodput(last - FINAL_SPAN_MS, last),
        }
    }

    /// When the last request was sent that had its full time, ms of the record.
    fn last_request(&self) -> f64 {
        self.run.traffic_to - CUT_OFF_MS
    }

    /// Beginnings of spans from the first fault on that end within the traffic.
    fn faulty_spans(&self, step: f64, span: f64) -> impl Iterator<Item = f64> {
        let (from, last) = (self.faults_from, self.run.traffic_to - span);
        (0..).map(move |i| from + f64::from(i) * step).take_while(move |at| *at <= last)
    }

    /// Requests wanted in a span.
    fn requests_in(&self, from: f64, to: f64) -> impl Iterator<Item = &Request> {
        self.requests.values().filter(move |request| (from..to).contains(&request.at))
    }

    fn member_attempts_in(&self, from: f64, to: f64) -> f64 {
        self.member_attempts.values().flatten().filter(|at| (from..to).contains(*at)).count() as f64
    }

    /// Attempts at members and instances for each request of a span.
    fn work(&self, from: f64, to: f64) -> f64 {
        let attempts = self.run.attempts.iter().filter(|attempt| (from..to).contains(&attempt.at));
        let work = self.member_attempts_in(from, to) + attempts.count() as f64;
        work / (self.requests_in(from, to).count() as f64).max(1.0)
    }

    /// Attempts at members for each request of a span.
    fn member_work(&self, from: f64, to: f64) -> f64 {
        self.member_attempts_in(from, to) / (self.requests_in(from, to).count() as f64).max(1.0)
    }

    /// Share of the requests of a span that were served; 1 where there are none.
    fn goodput(&self, from: f64, to: f64) -> f64 {
        let (mut all, mut served) = (0.0, 0.0);
        for request in self.requests_in(from, to) {
            all += 1.0;
            served += f64::from(u8::from(request.is_served));
        }
        if all > 0.0 { served / all } else { 1.0 }
    }

    fn goodput_at(&self, at: f64) -> f64 {
        self.goodput(at, at + GOODPUT_SPAN_MS)
    }

    fn served_weight(&self) -> f64 {
        let served = self.requests.values().filter(|request| request.is_served);
        served.map(|request| (self.criteria.priority_weight)(request.class)).sum()
    }

    /// Seconds from the end of the faults until goodput was back and stayed so.
    fn recovery_seconds(&self, goodput_before: f64) -> Option<f64> {
        let last = self.last_request();
        let steps = (0..).map(|i| self.faults_to + f64::from(i) * STEP_MS);
        let steps = steps.take_while(|at| *at + GOODPUT_SPAN_MS <= last);
        let last_bad = steps.filter(|at| self.goodput_at(*at) < RECOVERED_SHARE * goodput_before).last();
        match last_bad {
            None => Some(0.0),
            Some(at) if at + 2.0 * GOODPUT_SPAN_MS <= last => Some((at + STEP_MS - self.faults_to) / 1000.0),
            Some(_) => None,
        }
    }

    /// Spans in which the instances did not hear each other, and a while after.
    fn splits(&self) -> Vec<(f64, f64)> {
        let partitions = self.run.plan.faults.iter().filter(|fault| fault.kind.is_partition());
        let span = |from: f64, to: f64| {
            (self.run.traffic_from + from * 1000.0, self.run.traffic_from + to * 1000.0 + HEAL_MS)
        };
        partitions.map(|fault| span(fault.at, fault.at + fault.duration)).collect()
    }

    /// Retries that members worked on beside those allowed, at the most over any two seconds: as one, and split.
    fn budget_ratios(&self) -> (f64, f64) {
        let worked: Vec<(f64, bool)> = self
            .run
            .attempts
            .iter()
            .filter_map(|attempt| {
                let at = self.member_attempts.get(attempt.name.as_str())?.first()?;
                Some((*at, attempt.earlier_attempts > 0))
            })
            .collect();
        let splits = self.splits();
        // What was saved up may be spent at once.
        let saved = self.criteria.saved_retries * self.run.plan.instances as f64;
        let (mut united, mut split): (f64, f64) = (0.0, 0.0);
        let mut at = self.faults_from;
        while at + WORK_SPAN_MS <= self.run.traffic_to {
            let end = at + WORK_SPAN_MS;
            let (mut first_attempts, mut retries) = (0.0, 0.0);
            for (_, is_retry) in worked.iter().filter(|(worked, _)| (at..end).contains(worked)) {
                *if *is_retry { &mut retries } else { &mut first_attempts } += 1.0;
            }
            let ratio: f64 = retries / (self.criteria.retry_share * first_attempts + saved).max(1.0);
            let most = if splits.iter().any(|(from, to)| *from < end && at < *to) {
                &mut split
            } else {
                &mut united
            };
            *most = most.max(ratio);
            at += STEP_MS;
        }
        (united, split)
    }

    /// Share of the rejected attempts for which, within the same quarter of a second and for the same resource (caches or
    /// origin), one of less weight and no more age was served at any instance.
    fn inversions(&self) -> f64 {
        let slot = |attempt: &ClientAttempt| {
            ((attempt.at / INVERSION_SPAN_MS) as u64, self.criteria.is_cacheable(attempt))
        };
        let weight_and_age = |attempt: &ClientAttempt| {
            ((self.criteria.priority_weight)(attempt.class), attempt.at - attempt.requested_at)
        };
        let mut served: HashMap<(u64, bool), Vec<(f64, f64)>> = HashMap::new();
        for attempt in self.run.attempts.iter().filter(|attempt| attempt.is_served()) {
            served.entry(slot(attempt)).or_default().push(weight_and_age(attempt));
        }
        let rejected: Vec<&ClientAttempt> =
            self.run.attempts.iter().filter(|attempt| attempt.is_rejected()).collect();
        let inverted = rejected.iter().filter(|attempt| {
            let (weight, age) = weight_and_age(attempt);
            let is_inverted = |(w, a): &(f64, f64)| *w < weight && *a <= age + AGE_SLACK_MS;
            served.get(&slot(attempt)).is_some_and(|all| all.iter().any(is_inverted))
        });
        inverted.count() as f64 / rejected.len().max(1) as f64
    }

    /// Jain's index of the shares that instances served of the requests that came to them first, from the first fault on;
    /// instances that were away for long do not count.
    fn jain_index(&self) -> f64 {
        let attempts = &self.run.attempts;
        let served: HashSet<u64> = attempts.iter().filter(|a| a.is_served()).map(|a| a.request).collect();
        let mut by_instance: BTreeMap<usize, (f64, f64)> = BTreeMap::new();
        for attempt in attempts.iter().filter(|a| a.earlier_attempts == 0 && a.at >= self.faults_from) {
            let (all, good) = by_instance.entry(attempt.instance).or_default();
            *all += 1.0;
            *good += f64::from(u8::from(served.contains(&attempt.request)));
        }
        let counted = (0..self.run.plan.instances).filter_map(|i| by_instance.get(&i));
        let counted = counted.filter(|(all, _)| *all >= LEAST_FIRST_ATTEMPTS);
        let shares: Vec<f64> = counted.map(|(all, good)| good / all).collect();
        let (sum, squares) = shares.iter().fold((0.0, 0.0), |(sum, squares), x| (sum + x, squares + x * x));
        if squares > 0.0 { sum * sum / (shares.len() as f64 * squares) } else { 1.0 }
    }
}

/// The requests that attempts belong to, by number.
fn requests_of(attempts: &[ClientAttempt]) -> BTreeMap<u64, Request> {
    let mut requests = BTreeMap::new();
    for attempt in attempts {
        let request = requests.entry(attempt.request).or_insert(Request {
            at: attempt.requested_at,
            class: attempt.class,
            is_served: false,
        });
        request.is_served |= attempt.is_served();
    }
    requests
}

/// When attempts came to members, by name.
fn member_attempts(run: &RunRecord) -> HashMap<&str, Vec<f64>> {
    let mut times: HashMap<&str, Vec<f64>> = HashMap::new();
    for seen in &run.facts {
        if let Fact::AttemptReceived { name, .. } = &seen.fact {
            times.entry(name.as_str()).or_default().push(seen.at);
        }
    }
    times
}

/// Retry-Afters to which clients came back in time, and those at which they were served.
fn returns(attempts: &[ClientAttempt]) -> (usize, usize) {
    let mut named: HashMap<u64, f64> = HashMap::new();
    let (mut returns, mut served) = (0, 0);
    for attempt in attempts {
        if let Some(at) = named.get(&attempt.request).copied().filter(|_| attempt.after_retry_after)
            && (at - 1.0..at + RETURN_SLACK_MS).contains(&attempt.at)
        {
            returns += 1;
            served += usize::from(attempt.is_served());
        }
        match attempt.retry_after() {
            Some(at) => drop(named.insert(attempt.request, at)),
            None => drop(named.remove(&attempt.request)),
        }
    }
    (returns, served)
}
