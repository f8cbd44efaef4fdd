//! Members, instances and clients that run, to be observed, and hurt step by step.

use crate::client_population::{ClientPopulation, PopulationSettings};
use crate::endpoint::Endpoint;
use crate::fleet_view::{View, views};
use crate::instance_process::{InstanceProcess, MemberRelays, datagram_addresses};
use crate::load_generator::{LoadGenerator, LoadSettings, Rate, RetryPolicy};
use crate::plan::{FaultKind, Plan};
use crate::relay::{DatagramCounts, Relays};
use crate::run::RunRecord;
use deckproxy_standins::link_relay::LinkRelay;
use deckproxy_standins::load_client::RequestGenerator;
use deckproxy_standins::record::{Fact, Record};
use deckproxy_standins::site::{Site, SiteConfig, zone_name};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Time that a condition may take, also where many processes share few cores.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(40);
/// Time between two looks at a condition.
const CONDITION_INTERVAL: Duration = Duration::from_millis(20);
/// Time from a purge until it is announced, ms.
const PURGE_DELAY_MS: u64 = 2000;

/// The clients of a rig.
enum Clients {
    /// One request at a time each.
    ClosedLoop(ClientPopulation),
    /// Requests at times that no answer delays.
    OpenLoop(LoadGenerator),
}

/// Members, instances and clients that run.
pub struct Rig {
    pub(crate) plan: Plan,
    pub(crate) record: Record,
    pub(crate) site: Site,
    pub(crate) relays: Relays,
    pub(crate) member_relays: MemberRelays,
    pub(crate) instances: Vec<Arc<Mutex<InstanceProcess>>>,
    caches: Vec<String>,
    /// Changes of processes that take their time.
    pub(crate) pending_changes: Vec<JoinHandle<()>>,
    clients: Option<Clients>,
    /// Requests a second of clients in an open loop.
    pub(crate) rate: Arc<Rate>,
    /// When the traffic began, ms of the record.
    traffic_from: f64,
    /// Datagrams before the traffic.
    datagrams_before: DatagramCounts,
}

impl Rig {
    /// Starts members and instances, waits until the instances hear each other, and starts the clients.
    ///
    /// # Panics
    ///
    /// If an instance cannot be started, or they do not hear each other in time.
    pub fn start(plan: &Plan, requests: &RequestGenerator) -> Self {
        let mut rig = Rig::without_clients(plan);
        if plan.fleet && !plan.isolated {
            rig.until("the instances have met", |rig| (0..rig.plan.instances).all(|i| rig.hears_all(i)));
        }
        rig.clients = Some(rig.start_clients(requests));
        (rig.traffic_from, rig.datagrams_before) = (rig.record.now(), rig.relays.sent());
        rig
    }

    fn without_clients(plan: &Plan) -> Self {
        let record = Record::default();
        let config = SiteConfig {
            caches: plan.caches,
            zones: plan.zones,
            purge_delay_ms: PURGE_DELAY_MS,
            origin_concurrency: plan.origin_concurrency,
            ..SiteConfig::default()
        };
        let site = Site::start(0, config, &record);
        let addresses = datagram_addresses(plan);
        let relays = Relays::to(&addresses, plan.seed);
        let zones = (0..plan.zones).map(|zone| zone_name(plan.zones, zone));
        let caches: Vec<String> = zones.flat_map(|zone| site.caches_in_zone(&zone)).collect();
        let member_relays = member_relays(plan, &site);
        let instances = start_instances(plan, &site, &relays, &addresses, &member_relays, &record);
        Rig {
            plan: plan.clone(),
            record,
            site,
            relays,
            member_relays,
            instances,
            caches,
            pending_changes: Vec::new(),
            clients: None,
            rate: Arc::new(Rate::new(plan.rate)),
            traffic_from: 0.0,
            datagrams_before: DatagramCounts::default(),
        }
    }

