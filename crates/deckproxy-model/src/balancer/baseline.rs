//! Plain balancers to compare the gateway with: a cache by a simple rule, a few attempts, no load shedding.

use super::{AttemptKey, ClientAnswer, ClientAttempt, Effect, EndpointEntry, MemberRequest, RequestId};
use crate::load::{Class, ClientRequest};
use crate::members::MemberId;
use crate::scenario::BalancerKind;
use crate::{Micros, micros, random_stream};
use ahash::AHashMap;
use deckproxy::protocol::feed::Lifecycle;
use deckproxy::protocol::upstream::Status;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::VecDeque;

/// Until an attempt is cancelled.
const ATTEMPT_TIMEOUT: Micros = 400_000;
/// Most attempts for a client's attempt, the first included.
const MAX_ATTEMPTS: u32 = 3;
/// No attempt is sent when less than this is left until the client's timeout.
const MIN_TIME_LEFT: Micros = 5000;
/// Bits of an attempt's key that hold its number; the request's number is above them.
const ATTEMPT_NUMBER_BITS: u32 = 8;
/// Multiple of the mean load that a cache may have with `BoundedHash`.
const LOAD_BOUND: f64 = 1.25;
/// Purpose of the random numbers.
const RANDOM_PURPOSE: u64 = 90;

/// A client's request that was not answered yet.
#[derive(Clone, Copy, Debug)]
struct OpenRequest {
    request: ClientRequest,
    write_id: u64,
    deadline: Micros,
    /// Attempts that were sent.
    attempts: u32,
    /// Where the latest attempt was sent.
    member: MemberId,
}

/// When an attempt is cancelled.
#[derive(Clone, Copy, Debug)]
struct Timeout {
    at: Micros,
    key: AttemptKey,
}

/// A baseline.
pub struct Baseline {
    kind: BalancerKind,
    rng: Pcg64Mcg,
    caches: Vec<MemberId>,
    parents: Vec<MemberId>,
    origin: Option<MemberId>,
    in_flight: AHashMap<MemberId, u32>,
    open: AHashMap<RequestId, OpenRequest>,
    /// All attempts have the same timeout, so that they are due in the order in which they were sent.
    timeouts: VecDeque<Timeout>,
    effects: VecDeque<Effect>,
}

impl Baseline {
    pub(super) fn new(kind: BalancerKind, seed: u64, endpoints: &[EndpointEntry]) -> Self {
        let mut baseline = Baseline {
            kind,
            rng: random_stream(seed, RANDOM_PURPOSE, 0),
            caches: Vec::new(),
            parents: Vec::new(),
            origin: None,
            in_flight: AHashMap::new(),
            open: AHashMap::new(),
            timeouts: VecDeque::new(),
            effects: VecDeque::new(),
        };
        baseline.update_endpoints(endpoints);
        baseline
    }

    pub(super) fn update_endpoints(&mut self, changed: &[EndpointEntry]) {
        for endpoint in changed {
            if endpoint.is_origin {
                self.origin = Some(endpoint.member);
                continue;
            }
            let members = if endpoint.is_cache { &mut self.caches } else { &mut self.parents };
            members.retain(|member| *member != endpoint.member);
            if endpoint.lifecycle == Lifecycle::Ready {
                members.push(endpoint.member);
                members.sort_unstable();
            }
        }
    }

    pub(super) fn request(&mut self, now: Micros, attempt: &ClientAttempt) {
        let open = OpenRequest {
            request: attempt.request,
            write_id: attempt.write_id,
            deadline: now + micros(attempt.timeout_ms),
            attempts: 0,
            member: 0,
        };
        self.open.insert(attempt.id, open);
        self.send_attempt(now, attempt.id, None);
    }

    /// An attempt ended with a status; none: the connection broke or timed out, and the attempt may have run.
    pub(super) fn attempt_ended(&mut self, now: Micros, key: AttemptKey, status: Option<Status>) {
        let Some((id, open)) = self.latest_attempt(key) else { return };
        self.release(open.member);
        match status {
            Some(Status::Ok | Status::NotModified) => self.answer(id, ClientAnswer::Served),
            Some(Status::Miss | Status::Rejected) => self.send_attempt(now, id, Some(open.member)),
            _ if open.request.class == Class::Read => self.send_attempt(now, id, Some(open.member)),
            _ => self.answer(id, ClientAnswer::Failed),
        }
    }

    pub(super) fn timer_expired(&mut self, now: Micros) {
        while let Some(timeout) = self.timeouts.front().copied().filter(|timeout| timeout.at <= now) {
            self.timeouts.pop_front();
            if self.latest_attempt(timeout.key).is_some() {
                self.effects.push_back(Effect::CancelAttempt { key: timeout.key });
                self.attempt_ended(now, timeout.key, None);
            }
        }
    }

