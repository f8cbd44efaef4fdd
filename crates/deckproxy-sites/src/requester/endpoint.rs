//! One gateway of the other site: its connections, its session, and its capacity after a recovery.

use super::exchange::ExchangeId;
use crate::frame::{AttemptNumbers, Payload};
use crate::throughput::LinkEstimate;
use crate::{ConnectionId, LinkLimits, Millis};
use std::collections::{BTreeMap, VecDeque};

/// Backoff before the first reconnect, ms.
const INITIAL_BACKOFF: Millis = 25.0;
/// Longest backoff before a reconnect, ms.
const MAX_BACKOFF: Millis = 250.0;
/// Constant part of the limit of attempts in flight to an endpoint during its recovery ramp.
const RECOVERY_ATTEMPTS: f64 = 16.0;
/// Part of that limit that grows with the square of the endpoint's share, up to this number at the end of the ramp;
/// after the ramp there is no limit.
const RAMP_ATTEMPTS: f64 = 1024.0;
/// Share of its full load that an endpoint receives when it has just recovered.
const MIN_SHARE: f64 = 0.05;

/// A heartbeat whose response was not received yet.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingHeartbeat {
    pub(super) sequence: u64,
    pub(super) sent_at: Millis,
}

/// A connection to an endpoint.
#[derive(Debug, Default)]
pub(super) struct Connection {
    /// The epoch of the process at the other end; `None` until its hello was received.
    pub(super) epoch: Option<u64>,
    pub(super) last_received: Millis,
    /// Sequence number of the last heartbeat.
    pub(super) last_heartbeat: u64,
    pub(super) pending_heartbeats: VecDeque<PendingHeartbeat>,
    pub(super) next_heartbeat_at: Millis,
    /// Number of attempts whose response arrives on this connection.
    pub(super) attempts: usize,
}

impl Connection {
    /// Creates the state of a connection that was just opened.
    pub(super) fn opened(now: Millis) -> Self {
        Connection { last_received: now, next_heartbeat_at: now, ..Connection::default() }
    }

    /// Whether the handshake is complete.
    pub(super) fn is_up(&self) -> bool {
        self.epoch.is_some()
    }
}

/// A gateway of the other site.
#[derive(Debug)]
pub(super) struct Endpoint {
    pub(super) connections: BTreeMap<ConnectionId, Connection>,
    /// Number of connections to keep open.
    pub(super) target_connections: usize,
    /// Number of connections that are being opened.
    pub(super) connecting: usize,
    pub(super) session: u64,
    pub(super) next_attempt: u64,
    /// Epoch in the last hello from the other end; a connection that is older may reach another process.
    pub(super) epoch: Option<u64>,
    /// How long both ends keep the session without a connection, ms.
    pub(super) resume_timeout: Millis,
    /// Attempts in flight, by number.
    pub(super) attempts: BTreeMap<u64, ExchangeId>,
    /// Attempts whose connection was lost, each with the connection on which its status was requested, if any.
    pub(super) unresolved: BTreeMap<u64, Option<ConnectionId>>,
    /// Time since which no connection is up; `None` while one is up.
    pub(super) down_since: Option<Millis>,
    /// When it last came up; its share grows from then on.
    pub(super) recovered_at: Millis,
    /// Time until which it accepts no new attempts, after a `GoAway`.
    pub(super) unavailable_until: Option<Millis>,
    pub(super) next_connect_at: Millis,
    backoff: Millis,
    pub(super) estimate: LinkEstimate,
}

impl Endpoint {
    /// Creates an endpoint without connections.
    pub(super) fn new(session: u64, target_connections: usize, limits: &LinkLimits, now: Millis) -> Self {
        Endpoint {
            connections: BTreeMap::new(),
            target_connections,
            connecting: 0,
            session,
            next_attempt: 1,
            epoch: None,
            resume_timeout: limits.resume_timeout,
            attempts: BTreeMap::new(),
            unresolved: BTreeMap::new(),
            down_since: Some(now),
            recovered_at: now,
            unavailable_until: None,
            next_connect_at: now,
            backoff: INITIAL_BACKOFF,
            estimate: LinkEstimate::default(),
        }
    }

    /// Whether any connection completed its handshake.
    pub(super) fn is_up(&self) -> bool {
        self.connections.values().any(Connection::is_up)
    }

    /// Whether it is up and accepts attempts.
    pub(super) fn is_available(&self, now: Millis) -> bool {
        self.is_up() && self.unavailable_until.is_none_or(|until| now >= until)
    }

    /// Whether fewer connections are open or being opened than the target.
    pub(super) fn lacks_connections(&self) -> bool {
        self.connections.len() + self.connecting < self.target_connections
    }

    /// The established connection with the fewest attempts.
    pub(super) fn least_loaded_connection(&self) -> Option<ConnectionId> {
        let up = self.connections.iter().filter(|(_, connection)| connection.is_up());
        up.min_by_key(|(id, connection)| (connection.attempts, **id)).map(|(id, _)| *id)
    }

    /// The lowest number of an open attempt, or the next number if none is open.
    pub(super) fn lowest_open_attempt(&self) -> u64 {
        self.attempts.keys().next().copied().unwrap_or(self.next_attempt)
    }

    /// Builds the request, to be sent on the given connection, for the status of all unresolved attempts whose status
    /// is not requested on another connection.
    pub(super) fn resume_on(&mut self, connection: ConnectionId) -> Option<Payload> {
        let mut numbers = Vec::new();
        for (number, requested_on) in &mut self.unresolved {
            if requested_on.is_none() {
                *requested_on = Some(connection);
                numbers.push(*number);
            }
        }
        (!numbers.is_empty()).then(|| Payload::Resume(AttemptNumbers { numbers }))
    }

    /// Share of its full load that it receives at this point of the recovery ramp, up to 1.
    fn share(&self, now: Millis, ramp: Millis) -> f64 {
        if ramp <= 0.0 { 1.0 } else { ((now - self.recovered_at) / ramp).clamp(MIN_SHARE, 1.0) }
    }

    /// Product of load and round trip time, divided by its share; the next attempt is sent to the endpoint with the
    /// lowest cost.
    pub(super) fn cost(&self, now: Millis, ramp: Millis) -> f64 {
        (self.attempts.len() as f64 + 1.0) * (1.0 + self.estimate.round_trip()) / self.share(now, ramp)
    }

    /// Whether another attempt may be sent. Few may be in flight after a recovery, so that the attempts queued during
    /// the outage do not arrive in one burst; after the ramp there is no limit.
    pub(super) fn has_capacity(&self, now: Millis, ramp: Millis) -> bool {
        let share = self.share(now, ramp);
        let capacity = if share >= 1.0 {
            usize::MAX
        } else {
            (RECOVERY_ATTEMPTS + RAMP_ATTEMPTS * share * share) as usize
        };
        self.attempts.len() < capacity
    }

    /// Postpones the next connection attempt, and doubles the backoff.
    pub(super) fn back_off(&mut self, now: Millis) {
        // If several connections are lost at the same time, the backoff is doubled only once.
        if now >= self.next_connect_at {
            self.next_connect_at = now + self.backoff;
            self.backoff = (self.backoff * 2.0).min(MAX_BACKOFF);
        }
    }

    /// Resets the backoff to its initial value.
    pub(super) fn reset_backoff(&mut self) {
        self.backoff = INITIAL_BACKOFF;
    }
}
