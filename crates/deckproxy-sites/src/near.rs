//! The side whose clients ask: crossings to one other site, over one or more ways to its gateways.
//!
//! A crossing is one request under way for all that want the same part of the same object. It has at most one attempt
//! out, on whatever way. When its connection is cut, what became of the attempt is not known; it is asked for as soon
//! as any connection of that way is up again, and until then nothing else is sent for it.

use crate::frame::{Answer, Ask, Became, Credit, Fate, Hello, Numbers, Piece, Say, Word};
use crate::pace::Pace;
use crate::purges::Purges;
use crate::{LinkLimits, Millis};
use bytes::{Bytes, BytesMut};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

/// A connection, by the caller's number.
pub type Conn = u64;
/// A client's request, by the caller's number.
pub type Token = u64;

/// Repeats saved up, at most, and at the start.
const SAVED: f64 = 20.0;
/// Until a connection is tried again, at first and at most, ms.
const AGAIN: (Millis, Millis) = (25.0, 250.0);
/// Until a way is used again that went away without naming a time, ms.
const AWAY: Millis = 1000.0;
/// Attempts out on a way that has just come back, and how many more at its full part.
const RETURNING: (f64, f64) = (16.0, 1024.0);
/// Until what waits for a way that has just come back is looked at again, ms.
const UNPARK: Millis = 10.0;
/// Time left below which nothing is sent, ms.
const LEAST: Millis = 5.0;
/// Largest answer that is taken, bytes.
const LARGEST: usize = 16 * 1024 * 1024;

/// What a repeat of a request may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// No harm.
    Safe,
    /// It is never sent again once it may have run.
    Never,
}

/// A client's request that is to cross.
#[derive(Clone, Debug)]
pub struct Want {
    /// What is asked; number and time left are filled in when it is sent.
    pub ask: Ask,
    /// The object as a number.
    pub object: u64,
    /// When the client gives up.
    pub expires: Millis,
    /// What a repeat may do.
    pub repeat: Repeat,
    /// It may share one crossing with others for the same part.
    pub joins: bool,
    /// Its class's place among all by worth, from 0 to 1.
    pub rank: f64,
}

/// The final answer to a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// Served: the body, the time at which the origin gave the copy out at the earliest, and its tag.
    Served(Bytes, Option<Millis>, String),
    /// The client's copy is the one.
    Unchanged(Option<Millis>, String),
    /// Refused, with when to come back.
    Refused(Millis),
    /// Failed.
    Failed,
    /// It can't be used.
    Unusable,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Open a connection on a way.
    Connect(usize),
    /// Say something on a connection.
    Send(Conn, Say),
    /// Close a connection.
    Close(Conn, String),
    /// The final answer to a request.
    Reply(Token, Reply),
}

/// Counts since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Counters {
    /// Requests taken.
    pub taken: u64,
    /// Requests that waited for a way.
    pub parked: u64,
    /// Requests that joined another one's crossing.
    pub joined: u64,
    /// Attempts sent.
    pub attempts: u64,
    /// Of these, repeats.
    pub repeats: u64,
    /// Attempts whose end came after a cut, by what became of them: unknown, never, running, ended.
    pub fates: [u64; 4],
    /// Refused as no way is up, as the ways are crowded, or as too much is open.
    pub no_way: u64,
    /// See `no_way`.
    pub crowded: u64,
    /// See `no_way`.
    pub full: u64,
    /// Answers that came from a copy older than a purge.
    pub stale: u64,
    /// Connections lost.
    pub cuts: u64,
}

#[derive(Debug)]
struct Waiter {
    token: Token,
    want: Want,
}

#[derive(Debug)]
struct Out {
    way: usize,
    number: u64,
    /// None: its connection was cut.
    conn: Option<Conn>,
    sent: Millis,
    /// Bytes that are awaited of it.
    awaited: f64,
    /// The head of its answer, what came of the body, and how far the other side may send.
    answer: Option<Answer>,
    body: BytesMut,
    /// The body comes in several pieces.
    several: bool,
    credit: usize,
    /// The tag that went along.
    have: Option<String>,
}

#[derive(Debug)]
struct Crossing {
    key: Option<Key>,
    /// The first leads.
    waiters: VecDeque<Waiter>,
    out: Option<Out>,
    /// It went out before.
    repeated: bool,
    /// It waits for a way until then.
    parked: Option<Millis>,
}

type Key = (String, u64, Option<u32>);

#[derive(Debug, Default)]
struct Line {
    /// The other side has said hello.
    up: bool,
    heard: Millis,
    /// Heartbeats: number of the last one, and when those not answered were sent.
    beat: u64,
    asked: VecDeque<(u64, Millis)>,
    next_beat: Millis,
    out: usize,
}

