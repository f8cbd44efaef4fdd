//! Connections to flow collectors: a TCP connection or a UDP socket each.

use crate::transport::buffer_usage::BufferUsage;
use crate::transport::stream::{Progress, READ_TURN_BYTES, Stream};
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

/// A connection with its id, which is never reused.
struct IdentifiedConnection {
    id: u64,
    connection: CollectorConnection,
}

/// The connections to all collectors, by the collectors' positions.
#[derive(Default)]
pub struct CollectorConnections {
    /// One slot per collector; empty while it has no connection.
    slots: Vec<Option<IdentifiedConnection>>,
    /// Bytes in the connections' buffers.
    pub usage: Rc<BufferUsage>,
}

impl CollectorConnections {
    /// Empty slots for the given number of collectors.
    pub fn new(collectors: usize) -> Self {
        CollectorConnections { slots: (0..collectors).map(|_| None).collect(), usage: Rc::default() }
    }

    /// The number of collectors.
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Whether no collector is configured.
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// Bytes in the connections' buffers.
    pub fn buffered_bytes(&self) -> usize {
        self.usage.total()
    }

    /// The position of the collector whose connection has this id.
    pub fn position(&self, id: u64) -> Option<usize> {
        self.slots.iter().position(|slot| slot.as_ref().is_some_and(|identified| identified.id == id))
    }

    /// The connection to the collector at a position.
    pub fn get_mut(&mut self, position: usize) -> Option<&mut CollectorConnection> {
        self.slots.get_mut(position).and_then(Option::as_mut).map(|identified| &mut identified.connection)
    }

    /// Sets the connection to the collector at a position.
    ///
    /// # Panics
    /// There is no collector at that position.
    pub fn set(&mut self, position: usize, id: u64, connection: CollectorConnection) {
        self.slots[position] = Some(IdentifiedConnection { id, connection });
    }

    /// Removes and returns the connection to the collector at a position.
    pub fn take(&mut self, position: usize) -> Option<CollectorConnection> {
        self.slots.get_mut(position).and_then(Option::take).map(|identified| identified.connection)
    }

    /// Reorders the collectors, given the previous position of each. Returns the connections of removed collectors.
    pub fn reorder(&mut self, previous: &[Option<usize>]) -> Vec<CollectorConnection> {
        let mut old = std::mem::take(&mut self.slots);
        let slots =
            previous.iter().map(|position| position.and_then(|position| old.get_mut(position)?.take()));
        self.slots = slots.collect();
        old.into_iter().flatten().map(|identified| identified.connection).collect()
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
        let unspecified: SocketAddr = match to {
            SocketAddr::V4(_) => (Ipv4Addr::UNSPECIFIED, 0).into(),
            SocketAddr::V6(_) => (Ipv6Addr::UNSPECIFIED, 0).into(),
        };
        let socket = UdpSocket::bind(unspecified)?;
        socket.set_nonblocking(true)?;
        socket.connect(to)?;
        Ok(CollectorConnection::Udp(socket))
    }

    /// Records readiness that the kernel reported.
    pub fn set_ready(&mut self, readiness: Readiness) {
        if let CollectorConnection::Tcp(stream) = self {
            stream.set_ready(readiness);
        }
    }

    /// Whether the handshake is still in progress.
    ///
    /// # Errors
    /// The connection could not be established.
    pub fn is_connecting(&mut self) -> io::Result<bool> {
        match self {
            CollectorConnection::Tcp(stream) => stream.is_connecting(),
            CollectorConnection::Udp(_) => Ok(false),
        }
    }

    /// Whether the collector is known to be unreachable: it closed the connection, or the network reported an error
    /// such as a closed port. Bytes received from it are dropped: neither protocol has messages to the exporter.
    pub fn is_gone(&mut self) -> bool {
        match self {
            CollectorConnection::Tcp(stream) => has_ended(stream),
            CollectorConnection::Udp(socket) => !matches!(socket.take_error(), Ok(None)),
        }
    }

    /// Appends a message to the write buffer and flushes it, or sends the message as a datagram. Completely written
    /// messages are appended to `written`. Returns whether any bytes were written.
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
                // An error may be that of an earlier datagram; this one was not sent in any case.
                socket.send(&message)?;
                written.push(WrittenMessage { key: number, bytes: message.len() });
                Ok(true)
            }
        }
    }

    /// Writes as much as the kernel accepts and appends completely written messages to `written`. Returns whether any
    /// bytes were written, even if they complete no message.
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

/// Reads and drops the available bytes. Returns whether the connection has ended.
fn has_ended(stream: &mut Stream) -> bool {
    while stream.is_open() && stream.is_readable() {
        match stream.read(READ_TURN_BYTES) {
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
