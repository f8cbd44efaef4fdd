//! Plans: what runs, and which faults happen when.
//!
//! A plan is a file in protobuf text format (`proto/plan.proto`), drawn from a seed by [`generator`], or made by a test.
//! [`read()`] reports all faults of a file at once; [`Plan::text`] writes one that can be run again; [`shrink`] leaves out
//! faults that a failing plan does not need.

mod check;
pub mod fault;
pub mod generator;
mod reader;
pub mod shrink;
mod text;

pub use fault::{CacheFault, Fault, FaultKind};
pub use reader::read;

/// What protects the service against overload.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum OverloadControl {
    /// The decision module alone.
    #[default]
    Off,
    /// Admission control at each instance for itself.
    PerInstance,
    /// Load shedding that the instances agree on.
    Fleet,
}

/// A run: instances, members, clients, and the faults that hurt them.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// The question that the run answers, shown in its page.
    pub question: String,
    /// Seconds of traffic, 1 to 3600.
    pub seconds: f64,
    /// Processes of the gateway, 1 to 24.
    pub instances: usize,
    /// Zones, 1 to 8; the instances stand in them by turns.
    pub zones: usize,
    /// Caches of each zone, 1 to 16; they are numbered zone after zone.
    pub caches: usize,
    /// Requests a second of all clients, retries not counted, 1 to 5000.
    pub rate: f64,
    /// Clients, 1 to 500.
    pub clients: usize,
    /// Seed of the traffic and of lost datagrams.
    pub seed: u64,
    /// The instances form a fleet.
    pub fleet: bool,
    /// Milliseconds between two health checks of a member by one observer, 100 to 60,000.
    pub health_check_interval_ms: u64,
    /// Each instance is a fleet of its own, as a baseline.
    pub isolated: bool,
    /// What protects against overload.
    pub overload_control: OverloadControl,
    /// Requests that the origin works on at a time, up to 1000; 0: any number.
    pub origin_concurrency: usize,
    /// Clients send without waiting for answers, many requests at a time (open loop), and retry at once when rejected.
    pub open_loop: bool,
    /// Clients of an open loop ignore Retry-After, and retry at the next instance until their time is over.
    pub ignore_retry_after: bool,
    /// Traffic of the first instance beside that of each other one, 0.1 to 20; in an open loop.
    pub skew: f64,
    /// What goes wrong.
    pub faults: Vec<Fault>,
}

impl Default for Plan {
    fn default() -> Self {
        Plan {
            question: String::new(),
            seconds: 20.0,
            instances: 5,
            zones: 2,
            caches: 3,
            rate: 150.0,
            clients: 30,
            seed: 1,
            fleet: true,
            health_check_interval_ms: 1000,
            isolated: false,
            overload_control: OverloadControl::Off,
            origin_concurrency: 0,
            open_loop: false,
            ignore_retry_after: false,
            skew: 1.0,
            faults: Vec::new(),
        }
    }
}
