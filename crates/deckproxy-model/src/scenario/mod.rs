//! The parameters of a run. Spans are milliseconds, rates are per second and sizes are KB unless a name says
//! otherwise.
//!
//! The serialized names are those of stored runs, of `decklab model --defaults` and of `--sweep`; they stay
//! as they are when a field is renamed.

mod validation;

pub use validation::InvalidField;

use serde::{Deserialize, Serialize};

/// A complete run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Scenario {
    /// Seed of all random numbers.
    pub seed: u64,
    /// Simulated duration in seconds, over 0 and up to 86,400.
    #[serde(rename = "seconds")]
    pub duration_seconds: f64,
    /// Number of sites, 1 to 16; each has its own origin.
    pub sites: usize,
    /// Locations of each site, 1 to 10,000.
    pub locations: usize,
    /// Gateways of each location, 1 to 1,000.
    pub gateways: usize,
    /// Caches of each location, 1 to 1,000.
    pub caches: usize,
    /// Parents of each site, 1 to 1,000.
    pub parents: usize,
    /// What clients send.
    pub load: Load,
    /// How fast and how large members are.
    pub members: MemberSettings,
    /// What distributes requests over members.
    #[serde(rename = "host")]
    pub balancer: BalancerKind,
    /// What goes wrong during the run.
    pub faults: Vec<Fault>,
    /// Milliseconds between two points of the record, 10 at least.
    #[serde(rename = "step")]
    pub record_interval_ms: f64,
}

/// What clients send.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// New requests (without retries) per second over all sites, over 0 and up to 10,000,000.
    #[serde(rename = "rate")]
    pub requests_per_second: f64,
    /// Factor of the request rate over time: an [expression](crate::expression) in `t`, seconds since the
    /// run began.
    pub schedule: Option<String>,
    /// Objects of each site, 1 to 10,000,000.
    pub objects: usize,
    /// Exponent of the Zipf distribution of object popularity; 0 makes all equally popular.
    #[serde(rename = "zipf")]
    pub zipf_exponent: f64,
    /// Popularity ranks shift by this many objects per second.
    #[serde(rename = "drift")]
    pub rank_drift_per_second: f64,
    /// Share of requests with side effects, 0 to 1.
    #[serde(rename = "writes")]
    pub write_share: f64,
    /// How long a client waits for an answer over all its attempts, in milliseconds, 50 at least.
    #[serde(rename = "patience")]
    pub client_timeout_ms: f64,
    /// Most attempts of a client for one request, the first included, 1 to 100.
    #[serde(rename = "tries")]
    pub max_attempts: u32,
    /// When clients retry.
    pub retry: RetryPolicy,
    /// Purges per second of each site.
    #[serde(rename = "purges")]
    pub purges_per_second: f64,
}

/// When clients retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RetryPolicy {
    /// Never.
    Never,
    /// After the answer's Retry-After, else with exponential backoff from 200 ms, half of it random.
    Advised,
    /// Immediately.
    #[serde(rename = "AtOnce")]
    Immediate,
}

/// How fast and how large members are. Arrays of three are for a cache, a parent and the origin, in this
/// order.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberSettings {
    /// Requests that a member works on at the same time.
    pub cores: [usize; 3],
    /// Mean service time of one request in milliseconds.
    #[serde(rename = "work")]
    pub service_time_ms: [f64; 3],
    /// Requests that may wait for a core before further ones are rejected.
    #[serde(rename = "queue")]
    pub queue_capacity: [usize; 3],
    /// Objects that a cache and a parent can store.
    #[serde(rename = "keeps")]
    pub store_capacity: [usize; 2],
    /// Egress bandwidth of each member in KB per second.
    #[serde(rename = "flow")]
    pub egress_kb_per_s: f64,
    /// Bandwidth of each location's link to its parents in KB per second.
    #[serde(rename = "inlet")]
    pub parent_link_kb_per_s: f64,
    /// One-way latency in milliseconds from gateway to cache, from cache to parent, and from parent to
    /// origin.
    #[serde(rename = "way")]
    pub latency_ms: [f64; 3],
    /// Share of its egress bandwidth that a restarted cache begins with, 0 to 1.
    #[serde(rename = "cold_from")]
    pub initial_capacity_share: f64,
    /// Milliseconds until a restarted cache has warmed up to all of its egress bandwidth.
    #[serde(rename = "cold_ramp")]
    pub warm_up_ms: f64,
    /// A cache that warms up crashes when it is asked for more than this multiple of its present capacity...
    #[serde(rename = "fall_multiple")]
    pub overload_multiple: f64,
    /// ... within a window of this many milliseconds.
    #[serde(rename = "fall_window")]
    pub overload_window_ms: f64,
}

