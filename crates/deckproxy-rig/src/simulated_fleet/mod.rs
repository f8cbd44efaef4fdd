//! A fleet in simulated time: datagrams that are lost, late, duplicated and cut by pair, processes that stop, end and start
//! again, members that fail. What is judged is counted at the ends of the simulated network.
//!
//! One seed gives one run: all random numbers come from it, and events of one time keep their order.

mod figures;
mod network;
mod settings;

pub use figures::Peak;
pub use network::NetworkConditions;
pub use settings::{address, name, settings};

use deckproxy_fleet::Millis;
use deckproxy_fleet::fleet::{Effect, Fleet, ListedMember, TICK};
use deckproxy_fleet::instance::Name;
use deckproxy_fleet::overload;
use network::EventQueue;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use settings::instance_at;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Time that a health check takes where the member answers, and where none does, ms.
const CHECK_MS: Millis = 3.0;
/// See `CHECK_MS`.
const FAILED_CHECK_MS: Millis = 400.0;
/// Step of [`SimulatedFleet::until`], ms.
const CONDITION_STEP_MS: Millis = 25.0;
/// Incarnation of a process that starts at time 0.
const FIRST_INCARNATION: u64 = 1_000_000;

/// A health check, as the member saw it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HealthCheck {
    /// When it came, ms.
    pub at: Millis,
    /// The instance that made it.
    pub instance: usize,
    /// The member.
    pub member: u32,
}

/// The members that an instance ejects from a time on.
#[derive(Clone, Debug, PartialEq)]
pub struct Ejection {
    /// From when on, ms.
    pub at: Millis,
    /// The instance.
    pub instance: usize,
    /// All members that it ejects.
    pub members: Vec<u32>,
}

/// A line of an instance's log.
#[derive(Clone, Debug, PartialEq)]
pub struct LogLine {
    /// When it was written, ms.
    pub at: Millis,
    /// The instance.
    pub instance: usize,
    /// The text.
    pub text: String,
}

/// An instance, through all its restarts.
struct Node {
    /// Its present process.
    fleet: Option<Fleet>,
    /// How often it was started.
    starts: u64,
    is_paused: bool,
    /// Datagrams that came while it was paused.
    unread: Vec<(SocketAddr, Vec<u8>)>,
}

impl Node {
    fn running(&mut self) -> Option<&mut Fleet> {
        self.fleet.as_mut().filter(|_| !self.is_paused)
    }
}

/// Something that happens at a time.
enum Event {
    /// A datagram arrives.
    Datagram { from: SocketAddr, to: SocketAddr, bytes: Vec<u8> },
    /// A health check ends.
    HealthChecked {
        instance: usize,
        /// The start of the instance's process that made it.
        starts: u64,
        member: u32,
        is_good: bool,
    },
}

/// The instances, their members, and the network between them.
pub struct SimulatedFleet {
    /// The time, ms.
    pub now: Millis,
    /// How datagrams fare from now on.
    pub network: NetworkConditions,
    nodes: Vec<Node>,
    zones: usize,
    /// Pairs of instances between which nothing passes: (from, to).
    pub cuts: BTreeSet<(usize, usize)>,
    events: EventQueue<Event>,
    rng: Pcg64Mcg,
    members: Vec<ListedMember>,
    /// Members that answer nobody.
    pub failing_members: BTreeSet<u32>,
    /// Members that single instances do not reach: (instance, member).
    pub unreachable_members: BTreeSet<(usize, u32)>,
    /// All health checks so far.
    pub health_checks: Vec<HealthCheck>,
    /// All changes of what instances eject so far.
    pub ejections: Vec<Ejection>,
    /// All that instances have logged so far.
    pub logs: Vec<LogLine>,
    /// Bytes that each instance has sent so far.
    pub bytes: Vec<u64>,
    /// The fleet's size by the operators; 0: they name none. For instances that start from now on.
    pub expected_instances: usize,
    /// How instances that start from now on handle overload.
    pub overload: Option<overload::Settings>,
}

