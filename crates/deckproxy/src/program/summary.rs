//! The periodic summary in the log.

use crate::program::gateway::Gateway;
use crate::program::subsystems::Summaries;
use crate::program::usage::Usage;
use crate::routing::counters::ENDINGS;
use slog::info;

impl Gateway {
    /// Logs the summary under that message.
    pub fn summary(&mut self, message: &'static str) {
        let counters = self.router.counters;
        let usage = Usage::now();
        let Summaries { sites, recovery, flows, fleet } = self.subsystems.summaries();
        info!(self.log, "{}", message;
            "taken" => counters.accepted, "served" => counters.served, "refused" => counters.rejected,
            "failed" => counters.failed, "gone" => counters.cancelled, "unusable" => counters.invalid,
            "owed" => self.router.unanswered(),
            "attempts" => self.attempt_endings(), "probes" => counters.health_checks,
            "clients" => self.clients.len(), "links" => self.upstreams.len(), "most_sockets" => self.peak_sockets,
            "sizes" => self.sizes(),
            "sites" => sites, "recovery" => recovery, "flows" => flows, "fleet" => fleet,
            "feed" => self.feed.is_some(), "event" => self.router.last_event(),
            "cpu_ms" => usage.cpu, "memory_kb" => usage.memory, "descriptors" => usage.descriptors,
            "broken" => counters.broken_invariants, "overdue" => counters.overdue,
            "timer_late_ms" => format!("{:.1}", counters.late),
            "longest_turn_ms" => format!("{:.1}", self.longest_turn));
    }

    /// How many attempts ended in each way, without those that none did.
    fn attempt_endings(&self) -> String {
        let endings = ENDINGS.iter().zip(self.router.counters.endings).filter(|(_, count)| *count > 0);
        endings.map(|(ending, count)| format!("{ending}:{count}")).collect::<Vec<_>>().join(",")
    }

    /// Sizes of all tables and buffers that grow with traffic; each has a bound.
    fn sizes(&self) -> String {
        let tables = [
            ("pools", self.upstream_pools.len()),
            ("carried", self.attempt_upstreams.len()),
            ("chores", self.timers.len()),
        ];
        let bytes = [
            ("read", self.client_buffers.input() + self.upstream_buffers.input()),
            ("unread", self.client_buffers.output()),
        ];
        let all = tables.into_iter().chain(bytes).chain(self.router.table_sizes());
        all.map(|(name, size)| format!("{name}:{size}")).collect::<Vec<_>>().join(",")
    }
}
