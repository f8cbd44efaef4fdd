//! What a judgement counted.

use super::Latencies;

/// What was counted.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Verdict {
    /// All requests.
    pub requests: usize,
    /// Requests from one site for another's objects.
    pub cross_site: usize,
    /// Requests that were served.
    pub served: usize,
    /// Requests that were rejected.
    pub rejected: usize,
    /// Requests that failed otherwise.
    pub failed: usize,
    /// Share of the requests for the own site's objects that were served.
    pub home_served_share: f64,
    /// Share of the cross-site requests that were served.
    pub cross_site_served_share: f64,
    /// Requests that were never answered.
    pub unanswered: usize,
    /// Requests in flight at a gateway when that was killed: they need no answer.
    pub killed: usize,
    /// Answers to a request that was answered before.
    pub double_answers: usize,
    /// Attempts in flight beside as many others of their request as are allowed.
    pub double_attempts: usize,
    /// Effects of a request, or of its idempotency key, beyond the first.
    pub double_effects: usize,
    /// Copies served that a purge had made void.
    pub stale_after_purge: usize,
    /// Attempts sent to a member after its drain.
    pub sends_after_drain: usize,
    /// Bodies that no origin made, or of another object.
    pub wrong_bodies: usize,
    /// Answers after the deadline and the slack.
    pub late_answers: usize,
    /// Cuts of links.
    pub link_cuts: usize,
    /// Purges announced.
    pub purges: usize,
    /// Attempts that members received.
    pub attempts: usize,
    /// Cache hits.
    pub hits: usize,
    /// Fills.
    pub fills: usize,
    /// Times from a request for an own object to its being served.
    pub home_latencies: Latencies,
    /// Times from a cross-site request to its being served.
    pub cross_site_latencies: Latencies,
    /// The first few violations, in words.
    pub violations: Vec<String>,
}

impl Verdict {
    /// Whether no rule was broken.
    pub fn holds(&self) -> bool {
        self.unanswered + self.double_answers + self.rule_breaks() == 0
    }

    /// How many times a rule was broken, other than by answers that were doubled or never came.
    pub fn rule_breaks(&self) -> usize {
        self.double_attempts
            + self.double_effects
            + self.stale_after_purge
            + self.sends_after_drain
            + self.wrong_bodies
            + self.late_answers
    }
}
