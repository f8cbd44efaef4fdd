//! Every decision of the router. Types, events and actions are in `interface.rs`; read that file first.
//! The ordinary path: a request is looked up at the cache that a shared hash of its object picks in the
//! location; after a miss one request per (object, part) leads a fill from the parent that the same hash
//! picks over all listed parents, and the others wait for it. Everything else here treats trouble.

use crate::interface::*;
use std::collections::{BTreeMap, VecDeque};

// ---- Constants: unit and reason -------------------------------------------------------------------------

/// ms between sweeps, fine enough for aims of some hundred ms; and lateness of one that slept itself.
const SWEEP: Millis = 20.0;
const ASLEEP: Millis = 100.0;
/// ms until a broken subscription, or a source where all are too slow, is asked again at the earliest; and
/// share of what such a source can send that all routers ask for.
const REWATCH: Millis = 500.0;
const AGAIN: f64 = 0.2;
/// ms: the design's lock time-out; and own sending time from which joining the leader's fill beats waiting.
const WAIT: Millis = 3000.0;
const LARGE: Millis = 100.0;
/// ms that a client must still have for another attempt; and the middle rank, of all copies.
const LEAST_LEFT: Millis = 5.0;
const RANK: u8 = 2;
/// ms: allowance for ways and queues that adds to every sending time.
const WAY: Millis = 60.0;
/// Answers out over a member's link from which a cache's objects may spill and a parent is passed, if over so
/// many times its pool's mean; pace from which a source is slow, and share of a fill's due time that ends it.
const SPILL_AT: f64 = 1.5;
const PASS_AT: f64 = 3.0;
const BOUND: f64 = 1.3;
const PASS_DRAG: f64 = 2.0;
const QUICK: f64 = 0.75;
/// ms over which our part of a load is averaged to guess the other routers'.
const MEAN_SPAN: Millis = 2000.0;
/// Weight of new reports against that guess, ms over which they lose it, and of one report in their mean; ms
/// over which what was seen of a member's pace loses its weight.
const TRUST: f64 = 0.5;
const TOLD_SPAN: Millis = 2000.0;
const TOLD_STEP: f64 = 0.3;
const SEEN_SPAN: Millis = 12000.0;
/// ms of what the members of a kind bear until their size is judged by that.
const BORNE_FROM: Millis = 1000.0;
/// ms over which the origin's pace is seen, and weight of an answer as due put in beside it.
const ORIGIN_SPAN: Millis = 5000.0;
const ORIGIN_DUE: Millis = 500.0;
/// Share of the cold rule that comes up as turns, each good for a window: those of two, which can be taken in
/// one, make up the rule's. Times a class's mean that a send weighs (it may be wrong); the golden fraction.
const COLD_SHARE: f64 = 0.5;
const COLD_COST: f64 = 1.1;
const GOLDEN: f64 = 0.618_033_988_749_895;
/// Busy share from which a member may hold more than it tells.
const BUSY: f64 = 0.9;
/// Failures in a row that leave a member out; and times its peers' pace from which it is slow.
const FAILS_CERTAIN: u32 = 6;
const SLOW_FROM: f64 = 1.6;
/// Sends without any answer, and ms since the first of them, that make a member silent.
const SILENT_SENDS: u32 = 4;
const SILENT_FOR: Millis = 900.0;
/// ms that a member is left out at first and at most, doubling.
const OUT_FIRST: Millis = 1000.0;
const OUT_MOST: Millis = 8000.0;
/// Further attempts and second ones: earned by each request, and saved up at most.
const RETRY_EARN: f64 = 0.3;
const RETRY_MOST: f64 = 5.0;
/// Times a client's pace at which a fill is taken to run on an idle link.
const FILL_PACE: f64 = 1.5;
/// ms over which an object's share of the work is counted, the share of one cache's part from which its
/// parts are spread, once so much work is counted; the objects known at most (until ten spans idle).
const HOT_SPAN: Millis = 3000.0;
const HOT_SHARE: f64 = 0.2;
const HOT_FROM: Millis = 2000.0;
const OBJECTS_MOST: usize = 8192;
/// Times what it should take after which an attempt is late; the slowdown that a late or failed one shows.
const LATE: f64 = 2.0;
const LATE_DRAG: f64 = 8.0;
/// Share of its aim that a refused client is to stay away; requests that wait for one fill, at most (later
/// ones go alone), and log lines of one router.
const COME_BACK: f64 = 0.2;
const WAITERS_MOST: usize = 512;
const LOGS: u32 = 60;

// ---- Members: list, drain, cold, health -----------------------------------------------------------------

