//! Limits and timeouts of links, and of the trust in cached copies.

use crate::Millis;

/// Limits of the links.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LinkLimits {
    /// Interval between heartbeats, ms.
    pub heartbeat_interval: Millis,
    /// Time without received bytes after which a connection is considered lost, ms.
    pub silence_timeout: Millis,
    /// How long both ends keep a session without a connection, ms.
    pub resume_timeout: Millis,
    /// Size of a body chunk, bytes.
    pub chunk_size: usize,
    /// Credit window of one body: largest number of bytes in flight.
    pub credit_window: usize,
    /// Most exchanges open at a time.
    pub max_exchanges: usize,
    /// Most requests that wait for one exchange, in addition to its leader.
    pub max_waiters: usize,
    /// Size of all retained responses above which those without a connection are evicted, bytes.
    pub max_retained_bytes: usize,
    /// Time over which a recovered endpoint's share grows to its full size, ms.
    pub recovery_ramp: Millis,
    /// How long a request waits for an endpoint before it is rejected, ms.
    pub queue_timeout: Millis,
    /// Retry budget: retries allowed per first attempt.
    pub retry_ratio: f64,
    /// Retry-after of a rejected client unless a longer one is estimated, ms.
    pub retry_after: Millis,
}

/// Limits of the trust in cached copies.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TrustLimits {
    /// Time after the notification of a purge from which no older copy may be served, ms.
    pub purge_grace: Millis,
    /// How long a peer's confirmation that no purge is missing remains valid, ms.
    pub lease: Millis,
    /// Time before the start of this process that its purge log covers completely, ms.
    pub known_purge_history: Millis,
    /// Whether copies of this site's own objects are served at any age while a peer that may relay purges is
    /// unreachable.
    pub serve_when_partitioned: bool,
    /// Largest clock skew between two sites, ms.
    pub max_clock_skew: Millis,
    /// Time after a purge by which every older copy has expired, ms.
    pub copy_lifetime: Millis,
}
