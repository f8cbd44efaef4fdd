//! Clients and what serves them in simulated time, around instances that handle overload as one: what comes, what passes,
//! what is served is counted here, by the clients' and the servers' side.

use crate::simulated::Sim;
use deckproxy_fleet::Millis;
use deckproxy_fleet::overload::{
    Class, RequestInfo, RequestOutcome, Settings, Ticket, Verdict, shed_controller,
};
use deckproxy_recovery::budget;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

/// How clients take a refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Manners {
    /// They go to the next instance at once, and from there follow what they are told.
    Moves,
    /// They go from instance to instance, at once and for ever.
    Hasty,
    /// They follow what they are told.
    Told,
}

/// How all is set.
#[derive(Clone, Copy, Debug)]
pub struct Terms {
    /// Clients.
    pub clients: u64,
    /// First tries a second of all.
    pub rate: f64,
    /// Share of them for objects that caches hold, and of those that are worth more.
    pub popular: f64,
    /// See `popular`.
    pub dear: f64,
    /// What the sources and the caches can do a second.
    pub sources: f64,
    /// See `sources`.
    pub caches: f64,
    /// Of what is too much, the share that fails late instead of being turned away.
    pub fails: f64,
    /// How long a client waits, ms.
    pub patience: Millis,
    /// How it takes a refusal.
    pub manners: Manners,
    /// Clients mark their repeats.
    pub marks: bool,
    /// The traffic of the first instance beside each other's.
    pub skew: f64,
}

impl Default for Terms {
    fn default() -> Self {
        Terms {
            clients: 600,
            rate: 300.0,
            popular: 0.3,
            dear: 0.1,
            sources: 250.0,
            caches: 2000.0,
            fails: 0.2,
            patience: 1500.0,
            manners: Manners::Moves,
            marks: true,
            skew: 1.0,
        }
    }
}

/// How overload is handled where nothing else is said.
pub fn settings() -> Settings {
    let class = |band, has_effect| Class { band, has_effect };
    Settings {
        fleet: "test".to_string(),
        classes: vec![class(0, false), class(1, true)],
        limits: shed_controller::Limits::default(),
        retry_budget: budget::Limits::default(),
        gives_retry_after: true,
        min_retry_after: 50.0,
        max_retry_after: 2000.0,
        remembered: 32_768,
        window: 250.0,
    }
}

/// A try that ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Try {
    /// When it came, ms.
    pub at: Millis,
    /// Where.
    pub instance: usize,
    /// Who asks, what for, and since when.
    pub client: u64,
    /// See `client`.
    pub wish: u64,
    /// See `wish`.
    pub class: usize,
    /// See `wish`.
    pub since: Millis,
    /// The object is one that caches hold.
    pub popular: bool,
    /// Tries of the same wish before it.
    pub before: u32,
    /// It was let in.
    pub passed: bool,
    /// It was served.
    pub served: bool,
    /// It came when it had been told to.
    pub told: bool,
}

#[derive(Clone, Copy, Debug)]
struct Wish {
    client: u64,
    class: usize,
    object: u64,
    popular: bool,
    since: Millis,
    tries: u32,
    told: bool,
}

/// The run.
pub struct SimulatedLoad {
    /// The instances.
    pub sim: Sim,
    /// How all is set; may be changed on the way.
    pub terms: Terms,
    /// All tries.
    pub tries: Vec<Try>,
    rng: Pcg64Mcg,
    next: f64,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    due: BTreeMap<u64, (Wish, usize)>,
    order: u64,
    ends: VecDeque<(Millis, usize, Ticket, RequestOutcome, usize)>,
    wishes: BTreeMap<usize, (Wish, usize)>,
    room: [f64; 2],
}

impl SimulatedLoad {
    /// Clients around instances that have met.
    pub fn new(sim: Sim, terms: Terms, seed: u64) -> Self {
        let next = sim.now;
        SimulatedLoad {
            sim,
            terms,
            tries: Vec::new(),
            rng: Pcg64Mcg::seed_from_u64(seed ^ 0xc0_ded),
            next,
            queue: BinaryHeap::new(),
            due: BTreeMap::new(),
            order: 0,
            ends: VecDeque::new(),
            wishes: BTreeMap::new(),
            room: [0.0; 2],
        }
    }

    /// Plays for a span, ms.
    pub fn run(&mut self, span: Millis) {
        let end = self.sim.now + span;
        while self.sim.now < end {
            self.sim.run(5.0);
            let now = self.sim.now;
            for (room, rate) in self.room.iter_mut().zip([self.terms.caches, self.terms.sources]) {
                *room = (*room + rate * 0.005).min(rate * 0.05);
            }
            while self.ends.front().is_some_and(|e| e.0 <= now) {
                let Some((_, i, ticket, ended, at)) = self.ends.pop_front() else { break };
                if let Some(fleet) = self.sim.fleet_mut(i) {
                    let back = fleet.request_ended(now, &ticket, ended, 0.0);
                    self.settle(now, at, ended, back);
                }
            }
            while self.next <= now {
                self.next += -(1.0 - self.rng.random::<f64>()).ln() * 1000.0 / self.terms.rate;
                let popular = self.rng.random::<f64>() < self.terms.popular;
                let dear = self.rng.random::<f64>() < self.terms.dear;
                let object = if popular && !dear { self.rng.random_range(0..50) } else { self.rng.random() };
                let client = self.rng.random_range(0..self.terms.clients);
                let wish = Wish {
                    client,
                    class: usize::from(dear),
                    object,
                    popular: popular && !dear,
                    since: now,
                    tries: 0,
                    told: false,
                };
                let n = self.sim.count() as f64;
                let at = self.rng.random::<f64>() * (n - 1.0 + self.terms.skew);
                let i = (at - self.terms.skew + 1.0).max(0.0) as usize;
                self.ask(now, wish, i);
            }
            while self.queue.peek().is_some_and(|due| due.0.0 as f64 / 1000.0 <= now) {
                let Some(Reverse((_, order))) = self.queue.pop() else { break };
                if let Some((wish, i)) = self.due.remove(&order) {
                    self.ask(now, wish, i);
                }
            }
        }
    }

