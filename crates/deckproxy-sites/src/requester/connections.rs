//! Connections: handshakes, loss and received messages.

use super::Requester;
use super::endpoint::{Connection, Endpoint};
use super::types::Effect;
use crate::frame::{GoAway, Heartbeat, Hello, Payload};
use crate::purges::PurgeLog;
use crate::{ConnectionId, Millis};

/// How long an endpoint is not used after a `GoAway` without a retry time, ms.
const DEFAULT_UNAVAILABLE_TIME: Millis = 1000.0;

impl Requester {
    /// The index of the endpoint at the other end of a connection.
    fn endpoint_of(&self, connection: ConnectionId) -> Option<usize> {
        self.endpoints.iter().position(|endpoint| endpoint.connections.contains_key(&connection))
    }

    /// Records that a requested connection was opened; the other side's hello is still to be received.
    pub fn connected(&mut self, now: Millis, endpoint: usize, connection: ConnectionId) {
        if let Some(endpoint) = self.endpoints.get_mut(endpoint) {
            endpoint.connecting = endpoint.connecting.saturating_sub(1);
            endpoint.connections.insert(connection, Connection::opened(now));
        }
    }

    /// Records that a requested connection could not be opened.
    pub fn connect_failed(&mut self, now: Millis, endpoint: usize) {
        if let Some(endpoint) = self.endpoints.get_mut(endpoint) {
            endpoint.connecting = endpoint.connecting.saturating_sub(1);
            endpoint.back_off(now);
        }
    }

    /// Processes the other side's hello, which passed validation: the connection is up.
    pub fn hello_received(&mut self, now: Millis, connection_id: ConnectionId, hello: &Hello) {
        let Some(index) = self.endpoint_of(connection_id) else { return };
        let endpoint = &mut self.endpoints[index];
        let was_down = !endpoint.is_up();
        if let Some(connection) = endpoint.connections.get_mut(&connection_id) {
            connection.epoch = Some(hello.epoch);
            connection.last_received = now;
            connection.next_heartbeat_at = now;
        }
        endpoint.reset_backoff();
        endpoint.unavailable_until = None;
        endpoint.resume_timeout = self.limits.resume_timeout.min(f64::from(hello.resume_timeout));
        // The session has expired at the other end, or the other end is another process, without its state.
        let is_session_lost = endpoint.epoch.is_some_and(|epoch| epoch != hello.epoch)
            || endpoint.down_since.is_some_and(|since| now - since > endpoint.resume_timeout);
        endpoint.epoch = Some(hello.epoch);
        if was_down {
            endpoint.recovered_at = now;
            endpoint.down_since = None;
        }
        if is_session_lost {
            self.resolve_all_as_unknown(now, index, connection_id);
        } else {
            let resume = endpoint.resume_on(connection_id);
            self.effects.extend(resume.map(|payload| Effect::Send(connection_id, payload)));
        }
        self.drain_queue(now);
    }

    /// Ends the backoff of all endpoints that are down, because the other site is known to be reachable.
    pub fn reconnect_now(&mut self, now: Millis) {
        for endpoint in self.endpoints.iter_mut().filter(|endpoint| !endpoint.is_up()) {
            endpoint.next_connect_at = now;
            endpoint.reset_backoff();
        }
    }

    /// Records the end of a connection. `unsent`: attempts of which no byte was written to it.
    pub fn disconnected(&mut self, now: Millis, connection_id: ConnectionId, unsent: &[u64]) {
        let Some(index) = self.endpoint_of(connection_id) else { return };
        let endpoint = &mut self.endpoints[index];
        let was_up = endpoint.connections.remove(&connection_id).is_some_and(|connection| connection.is_up());
        self.counters.connections_lost += u64::from(was_up);
        endpoint.back_off(now);
        if was_up && !endpoint.is_up() {
            endpoint.down_since = Some(now);
            endpoint.estimate.connection_lost();
        }
        self.detach_attempts(now, index, connection_id, unsent);
    }

    /// Processes a message from a connection. Returns whether the message is allowed: the connection is up, and the
    /// message is valid. `unix_time`: the current Unix time.
    pub fn receive(
        &mut self,
        now: Millis,
        unix_time: Millis,
        connection_id: ConnectionId,
        payload: Payload,
        purges: &mut PurgeLog,
    ) -> bool {
        let Some(index) = self.endpoint_of(connection_id) else { return false };
        let endpoint = &mut self.endpoints[index];
        let connection = endpoint.connections.get_mut(&connection_id);
        let Some(connection) = connection.filter(|connection| connection.is_up()) else { return false };
        connection.last_received = now;
        match payload {
            Payload::Pong(heartbeat) => {
                pong_received(endpoint, now, unix_time, connection_id, &heartbeat, purges);
            }
            Payload::Response(head) => return self.response_head(now, index, connection_id, head, purges),
            Payload::Chunk(chunk) => return self.body_chunk(now, index, connection_id, &chunk, purges),
            Payload::Status(status) => self.status_received(now, index, connection_id, &status),
            Payload::GoAway(go_away) => suspend(endpoint, now, &go_away),
            _ => return false,
        }
        true
    }

    /// Records that bytes were received on a connection, which restarts its silence timeout.
    pub fn mark_alive(&mut self, now: Millis, connection_id: ConnectionId) {
        let mut endpoints = self.endpoints.iter_mut();
        if let Some(connection) = endpoints.find_map(|endpoint| endpoint.connections.get_mut(&connection_id))
        {
            connection.last_received = now;
        }
    }
}

/// Processes the response to a heartbeat; earlier pending heartbeats are discarded.
fn pong_received(
    endpoint: &mut Endpoint,
    now: Millis,
    unix_time: Millis,
    connection_id: ConnectionId,
    heartbeat: &Heartbeat,
    purges: &mut PurgeLog,
) {
    let Some(connection) = endpoint.connections.get_mut(&connection_id) else { return };
    while let Some(pending) = connection.pending_heartbeats.pop_front() {
        if pending.sequence == heartbeat.sequence {
            endpoint.estimate.record_round_trip(now - pending.sent_at);
            if let Some(epoch) = connection.epoch {
                purges.pong_received(now, unix_time, epoch, pending.sent_at, heartbeat);
            }
        }
        if pending.sequence >= heartbeat.sequence {
            break;
        }
    }
}

/// Stops sending new attempts to an endpoint for a while; it still completes those that it received. An endpoint that
/// specifies no retry time is about to be replaced by another process.
fn suspend(endpoint: &mut Endpoint, now: Millis, go_away: &GoAway) {
    let duration = if go_away.retry_after > 0.0 { go_away.retry_after } else { DEFAULT_UNAVAILABLE_TIME };
    endpoint.unavailable_until = Some(now + duration);
}
