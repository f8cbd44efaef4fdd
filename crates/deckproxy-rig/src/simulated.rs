//! A network of instances in simulated time: datagrams that are lost, late, doubled and cut by pair, processes that stop,
//! end and start anew, members that fail. What is judged is counted at the network's ends.
#![allow(dead_code)]

use deckproxy_fleet::Millis;
use deckproxy_fleet::fleet::{Effect, Fleet, ListedMember, Settings, TICK};
use deckproxy_fleet::health::Thresholds;
use deckproxy_fleet::instance::{Instance, Name};
use deckproxy_fleet::liveness::PeerStatus;
use deckproxy_fleet::swim::SwimTiming;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::SocketAddr;

/// Where an instance is.
pub fn address(i: usize) -> SocketAddr {
    format!("10.0.{}.{}:7100", i / 250, i % 250 + 1).parse().unwrap()
}

fn index(at: SocketAddr) -> Option<usize> {
    let SocketAddr::V4(v4) = at else { return None };
    let [_, _, high, low] = v4.ip().octets();
    Some(usize::from(high) * 250 + usize::from(low) - 1)
}

/// An instance's name.
pub fn name(i: usize) -> Name {
    Name::from(format!("i{i:03}"))
}

/// How an instance takes part.
pub fn settings(i: usize, zones: usize, start: u64) -> Settings {
    let own = Instance {
        name: name(i),
        zone: Name::from(format!("z{}", i % zones)),
        address: address(i),
        incarnation: start,
        renewals: 0,
        weight: 1,
    };
    Settings {
        fleet: "test".to_string(),
        own,
        prefixes: vec!["10.0.0.0/8".parse().unwrap()],
        seeds: vec![address(0), address(1)],
        addresses: BTreeMap::new(),
        expected_instances: 0,
        bytes_per_second: 16_384.0,
        heartbeat_interval: 500.0,
        digest_interval: 250.0,
        pause_threshold: 1000.0,
        forget_after: 600_000.0,
        swim: SwimTiming::default(),
        observers: 2,
        health_check_interval: 1000.0,
        max_ejected_share: 0.34,
        reinstatement_spread: 2000.0,
        thresholds: Thresholds::default(),
        overload: None,
    }
}

/// How datagrams fare.
#[derive(Clone, Copy, Debug)]
pub struct Net {
    /// Share that is lost.
    pub loss: f64,
    /// Share that comes twice.
    pub doubled: f64,
    /// Most milliseconds that one takes: more than the gap between two sends puts them out of order.
    pub late: Millis,
}

impl Default for Net {
    fn default() -> Self {
        Net { loss: 0.0, doubled: 0.0, late: 2.0 }
    }
}

struct Node {
    fleet: Option<Fleet>,
    starts: u64,
    stopped: bool,
    /// Came while it was stopped.
    waiting: Vec<(SocketAddr, Vec<u8>)>,
}

#[derive(Clone, Debug, PartialEq)]
enum What {
    Datagram(SocketAddr, SocketAddr, Vec<u8>),
    Probe(usize, u64, u32, bool),
}

/// The network, its instances and members.
pub struct Sim {
    /// The time, ms.
    pub now: Millis,
    /// How datagrams fare now.
    pub net: Net,
    nodes: Vec<Node>,
    zones: usize,
    /// Pairs from which nothing comes to another: (from, to).
    pub cuts: BTreeSet<(usize, usize)>,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    due: BTreeMap<u64, What>,
    order: u64,
    rng: Pcg64Mcg,
    members: Vec<ListedMember>,
    /// Members that answer nobody.
    pub sick: BTreeSet<u32>,
    /// Instances that do not reach single members.
    pub deaf: BTreeSet<(usize, u32)>,
    /// Probes as members saw them: time, instance, member.
    pub probes: Vec<(Millis, usize, u32)>,
    /// Held sets as they were set: time, instance, members.
    pub holds: Vec<(Millis, usize, Vec<u32>)>,
    /// Log lines: time, instance, text.
    pub logs: Vec<(Millis, usize, String)>,
    /// Bytes that each instance sent.
    pub bytes: Vec<u64>,
    /// What the operators say is the fleet's size; 0: nothing.
    pub size: usize,
    /// How instances that start from now on handle overload.
    pub overload: Option<deckproxy_fleet::overload::Settings>,
}

impl Sim {
    /// So many instances in so many zones, all started now, and members.
    pub fn new(instances: usize, zones: usize, members: usize, net: Net, seed: u64) -> Self {
        let listed = |id: usize| ListedMember {
            id: id as u32,
            name: Name::from(format!("m-{id}")),
            zone: Name::from(format!("z{}", id % zones)),
            kind: 0,
            ready: true,
        };
        let node = |_| Node { fleet: None, starts: 0, stopped: false, waiting: Vec::new() };
        let mut sim = Sim {
            now: 0.0,
            net,
            nodes: (0..instances).map(node).collect(),
            zones,
            cuts: BTreeSet::new(),
            queue: BinaryHeap::new(),
            due: BTreeMap::new(),
            order: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
            members: (0..members).map(listed).collect(),
            sick: BTreeSet::new(),
            deaf: BTreeSet::new(),
            probes: Vec::new(),
            holds: Vec::new(),
            logs: Vec::new(),
            bytes: vec![0; instances],
            size: 0,
            overload: None,
        };
        (0..instances).for_each(|i| sim.start(i));
        sim
    }