#[derive(Debug)]
struct Way {
    lines: BTreeMap<Conn, Line>,
    connections: usize,
    connecting: usize,
    session: u64,
    next: u64,
    /// The process at the other end.
    epoch: Option<u64>,
    /// Its memory of a session after a cut, where that is shorter than ours.
    reattach: Millis,
    credit: usize,
    /// Attempts out, by number.
    out: BTreeMap<u64, u64>,
    /// Attempts whose connection was cut, each with the connection on which its fate is asked.
    lost: BTreeMap<u64, Option<Conn>>,
    cut: Option<Millis>,
    /// When it came back; its part grows from there.
    back: Millis,
    /// It takes nothing new until then.
    away: Option<Millis>,
    next_try: Millis,
    wait: Millis,
    pace: Pace,
}

/// Crossings to one site.
#[derive(Debug)]
pub struct Near {
    limits: LinkLimits,
    ways: Vec<Way>,
    crossings: BTreeMap<u64, Crossing>,
    joined: HashMap<Key, u64>,
    tokens: HashMap<Token, u64>,
    /// When requests give up, soonest first.
    expiries: BTreeSet<(u64, Token)>,
    /// Crossings that wait for a way: by worth and then by age, and by when they are refused.
    parked: BTreeSet<(u32, u64)>,
    waiting: BTreeSet<(u64, u64)>,
    unparked: Millis,
    next: u64,
    saved: f64,
    closing: bool,
    effects: VecDeque<Effect>,
    /// Counts.
    pub counters: Counters,
}

/// A time as a key in order.
fn order(at: Millis) -> u64 {
    (at.max(0.0) * 1000.0) as u64
}

/// A rank as a key, the greatest first.
fn below(rank: f64) -> u32 {
    ((1.0 - rank.clamp(0.0, 1.0)) * f64::from(u32::MAX)) as u32
}

impl Near {
    /// No way is up yet. `sessions`: a number for the session of each way, such as no other process has.
    pub fn new(limits: LinkLimits, connections: usize, sessions: &[u64], now: Millis) -> Self {
        let way = |session: &u64| Way {
            lines: BTreeMap::new(),
            connections,
            connecting: 0,
            session: *session,
            next: 1,
            epoch: None,
            reattach: limits.reattach,
            credit: limits.credit,
            out: BTreeMap::new(),
            lost: BTreeMap::new(),
            cut: Some(now),
            back: now,
            away: None,
            next_try: now,
            wait: AGAIN.0,
            pace: Pace::default(),
        };
        Near {
            limits,
            ways: sessions.iter().map(way).collect(),
            crossings: BTreeMap::new(),
            joined: HashMap::new(),
            tokens: HashMap::new(),
            expiries: BTreeSet::new(),
            parked: BTreeSet::new(),
            waiting: BTreeSet::new(),
            unparked: now,
            next: 0,
            saved: SAVED,
            closing: false,
            effects: VecDeque::new(),
            counters: Counters::default(),
        }
    }

    /// The next thing to be done.
    pub fn effect(&mut self) -> Option<Effect> {
        self.effects.pop_front()
    }

    /// Crossings and requests that are open, and attempts whose fate is not known.
    pub fn sizes(&self) -> [usize; 3] {
        [self.crossings.len(), self.tokens.len(), self.ways.iter().map(|w| w.lost.len()).sum()]
    }

    /// Ways that are up, of all.
    pub fn ways_up(&self) -> (usize, usize) {
        (self.ways.iter().filter(|w| w.is_up()).count(), self.ways.len())
    }

    /// What a way carries.
    pub fn pace(&self, way: usize) -> Option<&Pace> {
        self.ways.get(way).map(|w| &w.pace)
    }

    /// The part of a hello that is this side's; `way` is where it goes.
    pub fn greet(&self, way: usize, hello: Hello) -> Hello {
        let Some(way) = self.ways.get(way) else { return hello };
        Hello {
            session: way.session,
            next: way.next,
            credit: self.limits.credit as u32,
            reattach: self.limits.reattach as u32,
            ..hello
        }
    }

    /// The process that was last seen at the end of a way.
    pub fn epoch(&self, way: usize) -> Option<u64> {
        self.ways.get(way).and_then(|w| w.epoch)
    }

    // ---- Requests ------------------------------------------------------------------------------------------

