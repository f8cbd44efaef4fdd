//! What members and the location's link hold, as counted here and as reported.

use super::*;

/// What the routers that share a member or link hold of it: our part, its mean of late, and the others' by
/// their last reports, beside a guess from the mean (a few attempts of the moment would be noise).
#[derive(Clone, Copy, Default)]
pub(super) struct Shared {
    pub(super) own: f64,
    pub(super) mean: f64,
    pub(super) at: Millis,
    pub(super) told: Option<(f64, Millis)>,
}

impl Shared {
    pub(super) fn mean(&self, now: Millis) -> f64 {
        self.own + (self.mean - self.own) * (-(now - self.at) / MEAN_SPAN).exp()
    }

    pub(super) fn add(&mut self, change: f64, now: Millis) {
        (self.mean, self.at) = (self.mean(now), now);
        self.own = (self.own + change).max(0.0);
    }

    /// Takes a report of what all hold, of one moment: routers that took it for more would turn as one.
    pub(super) fn tell(&mut self, all: f64, now: Millis) {
        let others = (all - self.own).max(0.0);
        self.told = Some((self.told.map_or(others, |(x, _)| x + TOLD_STEP * (others - x)), now));
    }

    /// All routers' amount.
    pub(super) fn all(&self, routers: f64, now: Millis) -> f64 {
        let others = (routers - 1.0) * self.mean(now);
        let told = self.told.filter(|_| routers > 1.0);
        let trust = |at: Millis| TRUST * (-(now - at) / TOLD_SPAN).exp();
        self.own + told.map_or(others, |(x, at)| others + (x - others) * trust(at))
    }
}

/// What answers took of late, what they should take, and when that was brought up to date.
#[derive(Clone, Copy, Default)]
pub(super) struct Pace {
    pub(super) took: f64,
    pub(super) due: f64,
    pub(super) at: Millis,
}

impl Pace {
    pub(super) fn take(&mut self, took: f64, due: f64, span: Millis, now: Millis) {
        let keep = (-(now - self.at) / span).exp();
        *self = Pace { took: self.took * keep + took, due: self.due * keep + due, at: now };
    }

    /// The slowdown to be expected, with so much as it should be put in beside.
    pub(super) fn drag(&self, beside: f64, span: Millis, now: Millis) -> f64 {
        let keep = (-(now - self.at) / span).exp();
        (beside + self.took * keep) / (beside + self.due * keep)
    }
}

/// What one member of a kind bears, all routers' guessed from ours: the sending time served, since when and
/// until when that was counted, and its busy share by the reports (their sum and number). All fade.
#[derive(Clone, Copy)]
pub(super) struct Borne {
    pub(super) work: Millis,
    pub(super) since: Millis,
    pub(super) at: Millis,
    pub(super) busy: (f64, f64),
}

impl Borne {
    pub(super) fn fade(&mut self, now: Millis) {
        let keep = (-(now - self.at) / SEEN_SPAN).exp();
        (self.work, self.at, self.busy) = (self.work * keep, now, (self.busy.0 * keep, self.busy.1 * keep));
    }

    /// The size that explains it: answers at full pace over the share of the link that they took. Where no
    /// busy share is reported it is at least what was borne.
    pub(super) fn size(&self, now: Millis) -> Option<f64> {
        let span = SEEN_SPAN * (1.0 - (-(self.at - self.since) / SEEN_SPAN).exp());
        let busy = if self.busy.1 > 0.0 { self.busy.0 / self.busy.1 } else { 1.0 };
        (now - self.since > BORNE_FROM).then(|| (self.work / span / busy.clamp(0.05, 1.0)).max(1.0))
    }
}

/// What is left of an amount after a while.
pub(super) fn faded((amount, at): (f64, Millis), now: Millis) -> f64 {
    amount * (-(now - at) / HOT_SPAN).exp()
}

impl Control {
    pub(super) fn routers_in(&self, zone: u32) -> f64 {
        f64::from(self.s.zone_routers.get(zone as usize).copied().unwrap_or(self.s.routers).max(1))
    }

