//! Received frames: dispatch to the requesting or the serving side, and rejection of messages that are not allowed.

use super::SiteGateway;
use super::connections::Role;
use super::effects::{Effect, LogEvent};
use crate::close::CloseReason;
use crate::frame::{Frame, Heartbeat, Payload, Purge, Request};
use crate::{ConnectionId, Millis};

/// Most characters of a goodbye's reason that are logged.
const MAX_REASON: usize = 200;
/// Longest site path accepted in a received request, whatever hop limit is configured.
const MAX_SITE_PATH: usize = 16;

impl SiteGateway {
    /// Processes a frame. `unix_time`: the current Unix time. Frames without a known message, and those from closed
    /// connections, are ignored.
    pub fn receive(&mut self, now: Millis, unix_time: Millis, connection: ConnectionId, frame: Frame) {
        let Some(payload) = frame.payload else { return };
        let Some(role) = self.roles.get(&connection).cloned() else { return };
        if let Payload::Goodbye(goodbye) = payload {
            let reason = goodbye.reason.chars().take(MAX_REASON).collect();
            self.log(LogEvent::Goodbye(reason));
            return self.close(now, connection, CloseReason::Goodbye);
        }
        match role {
            Role::Requester { peer, endpoint, epoch: None } => match payload {
                Payload::Hello(hello) => {
                    self.receive_hello_as_requester(now, connection, peer, endpoint, &hello);
                }
                _ => self.close(now, connection, CloseReason::HelloMissing),
            },
            Role::AwaitingHello { .. } => match payload {
                Payload::Hello(hello) => self.receive_hello_as_responder(now, connection, &hello),
                _ => self.close(now, connection, CloseReason::HelloMissing),
            },
            Role::Requester { peer, epoch: Some(epoch), .. } => {
                self.receive_as_requester(now, unix_time, connection, peer, epoch, payload);
            }
            Role::Responder { epoch, site } => {
                self.receive_as_responder(now, unix_time, connection, epoch, &site, payload);
            }
        }
    }

    fn receive_as_requester(
        &mut self,
        now: Millis,
        unix_time: Millis,
        connection: ConnectionId,
        peer: usize,
        epoch: u64,
        payload: Payload,
    ) {
        let requester = &mut self.peers[peer].requester;
        if let Payload::Purge(purge) = payload {
            requester.mark_alive(now, connection);
            return self.purge_received(now, epoch, purge);
        }
        if !requester.receive(now, unix_time, connection, payload, &mut self.purges) {
            self.close(now, connection, CloseReason::UnexpectedMessage);
        }
        self.collect_requester_effects(peer);
    }

    fn receive_as_responder(
        &mut self,
        now: Millis,
        unix_time: Millis,
        connection: ConnectionId,
        epoch: u64,
        site: &str,
        payload: Payload,
    ) {
        match payload {
            Payload::Purge(purge) => {
                self.responder.mark_alive(now, connection);
                self.purge_received(now, epoch, purge);
            }
            Payload::Ping(heartbeat) => {
                self.send_pong(now, unix_time, connection, epoch, &heartbeat);
            }
            payload => {
                let is_misrouted =
                    matches!(&payload, Payload::Request(request) if self.is_misrouted(site, request));
                if is_misrouted || !self.responder.receive(now, connection, payload) {
                    self.close(now, connection, CloseReason::UnexpectedMessage);
                }
                self.collect_responder_effects();
            }
        }
    }

    /// Whether the site path of a request received from the given site is invalid: it must end with that site, must not
    /// contain this site, and must not be too long.
    fn is_misrouted(&self, from_site: &str, request: &Request) -> bool {
        let path = &request.site_path;
        path.last().is_none_or(|last| last != from_site)
            || path.contains(&self.own_site)
            || path.len() > MAX_SITE_PATH
    }

    fn send_pong(
        &mut self,
        now: Millis,
        unix_time: Millis,
        connection: ConnectionId,
        epoch: u64,
        heartbeat: &Heartbeat,
    ) {
        self.responder.mark_alive(now, connection);
        self.responder.discard_attempts_below(connection, heartbeat.lowest_open_attempt);
        self.collect_responder_effects();
        // Messages on one connection arrive in order: all purges up to this number arrive before this response.
        let pong = Heartbeat {
            sequence: heartbeat.sequence,
            unix_time,
            last_purge: self.purges.last_number(),
            purges_received: self.purges.last_received_from(epoch),
            lowest_open_attempt: 0,
        };
        self.effects.push_back(Effect::Send(connection, Payload::Pong(pong).into()));
    }

    /// Processes a relayed purge: if it is new, applies it on this site and relays it.
    fn purge_received(&mut self, now: Millis, from_epoch: u64, purge: Purge) {
        let gaps_before = self.purges.gaps;
        if let Some((notice, number)) = self.purges.purge_received(now, from_epoch, purge) {
            self.effects.push_back(Effect::Purge(notice));
            self.broadcast_purge(now, number);
        }
        if self.purges.gaps > gaps_before {
            self.log(LogEvent::PurgesMissing);
        }
    }
}