    /// A request that is to cross.
    pub fn request(&mut self, now: Millis, token: Token, want: Want) {
        self.counters.taken += 1;
        let key = want.joins.then(|| (want.ask.class.clone(), want.object, want.ask.part));
        if let Some(id) = key.as_ref().and_then(|k| self.joined.get(k).copied())
            && let Some(crossing) = self.crossings.get_mut(&id)
            && crossing.waiters.len() <= self.limits.waiters
        {
            self.counters.joined += 1;
            self.tokens.insert(token, id);
            self.expiries.insert((order(want.expires), token));
            crossing.waiters.push_back(Waiter { token, want });
            return;
        }
        if self.crossings.len() >= self.limits.crossings {
            self.counters.full += 1;
            return self.refuse(token, self.limits.cooldown);
        }
        self.next += 1;
        let id = self.next;
        // Where the one that could be joined has all the waiters that it may, this one goes alone.
        let key = key.filter(|k| !self.joined.contains_key(k));
        if let Some(key) = &key {
            self.joined.insert(key.clone(), id);
        }
        self.tokens.insert(token, id);
        self.expiries.insert((order(want.expires), token));
        let waiters = VecDeque::from([Waiter { token, want }]);
        self.crossings.insert(id, Crossing { key, waiters, out: None, repeated: false, parked: None });
        self.saved = (self.saved + self.limits.repeats).min(SAVED);
        self.send(now, id);
    }

    /// A client gave its request up.
    pub fn cancel(&mut self, now: Millis, token: Token) {
        let Some(id) = self.tokens.remove(&token) else { return };
        let Some(crossing) = self.crossings.get_mut(&id) else { return };
        if let Some(i) = crossing.waiters.iter().position(|w| w.token == token) {
            let gone = crossing.waiters.remove(i);
            self.expiries.retain(|(_, t)| *t != gone.as_ref().map_or(token, |w| w.token));
        }
        if crossing.waiters.is_empty() {
            self.end(now, id);
        }
    }

    fn refuse(&mut self, token: Token, cooldown: Millis) {
        self.effects.push_back(Effect::Reply(token, Reply::Refused(cooldown)));
    }

    /// The final answer to one that waits.
    fn reply(&mut self, waiter: Waiter, reply: Reply) {
        self.tokens.remove(&waiter.token);
        self.expiries.remove(&(order(waiter.want.expires), waiter.token));
        self.effects.push_back(Effect::Reply(waiter.token, reply));
    }

    /// Answers all that wait for a crossing, and forgets it.
    fn answer_all(&mut self, now: Millis, id: u64, reply: &Reply) {
        let Some(crossing) = self.crossings.get_mut(&id) else { return };
        for waiter in std::mem::take(&mut crossing.waiters) {
            self.reply(waiter, reply.clone());
        }
        self.end(now, id);
    }

    /// Nobody waits for a crossing any more.
    fn end(&mut self, now: Millis, id: u64) {
        self.finish(now, id, None, true);
        if let Some(crossing) = self.crossings.remove(&id)
            && let Some(key) = crossing.key
        {
            self.joined.remove(&key);
        }
    }

    /// A crossing's attempt is over; the other side is told that it may forget it. `size`: bytes of the answer, if it
    /// came whole.
    fn finish(&mut self, now: Millis, id: u64, size: Option<usize>, tell: bool) {
        let Some(out) = self.crossings.get_mut(&id).and_then(|c| c.out.take()) else { return };
        let Some(way) = self.ways.get_mut(out.way) else { return };
        way.pace.over(out.awaited, size);
        if out.several && !out.body.is_empty() {
            way.pace.ends(now);
        }
        way.out.remove(&out.number);
        let conn = out.conn.filter(|c| way.lines.contains_key(c));
        if let Some(line) = conn.and_then(|c| way.lines.get_mut(&c)) {
            line.out = line.out.saturating_sub(1);
        }
        way.lost.remove(&out.number);
        // This word may get lost; the next heartbeats tell from which number on attempts are open still.
        if let Some(conn) = conn.or_else(|| way.best()).filter(|_| tell) {
            let numbers = vec![out.number];
            self.effects.push_back(Effect::Send(conn, Say::Done(Numbers { numbers })));
        }
    }

    // ---- Sending -------------------------------------------------------------------------------------------

