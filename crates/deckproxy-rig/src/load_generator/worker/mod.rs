//! A thread of the load generator: it sends for some of the clients, and receives their answers.

mod receiving;
mod sending;

use super::client::{PendingRequest, SimulatedClient};
use super::{ClientAttempt, LoadSettings};
use crate::endpoint::Endpoint;
use crate::event_queue::EventQueue;
use deckproxy_standins::record::Record;
use mio::{Events, Poll};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

/// An instance that did not answer is avoided for so long, ms.
const AVOIDED_MS: f64 = 1500.0;
/// Time until a client tries the next instance after a failure to connect, a lost connection, or the first rejection with
/// [`RetryPolicy::FollowRetryAfter`](super::RetryPolicy::FollowRetryAfter), ms.
const NEXT_INSTANCE_MS: f64 = 5.0;
/// Time after the traffic's end in which answers are waited for, ms.
const DRAIN_MS: f64 = 2600.0;
/// Time after the last answer in which a second one would be seen.
const LINGER: Duration = Duration::from_millis(30);
/// Time between two searches for overdue answers, ms.
const OVERDUE_INTERVAL_MS: f64 = 50.0;
/// Longest wait for events of the sockets.
const POLL_INTERVAL: Duration = Duration::from_millis(1);

/// Events of the sockets that are taken at a time.
const EVENTS_AT_A_TIME: usize = 256;
/// Bits of a request's number below the number of its worker.
const WORKER_SHIFT: u32 = 48;

/// The client and the instance that a connection joins.
#[derive(Clone, Copy)]
struct ConnectionEnds {
    client: usize,
    instance: usize,
}

/// A thread's clients, their connections and the requests in flight.
pub(super) struct Worker {
    settings: LoadSettings,
    /// Its share of all clients.
    share: f64,
    clients: Vec<SimulatedClient>,
    endpoints: Vec<Endpoint>,
    record: Record,
    poll: Poll,
    /// Open connections by their keys at the event queue.
    connections: HashMap<usize, ConnectionEnds>,
    next_key: usize,
    /// Number of the last request; workers count in ranges of their own.
    last_request: u64,
    retries: EventQueue<PendingRequest>,
    /// Attempts that have ended.
    pub(super) finished: Vec<ClientAttempt>,
    rng: Pcg64Mcg,
}

impl Worker {
    /// The worker of a number, with its clients.
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
            connections: HashMap::new(),
            next_key: 0,
            last_request: (number as u64) << WORKER_SHIFT,
            retries: EventQueue::default(),
            finished: Vec::new(),
            rng: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Sends until the traffic ends, and then waits for the answers.
    pub(super) fn run(&mut self, running: &AtomicBool) {
        let mut events = Events::with_capacity(EVENTS_AT_A_TIME);
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

    fn has_in_flight(&self) -> bool {
        let mut connections = self.clients.iter().flat_map(|client| client.connections.values());
        connections.any(|connection| !connection.in_flight.is_empty())
    }

    /// Closes all connections, once a second answer would have been seen.
    fn close(&mut self, events: &mut Events) {
        thread::sleep(LINGER);
        self.poll(events, Duration::ZERO);
        let open: Vec<ConnectionEnds> = self.connections.values().copied().collect();
        for ends in open {
            self.disconnect(ends);
        }
    }
}
