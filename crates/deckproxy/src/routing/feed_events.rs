//! Events of the control feed: changes of the member list, and purges.

use crate::protocol::feed::{FeedEvent, MemberEntry, NumberedEvent};
use crate::routing::effect::Effect;
use crate::routing::router::Router;
use deckproxy_control::interface::{Event, Lifecycle, ListKind, Member, MemberId};
use std::collections::HashSet;

impl Router {
    /// Handles an event of the feed; one that was received before is ignored. Returns false, and does not apply the
    /// event, if events before it are missing and `accept_gap` is false.
    pub fn feed_event(&mut self, now: f64, numbered: NumberedEvent, accept_gap: bool) -> bool {
        let NumberedEvent { number, event } = numbered;
        if number <= self.last_event {
            return true;
        }
        if number != self.last_event + 1 && !accept_gap {
            return false;
        }
        self.last_event = number;
        self.apply_feed_event(now, event, ListKind::Full);
        true
    }

    /// Applies an event; `complete_list` is the kind that the decision module gets for a complete member list.
    pub(super) fn apply_feed_event(&mut self, now: f64, event: FeedEvent, complete_list: ListKind) {
        match event {
            FeedEvent::Members { complete: true, entries, unreadable } => {
                self.apply_member_list(now, complete_list, &entries, unreadable);
            }
            FeedEvent::Members { complete: false, entries, unreadable } => {
                self.apply_member_list(now, ListKind::Delta, &entries, unreadable);
            }
            FeedEvent::PurgeObject { object, at } => self.apply_purge(now, Some(object), 0, at),
            FeedEvent::PurgeGroup { group, at } => self.apply_purge(now, None, group, at),
            FeedEvent::Unknown => {}
            FeedEvent::Unreadable(error) => {
                self.effects.push_back(Effect::Log(format!("an event of the feed can't be read: {error}")));
            }
        }
    }

    fn apply_member_list(&mut self, now: f64, kind: ListKind, entries: &[MemberEntry], unreadable: usize) {
        let replaced: Vec<MemberId> =
            entries.iter().filter_map(|entry| self.members.replaced_by(entry)).collect();
        let (zones, kinds) = (&self.instance_settings.zones, &self.instance_settings.member_kinds);
        let members: Vec<Member> =
            entries.iter().filter_map(|entry| self.members.apply_entry(entry, zones, kinds)).collect();
        let dropped = unreadable + entries.len() - members.len();
        if dropped > 0 {
            let text = format!("{dropped} entries of the member list could not be read");
            self.effects.push_back(Effect::Log(text));
        }
        // At once: a new process may be started at the same address.
        let gone = self.gone_members(kind, &members);
        self.effects.extend(gone.iter().copied().chain(replaced).map(Effect::ProcessGone));
        let changed = members.iter().map(|member| member.id).chain(gone.iter().copied()).collect();
        self.notify_control(now, Event::MemberList(kind, members));
        // The decision module sends them nothing more, and attempts in flight need only the member's id to end.
        for member in gone {
            self.members.remove(member);
        }
        self.effects.push_back(Effect::MembersChanged(changed));
    }

    /// Members that a list reports as gone or, if it is complete, does not contain.
    fn gone_members(&self, kind: ListKind, listed: &[Member]) -> Vec<MemberId> {
        let gone = listed.iter().filter(|member| member.lifecycle == Lifecycle::Gone).map(|member| member.id);
        if kind == ListKind::Delta {
            return gone.collect();
        }
        let ids: HashSet<MemberId> = listed.iter().map(|member| member.id).collect();
        gone.chain(self.members.ids().filter(|id| !ids.contains(id))).collect()
    }

    fn apply_purge(&mut self, now: f64, object: Option<u64>, group: u32, at: f64) {
        let age = (now - at).max(0.0);
        self.effects.push_back(Effect::Purged { object, group, age });
        self.purged(now, object, group, age);
    }

    /// Handles a purge that the feed or another site announced, `age` ms old: of an object or, if `object` is `None`,
    /// of a group.
    pub fn purged(&mut self, now: f64, object: Option<u64>, group: u32, age: f64) {
        self.notify_control(now, Event::Purged { object, group, age });
    }

    /// Ejects exactly these members: the decision module sees them as draining and sends them no new requests. A
    /// member that is listed as draining or gone keeps that state: the decision module never sees a better one than
    /// the list's.
    pub fn set_ejected(&mut self, now: f64, members: &[MemberId]) {
        let changed = self.members.set_ejected(members);
        if !changed.is_empty() {
            self.notify_control(now, Event::MemberList(ListKind::Delta, changed));
        }
    }
}
