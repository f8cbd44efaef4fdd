//! Connections to flow collectors: connecting, sending and closing.

use crate::program::connections::{CollectorId, ReadySource};
use crate::program::gateway::{Gateway, context};
use crate::program::subsystem::Event;
use crate::transport::collector::CollectorConnection;
use crate::transport::write_buffer::WrittenMessage;
use bytes::Bytes;
use calloop::Readiness;
use deckproxy_flow::export::Transport;
use std::io;
use std::net::SocketAddr;

impl Gateway {
    /// Closes connections that a collector has closed, before more messages are sent on them.
    pub(super) fn close_gone_collectors(&mut self, now: f64) {
        let count = self.collectors.as_ref().map_or(0, |collectors| collectors.len());
        for index in 0..count {
            let collector = self.collectors.as_mut().and_then(|collectors| collectors.get_mut(index));
            if collector.is_some_and(CollectorConnection::is_gone) {
                self.close_collector(index);
                self.notify(now, &Event::CollectorFailed(index));
            }
        }
    }

    /// Connects to a collector.
    pub(super) fn connect_collector(&mut self, now: f64, index: usize, to: SocketAddr, transport: Transport) {
        let id = self.next_connection_id();
        let Some(collectors) = &mut self.collectors else { return };
        let ready = move |gateway: &mut Gateway, readiness| gateway.collector_ready(id, readiness);
        match CollectorConnection::open(&self.handle, &collectors.usage, to, transport, ready) {
            Ok(collector) => {
                collectors.set(index, id, collector);
                if transport == Transport::Udp {
                    self.notify(now, &Event::CollectorConnected(index));
                }
            }
            Err(e) => {
                self.notify(now, &Event::CollectorFailed(index));
                self.log_peer(&format!("collector {to}: {e}"));
            }
        }
    }

    /// Sends a message to a collector, and buffers what the kernel does not accept.
    pub(super) fn send_to_collector(&mut self, now: f64, index: usize, number: u64, message: Bytes) {
        let mut written = Vec::new();
        let collector = self.collectors.as_mut().and_then(|collectors| collectors.get_mut(index));
        let Some(collector) = collector else { return };
        let sent = collector.send(number, message, &mut written);
        self.collector_sent(now, index, &sent, &written);
    }

    /// Closes a collector's connection, if there is one.
    pub(super) fn close_collector(&mut self, index: usize) {
        if let Some(collector) = self.collectors.as_mut().and_then(|collectors| collectors.take(index)) {
            collector.close(&self.handle);
        }
    }

    /// Reorders the connections to match a new list of collectors, and closes those of collectors that are not in it.
    pub(super) fn reorder_collectors(&mut self, previous: &[Option<usize>]) {
        for collector in self.collectors.get_or_insert_default().reorder(previous) {
            collector.close(&self.handle);
        }
    }

    /// Notifies the subsystems of completely written messages, and of progress or failure.
    fn collector_sent(
        &mut self,
        now: f64,
        index: usize,
        progress: &io::Result<bool>,
        written: &[WrittenMessage],
    ) {
        for message in written {
            self.notify(now, &Event::CollectorMessageSent { index, number: message.key });
        }
        match progress {
            Ok(true) => self.notify(now, &Event::CollectorBytesSent(index)),
            Ok(false) => {}
            Err(_) => {
                self.close_collector(index);
                self.notify(now, &Event::CollectorFailed(index));
            }
        }
    }

    fn collector_ready(&mut self, id: CollectorId, readiness: Readiness) {
        let Some(collectors) = &mut self.collectors else { return };
        if let Some(collector) = collectors.position(id).and_then(|index| collectors.get_mut(index)) {
            collector.set_ready(readiness);
            self.queue(ReadySource::Collector(id));
        }
    }

    /// Completes a pending connect, handles a close by the collector, and writes buffered messages.
    pub(super) fn serve_collector(&mut self, now: f64, id: CollectorId) {
        let Some(collectors) = &mut self.collectors else { return };
        let Some(index) = collectors.position(id) else { return };
        let Some(collector) = collectors.get_mut(index) else { return };
        let mut written = Vec::new();
        let was_connecting = matches!(collector, CollectorConnection::Tcp(stream) if !stream.is_open());
        let progress = match collector.is_connecting() {
            Ok(true) => return,
            Err(e) => Err(e),
            Ok(false) if collector.is_gone() => Err(io::ErrorKind::ConnectionReset.into()),
            Ok(false) => {
                if was_connecting {
                    let event = Event::CollectorConnected(index);
                    self.subsystems.notify(&context(now, &self.router), &event);
                }
                collector.flush(&mut written)
            }
        };
        self.collector_sent(now, index, &progress, &written);
        self.apply_subsystem_effects(now);
    }
}
