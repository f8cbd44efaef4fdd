//! One TCP connection: its socket, what came in and is not decoded, what waits to go out.
//!
//! It is registered once, edge-triggered, and remembers what the kernel said: so a connection that is not read
//! for a while, to be fair or to hold back, costs no wake-ups.

use crate::transport::outbox::{Outbox, Outgoing, Written};
use bytes::BytesMut;
use calloop::generic::Generic;
use calloop::{Interest, LoopHandle, Mode, PostAction, Readiness, RegistrationToken};
use socket2::{Domain, Protocol, SockRef, Socket, Type};
use std::cell::Cell;
use std::io::{self, Read};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// Bytes read in one call where no longer message is awaited, and in all before others have their turn.
const CHUNK: usize = 16 * 1024;
const TURN: usize = 256 * 1024;
/// What the kernel still holds of a connection that was closed is given up when nothing of it is taken for so long.
const UNREAD: Duration = Duration::from_secs(10);
/// Bytes that the kernel takes for one connection to a member: what it has not taken is known not to have gone.
const SENDING: usize = 128 * 1024;

/// What a turn of reading found.
#[derive(Debug, PartialEq, Eq)]
pub enum Progress {
    /// Nothing more for now.
    Drained,
    /// There may be more; others have their turn first.
    More,
    /// The other side has closed, or the connection broke.
    Ended,
}

/// Whether an error tells that the process or the system has no descriptor or buffer left (EMFILE, ENFILE,
/// ENOBUFS, ENOMEM), which says nothing of the other side.
pub fn is_exhausted(e: &io::Error) -> bool {
    matches!(e.raw_os_error(), Some(24 | 23 | 105 | 12))
}

/// What all connections of one kind hold together, in bytes.
#[derive(Debug, Default)]
pub struct Ledger {
    /// Read and not decoded yet.
    pub input: Cell<usize>,
    /// Waiting to go out.
    pub output: Cell<usize>,
}

impl Ledger {
    /// Books a change of one connection's part.
    fn book(total: &Cell<usize>, booked: &mut usize, now: usize) {
        total.set(total.get() - *booked + now);
        *booked = now;
    }
}

/// A connection, or one that is being made.
pub struct Stream {
    socket: Rc<TcpStream>,
    token: Option<RegistrationToken>,
    /// What came and is not decoded yet.
    pub input: BytesMut,
    /// Bytes that the decoder still lacks for its next message, at least.
    pub lacks: usize,
    output: Outbox,
    readable: bool,
    writable: bool,
    connecting: bool,
    ledger: Rc<Ledger>,
    booked: (usize, usize),
}

impl Drop for Stream {
    fn drop(&mut self) {
        Ledger::book(&self.ledger.input, &mut self.booked.0, 0);
        Ledger::book(&self.ledger.output, &mut self.booked.1, 0);
    }
}

