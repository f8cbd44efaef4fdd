//! One instance of a fleet as a state machine: its inputs are datagrams, results of health checks and the time; its outputs
//! are datagrams, health checks and the set of ejected members.
//!
//! - `types`: settings, effects and counters.
//! - `datagrams`, `gossip`, `sending`: received datagrams, periodic gossip, and sending within the byte budget.
//! - `peers`, `view_update`: the other instances, and the view of the fleet.
//! - `observation`, `ejection`: health checks of members, and the ejection of members.
//! - `admission`: load shedding.

mod admission;
mod datagrams;
mod ejection;
mod gossip;
mod observation;
mod peers;
mod sending;
mod types;
mod view_update;

pub use crate::gossip_store::kinds;
pub use types::{Counters, Effect, FleetStatus, Heartbeat, ListedMember, Settings};

use crate::Millis;
use crate::acknowledgements::Acknowledgements;
use crate::clock::PauseAwareClock;
use crate::gossip_store::{GossipStore, Limits};
use crate::health_checks::HealthCheckSchedule;
use crate::instance::{Instance, Name};
use crate::liveness::{PeerStatus, Timeouts};
use crate::overload::Overload;
use crate::swim::Swim;
use crate::view::View;
use crate::wire::{MAX_BODY_BYTES, Wire};
use observation::Observation;
use peers::Peer;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use sending::ByteBudget;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Maximum time between two ticks, in milliseconds.
pub const MAX_TICK_INTERVAL: Millis = 100.0;
/// Interval between rounds of greetings to instances that SWIM does not consider alive, in milliseconds; expired entries
/// are removed at the same interval.
const HELLO_INTERVAL: Millis = 1000.0;
/// Jitter factors of periodic intervals; they keep instances from synchronizing.
const JITTER: std::ops::Range<f64> = 0.9..1.1;
/// Separates this generator's random numbers from those that SWIM draws with the same seed.
const SEED_MASK: u64 = 0x666c_6565_7400_0000;

/// One instance of a fleet.
pub struct Fleet {
    settings: Settings,
    wire: Wire,
    clock: PauseAwareClock,
    swim: Swim,
    store: GossipStore,
    acknowledgements: Acknowledgements,
    view: View,
    peers: BTreeMap<Name, Peer>,
    members: BTreeMap<u32, ListedMember>,
    observations: BTreeMap<u32, Observation>,
    /// Members on trial with this instance's requests.
    trials: BTreeSet<u32>,
    health_checks: HealthCheckSchedule,
    /// All members have to be reassigned to observers.
    reassign: bool,
    /// Members whose entries have changed since members were assigned.
    unassigned: BTreeSet<u32>,
    ejected: BTreeSet<u32>,
    /// When each member that is about to be reinstated is reinstated.
    reinstatements: BTreeMap<u32, Millis>,
    overload: Option<Box<Overload>>,
    rng: Pcg64Mcg,
    started_at: Millis,
    /// Start of the process or end of a pause, while the view is stale. Until the view is up to date again, no members are
    /// checked, ejected or reinstated.
    stale_since: Option<Millis>,
    /// Since when this partition has been the majority, with a view that is not stale.
    majority_since: Option<Millis>,
    /// Another process has replaced this one under its name.
    superseded: bool,
    leaving: bool,
    next_heartbeat: Millis,
    next_digests: Millis,
    next_hello: Millis,
    budget: ByteBudget,
    open_requests: u32,
    /// The last reported status.
    status: FleetStatus,
    effects: VecDeque<Effect>,
    /// Counters since the start.
    pub counters: Counters,
}

impl Fleet {
    /// Creates an instance that starts now and knows no other.
    pub fn new(now: Millis, settings: Settings, seed: u64) -> Self {
        let own = settings.own.clone();
        let mut clock = PauseAwareClock::new(settings.pause_threshold);
        clock.read(now);
        Fleet {
            wire: Wire::new(&settings.fleet, settings.prefixes.clone()),
            clock,
            swim: Swim::new(own.clone(), settings.swim, MAX_BODY_BYTES, seed),
            store: GossipStore::new(own.name.clone(), own.incarnation, Limits::default()),
            acknowledgements: Acknowledgements::default(),
            view: View { is_stale: true, expected: 1, alive: 1, confirmed: 1, since: now, ..View::default() },
            peers: BTreeMap::new(),
            members: BTreeMap::new(),
            observations: BTreeMap::new(),
            trials: BTreeSet::new(),
            health_checks: HealthCheckSchedule::default(),
            reassign: true,
            unassigned: BTreeSet::new(),
            ejected: BTreeSet::new(),
            reinstatements: BTreeMap::new(),
            overload: settings.overload.clone().map(|settings| Box::new(Overload::new(now, settings))),
            rng: Pcg64Mcg::seed_from_u64(seed ^ SEED_MASK),
            started_at: now,
            stale_since: Some(now),
            majority_since: None,
            superseded: false,
            leaving: false,
            next_heartbeat: now,
            next_digests: now,
            next_hello: now,
            budget: ByteBudget::new(now, settings.bytes_per_second),
            open_requests: 0,
            status: FleetStatus::default(),
            effects: VecDeque::new(),
            counters: Counters::default(),
            settings,
        }
    }

