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
/// ms by which a sweep that late tells that the router itself stood still.
const ASLEEP: Millis = 100.0;
/// ms until a broken subscription to the list is asked for again.
const REWATCH: Millis = 500.0;
/// ms: the design's lock time-out; nobody waits longer for a leader.
const WAIT: Millis = 3000.0;
/// ms of own sending time from which waiting for the leader costs more than joining its fill at once.
const LARGE: Millis = 100.0;
/// ms that a client must still have for another attempt.
const LEAST_LEFT: Millis = 5.0;
/// Rank of ordinary copies, the middle one.
const RANK: u8 = 2;
/// ms: allowance for ways and queues that adds to every sending time; and what a hit never spends less.
const WAY: Millis = 60.0;
const LEAST_WAY: Millis = 5.0;
/// Answers out over a member's link from which its objects may spill; and from which a parent is passed.
const SPILL_AT: f64 = 1.5;
const PASS_AT: f64 = 3.0;
/// ms over which our part of a load is averaged to guess the other routers'.
const MEAN_SPAN: Millis = 1000.0;
/// ms over which a report loses its weight against that guess; and between probes where only they report.
const TOLD_SPAN: Millis = 2000.0;
const PROBE_EVERY: Millis = 1000.0;
const TRUST: f64 = 0.5;
const TOLD_STEP: f64 = 0.3;
/// Fullness reported of the location's link, of which full pace is the unit, for one at a client's pace.
const TOLD_PACE: f64 = 1.0;
/// Times the mean load of its pool that a member may hold (bounded loads).
const BOUND: f64 = 1.3;
/// Share of the cold rule that all routers together use, and times a class's mean sending time that one
/// send weighs: room for misjudged times.
const COLD_SHARE: f64 = 0.8;
const COLD_COST: f64 = 1.1;
/// Share of the longest deadline that a whole send to a cold member may weigh: more than a class's mean.
const WHOLE: f64 = 0.125;
/// Weight of one outcome in a member's error share; the share over so many times its peers' mean that leaves
/// it out; the failures in a row that do so whatever its peers do.
const ERR_STEP: f64 = 0.07;
const ERR_LIMIT: f64 = 0.3;
const ERR_USUAL: f64 = 2.0;
const FAILS_CERTAIN: u32 = 6;
/// Weight of one answer in a member's pace, answers before it counts, and times its peers' that are slow.
const PACE_STEP: f64 = 0.08;
const PACE_FROM: u32 = 8;
const SLOW_FROM: f64 = 1.6;
/// Sends without any answer, and ms since the first of them, that make a member silent.
const SILENT_SENDS: u32 = 4;
const SILENT_FOR: Millis = 900.0;
/// ms that a member is left out at first and at most; doubled from one to the next.
const OUT_FIRST: Millis = 1000.0;
const OUT_MOST: Millis = 8000.0;
/// Good answers in a row that end a member's trial.
const TRIAL_GOOD: u32 = 3;
/// ms for which a member that was out of reach and is back may have started anew without the list telling;
/// longer than lists take to tell of a start.
const UNTOLD: Millis = 5000.0;
/// Further attempts after failures: earned by each request, saved up at most, and the price of one after a
/// failure that cost the member little.
const RETRY_EARN: f64 = 0.1;
const RETRY_MOST: f64 = 20.0;
const RETRY_LIGHT: f64 = 0.2;
/// Times a client's pace at which a fill is taken to run on an idle link, where reports do not tell; weight
/// of one report where they do, and the least fullness that tells anything.
const FILL_PACE: f64 = 1.5;
const FIT_STEP: f64 = 0.02;
const FIT_FROM: f64 = 0.3;
/// ms over which an object's share of the work is counted, the share of one cache's part from which its
/// parts are spread, once so much work is counted; the objects known at most, and ms after which an idle
/// one is forgotten.
const HOT_SPAN: Millis = 3000.0;
const HOT_SHARE: f64 = 0.2;
const HOT_FROM: Millis = 2000.0;
const OBJECTS_MOST: usize = 8192;
const OBJECT_SPAN: Millis = 30_000.0;
/// Times what it was expected to take after which an attempt is overdue.
const OVERDUE: f64 = 2.5;
const OVERDUE_UNSURE: f64 = 500.0;
/// Times what it should take at most after which a fill or direct send counts as stalled.
const STALL: f64 = 2.0;
/// Requests that wait for one fill, at most; later ones go alone.
const WAITERS_MOST: usize = 512;
/// Share of its aim that a refused client is asked to stay away: there is time to be served within it.
const COME_BACK: f64 = 0.2;
/// Log lines of one router, at most.
const LOGS: u32 = 60;

// ---- Members: list, drain, cold, health -----------------------------------------------------------------

#[derive(Default)]
struct Peer {
    m: Member,
    /// The window in which it was last sent to while cold, and the ms of sending spent on it then.
    turn: f64,
    spent: f64,
    /// When this router first heard of it; what it sent in that window before its own restart is not known.
    known: Millis,
    /// Our attempts out that draw on its link, and fills out that name it as the source; their mean of late.
    out: f64,
    fills: f64,
    usual: Shared,
    probed: Millis,
    /// Failures in a row; share of errors lately; pace as a multiple of what is expected, and its answers.
    fails: u32,
    err: f64,
    pace: f64,
    answers: u32,
    /// Sends since its last sign of life, and when the first of them went.
    unanswered: u32,
    unanswered_since: Millis,
    /// Left out until then, and for how long; afterwards on trial until enough good answers.
    out_until: Millis,
    out_span: Millis,
    trial: Option<u32>,
    trial_out: bool,
    /// Out of reach; and the first sign of life after that.
    lost: bool,
    back: Option<Millis>,
}

impl Peer {
    fn new(m: Member, now: Millis) -> Self {
        let out_until = f64::MIN;
        Peer { m, known: now, turn: f64::MIN, pace: 1.0, out_until, ..Peer::default() }
    }

