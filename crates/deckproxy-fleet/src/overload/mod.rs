//! Overload, handled by the fleet as one: who sheds what, and who may come back when.
//!
//! Each gateway counts what is asked of it and what becomes of that ([`summary`]), and tells the others on the board. One
//! of those that hear each other looks at the sum and decides one cut for all ([`shed_level`]): requests of ranks below it are
//! turned away ([`rank`]) wherever they come. Of those turned away so many are promised a time as the fleet's budget of
//! repeats bears; who was turned away is known to all ([`rejected`]), so that coming back elsewhere or too early gains
//! nothing. What the caches hold passes where only the way to the sources is crowded ([`recently_cached`]).
//!
//! Whoever hears nobody decides for itself, from what it counts itself: its own share, and no more.

pub mod part;
pub mod rank;
pub mod recently_cached;
pub mod rejected;
pub mod shed_level;
pub mod summary;
mod types;

pub use deckproxy_recovery::admission::Ended;
pub use types::{Asked, Class, Counters, Seat, Settings, Ticket, Verdict};

use crate::Millis;
use crate::gossip_store::{GossipStore, Key, kinds};
use crate::instance::Name;
use crate::rendezvous::{Candidate, observers};
use deckproxy_recovery::budget::Budget;
use part::Part;
use rank::{Draw, Keys, rank};
use recently_cached::RecentlyCached;
use rejected::{PIECES, RejectedRequests, Rejection, RejectionBatch};
use shed_level::{LOOK, ShedController, ShedLevel, ShedLine};
use std::collections::BTreeMap;
use summary::{Counting, Rates, Summary, THINGS, Thing};

/// An entry that is to stand on the board: its kind and subject, how long it counts, and what it says; none: it is taken
/// back.
pub type Entry = (Key, u32, Option<Vec<u8>>);

/// How long a summary and a cut count unless they are written again, ms: where datagrams are lost, one that is a little old
/// says more than none; and until another decides, what was decided last holds.
const SUMMARY_LIFE: u32 = 2500;
const CUT_LIFE: u32 = 6000;
/// A promised time is that far off at least, so that it is known to all by then, ms.
const TOLD: Millis = 400.0;
/// Times are promised over so long, ms: of what is further off nobody knows.
const AHEAD: Millis = 800.0;
/// What is left of a client's time when it comes back must be enough to serve it, ms.
const ENOUGH: Millis = 200.0;
/// Who comes so little too early is in time, ms: a piece's age leaves out how long it was on its way, some hops of it.
const EARLY: Millis = 100.0;
/// Who comes so much after its time has lost it, ms.
const LATE: Millis = 1000.0;
/// Over its part of the repeats that the fleet lets in, an instance may go by that: they do not come evenly.
const SLACK: f64 = 1.05;
/// Those whose word is still on its way are taken for so much of those whose word is there, at most.
const UNTOLD: f64 = 1.5;
/// What takes more than that part of its client's time has stood in a queue: seen so early, the queue is cut before it is as
/// long as clients wait.
const SOON: f64 = 0.25;
/// KB of an answer that costs what is usual; the same at all gateways, so that ranks are.
const USUAL: f64 = 16.0;

/// What one gateway does about the fleet's overload.
#[derive(Debug)]
pub struct Overload {
    set: Settings,
    keys: Keys,
    bands: usize,
    counting: Counting,
    control: ShedController,
    /// It decided at the last look.
    leads: bool,
    next_look: Millis,
    /// What is in force, and when its epoch began.
    force: ShedLevel,
    began: Millis,
    parts: [Part; THINGS],
    budget: Budget,
    wishes: RejectedRequests,
    recently_cached: RecentlyCached,
    lives: BTreeMap<Name, u64>,
    /// How many were there at the last look, and what came to them.
    seen: (usize, [f64; THINGS]),
    /// Counts.
    pub counters: Counters,
}

