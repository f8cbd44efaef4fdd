//! The periodic summary in the log.

use crate::program::gateway::Gateway;
use crate::program::log_aliases::Scope;
use crate::program::subsystem::{Field, summary_text};
use crate::program::subsystems::Summaries;
use crate::program::usage::Usage;
use crate::routing::counters::ENDINGS;
use slog::info;

impl Gateway {
    /// Logs the summary with this message.
    pub fn summary(&mut self, message: &'static str) {
        let counters = self.router.counters;
        let usage = Usage::now();
        let Summaries { sites, recovery, flows, fleet } = self.subsystems.summaries();
        info!(self.log, "{}", message;
            "accepted" => counters.accepted, "served" => counters.served, "rejected" => counters.rejected,
            "failed" => counters.failed, "cancelled" => counters.cancelled, "invalid" => counters.invalid,
            "in_flight" => self.router.unanswered(),
            "attempts" => self.attempt_endings(), "health_checks" => counters.health_checks,
            "clients" => self.clients.len(), "upstreams" => self.upstreams.len(), "peak_connections" => self.peak_connections,
            "sizes" => self.sizes(),
            "sites" => sites, "recovery" => recovery, "flows" => flows, "fleet" => fleet,
            "feed" => self.feed.is_some(), "feed_event" => self.router.last_event(),
            "cpu_ms" => usage.cpu, "memory_kb" => usage.memory, "descriptors" => usage.descriptors,
            "broken_invariants" => counters.broken_invariants, "overdue" => counters.overdue,
            "timer_late_ms" => format!("{:.1}", counters.max_timer_delay),
            "longest_turn_ms" => format!("{:.1}", self.longest_turn),
            "unfinished_slices" => self.unfinished_slices);
    }

    /// Number of attempts by ending, without endings that did not occur.
    fn attempt_endings(&self) -> String {
        let endings = ENDINGS.iter().zip(self.router.counters.endings).filter(|(_, count)| *count > 0);
        let fields: Vec<Field> = endings.map(|(ending, count)| Field::value(*ending, count)).collect();
        summary_text(Scope::Attempts, &fields)
    }

    /// Sizes of all tables and buffers that grow with traffic; each of them is bounded.
    fn sizes(&self) -> String {
        let tables = [
            ("upstream_pools", self.upstream_pools.len()),
            ("in_flight_attempts", self.attempt_upstreams.len()),
            ("tasks", self.timers.len()),
            ("waiting_answers", self.waiting_answers.len()),
        ];
        let bytes = [
            ("read_buffers", self.client_buffers.input() + self.upstream_buffers.input()),
            ("write_buffers", self.client_buffers.output()),
            ("held_memory", self.memory_use().total()),
            ("expected_answers", self.router.expected_bytes()),
        ];
        let all = tables.into_iter().chain(bytes).chain(self.router.table_sizes());
        let fields: Vec<Field> = all.map(|(name, size)| Field::value(name, size)).collect();
        summary_text(Scope::Sizes, &fields)
    }
}
