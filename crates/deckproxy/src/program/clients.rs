//! Client connections: reading, writing and closing.

use crate::program::client_messages::DecodeProgress;
use crate::program::connections::ReadySource;
use crate::program::gateway::{Gateway, context};
use crate::program::subsystem::Event;
use crate::program::timer_task::TimerTask;
use crate::protocol::limits;
use crate::routing::ClientId;
use crate::transport::client::ClientConnection;
use crate::transport::client_input::InputMode;
use crate::transport::clock;
use crate::transport::stream::{Progress, READ_TURN_BYTES};
use calloop::Readiness;

impl Gateway {
    /// Records the readiness of a client's connection that the kernel reported, and queues it. A connection that was reset
    /// is closed.
    pub(super) fn client_ready(&mut self, id: ClientId, readiness: Readiness) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        if readiness.error && client.stream.has_failed() {
            // Its client has left, and what it has sent before need not be read for that to be known.
            return self.close_client(clock::now(), id);
        }
        client.stream.set_ready(readiness);
        self.queue(ReadySource::Client(id));
    }

    /// Writes to and reads from a client's connection.
    pub(super) fn serve_client(&mut self, now: f64, id: ClientId) {
        self.flush_client(now, id);
        self.read_client(now, id);
    }

    /// Reads and handles the data received from a client, for at most a slice of the loop's time.
    ///
    /// Requests are forwarded once everything that the client has sent is read, so that none is if its cancellation or
    /// the close of the connection follows, however much lies between. Reading does not stop while answers are
    /// unwritten, for the same reason.
    fn read_client(&mut self, now: f64, id: ClientId) {
        let slice_end = clock::now() + limits::SLICE;
        self.read_client_until(now, id, slice_end);
    }

    /// Handles the data received from a client until the end of its slice. That comes only while something is left to handle,
    /// and not before the first read: a client of which everything is handled must not wait behind those that send without a
    /// pause, although the process was not scheduled meanwhile.
    pub(super) fn read_client_until(&mut self, now: f64, id: ClientId, slice_end: f64) {
        let mut has_read = false;
        loop {
            if self.decode_messages(now, id, slice_end) == DecodeProgress::Paused {
                break;
            }
            let Some(client) = self.clients.get_mut(&id) else { return };
            if !client.stream.is_readable() {
                client.has_backlog = false;
                return self.route_pending_requests(id);
            }
            if has_read && clock::now() >= slice_end {
                break;
            }
            has_read = true;
            // A client that has closed expects no answer: messages before the close are not handled.
            if client.read(now) == Progress::Ended {
                return self.close_client(now, id);
            }
        }
        self.reject_overdue_requests(id);
        self.queue_unfinished(id);
    }

    /// Queues a client that has used up its slice with work left: behind those that are ready, unless the rest is small.
    fn queue_unfinished(&mut self, id: ClientId) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        client.has_backlog = true;
        let is_rest_small = client.has_small_rest();
        self.unfinished_slices += 1;
        if is_rest_small {
            self.queue(ReadySource::Client(id));
        } else {
            self.queue_backlog(ReadySource::Client(id));
        }
    }

    /// Reads a client's connection even if the kernel has not reported it as readable.
    pub(super) fn recheck_client(&mut self, now: f64, id: ClientId) {
        if let Some(client) = self.clients.get_mut(&id) {
            client.stream.assume_readable();
            self.read_client(now, id);
        }
    }

    /// Reads a client's connection before an attempt is sent for it: a close or a cancellation may have been received
    /// that the kernel has not reported yet, because a turn took long or the process was not scheduled.
    pub(super) fn read_client_before_send(&mut self, now: f64, id: ClientId) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        if client.has_backlog {
            // It has had its slice, and is read on when the others have had theirs.
            return;
        }
        if clock::now() - client.drained_at() > limits::CLIENT_READ_AGE {
            client.stream.assume_readable();
        }
        self.read_client(now, id);
    }

    /// Begins to close an idle connection, unless data has just been received on it. After the half-close the client
    /// closes its side, and repeats on another connection the requests that it sent in the meantime.
    pub(super) fn close_idle_client(&mut self, now: f64, id: ClientId) {
        let idle_since = self.clients.get(&id).map(ClientConnection::idle_since);
        self.recheck_client(now, id);
        let shutting_down = self.is_shutting_down();
        let Some(client) = self.clients.get_mut(&id).filter(|client| !client.is_closing()) else { return };
        let was_active = Some(client.idle_since()) != idle_since && !shutting_down;
        if client.is_idle() && !client.is_mid_message() && !was_active {
            client.begin_close(InputMode::Reject);
            self.flush_client(now, id);
        }
    }

    /// Closes a client's connection, with the reason for the log, once its open requests are answered. `mode` says what
    /// happens to the requests received until then.
    pub(super) fn drain_client(&mut self, now: f64, id: ClientId, why: &str, mode: InputMode) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        if client.begin_close(mode) {
            self.router.counters.invalid += 1;
            self.log_peer(&format!("a client's connection closes: {why}"));
            self.timers.schedule(now + limits::CLOSING_INTERVAL, TimerTask::LingerExpired(id));
        }
        self.flush_client(now, id);
    }

    /// Drains a connection whose client delays the rest of a message, after a last read: the process may have paused.
    pub(super) fn drain_delaying_client(&mut self, now: f64, id: ClientId) {
        self.recheck_client(now, id);
        if self.clients.get(&id).is_some_and(|client| client.is_read_timed_out(now)) {
            self.reject_partial_request(now, id);
            self.drain_client(now, id, "it keeps a message waiting", InputMode::Reject);
        }
    }

    /// Writes a client's write buffer, and half-closes a closing connection once all is written.
    pub(super) fn flush_client(&mut self, now: f64, id: ClientId) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        let (subsystems, cx) = (&mut self.subsystems, context(now, &self.router));
        let sent = |bytes| subsystems.notify(&cx, &Event::ClientBytesSent { client: id, bytes });
        if client.flush(now, sent).is_err() {
            self.close_client(now, id);
        } else if client.is_ready_to_half_close() {
            self.half_close_client(now, id);
        }
    }

    /// Half-closes a closing connection. A request that has been received only in part is rejected first, as its client
    /// can't be answered later.
    fn half_close_client(&mut self, now: f64, id: ClientId) {
        if self.reject_partial_request(now, id) {
            return self.flush_client(now, id);
        }
        let Some(client) = self.clients.get_mut(&id) else { return };
        client.half_close(now);
        // Lingering close: the client now has some time to close its side.
        self.timers.schedule(now + limits::LINGER, TimerTask::LingerExpired(id));
    }

    /// Handles the end of a closing connection's linger time. The connection stays open while an answer is owed to its
    /// client, until that would be of no more use, and then for some time while the client still sends.
    pub(super) fn linger_expired(&mut self, now: f64, id: ClientId) {
        let Some(client) = self.clients.get(&id) else { return };
        let next = if client.is_half_closed() {
            client.is_still_sending(now).then_some(now + limits::LINGER)
        } else {
            client.owed_until(now).map(|due| due.min(now + limits::CLOSING_INTERVAL))
        };
        match next {
            Some(next) => {
                self.timers.schedule(next, TimerTask::LingerExpired(id));
            }
            None if client.is_half_closed() => self.close_client(now, id),
            None => self.reset_client(now, id),
        }
    }

    /// Resets a connection whose client does not read.
    pub(super) fn reset_client(&mut self, now: f64, id: ClientId) {
        if let Some(client) = self.clients.get(&id) {
            client.stream.reset_on_close();
            self.close_client(now, id);
        }
    }

    /// Closes a connection and cancels the client's requests. Reads the connection first: the kernel resets a
    /// connection that is closed with unread bytes, and the client would lose data written to it.
    pub(super) fn close_client(&mut self, now: f64, id: ClientId) {
        if let Some(mut client) = self.clients.remove(&id) {
            let pending = client.pending.len() as u64;
            self.router.counters.accepted += pending;
            self.router.counters.cancelled += pending;
            client.stream.read(READ_TURN_BYTES);
            let cut = client.stream.partially_written().map_or(0, |written| written.bytes);
            let event = Event::ClientGone { client: id, cut, unread: client.stream.input.len() };
            client.stream.close(&self.handle);
            self.notify(now, &event);
            self.router.client_gone(now, id);
        }
    }
}