impl Overload {
    /// One that has heard nothing yet.
    pub fn new(now: Millis, set: Settings) -> Self {
        Overload {
            keys: Keys::of(&set.fleet),
            bands: set.classes.iter().map(|c| c.band + 1).max().unwrap_or(1),
            counting: Counting::new(now, set.window),
            control: ShedController::new(set.limits),
            leads: false,
            next_look: now,
            force: ShedLevel::default(),
            began: now,
            parts: [Part::none(now); THINGS],
            budget: Budget::new(set.budget),
            wishes: RejectedRequests::new(set.remembered, set.most_back.max(1000.0) * 4.0),
            recently_cached: RecentlyCached::new(set.remembered, 60_000.0),
            lives: BTreeMap::new(),
            seen: (1, [0.0; THINGS]),
            counters: Counters::default(),
            set,
        }
    }

    /// What is in force.
    pub fn cut(&self) -> &ShedLevel {
        &self.force
    }

    /// Whether it decides for those that hear it.
    pub fn leads(&self) -> bool {
        self.leads
    }

    /// Wishes that are remembered, and those turned away here that the others were not told.
    pub fn sizes(&self) -> [u64; 2] {
        [self.wishes.len() as u64, self.wishes.kept_back]
    }

    // ---- Requests ------------------------------------------------------------------------------------------

    /// A request came. Of a class that is not known nothing is said: it passes.
    pub fn request(&mut self, now: Millis, asked: Asked) -> Verdict {
        let Some(class) = self.set.classes.get(asked.class).copied() else {
            return self.pass(now, asked, Thing::Caches, asked.again);
        };
        let warm = !class.effect && self.recently_cached.has(asked.object);
        let thing = if warm { Thing::Caches } else { Thing::Sources };
        let turned = self.wishes.get(self.keys.wish(asked.client, asked.object));
        if turned.is_some_and(|t| t.ran && class.effect) {
            return self.pass(now, asked, thing, true);
        }
        let early = turned.map_or(0.0, |t| t.back - now);
        if self.set.advice && (EARLY..=self.set.most_back).contains(&early) {
            // It gains nothing by it, and loses nothing: its time stays as it was.
            self.counters.hasty += 1;
            return Verdict::Refuse(early);
        }
        let line = self.force.things[thing as usize];
        if turned.is_some_and(|t| t.promised && now - t.back <= LATE) {
            // Where nothing is cut it was paid for when it was promised.
            if line.is_none() || self.parts[thing as usize].spend(now, true) {
                self.counters.kept += 1;
                return self.pass_again(now, asked, thing);
            }
            self.counters.broken += 1;
            return self.turn_away(now, &asked, None);
        }
        let draw = self.keys.draw(Draw::Place, asked.client, 0, self.force.epoch);
        let cost = asked.size.map_or(1.0, |kb| (kb / USUAL).max(0.0).sqrt().sqrt());
        let rank = rank(class.band, self.bands, cost, draw);
        let tally = self.counting.of(thing);
        // Who moves on at once is there before the word of it: what it says itself is taken for true, as it gains nothing by it.
        let repeat = turned.is_some() || asked.again;
        if repeat {
            // It came when it was a first try, and is counted as such there: however often a wish is tried, it is one.
            tally.repeats = tally.repeats.saturating_add(1);
        } else {
            tally.came(rank);
        }
        if line.is_some_and(|line| rank < line.rank) {
            self.counters.below += 1;
            return self.turn_away(now, &asked, line);
        }
        let paid = match (repeat, line) {
            (false, _) => true,
            (true, Some(_)) => self.parts[thing as usize].spend(now, false),
            (true, None) => self.budget.spend(),
        };
        if !paid {
            self.counters.no_budget += 1;
            return self.turn_away(now, &asked, None);
        }
        if repeat {
            return self.pass_again(now, asked, thing);
        }
        let tally = self.counting.of(thing);
        tally.firsts = tally.firsts.saturating_add(1);
        self.pass(now, asked, thing, false)
    }

