//! What distributes clients' requests over members: the deployed gateway, or one of the plain baselines,
//! which exist in the simulation alone. Both are state machines without I/O: the simulation calls them and
//! carries out their effects.

mod baseline;
mod gateway;
mod gateway_config;

use crate::load::{Class, ClientRequest};
use crate::members::{LoadReport, MemberId};
use crate::scenario::{BalancerKind, Scenario};
use crate::{Micros, micros, unix_ms};
use baseline::Baseline;
use deckproxy::protocol::feed::Lifecycle;
use deckproxy::protocol::upstream::Status;
use gateway::Gateway;

/// Number of a client's request in the simulation; the same for all its attempts.
pub type RequestId = u32;
/// A balancer's key of an attempt at a member.
pub type AttemptKey = u64;

/// What an attempt asks a member for.
#[derive(Clone, Copy, Debug)]
pub struct MemberRequest {
    /// The object that is read or written.
    pub object: u64,
    /// Size of the answer in KB.
    pub size_kb: f64,
    /// Class of the request.
    pub class: Class,
    /// Where a cache fills a miss from; none: it answers with a miss.
    pub source: Option<MemberId>,
    /// Whether a cache stores what it fills.
    pub store: bool,
    /// Age in milliseconds of the oldest copy that is accepted; 0: any.
    pub max_age_ms: f64,
    /// Whether the request may wait for a fill that is in flight.
    pub join_fill: bool,
    /// Number of the write, the same for its retries.
    pub write_id: u64,
}

impl MemberRequest {
    /// Whether a copy that was issued at a time is recent enough.
    pub fn accepts_copy(&self, issued: Micros, now: Micros) -> bool {
        self.max_age_ms <= 0.0 || now.saturating_sub(issued) <= micros(self.max_age_ms)
    }
}

/// An attempt of a client, as a balancer gets it.
#[derive(Clone, Copy, Debug)]
pub struct ClientAttempt {
    /// The client's request.
    pub id: RequestId,
    /// The client.
    pub client: u64,
    /// What it requests.
    pub request: ClientRequest,
    /// Milliseconds until the client stops waiting.
    pub timeout_ms: f64,
    /// Number of the write, the same for its retries.
    pub write_id: u64,
}

/// What a balancer wants done.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Send an attempt to a member.
    SendAttempt {
        /// Key of the attempt.
        key: AttemptKey,
        /// The request that it is for.
        request: RequestId,
        /// Where to.
        member: MemberId,
        /// What it asks for.
        member_request: MemberRequest,
    },
    /// Cancel an attempt.
    CancelAttempt {
        /// Its key.
        key: AttemptKey,
    },
    /// Check the health of a member.
    HealthCheck {
        /// Key under which it is answered.
        key: AttemptKey,
        /// The member.
        member: MemberId,
    },
    /// Answer a client.
    AnswerClient {
        /// The request.
        request: RequestId,
        /// The answer.
        answer: ClientAnswer,
        /// Whether admission control rejected it before the decision module saw it.
        by_admission: bool,
    },
}

/// The answer to a client's attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ClientAnswer {
    /// The request was served.
    Served,
    /// It was rejected.
    Rejected {
        /// When to retry, in milliseconds; 0: not said.
        retry_after_ms: f64,
    },
    /// It failed, after it may have run.
    Failed,
}

/// How a member ended an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MemberReply {
    /// Its status.
    pub status: Status,
    /// When the origin issued the copy, Unix milliseconds.
    pub issued_unix_ms: Option<f64>,
    /// The member's load.
    pub load: LoadReport,
}

/// An entry of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointEntry {
    /// The member.
    pub member: MemberId,
    /// Its name.
    pub name: Box<str>,
    /// Whether it is a cache.
    pub is_cache: bool,
    /// Whether it is an origin.
    pub is_origin: bool,
    /// Its state.
    pub lifecycle: Lifecycle,
    /// When it started, Unix milliseconds; none: before the run.
    pub started_unix_ms: Option<f64>,
}

