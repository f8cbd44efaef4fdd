//! One instance among its fellows: datagrams, probes' results and the time in; datagrams, probes and what is held of
//! members out.

mod admission;
mod members;
mod peers;
mod types;

pub use crate::gossip_store::kinds;
pub use types::{Beat, Counters, Effect, Listed, Seen, Settings};

use crate::Millis;
use crate::clock::OwnTime;
use crate::gossip_store::{GossipStore, Key, Limits};
use crate::health::Watch;
use crate::instance::{Instance, Name};
use crate::overload::Overload;
use crate::probing::Probing;
use crate::swim::Swim;
use crate::view::{Echoes, Spans, Standing, View};
use crate::wire::{BODY, Body, Packet, Wire};
use rand::seq::{IndexedRandom, IteratorRandom};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

/// Milliseconds from one tick to the next at most.
pub const TICK: Millis = 100.0;
/// From one greeting of instances that are not heard to the next.
const GREET: Millis = 1000.0;
/// Seeds and lost instances greeted each time, at most.
const GREETED: usize = 3;
/// Instances that a digest goes to each round.
const FANOUT: usize = 2;
/// Milliseconds of the budget of bytes that may be saved up.
const SAVED: Millis = 1000.0;

struct Peer {
    instance: Instance,
    standing: Standing,
    left: bool,
    /// Since when it has been lost or has left.
    gone: Option<Millis>,
    /// When we last made ourselves known to it.
    announced: Millis,
}

/// One instance.
pub struct Fleet {
    settings: Settings,
    wire: Wire,
    time: OwnTime,
    swim: Swim,
    board: GossipStore,
    echoes: Echoes,
    view: View,
    peers: BTreeMap<Name, Peer>,
    members: BTreeMap<u32, Listed>,
    watches: BTreeMap<u32, (Watch, Millis)>,
    probing: Probing,
    /// Duties are to be divided anew.
    stirred: bool,
    held: BTreeSet<u32>,
    overload: Option<Box<Overload>>,
    /// When each member that is to be taken back is.
    lifts: BTreeMap<u32, Millis>,
    rng: Pcg64Mcg,
    begun: Millis,
    /// Nothing is decided for the fleet until enough was heard since then.
    woke: Option<Millis>,
    /// Since when this has been in the larger part, with a view that is not old.
    larger_since: Option<Millis>,
    /// Another process goes by our name.
    superseded: bool,
    leaving: bool,
    next_beat: Millis,
    next_round: Millis,
    next_greeting: Millis,
    /// Bytes that may be sent, and when that was counted.
    purse: (f64, Millis),
    open: u32,
    seen: Seen,
    effects: VecDeque<Effect>,
    /// What passed.
    pub counters: Counters,
}

impl Fleet {
    /// An instance that starts now and knows nobody.
    pub fn new(now: Millis, settings: Settings, seed: u64) -> Self {
        let own = settings.own.clone();
        let mut time = OwnTime::new(settings.pause);
        time.look(now);
        Fleet {
            wire: Wire::new(&settings.fleet, settings.prefixes.clone()),
            time,
            swim: Swim::new(own.clone(), settings.pace, BODY, seed),
            board: GossipStore::new(own.name.clone(), own.start, Limits::default()),
            echoes: Echoes::default(),
            view: View { old: true, expected: 1, heard: 1, sure: 1, since: now, ..View::default() },
            peers: BTreeMap::new(),
            members: BTreeMap::new(),
            watches: BTreeMap::new(),
            probing: Probing::default(),
            stirred: true,
            held: BTreeSet::new(),
            overload: settings.overload.clone().map(|set| Box::new(Overload::new(now, set))),
            lifts: BTreeMap::new(),
            rng: Pcg64Mcg::seed_from_u64(seed ^ 0x666c_6565_7400_0000),
            begun: now,
            woke: Some(now),
            larger_since: None,
            superseded: false,
            leaving: false,
            next_beat: now,
            next_round: now,
            next_greeting: now,
            purse: (settings.bytes * SAVED / 1000.0, now),
            open: 0,
            seen: Seen::default(),
            effects: VecDeque::new(),
            counters: Counters::default(),
            settings,
        }
    }

    /// The next thing to be done.
    pub fn effect(&mut self) -> Option<Effect> {
        self.effects.pop_front()
    }

    /// What is seen of the fleet.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// The board.
    pub fn board(&self) -> &GossipStore {
        &self.board
    }