    fn pass_again(&mut self, now: Millis, asked: Asked, thing: Thing) -> Verdict {
        let tally = self.counting.of(thing);
        tally.back = tally.back.saturating_add(1);
        self.pass(now, asked, thing, true)
    }

    fn pass(&mut self, now: Millis, asked: Asked, thing: Thing, again: bool) -> Verdict {
        let tally = self.counting.of(thing);
        tally.passed = tally.passed.saturating_add(1);
        self.counters.passed += 1;
        Verdict::Pass(Ticket { asked, thing, at: now, again })
    }

    /// The time at which the fleet would have a client back, whoever is asked, ms from now; none: not while it waits.
    fn time(&self, now: Millis, asked: &Asked) -> Option<Millis> {
        let most = self.set.most_back;
        let least = TOLD.min(most / 2.0).max(self.set.least_back.min(most));
        let span = (most - least).clamp(1.0, AHEAD);
        let place = self.keys.draw(Draw::Time, asked.client, asked.object, self.force.epoch) * span;
        let after = least + (self.began + place - now - least).rem_euclid(span);
        (after + ENOUGH <= asked.left).then_some(after)
    }

    /// Refuses it, with a time: a promised one, where a line says how many are promised one and the draw falls so.
    fn turn_away(&mut self, now: Millis, asked: &Asked, line: Option<ShedLine>) -> Verdict {
        let draw = self.keys.draw(Draw::Promise, asked.client, asked.object, self.force.epoch);
        let promised = line.is_some_and(|l| draw * f64::from(u16::MAX) < f64::from(l.promise));
        let back = if promised { self.time(now, asked) } else { None };
        self.counters.promised += u64::from(back.is_some());
        Verdict::Refuse(self.remember(now, asked, back, back.is_some()))
    }

    fn remember(&mut self, now: Millis, asked: &Asked, back: Option<Millis>, promised: bool) -> Millis {
        let back = back.unwrap_or(self.set.most_back);
        let wish = self.keys.wish(asked.client, asked.object);
        self.wishes.turned(now, wish, Rejection { back: now + back, promised, ran: false });
        if self.set.advice { back } else { 0.0 }
    }

    /// A request that passed has ended. `back`: when the module asks the client back, ms. Gives when it is to be asked
    /// back.
    pub fn ended(&mut self, now: Millis, ticket: &Ticket, ended: Ended, back: Millis) -> Millis {
        let Ticket { asked, thing, at, again } = ticket;
        let wish = self.keys.wish(asked.client, asked.object);
        let effect = self.set.classes.get(asked.class).is_some_and(|c| c.effect);
        let tally = self.counting.of(*thing);
        let count = match ended {
            Ended::Served => &mut tally.served,
            Ended::Refused => &mut tally.refused,
            Ended::Failed | Ended::Gone => &mut tally.wasted,
        };
        *count = count.saturating_add(1);
        if ended == Ended::Served && now - at > asked.left * SOON {
            tally.slow = tally.slow.saturating_add(1);
        }
        match ended {
            Ended::Served => {
                self.wishes.served(wish);
                // What was let in in vain earns no repeats, and what is cut earns them by its line: none does so twice.
                if !again && self.force.things[*thing as usize].is_none() {
                    self.budget.earn();
                }
                if !effect {
                    self.recently_cached.served(now, asked.object);
                }
                back
            }
            Ended::Refused => {
                self.recently_cached.lost(asked.object);
                let left = Asked { left: asked.left - (now - at), ..*asked };
                let line = self.force.things[*thing as usize];
                let time = self.time(now, &left);
                match line {
                    Some(_) => match self.turn_away(now, &left, line) {
                        Verdict::Refuse(back) => back,
                        Verdict::Pass(_) => back,
                    },
                    // Nothing is cut: as many are promised a place among all as the budget bears.
                    None => {
                        let mut own = Rates::default();
                        own.add(&self.counting.summary(), *thing as usize);
                        let well = own.share() >= self.set.limits.good;
                        let time = time.map(|time| time.max(back)).filter(|_| well && self.budget.spend());
                        self.counters.promised += u64::from(time.is_some());
                        self.remember(now, &left, time, time.is_some())
                    }
                }
            }
            Ended::Failed | Ended::Gone => {
                self.recently_cached.lost(asked.object);
                // Nobody asked it back: when it comes it is a repeat, and not hasty.
                self.wishes.turned(now, wish, Rejection { back: now, promised: false, ran: effect });
                back
            }
        }
    }