    /// Sends a crossing's attempt, or refuses it at once where that could not be in time.
    fn send(&mut self, now: Millis, id: u64) {
        let Some(crossing) = self.crossings.get(&id) else { return };
        let Some(leader) = crossing.waiters.front() else { return self.end(now, id) };
        let left = leader.want.expires - now;
        if left < LEAST {
            return self.lead_next(now, id, &Reply::Refused(self.limits.cooldown));
        }
        let ramp = self.limits.ramp;
        let Some(at) =
            self.choose(now).filter(|at| self.ways[*at].out.len() < self.ways[*at].room(now, ramp))
        else {
            return self.park(now, id);
        };
        let rank = leader.want.rank;
        let way = &self.ways[at];
        let awaited = way.pace.expect(leader.want.ask.size);
        if !way.pace.fits(awaited, left, rank) {
            self.counters.crowded += 1;
            let wait = self.limits.cooldown.max(way.pace.wait(0.0) * 0.5);
            return self.lead_next(now, id, &Reply::Refused(wait));
        }
        let Some(conn) = way.best() else { return };
        let trip = way.pace.round_trip();
        let way = &mut self.ways[at];
        let number = way.next;
        way.next += 1;
        way.out.insert(number, id);
        way.pace.asked(awaited);
        if let Some(line) = way.lines.get_mut(&conn) {
            line.out += 1;
        }
        let Some(crossing) = self.crossings.get_mut(&id) else { return };
        let Some(leader) = crossing.waiters.front() else { return };
        // The time on the way there is gone when it comes.
        let allow = (left - trip / 2.0).max(1.0).floor();
        let ask = Ask { number, allow, ..leader.want.ask.clone() };
        crossing.out = Some(Out {
            way: at,
            number,
            conn: Some(conn),
            sent: now,
            awaited,
            answer: None,
            body: BytesMut::new(),
            several: false,
            credit: self.limits.credit,
            have: ask.have.clone(),
        });
        self.counters.attempts += 1;
        self.counters.repeats += u64::from(crossing.repeated);
        self.effects.push_back(Effect::Send(conn, Say::Ask(ask)));
    }

    /// No way is up, or the one that came back takes no more for now: the crossing waits for a while, then it is
    /// refused.
    fn park(&mut self, now: Millis, id: u64) {
        let hold = self.limits.hold;
        let Some(crossing) = self.crossings.get_mut(&id) else { return };
        let until = *crossing.parked.get_or_insert(now + hold);
        if order(until) > order(now) {
            let rank = crossing.waiters.iter().map(|w| w.want.rank).fold(0.0, f64::max);
            self.counters.parked += crossing.waiters.len() as u64;
            self.parked.insert((below(rank), id));
            self.waiting.insert((order(until), id));
            return;
        }
        self.counters.no_way += crossing.waiters.len() as u64;
        let back = self.comes_back(now, id);
        self.answer_all(now, id, &Reply::Refused(back));
    }

    /// Refuses what waited for a way for too long, and sends the others as far as there is one.
    fn unpark(&mut self, now: Millis) {
        self.unparked = now;
        // What has gone out or ended meanwhile is passed over.
        while let Some((until, id)) = self.waiting.first().copied().filter(|(until, _)| *until <= order(now))
        {
            self.waiting.remove(&(until, id));
            if self.crossings.get(&id).is_some_and(|c| c.out.is_none() && c.parked.is_some()) {
                self.send(now, id);
            }
        }
        let ramp = self.limits.ramp;
        while self.choose(now).is_some_and(|at| self.ways[at].out.len() < self.ways[at].room(now, ramp)) {
            let Some((_, id)) = self.parked.pop_first() else { return };
            if self.crossings.get(&id).is_some_and(|c| c.out.is_none() && c.parked.is_some()) {
                self.send(now, id);
            }
        }
    }

    /// The way for the next attempt: the one with least out for its part.
    fn choose(&self, now: Millis) -> Option<usize> {
        let usable =
            self.ways.iter().enumerate().filter(|(_, w)| w.is_up() && w.away.is_none_or(|at| now >= at));
        let cost = |w: &Way| {
            (w.out.len() as f64 + 1.0) * (1.0 + w.pace.round_trip()) / w.part(now, self.limits.ramp)
        };
        usable.min_by(|a, b| cost(a.1).total_cmp(&cost(b.1))).map(|(i, _)| i)
    }

    /// When to come back while no way is up: past the next try to connect, spread out by the request's number.
    fn comes_back(&self, now: Millis, id: u64) -> Millis {
        let soonest =
            self.ways.iter().map(|w| w.away.unwrap_or(now).max(w.next_try) - now).fold(f64::MAX, f64::min);
        let spread = (id.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 40) as f64 / (1u64 << 24) as f64;
        soonest.max(self.limits.cooldown) * (1.0 + spread)
    }

    /// The leader's attempt came to nothing: it gets that answer, and the next one that waits leads, if there is
    /// something saved for a repeat.
    fn lead_next(&mut self, now: Millis, id: u64, reply: &Reply) {
        let Some(crossing) = self.crossings.get_mut(&id) else { return };
        let Some(leader) = crossing.waiters.pop_front() else { return self.end(now, id) };
        let many = !crossing.waiters.is_empty();
        crossing.repeated = true;
        self.reply(leader, reply.clone());
        if !many {
            return self.end(now, id);
        }
        if self.saved < 1.0 {
            return self.answer_all(now, id, &Reply::Refused(self.limits.cooldown));
        }
        self.saved -= 1.0;
        self.send(now, id);
    }

