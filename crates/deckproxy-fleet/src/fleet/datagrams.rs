//! Handles received datagrams.

use super::{Effect, Fleet};
use crate::Millis;
use crate::gossip_store::{Delta, Digest};
use crate::health_checks::HealthCheckSchedule;
use crate::instance::Instance;
use crate::wire::{Body, DropReason, MAX_BODY_BYTES, Packet};
use std::net::SocketAddr;

/// Within this time after the start, in milliseconds, a higher incarnation of our name is an earlier process whose clock
/// was ahead; later it is another process that has replaced us.
const START_PHASE: Millis = 10_000.0;
/// From one announcement to an instance that SWIM does not consider alive to the next, in milliseconds.
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

    /// Passes a packet of a sender that counts: not of an earlier incarnation, and not one too many.
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
                // An instance that has just started with its clock behind has to learn it, or it is never heard.
                if matches!(packet.body, Body::Hello { .. }) {
                    let to = from.clone();
                    self.send(&to, Body::Hello { is_reply: true, known_incarnation: Some(known) });
                }
                Err(DropReason::StaleIncarnation)
            }
            _ => Ok(packet),
        }
    }

    /// Another process has replaced us under our name: takes no part in the fleet any more.
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
        let own_time = self.clock.read(now).own;
        let is_alive = self.swim.alive().contains_key(&from.name);
        self.record_peer(&from);
        // A sender that SWIM does not consider alive may consider us alive and no longer greet us, while we send it nothing;
        // so any datagram of it is answered by an announcement. SWIM answers its own messages itself.
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
            if now - self.started_at > START_PHASE {
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
        let present = digest.receiver.filter(|position| position.incarnation == incarnation);
        if !digest.is_request {
            let acknowledged = present.map(|position| position.version);
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
        if is_replaced && now - self.started_at > START_PHASE {
            return self.supersede();
        }
        if outcome.new_entries > 0 {
            self.read_departures(now);
        }
    }
}
