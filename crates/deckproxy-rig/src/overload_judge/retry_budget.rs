//! Retries that members worked on, beside the retry budget.

use super::{Judge, STEP_MS};
use crate::absence::Span;

/// Span over which retries are counted, ms.
const BUDGET_SPAN_MS: f64 = 2000.0;
/// Time after a split until the instances shed load as one again, ms.
const HEAL_MS: f64 = 3000.0;

/// An attempt that a member worked on.
struct WorkedAttempt {
    /// When it came to the member, ms of the record.
    at: f64,
    is_retry: bool,
}

/// Retries that members worked on beside those allowed, at the most over any span.
#[derive(Default)]
pub(super) struct BudgetRatios {
    /// In spans in which all instances heard each other.
    pub(super) united: f64,
    /// In the other spans.
    pub(super) split: f64,
}

impl Judge<'_> {
    /// The most retries beside the budget, from the first fault on.
    pub(super) fn budget_ratios(&self) -> BudgetRatios {
        let worked = self.worked_attempts();
        let splits = self.splits();
        let mut ratios = BudgetRatios::default();
        let mut from = self.faults_from;
        while from + BUDGET_SPAN_MS <= self.run.traffic_to {
            let to = from + BUDGET_SPAN_MS;
            let ratio = self.budget_ratio(&worked, from, to);
            let is_split = splits.iter().any(|split| split.from < to && from < split.to);
            let most = if is_split { &mut ratios.split } else { &mut ratios.united };
            *most = most.max(ratio);
            from += STEP_MS;
        }
        ratios
    }

    /// Retries of a span beside those allowed in it.
    fn budget_ratio(&self, worked: &[WorkedAttempt], from: f64, to: f64) -> f64 {
        let (mut first_attempts, mut retries) = (0.0, 0.0);
        for attempt in worked.iter().filter(|attempt| (from..to).contains(&attempt.at)) {
            *if attempt.is_retry { &mut retries } else { &mut first_attempts } += 1.0;
        }
        // What was saved up may be spent at once.
        let saved = self.criteria.saved_retries * self.run.plan.instances as f64;
        retries / (self.criteria.retry_share * first_attempts + saved).max(1.0)
    }

    fn worked_attempts(&self) -> Vec<WorkedAttempt> {
        let attempts = self.run.attempts.iter();
        let worked = attempts.filter_map(|attempt| {
            let at = *self.member_attempts.get(attempt.name.as_str())?.first()?;
            Some(WorkedAttempt { at, is_retry: attempt.earlier_attempts > 0 })
        });
        worked.collect()
    }

    /// Spans in which the instances did not hear each other, and a while after.
    fn splits(&self) -> Vec<Span> {
        let partitions = self.run.plan.faults.iter().filter(|fault| fault.kind.is_partition());
        let span = |from: f64, to: f64| Span {
            from: self.run.traffic_from + from * 1000.0,
            to: self.run.traffic_from + to * 1000.0 + HEAL_MS,
        };
        partitions.map(|fault| span(fault.at, fault.at + fault.duration)).collect()
    }
}
