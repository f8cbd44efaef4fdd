//! Pools of upstream connections by member: selecting, opening, retiring and closing connections.

use crate::program::connections::{EvictionReason, ReadySource, UpstreamConnection, UpstreamId};
use crate::program::gateway::{Gateway, context};
use crate::program::subsystem::Event;
use crate::program::timer_task::TimerTask;
use crate::protocol::limits;
use crate::routing::AttemptKey;
use crate::routing::members::Endpoint;
use crate::transport::clock;
use crate::transport::member::MemberConnection;
use crate::transport::stream::{Stream, is_exhausted};
use deckproxy_control::interface::MemberId;
use std::io;

/// The state of a member's pool after outdated connections were closed.
struct PoolState {
    /// Connections without an attempt in flight, most recently used first.
    idle: Vec<UpstreamId>,
    /// Number of connections that are not established yet.
    connecting: usize,
}

impl Gateway {
    /// Selects or opens a connection for an attempt with this name.
    ///
    /// Each attempt has its own connection while descriptors allow, because a malformed reply, a timeout or a reset
    /// ends all attempts in flight on a connection. Idle connections are reused, most recently used first, so that
    /// surplus ones reach the idle timeout.
    pub(super) fn upstream_for(
        &mut self,
        now: f64,
        member: MemberId,
        endpoint: Endpoint,
        name: &str,
    ) -> Option<UpstreamId> {
        let pool = self.prune_pool(now, member, endpoint);
        if let Some(id) = self.reusable_upstream(now, pool.idle, name) {
            return Some(id);
        }
        let max_connections = self.bounds.member_connections;
        if self.upstreams.len() < max_connections - max_connections / limits::SHARING_RESERVE
            && pool.connecting < limits::CONNECTING
            && let Some(id) = self.connect_upstream(now, member, endpoint)
        {
            return Some(id);
        }
        // Descriptors are scarce, many connects to the member are pending, or a connect failed: share a connection.
        self.shareable_upstream(member, name).or_else(|| self.connect_upstream(now, member, endpoint))
    }

    /// Retires a member's outdated connections, closes the retired ones without an attempt in flight, and lists those
    /// that are idle.
    fn prune_pool(&mut self, now: f64, member: MemberId, endpoint: Endpoint) -> PoolState {
        let idle_timeout = self.router.instance_settings().limits.idle_timeout;
        let (mut idle, mut connecting) = (Vec::new(), 0);
        for id in self.upstream_pools.get(&member).cloned().unwrap_or_default() {
            let Some(upstream) = self.upstreams.get_mut(&id) else { continue };
            // Retire connections to an earlier incarnation or another address, and those that the member is about to
            // close as idle.
            let idle_since = upstream.connection.idle_since();
            let expires = idle_timeout > 0.0 && now - idle_since > idle_timeout - limits::IDLE_MARGIN;
            upstream.connection.retired |=
                upstream.endpoint != endpoint || expires && upstream.connection.in_flight() == 0;
            connecting += usize::from(upstream.connecting);
            if upstream.connection.in_flight() > 0 {
                continue;
            }
            if upstream.connection.retired {
                self.close_upstream(id);
            } else {
                idle.push((idle_since, id));
            }
        }
        idle.sort_by(|a, b| b.0.total_cmp(&a.0));
        PoolState { idle: idle.into_iter().map(|(_, id)| id).collect(), connecting }
    }

    /// The first idle connection that accepts an attempt with this name; closes those that the member has closed.
    fn reusable_upstream(&mut self, now: f64, idle: Vec<UpstreamId>, name: &str) -> Option<UpstreamId> {
        for id in idle {
            let Some(upstream) = self.upstreams.get_mut(&id) else { continue };
            if upstream.connection.is_stale(now) {
                self.close_upstream(id);
            } else if !upstream.connection.stream.input.is_empty() {
                // Serve it to handle the unsolicited data; a reply after a partial message could not be decoded.
                self.queue(ReadySource::Upstream(id));
            } else if upstream.connection.accepts(name) {
                return Some(id);
            }
        }
        None
    }

    /// The member's connection with the fewest attempts in flight that accepts another one with this name.
    fn shareable_upstream(&self, member: MemberId, name: &str) -> Option<UpstreamId> {
        let streams = self.router.instance_settings().limits.max_streams;
        let is_shareable = |connection: &MemberConnection| {
            // An idle connection with part of an unsolicited reply must not be used.
            (connection.in_flight() > 0 || connection.stream.input.is_empty())
                && connection.in_flight() < streams
                && connection.stream.unwritten_bytes() < limits::MEMBER_WRITE_BUFFER
                && connection.accepts(name)
        };
        let pool = self.upstream_pools.get(&member).into_iter().flatten();
        pool.filter_map(|id| self.upstreams.get(id).map(|upstream| (*id, &upstream.connection)))
            .filter(|(_, connection)| is_shareable(connection))
            .map(|(id, connection)| (connection.in_flight(), id))
            .min()
            .map(|(_, id)| id)
    }

