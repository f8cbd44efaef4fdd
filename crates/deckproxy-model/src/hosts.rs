//! What stands between clients and members: the gateway as it is deployed, with recovery before it or without, or one of
//! the plain baselines, which exist in the model alone.

use crate::load::{Class, Wish};
use crate::members::MemberNo;
use crate::scenario::{Host as Which, Scenario};
use crate::{Micros, clock, stream};
use ahash::AHashMap;
use bytes::Bytes;
use deckproxy::protocol::config;
use deckproxy::protocol::downstream::{Answer, Call, ObjectId};
use deckproxy::protocol::feed::{FeedEvent, KnownEvents, MemberEntry, NumberedEvent, Phase};
use deckproxy::protocol::upstream::{self, Reply, Status};
use deckproxy::routing::{self, ConnectionFailure, Router};
use deckproxy_recovery::admission::{self, Admission, Ended, Verdict};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use std::collections::VecDeque;
use std::net::{Ipv4Addr, SocketAddr};

/// A request of a client at a gateway: the world's number of the try.
pub type TryNo = u32;
/// An attempt, by the gateway's key.
pub type Key = u64;

/// What an attempt asks of a member.
#[derive(Clone, Copy, Debug)]
pub struct Order {
    pub object: u64,
    /// KB.
    pub size: f64,
    pub class: Class,
    /// Where a miss is filled from; none: nowhere.
    pub source: Option<MemberNo>,
    pub keep: bool,
    /// The oldest copy that will do, ms; 0: any that is there.
    pub age: f64,
    pub join: bool,
    /// Which write it is: the same for its repeats.
    pub write: u64,
}

/// What a host wants done.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Send an attempt.
    Ask { key: Key, request: u64, member: MemberNo, order: Order },
    /// Give one up.
    Withdraw { key: Key },
    /// Ask a member whether it is well.
    Probe { key: Key, member: MemberNo },
    /// Answer a client; `by_door`: the module never saw the request.
    Answer { of: TryNo, answer: Answered, by_door: bool },
}

/// The answer to a client.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Answered {
    Served,
    /// With the time to come back, ms; 0: none named.
    Refused(f64),
    Failed,
}

/// How an attempt ended at a member.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Back {
    pub word: Status,
    /// When the copy was given out, Unix ms.
    pub issued: Option<f64>,
    /// What the member reports: requests held, busy share.
    pub report: [f64; 2],
}

/// A member as the list names it.
#[derive(Clone, Debug, PartialEq)]
pub struct Listed {
    pub member: MemberNo,
    pub name: Box<str>,
    pub cache: bool,
    pub origin: bool,
    pub phase: Phase,
    /// Unix ms.
    pub started: Option<f64>,
}

const CLIENT: u64 = 1;
/// Answers at full pace that fill a member's way out, as the list tells it.
const WEIGHT: f64 = 8.0;

fn address(member: MemberNo) -> SocketAddr {
    (Ipv4Addr::from(0x0a00_0000 + member), 1).into()
}

fn member_at(at: SocketAddr) -> MemberNo {
    match at {
        SocketAddr::V4(v4) => u32::from(*v4.ip()) - 0x0a00_0000,
        SocketAddr::V6(_) => unreachable!("members have the addresses made here"),
    }
}

