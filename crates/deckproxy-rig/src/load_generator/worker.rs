//! A thread of the load generator: it sends for some of the clients, and receives their answers.

use super::client::{Answer, Connection, InFlight, PendingRequest, SimulatedClient};
use super::{AttemptAnswer, ClientAttempt, LoadSettings, RetryPolicy};
use crate::client_population::Endpoint;
use crate::event_queue::EventQueue;
use deckproxy_standins::client::fresh_name;
use deckproxy_standins::load_client::{RequestSpec, encode_request};
use deckproxy_standins::record::{Fact, Outcome, Record};
use mio::{Events, Interest, Poll, Token};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

/// Requests in flight on one connection; the protocol allows 32.
const MAX_IN_FLIGHT: usize = 30;
/// How long past its time an answer is waited for, ms.
const LATE_ANSWER_WAIT_MS: f64 = 600.0;
/// A request sent so short a time before its connection was closed may have crossed the close, ms.
const CLOSE_RACE_MS: f64 = 50.0;
/// An instance that ended so short a time before a request counts as absent, ms.
const ABSENCE_SLACK_MS: f64 = 5.0;
/// With less time left than this no attempt is made, ms.
const LEAST_TIME_MS: f64 = 60.0;
/// An instance that did not answer is avoided for so long, ms.
const AVOIDED_MS: f64 = 1500.0;
/// Time until a client tries the next instance, ms; with [`RetryPolicy::Immediate`] after a rejection.
const IMMEDIATE_RETRY_MS: f64 = 20.0;
/// The same after a failure to connect, a lost connection, and the first rejection otherwise, ms.
const NEXT_INSTANCE_MS: f64 = 5.0;
/// A worker that is late by more than this does not catch up on what it has missed, ms.
const MAX_BACKLOG_MS: f64 = 1000.0;
/// Time after the traffic's end in which answers are waited for, ms.
const DRAIN_MS: f64 = 2600.0;
/// Time after the last answer in which a second one would be seen.
const LINGER: Duration = Duration::from_millis(30);
/// Time between two searches for overdue answers, ms.
const OVERDUE_INTERVAL_MS: f64 = 50.0;
/// Longest wait for events of the sockets.
const POLL_INTERVAL: Duration = Duration::from_millis(1);
/// Probability that a request goes to any instance first, and not to the client's own.
const AWAY_PROBABILITY: f64 = 0.05;
/// Probability that a client comes back to the instance that named a Retry-After, and not to any.
const SAME_INSTANCE_PROBABILITY: f64 = 0.5;

pub(super) struct Worker {
    settings: LoadSettings,
    /// Its share of all clients.
    share: f64,
    clients: Vec<SimulatedClient>,
    endpoints: Vec<Endpoint>,
    record: Record,
    poll: Poll,
    /// Client and instance of a connection, by its key.
    keys: HashMap<usize, (usize, usize)>,
    next_key: usize,
    last_request: u64,
    retries: EventQueue<PendingRequest>,
    /// Attempts that have ended.
    pub(super) finished: Vec<ClientAttempt>,
    rng: Pcg64Mcg,
}

