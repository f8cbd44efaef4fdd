//! What is known of the purge log of one peer's process.

use crate::frame::Heartbeat;
use crate::{Millis, TrustLimits};

/// Weight of a new sample in the moving average of the clock skew.
const SKEW_WEIGHT: f64 = 0.2;

/// Why copies of a site's objects are not trusted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Distrust {
    /// The site did not confirm within the lease that no purge is missing.
    LeaseExpired,
    /// Purges of the site may have been missed.
    PurgesMissed,
    /// The clock skew to the site is too large or unknown.
    ClockSkew,
}

/// The state of a peer's log, as far as it is known here.
#[derive(Clone, Debug)]
pub(super) struct PeerLog {
    pub(super) site: String,
    /// When the peer last sent anything about purges.
    pub(super) last_received: Millis,
    /// The last of its entries that was received.
    pub(super) received: u64,
    /// The last time, on this side's clock, at which its log is known to have held nothing that is missing here.
    confirmed_at: Option<Millis>,
    /// Until then, a missed purge may have left a copy.
    pub(super) distrusted_until: Millis,
    /// The peer's clock minus this side's, ms.
    pub(super) clock_skew: Option<f64>,
}

impl PeerLog {
    /// The log of a process that is new here.
    pub(super) fn new(site: String, distrusted_until: Millis) -> Self {
        PeerLog {
            site,
            last_received: 0.0,
            received: 0,
            confirmed_at: None,
            distrusted_until,
            clock_skew: None,
        }
    }

    /// Takes the response to a heartbeat; see [`super::PurgeLog::pong_received`].
    pub(super) fn pong_received(
        &mut self,
        now: Millis,
        unix_time: Millis,
        sent_at: Millis,
        heartbeat: &Heartbeat,
    ) {
        self.last_received = now;
        let skew = heartbeat.unix_time - (unix_time - (now - sent_at) / 2.0);
        self.clock_skew = Some(self.clock_skew.map_or(skew, |old| old + SKEW_WEIGHT * (skew - old)));
        if self.received >= heartbeat.last_purge {
            self.confirmed_at = Some(self.confirmed_at.map_or(sent_at, |old| old.max(sent_at)));
        }
    }

    /// Whether this log vouches for copies of the site's objects; if not, why.
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
