//! Clients in simulated time, and what serves them, around instances that shed load as one. What comes, is admitted and is
//! served is counted here, on the clients' and the servers' side.

mod attempt;
mod rates;
mod servers;
mod settings;

pub use attempt::Attempt;
pub use rates::Rates;
pub use settings::{LoadSettings, RetryPolicy, overload_settings};

use crate::event_queue::EventQueue;
use crate::simulated_fleet::SimulatedFleet;
use attempt::{Request, Retry};
use deckproxy_fleet::Millis;
use deckproxy_fleet::overload::{RequestInfo, RequestOutcome, Ticket, Verdict};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use servers::Servers;
use std::collections::VecDeque;

/// Step of the simulation, ms.
const STEP_MS: Millis = 5.0;
/// The same in seconds.
const STEP_SECONDS: f64 = 0.005;
/// Less time than this is not enough for an answer, ms.
const LEAST_TIME_MS: Millis = 50.0;
/// Popular objects.
const POPULAR_OBJECTS: u64 = 50;
/// Time from one attempt to the next with [`RetryPolicy::Immediate`], ms.
const IMMEDIATE_RETRY_MS: Millis = 20.0;
/// Time until the next instance is tried after the first rejection, ms.
const NEXT_INSTANCE_MS: Millis = 5.0;
/// Time until the next instance is tried where one does not run, ms.
const UNREACHABLE_MS: Millis = 10.0;
/// Probability that a client comes back to the instance that rejected it, and not to any.
const SAME_INSTANCE_PROBABILITY: f64 = 0.5;
/// Keeps the load's random numbers apart from those of the fleet of the same seed.
const SEED_SALT: u64 = 0xc0_ded;

/// An admitted attempt, until it is answered.
struct InFlight {
    ends_at: Millis,
    instance: usize,
    ticket: Ticket,
    outcome: RequestOutcome,
    request: Request,
}

/// The clients of a simulated fleet.
pub struct SimulatedLoad {
    /// The instances.
    pub fleet: SimulatedFleet,
    /// The clients and servers; may be changed during the run.
    pub settings: LoadSettings,
    /// All attempts so far.
    pub attempts: Vec<Attempt>,
    rng: Pcg64Mcg,
    /// When the next request is wanted, ms.
    next_request: Millis,
    retries: EventQueue<Retry>,
    /// Admitted attempts in the order in which they end.
    in_flight: VecDeque<InFlight>,
    servers: Servers,
}

impl SimulatedLoad {
    /// Clients around instances that hear each other.
    pub fn new(fleet: SimulatedFleet, settings: LoadSettings, seed: u64) -> Self {
        let next_request = fleet.now;
        SimulatedLoad {
            fleet,
            settings,
            attempts: Vec::new(),
            rng: Pcg64Mcg::seed_from_u64(seed ^ SEED_SALT),
            next_request,
            retries: EventQueue::default(),
            in_flight: VecDeque::new(),
            servers: Servers::default(),
        }
    }

    /// Runs for a span, ms.
    pub fn run(&mut self, span: Millis) {
        let end = self.fleet.now + span;
        while self.fleet.now < end {
            self.fleet.run(STEP_MS);
            let now = self.fleet.now;
            self.servers.refill(&self.settings, STEP_SECONDS);
            self.end_attempts(now);
            while self.next_request <= now {
                self.new_request(now);
            }
            while let Some((_, retry)) = self.retries.pop(now) {
                self.attempt(now, retry.request, retry.instance);
            }
        }
    }

    fn end_attempts(&mut self, now: Millis) {
        while self.in_flight.front().is_some_and(|attempt| attempt.ends_at <= now) {
            let Some(ended) = self.in_flight.pop_front() else { break };
            let InFlight { instance, ticket, outcome, request, .. } = ended;
            let Some(fleet) = self.fleet.fleet_mut(instance) else { continue };
            let retry_after = fleet.request_ended(now, &ticket, outcome, 0.0);
            if outcome == RequestOutcome::Rejected {
                self.retry_rejected(now, request, instance, retry_after);
            }
        }
    }