    /// The same request goes again, where a repeat does no harm and something is saved for one.
    fn again(&mut self, now: Millis, id: u64) {
        if self.saved < 1.0 {
            return self.answer_all(now, id, &Reply::Refused(self.limits.cooldown));
        }
        self.saved -= 1.0;
        if let Some(crossing) = self.crossings.get_mut(&id) {
            crossing.repeated = true;
            crossing.parked = None;
        }
        self.send(now, id);
    }

    // ---- Connections ---------------------------------------------------------------------------------------

    /// A connection that was asked for is open; the other side has not said hello.
    pub fn connected(&mut self, now: Millis, way: usize, conn: Conn) {
        if let Some(way) = self.ways.get_mut(way) {
            way.connecting = way.connecting.saturating_sub(1);
            way.lines.insert(conn, Line { heard: now, next_beat: now, ..Line::default() });
        }
    }

    /// A connection could not be opened.
    pub fn not_connected(&mut self, now: Millis, way: usize) {
        if let Some(way) = self.ways.get_mut(way) {
            way.connecting = way.connecting.saturating_sub(1);
            way.try_later(now);
        }
    }

    /// The other side has said hello.
    pub fn up(&mut self, now: Millis, conn: Conn, hello: &Hello) {
        let reattach = self.limits.reattach;
        let Some((at, way)) = self.ways.iter_mut().enumerate().find(|(_, w)| w.lines.contains_key(&conn))
        else {
            return;
        };
        let first = !way.is_up();
        if let Some(line) = way.lines.get_mut(&conn) {
            (line.up, line.heard, line.next_beat) = (true, now, now);
        }
        way.wait = AGAIN.0;
        way.away = None;
        way.credit = (hello.credit as usize).max(1);
        way.reattach = reattach.min(f64::from(hello.reattach));
        // Of a session that the other end has forgotten, or another process never knew, nothing can be learned.
        let forgotten = way.epoch.is_some_and(|epoch| epoch != hello.epoch)
            || way.cut.is_some_and(|cut| now - cut > way.reattach);
        way.epoch = Some(hello.epoch);
        if first {
            way.back = now;
            way.cut = None;
        }
        if forgotten {
            for number in std::mem::take(&mut way.lost).into_keys() {
                self.fate(now, at, conn, &Fate { number, became: Became::Unknown.into() });
            }
        } else {
            let resume = way.resume(conn);
            self.effects.extend(resume);
        }
        self.unpark(now);
    }

    /// Whatever the other site's gateways were, they may be there again: connections are tried at once.
    pub fn try_now(&mut self, now: Millis) {
        for way in self.ways.iter_mut().filter(|w| !w.is_up()) {
            (way.next_try, way.wait) = (now, AGAIN.0);
        }
    }

    /// A connection has ended. `unsent`: attempts of which no byte was written to it.
    pub fn down(&mut self, now: Millis, conn: Conn, unsent: &[u64]) {
        let Some(way) = self.ways.iter_mut().find(|w| w.lines.contains_key(&conn)) else { return };
        let was_up = way.lines.remove(&conn).is_some_and(|l| l.up);
        self.counters.cuts += u64::from(was_up);
        way.try_later(now);
        if was_up && !way.is_up() {
            way.cut = Some(now);
            way.pace.cut();
        }
        let mut never = Vec::new();
        let mut lost = Vec::new();
        let mut broken = 0;
        for (number, id) in &way.out {
            let Some(out) = self.crossings.get_mut(id).and_then(|c| c.out.as_mut()) else { continue };
            if out.conn != Some(conn) {
                continue;
            }
            out.conn = None;
            out.answer = None;
            broken += usize::from(out.several && !out.body.is_empty());
            out.body.clear();
            out.several = false;
            match unsent.contains(number) {
                true => never.push((*number, *id)),
                false => lost.push(*number),
            }
        }
        (0..broken).for_each(|_| way.pace.ends(now));
        // A fate that was asked on this connection is asked again on another one.
        way.lost.values_mut().filter(|asked| **asked == Some(conn)).for_each(|asked| *asked = None);
        way.lost.extend(lost.into_iter().map(|number| (number, None)));
        let resume = way.best().and_then(|other| way.resume(other));
        self.effects.extend(resume);
        for (_, id) in never {
            self.finish(now, id, None, false);
            self.again(now, id);
        }
    }

