//! What a run under overload came to, as clients and members saw it: goodput, amplification by retries, fairness, and
//! whether clients that followed Retry-After were served.

mod amplification;
mod fairness;
mod figures;
mod goodput;
mod retry_after;
mod retry_budget;

pub use figures::OverloadFigures;

use crate::load_generator::ClientAttempt;
use crate::overload_traffic::{is_popular, priority_weight};
use crate::run::RunRecord;
use deckproxy_standins::record::{Fact, Outcome};
use deckproxy_standins::rules::{self, RuleLimits};
use goodput::GOODPUT_SPAN_MS;
use retry_after::returns;
use std::collections::{BTreeMap, HashMap};

/// Step from one span of the retry budget to the next, and of goodput, ms.
const STEP_MS: f64 = 250.0;
/// Span over which goodput at the end of the run is taken, ms.
const FINAL_SPAN_MS: f64 = 2000.0;
/// Time before the end of the traffic in which a request has too little time left to be served, ms.
const CUT_OFF_MS: f64 = 1500.0;
/// Share of the time before the first fault that is left out of the calm time: caches are empty then.
const WARM_UP_SHARE: f64 = 0.4;

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
    /// The criteria for the traffic of [`overload_traffic`](crate::overload_traffic), with the defaults of the operator file.
    fn default() -> Self {
        OverloadCriteria { retry_share: 0.2, saved_retries: 5.0, priority_weight, is_popular }
    }
}

impl OverloadCriteria {
    /// Whether an attempt is one that a cache can serve; else it needs the origin.
    fn is_cacheable(&self, attempt: &ClientAttempt) -> bool {
        (self.is_popular)(attempt.object) && attempt.class == "page"
    }
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
        let attempts = &self.run.attempts;
        let goodput_before = self.goodput(self.calm_from(), self.faults_from);
        let budget_ratios = self.budget_ratios();
        let returns = returns(attempts);
        let last = self.last_request();
        let goodput = self.faulty_spans(STEP_MS, GOODPUT_SPAN_MS).map(|at| self.goodput_at(at));
        OverloadFigures {
            verdict: rules::judge(&self.run.facts, RuleLimits::default(), self.run.end),
            requests: self.requests.len(),
            attempts: attempts.len(),
            served: count(attempts, ClientAttempt::is_served),
            rejected: count(attempts, ClientAttempt::is_rejected),
            failed: count(attempts, has_failed),
            served_weight: self.served_weight(),
            amplification: self.amplification(Judge::work),
            member_amplification: self.amplification(Judge::member_work),
            budget_ratio: budget_ratios.united,
            split_budget_ratio: budget_ratios.split,
            inversions: self.inversions(),
            jain_index: self.jain_index(),
            returns: returns.all,
            served_returns: returns.served,
            recovery_seconds: self.recovery_seconds(goodput_before),
            goodput_before,
            goodput_trough: goodput.fold(goodput_before, f64::min),
            goodput_after: self.goodput(last - FINAL_SPAN_MS, last),
        }
    }

    /// When the calm time before the first fault begins, ms of the record.
    fn calm_from(&self) -> f64 {
        let traffic_from = self.run.traffic_from;
        traffic_from + (self.faults_from - traffic_from) * WARM_UP_SHARE
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
}

fn count(attempts: &[ClientAttempt], is_counted: fn(&ClientAttempt) -> bool) -> usize {
    attempts.iter().filter(|attempt| is_counted(attempt)).count()
}

fn has_failed(attempt: &ClientAttempt) -> bool {
    attempt.answer.is_some_and(|answer| matches!(answer.outcome, Outcome::Failed))
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
