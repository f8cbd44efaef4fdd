//! Request collapsing: one leader per (object, part) fills, the others wait for it.

use super::*;

pub(super) type Key = (u64, u32);

pub(super) struct Collapse {
    pub(super) leader: RequestId,
    pub(super) cache: MemberId,
    pub(super) waiters: VecDeque<RequestId>,
}

impl Control {
    pub(super) fn leads(&self, id: RequestId) -> bool {
        let key = self.open.get(&id).map(|o| (o.r.object, o.r.part));
        key.and_then(|k| self.table.get(&k)).is_some_and(|e| e.leader == id)
    }

    /// After a miss at a cache: lead, wait, or join at once.
    pub(super) fn missed(&mut self, id: RequestId, cache: MemberId) {
        let Some(o) = self.open.get(&id) else { return };
        // Too little time to wait for the next sweep counts like a large object.
        let alone = self.s.join_fills && self.work(&o.r) >= LARGE || self.last_call(o);
        let new = Collapse { leader: id, cache, waiters: VecDeque::new() };
        let entry = self.table.entry((o.r.object, o.r.part)).or_insert(new);
        if entry.leader == id || alone || entry.waiters.len() >= WAITERS_MOST {
            let cache = entry.cache;
            return self.fill(id, cache);
        }
        entry.waiters.push_back(id);
        if let Some(o) = self.open.get_mut(&id) {
            o.waiting = Some(self.now);
        }
    }

    /// Only one attempt's time is left.
    pub(super) fn last_call(&self, o: &Open) -> bool {
        o.r.deadline - self.now <= LATE * (self.work(&o.r) + WAY) + SWEEP
    }

    /// A fill at a cache, from the first source that will do; else at the next cache; else past them.
    pub(super) fn fill(&mut self, id: RequestId, cache: MemberId) {
        let Some(o) = self.open.get(&id) else { return };
        let (r, bad) = (o.r, o.bad.clone());
        let load = self.peers.get(&cache).map_or(0.0, |p| self.load(p));
        if o.sends == 1 && self.too_late(o, self.work(&r) * load.max(1.0)) {
            return self.give_up(id);
        }
        // On a crowded link nothing comes from the origin, and where notes do not tell that, nothing at all.
        let full = self.leads(id) && self.link_full(o);
        if full && self.origin_pace.due == 0.0 {
            return self.give_up(id);
        }
        let mut sources = self.brisk(id);
        let others = self.caches(&r).into_iter().filter(|c| *c != cache);
        sources.retain(|s| !full || self.origin() != Some(*s));
        for at in std::iter::once(cache).chain(others.collect::<Vec<_>>()).filter(|c| !bad.contains(c)) {
            if sources.iter().any(|s| !bad.contains(s) && self.emit(id, at, Some(*s), Kind::Fill)) {
                if let Some(e) = self.table.get_mut(&(r.object, r.part)).filter(|e| e.leader == id) {
                    e.cache = at;
                }
                return;
            }
        }
        self.direct(id);
    }

    /// A request stops waiting or leading. If it led, its waiters go to the filled cache, or one leads.
    pub(super) fn pass_on(&mut self, id: RequestId, key: Key, filled: Option<MemberId>, bad: Vec<MemberId>) {
        let Some(entry) = self.table.get_mut(&key) else { return };
        entry.waiters.retain(|w| *w != id);
        if entry.leader != id {
            return;
        }
        if let Some(cache) = filled {
            for w in self.table.remove(&key).map(|e| e.waiters).unwrap_or_default() {
                if let Some(o) = self.open.get_mut(&w) {
                    o.waiting = None;
                }
                if !self.emit(w, cache, None, Kind::LookUp) {
                    self.route(w);
                }
            }
            return;
        }
        let Some(next) = entry.waiters.pop_front() else {
            self.table.remove(&key);
            return;
        };
        entry.leader = next;
        let cache = entry.cache;
        if let Some(o) = self.open.get_mut(&next) {
            o.waiting = None;
            o.bad.extend(bad);
        }
        self.fill(next, cache);
    }
}
