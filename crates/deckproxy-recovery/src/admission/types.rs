//! Settings, requests and verdicts of admission control.

use crate::retries::RequestKey;
use crate::{ClassIndex, Millis, budget, class_shedding, retry_storm};

/// What matters of a class of requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Class {
    /// Its position among all classes by priority weight, 0 to 1.
    pub priority_weight: f64,
    /// Its requests may be rejected: a new attempt does no harm.
    pub can_be_rejected: bool,
    /// In a storm, a request whose client waits for less than this is rejected, in milliseconds.
    pub min_time_left: Millis,
}

/// How admission control works. Each part can be left out, so that the others can be tried without it.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The classes, by index.
    pub classes: Vec<Class>,
    /// The retry budget of each class; `None`: retries are not limited.
    pub retry_budget: Option<budget::Limits>,
    /// Detection of storms; `None`: the admitted rate is never capped.
    pub storm: Option<retry_storm::Limits>,
    /// Clients that retry before their retry-after time are rejected for the rest of it.
    pub enforces_retry_after: bool,
    /// Retry-after times are scheduled so that clients return evenly; else all get the shortest.
    pub spreads_retry_after: bool,
    /// The classes to shed, in order.
    pub shedding_steps: Vec<class_shedding::Step>,
    /// How long the pressure must last for a class to be shed or admitted again.
    pub shedding_times: class_shedding::Times,
    /// Shortest retry-after time, in milliseconds.
    pub min_retry_after: Millis,
    /// Longest retry-after time, in milliseconds.
    pub max_retry_after: Millis,
    /// Number of rejected requests that are remembered at least.
    pub remembered: usize,
    /// Time for which they are remembered at least, in milliseconds.
    pub remembered_for: Millis,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            classes: Vec::new(),
            retry_budget: Some(budget::Limits::default()),
            storm: Some(retry_storm::Limits::default()),
            enforces_retry_after: true,
            spreads_retry_after: true,
            shedding_steps: Vec::new(),
            shedding_times: class_shedding::Times::default(),
            min_retry_after: 50.0,
            max_retry_after: 500.0,
            remembered: 65_536,
            remembered_for: 5000.0,
        }
    }
}

/// What matters of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestInfo {
    /// The client and the object.
    pub key: RequestKey,
    /// The class.
    pub class: ClassIndex,
    /// How long the client still waits, in milliseconds.
    pub time_left: Millis,
}

/// The decision on a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    /// It is passed to the decision module; its end has to be reported.
    Admit,
    /// It is rejected at once.
    Reject {
        /// Time after which the client may retry, in milliseconds.
        retry_after: Millis,
    },
}

/// How an admitted request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// It was served.
    Served,
    /// The decision module rejected it.
    Rejected,
    /// It failed.
    Failed,
    /// Its client left first.
    ClientGone,
}

/// Requests since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// First attempts that arrived.
    pub firsts: u64,
    /// Retries that arrived.
    pub retries: u64,
    /// First attempts admitted.
    pub admitted_firsts: u64,
    /// Retries admitted.
    pub admitted_retries: u64,
    /// Rejected since they came before their retry-after time.
    pub too_early: u64,
    /// Retries rejected since no budget was left.
    pub no_budget: u64,
    /// Rejected by the cap of a storm.
    pub capped: u64,
    /// Rejected in a storm since their clients would not wait long enough.
    pub too_late: u64,
    /// Rejected since their class is shed.
    pub class_shed: u64,
}

/// The state of admission control, for logs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Status {
    /// Storms so far.
    pub storms: u64,
    /// Steps of class shedding that are taken.
    pub shedding_level: u64,
    /// Rejected requests that are remembered.
    pub remembered: u64,
    /// Retry-after times given although there was no capacity for the client then.
    pub overbooked: u64,
}
