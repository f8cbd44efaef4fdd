//! Latency inflation: the ratio of observed to expected latency.

use super::decay::decay_factor;
use crate::interface::Millis;

/// Decaying sums of observed and expected latencies, both in one unit that the caller chooses.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LatencyInflation {
    observed: f64,
    expected: f64,
    updated_at: Millis,
}

impl LatencyInflation {
    /// Records one observation; earlier ones decay.
    pub(super) fn record(&mut self, observed: f64, expected: f64, time_constant: Millis, now: Millis) {
        let factor = decay_factor(now - self.updated_at, time_constant);
        *self = LatencyInflation {
            observed: self.observed * factor + observed,
            expected: self.expected * factor + expected,
            updated_at: now,
        };
    }

    /// Whether any observation with an expected latency was recorded.
    pub(super) fn has_observations(&self) -> bool {
        self.expected > 0.0
    }

    /// Observed over expected latency, with `prior` added to both; tends to 1 without recent
    /// observations.
    pub(super) fn ratio(&self, prior: f64, time_constant: Millis, now: Millis) -> f64 {
        let factor = decay_factor(now - self.updated_at, time_constant);
        (prior + self.observed * factor) / (prior + self.expected * factor)
    }
}