    fn usable(&self, now: Millis) -> bool {
        self.m.lifecycle == Lifecycle::Ready
            && now >= self.out_until
            && !(self.trial.is_some() && self.trial_out)
    }

    /// What is left for one router in this window to send to a cold member, in ms of sending.
    /// Time is cut into windows of the rule's length on the common clock. In each all routers together may
    /// send half of COLD_SHARE of what the rule allows on the slowest ramp, so that any span of that length,
    /// which touches two windows, stays under it, whoever knows of the start and whoever does not. It is
    /// split evenly while every part holds a whole send; else half of it goes in whole sends to those whose
    /// turn it is, a run of positions that all routers find alike and that grows as the member warms.
    /// A member back from out of reach counts as cold too: it may have died and come back before the list
    /// tells, and all routers at once would push it over. It costs a hung one some seconds of little work.
    fn cold_room(&mut self, s: &Settings, rule: &ColdRule, sharers: f64, now: Millis) -> f64 {
        let untold = self.back.filter(|b| now - b < UNTOLD);
        let started = self.m.started.into_iter().chain(untold).fold(f64::MIN, f64::max);
        let (window, turn) = (rule.window.max(1.0), (now / rule.window.max(1.0)).floor());
        if now - started >= rule.ramp {
            return f64::MAX;
        }
        if self.turn != turn {
            (self.turn, self.spent) = (turn, if turn * window < self.known { f64::MAX } else { 0.0 });
        }
        let age = (turn * window - started).max(0.0);
        let capacity = (rule.from + (1.0 - rule.from) * age / rule.ramp) * self.m.weight;
        let quota = COLD_SHARE * rule.multiple * capacity * window * 0.5;
        let whole = s.classes.iter().map(|c| c.deadline * WHOLE).fold(1.0, f64::max);
        if quota / sharers >= whole {
            return quota / sharers - self.spent;
        }
        let all = u64::from(s.routers.max(1));
        let first = mix(u64::from(self.m.id) ^ mix(turn as u64)) % all;
        let place = (u64::from(s.position) + first) % all;
        let extra = if (place as f64) < (quota * 0.5 / whole).floor() { whole } else { 0.0 };
        quota * 0.5 / sharers + extra - self.spent
    }
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

// ---- Requests, attempts, the collapse table --------------------------------------------------------------

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
    sent: Millis,
    /// Load of the member when it was sent, and what the answer was expected to take.
    load: f64,
    expected: Millis,
    /// Whether the request's sending time was told or learned of its object.
    sure: bool,
    trial: bool,
    /// It draws on the location's link by itself.
    linked: bool,
    /// When it counts as stalled: waiting for a source that does not send, it draws on no link; and whether.
    stalls_at: Millis,
    stalled: bool,
}

#[derive(Default)]
struct Open {
    r: Request,
    arrived: Millis,
    /// Nothing is owed any more; kept while an outcome is still to come.
    ended: bool,
    streaming: bool,
    sends: u32,
    out: Vec<Attempt>,
    /// First attempt that may have run: when it was sent, and where.
    maybe_run: Option<(Millis, MemberId)>,
    /// Members that failed this request.
    bad: Vec<MemberId>,
    waiting: Option<Millis>,
}

type Key = (u64, u32);

struct Collapse {
    leader: RequestId,
    cache: MemberId,
    waiters: VecDeque<RequestId>,
}

/// What is known of an object: the work asked for lately and when that was brought up to date; the sending
/// time of one part as learned from its hits, where sizes are not told.
#[derive(Clone, Copy, Default)]
struct Known {
    asked: (f64, Millis),
    sending: Option<Millis>,
}

#[derive(Clone, Copy)]
struct Ended {
    member: MemberId,
    ending: Ending,
    elapsed: Millis,
    note: Note,
    load: Option<Load>,
}

/// What the routers that share a member or link hold of it. The others' part is what a report told, while it
/// is new; else it is guessed from the mean of ours, as a few attempts of the moment times the routers would
/// be noise.
#[derive(Clone, Copy, Default)]
struct Shared {
    mean: f64,
    at: Millis,
    /// The others' amount by the last report, and when that came.
    told: Option<(f64, Millis)>,
}

impl Shared {
    /// Brings the mean up to date, our amount having held since the last time.
    fn hold(&mut self, amount: f64, now: Millis) {
        self.mean = amount + (self.mean - amount) * (-(now - self.at) / MEAN_SPAN).exp();
        self.at = now;
    }

    /// Takes what a report tells of the others. Reports are one moment each, and all routers that took them
    /// for more would turn the same way at once.
    fn tell(&mut self, others: f64, now: Millis) {
        self.told = Some((self.told.map_or(others, |(x, _)| x + TOLD_STEP * (others - x)), now));
    }

    /// All routers' amount.
    fn all(mut self, amount: f64, routers: f64, now: Millis) -> f64 {
        self.hold(amount, now);
        let others = (routers - 1.0) * self.mean;
        let told = self.told.filter(|_| routers > 1.0);
        amount
            + told.map_or(others, |(x, at)| others + (x - others) * TRUST * (-(now - at) / TOLD_SPAN).exp())
    }
}

/// What is left of an amount after a while.
fn faded((amount, at): (f64, Millis), now: Millis) -> f64 {
    amount * (-(now - at) / HOT_SPAN).exp()
}

/// One router.
pub struct Control {
    s: Settings,
    now: Millis,
    acts: Vec<Action>,
    peers: BTreeMap<MemberId, Peer>,
    /// By class: mean sending time in ms, the answers it comes from, and the pace of fills.
    means: Vec<(f64, f64, f64)>,
    open: BTreeMap<RequestId, Open>,
    table: BTreeMap<Key, Collapse>,
    /// Instant of the last purge, by object and by group.
    purged_objects: BTreeMap<u64, Millis>,
    purged_groups: BTreeMap<u32, Millis>,
    /// Work asked for lately in all, and when that was brought up to date; what is known by object.
    asked: (f64, Millis),
    objects: BTreeMap<u64, Known>,
    /// Our attempts that draw on the location's link, and the transfers that fit it as learned.
    link_out: f64,
    link_usual: Shared,
    link_fit: Option<f64>,
    retries: f64,
    probed: Millis,
    sweeping: bool,
    sweep_due: Millis,
    logs: u32,
}

