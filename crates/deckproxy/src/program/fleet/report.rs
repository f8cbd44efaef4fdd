//! Log output about the fleet.

use super::Fleet;
use crate::program::subsystem::Field;
use deckproxy_fleet::fleet::FleetStatus;
use deckproxy_fleet::instance::Name;
use deckproxy_fleet::liveness::PeerStatus;
use deckproxy_fleet::overload::Overload;
use deckproxy_fleet::overload::priority::PRIORITIES;
use deckproxy_fleet::overload::shed_level::ResourceShedLevel;
use deckproxy_fleet::wire::DROP_REASONS;
use slog::info;

impl Fleet {
    /// The fleet's part of the summary line.
    pub(super) fn report(&self) -> Vec<Field> {
        let counters = self.core.counters;
        let view = self.core.view();
        let size = self.core.store().size();
        let store = [
            Field::value("authors", size.authors),
            Field::value("entries", size.entries),
            Field::value("over_limit", counters.over_limit),
        ];
        let mut fields = vec![
            Field::value("alive", format_args!("{}/{}", view.alive, view.expected)),
            Field::value("confirmed", view.confirmed),
            Field::value("lost", self.core.instances_with(PeerStatus::Lost).count()),
            Field::value("in_majority", view.is_majority),
            Field::value("stale", view.is_stale),
            Field::value("observes", self.core.observed_count()),
            Field::value("ejected", self.core.ejected().len()),
            Field::value("health_checks", counters.health_checks),
            Field::group("store", store),
            Field::group("datagrams", self.datagram_fields()),
            Field::value("renewed", counters.renewals),
            Field::value("pauses", counters.pauses),
        ];
        fields.extend(self.core.overload().map(overload_field));
        fields
    }

    /// Datagram counters for the summary line.
    fn datagram_fields(&self) -> [Field; 5] {
        let counters = self.core.counters;
        let dropped = DROP_REASONS.iter().zip(counters.dropped).filter(|(_, count)| *count > 0);
        [
            Field::value("sent", counters.sent),
            Field::value("bytes", counters.sent_bytes),
            Field::value("over_budget", counters.over_budget),
            Field::value("accepted", counters.received),
            Field::counts("dropped", dropped.map(|(reason, count)| Field::value(*reason, count))),
        ]
    }

    /// Logs this instance's view of the fleet.
    pub(super) fn log_status(&self, status: &FleetStatus) {
        let names = |all: &[Name]| all.iter().map(|name| &**name).collect::<Vec<_>>().join(" ");
        let view = &status.view;
        info!(self.log, "fleet view"; "alive" => names(&status.alive), "lost" => names(&status.lost),
            "confirmed" => view.confirmed, "expected" => view.expected, "in_majority" => view.is_majority, "stale" => view.is_stale,
            "observes" => self.core.observed_count(), "ejected" => status.ejected,
            "store_checksum" => format!("{:016x}", status.store_checksum));
    }
}

/// Admission control's part of the summary line.
fn overload_field(overload: &Overload) -> Field {
    let counters = overload.counters;
    let counts = overload.rejection_counts();
    let [caches, sources] = &overload.level().resources;
    let rejected = [
        Field::value("too_early", counters.too_early),
        Field::value("below_level", counters.below_level),
        Field::value("no_budget", counters.no_budget),
        Field::value("reservations_broken", counters.reservations_broken),
    ];
    let fields = [
        Field::value("epoch", overload.level().epoch),
        Field::value("caches", shed_line(caches.as_ref())),
        Field::value("sources", shed_line(sources.as_ref())),
        Field::value("is_leader", overload.is_leader()),
        Field::value("admitted", counters.admitted),
        Field::value("reservations_kept", counters.reservations_kept),
        Field::group("rejected", rejected),
        Field::value("reservations", counters.reservations),
        Field::value("remembered", counts.remembered),
        Field::value("not_shared", counts.not_shared),
    ];
    Field::group("overload", fields)
}

/// Formats the admitted rate, the offered rate and the lowest admitted priority; `none` if no load is shed.
fn shed_line(line: Option<&ResourceShedLevel>) -> String {
    let Some(line) = line else { return "none".to_string() };
    let lowest = f64::from(line.min_priority) / f64::from(PRIORITIES);
    format!("{:.0}/{:.0}@{lowest:.3}", line.admitted_rate, line.offered_rate)
}
