//! The retry budget: how many retries are admitted for each first attempt.
//!
//! A first attempt earns a part of a retry, and a retry costs a whole one. So over any time the retries admitted are at most
//! that part of the first attempts, and what was saved up: however many layers retry, and whatever fails.

/// How a budget is filled.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Retries earned by a first attempt.
    pub share: f64,
    /// Most retries that are saved up.
    pub max_saved: f64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { share: 0.2, max_saved: 20.0 }
    }
}

/// Retries that a budget begins with: a process that has just started meets the retries of all that it has forgotten.
const INITIAL: f64 = 1.0;

/// A retry budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    limits: Limits,
    available: f64,
}

impl Budget {
    /// A budget with one retry, or less where less may be saved.
    pub fn new(limits: Limits) -> Self {
        Budget { limits, available: limits.max_saved.min(INITIAL) }
    }

    /// A first attempt was admitted.
    pub fn earn(&mut self) {
        self.add(self.limits.share);
    }

    /// Takes a retry where there is one; returns whether it did.
    pub fn spend(&mut self) -> bool {
        let admitted = self.available >= 1.0;
        if admitted {
            self.available -= 1.0;
        }
        admitted
    }

    /// A retry that was taken was not admitted after all.
    pub fn refund(&mut self) {
        self.add(1.0);
    }

    fn add(&mut self, retries: f64) {
        self.available = (self.available + retries).min(self.limits.max_saved);
    }

    /// Whole retries that are available.
    pub fn available(&self) -> u64 {
        self.available as u64
    }
}
