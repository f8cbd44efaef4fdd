//! Every decision of the router. Types, events and actions are in `interface.rs`; read that file first.
//!
//! The ordinary path: a request is looked up at the cache that a shared hash of its object picks in the
//! location; after a miss one request per (object, part) leads a fill from the parent that the same hash
//! picks over all listed parents, and the others wait for it. Everything else here treats trouble.

use crate::interface::*;
use std::collections::{BTreeMap, VecDeque};

// ---- Constants: unit and reason -------------------------------------------------------------------------

/// ms between sweeps over waiters and silent members: fine enough for aims of some hundred ms.
const SWEEP: Millis = 20.0;
/// ms: the design's lock time-out; nobody waits longer for a leader.
const WAIT: Millis = 3000.0;
/// ms of own sending time from which waiting for the leader costs more than joining its fill at once.
const LARGE: Millis = 100.0;
/// Rank of ordinary copies, the middle one.
const RANK: u8 = 2;
/// ms: allowance for ways and queues that adds to every sending time.
const WAY: Millis = 60.0;
/// Times a member's usual spread that an attempt may take before it is given up.
const SPREAD: f64 = 4.0;
/// ms: no attempt is given up sooner while it has time.
const LEAST_LIMIT: Millis = 350.0;
/// Outstanding answers over a member's link (all routers' guessed) from which its objects may spill.
const SPILL_AT: f64 = 1.0;
/// Times the mean load of its pool that a member may hold (bounded loads).
const BOUND: f64 = 1.3;
/// Share of the cold rule that all routers together use; the rest covers misjudged sending times.
const COLD_SHARE: f64 = 0.7;
/// Weight of one outcome in a member's error share.
const ERR_STEP: f64 = 0.15;
/// Error share over that of its peers from which a member is left out.
const ERR_LIMIT: f64 = 0.45;
/// Times its peers' pace from which a member counts as slow.
const SLOW_LIMIT: f64 = 2.5;
/// Sends without any answer, and ms since the first of them, that make a member silent.
const SILENT_SENDS: u32 = 3;
const SILENT_FOR: Millis = 900.0;
/// ms that a member is left out at first and at most; doubled from one to the next.
const OUT_FIRST: Millis = 1000.0;
const OUT_MOST: Millis = 8000.0;
/// Good answers in a row that end a member's trial.
const TRIAL_GOOD: u32 = 3;
/// Further attempts after failures: earned by each request, and saved up at most.
const RETRY_EARN: f64 = 0.3;
const RETRY_MOST: f64 = 40.0;
/// Requests that wait for one fill, at most; later ones go alone.
const WAITERS_MOST: usize = 512;
/// Log lines of one router, at most.
const LOGS: u32 = 60;

// ---- Members: list, drain, cold, health -----------------------------------------------------------------

struct Peer {
    m: Member,
    /// Cold budget in ms of sending, and when it was last filled up.
    tokens: f64,
    filled_at: Millis,
    /// Our attempts out, and fills out that name it as the source, in ms of sending.
    out: f64,
    fills: f64,
    /// Share of errors lately; pace as a multiple of what is expected.
    err: f64,
    pace: Option<f64>,
    /// Sends since its last sign of life, and when the first of them went.
    unanswered: u32,
    unanswered_since: Millis,
    /// Left out until then; 0: in use. Afterwards on trial until enough good answers.
    out_until: Millis,
    out_span: Millis,
    trial: Option<u32>,
    trial_out: bool,
}

impl Peer {
    fn new(m: Member, now: Millis) -> Self {
        Peer {
            m,
            tokens: f64::MAX,
            filled_at: now,
            out: 0.0,
            fills: 0.0,
            err: 0.0,
            pace: None,
            unanswered: 0,
            unanswered_since: now,
            out_until: 0.0,
            out_span: 0.0,
            trial: None,
            trial_out: false,
        }
    }

    fn usable(&self, now: Millis) -> bool {
        self.m.lifecycle == Lifecycle::Ready
            && now >= self.out_until
            && (self.trial.is_none() || !self.trial_out)
    }

    /// Whether the member may be cold, its present share of capacity at least, and its age.
    fn cold(&self, rule: &ColdRule, now: Millis) -> Option<f64> {
        let age = (now - self.m.started?).max(0.0);
        (age < rule.ramp).then(|| rule.from + (1.0 - rule.from) * age / rule.ramp)
    }