/// The platform's configuration of a gateway, as the scenario has it.
pub fn configuration(set: &Scenario, position: usize) -> config::Config {
    let m = &set.members;
    let retry = set.load.patience;
    let settings = serde_json::json!({
        "services": [
            {"name": "page", "aimMs": 500.0, "aimStretch": 2.0, "deadlineMs": retry, "effect": "retryable", "group": "all",
             "importance": 1.0, "lateShare": 0.2, "dedupWindowMs": 0.0, "stream": false},
            {"name": "post", "aimMs": 800.0, "deadlineMs": retry, "effect": "dedup", "group": "all", "importance": 3.0,
             "lateShare": 0.0, "dedupWindowMs": 6000.0, "stream": false},
            {"name": "once", "aimMs": 800.0, "deadlineMs": retry, "effect": "fragile", "group": "all", "importance": 3.0,
             "lateShare": 0.0, "dedupWindowMs": 0.0, "stream": false}
        ],
        "familyInfo": {"maxAgeMs": [0.0, 0.0, 0.0], "usableAfterMs": [0.0, 0.0, 0.0], "agedWorth": [0.0, 0.0, 0.0],
            "goesThrough": [false, true, true], "shieldKind": 1, "sourceKind": 2, "bypassAllowed": true, "canJoin": true,
            "sideways": "none", "flowKbPerS": m.flow / WEIGHT, "zoneBalancers": [0, set.gateways], "inletKbPerS": [0.0, m.inlet],
            "obeyAfterMs": 1000.0, "clearedWithinMs": 6000.0, "upperColdFrom": 1.0, "upperColdMs": 1.0,
            "parentFallMultiple": 100.0},
        "rules": {"coldFrom": m.cold_from, "rampTimeMs": m.cold_ramp, "fallMultiple": m.fall_multiple,
            "fallMs": m.fall_window, "drainGraceMs": 500.0, "answerSlackMs": 8.0},
        "limits": {"sendCap": 6, "secondCopies": false, "cancel": true, "retryAfter": true, "maxRetryAfterMs": 500.0,
            "connIdleMs": 15000.0, "connectTimeoutMs": 400.0, "maxStreams": 100, "maxOpen": 100_000, "probes": true},
        "report": {"fields": ["busy_reqs", "cpu_share"], "via": "answer"},
        "machineTypes": ["box", "parent", "origin"], "zones": ["hub", "edge"], "locality": 1, "groupSize": set.gateways,
        "position": position, "discovery": "pushed"
    });
    let whole = serde_json::json!({"name": "g", "listen": "127.0.0.1:1", "seed": "1", "feed": "127.0.0.1:2",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "flow_bytes_per_s": m.flow * 1000.0,
        "link_bytes_per_s": m.inlet * 1000.0, "known": {"n": 0, "events": []}, "settings": settings});
    config::read(whole.to_string().as_bytes()).expect("a configuration that is made here")
}

fn entry(listed: &Listed) -> MemberEntry {
    let kind = if listed.cache {
        "box"
    } else if listed.origin {
        "origin"
    } else {
        "parent"
    };
    MemberEntry {
        id: listed.name.clone(),
        address: Some(address(listed.member)),
        zone: if listed.cache { "edge" } else { "hub" }.into(),
        kind: kind.into(),
        cell: 0,
        phase: listed.phase,
        size: WEIGHT,
        started: listed.started,
    }
}

/// One gateway, or what stands in its place.
pub enum Host {
    /// The gateway.
    Gateway(Box<Gateway>),
    /// A baseline.
    Plain(Box<Plain>),
}

impl Host {
    /// Starts one that knows these members.
    pub fn new(now: Micros, set: &Scenario, position: usize, seed: u64, listed: &[Listed]) -> Self {
        match set.host {
            Which::Gateway | Which::Recovery => {
                Host::Gateway(Box::new(Gateway::new(now, set, position, seed, listed)))
            }
            which => Host::Plain(Box::new(Plain::new(set, which, seed, listed))),
        }
    }

    /// A client asks, for the first time or again. `write`: which write it is.
    pub fn request(&mut self, now: Micros, of: TryNo, client: u64, wish: &Wish, allow: f64, write: u64) {
        match self {
            Host::Gateway(g) => g.request(now, of, client, wish, allow, write),
            Host::Plain(p) => p.request(now, of, wish, allow, write),
        }
    }

    /// A client has left.
    pub fn gone(&mut self, now: Micros, of: TryNo) {
        match self {
            Host::Gateway(g) => g.gone(now, of),
            Host::Plain(p) => p.gone(of),
        }
    }

