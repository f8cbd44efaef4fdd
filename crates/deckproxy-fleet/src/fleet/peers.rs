//! What an instance hears of its fellows, and how they stand with it.

use super::{Beat, Effect, Fleet, Peer, kinds};
use crate::Millis;
use crate::gossip_store::Taken;
use crate::instance::{Instance, Name};
use crate::probing::Probing;
use crate::swim::Change;
use crate::view::{Spans, Standing, View, is_larger};
use crate::wire::{BODY, Body, Doubt, Packet};

/// Within so long after the start a higher life of our name is an earlier one whose clock was ahead; later it is another
/// process that took our place.
const YOUNG: Millis = 10_000.0;
/// Instances that are remembered, as the operators' largest fleet has.
const MOST: usize = 2048;
/// From one time that an instance is made known to another that is not there for SWIM to the next, ms.
const ANNOUNCE: Millis = 250.0;

impl Fleet {
    /// Whether the words of a sender count: not those of an earlier life.
    pub(super) fn believe(&mut self, packet: Packet) -> Result<Packet, Doubt> {
        let from = &packet.from;
        if from.name == self.own().name {
            if from.start > self.own().start {
                self.supersede();
            }
            return Err(Doubt::OldLife);
        }
        let full = self.peers.len() >= MOST && !self.peers.contains_key(&from.name);
        if full {
            return Err(Doubt::TooMany);
        }
        let known = self.board.life(&from.name).max(self.peers.get(&from.name).map(|p| p.instance.start));
        match known {
            Some(known) if known > from.start => {
                // One that has just started with its clock behind must be told, or it is never heard.
                if matches!(packet.body, Body::Hello { .. }) {
                    let to = from.clone();
                    self.send(&to, Body::Hello { answer: true, known: Some(known) });
                }
                Err(Doubt::OldLife)
            }
            _ => Ok(packet),
        }
    }

    fn supersede(&mut self) {
        self.superseded = true;
        let name = self.own().name.clone();
        self.log(format!("another process is {name} now: this one takes no part in the fleet any more"));
        self.probing = Probing::default();
        self.lifts.clear();
        if !std::mem::take(&mut self.held).is_empty() {
            self.effects.push_back(Effect::Hold(Vec::new()));
        }
    }

    pub(super) fn hear(&mut self, now: Millis, packet: Packet) {
        let Packet { from, body } = packet;
        let own = self.time.look(now).0;
        let strange = !self.swim.alive().contains_key(&from.name);
        self.meet(&from);
        // Whoever speaks and is not there for SWIM is made known to, whatever it says: it may hold us for alive and greet no
        // more, while we hold it for dead and never speak to it. SWIM's own words find their answer themselves.
        let due = self.peers.get(&from.name).is_some_and(|p| now - p.announced >= ANNOUNCE);
        if strange && due && !matches!(body, Body::Swim(_)) {
            self.peers.get_mut(&from.name).into_iter().for_each(|p| p.announced = now);
            self.swim.announce(own, &from);
        }
        match body {
            Body::Hello { answer, known } => {
                if let Some(life) = known.filter(|life| *life >= self.own().start) {
                    if now - self.begun <= YOUNG {
                        self.swim.rise_above(own, life);
                        self.board.live_on(self.own().start);
                        let start = self.own().start;
                        self.log(format!("an earlier life had number {life}: this one goes on as {start}"));
                    } else {
                        return self.supersede();
                    }
                }
                if !answer {
                    self.send(&from, Body::Hello { answer: true, known: None });
                }
            }
            Body::Swim(bytes) => {
                self.swim.heard(own, &bytes);
            }
            Body::Digest(digest) => {
                let spans = self.spans();
                let start = self.own().start;
                let shows = digest.yours.filter(|(life, _)| *life == start).map(|(_, version)| version);
                if !digest.answer {
                    self.echoes.digest(now, &from.name, shows, &spans);
                }
                let (delta, ask) = self.board.compare(now, &from.name, &digest, BODY);
                if !delta.parts.is_empty() {
                    self.send(&from, Body::Delta(delta));
                }
                if let Some(ask) = ask {
                    self.send(&from, Body::Digest(ask));
                }
            }
            Body::Delta(delta) => {
                let Taken { over, own_later, fresh, .. } = self.board.take(now, delta);
                self.counters.over += over as u64;
                if own_later.is_some_and(|life| life > self.own().start) && now - self.begun > YOUNG {
                    return self.supersede();
                }
                if fresh > 0 {
                    self.read_beats(now);
                }
            }
        }
    }

    /// Remembers an instance, in its last life.
    fn meet(&mut self, one: &Instance) {
        let full = self.peers.len() >= MOST && !self.peers.contains_key(&one.name);
        if one.name == self.own().name || full {
            return;
        }
        let new = |instance: &Instance| Peer {
            instance: instance.clone(),
            standing: Standing::Doubtful,
            left: false,
            gone: None,
            announced: f64::MIN,
        };
        // Who is new, or in a new life, is there from now on: duties are divided with it.
        self.stirred |= self.peers.get(&one.name).is_none_or(|p| p.instance.start < one.start);
        let peer = self.peers.entry(one.name.clone()).or_insert_with(|| new(one));
        if peer.instance.start < one.start {
            *peer = new(one);
        } else if peer.instance.age() <= one.age() {
            peer.instance = one.clone();
        }
    }