impl Control {
    /// A router that has just started and knows nothing but its settings. The seed is for decisions by
    /// chance; there are none so far.
    pub fn new(settings: Settings, _seed: u64) -> Self {
        Control {
            means: settings.classes.iter().map(|c| (c.deadline / 10.0, 0.0, 2.0)).collect(),
            s: settings,
            now: 0.0,
            acts: Vec::new(),
            peers: BTreeMap::new(),
            open: BTreeMap::new(),
            table: BTreeMap::new(),
            purged_objects: BTreeMap::new(),
            purged_groups: BTreeMap::new(),
            asked: (0.0, 0.0),
            objects: BTreeMap::new(),
            link_out: 0.0,
            link_usual: Shared::default(),
            link_fit: None,
            retries: RETRY_MOST,
            probed: 0.0,
            sweeping: false,
            sweep_due: 0.0,
            logs: 0,
        }
    }

    /// Takes one event and appends what is to be done.
    pub fn handle(&mut self, now: Millis, event: Event, acts: &mut Vec<Action>) {
        self.now = now;
        match event {
            Event::Started if self.s.list_on_request => self.acts.push(Action::Watch(true)),
            Event::Timer(1) => self.acts.push(Action::Watch(true)),
            Event::Members(ListKind::Failed, _) => {
                self.acts.push(Action::Timer { token: 1, at: now + REWATCH });
            }
            Event::Members(kind, list) => self.members(kind, list),
            Event::Request(r) => self.request(r),
            Event::First { request, attempt } => {
                if let Some(o) = self.open.get_mut(&request) {
                    o.streaming |= o.out.iter().any(|a| a.no == attempt);
                }
            }
            Event::Outcome { request, attempt, member, ending, elapsed, finished, note, load } => {
                self.outcome(request, attempt, Ended { member, ending, elapsed, note, load }, finished);
            }
            Event::Gone(id) => {
                if let Some(o) = self.open.get_mut(&id) {
                    o.ended = true;
                    self.close(id);
                }
            }
            Event::Timer(_) => {
                self.sweeping = false;
                self.sweep();
            }
            Event::Purged { object, group, age } => {
                let at = now - age.max(0.0);
                let last = match object {
                    Some(o) => self.purged_objects.entry(o).or_insert(at),
                    None => self.purged_groups.entry(group).or_insert(at),
                };
                *last = last.max(at);
            }
            Event::Probed { member, load: Some(load), .. } => self.told(member, load),
            Event::Probed { .. } | Event::Peer(..) | Event::Started => {}
        }
        if !self.sweeping && !self.open.is_empty() {
            (self.sweeping, self.sweep_due) = (true, now + SWEEP);
            self.acts.push(Action::Timer { token: 0, at: self.sweep_due });
        }
        acts.append(&mut self.acts);
    }

    fn members(&mut self, kind: ListKind, list: Vec<Member>) {
        if kind != ListKind::Delta {
            let left = self.peers.values_mut().filter(|p| !list.iter().any(|m| m.id == p.m.id));
            left.for_each(|p| p.m.lifecycle = Lifecycle::Gone);
        }
        for m in list {
            match self.peers.get_mut(&m.id) {
                Some(p) if m.lifecycle == Lifecycle::Gone => p.m.lifecycle = Lifecycle::Gone,
                None if m.lifecycle == Lifecycle::Gone => {}
                Some(p) if p.m.started == m.started => p.m = m,
                // Also a new process: it knows nothing of the old one's troubles, its budget starts anew.
                _ => {
                    self.peers.insert(m.id, Peer::new(m, self.now));
                }
            }
        }
        // One that left while cold is kept: should the list take it back, its budget is spent as before.
        let (now, ramp) = (self.now, self.s.cold_cache.ramp.max(self.s.cold_parent.ramp));
        let cold = |p: &Peer| p.m.started.is_some_and(|s| now - s < ramp);
        self.peers.retain(|_, p| p.m.lifecycle != Lifecycle::Gone || cold(p));
    }

    fn is_parent(&self, m: &Member) -> bool {
        self.s.parent_kind == Some(m.kind)
    }

    fn is_origin(&self, m: &Member) -> bool {
        self.s.origin_kind == Some(m.kind)
    }

    fn is_cache(&self, m: &Member) -> bool {
        !self.is_parent(m) && !self.is_origin(m)
    }

    /// The others that stand in for a member.
    fn pool(&self, m: &Member) -> impl Iterator<Item = &Peer> {
        let (id, kind, zone, cache) = (m.id, m.kind, m.zone, self.is_cache(m));
        let like = move |p: &Member| if cache { self.is_cache(p) && p.zone == zone } else { p.kind == kind };
        let ready = self.peers.values().filter(|p| p.m.lifecycle == Lifecycle::Ready);
        ready.filter(move |p| p.m.id != id && like(&p.m))
    }

    /// Leaves a member out for a while. On doubtful signs at most half of a pool is out; silence and
    /// constant failure are certain enough for all of it: a location whose caches all died is passed by.
    fn leave_out(&mut self, id: MemberId, certain: bool, why: &str) {
        let Some(m) = self.peers.get(&id).map(|p| p.m) else { return };
        let (others, out) =
            self.pool(&m).fold((0, 0), |(n, out), p| (n + 1, out + usize::from(self.now < p.out_until)));
        let Some(p) = self.peers.get_mut(&id) else { return };
        if self.now < p.out_until || !certain && (out + 1) * 2 > others + 1 {
            return;
        }
        p.out_span = (p.out_span * 2.0).clamp(OUT_FIRST, OUT_MOST);
        p.out_until = self.now + p.out_span;
        (p.trial, p.trial_out, p.err, p.fails, p.unanswered) = (Some(0), false, 0.0, 0, 0);
        p.lost |= certain;
        if self.logs < LOGS {
            self.logs += 1;
            let (zone, kind, span) = (m.zone, m.kind, p.out_span);
            let text = format!("member {id} (kind {kind}, zone {zone}) out for {span:.0} ms: {why}");
            self.acts.push(Action::Log(text));
        }
    }