impl Worker {
    pub(super) fn new(
        number: usize,
        settings: &LoadSettings,
        clients: Vec<SimulatedClient>,
        endpoints: &[Endpoint],
        record: &Record,
    ) -> Self {
        let seed = settings.seed ^ (number as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        Worker {
            settings: settings.clone(),
            share: clients.len() as f64 / settings.clients.max(1) as f64,
            clients,
            endpoints: endpoints.to_vec(),
            record: record.clone(),
            poll: Poll::new().expect("the system has an event queue"),
            keys: HashMap::new(),
            next_key: 0,
            last_request: (number as u64) << 48,
            retries: EventQueue::default(),
            finished: Vec::new(),
            rng: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    pub(super) fn run(&mut self, running: &AtomicBool) {
        let mut events = Events::with_capacity(256);
        let mut next_request = self.record.now();
        let mut drained_by = f64::MAX;
        let mut looked_for_overdue = 0.0;
        loop {
            let now = self.record.now();
            if running.load(Ordering::SeqCst) {
                next_request = self.send_due_requests(now, next_request);
            } else {
                drained_by = drained_by.min(now + DRAIN_MS);
                self.retries.clear();
                if !self.has_in_flight() || now > drained_by {
                    return self.close(&mut events);
                }
            }
            self.send_due_retries(now);
            if now - looked_for_overdue > OVERDUE_INTERVAL_MS {
                looked_for_overdue = now;
                self.drop_overdue(now);
            }
            self.poll(&mut events, POLL_INTERVAL);
        }
    }

    /// Sends the requests that are due, and gives the time of the next one.
    fn send_due_requests(&mut self, now: f64, next_request: f64) -> f64 {
        let mut next_request = next_request.max(now - MAX_BACKLOG_MS);
        while next_request <= now {
            self.new_request(now);
            let gap = -(1.0 - self.rng.random::<f64>()).ln();
            next_request += gap * 1000.0 / (self.settings.rate.get() * self.share).max(0.1);
        }
        next_request
    }

    fn send_due_retries(&mut self, now: f64) {
        while let Some((_, request)) = self.retries.pop(now) {
            self.attempt(now, request);
        }
    }

    fn has_in_flight(&self) -> bool {
        let mut connections = self.clients.iter().flat_map(|client| client.connections.values());
        connections.any(|connection| !connection.in_flight.is_empty())
    }

    fn close(&mut self, events: &mut Events) {
        thread::sleep(LINGER);
        self.poll(events, Duration::ZERO);
        let open: Vec<(usize, usize)> = self.keys.values().copied().collect();
        for (client, instance) in open {
            self.disconnect(client, instance);
        }
    }

    fn new_request(&mut self, now: f64) {
        let spec = (self.settings.requests)(&mut self.rng);
        let client = self.rng.random_range(0..self.clients.len());
        let is_away = self.rng.random_bool(AWAY_PROBABILITY);
        let instance = if is_away { self.any_instance() } else { self.clients[client].home };
        self.last_request += 1;
        let request = PendingRequest {
            client,
            spec,
            number: self.last_request,
            requested_at: now,
            attempts: 0,
            instance,
            after_retry_after: false,
        };
        self.attempt(now, request);
    }

    fn any_instance(&mut self) -> usize {
        self.rng.random_range(0..self.endpoints.len())
    }

    fn next_instance(&self, request: PendingRequest) -> PendingRequest {
        let instance = (request.instance + 1) % self.endpoints.len();
        PendingRequest { instance, after_retry_after: false, ..request }
    }

    /// Has a request attempted at a time, unless too little is left of its own then.
    fn schedule(&mut self, at: f64, request: PendingRequest) {
        if at + LEAST_TIME_MS < request.deadline() {
            self.retries.push(at, request);
        }
    }

    /// The request at the first instance from its own on that its client does not avoid.
    fn at_available_instance(&self, now: f64, mut request: PendingRequest) -> PendingRequest {
        let avoided = &self.clients[request.client].avoided_until;
        for _ in 0..self.endpoints.len() {
            if avoided.get(&request.instance).is_none_or(|until| *until < now) {
                break;
            }
            request.instance = (request.instance + 1) % self.endpoints.len();
        }
        request
    }

    fn attempt(&mut self, now: f64, request: PendingRequest) {
        let request = self.at_available_instance(now, request);
        let left = request.deadline() - now;
        if left < LEAST_TIME_MS {
            return;
        }
        let Some(connection) = self.connection(request.client, request.instance) else {
            self.clients[request.client].avoided_until.insert(request.instance, now + AVOIDED_MS);
            return self.schedule(now + NEXT_INSTANCE_MS, self.next_instance(request));
        };
        if connection.in_flight.len() >= MAX_IN_FLIGHT {
            return;
        }
        let (id, name) = (connection.take_id(), fresh_name());
        let spec = RequestSpec { timeout_ms: left as u32, ..request.spec };
        connection.write_buffer.extend(encode_request(id, &name, &spec, request.attempts > 0));
        let timeout_ms = f64::from(spec.timeout_ms);
        let attempt = ClientAttempt {
            name: name.clone(),
            request: request.number,
            earlier_attempts: request.attempts,
            at: now,
            requested_at: request.requested_at,
            timeout_ms,
            instance: request.instance,
            class: spec.class,
            object: spec.object,
            after_retry_after: request.after_retry_after,
            answer: None,
        };
        let attempted = PendingRequest { attempts: request.attempts + 1, ..request };
        connection.in_flight.insert(id, InFlight { request: attempted, attempt });
        self.record.note(Fact::RequestSent {
            name,
            site: 0,
            home_site: 0,
            class: spec.class,
            object: spec.object,
            group: spec.group,
            timeout_ms,
        });
        self.flush(request.client, request.instance);
    }

    /// The connection of a client to an instance, opened where there is none.
    fn connection(&mut self, client: usize, instance: usize) -> Option<&mut Connection> {
        if !self.clients[client].connections.contains_key(&instance) {
            let mut stream = self.clients[client].connect(self.endpoints[instance].address).ok()?;
            let key = self.next_key;
            self.next_key += 1;
            let interest = Interest::READABLE | Interest::WRITABLE;
            self.poll.registry().register(&mut stream, Token(key), interest).ok()?;
            self.keys.insert(key, (client, instance));
            self.clients[client].connections.insert(instance, Connection::new(stream, key));
        }
        self.clients[client].connections.get_mut(&instance)
    }

    fn poll(&mut self, events: &mut Events, timeout: Duration) {
        // Where it is interrupted, the next turn looks again.
        let _ = self.poll.poll(events, Some(timeout));
        for event in events.iter() {
            let Some((client, instance)) = self.keys.get(&event.token().0).copied() else { continue };
            if event.is_writable() {
                self.flush(client, instance);
            }
            if event.is_readable() {
                self.receive(client, instance);
            }
        }
    }

    fn flush(&mut self, client: usize, instance: usize) {
        let Some(connection) = self.clients[client].connections.get_mut(&instance) else { return };
        if connection.flush().is_err() {
            self.disconnect(client, instance);
        }
    }

    fn receive(&mut self, client: usize, instance: usize) {
        let Some(connection) = self.clients[client].connections.get_mut(&instance) else { return };
        let received = connection.receive();
        let mut first_answers = Vec::new();
        for answer in received.answers {
            match answer {
                Answer::First(in_flight, outcome) => first_answers.push((in_flight, outcome)),
                Answer::Repeated(name, outcome) => self.record.note(Fact::Answered { name, outcome }),
            }
        }
        for (in_flight, outcome) in first_answers {
            self.finish(in_flight, outcome);
        }
        if received.has_ended {
            self.disconnect(client, instance);
        }
    }

    /// Ends an attempt that was answered, and schedules a retry where it was rejected.
    fn finish(&mut self, in_flight: InFlight, outcome: Outcome) {
        let now = self.record.now();
        let InFlight { request, mut attempt } = in_flight;
        let name = attempt.name.clone();
        let is_late = now > attempt.at + attempt.timeout_ms;
        // An answer that is late because the instance was stopped meanwhile is excused.
        if is_late && self.endpoints[attempt.instance].absences.overlap(attempt.at, now) {
            self.record.note(Fact::Withdrawn { name });
        } else {
            self.record.note(Fact::Answered { name, outcome });
        }
        attempt.answer = Some(AttemptAnswer { at: now, outcome });
        self.finished.push(attempt);
        if let Outcome::Rejected(retry_after_ms) = outcome {
            self.retry_rejected(now, request, retry_after_ms.unwrap_or(0.0));
        }
    }

    fn retry_rejected(&mut self, now: f64, request: PendingRequest, retry_after_ms: f64) {
        match self.settings.retry_policy {
            RetryPolicy::Immediate => {
                self.schedule(now + IMMEDIATE_RETRY_MS, self.next_instance(request));
            }
            RetryPolicy::FollowRetryAfter if request.attempts == 1 => {
                self.schedule(now + NEXT_INSTANCE_MS, self.next_instance(request));
            }
            RetryPolicy::FollowRetryAfter => {
                let any = self.any_instance();
                let comes_back = self.rng.random_bool(SAME_INSTANCE_PROBABILITY);
                let instance = if comes_back { request.instance } else { any };
                let after_retry_after = retry_after_ms > 0.0;
                let retry = PendingRequest { instance, after_retry_after, ..request };
                self.schedule(now + retry_after_ms, retry);
            }
        }
    }

    /// Gives up connections with overdue answers.
    fn drop_overdue(&mut self, now: f64) {
        let is_overdue = |in_flight: &InFlight| {
            now > in_flight.attempt.at + in_flight.attempt.timeout_ms + LATE_ANSWER_WAIT_MS
        };
        let mut overdue = Vec::new();
        for (number, client) in self.clients.iter().enumerate() {
            for (instance, connection) in &client.connections {
                if connection.in_flight.values().any(is_overdue) {
                    overdue.push((number, *instance));
                }
            }
        }
        for (client, instance) in overdue {
            self.disconnect(client, instance);
        }
    }

    /// Ends a connection. Its attempts are excused where the instance could not answer, or they crossed the close; those
    /// that may run twice are retried elsewhere.
    fn disconnect(&mut self, client: usize, instance: usize) {
        let Some(mut connection) = self.clients[client].connections.remove(&instance) else { return };
        let _ = self.poll.registry().deregister(&mut connection.stream);
        self.keys.remove(&connection.key);
        let now = self.record.now();
        if !connection.in_flight.is_empty() {
            self.clients[client].avoided_until.insert(instance, now + AVOIDED_MS);
        }
        for (_, InFlight { request, attempt }) in connection.in_flight {
            let was_absent = self.endpoints[instance].absences.overlap(attempt.at - ABSENCE_SLACK_MS, now);
            let is_excused = was_absent || now - attempt.at < CLOSE_RACE_MS;
            let name = attempt.name.clone();
            self.record.note(if is_excused {
                Fact::Withdrawn { name }
            } else {
                Fact::ConnectionLost { name }
            });
            self.finished.push(attempt);
            if request.spec.class == "page" {
                self.schedule(now + NEXT_INSTANCE_MS, self.next_instance(request));
            }
        }
    }
}