    // ---- The others ----------------------------------------------------------------------------------------

    /// Carries out what is due; gives what is to stand on the board.
    pub fn tick(&mut self, now: Millis, seat: &Seat, board: &GossipStore) -> Vec<Entry> {
        let mut out = Vec::new();
        let key = |kind, subject: String| Key { kind, subject: subject.into() };
        if self.counting.tick(now) {
            let value = postcard::to_stdvec(&self.counting.summary()).unwrap_or_default();
            out.push((key(kinds::SUMMARY, String::new()), SUMMARY_LIFE, Some(value)));
        }
        self.hear(now, seat, board);
        if let Some(piece) = self.wishes.piece(now) {
            let life = (self.set.most_back + LATE).min(10_000.0) as u32;
            let value = postcard::to_stdvec(&piece).unwrap_or_default();
            out.push((key(kinds::TURNED, (piece.number % PIECES).to_string()), life, Some(value)));
        }
        if now >= self.next_look && !seat.old {
            self.next_look = now + LOOK;
            let led = self.leads;
            self.leads = leader(seat);
            if self.leads {
                let cut = self.look(now, seat, board, led);
                let value = postcard::to_stdvec(&cut).unwrap_or_default();
                out.push((key(kinds::CUT, String::new()), CUT_LIFE, Some(value)));
            } else if led {
                // What was decided here until now stands no more.
                out.push((key(kinds::CUT, String::new()), CUT_LIFE, None));
            }
        }
        out
    }

    fn look(&mut self, now: Millis, seat: &Seat, board: &GossipStore, led: bool) -> ShedLevel {
        let mut sums = [Rates::default(); THINGS];
        let own = self.counting.summary();
        let others = board.all(now, kinds::SUMMARY).filter(|(author, ..)| is_heard(seat, author));
        let others = others.filter_map(|(_, _, _, value)| postcard::from_bytes::<Summary>(value).ok());
        let mut told = 0;
        for summary in others.chain([own]) {
            told += 1;
            sums.iter_mut().enumerate().for_each(|(thing, sum)| sum.add(&summary, thing));
        }
        // Whose word is still on its way counts as the others do.
        let untold = (seat.others.len() + 1) as f64 / f64::from(told);
        sums.iter_mut().for_each(|sum| sum.scale(untold.min(UNTOLD)));
        if !led {
            let force = self.force;
            let part = |i: usize| {
                force.things[i].map_or(1.0, |l| (sums[i].come() + sums[i].back) / f64::from(l.come).max(1.0))
            };
            self.control.take_over(
                now,
                &force,
                now - self.began - f64::from(force.lasted),
                [part(0), part(1)],
            );
        }
        let come = [0, 1].map(|i| sums[i].come() + sums[i].back);
        let there = seat.others.len() + 1;
        let (before, came) = std::mem::replace(&mut self.seen, (there, come));
        if led && there != before {
            // A part never lets in more than its share of instances would, nor the whole less.
            let most = there as f64 / before.max(1) as f64;
            let times = |i: usize| come[i] / came[i].max(1.0);
            let times = |i: usize| {
                if most > 1.0 { times(i).clamp(1.0, 1.5 * most) } else { times(i).clamp(most, 1.0) }
            };
            self.control.resize([times(0), times(1)]);
        }
        self.counters.looks += 1;
        self.control.look(now, &sums)
    }

