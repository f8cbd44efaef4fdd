//! Handling of client messages and their answers.

use crate::program::gateway::{Gateway, context};
use crate::program::subsystem::{Event, RequestKey};
use crate::protocol::downstream::{self, Answer, Call, Message, ProtocolError, RequestError};
use crate::protocol::limits;
use crate::routing::ClientId;
use crate::transport::client::ClientConnection;
use crate::transport::client_input::InputMode;
use crate::transport::clock;
use crate::transport::pending_requests::PendingRequest;

/// How far the received messages of a client are handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum DecodeProgress {
    /// No complete message is left.
    Complete,
    /// The slice has ended, and further messages may be complete.
    Paused,
}

impl Gateway {
    /// Decodes and handles the complete messages received from a client, until the end of its slice.
    pub(super) fn decode_messages(&mut self, now: f64, id: ClientId, slice_end: f64) -> DecodeProgress {
        let mut progress = DecodeProgress::Paused;
        while progress == DecodeProgress::Paused {
            let Some(client) = self.clients.get_mut(&id) else { return DecodeProgress::Complete };
            let before = client.stream.input.len();
            let message = client.take_message();
            let bytes = before - client.stream.input.len();
            match message {
                Ok(None) => {
                    self.notify(now, &Event::ClientBytesReceived { client: id, bytes });
                    progress = DecodeProgress::Complete;
                }
                Ok(Some(message)) => self.handle_message(clock::now(), id, message, bytes),
                Err(error) => self.handle_protocol_error(now, id, &error, bytes),
            }
            if self.is_over_write_limit(id) {
                // More rejections would have to be buffered without a bound.
                self.drain_client(now, id, "it does not read its rejections", InputMode::Discard);
            }
            if progress == DecodeProgress::Paused && clock::now() >= slice_end && self.has_input(id) {
                break;
            }
        }
        if progress == DecodeProgress::Complete {
            self.admit_partial_message(now, id);
        }
        // A closing connection is half-closed only once all received messages are handled.
        let wants_flush =
            |client: &ClientConnection| client.is_closing() || client.stream.unwritten_bytes() > 0;
        if self.clients.get(&id).is_some_and(wants_flush) {
            self.flush_client(now, id);
        }
        progress
    }

    /// Whether bytes that a client has sent are read and not decoded yet.
    fn has_input(&self, id: ClientId) -> bool {
        self.clients.get(&id).is_some_and(|client| !client.stream.input.is_empty())
    }

    /// Writes a client's answers if enough of them are collected.
    fn flush_batch(&mut self, now: f64, id: ClientId) {
        let unwritten = self.clients.get(&id).map_or(0, |client| client.stream.unwritten_bytes());
        if unwritten > limits::CLIENT_WRITE_BATCH {
            self.flush_client(now, id);
        }
    }

    fn is_over_write_limit(&self, id: ClientId) -> bool {
        let is_scarce = self.is_memory_scarce();
        self.clients.get(&id).is_some_and(|client| {
            client.is_over_write_limit() || is_scarce && client.is_over_scarce_write_limit()
        })
    }

    /// Takes memory for the message that has been received in part. If there is none, its request is rejected at once,
    /// and the message is dropped as it arrives.
    fn admit_partial_message(&mut self, now: f64, id: ClientId) {
        let Some(client) = self.clients.get(&id) else { return };
        let bytes = client.unadmitted_bytes();
        if bytes == 0 || client.is_discarding() {
            return;
        }
        let is_small = client.stream.input.len() + client.stream.missing <= limits::CLIENT_INPUT;
        let is_admitted = is_small || self.admits_partial_message(bytes);
        if !is_admitted {
            self.reject_partial_request(now, id);
        }
        let Some(client) = self.clients.get_mut(&id) else { return };
        if is_admitted {
            return client.admit_partial_message();
        }
        let bytes = client.drop_partial_message();
        self.notify(now, &Event::ClientBytesReceived { client: id, bytes });
        self.flush_client(now, id);
    }

    /// Handles bytes that can't be decoded: sends an answer if they contain a request id, and drains the connection.
    fn handle_protocol_error(&mut self, now: f64, id: ClientId, fault: &ProtocolError, bytes: usize) {
        let event = match fault.request_id {
            Some(request) => Event::RequestReceived { client: id, id: request, class: "", bytes },
            None => Event::ClientBytesReceived { client: id, bytes },
        };
        self.notify(now, &event);
        if let Some(request) = fault.request_id {
            let due = self.router.longest_answer_due(now);
            self.answer_unadmitted(now, (id, request), &Answer::Invalid(fault.error), due);
        }
        self.drain_client(now, id, fault.error.as_str(), InputMode::Discard);
    }

    /// Handles a client's message; `bytes` is its size.
    fn handle_message(&mut self, now: f64, id: ClientId, message: Message, bytes: usize) {
        let event = match &message {
            Message::Call { id: request, call } => {
                Event::RequestReceived { client: id, id: *request, class: &call.class, bytes }
            }
            Message::Invalid { id: request, .. } => {
                Event::RequestReceived { client: id, id: *request, class: "", bytes }
            }
            Message::Ping(_) | Message::Cancel(_) | Message::Ignored => {
                Event::ClientBytesReceived { client: id, bytes }
            }
        };
        self.notify(now, &event);
        match message {
            Message::Call { id: request, call } => self.handle_request(now, (id, request), *call),
            Message::Ping(request) => self.handle_ping(now, id, request),
            Message::Cancel(requests) => self.handle_cancellation(now, id, requests),
            Message::Invalid { id: request, error } => self.handle_invalid(now, id, request, error),
            Message::Ignored => {}
        }
    }

