//! The budget of retries and hedged requests.

use super::tuning::{RETRY_TOKENS_MAX, RETRY_TOKENS_PER_REQUEST};

/// Tokens for retries and hedged requests: each client request earns a part of one.
#[derive(Clone, Copy, Debug)]
pub(super) struct RetryBudget {
    tokens: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        RetryBudget { tokens: RETRY_TOKENS_MAX }
    }
}

impl RetryBudget {
    /// Adds what one client request earns.
    pub(super) fn deposit(&mut self) {
        self.tokens = (self.tokens + RETRY_TOKENS_PER_REQUEST).min(RETRY_TOKENS_MAX);
    }

    /// Whether one more retry or hedged request is allowed.
    pub(super) fn is_available(self) -> bool {
        self.tokens >= 1.0
    }

    /// Takes one token.
    pub(super) fn withdraw(&mut self) {
        self.tokens -= 1.0;
    }
}
