//! The state of one peer process's purge log, as known to this process.

use crate::frame::Heartbeat;
use crate::{Millis, TrustLimits};

/// Weight of a new sample in the moving average of the clock skew.
const SKEW_WEIGHT: f64 = 0.2;

/// Why copies of a site's objects are not trusted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Distrust {
    /// The site did not confirm within the lease that no purge is missing.
    LeaseExpired,
    /// Purges from the site may have been missed.
    PurgesMissed,
    /// The clock skew to the site is too large or unknown.
    ClockSkew,
}

/// The state of a peer's log, as known to this process.
#[derive(Clone, Debug)]
pub(super) struct PeerLog {
    pub(super) site: String,
    /// The last time at which a connection to the peer was known to be established.
    pub(super) connected_at: Millis,
    /// Number of the last entry that was received from the log.
    pub(super) last_purge: u64,
    /// The last time, on this side's clock, at which this side is known to have had all entries of the peer's log.
    confirmed_at: Option<Millis>,
    /// Until this time, a copy that a missed purge voids may still be cached.
    pub(super) distrusted_until: Millis,
    /// The peer's clock minus this side's clock, ms; averaged.
    pub(super) clock_skew: Option<f64>,
}

impl PeerLog {
    /// Creates the state of the log of a newly seen process.
    pub(super) fn new(site: String, distrusted_until: Millis) -> Self {
        PeerLog {
            site,
            connected_at: 0.0,
            last_purge: 0,
            confirmed_at: None,
            distrusted_until,
            clock_skew: None,
        }
    }

    /// Processes the response to a heartbeat; see [`super::PurgeLog::pong_received`].
    pub(super) fn pong_received(
        &mut self,
        now: Millis,
        unix_time: Millis,
        sent_at: Millis,
        heartbeat: &Heartbeat,
    ) {
        let skew = heartbeat.unix_time - (unix_time - (now - sent_at) / 2.0);
        self.clock_skew = Some(self.clock_skew.map_or(skew, |old| old + SKEW_WEIGHT * (skew - old)));
        if self.last_purge >= heartbeat.last_purge {
            self.confirmed_at = Some(self.confirmed_at.map_or(sent_at, |old| old.max(sent_at)));
        }
    }

    /// Whether this log proves copies of the site's objects to be current; if not, why.
    pub(super) fn check_trust(&self, now: Millis, limits: &TrustLimits) -> Result<(), Distrust> {
        if self.confirmed_at.is_none_or(|at| now - at >= limits.lease) {
            return Err(Distrust::LeaseExpired);
        }
        if now < self.distrusted_until {
            return Err(Distrust::PurgesMissed);
        }
        match self.clock_skew {
            Some(skew) if skew.abs() <= limits.max_clock_skew => Ok(()),
            _ => Err(Distrust::ClockSkew),
        }
    }
}
