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
    /// Sorts overloaded members last, and the others by descending score.
    fn order(&self, other: &Candidate, is_overloaded: impl Fn(f64) -> bool) -> Ordering {
        is_overloaded(self.load)
            .cmp(&is_overloaded(other.load))
            .then(other.score.total_cmp(&self.score))
            .then(self.id.cmp(&other.id))
    }
}

impl Control {
    /// Ready members that pass the filter, by descending score for the hash. Members whose load exceeds
    /// both the limit and a multiple of the pool's mean are sorted last (consistent hashing with bounded
    /// loads).
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

    /// The location's caches for a request, in order of preference. A hot object is spread by its parts,
    /// except for the first part, which stays at the object's home cache.
    pub(super) fn caches_for(&self, request: &Request) -> Vec<MemberId> {
        let spread = request.part > 0 && self.is_hot(request);
        let hash = if spread { request.object ^ mix64(u64::from(request.part)) } else { request.object };
        self.ordered_members(hash, CACHE_SPILL_LOAD, |member| self.is_local_cache(member))
    }

    /// The sources of fills for a request in order of preference: the parents, then the origin.
    pub(super) fn sources_for(&self, request: &Request) -> Vec<MemberId> {
        let mut sources =
            self.ordered_members(request.object, PARENT_SPILL_LOAD, |member| self.is_parent(member));
        sources.extend(self.origin());
        sources
    }

    /// Whether an object has so much demand that its parts are spread over the location's caches.
    fn is_hot(&self, request: &Request) -> bool {
        let object = self.objects.get(&request.object);
        let object_demand = object.map_or(0.0, |stats| stats.demand.value(self.now, DEMAND_TIME_CONSTANT));
        let caches = self.members.values().filter(|state| self.is_local_cache(&state.listed)).count();
        let demand = self.demand.value(self.now, DEMAND_TIME_CONSTANT);
        demand > HOT_OBJECT_DEMAND && object_demand * caches as f64 > HOT_OBJECT_SHARE * demand
    }
}