    /// How many instances there are, running or not.
    pub fn count(&self) -> usize {
        self.nodes.len()
    }

    /// An instance that runs.
    pub fn fleet(&self, i: usize) -> &Fleet {
        self.nodes[i].fleet.as_ref().expect("it runs")
    }

    /// One that runs and is not stopped, to be asked.
    pub fn fleet_mut(&mut self, i: usize) -> Option<&mut Fleet> {
        let node = &mut self.nodes[i];
        node.fleet.as_mut().filter(|_| !node.stopped)
    }

    /// Those that run and are not stopped.
    pub fn running(&self) -> Vec<usize> {
        (0..self.nodes.len()).filter(|i| self.nodes[*i].fleet.is_some() && !self.nodes[*i].stopped).collect()
    }

    /// A new life, under a number that may be behind the last one's.
    pub fn start_as(&mut self, i: usize, start: u64) {
        let seed = self.rng.random();
        let mut settings = settings(i, self.zones, start);
        settings.seeds.truncate(self.nodes.len());
        settings.expected_instances = self.size;
        settings.overload = self.overload.clone();
        let mut fleet = Fleet::new(self.now, settings, seed);
        fleet.set_members(self.members.iter().cloned());
        let node = &mut self.nodes[i];
        (node.fleet, node.stopped, node.starts) = (Some(fleet), false, node.starts + 1);
        node.waiting.clear();
    }

    /// A new life.
    pub fn start(&mut self, i: usize) {
        let start = 1_000_000 + self.now as u64 + self.nodes[i].starts;
        self.start_as(i, start);
    }

    /// Ends one at once.
    pub fn kill(&mut self, i: usize) {
        self.nodes[i].fleet = None;
    }

    /// Has one say good-bye.
    pub fn leave(&mut self, i: usize) {
        let now = self.now;
        self.nodes[i].fleet.iter_mut().for_each(|f| f.leave(now));
        self.carry_out(i);
    }

    /// Has one stand still.
    pub fn stop(&mut self, i: usize) {
        self.nodes[i].stopped = true;
    }

    /// Has one go on.
    pub fn go_on(&mut self, i: usize) {
        self.nodes[i].stopped = false;
        // The loop finds all that came meanwhile, and its timers due.
        for (from, bytes) in std::mem::take(&mut self.nodes[i].waiting) {
            let now = self.now;
            self.nodes[i].fleet.iter_mut().for_each(|f| f.handle_datagram(now, from, &bytes));
        }
        self.carry_out(i);
    }

    /// Cuts parts from each other.
    pub fn split(&mut self, parts: &[Vec<usize>]) {
        for (i, part) in parts.iter().enumerate() {
            let others = parts.iter().enumerate().filter(|(j, _)| *j != i).flat_map(|(_, p)| p);
            for other in others {
                self.cuts.extend(part.iter().map(|one| (*one, *other)));
            }
        }
    }

    /// Puts a datagram on its way.
    pub fn put(&mut self, after: Millis, from: SocketAddr, to: SocketAddr, bytes: Vec<u8>) {
        self.later(after, What::Datagram(from, to, bytes));
    }

    fn later(&mut self, after: Millis, what: What) {
        self.order += 1;
        let at = ((self.now + after) * 1000.0) as u64;
        self.queue.push(Reverse((at, self.order)));
        self.due.insert(self.order, what);
    }

    fn carry_out(&mut self, i: usize) {
        while let Some(effect) = self.nodes[i].fleet.as_mut().and_then(Fleet::next_effect) {
            match effect {
                Effect::Send { to, bytes } => {
                    self.bytes[i] += bytes.len() as u64;
                    let Some(j) = index(to).filter(|j| *j < self.nodes.len()) else { continue };
                    if self.cuts.contains(&(i, j)) || self.rng.random::<f64>() < self.net.loss {
                        continue;
                    }
                    let copies = 1 + usize::from(self.rng.random::<f64>() < self.net.doubled);
                    for _ in 0..copies {
                        let after = self.rng.random_range(0.1..=self.net.late.max(0.2));
                        self.later(after, What::Datagram(address(i), to, bytes.clone()));
                    }
                }
                Effect::HealthCheck(member) => {
                    self.probes.push((self.now, i, member));
                    let good = !self.sick.contains(&member) && !self.deaf.contains(&(i, member));
                    let life = self.nodes[i].starts;
                    self.later(if good { 3.0 } else { 400.0 }, What::Probe(i, life, member, good));
                }
                Effect::Eject(members) => self.holds.push((self.now, i, members)),
                Effect::StatusChanged(_) => {}
                Effect::Log(text) => self.logs.push((self.now, i, text)),
            }
        }
    }

