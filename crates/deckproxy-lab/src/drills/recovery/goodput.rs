//! Goodput, amplification and recovery time of a run, from what clients and members recorded.

use crate::traffic::TIMEOUT_MS;
use deckproxy_standins::record::{Fact, Outcome, Seen};
use std::collections::HashMap;
use std::ops::Range;

/// The share of the goodput before the fault from which on a second counts as recovered.
const RECOVERED_SHARE: f64 = 0.95;
/// The first second is left out: connections are opened and caches are empty.
const FIRST_SECOND: usize = 1;
/// Seconds at the end of the traffic whose goodput is that after the fault.
const AFTER_SECONDS: usize = 3;
/// Seconds over which the amplification is measured.
const AMPLIFICATION_SECONDS: usize = 2;
/// Seconds for which the goodput has to stay recovered.
const STABLE_SECONDS: usize = 2;
/// A first attempt has the client's whole timeout, to half a millisecond; a retry has less.
const TIMEOUT_TOLERANCE_MS: f64 = 0.5;

/// When the fault was there, and when the clients stopped, ms of the record.
#[derive(Clone, Copy, Debug)]
pub struct Period {
    /// The origin became slow.
    pub fault_start: f64,
    /// The origin was as quick as before.
    pub fault_end: f64,
    /// Clients stopped sending.
    pub traffic_end: f64,
}

/// The figures of a run. Goodput is the share of the requests that were served.
#[derive(Clone, Copy, Debug)]
pub struct Goodput {
    /// Before the fault.
    pub before: f64,
    /// In the worst second from the fault on.
    pub trough: f64,
    /// In the last seconds of the traffic.
    pub after: f64,
    /// Attempts at members for each first attempt, at the most over two seconds, relative to the time before the fault.
    pub amplification: f64,
    /// Seconds from the end of the fault until the goodput had recovered; none where it did not within the run.
    pub recovery_seconds: Option<f64>,
}

impl Goodput {
    /// The figures of a run from its record.
    pub fn of(facts: &[Seen], period: Period) -> Self {
        let counts = Counts::of(facts, period.traffic_end);
        let fault_start = second(period.fault_start);
        let fault_end = (period.fault_end / 1000.0).ceil() as usize;
        let end = second(period.traffic_end);
        let before = counts.goodput(FIRST_SECOND..fault_start);
        let trough = (fault_start..end).map(|s| counts.goodput(s..s + 1)).fold(before, f64::min);
        // Recovered for good: after the last second that was not.
        let is_bad = |s: &usize| counts.goodput(*s..s + 1) < RECOVERED_SHARE * before;
        let recovered = (fault_end..end).rev().find(is_bad).map_or(fault_end, |s| s + 1);
        let recovery_ms = ((recovered * 1000) as f64 - period.fault_end).max(0.0);
        Goodput {
            before,
            trough,
            after: counts.goodput(end.saturating_sub(AFTER_SECONDS)..end),
            amplification: counts.amplification(fault_start, end),
            recovery_seconds: (recovered + STABLE_SECONDS <= end).then_some(recovery_ms / 1000.0),
        }
    }
}

/// What was counted in each second of a run.
struct Counts {
    /// First attempts of requests.
    first_attempts: Vec<f64>,
    /// Requests served, in the second of their first attempt.
    served: Vec<f64>,
    /// Attempts that members received.
    member_attempts: Vec<f64>,
}

impl Counts {
    fn of(facts: &[Seen], traffic_end_ms: f64) -> Self {
        // Answers and attempts still come for some time after the traffic's end.
        let seconds = second(traffic_end_ms) + 3;
        let last = seconds - 1;
        let zeros = || vec![0.0; seconds];
        let mut counts = Counts { first_attempts: zeros(), served: zeros(), member_attempts: zeros() };
        let timeout_ms = f64::from(TIMEOUT_MS);
        let mut first_sent = HashMap::new();
        for seen in facts {
            let now = second(seen.at).min(last);
            match &seen.fact {
                Fact::RequestSent { name, timeout_ms: left_ms, .. } => {
                    let is_first = *left_ms >= timeout_ms - TIMEOUT_TOLERANCE_MS;
                    counts.first_attempts[now] += f64::from(u8::from(is_first));
                    // The remaining timeout shows when the first attempt was made.
                    first_sent.insert(name, second((seen.at - (timeout_ms - left_ms)).max(0.0)));
                }
                Fact::Answered { name, outcome: Outcome::Served(_) | Outcome::Unchanged } => {
                    if let Some(sent) = first_sent.get(name) {
                        counts.served[(*sent).min(last)] += 1.0;
                    }
                }
                Fact::AttemptReceived { .. } => counts.member_attempts[now] += 1.0,
                _ => {}
            }
        }
        counts
    }

    /// The share of the requests of some seconds that were served.
    fn goodput(&self, seconds: Range<usize>) -> f64 {
        self.for_each_first_attempt(&self.served, seconds)
    }

    /// Attempts at members for each first attempt, at the most over two seconds from the fault on, relative to the time
    /// before it.
    fn amplification(&self, fault_start: usize, end: usize) -> f64 {
        let attempts = |seconds| self.for_each_first_attempt(&self.member_attempts, seconds);
        let before = attempts(FIRST_SECOND..fault_start).max(0.01);
        let starts = fault_start..end.saturating_sub(AMPLIFICATION_SECONDS - 1);
        starts.map(|s| attempts(s..s + AMPLIFICATION_SECONDS) / before).fold(0.0, f64::max)
    }

    fn for_each_first_attempt(&self, counts: &[f64], seconds: Range<usize>) -> f64 {
        let end = seconds.end.min(counts.len());
        let seconds = seconds.start.min(end)..end;
        let first_attempts: f64 = self.first_attempts[seconds.clone()].iter().sum();
        counts[seconds].iter().sum::<f64>() / first_attempts.max(1.0)
    }
}

/// The second of a time in ms.
fn second(ms: f64) -> usize {
    (ms / 1000.0) as usize
}
