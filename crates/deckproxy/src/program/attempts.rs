//! Attempts and health checks on upstream connections: sending, cancelling, replies, and connection failures.

use crate::program::connections::{ReadySource, UpstreamId};
use crate::program::gateway::{Gateway, context};
use crate::program::subsystem::Event;
use crate::program::timer_task::TimerTask;
use crate::protocol::limits;
use crate::routing::members::Endpoint;
use crate::routing::{AttemptKey, ConnectionFailure};
use crate::transport::clock;
use crate::transport::member::{Lost, MemberConnection, MemberMessage, ReceivedReply, WrittenPart};
use crate::transport::stream::Progress;
use calloop::Readiness;
use deckproxy_control::interface::MemberId;
use deckproxy_flow::meter::Outcome;

impl Gateway {
    /// Sends an attempt or a health check to a member.
    pub(super) fn send_attempt(
        &mut self,
        now: f64,
        (key, member, endpoint): (AttemptKey, MemberId, Endpoint),
        name: &str,
        message: MemberMessage,
    ) {
        let Some(id) = self.upstream_for(now, member, endpoint, name) else {
            self.attempt_ended(now, key, Outcome::Canceled);
            return self.router.connection_failed(now, key, ConnectionFailure::NotSent);
        };
        let Some(upstream) = self.upstreams.get_mut(&id) else { return };
        self.attempt_upstreams.insert(key, id);
        let unsent_timeout = match message {
            MemberMessage::Attempt { parts, unsent_timeout } => {
                upstream.connection.send_attempt(key, name.into(), parts, now);
                unsent_timeout
            }
            MemberMessage::HealthCheck => {
                upstream.connection.send_health_check(key, name.into(), now);
                self.router.instance_settings().limits.unsent_timeout
            }
        };
        self.flush_upstream(now, id);
        if self.upstreams.get(&id).is_some_and(|upstream| !upstream.connection.is_written(key)) {
            self.timers.schedule(now + unsent_timeout, TimerTask::ExpireUnsent(key));
        }
    }

    /// Cancels an attempt of which nothing was written within its timeout: a drain, a purge or a slow start since may
    /// have made the decision to send it obsolete.
    pub(super) fn expire_unsent(&mut self, now: f64, key: AttemptKey) {
        let upstream = self.attempt_upstreams.get(&key).and_then(|id| self.upstreams.get_mut(id));
        if upstream.is_some_and(|upstream| upstream.connection.cancel_unsent(key)) {
            self.attempt_upstreams.remove(&key);
            self.attempt_ended(now, key, Outcome::Canceled);
            self.router.connection_failed(now, key, ConnectionFailure::NotSent);
        }
    }

    /// Notifies the subsystems that an attempt ended without an answer.
    fn attempt_ended(&mut self, now: f64, key: AttemptKey, outcome: Outcome) {
        self.notify(now, &Event::AttemptEnded { key, outcome });
    }

    /// Cancels an attempt, whether or not it has been written or assigned a connection.
    pub(super) fn cancel_attempt(&mut self, now: f64, key: AttemptKey) {
        let connect_timeout = self.router.instance_settings().limits.connect_timeout;
        let Some(id) = self.attempt_upstreams.remove(&key) else {
            // It was cancelled before it was assigned a connection.
            return self.router.attempt_cancelled(now, key, false);
        };
        let upstream = self.upstreams.get_mut(&id);
        let written = upstream.and_then(|upstream| upstream.connection.cancel(key, now, connect_timeout));
        let written = written.unwrap_or(WrittenPart::All);
        // The rest of a request that is written in part will never be written, and such a request does not run. The rest
        // of a large answer would take memory although nobody waits for it.
        let is_useless = |connection: &MemberConnection| {
            written == WrittenPart::Some || connection.receives_unwanted_answer()
        };
        let connection = self.upstreams.get(&id).map(|upstream| &upstream.connection);
        if connection.is_some_and(|connection| connection.in_flight() == 0 && is_useless(connection)) {
            self.close_upstream(id);
        }
        self.flush_upstream(now, id);
        let may_run = match written {
            WrittenPart::None => false,
            WrittenPart::Some => self.upstreams.contains_key(&id),
            WrittenPart::All => true,
        };
        self.attempt_ended(now, key, Outcome::Canceled);
        self.router.attempt_cancelled(now, key, may_run);
    }

    /// Records the readiness of an upstream connection that the kernel reported, and queues it.
    pub(super) fn upstream_ready(&mut self, id: UpstreamId, readiness: Readiness) {
        if let Some(upstream) = self.upstreams.get_mut(&id) {
            upstream.connection.stream.set_ready(readiness);
            self.queue(ReadySource::Upstream(id));
        }
    }

    /// Completes a pending connect, writes queued messages, and handles received replies.
    pub(super) fn serve_upstream(&mut self, now: f64, id: UpstreamId) {
        let Some(upstream) = self.upstreams.get_mut(&id) else { return };
        if upstream.connecting {
            match upstream.connection.stream.is_connecting() {
                Ok(connecting) => upstream.connecting = connecting,
                Err(e) => return self.fail_upstream(now, id, &format!("not connected: {e}")),
            }
        }
        self.read_waiting_clients(now, id);
        self.flush_upstream(now, id);
        match self.read_upstream(now, id) {
            Progress::More => self.queue_backlog(ReadySource::Upstream(id)),
            Progress::Ended => self.fail_upstream(now, id, "closed"),
            Progress::Drained => {}
        }
        if self.upstreams.get(&id).is_some_and(|upstream| upstream.connection.is_superfluous()) {
            self.close_upstream(id);
        }
    }