    /// Something came on a connection. Tells whether it belonged here.
    pub fn say(&mut self, now: Millis, clock: Millis, conn: Conn, say: Say, purges: &mut Purges) -> bool {
        let Some((at, way)) = self.ways.iter_mut().enumerate().find(|(_, w)| w.lines.contains_key(&conn))
        else {
            return false;
        };
        let Some(line) = way.lines.get_mut(&conn).filter(|l| l.up) else { return false };
        line.heard = now;
        match say {
            Say::Pong(beat) => {
                while let Some((number, sent)) = line.asked.pop_front() {
                    if number == beat.number {
                        way.pace.trip(now - sent);
                        purges.vouched(now, clock, way.epoch.unwrap_or(0), sent, &beat);
                    }
                    if number >= beat.number {
                        break;
                    }
                }
            }
            Say::Answer(answer) => return self.head(now, at, conn, answer, purges),
            Say::Piece(piece) => return self.body(now, at, conn, &piece, purges),
            Say::Fate(fate) => {
                if way.lost.get(&fate.number) == Some(&Some(conn)) {
                    self.fate(now, at, conn, &fate);
                }
            }
            Say::GoAway(away) => {
                // It serves what it has; when no time is named, it will be another process that comes back.
                let wait = if away.cooldown > 0.0 { away.cooldown } else { AWAY };
                way.away = Some(now + wait);
            }
            _ => return false,
        }
        true
    }

    /// The crossing of an attempt whose answer may come on a connection.
    fn awaited(&mut self, way: usize, conn: Conn, number: u64) -> Option<(u64, &mut Out)> {
        let id = *self.ways.get(way)?.out.get(&number)?;
        let out = self.crossings.get_mut(&id)?.out.as_mut()?;
        (out.conn == Some(conn)).then_some((id, out))
    }

    fn head(&mut self, now: Millis, way: usize, conn: Conn, answer: Answer, purges: &Purges) -> bool {
        let length = answer.length as usize;
        if length > LARGEST {
            return false;
        }
        let Some((id, out)) = self.awaited(way, conn, answer.number) else { return true };
        out.body.clear();
        let whole = length == 0 || answer.word() != Word::Served;
        out.answer = Some(answer);
        if whole {
            self.whole(now, id, purges);
        }
        true
    }

    fn body(&mut self, now: Millis, way: usize, conn: Conn, piece: &Piece, purges: &Purges) -> bool {
        let credit = self.limits.credit;
        let mut grant = None;
        let mut whole = None;
        let mut begins = false;
        if let Some((id, out)) = self.awaited(way, conn, piece.number) {
            let length = out.answer.as_ref().map_or(0, |a| a.length as usize);
            let fits = piece.at as usize == out.body.len() && out.body.len() + piece.bytes.len() <= length;
            if !fits {
                return false;
            }
            begins = out.body.is_empty() && piece.bytes.len() < length;
            out.several |= begins;
            out.body.extend_from_slice(&piece.bytes);
            if out.body.len() == length {
                whole = Some(id);
            } else if out.credit - out.body.len().min(out.credit) <= credit / 2 {
                out.credit = out.body.len() + credit;
                grant = Some(Credit { number: piece.number, up_to: out.credit as u32 });
            }
        }
        if let Some(way) = self.ways.get_mut(way) {
            // What came with the first piece was on its way before.
            if begins {
                way.pace.begins(now);
            } else {
                way.pace.came(now, piece.bytes.len());
            }
        }
        if let Some(grant) = grant {
            self.effects.push_back(Effect::Send(conn, Say::Credit(grant)));
        }
        if let Some(id) = whole {
            self.whole(now, id, purges);
        }
        true
    }