    /// Ourselves, as we are called now.
    pub fn own(&self) -> &Instance {
        self.swim.own()
    }

    /// Those that stand so with us.
    pub fn standing(&self, wanted: Standing) -> impl Iterator<Item = &Instance> {
        self.peers.values().filter(move |p| p.standing == wanted).map(|p| &p.instance)
    }

    /// How an instance stands with us, if it is known.
    pub fn standing_of(&self, name: &str) -> Option<Standing> {
        self.peers.get(name).map(|p| p.standing)
    }

    /// Members that this instance observes.
    pub fn observed(&self) -> usize {
        self.probing.len()
    }

    /// Whether this instance observes a member.
    pub fn observes(&self, member: u32) -> bool {
        self.probing.has(member)
    }

    /// Members that are held back here.
    pub fn held(&self) -> &BTreeSet<u32> {
        &self.held
    }

    /// When `tick` is to be called next, at the latest.
    pub fn next_due(&self) -> Millis {
        let swim = self.swim.next_due().map(|own| self.time.host(own));
        let last = self.purse.1.max(self.begun);
        [swim, self.probing.next_due(), Some(last + TICK)].into_iter().flatten().fold(f64::MAX, f64::min)
    }

    fn spans(&self) -> Spans {
        Spans::of(self.settings.beat, self.view.expected)
    }

    fn log(&mut self, text: String) {
        self.effects.push_back(Effect::Log(text));
    }

    // ---- Input ---------------------------------------------------------------------------------------------

    /// Requests that are open here, as the next beat tells.
    pub fn load(&mut self, open: u32) {
        self.open = open;
    }

    /// A datagram came.
    pub fn datagram(&mut self, now: Millis, from: SocketAddr, bytes: &[u8]) {
        self.look(now);
        if self.superseded {
            return;
        }
        match self.wire.decode(from, bytes).and_then(|packet| self.believe(packet)) {
            Ok(packet) => {
                self.counters.taken += 1;
                self.hear(now, packet);
            }
            Err(doubt) => self.counters.doubted[doubt as usize] += 1,
        }
        self.settle(now);
    }

    /// A planned end: says good-bye, and does nothing for the fleet any more.
    pub fn leave(&mut self, now: Millis) {
        if std::mem::replace(&mut self.leaving, true) || self.superseded {
            return;
        }
        self.look(now);
        self.beat(now);
        self.push(now);
        let own = self.time.look(now).0;
        self.swim.leave(own);
        self.probing = Probing::default();
        self.settle(now);
    }

    /// How this instance takes part.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Other seeds, prefixes, ways, budgets and terms of probing. Tells whether others were asked for too, which stay as they
    /// are: what the others know of us, and what SWIM was started with, takes a restart.
    pub fn reload(&mut self, new: Settings) -> bool {
        self.wire = Wire::new(&self.settings.fleet, new.prefixes.clone());
        let old = std::mem::replace(&mut self.settings, new);
        let kept = (old.own, old.fleet, old.pace, old.overload);
        let new = &self.settings;
        let asked = (new.own.clone(), new.fleet.clone(), new.pace, new.overload.clone());
        let other = asked != kept;
        (self.settings.own, self.settings.fleet, self.settings.pace, self.settings.overload) = kept;
        self.time.allow(self.settings.pause);
        self.stirred = true;
        other
    }

    // ---- Time ----------------------------------------------------------------------------------------------

    /// Looks at the clock: a pause makes the view old.
    fn look(&mut self, now: Millis) {
        let (_, pause) = self.time.look(now);
        if let Some(gap) = pause {
            self.counters.pauses += 1;
            self.woke = Some(now);
            self.view.update(now, View { old: true, ..self.view.clone() });
            self.probing.slept(now, self.settings.probe);
            self.log(format!("this process stood still for {gap:.0} ms: what it knew of the fleet is old"));
        }
    }

    /// Carries out what is due.
    pub fn tick(&mut self, now: Millis) {
        self.look(now);
        let (purse, at) = self.purse;
        let most = self.settings.bytes * SAVED / 1000.0;
        self.purse = ((purse + (now - at).max(0.0) * self.settings.bytes / 1000.0).min(most), now);
        if self.superseded || self.leaving {
            return;
        }
        let own = self.time.look(now).0;
        self.swim.tick(own);
        if now >= self.next_beat {
            self.next_beat = now + self.spans().beat;
            self.beat(now);
        }
        if now >= self.next_round {
            self.next_round = now + self.settings.round * self.rng.random_range(0.9..1.1);
            self.round();
        }
        if now >= self.next_greeting {
            self.next_greeting = now + GREET * self.rng.random_range(0.9..1.1);
            self.greet();
            self.board.tidy(now);
        }
        self.settle(now);
        self.observe(now);
        self.judge(now);
        self.shed(now);
        self.show(now);
    }

