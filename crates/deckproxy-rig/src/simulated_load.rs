//! Clients in simulated time, and what serves them, around instances that shed load as one. What comes, is admitted and is
//! served is counted here, on the clients' and the servers' side.

use crate::simulated_fleet::SimulatedFleet;
use deckproxy_fleet::Millis;
use deckproxy_fleet::overload::{
    Class, RequestInfo, RequestOutcome, Settings, Ticket, Verdict, shed_controller,
};
use deckproxy_recovery::budget;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

/// Step of the simulation, ms.
const STEP_MS: Millis = 5.0;
/// The same in seconds.
const STEP_SECONDS: f64 = 0.005;
/// Seconds of capacity that servers may save up.
const SAVED_CAPACITY_SECONDS: f64 = 0.05;
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
/// Time that serving takes, ms.
const SERVED_MS: Millis = 20.0;
/// Time until a server that has no capacity rejects, ms.
const REJECTED_MS: Millis = 2.0;
/// Time until it fails instead, ms.
const FAILED_MS: Millis = 200.0;
/// Probability that a client comes back to the instance that rejected it, and not to any.
const SAME_INSTANCE_PROBABILITY: f64 = 0.5;

/// How clients take a rejection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryPolicy {
    /// They go to the next instance at once, and after a second rejection follow Retry-After.
    NextInstanceFirst,
    /// They go from instance to instance at once, until their time is over.
    Immediate,
    /// They follow Retry-After.
    RetryAfter,
}

/// The clients, and what can serve them.
#[derive(Clone, Copy, Debug)]
pub struct LoadSettings {
    /// Clients.
    pub clients: u64,
    /// Requests a second of all clients, retries not counted.
    pub rate: f64,
    /// Share of the requests that are for objects that caches hold.
    pub popular_share: f64,
    /// Share of the requests that are of the higher class.
    pub priority_share: f64,
    /// Requests a second that the origin can serve.
    pub origin_rate: f64,
    /// Requests a second that the caches can serve.
    pub cache_rate: f64,
    /// Share of the requests beyond that which fail late, and are not rejected.
    pub late_failure_share: f64,
    /// How long a client gives a request, ms.
    pub timeout: Millis,
    /// How clients take a rejection.
    pub retry_policy: RetryPolicy,
    /// Clients mark their retries.
    pub marks_retries: bool,
    /// Traffic of the first instance beside that of each other one.
    pub skew: f64,
}

impl Default for LoadSettings {
    fn default() -> Self {
        LoadSettings {
            clients: 600,
            rate: 300.0,
            popular_share: 0.3,
            priority_share: 0.1,
            origin_rate: 250.0,
            cache_rate: 2000.0,
            late_failure_share: 0.2,
            timeout: 1500.0,
            retry_policy: RetryPolicy::NextInstanceFirst,
            marks_retries: true,
            skew: 1.0,
        }
    }
}

/// How instances handle overload, unless a test says otherwise.
pub fn overload_settings() -> Settings {
    let class = |band, has_effect| Class { band, has_effect };
    Settings {
        fleet: "test".to_string(),
        classes: vec![class(0, false), class(1, true)],
        limits: shed_controller::Limits::default(),
        retry_budget: budget::Limits::default(),
        gives_retry_after: true,
        min_retry_after: 50.0,
        max_retry_after: 2000.0,
        remembered: 32_768,
        window: 250.0,
    }
}

/// An attempt that came to an instance.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Attempt {
    /// When it came, ms.
    pub at: Millis,
    /// The instance.
    pub instance: usize,
    /// The client.
    pub client: u64,
    /// Number of the request that it is an attempt of.
    pub request: u64,
    /// The class of the request: 0, or 1 for the higher one.
    pub class: usize,
    /// When the request was wanted, ms.
    pub requested_at: Millis,
    /// The object is one that caches hold.
    pub is_popular: bool,
    /// Attempts of the same request before it.
    pub earlier_attempts: u32,
    /// The instance admitted it.
    pub admitted: bool,
    /// It was served.
    pub served: bool,
    /// It came at the time that a Retry-After had named.
    pub after_retry_after: bool,
}

