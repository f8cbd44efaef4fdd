//! An instance of a simulated fleet.

use deckproxy_fleet::Millis;
use deckproxy_fleet::fleet::Fleet;
use std::net::SocketAddr;

/// A datagram that has not been read yet.
pub(super) struct Datagram {
    /// Its sender.
    pub(super) from: SocketAddr,
    /// What it holds.
    pub(super) bytes: Vec<u8>,
}

/// An instance, through all its restarts.
#[derive(Default)]
pub(super) struct Node {
    /// The state of its present process.
    pub(super) fleet: Option<Fleet>,
    /// How often it was started.
    pub(super) starts: u64,
    pub(super) is_paused: bool,
    /// Datagrams that came while it was paused.
    unread: Vec<Datagram>,
}

impl Node {
    /// Its process, if it runs and is not paused.
    pub(super) fn running(&mut self) -> Option<&mut Fleet> {
        self.fleet.as_mut().filter(|_| !self.is_paused)
    }

    /// Whether it runs and is not paused.
    pub(super) fn is_running(&self) -> bool {
        self.fleet.is_some() && !self.is_paused
    }

    /// Starts a process of it.
    pub(super) fn start(&mut self, fleet: Fleet) {
        self.fleet = Some(fleet);
        self.is_paused = false;
        self.starts += 1;
        self.unread.clear();
    }

    /// Has it read a datagram; once it is resumed, if it is paused.
    pub(super) fn receive(&mut self, now: Millis, datagram: Datagram) {
        if self.is_paused {
            self.unread.push(datagram);
        } else if let Some(fleet) = &mut self.fleet {
            fleet.handle_datagram(now, datagram.from, &datagram.bytes);
        }
    }

    /// Has it go on after a pause, and read what came meanwhile.
    pub(super) fn resume(&mut self, now: Millis) {
        self.is_paused = false;
        for datagram in std::mem::take(&mut self.unread) {
            self.receive(now, datagram);
        }
    }
}
