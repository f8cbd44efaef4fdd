//! A client's connection to an instance, with one request at a time.

use deckproxy_standins::load_client::{RequestSpec, encode_request, read_outcome};
use deckproxy_standins::record::Outcome;
use std::collections::HashMap;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Time after which a connection counts as refused.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// The shortest time that a read waits.
pub(super) const LEAST_READ_TIMEOUT: Duration = Duration::from_millis(1);
/// Bytes that are read at a time.
const READ_CHUNK: usize = 64 * 1024;

/// A request that was sent.
pub(super) struct SentRequest {
    pub(super) name: String,
    /// When it was sent, ms of the record.
    pub(super) sent_at: f64,
    /// How long it may take, ms.
    pub(super) timeout_ms: f64,
}

/// A client's connection to an instance.
pub(super) struct Connection {
    stream: TcpStream,
    buffer: Vec<u8>,
    /// Requests that were sent on it, by id; those that were answered stay, so that a second answer is seen.
    requests: HashMap<u64, SentRequest>,
    next_id: u64,
}

impl Connection {
    /// Connects to an instance.
    pub(super) fn open(address: &SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(address, CONNECT_TIMEOUT)?;
        let _ = stream.set_nodelay(true);
        Ok(Connection { stream, buffer: Vec::new(), requests: HashMap::new(), next_id: 1 })
    }

    /// Reads what comes within a time; false where nothing came.
    pub(super) fn read(&mut self, timeout: Duration) -> Result<bool, Disconnected> {
        let _ = self.stream.set_read_timeout(Some(timeout.max(LEAST_READ_TIMEOUT)));
        let mut chunk = [0; READ_CHUNK];
        match self.stream.read(&mut chunk) {
            Ok(0) => Err(Disconnected),
            Ok(length) => {
                self.buffer.extend_from_slice(&chunk[..length]);
                Ok(true)
            }
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => Ok(false),
            Err(_) => Err(Disconnected),
        }
    }

    /// Sends a request, and gives its id.
    ///
    /// # Errors
    ///
    /// The connection has ended.
    pub(super) fn send(
        &mut self,
        sent: SentRequest,
        request: &RequestSpec,
        is_retry: bool,
    ) -> Result<u64, Disconnected> {
        let id = self.next_id;
        self.next_id += 1;
        let message = encode_request(id, &sent.name, request, is_retry);
        self.requests.insert(id, sent);
        self.stream.write_all(&message).map_err(|_| Disconnected)?;
        Ok(id)
    }

    /// The request of an id that was sent on this connection.
    pub(super) fn request(&self, id: u64) -> Option<&SentRequest> {
        self.requests.get(&id)
    }

    /// Takes the next complete answer from what was read.
    pub(super) fn next_answer(&mut self) -> Result<Option<Answer>, Disconnected> {
        let mut rest = &self.buffer[..];
        let Ok(value) = rmpv::decode::read_value(&mut rest) else { return Ok(None) };
        let used = self.buffer.len() - rest.len();
        self.buffer.drain(..used);
        let (id, outcome) = read_outcome(&value).ok_or(Disconnected)?;
        Ok(Some(Answer { id, outcome }))
    }
}

/// An answer to a request of a connection.
pub(super) struct Answer {
    pub(super) id: u64,
    pub(super) outcome: Outcome,
}

/// The connection has ended, or what came on it was no answer.
pub(super) struct Disconnected;