    /// The routers that may send to a member.
    pub(super) fn sharers(&self, m: &Member) -> f64 {
        if self.is_cache(m) { self.routers_in(m.zone) } else { f64::from(self.s.routers.max(1)) }
    }

    /// Answers out over the member's link, all routers' guessed from ours.
    pub(super) fn load(&self, p: &Peer) -> f64 {
        let all = p.held.all(self.sharers(&p.m), self.now);
        self.size(&p.m).map_or(0.0, |size| all * self.slowness(p) / size.max(0.1))
    }

    /// A member's link in answers at full pace: told, else judged by what its kind bears, once that is seen.
    pub(super) fn size(&self, m: &Member) -> Option<f64> {
        if self.s.weights_are_sizes { Some(m.weight) } else { self.borne.get(&m.kind)?.size(self.now) }
    }

    /// Books what a member bore, or its report of how busy it is.
    pub(super) fn bear(&mut self, id: MemberId, work: Millis, busy: Option<f64>) {
        let Some(m) = self.peers.get(&id).filter(|_| !self.s.weights_are_sizes).map(|p| p.m) else { return };
        let new = Borne { work: 0.0, since: self.now, at: self.now, busy: (0.0, 0.0) };
        let alike = 1.0 + self.pool(&m).filter(|p| p.m.kind == m.kind).count() as f64;
        let all = work * self.sharers(&m) / alike;
        let b = self.borne.entry(m.kind).or_insert(new);
        b.fade(self.now);
        b.work += all;
        b.busy = busy.map_or(b.busy, |x| (b.busy.0 + x, b.busy.1 + 1.0));
    }

    /// How crowded the location's link is with one more transfer: over those that fit where its room is told,
    /// else as the caches report it; 0 where neither is known.
    pub(super) fn crowd(&self) -> f64 {
        let (now, told) = (self.now, self.link.told.filter(|_| self.link_fit().is_none()));
        let all = self.link.all(self.routers_in(self.s.zone), now) + 1.0;
        let told = told.map_or(0.0, |(x, at)| x * (-(now - at) / TOLD_SPAN).exp());
        self.link_fit().map_or(told, |fit| all / fit)
    }

    /// Transfers that fit the location's link, where its room is told.
    pub(super) fn link_fit(&self) -> Option<f64> {
        let told = self
            .s
            .zone_link_rate
            .get(self.s.zone as usize)
            .filter(|kb| **kb > 0.0 && self.s.transfer_rate > 0.0);
        told.map(|kb| (kb / self.s.transfer_rate / FILL_PACE).max(1.0))
    }

    /// Takes a member's report of its load.
    pub(super) fn told(&mut self, id: MemberId, load: LoadReport) {
        let (now, here, sized) = (self.now, self.s.zone, self.s.weights_are_sizes);
        let sharers = self.peers.get(&id).map_or(1.0, |p| self.sharers(&p.m));
        let Some(p) = self.peers.get_mut(&id) else { return };
        let m = p.m;
        p.busy = load.cpu.map(|x| (x, now)).or(p.busy);
        // Where what it holds is not reported, how busy it is tells that, if not busy all the time.
        let taken = load.cpu.filter(|_| sized).map(|x| (x, x * m.weight));
        let taken = taken.filter(|(x, held)| *x < BUSY || *held > p.held.all(sharers, now)).map(|x| x.1);
        load.in_flight.or(taken).into_iter().for_each(|held| p.held.tell(held, now));
        self.bear(id, 0.0, load.cpu);
        let Some(full) = load.link.filter(|_| self.is_cache(&m) && m.zone == here) else { return };
        let all = self.link_fit().map_or(full + self.link.own, |fit| full * fit);
        self.link.tell(all, now);
    }

    /// Whether the location's link is so crowded that one more transfer would not be through near the aim:
    /// a link that everyone fills and nobody gets through. It hurts where its room is told too low.
    pub(super) fn link_full(&self, o: &Open) -> bool {
        let crowd = self.crowd();
        crowd > 0.0 && self.too_late(o, self.work(&o.r) * crowd.max(1.0))
    }
}
