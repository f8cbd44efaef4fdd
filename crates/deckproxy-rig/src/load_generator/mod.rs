//! An open-loop load generator: clients with an address of their own each send at times that no answer delays, many
//! requests at a time and at any instance, and retry by their retry policy. A request that must not run twice is not
//! retried once it may have run.

mod client;
mod worker;

use crate::endpoint::Endpoint;
use client::SimulatedClient;
use deckproxy_standins::load_client::RequestGenerator;
use deckproxy_standins::record::{Outcome, Record};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use worker::Worker;

/// Threads among which the clients are divided.
const WORKERS: usize = 4;

/// How clients take a rejection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RetryPolicy {
    /// They go to the next instance at once, and after a second rejection follow Retry-After.
    #[default]
    FollowRetryAfter,
    /// They go from instance to instance at once, until their time is over.
    Immediate,
}

/// An attempt, as its client saw it.
#[derive(Clone, Debug)]
pub struct ClientAttempt {
    /// Its name at members.
    pub name: String,
    /// Number of the request that it is an attempt of.
    pub request: u64,
    /// Attempts of the same request before it.
    pub earlier_attempts: u32,
    /// When it was sent, ms of the record.
    pub at: f64,
    /// When its request was wanted, ms of the record.
    pub requested_at: f64,
    /// How long the client waits for its answer, ms.
    pub timeout_ms: f64,
    /// The instance that it was sent to.
    pub instance: usize,
    /// The class of the request.
    pub class: &'static str,
    /// The object that it is for.
    pub object: u64,
    /// It was sent at the time that a Retry-After had named.
    pub after_retry_after: bool,
    /// Its answer; none: none came.
    pub answer: Option<AttemptAnswer>,
}

/// The answer to an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptAnswer {
    /// When it came, ms of the record.
    pub at: f64,
    /// What it was.
    pub outcome: Outcome,
}

impl ClientAttempt {
    /// Whether it was served.
    pub fn is_served(&self) -> bool {
        self.answer.is_some_and(|answer| matches!(answer.outcome, Outcome::Served(_) | Outcome::Unchanged))
    }

    /// Whether it was rejected.
    pub fn is_rejected(&self) -> bool {
        self.answer.is_some_and(|answer| matches!(answer.outcome, Outcome::Rejected(_)))
    }

    /// When the client may come back by the Retry-After of the answer, ms of the record.
    pub fn retry_after(&self) -> Option<f64> {
        match self.answer {
            Some(AttemptAnswer { at, outcome: Outcome::Rejected(Some(ms)) }) if ms > 0.0 => Some(at + ms),
            _ => None,
        }
    }
}

/// How many clients there are, what they request, and how they retry.
#[derive(Clone)]
pub struct LoadSettings {
    /// Clients.
    pub clients: usize,
    /// Requests a second of all clients, retries not counted; may be changed during the run.
    pub rate: Arc<Rate>,
    /// Seed of the traffic.
    pub seed: u64,
    /// What they request.
    pub requests: RequestGenerator,
    /// How they take a rejection.
    pub retry_policy: RetryPolicy,
    /// Clients of the first instance beside those of each other one.
    pub skew: f64,
}

/// A rate that one thread sets and others read.
#[derive(Debug, Default)]
pub struct Rate(AtomicU64);

impl Rate {
    /// A rate of so many a second.
    pub fn new(per_second: f64) -> Self {
        Rate(AtomicU64::new(per_second.to_bits()))
    }

    /// Changes it.
    pub fn set(&self, per_second: f64) {
        self.0.store(per_second.to_bits(), Ordering::SeqCst);
    }

    /// How many a second.
    pub fn get(&self) -> f64 {
        f64::from_bits(self.0.load(Ordering::SeqCst))
    }
}

/// The clients of a run.
pub struct LoadGenerator {
    running: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
    attempts: Arc<Mutex<Vec<ClientAttempt>>>,
}

impl LoadGenerator {
    /// Starts the clients.
    ///
    /// # Panics
    ///
    /// If the system has no event queue left.
    pub fn start(settings: &LoadSettings, endpoints: &[Endpoint], record: &Record) -> Self {
        let running = Arc::new(AtomicBool::new(true));
        let attempts: Arc<Mutex<Vec<ClientAttempt>>> = Arc::default();
        // A worker without clients would have nobody to send for.
        let threads = (0..WORKERS.min(settings.clients)).map(|number| {
            let own = (0..settings.clients).filter(|i| i % WORKERS == number);
            let clients = own.map(|i| SimulatedClient::new(i, settings, endpoints.len())).collect();
            let mut worker = Worker::new(number, settings, clients, endpoints, record);
            let (running, attempts) = (running.clone(), attempts.clone());
            thread::spawn(move || {
                worker.run(&running);
                attempts.lock().unwrap().append(&mut worker.finished);
            })
        });
        let threads = threads.collect();
        LoadGenerator { running, threads, attempts }
    }

    /// Ends the traffic, waits for the requests in flight, and gives all attempts in the order of time.
    ///
    /// # Panics
    /// Panics if a thread panicked while it held the lock.
    pub fn finish(self) -> Vec<ClientAttempt> {
        self.running.store(false, Ordering::SeqCst);
        for thread in self.threads {
            let _ = thread.join();
        }
        let mut attempts = std::mem::take(&mut *self.attempts.lock().unwrap());
        attempts.sort_by(|a, b| a.at.total_cmp(&b.at));
        attempts
    }
}
