//! Graceful shutdown: new requests are served for some time, then rejected, then requests that are still open fail. The
//! process ends once all answers are written.

use crate::program::gateway::{Gateway, ShutdownPhase, context};
use crate::program::subsystem::Event;
use crate::program::timer_task::TimerTask;
use crate::protocol::limits;
use slog::info;

impl Gateway {
    /// Begins a graceful shutdown, unless one has begun; the process ends once it is complete.
    pub fn terminate(&mut self, now: f64) {
        if self.is_shutting_down() {
            return;
        }
        info!(self.log, "graceful shutdown begins"; "in_flight" => self.router.unanswered(), "clients" => self.clients.len());
        self.shutdown = ShutdownPhase::Draining;
        self.timers.schedule(now + limits::DRAIN_ACCEPT, TimerTask::RejectNewRequests);
        self.notify(now, &Event::ShutdownBegan);
        // Notify the fleet's other instances at once, and free the address for the next process.
        self.apply_effects(now);
        if let Some(socket) = self.fleet_socket.take() {
            socket.close(&self.handle);
        }
        let longest_deadline = self.router.instance_settings().longest_deadline();
        let fail_after =
            longest_deadline.min(limits::DRAIN_DEADLINE) + limits::DRAIN_ACCEPT - limits::DRAIN_MARGIN;
        self.timers.schedule(now + fail_after, TimerTask::FailOpenRequests);
    }

    /// Fails all open requests and schedules the close of all client connections, before the process is killed.
    pub(super) fn fail_open_requests(&mut self, now: f64) {
        // Pending connections are not accepted, so that a stream of new clients can't delay the end.
        if let Some(listener) = self.listener.take() {
            listener.close(&self.handle);
        }
        for id in self.clients.keys().copied().collect::<Vec<_>>() {
            self.reject_pending_requests(now, id);
        }
        self.router.fail_all(now);
        self.subsystems.fail_open(&context(now, &self.router));
        self.apply_subsystem_effects(now);
        for id in self.clients.keys() {
            self.timers.schedule(now + limits::LINGER, TimerTask::CloseClient(*id));
        }
        self.timers.schedule(now + limits::LINGER, TimerTask::EndShutdown);
    }

    /// Whether a shutdown has closed the listener, and nothing is owed to other sites any more: no request is unanswered,
    /// and all answers are received, or can't be waited for any longer.
    pub(super) fn has_settled(&mut self) -> bool {
        if !self.is_shutting_down() || self.listener.is_some() {
            return false;
        }
        self.shutdown == ShutdownPhase::Ending
            || self.router.unanswered() == 0
                && self.subsystems.is_settled()
                && self.site_links.as_ref().is_none_or(|links| links.is_written())
    }

    /// Closes the client connections once their answers are written and no data has just been received on them, then
    /// finishes the subsystems. Called once all requests are answered.
    pub(super) fn finish_shutdown(&mut self, now: f64) {
        for id in self.clients.keys().copied().collect::<Vec<_>>() {
            self.close_idle_client(now, id);
        }
        if !self.clients.is_empty() {
            return;
        }
        if self.subsystems.counts_upstream_bytes() {
            // Closing an upstream connection also counts its received bytes that complete no reply.
            for id in self.upstreams.keys().copied().collect::<Vec<_>>() {
                self.close_upstream(id);
            }
        }
        self.done = self.subsystems.finish(&context(now, &self.router));
        self.apply_subsystem_effects(now);
    }
}
