//! The table of all listed members, grouped by pool, with indexes of those that need attention.

use super::member_state::{Health, MemberState};
use super::pool::{Pool, PoolKey};
use crate::interface::{Lifecycle, Member, MemberId, Settings};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Index;

/// All listed members, and members that left while they were warming up.
///
/// Listed states and health are changed only by the methods of the table, which keep its indexes up to
/// date.
#[derive(Debug, Default)]
pub(super) struct MemberTable {
    parent_kind: Option<u32>,
    origin_kind: Option<u32>,
    pools: BTreeMap<PoolKey, Pool>,
    pool_keys: BTreeMap<MemberId, PoolKey>,
    gone: BTreeSet<MemberId>,
    silence_suspects: BTreeSet<MemberId>,
}

impl MemberTable {
    /// Creates an empty table.
    pub(super) fn new(settings: &Settings) -> Self {
        MemberTable {
            parent_kind: settings.parent_kind,
            origin_kind: settings.origin_kind,
            ..MemberTable::default()
        }
    }

    /// The pool to which a member belongs.
    pub(super) fn pool_key(&self, member: &Member) -> PoolKey {
        let is_cache = Some(member.kind) != self.parent_kind && Some(member.kind) != self.origin_kind;
        if is_cache { PoolKey::Caches { zone: member.zone } } else { PoolKey::Kind(member.kind) }
    }

    /// A pool, if it has members.
    pub(super) fn pool(&self, key: PoolKey) -> Option<&Pool> {
        self.pools.get(&key)
    }

    /// Number of members.
    pub(super) fn len(&self) -> usize {
        self.pool_keys.len()
    }

    /// The ids of all members in ascending order.
    pub(super) fn ids(&self) -> impl Iterator<Item = MemberId> {
        self.pool_keys.keys().copied()
    }

    /// The members that are gone, by ascending id.
    pub(super) fn gone(&self) -> impl Iterator<Item = MemberId> {
        self.gone.iter().copied()
    }

    /// The members that left enough sends unanswered to count as silent, by ascending id.
    pub(super) fn silence_suspects(&self) -> impl Iterator<Item = MemberId> {
        self.silence_suspects.iter().copied()
    }

    /// The state of a member.
    pub(super) fn get(&self, id: MemberId) -> Option<&MemberState> {
        self.pools.get(self.pool_keys.get(&id)?)?.get(id)
    }

    /// The state of a member, for changes of anything but its listed state and its health.
    pub(super) fn get_mut(&mut self, id: MemberId) -> Option<&mut MemberState> {
        self.pools.get_mut(self.pool_keys.get(&id)?)?.get_mut(id)
    }

    /// Changes the health of a member.
    pub(super) fn change_health<T>(
        &mut self,
        id: MemberId,
        change: impl FnOnce(&mut Health) -> T,
    ) -> Option<T> {
        let pool = self.pools.get_mut(self.pool_keys.get(&id)?)?;
        let health = &mut pool.get_mut(id)?.health;
        let (usable_from, was_suspect) = (health.usable_from(), health.is_silence_suspect());
        let result = change(health);
        let is_suspect = health.is_silence_suspect();
        if health.usable_from() != usable_from {
            pool.reindex(id);
        }
        if is_suspect && !was_suspect {
            self.silence_suspects.insert(id);
        } else if was_suspect && !is_suspect {
            self.silence_suspects.remove(&id);
        }
        Some(result)
    }

    /// Records that a member has warmed up.
    pub(super) fn record_warmed_up(&mut self, id: MemberId) {
        if let Some(pool) = self.pool_keys.get(&id).and_then(|key| self.pools.get_mut(key)) {
            pool.record_warmed_up(id);
        }
    }

    /// Adds a member or replaces its state.
    pub(super) fn insert(&mut self, state: MemberState, is_warming_up: bool) {
        let (id, key) = (state.listed.id, self.pool_key(&state.listed));
        if self.pool_keys.get(&id).is_some_and(|previous| *previous != key) {
            self.remove(id);
        }
        self.pool_keys.insert(id, key);
        if state.listed.lifecycle == Lifecycle::Gone {
            self.gone.insert(id);
        } else {
            self.gone.remove(&id);
        }
        if state.health.is_silence_suspect() {
            self.silence_suspects.insert(id);
        } else {
            self.silence_suspects.remove(&id);
        }
        self.pools.entry(key).or_default().insert(state, is_warming_up);
    }

    /// Changes the listed state of a member that is in the table.
    pub(super) fn set_listed(&mut self, listed: Member, is_warming_up: bool) {
        if self.get(listed.id).is_some_and(|state| state.listed == listed) {
            return;
        }
        if let Some(state) = self.remove(listed.id) {
            self.insert(MemberState { listed, ..state }, is_warming_up);
        }
    }

    /// Marks a member that is in the table as gone.
    pub(super) fn mark_gone(&mut self, id: MemberId) {
        if let Some(listed) = self.get(id).map(|state| state.listed) {
            self.set_listed(Member { lifecycle: Lifecycle::Gone, ..listed }, false);
        }
    }

    /// Removes a member.
    pub(super) fn remove(&mut self, id: MemberId) -> Option<MemberState> {
        let key = self.pool_keys.remove(&id)?;
        self.gone.remove(&id);
        self.silence_suspects.remove(&id);
        let pool = self.pools.get_mut(&key)?;
        let state = pool.remove(id);
        if pool.len() == 0 {
            self.pools.remove(&key);
        }
        state
    }
}

impl Index<&MemberId> for MemberTable {
    type Output = MemberState;

    fn index(&self, id: &MemberId) -> &MemberState {
        self.get(*id).expect("the member is in the table")
    }
}
