//! A TCP connection: its socket, the received bytes that are not decoded yet, and its write buffer.
//!
//! It is registered once, edge-triggered, and remembers the readiness that the kernel reported. A connection whose
//! reading is paused, for fairness or for backpressure, therefore causes no wake-ups.

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

/// Bytes read in one call, unless the decoder is missing more for its next message.
const READ_CHUNK_BYTES: usize = 16 * 1024;
/// Limit of the bytes read from one connection in one turn, before other connections get theirs; the last call may
/// exceed it by less than a chunk.
const READ_TURN_BYTES: usize = 256 * 1024;
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

    /// Reads the available bytes, up to the limit of one turn.
    pub fn read(&mut self) -> Progress {
        let progress = self.read_turn();
        self.update_usage();
        progress
    }

    fn read_turn(&mut self) -> Progress {
        let mut remaining = READ_TURN_BYTES;
        while remaining > 0 {
            let chunk = self.missing.max(READ_CHUNK_BYTES).min(remaining.max(READ_CHUNK_BYTES));
            match self.read_chunk(chunk) {
                Ok(0) => return Progress::Ended,
                // Continues after a short read: an EOF that arrived with the bytes triggers no edge of its own.
                Ok(bytes) => {
                    self.missing = self.missing.saturating_sub(bytes);
                    remaining = remaining.saturating_sub(bytes);
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
        let buffered = self.input.len();
        self.input.resize(buffered + chunk, 0);
        let read = (&*self.socket).read(&mut self.input[buffered..]);
        self.input.truncate(buffered + *read.as_ref().unwrap_or(&0));
        read
    }

    /// Updates the accounting with the current sizes of the buffers.
    fn update_usage(&mut self) {
        self.usage.set(self.input.len(), self.output.bytes());
    }

    /// Releases unused memory of the input buffer; called when it holds no further complete message. `consumed` says
    /// whether messages were decoded since the last call. An empty buffer is freed, as most connections are idle, and a
    /// partial message does not retain the memory of the messages before it.
    pub fn trim(&mut self, consumed: bool) {
        if consumed || self.input.is_empty() {
            self.input = BytesMut::from(&self.input[..]);
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
