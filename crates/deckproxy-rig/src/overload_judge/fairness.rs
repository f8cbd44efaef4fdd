//! Fairness: between requests by their priority weight and age, and between instances.

use super::Judge;
use crate::load_generator::ClientAttempt;
use std::collections::{BTreeMap, HashMap, HashSet};

/// Span within which one request is served in place of another, ms.
const INVERSION_SPAN_MS: f64 = 250.0;
/// Slack when the ages of two requests are compared, ms.
const AGE_SLACK_MS: f64 = 1.0;
/// First attempts that an instance must have had to count for fairness.
const LEAST_FIRST_ATTEMPTS: f64 = 20.0;

/// Attempts of which one can be served in place of another.
#[derive(PartialEq, Eq, Hash)]
struct Rivals {
    /// Number of the span in which they were sent.
    span: u64,
    /// Whether a cache can serve them; else they need the origin.
    is_cacheable: bool,
}

/// What decides which of two attempts is served.
struct Rank {
    priority_weight: f64,
    /// Time since the request was wanted, ms.
    age_ms: f64,
}

impl Rank {
    /// Whether an attempt of this rank should have been served before another: it has more weight, and is as old.
    fn precedes(&self, other: &Rank) -> bool {
        other.priority_weight < self.priority_weight && other.age_ms <= self.age_ms + AGE_SLACK_MS
    }
}

/// First attempts at an instance.
#[derive(Default)]
struct FirstAttempts {
    all: f64,
    /// Those whose request was served, at any instance in the end.
    served: f64,
}

impl Judge<'_> {
    /// Share of the rejected attempts for which, within the same quarter of a second and for the same resource (caches or
    /// origin), one of less weight and no more age was served at any instance.
    pub(super) fn inversions(&self) -> f64 {
        let attempts = &self.run.attempts;
        let mut served: HashMap<Rivals, Vec<Rank>> = HashMap::new();
        for attempt in attempts.iter().filter(|attempt| attempt.is_served()) {
            served.entry(self.rivals(attempt)).or_default().push(self.rank(attempt));
        }
        let rejected: Vec<&ClientAttempt> = attempts.iter().filter(|attempt| attempt.is_rejected()).collect();
        let inverted = rejected.iter().filter(|attempt| {
            let rank = self.rank(attempt);
            let rivals = served.get(&self.rivals(attempt));
            rivals.is_some_and(|rivals| rivals.iter().any(|rival| rank.precedes(rival)))
        });
        inverted.count() as f64 / rejected.len().max(1) as f64
    }

    fn rivals(&self, attempt: &ClientAttempt) -> Rivals {
        let span = (attempt.at / INVERSION_SPAN_MS) as u64;
        Rivals { span, is_cacheable: self.criteria.is_cacheable(attempt) }
    }

    fn rank(&self, attempt: &ClientAttempt) -> Rank {
        let priority_weight = (self.criteria.priority_weight)(attempt.class);
        Rank { priority_weight, age_ms: attempt.at - attempt.requested_at }
    }

    /// Jain's index of the shares that instances served of the requests that came to them first, from the first fault on;
    /// instances that were away for long do not count.
    pub(super) fn jain_index(&self) -> f64 {
        let by_instance = self.first_attempts();
        let counted = (0..self.run.plan.instances).filter_map(|i| by_instance.get(&i));
        let counted = counted.filter(|attempts| attempts.all >= LEAST_FIRST_ATTEMPTS);
        let shares: Vec<f64> = counted.map(|attempts| attempts.served / attempts.all).collect();
        jain_index(&shares)
    }

    /// First attempts from the first fault on, by instance.
    fn first_attempts(&self) -> BTreeMap<usize, FirstAttempts> {
        let attempts = &self.run.attempts;
        let served: HashSet<u64> = attempts.iter().filter(|a| a.is_served()).map(|a| a.request).collect();
        let mut by_instance: BTreeMap<usize, FirstAttempts> = BTreeMap::new();
        for attempt in attempts.iter().filter(|a| a.earlier_attempts == 0 && a.at >= self.faults_from) {
            let counts = by_instance.entry(attempt.instance).or_default();
            counts.all += 1.0;
            counts.served += f64::from(u8::from(served.contains(&attempt.request)));
        }
        by_instance
    }
}

/// Jain's index: 1 where all shares are the same, and 1 / n where one of n has all.
fn jain_index(shares: &[f64]) -> f64 {
    let (sum, squares) = shares.iter().fold((0.0, 0.0), |(sum, squares), x| (sum + x, squares + x * x));
    if squares > 0.0 { sum * sum / (shares.len() as f64 * squares) } else { 1.0 }
}
