//! Gateways: their effects, what reaches them, and their restarts.

use super::Simulation;
use super::clients::CLIENT_LATENCY_MS;
use super::event::Event;
use super::job::{Attempt, JobHandle, JobOwner};
use super::setup::random_purpose;
use crate::balancer::{
    AttemptKey, Balancer, BalancerSetup, ClientAnswer, Effect, MemberReply, MemberRequest, RequestId,
};
use crate::check::RequestKey;
use crate::members::MemberId;
use crate::{Micros, micros, random_stream, unix_ms};
use ahash::AHashMap;
use deckproxy::protocol::upstream::Status;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

/// From the kill of a gateway until it serves again, in milliseconds.
const RESTART_MS: f64 = 300.0;
/// From the notice of a purge until attempts must not return an older copy, in milliseconds.
const PURGE_GRACE_MS: f64 = 1000.0;

/// Bits of a random stream's index below the gateway's incarnation.
const INCARNATION_SHIFT: u32 = 32;

/// Where a gateway is.
#[derive(Clone, Copy, Debug)]
pub(super) struct GatewayPlace {
    pub(super) site: usize,
    /// The location, counted over all sites.
    pub(super) location: usize,
    /// Index among the gateways of the location.
    pub(super) position: usize,
}

/// A purge as a gateway knows it.
#[derive(Clone, Copy, Debug)]
pub(super) struct NotifiedPurge {
    pub(super) purged_at: Micros,
    pub(super) notified_at: Micros,
}

/// A gateway with what the simulation knows about it.
pub(super) struct GatewayNode {
    pub(super) balancer: Balancer,
    /// One more with each restart.
    pub(super) incarnation: u32,
    pub(super) up: bool,
    pub(super) place: GatewayPlace,
    /// When its next timer event is pending.
    timer_at: Option<Micros>,
    /// Random times of its clients' arrivals.
    pub(super) arrival_rng: Pcg64Mcg,
    /// Random choices of its clients.
    pub(super) client_rng: Pcg64Mcg,
    /// Purges that it was notified of, by object.
    pub(super) purges: AHashMap<u64, NotifiedPurge>,
    /// Members that it was notified to be gone, and when.
    pub(super) gone_members: AHashMap<MemberId, Micros>,
    /// Jobs of its attempts in flight.
    attempts: AHashMap<AttemptKey, JobHandle>,
}

impl GatewayNode {
    /// A gateway that is up.
    pub(super) fn new(
        balancer: Balancer,
        place: GatewayPlace,
        arrival_rng: Pcg64Mcg,
        client_rng: Pcg64Mcg,
    ) -> Self {
        GatewayNode {
            balancer,
            incarnation: 0,
            up: true,
            place,
            timer_at: None,
            arrival_rng,
            client_rng,
            purges: AHashMap::new(),
            gone_members: AHashMap::new(),
            attempts: AHashMap::new(),
        }
    }
}

impl Simulation {
    /// Whether an incarnation of a gateway serves.
    pub(super) fn serves(&self, gateway: u32, incarnation: u32) -> bool {
        let node = self.gateway(gateway);
        node.incarnation == incarnation && node.up
    }

    /// Carries out all effects of a gateway, and schedules its next timer.
    pub(super) fn apply_effects(&mut self, gateway: u32) {
        let now = self.now;
        while let Some(effect) = self.gateway_mut(gateway).balancer.next_effect(now) {
            match effect {
                Effect::SendAttempt { key, request, member, member_request } => {
                    self.send_attempt(gateway, key, request, member, member_request);
                }
                Effect::CancelAttempt { key } => self.cancel_attempt(gateway, key),
                Effect::HealthCheck { key, member } => self.check_health(gateway, key, member),
                Effect::AnswerClient { request, answer, by_admission } => {
                    self.recorder.current.admission_rejected += u64::from(by_admission);
                    self.answer_client(gateway, request, answer);
                }
            }
        }
        self.schedule_timer(gateway);
    }

    fn send_attempt(
        &mut self,
        gateway: u32,
        key: AttemptKey,
        request: RequestId,
        member: MemberId,
        member_request: MemberRequest,
    ) {
        let incarnation = self.gateway(gateway).incarnation;
        let request = RequestKey { gateway, incarnation, request: u64::from(request) };
        let job = self.create_job(JobOwner::Attempt(Attempt { request, key }), member, member_request);
        self.gateway_mut(gateway).attempts.insert(key, job);
        self.schedule_after(self.gateway_latency(), Event::AttemptAtMember { slot: job.slot });
    }

    fn cancel_attempt(&mut self, gateway: u32, key: AttemptKey) {
        if let Some(job) = self.gateway_mut(gateway).attempts.remove(&key) {
            self.schedule_after(self.gateway_latency(), Event::CancelAtMember { job });
        }
    }

    /// A hung member does not answer; a connection to one that is down cannot be opened.
    fn check_health(&mut self, gateway: u32, key: AttemptKey, member: MemberId) {
        let incarnation = self.gateway(gateway).incarnation;
        let round_trip = 2 * self.gateway_latency();
        let checked = self.member(member);
        if !checked.up {
            let broken = Event::ConnectionBroken { gateway, incarnation, key, sent: false };
            return self.schedule_after(round_trip, broken);
        }
        if checked.hung {
            return;
        }
        let load = checked.load_report(&self.scenario.members);
        let reply = MemberReply { status: Status::Health(true), issued_unix_ms: None, load };
        self.schedule_after(round_trip, Event::ReplyAtGateway { gateway, incarnation, key, reply });
    }

