//! SWIM membership based on the `foca` crate; the caller supplies the time and transports the messages.

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
    /// Interval between probes, in milliseconds.
    pub probe_period: Millis,
    /// Time to wait for a response before requesting indirect probes, in milliseconds. Less than a third of the period.
    pub probe_timeout: Millis,
    /// Time that a suspected instance has to refute the suspicion, in milliseconds.
    pub suspicion: Millis,
}

impl Default for SwimTiming {
    fn default() -> Self {
        SwimTiming { probe_period: 500.0, probe_timeout: 150.0, suspicion: 1000.0 }
    }
}

/// Number of instances that are asked to probe one that did not respond.
const INDIRECT_PROBES: u8 = 3;
/// Maximum number of times that a membership update is sent.
const MAX_TRANSMISSIONS: u8 = 10;
/// Number of instances that receive each round of SWIM's gossip.
const GOSSIP_FANOUT: u8 = 2;

/// A change of the membership.
#[derive(Clone, Debug, PartialEq)]
pub enum MembershipChange {
    /// An instance is alive, or has a new incarnation.
    Up(Instance),
    /// An instance is considered dead.
    Down(Instance),
    /// This instance continues under this identity, as it was declared dead while alive or has raised its incarnation.
    Renewed(Instance),
}

/// A SWIM timer, ordered by due time, then by `foca`'s order of timers, then by when it was set.
struct ScheduledTimer {
    at: Millis,
    sequence_number: u64,
    timer: Timer<Instance>,
}

