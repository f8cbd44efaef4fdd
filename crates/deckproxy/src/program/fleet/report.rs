//! What the log says of the fleet.

use super::Fleet;
use deckproxy_fleet::fleet::FleetStatus;
use deckproxy_fleet::instance::Name;
use deckproxy_fleet::liveness::PeerStatus;
use deckproxy_fleet::overload;
use deckproxy_fleet::wire::DROP_REASONS;
use slog::info;

impl Fleet {
    /// The fleet's part of the summary.
    pub(super) fn report(&self) -> String {
        let counters = self.core.counters;
        let view = self.core.view();
        let dropped = DROP_REASONS.iter().zip(counters.dropped).filter(|(_, n)| *n > 0);
        let dropped: Vec<String> = dropped.map(|(what, n)| format!("{what}:{n}")).collect();
        let lost = self.core.instances_with(PeerStatus::Lost).count();
        let size = self.core.store().size();
        format!(
            "heard:{}/{},sure:{},lost:{lost},larger:{},old:{},observes:{},held:{},probes:{},board[authors:{},\
             entries:{},over:{}],datagrams[sent:{},bytes:{},kept_back:{},taken:{},dropped[{}]],renewed:{},pauses:{}",
            view.alive,
            view.expected,
            view.confirmed,
            view.is_majority,
            view.is_stale,
            self.core.observed_count(),
            self.core.ejected().len(),
            counters.health_checks,
            size.authors,
            size.entries,
            counters.over_limit,
            counters.sent,
            counters.sent_bytes,
            counters.over_budget,
            counters.received,
            dropped.join(" "),
            counters.renewals,
            counters.pauses,
        ) + &self.overload_summary()
    }

    /// Admission control's part of the summary; empty where that is off.
    fn overload_summary(&self) -> String {
        let Some(overload) = self.core.overload() else { return String::new() };
        let counters = overload.counters;
        let counts = overload.rejection_counts();
        let line = |line: &Option<overload::shed_level::ShedLine>| {
            line.map_or("none".to_string(), |l| {
                format!(
                    "{:.0}/{:.0}@{:.3}",
                    l.admitted_rate,
                    l.offered_rate,
                    f64::from(l.min_priority) / f64::from(overload::priority::PRIORITIES)
                )
            })
        };
        let [caches, sources] = &overload.level().lines;
        format!(
            ",overload[epoch:{},caches:{},sources:{},leads:{},passed:{},kept:{},refused[hasty:{},below:{},no_budget:{},broken:{}],\
             promised:{},remembered:{},untold:{}]",
            overload.level().epoch,
            line(caches),
            line(sources),
            overload.is_leader(),
            counters.admitted,
            counters.reservations_kept,
            counters.too_early,
            counters.below_level,
            counters.no_budget,
            counters.reservations_broken,
            counters.reservations,
            counts.remembered,
            counts.not_shared,
        )
    }

    /// Logs what this instance sees of the fleet.
    pub(super) fn log_status(&self, status: &FleetStatus) {
        let names = |all: &[Name]| all.iter().map(|name| &**name).collect::<Vec<_>>().join(" ");
        let view = &status.view;
        info!(self.log, "fleet view"; "heard" => names(&status.alive), "lost" => names(&status.lost),
            "sure" => view.confirmed, "expected" => view.expected, "larger" => view.is_majority, "old" => view.is_stale, "observes" => self.core.observed_count(), "held" => status.ejected,
            "board" => format!("{:016x}", status.store_checksum));
    }
}
