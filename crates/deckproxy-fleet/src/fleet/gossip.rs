//! Writes heartbeats, and sends digests, pushes and greetings.

use super::{Fleet, Heartbeat, kinds};
use crate::Millis;
use crate::gossip_store::Key;
use crate::instance::Instance;
use crate::wire::{Body, MAX_BODY_BYTES};
use rand::seq::{IndexedRandom, IteratorRandom};
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Number of instances that receive a digest in each round.
const DIGEST_FANOUT: usize = 2;
/// Number of instances to which new entries are pushed at once.
const PUSH_FANOUT: usize = 3;
/// Maximum number of addresses that are sent a greeting in each round.
const HELLO_FANOUT: usize = 3;
/// Number of latest entries that are pushed: receivers have the earlier ones, or get them by the exchange of digests.
const PUSHED_ENTRIES: u64 = 2;
/// A heartbeat's time to live, as a multiple of `lost_after`.
const HEARTBEAT_TTL_FACTOR: f64 = 3.0;

impl Fleet {
    /// Writes a heartbeat to the gossip store.
    pub(super) fn write_heartbeat(&mut self, now: Millis) {
        let heartbeat = Heartbeat {
            open_requests: self.open_requests,
            leaving: self.leaving,
            known_instances: u16::try_from(self.known_instances()).unwrap_or(u16::MAX),
        };
        let value = postcard::to_stdvec(&heartbeat).unwrap_or_default();
        let ttl = (HEARTBEAT_TTL_FACTOR * self.timeouts().lost_after) as u32;
        self.store.write(now, Key::of_kind(kinds::HEARTBEAT), ttl, Some(value));
        self.acknowledgements.heartbeat_written(now, self.store.last_version());
    }

    /// Sends digests to a random sample of the instances that are alive.
    pub(super) fn send_digests(&mut self) {
        for to in self.sample_alive(DIGEST_FANOUT) {
            let digest = self.store.digest(&to.name);
            self.send(&to, Body::Digest(digest));
        }
    }

    /// Pushes this instance's latest entries to a random sample of the instances that are alive.
    pub(super) fn push(&mut self, now: Millis) {
        for to in self.sample_alive(PUSH_FANOUT) {
            let after = self.store.last_version().saturating_sub(PUSHED_ENTRIES);
            let delta = self.store.own_entries_after(now, after, MAX_BODY_BYTES);
            self.send(&to, Body::Delta(delta));
        }
    }

    fn sample_alive(&mut self, count: usize) -> Vec<Instance> {
        let alive: Vec<Instance> = self.swim.alive().values().cloned().collect();
        alive.sample(&mut self.rng, count).cloned().collect()
    }

    /// Sends greetings to a random sample of the seeds and known instances that SWIM does not consider alive and that have
    /// not left.
    pub(super) fn send_hellos(&mut self) {
        let alive = self.swim.alive();
        let reached: BTreeSet<SocketAddr> = alive.values().map(|peer| self.address_of(peer)).collect();
        let seeds = self.settings.seeds.iter().copied();
        let not_alive =
            self.peers.values().filter(|peer| !peer.left && !alive.contains_key(&peer.instance.name));
        let not_alive = not_alive.map(|peer| self.address_of(&peer.instance));
        let own = self.settings.own.address;
        let unreached = seeds.chain(not_alive).filter(|to| !reached.contains(to) && *to != own);
        let unreached: BTreeSet<SocketAddr> = unreached.collect();
        for to in unreached.into_iter().sample(&mut self.rng, HELLO_FANOUT) {
            self.send_to(to, Body::Hello { is_reply: false, known_incarnation: None });
        }
    }
}
