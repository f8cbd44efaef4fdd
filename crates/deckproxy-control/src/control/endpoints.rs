//! Members: list, drain, cold, health.

use super::*;

#[derive(Default)]
pub(super) struct Peer {
    pub(super) m: Member,
    /// While it is cold: our part of its budget not spent, in ms of sending (none at first), and as of when.
    pub(super) saved: Option<f64>,
    pub(super) saved_at: Millis,
    /// Attempts out that draw on its link, and fills out that name it as the source.
    pub(super) held: Shared,
    /// Its last report of how busy it is, and when that came.
    pub(super) busy: Option<(f64, Millis)>,
    /// Its pace, as slowdowns seen of late.
    pub(super) seen: Pace,
    /// Failures in a row, and when the last one was.
    pub(super) fails: u32,
    pub(super) failed_at: Millis,
    /// Sends since its last sign of life, and when the first of them went.
    pub(super) unanswered: u32,
    pub(super) unanswered_since: Millis,
    /// When it was last sent to, or named as a source.
    pub(super) asked: Millis,
    /// Left out until then, and for how long; afterwards on trial, a send at a time, until a good answer.
    pub(super) out_until: Millis,
    pub(super) out_span: Millis,
    pub(super) trial: bool,
    pub(super) trial_out: bool,
}

impl Peer {
    pub(super) fn new(m: Member, known: Millis, from: Millis) -> Self {
        Peer { m, saved_at: known, out_until: from, ..Peer::default() }
    }

    pub(super) fn usable(&self, now: Millis) -> bool {
        self.m.lifecycle == Lifecycle::Ready && now >= self.out_until && !(self.trial && self.trial_out)
    }

    /// Takes one answer's slowdown against what it should take.
    pub(super) fn see(&mut self, slowdown: f64, now: Millis) {
        self.seen.take(slowdown, 1.0, SEEN_SPAN, now);
    }

    /// The slowdown to be expected, by what was seen; without news it turns to none.
    pub(super) fn drag(&self, now: Millis) -> f64 {
        self.seen.drag(1.0, SEEN_SPAN, now)
    }

    /// Whether a router whose part of a member's size is that may send to it, if it is cold. What the rule
    /// allows on the slowest ramp comes evenly; a turn is up once that holds the dearest send, and is over a
    /// window later: lulls save nothing up. By the golden ratio turns of any run of positions come singly.
    pub(super) fn cold_room(
        &mut self,
        place: u32,
        rule: &SlowStart,
        part: f64,
        dearest: f64,
        now: Millis,
    ) -> bool {
        let age = (now - self.m.started.unwrap_or(now)).max(0.0);
        let capacity = rule.initial_share + (1.0 - rule.initial_share) * age / rule.duration;
        let pace = COLD_SHARE * rule.overload_multiple * capacity * part;
        let shift = mix(u64::from(self.m.id)) as f64 / u64::MAX as f64;
        let first = dearest * (f64::from(place) * GOLDEN + shift).fract();
        let saved = self.saved.unwrap_or(first) + pace * (now - self.saved_at).max(0.0);
        let lapsed = ((saved - pace * rule.overload_window) / dearest).floor().max(0.0) * dearest;
        (self.saved, self.saved_at) = (Some(saved - lapsed), now.max(self.saved_at));
        saved - lapsed >= dearest
    }
}

impl Control {
    pub(super) fn members(&mut self, kind: ListKind, list: Vec<Member>) {
        if kind != ListKind::Delta {
            let left = self.peers.values_mut().filter(|p| !list.iter().any(|m| m.id == p.m.id));
            left.for_each(|p| p.m.lifecycle = Lifecycle::Gone);
        }
        for mut m in list {
            // What is no size must not weigh in the hash.
            m.weight = if self.s.weights_are_sizes { m.weight } else { 1.0 };
            match self.peers.get_mut(&m.id) {
                Some(p) if m.lifecycle == Lifecycle::Gone => p.m.lifecycle = Lifecycle::Gone,
                None if m.lifecycle == Lifecycle::Gone => {}
                Some(p) if p.m.started == m.started => p.m = m,
                // A new process starts anew. One that a starting router knows may have been sent to before.
                _ => {
                    let known = kind == ListKind::Cached && self.is_cold(&m);
                    let from =
                        if known { self.now + self.s.cache_slow_start.overload_window } else { f64::MIN };
                    self.peers.insert(m.id, Peer::new(m, self.now, from));
                }
            }
        }
        // One that left while cold is kept: should the list take it back, its budget is spent as before.
        let (now, ramp) = (self.now, self.s.cache_slow_start.duration.max(self.s.parent_slow_start.duration));
        let cold = |p: &Peer| p.m.started.is_some_and(|s| now - s < ramp);
        self.peers.retain(|_, p| p.m.lifecycle != Lifecycle::Gone || cold(p));
    }

