//! What the summary lines tell.

use crate::protocol::downstream::Answer;

/// Counts since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Counters {
    /// Requests taken.
    pub taken: u64,
    /// Served, copies that hold included.
    pub served: u64,
    /// Refused.
    pub refused: u64,
    /// Failed.
    pub failed: u64,
    /// Given up by the client, or its connection ended.
    pub gone: u64,
    /// Requests that could not be used.
    pub unusable: u64,
    /// Attempts by ending, in the order of `ENDINGS`.
    pub endings: [u64; 9],
    /// Probes sent.
    pub probes: u64,
    /// What must hold and did not.
    pub broken: u64,
    /// Final answers that this layer had to give at a deadline in place of the module.
    pub overdue: u64,
    /// The largest lateness of a timer, ms.
    pub late: f64,
}

impl Counters {
    /// Counts a final answer.
    pub fn count(&mut self, answer: &Answer) {
        match answer {
            Answer::Served(_) | Answer::Unchanged => self.served += 1,
            Answer::Refused(_) => self.refused += 1,
            Answer::Failed | Answer::Unusable(_) => self.failed += 1,
        }
    }
}

/// Names of the endings.
pub const ENDINGS: [&str; 9] =
    ["ok", "error", "full", "timeout", "connect_failed", "reset", "cancelled", "moot", "miss"];