    /// Fills the cold budget up and tells whether it has `cost`, in ms of sending.
    /// A window of the rule's length can then hold at most burst + rate x window, which is COLD_SHARE of
    /// what the rule allows at the present capacity, split evenly among the routers that may send.
    fn cold_room(&mut self, rule: &ColdRule, routers: f64, cost: f64, now: Millis) -> bool {
        let Some(share) = self.cold(rule, now) else { return true };
        let capacity = share * self.m.weight / routers;
        let rate = (COLD_SHARE * rule.multiple * 0.5).min(1.0);
        let burst = (COLD_SHARE * rule.multiple - rate) * capacity * rule.window;
        self.tokens = (self.tokens + rate * capacity * (now - self.filled_at)).min(burst);
        self.filled_at = now;
        self.tokens >= cost
    }

    fn spend(&mut self, cost: f64) {
        self.tokens -= cost;
    }

    fn answered(&mut self) {
        self.unanswered = 0;
    }
}

/// What a class's answers are like.
#[derive(Clone)]
struct ClassState {
    /// Mean sending time, ms, and how many answers it comes from.
    mean: f64,
    count: f64,
    /// Pace of look-ups and of fills: multiple of the expected time, and its spread.
    pace: [(f64, f64); 2],
}

/// A 64-bit mix (splitmix's finisher): the shared hash, the same at every router.
fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// Weighted rendezvous: the highest score is the object's home, the next its failover.
fn score(object: u64, m: &Member) -> f64 {
    let h = mix(mix(object.wrapping_add(0x9e37_79b9_7f4a_7c15)) ^ mix(u64::from(m.id) + 0x5851));
    let unit = ((h >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    -m.weight.max(1e-6) / unit.ln()
}

// ---- Requests, attempts, the collapse table and purges ----------------------------------------------------

#[derive(Clone, Copy, PartialEq, Debug)]
enum Kind {
    LookUp,
    Fill,
    Direct,
}

#[derive(Clone, Copy)]
struct Attempt {
    no: u32,
    member: MemberId,
    source: Option<MemberId>,
    kind: Kind,
    /// Expected sending time, ms: what it holds of the member's link.
    work: f64,
    sent: Millis,
    trial: bool,
}

struct Open {
    r: Request,
    arrived: Millis,
    /// Nothing is owed any more; kept while it leads a fill whose outcome is still to come.
    ended: bool,
    sends: u32,
    out: Vec<Attempt>,
    /// First attempt that may have run: when it was sent, and where.
    maybe_run: Option<(Millis, MemberId)>,
    /// Members that failed this request.
    bad: Vec<MemberId>,
    waiting: Option<Millis>,
    leading: bool,
    streaming: bool,
}

type Key = (u64, u32);

#[derive(Default)]
struct Collapse {
    leader: Option<RequestId>,
    cache: MemberId,
    waiters: VecDeque<RequestId>,
}

struct Purge {
    /// Clock time of the purge, and when we were told.
    at: Millis,
    until: Millis,
}

/// One router.
pub struct Control {
    s: Settings,
    peers: BTreeMap<MemberId, Peer>,
    classes: Vec<ClassState>,
    open: BTreeMap<RequestId, Open>,
    table: BTreeMap<Key, Collapse>,
    purged_objects: BTreeMap<u64, Purge>,
    purged_groups: BTreeMap<u32, Purge>,
    retries: f64,
    rng: u64,
    sweeping: bool,
    rewatch: Millis,
    logs: u32,
}

impl Control {
    /// A router that has just started and knows nothing but its settings.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let classes = settings.classes.iter().map(|c| ClassState {
            mean: c.deadline / 10.0,
            count: 0.0,
            pace: [(1.5, 0.7), (2.0, 1.0)],
        });
        Control {
            classes: classes.collect(),
            s: settings,
            peers: BTreeMap::new(),
            open: BTreeMap::new(),
            table: BTreeMap::new(),
            purged_objects: BTreeMap::new(),
            purged_groups: BTreeMap::new(),
            retries: RETRY_MOST,
            rng: mix(seed),
            sweeping: false,
            rewatch: 500.0,
            logs: 0,
        }
    }

    /// Takes one event and appends what is to be done.
    pub fn handle(&mut self, now: Millis, event: Event, acts: &mut Vec<Action>) {
        match event {
            Event::Started => {
                if self.s.list_on_request {
                    acts.push(Action::Watch(true));
                }
            }
            Event::Members(kind, list) => self.members(now, kind, list, acts),
            Event::Request(r) => self.request(now, r, acts),
            Event::First { request, attempt } => {
                if let Some(o) = self.open.get_mut(&request) {
                    o.streaming |= o.out.iter().any(|a| a.no == attempt);
                }
            }
            Event::Outcome { request, attempt, member, ending, elapsed, finished, note, .. } => {
                self.outcome(now, request, attempt, member, ending, elapsed, finished, note, acts)
            }
            Event::Gone(id) => self.gone(now, id, acts),
            Event::Timer(_) => {
                self.sweeping = false;
                self.sweep(now, acts);
            }
            Event::Purged { object, group, age } => self.purge(now, object, group, age),
            Event::Probed { .. } | Event::Peer(..) => {}
        }
        if !self.sweeping && !self.open.is_empty() {
            self.sweeping = true;
            acts.push(Action::Timer { token: 0, at: now + SWEEP });
        }
    }

    fn members(&mut self, now: Millis, kind: ListKind, list: Vec<Member>, acts: &mut Vec<Action>) {
        if kind == ListKind::Failed {
            acts.push(Action::Watch(true));
            return;
        }
        if kind != ListKind::Delta {
            let named: Vec<MemberId> = list.iter().map(|m| m.id).collect();
            self.peers.retain(|id, _| named.contains(id));
        }
        for m in list {
            if m.lifecycle == Lifecycle::Gone {
                self.peers.remove(&m.id);
                continue;
            }
            match self.peers.get_mut(&m.id) {
                // A new process knows nothing of the old one's troubles, but its budget starts anew.
                Some(p) if p.m.started != m.started => *p = Peer::new(m, now),
                Some(p) => p.m = m,
                None => {
                    self.peers.insert(m.id, Peer::new(m, now));
                }
            }
        }
    }

    fn is_kind(m: &Member, kind: Option<u32>) -> bool {
        kind == Some(m.kind)
    }

    fn is_cache(&self, m: &Member) -> bool {
        !Self::is_kind(m, self.s.parent_kind) && !Self::is_kind(m, self.s.origin_kind)
    }

    fn log(&mut self, text: String, acts: &mut Vec<Action>) {
        if self.logs < LOGS {
            self.logs += 1;
            acts.push(Action::Log(text));
        }
    }

    /// Leaves a member out for a while, unless too much of its pool is out already.
    fn leave_out(&mut self, now: Millis, id: MemberId, why: &str, acts: &mut Vec<Action>) {
        let Some(m) = self.peers.get(&id).map(|p| p.m) else { return };
        let pool = self.pool(&m);
        let out = pool.iter().filter(|p| **p != id && now < self.peers[*p].out_until).count();
        if Self::is_kind(&m, self.s.origin_kind) || (out + 1) * 2 > pool.len().max(1) {
            return;
        }
        let Some(p) = self.peers.get_mut(&id) else { return };
        if now < p.out_until {
            return;
        }
        p.out_span = if p.out_span == 0.0 { OUT_FIRST } else { (p.out_span * 2.0).min(OUT_MOST) };
        p.out_until = now + p.out_span;
        p.trial = Some(0);
        p.trial_out = false;
        p.err = 0.0;
        p.pace = None;
        let span = p.out_span;
        self.log(format!("member {id} left out for {span:.0} ms: {why}"), acts);
    }

    /// The members that stand in for this one.
    fn pool(&self, m: &Member) -> Vec<MemberId> {
        let like = |p: &&Peer| {
            if self.is_cache(m) { self.is_cache(&p.m) && p.m.zone == m.zone } else { p.m.kind == m.kind }
        };
        self.peers.values().filter(like).map(|p| p.m.id).collect()
    }

    /// Books a sign of trouble or health that the member itself caused.
    fn judge(&mut self, now: Millis, id: MemberId, good: bool, pace: Option<f64>, acts: &mut Vec<Action>) {
        let Some(m) = self.peers.get(&id).map(|p| p.m) else { return };
        let peers: Vec<MemberId> = self.pool(&m).into_iter().filter(|p| *p != id).collect();
        let err_of_peers = peers.iter().map(|p| self.peers[p].err).fold(f64::MAX, f64::min);
        let mut paces: Vec<f64> = peers.iter().filter_map(|p| self.peers[p].pace).collect();
        paces.sort_by(f64::total_cmp);
        let usual = paces.get(paces.len() / 2).copied();
        let Some(p) = self.peers.get_mut(&id) else { return };
        p.err += ERR_STEP * (if good { 0.0 } else { 1.0 } - p.err);
        if let Some(x) = pace {
            p.pace = Some(p.pace.map_or(x, |old| old + 0.1 * (x - old)));
        }
        match p.trial {
            Some(_) if now < p.out_until => {}
            Some(_) if !good => {
                p.out_until = 0.0;
                self.leave_out(now, id, "failed its trial", acts);
                return;
            }
            Some(n) if n + 1 >= TRIAL_GOOD => {
                p.trial = None;
                p.out_until = 0.0;
                p.out_span = (p.out_span * 0.5).max(OUT_FIRST);
            }
            Some(n) => p.trial = Some(n + 1),
            None => {}
        }
        if p.err > ERR_LIMIT && (peers.is_empty() || err_of_peers < p.err * 0.5) {
            self.leave_out(now, id, "errors", acts);
        } else if let (Some(own), Some(usual)) = (p.pace, usual)
            && own > SLOW_LIMIT * usual.max(1.0)
        {
            self.leave_out(now, id, "slow against its peers", acts);
        }
    }

    // ---- Choice of cache and source -------------------------------------------------------------------

    /// The routers that may send to a member.
    fn sharers(&self, m: &Member) -> f64 {
        let n = if self.is_cache(m) {
            self.s.zone_routers.get(m.zone as usize).copied().unwrap_or(self.s.routers)
        } else {
            self.s.routers
        };
        f64::from(n.max(1))
    }

    /// Our attempts out over our part of the member's link.
    fn load(&self, p: &Peer) -> f64 {
        (p.out + p.fills) * self.sharers(&p.m) / p.m.weight.max(0.1)
    }

    /// Ready members of a pool in the object's order.
    fn ranked(&self, object: u64, member: impl Fn(&Member) -> bool) -> Vec<MemberId> {
        let mut all: Vec<(f64, MemberId)> = self
            .peers
            .values()
            .filter(|p| p.m.lifecycle == Lifecycle::Ready && member(&p.m))
            .map(|p| (score(object, &p.m), p.m.id))
            .collect();
        all.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        all.into_iter().map(|x| x.1).collect()
    }

    fn caches(&self, object: u64) -> Vec<MemberId> {
        self.ranked(object, |m| self.is_cache(m) && m.zone == self.s.zone)
    }

    fn parents(&self, object: u64) -> Vec<MemberId> {
        self.ranked(object, |m| Self::is_kind(m, self.s.parent_kind))
    }

    fn origin(&self) -> Option<MemberId> {
        self.ranked(0, |m| Self::is_kind(m, self.s.origin_kind)).first().copied()
    }

    /// The order of a pool with those holding too much of our work moved behind (bounded loads).
    fn spilled(&self, order: Vec<MemberId>) -> Vec<MemberId> {
        let total: f64 = order.iter().map(|id| self.peers[id].out + self.peers[id].fills).sum();
        let weight: f64 = order.iter().map(|id| self.peers[id].m.weight).sum();
        let (mut fit, mut full) = (Vec::new(), Vec::new());
        for id in order {
            let p = &self.peers[&id];
            let bound = BOUND * total * p.m.weight / weight.max(0.1);
            let over = self.load(p) > SPILL_AT && p.out + p.fills > bound;
            if over { full.push(id) } else { fit.push(id) }
        }
        full.sort_by(|a, b| self.load(&self.peers[a]).total_cmp(&self.load(&self.peers[b])));
        fit.extend(full);
        fit
    }

    /// Sending time of a request: told, else the class's learned mean.
    fn work(&self, r: &Request) -> f64 {
        match r.size {
            Some(kb) if self.s.flow > 0.0 => kb / self.s.flow * 1000.0,
            _ => self.classes[r.class].mean,
        }
    }

    // ---- Purges ---------------------------------------------------------------------------------------

    fn purge(&mut self, now: Millis, object: Option<u64>, group: u32, age: Millis) {
        let at = now - age.max(0.0);
        let new = Purge { at, until: at + self.s.purge_done };
        let keep = |old: &mut Purge| {
            if new.at > old.at {
                (old.at, old.until) = (new.at, new.until);
            }
        };
        match object {
            Some(o) => self.purged_objects.entry(o).and_modify(keep).or_insert(Purge { ..new }),
            None => self.purged_groups.entry(group).and_modify(keep).or_insert(Purge { ..new }),
        };
    }

    /// The oldest copy that will do, in ms, where a purge binds; judged at each send.
    fn purge_bound(&self, r: &Request, now: Millis) -> Option<f64> {
        let live = |p: Option<&Purge>| p.filter(|p| now <= p.until).map(|p| (now - p.at - 0.002).max(0.001));
        let a = live(self.purged_objects.get(&r.object));
        let b = live(self.purged_groups.get(&r.group));
        match (a, b) {
            (Some(a), Some(b)) => Some(a.min(b)),
            (a, b) => a.or(b),
        }
    }

    // ---- The gate -------------------------------------------------------------------------------------

    /// The only way out for attempts: every check of the rules is here. Tells whether it was sent.
    fn emit(
        &mut self,
        now: Millis,
        id: RequestId,
        to: MemberId,
        source: Option<MemberId>,
        kind: Kind,
        acts: &mut Vec<Action>,
    ) -> bool {
        let Some(o) = self.open.get(&id) else { return false };
        let class = &self.s.classes[o.r.class];
        // Attempt count, one at a time, deadline, a stream that has begun.
        if o.ended
            || o.streaming
            || !o.out.is_empty()
            || o.sends >= self.s.max_attempts
            || now >= o.r.expires
        {
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
            match class.effect {
                Effect::Safe => {}
                Effect::Keyed if same && now < at + class.dedup_window - 1.0 => {}
                _ => return false,
            }
        }
        // Drain and zone, of the member asked and of the source.
        let ends: Vec<MemberId> = [Some(to), source.filter(|s| *s != to)].into_iter().flatten().collect();
        for m in &ends {
            if self.peers.get(m).is_none_or(|p| !p.usable(now)) {
                return false;
            }
        }
        let target = self.peers[&to].m;
        let local = self.is_cache(&target) && target.zone == self.s.zone;
        if !local && (!self.s.direct || self.is_cache(&target)) {
            return false;
        }
        // Cold budgets, of both; look-ups count, and so do fills that may turn out to be hits.
        let work = self.work(&o.r);
        let cost = self.classes[o.r.class].mean * 1.1;
        let rule = |c: &Self, m: &Member| {
            if c.is_cache(m) { c.s.cold_cache } else { c.s.cold_parent }
        };
        for m in &ends {
            let (member, sharers) = (self.peers[m].m, self.sharers(&self.peers[m].m));
            let rule = rule(self, &member);
            if Self::is_kind(&member, self.s.origin_kind) {
                continue;
            }
            if !self.peers.get_mut(m).is_some_and(|p| p.cold_room(&rule, sharers, cost, now)) {
                return false;
            }
        }
        for m in &ends {
            if let Some(p) = self.peers.get_mut(m) {
                p.spend(cost);
            }
        }
        // Time: give up early enough for one more attempt while there are attempts left.
        let o = &self.open[&id];
        let (mean, dev) = self.classes[o.r.class].pace[usize::from(kind != Kind::LookUp)];
        let left = o.r.expires - now;
        let limit = ((work + WAY) * (mean + SPREAD * dev)).max(LEAST_LIMIT);
        let last = o.sends + 1 >= self.s.max_attempts || left < 2.0 * (work + WAY) * mean;
        let until = if last { o.r.expires } else { now + limit.min(left - (work + WAY) * mean) };
        let bound = self.purge_bound(&o.r, now);
        let fresh = class.fresh;
        let age = match bound {
            Some(b) if fresh > 0.0 => b.min(fresh),
            Some(b) => b,
            None => 0.0,
        };
        let how = How { join: self.s.joins && kind != Kind::LookUp, ..How::default() };
        let is_origin = Self::is_kind(&target, self.s.origin_kind);
        let plain = kind == Kind::LookUp && bound.is_none() || is_origin;
        acts.push(if plain {
            Action::LookUp { request: id, member: to, until }
        } else {
            let keep = if class.write || !local { 0 } else { RANK };
            Action::Get { request: id, member: to, until, source: source.unwrap_or(to), keep, age, how }
        });
        // Books.
        let mut trial = false;
        for m in &ends {
            let fill = *m != to;
            if let Some(p) = self.peers.get_mut(m) {
                if fill {
                    p.fills += work;
                } else {
                    p.out += work;
                    if p.unanswered == 0 {
                        p.unanswered_since = now;
                    }
                    p.unanswered += 1;
                }
                if p.trial.is_some() {
                    p.trial_out = true;
                    trial = true;
                }
            }
        }
        let Some(o) = self.open.get_mut(&id) else { return false };
        o.out.push(Attempt { no: o.sends, member: to, source, kind, work, sent: now, trial });
        o.sends += 1;
        true
    }

    // ---- Dispatch -------------------------------------------------------------------------------------

    fn request(&mut self, now: Millis, r: Request, acts: &mut Vec<Action>) {
        if r.class >= self.classes.len() {
            acts.push(Action::Fail { request: r.id });
            return;
        }
        self.retries = (self.retries + RETRY_EARN).min(RETRY_MOST);
        if let Some(kb) = r.size
            && self.s.flow > 0.0
        {
            self.learn_mean(r.class, kb / self.s.flow * 1000.0);
        }
        let id = r.id;
        let open = Open {
            r,
            arrived: now,
            ended: false,
            sends: 0,
            out: Vec::new(),
            maybe_run: None,
            bad: Vec::new(),
            waiting: None,
            leading: false,
            streaming: false,
        };
        self.open.insert(id, open);
        self.route(now, id, acts);
    }

    fn learn_mean(&mut self, class: usize, work: f64) {
        let c = &mut self.classes[class];
        c.count = (c.count + 1.0).min(300.0);
        // The first guess weighs as five answers.
        c.mean += (work - c.mean) / (c.count + 5.0);
    }

    /// Sends a request on its way: a look-up at the first cache that will do, else past the caches.
    fn route(&mut self, now: Millis, id: RequestId, acts: &mut Vec<Action>) {
        let Some(o) = self.open.get(&id) else { return };
        let (object, class) = (o.r.object, o.r.class);
        if self.s.classes[class].write {
            return self.write(now, id, acts);
        }
        let bad = o.bad.clone();
        let order = self.spilled(self.caches(object));
        for cache in order.into_iter().filter(|c| !bad.contains(c)) {
            if self.emit(now, id, cache, None, Kind::LookUp, acts) {
                return;
            }
        }
        self.direct(now, id, acts);
    }

    /// No cache will do: straight to the parents, in their order, then to the origin.
    fn direct(&mut self, now: Millis, id: RequestId, acts: &mut Vec<Action>) {
        let Some(o) = self.open.get(&id) else { return };
        let bad = o.bad.clone();
        let origin = self.origin();
        if self.s.direct {
            let parents = self.spilled(self.parents(o.r.object));
            for p in parents.into_iter().filter(|p| !bad.contains(p)) {
                if self.emit(now, id, p, origin, Kind::Direct, acts) {
                    return;
                }
            }
            if let Some(origin) = origin
                && self.emit(now, id, origin, Some(origin), Kind::Direct, acts)
            {
                return;
            }
        }
        self.give_up(now, id, acts);
    }

    /// A write runs at the origin: straight, else through a parent or a cache.
    fn write(&mut self, now: Millis, id: RequestId, acts: &mut Vec<Action>) {
        let Some(o) = self.open.get(&id) else { return };
        let Some(origin) = self.origin() else { return self.give_up(now, id, acts) };
        let object = o.r.object;
        if self.emit(now, id, origin, Some(origin), Kind::Direct, acts) {
            return;
        }
        let ways = if self.s.direct { self.parents(object) } else { self.spilled(self.caches(object)) };
        for way in ways {
            if self.emit(now, id, way, Some(origin), Kind::Direct, acts) {
                return;
            }
        }
        self.give_up(now, id, acts);
    }

    /// After a miss at a cache: lead, wait, or join at once.
    fn missed(&mut self, now: Millis, id: RequestId, cache: MemberId, acts: &mut Vec<Action>) {
        let Some(o) = self.open.get(&id) else { return };
        let key = (o.r.object, o.r.part);
        let large = self.s.joins && self.work(&o.r) >= LARGE;
        let entry = self.table.entry(key).or_default();
        match entry.leader {
            None => {
                entry.leader = Some(id);
                entry.cache = cache;
                self.lead(now, id, cache, acts);
            }
            Some(_) if large || entry.waiters.len() >= WAITERS_MOST => {
                let at = entry.cache;
                self.fill(now, id, at, acts);
            }
            Some(_) => {
                entry.waiters.push_back(id);
                if let Some(o) = self.open.get_mut(&id) {
                    o.waiting = Some(now);
                }
            }
        }
    }

    fn lead(&mut self, now: Millis, id: RequestId, cache: MemberId, acts: &mut Vec<Action>) {
        if let Some(o) = self.open.get_mut(&id) {
            o.leading = true;
        }
        self.fill(now, id, cache, acts);
    }

    /// A fill at a cache, from the first source that will do.
    fn fill(&mut self, now: Millis, id: RequestId, cache: MemberId, acts: &mut Vec<Action>) {
        let Some(o) = self.open.get(&id) else { return };
        let bad = o.bad.clone();
        let object = o.r.object;
        if self.peers.get(&cache).is_some_and(|p| p.usable(now)) && !bad.contains(&cache) {
            let mut sources = self.spilled(self.parents(object));
            sources.extend(self.origin());
            for source in sources.into_iter().filter(|s| !bad.contains(s)) {
                if self.emit(now, id, cache, Some(source), Kind::Fill, acts) {
                    return;
                }
            }
        }
        let others: Vec<MemberId> =
            self.spilled(self.caches(object)).into_iter().filter(|c| *c != cache && !bad.contains(c)).collect();
        let mut sources = self.spilled(self.parents(object));
        sources.extend(self.origin());
        for other in others {
            for source in sources.iter().filter(|s| !bad.contains(s)) {
                if self.emit(now, id, other, Some(*source), Kind::Fill, acts) {
                    if let Some(e) = self.table.get_mut(&(object, self.open[&id].r.part))
                        && e.leader == Some(id)
                    {
                        e.cache = other;
                    }
                    return;
                }
            }
        }
        self.direct(now, id, acts);
    }

    /// The final answer when nothing more can be done: at once, as a refusal where that is harmless.
    fn give_up(&mut self, now: Millis, id: RequestId, acts: &mut Vec<Action>) {
        let Some(o) = self.open.get_mut(&id) else { return };
        if !o.ended {
            let class = &self.s.classes[o.r.class];
            let harmless = match class.effect {
                Effect::Safe => true,
                Effect::Keyed => o.maybe_run.is_none() || class.group == Group::All,
                Effect::Unsafe => o.maybe_run.is_none(),
            };
            o.ended = true;
            acts.push(if harmless {
                let retry_after = if self.s.retry_after { self.s.max_retry_after.min(400.0) } else { 0.0 };
                Action::Refuse { request: id, retry_after }
            } else {
                Action::Fail { request: id }
            });
        }
        self.close(now, id, false, acts);
    }

    /// Forgets an ended request. If it led, its waiters get the fill's benefit or the lead.
    fn close(&mut self, now: Millis, id: RequestId, filled: bool, acts: &mut Vec<Action>) {
        let Some(o) = self.open.get_mut(&id) else { return };
        if !o.out.is_empty() {
            return; // its outcome is still to come
        }
        let key = (o.r.object, o.r.part);
        let bad = std::mem::take(&mut o.bad);
        self.open.remove(&id);
        self.pass_on(now, id, key, filled, bad, acts);
    }

    /// The leader is done: on success the waiters go to its cache, else the oldest of them leads.
    fn pass_on(
        &mut self,
        now: Millis,
        id: RequestId,
        key: Key,
        filled: bool,
        bad: Vec<MemberId>,
        acts: &mut Vec<Action>,
    ) {
        let Some(entry) = self.table.get_mut(&key) else { return };
        if entry.leader != Some(id) {
            entry.waiters.retain(|w| *w != id);
            return;
        }
        let cache = entry.cache;
        if filled {
            let waiters = self.table.remove(&key).map(|e| e.waiters).unwrap_or_default();
            for w in waiters {
                if let Some(o) = self.open.get_mut(&w) {
                    o.waiting = None;
                }
                if !self.emit(now, w, cache, None, Kind::LookUp, acts) {
                    self.route(now, w, acts);
                }
            }
            return;
        }
        while let Some(next) = self.table.get_mut(&key).and_then(|e| e.waiters.pop_front()) {
            let Some(o) = self.open.get_mut(&next) else { continue };
            o.waiting = None;
            o.bad.extend(bad);
            if let Some(e) = self.table.get_mut(&key) {
                e.leader = Some(next);
            }
            return self.lead(now, next, cache, acts);
        }
        self.table.remove(&key);
    }

    #[allow(clippy::too_many_arguments)]
    fn outcome(
        &mut self,
        now: Millis,
        id: RequestId,
        no: u32,
        member: MemberId,
        ending: Ending,
        elapsed: Millis,
        finished: bool,
        note: Note,
        acts: &mut Vec<Action>,
    ) {
        let Some(o) = self.open.get_mut(&id) else { return };
        let Some(i) = o.out.iter().position(|a| a.no == no && a.member == member) else { return };
        let a = o.out.remove(i);
        o.ended |= finished;
        let never_ran = matches!(ending, Ending::Full | Ending::ConnectFailed | Ending::Moot | Ending::Miss);
        if !never_ran && o.maybe_run.is_none() {
            o.maybe_run = Some((a.sent, a.member));
        }
        let (class, leading, ended) = (o.r.class, o.leading, o.ended);
        let key = (o.r.object, o.r.part);
        self.book(now, &a, class, ending, elapsed, note, acts);
        if ending == Ending::Ok || ended {
            if ending == Ending::Ok && a.kind != Kind::Direct && !leading {
                // A fill that was not led (a join, one gone alone) serves the waiters as well.
            }
            let filled = ending == Ending::Ok && a.kind == Kind::Fill;
            if ending == Ending::Ok
                && let Some(o) = self.open.get_mut(&id)
            {
                o.ended = true;
            }
            return self.close(now, id, filled, acts);
        }
        let Some(o) = self.open.get_mut(&id) else { return };
        if ending == Ending::Miss && a.kind == Kind::LookUp {
            return self.missed(now, id, member, acts);
        }
        // A failure: whom the request avoids from now on.
        let source_fault = a.kind == Kind::Fill
            && !matches!(ending, Ending::ConnectFailed | Ending::Reset)
            && note != Note::NoPlace;
        match a.source {
            Some(s) if source_fault => o.bad.push(s),
            _ => o.bad.push(member),
        }
        o.leading = false;
        let bad = o.bad.clone();
        self.retries -= 1.0;
        if self.retries < 0.0 || now >= self.open[&id].r.expires {
            self.retries = self.retries.max(0.0);
            return self.give_up(now, id, acts);
        }
        if leading && a.kind != Kind::LookUp {
            let others = self.table.get(&key).is_some_and(|e| !e.waiters.is_empty());
            if others {
                self.pass_on(now, id, key, false, bad, acts);
                return match self.table.get(&key) {
                    Some(_) => self.missed(now, id, member, acts),
                    None => self.route(now, id, acts),
                };
            }
            return self.lead(now, id, member, acts);
        }
        match a.kind {
            Kind::Fill => self.fill(now, id, member, acts),
            _ => self.route(now, id, acts),
        }
    }

    /// Books an outcome: loads, learned paces, health.
    #[allow(clippy::too_many_arguments)]
    fn book(
        &mut self,
        now: Millis,
        a: &Attempt,
        class: usize,
        ending: Ending,
        elapsed: Millis,
        note: Note,
        acts: &mut Vec<Action>,
    ) {
        if let Some(p) = self.peers.get_mut(&a.member) {
            p.out = (p.out - a.work).max(0.0);
            if !matches!(ending, Ending::Timeout | Ending::Cancelled | Ending::Moot) {
                p.answered();
            }
            if a.trial {
                p.trial_out = false;
            }
        }
        let source = a.source.filter(|s| *s != a.member);
        if let Some(p) = source.and_then(|s| self.peers.get_mut(&s)) {
            p.fills = (p.fills - a.work).max(0.0);
            if a.trial {
                p.trial_out = false;
            }
        }
        let ratio = elapsed / (a.work + WAY);
        match ending {
            Ending::Ok => {
                let (mean, dev) = &mut self.classes[class].pace[usize::from(a.kind != Kind::LookUp)];
                *dev += 0.05 * ((ratio - *mean).abs() - *dev);
                *mean += 0.05 * (ratio - *mean);
                let blame = source.unwrap_or(a.member);
                self.judge(now, blame, true, Some(ratio), acts);
                if blame != a.member {
                    self.judge(now, a.member, true, None, acts);
                }
            }
            Ending::Miss => self.judge(now, a.member, true, None, acts),
            Ending::Moot | Ending::Cancelled => {}
            Ending::ConnectFailed | Ending::Reset => {
                self.judge(now, a.member, false, None, acts);
                self.judge(now, a.member, false, None, acts);
            }
            Ending::Full | Ending::Error | Ending::Timeout => match (source, note) {
                (_, Note::NoPlace | Note::SourceLacks | Note::OriginFailed) => {}
                (Some(s), _) => self.judge(now, s, false, None, acts),
                (None, _) => self.judge(now, a.member, false, None, acts),
            },
        }
    }

    fn gone(&mut self, now: Millis, id: RequestId, acts: &mut Vec<Action>) {
        if let Some(o) = self.open.get_mut(&id) {
            o.ended = true;
            self.close(now, id, false, acts);
        }
    }

    // ---- The sweep ------------------------------------------------------------------------------------

    /// Waiters whose time has come go alone; silent members are left out; old purges are forgotten.
    fn sweep(&mut self, now: Millis, acts: &mut Vec<Action>) {
        self.purged_objects.retain(|_, p| now <= p.until);
        self.purged_groups.retain(|_, p| now <= p.until);
        let silent: Vec<MemberId> = self
            .peers
            .values()
            .filter(|p| p.unanswered >= SILENT_SENDS && now - p.unanswered_since > SILENT_FOR)
            .map(|p| p.m.id)
            .collect();
        for id in silent {
            if let Some(p) = self.peers.get_mut(&id) {
                p.unanswered = 0;
            }
            self.leave_out(now, id, "silent", acts);
        }
        let mut due = Vec::new();
        for (id, o) in &self.open {
            if let Some(since) = o.waiting {
                let need = (self.work(&o.r) + WAY) * self.classes[o.r.class].pace[1].0;
                if now - since >= WAIT || o.r.expires - now <= need + SWEEP {
                    due.push(*id);
                }
            }
        }
        for id in due {
            let Some(o) = self.open.get_mut(&id) else { continue };
            o.waiting = None;
            let key = (o.r.object, o.r.part);
            let Some(entry) = self.table.get_mut(&key) else { continue };
            entry.waiters.retain(|w| *w != id);
            let cache = entry.cache;
            self.fill(now, id, cache, acts);
        }
    }

    /// The next number of the seeded sequence.
    #[allow(dead_code)]
    fn chance(&mut self) -> f64 {
        self.rng = self.rng.wrapping_add(0x9e37_79b9_7f4a_7c15);
        (mix(self.rng) >> 11) as f64 / (1u64 << 53) as f64
    }
}