#[derive(Default)]
struct Peer {
    m: Member,
    /// While it is cold: our part of its budget not spent, in ms of sending (none at first), and as of when.
    saved: Option<f64>,
    saved_at: Millis,
    /// Attempts out that draw on its link, and fills out that name it as the source.
    held: Shared,
    /// Its last report of how busy it is, and when that came.
    busy: Option<(f64, Millis)>,
    /// Its pace, as slowdowns seen of late.
    seen: Pace,
    /// Failures in a row, and when the last one was.
    fails: u32,
    failed_at: Millis,
    /// Sends since its last sign of life, and when the first of them went.
    unanswered: u32,
    unanswered_since: Millis,
    /// When it was last sent to, or named as a source.
    asked: Millis,
    /// Left out until then, and for how long; afterwards on trial, a send at a time, until a good answer.
    out_until: Millis,
    out_span: Millis,
    trial: bool,
    trial_out: bool,
}

impl Peer {
    fn new(m: Member, known: Millis, from: Millis) -> Self {
        Peer { m, saved_at: known, out_until: from, ..Peer::default() }
    }

    fn usable(&self, now: Millis) -> bool {
        self.m.lifecycle == Lifecycle::Ready && now >= self.out_until && !(self.trial && self.trial_out)
    }

    /// Takes one answer's slowdown against what it should take.
    fn see(&mut self, slowdown: f64, now: Millis) {
        self.seen.take(slowdown, 1.0, SEEN_SPAN, now);
    }

    /// The slowdown to be expected, by what was seen; without news it turns to none.
    fn drag(&self, now: Millis) -> f64 {
        self.seen.drag(1.0, SEEN_SPAN, now)
    }

