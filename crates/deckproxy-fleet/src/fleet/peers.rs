//! The other known instances, and their status.

use super::{Fleet, Heartbeat, kinds};
use crate::Millis;
use crate::instance::{Instance, Name};
use crate::liveness::PeerStatus;
use crate::swim::MembershipChange;
use crate::wire::Body;

/// Maximum number of other instances that are known at a time.
const MAX_PEERS: usize = 2048;

/// Another instance of the fleet.
pub(super) struct Peer {
    /// Its latest known identity.
    pub(super) instance: Instance,
    /// Its status.
    pub(super) status: PeerStatus,
    /// It has announced its departure.
    pub(super) left: bool,
    /// Since when it has been lost or left; `None` while it is present.
    absent_since: Option<Millis>,
    /// When this instance last announced itself to it.
    pub(super) announced_at: Millis,
}

impl Peer {
    fn new(instance: &Instance) -> Self {
        Peer {
            instance: instance.clone(),
            status: PeerStatus::Suspect,
            left: false,
            absent_since: None,
            announced_at: f64::MIN,
        }
    }
}

impl Fleet {
    /// Whether an instance is known or may be added.
    pub(super) fn has_capacity_for(&self, name: &Name) -> bool {
        self.peers.len() < MAX_PEERS || self.peers.contains_key(name)
    }

    /// Number of known instances that have not left, including this one.
    pub(super) fn known_instances(&self) -> usize {
        self.peers.values().filter(|peer| peer.status != PeerStatus::Left).count() + 1
    }

    /// Adds an instance, or updates it unless a later incarnation is known.
    pub(super) fn record_peer(&mut self, instance: &Instance) {
        if instance.name == self.own().name || !self.has_capacity_for(&instance.name) {
            return;
        }
        let known = self.peers.get(&instance.name).map(|peer| peer.instance.incarnation);
        let is_new = known.is_none_or(|known| known < instance.incarnation);
        // A new instance or incarnation is present from now on, so its share of the members is assigned to it.
        self.reassign |= is_new;
        let peer = self.peers.entry(instance.name.clone()).or_insert_with(|| Peer::new(instance));
        if is_new {
            *peer = Peer::new(instance);
        } else if peer.instance.precedence() <= instance.precedence() {
            peer.instance = instance.clone();
        }
    }

    /// Marks the instances whose heartbeats announce their departure.
    pub(super) fn read_departures(&mut self, now: Millis) {
        let heartbeats = self.store.entries_of_kind(now, kinds::HEARTBEAT);
        let leaving = heartbeats.filter_map(|entry| {
            let heartbeat: Heartbeat = postcard::from_bytes(entry.value).ok()?;
            heartbeat.leaving.then(|| entry.author.clone())
        });
        for name in leaving.collect::<Vec<_>>() {
            let incarnation = self.store.incarnation(&name);
            let peer = self.peers.get_mut(&name);
            if let Some(peer) = peer.filter(|peer| incarnation >= Some(peer.instance.incarnation)) {
                peer.left = true;
            }
        }
    }

    /// Applies SWIM's membership changes, sends its messages, and updates the status of all peers and the view.
    pub(super) fn process_membership(&mut self, now: Millis) {
        while let Some(change) = self.swim.next_change() {
            match change {
                MembershipChange::Up(instance) => self.record_peer(&instance),
                MembershipChange::Down(_) => {}
                MembershipChange::Renewed(own) => {
                    self.counters.renewals += 1;
                    self.log(format!("was declared dead while alive; refuted with renewal {}", own.renewals));
                }
            }
        }
        while let Some(message) = self.swim.next_message() {
            self.send(&message.to, Body::Swim(message.bytes));
        }
        self.update_peers(now);
        self.update_view(now);
    }

    /// Updates the status of all peers, and removes those that have been absent for longer than `forget_after`.
    fn update_peers(&mut self, now: Millis) {
        let timeouts = self.timeouts();
        let mut expired = Vec::new();
        for (name, peer) in &mut self.peers {
            let alive = self.swim.alive().contains_key(name);
            let silence = self.store.silence(now, name);
            let status = PeerStatus::of(&timeouts, alive, silence, peer.left);
            let previous = std::mem::replace(&mut peer.status, status);
            self.reassign |= previous.is_present() != status.is_present();
            if status.is_present() {
                peer.absent_since = None;
            } else if now - *peer.absent_since.get_or_insert(now) > self.settings.forget_after {
                expired.push(name.clone());
            }
        }
        for name in expired {
            self.peers.remove(&name);
            self.store.forget(&name);
            self.acknowledgements.forget(&name);
        }
    }
}