impl SimulatedFleet {
    /// So many instances in so many zones, all started now, and so many members.
    pub fn new(
        instances: usize,
        zones: usize,
        members: usize,
        network: NetworkConditions,
        seed: u64,
    ) -> Self {
        let member = |id: usize| ListedMember {
            id: id as u32,
            name: Name::from(format!("m-{id}")),
            zone: Name::from(format!("z{}", id % zones)),
            kind: 0,
            ready: true,
        };
        let node = |_| Node { fleet: None, starts: 0, is_paused: false, unread: Vec::new() };
        let mut fleet = SimulatedFleet {
            now: 0.0,
            network,
            nodes: (0..instances).map(node).collect(),
            zones,
            cuts: BTreeSet::new(),
            events: EventQueue::default(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            members: (0..members).map(member).collect(),
            failing_members: BTreeSet::new(),
            unreachable_members: BTreeSet::new(),
            health_checks: Vec::new(),
            ejections: Vec::new(),
            logs: Vec::new(),
            bytes: vec![0; instances],
            expected_instances: 0,
            overload: None,
        };
        (0..instances).for_each(|i| fleet.start(i));
        fleet
    }

    /// How many instances there are, running or not.
    pub fn count(&self) -> usize {
        self.nodes.len()
    }

    /// The state of an instance, paused or not.
    ///
    /// # Panics
    ///
    /// If it was killed.
    pub fn fleet(&self, instance: usize) -> &Fleet {
        self.nodes[instance].fleet.as_ref().expect("it runs")
    }

    /// The state of an instance that runs and is not paused.
    pub fn fleet_mut(&mut self, instance: usize) -> Option<&mut Fleet> {
        self.nodes[instance].running()
    }

    /// Instances that run and are not paused.
    pub fn running(&self) -> Vec<usize> {
        let runs = |i: &usize| self.nodes[*i].fleet.is_some() && !self.nodes[*i].is_paused;
        (0..self.nodes.len()).filter(runs).collect()
    }

    /// Starts an instance under an incarnation, which may be behind its last one.
    pub fn start_as(&mut self, instance: usize, incarnation: u64) {
        let seed = self.rng.random();
        let mut settings = settings(instance, self.zones, incarnation);
        settings.seeds.truncate(self.nodes.len());
        settings.expected_instances = self.expected_instances;
        settings.overload.clone_from(&self.overload);
        let mut fleet = Fleet::new(self.now, settings, seed);
        fleet.set_members(self.members.iter().cloned());
        let node = &mut self.nodes[instance];
        (node.fleet, node.is_paused, node.starts) = (Some(fleet), false, node.starts + 1);
        node.unread.clear();
    }

    /// Starts an instance under its next incarnation.
    pub fn start(&mut self, instance: usize) {
        let incarnation = FIRST_INCARNATION + self.now as u64 + self.nodes[instance].starts;
        self.start_as(instance, incarnation);
    }

    /// Ends an instance at once.
    pub fn kill(&mut self, instance: usize) {
        self.nodes[instance].fleet = None;
    }

    /// Has an instance announce that it leaves.
    pub fn leave(&mut self, instance: usize) {
        let now = self.now;
        if let Some(fleet) = &mut self.nodes[instance].fleet {
            fleet.leave(now);
        }
        self.carry_out_effects(instance);
    }

    /// Pauses an instance, as SIGSTOP does.
    pub fn pause(&mut self, instance: usize) {
        self.nodes[instance].is_paused = true;
    }

    /// Has an instance go on: it reads all that came meanwhile, and finds its timers due.
    pub fn resume(&mut self, instance: usize) {
        let now = self.now;
        let node = &mut self.nodes[instance];
        node.is_paused = false;
        for (from, bytes) in std::mem::take(&mut node.unread) {
            if let Some(fleet) = &mut node.fleet {
                fleet.handle_datagram(now, from, &bytes);
            }
        }
        self.carry_out_effects(instance);
    }

    /// Cuts parts of the instances from each other.
    pub fn split(&mut self, parts: &[Vec<usize>]) {
        for (i, part) in parts.iter().enumerate() {
            let others = parts.iter().enumerate().filter(|(j, _)| *j != i).flat_map(|(_, other)| other);
            for other in others {
                self.cuts.extend(part.iter().map(|one| (*one, *other)));
            }
        }
    }

    /// Sends a datagram from outside, to arrive after a time.
    pub fn send(&mut self, after: Millis, from: SocketAddr, to: SocketAddr, bytes: Vec<u8>) {
        self.events.push(self.now + after, Event::Datagram { from, to, bytes });
    }

    /// Runs until a time, ms.
    pub fn run_to(&mut self, end: Millis) {
        while self.now < end {
            let next = (self.now + TICK / 4.0).min(end);
            while let Some((at, event)) = self.events.pop(next) {
                self.now = self.now.max(at);
                self.happen(event);
            }
            self.now = next;
            for instance in 0..self.nodes.len() {
                self.tick(instance);
            }
        }
    }

    /// Runs for a span, ms.
    pub fn run(&mut self, span: Millis) {
        self.run_to(self.now + span);
    }

    /// Runs until a condition holds; gives how long that took, ms, or none after `most`.
    pub fn until(&mut self, most: Millis, holds: impl Fn(&SimulatedFleet) -> bool) -> Option<Millis> {
        let start = self.now;
        while !holds(self) {
            if self.now - start >= most {
                return None;
            }
            self.run(CONDITION_STEP_MS);
        }
        Some(self.now - start)
    }

    fn tick(&mut self, instance: usize) {
        let now = self.now;
        let Some(fleet) = self.nodes[instance].running() else { return };
        if fleet.next_due() <= now {
            fleet.tick(now);
            self.carry_out_effects(instance);
        }
    }

    fn happen(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::Datagram { from, to, bytes } => {
                let Some(instance) = instance_at(to) else { return };
                let node = &mut self.nodes[instance];
                if node.is_paused {
                    return node.unread.push((from, bytes));
                }
                if let Some(fleet) = &mut node.fleet {
                    fleet.handle_datagram(now, from, &bytes);
                }
                self.carry_out_effects(instance);
            }
            Event::HealthChecked { instance, starts, member, is_good } => {
                let node = &mut self.nodes[instance];
                if node.starts != starts || node.is_paused {
                    return;
                }
                if let Some(fleet) = &mut node.fleet {
                    fleet.health_checked(now, member, is_good);
                }
                self.carry_out_effects(instance);
            }
        }
    }