    /// Books a sign of health or trouble that the member itself caused.
    fn judge(&mut self, id: MemberId, good: bool) {
        let Some(m) = self.peers.get(&id).map(|p| p.m) else { return };
        // While the origin fails as well, it is that which fails behind the parents; they still hold copies.
        let failing = |p: &Peer| p.fails > 0 || p.err > ERR_LIMIT || p.trial.is_some();
        let behind = self.peers.values().any(|p| self.is_origin(&p.m) && failing(p));
        if !good && behind && self.is_parent(&m) {
            return;
        }
        let (sum, n) = self.pool(&m).fold((0.0, 0.0), |(sum, n), p| (sum + p.err, n + 1.0));
        let usual = if n > 0.0 { sum / n } else { 0.0 };
        let Some(p) = self.peers.get_mut(&id) else { return };
        if good && p.lost {
            (p.lost, p.back) = (false, Some(self.now));
        }
        p.fails = if good { 0 } else { p.fails + 1 };
        p.err += ERR_STEP * (if good { 0.0 } else { 1.0 } - p.err);
        match p.trial {
            Some(_) if !good => {
                let certain = p.lost;
                self.leave_out(id, certain, "failed its trial");
            }
            Some(n) if n + 1 >= TRIAL_GOOD => {
                p.trial = None;
                p.out_span *= 0.25;
            }
            Some(n) => p.trial = Some(n + 1),
            None if p.fails >= FAILS_CERTAIN => self.leave_out(id, true, "failing"),
            None if p.err > ERR_LIMIT + ERR_USUAL * usual => self.leave_out(id, false, "errors"),
            None => {}
        }
    }

    /// How many times slower than its peers a member answers, from 1. A slow one counts as a smaller one:
    /// its objects spill sooner, whatever slows it (a busy disk, pauses, a lame core). It can hurt where a
    /// member only got the harder requests; then some of its objects are kept twice.
    fn slowness(&self, p: &Peer) -> f64 {
        let mut paces: Vec<f64> =
            self.pool(&p.m).filter(|q| q.answers >= PACE_FROM).map(|q| q.pace).collect();
        if p.answers < PACE_FROM || paces.is_empty() {
            return 1.0;
        }
        paces.sort_by(f64::total_cmp);
        let ratio = p.pace / paces[(paces.len() - 1) / 2].max(0.5);
        if ratio > SLOW_FROM { ratio } else { 1.0 }
    }

    // ---- Choice of cache and source ----------------------------------------------------------------------

    fn routers_in(&self, zone: u32) -> f64 {
        f64::from(self.s.zone_routers.get(zone as usize).copied().unwrap_or(self.s.routers).max(1))
    }

    /// The routers that may send to a member.
    fn sharers(&self, m: &Member) -> f64 {
        if self.is_cache(m) { self.routers_in(m.zone) } else { f64::from(self.s.routers.max(1)) }
    }

    /// Answers out over the member's link, all routers' guessed from ours.
    fn load(&self, p: &Peer) -> f64 {
        let all = p.usual.all(p.out + p.fills, self.sharers(&p.m), self.now);
        all * self.slowness(p) / p.m.weight.max(0.1)
    }

    /// Ready members of a pool in the hash's order, those holding too much of our work moved behind.
    fn order(&self, hash: u64, limit: f64, member: impl Fn(&Member) -> bool) -> Vec<MemberId> {
        let ready = self.peers.values().filter(|p| p.m.lifecycle == Lifecycle::Ready && member(&p.m));
        let mut all: Vec<(f64, f64, MemberId)> =
            ready.map(|p| (self.load(p), score(hash, &p.m), p.m.id)).collect();
        let mean = all.iter().map(|x| x.0).sum::<f64>() / all.len().max(1) as f64;
        let over = |load: f64| load > limit && load > BOUND * mean;
        all.sort_by(|a, b| over(a.0).cmp(&over(b.0)).then(b.1.total_cmp(&a.1)).then(a.2.cmp(&b.2)));
        all.into_iter().map(|x| x.2).collect()
    }

    /// The caches of the location for a request. An object that draws much of the work is spread by its
    /// parts, in one order that all routers share.
    fn caches(&self, r: &Request) -> Vec<MemberId> {
        let hash = if r.part > 0 && self.hot(r) { r.object ^ mix(u64::from(r.part)) } else { r.object };
        self.order(hash, SPILL_AT, |m| self.is_cache(m) && m.zone == self.s.zone)
    }

    /// The sources of fills: the parents, then the origin.
    fn sources(&self, r: &Request) -> Vec<MemberId> {
        let mut all = self.order(r.object, PASS_AT, |m| self.is_parent(m));
        all.extend(self.origin());
        all
    }

    fn origin(&self) -> Option<MemberId> {
        self.order(0, f64::MAX, |m| self.is_origin(m)).first().copied()
    }

    fn hot(&self, r: &Request) -> bool {
        let own = self.objects.get(&r.object).map_or(0.0, |o| faded(o.asked, self.now));
        let ready = self.peers.values().filter(|p| p.m.lifecycle == Lifecycle::Ready);
        let caches = ready.filter(|p| self.is_cache(&p.m) && p.m.zone == self.s.zone).count();
        let all = faded(self.asked, self.now);
        all > HOT_FROM && own * caches as f64 > HOT_SHARE * all
    }