    /// An answer is here whole.
    fn whole(&mut self, now: Millis, id: u64, purges: &Purges) {
        let Some(crossing) = self.crossings.get_mut(&id) else { return };
        let Some(out) = crossing.out.as_mut() else { return };
        let Some(answer) = out.answer.take() else { return };
        let several = out.several;
        let body = std::mem::take(&mut out.body).freeze();
        if let Some(way) = self.ways.get_mut(out.way).filter(|_| several) {
            way.pace.ends(now);
        }
        let (sent, have) = (out.sent, out.have.clone());
        self.finish(now, id, Some(body.len()), true);
        // The copy was no older than that when the attempt went out, so it was given out then at the earliest.
        let issued = answer.age.map(|age| sent - age);
        let Some(leader) = self.crossings.get(&id).and_then(|c| c.waiters.front()) else {
            return self.end(now, id);
        };
        let (object, group, repeat) = (leader.want.object, leader.want.ask.group, leader.want.repeat);
        let fresh = issued.is_none_or(|at| purges.may_answer(now, object, group, at));
        match answer.word() {
            Word::Served | Word::Unchanged if !fresh && repeat == Repeat::Safe => {
                self.counters.stale += 1;
                self.again(now, id);
            }
            Word::Served => self.answer_all(now, id, &Reply::Served(body, issued, answer.tag)),
            Word::Unchanged => {
                // It holds for those that have the same copy; the others go on.
                let Some(crossing) = self.crossings.get_mut(&id) else { return };
                let all = std::mem::take(&mut crossing.waiters);
                let (same, others) = all.into_iter().partition(|w| w.want.ask.have == have);
                crossing.waiters = others;
                let waiting = !crossing.waiters.is_empty();
                for waiter in same {
                    self.reply(waiter, Reply::Unchanged(issued, answer.tag.clone()));
                }
                match waiting {
                    true => self.again(now, id),
                    false => self.end(now, id),
                }
            }
            Word::Refused => self.answer_all(now, id, &Reply::Refused(answer.cooldown)),
            Word::Unusable => self.answer_all(now, id, &Reply::Unusable),
            Word::Failed => self.lead_next(now, id, &Reply::Failed),
        }
    }

    /// What became of an attempt whose connection was cut.
    fn fate(&mut self, now: Millis, way: usize, conn: Conn, fate: &Fate) {
        let Some(at) = self.ways.get_mut(way) else { return };
        at.lost.remove(&fate.number);
        let Some(id) = at.out.get(&fate.number).copied() else { return };
        self.counters.fates[fate.became as usize & 3] += 1;
        let Some(crossing) = self.crossings.get_mut(&id) else { return };
        let Some(out) = crossing.out.as_mut().filter(|o| o.conn.is_none()) else { return };
        let safe = crossing.waiters.front().is_some_and(|w| w.want.repeat == Repeat::Safe);
        match fate.became() {
            Became::Running | Became::Ended => {
                out.conn = Some(conn);
                out.credit = self.limits.credit;
                if let Some(line) = at.lines.get_mut(&conn) {
                    line.out += 1;
                }
            }
            // It can't come any more: the same as if it had never been sent.
            Became::Never => {
                self.finish(now, id, None, true);
                self.again(now, id);
            }
            Became::Unknown => {
                self.finish(now, id, None, true);
                match safe {
                    true => self.again(now, id),
                    false => self.answer_all(now, id, &Reply::Failed),
                }
            }
        }
    }

    /// Ends what is over, keeps the connections and their heartbeats going.
    pub fn tick(&mut self, now: Millis, clock: Millis, purges: &Purges) {
        while let Some((at, token)) = self.expiries.first().copied().filter(|(at, _)| *at <= order(now)) {
            self.expiries.remove(&(at, token));
            self.expire(now, token);
        }
        self.unpark(now);
        let (heartbeat, silence) = (self.limits.heartbeat, self.limits.silence);
        let mut unknown = Vec::new();
        for at in 0..self.ways.len() {
            let way = &mut self.ways[at];
            let epoch = way.epoch;
            let floor = way.out.keys().next().copied().unwrap_or(way.next);
            way.pace.tick(now);
            if way.cut.is_some_and(|cut| now - cut > way.reattach) && !way.lost.is_empty() {
                unknown.extend(std::mem::take(&mut way.lost).into_keys().map(|number| (at, number)));
            }
            if way.away.is_some_and(|until| now >= until) {
                way.away = None;
            }
            let mut silent = Vec::new();
            for (conn, line) in &mut way.lines {
                if now - line.heard > silence {
                    silent.push(*conn);
                } else if line.up && now >= line.next_beat {
                    line.next_beat = now + heartbeat;
                    line.beat += 1;
                    line.asked.push_back((line.beat, now));
                    let beat = crate::frame::Beat {
                        number: line.beat,
                        clock,
                        purges: purges.last(),
                        has: epoch.map_or(0, |epoch| purges.has(epoch)),
                        floor,
                    };
                    self.effects.push_back(Effect::Send(*conn, Say::Ping(beat)));
                }
            }
            let wanted = if self.closing { 0 } else { way.connections };
            if self.closing && self.crossings.is_empty() {
                silent.extend(way.lines.keys().filter(|c| !silent.contains(c)).copied().collect::<Vec<_>>());
            }
            while way.lines.len() + way.connecting < wanted && now >= way.next_try {
                way.connecting += 1;
                self.effects.push_back(Effect::Connect(at));
            }
            for conn in silent {
                let why = if self.closing { "no longer a peer" } else { "silent" };
                self.effects.push_back(Effect::Close(conn, why.to_string()));
                self.down(now, conn, &[]);
            }
        }
        for (way, number) in unknown {
            self.fate(now, way, 0, &Fate { number, became: Became::Unknown.into() });
        }
    }

