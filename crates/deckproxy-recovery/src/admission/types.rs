//! Settings, requests and verdicts of admission control.

use crate::retries::RequestKey;
use crate::{ClassIndex, Millis, budget, class_shedding, retry_storm};

/// The properties of a request class that admission control uses.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Class {
    /// Rank of the class among all classes by priority weight, 0 to 1.
    pub priority_weight: f64,
    /// Whether its requests may be rejected: retrying them must be harmless.
    pub can_be_rejected: bool,
    /// Time left below which a request is rejected in a storm, in milliseconds.
    pub min_time_left: Millis,
}

/// Settings of admission control. Each mechanism can be disabled, so that the others can be evaluated without it;
/// class shedding and the rate of scheduled retries depend on the counts of storm detection.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The classes, by index.
    pub classes: Vec<Class>,
    /// The retry budget of each class; `None`: retries are not limited.
    pub retry_budget: Option<budget::Limits>,
    /// Detection of storms; `None`: the admitted rate is never capped, no class is shed, and retries are
    /// scheduled at the lowest rate.
    pub storm: Option<retry_storm::Limits>,
    /// Whether clients that retry before their retry-after time are rejected until it has passed.
    pub enforces_retry_after: bool,
    /// Whether retry-after times are spread so that retries arrive evenly; otherwise clients receive the
    /// shortest time allowed.
    pub spreads_retry_after: bool,
    /// The classes to shed, in order.
    pub shedding_steps: Vec<class_shedding::Step>,
    /// How long the pressure must be past a threshold before a class is shed or admitted again.
    pub shedding_delays: class_shedding::Delays,
    /// Shortest retry-after time, in milliseconds.
    pub min_retry_after: Millis,
    /// Longest retry-after time, in milliseconds.
    pub max_retry_after: Millis,
    /// Number of recently rejected or failed requests that are retained at least, to detect retries.
    pub remembered: usize,
    /// Shortest time for which they are retained, in milliseconds; less if more than `remembered` newer ones are
    /// recorded before that.
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
            shedding_delays: class_shedding::Delays::default(),
            min_retry_after: 50.0,
            max_retry_after: 500.0,
            remembered: 65_536,
            remembered_for: 5000.0,
        }
    }
}

/// The properties of a request that admission control uses.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestInfo {
    /// The client and the object.
    pub key: RequestKey,
    /// The class.
    pub class: ClassIndex,
    /// Time left until the client stops waiting, in milliseconds.
    pub time_left: Millis,
}

/// The decision on a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    /// The request is passed to the decision module, and [`Admission::request_ended`] must be called when it ends.
    ///
    /// [`Admission::request_ended`]: super::Admission::request_ended
    Admit,
    /// The request is rejected.
    Reject {
        /// Time after which the client may retry, in milliseconds.
        retry_after: Millis,
    },
}

/// How an admitted request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The request was served.
    Served,
    /// The decision module rejected it.
    Rejected,
    /// The request failed.
    Failed,
    /// The client cancelled the request or disconnected before its end.
    ClientGone,
}

/// Counters of requests since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// First attempts that arrived.
    pub first_attempts: u64,
    /// Retries that arrived.
    pub retries: u64,
    /// First attempts admitted.
    pub admitted_first_attempts: u64,
    /// Retries admitted.
    pub admitted_retries: u64,
    /// Retries rejected because they arrived before their retry-after time.
    pub too_early: u64,
    /// Retries rejected because the retry budget was empty.
    pub no_budget: u64,
    /// Requests rejected by the cap in a storm.
    pub capped: u64,
    /// Requests rejected in a storm because the time left was less than [`Class::min_time_left`].
    pub too_late: u64,
    /// Requests rejected because their class is shed.
    pub class_shed: u64,
}

/// The state of admission control, for logs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Status {
    /// Number of storms since the start.
    pub storms: u64,
    /// Number of class shedding steps in effect.
    pub shedding_level: u64,
    /// Rejected or failed requests that are retained to detect retries.
    pub remembered: u64,
    /// Retries scheduled in a slot without free capacity since the start.
    pub overbooked: u64,
}