    /// Sending time of a request: told, else learned of the object, else the class's learned mean.
    fn work(&self, r: &Request) -> f64 {
        match r.size {
            Some(kb) if self.s.flow > 0.0 => kb / self.s.flow * 1000.0,
            _ => self.objects.get(&r.object).and_then(|o| o.sending).unwrap_or(self.means[r.class].0),
        }
    }

    /// Learns from a hit how long an object takes to send, crowding taken out; a quicker hit counts more.
    fn learn_sending(&mut self, r: &Request, a: &Attempt, elapsed: Millis) {
        let took = (elapsed - LEAST_WAY).max(1.0) / a.load.max(1.0);
        self.learn_mean(r.class, took);
        if let Some(o) = self.objects.get_mut(&r.object) {
            let old = o.sending.unwrap_or(took);
            o.sending = Some(old + if took < old { 0.6 } else { 0.2 } * (took - old));
        }
    }

    fn learn_mean(&mut self, class: usize, work: f64) {
        // The first guess weighs as five answers.
        let (mean, count, _) = &mut self.means[class];
        *count = (*count + 1.0).min(300.0);
        *mean += (work - *mean) / (*count + 5.0);
    }

    /// The oldest copy that will do, in ms, where a purge binds; judged at each send.
    fn purge_bound(&self, r: &Request) -> Option<f64> {
        let last = [self.purged_objects.get(&r.object), self.purged_groups.get(&r.group)];
        let last = last.into_iter().flatten().copied().fold(f64::MIN, f64::max);
        (self.now <= last + self.s.purge_done).then(|| (self.now - last - 0.002).max(0.001))
    }

    // ---- The gate ----------------------------------------------------------------------------------------

    /// The only way out for attempts: every check of the rules is here. Tells whether it was sent.
    fn emit(&mut self, id: RequestId, to: MemberId, source: Option<MemberId>, kind: Kind) -> bool {
        let now = self.now;
        let Some(o) = self.open.get(&id) else { return false };
        let class = &self.s.classes[o.r.class];
        // One at a time or, where allowed, two; attempt count, deadline, a stream that has begun.
        let most = if self.s.second_copies && class.effect == Effect::Safe { 2 } else { 1 };
        let spent = o.ended || o.streaming || o.out.len() >= most;
        if spent || o.sends >= self.s.max_attempts || o.r.expires - now < LEAST_LEFT {
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
            if !(class.effect == Effect::Safe || class.effect == Effect::Keyed && same && in_time) {
                return false;
            }
        }
        // Drain, of the member asked and of the source; zone.
        let ends: Vec<MemberId> = [Some(to), source.filter(|s| *s != to)].into_iter().flatten().collect();
        if ends.iter().any(|m| self.peers.get(m).is_none_or(|p| !p.usable(now))) {
            return false;
        }
        let target = self.peers[&to].m;
        let local = self.is_cache(&target) && target.zone == self.s.zone;
        if !local && (!self.s.direct || self.is_cache(&target)) {
            return false;
        }
        // Cold budgets, of both; look-ups count, and so do fills that may turn out to be hits.
        let (work, cost) = (self.work(&o.r), self.means[o.r.class].0 * COLD_COST);
        for m in &ends {
            let member = self.peers[m].m;
            let (sharers, warm) = (self.sharers(&member), self.is_origin(&member));
            let rule = if self.is_cache(&member) { self.s.cold_cache } else { self.s.cold_parent };
            let Some(p) = self.peers.get_mut(m) else { return false };
            if !warm && p.cold_room(&self.s, &rule, sharers, now) < cost {
                return false;
            }
        }
        // Time. An answer is given up early only where that costs little (a write) or trouble is likely (a
        // trial): elsewhere a long wait means a crowded link, and a second try would crowd it more.
        let trial = ends.iter().any(|m| self.peers[m].trial.is_some());
        let o = &self.open[&id];
        let left = o.r.expires - now;
        let early = (trial || class.write) && o.sends + 1 < self.s.max_attempts;
        let until = if early { now + (left / 2.0).max(SILENT_FOR.min(left)) } else { o.r.expires };
        let bound = self.purge_bound(&o.r);
        let age = bound.map_or(0.0, |b| if class.fresh > 0.0 { b.min(class.fresh) } else { b });
        let how = How { join: self.s.joins && kind != Kind::LookUp, ..How::default() };
        let keep = if class.write || !local { 0 } else { RANK };
        self.acts.push(if kind == Kind::LookUp && bound.is_none() || self.is_origin(&target) {
            Action::LookUp { request: id, member: to, until }
        } else {
            Action::Get { request: id, member: to, until, source: source.unwrap_or(to), keep, age, how }
        });
        // Books.
        let (load, crowd) = (self.load(&self.peers[&to]), self.crowd());
        let expected = work * load.max(1.0) + WAY;
        for m in &ends {
            let Some(p) = self.peers.get_mut(m) else { continue };
            p.spent += cost;
            p.trial_out |= p.trial.is_some();
            p.usual.hold(p.out + p.fills, now);
            if *m != to {
                p.fills += 1.0;
                continue;
            }
            p.out += 1.0;
            if p.unanswered == 0 {
                p.unanswered_since = now;
            }
            p.unanswered += 1;
        }
        let linked = kind == Kind::Direct || kind == Kind::Fill && self.leads(id);
        self.link_usual.hold(self.link_out, now);
        self.link_out += f64::from(u8::from(linked));
        let Some(o) = self.open.get_mut(&id) else { return false };
        let stalls_at = now + STALL * (work * load.max(crowd).max(1.0) + 2.0 * WAY);
        let sure = o.r.size.is_some() || self.objects.get(&o.r.object).is_some_and(|k| k.sending.is_some());
        let (no, member, sent, stalled) = (o.sends, to, now, false);
        let a = Attempt {
            no,
            member,
            source,
            kind,
            sent,
            load,
            expected,
            sure,
            trial,
            linked,
            stalls_at,
            stalled,
        };
        o.out.push(a);
        o.sends += 1;
        true
    }