/// What distributes requests over members.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum BalancerKind {
    /// The deployed gateway.
    Gateway,
    /// The deployed gateway behind admission control.
    #[serde(rename = "Recovery")]
    GatewayWithRecovery,
    /// Baseline: a random cache.
    Random,
    /// Baseline: the less loaded of two random caches.
    TwoChoices,
    /// Baseline: consistent hashing with bounded loads; a cache takes at most 1.25 times the mean.
    BoundedHash,
    /// Baseline: as `BoundedHash`, but caches do not collapse concurrent fills of one object.
    NoCollapsing,
}

/// A fault during the run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fault {
    /// When it begins, in milliseconds, within the run.
    #[serde(rename = "at")]
    pub start_ms: f64,
    /// How long it lasts, in milliseconds, 0 or more.
    #[serde(rename = "lasts")]
    pub duration_ms: f64,
    /// What goes wrong.
    #[serde(rename = "what")]
    pub kind: FaultKind,
}

/// What goes wrong. Shares are 0 to 1.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FaultKind {
    /// Caches crash and restart empty.
    Crash {
        /// Share of the caches.
        share: f64,
    },
    /// Caches stop answering.
    Hang {
        /// Share of the caches.
        share: f64,
    },
    /// Caches slow down.
    Slow {
        /// Share of the caches.
        share: f64,
        /// Factor of the service time.
        #[serde(rename = "times")]
        slowdown: f64,
    },
    /// Caches fail some of their requests.
    Gray {
        /// Share of the caches.
        share: f64,
        /// Share of the requests that fail there.
        #[serde(rename = "fails")]
        error_share: f64,
    },
    /// All caches of one site crash.
    #[serde(rename = "Site")]
    SiteLoss {
        /// Number of the site, from 0.
        site: usize,
    },
    /// The origins slow down.
    #[serde(rename = "Origin")]
    SlowOrigin {
        /// Factor of the service time.
        #[serde(rename = "times")]
        slowdown: f64,
    },
    /// All gateways restart, each at a random time within the fault's duration.
    #[serde(rename = "Gateways")]
    GatewayRestarts,
    /// A flash crowd.
    #[serde(rename = "Flash")]
    FlashCrowd {
        /// Factor of the request rate.
        #[serde(rename = "times")]
        load_factor: f64,
        /// Share of the requests that are for one hot object.
        #[serde(rename = "one")]
        hot_share: f64,
    },
    /// The control feed sends nothing.
    #[serde(rename = "Feed")]
    SilentFeed,
    /// Members repeat their last load report.
    #[serde(rename = "Reports")]
    FrozenReports,
    /// Links from locations to parents alternate between degraded and normal.
    #[serde(rename = "Flap")]
    LinkFlap {
        /// Share of the bandwidth that is left while degraded.
        share: f64,
        /// Milliseconds of each phase.
        #[serde(rename = "each")]
        phase_ms: f64,
    },
}

impl Default for Load {
    fn default() -> Self {
        Load {
            requests_per_second: 2000.0,
            schedule: None,
            objects: 20_000,
            zipf_exponent: 0.9,
            rank_drift_per_second: 0.0,
            write_share: 0.05,
            client_timeout_ms: 1500.0,
            max_attempts: 5,
            retry: RetryPolicy::Advised,
            purges_per_second: 0.5,
        }
    }
}

impl Default for MemberSettings {
    fn default() -> Self {
        MemberSettings {
            cores: [4, 16, 32],
            service_time_ms: [4.0, 3.0, 20.0],
            queue_capacity: [64, 256, 512],
            store_capacity: [4000, 20_000],
            egress_kb_per_s: 6000.0,
            parent_link_kb_per_s: 40_000.0,
            latency_ms: [0.3, 3.0, 8.0],
            initial_capacity_share: 0.2,
            warm_up_ms: 5000.0,
            overload_multiple: 3.0,
            overload_window_ms: 1000.0,
        }
    }
}

impl Default for Scenario {
    fn default() -> Self {
        Scenario {
            seed: 1,
            duration_seconds: 30.0,
            sites: 1,
            locations: 2,
            gateways: 2,
            caches: 6,
            parents: 2,
            load: Load::default(),
            members: MemberSettings::default(),
            balancer: BalancerKind::Gateway,
            faults: Vec::new(),
            record_interval_ms: 250.0,
        }
    }
}
