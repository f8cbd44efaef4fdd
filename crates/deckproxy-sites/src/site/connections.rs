//! Connections: opening, handshakes and closing.

use super::effects::{Effect, LogEvent};
use super::{Peer, SiteGateway};
use crate::close::{CloseReason, HelloError};
use crate::frame::{Goodbye, Hello, Payload, VERSION};
use crate::{ConnectionId, Millis, saturating_u32};

/// Longest site name accepted in a hello, bytes.
const MAX_SITE_NAME: usize = 63;

/// Which side opened a connection, and the state of its handshake.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Role {
    /// This side opened it, and sends requests on it.
    Requester {
        peer: usize,
        endpoint: usize,
        /// The epoch of the process at the other end; `None` until its hello was accepted.
        epoch: Option<u64>,
    },
    /// The other side opened it, and has not sent its hello yet.
    AwaitingHello { since: Millis },
    /// The other side opened it, and its hello was accepted.
    Responder { epoch: u64, site: String },
}

impl Role {
    /// The epoch of the process at the other end; `None` until the handshake is complete.
    pub(super) fn epoch(&self) -> Option<u64> {
        match self {
            Role::Requester { epoch, .. } => *epoch,
            Role::AwaitingHello { .. } => None,
            Role::Responder { epoch, .. } => Some(*epoch),
        }
    }

    /// Whether the handshake is complete.
    fn is_up(&self) -> bool {
        self.epoch().is_some()
    }
}

impl SiteGateway {
    /// The site at the other end of a connection; `None` until it is known.
    pub fn site_of(&self, connection: ConnectionId) -> Option<&str> {
        match self.roles.get(&connection)? {
            Role::Requester { peer, .. } => self.peers.get(*peer).map(|peer| &*peer.site),
            Role::AwaitingHello { .. } => None,
            Role::Responder { site, .. } => Some(site),
        }
    }

    /// Records that a connection to a peer's endpoint was opened, and sends the hello.
    pub fn connected(&mut self, now: Millis, peer: usize, endpoint: usize, connection: ConnectionId) {
        let Some(Peer { site, requester, .. }) = self.peers.get_mut(peer) else { return };
        requester.connected(now, endpoint, connection);
        self.roles.insert(connection, Role::Requester { peer, endpoint, epoch: None });
        let hello = Hello {
            version: VERSION,
            site: self.own_site.clone(),
            peer_site: site.clone(),
            ..Hello::default()
        };
        let hello = requester.fill_hello(endpoint, hello);
        let hello = self.purges.fill_hello(now, requester.epoch(endpoint), hello);
        self.effects.push_back(Effect::Send(connection, Payload::Hello(hello).into()));
        self.collect_requester_effects(peer);
    }

    /// Records that a connection to a peer's endpoint could not be opened.
    pub fn connect_failed(&mut self, now: Millis, peer: usize, endpoint: usize) {
        if let Some(entry) = self.peers.get_mut(peer) {
            entry.requester.connect_failed(now, endpoint);
            self.collect_requester_effects(peer);
        }
    }

    /// Records that a connection was accepted.
    pub fn accepted(&mut self, now: Millis, connection: ConnectionId) {
        self.roles.insert(connection, Role::AwaitingHello { since: now });
    }

    /// Records the end of a connection. `unsent`: attempts of which no byte was written to it.
    pub fn disconnected(&mut self, now: Millis, connection: ConnectionId, unsent: &[u64]) {
        match self.roles.remove(&connection) {
            Some(Role::Requester { peer, endpoint, epoch }) => {
                let requester = &mut self.peers[peer].requester;
                let before = requester.endpoints_up();
                requester.disconnected(now, connection, unsent);
                let endpoints = requester.endpoints_up();
                if epoch.is_some() && endpoints.up < before.up {
                    let site = self.peers[peer].site.clone();
                    self.log(LogEvent::EndpointDown { site, endpoint, endpoints });
                }
                self.collect_requester_effects(peer);
            }
            Some(Role::AwaitingHello { .. } | Role::Responder { .. }) => {
                self.responder.disconnected(now, connection);
                self.collect_responder_effects();
            }
            None => {}
        }
    }

    /// Records that bytes were received on a connection, even if no complete frame was: on a slow link one chunk of a
    /// body can take longer than the silence timeout.
    pub fn mark_alive(&mut self, now: Millis, connection: ConnectionId) {
        match self.roles.get(&connection) {
            Some(Role::Requester { peer, epoch: Some(_), .. }) => {
                self.peers[*peer].requester.mark_alive(now, connection);
            }
            Some(Role::Responder { .. }) => self.responder.mark_alive(now, connection),
            _ => {}
        }
    }

    /// Validates a hello. `expected_site`: the site that is configured at the other end, if any.
    fn check_hello(&self, hello: &Hello, expected_site: Option<&str>) -> Result<(), HelloError> {
        let own = &self.own_site;
        if hello.version != VERSION {
            return Err(HelloError::Version(hello.version));
        }
        if hello.peer_site != *own {
            return Err(HelloError::WrongDestination { own: own.clone(), expected: hello.peer_site.clone() });
        }
        let site = &hello.site;
        if site == own || site.is_empty() || site.len() > MAX_SITE_NAME {
            return Err(HelloError::InvalidSite { own: own.clone(), site: site.clone() });
        }
        match expected_site {
            Some(expected) if expected != site => {
                Err(HelloError::WrongSite { expected: expected.to_string(), site: site.clone() })
            }
            _ => Ok(()),
        }
    }