    pub(super) fn next_due(&self) -> Option<Micros> {
        self.timeouts.front().map(|timeout| timeout.at)
    }

    pub(super) fn next_effect(&mut self) -> Option<Effect> {
        self.effects.pop_front()
    }

    /// The request of an attempt, if it is open and no later attempt was sent for it.
    fn latest_attempt(&self, key: AttemptKey) -> Option<(RequestId, OpenRequest)> {
        let id = RequestId::try_from(key >> ATTEMPT_NUMBER_BITS).ok()?;
        let number = key & ((1 << ATTEMPT_NUMBER_BITS) - 1);
        let open = self.open.get(&id).filter(|open| u64::from(open.attempts) == number + 1)?;
        Some((id, *open))
    }

    fn send_attempt(&mut self, now: Micros, id: RequestId, excluded: Option<MemberId>) {
        let Some(open) = self.open.get(&id).copied() else { return };
        let is_write = open.request.class != Class::Read;
        let member = if is_write { self.origin } else { self.select_cache(open.request.object, excluded) };
        let may_send = open.attempts < MAX_ATTEMPTS && now + MIN_TIME_LEFT < open.deadline;
        let Some(member) = member.filter(|_| may_send) else {
            return self.answer(id, ClientAnswer::Failed);
        };
        let key = u64::from(id) << ATTEMPT_NUMBER_BITS | u64::from(open.attempts);
        self.open.insert(id, OpenRequest { attempts: open.attempts + 1, member, ..open });
        *self.in_flight.entry(member).or_default() += 1;
        let source = if is_write { None } else { self.select_source(open.request.object) };
        let member_request = MemberRequest {
            object: open.request.object,
            size_kb: open.request.size_kb,
            class: open.request.class,
            source,
            store: true,
            max_age_ms: 0.0,
            join_fill: self.kind != BalancerKind::NoCollapsing,
            write_id: open.write_id,
        };
        self.timeouts.push_back(Timeout { at: now + ATTEMPT_TIMEOUT, key });
        self.effects.push_back(Effect::SendAttempt { key, request: id, member, member_request });
    }

    /// A cache by the baseline's rule; `excluded` is taken only where there is no other.
    fn select_cache(&mut self, object: u64, excluded: Option<MemberId>) -> Option<MemberId> {
        let others: Vec<MemberId> =
            self.caches.iter().copied().filter(|member| Some(*member) != excluded).collect();
        if others.is_empty() {
            return self.caches.first().copied();
        }
        Some(match self.kind {
            BalancerKind::Random => self.random_of(&others),
            BalancerKind::TwoChoices => {
                let (first, second) = (self.random_of(&others), self.random_of(&others));
                if self.load(first) <= self.load(second) { first } else { second }
            }
            _ => self.bounded_hash(object, others),
        })
    }

    fn random_of(&mut self, members: &[MemberId]) -> MemberId {
        members[self.rng.random_range(0..members.len())]
    }

    /// The first cache in the object's hash order whose load is under the bound.
    fn bounded_hash(&self, object: u64, mut members: Vec<MemberId>) -> MemberId {
        let mean = f64::from(self.in_flight.values().sum::<u32>()) / members.len() as f64;
        let bound = (mean * LOAD_BOUND).ceil().max(1.0);
        members.sort_by_key(|member| Reverse(hash(object, u64::from(*member))));
        let below_bound = members.iter().copied().find(|member| f64::from(self.load(*member)) < bound);
        below_bound.unwrap_or(members[0])
    }

    /// The parent that fills an object, by hash; the origin where there is no parent.
    fn select_source(&self, object: u64) -> Option<MemberId> {
        let parent = self.parents.iter().max_by_key(|member| hash(object, u64::from(**member)));
        parent.copied().or(self.origin)
    }

    fn load(&self, member: MemberId) -> u32 {
        self.in_flight.get(&member).copied().unwrap_or(0)
    }

    fn release(&mut self, member: MemberId) {
        let in_flight = self.in_flight.entry(member).or_default();
        *in_flight = in_flight.saturating_sub(1);
    }

    fn answer(&mut self, request: RequestId, answer: ClientAnswer) {
        if self.open.remove(&request).is_some() {
            self.effects.push_back(Effect::AnswerClient { request, answer, by_admission: false });
        }
    }
}

fn hash(a: u64, b: u64) -> u64 {
    let x = (a ^ b.wrapping_mul(0x9e37_79b9_7f4a_7c15)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    (x ^ x >> 31).wrapping_mul(0x94d0_49bb_1331_11eb) ^ x >> 29
}
