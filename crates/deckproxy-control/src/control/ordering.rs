//! The order of members by the shared hash: choice of cache and source.

use super::*;

/// A 64-bit mix (splitmix's finisher): the shared hash, the same at every router.
pub(super) fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// Weighted rendezvous: the highest score is the object's home, the next its failover.
pub(super) fn score(object: u64, m: &Member) -> f64 {
    let h = mix(mix(object.wrapping_add(0x9e37_79b9_7f4a_7c15)) ^ mix(u64::from(m.id) + 0x5851));
    let unit = ((h >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    -m.weight.max(1e-6) / unit.ln()
}

impl Control {
    /// Ready members of a pool in the hash's order, those holding too much of our work moved behind.
    pub(super) fn order(&self, hash: u64, limit: f64, member: impl Fn(&Member) -> bool) -> Vec<MemberId> {
        let ready = self.peers.values().filter(|p| p.m.lifecycle == Lifecycle::Ready && member(&p.m));
        let mut all: Vec<(f64, f64, MemberId)> =
            ready.map(|p| (self.load(p), score(hash, &p.m), p.m.id)).collect();
        let mean = all.iter().map(|x| x.0).sum::<f64>() / all.len().max(1) as f64;
        let over = |load: f64| load > limit && load > BOUND * mean;
        all.sort_by(|a, b| over(a.0).cmp(&over(b.0)).then(b.1.total_cmp(&a.1)).then(a.2.cmp(&b.2)));
        all.into_iter().map(|x| x.2).collect()
    }

    /// The location's caches for a request. An object that draws much work is spread by its parts.
    pub(super) fn caches(&self, r: &Request) -> Vec<MemberId> {
        let hash = if r.part > 0 && self.hot(r) { r.object ^ mix(u64::from(r.part)) } else { r.object };
        self.order(hash, SPILL_AT, |m| self.is_cache(m) && m.zone == self.s.zone)
    }

    /// The sources of fills: the parents, then the origin.
    pub(super) fn sources(&self, r: &Request) -> Vec<MemberId> {
        let mut all = self.order(r.object, PASS_AT, |m| self.is_parent(m));
        all.extend(self.origin());
        all
    }

    pub(super) fn hot(&self, r: &Request) -> bool {
        let own = self.objects.get(&r.object).map_or(0.0, |o| faded(o.asked, self.now));
        let caches = self.peers.values().filter(|p| self.is_cache(&p.m) && p.m.zone == self.s.zone).count();
        let all = faded(self.asked, self.now);
        all > HOT_FROM && own * caches as f64 > HOT_SHARE * all
    }
}
