//! One TCP connection: its socket, what came in and is not decoded, what waits to be written.
//!
//! It is registered once, edge-triggered, and remembers the readiness that the kernel reported: so a connection that is
//! not read for a while, for fairness or for backpressure, costs no wake-ups.

use crate::transport::buffer_usage::{BufferUsage, UsageShare};
use crate::transport::registration::register;
use crate::transport::write_buffer::{OutgoingMessage, WriteBuffer, WrittenMessage};
use bytes::BytesMut;
use calloop::{Interest, LoopHandle, Readiness, RegistrationToken};
use socket2::{Domain, Protocol, SockRef, Socket, Type};
use std::io::{self, ErrorKind, Read};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// Bytes read in one call where no longer message is awaited.
const READ_CHUNK: usize = 16 * 1024;
/// Bytes read in one turn before others have theirs.
const READ_TURN: usize = 256 * 1024;
/// Time after which the kernel gives up what it still holds of a closed connection and the other side does not take.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(10);
/// Size of the kernel's send buffer for a connection that is made from here: what the kernel has not taken is known not
/// to have been sent.
const SEND_BUFFER: usize = 128 * 1024;

/// ENOMEM: no memory.
const OUT_OF_MEMORY: i32 = 12;
/// ENFILE: no descriptor in the system.
const SYSTEM_FILES: i32 = 23;
/// EMFILE: no descriptor in the process.
const PROCESS_FILES: i32 = 24;
/// ENOBUFS: no buffer.
const NO_BUFFERS: i32 = 105;
/// EINPROGRESS: a handshake has begun; it has no stable `ErrorKind`.
const IN_PROGRESS: i32 = 115;

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

/// Whether an error says that the process or the system has no descriptor or buffer left, which says nothing of the
/// other side.
pub fn is_exhausted(error: &io::Error) -> bool {
    matches!(error.raw_os_error(), Some(PROCESS_FILES | SYSTEM_FILES | NO_BUFFERS | OUT_OF_MEMORY))
}

/// A connection, established or not.
pub struct Stream {
    socket: Rc<TcpStream>,
    token: RegistrationToken,
    /// What came and is not decoded yet.
    pub input: BytesMut,
    /// Bytes that the decoder is missing for its next message, at least.
    pub missing: usize,
    output: WriteBuffer,
    readable: bool,
    writable: bool,
    connecting: bool,
    usage: UsageShare,
}

