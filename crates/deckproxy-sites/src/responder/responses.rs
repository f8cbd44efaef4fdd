//! Responses: heads and bodies, credit windows, and the eviction of retained responses.

use super::Responder;
use super::session::{AttemptProgress, SessionKey};
use super::types::Effect;
use crate::frame::{BodyChunk, Payload, ResponseHead, WindowUpdate};
use crate::{ConnectionId, Millis, saturating_u32};

impl Responder {
    /// Sends the head of an attempt's response, if the attempt has a connection, and queues its body from the start.
    pub(super) fn send_head(&mut self, now: Millis, key: &SessionKey, number: u64) {
        let Some(session) = self.sessions.get_mut(key) else { return };
        let Some(attempt) = session.attempts.get_mut(&number) else { return };
        let Some(connection) = attempt.connection else { return };
        let AttemptProgress::Completed(response) = &mut attempt.progress else { return };
        response.sent = 0;
        let result = &response.result;
        let head = ResponseHead {
            number,
            outcome: result.outcome.into(),
            retry_after: result.retry_after,
            body_length: saturating_u32(result.body.len()),
            copy_age: result.issued_at.map(|at| (now - at).max(0.0)),
            tag: result.tag.clone(),
        };
        let has_body = !result.body.is_empty();
        self.effects.push_back(Effect::Send(connection, Payload::Response(head)));
        if let Some(peer) = self.connections.get_mut(&connection).filter(|_| has_body) {
            peer.send_queue.push_back(number);
        }
    }

    /// Returns the next chunk for a connection that can send more. The bodies of a connection are sent in round-robin
    /// order, one chunk each; a body without credit leaves the queue until its window is extended.
    pub fn next_chunk(&mut self, connection: ConnectionId) -> Option<Payload> {
        let peer = self.connections.get_mut(&connection)?;
        let session = self.sessions.get_mut(&peer.session)?;
        for _ in 0..peer.send_queue.len() {
            let number = peer.send_queue.pop_front()?;
            let attached = session.attempts.get_mut(&number).filter(|a| a.connection == Some(connection));
            let Some(attempt) = attached else { continue };
            let AttemptProgress::Completed(response) = &mut attempt.progress else { continue };
            let body = &response.result.body;
            let start = response.sent;
            let end = body.len().min(response.credit_limit).min(start + self.limits.chunk_size);
            if start >= end {
                continue;
            }
            let chunk = BodyChunk { number, offset: saturating_u32(start), bytes: body.slice(start..end) };
            response.sent = end;
            if end < body.len() {
                peer.send_queue.push_back(number);
            }
            return Some(Payload::Chunk(chunk));
        }
        None
    }

    /// Extends the credit window of a body, and queues the body again if it can be sent.
    pub(super) fn extend_window(&mut self, connection: ConnectionId, update: &WindowUpdate) {
        let Some(peer) = self.connections.get_mut(&connection) else { return };
        let Some(session) = self.sessions.get_mut(&peer.session) else { return };
        let Some(attempt) = session.attempts.get_mut(&update.number) else { return };
        let AttemptProgress::Completed(response) = &mut attempt.progress else { return };
        response.credit_limit = response.credit_limit.max(update.limit as usize);
        if response.is_sendable() && !peer.send_queue.contains(&update.number) {
            peer.send_queue.push_back(update.number);
        }
    }

    /// Evicts the oldest responses without a connection while too many bytes are retained. Responses with a connection
    /// are kept: the requesting side's credit window and deadline bound how long they are retained.
    pub(super) fn evict(&mut self) {
        while self.retained_bytes > self.limits.max_retained_bytes {
            let Some((key, number)) = self.oldest_evictable() else { return };
            let session = self.sessions.get_mut(&key);
            let Some(attempt) = session.and_then(|session| session.attempts.get_mut(&number)) else { return };
            let evicted = std::mem::replace(&mut attempt.progress, AttemptProgress::Evicted);
            self.discard(evicted);
            self.evicted += 1;
        }
    }

    /// The attempt whose evictable response was completed first.
    fn oldest_evictable(&self) -> Option<(SessionKey, u64)> {
        let attempts = self.sessions.iter().flat_map(|(key, session)| {
            session.attempts.iter().map(move |(number, attempt)| (key, *number, attempt))
        });
        let evictable = attempts
            .filter_map(|(key, number, attempt)| attempt.evictable_since().map(|since| (since, key, number)));
        let oldest = evictable.min_by(|a, b| a.0.total_cmp(&b.0));
        oldest.map(|(_, key, number)| (key.clone(), number))
    }
}
