//! The member list: applying updates, and the roles and pools of members.

use super::Control;
use super::member_state::MemberState;
use crate::interface::{Lifecycle, ListKind, Member, MemberId};

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
        for state in self.members.values_mut() {
            if !list.iter().any(|member| member.id == state.listed.id) {
                state.listed.lifecycle = Lifecycle::Gone;
            }
        }
    }

    fn update_member(&mut self, kind: ListKind, member: Member) {
        let is_gone = member.lifecycle == Lifecycle::Gone;
        match self.members.get_mut(&member.id) {
            Some(state) if is_gone => state.listed.lifecycle = Lifecycle::Gone,
            None if is_gone => {}
            Some(state) if state.listed.started == member.started => state.listed = member,
            _ => self.add_member(kind, member),
        }
    }

    /// Adds a new process. If a router that is starting knows a warming member only from its cached list,
    /// it may have sent to that member just before its own restart. It therefore sends nothing to the
    /// member for one overload window of the caches' slow start.
    fn add_member(&mut self, kind: ListKind, member: Member) {
        let may_have_been_used = kind == ListKind::Cached && self.is_warming_up(&member);
        let window = self.settings.cache_slow_start.overload_window;
        let blocked_until = if may_have_been_used { self.now + window } else { f64::MIN };
        self.members.insert(member.id, MemberState::new(member, self.now, blocked_until));
    }

    /// Removes members that left. A member that left while warming up is retained, so that its spent
    /// slow-start budget still counts if it returns to the list.
    fn remove_gone_members(&mut self) {
        let now = self.now;
        let longest = self.settings.cache_slow_start.duration.max(self.settings.parent_slow_start.duration);
        let is_new = |member: &Member| member.started.is_some_and(|started| now - started < longest);
        self.members.retain(|_, state| state.listed.lifecycle != Lifecycle::Gone || is_new(&state.listed));
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

    /// The other ready members that can replace a member: those of its location for a cache, else those
    /// of its kind.
    pub(super) fn pool_of(&self, member: &Member) -> impl Iterator<Item = &MemberState> {
        let (id, kind, zone, is_cache) = (member.id, member.kind, member.zone, self.is_cache(member));
        let is_substitute = move |other: &Member| {
            if is_cache { self.is_cache(other) && other.zone == zone } else { other.kind == kind }
        };
        let ready = self.members.values().filter(|state| state.listed.lifecycle == Lifecycle::Ready);
        ready.filter(move |state| state.listed.id != id && is_substitute(&state.listed))
    }

    /// The origin, if one is listed as ready.
    pub(super) fn origin(&self) -> Option<MemberId> {
        let mut ready = self.members.values().filter(|state| state.listed.lifecycle == Lifecycle::Ready);
        ready.find(|state| self.is_origin(&state.listed)).map(|state| state.listed.id)
    }
}
