//! The budget of retries: each first attempt earns a fraction of one.

/// Retries that can be saved up, and that are available at the start.
const CAPACITY: f64 = 20.0;

/// A token bucket that is filled by first attempts.
#[derive(Clone, Copy, Debug)]
pub(super) struct RetryBudget {
    available: f64,
    /// Retries earned by one first attempt.
    ratio: f64,
}

impl RetryBudget {
    /// A full budget.
    pub(super) fn new(ratio: f64) -> Self {
        RetryBudget { available: CAPACITY, ratio }
    }

    /// Earns the fraction of a first attempt.
    pub(super) fn deposit(&mut self) {
        self.available = (self.available + self.ratio).min(CAPACITY);
    }

    /// Spends one retry; `false` where none is available.
    pub(super) fn withdraw(&mut self) -> bool {
        if self.available < 1.0 {
            return false;
        }
        self.available -= 1.0;
        true
    }
}