/// A request that a client wants.
#[derive(Clone, Copy, Debug)]
struct Request {
    client: u64,
    class: usize,
    object: u64,
    is_popular: bool,
    requested_at: Millis,
    /// Attempts so far.
    attempts: u32,
    /// The next attempt is made at the time that a Retry-After named.
    after_retry_after: bool,
}

impl Request {
    fn number(&self) -> u64 {
        self.object ^ self.client << 20 ^ (self.requested_at as u64) << 40
    }
}

/// An admitted attempt, until it is answered.
struct InFlight {
    ends_at: Millis,
    instance: usize,
    ticket: Ticket,
    outcome: RequestOutcome,
    request: Request,
}

/// Capacity that servers have saved up, requests.
#[derive(Default)]
struct Capacity {
    caches: f64,
    origin: f64,
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
    next_request: Millis,
    /// Retries by time, µs, and number.
    due: BinaryHeap<Reverse<(u64, u64)>>,
    /// Retries and their instances by number.
    retries: BTreeMap<u64, (Request, usize)>,
    last_retry: u64,
    /// Admitted attempts in the order in which they end.
    in_flight: VecDeque<InFlight>,
    capacity: Capacity,
}

impl SimulatedLoad {
    /// Clients around instances that hear each other.
    pub fn new(fleet: SimulatedFleet, settings: LoadSettings, seed: u64) -> Self {
        let next_request = fleet.now;
        SimulatedLoad {
            fleet,
            settings,
            attempts: Vec::new(),
            rng: Pcg64Mcg::seed_from_u64(seed ^ 0xc0_ded),
            next_request,
            due: BinaryHeap::new(),
            retries: BTreeMap::new(),
            last_retry: 0,
            in_flight: VecDeque::new(),
            capacity: Capacity::default(),
        }
    }

    /// Runs for a span, ms.
    pub fn run(&mut self, span: Millis) {
        let end = self.fleet.now + span;
        while self.fleet.now < end {
            self.fleet.run(STEP_MS);
            let now = self.fleet.now;
            self.refill_capacity();
            self.end_attempts(now);
            while self.next_request <= now {
                self.new_request(now);
            }
            self.send_due_retries(now);
        }
    }

    fn refill_capacity(&mut self) {
        let refill = |capacity: &mut f64, rate: f64| {
            *capacity = (*capacity + rate * STEP_SECONDS).min(rate * SAVED_CAPACITY_SECONDS);
        };
        refill(&mut self.capacity.caches, self.settings.cache_rate);
        refill(&mut self.capacity.origin, self.settings.origin_rate);
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
        let is_popular = self.rng.random::<f64>() < settings.popular_share;
        let has_priority = self.rng.random::<f64>() < settings.priority_share;
        let is_popular = is_popular && !has_priority;
        let object = if is_popular { self.rng.random_range(0..POPULAR_OBJECTS) } else { self.rng.random() };
        let client = self.rng.random_range(0..settings.clients);
        let request = Request {
            client,
            class: usize::from(has_priority),
            object,
            is_popular,
            requested_at: now,
            attempts: 0,
            after_retry_after: false,
        };
        let instances = self.fleet.count() as f64;
        let place = self.rng.random::<f64>() * (instances - 1.0 + settings.skew);
        let instance = (place - settings.skew + 1.0).max(0.0) as usize;
        self.attempt(now, request, instance);
    }

    fn send_due_retries(&mut self, now: Millis) {
        while self.due.peek().is_some_and(|due| due.0.0 as f64 / 1000.0 <= now) {
            let Some(Reverse((_, number))) = self.due.pop() else { break };
            if let Some((request, instance)) = self.retries.remove(&number) {
                self.attempt(now, request, instance);
            }
        }
    }

