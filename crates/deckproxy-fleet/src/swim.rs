//! Membership by SWIM (the crate `foca`), with time and messages passed in and out.

use crate::Millis;
use crate::instance::{Instance, Name};
use foca::{AccumulatingRuntime, Config, Foca, NoCustomBroadcast, OwnedNotification, PostcardCodec, Timer};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

/// How quickly failed instances are detected.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SwimTiming {
    /// From one probe of an instance to the next, in milliseconds.
    pub probe_period: Millis,
    /// Time for an answer before others are asked to probe, in milliseconds. Less than a third of the period.
    pub probe_timeout: Millis,
    /// Time that a suspect has to refute the suspicion, in milliseconds.
    pub suspicion: Millis,
}

impl Default for SwimTiming {
    fn default() -> Self {
        SwimTiming { probe_period: 500.0, probe_timeout: 150.0, suspicion: 1000.0 }
    }
}

/// Instances that are asked to probe one that did not answer.
const INDIRECT_PROBES: u8 = 3;
/// Times that a membership update is passed on.
const TRANSMISSIONS: u8 = 10;
/// Instances that each round of SWIM's gossip goes to.
const GOSSIP_FANOUT: u8 = 2;

/// A change of the membership.
#[derive(Clone, Debug, PartialEq)]
pub enum MembershipChange {
    /// An instance is alive, or has another incarnation.
    Up(Instance),
    /// An instance is considered dead.
    Down(Instance),
    /// We were declared dead, and continue as this.
    Renewed(Instance),
}

/// A timer of SWIM's, ordered by time, then by SWIM's own order, then by when it was set.
struct ScheduledTimer {
    at: Millis,
    order: u64,
    timer: Timer<Instance>,
}

impl ScheduledTimer {
    fn key(&self) -> (u64, &Timer<Instance>, u64) {
        // Times are not negative: their bits are in their order.
        (self.at.max(0.0).to_bits(), &self.timer, self.order)
    }
}

impl PartialEq for ScheduledTimer {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for ScheduledTimer {}

impl PartialOrd for ScheduledTimer {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ScheduledTimer {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.key().cmp(&other.key())
    }
}

/// SWIM for one instance.
pub struct Swim {
    foca: Foca<Instance, PostcardCodec, Pcg64Mcg, NoCustomBroadcast>,
    runtime: AccumulatingRuntime<Instance>,
    timers: BinaryHeap<Reverse<ScheduledTimer>>,
    /// Number of timers set so far.
    order: u64,
    alive: BTreeMap<Name, Instance>,
    messages: VecDeque<SwimMessage>,
    changes: VecDeque<MembershipChange>,
}

/// A message of SWIM to an instance.
#[derive(Clone, Debug, PartialEq)]
pub struct SwimMessage {
    /// The receiver.
    pub to: Instance,
    /// The encoded message.
    pub bytes: Vec<u8>,
}

fn duration(ms: Millis) -> Duration {
    Duration::from_secs_f64(ms.max(1.0) / 1000.0)
}

fn count(n: u8) -> NonZeroUsize {
    NonZeroUsize::new(usize::from(n)).unwrap_or(NonZeroUsize::MIN)
}

fn config(timing: SwimTiming, largest_message: usize) -> Config {
    Config {
        probe_period: duration(timing.probe_period),
        probe_rtt: duration(timing.probe_timeout),
        num_indirect_probes: count(INDIRECT_PROBES),
        max_transmissions: NonZeroU8::new(TRANSMISSIONS).unwrap_or(NonZeroU8::MIN),
        suspect_to_down_after: duration(timing.suspicion),
        // Names are few; a dead instance is remembered until it returns in another incarnation.
        remove_down_after: None,
        max_packet_size: NonZeroUsize::new(largest_message).unwrap_or(NonZeroUsize::MIN),
        notify_down_members: true,
        periodic_announce: None,
        periodic_announce_to_down_members: None,
        periodic_gossip: Some(foca::PeriodicParams {
            frequency: duration(timing.probe_period / 2.0),
            num_members: count(GOSSIP_FANOUT),
        }),
    }
}

impl Swim {
    /// For an instance that knows no other yet. `largest_message`: in bytes.
    pub fn new(own: Instance, timing: SwimTiming, largest_message: usize, seed: u64) -> Self {
        let config = config(timing, largest_message);
        Swim {
            foca: Foca::new(own, config, Pcg64Mcg::seed_from_u64(seed), PostcardCodec),
            runtime: AccumulatingRuntime::new(),
            timers: BinaryHeap::new(),
            order: 0,
            alive: BTreeMap::new(),
            messages: VecDeque::new(),
            changes: VecDeque::new(),
        }
    }

