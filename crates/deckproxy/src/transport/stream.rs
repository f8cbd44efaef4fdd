//! A TCP connection: its socket, the received bytes that are not decoded yet, and its write buffer.
//!
//! It is registered once, edge-triggered, and remembers the readiness that the kernel reported. A connection whose
//! reading is paused, for fairness or for backpressure, therefore causes no wake-ups.
//!
//! The input buffer takes about as much memory as the bytes in it: sockets are read into a buffer that all connections
//! share. Memory for bytes that have only been announced is taken by [`Stream::reserve_missing`] alone, and counts from
//! then on.

use crate::transport::buffer_usage::{BufferUsage, Held, UsageShare};
use crate::transport::registration::register;
use crate::transport::write_buffer::{OutgoingMessage, WriteBuffer, WrittenMessage};
use bytes::BytesMut;
use calloop::{Interest, LoopHandle, Readiness, RegistrationToken};
use socket2::{Domain, Protocol, SockRef, Socket, Type};
use std::cell::RefCell;
use std::io::{self, ErrorKind, Read};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// Limit of the bytes read from one connection in one turn, before other connections get theirs.
pub const READ_TURN_BYTES: usize = 256 * 1024;
/// Most bytes read in one call.
const READ_CALL_BYTES: usize = 64 * 1024;
/// An input buffer that grows does so by at least one in this many parts, so that small reads do not copy it each time.
const GROWTH_SHARE: usize = 4;
/// Time after which the kernel discards the remaining bytes of a closed connection if the remote end does not
/// acknowledge them.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(10);
/// Size of the kernel's send buffer of an outgoing connection. It is limited because only bytes that the kernel has
/// not accepted are known not to have been sent.
const SEND_BUFFER_BYTES: usize = 128 * 1024;

/// Out of memory.
const ENOMEM: i32 = 12;
/// The system has no free file descriptor.
const ENFILE: i32 = 23;
/// The process has no free file descriptor.
const EMFILE: i32 = 24;
/// The system has no free socket buffer.
const ENOBUFS: i32 = 105;
/// The handshake has begun; this error has no stable `ErrorKind`.
const EINPROGRESS: i32 = 115;

thread_local! {
    /// The buffer into which all connections of a thread read.
    static READ_BUFFER: RefCell<Box<[u8]>> = RefCell::new(vec![0; READ_CALL_BYTES].into());
}

/// The result of one turn of reading.
#[derive(Debug, PartialEq, Eq)]
pub enum Progress {
    /// No more bytes are available for now.
    Drained,
    /// More bytes may be available; other connections get their turn first.
    More,
    /// The remote end has closed the connection, or it failed.
    Ended,
}

/// Whether an error means that the process or the system is out of descriptors, buffers or memory, which is no fault of
/// the remote end.
pub fn is_exhausted(error: &io::Error) -> bool {
    matches!(error.raw_os_error(), Some(EMFILE | ENFILE | ENOBUFS | ENOMEM))
}

/// A connection, established or not.
pub struct Stream {
    socket: Rc<TcpStream>,
    token: RegistrationToken,
    /// Received bytes that are not decoded yet.
    pub input: BytesMut,
    /// Lower bound of the bytes that the decoder is missing for its next message.
    pub missing: usize,
    /// Whether memory was reserved for the rest of the message that is being received.
    has_reservation: bool,
    /// Bytes of the connection's requests that are received and not forwarded yet.
    request_bytes: usize,
    output: WriteBuffer,
    /// Whether a read may return bytes: set when the kernel reports readiness and by `assume_readable`, cleared when a
    /// read would block.
    readable: bool,
    /// Whether a write may succeed: set when the kernel reports readiness, cleared when a write would block.
    writable: bool,
    /// Whether the handshake is still in progress.
    connecting: bool,
    usage: UsageShare,
}

