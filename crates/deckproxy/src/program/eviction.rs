//! Eviction of clients' connections where places or descriptors run out.

use crate::program::connections::EvictionReason;
use crate::program::gateway::Gateway;
use crate::protocol::limits;
use crate::routing::ClientId;
use crate::transport::client::ClientConnection;

/// Candidates looked at for one eviction; each may turn out to have sent something meanwhile.
const EVICTION_TRIES: usize = 16;

impl Gateway {
    /// Closes one client's connection to free its place and descriptor. Returns whether one was closed.
    ///
    /// One with an open request is never evicted, nor one on which something came in the moment before.
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

    /// The client to evict. First one whose answers are all written and that only has to close; then, of those that
    /// had the time to send a usable message and did not, the oldest; then the one idle for longest.
    ///
    /// Clients that have sent nothing usable displace no idle one once they hold half of all places: then a new
    /// client waits until they had their time, but the gateway itself takes the place of the oldest of them at once.
    fn eviction_candidate(&self, now: f64, reason: EvictionReason) -> Option<ClientId> {
        // Numbers grow: the first is the oldest.
        let mut unproven =
            self.clients.iter().filter(|(_, client)| !client.is_proven() && !client.is_closing()).peekable();
        let first = unproven.peek().map(|(id, client)| (**id, now - client.accepted_at()));
        let overdue = first.filter(|(_, age)| *age > limits::CLIENT_MIN_AGE).map(|(id, _)| id);
        let young = first.filter(|_| reason == EvictionReason::Internal).map(|(id, _)| id);
        let crowded = unproven.count() >= self.bounds.clients / 2;
        let idle =
            self.clients.iter().filter(|(_, client)| !crowded && client.is_idle() && client.is_proven());
        let longest_idle =
            idle.min_by(|a, b| a.1.idle_since().total_cmp(&b.1.idle_since())).map(|(id, _)| *id);
        let shut = self.clients.iter().find(|(_, client)| client.is_half_closed()).map(|(id, _)| *id);
        shut.or(overdue).or(longest_idle).or(young)
    }
}
