//! The gate: the one way out for attempts, and admission by their time left.

use super::*;

impl Control {
    /// The only way out for attempts: every check of the rules is here. Tells whether it was sent.
    pub(super) fn emit(&mut self, id: RequestId, to: MemberId, source: Option<MemberId>, kind: Kind) -> bool {
        let now = self.now;
        // Drain and cold budgets, of member and source; look-ups count, as do fills that may hit.
        let ends: Vec<MemberId> = [Some(to), source.filter(|s| *s != to)].into_iter().flatten().collect();
        let room = ends.iter().all(|m| self.has_room(*m));
        let Some(o) = self.open.get(&id).filter(|_| room) else { return false };
        let class = &self.s.classes[o.r.class];
        // One at a time or, where allowed, two; attempt count, deadline, a stream that has begun.
        let most = if self.s.hedged_requests && class.idempotency == Idempotency::Idempotent { 2 } else { 1 };
        let spent = o.ended || o.streaming || o.out.len() >= most;
        if spent || o.sends >= self.s.max_attempts || o.r.deadline - now < LEAST_LEFT {
            return false;
        }
        // Effects: what may have run goes again only where repeats are dropped, and in time.
        if let Some((at, first)) = o.maybe_run {
            let same = match (self.peers.get(&first), self.peers.get(&to), class.group) {
                (_, _, Group::All) => true,
                (Some(a), Some(b), Group::Zone) => a.m.zone == b.m.zone,
                (Some(a), Some(b), Group::Cell) => a.m.cell == b.m.cell,
                _ => false,
            };
            let in_time = now < at + class.dedup_window - 1.0;
            if !(class.idempotency == Idempotency::Idempotent
                || class.idempotency == Idempotency::Keyed && same && in_time)
            {
                return false;
            }
        }
        let target = self.peers[&to].m;
        let local = self.is_cache(&target) && target.zone == self.s.zone;
        if !local && (!self.s.cache_bypass || self.is_cache(&target)) {
            return false;
        }
        let (work, cost) = (self.work(&o.r), self.means[o.r.class].0 * COLD_COST);
        let trial = ends.iter().any(|m| self.peers[m].trial);
        let (deadline, bound) = (o.r.deadline, self.purge_bound(&o.r));
        let max_age = bound.map_or(0.0, |b| {
            if class.freshness_lifetime > 0.0 { b.min(class.freshness_lifetime) } else { b }
        });
        // A crowded origin or link is spared: the parent gives what it holds, the rest is given up at once.
        let spared = kind == Kind::Fill && (self.origin_late(o) || self.leads(id) && self.link_full(o));
        let cached_only = spared && source.is_some_and(|s| self.is_parent(&self.peers[&s].m));
        let options = GetOptions {
            join: self.s.join_fills && kind != Kind::LookUp,
            cached_only,
            ..GetOptions::default()
        };
        let copy_rank = if class.write || !local { 0 } else { RANK };
        self.acts.push(if kind == Kind::LookUp && bound.is_none() || self.is_origin(&target) {
            Action::Lookup { request: id, member: to, deadline }
        } else {
            Action::Get {
                request: id,
                member: to,
                deadline,
                source: source.unwrap_or(to),
                copy_rank,
                max_age,
                options,
            }
        });
        let (load, crowd) = (self.load(&self.peers[&to]), self.crowd());
        for m in &ends {
            let Some(p) = self.peers.get_mut(m) else { continue };
            p.saved = p.saved.map(|saved| saved - cost);
            p.trial_out |= p.trial;
            p.held.add(1.0, now);
            p.asked = now;
            if *m == to {
                p.unanswered_since = if p.unanswered == 0 { now } else { p.unanswered_since };
                p.unanswered += 1;
            }
        }
        let linked = kind == Kind::Direct || kind == Kind::Fill && self.leads(id);
        self.link.add(f64::from(u8::from(linked)), now);
        let crowd = if kind == Kind::LookUp { 1.0 } else { crowd };
        let late_at = now + LATE * (work * load.max(crowd).max(1.0) + 2.0 * WAY);
        let sure = o.r.size.is_some() || self.objects.get(&o.r.object).is_some_and(|k| k.sending.is_some());
        let (no, member, sent, late) = (o.sends, to, now, false);
        let a = Attempt { no, member, source, kind, sent, load, work, sure, trial, linked, late_at, late };
        if let Some(o) = self.open.get_mut(&id) {
            o.out.push(a);
            o.sends += 1;
        }
        true
    }

    /// Whether an answer after that time comes too long after its aim to be worth its work. Large answers
    /// of little worth go first, as their aims leave the least room.
    pub(super) fn too_late(&self, o: &Open, takes: Millis) -> bool {
        let class = &self.s.classes[o.r.class];
        let aim =
            (class.latency_objective + class.latency_objective_stretch * self.work(&o.r)).min(class.deadline);
        let left = (aim - (self.now - o.arrived)).max(aim * 0.5);
        takes + WAY > left
    }

    /// Whether a source of that drag would answer too late.
    pub(super) fn too_slow(&self, o: &Open, drag: f64) -> bool {
        drag > 1.0 && self.too_late(o, (self.work(&o.r) + 2.0 * WAY) * drag - WAY)
    }
}