    /// Removes and returns the next effect for the caller to carry out.
    pub fn next_effect(&mut self) -> Option<Effect> {
        self.effects.pop_front()
    }

    /// The view of the fleet.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// The gossip store.
    pub fn store(&self) -> &GossipStore {
        &self.store
    }

    /// This instance, with its current incarnation and renewal count.
    pub fn own(&self) -> &Instance {
        self.swim.own()
    }

    /// The current settings.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// The other instances with a status.
    pub fn instances_with(&self, status: PeerStatus) -> impl Iterator<Item = &Instance> {
        self.peers.values().filter(move |peer| peer.status == status).map(|peer| &peer.instance)
    }

    /// The status of another instance; `None` if it is not known.
    pub fn status_of(&self, name: &str) -> Option<PeerStatus> {
        self.peers.get(name).map(|peer| peer.status)
    }

    /// Sets the number of requests in flight, which the next heartbeat reports.
    pub fn set_open_requests(&mut self, open_requests: u32) {
        self.open_requests = open_requests;
    }

    /// Announces the departure from the fleet, and stops health checks and periodic work. Received datagrams are still
    /// handled.
    pub fn leave(&mut self, now: Millis) {
        if std::mem::replace(&mut self.leaving, true) || self.superseded {
            return;
        }
        self.check_clock(now);
        self.write_heartbeat(now);
        self.push(now);
        let own_time = self.clock.read(now).own_time;
        self.swim.leave(own_time);
        self.health_checks = HealthCheckSchedule::default();
        self.process_membership(now);
    }

    /// Applies new settings. The instance itself, the fleet's name, SWIM's timing and the overload settings are retained, as
    /// other instances or SWIM depend on them; returns whether the new settings differ in these and so need a restart.
    pub fn reload(&mut self, new: Settings) -> bool {
        self.wire = Wire::new(&self.settings.fleet, new.prefixes.clone());
        let old = std::mem::replace(&mut self.settings, new);
        let settings = &mut self.settings;
        let needs_restart = settings.own != old.own
            || settings.fleet != old.fleet
            || settings.swim != old.swim
            || settings.overload != old.overload;
        settings.own = old.own;
        settings.fleet = old.fleet;
        settings.swim = old.swim;
        settings.overload = old.overload;
        self.clock.set_threshold(self.settings.pause_threshold);
        self.reassign = true;
        needs_restart
    }

    /// The latest time at which `tick` has to be called.
    pub fn next_due(&self) -> Millis {
        let swim = self.swim.next_due().map(|own_time| self.clock.to_host(own_time));
        let last_tick = self.budget.refilled_at().max(self.started_at);
        let due = [swim, self.health_checks.next_due(), Some(last_tick + MAX_TICK_INTERVAL)];
        due.into_iter().flatten().fold(f64::MAX, f64::min)
    }

    /// Runs timers, periodic work and decisions that are due.
    pub fn tick(&mut self, now: Millis) {
        self.check_clock(now);
        self.budget.refill(now, self.settings.bytes_per_second);
        if self.superseded || self.leaving {
            return;
        }
        let own_time = self.clock.read(now).own_time;
        self.swim.tick(own_time);
        self.run_periodic(now);
        self.process_membership(now);
        self.check_members(now);
        self.update_ejections(now);
        self.update_load_shedding(now);
        self.report_status(now);
    }

    fn run_periodic(&mut self, now: Millis) {
        if now >= self.next_heartbeat {
            self.next_heartbeat = now + self.timeouts().heartbeat_interval;
            self.write_heartbeat(now);
        }
        if now >= self.next_digests {
            self.next_digests = now + self.settings.digest_interval * self.rng.random_range(JITTER);
            self.send_digests();
        }
        if now >= self.next_hello {
            self.next_hello = now + HELLO_INTERVAL * self.rng.random_range(JITTER);
            self.send_hellos();
            self.store.drop_expired(now);
        }
    }

    /// Reads the clock to detect a pause of the process, which makes the view stale.
    fn check_clock(&mut self, now: Millis) {
        let Some(pause) = self.clock.read(now).pause else { return };
        self.counters.pauses += 1;
        self.stale_since = Some(now);
        self.view.update(now, &View { is_stale: true, ..self.view.clone() });
        self.health_checks.restart(now, self.settings.health_check_interval);
        self.log(format!("this process was paused for {pause:.0} ms: its view of the fleet is stale"));
    }

    /// The timeouts for a fleet of the expected size.
    fn timeouts(&self) -> Timeouts {
        Timeouts::for_fleet(self.settings.heartbeat_interval, self.view.expected)
    }

    /// Reports the status if it has changed.
    fn report_status(&mut self, now: Millis) {
        let names = |status| self.instances_with(status).map(|instance| instance.name.clone()).collect();
        let status = FleetStatus {
            view: self.view.clone(),
            alive: names(PeerStatus::Alive),
            lost: names(PeerStatus::Lost),
            store_checksum: self.store.checksum(now, &kinds::VOLATILE),
            ejected: self.ejected.len(),
        };
        if status != self.status {
            self.effects.push_back(Effect::StatusChanged(status.clone()));
            self.status = status;
        }
    }

    fn log(&mut self, text: String) {
        self.effects.push_back(Effect::Log(text));
    }
}
