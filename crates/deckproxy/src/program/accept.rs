//! Accepting client connections.

use crate::program::connections::EvictionReason;
use crate::program::gateway::Gateway;
use crate::program::subsystem::Event;
use crate::program::timer_task::TimerTask;
use crate::transport::client::ClientConnection;
use crate::transport::listener::{Accepted, Listener};
use crate::transport::stream::Stream;
use std::net::TcpStream;

/// Delay before accepting is retried after descriptors or connection slots ran out, ms.
const ACCEPT_RETRY_DELAY: f64 = 20.0;
/// Connections accepted in one turn; they are read before more are accepted.
const ACCEPT_BATCH: usize = 16;

/// Why accepting stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AcceptProgress {
    /// No more connections are pending.
    Drained,
    /// More connections may be pending.
    More,
}

impl Gateway {
    /// Accepts pending connections. In the rejecting phase of a shutdown, closes the listener once none are pending.
    pub(super) fn accept_clients(&mut self, now: f64) {
        self.accept_pending = false;
        let Some(listener) = self.listener.take() else { return };
        let progress = self.accept_from(now, &listener);
        if self.is_rejecting() && progress == AcceptProgress::Drained {
            listener.close(&self.handle);
        } else {
            self.listener = Some(listener);
        }
    }

    /// Schedules a retry of accepting, unless one is scheduled already.
    pub(super) fn schedule_accept_retry(&mut self, now: f64) {
        if !std::mem::replace(&mut self.accept_retry_scheduled, true) {
            self.timers.schedule(now + ACCEPT_RETRY_DELAY, TimerTask::RetryAccept);
        }
    }

    fn accept_from(&mut self, now: f64, listener: &Listener) -> AcceptProgress {
        for _ in 0..ACCEPT_BATCH {
            if self.clients.len() >= self.bounds.clients && !self.evict_client(now, EvictionReason::NewClient)
            {
                // Pending connections stay in the kernel's queue until a slot is free.
                self.schedule_accept_retry(now);
                return AcceptProgress::More;
            }
            match listener.accept() {
                Accepted::One(socket) => self.accept_client(now, socket),
                Accepted::None => return AcceptProgress::Drained,
                Accepted::Exhausted => {
                    // Once per summary interval: at each retry, it would crowd out all other lines.
                    if !std::mem::replace(&mut self.exhaustion_logged, true) {
                        self.log_peer("no descriptor is left for a client");
                    }
                    self.evict_client(now, EvictionReason::NewClient);
                    self.schedule_accept_retry(now);
                    return AcceptProgress::More;
                }
            }
        }
        self.accept_pending = true;
        AcceptProgress::More
    }

    fn accept_client(&mut self, now: f64, socket: TcpStream) {
        let id = self.next_connection_id();
        let wants_address = self.subsystems.wants_addresses();
        let address = if wants_address { socket.peer_addr().ok().map(|peer| peer.ip()) } else { None };
        let ready = move |gateway: &mut Gateway, readiness| gateway.client_ready(id, readiness);
        match Stream::accepted(&self.handle, &self.client_buffers, socket, ready) {
            Ok(stream) => {
                self.clients.insert(id, ClientConnection::new(stream, now));
                self.notify(now, &Event::ClientConnected { client: id, address });
            }
            Err(e) => self.log_peer(&format!("a client's connection could not be accepted: {e}")),
        }
    }
}
