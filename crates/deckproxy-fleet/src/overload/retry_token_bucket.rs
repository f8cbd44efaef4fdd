//! An instance's share of the retries that the fleet admits.

use crate::Millis;

/// Time for which unused retries are saved up, in milliseconds.
const BURST_DURATION: Millis = 500.0;

/// A token bucket of retries: filled at a rate that the shed level sets, and gone with it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RetryTokenBucket {
    tokens: f64,
    /// Retries a second.
    refill_rate: f64,
    refilled_at: Millis,
}

impl RetryTokenBucket {
    /// No retries.
    pub fn empty(now: Millis) -> Self {
        RetryTokenBucket { refilled_at: now, ..RetryTokenBucket::default() }
    }

    /// Sets the retries a second from now on.
    pub fn set_rate(&mut self, now: Millis, rate: f64) {
        self.refill(now);
        self.refill_rate = rate;
    }

    fn refill(&mut self, now: Millis) {
        let refill = self.refill_rate * (now - self.refilled_at).max(0.0) / 1000.0;
        self.tokens = (self.tokens + refill).min((self.refill_rate * BURST_DURATION / 1000.0).max(1.0));
        self.refilled_at = now;
    }

    /// Takes one retry where there is one; returns whether it did. One with a reserved time may be taken in advance.
    pub fn try_take(&mut self, now: Millis, is_reserved: bool) -> bool {
        self.refill(now);
        let overdraft = if is_reserved { self.refill_rate * BURST_DURATION / 1000.0 + 1.0 } else { 0.0 };
        let is_admitted = self.tokens + overdraft >= 1.0;
        if is_admitted {
            self.tokens -= 1.0;
        }
        is_admitted
    }
}
