//! The figures of a run under overload.

use deckproxy_standins::rules::Verdict;

/// What was counted in a run under overload.
#[derive(Clone, Debug)]
pub struct OverloadFigures {
    /// The rules that hold for any run.
    pub verdict: Verdict,
    /// Requests that clients wanted.
    pub requests: usize,
    /// Attempts of them.
    pub attempts: usize,
    /// Attempts that were served.
    pub served: usize,
    /// Attempts that were rejected.
    pub rejected: usize,
    /// Attempts that failed.
    pub failed: usize,
    /// Priority weight of the requests that were served.
    pub served_weight: f64,
    /// Attempts at members and instances for each request, at the most over two seconds, beside the calm time.
    pub amplification: f64,
    /// The same of attempts at members alone.
    pub member_amplification: f64,
    /// Retries that were worked on beside their budget, at the most over two seconds in which the instances heard each
    /// other.
    pub budget_ratio: f64,
    /// The same while they were split.
    pub split_budget_ratio: f64,
    /// Share of the rejected attempts for which one of less weight and no more age was served.
    pub inversions: f64,
    /// Jain's index of the shares that the instances served.
    pub jain_index: f64,
    /// Retry-Afters to which clients came back in time.
    pub returns: usize,
    /// Those at which they were served.
    pub served_returns: usize,
    /// Seconds from the end of the last fault until 0.95 of the goodput before; none: not within the run.
    pub recovery_seconds: Option<f64>,
    /// Share of the requests served before the first fault.
    pub goodput_before: f64,
    /// The least share served over a second from the first fault on.
    pub goodput_trough: f64,
    /// The share served in the last two seconds.
    pub goodput_after: f64,
}