    /// Who says that it goes has left.
    fn read_beats(&mut self, now: Millis) {
        let beats = self.board.all(now, kinds::BEAT);
        let leaving = beats.filter_map(|(author, _, _, value)| {
            let beat: Beat = postcard::from_bytes(value).ok()?;
            beat.leaving.then(|| author.clone())
        });
        for name in leaving.collect::<Vec<_>>() {
            let life = self.board.life(&name);
            if let Some(peer) = self.peers.get_mut(&name).filter(|p| life >= Some(p.instance.start)) {
                peer.left = true;
            }
        }
    }

    /// Takes up what SWIM says, and how all stand by now.
    pub(super) fn settle(&mut self, now: Millis) {
        while let Some(change) = self.swim.change() {
            match change {
                Change::Up(one) => self.meet(&one),
                Change::Down(_) => {}
                Change::Renewed(own) => {
                    self.counters.renewed += 1;
                    self.log(format!("was taken for dead while alive; goes on as renewal {}", own.renewals));
                }
            }
        }
        while let Some((to, bytes)) = self.swim.message() {
            self.send(&to, Body::Swim(bytes));
        }
        self.stand(now);
    }

    fn stand(&mut self, now: Millis) {
        let spans = self.spans();
        let mut forgotten = Vec::new();
        for (name, peer) in &mut self.peers {
            let alive = self.swim.alive().contains_key(name);
            let quiet = self.board.quiet(now, name);
            let standing = Standing::of(&spans, alive, quiet, peer.left);
            let was = std::mem::replace(&mut peer.standing, standing);
            let candidate = |s| matches!(s, Standing::Heard | Standing::Doubtful);
            self.stirred |= candidate(was) != candidate(standing);
            match standing {
                Standing::Heard | Standing::Doubtful => peer.gone = None,
                Standing::Lost | Standing::Left => {
                    let since = *peer.gone.get_or_insert(now);
                    if now - since > self.settings.forget {
                        forgotten.push(name.clone());
                    }
                }
            }
        }
        for name in forgotten {
            self.peers.remove(&name);
            self.board.forget(&name);
            self.echoes.forget(&name);
        }
        let seen = self.look_around(now, &spans);
        let rate = self.view.rate();
        self.view.update(now, seen);
        self.stirred |= rate != self.view.rate();
    }

    /// Instances that are known and have not left, ourselves among them.
    pub(super) fn known(&self) -> usize {
        self.peers.values().filter(|p| p.standing != Standing::Left).count() + 1
    }

    fn look_around(&mut self, now: Millis, spans: &Spans) -> View {
        let known = self.known();
        let own = self.settings.own.address;
        let seeds = self.settings.seeds.iter().filter(|at| **at != own).count();
        // Who has met nobody yet does not take itself for the whole of a fleet that has seeds.
        let least = if self.peers.is_empty() { seeds + 1 } else { 1 };
        let beats = self.board.all(now, kinds::BEAT).filter_map(|(author, _, _, value)| {
            let heard = self.peers.get(author).is_some_and(|p| p.standing == Standing::Heard);
            heard.then(|| postcard::from_bytes::<Beat>(value).ok()).flatten()
        });
        let told_of = beats.map(|beat| usize::from(beat.known)).max().unwrap_or(0);
        let expected = known.max(told_of).max(self.settings.size).max(least);
        let heard = self.standing(Standing::Heard).count() + 1;
        let since = self.woke.unwrap_or(f64::MIN);
        // What one says that we do not hear ourselves is no news of those that we do: it is on its way back.
        let heard_of = |name: &Name| self.peers.get(name).is_some_and(|p| p.standing == Standing::Heard);
        let (told, fresh) = self.echoes.count(now, spans, since, heard_of);
        let sure = (heard * (fresh + 1) / (told + 1)).max(1);
        let names = self.peers.iter().filter(|(_, p)| p.standing != Standing::Left);
        // The names are in their order.
        let first = names.map(|(name, p)| (name, p.standing)).next();
        let own_first = first.is_none_or(|(name, _)| self.swim.own().name < *name);
        let has_first = own_first || first.is_some_and(|(_, s)| s == Standing::Heard);
        let larger = is_larger(sure, expected, has_first && known >= expected);
        if let Some(woke) = self.woke {
            // All are heard, both ways, and there was time to learn of all; or silence has lasted long enough to mean
            // something.
            let enough = told > 0 && larger && heard == known && now - woke > 2.0 * spans.beat;
            if enough || now - woke > spans.take + spans.beat {
                self.woke = None;
                self.stirred = true;
            }
        }
        let old = self.woke.is_some();
        let counts = larger && !old;
        self.larger_since = if counts { self.larger_since.or(Some(now)) } else { None };
        let firm = self.larger_since.is_some_and(|since| now - since >= spans.doubt);
        View { expected, heard, sure, since: now, larger, firm, old }
    }
}
