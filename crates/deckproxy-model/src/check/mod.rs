//! The invariants of every run, checked from events alone and independently of the gateways' own counters.
//! The first violation is described together with the events that led to it.

mod trace;

#[cfg(test)]
mod tests;

pub use trace::TraceEvent;

use crate::Micros;
use crate::members::MemberId;
use ahash::AHashMap;
use trace::Trace;

/// A request at one incarnation of a gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestKey {
    /// Index of the gateway.
    pub gateway: u32,
    /// Incarnation of the gateway, one more with each restart.
    pub incarnation: u32,
    /// Number of the client's request.
    pub request: u64,
}

/// Violations by invariant.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Violations {
    /// Requests that were never answered.
    pub unanswered: u64,
    /// Answers to requests that had been answered already, or were never made.
    pub double_answers: u64,
    /// Writes that ran twice.
    pub double_effects: u64,
    /// Attempts that were in flight together with another one of the same request.
    pub double_attempts: u64,
    /// Attempts sent to a member more than 500 ms after its gateway was notified that the member had gone.
    pub after_drain: u64,
    /// Caches that were overloaded while they warmed up.
    pub overloaded: u64,
    /// Copies older than a purge in answers to attempts sent more than 1 s after the gateway was notified of
    /// it.
    pub stale: u64,
    /// Answers after the deadline and its tolerance.
    pub late: u64,
    /// Sums that do not add up.
    pub sums: u64,
}

impl Violations {
    /// The sum over all invariants.
    pub fn total(&self) -> u64 {
        self.unanswered
            + self.double_answers
            + self.double_effects
            + self.double_attempts
            + self.after_drain
            + self.overloaded
            + self.stale
            + self.late
            + self.sums
    }
}

/// Checks the invariants of one run.
#[derive(Debug, Default)]
pub struct InvariantChecker {
    /// Number of attempts in flight at members, by request.
    in_flight: AHashMap<RequestKey, u32>,
    /// Deadlines of the unanswered requests.
    unanswered: AHashMap<RequestKey, Micros>,
    /// How often each write ran.
    write_runs: AHashMap<u64, u32>,
    trace: Trace,
    violations: Violations,
    first_violation: Option<String>,
    requested: u64,
    answered: u64,
    /// Requests that were lost with their gateway, which owes no answer to them.
    lost: u64,
}

impl InvariantChecker {
    /// Violations so far.
    pub fn violations(&self) -> Violations {
        self.violations
    }

    /// The first violation in words, with the events that led to it.
    pub fn first_violation(&self) -> Option<&str> {
        self.first_violation.as_deref()
    }

    /// Adds an event to the trace that explains a later violation.
    pub fn trace(&mut self, now: Micros, event: TraceEvent) {
        self.trace.push(now, event);
    }

    /// A client's request reached a gateway, which must answer it by `deadline`.
    pub fn request_received(&mut self, now: Micros, request: RequestKey, deadline: Micros) {
        self.requested += 1;
        self.trace.push(now, TraceEvent::Requested { request });
        self.unanswered.insert(request, deadline);
    }

    /// A gateway answered a request; `outcome` is for the trace.
    pub fn request_answered(&mut self, now: Micros, request: RequestKey, outcome: &'static str) {
        self.trace.push(now, TraceEvent::Answered { request, outcome });
        if let Some(deadline) = self.unanswered.remove(&request) {
            self.answered += 1;
            if now > deadline {
                self.violations.late += 1;
                self.explain(now, "an answer after its deadline", |event| event.concerns(request));
            }
        } else {
            self.violations.double_answers += 1;
            let what = "an answer to a request that was answered already, or never made";
            self.explain(now, what, |event| event.concerns(request));
        }
    }

    /// An incarnation of a gateway was killed; its unanswered requests are lost.
    pub fn gateway_killed(&mut self, gateway: u32, incarnation: u32) {
        let before = self.unanswered.len();
        self.unanswered.retain(|key, _| (key.gateway, key.incarnation) != (gateway, incarnation));
        self.lost += (before - self.unanswered.len()) as u64;
    }

    /// An attempt reached a member.
    pub fn attempt_arrived(&mut self, now: Micros, request: RequestKey, attempt: u64, member: MemberId) {
        self.trace.push(now, TraceEvent::AttemptArrived { request, attempt, member });
        let in_flight = self.in_flight.entry(request).or_default();
        *in_flight += 1;
        if *in_flight > 1 {
            self.violations.double_attempts += 1;
            let what = "two attempts of one request are in flight";
            self.explain(now, what, |event| event.concerns(request));
        }
    }

    /// An attempt ended at its member.
    pub fn attempt_ended(&mut self, now: Micros, request: RequestKey, attempt: u64, member: MemberId) {
        self.trace.push(now, TraceEvent::AttemptEnded { request, attempt, member });
        if let Some(in_flight) = self.in_flight.get_mut(&request) {
            *in_flight -= 1;
            if *in_flight == 0 {
                self.in_flight.remove(&request);
            }
        }
    }

    /// A write ran at its origin.
    pub fn write_ran(&mut self, now: Micros, write: u64) {
        self.trace.push(now, TraceEvent::WriteRan { write });
        let runs = self.write_runs.entry(write).or_default();
        *runs += 1;
        if *runs == 2 {
            self.violations.double_effects += 1;
            let same = |event: &TraceEvent| matches!(event, TraceEvent::WriteRan { write: w } if *w == write);
            self.explain(now, "a write ran twice", same);
        }
    }

    /// An attempt was sent to a member whose end had been notified long before.
    pub fn sent_after_drain(&mut self, now: Micros, member: MemberId) {
        self.violations.after_drain += 1;
        let what = "an attempt at a member that the gateway was notified to be gone";
        self.explain(
            now,
            what,
            |event| matches!(event, TraceEvent::GatewayNotified { member: m, .. } if *m == member),
        );
    }

    /// A cache was overloaded while it warmed up.
    pub fn cache_overloaded(&mut self, now: Micros, member: MemberId) {
        self.violations.overloaded += 1;
        self.explain(
            now,
            "a cache was overloaded while it warmed up",
            |event| matches!(event, TraceEvent::AttemptArrived { member: m, .. } if *m == member),
        );
    }

    /// A copy that was older than a purge came back long after the gateway was notified of the purge.
    pub fn stale_copy(&mut self, now: Micros) {
        self.violations.stale += 1;
        let what = "a copy older than a purge that was notified long before";
        self.explain(now, what, |_| false);
    }

    /// The run ended. Deadlines before `now` must have been met, and all requests must add up.
    pub fn finish(&mut self, now: Micros) {
        let overdue = || self.unanswered.iter().filter(|(_, deadline)| **deadline < now);
        let count = overdue().count() as u64;
        if let Some(request) = overdue().map(|(key, _)| *key).min() {
            self.violations.unanswered += count;
            self.explain(now, "a request was never answered", |event| event.concerns(request));
        }
        let unanswered = self.unanswered.len() as u64;
        let accounted = self.answered + self.lost + unanswered + self.violations.double_answers;
        if accounted < self.requested {
            self.violations.sums += 1;
            let what = format!(
                "{} requested, {} answered, {} lost, {unanswered} unanswered",
                self.requested, self.answered, self.lost
            );
            self.explain(now, &what, |_| false);
        }
    }

    /// Describes a violation, if it is the first, with the traced events that `concerned` selects.
    fn explain(&mut self, now: Micros, what: &str, concerned: impl Fn(&TraceEvent) -> bool) {
        if self.first_violation.is_none() {
            self.first_violation = Some(self.trace.describe(now, what, concerned));
        }
    }
}
