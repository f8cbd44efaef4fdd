//! Clients: arrivals, attempts, answers and retries.

use super::event::Event;
use super::{DEADLINE_TOLERANCE_MS, Simulation};
use crate::balancer::{ClientAnswer, ClientAttempt, RequestId};
use crate::check::RequestKey;
use crate::load::{Class, ClientRequest};
use crate::scenario::RetryPolicy;
use crate::{Micros, micros, saturating_u32};
use ahash::AHashMap;
use rand::RngExt;

/// One-way latency from a client to its gateway, in milliseconds.
pub(super) const CLIENT_LATENCY_MS: f64 = 0.2;
/// Distinct clients of each location.
const CLIENTS_PER_LOCATION: u64 = 2000;
/// Less time than this until its timeout, and a client makes no further attempt.
const MIN_TIME_LEFT: Micros = 20_000;
/// Longest gap between arrivals that is drawn at once, in seconds, so that a changed rate soon has its
/// effect.
const MAX_ARRIVAL_GAP_SECONDS: f64 = 1.0;
/// Lowest factor of the request rate, so that a schedule of 0 is looked at again.
const MIN_LOAD_FACTOR: f64 = 0.001;
/// Wait of a client that retries immediately, in milliseconds.
const IMMEDIATE_RETRY_MS: f64 = 1.0;
/// First wait of the exponential backoff, in milliseconds.
const BACKOFF_BASE_MS: f64 = 200.0;
/// How often the backoff doubles at most.
const MAX_BACKOFF_DOUBLINGS: u32 = 5;

/// A client's request over all its attempts.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingRequest {
    request: ClientRequest,
    client: u64,
    location: usize,
    /// Gateway of the latest attempt, or where the client arrived.
    gateway: u32,
    /// Incarnation of the gateway that got the latest attempt.
    incarnation: u32,
    arrived_at: Micros,
    deadline: Micros,
    /// Attempts so far.
    attempts: u32,
    write_id: u64,
    /// The latest attempt is unanswered.
    in_flight: bool,
}

/// The requests that clients wait for.
#[derive(Debug, Default)]
pub(super) struct Clients {
    pending: AHashMap<RequestId, PendingRequest>,
    last_request: RequestId,
    last_write: u64,
}

impl Clients {
    /// Number of attempts so far of a request, 0 if nobody waits for it.
    pub(super) fn attempts(&self, request: RequestId) -> u32 {
        self.pending.get(&request).map_or(0, |pending| pending.attempts)
    }

    /// Requests whose attempt is unanswered at an incarnation of a gateway, in order.
    fn in_flight_at(&self, gateway: u32, incarnation: u32) -> Vec<RequestId> {
        let is_there = |pending: &PendingRequest| {
            pending.in_flight && pending.gateway == gateway && pending.incarnation == incarnation
        };
        let mut requests: Vec<RequestId> =
            self.pending.iter().filter(|(_, pending)| is_there(pending)).map(|(id, _)| *id).collect();
        requests.sort_unstable();
        requests
    }
}

impl Simulation {
    /// Draws the time of the next arrival at a gateway.
    pub(super) fn schedule_arrival(&mut self, gateway: u32) {
        let seconds = self.now as f64 / 1e6;
        let factor = self.load_schedule.as_ref().map_or(1.0, |schedule| schedule.evaluate(seconds));
        let factor = if factor.is_finite() { factor.max(MIN_LOAD_FACTOR) } else { 1.0 };
        let rate = self.scenario.load.requests_per_second * self.faults.load_factor * factor
            / self.gateways.len() as f64;
        let gap = -(1.0 - self.gateway_mut(gateway).arrival_rng.random::<f64>()).ln() / rate;
        // Exponential gaps have no memory, so one that is cut off continues as a new one.
        let event = if gap <= MAX_ARRIVAL_GAP_SECONDS {
            Event::ClientArrival { gateway }
        } else {
            Event::ArrivalRedraw { gateway }
        };
        self.schedule_after(micros(gap.min(MAX_ARRIVAL_GAP_SECONDS) * 1000.0).max(1), event);
    }

    /// A client arrives with a new request.
    pub(super) fn client_arrived(&mut self, gateway: u32) {
        self.schedule_arrival(gateway);
        let seconds = self.now as f64 / 1e6;
        let node = &mut self.gateways[gateway as usize];
        let (site, location) = (node.place.site, node.place.location);
        let request = self.generators[site].draw(&mut node.client_rng, seconds, self.faults.hot_share);
        let client_index = node.client_rng.random_range(0..CLIENTS_PER_LOCATION);
        self.clients.last_request = self.clients.last_request.wrapping_add(1);
        self.clients.last_write += 1;
        let pending = PendingRequest {
            request,
            client: location as u64 * CLIENTS_PER_LOCATION + client_index,
            location,
            gateway,
            incarnation: 0,
            arrived_at: self.now,
            deadline: self.now + micros(self.scenario.load.client_timeout_ms),
            attempts: 0,
            write_id: self.clients.last_write,
            in_flight: false,
        };
        let id = self.clients.last_request;
        self.clients.pending.insert(id, pending);
        self.recorder.current.requests += 1;
        self.send_client_attempt(id);
    }

