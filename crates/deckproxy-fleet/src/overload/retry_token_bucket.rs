//! An instance's share of the retries that the fleet admits while load is shed.

use crate::Millis;

/// Time in milliseconds in which the refill rate fills an empty bucket. The bucket can always contain one token.
const BURST_DURATION: Millis = 500.0;

/// A token bucket of retries. The shed level sets the refill rate; the bucket is emptied when shedding ends.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RetryTokenBucket {
    tokens: f64,
    /// Retries per second.
    refill_rate: f64,
    refilled_at: Millis,
}

impl RetryTokenBucket {
    /// A bucket without tokens and with a refill rate of 0.
    pub fn empty(now: Millis) -> Self {
        RetryTokenBucket { refilled_at: now, ..RetryTokenBucket::default() }
    }

    /// Sets the refill rate, in retries per second, from now on.
    pub fn set_refill_rate(&mut self, now: Millis, rate: f64) {
        self.refill(now);
        self.refill_rate = rate;
    }

    fn refill(&mut self, now: Millis) {
        let refill = self.refill_rate * (now - self.refilled_at).max(0.0) / 1000.0;
        self.tokens = (self.tokens + refill).min((self.refill_rate * BURST_DURATION / 1000.0).max(1.0));
        self.refilled_at = now;
    }

    /// Takes a token if one is available; returns whether a token was taken. A retry at its reserved time may overdraw the bucket,
    /// by at most one burst and one token.
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