    fn start_clients(&self, requests: &RequestGenerator) -> Clients {
        let plan = &self.plan;
        let endpoints: Vec<Endpoint> = self
            .locked_instances()
            .map(|instance| Endpoint { address: instance.listen, absences: instance.absences.clone() })
            .collect();
        if !plan.open_loop {
            let settings = PopulationSettings {
                clients: plan.clients,
                rate: plan.rate,
                seed: plan.seed,
                requests: requests.clone(),
            };
            return Clients::ClosedLoop(ClientPopulation::start(&settings, &endpoints, &self.record));
        }
        let retry_policy =
            if plan.ignore_retry_after { RetryPolicy::Immediate } else { RetryPolicy::FollowRetryAfter };
        let settings = LoadSettings {
            clients: plan.clients,
            rate: self.rate.clone(),
            seed: plan.seed,
            requests: requests.clone(),
            retry_policy,
            skew: plan.skew,
        };
        Clients::OpenLoop(LoadGenerator::start(&settings, &endpoints, &self.record))
    }

    fn locked_instances(&self) -> impl Iterator<Item = MutexGuard<'_, InstanceProcess>> {
        self.instances.iter().map(|instance| instance.lock().unwrap())
    }

    /// An instance's present view of the fleet, by its log.
    pub fn view(&self, instance: usize) -> Option<View> {
        views(&self.log(instance)).pop()
    }

    /// What all processes of an instance have logged.
    ///
    /// # Panics
    /// Panics if there is no such instance, or if a thread panicked while it held a lock of the instance.
    pub fn log(&self, instance: usize) -> String {
        self.instances[instance].lock().unwrap().log()
    }

    /// Whether an instance hears all others, and takes its view for current.
    pub fn hears_all(&self, instance: usize) -> bool {
        self.view(instance).is_some_and(|view| view.heard.len() + 1 == self.plan.instances && !view.is_stale)
    }

    /// Whether all instances hear each other, and have the same board.
    pub fn has_converged(&self) -> bool {
        let views: Vec<Option<View>> = (0..self.plan.instances).map(|i| self.view(i)).collect();
        let boards: BTreeSet<&str> = views.iter().flatten().map(|view| view.board.as_str()).collect();
        boards.len() == 1 && (0..self.plan.instances).all(|i| self.hears_all(i))
    }

    /// The caches' names, zone after zone.
    pub fn caches(&self) -> &[String] {
        &self.caches
    }

    /// Health checks that a member has received so far.
    pub fn health_checks(&self, member: &str) -> usize {
        self.record.count(|fact| matches!(fact, Fact::HealthChecked { member: m } if m == member))
    }

    /// Attempts that a member has received so far.
    pub fn attempts(&self, member: &str) -> usize {
        self.record.count(|fact| matches!(fact, Fact::AttemptReceived { member: m, .. } if m == member))
    }

    /// Where other instances send an instance's datagrams to.
    pub fn relay_address(&self, instance: usize) -> SocketAddr {
        self.relays.addresses[instance]
    }

    /// Datagrams that came to the relays so far.
    pub fn datagrams(&self) -> u64 {
        self.relays.sent().datagrams
    }

    /// Requests that an instance has served so far; 0 for clients in an open loop.
    ///
    /// # Panics
    /// Panics if a thread panicked while it held the lock.
    pub fn served_by(&self, instance: usize) -> u64 {
        let Some(Clients::ClosedLoop(population)) = &self.clients else { return 0 };
        let counts = population.counts.by_instance.lock().unwrap();
        counts.get(&instance).map_or(0, |counts| counts.served)
    }

    /// Milliseconds since the record began.
    pub fn now(&self) -> f64 {
        self.record.now()
    }

    /// Waits until a condition holds.
    ///
    /// # Panics
    ///
    /// If it does not within 40 s; the text is that of the condition, with the logs of all instances.
    pub fn until(&self, condition: &str, holds: impl Fn(&Rig) -> bool) {
        let end = Instant::now() + CONDITION_TIMEOUT;
        while !holds(self) {
            if Instant::now() > end {
                let logs: Vec<String> = (0..self.plan.instances).map(|i| self.log(i)).collect();
                panic!("timed out: {condition}; the instances' logs:\n{}", logs.join("\n"));
            }
            thread::sleep(CONDITION_INTERVAL);
        }
    }

    /// Waits until all processes that are being changed have been.
    ///
    /// # Panics
    ///
    /// If one of them failed to start or end.
    pub fn wait_for_processes(&mut self) {
        for change in self.pending_changes.drain(..) {
            change.join().expect("an instance starts and ends as it should");
        }
    }

    /// Ends clients and instances, and gives what happened.
    ///
    /// # Panics
    ///
    /// If an instance failed to start or end before.
    pub fn finish(mut self) -> RunRecord {
        self.wait_for_processes();
        let traffic_to = self.record.now();
        let sent = self.relays.sent();
        let (mut counts, mut attempts) = Default::default();
        match self.clients.take() {
            Some(Clients::ClosedLoop(population)) => counts = population.finish(),
            Some(Clients::OpenLoop(generator)) => attempts = generator.finish(),
            None => {}
        }
        thread::scope(|scope| {
            for instance in &self.instances {
                scope.spawn(|| instance.lock().unwrap().shut_down());
            }
        });
        let end = self.record.now();
        RunRecord {
            plan: self.plan.clone(),
            start_unix_ms: self.record.start_unix_ms(),
            traffic_from: self.traffic_from,
            traffic_to,
            end,
            logs: self.locked_instances().map(|instance| instance.log()).collect(),
            absences: self.locked_instances().map(|instance| instance.absences.clone()).collect(),
            counts,
            attempts,
            members: self.members(),
            datagrams: DatagramCounts {
                datagrams: sent.datagrams - self.datagrams_before.datagrams,
                bytes: sent.bytes - self.datagrams_before.bytes,
            },
            process_faults: self
                .locked_instances()
                .flat_map(|instance| instance.process_faults.clone())
                .collect(),
            facts: self.record.take(),
        }
    }

    /// All members' names; the caches zone after zone first.
    fn members(&self) -> Vec<String> {
        let members = self.site.members().into_iter().map(|(name, _)| name);
        let others: Vec<String> = members.filter(|name| !self.caches.contains(name)).collect();
        self.caches.iter().cloned().chain(others).collect()
    }
}

