//! One turn of the event loop: timers, accepting, ready connections, background work.

use crate::program::connections::ReadySource;
use crate::program::gateway::{Gateway, HOUSEKEEPING_INTERVAL, SUMMARY_INTERVAL, ShutdownPhase, context};
use crate::program::subsystem::{Event, micros};
use crate::program::timer_task::TimerTask;
use crate::transport::clock;
use deckproxy_flow::scheduler::TaskId;

/// Time of a turn for background work when no connection is ready, microseconds.
const BACKGROUND_BUDGET: u64 = 2000;
/// Time of a turn for connections with a backlog, ms.
const BACKLOG_TIME: f64 = 4.0;
/// Connections served, and datagrams received, in one turn before the loop polls the kernel again.
const BATCH: usize = 64;

impl Gateway {
    /// Runs one turn after events from the kernel: timers, accepting, ready connections, background work.
    ///
    /// # Errors
    /// The loop's timer can't be set.
    pub fn turn(&mut self) -> calloop::Result<()> {
        let start = clock::now();
        self.run_timers(start);
        if self.accept_pending {
            self.accept_clients(clock::now());
            self.apply_effects(start);
        }
        if self.site_links.as_ref().is_some_and(|links| links.accept_pending) {
            self.accept_links(clock::now());
        }
        self.serve_ready();
        self.resume_waiting_answers();
        self.run_background(start);
        if self.has_settled() {
            self.finish_shutdown(clock::now());
            self.apply_effects(start);
        }
        self.peak_connections = self.peak_connections.max(self.clients.len() + self.upstreams.len());
        self.longest_turn = self.longest_turn.max(clock::now() - start);
        self.loop_timer.set(&self.handle, self.next_timer())
    }

    /// When the next turn is due without an event from the kernel, Unix ms.
    fn next_timer(&self) -> f64 {
        let background = self.background.next_due().map(|at| at as f64 / 1000.0);
        [self.router.next_deadline(), self.timers.next_deadline(), self.subsystems.next_due(), background]
            .into_iter()
            .flatten()
            .fold(f64::MAX, f64::min)
    }

    /// Serves the connections that are ready now, at most a batch, and then those with a backlog for a limited time.
    fn serve_ready(&mut self) {
        for _ in 0..BATCH.min(self.ready.ready()) {
            let Some(source) = self.ready.pop() else { break };
            self.serve(source);
        }
        let end = clock::now() + BACKLOG_TIME;
        for _ in 0..self.ready.backlog() {
            let Some(source) = self.ready.pop_backlog() else { return };
            self.serve(source);
            if clock::now() >= end {
                return;
            }
        }
    }

    /// Serves one connection for at most a slice, and applies what follows from it.
    fn serve(&mut self, source: ReadySource) {
        let now = clock::now();
        match source {
            ReadySource::Client(id) => self.serve_client(now, id),
            ReadySource::Upstream(id) => self.serve_upstream(now, id),
            ReadySource::Link(id) => self.serve_link(now, id),
            ReadySource::Feed => self.serve_feed(now),
            ReadySource::Collector(id) => self.serve_collector(now, id),
            ReadySource::FleetSocket => self.receive_datagrams(now),
        }
        self.apply_effects(now);
        self.run_timers(now);
    }

    /// Receives pending datagrams, at most a batch.
    fn receive_datagrams(&mut self, now: f64) {
        for _ in 0..BATCH {
            let Some((from, bytes)) = self.fleet_socket.as_mut().and_then(|socket| socket.receive()) else {
                return;
            };
            self.subsystems.notify(&context(now, &self.router), &Event::Datagram { from, bytes });
        }
        self.queue_backlog(ReadySource::FleetSocket);
    }

    /// Runs background tasks in the time left of this turn. A task that has waited for its maximum delay runs even if
    /// no time is left.
    fn run_background(&mut self, turn_start: f64) {
        let idle = self.ready.is_empty() && !self.accept_pending;
        let used = micros(clock::now()).saturating_sub(micros(turn_start));
        let mut left = if idle { BACKGROUND_BUDGET.saturating_sub(used) } else { 0 };
        loop {
            let began = clock::now();
            let Some((task, slice)) = self.background.next(micros(began), left) else { return };
            let more = self.run_background_task(began, task, slice);
            let ended = micros(clock::now());
            let took = ended.saturating_sub(micros(began));
            self.background.slice_ended(ended, task, took, more);
            left = left.saturating_sub(took);
            if left == 0 {
                return;
            }
        }
    }

    /// Runs one background task for a slice of microseconds. Returns whether it has more to do at once.
    fn run_background_task(&mut self, now: f64, task: TaskId, slice: u64) -> bool {
        if task == self.housekeeping_task {
            self.housekeeping(now);
            self.apply_effects(now);
            self.background.wake_at(task, micros(now + HOUSEKEEPING_INTERVAL));
            false
        } else if task == self.summary_task {
            self.summary("summary");
            self.peer_lines_logged = 0;
            self.exhaustion_logged = false;
            self.background.wake_at(task, micros(now + SUMMARY_INTERVAL));
            false
        } else {
            self.run_subsystem_task(task, micros(now) + slice)
        }
    }

    /// Fires the due timers of the router, the subsystems and the loop itself.
    fn run_timers(&mut self, now: f64) {
        self.router.tick(now);
        self.subsystems.tick(&context(now, &self.router));
        while let Some((_, task)) = self.timers.pop_due(now) {
            self.run_timer_task(now, task);
        }
        self.apply_effects(now);
    }

    fn run_timer_task(&mut self, now: f64, task: TimerTask) {
        match task {
            TimerTask::UpstreamConnectTimeout(id) => {
                if self.upstreams.get(&id).is_some_and(|upstream| upstream.connecting) {
                    self.fail_upstream(now, id, "connect time-out");
                }
            }
            TimerTask::LinkConnectTimeout(id) => self.link_connect_timeout(now, id),
            TimerTask::ResetLink(id) => self.reset_link(now, id),
            TimerTask::ConnectFeed => self.connect_feed(now),
            TimerTask::RetryAccept => self.retry_accept(),
            TimerTask::ExpireUnsent(key) => self.expire_unsent(now, key),
            TimerTask::LingerExpired(id) => self.linger_expired(now, id),
            TimerTask::CloseClient(id) => self.close_client(now, id),
            TimerTask::RejectNewRequests => {
                self.shutdown = self.shutdown.max(ShutdownPhase::Rejecting);
                self.accept_pending = true;
            }
            TimerTask::FailOpenRequests => self.fail_open_requests(now),
            TimerTask::EndShutdown => self.shutdown = ShutdownPhase::Ending,
            TimerTask::WakeLoop => {}
        }
    }

    fn retry_accept(&mut self) {
        self.accept_retry_scheduled = false;
        self.accept_pending = true;
        if let Some(links) = &mut self.site_links {
            links.accept_pending = true;
        }
    }
}