    fn beat(&mut self, now: Millis) {
        let known = u16::try_from(self.known()).unwrap_or(u16::MAX);
        let beat = Beat { open: self.open, leaving: self.leaving, known };
        let value = postcard::to_stdvec(&beat).unwrap_or_default();
        let key = Key { kind: kinds::BEAT, subject: Name::from("") };
        let life = (3.0 * self.spans().take) as u32;
        self.board.write(now, key, life, Some(value));
        self.echoes.beat(now, self.board.last());
    }

    /// Tells some what is here of the board.
    fn round(&mut self) {
        let alive: Vec<Instance> = self.swim.alive().values().cloned().collect();
        let chosen: Vec<Instance> = alive.sample(&mut self.rng, FANOUT).cloned().collect();
        for to in chosen {
            let digest = self.board.digest(&to.name);
            self.send(&to, Body::Digest(digest));
        }
    }

    /// Tells some at once what is new here.
    fn push(&mut self, now: Millis) {
        let alive: Vec<Instance> = self.swim.alive().values().cloned().collect();
        let chosen: Vec<Instance> = alive.sample(&mut self.rng, FANOUT + 1).cloned().collect();
        for to in chosen {
            // They have all but the last, or ask for the rest with their next digest.
            let delta = self.board.news(now, self.board.last().saturating_sub(2), BODY);
            self.send(&to, Body::Delta(delta));
        }
    }

    /// Greets those that are not heard: seeds, and instances that were lost.
    fn greet(&mut self) {
        let alive = self.swim.alive();
        let at: BTreeSet<SocketAddr> = alive.values().map(|one| self.way(one)).collect();
        let seeds = self.settings.seeds.iter().copied();
        let lost = self.peers.values().filter(|p| !p.left && !alive.contains_key(&p.instance.name));
        let lost = lost.map(|p| self.way(&p.instance));
        let own = self.settings.own.address;
        let all: BTreeSet<SocketAddr> =
            seeds.chain(lost).filter(|to| !at.contains(to) && *to != own).collect();
        let chosen = all.into_iter().sample(&mut self.rng, GREETED);
        for to in chosen {
            self.send_to(to, Body::Hello { answer: false, known: None });
        }
    }

    /// Tells the host when what is seen has changed.
    fn show(&mut self, now: Millis) {
        let seen = Seen {
            view: self.view.clone(),
            heard: self.standing(Standing::Heard).map(|one| one.name.clone()).collect(),
            lost: self.standing(Standing::Lost).map(|one| one.name.clone()).collect(),
            board: self.board.sum(now, &kinds::BRISK),
            held: self.held.len(),
        };
        if seen != self.seen {
            self.effects.push_back(Effect::Seen(seen.clone()));
            self.seen = seen;
        }
    }

    // ---- Sending -------------------------------------------------------------------------------------------

    /// Where an instance is reached.
    fn way(&self, to: &Instance) -> SocketAddr {
        self.settings.reach.get(&to.name).copied().unwrap_or(to.address)
    }

    fn send(&mut self, to: &Instance, body: Body) {
        let way = self.way(to);
        self.send_to(way, body);
    }

    fn send_to(&mut self, to: SocketAddr, body: Body) {
        // SWIM's own words go first: they are few, and the others' judgement hangs on them.
        let least = if matches!(body, Body::Swim(_)) { 0.0 } else { self.settings.bytes * SAVED / 10_000.0 };
        let Some(bytes) = self.wire.encode(&Packet { from: self.own().clone(), body }) else {
            debug_assert!(false, "what is put into a datagram fits");
            return;
        };
        if self.purse.0 - (bytes.len() as f64) < least {
            self.counters.held_back += 1;
            return;
        }
        self.purse.0 -= bytes.len() as f64;
        self.counters.sent += 1;
        self.counters.sent_bytes += bytes.len() as u64;
        self.effects.push_back(Effect::Send(to, bytes));
    }
}