    /// A member answered.
    pub fn reply(&mut self, now: Micros, key: Key, back: &Back) {
        match self {
            Host::Gateway(g) => g.reply(now, key, back),
            Host::Plain(p) => p.ended(now, key, Some(back.word)),
        }
    }

    /// A connection broke, before the attempt was sent or after.
    pub fn broke(&mut self, now: Micros, key: Key, sent: bool) {
        match self {
            Host::Gateway(g) => {
                g.router.connection_failed(
                    clock(now),
                    key,
                    if sent { ConnectionFailure::Reset } else { ConnectionFailure::NotSent },
                );
            }
            Host::Plain(p) => p.ended(now, key, if sent { None } else { Some(Status::Rejected) }),
        }
    }

    /// The feed tells how members are.
    pub fn members(&mut self, now: Micros, listed: &[Listed]) {
        match self {
            Host::Gateway(g) => {
                let entries = listed.iter().map(entry).collect();
                g.feed(now, FeedEvent::Members { complete: false, entries, unreadable: 0 });
            }
            Host::Plain(p) => p.members(listed),
        }
    }

    /// The feed tells a purge.
    pub fn purged(&mut self, now: Micros, object: u64, at: Micros) {
        if let Host::Gateway(g) = self {
            g.feed(now, FeedEvent::PurgeObject { object, at: clock(at) });
        }
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Micros) {
        match self {
            Host::Gateway(g) => g.router.tick(clock(now)),
            Host::Plain(p) => p.tick(now),
        }
    }

    /// When it has something to do next.
    pub fn next_due(&self) -> Option<Micros> {
        match self {
            Host::Gateway(g) => {
                g.router.next_deadline().map(|at| ((at - clock(0)).max(0.0) * 1000.0).ceil() as Micros)
            }
            Host::Plain(p) => p.timers.front().map(|(at, _)| *at),
        }
    }

    /// The next thing that it wants done.
    pub fn effect(&mut self, now: Micros) -> Option<Effect> {
        match self {
            Host::Gateway(g) => g.effect(now),
            Host::Plain(p) => p.effects.pop_front(),
        }
    }

    /// What its own checks found, and, of a door, first tries and repeats that came and that passed.
    pub fn own_counts(&self) -> (u64, [u64; 4]) {
        match self {
            Host::Gateway(g) => {
                let c = g.door.as_ref().map(|d| d.counters).unwrap_or_default();
                (
                    g.router.counters.broken_invariants + g.router.counters.overdue,
                    [c.firsts, c.repeats, c.passed_firsts, c.passed_repeats],
                )
            }
            Host::Plain(_) => (0, [0; 4]),
        }
    }
}

/// The gateway.
pub struct Gateway {
    router: Router,
    door: Option<Admission>,
    /// Requests that passed the door: client, object; with which write and size each is.
    open: AHashMap<TryNo, (u64, Wish, u64)>,
    event: u64,
    names: u64,
    early: VecDeque<Effect>,
}

impl Gateway {
    fn new(now: Micros, set: &Scenario, position: usize, seed: u64, listed: &[Listed]) -> Self {
        let conf = configuration(set, position).conf;
        let known =
            FeedEvent::Members { complete: true, entries: listed.iter().map(entry).collect(), unreadable: 0 };
        let door = (set.host == Which::Recovery).then(|| {
            let class = |worth, refusable| admission::Class { worth, refusable, least: 100.0 };
            // Only what a new try does no harm to may be refused: a write that may have run is not known here.
            let classes = vec![class(0.0, true), class(1.0, true), class(1.0, true)];
            Admission::new(admission::Settings { classes, ..admission::Settings::default() }, seed)
        });
        let mut gateway = Gateway {
            router: Router::new(
                clock(now),
                conf,
                seed,
                KnownEvents { last: 1, events: vec![NumberedEvent { number: 1, event: known }] },
            ),
            door,
            open: AHashMap::new(),
            event: 1,
            names: 0,
            early: VecDeque::new(),
        };
        while gateway.effect(now).is_some() {}
        gateway
    }

