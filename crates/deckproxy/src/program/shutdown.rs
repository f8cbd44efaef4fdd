//! Graceful shutdown: what still comes is served for a while, then new requests are rejected, then what is open fails,
//! and the process ends once all answers are written.

use crate::program::gateway::{Gateway, ShutdownPhase, context};
use crate::program::subsystem::Event;
use crate::program::timer_task::TimerTask;
use crate::protocol::limits;
use slog::info;

impl Gateway {
    /// Begins a graceful shutdown; the process ends by itself once it is complete. Does nothing if one has begun.
    pub fn terminate(&mut self, now: f64) {
        if self.is_shutting_down() {
            return;
        }
        info!(self.log, "graceful shutdown begins"; "in_flight" => self.router.unanswered(), "clients" => self.clients.len());
        self.shutdown = ShutdownPhase::Draining;
        self.timers.schedule(now + limits::DRAIN_ACCEPT, TimerTask::RejectNewRequests);
        self.notify(now, &Event::ShutdownBegan);
        // The fleet's other instances are notified at once, and the address is free for a successor.
        self.apply_effects(now);
        if let Some(socket) = self.fleet_socket.take() {
            socket.close(&self.handle);
        }
        let longest =
            self.router.instance_settings().settings.classes.iter().map(|c| c.deadline).fold(0.0, f64::max);
        let last = longest.min(limits::DRAIN_DEADLINE) + limits::DRAIN_ACCEPT - limits::DRAIN_MARGIN;
        self.timers.schedule(now + last, TimerTask::FailOpenRequests);
    }

    /// The process is about to be killed: whatever is open fails, and all connections close soon.
    pub(super) fn fail_open_requests(&mut self, now: f64) {
        // A stream of new clients must not delay the end: those that wait now are not accepted.
        if let Some(listener) = self.listener.take() {
            listener.close(&self.handle);
        }
        self.router.fail_all(now);
        self.subsystems.fail_open(&context(now, &self.router));
        self.apply_subsystem_effects(now);
        for id in self.clients.keys() {
            self.timers.schedule(now + limits::LINGER, TimerTask::CloseClient(*id));
        }
    }

    /// Whether a shutdown has nothing left to answer or to write to other sites.
    pub(super) fn has_settled(&mut self) -> bool {
        self.is_shutting_down()
            && self.listener.is_none()
            && self.router.unanswered() == 0
            && self.subsystems.is_settled()
            && self.site_links.as_ref().is_none_or(|links| links.is_written())
    }

    /// All is answered: closes clients' connections once that is written and nothing came in the moment before, then
    /// has the subsystems finish.
    pub(super) fn finish_shutdown(&mut self, now: f64) {
        for id in self.clients.keys().copied().collect::<Vec<_>>() {
            self.close_idle_client(now, id);
        }
        if !self.clients.is_empty() {
            return;
        }
        if self.subsystems.counts_members() {
            // Bytes that came on them and were not read count too.
            for id in self.upstreams.keys().copied().collect::<Vec<_>>() {
                self.close_upstream(id);
            }
        }
        self.done = self.subsystems.finish(&context(now, &self.router));
        self.apply_subsystem_effects(now);
    }
}