    /// A client sends an attempt: the first one to its own gateway, a retry to any gateway of its location
    /// that is up.
    pub(super) fn send_client_attempt(&mut self, id: RequestId) {
        let Some(pending) = self.clients.pending.get(&id).copied() else { return };
        let gateways_up = self.gateways_up_at(pending.location);
        if gateways_up.is_empty() {
            // Connections are refused.
            return self.retry_or_abandon(id, 0.0);
        }
        let time_left = pending.deadline.saturating_sub(self.now);
        if time_left < MIN_TIME_LEFT {
            return self.abandon(id);
        }
        let gateway = self.choose_gateway(&pending, &gateways_up);
        let incarnation = self.gateway(gateway).incarnation;
        if let Some(pending) = self.clients.pending.get_mut(&id) {
            pending.gateway = gateway;
            pending.incarnation = incarnation;
            pending.in_flight = true;
            pending.attempts += 1;
        }
        self.recorder.current.client_attempts += 1;
        let key = RequestKey { gateway, incarnation, request: u64::from(id) };
        let answer_by = pending.deadline + micros(DEADLINE_TOLERANCE_MS);
        self.checker.request_received(self.now, key, answer_by);
        let attempt = ClientAttempt {
            id,
            client: pending.client,
            request: pending.request,
            timeout_ms: time_left as f64 / 1000.0,
            write_id: pending.write_id,
        };
        let now = self.now;
        self.gateway_mut(gateway).balancer.request(now, &attempt);
        self.apply_effects(gateway);
    }

    fn gateways_up_at(&self, location: usize) -> Vec<u32> {
        let first = location * self.scenario.gateways;
        let all = (first..first + self.scenario.gateways).map(saturating_u32);
        all.filter(|gateway| self.gateway(*gateway).up).collect()
    }

    fn choose_gateway(&mut self, pending: &PendingRequest, gateways_up: &[u32]) -> u32 {
        if pending.attempts == 0 && gateways_up.contains(&pending.gateway) {
            return pending.gateway;
        }
        let rng = &mut self.gateway_mut(pending.gateway).client_rng;
        gateways_up[rng.random_range(0..gateways_up.len())]
    }

    /// An answer reaches the client; it is void when a later attempt was made, as after the gateway was
    /// killed.
    pub(super) fn answer_at_client(&mut self, id: RequestId, attempt: u32, answer: ClientAnswer) {
        let Some(pending) = self.clients.pending.get(&id) else { return };
        if !pending.in_flight || pending.attempts != attempt {
            return;
        }
        let (arrived_at, class) = (pending.arrived_at, pending.request.class);
        match answer {
            ClientAnswer::Served => {
                self.recorder.served(self.now - arrived_at);
                self.clients.pending.remove(&id);
            }
            ClientAnswer::Rejected { retry_after_ms } => self.retry_or_abandon(id, retry_after_ms),
            // What failed may have run, so that only reads are retried.
            ClientAnswer::Failed if class == Class::Read => self.retry_or_abandon(id, 0.0),
            ClientAnswer::Failed => self.abandon(id),
        }
    }

    /// Clients lose their connections to an incarnation of a gateway. Unkeyed writes may have run and are
    /// not retried.
    pub(super) fn disconnect_clients(&mut self, gateway: u32, incarnation: u32) {
        for id in self.clients.in_flight_at(gateway, incarnation) {
            match self.clients.pending[&id].request.class {
                Class::UnkeyedWrite => self.abandon(id),
                Class::Read | Class::KeyedWrite => self.retry_or_abandon(id, 0.0),
            }
        }
    }

    /// Schedules a client's retry, if it makes one before its timeout. `retry_after_ms`: as it was advised,
    /// or 0.
    fn retry_or_abandon(&mut self, id: RequestId, retry_after_ms: f64) {
        let Some(pending) = self.clients.pending.get_mut(&id) else { return };
        pending.in_flight = false;
        let (attempts, deadline, gateway) = (pending.attempts.max(1), pending.deadline, pending.gateway);
        let wait_ms = match self.scenario.load.retry {
            RetryPolicy::Never => return self.abandon(id),
            RetryPolicy::Immediate => IMMEDIATE_RETRY_MS,
            RetryPolicy::Advised if retry_after_ms > 0.0 => retry_after_ms,
            RetryPolicy::Advised => self.backoff_ms(gateway, attempts),
        };
        let retry_at = self.now + micros(wait_ms + 2.0 * CLIENT_LATENCY_MS);
        if attempts >= self.scenario.load.max_attempts || retry_at + MIN_TIME_LEFT > deadline {
            return self.abandon(id);
        }
        self.schedule(retry_at, Event::ClientRetry { request: id });
    }

    /// Exponential backoff after a number of attempts, between half and all of its nominal wait.
    fn backoff_ms(&mut self, gateway: u32, attempts: u32) -> f64 {
        let doublings = (attempts - 1).min(MAX_BACKOFF_DOUBLINGS);
        let nominal = BACKOFF_BASE_MS * f64::from(1u32 << doublings);
        nominal * (0.5 + 0.5 * self.gateway_mut(gateway).client_rng.random::<f64>())
    }

    fn abandon(&mut self, id: RequestId) {
        if self.clients.pending.remove(&id).is_some() {
            self.recorder.current.abandoned += 1;
        }
    }
}