    fn carry_out_effects(&mut self, instance: usize) {
        let at = self.now;
        while let Some(effect) = self.nodes[instance].fleet.as_mut().and_then(Fleet::next_effect) {
            match effect {
                Effect::Send { to, bytes } => self.transmit(instance, to, &bytes),
                Effect::HealthCheck(member) => self.check_health(instance, member),
                Effect::Eject(members) => self.ejections.push(Ejection { at, instance, members }),
                Effect::StatusChanged(_) => {}
                Effect::Log(text) => self.logs.push(LogLine { at, instance, text }),
            }
        }
    }

    /// Sends a datagram through the network.
    fn transmit(&mut self, from: usize, to: SocketAddr, bytes: &[u8]) {
        self.bytes[from] += bytes.len() as u64;
        let Some(receiver) = instance_at(to).filter(|receiver| *receiver < self.nodes.len()) else { return };
        if self.cuts.contains(&(from, receiver)) || self.rng.random::<f64>() < self.network.lost_share {
            return;
        }
        let copies = 1 + usize::from(self.rng.random::<f64>() < self.network.duplicated_share);
        for _ in 0..copies {
            let delay = self.rng.random_range(0.1..=self.network.max_delay.max(0.2));
            self.send(delay, address(from), to, bytes.to_vec());
        }
    }

    fn check_health(&mut self, instance: usize, member: u32) {
        self.health_checks.push(HealthCheck { at: self.now, instance, member });
        let is_good = !self.failing_members.contains(&member)
            && !self.unreachable_members.contains(&(instance, member));
        let duration = if is_good { CHECK_MS } else { FAILED_CHECK_MS };
        let starts = self.nodes[instance].starts;
        let event = Event::HealthChecked { instance, starts, member, is_good };
        self.events.push(self.now + duration, event);
    }
}
