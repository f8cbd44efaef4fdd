//! The budget of retries and hedged requests.

use super::tuning::{RETRY_TOKENS_MAX, RETRY_TOKENS_PER_REQUEST};

/// Tokens for retries and hedged requests: each client request deposits a fraction of a token.
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
    /// Deposits the tokens of one client request.
    pub(super) fn deposit(&mut self) {
        self.tokens = (self.tokens + RETRY_TOKENS_PER_REQUEST).min(RETRY_TOKENS_MAX);
    }

    /// Whether a token is available for one more retry or hedged request.
    pub(super) fn is_available(self) -> bool {
        self.tokens >= 1.0
    }

    /// Withdraws one token.
    pub(super) fn withdraw(&mut self) {
        self.tokens -= 1.0;
    }
}
