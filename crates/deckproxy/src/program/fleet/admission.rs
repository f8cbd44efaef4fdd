//! Admission control of client requests while the fleet is overloaded.

use crate::program::subsystem::{ClientIdentities, Event, OpenRequests, RequestKey, Verdict};
use crate::protocol::downstream::{Answer, Call};
use crate::transport::clock;
use deckproxy_fleet::fleet::Fleet;
use deckproxy_fleet::overload::{self, RequestInfo, RequestOutcome, Ticket};
use std::collections::HashMap;

/// Admission state of client requests.
pub(super) struct RequestAdmission {
    /// Admitted requests that are not answered yet.
    open: OpenRequests<Ticket>,
    /// Class indices by class name.
    classes: HashMap<Box<str>, usize>,
    identities: ClientIdentities,
    /// Whether rejections carry a Retry-After.
    sends_retry_after: bool,
}

impl RequestAdmission {
    /// Creates the state for the configured classes, with no open request.
    pub(super) fn new(classes: &[String], by_address: bool, sends_retry_after: bool) -> Self {
        let classes = classes.iter().enumerate().map(|(index, name)| (name.as_str().into(), index));
        RequestAdmission {
            open: OpenRequests::default(),
            classes: classes.collect(),
            identities: ClientIdentities::by_address(by_address),
            sends_retry_after,
        }
    }

    /// Whether connect events have to carry the client's address.
    pub(super) fn wants_addresses(&self) -> bool {
        self.identities.wants_addresses()
    }

    /// Handles connecting and disconnecting clients and cancelled requests.
    pub(super) fn event(&mut self, fleet: &mut Fleet, event: &Event<'_>) {
        for (_, ticket) in self.open.remove_cancelled(event) {
            fleet.request_ended(clock::steady(), &ticket, RequestOutcome::ClientGone, 0.0);
        }
        self.identities.event(event);
    }

    /// Admits or rejects a client's request.
    pub(super) fn request(&mut self, fleet: &mut Fleet, request: RequestKey, call: &Call) -> Verdict {
        // The router rejects a request of an unknown class as invalid.
        let Some(class) = self.classes.get(&call.class).copied() else { return Verdict::Pass };
        let info = RequestInfo {
            client: self.identities.identity(request.0),
            class,
            object: call.object.number,
            time_left: call.timeout,
            size_kb: call.size_kb,
            is_retry: call.is_retry,
        };
        match fleet.request(clock::steady(), info) {
            Some(overload::Verdict::Admit(ticket)) => {
                self.open.insert(request, ticket);
                Verdict::Pass
            }
            Some(overload::Verdict::Reject { retry_after }) => Verdict::Answer(Answer::Rejected(retry_after)),
            None => Verdict::Pass,
        }
    }

    /// Records the final answer. Returns a rejection with the fleet's Retry-After to send instead, if the answer is a
    /// rejection.
    pub(super) fn answer(
        &mut self,
        fleet: &mut Fleet,
        request: RequestKey,
        answer: &Answer,
    ) -> Option<Answer> {
        let ticket = self.open.remove(request)?;
        let (outcome, retry_after) = match answer {
            Answer::Served(_) | Answer::NotModified => (RequestOutcome::Served, 0.0),
            Answer::Rejected(retry_after) => (RequestOutcome::Rejected, *retry_after),
            Answer::Failed => (RequestOutcome::Failed, 0.0),
            // An invalid request says nothing about the load.
            Answer::Invalid(_) => return None,
        };
        let retry_after = fleet.request_ended(clock::steady(), &ticket, outcome, retry_after);
        (outcome == RequestOutcome::Rejected && self.sends_retry_after)
            .then_some(Answer::Rejected(retry_after))
    }
}
