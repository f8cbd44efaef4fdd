//! Repeats for each first try.
//!
//! A first try earns a share of a repeat, a repeat costs a whole one. So over any time the repeats that pass are at most
//! that share of the first tries, and what was saved up: however many layers repeat, and whatever fails.

/// How a budget is set.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Repeats earned by a first try.
    pub share: f64,
    /// Repeats saved up, at most.
    pub saved: f64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { share: 0.2, saved: 20.0 }
    }
}

/// One budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    limits: Limits,
    left: f64,
}

impl Budget {
    /// One in which one repeat is saved: a process that has just started meets the repeats of all that it forgot.
    pub fn new(limits: Limits) -> Self {
        Budget { limits, left: limits.saved.min(1.0) }
    }

    /// A first try passed.
    pub fn earn(&mut self) {
        self.left = (self.left + self.limits.share).min(self.limits.saved);
    }

    /// Whether a repeat may pass; it is paid for then.
    pub fn spend(&mut self) -> bool {
        let may = self.left >= 1.0;
        if may {
            self.left -= 1.0;
        }
        may
    }

    /// A repeat that was paid for did not go, and cost nothing.
    pub fn give_back(&mut self) {
        self.left = (self.left + 1.0).min(self.limits.saved);
    }

    /// Whole repeats left.
    pub fn left(&self) -> u64 {
        self.left as u64
    }
}
