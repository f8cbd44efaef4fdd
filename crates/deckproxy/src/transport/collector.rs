//! Connections to flow collectors: a TCP connection or a UDP socket each.

use crate::transport::buffer_usage::BufferUsage;
use crate::transport::stream::{Progress, Stream};
use crate::transport::write_buffer::{OutgoingMessage, WrittenMessage};
use bytes::Bytes;
use calloop::{LoopHandle, Readiness};
use deckproxy_flow::export::Transport;
use std::io;
use std::net::{Ipv4Addr, Ipv6Addr, SocketAddr, UdpSocket};
use std::rc::Rc;

/// A connection to a collector.
pub enum CollectorConnection {
    /// A TCP connection, established or not.
    Tcp(Box<Stream>),
    /// A socket for datagrams.
    Udp(UdpSocket),
}

/// A connection under its number; no later one gets the same.
struct Numbered {
    id: u64,
    connection: CollectorConnection,
}

/// The connections to all collectors, by the collectors' positions.
#[derive(Default)]
pub struct CollectorConnections {
    /// The connections, where there are any.
    slots: Vec<Option<Numbered>>,
    /// Bytes in their buffers.
    pub usage: Rc<BufferUsage>,
}

impl CollectorConnections {
    /// No connection yet to so many collectors.
    pub fn new(collectors: usize) -> Self {
        CollectorConnections { slots: (0..collectors).map(|_| None).collect(), usage: Rc::default() }
    }

    /// How many collectors there are.
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Whether there is no collector.
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// Bytes in their buffers.
    pub fn buffered_bytes(&self) -> usize {
        self.usage.total()
    }

    /// The position of the collector whose connection has that number.
    pub fn position(&self, id: u64) -> Option<usize> {
        self.slots.iter().position(|slot| slot.as_ref().is_some_and(|numbered| numbered.id == id))
    }

    /// The connection to the collector at a position.
    pub fn get_mut(&mut self, position: usize) -> Option<&mut CollectorConnection> {
        self.slots.get_mut(position).and_then(Option::as_mut).map(|numbered| &mut numbered.connection)
    }

    /// Sets the connection to the collector at a position.
    ///
    /// # Panics
    /// There is no collector at that position.
    pub fn set(&mut self, position: usize, id: u64, connection: CollectorConnection) {
        self.slots[position] = Some(Numbered { id, connection });
    }

    /// Takes the connection to the collector at a position.
    pub fn take(&mut self, position: usize) -> Option<CollectorConnection> {
        self.slots.get_mut(position).and_then(Option::take).map(|numbered| numbered.connection)
    }

    /// Reorders the collectors, given where each was before. Returns the connections to those that are no more.
    pub fn reorder(&mut self, previous: &[Option<usize>]) -> Vec<CollectorConnection> {
        let mut old = std::mem::take(&mut self.slots);
        let slots =
            previous.iter().map(|position| position.and_then(|position| old.get_mut(position)?.take()));
        self.slots = slots.collect();
        old.into_iter().flatten().map(|numbered| numbered.connection).collect()
    }
}

impl CollectorConnection {
    /// Opens a connection. `ready` is called when the kernel reports readiness of a TCP connection.
    ///
    /// # Errors
    /// The error of the operating system if the socket cannot be created, connected or registered.
    pub fn open<D: 'static>(
        handle: &LoopHandle<'static, D>,
        usage: &Rc<BufferUsage>,
        to: SocketAddr,
        transport: Transport,
        ready: impl FnMut(&mut D, Readiness) + 'static,
    ) -> io::Result<Self> {
        if transport == Transport::Tcp {
            let stream = Stream::connect(handle, usage, to, ready)?;
            return Ok(CollectorConnection::Tcp(Box::new(stream)));
        }
        let any: SocketAddr = match to {
            SocketAddr::V4(_) => (Ipv4Addr::UNSPECIFIED, 0).into(),
            SocketAddr::V6(_) => (Ipv6Addr::UNSPECIFIED, 0).into(),
        };
        let socket = UdpSocket::bind(any)?;
        socket.set_nonblocking(true)?;
        socket.connect(to)?;
        Ok(CollectorConnection::Udp(socket))
    }

    /// Takes readiness that the kernel reported.
    pub fn set_ready(&mut self, readiness: Readiness) {
        if let CollectorConnection::Tcp(stream) = self {
            stream.set_ready(readiness);
        }
    }

    /// Whether the handshake is not over yet.
    ///
    /// # Errors
    /// The connection could not be established.
    pub fn is_connecting(&mut self) -> io::Result<bool> {
        match self {
            CollectorConnection::Tcp(stream) => stream.is_connecting(),
            CollectorConnection::Udp(_) => Ok(false),
        }
    }

    /// Whether the collector is known to be gone: it closed the connection, or the network reports that nobody listens.
    /// What it sends otherwise is dropped: neither protocol has a message to the exporter.
    pub fn is_gone(&mut self) -> bool {
        match self {
            CollectorConnection::Tcp(stream) => has_ended(stream),
            CollectorConnection::Udp(socket) => !matches!(socket.take_error(), Ok(None)),
        }
    }

    /// Appends a message to the write buffer and writes, or sends the datagram; appends the messages that are written
    /// completely. Returns whether any bytes were written.
    ///
    /// # Errors
    /// The error of the socket if writing or sending fails.
    pub fn send(
        &mut self,
        number: u64,
        message: Bytes,
        written: &mut Vec<WrittenMessage>,
    ) -> io::Result<bool> {
        match self {
            CollectorConnection::Tcp(stream) => {
                stream.push(OutgoingMessage::single(number, message));
                self.flush(written)
            }
            CollectorConnection::Udp(socket) => {
                // An error here reports a datagram before this one; this one was not sent.
                socket.send(&message)?;
                written.push(WrittenMessage { key: number, bytes: message.len() });
                Ok(true)
            }
        }
    }

    /// Writes what the kernel takes; appends the messages that are written completely. Returns whether any bytes were
    /// written, be it without a further message complete.
    ///
    /// # Errors
    /// The error of the socket if writing fails.
    pub fn flush(&mut self, written: &mut Vec<WrittenMessage>) -> io::Result<bool> {
        let CollectorConnection::Tcp(stream) = self else { return Ok(false) };
        let before = stream.unwritten_bytes();
        stream.flush(written)?;
        Ok(stream.unwritten_bytes() < before)
    }

    /// Closes the connection.
    pub fn close<D: 'static>(self, handle: &LoopHandle<'static, D>) {
        if let CollectorConnection::Tcp(stream) = self {
            stream.close(handle);
        }
    }
}

/// Reads and drops what has come. Returns whether the connection has ended.
fn has_ended(stream: &mut Stream) -> bool {
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
