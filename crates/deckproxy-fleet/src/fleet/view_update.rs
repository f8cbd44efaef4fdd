//! Computes the view of the fleet from the status of all peers.

use super::{Fleet, Heartbeat, kinds};
use crate::Millis;
use crate::acknowledgements::DigestCount;
use crate::instance::Name;
use crate::liveness::{PeerStatus, Timeouts};
use crate::view::{View, is_majority};

/// Heartbeat intervals after the start or a pause before the view can be considered up to date.
const MIN_STALE_INTERVALS: f64 = 2.0;

impl Fleet {
    pub(super) fn update_view(&mut self, now: Millis) {
        // The timeouts are those for the previously expected size of the fleet.
        let observed = self.observe_fleet(now, &self.timeouts());
        let rate = self.view.rate();
        self.view.update(now, &observed);
        self.reassign |= rate != self.view.rate();
    }

    fn observe_fleet(&mut self, now: Millis, timeouts: &Timeouts) -> View {
        let known = self.known_instances();
        let expected = self.expected_instances(now, known);
        let alive = self.instances_with(PeerStatus::Alive).count() + 1;
        let digests = self.count_digests(now, timeouts);
        // Extrapolates the share of current digests to all instances that are alive; this instance is included in both counts.
        let confirmed = (alive * (digests.current + 1) / (digests.received + 1)).max(1);
        let has_first = self.is_first_instance_alive() && known >= expected;
        let is_majority = is_majority(confirmed, expected, has_first);
        self.check_freshness(now, timeouts, digests.received > 0 && is_majority && alive == known);
        let is_stale = self.stale_since.is_some();
        let may_act = is_majority && !is_stale;
        self.majority_since = if may_act { self.majority_since.or(Some(now)) } else { None };
        let is_settled = self.majority_since.is_some_and(|since| now - since >= timeouts.suspect_after);
        View { expected, alive, confirmed, since: now, is_majority, is_settled, is_stale }
    }

    /// The number of instances that the fleet should have: the maximum of the numbers known here and known to any live peer,
    /// the configured minimum and, while no peer is known, this instance and all other seeds.
    fn expected_instances(&self, now: Millis, known: usize) -> usize {
        let own = self.settings.own.address;
        let other_seeds = self.settings.seeds.iter().filter(|seed| **seed != own).count();
        // An instance that knows no other yet must not consider itself the whole fleet if there are seeds.
        let min_expected = if self.peers.is_empty() { other_seeds + 1 } else { 1 };
        let heartbeats = self.store.entries_of_kind(now, kinds::HEARTBEAT);
        let of_alive = heartbeats.filter(|entry| self.is_alive(entry.author));
        let known_to_peers = of_alive.filter_map(|entry| {
            let heartbeat: Heartbeat = postcard::from_bytes(entry.value).ok()?;
            Some(usize::from(heartbeat.known_instances))
        });
        let known_to_peers = known_to_peers.max().unwrap_or(0);
        known.max(known_to_peers).max(self.settings.expected_instances).max(min_expected)
    }

    /// Counts recent digests from instances that are alive. Digests from others do not show whether the live ones receive our
    /// heartbeats.
    fn count_digests(&self, now: Millis, timeouts: &Timeouts) -> DigestCount {
        let since = self.stale_since.unwrap_or(f64::MIN);
        self.acknowledgements.count(now, timeouts, since, |name| self.is_alive(name))
    }

    fn is_alive(&self, name: &Name) -> bool {
        self.peers.get(name).is_some_and(|peer| peer.status == PeerStatus::Alive)
    }

    /// Whether, of the instances that have not left, the one whose name sorts first is alive or is this one.
    fn is_first_instance_alive(&self) -> bool {
        let mut present = self.peers.iter().filter(|(_, peer)| peer.status != PeerStatus::Left);
        // Peers are sorted by name.
        let Some((name, first)) = present.next() else { return true };
        self.swim.own().name < *name || first.status == PeerStatus::Alive
    }

    /// Marks the view as up to date again. If `all_reachable` (all known instances are alive, recent digests have arrived,
    /// and this partition is the majority), [`MIN_STALE_INTERVALS`] suffice; otherwise the view remains stale for a
    /// heartbeat interval longer than `lost_after`, so that instances that SWIM considers dead count as lost by then.
    fn check_freshness(&mut self, now: Millis, timeouts: &Timeouts, all_reachable: bool) {
        let Some(since) = self.stale_since else { return };
        let waited = now - since;
        let is_confirmed = all_reachable && waited > MIN_STALE_INTERVALS * timeouts.heartbeat_interval;
        if is_confirmed || waited > timeouts.lost_after + timeouts.heartbeat_interval {
            self.stale_since = None;
            self.reassign = true;
        }
    }
}