    fn feed(&mut self, now: Micros, news: FeedEvent) {
        self.event += 1;
        self.router.feed_event(clock(now), NumberedEvent { number: self.event, event: news }, false);
    }

    fn request(&mut self, now: Micros, of: TryNo, client: u64, wish: &Wish, allow: f64, write: u64) {
        if let Some(door) = &mut self.door
            && let Verdict::Refuse(back) =
                door.request(clock(now), client, wish.class as usize, wish.object, allow)
        {
            return self.early.push_back(Effect::Answer {
                of,
                answer: Answered::Refused(back),
                by_door: true,
            });
        }
        self.open.insert(of, (client, *wish, write));
        // Another one for each try: attempts of an earlier one may still be out under its name.
        self.names += 1;
        let keyed = wish.class == Class::Post;
        let call = Call {
            name: format!("{of:x}-{:x}", self.names).into(),
            class: wish.class.name().into(),
            timeout: allow,
            idempotency_key: keyed.then(|| format!("{write:x}").into()),
            object: ObjectId { text: Box::default(), number: wish.object },
            part: None,
            group: 0,
            size_kb: Some(wish.size),
            cached_tag: None,
            is_retry: false,
            body: Bytes::new(),
        };
        self.router.request(clock(now), CLIENT, of, call);
    }

    fn gone(&mut self, now: Micros, of: TryNo) {
        self.router.cancel(clock(now), CLIENT, of);
        self.ended(now, of, Ended::Gone, 0.0);
    }

    fn ended(&mut self, now: Micros, of: TryNo, ended: Ended, back: f64) -> f64 {
        let Some((client, wish, _)) = self.open.remove(&of) else { return back };
        match &mut self.door {
            Some(door) => door.ended(clock(now), client, wish.object, ended, back),
            None => back,
        }
    }

    fn reply(&mut self, now: Micros, key: Key, back: &Back) {
        let copy = back.issued.map(|at| upstream::CopyInfo { issued: Some(at), tag: Box::default() });
        let report = vec![("busy_reqs".into(), back.report[0]), ("cpu_share".into(), back.report[1])];
        let reply =
            Reply { id: Box::default(), status: back.word, load_report: report, copy, body: Bytes::new() };
        self.router.reply(clock(now), key, reply);
    }

    fn effect(&mut self, now: Micros) -> Option<Effect> {
        loop {
            if let Some(effect) = self.early.pop_front() {
                return Some(effect);
            }
            match self.router.next_effect()? {
                routing::Effect::SendAttempt { key, endpoint, call, options, .. } => {
                    let of = call.name.split('-').next().and_then(|n| TryNo::from_str_radix(n, 16).ok());
                    let of = of.expect("a name that is made here");
                    let (_, wish, write) = *self.open.get(&of).expect("what is asked for is open");
                    let source =
                        options.source.as_deref().and_then(|s| MemberNo::from_str_radix(&s[1..], 16).ok());
                    let order = Order {
                        object: wish.object,
                        size: wish.size,
                        class: wish.class,
                        source,
                        keep: options.copy_rank > 0,
                        age: options.max_age,
                        join: options.join,
                        write,
                    };
                    let request = u64::from(of);
                    return Some(Effect::Ask { key, request, member: member_at(endpoint.address), order });
                }
                routing::Effect::CancelAttempt { key, .. } => {
                    self.router.attempt_cancelled(clock(now), key, true);
                    return Some(Effect::Withdraw { key });
                }
                routing::Effect::SendHealthCheck { key, endpoint, .. } => {
                    return Some(Effect::Probe { key, member: member_at(endpoint.address) });
                }
                routing::Effect::Answer { id, answer, .. } => {
                    let (ended, back) = match answer {
                        Answer::Served(_) | Answer::NotModified => (Ended::Served, 0.0),
                        Answer::Rejected(back) => (Ended::Refused, back),
                        Answer::Failed => (Ended::Failed, 0.0),
                        Answer::Invalid(why) => panic!("a request that can't be used: {why}"),
                    };
                    let back = self.ended(now, id, ended, back);
                    let answer = match ended {
                        Ended::Served => Answered::Served,
                        Ended::Refused => Answered::Refused(back),
                        Ended::Failed | Ended::Gone => Answered::Failed,
                    };
                    return Some(Effect::Answer { of: id, answer, by_door: false });
                }
                // What other sites, the fleet and connections would hear; none of them is modelled.
                routing::Effect::Purged { .. }
                | routing::Effect::HealthChecked { .. }
                | routing::Effect::MembersChanged
                | routing::Effect::CloseIdle(_)
                | routing::Effect::Log(_) => {}
            }
        }
    }
}

