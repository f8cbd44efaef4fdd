//! How clients behave, what can serve them, and how instances handle overload.

use deckproxy_fleet::Millis;
use deckproxy_fleet::overload::{Class, Settings, shed_controller};
use deckproxy_recovery::budget;

/// How clients take a rejection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryPolicy {
    /// They go to the next instance at once, and after a second rejection follow Retry-After.
    NextInstanceFirst,
    /// They go from instance to instance at once, until their time is over.
    Immediate,
    /// They follow Retry-After.
    RetryAfter,
}

/// The clients, and what can serve them.
#[derive(Clone, Copy, Debug)]
pub struct LoadSettings {
    /// Clients.
    pub clients: u64,
    /// Requests a second of all clients, retries not counted.
    pub rate: f64,
    /// Share of the requests that are for objects that caches hold.
    pub popular_share: f64,
    /// Share of the requests that are of the higher class.
    pub priority_share: f64,
    /// Requests a second that the origin can serve.
    pub origin_rate: f64,
    /// Requests a second that the caches can serve.
    pub cache_rate: f64,
    /// Share of the requests beyond that which fail late, and are not rejected.
    pub late_failure_share: f64,
    /// How long a client gives a request, ms.
    pub timeout: Millis,
    /// How clients take a rejection.
    pub retry_policy: RetryPolicy,
    /// Clients mark their retries.
    pub marks_retries: bool,
    /// Traffic of the first instance beside that of each other one.
    pub skew: f64,
}

impl Default for LoadSettings {
    fn default() -> Self {
        LoadSettings {
            clients: 600,
            rate: 300.0,
            popular_share: 0.3,
            priority_share: 0.1,
            origin_rate: 250.0,
            cache_rate: 2000.0,
            late_failure_share: 0.2,
            timeout: 1500.0,
            retry_policy: RetryPolicy::NextInstanceFirst,
            marks_retries: true,
            skew: 1.0,
        }
    }
}

/// How instances handle overload, unless a test says otherwise.
pub fn overload_settings() -> Settings {
    let class = |band, has_effect| Class { band, has_effect };
    Settings {
        fleet: "test".to_string(),
        classes: vec![class(0, false), class(1, true)],
        limits: shed_controller::Limits::default(),
        retry_budget: budget::Limits::default(),
        sends_retry_after: true,
        min_retry_after: 50.0,
        max_retry_after: 2000.0,
        remembered: 32_768,
        window: 250.0,
    }
}