impl ScheduledTimer {
    fn key(&self) -> (u64, &Timer<Instance>, u64) {
        // The bit patterns of non-negative floats sort in numeric order.
        (self.at.max(0.0).to_bits(), &self.timer, self.sequence_number)
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

/// The SWIM protocol state of one instance.
pub struct Swim {
    foca: Foca<Instance, PostcardCodec, Pcg64Mcg, NoCustomBroadcast>,
    runtime: AccumulatingRuntime<Instance>,
    timers: BinaryHeap<Reverse<ScheduledTimer>>,
    /// Number of timers set so far.
    timers_set: u64,
    alive: BTreeMap<Name, Instance>,
    messages: VecDeque<SwimMessage>,
    changes: VecDeque<MembershipChange>,
}

/// A SWIM message to an instance.
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

fn non_zero(n: u8) -> NonZeroUsize {
    NonZeroUsize::new(usize::from(n)).unwrap_or(NonZeroUsize::MIN)
}

fn config(timing: SwimTiming, max_message_bytes: usize) -> Config {
    Config {
        probe_period: duration(timing.probe_period),
        probe_rtt: duration(timing.probe_timeout),
        num_indirect_probes: non_zero(INDIRECT_PROBES),
        max_transmissions: NonZeroU8::new(MAX_TRANSMISSIONS).unwrap_or(NonZeroU8::MIN),
        suspect_to_down_after: duration(timing.suspicion),
        // There are few names, so a dead instance is remembered until it returns with a new incarnation.
        remove_down_after: None,
        max_packet_size: NonZeroUsize::new(max_message_bytes).unwrap_or(NonZeroUsize::MIN),
        notify_down_members: true,
        periodic_announce: None,
        periodic_announce_to_down_members: None,
        periodic_gossip: Some(foca::PeriodicParams {
            frequency: duration(timing.probe_period / 2.0),
            num_members: non_zero(GOSSIP_FANOUT),
        }),
    }
}

impl Swim {
    /// Creates the state of an instance that knows no other yet.
    pub fn new(own: Instance, timing: SwimTiming, max_message_bytes: usize, seed: u64) -> Self {
        let config = config(timing, max_message_bytes);
        Swim {
            foca: Foca::new(own, config, Pcg64Mcg::seed_from_u64(seed), PostcardCodec),
            runtime: AccumulatingRuntime::new(),
            timers: BinaryHeap::new(),
            timers_set: 0,
            alive: BTreeMap::new(),
            messages: VecDeque::new(),
            changes: VecDeque::new(),
        }
    }

    /// This instance, with its current incarnation and renewal count.
    pub fn own(&self) -> &Instance {
        self.foca.identity()
    }

    /// The other instances that are considered alive.
    pub fn alive(&self) -> &BTreeMap<Name, Instance> {
        &self.alive
    }

    /// Removes and returns the next message to send.
    pub fn next_message(&mut self) -> Option<SwimMessage> {
        self.messages.pop_front()
    }

    /// Removes and returns the next change of the membership.
    pub fn next_change(&mut self) -> Option<MembershipChange> {
        self.changes.pop_front()
    }

    /// The time at which the next timer is due.
    pub fn next_due(&self) -> Option<Millis> {
        self.timers.peek().map(|Reverse(timer)| timer.at)
    }

    /// Announces this instance to another one that has sent a datagram but was unknown or considered dead.
    pub fn announce(&mut self, now: Millis, to: &Instance) {
        // An error means that this instance is not active; the next datagram from such an instance triggers a retry.
        let _ = self.foca.announce(to.clone(), &mut self.runtime);
        self.collect(now);
    }

    /// Handles a received message; one that cannot be decoded is ignored.
    pub fn handle_message(&mut self, now: Millis, message: &[u8]) {
        let _ = self.foca.handle_data(message, &mut self.runtime);
        self.collect(now);
    }

    /// Runs the timers that are due.
    pub fn tick(&mut self, now: Millis) {
        while self.timers.peek().is_some_and(|Reverse(timer)| timer.at <= now) {
            let Some(Reverse(due)) = self.timers.pop() else { break };
            // A timer that was set for an earlier state yields an error, which is safe to ignore.
            let _ = self.foca.handle_timer(due.timer, &mut self.runtime);
            self.collect(now);
        }
    }

    /// Raises this instance's incarnation above `known`, that of another process under the same name, unless it is already
    /// higher.
    pub fn raise_incarnation(&mut self, now: Millis, known: u64) {
        let own = self.own().clone();
        if known >= own.incarnation {
            let raised = Instance { incarnation: known + 1, renewals: 0, ..own };
            let _ = self.foca.change_identity(raised, &mut self.runtime);
            self.collect(now);
            self.changes.push_back(MembershipChange::Renewed(self.own().clone()));
        }
    }

    /// Announces the departure, so that the others do not have to detect it as a failure.
    pub fn leave(&mut self, now: Millis) {
        let _ = self.foca.leave_cluster(&mut self.runtime);
        self.collect(now);
    }

    /// Collects the messages, timers and notifications that SWIM produced.
    fn collect(&mut self, now: Millis) {
        while let Some((to, bytes)) = self.runtime.to_send() {
            self.messages.push_back(SwimMessage { to, bytes: bytes.to_vec() });
        }
        while let Some((after, timer)) = self.runtime.to_schedule() {
            self.timers_set += 1;
            let at = now + after.as_secs_f64() * 1000.0;
            self.timers.push(Reverse(ScheduledTimer { at, sequence_number: self.timers_set, timer }));
        }
        while let Some(notification) = self.runtime.to_notify() {
            self.handle_notification(notification);
        }
    }

    fn handle_notification(&mut self, notification: OwnedNotification<Instance>) {
        match notification {
            OwnedNotification::MemberUp(instance) => self.instance_up(instance),
            // A new incarnation of a dead instance is reported by `MemberUp` instead.
            OwnedNotification::Rename(_, instance) if self.alive.contains_key(&instance.name) => {
                self.instance_up(instance);
            }
            OwnedNotification::MemberDown(instance) => self.instance_down(instance),
            OwnedNotification::Rejoin(own) => self.changes.push_back(MembershipChange::Renewed(own)),
            OwnedNotification::Rename(..)
            | OwnedNotification::Active
            | OwnedNotification::Idle
            | OwnedNotification::Defunct => {}
        }
    }

    fn instance_up(&mut self, instance: Instance) {
        self.alive.insert(instance.name.clone(), instance.clone());
        self.changes.push_back(MembershipChange::Up(instance));
    }

    fn instance_down(&mut self, instance: Instance) {
        let known = self.alive.get(&instance.name);
        if known.is_some_and(|known| known.precedence() <= instance.precedence()) {
            self.alive.remove(&instance.name);
            self.changes.push_back(MembershipChange::Down(instance));
        }
    }
}
