//! Responses: heads and bodies, credit windows, and the delivery of complete responses to the requests that wait.

use super::Requester;
use super::exchange::{Attempt, ExchangeId};
use super::types::Reply;
use crate::frame::{BodyChunk, Outcome, ResponseHead};
use crate::purges::PurgeLog;
use crate::{ConnectionId, Millis};
use bytes::Bytes;

/// Largest body that is accepted, bytes.
const MAX_BODY: usize = 16 * 1024 * 1024;

/// The state of a body after one of its chunks.
enum BodyProgress {
    /// The attempt has ended, or is attached to another connection.
    Ignored,
    /// More chunks follow.
    Partial(ExchangeId),
    /// The body is complete.
    Complete(ExchangeId),
}

impl Requester {
    /// The attempt whose response may arrive on a connection, with its exchange.
    fn attempt_on(
        &mut self,
        endpoint: usize,
        connection: ConnectionId,
        number: u64,
    ) -> Option<(ExchangeId, &mut Attempt)> {
        let id = *self.endpoints.get(endpoint)?.attempts.get(&number)?;
        let attempt = self.exchanges.get_mut(&id)?.attempt.as_mut()?;
        (attempt.connection == Some(connection)).then_some((id, attempt))
    }

    /// Processes the head of a response. Returns whether it is valid.
    pub(super) fn response_head(
        &mut self,
        now: Millis,
        endpoint: usize,
        connection: ConnectionId,
        head: ResponseHead,
        purges: &PurgeLog,
    ) -> bool {
        let body_length = head.body_length as usize;
        if body_length > MAX_BODY {
            return false;
        }
        let Some((id, attempt)) = self.attempt_on(endpoint, connection, head.number) else { return true };
        attempt.body.clear();
        let is_complete = body_length == 0 || head.outcome() != Outcome::Served;
        attempt.response = Some(head);
        if is_complete {
            self.response_complete(now, id, purges);
        }
        true
    }

    /// Processes a chunk of a response's body. Returns whether it is valid.
    pub(super) fn body_chunk(
        &mut self,
        now: Millis,
        endpoint_index: usize,
        connection: ConnectionId,
        chunk: &BodyChunk,
        purges: &PurgeLog,
    ) -> bool {
        let mut is_first_of_several = false;
        let mut progress = BodyProgress::Ignored;
        if let Some((id, attempt)) = self.attempt_on(endpoint_index, connection, chunk.number) {
            let body_length = attempt.response.as_ref().map_or(0, |head| head.body_length as usize);
            let received = attempt.body.len();
            if chunk.offset as usize != received || received + chunk.bytes.len() > body_length {
                return false;
            }
            is_first_of_several = received == 0 && chunk.bytes.len() < body_length;
            attempt.is_chunked |= is_first_of_several;
            if received == 0 {
                // What is promised is taken at once: a buffer that grows by doubling could take twice as much.
                attempt.body.reserve(body_length.min(attempt.promised_bytes));
            }
            attempt.body.extend_from_slice(&chunk.bytes);
            progress = if attempt.body.len() == body_length {
                BodyProgress::Complete(id)
            } else {
                BodyProgress::Partial(id)
            };
        }
        if let Some(endpoint) = self.endpoints.get_mut(endpoint_index) {
            // The first chunk only starts the sample: the time in which it was received is not known.
            if is_first_of_several {
                endpoint.estimate.body_started(now);
            } else {
                endpoint.estimate.bytes_received(now, chunk.bytes.len());
            }
        }
        match progress {
            BodyProgress::Ignored => {}
            BodyProgress::Partial(id) => self.extend_or_wait(id),
            BodyProgress::Complete(id) => self.response_complete(now, id, purges),
        }
        true
    }

    /// Processes a complete response: retries if its copy is stale, and delivers it otherwise.
    fn response_complete(&mut self, now: Millis, id: ExchangeId, purges: &PurgeLog) {
        let Some(attempt) = self.exchanges.get_mut(&id).and_then(|exchange| exchange.attempt.as_mut()) else {
            return;
        };
        let Some(head) = attempt.response.take() else { return };
        let body = std::mem::take(&mut attempt.body).freeze();
        let (sent_at, cached_tag) = (attempt.sent_at, attempt.cached_tag.take());
        if attempt.is_chunked
            && let Some(endpoint) = self.endpoints.get_mut(attempt.endpoint)
        {
            endpoint.estimate.body_ended(now);
        }
        self.end_attempt(now, id, Some(body.len()));
        // The head was sent after the attempt, so the copy was issued at this time at the earliest.
        let issued_at = head.copy_age.map(|age| sent_at - age);
        let Some(exchange) = self.exchanges.get(&id) else { return };
        let Some(leader) = exchange.waiters.front() else { return self.end_exchange(now, id) };
        let (object, group) = (leader.request.object, leader.request.request.group);
        let is_fresh = issued_at.is_none_or(|at| purges.may_serve(now, object, group, at));
        let is_copy = matches!(head.outcome(), Outcome::Served | Outcome::NotModified);
        if is_copy && !is_fresh && exchange.is_idempotent() {
            self.counters.stale_responses += 1;
            return self.retry(now, id);
        }
        self.deliver_response(now, id, head, body, issued_at, cached_tag.as_deref());
    }

    /// Delivers a complete response to the requests to which it applies.
    fn deliver_response(
        &mut self,
        now: Millis,
        id: ExchangeId,
        head: ResponseHead,
        body: Bytes,
        issued_at: Option<Millis>,
        cached_tag: Option<&str>,
    ) {
        match head.outcome() {
            Outcome::Served => {
                self.reply_to_all(now, id, &Reply::Served { body, issued_at, tag: head.tag });
            }
            Outcome::NotModified => {
                self.not_modified(now, id, cached_tag, &Reply::NotModified { issued_at, tag: head.tag });
            }
            Outcome::Rejected => {
                self.reply_to_all(now, id, &Reply::Rejected { retry_after: head.retry_after });
            }
            Outcome::Invalid => self.reply_to_all(now, id, &Reply::Invalid),
            Outcome::Failed => self.reply_to_leader(now, id, &Reply::Failed),
        }
    }

    /// Replies to the requests that have the same copy cached; for the others another attempt is sent.
    fn not_modified(&mut self, now: Millis, id: ExchangeId, cached_tag: Option<&str>, reply: &Reply) {
        let Some(exchange) = self.exchanges.get_mut(&id) else { return };
        let waiters = std::mem::take(&mut exchange.waiters);
        let (same, others) = waiters
            .into_iter()
            .partition(|waiter| waiter.request.request.cached_tag.as_deref() == cached_tag);
        exchange.waiters = others;
        let has_others = !exchange.waiters.is_empty();
        for waiter in same {
            self.reply(&waiter, reply.clone());
        }
        if has_others {
            self.retry(now, id);
        } else {
            self.end_exchange(now, id);
        }
    }
}
