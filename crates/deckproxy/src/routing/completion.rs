//! Final answers: each request gets one, and is removed from the table once none of its attempts is in flight.

use crate::protocol::downstream::Answer;
use crate::protocol::upstream::CopyInfo;
use crate::routing::effect::Effect;
use crate::routing::router::Router;
use deckproxy_control::interface::RequestId;

/// A final answer, with the copy that it was served from.
pub(super) struct FinalAnswer {
    /// The answer.
    pub(super) answer: Answer,
    /// The copy, if the member named one.
    pub(super) copy: Option<CopyInfo>,
}

impl From<Answer> for FinalAnswer {
    fn from(answer: Answer) -> Self {
        FinalAnswer { answer, copy: None }
    }
}

impl Router {
    /// Sends a request's final answer. Does nothing if the request is finished, as the decision module may act on a
    /// request that has finished in the meantime.
    pub(super) fn finish(&mut self, request: RequestId, final_answer: FinalAnswer) {
        let Some(open) = self.requests.get_mut(request).filter(|open| !open.finished) else { return };
        open.finished = true;
        self.timers.cancel(open.answer_timer);
        let (client, id) = (open.client, open.client_id);
        if let Answer::Served(body) = &final_answer.answer {
            self.answer_sizes.learn(open.class, body.len());
        }
        self.counters.count(&final_answer.answer);
        let was_unanswered = self.requests.remove_unanswered(client, id);
        self.check_invariant(was_unanswered, "one final answer to a request");
        let FinalAnswer { answer, copy } = final_answer;
        self.effects.push_back(Effect::Answer { client, id, answer, copy });
        self.requests.remove_if_done(request);
    }

    /// Fails all unfinished requests, before the process is killed.
    pub fn fail_all(&mut self, now: f64) {
        for request in self.requests.unfinished() {
            self.fail_unanswered(now, request);
        }
    }

    /// Fails a request that the decision module has not answered, and cancels its attempts.
    pub(super) fn fail_unanswered(&mut self, now: f64, request: RequestId) {
        self.finish(request, Answer::Failed.into());
        self.abandon(now, request);
    }
}