impl Stream {
    /// Takes over an accepted connection. `ready` is called when the kernel has news of it.
    pub fn accepted<D: 'static>(
        handle: &LoopHandle<'static, D>,
        ledger: &Rc<Ledger>,
        socket: TcpStream,
        ready: impl FnMut(&mut D, Readiness) + 'static,
    ) -> io::Result<Self> {
        socket.set_nonblocking(true)?;
        Self::register(handle, ledger, socket, false, ready)
    }

    /// Starts to connect; an error tells that nothing was sent.
    pub fn connect<D: 'static>(
        handle: &LoopHandle<'static, D>,
        ledger: &Rc<Ledger>,
        to: SocketAddr,
        ready: impl FnMut(&mut D, Readiness) + 'static,
    ) -> io::Result<Self> {
        let socket = Socket::new(Domain::for_address(to), Type::STREAM, Some(Protocol::TCP))?;
        socket.set_nonblocking(true)?;
        socket.set_send_buffer_size(SENDING)?;
        match socket.connect(&to.into()) {
            Ok(()) => {}
            // EINPROGRESS has no stable kind of its own.
            Err(e) if e.kind() == io::ErrorKind::WouldBlock || e.raw_os_error() == Some(115) => {}
            Err(e) => return Err(e),
        }
        Self::register(handle, ledger, socket.into(), true, ready)
    }

    fn register<D: 'static>(
        handle: &LoopHandle<'static, D>,
        ledger: &Rc<Ledger>,
        socket: TcpStream,
        connecting: bool,
        mut ready: impl FnMut(&mut D, Readiness) + 'static,
    ) -> io::Result<Self> {
        socket.set_nodelay(true)?;
        let socket = Rc::new(socket);
        let source = Generic::new(Rc::clone(&socket), Interest::BOTH, Mode::Edge);
        let token = handle
            .insert_source(source, move |readiness, _, data| {
                ready(data, readiness);
                Ok(PostAction::Continue)
            })
            .map_err(|e| io::Error::other(e.error))?;
        Ok(Stream {
            socket,
            token: Some(token),
            input: BytesMut::new(),
            lacks: 0,
            output: Outbox::default(),
            readable: false,
            writable: !connecting,
            connecting,
            ledger: Rc::clone(ledger),
            booked: (0, 0),
        })
    }

    /// Takes news from the kernel.
    pub fn note(&mut self, readiness: Readiness) {
        self.readable |= readiness.readable || readiness.error;
        self.writable |= readiness.writable || readiness.error;
    }

    /// What the kernel told is old: the next read asks it.
    pub fn doubt(&mut self) {
        self.readable = true;
    }

    /// Whether it is still being made; looks whether that has come to an end.
    pub fn is_connecting(&mut self) -> io::Result<bool> {
        if self.connecting && self.writable {
            if let Some(e) = self.socket.take_error()? {
                return Err(e);
            }
            // Woken by something else than the end of the handshake.
            match self.socket.peer_addr() {
                Ok(_) => self.connecting = false,
                Err(e) if e.kind() == io::ErrorKind::NotConnected => self.writable = false,
                Err(e) => return Err(e),
            }
        }
        Ok(self.connecting)
    }

    /// Whether the handshake is over.
    pub fn is_open(&self) -> bool {
        !self.connecting
    }

    /// Whether reading may bring something.
    pub fn is_readable(&self) -> bool {
        self.readable && !self.connecting
    }

    /// Reads what there is, up to a turn's amount.
    pub fn read(&mut self) -> Progress {
        let progress = self.take_in();
        self.book();
        progress
    }

    fn book(&mut self) {
        Ledger::book(&self.ledger.input, &mut self.booked.0, self.input.len());
        Ledger::book(&self.ledger.output, &mut self.booked.1, self.output.bytes());
    }

    fn take_in(&mut self) -> Progress {
        let mut left = TURN;
        while left > 0 {
            let chunk = self.lacks.max(CHUNK).min(left.max(CHUNK));
            let have = self.input.len();
            self.input.resize(have + chunk, 0);
            let got = (&*self.socket).read(&mut self.input[have..]);
            self.input.truncate(have + *got.as_ref().unwrap_or(&0));
            match got {
                Ok(0) => return Progress::Ended,
                Ok(n) => {
                    self.lacks = self.lacks.saturating_sub(n);
                    left = left.saturating_sub(n);
                    // Read on also after a short read: an end that came with the bytes brings no edge of its own.
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    self.readable = false;
                    return Progress::Drained;
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return Progress::Ended,
            }
        }
        Progress::More
    }

    /// All that can be was decoded; `taken`: some of it just now. A buffer that holds nothing is given back, as
    /// most connections are idle, and half of a message does not keep the whole that it came in with.
    pub fn trim(&mut self, taken: bool) {
        if taken || self.input.is_empty() {
            self.input = BytesMut::from(&self.input[..]);
        }
        self.book();
    }

    /// Appends a message to what waits to go out.
    pub fn push(&mut self, message: Outgoing) {
        self.output.push(message);
        self.book();
    }

    /// Takes a message back of which no byte was written.
    pub fn withdraw(&mut self, key: u64) -> bool {
        let found = self.output.withdraw(key);
        self.book();
        found
    }

    /// Bytes that wait to go out.
    pub fn queued(&self) -> usize {
        self.output.bytes()
    }

    /// The message that is with the kernel in part.
    pub fn cut(&self) -> Option<Written> {
        self.output.cut()
    }

    /// Writes what the kernel takes; appends the messages written whole.
    pub fn flush(&mut self, written: &mut Vec<Written>) -> io::Result<()> {
        if self.connecting || !self.writable || self.output.is_empty() {
            return Ok(());
        }
        let all = self.output.flush(&mut &*self.socket, written);
        self.book();
        self.writable = all?;
        Ok(())
    }

    /// Tells the other side that nothing more comes. What it still sends is read and dropped until it closes
    /// too: closing with bytes unread would take back what it has not read.
    pub fn shut(&mut self) {
        // The kernel goes on writing after the end that follows, as long as the other side reads.
        // Both fail only where the connection is broken already, which reading tells.
        let _ = SockRef::from(&*self.socket).set_tcp_user_timeout(Some(UNREAD));
        let _ = self.socket.shutdown(Shutdown::Write);
    }

    /// Has the end that follows be a reset: what waits for one who does not read is not worth the kernel's room.
    pub fn abort(&self) {
        // Fails only where the connection is broken already.
        let _ = SockRef::from(&*self.socket).set_linger(Some(Duration::ZERO));
    }

    /// Ends the connection.
    pub fn close<D: 'static>(mut self, handle: &LoopHandle<'static, D>) {
        if let Some(token) = self.token.take() {
            handle.remove(token);
        }
    }
}