/// What a balancer starts with.
#[derive(Clone, Copy, Debug)]
pub struct BalancerSetup<'a> {
    /// The run that it is part of.
    pub scenario: &'a Scenario,
    /// Its index among the gateways of its location.
    pub position: usize,
    /// Seed of its random numbers.
    pub seed: u64,
    /// The endpoint list that it knows.
    pub endpoints: &'a [EndpointEntry],
}

/// A balancer.
pub enum Balancer {
    /// The deployed gateway.
    Gateway(Box<Gateway>),
    /// A baseline.
    Baseline(Box<Baseline>),
}

impl Balancer {
    /// Starts a balancer of the scenario's kind.
    pub fn new(now: Micros, setup: &BalancerSetup) -> Self {
        match setup.scenario.balancer {
            BalancerKind::Gateway | BalancerKind::GatewayWithRecovery => {
                Balancer::Gateway(Box::new(Gateway::new(now, setup)))
            }
            kind => Balancer::Baseline(Box::new(Baseline::new(kind, setup.seed, setup.endpoints))),
        }
    }

    /// A client's attempt arrived, its first one or a retry.
    pub fn request(&mut self, now: Micros, attempt: &ClientAttempt) {
        match self {
            Balancer::Gateway(gateway) => gateway.request(now, attempt),
            Balancer::Baseline(baseline) => baseline.request(now, attempt),
        }
    }

    /// A member replied to an attempt or a health check.
    pub fn member_replied(&mut self, now: Micros, key: AttemptKey, reply: &MemberReply) {
        match self {
            Balancer::Gateway(gateway) => gateway.member_replied(now, key, reply),
            Balancer::Baseline(baseline) => baseline.attempt_ended(now, key, Some(reply.status)),
        }
    }

    /// The connection of an attempt broke, after the attempt was sent or before.
    pub fn connection_broken(&mut self, now: Micros, key: AttemptKey, sent: bool) {
        match self {
            Balancer::Gateway(gateway) => gateway.connection_broken(now, key, sent),
            Balancer::Baseline(baseline) => {
                let status = if sent { None } else { Some(Status::Rejected) };
                baseline.attempt_ended(now, key, status);
            }
        }
    }

    /// The control feed sent changed entries of the endpoint list.
    pub fn update_endpoints(&mut self, now: Micros, changed: &[EndpointEntry]) {
        match self {
            Balancer::Gateway(gateway) => gateway.update_endpoints(now, changed),
            Balancer::Baseline(baseline) => baseline.update_endpoints(changed),
        }
    }

    /// The control feed sent a purge of an object. Baselines do not purge.
    pub fn purge(&mut self, now: Micros, object: u64, purged_at: Micros) {
        if let Balancer::Gateway(gateway) = self {
            gateway.purge(now, object, purged_at);
        }
    }

    /// Does what is due.
    pub fn timer_expired(&mut self, now: Micros) {
        match self {
            Balancer::Gateway(gateway) => gateway.timer_expired(now),
            Balancer::Baseline(baseline) => baseline.timer_expired(now),
        }
    }

    /// When something is due next.
    pub fn next_due(&self) -> Option<Micros> {
        match self {
            Balancer::Gateway(gateway) => gateway.next_due(),
            Balancer::Baseline(baseline) => baseline.next_due(),
        }
    }

    /// Takes the next effect.
    pub fn next_effect(&mut self, now: Micros) -> Option<Effect> {
        match self {
            Balancer::Gateway(gateway) => gateway.next_effect(now),
            Balancer::Baseline(baseline) => baseline.next_effect(),
        }
    }

    /// Violations of its own checks that the balancer counted since its start.
    pub fn violations(&self) -> u64 {
        match self {
            Balancer::Gateway(gateway) => gateway.violations(),
            Balancer::Baseline(_) => 0,
        }
    }
}

/// The simulated time of a Unix time in milliseconds, rounded up; 0 for those before the run.
fn simulated_time(at_unix_ms: f64) -> Micros {
    ((at_unix_ms - unix_ms(0)).max(0.0) * 1000.0).ceil() as Micros
}