    /// Plays until a time.
    pub fn run_to(&mut self, end: Millis) {
        while self.now < end {
            let next = (self.now + TICK / 4.0).min(end);
            while let Some(Reverse((at, order))) = self.queue.peek().copied() {
                if at as f64 / 1000.0 > next {
                    break;
                }
                self.queue.pop();
                self.now = self.now.max(at as f64 / 1000.0);
                if let Some(what) = self.due.remove(&order) {
                    self.happen(what);
                }
            }
            self.now = next;
            for i in 0..self.nodes.len() {
                let node = &mut self.nodes[i];
                let Some(fleet) = node.fleet.as_mut().filter(|_| !node.stopped) else { continue };
                if fleet.next_due() <= next {
                    fleet.tick(next);
                    self.carry_out(i);
                }
            }
        }
    }

    /// Plays for a span, ms.
    pub fn run(&mut self, span: Millis) {
        self.run_to(self.now + span);
    }

    fn happen(&mut self, what: What) {
        let now = self.now;
        match what {
            What::Datagram(from, to, bytes) => {
                let Some(j) = index(to) else { return };
                let node = &mut self.nodes[j];
                if node.stopped {
                    return node.waiting.push((from, bytes));
                }
                node.fleet.iter_mut().for_each(|f| f.handle_datagram(now, from, &bytes));
                self.carry_out(j);
            }
            What::Probe(i, life, member, good) => {
                let node = &mut self.nodes[i];
                if node.starts == life && !node.stopped {
                    node.fleet.iter_mut().for_each(|f| f.health_checked(now, member, good));
                    self.carry_out(i);
                }
            }
        }
    }

    // ---- Judging -------------------------------------------------------------------------------------------

    /// Whether all that run hear each other, and no other.
    pub fn agree(&self) -> bool {
        let running: BTreeSet<Name> = self.running().into_iter().map(name).collect();
        self.running().into_iter().all(|i| {
            let fleet = self.fleet(i);
            let mut heard: BTreeSet<Name> =
                fleet.instances_with(PeerStatus::Alive).map(|one| one.name.clone()).collect();
            heard.insert(name(i));
            heard == running
        })
    }

    /// Whether the boards of all that run say the same.
    pub fn same_boards(&self) -> bool {
        let sums: BTreeSet<u64> =
            self.running().into_iter().map(|i| self.fleet(i).store().checksum(self.now, &[0])).collect();
        sums.len() <= 1
    }

    /// Plays until a condition holds; gives how long that took, or none after `most`.
    pub fn until(&mut self, most: Millis, holds: impl Fn(&Sim) -> bool) -> Option<Millis> {
        let start = self.now;
        while !holds(self) {
            if self.now - start >= most {
                return None;
            }
            self.run(25.0);
        }
        Some(self.now - start)
    }

    /// Most probes of one member in any span of that length, from a time on, beside what is intended; and those probes, as
    /// time and instance.
    pub fn worst(&self, from: Millis, span: Millis) -> (f64, Vec<(Millis, usize)>) {
        let intended = 2.0 * span / 1000.0;
        let mut worst = Vec::new();
        for member in &self.members {
            let probes = self.probes.iter().filter(|p| p.2 == member.id && p.0 >= from);
            let probes: Vec<(Millis, usize)> = probes.map(|p| (p.0, p.1)).collect();
            for (i, (at, _)) in probes.iter().enumerate() {
                let n = probes[i..].iter().take_while(|(t, _)| *t < at + span).count();
                if n > worst.len() {
                    worst = probes[i..i + n].to_vec();
                }
            }
        }
        (worst.len() as f64 / intended, worst)
    }

    /// The first of these.
    pub fn worst_ratio(&self, from: Millis, span: Millis) -> f64 {
        self.worst(from, span).0
    }

    /// Probes of all members in a span, beside what is intended.
    pub fn ratio(&self, from: Millis, to: Millis) -> f64 {
        let n = self.probes.iter().filter(|p| p.0 >= from && p.0 < to).count();
        n as f64 / (self.members.len() as f64 * 2.0 * (to - from) / 1000.0)
    }

    /// The longest time in a span for which a member was not probed by anybody.
    pub fn longest_gap(&self, from: Millis, to: Millis) -> Millis {
        let gaps = self.members.iter().map(|member| {
            let times =
                self.probes.iter().filter(|p| p.2 == member.id && p.0 >= from && p.0 <= to).map(|p| p.0);
            let mut last = from;
            let mut worst: f64 = 0.0;
            for at in times.chain([to]) {
                worst = worst.max(at - last);
                last = at;
            }
            worst
        });
        gaps.fold(0.0, f64::max)
    }
}
