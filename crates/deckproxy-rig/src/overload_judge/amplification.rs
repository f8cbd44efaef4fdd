//! Amplification: how many attempts retries make of a request.

use super::Judge;

/// Span over which work is added up, ms.
const WORK_SPAN_MS: f64 = 2000.0;
/// Step from one such span to the next, ms.
const WORK_STEP_MS: f64 = 500.0;
/// Work in the calm time that is taken for none.
const LEAST_WORK: f64 = 1e-9;

impl Judge<'_> {
    /// The most work for a request in any span from the first fault on, beside that of the calm time. `work` gives the
    /// attempts for each request from one time to another.
    pub(super) fn amplification(&self, work: impl Fn(&Self, f64, f64) -> f64) -> f64 {
        let spans = self.faulty_spans(WORK_STEP_MS, WORK_SPAN_MS);
        let most = spans.map(|at| work(self, at, at + WORK_SPAN_MS)).fold(0.0, f64::max);
        most / work(self, self.calm_from(), self.faults_from).max(LEAST_WORK)
    }

    /// Attempts at members and instances for each request of a span.
    pub(super) fn work(&self, from: f64, to: f64) -> f64 {
        let attempts = self.run.attempts.iter().filter(|attempt| (from..to).contains(&attempt.at));
        let work = self.member_attempts_in(from, to) + attempts.count() as f64;
        work / (self.requests_in(from, to).count() as f64).max(1.0)
    }

    /// Attempts at members for each request of a span.
    pub(super) fn member_work(&self, from: f64, to: f64) -> f64 {
        self.member_attempts_in(from, to) / (self.requests_in(from, to).count() as f64).max(1.0)
    }

    fn member_attempts_in(&self, from: f64, to: f64) -> f64 {
        self.member_attempts.values().flatten().filter(|at| (from..to).contains(*at)).count() as f64
    }
}