    fn leads(&self, id: RequestId) -> bool {
        let key = self.open.get(&id).map(|o| (o.r.object, o.r.part));
        key.and_then(|k| self.table.get(&k)).is_some_and(|e| e.leader == id)
    }

    // ---- Admission ---------------------------------------------------------------------------------------

    /// Whether an answer after that time comes too long after its aim to be worth its work. Large answers
    /// of little worth go first, as their aims leave the least room.
    fn too_late(&self, o: &Open, takes: Millis) -> bool {
        let class = &self.s.classes[o.r.class];
        let aim = (class.aim + class.aim_stretch * self.work(&o.r)).min(class.deadline);
        let left = (aim - (self.now - o.arrived)).max(aim * 0.5);
        takes + WAY > left
    }

    /// Whether even the best cache is too crowded.
    fn caches_full(&self, o: &Open, order: &[MemberId]) -> bool {
        let usable = |c: &MemberId| self.peers.get(c).filter(|p| p.usable(self.now));
        let load = order.iter().find_map(usable).map_or(0.0, |p| self.load(p));
        o.sends == 0 && self.too_late(o, self.work(&o.r) * load.max(1.0))
    }

    /// Transfers on the location's link, with one more, over those that fit; 0 where its room is not known.
    fn crowd(&self) -> f64 {
        let all = self.link_usual.all(self.link_out, self.routers_in(self.s.zone), self.now);
        self.link_fit().map_or(0.0, |fit| (all + 1.0) / fit)
    }

    /// Transfers that fit the location's link, where that is known: told, or learned from reports.
    fn link_fit(&self) -> Option<f64> {
        let told = self.s.zone_link.get(self.s.zone as usize).copied();
        let told = told.filter(|kb| *kb > 0.0 && self.s.flow > 0.0);
        told.map(|kb| kb / self.s.flow / FILL_PACE).or(self.link_fit).map(|fit| fit.max(1.0))
    }

    /// Takes a member's report of its load.
    fn told(&mut self, id: MemberId, load: Load) {
        let (now, here, routers) = (self.now, self.s.zone, self.routers_in(self.s.zone));
        let Some(m) = self.peers.get(&id).map(|p| p.m) else { return };
        let cache = self.is_cache(&m) && m.zone == here;
        if let Some(p) = self.peers.get_mut(&id) {
            let others = load.held.map(|held| (held - p.out - p.fills).max(0.0));
            others.into_iter().for_each(|x| p.usual.tell(x, now));
        }
        let Some(full) = load.link.filter(|_| cache).map(|x| x / TOLD_PACE) else { return };
        if full > FIT_FROM {
            let fit = self.link_usual.all(self.link_out, routers, now) / full;
            self.link_fit = Some(self.link_fit.map_or(fit, |old| old + FIT_STEP * (fit - old)));
        }
        if let Some(fit) = self.link_fit() {
            let others = (full * fit - self.link_out).max(0.0);
            self.link_usual.tell(others, now);
        }
    }

    /// Whether the location's link is so crowded that one more transfer would not be through anywhere near
    /// the aim. Guards against a link that everyone fills and nobody gets through (a mass purge, dead
    /// caches, a cut link); it could hurt where the link's room is told or learned too low.
    fn link_full(&self, id: RequestId) -> bool {
        let Some(o) = self.open.get(&id) else { return false };
        let crowd = self.crowd();
        crowd > 0.0 && self.too_late(o, self.work(&o.r) * crowd.max(1.0))
    }

    // ---- Dispatch ----------------------------------------------------------------------------------------

    fn request(&mut self, r: Request) {
        if r.class >= self.means.len() {
            self.acts.push(Action::Fail { request: r.id });
            return;
        }
        self.retries = (self.retries + RETRY_EARN).min(RETRY_MOST);
        let (now, work) = (self.now, self.work(&r));
        if r.size.is_some() {
            self.learn_mean(r.class, work);
        }
        self.asked = (faded(self.asked, now) + work, now);
        if self.objects.len() < OBJECTS_MOST || self.objects.contains_key(&r.object) {
            let known = self.objects.entry(r.object).or_default();
            known.asked = (faded(known.asked, now) + work, now);
        }
        self.open.insert(r.id, Open { r, arrived: now, ..Open::default() });
        self.route(r.id);
    }

    /// Sends a request on its way: a look-up at the first cache that will do, else past the caches.
    fn route(&mut self, id: RequestId) {
        let Some(o) = self.open.get(&id) else { return };
        if self.s.classes[o.r.class].write {
            return self.write(id);
        }
        // Where a fill of ours runs, the object is looked up there.
        let filling = self.table.get(&(o.r.object, o.r.part)).map(|e| e.cache);
        let order: Vec<MemberId> = filling.into_iter().chain(self.caches(&o.r)).collect();
        if self.caches_full(o, &order) {
            return self.give_up(id);
        }
        let bad = o.bad.clone();
        if !order.into_iter().any(|c| !bad.contains(&c) && self.emit(id, c, None, Kind::LookUp)) {
            self.direct(id);
        }
    }

    /// No cache will do: straight to the parents, in their order, then to the origin.
    fn direct(&mut self, id: RequestId) {
        let Some(o) = self.open.get(&id) else { return };
        let (bad, origin, ways) = (o.bad.clone(), self.origin(), self.sources(&o.r));
        let full = self.link_full(id);
        if full || !ways.into_iter().any(|w| !bad.contains(&w) && self.emit(id, w, origin, Kind::Direct)) {
            self.give_up(id);
        }
    }

    /// A write runs at the origin: straight, else through a parent or, where neither is open, a cache.
    fn write(&mut self, id: RequestId) {
        let Some(o) = self.open.get(&id) else { return };
        let origin = self.origin();
        let mut ways = self.sources(&o.r);
        ways.rotate_right(usize::from(origin.is_some()));
        ways.extend(self.caches(&o.r));
        if origin.is_none() || !ways.into_iter().any(|w| self.emit(id, w, origin, Kind::Direct)) {
            self.give_up(id);
        }
    }

