//! How a simulated fleet goes from event to event.

use super::node::Datagram;
use super::settings::{address, instance_at};
use super::{Ejection, HealthCheck, LogLine, SimulatedFleet};
use deckproxy_fleet::Millis;
use deckproxy_fleet::fleet::{Effect, Fleet, MAX_TICK_INTERVAL};
use rand::RngExt;
use std::net::SocketAddr;

/// Time that a health check takes where the member answers, ms.
const HEALTH_CHECK_MS: Millis = 3.0;
/// Time that a health check takes where the member does not answer, ms.
const FAILED_HEALTH_CHECK_MS: Millis = 400.0;
/// Step of [`SimulatedFleet::until`], ms.
const CONDITION_STEP_MS: Millis = 25.0;
/// The least upper bound of a datagram's delay, ms.
const LEAST_MAX_DELAY_MS: Millis = 0.2;
/// The least delay of a datagram, ms.
const LEAST_DELAY_MS: Millis = 0.1;

/// Something that happens at a time.
pub(super) enum Event {
    /// A datagram arrives at an address.
    DatagramArrived { to: SocketAddr, datagram: Datagram },
    /// A health check ends.
    HealthChecked {
        instance: usize,
        /// The start of the instance's process that made it.
        starts: u64,
        member: u32,
        is_good: bool,
    },
}

impl SimulatedFleet {
    /// Sends a datagram from outside, to arrive after a time.
    pub fn send(&mut self, after: Millis, from: SocketAddr, to: SocketAddr, bytes: Vec<u8>) {
        let datagram = Datagram { from, bytes };
        self.events.push(self.now + after, Event::DatagramArrived { to, datagram });
    }

    /// Runs until a time, ms.
    pub fn run_to(&mut self, end: Millis) {
        while self.now < end {
            let next = (self.now + MAX_TICK_INTERVAL / 4.0).min(end);
            while let Some((at, event)) = self.events.pop(next) {
                self.now = self.now.max(at);
                self.handle(event);
            }
            self.now = next;
            for instance in 0..self.nodes.len() {
                self.tick(instance);
            }
        }
    }

    /// Runs for a span, ms.
    pub fn run(&mut self, span: Millis) {
        self.run_to(self.now + span);
    }

    /// Runs until a condition holds; gives how long that took, ms, or none after `most`.
    pub fn until(&mut self, most: Millis, holds: impl Fn(&SimulatedFleet) -> bool) -> Option<Millis> {
        let start = self.now;
        while !holds(self) {
            if self.now - start >= most {
                return None;
            }
            self.run(CONDITION_STEP_MS);
        }
        Some(self.now - start)
    }

    /// Has an instance do what is due, if it runs.
    fn tick(&mut self, instance: usize) {
        let now = self.now;
        let Some(fleet) = self.nodes[instance].running() else { return };
        if fleet.next_due() <= now {
            fleet.tick(now);
            self.carry_out_effects(instance);
        }
    }

    fn handle(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::DatagramArrived { to, datagram } => {
                let Some(instance) = instance_at(to) else { return };
                let node = &mut self.nodes[instance];
                node.receive(now, datagram);
                if !node.is_paused {
                    self.carry_out_effects(instance);
                }
            }
            Event::HealthChecked { instance, starts, member, is_good } => {
                let node = &mut self.nodes[instance];
                if node.starts != starts || node.is_paused {
                    return;
                }
                if let Some(fleet) = &mut node.fleet {
                    fleet.health_checked(now, member, is_good);
                }
                self.carry_out_effects(instance);
            }
        }
    }

    /// Carries out what an instance wants done.
    pub(super) fn carry_out_effects(&mut self, instance: usize) {
        let at = self.now;
        while let Some(effect) = self.nodes[instance].fleet.as_mut().and_then(Fleet::next_effect) {
            match effect {
                Effect::Send { to, bytes } => self.transmit(instance, to, &bytes),
                Effect::HealthCheck(member) => self.check_health(instance, member),
                Effect::Eject(members) => self.ejections.push(Ejection { at, instance, members }),
                Effect::StatusChanged(_) => {}
                Effect::Log(text) => self.logs.push(LogLine { at, instance, text }),
            }
        }
    }

    /// Sends a datagram through the network.
    fn transmit(&mut self, from: usize, to: SocketAddr, bytes: &[u8]) {
        self.sent_bytes[from] += bytes.len() as u64;
        let Some(receiver) = instance_at(to).filter(|receiver| *receiver < self.nodes.len()) else { return };
        if self.blocked_pairs.contains(&(from, receiver))
            || self.rng.random::<f64>() < self.network.lost_share
        {
            return;
        }
        let longest = self.network.max_delay.max(LEAST_MAX_DELAY_MS);
        let copies = 1 + usize::from(self.rng.random::<f64>() < self.network.duplicated_share);
        for _ in 0..copies {
            let delay = self.rng.random_range(LEAST_DELAY_MS..=longest);
            self.send(delay, address(from), to, bytes.to_vec());
        }
    }

    /// Has an instance check a member's health; the result comes later.
    fn check_health(&mut self, instance: usize, member: u32) {
        self.health_checks.push(HealthCheck { at: self.now, instance, member });
        let is_good = !self.failing_members.contains(&member)
            && !self.unreachable_members.contains(&(instance, member));
        let duration = if is_good { HEALTH_CHECK_MS } else { FAILED_HEALTH_CHECK_MS };
        let starts = self.nodes[instance].starts;
        let event = Event::HealthChecked { instance, starts, member, is_good };
        self.events.push(self.now + duration, event);
    }
}
