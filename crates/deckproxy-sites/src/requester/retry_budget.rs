//! The retry budget: each first attempt adds a fraction of a retry.

/// Most retries that accumulate; also the number available at the start.
const CAPACITY: f64 = 20.0;

/// A token bucket that first attempts refill.
#[derive(Clone, Copy, Debug)]
pub(super) struct RetryBudget {
    available: f64,
    /// Retries added by one first attempt.
    ratio: f64,
}

impl RetryBudget {
    /// Creates a full budget.
    pub(super) fn new(ratio: f64) -> Self {
        RetryBudget { available: CAPACITY, ratio }
    }

    /// Adds the fraction for a first attempt.
    pub(super) fn deposit(&mut self) {
        self.available = (self.available + self.ratio).min(CAPACITY);
    }

    /// Consumes one retry; returns `false` if none is available.
    pub(super) fn withdraw(&mut self) -> bool {
        if self.available < 1.0 {
            return false;
        }
        self.available -= 1.0;
        true
    }
}
