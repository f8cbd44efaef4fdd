//! Events of the control feed: changes of the list of members, and purges.

use crate::protocol::feed::{FeedEvent, MemberEntry, NumberedEvent};
use crate::routing::effect::Effect;
use crate::routing::router::Router;
use deckproxy_control::interface::{Event, Lifecycle, ListKind, Member, MemberId};

impl Router {
    /// The feed sent an event. One that came before is passed over. Returns whether it followed the last one; if some
    /// are missing it is not taken, unless `gaps` says that they can't be had.
    pub fn feed_event(&mut self, now: f64, numbered: NumberedEvent, gaps: bool) -> bool {
        let NumberedEvent { number, event } = numbered;
        if number <= self.last_event {
            return true;
        }
        if number != self.last_event + 1 && !gaps {
            return false;
        }
        self.last_event = number;
        self.take_feed_event(now, event, ListKind::Full);
        true
    }

    /// Carries out an event; `complete_list` is how a complete list in it is to be read.
    pub(super) fn take_feed_event(&mut self, now: f64, event: FeedEvent, complete_list: ListKind) {
        match event {
            FeedEvent::Members { complete: true, entries, unreadable } => {
                self.take_members(now, complete_list, &entries, unreadable);
            }
            FeedEvent::Members { complete: false, entries, unreadable } => {
                self.take_members(now, ListKind::Delta, &entries, unreadable);
            }
            FeedEvent::PurgeObject { object, at } => self.take_purge(now, Some(object), 0, at),
            FeedEvent::PurgeGroup { group, at } => self.take_purge(now, None, group, at),
            FeedEvent::Unknown => {}
            FeedEvent::Unreadable(why) => {
                self.effects.push_back(Effect::Log(format!("an event of the feed can't be read: {why}")));
            }
        }
    }

    fn take_members(&mut self, now: f64, kind: ListKind, entries: &[MemberEntry], unreadable: usize) {
        let (zones, kinds) = (&self.instance_settings.zones, &self.instance_settings.member_kinds);
        let members: Vec<Member> =
            entries.iter().filter_map(|entry| self.members.take(entry, zones, kinds)).collect();
        let dropped = unreadable + entries.len() - members.len();
        if dropped > 0 {
            let text = format!("{dropped} entries of the member list could not be read");
            self.effects.push_back(Effect::Log(text));
        }
        // Idle connections to one that has left are closed at once; the address may get a new member.
        let gone = self.gone_members(kind, &members);
        self.effects.extend(gone.iter().copied().map(Effect::CloseIdle));
        self.notify_control(now, Event::MemberList(kind, members));
        // The module sends them nothing more; what is in flight ends by its number alone.
        for member in gone {
            self.members.forget(member);
        }
        self.effects.push_back(Effect::MembersChanged);
    }

    /// Members that a list has as gone or, where it is complete, does not have.
    fn gone_members(&self, kind: ListKind, listed: &[Member]) -> Vec<MemberId> {
        let left = listed.iter().filter(|member| member.lifecycle == Lifecycle::Gone).map(|member| member.id);
        let is_complete = kind != ListKind::Delta;
        let is_unlisted = |id: &MemberId| is_complete && !listed.iter().any(|member| member.id == *id);
        left.chain(self.members.ids().filter(is_unlisted)).collect()
    }

    fn take_purge(&mut self, now: f64, object: Option<u64>, group: u32, at: f64) {
        let age = (now - at).max(0.0);
        self.effects.push_back(Effect::Purged { object, group, age });
        self.purged(now, object, group, age);
    }

    /// Something was purged `age` ms ago, as another site or the feed said: an object or, where there is none, a group.
    pub fn purged(&mut self, now: f64, object: Option<u64>, group: u32, age: f64) {
        self.notify_control(now, Event::Purged { object, group, age });
    }

    /// Ejects these members and no others: the decision module gets them as draining, and sends them nothing new. One
    /// that the list itself has as draining or gone stays so: the module never gets a better state than the list's.
    pub fn set_ejected(&mut self, now: f64, members: &[MemberId]) {
        let changed = self.members.set_ejected(members);
        if !changed.is_empty() {
            self.notify_control(now, Event::MemberList(ListKind::Delta, changed));
        }
    }
}