    /// Opens a connection to a member; `None` if that fails or no slot or descriptor can be freed for it.
    fn connect_upstream(&mut self, now: f64, member: MemberId, endpoint: Endpoint) -> Option<UpstreamId> {
        if self.upstreams.len() >= self.bounds.member_connections {
            let oldest = self.longest_idle_upstream()?;
            self.close_upstream(oldest);
        }
        let id = self.next_connection_id();
        let mut connected = self.open_upstream(id, endpoint);
        if connected.as_ref().is_err_and(is_exhausted) && self.evict_client(now, EvictionReason::Internal) {
            // Retry with the freed descriptor: a request takes precedence over an idle client.
            connected = self.open_upstream(id, endpoint);
        }
        let stream = match connected {
            Ok(stream) => stream,
            Err(e) => {
                self.log_peer(&format!("member {}: {e}", self.router.member_name(member)));
                return None;
            }
        };
        let upstream = UpstreamConnection {
            connection: MemberConnection::new(stream, now),
            member,
            endpoint,
            connecting: true,
        };
        self.upstreams.insert(id, upstream);
        self.upstream_pools.entry(member).or_default().push(id);
        let connect_timeout = self.router.instance_settings().limits.connect_timeout;
        self.timers.schedule(now + connect_timeout, TimerTask::UpstreamConnectTimeout(id));
        Some(id)
    }

    fn open_upstream(&self, id: UpstreamId, endpoint: Endpoint) -> io::Result<Stream> {
        let ready = move |gateway: &mut Gateway, readiness| gateway.upstream_ready(id, readiness);
        Stream::connect(&self.handle, &self.upstream_buffers, endpoint.address, ready)
    }

    fn longest_idle_upstream(&self) -> Option<UpstreamId> {
        let idle = self.upstreams.iter().filter(|(_, upstream)| upstream.connection.in_flight() == 0);
        idle.min_by(|a, b| a.1.connection.idle_since().total_cmp(&b.1.connection.idle_since()))
            .map(|(id, _)| *id)
    }

    /// Closes a connection on which no attempt is in flight.
    pub(super) fn close_upstream(&mut self, id: UpstreamId) {
        let Some(upstream) = self.upstreams.remove(&id) else { return };
        if let Some(pool) = self.upstream_pools.get_mut(&upstream.member) {
            pool.retain(|other| *other != id);
            if pool.is_empty() {
                self.upstream_pools.remove(&upstream.member);
            }
        }
        if self.subsystems.is_any_enabled() {
            self.notify_partial_messages(&upstream);
        }
        upstream.connection.stream.close(&self.handle);
    }

    /// Notifies the subsystems of the partially sent and received messages on a connection that is closed.
    fn notify_partial_messages(&mut self, upstream: &UpstreamConnection) {
        let cx = context(clock::now(), &self.router);
        let member = cx.router.member_name(upstream.member);
        if let Some(written) = upstream.connection.stream.partially_written() {
            self.subsystems.notify(&cx, &Event::MemberBytesSent { member, written });
        }
        let bytes = upstream.connection.stream.input.len();
        self.subsystems.notify(&cx, &Event::MemberBytesReceived { member, bytes });
    }

    /// Retires the connections to a member's process that is gone. Attempts of which nothing was written are given up, as a
    /// connection that is still being established may reach another process.
    pub(super) fn give_up_process(&mut self, now: f64, member: MemberId) {
        self.retire_upstreams(member);
        let pool = self.upstream_pools.get(&member).into_iter().flatten();
        let upstreams = pool.filter_map(|id| self.upstreams.get(id));
        let unwritten: Vec<AttemptKey> =
            upstreams.flat_map(|upstream| upstream.connection.unwritten_attempts()).collect();
        for key in unwritten {
            self.expire_unsent(now, key);
        }
        // Closes the connections on which nothing is in flight any more.
        self.retire_upstreams(member);
    }

    /// Closes a member's idle connections and retires the others: they get no new attempts, and are closed once none
    /// is in flight on them.
    pub(super) fn retire_upstreams(&mut self, member: MemberId) {
        for id in self.upstream_pools.get(&member).cloned().unwrap_or_default() {
            let Some(upstream) = self.upstreams.get_mut(&id) else { continue };
            upstream.connection.retired = true;
            if upstream.connection.in_flight() == 0 {
                self.close_upstream(id);
            }
        }
    }
}
