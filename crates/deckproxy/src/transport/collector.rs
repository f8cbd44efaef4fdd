//! The way to a collector of flows: a TCP connection or a UDP socket.

use crate::transport::outbox::{Outgoing, Written};
use crate::transport::stream::{Ledger, Progress, Stream};
use bytes::Bytes;
use calloop::{LoopHandle, Readiness};
use deckproxy_flow::export::Transport;
use std::io;
use std::net::{Ipv4Addr, Ipv6Addr, SocketAddr, UdpSocket};
use std::rc::Rc;

/// The way to one collector.
pub enum Exit {
    /// A connection, or one that is being made.
    Tcp(Box<Stream>),
    /// A socket for datagrams.
    Udp(UdpSocket),
}

/// The ways to all collectors, by place, each under a number that no later one has.
#[derive(Default)]
pub struct Exits {
    /// Those that are open or being made.
    pub held: Vec<Option<(u64, Exit)>>,
    /// Bytes that wait on them.
    pub ledger: Rc<Ledger>,
}

impl Exits {
    /// None is open yet.
    pub fn new(collectors: usize) -> Self {
        Exits { held: (0..collectors).map(|_| None).collect(), ledger: Rc::default() }
    }

    /// Bytes that wait on them.
    pub fn holds(&self) -> usize {
        self.ledger.input.get() + self.ledger.output.get()
    }

    /// The place of the one with that number.
    pub fn place(&self, id: u64) -> Option<usize> {
        self.held.iter().position(|e| e.as_ref().is_some_and(|(other, _)| *other == id))
    }

    /// The one at a place.
    pub fn at(&mut self, place: usize) -> Option<&mut Exit> {
        self.held.get_mut(place).and_then(Option::as_mut).map(|(_, exit)| exit)
    }

    /// Takes the one at a place out.
    pub fn take(&mut self, place: usize) -> Option<Exit> {
        self.held.get_mut(place).and_then(Option::take).map(|(_, exit)| exit)
    }

    /// Puts them in another order: where each was before. Gives those that have no place any more.
    pub fn reorder(&mut self, before: &[Option<usize>]) -> Vec<Exit> {
        let mut old = std::mem::take(&mut self.held);
        self.held = before.iter().map(|place| place.and_then(|p| old.get_mut(p)?.take())).collect();
        old.into_iter().flatten().map(|(_, exit)| exit).collect()
    }
}

/// What sending has brought.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sent {
    /// Some bytes went, though no further message is whole.
    pub moved: bool,
}

impl Exit {
    /// Opens it. `ready` is called when the kernel has news of a connection.
    pub fn open<D: 'static>(
        handle: &LoopHandle<'static, D>,
        ledger: &Rc<Ledger>,
        to: SocketAddr,
        transport: Transport,
        ready: impl FnMut(&mut D, Readiness) + 'static,
    ) -> io::Result<Self> {
        if transport == Transport::Tcp {
            return Stream::connect(handle, ledger, to, ready).map(|s| Exit::Tcp(Box::new(s)));
        }
        let any: SocketAddr = match to {
            SocketAddr::V4(_) => (Ipv4Addr::UNSPECIFIED, 0).into(),
            SocketAddr::V6(_) => (Ipv6Addr::UNSPECIFIED, 0).into(),
        };
        let socket = UdpSocket::bind(any)?;
        socket.set_nonblocking(true)?;
        socket.connect(to)?;
        Ok(Exit::Udp(socket))
    }

    /// Takes news from the kernel.
    pub fn note(&mut self, readiness: Readiness) {
        if let Exit::Tcp(stream) = self {
            stream.note(readiness);
        }
    }

    /// Whether it is still being made.
    pub fn is_connecting(&mut self) -> io::Result<bool> {
        match self {
            Exit::Tcp(stream) => stream.is_connecting(),
            Exit::Udp(_) => Ok(false),
        }
    }

    /// Whether the collector is known to be gone: it closed the connection, or the network says that nobody listens.
    /// What it says otherwise is dropped: neither protocol has a word for the exporter.
    pub fn is_gone(&mut self) -> bool {
        match self {
            Exit::Tcp(stream) => {
                while stream.is_open() && stream.is_readable() {
                    match stream.read() {
                        Progress::Ended => return true,
                        Progress::Drained => break,
                        Progress::More => {}
                    }
                    stream.input.clear();
                }
                stream.input.clear();
                stream.trim(true);
                false
            }
            Exit::Udp(socket) => !matches!(socket.take_error(), Ok(None)),
        }
    }

    /// Puts a message behind what waits, or sends the datagram; appends the messages that are with the kernel whole.
    pub fn send(&mut self, number: u64, message: Bytes, written: &mut Vec<Written>) -> io::Result<Sent> {
        match self {
            Exit::Tcp(stream) => {
                stream.push(Outgoing::whole(number, message));
                self.flush(written)
            }
            Exit::Udp(socket) => {
                // An error here tells of a datagram before this one; this one did not go.
                socket.send(&message)?;
                written.push(Written { key: number, bytes: message.len() });
                Ok(Sent { moved: true })
            }
        }
    }

    /// Writes what the kernel takes.
    pub fn flush(&mut self, written: &mut Vec<Written>) -> io::Result<Sent> {
        let Exit::Tcp(stream) = self else { return Ok(Sent::default()) };
        let before = stream.queued();
        stream.flush(written)?;
        Ok(Sent { moved: stream.queued() < before })
    }

    /// Ends it.
    pub fn close<D: 'static>(self, handle: &LoopHandle<'static, D>) {
        if let Exit::Tcp(stream) = self {
            stream.close(handle);
        }
    }
}
