//! Values that lose their weight exponentially with time.

use crate::interface::Millis;

/// Share of a value that is left after `elapsed` ms when it decays with the time constant `time_constant`.
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
    /// What is left of the sum when it decays with the time constant `time_constant`.
    pub(super) fn value(&self, now: Millis, time_constant: Millis) -> f64 {
        self.amount * decay_factor(now - self.updated_at, time_constant)
    }

    /// Adds an amount to what is left of the sum.
    pub(super) fn add(&mut self, amount: f64, now: Millis, time_constant: Millis) {
        *self = DecayingSum { amount: self.value(now, time_constant) + amount, updated_at: now };
    }

    /// When something was last added.
    pub(super) fn updated_at(&self) -> Millis {
        self.updated_at
    }
}