    /// Reads a connection, for at most a slice of the loop's time and as far as there is memory for its answers, and
    /// handles the replies.
    fn read_upstream(&mut self, now: f64, id: UpstreamId) -> Progress {
        let slice_end = clock::now() + limits::SLICE;
        self.read_upstream_until(now, id, slice_end)
    }

    /// Reads a connection until the end of its slice, at least once, and handles the replies.
    pub(super) fn read_upstream_until(&mut self, now: f64, id: UpstreamId, slice_end: f64) -> Progress {
        let mut progress = Progress::More;
        let mut has_read = false;
        // Bytes may also have been read by an earlier check whether the member has closed the connection.
        while self.handle_replies(now, id) {
            if progress != Progress::More || has_read && clock::now() >= slice_end {
                return progress;
            }
            has_read = true;
            if self.upstreams.get(&id).is_none_or(|upstream| !upstream.connection.stream.is_readable()) {
                return Progress::Drained;
            }
            let Some(limit) = self.member_read_limit(id) else { return Progress::Drained };
            let Some(upstream) = self.upstreams.get_mut(&id) else { return Progress::Drained };
            progress = upstream.connection.read(now, limit);
        }
        Progress::Drained
    }

    /// Passes the complete replies received on a connection to the router. Returns whether it is still open.
    fn handle_replies(&mut self, now: f64, id: UpstreamId) -> bool {
        loop {
            let Some(upstream) = self.upstreams.get_mut(&id) else { return false };
            let before = upstream.connection.stream.input.len();
            let reply = upstream.connection.take_reply(now);
            let bytes = before - upstream.connection.stream.input.len();
            let member = upstream.member;
            self.notify_received(now, member, reply.as_ref().ok().and_then(Option::as_ref), bytes);
            match reply {
                Ok(None) => return true,
                Ok(Some(ReceivedReply { key: Some(key), reply })) => {
                    self.attempt_upstreams.remove(&key);
                    self.router.reply(clock::now(), key, reply);
                }
                // A reply to nothing that is still in flight is dropped.
                Ok(Some(ReceivedReply { key: None, .. })) => {}
                Err(error) => {
                    self.fail_upstream(now, id, &error.to_string());
                    return false;
                }
            }
            self.apply_effects(now);
        }
    }

    /// Notifies the subsystems of bytes received from a member: a complete reply, or bytes that complete none.
    fn notify_received(
        &mut self,
        now: f64,
        member: MemberId,
        received: Option<&ReceivedReply>,
        bytes: usize,
    ) {
        if !self.subsystems.is_any_enabled() {
            return;
        }
        let member = self.router.member_name(member);
        let event = match received {
            Some(received) => {
                let status = received.reply.status;
                Event::MemberReplied { member, key: received.key, status, bytes }
            }
            None => Event::MemberBytesReceived { member, bytes },
        };
        self.subsystems.notify(&context(now, &self.router), &event);
    }

    /// Reads from the clients whose attempts are queued on a connection: they may have cancelled or disconnected before
    /// the connection was established or became writable again.
    fn read_waiting_clients(&mut self, now: f64, id: UpstreamId) {
        let waiting = self
            .upstreams
            .get(&id)
            .map(|upstream| upstream.connection.unwritten_attempts())
            .unwrap_or_default();
        for client in waiting.iter().filter_map(|key| self.router.client_of(*key)).collect::<Vec<_>>() {
            self.read_client_before_send(now, client);
        }
        if !waiting.is_empty() {
            self.apply_effects(now);
        }
    }

    /// Writes the queued messages of a connection.
    fn flush_upstream(&mut self, now: f64, id: UpstreamId) {
        let Some(upstream) = self.upstreams.get_mut(&id) else { return };
        let (subsystems, cx) = (&mut self.subsystems, context(now, &self.router));
        let member = cx.router.member_name(upstream.member);
        let sent = |written| subsystems.notify(&cx, &Event::MemberBytesSent { member, written });
        if let Err(e) = upstream.connection.flush(now, sent) {
            self.fail_upstream(now, id, &format!("broke: {e}"));
        }
    }

    /// Closes a connection that failed, with the reason for the log. Each attempt in flight on it ends as reset if it
    /// was written, else as not sent.
    pub(super) fn fail_upstream(&mut self, now: f64, id: UpstreamId, why: &str) {
        let Some(upstream) = self.upstreams.get_mut(&id) else { return };
        let lost = upstream.connection.take_lost();
        if !lost.is_empty() {
            let name = self.router.member_name(upstream.member).to_string();
            self.log_peer(&format!("member {name}: connection {why}, {} attempts in flight", lost.len()));
        }
        self.close_upstream(id);
        for Lost { key, written } in lost {
            self.attempt_upstreams.remove(&key);
            let (outcome, failure) = if written {
                (Outcome::Failed, ConnectionFailure::Reset)
            } else {
                (Outcome::Canceled, ConnectionFailure::NotSent)
            };
            self.attempt_ended(now, key, outcome);
            self.router.connection_failed(now, key, failure);
        }
    }
}
