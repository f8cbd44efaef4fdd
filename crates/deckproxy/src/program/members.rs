//! Members: the pool of connections by member id, attempts on them, and what a broken connection means for those.

use crate::program::gateway::{Chore, Gateway, Held, LinkId, Need, Peer, context};
use crate::program::subsystem::Event;
use crate::protocol::limits;
use crate::routing::members::Endpoint;
use crate::routing::{AttemptKey, ConnectionFailure};
use crate::transport::clock;
use crate::transport::member::{Link, Message, Withdrawn};
use crate::transport::stream::{Progress, Stream, is_exhausted};
use calloop::Readiness;
use deckproxy_control::interface::MemberId;
use deckproxy_flow::meter::Outcome;

impl Gateway {
    /// Sends an attempt or a probe to a member.
    pub(super) fn send(
        &mut self,
        now: f64,
        (key, member, endpoint): (AttemptKey, MemberId, Endpoint),
        name: &str,
        message: Message,
    ) {
        let Some(id) = self.link_for(now, member, endpoint, name) else {
            self.attempt_ended(now, key, Outcome::Cut);
            return self.router.connection_failed(now, key, ConnectionFailure::NotSent);
        };
        if let Some(held) = self.links.get_mut(&id) {
            self.carried.insert(key, id);
            let unsent = match message {
                Message::Ask { parts, unsent } => {
                    held.link.ask(key, name.into(), parts, now);
                    unsent
                }
                Message::Probe => {
                    held.link.probe(key, name.into(), now);
                    self.router.conf().limits.unsent
                }
            };
            self.flush_link(now, id);
            if self.links.get(&id).is_some_and(|h| !h.link.is_written(key)) {
                self.chores.schedule(now + unsent, Chore::Unsent(key));
            }
        }
    }

    /// An attempt that could not begin to be written for so long never will be: what was decided with it, on
    /// drains, purges and cold members, holds no more.
    pub(super) fn take_back(&mut self, now: f64, key: AttemptKey) {
        let held = self.carried.get(&key).and_then(|id| self.links.get_mut(id));
        if held.is_some_and(|h| h.link.take_back(key)) {
            self.carried.remove(&key);
            self.attempt_ended(now, key, Outcome::Cut);
            self.router.connection_failed(now, key, ConnectionFailure::NotSent);
        }
    }

    /// The subsystems hear that an attempt ended without an answer.
    fn attempt_ended(&mut self, now: f64, key: AttemptKey, outcome: Outcome) {
        self.parts.tell(&context(now, &self.router), &Event::AttemptEnded { key, outcome });
    }

    /// A connection that can take an attempt of that name. Each attempt has one to itself while descriptors
    /// allow: an answer that can't be read, a silence or a reset ends all that is out on its connection. Idle
    /// ones are used again, the last used first, so that those not needed grow old and are closed.
    fn link_for(&mut self, now: f64, member: MemberId, endpoint: Endpoint, name: &str) -> Option<LinkId> {
        let (idle, streams) = (self.router.conf().limits.idle, self.router.conf().limits.streams);
        let (mut free, mut connecting) = (Vec::new(), 0);
        for id in self.pools.get(&member).cloned().unwrap_or_default() {
            let Some(held) = self.links.get_mut(&id) else { continue };
            // A new process, or another address: the old connections carry nothing new. Nor does one that the
            // member is about to close for being idle.
            let old = idle > 0.0 && now - held.link.idle_since() > idle - limits::IDLE_MARGIN;
            held.link.retired |= held.endpoint != endpoint || old && held.link.load() == 0;
            connecting += usize::from(held.connecting);
            if held.link.load() > 0 {
                continue;
            } else if held.link.retired {
                self.drop_link(id);
            } else {
                free.push((held.link.idle_since(), id));
            }
        }
        free.sort_by(|a, b| b.0.total_cmp(&a.0));
        for (_, id) in free {
            let Some(held) = self.links.get_mut(&id) else { continue };
            if held.link.is_stale(now) {
                self.drop_link(id);
            } else if !held.link.stream.input.is_empty() {
                // What came unasked is looked at in its turn; behind half of a message no answer could be read.
                Self::queue(&mut self.ready, Peer::Link(id));
            } else if held.link.takes(name) {
                return Some(id);
            }
        }
        let most = self.bounds.links;
        if self.links.len() < most - most / limits::SHARE_FROM
            && connecting < limits::CONNECTING
            && let Some(id) = self.connect(now, member, endpoint)
        {
            return Some(id);
        }
        // Descriptors are short, or the member takes no more connections for now: attempts share connections, the one with least out first.
        let pool = self.pools.get(&member).into_iter().flatten();
        let shared = pool.filter_map(|id| self.links.get(id).map(|h| (h.link.load(), *id, &h.link)));
        // What rests behind half of an answer that nobody waits for is no connection to share either.
        let reads = |load: usize, link: &Link| load > 0 || link.stream.input.is_empty();
        let shared = shared.filter(|(load, _, link)| {
            *load < streams
                && reads(*load, link)
                && link.stream.queued() < limits::MEMBER_OUTGOING
                && link.takes(name)
        });
        let least = shared.map(|(load, id, _)| (load, id)).min();
        least.map(|(_, id)| id).or_else(|| self.connect(now, member, endpoint))
    }