impl Stream {
    /// Wraps an accepted connection. `ready` is called when the kernel reports readiness.
    ///
    /// # Errors
    /// The error of the operating system if the socket cannot be configured or registered.
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
    /// The error of the operating system if the socket cannot be created, configured, connected or registered;
    /// nothing was sent.
    pub fn connect<D: 'static>(
        handle: &LoopHandle<'static, D>,
        usage: &Rc<BufferUsage>,
        to: SocketAddr,
        ready: impl FnMut(&mut D, Readiness) + 'static,
    ) -> io::Result<Self> {
        let socket = Socket::new(Domain::for_address(to), Type::STREAM, Some(Protocol::TCP))?;
        socket.set_nonblocking(true)?;
        socket.set_send_buffer_size(SEND_BUFFER_BYTES)?;
        if let Err(error) = socket.connect(&to.into()) {
            let in_progress =
                error.kind() == ErrorKind::WouldBlock || error.raw_os_error() == Some(EINPROGRESS);
            if !in_progress {
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
            has_reservation: false,
            request_bytes: 0,
            output: WriteBuffer::default(),
            readable: false,
            writable: !connecting,
            connecting,
            usage: UsageShare::new(usage),
        })
    }

    /// Records readiness that the kernel reported.
    pub fn set_ready(&mut self, readiness: Readiness) {
        self.readable |= readiness.readable || readiness.error;
        self.writable |= readiness.writable || readiness.error;
    }

    /// Whether the connection has failed, even if received bytes can still be read.
    pub fn has_failed(&self) -> bool {
        matches!(self.socket.take_error(), Ok(Some(_)))
    }

    /// Makes the connection count as readable, even if the kernel has not reported it.
    pub fn assume_readable(&mut self) {
        self.readable = true;
    }

    /// Whether the handshake is still in progress; checks first whether it has ended.
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
                // The wake-up was not caused by the end of the handshake.
                Err(error) if error.kind() == ErrorKind::NotConnected => self.writable = false,
                Err(error) => return Err(error),
            }
        }
        Ok(self.connecting)
    }

    /// Whether the handshake has ended.
    pub fn is_open(&self) -> bool {
        !self.connecting
    }

    /// Whether a read may return bytes.
    pub fn is_readable(&self) -> bool {
        self.readable && !self.connecting
    }

    /// Reads the available bytes, at most `limit`.
    pub fn read(&mut self, limit: usize) -> Progress {
        let progress = READ_BUFFER.with_borrow_mut(|buffer| self.read_into(buffer, limit));
        self.update_usage();
        progress
    }

    fn read_into(&mut self, buffer: &mut [u8], limit: usize) -> Progress {
        let mut remaining = limit;
        while remaining > 0 {
            let call = remaining.min(buffer.len());
            match (&*self.socket).read(&mut buffer[..call]) {
                Ok(0) => return Progress::Ended,
                // Continues after a short read: an EOF that arrived with the bytes triggers no edge of its own.
                Ok(bytes) => {
                    self.append(&buffer[..bytes]);
                    remaining -= bytes;
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

    /// Appends received bytes to the input buffer.
    fn append(&mut self, bytes: &[u8]) {
        self.missing = self.missing.saturating_sub(bytes.len());
        if self.spare() < bytes.len() {
            self.grow_input(bytes.len().max(self.input.len() / GROWTH_SHARE));
        }
        self.input.extend_from_slice(bytes);
    }

    /// Moves the input to a buffer with room for exactly `spare` further bytes.
    fn grow_input(&mut self, spare: usize) {
        let mut grown = BytesMut::with_capacity(self.input.len() + spare);
        grown.extend_from_slice(&self.input);
        self.input = grown;
    }

    /// Bytes that the input buffer has room for.
    fn spare(&self) -> usize {
        self.input.capacity() - self.input.len()
    }

    /// Whether memory is reserved for the rest of the message that is being received.
    pub fn has_reservation(&self) -> bool {
        self.has_reservation
    }

    /// Takes memory for the bytes that the decoder is missing for its next message.
    pub fn reserve_missing(&mut self) {
        if self.spare() < self.missing {
            self.grow_input(self.missing);
        }
        self.has_reservation = true;
        self.update_usage();
    }

    /// Counts the requests that are received on the connection and not forwarded yet, by the bytes that they take.
    pub fn set_request_bytes(&mut self, bytes: usize) {
        self.request_bytes = bytes;
        self.update_usage();
    }

    /// Updates the accounting with the current sizes of the buffers.
    fn update_usage(&mut self) {
        self.usage.set(Held {
            input: self.input.capacity(),
            output: self.output.held_bytes(),
            requests: self.request_bytes,
            has_reservation: self.has_reservation,
        });
    }

    /// Releases unused memory of the input buffer; called when it holds no further complete message. `consumed` says
    /// whether messages were decoded since the last call. An empty buffer is freed, as most connections are idle, and a
    /// partial message does not retain the memory of the messages before it.
    pub fn trim(&mut self, consumed: bool) {
        if consumed || self.input.is_empty() {
            self.input = BytesMut::from(&self.input[..]);
            self.has_reservation = false;
        }
        self.update_usage();
    }

    /// Appends a message to the write buffer.
    pub fn push(&mut self, message: OutgoingMessage) {
        self.output.push(message);
        self.update_usage();
    }

    /// Removes a message of which no byte was written. Returns whether it was removed.
    pub fn cancel(&mut self, key: u64) -> bool {
        let cancelled = self.output.cancel(key);
        self.update_usage();
        cancelled
    }

    /// Bytes in the write buffer.
    pub fn unwritten_bytes(&self) -> usize {
        self.output.bytes()
    }

    /// Bytes of memory that the connection's buffers take.
    pub fn held_bytes(&self) -> usize {
        self.input.capacity() + self.output.held_bytes() + self.request_bytes
    }

    /// The partially written message, if any.
    pub fn partially_written(&self) -> Option<WrittenMessage> {
        self.output.partially_written()
    }

    /// Writes as much as the kernel accepts, and appends completely written messages to `written`.
    ///
    /// # Errors
    /// The error of the socket if writing fails.
    pub fn flush(&mut self, written: &mut Vec<WrittenMessage>) -> io::Result<()> {
        if self.connecting || !self.writable || self.output.is_empty() {
            return Ok(());
        }
        let complete = self.output.flush(&mut &*self.socket, written);
        self.update_usage();
        self.writable = complete?;
        Ok(())
    }

    /// Half-closes the connection: nothing more is written. The caller then reads and drops what the remote end
    /// still sends until it closes too, as the kernel resets a connection that is closed with unread bytes.
    pub fn half_close(&mut self) {
        // The kernel continues to send after the close that follows, as long as the remote end reads.
        // Both calls fail only if the connection is already broken, which the next read reports.
        let _ = SockRef::from(&*self.socket).set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT));
        let _ = self.socket.shutdown(Shutdown::Write);
    }

    /// Makes the close that follows a reset: the kernel frees the unsent bytes at once instead of keeping them in
    /// memory for a remote end that does not read.
    pub fn reset_on_close(&self) {
        // Fails only if the connection is already broken.
        let _ = SockRef::from(&*self.socket).set_linger(Some(Duration::ZERO));
    }

    /// Closes the connection.
    pub fn close<D: 'static>(self, handle: &LoopHandle<'static, D>) {
        handle.remove(self.token);
    }
}
