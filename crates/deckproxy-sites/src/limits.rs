//! Limits and timeouts of links and of the trust in copies.

use crate::Millis;

/// Limits of the links.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LinkLimits {
    /// Interval between heartbeats, ms.
    pub heartbeat_interval: Millis,
    /// Silence after which a connection counts as lost, ms.
    pub silence_timeout: Millis,
    /// How long both ends remember a session without a connection, ms.
    pub resume_timeout: Millis,
    /// Size of a body chunk, bytes.
    pub chunk_size: usize,
    /// Credit window of one body: bytes that may be in flight.
    pub credit_window: usize,
    /// Exchanges open at once.
    pub max_exchanges: usize,
    /// Requests that may wait for one exchange beside its leader.
    pub max_waiters: usize,
    /// Responses retained for peers without a connection, bytes.
    pub max_retained: usize,
    /// Time over which a recovered endpoint's share grows to its full size, ms.
    pub recovery_ramp: Millis,
    /// How long a request waits for an endpoint before it is rejected, ms.
    pub queue_timeout: Millis,
    /// Retry budget: retries allowed per first attempt.
    pub retry_ratio: f64,
    /// Retry-after of a rejected client where nothing better is known, ms.
    pub retry_after: Millis,
}

/// Limits of the trust in copies.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TrustLimits {
    /// Time from the notification of a purge until no older copy may be served, ms.
    pub purge_grace: Millis,
    /// How long a peer's confirmation that no purge is missing is valid, ms.
    pub lease: Millis,
    /// Span before the start of this process for which its purge log is complete, ms.
    pub known_purge_history: Millis,
    /// Serve this site's own objects from copies of any age while a peer that may relay purges is unreachable.
    pub serve_when_partitioned: bool,
    /// Largest clock skew between two sites, ms.
    pub max_clock_skew: Millis,
    /// Time after a purge by which every older copy has expired by itself, ms.
    pub copy_lifetime: Millis,
}