    /// A request's time is over.
    fn expire(&mut self, now: Millis, token: Token) {
        let Some(id) = self.tokens.get(&token).copied() else { return };
        let Some(crossing) = self.crossings.get_mut(&id) else { return };
        let Some(i) = crossing.waiters.iter().position(|w| w.token == token) else { return };
        let Some(waiter) = crossing.waiters.remove(i) else { return };
        let last = crossing.waiters.is_empty();
        // What never went out has not run: trying again is harmless.
        let never = crossing.out.is_none() && !crossing.repeated;
        self.reply(waiter, if never { Reply::Refused(self.limits.cooldown) } else { Reply::Failed });
        if last {
            self.end(now, id);
        }
    }

    /// When `tick` is to be called next, at the latest.
    pub fn next_due(&self) -> Option<Millis> {
        let expiry = self.expiries.first().map(|(at, _)| (*at + 1) as f64 / 1000.0);
        let ways = self.ways.iter().flat_map(|w| {
            let missing = w.lines.len() + w.connecting < w.connections && !self.closing;
            let lost = w.cut.filter(|_| !w.lost.is_empty()).map(|cut| cut + w.reattach + 1.0);
            let beats = w.lines.values().flat_map(|l| {
                let beat = l.up.then_some(l.next_beat);
                [beat, Some(l.heard + self.limits.silence + 1.0)].into_iter().flatten()
            });
            beats.chain(missing.then_some(w.next_try)).chain(lost).collect::<Vec<_>>()
        });
        let parked = self.waiting.first().map(|(until, _)| (*until + 1) as f64 / 1000.0);
        // A way that has just come back takes more from one moment to the next.
        let parked = parked.map(|until| {
            if self.ways.iter().any(Way::is_up) { until.min(self.unparked + UNPARK) } else { until }
        });
        ways.chain(expiry).chain(parked).min_by(f64::total_cmp)
    }

    /// Something was heard that is no business of this side.
    pub fn heard(&mut self, now: Millis, conn: Conn) {
        if let Some(line) = self.ways.iter_mut().find_map(|w| w.lines.get_mut(&conn)) {
            line.heard = now;
        }
    }

    /// The connections whose other side has said hello.
    pub fn up_lines(&self) -> impl Iterator<Item = Conn> {
        self.ways.iter().flat_map(|w| w.lines.iter().filter(|(_, l)| l.up).map(|(conn, _)| *conn))
    }

    /// Whether a connection is this side's.
    pub fn owns(&self, conn: Conn) -> bool {
        self.ways.iter().any(|w| w.lines.contains_key(&conn))
    }

    /// Opens no further connection.
    pub fn close(&mut self) {
        self.closing = true;
    }
}

impl Way {
    fn is_up(&self) -> bool {
        self.lines.values().any(|l| l.up)
    }

    /// Asks on a connection for the fates that are asked on none.
    fn resume(&mut self, conn: Conn) -> Option<Effect> {
        let open = self.lost.iter_mut().filter(|(_, asked)| asked.is_none());
        let numbers: Vec<u64> = open
            .map(|(number, asked)| {
                *asked = Some(conn);
                *number
            })
            .collect();
        (!numbers.is_empty()).then(|| Effect::Send(conn, Say::Resume(Numbers { numbers })))
    }

    /// The connection with least out.
    fn best(&self) -> Option<Conn> {
        let up = self.lines.iter().filter(|(_, l)| l.up);
        up.min_by_key(|(conn, l)| (l.out, **conn)).map(|(conn, _)| *conn)
    }

    /// Its part of what it carries when it has been up for long, from a twentieth to 1.
    fn part(&self, now: Millis, ramp: Millis) -> f64 {
        if ramp <= 0.0 { 1.0 } else { ((now - self.back) / ramp).clamp(0.05, 1.0) }
    }

    /// Attempts that may be out on it: few when it has just come back, so that what gathered meanwhile does not fall
    /// on it at once; then without a bound of its own.
    fn room(&self, now: Millis, ramp: Millis) -> usize {
        match self.part(now, ramp) {
            part if part >= 1.0 => usize::MAX,
            part => (RETURNING.0 + RETURNING.1 * part * part) as usize,
        }
    }

    fn try_later(&mut self, now: Millis) {
        // A second connection that is lost at the same moment does not double the wait again.
        if now >= self.next_try {
            self.next_try = now + self.wait;
            self.wait = (self.wait * 2.0).min(AGAIN.1);
        }
    }
}
