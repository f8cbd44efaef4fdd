//! What a run leaves.

use crate::check::Breaches;
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

/// One step of time. Counts are of what happened in it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Point {
    /// When it began, ms.
    pub at: f64,
    /// What clients wanted: first tries.
    pub wanted: u64,
    /// Tries that came to gateways, first and further ones.
    pub tries: u64,
    /// Of these, turned away at the door.
    pub turned: u64,
    /// Of what clients wanted: served, and given up.
    pub served: u64,
    pub given_up: u64,
    /// Answers of gateways.
    pub refused: u64,
    pub failed: u64,
    /// Attempts that came to caches, of these look-ups that found a copy, fills at parents and at origins.
    pub attempts: u64,
    pub hits: u64,
    pub fills: u64,
    pub origin: u64,
    /// Work that was done for nobody: its client had its answer, or had left.
    pub wasted: u64,
    /// Caches that are up.
    pub caches: u64,
    /// Median and 99th percentile of the time until served, ms.
    pub p50: f64,
    pub p99: f64,
}

/// A whole run.
#[derive(Clone, Debug, Serialize)]
pub struct Record {
    pub points: Vec<Point>,
    pub breaches: Breaches,
    /// The first breach with its trace.
    pub first: Option<String>,
    /// Events, and seconds that they took.
    pub events: u64,
    pub took: f64,
    /// Requests that each cache got.
    pub per_cache: Vec<u64>,
    /// Of all served: median, 99th percentile, ms.
    pub p50: f64,
    pub p99: f64,
    /// How the gateways' own checks counted.
    pub broken_inside: u64,
}

/// What became of a fault.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Recovery {
    /// Share of the wanted that was served before it, at the least, and at the end.
    pub before: f64,
    pub trough: f64,
    pub after: f64,
    /// Seconds from the end of the cause until 0.95 of the share before were served, over a second, and stayed so;
    /// none: not within the run.
    pub seconds: Option<f64>,
    /// Tries that passed the door for each that was wanted, at the most over a second: the work that is asked for.
    pub amplification: f64,
}

impl Record {
    /// Sums over all points.
    pub fn sum(&self, of: impl Fn(&Point) -> u64) -> u64 {
        self.points.iter().map(of).sum()
    }

    /// The share served of what was wanted from one time to another, ms.
    pub fn goodput(&self, from: f64, to: f64) -> f64 {
        let within: Vec<&Point> = self.points.iter().filter(|p| p.at >= from && p.at < to).collect();
        let wanted: u64 = within.iter().map(|p| p.wanted).sum();
        within.iter().map(|p| p.served).sum::<u64>() as f64 / wanted.max(1) as f64
    }

    /// How a cause from one time to another was got over.
    pub fn recovery(&self, from: f64, to: f64) -> Recovery {
        let step = self.points.get(1).map_or(1000.0, |p| p.at);
        let end = self.points.last().map_or(0.0, |p| p.at + step);
        let second = |at: f64| self.goodput(at, at + 1000.0);
        let steps = |from: f64, to: f64| {
            (0..).map(move |i| from + f64::from(i) * step).take_while(move |t| *t + 1000.0 <= to)
        };
        let before = self.goodput((from - 5000.0).max(0.0), from);
        // What was asked while it lasted may be served after it.
        let trough = steps(from, end).map(second).fold(before, f64::min);
        let good = |at: f64| second(at) >= 0.95 * before;
        let mut since = None;
        for at in steps(to, end) {
            match (good(at), since) {
                (true, None) => since = Some(at),
                (false, _) => since = None,
                _ => {}
            }
        }
        let amplification = steps(0.0, end).map(|at| {
            let within = self.points.iter().filter(|p| p.at >= at && p.at < at + 1000.0);
            let (tries, wanted) = within.fold((0, 0), |s, p| (s.0 + p.tries - p.turned, s.1 + p.wanted));
            tries as f64 / wanted.max(1) as f64
        });
        Recovery {
            before,
            trough,
            after: self.goodput(end - 3000.0, end),
            seconds: since.map(|at| ((at - to) / 1000.0).max(0.0)),
            amplification: amplification.fold(0.0, f64::max),
        }
    }
}

/// Times until served, in µs.
#[derive(Debug)]
pub struct Times(Histogram<u64>);

impl Default for Times {
    fn default() -> Self {
        // Three digits up to a minute.
        Times(Histogram::new_with_bounds(1, 60_000_000, 3).expect("bounds that fit"))
    }
}

impl Times {
    /// Notes one.
    pub fn note(&mut self, us: u64) {
        self.0.saturating_record(us.max(1));
    }

    /// A quantile, ms.
    pub fn quantile(&self, q: f64) -> f64 {
        self.0.value_at_quantile(q) as f64 / 1000.0
    }

    /// Forgets all.
    pub fn reset(&mut self) {
        self.0.reset();
    }
}
