//! Values that decay exponentially with time.

use crate::interface::Millis;

/// Fraction of a value that remains after `elapsed` ms of decay.
pub(super) fn decay_factor(elapsed: Millis, time_constant: Millis) -> f64 {
    (-elapsed / time_constant).exp()
}

/// A value and the clock time at which it was reported.
#[derive(Clone, Copy, Debug)]
pub(super) struct TimedValue {
    pub(super) value: f64,
    pub(super) at: Millis,
}

/// A sum that decays while nothing is added to it.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct DecayingSum {
    amount: f64,
    updated_at: Millis,
}

impl DecayingSum {
    /// The remaining sum after decay.
    pub(super) fn value(&self, now: Millis, time_constant: Millis) -> f64 {
        self.amount * decay_factor(now - self.updated_at, time_constant)
    }

    /// Adds an amount to the remaining sum.
    pub(super) fn add(&mut self, amount: f64, now: Millis, time_constant: Millis) {
        *self = DecayingSum { amount: self.value(now, time_constant) + amount, updated_at: now };
    }

    /// Clock time of the last addition.
    pub(super) fn updated_at(&self) -> Millis {
        self.updated_at
    }
}
