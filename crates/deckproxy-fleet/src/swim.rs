//! Who is there: SWIM by the crate `foca`, with time and datagrams passed in and out.

use crate::Millis;
use crate::instance::{Instance, Name};
use foca::{AccumulatingRuntime, Config, Foca, NoCustomBroadcast, OwnedNotification, PostcardCodec, Timer};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

/// How quickly the silent are found out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pace {
    /// From one probe of an instance to the next, ms.
    pub period: Millis,
    /// For an answer, before others are asked to try, ms. Under a third of the period.
    pub answer: Millis,
    /// A suspect has so long to object, ms.
    pub suspect: Millis,
}

impl Default for Pace {
    fn default() -> Self {
        Pace { period: 500.0, answer: 150.0, suspect: 1000.0 }
    }
}

/// What changed.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// An instance is there, or its life is another.
    Up(Instance),
    /// It is held to be gone.
    Down(Instance),
    /// We were declared dead and are now that.
    Renewed(Instance),
}

/// A timer of SWIM's, the earliest first, of several at one time the one that SWIM ranks first.
struct Due {
    at: Millis,
    order: u64,
    timer: Timer<Instance>,
}

impl Due {
    fn key(&self) -> (u64, &Timer<Instance>, u64) {
        // Times are not negative: their bits are in their order.
        (self.at.max(0.0).to_bits(), &self.timer, self.order)
    }
}

impl PartialEq for Due {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for Due {}

impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Due {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.key().cmp(&other.key())
    }
}

/// SWIM for one instance.
pub struct Swim {
    foca: Foca<Instance, PostcardCodec, Pcg64Mcg, NoCustomBroadcast>,
    runtime: AccumulatingRuntime<Instance>,
    timers: BinaryHeap<Reverse<Due>>,
    order: u64,
    alive: BTreeMap<Name, Instance>,
    out: VecDeque<(Instance, Vec<u8>)>,
    changes: VecDeque<Change>,
}

fn span(ms: Millis) -> Duration {
    Duration::from_secs_f64(ms.max(1.0) / 1000.0)
}

impl Swim {
    /// For an instance that knows nobody yet. `most`: bytes that one message may have.
    pub fn new(own: Instance, pace: Pace, most: usize, seed: u64) -> Self {
        let config = Config {
            probe_period: span(pace.period),
            probe_rtt: span(pace.answer),
            num_indirect_probes: NonZeroUsize::MIN.saturating_add(2),
            max_transmissions: NonZeroU8::MIN.saturating_add(9),
            suspect_to_down_after: span(pace.suspect),
            // Names are few; who is down is remembered until it comes back under another life.
            remove_down_after: None,
            max_packet_size: NonZeroUsize::new(most).unwrap_or(NonZeroUsize::MIN),
            notify_down_members: true,
            periodic_announce: None,
            periodic_announce_to_down_members: None,
            periodic_gossip: Some(foca::PeriodicParams {
                frequency: span(pace.period / 2.0),
                num_members: NonZeroUsize::MIN.saturating_add(1),
            }),
        };
        Swim {
            foca: Foca::new(own, config, Pcg64Mcg::seed_from_u64(seed), PostcardCodec),
            runtime: AccumulatingRuntime::new(),
            timers: BinaryHeap::new(),
            order: 0,
            alive: BTreeMap::new(),
            out: VecDeque::new(),
            changes: VecDeque::new(),
        }
    }

    /// Ourselves, as we are called now.
    pub fn own(&self) -> &Instance {
        self.foca.identity()
    }

    /// The others that are held to be there.
    pub fn alive(&self) -> &BTreeMap<Name, Instance> {
        &self.alive
    }

    /// The next message to an instance.
    pub fn message(&mut self) -> Option<(Instance, Vec<u8>)> {
        self.out.pop_front()
    }

    /// The next change.
    pub fn change(&mut self) -> Option<Change> {
        self.changes.pop_front()
    }

    /// When the next timer is due.
    pub fn next_due(&self) -> Option<Millis> {
        self.timers.peek().map(|due| due.0.at)
    }

    /// Somebody whom we did not know, or held to be gone, has spoken: we make ourselves known there.
    pub fn announce(&mut self, now: Millis, to: &Instance) {
        // An error says that we are not in a state to speak; the next one who is heard brings another occasion.
        let _ = self.foca.announce(to.clone(), &mut self.runtime);
        self.settle(now);
    }

    /// A message came. What it does not understand is not believed.
    pub fn heard(&mut self, now: Millis, message: &[u8]) -> bool {
        let good = self.foca.handle_data(message, &mut self.runtime).is_ok();
        self.settle(now);
        good
    }

    /// Carries out what is due.
    pub fn tick(&mut self, now: Millis) {
        while self.timers.peek().is_some_and(|due| due.0.at <= now) {
            let Some(Reverse(due)) = self.timers.pop() else { break };
            // Timers of a state that has passed meanwhile are errors, and mean nothing.
            let _ = self.foca.handle_timer(due.timer, &mut self.runtime);
            self.settle(now);
        }
    }

    /// A life of our name was higher than ours: we go on above it.
    pub fn rise_above(&mut self, now: Millis, life: u64) {
        let own = self.own().clone();
        if life >= own.start {
            let risen = Instance { start: life + 1, renewals: 0, ..own };
            let _ = self.foca.change_identity(risen, &mut self.runtime);
            self.settle(now);
            self.changes.push_back(Change::Renewed(self.own().clone()));
        }
    }

    /// A planned end: the others need not find out.
    pub fn leave(&mut self, now: Millis) {
        let _ = self.foca.leave_cluster(&mut self.runtime);
        self.settle(now);
    }

    fn settle(&mut self, now: Millis) {
        while let Some((to, bytes)) = self.runtime.to_send() {
            self.out.push_back((to, bytes.to_vec()));
        }
        while let Some((after, timer)) = self.runtime.to_schedule() {
            self.order += 1;
            let at = now + after.as_secs_f64() * 1000.0;
            self.timers.push(Reverse(Due { at, order: self.order, timer }));
        }
        while let Some(news) = self.runtime.to_notify() {
            match news {
                OwnedNotification::MemberUp(one) => self.up(one),
                OwnedNotification::Rename(_, now) => {
                    // Of one that is down a new life is told by `MemberUp`.
                    if self.alive.contains_key(&now.name) {
                        self.up(now);
                    }
                }
                OwnedNotification::MemberDown(one) => {
                    if self.alive.get(&one.name).is_some_and(|known| known.age() <= one.age()) {
                        self.alive.remove(&one.name);
                        self.changes.push_back(Change::Down(one));
                    }
                }
                OwnedNotification::Rejoin(own) => self.changes.push_back(Change::Renewed(own)),
                OwnedNotification::Active | OwnedNotification::Idle | OwnedNotification::Defunct => {}
            }
        }
    }

    fn up(&mut self, one: Instance) {
        self.alive.insert(one.name.clone(), one.clone());
        self.changes.push_back(Change::Up(one));
    }
}
