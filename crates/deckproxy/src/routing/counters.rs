//! Counts for the summary lines in the log.

use crate::protocol::downstream::Answer;
use deckproxy_control::interface::AttemptEnding;

/// Counts since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Counters {
    /// Requests accepted.
    pub accepted: u64,
    /// Requests served, those included whose client has a current copy.
    pub served: u64,
    /// Requests rejected.
    pub rejected: u64,
    /// Requests failed.
    pub failed: u64,
    /// Requests cancelled by the client, or by the end of its connection.
    pub cancelled: u64,
    /// Requests that were invalid.
    pub invalid: u64,
    /// Attempts by ending, in the order of [`ENDINGS`].
    pub endings: [u64; ENDINGS.len()],
    /// Health checks sent.
    pub health_checks: u64,
    /// Invariants that did not hold.
    pub broken_invariants: u64,
    /// Final answers that the router had to give at a deadline in place of the decision module.
    pub overdue: u64,
    /// The largest lateness of a timer, ms.
    pub late: f64,
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

/// Names of the endings, as the summary lines have them.
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