    /// Processes the hello that a peer's endpoint sent in response to this side's.
    pub(super) fn receive_hello_as_requester(
        &mut self,
        now: Millis,
        connection: ConnectionId,
        peer: usize,
        endpoint: usize,
        hello: &Hello,
    ) {
        if let Err(error) = self.check_hello(hello, Some(&self.peers[peer].site)) {
            return self.reject_hello(now, connection, error);
        }
        let acknowledged = self.purges.hello_received(now, hello);
        self.roles.insert(connection, Role::Requester { peer, endpoint, epoch: Some(hello.epoch) });
        // Purges are sent first, so that the other side receives them before any request on this connection.
        self.send_purges_after(now, connection, acknowledged);
        let requester = &mut self.peers[peer].requester;
        let before = requester.endpoints_up();
        requester.hello_received(now, connection, hello);
        let endpoints = requester.endpoints_up();
        if endpoints.up > before.up {
            let site = self.peers[peer].site.clone();
            self.log(LogEvent::EndpointUp { site, endpoint, endpoints });
        }
        self.collect_requester_effects(peer);
    }

    /// Processes the hello of a gateway that connected to this one, and responds with this side's.
    pub(super) fn receive_hello_as_responder(
        &mut self,
        now: Millis,
        connection: ConnectionId,
        hello: &Hello,
    ) {
        if let Err(error) = self.check_hello(hello, None) {
            return self.reject_hello(now, connection, error);
        }
        let acknowledged = self.purges.hello_received(now, hello);
        let response = Hello {
            version: VERSION,
            site: self.own_site.clone(),
            peer_site: hello.site.clone(),
            session: hello.session,
            credit_window: saturating_u32(self.link.credit_window),
            resume_timeout: self.link.resume_timeout as u32,
            ..Hello::default()
        };
        let response = self.purges.fill_hello(now, Some(hello.epoch), response);
        self.roles.insert(connection, Role::Responder { epoch: hello.epoch, site: hello.site.clone() });
        self.effects.push_back(Effect::Send(connection, Payload::Hello(response).into()));
        self.send_purges_after(now, connection, acknowledged);
        self.responder.hello_received(now, connection, hello);
        self.collect_responder_effects();
        // A site that can connect to this one is most likely reachable from here.
        if let Some(peer) = self.peer_index(&hello.site) {
            self.peers[peer].requester.reconnect_now(now);
        }
    }

    /// Sends the purges after the given number on a connection.
    fn send_purges_after(&mut self, now: Millis, connection: ConnectionId, number: u64) {
        let missing = self.purges.entries_after(now, number);
        self.effects.extend(missing.map(|purge| Effect::Send(connection, Payload::Purge(purge).into())));
    }

    /// Sends a new purge on all connections whose handshake is complete.
    pub(super) fn broadcast_purge(&mut self, now: Millis, number: u64) {
        let up = self.roles.iter().filter(|(_, role)| role.is_up());
        let connections: Vec<ConnectionId> = up.map(|(connection, _)| *connection).collect();
        for purge in self.purges.entries_after(now, number - 1) {
            for connection in &connections {
                self.effects.push_back(Effect::Send(*connection, Payload::Purge(purge.clone()).into()));
            }
        }
    }

    /// Records in the purge log which processes are connected.
    pub(super) fn mark_connected_peers(&mut self, now: Millis) {
        for epoch in self.roles.values().filter_map(Role::epoch) {
            self.purges.mark_connected(now, epoch);
        }
    }

    fn reject_hello(&mut self, now: Millis, connection: ConnectionId, error: HelloError) {
        let goodbye = Goodbye { reason: error.to_string() };
        self.log(LogEvent::HelloRejected(error.clone()));
        self.effects.push_back(Effect::Send(connection, Payload::Goodbye(goodbye).into()));
        self.close(now, connection, CloseReason::HelloRejected(error));
    }

    /// Closes the accepted connections on which no hello was received within the silence timeout.
    pub(super) fn close_without_hello(&mut self, now: Millis) {
        let silence_timeout = self.link.silence_timeout;
        let is_late =
            |role: &Role| matches!(role, Role::AwaitingHello { since } if now - since > silence_timeout);
        let late = self.roles.iter().filter(|(_, role)| is_late(role));
        for connection in late.map(|(connection, _)| *connection).collect::<Vec<_>>() {
            self.close(now, connection, CloseReason::HelloTimeout);
        }
    }

    /// Closes a connection.
    pub(super) fn close(&mut self, now: Millis, connection: ConnectionId, reason: CloseReason) {
        self.effects.push_back(Effect::Close(connection, reason));
        self.disconnected(now, connection, &[]);
    }

    /// Queues a log line.
    pub(super) fn log(&mut self, event: LogEvent) {
        self.effects.push_back(Effect::Log(event));
    }
}
