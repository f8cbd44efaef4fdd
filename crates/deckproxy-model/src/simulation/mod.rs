//! A run: an event loop over simulated time, and what reacts to each event.
//!
//! [`Simulation`] owns all state. Each module below implements the reactions of one concern: `clients`
//! (arrivals, answers, retries), `gateways` (effects, replies, restarts), `member_work` (queues and cores),
//! `fills` (copies and their sources), `control_feed` (endpoint list and purges), `faults` and `recording`.
//! `setup` builds the initial state, `event` and `job` define what is pending and in flight.

mod clients;
mod control_feed;
mod event;
mod faults;
mod fills;
mod gateways;
mod job;
mod member_work;
mod recording;
mod setup;

use crate::check::InvariantChecker;
use crate::expression::Expression;
use crate::load::RequestGenerator;
use crate::members::{Member, MemberId};
use crate::queue::{EventQueue, TimingWheel};
use crate::record::Record;
use crate::scenario::Scenario;
use crate::{Micros, micros, saturating_u32};
use ahash::AHashMap;
use clients::Clients;
use control_feed::ControlFeed;
use event::Event;
use faults::ActiveFaults;
use gateways::GatewayNode;
use job::JobTable;
use rand_pcg::Pcg64Mcg;
use recording::Recorder;
use std::time::Instant;

/// Events between two reports of progress.
const PROGRESS_INTERVAL_EVENTS: u64 = 65_536;

/// How much later than a request's deadline its answer may come.
const DEADLINE_TOLERANCE_MS: f64 = 60.0;

/// A run that can be started.
pub struct Simulation {
    scenario: Scenario,
    now: Micros,
    queue: TimingWheel<Event>,
    gateways: Vec<GatewayNode>,
    members: Vec<Member>,
    /// Random numbers of each member's work.
    member_rngs: Vec<Pcg64Mcg>,
    /// Each location's link to its parents.
    parent_links: Vec<ParentLink>,
    jobs: JobTable,
    clients: Clients,
    /// What the clients of each site request.
    generators: Vec<RequestGenerator>,
    load_schedule: Option<Expression>,
    feed: ControlFeed,
    faults: ActiveFaults,
    /// When each object was last purged.
    purges: AHashMap<u64, Micros>,
    /// When each write with an idempotency key ran first.
    keyed_writes: AHashMap<u64, Micros>,
    checker: InvariantChecker,
    recorder: Recorder,
    events_handled: u64,
}

/// The link that all fills of a location's caches share.
#[derive(Clone, Copy, Debug)]
struct ParentLink {
    /// When it has carried all that was given to it.
    free_at: Micros,
    /// Share of its bandwidth that is available, 0 to 1.
    capacity_share: f64,
}

impl Simulation {
    /// Runs to the end of the scenario. `progress` is called now and then with the share of simulated time
    /// that has passed.
    pub fn run(mut self, mut progress: impl FnMut(f64)) -> Record {
        let started = Instant::now();
        let end = micros(self.scenario.duration_seconds * 1000.0);
        while let Some((at, event)) = self.queue.pop() {
            if at > end {
                break;
            }
            self.now = at;
            self.events_handled += 1;
            if self.events_handled.is_multiple_of(PROGRESS_INTERVAL_EVENTS) {
                progress(at as f64 / end as f64);
            }
            self.handle(event);
        }
        self.now = end;
        self.checker.finish(end.saturating_sub(micros(DEADLINE_TOLERANCE_MS)));
        self.into_record(started.elapsed())
    }

    fn schedule(&mut self, at: Micros, event: Event) {
        self.queue.push(at, event);
    }

    fn schedule_after(&mut self, delay: Micros, event: Event) {
        self.queue.push(self.now + delay, event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::ClientArrival { gateway } => self.client_arrived(gateway),
            Event::ArrivalRedraw { gateway } => self.schedule_arrival(gateway),
            Event::ClientRetry { request } => self.send_client_attempt(request),
            Event::AnswerAtClient { request, attempt, answer } => {
                self.answer_at_client(request, attempt, answer);
            }
            Event::GatewayTimer { gateway, incarnation } => self.gateway_timer(gateway, incarnation),
            Event::GatewayRestart { gateway } => self.restart_gateway(gateway),
            Event::GatewayUp { gateway } => self.gateway_up(gateway),
            Event::AttemptAtMember { slot } => self.attempt_at_member(slot),
            Event::CancelAtMember { job } => self.cancel_at_member(job),
            Event::ServiceDone { member, epoch, job } => self.service_done(member, epoch, job),
            Event::FillAtSource { job } => self.fill_at_source(job),
            Event::FillDone { job, issued } => self.fill_done(job, issued),
            Event::ReplyAtGateway { gateway, incarnation, key, reply } => {
                self.reply_at_gateway(gateway, incarnation, key, &reply);
            }
            Event::ConnectionBroken { gateway, incarnation, key, sent } => {
                self.connection_broken(gateway, incarnation, key, sent);
            }
            Event::EndpointUpdate { gateway, incarnation, member } => {
                self.endpoint_update(gateway, incarnation, member);
            }
            Event::PurgeNotice { gateway, incarnation, object, purged_at } => {
                self.purge_notice(gateway, incarnation, object, purged_at);
            }
            Event::MemberObserved { member } => self.member_observed(member),
            Event::Purge { site } => self.purge_random_object(site),
            Event::FaultBegins { fault } => self.begin_fault(fault),
            Event::FaultEnds { fault } => self.end_fault(fault),
            Event::LinkPhase { fault, degraded } => self.set_link_phase(fault, degraded),
            Event::RecordPoint => self.record_point(),
        }
    }

    fn gateway(&self, index: u32) -> &GatewayNode {
        &self.gateways[index as usize]
    }

    fn gateway_mut(&mut self, index: u32) -> &mut GatewayNode {
        &mut self.gateways[index as usize]
    }

    fn member(&self, id: MemberId) -> &Member {
        &self.members[id as usize]
    }

    fn member_mut(&mut self, id: MemberId) -> &mut Member {
        &mut self.members[id as usize]
    }

    fn gateway_indices(&self) -> std::ops::Range<u32> {
        0..saturating_u32(self.gateways.len())
    }
}
