//! Handles received datagrams.

use super::{Effect, Fleet};
use crate::Millis;
use crate::gossip_store::{Delta, Digest};
use crate::health_checks::HealthCheckSchedule;
use crate::instance::Instance;
use crate::wire::{Body, DropReason, MAX_BODY_BYTES, Packet};
use std::net::SocketAddr;

/// Time after the start, in milliseconds, within which a higher incarnation of our name that another instance reports is
/// that of an earlier process whose clock was ahead; later it is that of a process that has replaced this one.
const STARTUP_PERIOD: Millis = 10_000.0;
/// Minimum interval between announcements to an instance that SWIM does not consider alive, in milliseconds.
const ANNOUNCE_INTERVAL: Millis = 250.0;

impl Fleet {
    /// Handles a received datagram.
    pub fn handle_datagram(&mut self, now: Millis, from: SocketAddr, datagram: &[u8]) {
        self.check_clock(now);
        if self.superseded {
            return;
        }
        match self.wire.decode(from, datagram).and_then(|packet| self.check_sender(packet)) {
            Ok(packet) => {
                self.counters.received += 1;
                self.handle_packet(now, packet);
            }
            Err(reason) => self.counters.dropped[reason as usize] += 1,
        }
        self.process_membership(now);
    }

    /// Accepts a packet unless its sender is of an earlier incarnation, uses our name or exceeds the limit on instances.
    fn check_sender(&mut self, packet: Packet) -> Result<Packet, DropReason> {
        let from = &packet.from;
        if from.name == self.own().name {
            if from.incarnation > self.own().incarnation {
                self.supersede();
            }
            return Err(DropReason::StaleIncarnation);
        }
        if !self.has_capacity_for(&from.name) {
            return Err(DropReason::TooManyInstances);
        }
        let in_store = self.store.incarnation(&from.name);
        let known = in_store.max(self.peers.get(&from.name).map(|peer| peer.instance.incarnation));
        match known {
            Some(known) if known > from.incarnation => {
                // An instance that started with its clock behind needs the known incarnation: its datagrams are dropped
                // until it uses a higher one.
                if matches!(packet.body, Body::Hello { .. }) {
                    let to = from.clone();
                    self.send(&to, Body::Hello { is_reply: true, known_incarnation: Some(known) });
                }
                Err(DropReason::StaleIncarnation)
            }
            _ => Ok(packet),
        }
    }

    /// Leaves the fleet for good, as another process has replaced this one under its name.
    fn supersede(&mut self) {
        self.superseded = true;
        let name = self.own().name.clone();
        self.log(format!("another process is {name} now: this one has left the fleet"));
        self.health_checks = HealthCheckSchedule::default();
        self.reinstatements.clear();
        if !std::mem::take(&mut self.ejected).is_empty() {
            self.effects.push_back(Effect::Eject(Vec::new()));
        }
    }

    fn handle_packet(&mut self, now: Millis, packet: Packet) {
        let Packet { from, body } = packet;
        let own_time = self.clock.read(now).own_time;
        let is_alive = self.swim.alive().contains_key(&from.name);
        self.record_peer(&from);
        // A sender that SWIM does not consider alive may consider us alive and therefore send no greeting, while we send it
        // nothing. So any datagram from it triggers an announcement, except SWIM messages, which SWIM responds to itself.
        if !is_alive && !matches!(body, Body::Swim(_)) {
            self.announce_to(now, own_time, &from);
        }
        match body {
            Body::Hello { is_reply, known_incarnation } => {
                self.handle_hello(now, own_time, &from, is_reply, known_incarnation);
            }
            Body::Swim(message) => self.swim.handle_message(own_time, &message),
            Body::Digest(digest) => self.handle_digest(now, &from, &digest),
            Body::Delta(delta) => self.handle_delta(now, delta),
        }
    }

    fn announce_to(&mut self, now: Millis, own_time: Millis, to: &Instance) {
        let Some(peer) = self.peers.get_mut(&to.name) else { return };
        if now - peer.announced_at >= ANNOUNCE_INTERVAL {
            peer.announced_at = now;
            self.swim.announce(own_time, to);
        }
    }

    fn handle_hello(
        &mut self,
        now: Millis,
        own_time: Millis,
        from: &Instance,
        is_reply: bool,
        known_incarnation: Option<u64>,
    ) {
        if let Some(known) = known_incarnation.filter(|known| *known >= self.own().incarnation) {
            if now - self.started_at > STARTUP_PERIOD {
                return self.supersede();
            }
            self.swim.raise_incarnation(own_time, known);
            let raised = self.own().incarnation;
            self.store.adopt_incarnation(raised);
            self.log(format!("an earlier incarnation had number {known}: this one goes on as {raised}"));
        }
        if !is_reply {
            self.send(from, Body::Hello { is_reply: true, known_incarnation: None });
        }
    }

    fn handle_digest(&mut self, now: Millis, from: &Instance, digest: &Digest) {
        let timeouts = self.timeouts();
        let incarnation = self.own().incarnation;
        if !digest.is_request {
            let position = digest.receiver.filter(|position| position.incarnation == incarnation);
            let acknowledged = position.map(|position| position.version);
            self.acknowledgements.digest_received(now, &from.name, acknowledged, &timeouts);
        }
        let comparison = self.store.compare(now, &from.name, digest, MAX_BODY_BYTES);
        if !comparison.delta.authors.is_empty() {
            self.send(from, Body::Delta(comparison.delta));
        }
        if let Some(request) = comparison.request {
            self.send(from, Body::Digest(request));
        }
    }

    fn handle_delta(&mut self, now: Millis, delta: Delta) {
        let outcome = self.store.merge(now, delta);
        self.counters.over_limit += outcome.over_limit as u64;
        let own = self.own().incarnation;
        let is_replaced = outcome.own_later_incarnation.is_some_and(|later| later > own);
        if is_replaced && now - self.started_at > STARTUP_PERIOD {
            return self.supersede();
        }
        if outcome.new_entries > 0 {
            self.read_departures(now);
        }
    }
}
