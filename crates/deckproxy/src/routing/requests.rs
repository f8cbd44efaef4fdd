//! The table of open requests and their attempts.

use crate::protocol::downstream::Call;
use crate::routing::attempt_key::{AttemptKey, attempt_key, request_of};
use crate::routing::effect::ClientId;
use deckproxy_control::interface::{AttemptEnding, MemberId, RequestId};
use std::collections::{BTreeMap, HashSet};
use std::rc::Rc;

/// An attempt in flight.
pub(super) struct Attempt {
    /// Its number within the request, from 0.
    pub(super) number: u32,
    /// The member that it went to.
    pub(super) member: MemberId,
    /// When it was given out, Unix ms.
    pub(super) sent_at: f64,
    /// Being cancelled: the ending to report if it was sent.
    pub(super) cancelled_as: Option<AttemptEnding>,
}

/// A request that is not answered yet, or of which an attempt is still in flight.
pub(super) struct OpenRequest {
    /// The client's connection.
    pub(super) client: ClientId,
    /// The client's id of the request.
    pub(super) client_id: u32,
    /// The request.
    pub(super) call: Rc<Call>,
    /// When the client gives up, Unix ms.
    pub(super) deadline: f64,
    /// Attempts so far.
    pub(super) attempts: u32,
    /// Attempts that have not ended.
    pub(super) in_flight: Vec<Attempt>,
    /// When the first attempt that may have run was sent, Unix ms.
    pub(super) may_have_run_since: Option<f64>,
    /// It has its final answer, or needs none any more.
    pub(super) finished: bool,
}

/// All open requests, by id, by client and by name.
#[derive(Default)]
pub(super) struct RequestTable {
    open: BTreeMap<RequestId, OpenRequest>,
    /// Requests that are owed an answer, by client and the client's id.
    unanswered: BTreeMap<(ClientId, u32), RequestId>,
    /// Names in use on members' connections.
    names: HashSet<Box<str>>,
    /// Bytes of the bodies of all open requests.
    body_bytes: usize,
    /// The id of the next request.
    next: RequestId,
}

impl RequestTable {
    /// Requests that are open.
    pub(super) fn len(&self) -> usize {
        self.open.len()
    }

    /// Requests that are owed an answer.
    pub(super) fn unanswered(&self) -> usize {
        self.unanswered.len()
    }

    /// Bytes of the bodies of all open requests.
    pub(super) fn body_bytes(&self) -> usize {
        self.body_bytes
    }

    /// The id for a new request.
    pub(super) fn next_id(&mut self) -> RequestId {
        let id = self.next;
        self.next = self.next.wrapping_add(1);
        id
    }

    /// Whether no request is open under this id, nor under the client's own.
    pub(super) fn is_free(&self, id: RequestId, client: ClientId, client_id: u32) -> bool {
        !self.open.contains_key(&id) && !self.unanswered.contains_key(&(client, client_id))
    }

    /// Whether a request of that name is open.
    pub(super) fn has_name(&self, name: &str) -> bool {
        self.names.contains(name)
    }

    /// Adds a request.
    pub(super) fn insert(&mut self, id: RequestId, request: OpenRequest) {
        self.body_bytes += request.call.body.len();
        self.names.insert(request.call.name.clone());
        self.unanswered.insert((request.client, request.client_id), id);
        self.open.insert(id, request);
    }

    /// Removes a request that is finished and has nothing in flight.
    pub(super) fn remove_if_done(&mut self, id: RequestId) {
        if self.open.get(&id).is_none_or(|request| !request.finished || !request.in_flight.is_empty()) {
            return;
        }
        if let Some(request) = self.open.remove(&id) {
            self.names.remove(&request.call.name);
            self.body_bytes -= request.call.body.len();
        }
    }

    /// A request.
    pub(super) fn get(&self, id: RequestId) -> Option<&OpenRequest> {
        self.open.get(&id)
    }

    /// A request, to be changed.
    pub(super) fn get_mut(&mut self, id: RequestId) -> Option<&mut OpenRequest> {
        self.open.get_mut(&id)
    }

    /// Whether a request is open and not finished.
    pub(super) fn is_unfinished(&self, id: RequestId) -> bool {
        self.open.get(&id).is_some_and(|request| !request.finished)
    }

    /// All requests that are not finished, by id.
    pub(super) fn unfinished(&self) -> Vec<RequestId> {
        self.open.iter().filter(|(_, request)| !request.finished).map(|(id, _)| *id).collect()
    }

    /// The request of a client under the client's id, if it is owed an answer.
    pub(super) fn of_client(&self, client: ClientId, client_id: u32) -> Option<RequestId> {
        self.unanswered.get(&(client, client_id)).copied()
    }

    /// The client's ids of all requests for which it is owed an answer, in ascending order.
    pub(super) fn ids_of_client(&self, client: ClientId) -> impl Iterator<Item = u32> {
        self.unanswered.range((client, 0)..=(client, u32::MAX)).map(|((_, client_id), _)| *client_id)
    }

    /// Records that a request is owed no answer any more. Returns whether it was owed one.
    pub(super) fn settle(&mut self, client: ClientId, client_id: u32) -> bool {
        self.unanswered.remove(&(client, client_id)).is_some()
    }

    /// The request of an attempt, also where the attempt itself has ended.
    pub(super) fn of_attempt(&self, key: AttemptKey) -> Option<&OpenRequest> {
        self.open.get(&request_of(key)?)
    }

    /// An attempt that is in flight.
    pub(super) fn attempt(&self, key: AttemptKey) -> Option<&Attempt> {
        let request = request_of(key)?;
        let attempts = &self.open.get(&request)?.in_flight;
        attempts.iter().find(|attempt| attempt_key(request, attempt.number) == key)
    }

    /// An attempt that is in flight, to be changed.
    pub(super) fn attempt_mut(&mut self, key: AttemptKey) -> Option<&mut Attempt> {
        let request = request_of(key)?;
        let attempts = &mut self.open.get_mut(&request)?.in_flight;
        attempts.iter_mut().find(|attempt| attempt_key(request, attempt.number) == key)
    }

    /// Takes an attempt out that has ended.
    pub(super) fn take_attempt(&mut self, key: AttemptKey) -> Option<Attempt> {
        let request = request_of(key)?;
        let attempts = &mut self.open.get_mut(&request)?.in_flight;
        let at = attempts.iter().position(|attempt| attempt_key(request, attempt.number) == key)?;
        Some(attempts.remove(at))
    }
}