    fn handle_request(&mut self, now: f64, key: RequestKey, call: Call) {
        let (id, request) = key;
        let due = self.router.answer_due(now, call.timeout);
        let Some(client) = self.clients.get_mut(&id) else { return };
        if client.is_request_open(request) {
            return self.handle_reused_id(now, key, due);
        }
        if !client.accept_id(request) {
            // The protocol requires ids that start at 1 and increase by 1.
            let error = RequestError::IdOutOfSequence;
            self.answer_unadmitted(now, key, &Answer::Invalid(error), due);
            return self.drain_client(now, id, error.as_str(), InputMode::Reject);
        }
        // During a shutdown or on a closing connection, a request that is rejected at once can be retried sooner. The
        // account of memory is checked before the client's own limit on open requests.
        let rejecting = client.is_closing() || self.is_rejecting();
        let full = self.is_memory_full(call.body.len());
        let admits = |client: &mut ClientConnection| !rejecting && !full && client.admit(request, due);
        if !self.clients.get_mut(&id).is_some_and(admits) {
            self.router.counters.rejected += 1;
            self.answer_unadmitted(now, key, &Answer::Rejected(0.0), due);
            return self.flush_batch(now, id);
        }
        if let Some(client) = self.clients.get_mut(&id) {
            client.pending.push(PendingRequest { id: request, call, received_at: now });
            client.pending_changed();
        }
    }

    /// Handles a request with the id of an open one. As their answers could not be distinguished, the open one is cancelled,
    /// both get one answer, and the connection is drained: its other requests are still answered.
    fn handle_reused_id(&mut self, now: f64, key: RequestKey, due: f64) {
        let (id, _) = key;
        self.cancel_request(now, key);
        let error = RequestError::IdOutOfSequence;
        self.answer_unadmitted(now, key, &Answer::Invalid(error), due);
        self.drain_client(now, id, "two open requests of one id", InputMode::Reject);
    }

    /// Answers a ping with whether the gateway is ready for requests.
    fn handle_ping(&mut self, now: f64, id: ClientId, request: u32) {
        let ready = !self.is_shutting_down();
        let Some(client) = self.clients.get_mut(&id) else { return };
        client.accept_id(request);
        client.push(downstream::encode_ready(request, ready));
        self.notify(now, &Event::PingAnswered { client: id });
        self.flush_batch(now, id);
    }

    /// Cancels those of the requests that are open. Drains the connection if too many in a row were cancelled.
    fn handle_cancellation(&mut self, now: f64, id: ClientId, requests: Vec<u32>) {
        for request in requests {
            self.cancel_request(now, (id, request));
            if self.clients.get(&id).is_some_and(ClientConnection::cancels_too_many) {
                self.drain_client(now, id, "it cancels too many requests in a row", InputMode::Reject);
            }
        }
    }

    /// Cancels a request, unless it is not open.
    fn cancel_request(&mut self, now: f64, (id, request): RequestKey) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        if !client.cancel_request(request) {
            return;
        }
        let was_pending = client.pending.remove(request);
        client.pending_changed();
        self.notify(now, &Event::RequestCancelled { client: id, id: request });
        if was_pending {
            self.router.counters.accepted += 1;
            self.router.counters.cancelled += 1;
        } else {
            self.router.cancel(now, id, request);
        }
    }

    fn handle_invalid(&mut self, now: f64, id: ClientId, request: u32, error: RequestError) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        client.accept_id(request);
        self.router.counters.invalid += 1;
        let due = self.router.longest_answer_due(now);
        self.answer_unadmitted(now, (id, request), &Answer::Invalid(error), due);
        self.flush_batch(now, id);
    }

    /// Rejects the request of which only a part has been received, if its id is known: it gets a final answer even if its
    /// connection closes before the rest arrives. Returns whether there was one.
    pub(super) fn reject_partial_request(&mut self, now: f64, id: ClientId) -> bool {
        let due = self.router.longest_answer_due(now);
        let Some(client) = self.clients.get_mut(&id) else { return false };
        let partial = client.unanswered_partial_request();
        let Some(request) = partial.filter(|request| !client.is_request_open(*request)) else { return false };
        let answer = if client.accept_id(request) {
            self.router.counters.rejected += 1;
            Answer::Rejected(0.0)
        } else {
            Answer::Invalid(RequestError::IdOutOfSequence)
        };
        let bytes = client.answer_partial_request(request, &answer, due);
        self.notify(now, &Event::RequestReceived { client: id, id: request, class: "", bytes });
        self.notify(now, &Event::AnswerQueued { client: id, id: request, answer: &answer });
        true
    }

    /// Sends the final answer to an admitted request. It is dropped if the client has disconnected or cancelled the request
    /// in the meantime: the request was counted as cancelled at that time.
    pub(super) fn answer_client(&mut self, now: f64, id: ClientId, request: u32, answer: &Answer) {
        let is_open = |client: &ClientConnection| client.is_request_open(request);
        if !self.clients.get(&id).is_some_and(is_open) {
            return;
        }
        let replacement = if self.subsystems.is_any_enabled() {
            self.subsystems.answer(&context(now, &self.router), (id, request), answer)
        } else {
            None
        };
        let answer = replacement.as_ref().unwrap_or(answer);
        if let Some(client) = self.clients.get_mut(&id) {
            client.answer(request, answer);
        }
        self.notify(now, &Event::AnswerQueued { client: id, id: request, answer });
        self.flush_client(now, id);
    }

    /// Appends the final answer to a request that was not admitted to a client's write buffer. It is of use to the client
    /// until `due`, Unix ms.
    fn answer_unadmitted(&mut self, now: f64, (id, request): RequestKey, answer: &Answer, due: f64) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        client.answer_unadmitted(request, answer, due);
        self.notify(now, &Event::AnswerQueued { client: id, id: request, answer });
    }
}
