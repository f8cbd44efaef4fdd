//! The ways to collectors of flows: connecting, sending, their end.

use crate::program::gateway::{ExitId, Gateway, Peer, context};
use crate::program::subsystem::{Event, micros};
use crate::transport::clock;
use crate::transport::collector::Exit;
use crate::transport::outbox::Written;
use bytes::Bytes;
use calloop::Readiness;
use deckproxy_flow::export::Transport;
use deckproxy_flow::work::{Micros, TaskId};
use std::net::SocketAddr;

impl Gateway {
    /// Runs a subsystem's background task until that time. Tells whether it has more to do.
    pub(super) fn work_parts(&mut self, task: TaskId, end: Micros) -> bool {
        loop {
            let now = clock::now();
            if self.parts.sends(task) {
                self.look_at_exits(now);
            }
            let more = self.parts.work(&context(now, &self.router), task, end);
            self.carry_out(now);
            if !more || micros(clock::now()) >= end {
                return more;
            }
        }
    }

    /// What is closed already is known before anything more is handed to it.
    fn look_at_exits(&mut self, now: f64) {
        let Some(exits) = &mut self.exits else { return };
        for place in 0..exits.held.len() {
            if exits.at(place).is_some_and(Exit::is_gone) {
                exits.take(place).into_iter().for_each(|exit| exit.close(&self.handle));
                self.parts.tell(&context(now, &self.router), &Event::ExitBroke(place));
            }
        }
    }

    pub(super) fn connect_exit(&mut self, now: f64, place: usize, to: SocketAddr, transport: Transport) {
        self.next += 1;
        let id = self.next;
        let Some(exits) = &mut self.exits else { return };
        let ready = move |g: &mut Gateway, news| g.exit_news(id, news);
        match Exit::open(&self.handle, &exits.ledger, to, transport, ready) {
            Ok(exit) => {
                exits.held[place] = Some((id, exit));
                if transport == Transport::Udp {
                    self.parts.tell(&context(now, &self.router), &Event::ExitUp(place));
                }
            }
            Err(e) => {
                self.parts.tell(&context(now, &self.router), &Event::ExitBroke(place));
                self.line(&format!("collector {to}: {e}"));
            }
        }
    }

    pub(super) fn send_exit(&mut self, now: f64, place: usize, number: u64, message: Bytes) {
        let mut written = Vec::new();
        let Some(exit) = self.exits.as_mut().and_then(|e| e.at(place)) else { return };
        let sent = exit.send(number, message, &mut written);
        self.exit_sent(now, place, sent.map(|s| s.moved), &mut written);
    }

    pub(super) fn close_exit(&mut self, place: usize) {
        let exit = self.exits.as_mut().and_then(|e| e.take(place));
        exit.into_iter().for_each(|exit| exit.close(&self.handle));
    }

    fn exit_sent(&mut self, now: f64, place: usize, sent: std::io::Result<bool>, written: &mut Vec<Written>) {
        for one in written.drain(..) {
            let event = Event::ExitWrote { place, number: one.key };
            self.parts.tell(&context(now, &self.router), &event);
        }
        match sent {
            Ok(true) => self.parts.tell(&context(now, &self.router), &Event::ExitMoved(place)),
            Ok(false) => {}
            Err(_) => {
                self.close_exit(place);
                self.parts.tell(&context(now, &self.router), &Event::ExitBroke(place));
            }
        }
    }

    fn exit_news(&mut self, id: ExitId, news: Readiness) {
        let Some(exits) = &mut self.exits else { return };
        if let Some(exit) = exits.place(id).and_then(|place| exits.at(place)) {
            exit.note(news);
            Self::queue(&mut self.ready, Peer::Collector(id));
        }
    }

    /// A collector's connection has news.
    pub(super) fn serve_exit(&mut self, now: f64, id: ExitId) {
        let Some(exits) = &mut self.exits else { return };
        let Some(place) = exits.place(id) else { return };
        let Some(exit) = exits.at(place) else { return };
        let mut written = Vec::new();
        let was = !matches!(exit, Exit::Tcp(stream) if !stream.is_open());
        let done = match exit.is_connecting() {
            Ok(true) => return,
            Err(e) => Err(e),
            Ok(false) if exit.is_gone() => Err(std::io::ErrorKind::ConnectionReset.into()),
            Ok(false) => {
                if !was {
                    self.parts.tell(&context(now, &self.router), &Event::ExitUp(place));
                }
                exit.flush(&mut written).map(|s| s.moved)
            }
        };
        self.exit_sent(now, place, done, &mut written);
        self.carry_out(now);
    }
}
