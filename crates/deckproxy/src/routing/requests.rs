//! The table of open requests and their attempts.

use crate::protocol::downstream::Call;
use crate::routing::attempt_key::{AttemptKey, attempt_key, request_of};
use crate::routing::effect::ClientId;
use crate::routing::recent_names::RecentNames;
use crate::routing::timers::TimerId;
use deckproxy_control::interface::{AttemptEnding, MemberId, RequestId};
use std::collections::{BTreeMap, HashSet};
use std::rc::Rc;

/// Memory that an open request takes in all tables, without its body, bytes.
const REQUEST_BYTES: usize = 2048;

/// An attempt in flight.
pub(super) struct Attempt {
    /// Its number within the request, from 0.
    pub(super) number: u32,
    /// The member that it was sent to.
    pub(super) member: MemberId,
    /// When it was sent, Unix ms.
    pub(super) sent_at: f64,
    /// Set while it is being cancelled: the ending to report if it may have run.
    pub(super) cancelled_as: Option<AttemptEnding>,
    /// The timer of its timeout; none if it was not sent.
    pub(super) timeout: Option<TimerId>,
}

/// A request that is unanswered or has an attempt in flight.
pub(super) struct OpenRequest {
    /// The client's connection.
    pub(super) client: ClientId,
    /// The client's id of the request.
    pub(super) client_id: u32,
    /// The request.
    pub(super) call: Rc<Call>,
    /// The deadline of the request, Unix ms.
    pub(super) deadline: f64,
    /// Number of attempts so far.
    pub(super) attempts: u32,
    /// Attempts that have not ended.
    pub(super) in_flight: Vec<Attempt>,
    /// When the first attempt that may have run was sent, Unix ms.
    pub(super) may_have_run_since: Option<f64>,
    /// The timer that fails it if it has no answer.
    pub(super) answer_timer: TimerId,
    /// Whether it has its final answer, or needs none any more.
    pub(super) finished: bool,
    /// The index of its class in the settings.
    pub(super) class: usize,
    /// Whether it may run several times.
    pub(super) is_idempotent: bool,
    /// Bytes that its answer is expected to have.
    pub(super) expected_bytes: usize,
}

/// All open requests, by id, by client and by name.
#[derive(Default)]
pub(super) struct RequestTable {
    open: BTreeMap<RequestId, OpenRequest>,
    /// Unanswered requests, by client and the client's id.
    unanswered: BTreeMap<(ClientId, u32), RequestId>,
    /// Names of the open requests, which identify attempts on members' connections.
    names: HashSet<Box<str>>,
    /// Names of the ended requests that must not run again.
    recent_names: RecentNames,
    /// Bytes of the bodies of all open requests.
    body_bytes: usize,
    /// Bytes of the answers that are expected to the unanswered requests.
    expected_bytes: usize,
    /// The id of the next request.
    next: RequestId,
}

impl RequestTable {
    /// Number of open requests.
    pub(super) fn len(&self) -> usize {
        self.open.len()
    }

    /// Number of unanswered requests.
    pub(super) fn unanswered(&self) -> usize {
        self.unanswered.len()
    }

    /// Bytes of the bodies of all open requests.
    pub(super) fn body_bytes(&self) -> usize {
        self.body_bytes
    }

    /// Bytes that the open requests take, with their bodies.
    pub(super) fn held_bytes(&self) -> usize {
        self.body_bytes + self.open.len() * REQUEST_BYTES
    }

    /// Bytes of the answers that are expected to the unanswered requests.
    pub(super) fn expected_bytes(&self) -> usize {
        self.expected_bytes
    }

    /// Allocates the id for a new request.
    pub(super) fn next_id(&mut self) -> RequestId {
        let id = self.next;
        self.next = self.next.wrapping_add(1);
        id
    }

    /// Whether no request is open with this id, and none of the client is unanswered with the client's id.
    pub(super) fn is_free(&self, id: RequestId, client: ClientId, client_id: u32) -> bool {
        !self.open.contains_key(&id) && !self.unanswered.contains_key(&(client, client_id))
    }

