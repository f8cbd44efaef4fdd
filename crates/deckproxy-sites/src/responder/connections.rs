//! Connections of requesting sides: handshakes, loss, received messages and timeouts.

use super::session::{Session, SessionKey};
use super::types::Effect;
use super::{Responder, Shutdown};
use crate::close::CloseReason;
use crate::frame::{GoAway, Hello, Payload};
use crate::{ConnectionId, Millis};
use std::collections::VecDeque;

/// Largest credit window that a peer may request, bytes.
const MAX_CREDIT_WINDOW: usize = 1 << 30;
/// Most attempt numbers processed per message; the rest are ignored.
const MAX_NUMBERS_PER_MESSAGE: usize = 1 << 16;

/// A connection that completed its handshake.
#[derive(Debug)]
pub(super) struct PeerConnection {
    pub(super) session: SessionKey,
    /// Attempts whose bodies are being sent, in round-robin order.
    pub(super) send_queue: VecDeque<u64>,
    last_received: Millis,
}

impl Responder {
    /// Processes a peer's hello that passed validation: attaches the connection to its session.
    pub fn hello_received(&mut self, now: Millis, connection: ConnectionId, hello: &Hello) {
        let key = SessionKey { site: hello.site.clone(), session: hello.session };
        let credit_window = (hello.credit_window as usize).clamp(1, MAX_CREDIT_WINDOW);
        let session = self
            .sessions
            .entry(key.clone())
            .or_insert_with(|| Session::new(hello.next_attempt, credit_window));
        session.detached_since = None;
        let peer = PeerConnection { session: key, send_queue: VecDeque::new(), last_received: now };
        self.connections.insert(connection, peer);
        if let Some(shutdown) = &self.shutdown {
            self.effects.push_back(Effect::Send(connection, shutdown.message()));
        }
    }

    /// Records the end of a connection: detaches its attempts.
    pub fn disconnected(&mut self, now: Millis, connection: ConnectionId) {
        let Some(peer) = self.connections.remove(&connection) else { return };
        let has_others = self.connections.values().any(|other| other.session == peer.session);
        let Some(session) = self.sessions.get_mut(&peer.session) else { return };
        for attempt in session.attempts.values_mut() {
            attempt.connection.take_if(|own| *own == connection);
        }
        if !has_others {
            session.detached_since = Some(now);
        }
    }

    /// Processes a message from a connection that completed its handshake. Returns whether the message is allowed.
    pub fn receive(&mut self, now: Millis, connection: ConnectionId, payload: Payload) -> bool {
        let Some(peer) = self.connections.get_mut(&connection) else { return false };
        peer.last_received = now;
        match payload {
            Payload::Request(request) => self.attempt_received(now, connection, request),
            Payload::WindowUpdate(update) => self.extend_window(connection, &update),
            Payload::Release(released) => {
                for number in released.numbers.into_iter().take(MAX_NUMBERS_PER_MESSAGE) {
                    self.release(connection, number);
                }
            }
            Payload::Resume(requested) => {
                for number in requested.numbers.into_iter().take(MAX_NUMBERS_PER_MESSAGE) {
                    self.resume(now, connection, number);
                }
            }
            _ => return false,
        }
        true
    }

    /// Records that bytes were received on a connection, which restarts its silence timeout.
    pub fn mark_alive(&mut self, now: Millis, connection: ConnectionId) {
        if let Some(peer) = self.connections.get_mut(&connection) {
            peer.last_received = now;
        }
    }

    /// Closes silent connections, and discards sessions that had no connection for the resume timeout.
    pub fn tick(&mut self, now: Millis) {
        let silence_timeout = self.limits.silence_timeout;
        let silent = self.connections.iter().filter(|(_, peer)| now - peer.last_received > silence_timeout);
        for connection in silent.map(|(id, _)| *id).collect::<Vec<_>>() {
            self.effects.push_back(Effect::Close(connection, CloseReason::Silent));
            self.disconnected(now, connection);
        }
        let resume_timeout = self.limits.resume_timeout;
        let has_expired =
            |session: &Session| session.detached_since.is_some_and(|since| now - since > resume_timeout);
        let expired = self.sessions.iter().filter(|(_, session)| has_expired(session));
        for key in expired.map(|(key, _)| key.clone()).collect::<Vec<_>>() {
            let Some(session) = self.sessions.remove(&key) else { continue };
            for attempt in session.attempts.into_values() {
                self.discard(attempt.progress);
            }
        }
    }

    /// Asks all requesting sides, on current and future connections, to send no new attempts. Attempts that still
    /// arrive are executed.
    pub fn go_away(&mut self, reason: &str, retry_after: Millis) {
        let shutdown = Shutdown { reason: reason.to_string(), retry_after };
        for connection in self.connections.keys() {
            self.effects.push_back(Effect::Send(*connection, shutdown.message()));
        }
        self.shutdown = Some(shutdown);
    }
}

impl Shutdown {
    fn message(&self) -> Payload {
        Payload::GoAway(GoAway { reason: self.reason.clone(), retry_after: self.retry_after })
    }
}
