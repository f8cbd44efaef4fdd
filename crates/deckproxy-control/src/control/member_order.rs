//! The order in which the members of a pool are tried for an object.

use super::Control;
use super::rendezvous_hash::{mix64, rendezvous_score};
use super::tuning::{
    CACHE_SPILL_LOAD, DEMAND_TIME_CONSTANT, HOT_OBJECT_DEMAND, HOT_OBJECT_SHARE, PARENT_SPILL_LOAD,
    SPILL_OVER_MEAN,
};
use crate::interface::{Lifecycle, Member, MemberId, Request};
use std::cmp::Ordering;

/// A member of a pool with its load and its hash score for an object.
struct Candidate {
    id: MemberId,
    load: f64,
    score: f64,
}

impl Candidate {
    /// Overloaded members come last; the higher score comes first among the others.
    fn order(&self, other: &Candidate, is_overloaded: impl Fn(f64) -> bool) -> Ordering {
        is_overloaded(self.load)
            .cmp(&is_overloaded(other.load))
            .then(other.score.total_cmp(&self.score))
            .then(self.id.cmp(&other.id))
    }
}

impl Control {
    /// Ready members that pass the filter, in the order of their scores for the hash. Those whose load is
    /// over the limit and over the pool's mean come last (consistent hashing with bounded loads).
    fn ordered_members(&self, hash: u64, spill_load: f64, filter: impl Fn(&Member) -> bool) -> Vec<MemberId> {
        let mut candidates = Vec::new();
        for state in self.members.values() {
            if state.listed.lifecycle == Lifecycle::Ready && filter(&state.listed) {
                let score = rendezvous_score(hash, &state.listed);
                candidates.push(Candidate { id: state.listed.id, load: self.member_load(state), score });
            }
        }
        let mean = candidates.iter().map(|c| c.load).sum::<f64>() / candidates.len().max(1) as f64;
        let is_overloaded = |load: f64| load > spill_load && load > SPILL_OVER_MEAN * mean;
        candidates.sort_by(|a, b| a.order(b, is_overloaded));
        candidates.into_iter().map(|candidate| candidate.id).collect()
    }

    /// The location's caches for a request. A hot object is spread by its parts; its first part stays at
    /// home.
    pub(super) fn caches_for(&self, request: &Request) -> Vec<MemberId> {
        let spread = request.part > 0 && self.is_hot(request);
        let hash = if spread { request.object ^ mix64(u64::from(request.part)) } else { request.object };
        self.ordered_members(hash, CACHE_SPILL_LOAD, |member| self.is_local_cache(member))
    }

    /// The sources of fills for a request: the parents, then the origin.
    pub(super) fn sources_for(&self, request: &Request) -> Vec<MemberId> {
        let mut sources =
            self.ordered_members(request.object, PARENT_SPILL_LOAD, |member| self.is_parent(member));
        sources.extend(self.origin());
        sources
    }

    /// Whether an object draws so much work that its parts are spread over the location's caches.
    fn is_hot(&self, request: &Request) -> bool {
        let object = self.objects.get(&request.object);
        let object_demand = object.map_or(0.0, |stats| stats.demand.value(self.now, DEMAND_TIME_CONSTANT));
        let caches = self.members.values().filter(|state| self.is_local_cache(&state.listed)).count();
        let demand = self.demand.value(self.now, DEMAND_TIME_CONSTANT);
        demand > HOT_OBJECT_DEMAND && object_demand * caches as f64 > HOT_OBJECT_SHARE * demand
    }
}
