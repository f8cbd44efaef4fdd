//! The member list: applying updates, and the roles of members.

use super::Control;
use super::member_state::MemberState;
use super::pool::PoolKey;
use crate::interface::{Lifecycle, ListKind, Member, MemberId};
use std::collections::BTreeSet;

impl Control {
    /// Applies a full member list, or the changed entries of one.
    pub(super) fn update_members(&mut self, kind: ListKind, list: Vec<Member>) {
        if kind != ListKind::Delta {
            self.mark_unlisted_members_gone(&list);
        }
        for mut member in list {
            // Weights that are not capacities must not affect the rendezvous hash.
            member.weight = if self.settings.weights_are_capacities { member.weight } else { 1.0 };
            self.update_member(kind, member);
        }
        self.remove_gone_members();
    }

    fn mark_unlisted_members_gone(&mut self, list: &[Member]) {
        let listed: BTreeSet<MemberId> = list.iter().map(|member| member.id).collect();
        let unlisted: Vec<MemberId> = self.members.ids().filter(|id| !listed.contains(id)).collect();
        for id in unlisted {
            self.members.mark_gone(id);
        }
    }

    fn update_member(&mut self, kind: ListKind, member: Member) {
        let is_gone = member.lifecycle == Lifecycle::Gone;
        match self.members.get(member.id) {
            Some(_) if is_gone => self.members.mark_gone(member.id),
            None if is_gone => {}
            Some(state) if state.listed.started == member.started => {
                self.members.set_listed(member, self.is_warming_up(&member));
            }
            _ => self.add_member(kind, member),
        }
    }

    /// Adds a new process. If a router that is starting knows a warming member only from its cached list,
    /// it may have sent to that member just before its own restart. It therefore sends nothing to the
    /// member for one overload window of the caches' slow start.
    fn add_member(&mut self, kind: ListKind, member: Member) {
        let is_warming_up = self.is_warming_up(&member);
        let may_have_been_used = kind == ListKind::Cached && is_warming_up;
        let window = self.settings.cache_slow_start.overload_window;
        let blocked_until = if may_have_been_used { self.now + window } else { f64::MIN };
        self.members.insert(MemberState::new(member, self.now, blocked_until), is_warming_up);
    }

    /// Removes members that left. A member that left while warming up is retained, so that its spent
    /// slow-start budget still counts if it returns to the list.
    fn remove_gone_members(&mut self) {
        let now = self.now;
        let longest = self.settings.cache_slow_start.duration.max(self.settings.parent_slow_start.duration);
        let is_new = |member: &Member| member.started.is_some_and(|started| now - started < longest);
        let is_old = |id: &MemberId| !is_new(&self.members[id].listed);
        let removed: Vec<MemberId> = self.members.gone().filter(is_old).collect();
        for id in removed {
            self.members.remove(id);
        }
    }

    /// Whether a member is a parent.
    pub(super) fn is_parent(&self, member: &Member) -> bool {
        self.settings.parent_kind == Some(member.kind)
    }

    /// Whether a member is the origin.
    pub(super) fn is_origin(&self, member: &Member) -> bool {
        self.settings.origin_kind == Some(member.kind)
    }

    /// Whether a member is a cache.
    pub(super) fn is_cache(&self, member: &Member) -> bool {
        !self.is_parent(member) && !self.is_origin(member)
    }

    /// Whether a member is a cache of this router's location.
    pub(super) fn is_local_cache(&self, member: &Member) -> bool {
        self.is_cache(member) && member.zone == self.settings.zone
    }

    /// The pool of the caches of this router's location.
    pub(super) fn local_caches(&self) -> PoolKey {
        PoolKey::Caches { zone: self.settings.zone }
    }

    /// The origin, if one is listed as ready.
    pub(super) fn origin(&self) -> Option<MemberId> {
        self.members.pool(PoolKey::Kind(self.settings.origin_kind?))?.first_ready()
    }
}