    /// Takes what the others tell. Of several cuts the stricter one counts, until the others have ended.
    fn hear(&mut self, now: Millis, seat: &Seat, board: &GossipStore) {
        for (author, life) in &seat.others {
            let known = self.lives.insert(author.clone(), *life);
            if known.is_some_and(|known| known < *life) {
                self.wishes.inherit(now, author);
            }
        }
        for (author, _, age, value) in board.all(now, kinds::TURNED) {
            let life = board.life(author).unwrap_or(0);
            if Some(author) != seat.own.as_ref()
                && let Ok(piece) = postcard::from_bytes::<RejectionBatch>(value)
            {
                self.wishes.hear(now, author, life, age, &piece);
            }
        }
        // Who has slept, or hears nobody yet, goes on as it was.
        if seat.old {
            return;
        }
        let there = |author: &Name| Some(author) == seat.own.as_ref() || is_heard(seat, author);
        // What one said that is lost holds until somebody has decided anew.
        let force = strictest(now, board, there).or_else(|| strictest(now, board, |_| true));
        // What this one has decided itself stands there too, and does not go before the others'.
        match force {
            Some((cut, began)) => self.enforce(now, cut, began),
            None => {
                self.enforce(now, ShedLevel { epoch: self.force.epoch, ..ShedLevel::default() }, self.began)
            }
        }
    }

    fn enforce(&mut self, now: Millis, cut: ShedLevel, began: Millis) {
        if cut.epoch != self.force.epoch {
            self.began = began;
        }
        let own = self.counting.summary();
        for (thing, part) in self.parts.iter_mut().enumerate() {
            let Some(line) = cut.things[thing] else {
                *part = Part::none(now);
                continue;
            };
            let mut mine = Rates::default();
            mine.add(&own, thing);
            // A part by what comes here of what comes to all.
            let share = ((mine.come() + mine.back) / f64::from(line.come).max(1.0)).min(1.0);
            part.lend(now, f64::from(line.returns) * share * SLACK);
        }
        self.force = cut;
    }
}

fn is_heard(seat: &Seat, author: &Name) -> bool {
    seat.others.iter().any(|(other, _)| other == author)
}

/// Whether this instance decides for those that hear each other: by rendezvous, without a word.
fn leader(seat: &Seat) -> bool {
    let Some(own) = &seat.own else { return false };
    let candidate = |name: &Name| Candidate { name: name.clone(), zone: Name::from(""), weight: 1 };
    let all: Vec<Candidate> =
        std::iter::once(own).chain(seat.others.iter().map(|(name, _)| name)).map(candidate).collect();
    observers("overload", "", &all, 1) == [0]
}

/// The strictest of what some have decided, with when the epoch began.
fn strictest(now: Millis, board: &GossipStore, whose: impl Fn(&Name) -> bool) -> Option<(ShedLevel, Millis)> {
    let all = board.all(now, kinds::CUT).filter(|(author, ..)| whose(author));
    let all = all.filter_map(|(_, _, age, value)| {
        let cut: ShedLevel = postcard::from_bytes(value).ok()?;
        Some((cut, now - age - f64::from(cut.lasted)))
    });
    all.reduce(|(one, began), (other, others)| match one.epoch < other.epoch {
        true => (stricter(other, &one), others),
        false => (stricter(one, &other), began),
    })
}

fn stricter(cut: ShedLevel, other: &ShedLevel) -> ShedLevel {
    let mut out = cut;
    for (line, other) in out.things.iter_mut().zip(other.things) {
        if let Some(other) = other {
            *line = match *line {
                Some(line) if line.rank >= other.rank => Some(line),
                _ => Some(other),
            };
        }
    }
    out
}

#[cfg(test)]
mod tests;
