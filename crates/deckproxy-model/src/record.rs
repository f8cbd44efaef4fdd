//! The results of a run.

use crate::Micros;
use crate::check::Violations;
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

/// Counts of one interval of the run. The serialized names are the columns of `points.csv` and of stored
/// runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Point {
    /// When the interval began, in milliseconds.
    #[serde(rename = "at")]
    pub start_ms: f64,
    /// New requests of clients, without retries.
    #[serde(rename = "wanted")]
    pub requests: u64,
    /// Attempts of clients that reached gateways, first ones and retries.
    #[serde(rename = "tries")]
    pub client_attempts: u64,
    /// Client attempts that admission control rejected.
    #[serde(rename = "turned")]
    pub admission_rejected: u64,
    /// Requests of clients that were served.
    pub served: u64,
    /// Requests that clients gave up.
    #[serde(rename = "given_up")]
    pub abandoned: u64,
    /// Answers of gateways that rejected the attempt.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Answers of gateways that failed the attempt.
    pub failed: u64,
    /// Attempts of gateways that reached caches.
    pub attempts: u64,
    /// Lookups in caches that found a usable copy.
    pub hits: u64,
    /// Fills that were sent to parents.
    #[serde(rename = "fills")]
    pub parent_fills: u64,
    /// Fills that were sent to origins.
    #[serde(rename = "origin")]
    pub origin_fills: u64,
    /// Completed work that nobody waited for any more.
    pub wasted: u64,
    /// Caches that were up at the end of the interval.
    #[serde(rename = "caches")]
    pub caches_up: u64,
    /// Median of the time until served, in milliseconds.
    #[serde(rename = "p50")]
    pub p50_ms: f64,
    /// 99th percentile of the time until served, in milliseconds.
    #[serde(rename = "p99")]
    pub p99_ms: f64,
}

/// The results of a complete run.
#[derive(Clone, Debug)]
pub struct Record {
    /// Counts of each interval, in order of time.
    pub points: Vec<Point>,
    /// Violated invariants.
    pub violations: Violations,
    /// The first violation in words, with the events that led to it.
    pub first_violation: Option<String>,
    /// Events that were handled.
    pub events: u64,
    /// Wall-clock seconds that the run took.
    pub wall_seconds: f64,
    /// Attempts that reached each cache, in order of the caches.
    pub attempts_per_cache: Vec<u64>,
    /// Median of the time until served over the run, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of the time until served over the run, in milliseconds.
    pub p99_ms: f64,
    /// Violations that the gateways' own checks counted.
    pub gateway_violations: u64,
}

/// How a run got over a fault.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Recovery {
    /// Share of the requests that were served in the 5 s before the fault.
    pub before: f64,
    /// Lowest share over one second from the beginning of the fault.
    pub trough: f64,
    /// Share in the last 3 s of the run.
    pub after: f64,
    /// Seconds from the end of the fault until at least 0.95 of `before` was served over one second and from
    /// then on; none where that did not happen within the run.
    pub seconds: Option<f64>,
    /// Highest ratio over one second of admitted client attempts to new requests.
    pub amplification: f64,
}

/// Milliseconds over which recovery is judged at each point of the run.
const JUDGED_SPAN_MS: f64 = 1000.0;
/// Milliseconds before a fault that give the normal share of served requests.
const BASELINE_SPAN_MS: f64 = 5000.0;
/// Milliseconds at the end of a run that give its final share of served requests.
const FINAL_SPAN_MS: f64 = 3000.0;
/// Share of the normal goodput from which a second counts as recovered.
const RECOVERED_SHARE: f64 = 0.95;

impl Record {
    /// The sum of a count over all points.
    pub fn sum(&self, count: impl Fn(&Point) -> u64) -> u64 {
        self.points.iter().map(count).sum()
    }

    /// The share of requests that were served in the intervals that began from `from_ms` to before `to_ms`;
    /// it may exceed 1 where earlier requests were served late.
    pub fn goodput(&self, from_ms: f64, to_ms: f64) -> f64 {
        let within = || self.points_between(from_ms, to_ms);
        let requests: u64 = within().map(|point| point.requests).sum();
        within().map(|point| point.served).sum::<u64>() as f64 / requests.max(1) as f64
    }

    /// How the run got over a fault that lasted from `from_ms` to `to_ms`.
    pub fn recovery(&self, from_ms: f64, to_ms: f64) -> Recovery {
        let interval = self.points.get(1).map_or(1000.0, |point| point.start_ms);
        let end = self.points.last().map_or(0.0, |point| point.start_ms + interval);
        let span_starts = |from: f64| {
            (0..)
                .map(move |i| from + f64::from(i) * interval)
                .take_while(move |start| *start + JUDGED_SPAN_MS <= end)
        };
        let goodput_from = |start: f64| self.goodput(start, start + JUDGED_SPAN_MS);
        let before = self.goodput((from_ms - BASELINE_SPAN_MS).max(0.0), from_ms);
        // Requests of the fault's duration may be served after it.
        let trough = span_starts(from_ms).map(goodput_from).fold(before, f64::min);
        let mut recovered_since = None;
        for start in span_starts(to_ms) {
            if goodput_from(start) < RECOVERED_SHARE * before {
                recovered_since = None;
            } else if recovered_since.is_none() {
                recovered_since = Some(start);
            }
        }
        Recovery {
            before,
            trough,
            after: self.goodput(end - FINAL_SPAN_MS, end),
            seconds: recovered_since.map(|start| ((start - to_ms) / 1000.0).max(0.0)),
            amplification: span_starts(0.0).map(|start| self.amplification(start)).fold(0.0, f64::max),
        }
    }

    /// Admitted client attempts per new request over one judged span.
    fn amplification(&self, start_ms: f64) -> f64 {
        let within = || self.points_between(start_ms, start_ms + JUDGED_SPAN_MS);
        let admitted: u64 = within().map(|point| point.client_attempts - point.admission_rejected).sum();
        let requests: u64 = within().map(|point| point.requests).sum();
        admitted as f64 / requests.max(1) as f64
    }

    fn points_between(&self, from_ms: f64, to_ms: f64) -> impl Iterator<Item = &Point> {
        self.points.iter().filter(move |point| point.start_ms >= from_ms && point.start_ms < to_ms)
    }
}

/// A histogram of latencies from 1 µs to one minute, with three significant digits.
#[derive(Debug)]
pub struct LatencyHistogram(Histogram<u64>);

impl Default for LatencyHistogram {
    fn default() -> Self {
        LatencyHistogram(Histogram::new_with_bounds(1, 60_000_000, 3).expect("constant bounds are valid"))
    }
}

impl LatencyHistogram {
    /// Adds a latency in microseconds; those out of range count as the nearest bound.
    pub fn record(&mut self, latency: Micros) {
        self.0.saturating_record(latency.max(1));
    }

    /// A quantile in milliseconds; `quantile` is 0 to 1.
    pub fn quantile_ms(&self, quantile: f64) -> f64 {
        self.0.value_at_quantile(quantile) as f64 / 1000.0
    }

    /// Removes all latencies.
    pub fn reset(&mut self) {
        self.0.reset();
    }
}
