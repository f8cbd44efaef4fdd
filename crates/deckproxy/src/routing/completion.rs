//! Final answers: each request gets one, and leaves the table once nothing of it is in flight.

use crate::protocol::downstream::Answer;
use crate::protocol::upstream::CopyInfo;
use crate::routing::effect::Effect;
use crate::routing::router::Router;
use deckproxy_control::interface::RequestId;

/// A final answer with what is known of the copy that it was served from.
pub(super) struct FinalAnswer {
    /// The answer.
    pub(super) answer: Answer,
    /// The copy, where the member named one.
    pub(super) copy: Option<CopyInfo>,
}

impl From<Answer> for FinalAnswer {
    fn from(answer: Answer) -> Self {
        FinalAnswer { answer, copy: None }
    }
}

impl Router {
    /// Gives a request its final answer. The decision module may also decide on a request that finished meanwhile,
    /// which has no effect.
    pub(super) fn finish(&mut self, request: RequestId, last: FinalAnswer) {
        let Some(open) = self.requests.get_mut(request).filter(|open| !open.finished) else { return };
        open.finished = true;
        let (client, id) = (open.client, open.client_id);
        self.counters.count(&last.answer);
        let owed = self.requests.settle(client, id);
        self.check_invariant(owed, "one final answer to a request");
        self.effects.push_back(Effect::Answer { client, id, answer: last.answer, copy: last.copy });
        self.requests.remove_if_done(request);
    }

    /// Fails all unfinished requests, as the process is about to be killed.
    pub fn fail_all(&mut self, now: f64) {
        for request in self.requests.unfinished() {
            self.fail_unanswered(now, request);
        }
    }

    /// Fails a request in place of the decision module, and cancels its attempts.
    pub(super) fn fail_unanswered(&mut self, now: f64, request: RequestId) {
        self.finish(request, Answer::Failed.into());
        self.abandon(now, request);
    }
}
