//! The connection to the control feed: connecting, reading, and reconnecting with a backoff.

use crate::program::connections::{EvictionReason, ReadySource};
use crate::program::gateway::Gateway;
use crate::program::timer_task::TimerTask;
use crate::protocol::feed::FeedLine;
use crate::protocol::limits;
use crate::transport::feed::FeedConnection;
use crate::transport::stream::{Progress, Stream, is_exhausted};
use calloop::Readiness;
use std::io;
use std::net::SocketAddr;

impl Gateway {
    /// Connects to the feed, unless it is connected or has no address.
    pub(super) fn connect_feed(&mut self, now: f64) {
        let Some(address) = self.feed_address.filter(|_| self.feed.is_none()) else { return };
        let mut connected = self.open_feed(address);
        if connected.as_ref().is_err_and(is_exhausted) && self.evict_client(now, EvictionReason::Internal) {
            // Retry with the freed descriptor: the member list takes precedence over an idle client.
            connected = self.open_feed(address);
        }
        match connected {
            Ok(stream) => self.feed = Some(FeedConnection::new(stream, self.router.last_event(), now)),
            Err(e) => self.reconnect_feed_later(now, &e.to_string()),
        }
    }

    fn open_feed(&self, address: SocketAddr) -> io::Result<Stream> {
        let ready = |gateway: &mut Gateway, readiness| gateway.feed_ready(readiness);
        Stream::connect(&self.handle, &self.feed_buffers, address, ready)
    }

    fn feed_ready(&mut self, readiness: Readiness) {
        if let Some(feed) = &mut self.feed {
            feed.stream.set_ready(readiness);
            self.queue(ReadySource::Feed);
        }
    }

    /// Completes a pending connect, writes the poll, and handles received lines.
    pub(super) fn serve_feed(&mut self, now: f64) {
        let Some(feed) = &mut self.feed else { return };
        match feed.stream.is_connecting() {
            Ok(true) => return,
            Ok(false) => feed.set_established(now),
            Err(e) => return self.reconnect_feed_later(now, &e.to_string()),
        }
        if feed.flush().is_err() {
            return self.reconnect_feed_later(now, "broke");
        }
        let progress = if feed.stream.is_readable() { feed.read() } else { Progress::Drained };
        if !self.handle_feed_lines(now) {
            return;
        }
        match progress {
            Progress::More => self.queue(ReadySource::Feed),
            Progress::Ended => self.reconnect_feed_later(now, "closed"),
            Progress::Drained => {}
        }
    }

    /// Handles the complete lines received. Returns whether the connection is still open.
    fn handle_feed_lines(&mut self, now: f64) -> bool {
        loop {
            let Some(feed) = &mut self.feed else { return false };
            let complete = match feed.take_line(now) {
                Ok(None) => return true,
                Ok(Some(line)) => self.handle_feed_line(now, line),
                Err(error) => {
                    self.reconnect_feed_later(now, &error.to_string());
                    return false;
                }
            };
            if !complete {
                self.reconnect_feed_later(now, "events are missing");
                return false;
            }
        }
    }

    /// Handles a line. Returns false if events before it are missing and the feed has not been polled for them yet.
    fn handle_feed_line(&mut self, now: f64, line: FeedLine) -> bool {
        match line {
            FeedLine::Last(last) => {
                if last > self.router.last_event() && !self.is_gap_final() {
                    return false;
                }
                self.feed_backoff = limits::FEED_BACKOFF_INITIAL;
            }
            FeedLine::Event(event) => {
                let accept_gap = self.feed_gap_polled == Some(self.router.last_event());
                if !self.router.feed_event(now, event, accept_gap) && !self.is_gap_final() {
                    return false;
                }
                self.feed_backoff = limits::FEED_BACKOFF_INITIAL;
                self.apply_effects(now);
            }
            FeedLine::Unreadable(error) => {
                self.log_peer(&format!("a line of the feed was dropped: {error}"));
            }
        }
        true
    }

    /// Whether the feed was already polled again for the events missing after the last one, so that it does not have
    /// them. If not, records that the next poll requests them.
    fn is_gap_final(&mut self) -> bool {
        let last = Some(self.router.last_event());
        std::mem::replace(&mut self.feed_gap_polled, last) == last
    }

    /// Closes the feed's connection, with the reason for the log, and reconnects after a backoff.
    pub(super) fn reconnect_feed_later(&mut self, now: f64, why: &str) {
        if let Some(feed) = self.feed.take() {
            feed.stream.close(&self.handle);
        }
        self.log_peer(&format!("control feed: {why}"));
        self.timers.schedule(now + self.feed_backoff, TimerTask::ConnectFeed);
        self.feed_backoff = (self.feed_backoff * 2.0).min(limits::FEED_BACKOFF_MAX);
    }
}
