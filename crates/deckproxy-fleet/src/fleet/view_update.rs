//! Computes the view of the fleet from the status of all peers.

use super::{Fleet, Heartbeat, kinds};
use crate::Millis;
use crate::acknowledgements::DigestCount;
use crate::instance::Name;
use crate::liveness::{PeerStatus, Timeouts};
use crate::view::{View, is_majority};

/// Heartbeat intervals after the start or a pause before the view can count as fresh.
const FRESH_AFTER: f64 = 2.0;

impl Fleet {
    pub(super) fn update_view(&mut self, now: Millis) {
        // By the size of the fleet that was expected so far.
        let seen = self.observe_fleet(now, &self.timeouts());
        let rate = self.view.rate();
        self.view.update(now, &seen);
        self.reassign |= rate != self.view.rate();
    }

    fn observe_fleet(&mut self, now: Millis, timeouts: &Timeouts) -> View {
        let known = self.known_instances();
        let expected = self.expected_instances(now, known);
        let alive = self.instances_with(PeerStatus::Alive).count() + 1;
        let digests = self.count_digests(now, timeouts);
        let confirmed = (alive * (digests.current + 1) / (digests.received + 1)).max(1);
        let has_first = self.hears_first_instance() && known >= expected;
        let is_majority = is_majority(confirmed, expected, has_first);
        self.check_freshness(now, timeouts, digests.received > 0 && is_majority && alive == known);
        let is_stale = self.stale_since.is_some();
        let acts = is_majority && !is_stale;
        self.majority_since = if acts { self.majority_since.or(Some(now)) } else { None };
        let is_settled = self.majority_since.is_some_and(|since| now - since >= timeouts.suspect_after);
        View { expected, alive, confirmed, since: now, is_majority, is_settled, is_stale }
    }

    /// The number of instances that the fleet should have: the most of those known here, those known to a peer, the
    /// operators' number, and the seeds.
    fn expected_instances(&self, now: Millis, known: usize) -> usize {
        let own = self.settings.own.address;
        let other_seeds = self.settings.seeds.iter().filter(|seed| **seed != own).count();
        // An instance that has met no other yet does not take itself for all of a fleet that has seeds.
        let least = if self.peers.is_empty() { other_seeds + 1 } else { 1 };
        let heartbeats = self.store.entries_of_kind(now, kinds::HEARTBEAT);
        let of_alive = heartbeats.filter(|entry| self.is_alive(entry.author));
        let known_to_peers = of_alive.filter_map(|entry| {
            let heartbeat: Heartbeat = postcard::from_bytes(entry.value).ok()?;
            Some(usize::from(heartbeat.known_instances))
        });
        let known_to_peers = known_to_peers.max().unwrap_or(0);
        known.max(known_to_peers).max(self.settings.expected_instances).max(least)
    }

    /// Counts digests of instances that are alive: the digest of one that we do not hear says nothing of those that we do.
    fn count_digests(&self, now: Millis, timeouts: &Timeouts) -> DigestCount {
        let since = self.stale_since.unwrap_or(f64::MIN);
        self.acknowledgements.count(now, timeouts, since, |name| self.is_alive(name))
    }

    fn is_alive(&self, name: &Name) -> bool {
        self.peers.get(name).is_some_and(|peer| peer.status == PeerStatus::Alive)
    }

    /// Whether the instance with the first of all names is alive here, or it is we.
    fn hears_first_instance(&self) -> bool {
        let mut present = self.peers.iter().filter(|(_, peer)| peer.status != PeerStatus::Left);
        // Peers are sorted by name.
        let Some((name, first)) = present.next() else { return true };
        self.swim.own().name < *name || first.status == PeerStatus::Alive
    }

    /// Ends the staleness of the view. `all_heard`: all known instances are alive, both ways, and this is the majority; else
    /// silence has to last until it means something.
    fn check_freshness(&mut self, now: Millis, timeouts: &Timeouts, all_heard: bool) {
        let Some(since) = self.stale_since else { return };
        let waited = now - since;
        let has_heard_enough = all_heard && waited > FRESH_AFTER * timeouts.heartbeat_interval;
        if has_heard_enough || waited > timeouts.lost_after + timeouts.heartbeat_interval {
            self.stale_since = None;
            self.reassign = true;
        }
    }
}