/// What a baseline remembers of a request.
#[derive(Clone, Copy, Debug)]
struct Asked {
    wish: Wish,
    write: u64,
    until: Micros,
    sends: u32,
    member: MemberNo,
}

/// Until a baseline gives an attempt up, and how often it tries.
const TIMEOUT: Micros = 400_000;
const SENDS: u32 = 3;

/// A baseline: a cache by a plain rule, a few tries, nothing refused.
pub struct Plain {
    which: Which,
    rng: Pcg64Mcg,
    caches: Vec<MemberNo>,
    parents: Vec<MemberNo>,
    origin: Option<MemberNo>,
    held: AHashMap<MemberNo, u32>,
    open: AHashMap<TryNo, Asked>,
    /// Attempts are given up after the same time, so they are due in the order in which they were sent.
    timers: VecDeque<(Micros, Key)>,
    effects: VecDeque<Effect>,
}

fn hash(a: u64, b: u64) -> u64 {
    let x = (a ^ b.wrapping_mul(0x9e37_79b9_7f4a_7c15)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    (x ^ x >> 31).wrapping_mul(0x94d0_49bb_1331_11eb) ^ x >> 29
}

impl Plain {
    fn new(_set: &Scenario, which: Which, seed: u64, listed: &[Listed]) -> Self {
        let mut plain = Plain {
            which,
            rng: stream(seed, 90, 0),
            caches: Vec::new(),
            parents: Vec::new(),
            origin: None,
            held: AHashMap::new(),
            open: AHashMap::new(),
            timers: VecDeque::new(),
            effects: VecDeque::new(),
        };
        plain.members(listed);
        plain
    }

    fn members(&mut self, listed: &[Listed]) {
        for one in listed {
            let list = match (one.cache, one.origin) {
                (true, _) => &mut self.caches,
                (_, true) => {
                    self.origin = Some(one.member);
                    continue;
                }
                _ => &mut self.parents,
            };
            list.retain(|m| *m != one.member);
            if one.phase == Phase::Ready {
                list.push(one.member);
                list.sort_unstable();
            }
        }
    }

    fn pick(&mut self, object: u64, not: Option<MemberNo>) -> Option<MemberNo> {
        let others: Vec<MemberNo> = self.caches.iter().copied().filter(|m| Some(*m) != not).collect();
        if others.is_empty() {
            return self.caches.first().copied();
        }
        let held = |m: &MemberNo| self.held.get(m).copied().unwrap_or(0);
        let mut draw = || others[self.rng.random_range(0..others.len())];
        Some(match self.which {
            Which::Random => draw(),
            Which::TwoChoices => {
                let (a, b) = (draw(), draw());
                if held(&a) <= held(&b) { a } else { b }
            }
            _ => {
                let mut order = others.clone();
                order.sort_by_key(|m| std::cmp::Reverse(hash(object, u64::from(*m))));
                let even = self.held.values().sum::<u32>() as f64 / others.len() as f64;
                let most = (even * 1.25).ceil().max(1.0);
                order.iter().copied().find(|m| f64::from(held(m)) < most).unwrap_or(order[0])
            }
        })
    }

    fn request(&mut self, now: Micros, of: TryNo, wish: &Wish, allow: f64, write: u64) {
        let until = now + crate::micros(allow);
        self.open.insert(of, Asked { wish: *wish, write, until, sends: 0, member: 0 });
        self.send(now, of, None);
    }

    fn send(&mut self, now: Micros, of: TryNo, not: Option<MemberNo>) {
        let Some(asked) = self.open.get(&of).copied() else { return };
        let writes = asked.wish.class != Class::Page;
        let member = if writes { self.origin } else { self.pick(asked.wish.object, not) };
        let (Some(member), true) = (member, asked.sends < SENDS && now + 5000 < asked.until) else {
            return self.finish(of, Answered::Failed);
        };
        let key = u64::from(of) << 8 | u64::from(asked.sends);
        self.open.insert(of, Asked { sends: asked.sends + 1, member, ..asked });
        *self.held.entry(member).or_default() += 1;
        let by_hash = self.parents.iter().max_by_key(|m| hash(asked.wish.object, u64::from(**m)));
        let source = by_hash.copied().or(self.origin).filter(|_| !writes);
        let order = Order {
            object: asked.wish.object,
            size: asked.wish.size,
            class: asked.wish.class,
            source,
            keep: true,
            age: 0.0,
            join: self.which != Which::NoCollapsing,
            write: asked.write,
        };
        self.timers.push_back((now + TIMEOUT, key));
        self.effects.push_back(Effect::Ask { key, request: u64::from(of), member, order });
    }

    fn release(&mut self, key: Key) -> Option<TryNo> {
        let of = (key >> 8) as TryNo;
        let asked = self.open.get(&of).filter(|a| u64::from(a.sends) == (key & 0xff) + 1)?;
        let held = self.held.entry(asked.member).or_default();
        *held = held.saturating_sub(1);
        Some(of)
    }

    /// An attempt ended by a word; none: it may have run.
    fn ended(&mut self, now: Micros, key: Key, word: Option<Status>) {
        let Some(of) = self.release(key) else { return };
        let Some(asked) = self.open.get(&of).copied() else { return };
        match word {
            Some(Status::Ok | Status::NotModified) => self.finish(of, Answered::Served),
            Some(Status::Miss | Status::Rejected) => self.send(now, of, Some(asked.member)),
            _ if asked.wish.class == Class::Page => self.send(now, of, Some(asked.member)),
            _ => self.finish(of, Answered::Failed),
        }
    }

    fn tick(&mut self, now: Micros) {
        while let Some((at, key)) = self.timers.front().copied().filter(|(at, _)| *at <= now) {
            let _ = at;
            self.timers.pop_front();
            let of = (key >> 8) as TryNo;
            let Some(asked) = self.open.get(&of).copied() else { continue };
            if u64::from(asked.sends) == (key & 0xff) + 1 {
                self.effects.push_back(Effect::Withdraw { key });
                self.ended(now, key, None);
            }
        }
    }

    fn finish(&mut self, of: TryNo, answer: Answered) {
        if self.open.remove(&of).is_some() {
            self.effects.push_back(Effect::Answer { of, answer, by_door: false });
        }
    }

    fn gone(&mut self, of: TryNo) {
        if let Some(asked) = self.open.remove(&of) {
            let held = self.held.entry(asked.member).or_default();
            *held = held.saturating_sub(1);
            let key = u64::from(of) << 8 | u64::from(asked.sends.saturating_sub(1));
            self.effects.push_back(Effect::Withdraw { key });
        }
    }
}
