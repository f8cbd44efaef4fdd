//! An instance's share of the retries that the fleet admits.

use crate::Millis;

/// Time for which unused retries are saved up, in milliseconds.
const SAVED_FOR: Millis = 500.0;

/// A token bucket of retries: filled at a rate that the shed level sets, and gone with it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RetryShare {
    available: f64,
    /// Retries a second.
    rate: f64,
    refilled_at: Millis,
}

impl RetryShare {
    /// No retries.
    pub fn none(now: Millis) -> Self {
        RetryShare { refilled_at: now, ..RetryShare::default() }
    }

    /// Sets the retries a second from now on.
    pub fn set_rate(&mut self, now: Millis, rate: f64) {
        self.refill(now);
        self.rate = rate;
    }

    fn refill(&mut self, now: Millis) {
        let earned = self.rate * (now - self.refilled_at).max(0.0) / 1000.0;
        self.available = (self.available + earned).min((self.rate * SAVED_FOR / 1000.0).max(1.0));
        self.refilled_at = now;
    }

    /// Takes one retry where there is one; returns whether it did. One with a reserved time may be taken in advance.
    pub fn take(&mut self, now: Millis, reserved: bool) -> bool {
        self.refill(now);
        let credit = if reserved { self.rate * SAVED_FOR / 1000.0 + 1.0 } else { 0.0 };
        let admitted = self.available + credit >= 1.0;
        if admitted {
            self.available -= 1.0;
        }
        admitted
    }
}
