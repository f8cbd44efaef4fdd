//! Pools: the members that can replace each other.

use super::member_state::MemberState;
use super::rendezvous_hash::{UnitScore, member_hash};
use crate::interface::{Lifecycle, MemberId, Millis};
use std::collections::{BTreeMap, BTreeSet};

/// Identifies a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum PoolKey {
    /// The caches of a zone, of any kind.
    Caches {
        /// The zone.
        zone: u32,
    },
    /// The members of a kind other than a cache, in all zones.
    Kind(u32),
}

/// What the ranking of a ready member needs, kept together because each request ranks all ready members.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct ReadyMember {
    pub(super) id: MemberId,
    /// Hash of its id.
    pub(super) hash: u64,
    /// Its weight in the rendezvous hash.
    pub(super) weight: f64,
    /// Clock time from which it is usable; infinite while its half-open trial is in flight.
    pub(super) usable_from: Millis,
    kind: u32,
}

impl ReadyMember {
    /// Its score for an object.
    pub(super) fn unit_score(&self, object_hash: u64) -> UnitScore {
        UnitScore::new(object_hash, self.hash, self.weight)
    }
}

/// The members of a pool.
#[derive(Debug, Default)]
pub(super) struct Pool {
    members: BTreeMap<MemberId, MemberState>,
    /// In no particular order.
    ready: Vec<ReadyMember>,
    /// Positions in `ready`.
    ready_positions: BTreeMap<MemberId, usize>,
    ready_by_kind: BTreeMap<u32, usize>,
    /// Ready members that were warming up when they were listed.
    recently_started: BTreeSet<MemberId>,
}

impl Pool {
    /// Number of its members in any lifecycle.
    pub(super) fn len(&self) -> usize {
        self.members.len()
    }

    /// The state of a member.
    pub(super) fn get(&self, id: MemberId) -> Option<&MemberState> {
        self.members.get(&id)
    }

    /// The state of a member. After a change of its listed state or its health, [`Pool::reindex`] must be
    /// called.
    pub(super) fn get_mut(&mut self, id: MemberId) -> Option<&mut MemberState> {
        self.members.get_mut(&id)
    }

    /// Adds or replaces a member.
    pub(super) fn insert(&mut self, state: MemberState, is_warming_up: bool) {
        let id = state.listed.id;
        self.members.insert(id, state);
        if is_warming_up {
            self.recently_started.insert(id);
        } else {
            self.recently_started.remove(&id);
        }
        self.reindex(id);
    }

    /// Removes a member.
    pub(super) fn remove(&mut self, id: MemberId) -> Option<MemberState> {
        let state = self.members.remove(&id);
        self.reindex(id);
        state
    }

    /// Updates the index of ready members after a change of a member.
    pub(super) fn reindex(&mut self, id: MemberId) {
        let is_ready = |state: &&MemberState| state.listed.lifecycle == Lifecycle::Ready;
        let after = self.members.get(&id).filter(is_ready).map(ready_member);
        let before = match after {
            Some(ready) => self.insert_ready(ready),
            None => self.remove_ready(id),
        };
        let kinds = (before.map(|ready| ready.kind), after.map(|ready| ready.kind));
        if kinds.0 != kinds.1 {
            kinds.0.into_iter().for_each(|kind| self.remove_ready_kind(kind));
            kinds.1.into_iter().for_each(|kind| *self.ready_by_kind.entry(kind).or_default() += 1);
        }
        if after.is_none() {
            self.recently_started.remove(&id);
        }
    }

    /// Adds a ready member; returns its previous entry.
    fn insert_ready(&mut self, ready: ReadyMember) -> Option<ReadyMember> {
        if let Some(position) = self.ready_positions.get(&ready.id) {
            return Some(std::mem::replace(&mut self.ready[*position], ready));
        }
        self.ready_positions.insert(ready.id, self.ready.len());
        self.ready.push(ready);
        None
    }

    fn remove_ready(&mut self, id: MemberId) -> Option<ReadyMember> {
        let position = self.ready_positions.remove(&id)?;
        let removed = self.ready.swap_remove(position);
        if let Some(moved) = self.ready.get(position) {
            self.ready_positions.insert(moved.id, position);
        }
        Some(removed)
    }

    fn remove_ready_kind(&mut self, kind: u32) {
        if let Some(count) = self.ready_by_kind.get_mut(&kind) {
            *count -= 1;
            if *count == 0 {
                self.ready_by_kind.remove(&kind);
            }
        }
    }

    /// The ready members in no particular order.
    pub(super) fn ready(&self) -> impl Iterator<Item = &ReadyMember> {
        self.ready.iter()
    }

    /// The states of the ready members by ascending id.
    pub(super) fn ready_states(&self) -> impl Iterator<Item = &MemberState> {
        self.members.values().filter(|state| state.listed.lifecycle == Lifecycle::Ready)
    }

    /// A ready member.
    pub(super) fn ready_member(&self, id: MemberId) -> Option<&ReadyMember> {
        self.ready_positions.get(&id).map(|position| &self.ready[*position])
    }

    /// Number of ready members.
    pub(super) fn ready_count(&self) -> usize {
        self.ready.len()
    }

    /// Number of ready members of a kind.
    pub(super) fn ready_count_of_kind(&self, kind: u32) -> usize {
        self.ready_by_kind.get(&kind).copied().unwrap_or(0)
    }

    /// Whether a member is ready.
    pub(super) fn is_ready(&self, id: MemberId) -> bool {
        self.ready_positions.contains_key(&id)
    }

    /// The ready member with the lowest id.
    pub(super) fn first_ready(&self) -> Option<MemberId> {
        self.ready_positions.keys().next().copied()
    }

    /// The ready members that may be warming up.
    pub(super) fn recently_started(&self) -> impl Iterator<Item = MemberId> {
        self.recently_started.iter().copied()
    }

    /// Records that a member has warmed up.
    pub(super) fn record_warmed_up(&mut self, id: MemberId) {
        self.recently_started.remove(&id);
    }
}

fn ready_member(state: &MemberState) -> ReadyMember {
    ReadyMember {
        id: state.listed.id,
        hash: member_hash(state.listed.id),
        weight: state.listed.weight,
        usable_from: state.health.usable_from(),
        kind: state.listed.kind,
    }
}
