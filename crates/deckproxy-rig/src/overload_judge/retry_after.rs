//! Whether clients that followed Retry-After were served.

use crate::load_generator::ClientAttempt;
use std::collections::HashMap;

/// A client that comes back within this time after Retry-After has come on time, ms.
const RETURN_SLACK_MS: f64 = 100.0;
/// Time by which a client may be too early, as times are rounded, ms.
const EARLY_SLACK_MS: f64 = 1.0;

/// Retry-Afters to which clients came back in time.
#[derive(Default)]
pub(super) struct Returns {
    pub(super) all: usize,
    /// Those at which they were served.
    pub(super) served: usize,
}

/// Counts them in attempts that are in the order of time.
pub(super) fn returns(attempts: &[ClientAttempt]) -> Returns {
    let mut retry_after: HashMap<u64, f64> = HashMap::new();
    let mut returns = Returns::default();
    for attempt in attempts {
        let named = retry_after.get(&attempt.request).copied().filter(|_| attempt.after_retry_after);
        if named.is_some_and(|at| (at - EARLY_SLACK_MS..at + RETURN_SLACK_MS).contains(&attempt.at)) {
            returns.all += 1;
            returns.served += usize::from(attempt.is_served());
        }
        match attempt.retry_after() {
            Some(at) => drop(retry_after.insert(attempt.request, at)),
            None => drop(retry_after.remove(&attempt.request)),
        }
    }
    returns
}