    /// Ourselves, in the present incarnation and renewal.
    pub fn own(&self) -> &Instance {
        self.foca.identity()
    }

    /// The other instances that are considered alive.
    pub fn alive(&self) -> &BTreeMap<Name, Instance> {
        &self.alive
    }

    /// Takes the next message to send.
    pub fn next_message(&mut self) -> Option<SwimMessage> {
        self.messages.pop_front()
    }

    /// Takes the next change of the membership.
    pub fn next_change(&mut self) -> Option<MembershipChange> {
        self.changes.pop_front()
    }

    /// When the next timer is due.
    pub fn next_due(&self) -> Option<Millis> {
        self.timers.peek().map(|Reverse(timer)| timer.at)
    }

    /// Announces ourselves to an instance that was unknown, or considered dead, and has sent something.
    pub fn announce(&mut self, now: Millis, to: &Instance) {
        // An error means that we are not active; the next instance that is heard brings another occasion.
        let _ = self.foca.announce(to.clone(), &mut self.runtime);
        self.collect(now);
    }

    /// Handles a received message; one that cannot be decoded changes nothing.
    pub fn handle_message(&mut self, now: Millis, message: &[u8]) {
        let _ = self.foca.handle_data(message, &mut self.runtime);
        self.collect(now);
    }

    /// Runs the timers that are due.
    pub fn tick(&mut self, now: Millis) {
        while self.timers.peek().is_some_and(|Reverse(timer)| timer.at <= now) {
            let Some(Reverse(due)) = self.timers.pop() else { break };
            // A timer of a state that has passed meanwhile is an error, and means nothing.
            let _ = self.foca.handle_timer(due.timer, &mut self.runtime);
            self.collect(now);
        }
    }

    /// An incarnation of our name was at or above ours: we continue above it.
    pub fn raise_incarnation(&mut self, now: Millis, known: u64) {
        let own = self.own().clone();
        if known >= own.incarnation {
            let raised = Instance { incarnation: known + 1, renewals: 0, ..own };
            let _ = self.foca.change_identity(raised, &mut self.runtime);
            self.collect(now);
            self.changes.push_back(MembershipChange::Renewed(self.own().clone()));
        }
    }

    /// Announces that we leave, so that the others need not detect it.
    pub fn leave(&mut self, now: Millis) {
        let _ = self.foca.leave_cluster(&mut self.runtime);
        self.collect(now);
    }

    /// Collects what SWIM wants to send, to schedule and to notify.
    fn collect(&mut self, now: Millis) {
        while let Some((to, bytes)) = self.runtime.to_send() {
            self.messages.push_back(SwimMessage { to, bytes: bytes.to_vec() });
        }
        while let Some((after, timer)) = self.runtime.to_schedule() {
            self.order += 1;
            let at = now + after.as_secs_f64() * 1000.0;
            self.timers.push(Reverse(ScheduledTimer { at, order: self.order, timer }));
        }
        while let Some(notification) = self.runtime.to_notify() {
            self.notified(notification);
        }
    }

    fn notified(&mut self, notification: OwnedNotification<Instance>) {
        match notification {
            OwnedNotification::MemberUp(instance) => self.up(instance),
            // A new incarnation of a dead instance is notified by `MemberUp`.
            OwnedNotification::Rename(_, instance) if self.alive.contains_key(&instance.name) => {
                self.up(instance);
            }
            OwnedNotification::MemberDown(instance) => self.down(instance),
            OwnedNotification::Rejoin(own) => self.changes.push_back(MembershipChange::Renewed(own)),
            OwnedNotification::Rename(..)
            | OwnedNotification::Active
            | OwnedNotification::Idle
            | OwnedNotification::Defunct => {}
        }
    }

    fn up(&mut self, instance: Instance) {
        self.alive.insert(instance.name.clone(), instance.clone());
        self.changes.push_back(MembershipChange::Up(instance));
    }

    fn down(&mut self, instance: Instance) {
        let known = self.alive.get(&instance.name);
        if known.is_some_and(|known| known.precedence() <= instance.precedence()) {
            self.alive.remove(&instance.name);
            self.changes.push_back(MembershipChange::Down(instance));
        }
    }
}