/// Relays where the plan cuts connections between instances and caches.
fn member_relays(plan: &Plan, site: &Site) -> MemberRelays {
    let mut relays = MemberRelays::new();
    let members = site.members();
    for fault in &plan.faults {
        let FaultKind::Cut { instances, zone, .. } = &fault.kind else { continue };
        for instance in (0..plan.instances).filter(|i| instances.is_empty() || instances.contains(i)) {
            for cache in site.caches_in_zone(&zone_name(plan.zones, *zone)) {
                let Some((_, address)) = members.iter().find(|(name, _)| *name == cache) else { continue };
                relays.entry((instance, cache)).or_insert_with(|| LinkRelay::to(*address));
            }
        }
    }
    relays
}

/// Starts all instances at a time.
fn start_instances(
    plan: &Plan,
    site: &Site,
    relays: &Relays,
    addresses: &[SocketAddr],
    member_relays: &MemberRelays,
    record: &Record,
) -> Vec<Arc<Mutex<InstanceProcess>>> {
    let instance = |index: usize| {
        let process =
            InstanceProcess::new(plan, index, site, relays, addresses[index], member_relays, record);
        Arc::new(Mutex::new(process))
    };
    let instances: Vec<_> = (0..plan.instances).map(instance).collect();
    thread::scope(|scope| {
        for instance in &instances {
            scope.spawn(|| instance.lock().unwrap().start());
        }
    });
    instances
}
