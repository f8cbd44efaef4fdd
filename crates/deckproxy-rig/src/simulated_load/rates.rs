//! What is counted of a load, by time.

use super::{Attempt, SimulatedLoad};
use deckproxy_fleet::Millis;

/// Events a second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Rates {
    /// Requests, retries not counted.
    pub requests: f64,
    /// Attempts of them.
    pub attempts: f64,
    /// Attempts that were admitted.
    pub admitted: f64,
    /// Attempts that were served.
    pub served: f64,
    /// Retries that were admitted.
    pub admitted_retries: f64,
    /// Attempts at the time that a Retry-After had named.
    pub returns: f64,
    /// Those that were served.
    pub served_returns: f64,
}

impl SimulatedLoad {
    /// Attempts from one time to another.
    pub fn within(&self, from: Millis, to: Millis) -> impl Iterator<Item = &Attempt> {
        self.attempts.iter().filter(move |attempt| attempt.at >= from && attempt.at < to)
    }

    /// What was counted from one time to another.
    pub fn count(&self, from: Millis, to: Millis) -> Rates {
        let mut rates = Rates::default();
        let each = 1000.0 / (to - from);
        let rate = |is_counted: bool| each * f64::from(u8::from(is_counted));
        for attempt in self.within(from, to) {
            rates.requests += rate(attempt.earlier_attempts == 0);
            rates.attempts += each;
            rates.admitted += rate(attempt.admitted);
            rates.served += rate(attempt.served);
            rates.admitted_retries += rate(attempt.admitted && attempt.earlier_attempts > 0);
            rates.returns += rate(attempt.after_retry_after);
            rates.served_returns += rate(attempt.after_retry_after && attempt.served);
        }
        rates
    }
}
