//! The order in which the members of a pool are tried for an object.

use super::Control;
use super::pool::{Pool, PoolKey, ReadyMember};
use super::rendezvous_hash::{UnitScore, mix64, object_hash};
use super::tuning::{
    CACHE_SPILL_LOAD, DEMAND_TIME_CONSTANT, HOT_OBJECT_DEMAND, HOT_OBJECT_SHARE, PARENT_SPILL_LOAD,
    SPILL_OVER_MEAN,
};
use crate::interface::{MemberId, Millis, Request};
use std::cmp::Ordering;
use std::collections::VecDeque;

/// Number of members that are ranked first. The others are sorted only once all of these have been tried.
const FIRST_RANKED: usize = 8;

/// A member with its hash score for an object.
#[derive(Clone, Copy, Debug)]
struct RankedMember {
    id: MemberId,
    score: f64,
}

impl RankedMember {
    fn new(ready: &ReadyMember, unit_score: UnitScore) -> Self {
        RankedMember { id: ready.id, score: unit_score.score() }
    }

    /// Sorts by descending score.
    fn order(&self, other: &RankedMember) -> Ordering {
        other.score.total_cmp(&self.score).then(self.id.cmp(&other.id))
    }
}

/// The members with the highest scores.
#[derive(Debug, Default)]
struct FirstRanked {
    /// By descending score, at most [`FIRST_RANKED`].
    members: Vec<RankedMember>,
}

impl FirstRanked {
    /// Ranks the usable ones of some members. Logarithms are taken only for those that may be among the
    /// first.
    fn rank<'a>(&mut self, members: impl Iterator<Item = &'a ReadyMember>, object_hash: u64, now: Millis) {
        // The score of the last member that is kept; without one, no member is below it.
        let mut lowest = f64::NEG_INFINITY;
        for ready in members.filter(|ready| now >= ready.usable_from) {
            let unit_score = ready.unit_score(object_hash);
            if !unit_score.is_below(lowest) {
                self.insert(RankedMember::new(ready, unit_score));
                lowest = self.members.get(FIRST_RANKED - 1).map_or(lowest, |member| member.score);
            }
        }
    }

    fn insert(&mut self, member: RankedMember) {
        let rank = self.members.partition_point(|other| other.order(&member).is_lt());
        self.members.insert(rank, member);
        self.members.truncate(FIRST_RANKED);
    }
}

/// How many members of a pool have been ranked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Ranking {
    None,
    First,
    Complete,
}

/// The usable members of a pool, by descending score for an object. Members whose load exceeds both the
/// limit and a multiple of the pool's mean come last (consistent hashing with bounded loads).
///
/// Ranks and loads are computed only as far as members are taken with [`Control::next_member`].
#[derive(Clone, Debug)]
pub(super) struct MemberOrder {
    pool: PoolKey,
    object_hash: u64,
    spill_load: f64,
    only_warming_up: bool,
    ranking: Ranking,
    /// Ranked members that have not been taken yet.
    ranked: VecDeque<RankedMember>,
    /// The lowest member that has been ranked.
    lowest: Option<RankedMember>,
    overloaded: VecDeque<MemberId>,
    mean_load: Option<f64>,
}

impl MemberOrder {
    fn new(pool: PoolKey, key: u64, spill_load: f64) -> Self {
        MemberOrder {
            pool,
            object_hash: object_hash(key),
            spill_load,
            only_warming_up: false,
            ranking: Ranking::None,
            ranked: VecDeque::new(),
            lowest: None,
            overloaded: VecDeque::new(),
            mean_load: None,
        }
    }

    /// Leaves out the members that are not warming up.
    pub(super) fn only_warming_up(self) -> Self {
        MemberOrder { only_warming_up: true, ..self }
    }
}

impl Control {
    /// The location's caches in the order in which they are tried for a request. A hot object is spread by
    /// its parts, except for the first part, which stays at the object's home cache.
    pub(super) fn cache_order(&self, request: &Request) -> MemberOrder {
        let spread = request.part > 0 && self.is_hot(request);
        let key = if spread { request.object ^ mix64(u64::from(request.part)) } else { request.object };
        MemberOrder::new(self.local_caches(), key, CACHE_SPILL_LOAD)
    }

