//! Sends datagrams within the byte budget.

use super::{Effect, Fleet};
use crate::Millis;
use crate::instance::Instance;
use crate::wire::{Body, Packet};
use std::net::SocketAddr;

/// Time for which unused bytes of the budget are saved up, in milliseconds.
const SAVED_FOR: Millis = 1000.0;

/// A token bucket of bytes.
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

    /// When it was refilled last.
    pub(super) fn refilled_at(&self) -> Millis {
        self.refilled_at
    }

    /// Adds the bytes of the time that has passed.
    pub(super) fn refill(&mut self, now: Millis, bytes_per_second: f64) {
        let earned = (now - self.refilled_at).max(0.0) * bytes_per_second / 1000.0;
        self.available = (self.available + earned).min(capacity(bytes_per_second));
        self.refilled_at = now;
    }

    /// Takes bytes where `reserve` are left after that; returns whether it did.
    fn take(&mut self, bytes: usize, reserve: f64) -> bool {
        if self.available - (bytes as f64) < reserve {
            return false;
        }
        self.available -= bytes as f64;
        true
    }
}

fn capacity(bytes_per_second: f64) -> f64 {
    bytes_per_second * SAVED_FOR / 1000.0
}

/// The tenth of the budget that only SWIM's messages may use: they are few, and whether others consider us alive depends
/// on them.
fn swim_reserve(bytes_per_second: f64) -> f64 {
    bytes_per_second * SAVED_FOR / 10_000.0
}

impl Fleet {
    /// The address at which an instance is reached.
    pub(super) fn address_of(&self, to: &Instance) -> SocketAddr {
        self.settings.addresses.get(&to.name).copied().unwrap_or(to.address)
    }

    pub(super) fn send(&mut self, to: &Instance, body: Body) {
        let address = self.address_of(to);
        self.send_to(address, body);
    }

    pub(super) fn send_to(&mut self, to: SocketAddr, body: Body) {
        let is_swim = matches!(body, Body::Swim(_));
        let reserve = if is_swim { 0.0 } else { swim_reserve(self.settings.bytes_per_second) };
        let Some(bytes) = self.wire.encode(&Packet { from: self.own().clone(), body }) else {
            debug_assert!(false, "a body is bounded so that its datagram fits");
            return;
        };
        if !self.budget.take(bytes.len(), reserve) {
            self.counters.over_budget += 1;
            return;
        }
        self.counters.sent += 1;
        self.counters.sent_bytes += bytes.len() as u64;
        self.effects.push_back(Effect::Send { to, bytes });
    }
}