    /// After a miss at a cache: lead, wait, or join at once.
    fn missed(&mut self, id: RequestId, cache: MemberId) {
        let Some(o) = self.open.get(&id) else { return };
        // Too little time to wait for the next sweep counts like a large object.
        let alone = self.s.joins && self.work(&o.r) >= LARGE || self.last_call(o);
        let Some(entry) = self.table.get_mut(&(o.r.object, o.r.part)) else {
            let entry = Collapse { leader: id, cache, waiters: VecDeque::new() };
            self.table.insert((o.r.object, o.r.part), entry);
            return self.fill(id, cache);
        };
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
    fn last_call(&self, o: &Open) -> bool {
        let need = (self.work(&o.r) + WAY) * self.means[o.r.class].2;
        o.r.expires - self.now <= need.max(WAY) + SWEEP
    }

    /// A fill at a cache, from the first source that will do; else at the next cache; else past them.
    fn fill(&mut self, id: RequestId, cache: MemberId) {
        let Some(o) = self.open.get(&id) else { return };
        let (r, bad) = (o.r, o.bad.clone());
        if self.leads(id) && self.link_full(id) {
            return self.give_up(id);
        }
        let (sources, others) = (self.sources(&r), self.caches(&r).into_iter().filter(|c| *c != cache));
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

    /// The final answer when nothing more can be done: at once, as a refusal where that is harmless.
    fn give_up(&mut self, id: RequestId) {
        let Some(o) = self.open.get_mut(&id) else { return };
        if !o.ended {
            let class = &self.s.classes[o.r.class];
            let harmless = match class.effect {
                Effect::Safe => true,
                Effect::Keyed => o.maybe_run.is_none() || class.group == Group::All,
                Effect::Unsafe => o.maybe_run.is_none(),
            };
            o.ended = true;
            let retry_after =
                if self.s.retry_after { self.s.max_retry_after.min(COME_BACK * class.aim) } else { 0.0 };
            self.acts.push(match harmless {
                true => Action::Refuse { request: id, retry_after },
                false => Action::Fail { request: id },
            });
        }
        self.close(id);
    }

    /// Forgets an ended request that has nothing out.
    fn close(&mut self, id: RequestId) {
        if let Some(o) = self.open.get(&id).filter(|o| o.out.is_empty()) {
            let (key, bad) = ((o.r.object, o.r.part), o.bad.clone());
            self.open.remove(&id);
            self.pass_on(id, key, None, bad);
        }
    }

    /// A request stops waiting or leading. If it led: after a fill its waiters go to that cache, else the
    /// oldest of them leads.
    fn pass_on(&mut self, id: RequestId, key: Key, filled: Option<MemberId>, bad: Vec<MemberId>) {
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

    // ---- Outcomes ----------------------------------------------------------------------------------------

    fn outcome(&mut self, id: RequestId, no: u32, end: Ended, finished: bool) {
        let Some(o) = self.open.get_mut(&id) else { return };
        let Some(i) = o.out.iter().position(|a| a.no == no && a.member == end.member) else { return };
        let a = o.out.remove(i);
        let ok = end.ending == Ending::Ok;
        o.ended |= finished || ok;
        let never_ran =
            matches!(end.ending, Ending::Full | Ending::ConnectFailed | Ending::Moot | Ending::Miss);
        if !never_ran && o.maybe_run.is_none() {
            o.maybe_run = Some((a.sent, a.member));
        }
        let (r, ended) = (o.r, o.ended);
        self.book(&a, &r, end);
        if ended {
            // What is out beside it is called off; its waiters need not wait for that.
            let out: Vec<u32> =
                self.open.get(&id).map(|o| o.out.iter().map(|a| a.no).collect()).unwrap_or_default();
            if self.s.cancel {
                self.acts.extend(out.into_iter().map(|attempt| Action::Cancel { request: id, attempt }));
            }
            if ok && a.kind != Kind::Direct {
                self.pass_on(id, (r.object, r.part), Some(a.member), Vec::new());
            }
            return self.close(id);
        }
        if end.ending == Ending::Miss && a.kind == Kind::LookUp {
            return self.missed(id, a.member);
        }
        // A failure: whom the request avoids from now on.
        let at_cache = matches!(end.ending, Ending::ConnectFailed | Ending::Reset | Ending::Cancelled);
        let at_source = a.kind == Kind::Fill && !at_cache && end.note != Note::NoPlace;
        let guilty = a.source.filter(|_| at_source).unwrap_or(a.member);
        let Some(o) = self.open.get_mut(&id) else { return };
        if !o.out.is_empty() {
            return;
        }
        o.bad.push(guilty);
        let (key, bad) = ((r.object, r.part), o.bad.clone());
        let price = if matches!(end.ending, Ending::Full | Ending::Timeout) { 1.0 } else { RETRY_LIGHT };
        if self.retries < price || self.now >= r.expires {
            return self.give_up(id);
        }
        self.retries -= price;
        if a.kind != Kind::Fill {
            return self.route(id);
        }
        if self.table.get(&key).is_some_and(|e| e.leader == id && !e.waiters.is_empty()) {
            self.pass_on(id, key, None, bad);
        }
        self.missed(id, a.member);
    }

    /// Books an outcome: loads, learned times, health.
    fn book(&mut self, a: &Attempt, r: &Request, end: Ended) {
        let source = a.source.filter(|s| *s != a.member);
        self.link_usual.hold(self.link_out, self.now);
        self.link_out -= f64::from(u8::from(a.linked));
        for m in [Some(a.member), source].into_iter().flatten() {
            let Some(p) = self.peers.get_mut(&m) else { continue };
            p.trial_out &= !a.trial;
            p.usual.hold(p.out + p.fills, self.now);
            if m != a.member {
                p.fills = (p.fills - 1.0).max(0.0);
                continue;
            }
            p.out = (p.out - f64::from(u8::from(!a.stalled))).max(0.0);
            if !matches!(end.ending, Ending::Timeout | Ending::Cancelled | Ending::Moot) {
                p.unanswered = 0;
            }
        }
        end.load.into_iter().for_each(|load| self.told(a.member, load));
        let origin = self.peers.get(&a.member).is_some_and(|p| self.is_origin(&p.m));
        match end.ending {
            Ending::Ok => {
                let pace = end.elapsed / a.expected;
                if a.kind == Kind::Fill {
                    self.means[r.class].2 += 0.05 * (pace - self.means[r.class].2);
                } else if let Some(p) = self.peers.get_mut(&a.member) {
                    p.answers += 1;
                    p.pace += PACE_STEP * (pace - p.pace);
                }
                if r.size.is_none() && a.kind == Kind::LookUp {
                    self.learn_sending(r, a, end.elapsed);
                }
                self.judge(a.member, true);
                source.into_iter().for_each(|s| self.judge(s, true));
            }
            Ending::Miss => self.judge(a.member, true),
            Ending::Moot | Ending::Cancelled => {}
            // Crowding and the client's own deadline tell nothing of a member's health.
            Ending::Timeout if !a.trial && end.note == Note::None && !origin => {}
            Ending::Full if !a.trial && source.is_none() => {}
            Ending::ConnectFailed | Ending::Reset => self.judge(a.member, false),
            _ if matches!(end.note, Note::NoPlace | Note::SourceLacks | Note::OriginFailed) => {}
            // A fill that failed: nearly always the source, as the cache had room to look up.
            _ => self.judge(source.unwrap_or(a.member), false),
        }
    }

    // ---- The sweep ---------------------------------------------------------------------------------------

    /// Waiters whose time has come go alone; silent members are left out and what they hold called back;
    /// what has gone out of date is forgotten.
    fn sweep(&mut self) {
        let (now, done) = (self.now, self.s.purge_done);
        // A router that slept itself heard nobody: silence is counted anew.
        if now - self.sweep_due > ASLEEP {
            self.peers.values_mut().for_each(|p| p.unanswered_since = now);
        }
        self.purged_objects.retain(|_, at| now <= *at + done);
        self.purged_groups.retain(|_, at| now <= *at + done);
        if self.objects.len() * 2 > OBJECTS_MOST {
            self.objects.retain(|_, o| now - o.asked.1 < OBJECT_SPAN);
        }
        // Stalled fills make room: guards against a source that hangs, whose fills would keep the links that
        // they do not use from others; on a crowded link it lets a few more on than fit.
        for a in self.open.values_mut().flat_map(|o| &mut o.out) {
            if a.kind == Kind::LookUp || a.stalled || now < a.stalls_at {
                continue;
            }
            if a.linked {
                self.link_usual.hold(self.link_out, now);
                self.link_out -= 1.0;
            }
            if let Some(p) = self.peers.get_mut(&a.member) {
                p.usual.hold(p.out + p.fills, now);
                p.out = (p.out - 1.0).max(0.0);
            }
            (a.linked, a.stalled) = (false, true);
        }
        // Where only probes report: the cache of the location heard of longest ago.
        if self.s.probe_reports && now - self.probed > PROBE_EVERY && self.routers_in(self.s.zone) > 1.0 {
            let here = |p: &&Peer| self.is_cache(&p.m) && p.m.zone == self.s.zone && p.usable(now);
            let next = self.peers.values().filter(here).min_by(|a, b| a.probed.total_cmp(&b.probed));
            if let Some(p) = next.map(|p| p.m.id).and_then(|id| self.peers.get_mut(&id)) {
                (p.probed, self.probed) = (now, now);
                self.acts.push(Action::Probe(p.m.id));
            }
        }
        // Overdue attempts are doubled where that is allowed, the older of two making room.
        let late = |a: &Attempt| now - a.sent > a.expected * if a.sure { OVERDUE } else { OVERDUE_UNSURE };
        let overdue =
            |o: &&Open| !o.ended && o.waiting.is_none() && !o.out.is_empty() && o.out.iter().all(late);
        let overdue: Vec<RequestId> = match self.s.second_copies {
            true => self.open.values().filter(overdue).map(|o| o.r.id).collect(),
            false => vec![],
        };
        for id in overdue {
            let Some(o) = self.open.get(&id) else { continue };
            let (a, two) = (o.out[0], o.out.len() > 1);
            if two && self.s.cancel {
                self.acts.push(Action::Cancel { request: id, attempt: a.no });
            } else if self.retries >= RETRY_LIGHT && self.emit(id, a.member, a.source, a.kind) {
                self.retries -= RETRY_LIGHT;
            }
        }
        let silent = |p: &&Peer| {
            let sends = if p.trial.is_some() { 1 } else { SILENT_SENDS };
            p.unanswered >= sends && now - p.unanswered_since > SILENT_FOR && !self.is_origin(&p.m)
        };
        let silent: Vec<MemberId> = self.peers.values().filter(silent).map(|p| p.m.id).collect();
        for id in silent {
            self.leave_out(id, true, "silent");
            for (request, o) in self.open.iter().filter(|(_, o)| self.s.cancel && !o.ended && !o.streaming) {
                let held = o.out.iter().filter(|a| a.member == id);
                self.acts.extend(held.map(|a| Action::Cancel { request: *request, attempt: a.no }));
            }
        }
        let due = self
            .open
            .iter()
            .filter(|(_, o)| o.waiting.is_some_and(|since| now - since >= WAIT || self.last_call(o)));
        for id in due.map(|(id, _)| *id).collect::<Vec<_>>() {
            // One that came to lead meanwhile waits no more.
            let Some(o) = self.open.get_mut(&id).filter(|o| o.waiting.is_some()) else { continue };
            o.waiting = None;
            let Some(entry) = self.table.get_mut(&(o.r.object, o.r.part)) else { continue };
            entry.waiters.retain(|w| *w != id);
            let cache = entry.cache;
            self.fill(id, cache);
        }
    }
}
