//! Counters for the summary lines in the log.

use crate::protocol::downstream::Answer;
use deckproxy_control::interface::AttemptEnding;

/// Counters since the process started.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Counters {
    /// Requests accepted.
    pub accepted: u64,
    /// Requests served, including those answered "not modified".
    pub served: u64,
    /// Requests rejected.
    pub rejected: u64,
    /// Requests failed.
    pub failed: u64,
    /// Requests cancelled by the client, or by the end of its connection.
    pub cancelled: u64,
    /// Invalid requests, and client connections drained or closed for breaking a limit or the protocol.
    pub invalid: u64,
    /// Attempts by ending, in the order of [`ENDINGS`].
    pub endings: [u64; ENDINGS.len()],
    /// Health checks sent.
    pub health_checks: u64,
    /// Invariant violations.
    pub broken_invariants: u64,
    /// Requests that the router failed because the decision module had not answered them in time.
    pub overdue: u64,
    /// Largest delay with which a timer fired, ms.
    pub max_timer_delay: f64,
}

impl Counters {
    /// Counts a final answer.
    pub fn count(&mut self, answer: &Answer) {
        match answer {
            Answer::Served(_) | Answer::NotModified => self.served += 1,
            Answer::Rejected(_) => self.rejected += 1,
            Answer::Failed | Answer::Invalid(_) => self.failed += 1,
        }
    }
}

/// Names of the attempt endings in the summary lines.
pub const ENDINGS: [&str; 9] =
    ["ok", "error", "rejected", "timeout", "connect_failed", "reset", "cancelled", "not_sent", "miss"];

/// The position of an ending in [`ENDINGS`].
pub(super) fn index_of(ending: AttemptEnding) -> usize {
    match ending {
        AttemptEnding::Served => 0,
        AttemptEnding::Error => 1,
        AttemptEnding::Rejected => 2,
        AttemptEnding::Timeout => 3,
        AttemptEnding::ConnectFailed => 4,
        AttemptEnding::Reset => 5,
        AttemptEnding::Cancelled => 6,
        AttemptEnding::NotSent => 7,
        AttemptEnding::Miss => 8,
    }
}