    /// The parents in the order in which they are tried for a request, if there is a kind of parents.
    pub(super) fn parent_order(&self, request: &Request) -> Option<MemberOrder> {
        let pool = PoolKey::Kind(self.settings.parent_kind?);
        Some(MemberOrder::new(pool, request.object, PARENT_SPILL_LOAD))
    }

    /// Takes the next member.
    pub(super) fn next_member(&self, order: &mut MemberOrder) -> Option<MemberId> {
        let pool = self.members.pool(order.pool)?;
        while let Some(member) = self.next_ranked(order, pool) {
            if !self.is_overloaded(member, order, pool) {
                return Some(member);
            }
            order.overloaded.push_back(member);
        }
        order.overloaded.pop_front()
    }

    /// Whether a member's load exceeds both the limit and a multiple of the pool's mean.
    fn is_overloaded(&self, member: MemberId, order: &mut MemberOrder, pool: &Pool) -> bool {
        let Some(state) = pool.get(member).filter(|state| self.max_load(state) > order.spill_load) else {
            return false;
        };
        let load = self.member_load(state);
        load > order.spill_load
            && load > SPILL_OVER_MEAN * *order.mean_load.get_or_insert_with(|| self.mean_load(pool))
    }

    /// Takes the next member by its score alone.
    fn next_ranked(&self, order: &mut MemberOrder, pool: &Pool) -> Option<MemberId> {
        if order.ranked.is_empty() {
            match order.ranking {
                Ranking::None => self.rank_first(order, pool),
                Ranking::First => self.rank_others(order, pool),
                Ranking::Complete => return None,
            }
        }
        order.ranked.pop_front().map(|member| member.id)
    }

    /// Ranks the first members.
    fn rank_first(&self, order: &mut MemberOrder, pool: &Pool) {
        let mut first = FirstRanked::default();
        if order.only_warming_up {
            first.rank(self.members_warming_up(pool), order.object_hash, self.now);
        } else {
            first.rank(pool.ready(), order.object_hash, self.now);
        }
        let is_complete = first.members.len() < FIRST_RANKED;
        order.ranking = if is_complete { Ranking::Complete } else { Ranking::First };
        order.lowest = first.members.last().copied();
        order.ranked = first.members.into();
    }

    /// Ranks the members after the first ones.
    fn rank_others(&self, order: &mut MemberOrder, pool: &Pool) {
        let is_ranked =
            |member: &RankedMember| order.lowest.is_some_and(|lowest| member.order(&lowest).is_le());
        let is_included = |ready: &&ReadyMember| {
            let state = pool.get(ready.id).filter(|_| order.only_warming_up);
            self.now >= ready.usable_from && state.is_none_or(|state| self.is_warming_up(&state.listed))
        };
        let ready = pool.ready().filter(is_included);
        let members = ready.map(|ready| RankedMember::new(ready, ready.unit_score(order.object_hash)));
        let mut others: Vec<RankedMember> = members.filter(|member| !is_ranked(member)).collect();
        others.sort_unstable_by(RankedMember::order);
        order.ranking = Ranking::Complete;
        order.ranked = others.into();
    }

    /// Whether an object has so much demand that its parts are spread over the location's caches.
    fn is_hot(&self, request: &Request) -> bool {
        let object = self.objects.get(&request.object);
        let object_demand = object.map_or(0.0, |stats| stats.demand.value(self.now, DEMAND_TIME_CONSTANT));
        let caches = self.members.pool(self.local_caches()).map_or(0, Pool::len);
        let demand = self.demand.value(self.now, DEMAND_TIME_CONSTANT);
        demand > HOT_OBJECT_DEMAND && object_demand * caches as f64 > HOT_OBJECT_SHARE * demand
    }
}

#[cfg(test)]
mod tests;
