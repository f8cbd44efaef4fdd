//! The budget of retries and hedged requests.

use super::tuning::{RETRIES_EARNED, RETRIES_MAX};

/// Tokens for retries and hedged requests: each client request earns a part of one.
#[derive(Clone, Copy, Debug)]
pub(super) struct RetryBudget {
    tokens: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        RetryBudget { tokens: RETRIES_MAX }
    }
}

impl RetryBudget {
    /// Adds what one client request earns.
    pub(super) fn earn(&mut self) {
        self.tokens = (self.tokens + RETRIES_EARNED).min(RETRIES_MAX);
    }

    /// Whether one more retry or hedged request is allowed.
    pub(super) fn is_available(self) -> bool {
        self.tokens >= 1.0
    }

    /// Takes one token.
    pub(super) fn take(&mut self) {
        self.tokens -= 1.0;
    }
}