    /// Whether a request with this name is open, or one has ended that must not run again.
    pub(super) fn is_name_used(&self, name: &str) -> bool {
        self.names.contains(name) || self.recent_names.contains(name)
    }

    /// Adds a request.
    pub(super) fn insert(&mut self, id: RequestId, request: OpenRequest) {
        self.body_bytes += request.call.body.len();
        self.expected_bytes += request.expected_bytes;
        self.names.insert(request.call.name.clone());
        self.unanswered.insert((request.client, request.client_id), id);
        self.open.insert(id, request);
    }

    /// Removes a request if it is finished and has no attempts in flight.
    pub(super) fn remove_if_done(&mut self, id: RequestId) {
        if self.open.get(&id).is_none_or(|request| !request.finished || !request.in_flight.is_empty()) {
            return;
        }
        if let Some(request) = self.open.remove(&id) {
            self.names.remove(&request.call.name);
            if !request.is_idempotent && request.may_have_run_since.is_some() {
                self.recent_names.insert(&request.call.name);
            }
            self.body_bytes -= request.call.body.len();
        }
    }

    /// A request.
    pub(super) fn get(&self, id: RequestId) -> Option<&OpenRequest> {
        self.open.get(&id)
    }

    /// A request, for modification.
    pub(super) fn get_mut(&mut self, id: RequestId) -> Option<&mut OpenRequest> {
        self.open.get_mut(&id)
    }

    /// Whether a request is open and not finished.
    pub(super) fn is_unfinished(&self, id: RequestId) -> bool {
        self.open.get(&id).is_some_and(|request| !request.finished)
    }

    /// The ids of all requests that are not finished, in ascending order.
    pub(super) fn unfinished(&self) -> Vec<RequestId> {
        self.open.iter().filter(|(_, request)| !request.finished).map(|(id, _)| *id).collect()
    }

    /// A client's request by the client's id, if it is unanswered.
    pub(super) fn of_client(&self, client: ClientId, client_id: u32) -> Option<RequestId> {
        self.unanswered.get(&(client, client_id)).copied()
    }

    /// The client's ids of its unanswered requests, in ascending order.
    pub(super) fn ids_of_client(&self, client: ClientId) -> impl Iterator<Item = u32> {
        self.unanswered.range((client, 0)..=(client, u32::MAX)).map(|((_, client_id), _)| *client_id)
    }

    /// Removes a request from the unanswered ones. Returns whether it was unanswered.
    pub(super) fn remove_unanswered(&mut self, client: ClientId, client_id: u32) -> bool {
        let Some(id) = self.unanswered.remove(&(client, client_id)) else { return false };
        self.expected_bytes -= self.open.get(&id).map_or(0, |request| request.expected_bytes);
        true
    }

    /// The request of an attempt, even if the attempt has ended.
    pub(super) fn of_attempt(&self, key: AttemptKey) -> Option<&OpenRequest> {
        self.open.get(&request_of(key)?)
    }

    /// An attempt that is in flight.
    pub(super) fn attempt(&self, key: AttemptKey) -> Option<&Attempt> {
        let request = request_of(key)?;
        let attempts = &self.open.get(&request)?.in_flight;
        attempts.iter().find(|attempt| attempt_key(request, attempt.number) == key)
    }

    /// An attempt that is in flight, for modification.
    pub(super) fn attempt_mut(&mut self, key: AttemptKey) -> Option<&mut Attempt> {
        let request = request_of(key)?;
        let attempts = &mut self.open.get_mut(&request)?.in_flight;
        attempts.iter_mut().find(|attempt| attempt_key(request, attempt.number) == key)
    }

    /// Removes and returns an attempt that has ended.
    pub(super) fn remove_attempt(&mut self, key: AttemptKey) -> Option<Attempt> {
        let request = request_of(key)?;
        let attempts = &mut self.open.get_mut(&request)?.in_flight;
        let at = attempts.iter().position(|attempt| attempt_key(request, attempt.number) == key)?;
        Some(attempts.remove(at))
    }
}
