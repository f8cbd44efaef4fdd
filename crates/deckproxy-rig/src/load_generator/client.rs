//! A client of the load generator, and its connections to instances.

use super::{ClientAttempt, LoadSettings};
use deckproxy_standins::load_client::{RequestSpec, read_outcome};
use deckproxy_standins::record::Outcome;
use mio::net::TcpStream;
use socket2::{Domain, Socket, Type};
use std::collections::HashMap;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

/// Address of the first client; the others follow.
const FIRST_ADDRESS: Ipv4Addr = Ipv4Addr::new(127, 40, 0, 2);
/// Time after which a connection counts as refused.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// Bytes that are read at a time.
const READ_CHUNK: usize = 64 * 1024;

/// A client with an address of its own.
pub(super) struct SimulatedClient {
    address: Ipv4Addr,
    /// The instance that most of its requests go to first.
    pub(super) home: usize,
    /// Its connections by instance.
    pub(super) connections: HashMap<usize, Connection>,
    /// Until when it avoids instances that did not answer, ms of the record.
    pub(super) avoided_until: HashMap<usize, f64>,
}

impl SimulatedClient {
    /// The client of a number. By the skew, some share of all clients is at home at the first instance, the rest at the
    /// others by turns.
    pub(super) fn new(number: usize, settings: &LoadSettings, instances: usize) -> Self {
        let first_share = settings.skew / (settings.skew + instances as f64 - 1.0);
        let at_first = |clients: usize| (clients as f64 * first_share).floor();
        let is_at_first = at_first(number) != at_first(number + 1);
        let home = if is_at_first || instances == 1 { 0 } else { 1 + number % (instances - 1) };
        SimulatedClient {
            address: Ipv4Addr::from(u32::from(FIRST_ADDRESS) + crate::saturating_u32(number)),
            home,
            connections: HashMap::new(),
            avoided_until: HashMap::new(),
        }
    }

    /// Connects from the client's own address.
    pub(super) fn connect(&self, instance: SocketAddr) -> io::Result<TcpStream> {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
        socket.bind(&SocketAddr::from((self.address, 0)).into())?;
        socket.connect_timeout(&instance.into(), CONNECT_TIMEOUT)?;
        socket.set_nonblocking(true)?;
        let stream = TcpStream::from_std(socket.into());
        let _ = stream.set_nodelay(true);
        Ok(stream)
    }
}

/// A request that a client wants, and how far it is.
#[derive(Clone, Copy)]
pub(super) struct PendingRequest {
    pub(super) client: usize,
    pub(super) spec: RequestSpec,
    /// Its number in the run.
    pub(super) number: u64,
    /// When it was wanted, ms of the record.
    pub(super) requested_at: f64,
    /// Attempts so far.
    pub(super) attempts: u32,
    /// Where the next attempt goes.
    pub(super) instance: usize,
    /// The next attempt is made at the time that a Retry-After named.
    pub(super) after_retry_after: bool,
}

impl PendingRequest {
    /// When the client gives up, ms of the record.
    pub(super) fn deadline(&self) -> f64 {
        self.requested_at + f64::from(self.spec.timeout_ms)
    }

    /// Its next attempt, which has no answer so far.
    pub(super) fn attempt(&self, now: f64, name: String, timeout_ms: f64) -> ClientAttempt {
        ClientAttempt {
            name,
            request: self.number,
            earlier_attempts: self.attempts,
            at: now,
            requested_at: self.requested_at,
            timeout_ms,
            instance: self.instance,
            class: self.spec.class,
            object: self.spec.object,
            after_retry_after: self.after_retry_after,
            answer: None,
        }
    }
}

/// An attempt without an answer.
pub(super) struct InFlight {
    pub(super) request: PendingRequest,
    pub(super) attempt: ClientAttempt,
}

/// An answer on a connection.
pub(super) enum Answer {
    /// The first one of an attempt.
    First(InFlight, Outcome),
    /// A further one of an attempt, by its name.
    Repeated(String, Outcome),
}

/// What a read came to.
pub(super) struct Received {
    pub(super) answers: Vec<Answer>,
    /// The connection has ended, or what came was no answer.
    pub(super) has_ended: bool,
}

/// A client's connection to an instance.
pub(super) struct Connection {
    pub(super) stream: TcpStream,
    /// Its key at the event queue.
    pub(super) key: usize,
    read_buffer: Vec<u8>,
    pub(super) write_buffer: Vec<u8>,
    next_id: u64,
    pub(super) in_flight: HashMap<u64, InFlight>,
    /// Names of the attempts that were answered, by id.
    answered: HashMap<u64, String>,
}

impl Connection {
    pub(super) fn new(stream: TcpStream, key: usize) -> Self {
        Connection {
            stream,
            key,
            read_buffer: Vec::new(),
            write_buffer: Vec::new(),
            next_id: 1,
            in_flight: HashMap::new(),
            answered: HashMap::new(),
        }
    }

    /// An id for the next request.
    pub(super) fn take_id(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id - 1
    }

    /// Writes what the socket takes.
    ///
    /// # Errors
    ///
    /// The connection has ended.
    pub(super) fn flush(&mut self) -> io::Result<()> {
        while !self.write_buffer.is_empty() {
            match self.stream.write(&self.write_buffer) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(length) => drop(self.write_buffer.drain(..length)),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(e) => return Err(e),
            }
        }
        Ok(())
    }

    /// Reads what the socket has, and takes the complete answers.
    pub(super) fn receive(&mut self) -> Received {
        let mut has_ended = self.read().is_err();
        let mut answers = Vec::new();
        let mut used = 0;
        loop {
            let mut rest = &self.read_buffer[used..];
            let Ok(value) = rmpv::decode::read_value(&mut rest) else { break };
            used = self.read_buffer.len() - rest.len();
            let Some((id, outcome)) = read_outcome(&value) else {
                has_ended = true;
                break;
            };
            if let Some(in_flight) = self.in_flight.remove(&id) {
                self.answered.insert(id, in_flight.attempt.name.clone());
                answers.push(Answer::First(in_flight, outcome));
            } else if let Some(name) = self.answered.get(&id) {
                answers.push(Answer::Repeated(name.clone(), outcome));
            }
        }
        self.read_buffer.drain(..used);
        Received { answers, has_ended }
    }

    fn read(&mut self) -> io::Result<()> {
        let mut chunk = [0; READ_CHUNK];
        loop {
            match self.stream.read(&mut chunk) {
                Ok(0) => return Err(ErrorKind::UnexpectedEof.into()),
                Ok(length) => self.read_buffer.extend_from_slice(&chunk[..length]),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
    }
}