    /// Has a request attempted after a time, unless too little is left of its own then.
    fn schedule(&mut self, now: Millis, after: Millis, request: Request, instance: usize) {
        if now + after + LEAST_TIME_MS < request.requested_at + self.settings.timeout {
            self.last_retry += 1;
            self.due.push(Reverse((((now + after) * 1000.0) as u64, self.last_retry)));
            self.retries.insert(self.last_retry, (request, instance % self.fleet.count()));
        }
    }

    fn attempt(&mut self, now: Millis, request: Request, instance: usize) {
        let info = RequestInfo {
            client: request.client,
            class: request.class,
            object: request.object,
            time_left: request.requested_at + self.settings.timeout - now,
            size_kb: None,
            is_retry: request.attempts > 0 && self.settings.marks_retries,
        };
        let Some(fleet) = self.fleet.fleet_mut(instance) else {
            return self.schedule(now, UNREACHABLE_MS, request, instance + 1);
        };
        let Some(verdict) = fleet.request(now, info) else { return };
        let attempt = Attempt {
            at: now,
            instance,
            client: request.client,
            request: request.number(),
            class: request.class,
            requested_at: request.requested_at,
            is_popular: request.is_popular,
            earlier_attempts: request.attempts,
            admitted: true,
            served: false,
            after_retry_after: request.after_retry_after,
        };
        let request = Request { attempts: request.attempts + 1, after_retry_after: false, ..request };
        match verdict {
            Verdict::Admit(ticket) => self.serve(now, attempt, request, ticket),
            Verdict::Reject { retry_after } => {
                self.attempts.push(Attempt { admitted: false, ..attempt });
                self.retry_rejected(now, request, instance, retry_after);
            }
        }
    }

    /// Has an admitted attempt served, as far as there is capacity.
    fn serve(&mut self, now: Millis, attempt: Attempt, request: Request, ticket: Ticket) {
        let capacity = if attempt.is_popular { &mut self.capacity.caches } else { &mut self.capacity.origin };
        let outcome = if *capacity >= 1.0 {
            *capacity -= 1.0;
            RequestOutcome::Served
        } else if self.rng.random::<f64>() < self.settings.late_failure_share {
            RequestOutcome::Failed
        } else {
            RequestOutcome::Rejected
        };
        let duration = match outcome {
            RequestOutcome::Served => SERVED_MS,
            RequestOutcome::Rejected => REJECTED_MS,
            _ => FAILED_MS,
        };
        self.attempts.push(Attempt { served: outcome == RequestOutcome::Served, ..attempt });
        let ends_at = now + duration;
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

    /// Attempts from one time to another.
    pub fn within(&self, from: Millis, to: Millis) -> impl Iterator<Item = &Attempt> {
        self.attempts.iter().filter(move |attempt| attempt.at >= from && attempt.at < to)
    }

    /// What was counted from one time to another.
    pub fn count(&self, from: Millis, to: Millis) -> Rates {
        let mut rates = Rates::default();
        let each = 1000.0 / (to - from);
        let rate = |is_counted: bool| each * f64::from(u8::from(is_counted));
        for attempt in self.within(from, to) {
            rates.requests += rate(attempt.earlier_attempts == 0);
            rates.attempts += each;
            rates.admitted += rate(attempt.admitted);
            rates.served += rate(attempt.served);
            rates.admitted_retries += rate(attempt.admitted && attempt.earlier_attempts > 0);
            rates.returns += rate(attempt.after_retry_after);
            rates.served_returns += rate(attempt.after_retry_after && attempt.served);
        }
        rates
    }
}

/// Events a second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Rates {
    /// Requests, retries not counted.
    pub requests: f64,
    /// Attempts of them.
    pub attempts: f64,
    /// Attempts that were admitted.
    pub admitted: f64,
    /// Attempts that were served.
    pub served: f64,
    /// Retries that were admitted.
    pub admitted_retries: f64,
    /// Attempts at the time that a Retry-After had named.
    pub returns: f64,
    /// Those that were served.
    pub served_returns: f64,
}
