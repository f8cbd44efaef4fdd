//! The state at the beginning of a run.

use super::clients::Clients;
use super::control_feed::ControlFeed;
use super::event::Event;
use super::faults::ActiveFaults;
use super::gateways::{GatewayNode, GatewayPlace};
use super::job::JobTable;
use super::recording::Recorder;
use super::{ParentLink, Simulation};
use crate::balancer::{Balancer, BalancerSetup};
use crate::check::InvariantChecker;
use crate::load::RequestGenerator;
use crate::members::{Member, MemberId, MemberKind};
use crate::queue::TimingWheel;
use crate::scenario::Scenario;
use crate::{expression, micros, random_stream, saturating_u32};
use ahash::AHashMap;
use rand::RngExt;

/// Purposes of random numbers.
pub(super) mod random_purpose {
    /// Times at which clients arrive at a gateway.
    pub(in crate::simulation) const ARRIVALS: u64 = 1;
    /// Service times and errors of a member.
    pub(in crate::simulation) const MEMBER_WORK: u64 = 2;
    /// Faults and purges (index 0), delays of the control feed (index 1).
    pub(in crate::simulation) const FAULTS: u64 = 3;
    /// Seeds of balancers.
    pub(in crate::simulation) const BALANCERS: u64 = 4;
    /// What the clients of a gateway request, and when they retry.
    pub(in crate::simulation) const CLIENTS: u64 = 5;
}

/// The location of members that belong to a whole site.
const NO_LOCATION: usize = usize::MAX;

impl Simulation {
    /// Sets up a scenario, which must be valid (see [`Scenario::validate`]).
    pub fn new(scenario: &Scenario) -> Self {
        let mut simulation = Simulation::without_gateways(scenario);
        for location in 0..scenario.sites * scenario.locations {
            for position in 0..scenario.gateways {
                simulation.add_gateway(location, position);
            }
        }
        simulation.schedule_initial_events();
        simulation
    }

    fn without_gateways(scenario: &Scenario) -> Self {
        let members = members(scenario);
        let work_rng = |member| random_stream(scenario.seed, random_purpose::MEMBER_WORK, member as u64);
        let schedule = scenario.load.schedule.as_deref();
        let link = ParentLink { free_at: 0, capacity_share: 1.0 };
        Simulation {
            now: 0,
            queue: TimingWheel::default(),
            gateways: Vec::new(),
            member_rngs: (0..members.len()).map(work_rng).collect(),
            members,
            parent_links: vec![link; scenario.sites * scenario.locations],
            jobs: JobTable::default(),
            clients: Clients::default(),
            generators: (0..scenario.sites).map(|site| RequestGenerator::new(site, &scenario.load)).collect(),
            load_schedule: schedule.and_then(|text| expression::parse(text).ok()),
            feed: ControlFeed::new(scenario.seed),
            faults: ActiveFaults::new(scenario.seed),
            purges: AHashMap::new(),
            keyed_writes: AHashMap::new(),
            checker: InvariantChecker::default(),
            recorder: Recorder::default(),
            events_handled: 0,
            scenario: scenario.clone(),
        }
    }

    fn add_gateway(&mut self, location: usize, position: usize) {
        let index = self.gateways.len() as u64;
        let seed = self.scenario.seed;
        let place = GatewayPlace { site: location / self.scenario.locations, location, position };
        let endpoints = self.endpoints_of(place.site, place.location);
        let balancer_seed: u64 = random_stream(seed, random_purpose::BALANCERS, index).random();
        let setup =
            BalancerSetup { scenario: &self.scenario, position, seed: balancer_seed, endpoints: &endpoints };
        let balancer = Balancer::new(0, &setup);
        let arrival_rng = random_stream(seed, random_purpose::ARRIVALS, index);
        let client_rng = random_stream(seed, random_purpose::CLIENTS, index);
        self.gateways.push(GatewayNode::new(balancer, place, arrival_rng, client_rng));
    }

    fn schedule_initial_events(&mut self) {
        for gateway in self.gateway_indices() {
            self.schedule_arrival(gateway);
            self.apply_effects(gateway);
        }
        for fault in 0..self.scenario.faults.len() {
            let start = micros(self.scenario.faults[fault].start_ms);
            self.schedule(start, Event::FaultBegins { fault });
        }
        if self.scenario.load.purges_per_second > 0.0 {
            for site in 0..self.scenario.sites {
                self.schedule_purge(site);
            }
        }
        self.schedule(micros(self.scenario.record_interval_ms), Event::RecordPoint);
    }

    /// The origin of a member's site.
    pub(super) fn origin_of(&self, member: MemberId) -> MemberId {
        let site = self.member(member).site;
        saturating_u32((site + 1) * members_per_site(&self.scenario) - 1)
    }
}

fn members_per_site(scenario: &Scenario) -> usize {
    scenario.locations * scenario.caches + scenario.parents + 1
}

/// All members, site by site: the caches of each location, then the parents, then the origin.
fn members(scenario: &Scenario) -> Vec<Member> {
    let mut members = Vec::new();
    let mut add = |kind, site, location| {
        let id = saturating_u32(members.len());
        members.push(Member::new(kind, site, location, id, &scenario.members));
    };
    for site in 0..scenario.sites {
        for location in site * scenario.locations..(site + 1) * scenario.locations {
            (0..scenario.caches).for_each(|_| add(MemberKind::Cache, site, location));
        }
        (0..scenario.parents).for_each(|_| add(MemberKind::Parent, site, NO_LOCATION));
        add(MemberKind::Origin, site, NO_LOCATION);
    }
    members
}
