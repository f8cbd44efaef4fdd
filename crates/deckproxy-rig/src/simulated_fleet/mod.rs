//! A fleet in simulated time: datagrams that are lost, late, duplicated and cut by pair, processes that stop, end and start
//! again, members that fail. What is judged is counted at the ends of the simulated network.
//!
//! One seed gives one run: all random numbers come from it, and events of one time keep their order.

mod event_loop;
mod figures;
mod network;
mod node;
mod observations;
mod settings;

pub use figures::Peak;
pub use network::NetworkConditions;
pub use observations::{Ejection, HealthCheck, LogLine};
pub use settings::{address, name, settings};

use crate::event_queue::EventQueue;
use crate::saturating_u32;
use deckproxy_fleet::Millis;
use deckproxy_fleet::fleet::{Fleet, ListedMember};
use deckproxy_fleet::instance::Name;
use deckproxy_fleet::overload;
use event_loop::Event;
use node::Node;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeSet;

/// Incarnation of a process that starts at time 0.
const FIRST_INCARNATION: u64 = 1_000_000;

/// The instances, their members, and the network between them.
pub struct SimulatedFleet {
    /// The time, ms.
    pub now: Millis,
    /// How datagrams fare from now on.
    pub network: NetworkConditions,
    nodes: Vec<Node>,
    zones: usize,
    /// Pairs of instances between which nothing passes: (from, to).
    pub blocked_pairs: BTreeSet<(usize, usize)>,
    events: EventQueue<Event>,
    rng: Pcg64Mcg,
    /// The members that instances know when they start.
    pub members: Vec<ListedMember>,
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
    pub sent_bytes: Vec<u64>,
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
            id: saturating_u32(id),
            name: Name::from(format!("m-{id}")),
            zone: Name::from(format!("z{}", id % zones)),
            kind: 0,
            ready: true,
        };
        let mut fleet = SimulatedFleet {
            now: 0.0,
            network,
            nodes: (0..instances).map(|_| Node::default()).collect(),
            zones,
            blocked_pairs: BTreeSet::new(),
            events: EventQueue::default(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            members: (0..members).map(member).collect(),
            failing_members: BTreeSet::new(),
            unreachable_members: BTreeSet::new(),
            health_checks: Vec::new(),
            ejections: Vec::new(),
            logs: Vec::new(),
            sent_bytes: vec![0; instances],
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
        (0..self.nodes.len()).filter(|i| self.nodes[*i].is_running()).collect()
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
        self.nodes[instance].start(fleet);
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
        self.nodes[instance].resume(self.now);
        self.carry_out_effects(instance);
    }

    /// Cuts parts of the instances from each other.
    pub fn split(&mut self, parts: &[Vec<usize>]) {
        for (i, part) in parts.iter().enumerate() {
            let others = parts.iter().enumerate().filter(|(j, _)| *j != i).flat_map(|(_, other)| other);
            for other in others {
                self.blocked_pairs.extend(part.iter().map(|one| (*one, *other)));
            }
        }
    }
}
