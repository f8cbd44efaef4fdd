//! Timers: deadlines, the queue, heartbeats, silence timeouts, reconnects and the resume timeout.

use super::Requester;
use super::endpoint::{Endpoint, PendingHeartbeat};
use super::queue::TimeKey;
use super::types::Effect;
use crate::close::CloseReason;
use crate::frame::{AttemptState, Heartbeat, Payload};
use crate::purges::PurgeLog;
use crate::{ConnectionId, Millis};
use std::collections::BTreeMap;

/// Interval at which the queue is checked while an endpoint is up, ms: its capacity grows during the recovery ramp.
const QUEUE_INTERVAL: Millis = 10.0;
/// Margin added to a timeout so that it has passed when its timer fires, ms.
const TIMEOUT_MARGIN: Millis = 1.0;
/// Placeholder for an attempt that is resolved without a connection.
const NO_CONNECTION: ConnectionId = 0;

impl Requester {
    /// Processes expired timers. `unix_time`: the current Unix time.
    pub fn tick(&mut self, now: Millis, unix_time: Millis, purges: &PurgeLog) {
        while let Some((deadline, token)) = self.deadlines.first().copied()
            && deadline <= TimeKey::at(now)
        {
            self.deadlines.pop_first();
            self.deadline_passed(now, token);
        }
        self.drain_queue(now);
        let mut timed_out = Vec::new();
        for index in 0..self.endpoints.len() {
            let numbers = self.tick_endpoint(now, unix_time, index, purges);
            timed_out.extend(numbers.into_iter().map(|number| (index, number)));
        }
        for (index, number) in timed_out {
            self.resolve(now, index, number, AttemptState::Unknown, NO_CONNECTION);
        }
    }

    /// Processes the expired timers of one endpoint. Returns the attempts whose status can no longer be determined.
    fn tick_endpoint(&mut self, now: Millis, unix_time: Millis, index: usize, purges: &PurgeLog) -> Vec<u64> {
        let endpoint = &mut self.endpoints[index];
        endpoint.estimate.tick(now);
        let is_session_lost = endpoint.down_since.is_some_and(|since| now - since > endpoint.resume_timeout);
        let timed_out =
            if is_session_lost { std::mem::take(&mut endpoint.unresolved) } else { BTreeMap::new() };
        endpoint.unavailable_until.take_if(|until| now >= *until);
        let heartbeat = Heartbeat {
            sequence: 0,
            unix_time,
            last_purge: purges.last_number(),
            purges_received: 0,
            lowest_open_attempt: endpoint.lowest_open_attempt(),
        };
        self.send_heartbeats(now, index, &heartbeat, purges);
        self.open_missing_connections(now, index);
        self.close_idle_connections(now, index);
        timed_out.into_keys().collect()
    }

    /// Sends the heartbeats that are due, except on silent connections. Each also acknowledges the purges of the process
    /// at the other end of its connection.
    fn send_heartbeats(&mut self, now: Millis, index: usize, heartbeat: &Heartbeat, purges: &PurgeLog) {
        for (id, connection) in &mut self.endpoints[index].connections {
            let is_silent = now - connection.last_received > self.limits.silence_timeout;
            if is_silent || !connection.is_up() || now < connection.next_heartbeat_at {
                continue;
            }
            connection.next_heartbeat_at = now + self.limits.heartbeat_interval;
            connection.last_heartbeat += 1;
            let sequence = connection.last_heartbeat;
            connection.pending_heartbeats.push_back(PendingHeartbeat { sequence, sent_at: now });
            let purges_received = connection.epoch.map_or(0, |epoch| purges.last_received_from(epoch));
            let heartbeat = Heartbeat { sequence, purges_received, ..*heartbeat };
            self.effects.push_back(Effect::Send(*id, Payload::Ping(heartbeat)));
        }
    }

    /// Whether connections are kept open: while closing, only as long as an exchange is open, as its response may have to be
    /// requested again after a loss.
    fn needs_connections(&self) -> bool {
        !self.is_closing || !self.exchanges.is_empty()
    }

    fn open_missing_connections(&mut self, now: Millis, index: usize) {
        let needs_connections = self.needs_connections();
        let endpoint = &mut self.endpoints[index];
        while needs_connections && endpoint.lacks_connections() && now >= endpoint.next_connect_at {
            endpoint.connecting += 1;
            self.effects.push_back(Effect::Connect(index));
        }
    }

    /// Closes silent connections, and all connections once a closing requester has no open exchange.
    fn close_idle_connections(&mut self, now: Millis, index: usize) {
        let silence_timeout = self.limits.silence_timeout;
        let connections = &self.endpoints[index].connections;
        let (mut to_close, others): (Vec<ConnectionId>, Vec<ConnectionId>) =
            connections.keys().partition(|id| now - connections[*id].last_received > silence_timeout);
        if !self.needs_connections() {
            to_close.extend(others);
        }
        let reason = if self.is_closing { CloseReason::PeerRemoved } else { CloseReason::Silent };
        for id in to_close {
            self.effects.push_back(Effect::Close(id, reason.clone()));
            self.disconnected(now, id, &[]);
        }
    }

    /// The time by which [`Requester::tick`] must be called next.
    pub fn next_timer(&self) -> Option<Millis> {
        let deadline = self.deadlines.first().map(|(deadline, _)| deadline.upper_bound());
        let endpoints = self.endpoints.iter().filter_map(|endpoint| self.next_endpoint_timer(endpoint));
        endpoints.chain(deadline).chain(self.next_queue_timer()).min_by(f64::total_cmp)
    }

    fn next_queue_timer(&self) -> Option<Millis> {
        let timeout = self.queue.next_timeout()?;
        let any_up = self.endpoints.iter().any(Endpoint::is_up);
        Some(if any_up { timeout.min(self.queue_checked_at + QUEUE_INTERVAL) } else { timeout })
    }

    fn next_endpoint_timer(&self, endpoint: &Endpoint) -> Option<Millis> {
        let is_missing = endpoint.lacks_connections() && self.needs_connections();
        let reconnect = is_missing.then_some(endpoint.next_connect_at);
        let down_since = endpoint.down_since.filter(|_| !endpoint.unresolved.is_empty());
        let resume_timeout = down_since.map(|since| since + endpoint.resume_timeout + TIMEOUT_MARGIN);
        let connections = endpoint.connections.values().flat_map(|connection| {
            let heartbeat = connection.is_up().then_some(connection.next_heartbeat_at);
            let silence = connection.last_received + self.limits.silence_timeout + TIMEOUT_MARGIN;
            heartbeat.into_iter().chain([silence])
        });
        connections.chain(reconnect).chain(resume_timeout).min_by(f64::total_cmp)
    }
}