    pub(super) fn is_parent(&self, m: &Member) -> bool {
        self.s.parent_kind == Some(m.kind)
    }

    pub(super) fn is_origin(&self, m: &Member) -> bool {
        self.s.origin_kind == Some(m.kind)
    }

    pub(super) fn cold_rule(&self, m: &Member) -> SlowStart {
        if self.is_cache(m) { self.s.cache_slow_start } else { self.s.parent_slow_start }
    }

    pub(super) fn is_cold(&self, m: &Member) -> bool {
        !self.is_origin(m) && m.started.is_some_and(|at| self.now - at < self.cold_rule(m).duration)
    }

    pub(super) fn is_cache(&self, m: &Member) -> bool {
        !self.is_parent(m) && !self.is_origin(m)
    }

    /// The others that stand in for a member.
    pub(super) fn pool(&self, m: &Member) -> impl Iterator<Item = &Peer> {
        let (id, kind, zone, cache) = (m.id, m.kind, m.zone, self.is_cache(m));
        let like = move |p: &Member| if cache { self.is_cache(p) && p.zone == zone } else { p.kind == kind };
        let ready = self.peers.values().filter(|p| p.m.lifecycle == Lifecycle::Ready);
        ready.filter(move |p| p.m.id != id && like(&p.m))
    }

    /// Leaves a member out for a while. Silence and constant failure are certain enough for a whole pool.
    pub(super) fn leave_out(&mut self, id: MemberId, why: &str) {
        let Some(p) = self.peers.get_mut(&id) else { return };
        if self.now < p.out_until {
            return;
        }
        p.out_span = (p.out_span * 2.0).clamp(OUT_FIRST, OUT_MOST);
        p.out_until = self.now + p.out_span;
        (p.trial, p.trial_out, p.fails, p.unanswered) = (true, false, 0, 0);
        if self.logs < LOGS {
            self.logs += 1;
            let (Member { kind, zone, .. }, span) = (p.m, p.out_span);
            let text = format!("member {id} (kind {kind}, zone {zone}) out for {span:.0} ms: {why}");
            self.acts.push(Action::Log(text));
        }
    }

    /// Books a sign of health or trouble that the member itself caused.
    pub(super) fn judge(&mut self, id: MemberId, good: bool) {
        let only = self.origin() == Some(id);
        let Some(p) = self.peers.get_mut(&id) else { return };
        // What fails at one instant broke with one connection: that is one failure.
        let again = !good && p.failed_at == self.now && p.fails > 0;
        p.fails = if good { 0 } else { p.fails + u32::from(!again) };
        p.failed_at = self.now;
        if good && p.trial {
            (p.trial, p.out_span) = (false, p.out_span * 0.25);
        } else if !only && (p.trial || p.fails >= FAILS_CERTAIN && !again) {
            self.leave_out(id, "failing, or failed its trial");
        }
    }

    /// How many times slower than its peers a member answers, from 1. A slow one counts as a smaller one, and
    /// its objects spill sooner; one that only got the harder requests has some of its objects kept twice.
    pub(super) fn slowness(&self, p: &Peer) -> f64 {
        let mut drags: Vec<f64> = self.pool(&p.m).map(|q| q.drag(self.now)).collect();
        if drags.is_empty() {
            return 1.0;
        }
        drags.sort_by(f64::total_cmp);
        let ratio = p.drag(self.now) / drags[(drags.len() - 1) / 2].max(0.5);
        if ratio > SLOW_FROM { ratio } else { 1.0 }
    }

    pub(super) fn origin(&self) -> Option<MemberId> {
        let mut ready = self.peers.values().filter(|p| p.m.lifecycle == Lifecycle::Ready);
        ready.find(|p| self.is_origin(&p.m)).map(|p| p.m.id)
    }

    /// Whether a member takes anything new: it neither drains nor is left out, and if cold it has room.
    pub(super) fn has_room(&mut self, id: MemberId) -> bool {
        let Some(m) = self.peers.get(&id).filter(|p| p.usable(self.now)).map(|p| p.m) else { return false };
        let part = self.size(&m).unwrap_or(1.0) / self.sharers(&m);
        let dearest = self.means.iter().map(|m| m.0 * COLD_COST).fold(1.0, f64::max);
        let (cold, rule, place, now) = (self.is_cold(&m), self.cold_rule(&m), self.s.position, self.now);
        self.peers.get_mut(&id).is_some_and(|p| !cold || p.cold_room(place, &rule, part, dearest, now))
    }
}