    pub(super) fn connect(&mut self, now: f64, member: MemberId, endpoint: Endpoint) -> Option<LinkId> {
        if self.links.len() >= self.bounds.links {
            let idle = self.links.iter().filter(|(_, h)| h.link.load() == 0);
            let oldest = idle.min_by(|a, b| a.1.link.idle_since().total_cmp(&b.1.link.idle_since()));
            let oldest = oldest.map(|(id, _)| *id);
            self.drop_link(oldest?);
        }
        self.next += 1;
        let id = self.next;
        let ready = move |g: &mut Gateway, news| g.link_news(id, news);
        let mut made = Stream::connect(&self.handle, &self.from_members, endpoint.address, ready);
        if made.as_ref().is_err_and(is_exhausted) && self.make_room(now, Need::Own) {
            // The lack is ours; an idle client's descriptor is worth less than a request.
            made = Stream::connect(&self.handle, &self.from_members, endpoint.address, ready);
        }
        let stream = match made {
            Ok(stream) => stream,
            Err(e) => {
                self.line(&format!("member {}: {e}", self.router.member_name(member)));
                return None;
            }
        };
        self.links.insert(id, Held { link: Link::new(stream, now), member, endpoint, connecting: true });
        self.pools.entry(member).or_default().push(id);
        self.chores.schedule(now + self.router.conf().limits.connect, Chore::Connect(id));
        Some(id)
    }

    pub(super) fn link_news(&mut self, id: LinkId, news: Readiness) {
        if let Some(held) = self.links.get_mut(&id) {
            held.link.stream.note(news);
            Self::queue(&mut self.ready, Peer::Link(id));
        }
    }

    pub(super) fn serve_link(&mut self, now: f64, id: LinkId) {
        let Some(held) = self.links.get_mut(&id) else { return };
        if held.connecting {
            match held.link.stream.is_connecting() {
                Ok(still) => held.connecting = still,
                Err(e) => return self.end_link(now, id, &format!("not connected: {e}")),
            }
        }
        self.hear_owners(now, id);
        self.flush_link(now, id);
        // At the bound nothing more is read: what came would only wait here for its clients.
        let full = self.from_clients.output.get() > self.bounds.unread;
        let Some(held) = self.links.get_mut(&id) else { return };
        let readable = held.link.stream.is_readable() && !full;
        let progress = if readable { held.link.read(now) } else { Progress::Drained };
        loop {
            let Some(held) = self.links.get_mut(&id) else { return };
            let before = held.link.stream.input.len();
            let reply = held.link.take_reply(now);
            let bytes = before - held.link.stream.input.len();
            if self.parts.is_on() {
                let member = self.router.member_name(held.member);
                let event = match &reply {
                    Ok(Some((key, reply))) => {
                        Event::MemberAnswered { member, key: *key, word: reply.word, bytes }
                    }
                    _ => Event::MemberHeard { member, bytes },
                };
                self.parts.tell(&context(now, &self.router), &event);
            }
            match reply {
                Ok(None) => break,
                Ok(Some((Some(key), reply))) => {
                    self.carried.remove(&key);
                    self.router.reply(clock::now(), key, reply);
                }
                Ok(Some((None, _))) => {}
                Err(why) => return self.end_link(now, id, why),
            }
            self.pump(now);
        }
        match progress {
            Progress::More => Self::queue(&mut self.ready, Peer::Link(id)),
            Progress::Ended => self.end_link(now, id, "closed"),
            Progress::Drained => {}
        }
        if self.links.get(&id).is_some_and(|h| h.link.retired && h.link.load() == 0) {
            self.drop_link(id);
        }
    }

