//! Requests that wait until everything that their client has sent is read.

use crate::program::gateway::{Gateway, context};
use crate::program::subsystem::Verdict;
use crate::protocol::downstream::{Answer, Call};
use crate::protocol::limits;
use crate::routing::ClientId;
use crate::transport::clock;
use crate::transport::pending_requests::PendingRequest;

impl Gateway {
    /// Passes on a client's pending requests: everything that the client has sent is read, and it has not left.
    pub(super) fn route_pending_requests(&mut self, id: ClientId) {
        while let Some(PendingRequest { id: request, mut call, received_at }) = self.next_pending_request(id)
        {
            let now = clock::now();
            call.timeout -= now - received_at;
            self.route_request(now, id, request, call);
        }
    }

    /// Rejects a client's pending requests if it has sent without a pause for too long. The client is given a time after
    /// which to retry, if the settings have one.
    pub(super) fn reject_overdue_requests(&mut self, id: ClientId) {
        let now = clock::now();
        let oldest = self.clients.get(&id).and_then(|client| client.pending.oldest());
        if oldest.is_some_and(|oldest| now - oldest > limits::PENDING_TIMEOUT) {
            self.reject_pending_requests(now, id);
        }
    }

    /// Rejects a client's pending requests.
    pub(super) fn reject_pending_requests(&mut self, now: f64, id: ClientId) {
        let settings = &self.router.instance_settings().settings;
        let retry_after = if settings.retry_after { settings.max_retry_after } else { 0.0 };
        while let Some(PendingRequest { id: request, .. }) = self.next_pending_request(id) {
            let answer = Answer::Rejected(retry_after);
            self.router.counters.count(&answer);
            self.answer_client(now, id, request, &answer);
        }
    }

    fn next_pending_request(&mut self, id: ClientId) -> Option<PendingRequest> {
        let client = self.clients.get_mut(&id)?;
        let request = client.pending.pop()?;
        client.pending_changed();
        Some(request)
    }

    /// Passes a request to the subsystems and the router.
    fn route_request(&mut self, now: f64, id: ClientId, request: u32, call: Call) {
        match self.subsystems.request(&context(now, &self.router), (id, request), &call) {
            Verdict::Pass => self.router.request(now, id, request, call),
            Verdict::Taken => {}
            Verdict::Answer(answer) => {
                match answer {
                    Answer::Invalid(_) => self.router.counters.invalid += 1,
                    _ => self.router.counters.count(&answer),
                }
                self.answer_client(now, id, request, &answer);
            }
        }
    }
}
