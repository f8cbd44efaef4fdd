//! The age limit on this site's copies while a peer is unreachable.

use super::SiteGateway;
use super::effects::{Effect, LogEvent};
use crate::Millis;
use crate::purges::Distrust;

/// Share of the grace period after which the limit is renewed.
const RENEWAL_SHARE: f64 = 0.2;

impl SiteGateway {
    /// Keeps the age of this site's copies below the grace period while a peer that may have been notified of purges of
    /// this site's objects is unreachable, or its purges may be missing: a copy within the limit is more recent than
    /// any purge that must be enforced by now.
    pub(super) fn limit_copy_age(&mut self, now: Millis) {
        let unreachable = self.unreachable_peer(now).filter(|_| !self.trust.serve_when_partitioned);
        let Some(site) = unreachable else {
            if self.copy_age_limited_at.take().is_some() {
                self.log(LogEvent::CopyAgeUnlimited);
            }
            return;
        };
        let grace = self.trust.purge_grace;
        if self.copy_age_limited_at.is_none() {
            self.log(LogEvent::CopyAgeLimited { site, max_age: grace });
        }
        if self.copy_age_limited_at.is_none_or(|at| now - at >= grace * RENEWAL_SHARE) {
            self.copy_age_limited_at = Some(now);
            self.copy_age_limits += 1;
            // Copies grow older by one interval until the next renewal; a second interval is left as a margin.
            self.effects.push_back(Effect::LimitCopyAge(grace * (1.0 - 2.0 * RENEWAL_SHARE)));
        }
    }

    /// The first peer whose purges this site may lack.
    fn unreachable_peer(&self, now: Millis) -> Option<String> {
        let is_unreachable = |site: &str| {
            let trust = self.purges.check_trust(now, site);
            matches!(trust, Err(Distrust::LeaseExpired | Distrust::PurgesMissed))
        };
        let mut sites = self.peers.iter().filter(|peer| !peer.is_removed).map(|peer| &peer.site);
        sites.find(|site| is_unreachable(site)).cloned()
    }
}
