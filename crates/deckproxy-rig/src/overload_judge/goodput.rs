//! Goodput: the share of the wanted requests that were served, at any instance in the end.

use super::{Judge, STEP_MS};

/// Span over which goodput is taken, ms.
pub(super) const GOODPUT_SPAN_MS: f64 = 1000.0;
/// Goodput that counts as recovered, beside that of the calm time.
const RECOVERED_SHARE: f64 = 0.95;

impl Judge<'_> {
    /// Share of the requests of a span that were served; 1 where there are none.
    pub(super) fn goodput(&self, from: f64, to: f64) -> f64 {
        let (mut all, mut served) = (0.0, 0.0);
        for request in self.requests_in(from, to) {
            all += 1.0;
            served += f64::from(u8::from(request.is_served));
        }
        if all > 0.0 { served / all } else { 1.0 }
    }

    /// The same over the span from a time on.
    pub(super) fn goodput_at(&self, at: f64) -> f64 {
        self.goodput(at, at + GOODPUT_SPAN_MS)
    }

    /// Priority weight of the requests that were served.
    pub(super) fn served_weight(&self) -> f64 {
        let served = self.requests.values().filter(|request| request.is_served);
        served.map(|request| (self.criteria.priority_weight)(request.class)).sum()
    }

    /// Seconds from the end of the faults until goodput was back and stayed so.
    pub(super) fn recovery_seconds(&self, goodput_before: f64) -> Option<f64> {
        let last = self.last_request();
        let steps = (0..).map(|i| self.faults_to + f64::from(i) * STEP_MS);
        let steps = steps.take_while(|at| *at + GOODPUT_SPAN_MS <= last);
        let last_bad = steps.filter(|at| self.goodput_at(*at) < RECOVERED_SHARE * goodput_before).last();
        match last_bad {
            None => Some(0.0),
            Some(at) if at + 2.0 * GOODPUT_SPAN_MS <= last => Some((at + STEP_MS - self.faults_to) / 1000.0),
            Some(_) => None,
        }
    }
}
