//! Admission control of clients' requests while the fleet is overloaded.

use crate::program::subsystem::{ClientIdentities, Event, OpenRequests, RequestKey, Verdict};
use crate::protocol::downstream::{Answer, Call};
use crate::transport::clock;
use deckproxy_fleet::fleet::Fleet;
use deckproxy_fleet::overload::{self, RequestInfo, RequestOutcome, Ticket};
use std::collections::HashMap;

/// What admission control knows of clients' requests.
pub(super) struct RequestAdmission {
    /// Requests that were admitted and have no answer yet.
    open: OpenRequests<Ticket>,
    /// Indices of the classes by name.
    classes: HashMap<Box<str>, usize>,
    identities: ClientIdentities,
    /// Whether clients get a Retry-After.
    sends_retry_after: bool,
}

impl RequestAdmission {
    /// No request is open yet, for the settings' classes.
    pub(super) fn new(classes: &[String], by_address: bool, sends_retry_after: bool) -> Self {
        let classes = classes.iter().enumerate().map(|(index, name)| (name.as_str().into(), index));
        RequestAdmission {
            open: OpenRequests::default(),
            classes: classes.collect(),
            identities: ClientIdentities::by_address(by_address),
            sends_retry_after,
        }
    }

    /// Whether clients' addresses are wanted.
    pub(super) fn wants_addresses(&self) -> bool {
        self.identities.wants_addresses()
    }

    /// Takes up clients that came and went, and requests that were cancelled.
    pub(super) fn event(&mut self, fleet: &mut Fleet, event: &Event<'_>) {
        for (_, ticket) in self.open.remove_cancelled(event) {
            fleet.request_ended(clock::steady(), &ticket, RequestOutcome::ClientGone, 0.0);
        }
        self.identities.event(event);
    }

    /// Decides on a client's request.
    pub(super) fn request(&mut self, fleet: &mut Fleet, request: RequestKey, call: &Call) -> Verdict {
        // A request of an unknown class is left to the router, which answers it as unusable.
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

    /// Takes the final answer; a rejection is sent with the Retry-After that the fleet sets.
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
            // That says nothing of the load.
            Answer::Invalid(_) => return None,
        };
        let retry_after = fleet.request_ended(clock::steady(), &ticket, outcome, retry_after);
        (outcome == RequestOutcome::Rejected && self.sends_retry_after)
            .then_some(Answer::Rejected(retry_after))
    }
}