    fn new_request(&mut self, now: Millis) {
        let settings = self.settings;
        self.next_request += -(1.0 - self.rng.random::<f64>()).ln() * 1000.0 / settings.rate;
        let request = self.draw_request(now);
        let instances = self.fleet.count() as f64;
        let place = self.rng.random::<f64>() * (instances - 1.0 + settings.skew);
        let instance = (place - settings.skew + 1.0).max(0.0) as usize;
        self.attempt(now, request, instance);
    }

    fn draw_request(&mut self, now: Millis) -> Request {
        let settings = self.settings;
        let is_popular = self.rng.random::<f64>() < settings.popular_share;
        let has_priority = self.rng.random::<f64>() < settings.priority_share;
        let is_popular = is_popular && !has_priority;
        let object = if is_popular { self.rng.random_range(0..POPULAR_OBJECTS) } else { self.rng.random() };
        let client = self.rng.random_range(0..settings.clients);
        Request {
            client,
            class: usize::from(has_priority),
            object,
            is_popular,
            requested_at: now,
            attempts: 0,
            after_retry_after: false,
        }
    }

    fn attempt(&mut self, now: Millis, request: Request, instance: usize) {
        let info = RequestInfo {
            client: request.client,
            class: request.class,
            object: request.object,
            time_left: request.time_left(now, self.settings.timeout),
            size_kb: None,
            is_retry: request.attempts > 0 && self.settings.marks_retries,
        };
        let Some(fleet) = self.fleet.fleet_mut(instance) else {
            return self.schedule(now, UNREACHABLE_MS, request, instance + 1);
        };
        let Some(verdict) = fleet.request(now, info) else { return };
        let attempt = request.attempt_at(now, instance);
        let request = Request { attempts: request.attempts + 1, after_retry_after: false, ..request };
        match verdict {
            Verdict::Admit(ticket) => self.serve(now, attempt, request, ticket),
            Verdict::Reject { retry_after } => {
                self.attempts.push(attempt);
                self.retry_rejected(now, request, instance, retry_after);
            }
        }
    }

    /// Has an admitted attempt served, as far as there is capacity.
    fn serve(&mut self, now: Millis, attempt: Attempt, request: Request, ticket: Ticket) {
        let outcome = self.servers.serve(attempt.is_popular, &self.settings, &mut self.rng);
        let served = outcome == RequestOutcome::Served;
        self.attempts.push(Attempt { admitted: true, served, ..attempt });
        let ends_at = now + servers::duration(outcome);
        let place = self.in_flight.partition_point(|other| other.ends_at <= ends_at);
        let instance = attempt.instance;
        self.in_flight.insert(place, InFlight { ends_at, instance, ticket, outcome, request });
    }

    fn retry_rejected(&mut self, now: Millis, request: Request, instance: usize, retry_after: Millis) {
        match self.settings.retry_policy {
            RetryPolicy::Immediate => self.schedule(now, IMMEDIATE_RETRY_MS, request, instance + 1),
            RetryPolicy::NextInstanceFirst if request.attempts == 1 => {
                self.schedule(now, NEXT_INSTANCE_MS, request, instance + 1);
            }
            RetryPolicy::NextInstanceFirst | RetryPolicy::RetryAfter => {
                let comes_back = self.rng.random_bool(SAME_INSTANCE_PROBABILITY);
                let instance =
                    if comes_back { instance } else { self.rng.random_range(0..self.fleet.count()) };
                self.schedule(now, retry_after, Request { after_retry_after: true, ..request }, instance);
            }
        }
    }

    /// Has a request attempted after a time, unless too little is left of its own then.
    fn schedule(&mut self, now: Millis, after: Millis, request: Request, instance: usize) {
        let at = now + after;
        if at + LEAST_TIME_MS < request.requested_at + self.settings.timeout {
            let instance = instance % self.fleet.count();
            self.retries.push(at, Retry { request, instance });
        }
    }
}