    fn later(&mut self, now: Millis, after: Millis, wish: Wish, i: usize) {
        // Less than this is not enough for an answer.
        if now + after + 50.0 < wish.since + self.terms.patience {
            self.order += 1;
            self.queue.push(Reverse((((now + after) * 1000.0) as u64, self.order)));
            self.due.insert(self.order, (wish, i % self.sim.count()));
        }
    }

    fn ask(&mut self, now: Millis, wish: Wish, i: usize) {
        let tried = Wish { tries: wish.tries + 1, told: false, ..wish };
        let asked = RequestInfo {
            client: wish.client,
            class: wish.class,
            object: wish.object,
            time_left: wish.since + self.terms.patience - now,
            size_kb: None,
            is_retry: wish.tries > 0 && self.terms.marks,
        };
        let Some(fleet) = self.sim.fleet_mut(i) else { return self.later(now, 10.0, wish, i + 1) };
        let verdict = fleet.request(now, asked);
        let mut told = Try {
            at: now,
            instance: i,
            client: wish.client,
            wish: wish.object ^ wish.client << 20 ^ (wish.since as u64) << 40,
            class: wish.class,
            since: wish.since,
            popular: wish.popular,
            before: wish.tries,
            passed: true,
            served: false,
            told: wish.told,
        };
        match verdict {
            Some(Verdict::Admit(ticket)) => {
                let room = &mut self.room[usize::from(!wish.popular)];
                let ended = if *room >= 1.0 {
                    *room -= 1.0;
                    RequestOutcome::Served
                } else if self.rng.random::<f64>() < self.terms.fails {
                    RequestOutcome::Failed
                } else {
                    RequestOutcome::Rejected
                };
                let after = match ended {
                    RequestOutcome::Served => 20.0,
                    RequestOutcome::Rejected => 2.0,
                    _ => 200.0,
                };
                told.served = ended == RequestOutcome::Served;
                self.tries.push(told);
                let at = self.tries.len() - 1;
                self.wishes.insert(at, (tried, i));
                let place = self.ends.partition_point(|e| e.0 <= now + after);
                self.ends.insert(place, (now + after, i, ticket, ended, at));
            }
            Some(Verdict::Reject { retry_after: back }) => {
                told.passed = false;
                self.tries.push(told);
                self.refused(now, tried, i, back);
            }
            None => {}
        }
    }

    fn settle(&mut self, now: Millis, at: usize, ended: RequestOutcome, back: Millis) {
        if let Some((wish, i)) = self.wishes.remove(&at)
            && ended == RequestOutcome::Rejected
        {
            self.refused(now, wish, i, back);
        }
    }

    fn refused(&mut self, now: Millis, wish: Wish, i: usize, back: Millis) {
        match self.terms.manners {
            Manners::Hasty => self.later(now, 20.0, wish, i + 1),
            Manners::Moves if wish.tries == 1 => self.later(now, 5.0, wish, i + 1),
            _ => {
                let to =
                    if self.rng.random_bool(0.5) { i } else { self.rng.random_range(0..self.sim.count()) };
                self.later(now, back, Wish { told: true, ..wish }, to);
            }
        }
    }

    /// Tries from one time to another.
    pub fn within(&self, from: Millis, to: Millis) -> impl Iterator<Item = &Try> {
        self.tries.iter().filter(move |t| t.at >= from && t.at < to)
    }

    /// What was counted from one time to another.
    pub fn count(&self, from: Millis, to: Millis) -> Count {
        let mut c = Count::default();
        let second = 1000.0 / (to - from);
        for t in self.within(from, to) {
            c.firsts += second * f64::from(u8::from(t.before == 0));
            c.tries += second;
            c.passed += second * f64::from(u8::from(t.passed));
            c.served += second * f64::from(u8::from(t.served));
            c.repeats += second * f64::from(u8::from(t.passed && t.before > 0));
            c.told += second * f64::from(u8::from(t.told));
            c.kept += second * f64::from(u8::from(t.told && t.served));
        }
        c
    }
}

/// Events a second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Count {
    /// First tries, and all.
    pub firsts: f64,
    /// See `firsts`.
    pub tries: f64,
    /// Let in, served, and repeats that were let in.
    pub passed: f64,
    /// See `passed`.
    pub served: f64,
    /// See `passed`.
    pub repeats: f64,
    /// Came when they were told to, and were served then.
    pub told: f64,
    /// See `told`.
    pub kept: f64,
}