    /// Whether a router whose part of a member's size is that may send to it, if it is cold. What the rule
    /// allows on the slowest ramp comes evenly; a turn is up once that holds the dearest send, and is over a
    /// window later: lulls save nothing up. By the golden ratio turns of any run of positions come singly.
    fn cold_room(&mut self, place: u32, rule: &ColdRule, part: f64, dearest: f64, now: Millis) -> bool {
        let age = (now - self.m.started.unwrap_or(now)).max(0.0);
        let capacity = rule.from + (1.0 - rule.from) * age / rule.ramp;
        let pace = COLD_SHARE * rule.multiple * capacity * part;
        let shift = mix(u64::from(self.m.id)) as f64 / u64::MAX as f64;
        let first = dearest * (f64::from(place) * GOLDEN + shift).fract();
        let saved = self.saved.unwrap_or(first) + pace * (now - self.saved_at).max(0.0);
        let lapsed = ((saved - pace * rule.window) / dearest).floor().max(0.0) * dearest;
        (self.saved, self.saved_at) = (Some(saved - lapsed), now.max(self.saved_at));
        saved - lapsed >= dearest
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
    /// Load of the member when it was sent, and the request's sending time.
    load: f64,
    work: Millis,
    /// Whether that was told or learned of its object.
    sure: bool,
    trial: bool,
    /// It draws on the location's link by itself.
    linked: bool,
    /// When it counts as late, and whether: a fill then waits for a source that does not send.
    late_at: Millis,
    late: bool,
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

impl Attempt {
    /// Whose pace it shows, and what that should take; an answer straight from a parent shows the link's.
    fn shows(&self) -> Option<(MemberId, Millis)> {
        match self.kind {
            Kind::LookUp => Some((self.member, self.work * self.load.max(1.0) + WAY)),
            Kind::Fill => self.source.map(|s| (s, self.work + 2.0 * WAY)),
            Kind::Direct => self.source.filter(|s| *s == self.member).map(|s| (s, self.work + 2.0 * WAY)),
        }
    }
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

/// What the routers that share a member or link hold of it: our part, its mean of late, and the others' by
/// their last reports, beside a guess from the mean (a few attempts of the moment would be noise).
#[derive(Clone, Copy, Default)]
struct Shared {
    own: f64,
    mean: f64,
    at: Millis,
    told: Option<(f64, Millis)>,
}

impl Shared {
    fn mean(&self, now: Millis) -> f64 {
        self.own + (self.mean - self.own) * (-(now - self.at) / MEAN_SPAN).exp()
    }

    fn add(&mut self, change: f64, now: Millis) {
        (self.mean, self.at) = (self.mean(now), now);
        self.own = (self.own + change).max(0.0);
    }

    /// Takes a report of what all hold, of one moment: routers that took it for more would turn as one.
    fn tell(&mut self, all: f64, now: Millis) {
        let others = (all - self.own).max(0.0);
        self.told = Some((self.told.map_or(others, |(x, _)| x + TOLD_STEP * (others - x)), now));
    }

    /// All routers' amount.
    fn all(&self, routers: f64, now: Millis) -> f64 {
        let others = (routers - 1.0) * self.mean(now);
        let told = self.told.filter(|_| routers > 1.0);
        let trust = |at: Millis| TRUST * (-(now - at) / TOLD_SPAN).exp();
        self.own + told.map_or(others, |(x, at)| others + (x - others) * trust(at))
    }
}

/// What answers took of late, what they should take, and when that was brought up to date.
#[derive(Clone, Copy, Default)]
struct Pace {
    took: f64,
    due: f64,
    at: Millis,
}

impl Pace {
    fn take(&mut self, took: f64, due: f64, span: Millis, now: Millis) {
        let keep = (-(now - self.at) / span).exp();
        *self = Pace { took: self.took * keep + took, due: self.due * keep + due, at: now };
    }

    /// The slowdown to be expected, with so much as it should be put in beside.
    fn drag(&self, beside: f64, span: Millis, now: Millis) -> f64 {
        let keep = (-(now - self.at) / span).exp();
        (beside + self.took * keep) / (beside + self.due * keep)
    }
}

/// What one member of a kind bears, all routers' guessed from ours: the sending time served, since when and
/// until when that was counted, and its busy share by the reports (their sum and number). All fade.
#[derive(Clone, Copy)]
struct Borne {
    work: Millis,
    since: Millis,
    at: Millis,
    busy: (f64, f64),
}

impl Borne {
    fn fade(&mut self, now: Millis) {
        let keep = (-(now - self.at) / SEEN_SPAN).exp();
        (self.work, self.at, self.busy) = (self.work * keep, now, (self.busy.0 * keep, self.busy.1 * keep));
    }

    /// The size that explains it: answers at full pace over the share of the link that they took. Where no
    /// busy share is reported it is at least what was borne.
    fn size(&self, now: Millis) -> Option<f64> {
        let span = SEEN_SPAN * (1.0 - (-(self.at - self.since) / SEEN_SPAN).exp());
        let busy = if self.busy.1 > 0.0 { self.busy.0 / self.busy.1 } else { 1.0 };
        (now - self.since > BORNE_FROM).then(|| (self.work / span / busy.clamp(0.05, 1.0)).max(1.0))
    }
}

/// What is left of an amount after a while.
fn faded((amount, at): (f64, Millis), now: Millis) -> f64 {
    amount * (-(now - at) / HOT_SPAN).exp()
}

/// One router.
#[derive(Default)]
pub struct Control {
    s: Settings,
    now: Millis,
    acts: Vec<Action>,
    peers: BTreeMap<MemberId, Peer>,
    /// By class: mean sending time in ms, and the answers it comes from.
    means: Vec<(f64, f64)>,
    open: BTreeMap<RequestId, Open>,
    table: BTreeMap<Key, Collapse>,
    /// Instant of the last purge, by object, or by group where no object is named.
    purged: BTreeMap<(Option<u64>, u32), Millis>,
    /// Work asked for lately in all, and when that was brought up to date; what is known by object.
    asked: (f64, Millis),
    objects: BTreeMap<u64, Known>,
    /// What members bear, by kind, where the list tells no sizes.
    borne: BTreeMap<u32, Borne>,
    /// The pace of answers by way of the origin.
    origin_pace: Pace,
    /// Attempts that draw on the location's link.
    link: Shared,
    retries: f64,
    sweeping: bool,
    sweep_due: Millis,
    logs: u32,
}

impl Control {
    /// A router that has just started. The seed is for decisions by chance; there are none so far.
    pub fn new(settings: Settings, _seed: u64) -> Self {
        let means = settings.classes.iter().map(|c| (c.deadline / 10.0, 0.0)).collect();
        Control { means, s: settings, retries: RETRY_MOST, ..Control::default() }
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
                let o = self.open.get_mut(&request).into_iter();
                o.for_each(|o| o.streaming |= o.out.iter().any(|a| a.no == attempt));
            }
            Event::Outcome { request, attempt, member, ending, elapsed, finished, note, load } => {
                self.outcome(request, attempt, Ended { member, ending, elapsed, note, load }, finished);
            }
            Event::Gone(id) => {
                self.open.get_mut(&id).into_iter().for_each(|o| o.ended = true);
                self.close(id);
            }
            Event::Timer(_) => self.sweep(),
            Event::Purged { object, group, age } => {
                let at = now - age.max(0.0);
                let last =
                    self.purged.entry((object, if object.is_some() { 0 } else { group })).or_insert(at);
                *last = last.max(at);
                self.purged.retain(|_, at| now <= *at + self.s.purge_done);
            }
            Event::Probed { .. } | Event::Peer(..) | Event::Started => {}
        }
        if !self.sweeping && !self.open.is_empty() {
            (self.sweeping, self.sweep_due) = (true, now + SWEEP);
            self.acts.push(Action::Timer { token: 0, at: self.sweep_due });
        }
        acts.append(&mut self.acts);
    }

    /// Sizes of what grows with what passes by: members, requests, fills, objects, purges.
    pub fn sizes(&self) -> [usize; 5] {
        [self.peers.len(), self.open.len(), self.table.len(), self.objects.len(), self.purged.len()]
    }

    fn members(&mut self, kind: ListKind, list: Vec<Member>) {
        if kind != ListKind::Delta {
            let left = self.peers.values_mut().filter(|p| !list.iter().any(|m| m.id == p.m.id));
            left.for_each(|p| p.m.lifecycle = Lifecycle::Gone);
        }
        for mut m in list {
            // What is no size must not weigh in the hash.
            m.weight = if self.s.sized { m.weight } else { 1.0 };
            match self.peers.get_mut(&m.id) {
                Some(p) if m.lifecycle == Lifecycle::Gone => p.m.lifecycle = Lifecycle::Gone,
                None if m.lifecycle == Lifecycle::Gone => {}
                Some(p) if p.m.started == m.started => p.m = m,
                // A new process starts anew. One that a starting router knows may have been sent to before.
                _ => {
                    let known = kind == ListKind::Cached && self.is_cold(&m);
                    let from = if known { self.now + self.s.cold_cache.window } else { f64::MIN };
                    self.peers.insert(m.id, Peer::new(m, self.now, from));
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

    fn cold_rule(&self, m: &Member) -> ColdRule {
        if self.is_cache(m) { self.s.cold_cache } else { self.s.cold_parent }
    }

    fn is_cold(&self, m: &Member) -> bool {
        !self.is_origin(m) && m.started.is_some_and(|at| self.now - at < self.cold_rule(m).ramp)
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

    /// Leaves a member out for a while. Silence and constant failure are certain enough for a whole pool.
    fn leave_out(&mut self, id: MemberId, why: &str) {
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
    fn judge(&mut self, id: MemberId, good: bool) {
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
    fn slowness(&self, p: &Peer) -> f64 {
        let mut drags: Vec<f64> = self.pool(&p.m).map(|q| q.drag(self.now)).collect();
        if drags.is_empty() {
            return 1.0;
        }
        drags.sort_by(f64::total_cmp);
        let ratio = p.drag(self.now) / drags[(drags.len() - 1) / 2].max(0.5);
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
        let all = p.held.all(self.sharers(&p.m), self.now);
        self.size(&p.m).map_or(0.0, |size| all * self.slowness(p) / size.max(0.1))
    }

    /// A member's link in answers at full pace: told, else judged by what its kind bears, once that is seen.
    fn size(&self, m: &Member) -> Option<f64> {
        if self.s.sized { Some(m.weight) } else { self.borne.get(&m.kind)?.size(self.now) }
    }

    /// Books what a member bore, or its report of how busy it is.
    fn bear(&mut self, id: MemberId, work: Millis, busy: Option<f64>) {
        let Some(m) = self.peers.get(&id).filter(|_| !self.s.sized).map(|p| p.m) else { return };
        let new = Borne { work: 0.0, since: self.now, at: self.now, busy: (0.0, 0.0) };
        let alike = 1.0 + self.pool(&m).filter(|p| p.m.kind == m.kind).count() as f64;
        let all = work * self.sharers(&m) / alike;
        let b = self.borne.entry(m.kind).or_insert(new);
        b.fade(self.now);
        b.work += all;
        b.busy = busy.map_or(b.busy, |x| (b.busy.0 + x, b.busy.1 + 1.0));
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

    /// The location's caches for a request. An object that draws much work is spread by its parts.
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

    /// The sources with room whose fills were not seen to come too late, in the hash's order. Where all were,
    /// those not asked for a while (refusing all tells of no end to that), as many routers share it.
    fn brisk(&mut self, id: RequestId) -> Vec<MemberId> {
        let Some(r) = self.open.get(&id).map(|o| o.r) else { return Vec::new() };
        let mut all = self.sources(&r);
        all.retain(|s| self.has_room(*s));
        let Some(o) = self.open.get(&id) else { return all };
        let slow = |p: &Peer| self.too_slow(o, p.drag(self.now));
        let (mut slow, good): (Vec<_>, Vec<_>) = all.into_iter().partition(|s| slow(&self.peers[s]));
        let due = (self.work(&r) + 2.0 * WAY) / AGAIN;
        let rest = |p: &Peer| (due * self.sharers(&p.m) / self.size(&p.m).unwrap_or(1.0)).max(REWATCH);
        slow.retain(|s| self.now - self.peers[s].asked > rest(&self.peers[s]));
        if good.is_empty() { slow } else { good }
    }

    fn origin(&self) -> Option<MemberId> {
        let mut ready = self.peers.values().filter(|p| p.m.lifecycle == Lifecycle::Ready);
        ready.find(|p| self.is_origin(&p.m)).map(|p| p.m.id)
    }

    fn hot(&self, r: &Request) -> bool {
        let own = self.objects.get(&r.object).map_or(0.0, |o| faded(o.asked, self.now));
        let caches = self.peers.values().filter(|p| self.is_cache(&p.m) && p.m.zone == self.s.zone).count();
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
        let took = elapsed.max(1.0) / a.load.max(1.0);
        self.learn_mean(r.class, took);
        if let Some(o) = self.objects.get_mut(&r.object) {
            let old = o.sending.unwrap_or(took);
            o.sending = Some(old + if took < old { 0.6 } else { 0.2 } * (took - old));
        }
    }

    fn learn_mean(&mut self, class: usize, work: f64) {
        // The first guess weighs as five answers.
        let (mean, count) = &mut self.means[class];
        *count = (*count + 1.0).min(300.0);
        *mean += (work - *mean) / (*count + 5.0);
    }

    /// The oldest copy that will do, in ms, where a purge binds; judged at each send.
    fn purge_bound(&self, r: &Request) -> Option<f64> {
        let last = [(Some(r.object), 0), (None, r.group)].map(|key| self.purged.get(&key));
        let last = last.into_iter().flatten().copied().fold(f64::MIN, f64::max);
        (self.now <= last + self.s.purge_done).then(|| (self.now - last - 0.002).max(0.001))
    }

    // ---- The gate ----------------------------------------------------------------------------------------

    /// The only way out for attempts: every check of the rules is here. Tells whether it was sent.
    fn emit(&mut self, id: RequestId, to: MemberId, source: Option<MemberId>, kind: Kind) -> bool {
        let now = self.now;
        // Drain and cold budgets, of member and source; look-ups count, as do fills that may hit.
        let ends: Vec<MemberId> = [Some(to), source.filter(|s| *s != to)].into_iter().flatten().collect();
        let room = ends.iter().all(|m| self.has_room(*m));
        let Some(o) = self.open.get(&id).filter(|_| room) else { return false };
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
        let target = self.peers[&to].m;
        let local = self.is_cache(&target) && target.zone == self.s.zone;
        if !local && (!self.s.direct || self.is_cache(&target)) {
            return false;
        }
        let (work, cost) = (self.work(&o.r), self.means[o.r.class].0 * COLD_COST);
        let trial = ends.iter().any(|m| self.peers[m].trial);
        let (until, bound) = (o.r.expires, self.purge_bound(&o.r));
        let age = bound.map_or(0.0, |b| if class.fresh > 0.0 { b.min(class.fresh) } else { b });
        // A crowded origin or link is spared: the parent gives what it holds, the rest is given up at once.
        let spared = kind == Kind::Fill && (self.origin_late(o) || self.leads(id) && self.link_full(o));
        let held_only = spared && source.is_some_and(|s| self.is_parent(&self.peers[&s].m));
        let how = How { join: self.s.joins && kind != Kind::LookUp, held_only, ..How::default() };
        let keep = if class.write || !local { 0 } else { RANK };
        self.acts.push(if kind == Kind::LookUp && bound.is_none() || self.is_origin(&target) {
            Action::LookUp { request: id, member: to, until }
        } else {
            Action::Get { request: id, member: to, until, source: source.unwrap_or(to), keep, age, how }
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

    /// Whether a member takes anything new: it neither drains nor is left out, and if cold it has room.
    fn has_room(&mut self, id: MemberId) -> bool {
        let Some(m) = self.peers.get(&id).filter(|p| p.usable(self.now)).map(|p| p.m) else { return false };
        let part = self.size(&m).unwrap_or(1.0) / self.sharers(&m);
        let dearest = self.means.iter().map(|m| m.0 * COLD_COST).fold(1.0, f64::max);
        let (cold, rule, place, now) = (self.is_cold(&m), self.cold_rule(&m), self.s.position, self.now);
        self.peers.get_mut(&id).is_some_and(|p| !cold || p.cold_room(place, &rule, part, dearest, now))
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

    /// Whether a source of that drag would answer too late.
    fn too_slow(&self, o: &Open, drag: f64) -> bool {
        drag > 1.0 && self.too_late(o, (self.work(&o.r) + 2.0 * WAY) * drag - WAY)
    }

    /// How crowded the location's link is with one more transfer: over those that fit where its room is told,
    /// else as the caches report it; 0 where neither is known.
    fn crowd(&self) -> f64 {
        let (now, told) = (self.now, self.link.told.filter(|_| self.link_fit().is_none()));
        let all = self.link.all(self.routers_in(self.s.zone), now) + 1.0;
        let told = told.map_or(0.0, |(x, at)| x * (-(now - at) / TOLD_SPAN).exp());
        self.link_fit().map_or(told, |fit| all / fit)
    }

    /// Transfers that fit the location's link, where its room is told.
    fn link_fit(&self) -> Option<f64> {
        let told = self.s.zone_link.get(self.s.zone as usize).filter(|kb| **kb > 0.0 && self.s.flow > 0.0);
        told.map(|kb| (kb / self.s.flow / FILL_PACE).max(1.0))
    }

    /// Takes a member's report of its load.
    fn told(&mut self, id: MemberId, load: Load) {
        let (now, here, sized) = (self.now, self.s.zone, self.s.sized);
        let sharers = self.peers.get(&id).map_or(1.0, |p| self.sharers(&p.m));
        let Some(p) = self.peers.get_mut(&id) else { return };
        let m = p.m;
        p.busy = load.cpu.map(|x| (x, now)).or(p.busy);
        // Where what it holds is not reported, how busy it is tells that, if not busy all the time.
        let taken = load.cpu.filter(|_| sized).map(|x| (x, x * m.weight));
        let taken = taken.filter(|(x, held)| *x < BUSY || *held > p.held.all(sharers, now)).map(|x| x.1);
        load.held.or(taken).into_iter().for_each(|held| p.held.tell(held, now));
        self.bear(id, 0.0, load.cpu);
        let Some(full) = load.link.filter(|_| self.is_cache(&m) && m.zone == here) else { return };
        let all = self.link_fit().map_or(full + self.link.own, |fit| full * fit);
        self.link.tell(all, now);
    }

    /// Whether the location's link is so crowded that one more transfer would not be through near the aim:
    /// a link that everyone fills and nobody gets through. It hurts where its room is told too low.
    fn link_full(&self, o: &Open) -> bool {
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
            return self.direct(id);
        }
        // Where a fill of ours runs, the object is looked up there.
        let filling = self.table.get(&(o.r.object, o.r.part)).map(|e| e.cache);
        let order: Vec<MemberId> = filling.into_iter().chain(self.caches(&o.r)).collect();
        // Even the best cache too crowded: refused before it is sent anywhere, unless it tells of spare room:
        // what it holds are fills that wait then, and it takes look-ups, but no more of these.
        let usable = |c: &MemberId| self.peers.get(c).filter(|p| p.usable(self.now));
        let spare = |p: &&Peer| p.busy.is_some_and(|(x, at)| x < BUSY && self.now - at < TOLD_SPAN);
        let best = order.iter().find_map(usable).filter(|p| !spare(p));
        let load = best.map_or(0.0, |p| self.load(p));
        if o.sends == 0 && self.too_late(o, self.work(&o.r) * load.max(1.0)) {
            return self.give_up(id);
        }
        let bad = o.bad.clone();
        for c in order.into_iter().filter(|c| !bad.contains(c)) {
            // A cold cache is empty, and a look-up weighs on it as much as its fill: that comes at once.
            if self.peers.get(&c).is_some_and(|p| self.is_cold(&p.m)) && self.has_room(c) {
                return self.missed(id, c);
            } else if self.emit(id, c, None, Kind::LookUp) {
                return;
            }
        }
        self.direct(id);
    }

    /// No cache will do: straight to the parents, in their order, then to the origin. A write runs at the
    /// origin: straight, else through a parent or, where neither is open, a cache.
    fn direct(&mut self, id: RequestId) {
        let Some(o) = self.open.get(&id) else { return };
        let (r, bad, origin, write) = (o.r, o.bad.clone(), self.origin(), self.s.classes[o.r.class].write);
        let closed = if write { origin.is_none() } else { self.link_full(o) };
        let mut ways = if write { self.sources(&r) } else { self.brisk(id) };
        if write {
            ways.rotate_right(usize::from(origin.is_some()));
            ways.extend(self.caches(&r));
        }
        let open = |w: &MemberId| write || !bad.contains(w);
        if closed || !ways.into_iter().filter(open).any(|w| self.emit(id, w, origin, Kind::Direct)) {
            self.give_up(id);
        }
    }

    /// After a miss at a cache: lead, wait, or join at once.
    fn missed(&mut self, id: RequestId, cache: MemberId) {
        let Some(o) = self.open.get(&id) else { return };
        // Too little time to wait for the next sweep counts like a large object.
        let alone = self.s.joins && self.work(&o.r) >= LARGE || self.last_call(o);
        let new = Collapse { leader: id, cache, waiters: VecDeque::new() };
        let entry = self.table.entry((o.r.object, o.r.part)).or_insert(new);
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
        o.r.expires - self.now <= LATE * (self.work(&o.r) + WAY) + SWEEP
    }

    /// A fill at a cache, from the first source that will do; else at the next cache; else past them.
    fn fill(&mut self, id: RequestId, cache: MemberId) {
        let Some(o) = self.open.get(&id) else { return };
        let (r, bad) = (o.r, o.bad.clone());
        let load = self.peers.get(&cache).map_or(0.0, |p| self.load(p));
        if o.sends == 1 && self.too_late(o, self.work(&r) * load.max(1.0)) {
            return self.give_up(id);
        }
        // On a crowded link nothing comes from the origin, and where notes do not tell that, nothing at all.
        let full = self.leads(id) && self.link_full(o);
        if full && self.origin_pace.due == 0.0 {
            return self.give_up(id);
        }
        let mut sources = self.brisk(id);
        let others = self.caches(&r).into_iter().filter(|c| *c != cache);
        sources.retain(|s| !full || self.origin() != Some(*s));
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

    /// A request stops waiting or leading. If it led, its waiters go to the filled cache, or one leads.
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
        // What failed at one member and is an error at the next may be the request's own fault.
        let suspect = end.ending == Ending::Error && !o.bad.is_empty();
        let (r, ended) = (o.r, o.ended);
        self.book(&a, &r, end, suspect);
        if ended {
            // What is out beside it is called off; its waiters need not wait for that.
            let out = self.open.get(&id).filter(|_| self.s.cancel).into_iter().flat_map(|o| &o.out);
            self.acts.extend(out.map(|a| Action::Cancel { request: id, attempt: a.no }));
            if ok && a.kind != Kind::Direct {
                self.pass_on(id, (r.object, r.part), Some(a.member), Vec::new());
            }
            return self.close(id);
        }
        // Of two attempts the other one decides, where it waits or fills already.
        let Some(o) = self.open.get(&id) else { return };
        let missed = end.ending == Ending::Miss && a.kind == Kind::LookUp;
        if o.waiting.is_some() || o.out.iter().any(|other| !missed || other.kind == Kind::Fill) {
            return;
        } else if missed {
            // Where misses cannot join another router's fill that is under way, they wait and look again.
            let under_way = end.note == Note::Joined && !self.s.joins && o.sends < 3 && !self.last_call(o);
            if under_way && !self.table.contains_key(&(r.object, r.part)) {
                let since = self.now - WAIT + self.work(&r) + WAY;
                return self.open.get_mut(&id).into_iter().for_each(|o| o.waiting = Some(since));
            }
            return self.missed(id, a.member);
        }
        if end.note == Note::SourceLacks {
            return self.give_up(id);
        }
        let at_cache = matches!(end.ending, Ending::ConnectFailed | Ending::Reset | Ending::Cancelled);
        let at_source = a.kind == Kind::Fill && !at_cache && end.note != Note::NoPlace;
        let guilty = a.source.filter(|_| at_source).unwrap_or(a.member);
        let Some(o) = self.open.get_mut(&id) else { return };
        o.bad.push(guilty);
        let (key, bad) = ((r.object, r.part), o.bad.clone());
        if self.retries < 1.0 || self.now >= r.expires || suspect && bad.len() > 2 {
            return self.give_up(id);
        }
        self.retries -= 1.0;
        if a.kind != Kind::Fill {
            return self.route(id);
        }
        if self.table.get(&key).is_some_and(|e| e.leader == id && !e.waiters.is_empty()) {
            self.pass_on(id, key, None, bad);
        }
        self.missed(id, a.member);
    }

    /// Whether the origin was seen to be too crowded. Large answers, which suffer most there, weigh more.
    fn origin_late(&self, o: &Open) -> bool {
        self.too_slow(o, self.origin_pace.drag(ORIGIN_DUE, ORIGIN_SPAN, self.now))
    }

    fn see(&mut self, a: &Attempt, slowdown: impl Fn(Millis) -> f64) {
        let Some((m, expected)) = a.shows() else { return };
        let Some(p) = self.peers.get_mut(&m) else { return };
        let slowdown = slowdown(expected);
        // A fill that is quicker than it should be ends its source's slow time: much was seen of that.
        if a.kind == Kind::Fill && slowdown < QUICK && p.drag(self.now) > PASS_DRAG {
            p.seen = Pace::default();
        }
        p.see(slowdown, self.now);
    }

    /// Books an outcome: loads, learned times, health.
    fn book(&mut self, a: &Attempt, r: &Request, end: Ended, suspect: bool) {
        let source = a.source.filter(|s| *s != a.member);
        self.link.add(-f64::from(u8::from(a.linked)), self.now);
        for m in [Some(a.member), source].into_iter().flatten() {
            let Some(p) = self.peers.get_mut(&m) else { continue };
            p.trial_out &= !a.trial;
            if m != a.member || a.kind == Kind::LookUp || !a.late {
                p.held.add(-1.0, self.now);
            }
            let silent = matches!(end.ending, Ending::Timeout | Ending::Cancelled | Ending::Moot);
            // What was taken back before it was late tells of no silence, nor of life.
            if m == a.member && (!silent || self.now < a.late_at) {
                p.unanswered = if silent { p.unanswered.saturating_sub(1) } else { 0 };
            }
        }
        end.load.into_iter().for_each(|load| self.told(a.member, load));
        let origin = self.origin().and_then(|id| self.peers.get(&id));
        let failing = origin.is_some_and(|p| p.trial || p.drag(self.now) > PASS_DRAG);
        let origin = origin.is_some_and(|p| a.member == p.m.id || a.source == Some(p.m.id));
        match end.ending {
            Ending::Ok => {
                // What came by way of the origin shows that, where notes tell, unless the parent is slow.
                let parent = source.and_then(|s| self.peers.get(&s)).filter(|p| self.is_parent(&p.m));
                let (parent, slow) = (parent.is_some(), parent.is_some_and(|p| p.drag(self.now) > PASS_DRAG));
                let by_origin = end.note == Note::FilledByOrigin && !self.s.classes[r.class].write;
                if !(by_origin && parent) {
                    self.see(a, |expected| end.elapsed / expected);
                }
                if by_origin && !slow {
                    // What was late is counted already, up to then. One that was not ends a slow time.
                    let before = if a.late { a.late_at - a.sent } else { 0.0 };
                    let due = if a.late { 0.0 } else { a.work + 2.0 * WAY };
                    self.origin_pace = if end.elapsed < due { Pace::default() } else { self.origin_pace };
                    self.origin_pace.take(end.elapsed - before, due, ORIGIN_SPAN, self.now);
                }
                // Where it is not reported, fills from parents' copies tell how full the link is.
                let shows = a.kind == Kind::Fill && end.load.is_none_or(|l| l.link.is_none());
                let shows = shows && a.sure && !matches!(end.note, Note::FilledByOrigin | Note::Joined);
                if let Some(fit) = self.link_fit().filter(|_| shows) {
                    self.link.tell(FILL_PACE * fit * end.elapsed / (a.work + 2.0 * WAY), self.now);
                }
                if r.size.is_none() && a.kind == Kind::LookUp {
                    self.learn_sending(r, a, end.elapsed);
                }
                self.judge(a.member, true);
                self.bear(a.member, a.work, None);
                if let Some(s) = source {
                    self.judge(s, true);
                    self.bear(s, if end.note == Note::Joined { 0.0 } else { a.work }, None);
                }
            }
            Ending::Miss => self.judge(a.member, true),
            // What fails at a parent while the origin does is not held against it: it still has its copies.
            _ if a.kind == Kind::Fill && !origin && failing || suspect => {}
            Ending::Timeout | Ending::Full if a.kind != Kind::LookUp && !a.late => {
                self.see(a, |_| LATE_DRAG);
                if end.ending == Ending::Full && a.kind == Kind::Fill {
                    self.judge(source.unwrap_or(a.member), false);
                }
            }
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

    /// Waiters whose time has come go alone, silent members are left out and what they hold is called back.
    fn sweep(&mut self) {
        self.sweeping = false;
        let now = self.now;
        // A router that slept heard nobody: silence is counted anew.
        if now - self.sweep_due > ASLEEP {
            self.peers.values_mut().for_each(|p| p.unanswered_since = now);
        }
        if self.objects.len() * 2 > OBJECTS_MOST {
            self.objects.retain(|_, o| now - o.asked.1 < 10.0 * HOT_SPAN);
        }
        // Late attempts: a fill waits for a source that hangs; it makes room, its source counts as slow.
        let mut again = vec![];
        for (id, o) in &mut self.open {
            let many = o.out.len() > 1 || o.ended;
            for a in o.out.iter_mut().filter(|a| !a.late && now >= a.late_at) {
                a.late = true;
                // Late by the origin, if not by a slow parent.
                let brisk = a.source.and_then(|s| self.peers.get(&s)).filter(|p| p.drag(now) <= PASS_DRAG);
                if a.kind == Kind::Fill && brisk.is_some() && self.origin_pace.due > 0.0 {
                    self.origin_pace.take(now - a.sent, a.work + 2.0 * WAY, ORIGIN_SPAN, now);
                }
                if let Some((m, _)) = a.shows().filter(|_| a.sure && a.kind == Kind::Fill) {
                    self.peers.get_mut(&m).into_iter().for_each(|p| p.see(LATE_DRAG, now));
                }
                if !many && a.sure {
                    again.push((*id, *a));
                }
                self.link.add(-f64::from(u8::from(a.linked)), now);
                a.linked = false;
                if let Some(p) = self.peers.get_mut(&a.member).filter(|_| a.kind != Kind::LookUp) {
                    p.held.add(-1.0, now);
                }
            }
        }
        // Where two attempts may be out, a second one makes up for an answer that got lost.
        for (id, a) in again {
            if self.s.second_copies && self.retries >= 1.0 && self.emit(id, a.member, a.source, a.kind) {
                self.retries -= 1.0;
            }
        }
        let silent = |p: &&Peer| {
            let sends = if p.trial { 1 } else { SILENT_SENDS };
            p.unanswered >= sends && now - p.unanswered_since > SILENT_FOR && !self.is_origin(&p.m)
        };
        let silent: Vec<MemberId> = self.peers.values().filter(silent).map(|p| p.m.id).collect();
        for id in silent {
            self.leave_out(id, "silent");
            for (request, o) in self.open.iter().filter(|(_, o)| self.s.cancel && !o.ended && !o.streaming) {
                let held = o.out.iter().filter(|a| a.member == id);
                self.acts.extend(held.map(|a| Action::Cancel { request: *request, attempt: a.no }));
            }
        }
        let due = |o: &&Open| o.waiting.is_some_and(|since| now - since >= WAIT || self.last_call(o));
        for id in self.open.values().filter(due).map(|o| o.r.id).collect::<Vec<_>>() {
            // One that came to lead meanwhile waits no more.
            let Some(o) = self.open.get_mut(&id).filter(|o| o.waiting.is_some()) else { continue };
            o.waiting = None;
            let Some(entry) = self.table.get_mut(&(o.r.object, o.r.part)) else {
                self.route(id);
                continue;
            };
            entry.waiters.retain(|w| *w != id);
            let cache = entry.cache;
            self.fill(id, cache);
        }
    }
}
