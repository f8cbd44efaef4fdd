//! Clients that come to any instance, one request at a time each, and go to the next instance after a rejection, a death or
//! a silence while there is time left. A request that must not run twice is not retried once it may have run.

mod client;
mod connection;
mod counts;

pub use counts::{Counts, InstanceCounts};

use crate::endpoint::Endpoint;
use client::Client;
use deckproxy_standins::load_client::RequestGenerator;
use deckproxy_standins::record::Record;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};

/// The clients of a run, a thread each.
pub struct ClientPopulation {
    running: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
    /// What they counted.
    pub counts: Arc<Counts>,
}

/// How many clients there are, and what they request.
#[derive(Clone)]
pub struct PopulationSettings {
    /// Clients.
    pub clients: usize,
    /// Requests a second of all clients, retries not counted.
    pub rate: f64,
    /// Seed of the traffic.
    pub seed: u64,
    /// What they request.
    pub requests: RequestGenerator,
}

impl ClientPopulation {
    /// Starts them.
    pub fn start(settings: &PopulationSettings, endpoints: &[Endpoint], record: &Record) -> Self {
        let running = Arc::new(AtomicBool::new(true));
        let counts = Arc::new(Counts::default());
        let threads = (0..settings.clients).map(|i| {
            let seed = settings.seed ^ (i as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
            let mut client = Client::new(endpoints, record, &counts, i % endpoints.len(), seed);
            let (settings, running) = (settings.clone(), running.clone());
            thread::spawn(move || client.run(&settings, &running))
        });
        let threads = threads.collect();
        ClientPopulation { running, threads, counts }
    }

    /// Ends the traffic, and waits for the requests in flight.
    pub fn finish(self) -> Arc<Counts> {
        self.running.store(false, Ordering::SeqCst);
        for thread in self.threads {
            let _ = thread.join();
        }
        self.counts
    }
}
