//! Dispatch: a request's way past caches, parents and the origin, and its final answer.

use super::*;

impl Control {
    /// The sources with room whose fills were not seen to come too late, in the hash's order. Where all were,
    /// those not asked for a while (refusing all tells of no end to that), as many routers share it.
    pub(super) fn brisk(&mut self, id: RequestId) -> Vec<MemberId> {
        let Some(r) = self.open.get(&id).map(|o| o.r) else { return Vec::new() };
        let mut all = self.sources(&r);
        all.retain(|s| self.has_room(*s));
        let Some(o) = self.open.get(&id) else { return all };
        let slow = |p: &Peer| self.too_slow(o, p.drag(self.now));
        let (mut slow, good): (Vec<_>, Vec<_>) = all.into_iter().partition(|s| slow(&self.peers[s]));
        let due = (self.work(&r) + 2.0 * WAY) / AGAIN;
        let rest = |p: &Peer| (due * self.sharers(&p.m) / self.size(&p.m).unwrap_or(1.0)).max(REWATCH);
        slow.retain(|s| self.now - self.peers[s].asked > rest(&self.peers[s]));
        if good.is_empty() { slow } else { good }
    }

    pub(super) fn request(&mut self, r: Request) {
        if r.class >= self.means.len() {
            self.acts.push(Action::Fail { request: r.id });
            return;
        }
        self.retries = (self.retries + RETRY_EARN).min(RETRY_MOST);
        let (now, work) = (self.now, self.work(&r));
        if r.size.is_some() {
            self.learn_mean(r.class, work);
        }
        self.asked = (faded(self.asked, now) + work, now);
        if self.objects.len() < OBJECTS_MOST || self.objects.contains_key(&r.object) {
            let known = self.objects.entry(r.object).or_default();
            known.asked = (faded(known.asked, now) + work, now);
        }
        self.open.insert(r.id, Open { r, arrived: now, ..Open::default() });
        self.route(r.id);
    }

    /// Sends a request on its way: a look-up at the first cache that will do, else past the caches.
    pub(super) fn route(&mut self, id: RequestId) {
        let Some(o) = self.open.get(&id) else { return };
        if self.s.classes[o.r.class].write {
            return self.direct(id);
        }
        // Where a fill of ours runs, the object is looked up there.
        let filling = self.table.get(&(o.r.object, o.r.part)).map(|e| e.cache);
        let order: Vec<MemberId> = filling.into_iter().chain(self.caches(&o.r)).collect();
        // Even the best cache too crowded: refused before it is sent anywhere, unless it tells of spare room:
        // what it holds are fills that wait then, and it takes look-ups, but no more of these.
        let usable = |c: &MemberId| self.peers.get(c).filter(|p| p.usable(self.now));
        let spare = |p: &&Peer| p.busy.is_some_and(|(x, at)| x < BUSY && self.now - at < TOLD_SPAN);
        let best = order.iter().find_map(usable).filter(|p| !spare(p));
        let load = best.map_or(0.0, |p| self.load(p));
        if o.sends == 0 && self.too_late(o, self.work(&o.r) * load.max(1.0)) {
            return self.give_up(id);
        }
        let bad = o.bad.clone();
        for c in order.into_iter().filter(|c| !bad.contains(c)) {
            // A cold cache is empty, and a look-up weighs on it as much as its fill: that comes at once.
            if self.peers.get(&c).is_some_and(|p| self.is_cold(&p.m)) && self.has_room(c) {
                return self.missed(id, c);
            } else if self.emit(id, c, None, Kind::LookUp) {
                return;
            }
        }
        self.direct(id);
    }

    /// No cache will do: straight to the parents, in their order, then to the origin. A write runs at the
    /// origin: straight, else through a parent or, where neither is open, a cache.
    pub(super) fn direct(&mut self, id: RequestId) {
        let Some(o) = self.open.get(&id) else { return };
        let (r, bad, origin, write) = (o.r, o.bad.clone(), self.origin(), self.s.classes[o.r.class].write);
        let closed = if write { origin.is_none() } else { self.link_full(o) };
        let mut ways = if write { self.sources(&r) } else { self.brisk(id) };
        if write {
            ways.rotate_right(usize::from(origin.is_some()));
            ways.extend(self.caches(&r));
        }
        let open = |w: &MemberId| write || !bad.contains(w);
        if closed || !ways.into_iter().filter(open).any(|w| self.emit(id, w, origin, Kind::Direct)) {
            self.give_up(id);
        }
    }

    /// The final answer when nothing more can be done: at once, as a refusal where that is harmless.
    pub(super) fn give_up(&mut self, id: RequestId) {
        let Some(o) = self.open.get_mut(&id) else { return };
        if !o.ended {
            let class = &self.s.classes[o.r.class];
            let harmless = match class.idempotency {
                Idempotency::Idempotent => true,
                Idempotency::Keyed => o.maybe_run.is_none() || class.group == Group::All,
                Idempotency::NotIdempotent => o.maybe_run.is_none(),
            };
            o.ended = true;
            let retry_after = if self.s.retry_after {
                self.s.max_retry_after.min(COME_BACK * class.latency_objective)
            } else {
                0.0
            };
            self.acts.push(match harmless {
                true => Action::Reject { request: id, retry_after },
                false => Action::Fail { request: id },
            });
        }
        self.close(id);
    }

    /// Forgets an ended request that has nothing out.
    pub(super) fn close(&mut self, id: RequestId) {
        if let Some(o) = self.open.get(&id).filter(|o| o.out.is_empty()) {
            let (key, bad) = ((o.r.object, o.r.part), o.bad.clone());
            self.open.remove(&id);
            self.pass_on(id, key, None, bad);
        }
    }
}
