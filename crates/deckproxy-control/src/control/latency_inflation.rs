//! How many times longer answers take than they should.

use super::decay::decay_factor;
use crate::interface::Millis;

/// Decaying sums of what answers took and of what they should have taken, in one unit of the caller's choice.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LatencyInflation {
    observed: f64,
    expected: f64,
    updated_at: Millis,
}

impl LatencyInflation {
    /// Takes one observation; earlier ones decay with the time constant `time_constant`.
    pub(super) fn record(&mut self, observed: f64, expected: f64, time_constant: Millis, now: Millis) {
        let kept = decay_factor(now - self.updated_at, time_constant);
        *self = LatencyInflation {
            observed: self.observed * kept + observed,
            expected: self.expected * kept + expected,
            updated_at: now,
        };
    }

    /// Whether anything was observed that should have taken time.
    pub(super) fn has_observations(&self) -> bool {
        self.expected > 0.0
    }

    /// Observed over expected time, with `prior` of both assumed beside: 1 without recent observations.
    pub(super) fn ratio(&self, prior: f64, time_constant: Millis, now: Millis) -> f64 {
        let kept = decay_factor(now - self.updated_at, time_constant);
        (prior + self.observed * kept) / (prior + self.expected * kept)
    }
}
