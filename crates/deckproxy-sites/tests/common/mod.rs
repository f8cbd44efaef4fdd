//! Limits and messages shared by the tests of the requesting and the serving side.

use deckproxy_sites::frame::Hello;
use deckproxy_sites::{LinkLimits, TrustLimits};

pub const LINK: LinkLimits = LinkLimits {
    heartbeat_interval: 100.0,
    silence_timeout: 300.0,
    resume_timeout: 1000.0,
    chunk_size: 100,
    credit_window: 300,
    max_exchanges: 4,
    max_waiters: 2,
    max_retained_bytes: 1000,
    recovery_ramp: 0.0,
    queue_timeout: 100.0,
    retry_ratio: 0.1,
    retry_after: 50.0,
};

#[allow(dead_code, reason = "the tests of the serving side do not use it")]
pub const TRUST: TrustLimits = TrustLimits {
    purge_grace: 1000.0,
    lease: 700.0,
    known_purge_history: 0.0,
    serve_when_partitioned: false,
    max_clock_skew: 100.0,
    copy_lifetime: 60_000.0,
};

/// A hello from site b to site a.
#[allow(dead_code, reason = "the tests of quiet links exchange the sites' own")]
pub fn hello(epoch: u64) -> Hello {
    Hello {
        version: 1,
        site: "b".into(),
        peer_site: "a".into(),
        epoch,
        credit_window: 300,
        resume_timeout: 1000,
        session: 9,
        next_attempt: 1,
        ..Hello::default()
    }
}
