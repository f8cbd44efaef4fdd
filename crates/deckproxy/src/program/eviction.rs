//! Eviction of client connections when connection slots or descriptors run out.

use crate::program::connections::EvictionReason;
use crate::program::gateway::Gateway;
use crate::protocol::limits;
use crate::routing::ClientId;
use crate::transport::client::ClientConnection;

/// Candidates checked for one eviction; each may turn out to have sent data meanwhile.
const EVICTION_TRIES: usize = 16;

impl Gateway {
    /// Closes one client connection to free its slot and descriptor. Returns whether one was closed.
    ///
    /// A connection with an open request, or on which data has just been received, is never evicted.
    pub(super) fn evict_client(&mut self, now: f64, reason: EvictionReason) -> bool {
        for _ in 0..EVICTION_TRIES {
            let Some(id) = self.eviction_candidate(now, reason) else { return false };
            let idle_since = self.clients.get(&id).map(ClientConnection::idle_since);
            self.recheck_client(now, id);
            let Some(client) = self.clients.get(&id) else { return true };
            let still_idle = Some(client.idle_since()) == idle_since && client.is_idle();
            if client.is_half_closed() || still_idle {
                self.close_client(now, id);
                return true;
            }
        }
        false
    }

    /// The client to evict. In order of preference: a half-closed connection; the oldest one that has sent no request or
    /// ping, once it has reached the minimum age; the one idle for longest.
    ///
    /// Once clients that have sent no request or ping use half of all slots, idle clients are not evicted for more of
    /// them: a new client must wait until the oldest of them reaches the minimum age. For the gateway's own needs, the
    /// oldest of them is evicted at once if there is no other candidate.
    fn eviction_candidate(&self, now: f64, reason: EvictionReason) -> Option<ClientId> {
        // Client ids increase, so the first one is the oldest.
        let mut unproven =
            self.clients.iter().filter(|(_, client)| !client.is_proven() && !client.is_closing()).peekable();
        let oldest = unproven.peek().map(|(id, client)| (**id, now - client.accepted_at()));
        let overdue = oldest.filter(|(_, age)| *age > limits::CLIENT_MIN_AGE).map(|(id, _)| id);
        let any_unproven = oldest.filter(|_| reason == EvictionReason::Internal).map(|(id, _)| id);
        let unproven_use_half = unproven.count() >= self.bounds.clients / 2;
        let idle = self
            .clients
            .iter()
            .filter(|(_, client)| !unproven_use_half && client.is_idle() && client.is_proven());
        let longest_idle =
            idle.min_by(|a, b| a.1.idle_since().total_cmp(&b.1.idle_since())).map(|(id, _)| *id);
        let half_closed = self.clients.iter().find(|(_, client)| client.is_half_closed()).map(|(id, _)| *id);
        half_closed.or(overdue).or(longest_idle).or(any_unproven)
    }
}
