//! Sending times: how long it takes to send an answer from an unloaded member. They are computed from the
//! size, else learned by object, else estimated by class.

use super::Control;
use super::decay::DecayingSum;
use super::request_state::Attempt;
use super::tuning::{
    FASTER_HIT_WEIGHT, HOP_ALLOWANCE, INITIAL_ESTIMATE_DIVISOR, INITIAL_ESTIMATE_WEIGHT, MEAN_ANSWERS_MAX,
    SLOWER_HIT_WEIGHT,
};
use crate::interface::{Class, Millis, Request};

/// Statistics of an object.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ObjectStats {
    /// Decaying sum of the sending times requested, in ms.
    pub(super) demand: DecayingSum,
    /// Sending time of one part, learned from hits where sizes are unknown.
    pub(super) sending_time: Option<Millis>,
}

/// The mean sending time of a class's answers.
#[derive(Clone, Copy, Debug)]
pub(super) struct ClassSendingTime {
    mean: Millis,
    /// Number of answers in the mean, up to a maximum.
    answers: f64,
}

impl ClassSendingTime {
    /// The initial estimate, derived from the class's deadline.
    pub(super) fn initial_estimate(class: &Class) -> Self {
        ClassSendingTime { mean: class.deadline / INITIAL_ESTIMATE_DIVISOR, answers: 0.0 }
    }

    /// The mean, in ms.
    pub(super) fn mean(&self) -> Millis {
        self.mean
    }

    /// Adds one answer to the mean.
    pub(super) fn learn(&mut self, sending_time: Millis) {
        self.answers = (self.answers + 1.0).min(MEAN_ANSWERS_MAX);
        self.mean += (sending_time - self.mean) / (self.answers + INITIAL_ESTIMATE_WEIGHT);
    }
}

/// Expected duration of a fill or of a direct answer from its source: the sending time and two hops.
pub(super) fn fill_time(sending_time: Millis) -> Millis {
    sending_time + 2.0 * HOP_ALLOWANCE
}

impl Control {
    /// Sending time of a request's answer.
    pub(super) fn sending_time(&self, request: &Request) -> Millis {
        let rate = self.settings.transfer_rate;
        if let Some(kilobytes) = request.size
            && rate > 0.0
        {
            return kilobytes / rate * 1000.0;
        }
        let learned = self.objects.get(&request.object).and_then(|stats| stats.sending_time);
        learned.unwrap_or(self.class_sending_times[request.class].mean())
    }

    /// Whether the sending time of a request's answer is known from its size or learned from its object,
    /// and not only a mean of its class.
    pub(super) fn is_sending_time_known(&self, request: &Request) -> bool {
        let learned = |stats: &ObjectStats| stats.sending_time.is_some();
        request.size.is_some() || self.objects.get(&request.object).is_some_and(learned)
    }

    /// Learns the sending time of an object and its class from a hit, corrected for the cache's load.
    pub(super) fn learn_sending_time(&mut self, request: &Request, attempt: &Attempt, elapsed: Millis) {
        let sending_time = elapsed.max(1.0) / attempt.member_load;
        self.class_sending_times[request.class].learn(sending_time);
        if let Some(stats) = self.objects.get_mut(&request.object) {
            let previous = stats.sending_time.unwrap_or(sending_time);
            let weight = if sending_time < previous { FASTER_HIT_WEIGHT } else { SLOWER_HIT_WEIGHT };
            stats.sending_time = Some(previous + weight * (sending_time - previous));
        }
    }
}
