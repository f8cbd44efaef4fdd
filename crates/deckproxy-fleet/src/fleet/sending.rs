//! Sends datagrams within the byte budget.

use super::{Effect, Fleet};
use crate::Millis;
use crate::instance::Instance;
use crate::wire::{Body, Packet};
use std::net::SocketAddr;

/// Burst of the token bucket, as the time in milliseconds in which it refills.
const BURST_TIME: Millis = 1000.0;

/// A token bucket that limits the bytes sent.
#[derive(Clone, Copy, Debug)]
pub(super) struct ByteBudget {
    available: f64,
    refilled_at: Millis,
}

impl ByteBudget {
    /// A full budget.
    pub(super) fn new(now: Millis, bytes_per_second: f64) -> Self {
        ByteBudget { available: capacity(bytes_per_second), refilled_at: now }
    }

    /// When it was last refilled.
    pub(super) fn refilled_at(&self) -> Millis {
        self.refilled_at
    }

    /// Adds the tokens for the time since the last refill.
    pub(super) fn refill(&mut self, now: Millis, bytes_per_second: f64) {
        let refill = (now - self.refilled_at).max(0.0) * bytes_per_second / 1000.0;
        self.available = (self.available + refill).min(capacity(bytes_per_second));
        self.refilled_at = now;
    }

    /// Consumes tokens for `bytes` if at least `reserve` remain; returns whether it did.
    fn try_consume(&mut self, bytes: usize, reserve: f64) -> bool {
        if self.available - (bytes as f64) < reserve {
            return false;
        }
        self.available -= bytes as f64;
        true
    }
}

fn capacity(bytes_per_second: f64) -> f64 {
    bytes_per_second * BURST_TIME / 1000.0
}

/// The tenth of the budget that is reserved for SWIM messages: they are few, and whether others consider this instance alive
/// depends on them.
fn swim_reserve(bytes_per_second: f64) -> f64 {
    bytes_per_second * BURST_TIME / 10_000.0
}

impl Fleet {
    /// The address for datagrams to an instance: the configured one, or the one that it announces.
    pub(super) fn address_of(&self, to: &Instance) -> SocketAddr {
        self.settings.addresses.get(&to.name).copied().unwrap_or(to.address)
    }

    /// Sends a datagram to an instance.
    pub(super) fn send(&mut self, to: &Instance, body: Body) {
        let address = self.address_of(to);
        self.send_to(address, body);
    }

    /// Sends a datagram to an address, or counts it if the byte budget is exhausted.
    pub(super) fn send_to(&mut self, to: SocketAddr, body: Body) {
        let is_swim = matches!(body, Body::Swim(_));
        let reserve = if is_swim { 0.0 } else { swim_reserve(self.settings.bytes_per_second) };
        let Some(bytes) = self.wire.encode(&Packet { from: self.own().clone(), body }) else {
            debug_assert!(false, "a body is bounded so that its datagram fits");
            return;
        };
        if !self.budget.try_consume(bytes.len(), reserve) {
            self.counters.over_budget += 1;
            return;
        }
        self.counters.sent += 1;
        self.counters.sent_bytes += bytes.len() as u64;
        self.effects.push_back(Effect::Send { to, bytes });
    }
}
