//! Periodic checks of connections: closes idle ones and resets stalled ones.

use crate::program::connections::{UpstreamConnection, UpstreamId};
use crate::program::gateway::Gateway;
use crate::program::subsystem::Event;
use crate::protocol::limits;
use crate::routing::ClientId;
use slog::debug;

impl Gateway {
    /// Runs one round of housekeeping.
    pub(super) fn housekeeping(&mut self, now: f64) {
        self.notify(now, &Event::Housekeeping);
        if self.feed.as_ref().is_some_and(|feed| now - feed.last_line_at > limits::FEED_SILENCE) {
            self.reconnect_feed_later(now, "silent");
        }
        self.close_idle_upstreams(now);
        for id in self.clients.keys().copied().collect::<Vec<_>>() {
            self.check_client(now, id);
        }
        if self.client_buffers.output() > self.bounds.unread {
            self.reset_largest_client(now);
        }
    }

    /// Closes upstream connections on which nothing is in flight and that are retired or about to be closed by the
    /// member for being idle.
    fn close_idle_upstreams(&mut self, now: f64) {
        let idle_timeout = self.router.instance_settings().limits.idle_timeout;
        let is_idle = |upstream: &UpstreamConnection| {
            let idle = now - upstream.connection.idle_since();
            let expires = idle_timeout > 0.0 && idle > idle_timeout - limits::IDLE_MARGIN;
            upstream.connection.in_flight() == 0 && (upstream.connection.retired || expires)
        };
        let idle: Vec<UpstreamId> =
            self.upstreams.iter().filter(|(_, upstream)| is_idle(upstream)).map(|(id, _)| *id).collect();
        for id in idle {
            self.close_upstream(id);
        }
    }

    /// Resets a client's connection that is stalled once no answer on it is of use any more, drains one that delays the rest
    /// of a message, or closes one that is idle for too long.
    fn check_client(&mut self, now: f64, id: ClientId) {
        let Some(client) = self.clients.get(&id) else { return };
        let idle = now - client.idle_since();
        if client.is_stalled(now) && client.owed_until(now).is_none() {
            debug!(self.log, "closing a client's connection that reads no answers"; "client" => id);
            self.reset_client(now, id);
        } else if client.is_read_timed_out(now) {
            self.drain_delaying_client(now, id);
        } else if client.is_idle() && idle > limits::CLIENT_IDLE_TIMEOUT {
            self.close_idle_client(now, id);
        }
    }

    /// Resets the client connection with the most buffered bytes, as the clients' write buffers exceed their bound.
    fn reset_largest_client(&mut self, now: f64) {
        let largest = self.clients.iter().max_by_key(|(_, client)| client.held_bytes()).map(|(id, _)| *id);
        if let Some(id) = largest {
            self.log_peer("closing the connection with the largest write buffer");
            self.reset_client(now, id);
        }
    }
}
