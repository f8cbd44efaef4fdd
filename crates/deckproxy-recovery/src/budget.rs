//! The retry budget: limits the admitted retries relative to the admitted first attempts.
//!
//! Each admitted first attempt adds a fraction of a retry to the budget, and each admitted retry takes a whole one.
//! Over any period the admitted retries are therefore at most that fraction of the first attempts plus the retries
//! that were available at its start, however many layers retry and whatever fails.

/// Limits of a retry budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Retries that a first attempt adds to the budget.
    pub share: f64,
    /// Largest number of retries that the budget accumulates.
    pub max_saved: f64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { share: 0.2, max_saved: 20.0 }
    }
}

/// Retries that a budget starts with. There are few because a process that has just started receives retries of
/// requests from before its start.
const INITIAL_RETRIES: f64 = 1.0;

/// A retry budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    limits: Limits,
    available: f64,
}

impl Budget {
    /// A budget with one retry, or less if `max_saved` is less.
    pub fn new(limits: Limits) -> Self {
        Budget { limits, available: limits.max_saved.min(INITIAL_RETRIES) }
    }

    /// Adds the share of an admitted first attempt.
    pub fn earn(&mut self) {
        self.add(self.limits.share);
    }

    /// Takes a retry from the budget if a whole one is available; returns whether it did.
    pub fn spend(&mut self) -> bool {
        let admitted = self.available >= 1.0;
        if admitted {
            self.available -= 1.0;
        }
        admitted
    }

    /// Returns a retry that was taken but not admitted.
    pub fn refund(&mut self) {
        self.add(1.0);
    }

    fn add(&mut self, retries: f64) {
        self.available = (self.available + retries).min(self.limits.max_saved);
    }

    /// Number of whole retries that are available.
    pub fn available(&self) -> u64 {
        self.available as u64
    }
}