impl Stream {
    /// Takes over an accepted connection. `ready` is called when the kernel reports readiness.
    ///
    /// # Errors
    /// The error of the operating system if the socket cannot be made non-blocking or registered.
    pub fn accepted<D: 'static>(
        handle: &LoopHandle<'static, D>,
        usage: &Rc<BufferUsage>,
        socket: TcpStream,
        ready: impl FnMut(&mut D, Readiness) + 'static,
    ) -> io::Result<Self> {
        socket.set_nonblocking(true)?;
        Self::register(handle, usage, socket, false, ready)
    }

    /// Starts to connect. `ready` is called when the kernel reports readiness.
    ///
    /// # Errors
    /// The kernel refuses at once: nothing was sent.
    pub fn connect<D: 'static>(
        handle: &LoopHandle<'static, D>,
        usage: &Rc<BufferUsage>,
        to: SocketAddr,
        ready: impl FnMut(&mut D, Readiness) + 'static,
    ) -> io::Result<Self> {
        let socket = Socket::new(Domain::for_address(to), Type::STREAM, Some(Protocol::TCP))?;
        socket.set_nonblocking(true)?;
        socket.set_send_buffer_size(SEND_BUFFER)?;
        if let Err(error) = socket.connect(&to.into()) {
            let begun = error.kind() == ErrorKind::WouldBlock || error.raw_os_error() == Some(IN_PROGRESS);
            if !begun {
                return Err(error);
            }
        }
        Self::register(handle, usage, socket.into(), true, ready)
    }

    fn register<D: 'static>(
        handle: &LoopHandle<'static, D>,
        usage: &Rc<BufferUsage>,
        socket: TcpStream,
        connecting: bool,
        ready: impl FnMut(&mut D, Readiness) + 'static,
    ) -> io::Result<Self> {
        socket.set_nodelay(true)?;
        let socket = Rc::new(socket);
        let token = register(handle, Rc::clone(&socket), Interest::BOTH, ready)?;
        Ok(Stream {
            socket,
            token,
            input: BytesMut::new(),
            missing: 0,
            output: WriteBuffer::default(),
            readable: false,
            writable: !connecting,
            connecting,
            usage: UsageShare::new(usage),
        })
    }

    /// Takes readiness that the kernel reported.
    pub fn set_ready(&mut self, readiness: Readiness) {
        self.readable |= readiness.readable || readiness.error;
        self.writable |= readiness.writable || readiness.error;
    }

    /// Has the next read ask the kernel, also where it has not reported anything to read.
    pub fn assume_readable(&mut self) {
        self.readable = true;
    }

    /// Whether the handshake is not over yet; checks whether it has ended.
    ///
    /// # Errors
    /// The connection could not be established.
    pub fn is_connecting(&mut self) -> io::Result<bool> {
        if self.connecting && self.writable {
            if let Some(error) = self.socket.take_error()? {
                return Err(error);
            }
            match self.socket.peer_addr() {
                Ok(_) => self.connecting = false,
                // Woken by something else than the end of the handshake.
                Err(error) if error.kind() == ErrorKind::NotConnected => self.writable = false,
                Err(error) => return Err(error),
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
        let progress = self.read_turn();
        self.account();
        progress
    }

    fn read_turn(&mut self) -> Progress {
        let mut left = READ_TURN;
        while left > 0 {
            let chunk = self.missing.max(READ_CHUNK).min(left.max(READ_CHUNK));
            match self.read_chunk(chunk) {
                Ok(0) => return Progress::Ended,
                // Read on also after a short read: an end that came with the bytes brings no edge of its own.
                Ok(bytes) => {
                    self.missing = self.missing.saturating_sub(bytes);
                    left = left.saturating_sub(bytes);
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    self.readable = false;
                    return Progress::Drained;
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => return Progress::Ended,
            }
        }
        Progress::More
    }

    fn read_chunk(&mut self, chunk: usize) -> io::Result<usize> {
        let have = self.input.len();
        self.input.resize(have + chunk, 0);
        let read = (&*self.socket).read(&mut self.input[have..]);
        self.input.truncate(have + *read.as_ref().unwrap_or(&0));
        read
    }

    /// Accounts for what the buffers hold now.
    fn account(&mut self) {
        self.usage.set(self.input.len(), self.output.bytes());
    }

    /// To be called when all that can be is decoded; `taken`: some of it just now. An empty buffer is given back, as
    /// most connections are idle, and half of a message does not keep the memory of what came before it.
    pub fn trim(&mut self, taken: bool) {
        if taken || self.input.is_empty() {
            self.input = BytesMut::from(&self.input[..]);
        }
        self.account();
    }

    /// Appends a message to the write buffer.
    pub fn push(&mut self, message: OutgoingMessage) {
        self.output.push(message);
        self.account();
    }

    /// Removes a message of which no byte was written. Returns whether there was one.
    pub fn cancel(&mut self, key: u64) -> bool {
        let cancelled = self.output.cancel(key);
        self.account();
        cancelled
    }

    /// Bytes in the write buffer.
    pub fn unwritten_bytes(&self) -> usize {
        self.output.bytes()
    }

    /// The message that is written in part.
    pub fn partially_written(&self) -> Option<WrittenMessage> {
        self.output.partially_written()
    }

    /// Writes what the kernel takes; appends the messages that are written completely.
    ///
    /// # Errors
    /// The error of the socket if writing fails.
    pub fn flush(&mut self, written: &mut Vec<WrittenMessage>) -> io::Result<()> {
        if self.connecting || !self.writable || self.output.is_empty() {
            return Ok(());
        }
        let complete = self.output.flush(&mut &*self.socket, written);
        self.account();
        self.writable = complete?;
        Ok(())
    }

    /// Half-closes the connection: nothing more is written. What the other side still sends is read and dropped until it
    /// closes too, as the kernel resets a connection that is closed over unread bytes.
    pub fn half_close(&mut self) {
        // The kernel goes on writing after the close that follows, as long as the other side reads.
        // Both fail only where the connection is broken already, which reading reports.
        let _ = SockRef::from(&*self.socket).set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT));
        let _ = self.socket.shutdown(Shutdown::Write);
    }

    /// Has the close that follows be a reset: what waits for a side that does not read is not worth the kernel's memory.
    pub fn reset_on_close(&self) {
        // Fails only where the connection is broken already.
        let _ = SockRef::from(&*self.socket).set_linger(Some(Duration::ZERO));
    }

    /// Closes the connection.
    pub fn close<D: 'static>(self, handle: &LoopHandle<'static, D>) {
        handle.remove(self.token);
    }
}