    /// Hears the clients whose attempts wait on a connection before they are written: it may have come up, or taken
    /// bytes again, after they left.
    fn hear_owners(&mut self, now: f64, id: LinkId) {
        let waiting = self.links.get(&id).map(|h| h.link.unwritten()).unwrap_or_default();
        for client in waiting.iter().filter_map(|key| self.router.client_of(*key)).collect::<Vec<_>>() {
            self.hear_before(now, client);
        }
        if !waiting.is_empty() {
            self.pump(now);
        }
    }

    pub(super) fn flush_link(&mut self, now: f64, id: LinkId) {
        let Some(held) = self.links.get_mut(&id) else { return };
        let (parts, cx) = (&mut self.parts, context(now, &self.router));
        let member = cx.router.member_name(held.member);
        let whole = |written| parts.tell(&cx, &Event::MemberWrote { member, written });
        if let Err(e) = held.link.flush(now, whole) {
            self.end_link(now, id, &format!("broke: {e}"));
        }
    }

    pub(super) fn withdraw(&mut self, now: f64, key: AttemptKey) {
        let patience = self.router.conf().limits.connect;
        let id = self.carried.remove(&key);
        // One that no connection carries was held back before it went out.
        let Some(id) = id else { return self.router.attempt_cancelled(now, key, false) };
        let held = self.links.get_mut(&id);
        let sent = held.and_then(|h| h.link.withdraw(key, now, patience)).unwrap_or(Withdrawn::Sent);
        if sent == Withdrawn::Cut && self.links.get(&id).is_some_and(|h| h.link.load() == 0) {
            // The rest is never written: what did not come whole never runs.
            self.drop_link(id);
        }
        self.flush_link(now, id);
        let runs = sent == Withdrawn::Sent || sent == Withdrawn::Cut && self.links.contains_key(&id);
        self.attempt_ended(now, key, Outcome::Cut);
        self.router.attempt_cancelled(now, key, runs);
    }

    /// A connection has ended: what was out on it ends as it was sent.
    pub(super) fn end_link(&mut self, now: f64, id: LinkId, why: &str) {
        let Some(held) = self.links.get_mut(&id) else { return };
        let lost = held.link.lost();
        let name = self.router.member_name(held.member).to_string();
        if !lost.is_empty() {
            self.line(&format!("member {name}: connection {why}, {} attempts out", lost.len()));
        }
        self.drop_link(id);
        for (key, written) in lost {
            self.carried.remove(&key);
            self.attempt_ended(now, key, if written { Outcome::Failed } else { Outcome::Cut });
            self.router.connection_failed(
                now,
                key,
                if written { ConnectionFailure::Reset } else { ConnectionFailure::NotSent },
            );
        }
    }

    /// Closes a connection on which nothing is out.
    pub(super) fn drop_link(&mut self, id: LinkId) {
        if let Some(held) = self.links.remove(&id) {
            if let Some(pool) = self.pools.get_mut(&held.member) {
                pool.retain(|other| *other != id);
                if pool.is_empty() {
                    self.pools.remove(&held.member);
                }
            }
            if self.parts.is_on() {
                // What went and came in part.
                let (cx, member) =
                    (context(clock::now(), &self.router), self.router.member_name(held.member));
                let cut = held.link.stream.cut();
                cut.into_iter()
                    .for_each(|written| self.parts.tell(&cx, &Event::MemberWrote { member, written }));
                let bytes = held.link.stream.input.len();
                self.parts.tell(&cx, &Event::MemberHeard { member, bytes });
            }
            held.link.stream.close(&self.handle);
        }
    }

    /// Closes a member's idle connections; the others take nothing new, and close once nothing is out on them.
    pub(super) fn close_idle(&mut self, member: MemberId) {
        for id in self.pools.get(&member).cloned().unwrap_or_default() {
            let Some(held) = self.links.get_mut(&id) else { continue };
            held.link.retired = true;
            if held.link.load() == 0 {
                self.drop_link(id);
            }
        }
    }
}
