//! Accounting of the requests on one client connection.
//!
//! Answers are written to a connection in the order in which they were queued, so written bytes belong to the
//! first message that is not completely written yet. When the connection is closed, the remaining messages
//! count as cancelled.

use super::{Micros, millis};
use crate::meter::{Key, Leg, Meter, NameId, Outcome, Update};
use ipnet::IpNet;
use std::collections::VecDeque;

/// A request without a completely written answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Request {
    class: NameId,
    /// The site to which the request was forwarded; 0: none.
    site: NameId,
    /// Size in bytes.
    bytes: u64,
    received_at: Micros,
}

/// A message that is queued for writing: the answer to a request, or a message that answers no request.
#[derive(Clone, Copy, Debug)]
struct QueuedMessage {
    request: Option<Request>,
    outcome: Outcome,
}

/// Counts the bytes and requests of one client connection.
#[derive(Debug)]
pub struct ClientAccount {
    client: Option<IpNet>,
    /// Requests without an answer by id, unordered; a connection has few at a time.
    open_requests: Vec<(u32, Request)>,
    /// Messages that are not completely written yet, in the order of writing.
    queued_messages: VecDeque<QueuedMessage>,
}

impl ClientAccount {
    /// The account of a new connection; `client` is `None` if the client's address is unknown.
    pub fn new(client: Option<IpNet>) -> Self {
        ClientAccount { client, open_requests: Vec::new(), queued_messages: VecDeque::new() }
    }

    /// The client's network.
    pub fn client(&self) -> Option<IpNet> {
        self.client
    }

    /// The number of requests without an answer.
    pub fn open_requests(&self) -> usize {
        self.open_requests.len()
    }

    /// The number of messages that are not completely written yet.
    pub fn queued_messages(&self) -> usize {
        self.queued_messages.len()
    }

    /// A request of `bytes` bytes was received. A request with the id of an open one is counted as invalid at once,
    /// because the answers of the two could not be distinguished.
    pub fn request_received(&mut self, meter: &mut Meter, now: Micros, id: u32, class: NameId, bytes: u64) {
        let request = Request { class, site: 0, bytes, received_at: now };
        if self.open_requests.iter().any(|(open_id, _)| *open_id == id) {
            self.count_request(meter, now, &request, Outcome::Invalid, 0);
            return;
        }
        self.open_requests.push((id, request));
    }

    /// An open request was forwarded to another site.
    pub fn request_forwarded(&mut self, id: u32, site: NameId) {
        if let Some((_, request)) = self.open_requests.iter_mut().find(|(open_id, _)| *open_id == id) {
            request.site = site;
        }
    }

    /// Bytes were received that belong to no request.
    pub fn other_bytes_received(&mut self, meter: &mut Meter, now: Micros, bytes: u64) {
        if bytes > 0 {
            let update = Update { bytes_from_client: bytes, ..Update::default() };
            meter.count(millis(now), self.key(None, None), &update);
        }
    }

    /// The answer to a request was queued for writing; `id` is `None` for a message that answers no request.
    pub fn answer_queued(&mut self, id: Option<u32>, outcome: Outcome) {
        let request = id.and_then(|id| self.take_request(id));
        self.queued_messages.push_back(QueuedMessage { request, outcome });
    }

    /// The first queued message was written completely; it has `bytes` bytes.
    pub fn message_written(&mut self, meter: &mut Meter, now: Micros, bytes: u64) {
        let message = self.queued_messages.pop_front();
        debug_assert!(message.is_some(), "each written message was queued");
        if let Some(message) = message {
            self.count_message(meter, now, message, message.outcome, bytes);
        }
    }

    /// The client cancelled a request before its answer was queued.
    pub fn request_cancelled(&mut self, meter: &mut Meter, now: Micros, id: u32) {
        if let Some(request) = self.take_request(id) {
            self.count_request(meter, now, &request, Outcome::Canceled, 0);
        }
    }

    /// The connection was closed after `written` bytes of the first queued message were written and `unread`
    /// bytes of an incomplete message were received.
    pub fn connection_closed(&mut self, meter: &mut Meter, now: Micros, written: u64, unread: u64) {
        let mut written = written;
        while let Some(message) = self.queued_messages.pop_front() {
            self.count_message(meter, now, message, Outcome::Canceled, std::mem::take(&mut written));
        }
        debug_assert!(written == 0, "each written message was queued");
        while let Some((_, request)) = self.open_requests.pop() {
            self.count_request(meter, now, &request, Outcome::Canceled, 0);
        }
        self.other_bytes_received(meter, now, unread);
    }

    fn key(&self, request: Option<&Request>, outcome: Option<Outcome>) -> Key {
        let (class, site) = request.map_or((0, 0), |request| (request.class, request.site));
        Key { client: self.client, class, site, outcome, ..Key::of(Leg::Client) }
    }

    fn take_request(&mut self, id: u32) -> Option<Request> {
        let index = self.open_requests.iter().position(|(open_id, _)| *open_id == id)?;
        Some(self.open_requests.swap_remove(index).1)
    }

    fn count_request(
        &self,
        meter: &mut Meter,
        now: Micros,
        request: &Request,
        outcome: Outcome,
        answer_bytes: u64,
    ) {
        let latency = Some(now.saturating_sub(request.received_at));
        let update =
            Update { bytes_to_client: answer_bytes, bytes_from_client: request.bytes, requests: 1, latency };
        meter.count(millis(now), self.key(Some(request), Some(outcome)), &update);
    }

    fn count_message(
        &self,
        meter: &mut Meter,
        now: Micros,
        message: QueuedMessage,
        outcome: Outcome,
        bytes: u64,
    ) {
        match &message.request {
            Some(request) => self.count_request(meter, now, request, outcome, bytes),
            None if bytes > 0 => {
                let update = Update { bytes_to_client: bytes, ..Update::default() };
                meter.count(millis(now), self.key(None, None), &update);
            }
            None => {}
        }
    }
}