    fn answer_client(&mut self, gateway: u32, request: RequestId, answer: ClientAnswer) {
        let outcome = match answer {
            ClientAnswer::Served => "served",
            ClientAnswer::Rejected { .. } => {
                self.recorder.current.rejected += 1;
                "rejected"
            }
            ClientAnswer::Failed => {
                self.recorder.current.failed += 1;
                "failed"
            }
        };
        let incarnation = self.gateway(gateway).incarnation;
        let key = RequestKey { gateway, incarnation, request: u64::from(request) };
        self.checker.request_answered(self.now, key, outcome);
        let attempt = self.clients.attempts(request);
        let event = Event::AnswerAtClient { request, attempt, answer };
        self.schedule_after(micros(CLIENT_LATENCY_MS), event);
    }

    /// Schedules the next timer event, unless an earlier one is pending.
    fn schedule_timer(&mut self, gateway: u32) {
        let now = self.now;
        let node = self.gateway_mut(gateway);
        let Some(due) = node.balancer.next_due() else { return };
        let due = due.max(now + 1);
        if node.timer_at.is_none_or(|pending| due < pending) {
            node.timer_at = Some(due);
            let incarnation = node.incarnation;
            self.schedule(due, Event::GatewayTimer { gateway, incarnation });
        }
    }

    /// A timer event; void where an earlier one was scheduled after it.
    pub(super) fn gateway_timer(&mut self, gateway: u32, incarnation: u32) {
        let now = self.now;
        if !self.serves(gateway, incarnation) || self.gateway(gateway).timer_at != Some(now) {
            return;
        }
        let node = self.gateway_mut(gateway);
        node.timer_at = None;
        node.balancer.timer_expired(now);
        self.apply_effects(gateway);
    }

    /// A member's reply to an attempt or a health check arrives; void for an earlier incarnation.
    pub(super) fn reply_at_gateway(
        &mut self,
        gateway: u32,
        incarnation: u32,
        key: AttemptKey,
        reply: &MemberReply,
    ) {
        if !self.serves(gateway, incarnation) {
            return;
        }
        if let Some(job) = self.gateway_mut(gateway).attempts.remove(&key) {
            self.check_copy(gateway, job, reply);
        }
        let now = self.now;
        self.gateway_mut(gateway).balancer.member_replied(now, key, reply);
        self.apply_effects(gateway);
    }

    /// Checks that a copy is not older than a purge that the gateway knew long before it asked.
    fn check_copy(&mut self, gateway: u32, job: JobHandle, reply: &MemberReply) {
        let (Status::Ok, Some(issued_unix_ms), Some(job)) =
            (reply.status, reply.issued_unix_ms, self.jobs.get(job))
        else {
            return;
        };
        let Some(purge) = self.gateway(gateway).purges.get(&job.request.object) else { return };
        let is_older = issued_unix_ms < unix_ms(purge.purged_at);
        if is_older && job.sent_at > purge.notified_at + micros(PURGE_GRACE_MS) {
            self.checker.stale_copy(self.now);
        }
    }

    /// The connection of an attempt broke; void for an earlier incarnation.
    pub(super) fn connection_broken(&mut self, gateway: u32, incarnation: u32, key: AttemptKey, sent: bool) {
        if !self.serves(gateway, incarnation) {
            return;
        }
        let now = self.now;
        let node = self.gateway_mut(gateway);
        node.attempts.remove(&key);
        node.balancer.connection_broken(now, key, sent);
        self.apply_effects(gateway);
    }

    /// Kills a gateway with all that it knew, and starts a new incarnation of it.
    pub(super) fn restart_gateway(&mut self, gateway: u32) {
        if !self.gateway(gateway).up {
            return;
        }
        self.kill_gateway(gateway);
        let up_at = self.now + micros(RESTART_MS);
        let node = self.gateway(gateway);
        let (place, incarnation) = (node.place, node.incarnation);
        let endpoints = self.endpoints_of(place.site, place.location);
        let index = u64::from(gateway) | u64::from(incarnation) << INCARNATION_SHIFT;
        let seed: u64 = random_stream(self.scenario.seed, random_purpose::BALANCERS, index).random();
        let setup =
            BalancerSetup { scenario: &self.scenario, position: place.position, seed, endpoints: &endpoints };
        let balancer = Balancer::new(up_at, &setup);
        self.gateway_mut(gateway).balancer = balancer;
        self.schedule(up_at, Event::GatewayUp { gateway });
    }

    /// Ends an incarnation of a gateway: members cancel its attempts, and its clients lose their connections.
    fn kill_gateway(&mut self, gateway: u32) {
        let node = self.gateway_mut(gateway);
        let killed = node.incarnation;
        node.up = false;
        node.incarnation += 1;
        node.timer_at = None;
        node.gone_members.clear();
        let mut jobs: Vec<JobHandle> = std::mem::take(&mut node.attempts).into_values().collect();
        jobs.sort_unstable();
        for job in jobs {
            self.schedule_after(self.gateway_latency(), Event::CancelAtMember { job });
        }
        self.checker.gateway_killed(gateway, killed);
        self.disconnect_clients(gateway, killed);
    }

    /// A restarted gateway serves again.
    pub(super) fn gateway_up(&mut self, gateway: u32) {
        self.gateway_mut(gateway).up = true;
        self.apply_effects(gateway);
    }

    /// One-way latency between a gateway and a member.
    pub(super) fn gateway_latency(&self) -> Micros {
        micros(self.scenario.members.latency_ms[0])
    }
}
