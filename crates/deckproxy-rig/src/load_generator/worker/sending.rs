//! Sending: new requests and retries, and the connections that they go to.

use super::{AVOIDED_MS, ConnectionEnds, NEXT_INSTANCE_MS, Worker};
use crate::load_generator::client::{Connection, InFlight, PendingRequest};
use deckproxy_standins::client::fresh_name;
use deckproxy_standins::load_client::{RequestSpec, encode_request};
use deckproxy_standins::record::Fact;
use mio::{Interest, Token};
use rand::RngExt;

/// Requests in flight on one connection; the protocol allows 32.
const MAX_IN_FLIGHT: usize = 30;
/// With less time left than this no attempt is made, ms.
const LEAST_TIME_MS: f64 = 60.0;
/// A worker that is late by more than this does not catch up on what it has missed, ms.
const MAX_BACKLOG_MS: f64 = 1000.0;
/// Probability that a request goes to any instance first, and not to the client's own.
const AWAY_PROBABILITY: f64 = 0.05;

impl Worker {
    /// Sends the requests that are due, and gives the time of the next one.
    pub(super) fn send_due_requests(&mut self, now: f64, next_request: f64) -> f64 {
        let mut next_request = next_request.max(now - MAX_BACKLOG_MS);
        while next_request <= now {
            self.new_request(now);
            let gap = -(1.0 - self.rng.random::<f64>()).ln();
            next_request += gap * 1000.0 / (self.settings.rate.get() * self.share).max(0.1);
        }
        next_request
    }

    /// Sends the retries that are due.
    pub(super) fn send_due_retries(&mut self, now: f64) {
        while let Some((_, request)) = self.retries.pop(now) {
            self.attempt(now, request);
        }
    }

    /// Draws a request, and sends it.
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

    /// An instance drawn from all.
    pub(super) fn any_instance(&mut self) -> usize {
        self.rng.random_range(0..self.endpoints.len())
    }

    /// The request at the instance after its own.
    pub(super) fn next_instance(&self, request: PendingRequest) -> PendingRequest {
        let instance = (request.instance + 1) % self.endpoints.len();
        PendingRequest { instance, after_retry_after: false, ..request }
    }

    /// Has a request attempted at a time, unless too little is left of its own then.
    pub(super) fn schedule(&mut self, at: f64, request: PendingRequest) {
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

    /// Sends an attempt of a request, unless too little is left of its time.
    fn attempt(&mut self, now: f64, request: PendingRequest) {
        let request = self.at_available_instance(now, request);
        let left = request.deadline() - now;
        if left < LEAST_TIME_MS {
            return;
        }
        let ends = ConnectionEnds { client: request.client, instance: request.instance };
        let Some(connection) = self.connection(ends) else {
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
        let attempt = request.attempt(now, name.clone(), timeout_ms);
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
        self.flush(ends);
    }

    /// The connection of a client to an instance, opened where there is none.
    fn connection(&mut self, ends: ConnectionEnds) -> Option<&mut Connection> {
        let ConnectionEnds { client, instance } = ends;
        if !self.clients[client].connections.contains_key(&instance) {
            let mut stream = self.clients[client].connect(self.endpoints[instance].address).ok()?;
            let key = self.next_key;
            self.next_key += 1;
            let interest = Interest::READABLE | Interest::WRITABLE;
            self.poll.registry().register(&mut stream, Token(key), interest).ok()?;
            self.connections.insert(key, ends);
            self.clients[client].connections.insert(instance, Connection::new(stream, key));
        }
        self.open_connection(ends)
    }

    /// The connection of a client to an instance, if it is open.
    pub(super) fn open_connection(&mut self, ends: ConnectionEnds) -> Option<&mut Connection> {
        self.clients[ends.client].connections.get_mut(&ends.instance)
    }

    /// Writes what the socket takes; a connection that has ended is given up.
    pub(super) fn flush(&mut self, ends: ConnectionEnds) {
        let Some(connection) = self.open_connection(ends) else { return };
        if connection.flush().is_err() {
            self.disconnect(ends);
        }
    }
}
