//! A cache, parent or origin whose answers a test gives by hand.

mod connection;

pub(crate) use connection::take_command;

use crate::wait::{PATIENCE, QUIET, until};
use connection::Acceptor;
use serde_json::json;
use socket2::SockRef;
use std::collections::{BTreeMap, HashMap};
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The receive buffer of a member's connections, bytes: what it does not read stays with the gateway.
const RECEIVE_BUFFER: usize = 16 * 1024;

/// A request that a member received.
#[derive(Clone, Debug)]
pub struct MemberRequest {
    /// The number of the connection.
    pub connection: u64,
    /// The request's name.
    pub id: String,
    /// Its fields.
    pub fields: BTreeMap<String, String>,
    /// Its body.
    pub body: Vec<u8>,
}

impl MemberRequest {
    /// The value of a field.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.get(name).map(String::as_str)
    }
}

/// What happens at a member, with the connection's number.
#[derive(Clone, Debug)]
pub enum MemberEvent {
    /// A connection was opened.
    Opened(u64),
    /// A request came.
    Request(MemberRequest),
    /// The request of that name was cancelled.
    Cancelled(u64, String),
    /// A health check of that name came.
    HealthCheck(u64, String),
    /// A connection has ended.
    Closed(u64),
}

type Connections = Arc<Mutex<HashMap<u64, Arc<TcpStream>>>>;

/// A stand-in for a cache, a parent or the origin. Its methods panic when a connection that they name is not open.
pub struct Member {
    /// Its name.
    pub id: String,
    /// Where it listens.
    pub address: SocketAddr,
    pub(crate) events: Receiver<MemberEvent>,
    connections: Connections,
    listening: Arc<AtomicBool>,
    paused: Arc<AtomicBool>,
}

/// How it is started and what it sees.
impl Member {
    /// Starts a member at a free address.
    ///
    /// # Panics
    /// If it can't listen.
    pub fn start(id: &str) -> Self {
        Self::start_at(id, "127.0.0.1:0".parse().unwrap())
    }

    /// Starts a member at an address.
    ///
    /// # Panics
    /// If it can't listen there.
    pub fn start_at(id: &str, address: SocketAddr) -> Self {
        let listener = TcpListener::bind(address).unwrap();
        let address = listener.local_addr().unwrap();
        SockRef::from(&listener).set_recv_buffer_size(RECEIVE_BUFFER).unwrap();
        listener.set_nonblocking(true).unwrap();
        let (sender, events) = channel();
        let connections = Connections::default();
        let listening = Arc::new(AtomicBool::new(true));
        let paused = Arc::new(AtomicBool::new(false));
        let acceptor = Acceptor {
            connections: connections.clone(),
            listening: listening.clone(),
            paused: paused.clone(),
            events: sender,
        };
        thread::spawn(move || acceptor.run(&listener));
        Member { id: id.to_string(), address, events, connections, listening, paused }
    }

    /// The next event.
    ///
    /// # Panics
    /// If none comes in time.
    pub fn next_event(&self) -> MemberEvent {
        self.events.recv_timeout(PATIENCE).unwrap_or_else(|_| panic!("no further event at {}", self.id))
    }

    /// The next request; other events before it are skipped.
    ///
    /// # Panics
    /// If none comes in time.
    pub fn next_request(&self) -> MemberRequest {
        loop {
            if let MemberEvent::Request(request) = self.next_event() {
                return request;
            }
        }
    }

    /// The next request, if one comes in a short while.
    pub fn request_if_any(&self) -> Option<MemberRequest> {
        let end = Instant::now() + QUIET;
        while let Ok(event) = self.events.recv_timeout(end.saturating_duration_since(Instant::now())) {
            if let MemberEvent::Request(request) = event {
                return Some(request);
            }
        }
        None
    }

    /// Waits until the request of that name is cancelled.
    ///
    /// # Panics
    /// If it isn't in time.
    pub fn expect_cancelled(&self, id: &str) {
        loop {
            if matches!(self.next_event(), MemberEvent::Cancelled(_, cancelled) if cancelled == id) {
                return;
            }
        }
    }

    /// Waits until a connection has ended.
    ///
    /// # Panics
    /// If none does in time.
    pub fn expect_closed(&self) {
        while !matches!(self.next_event(), MemberEvent::Closed(_)) {}
    }

    /// Connections that are open now.
    ///
    /// # Panics
    /// Panics if a thread panicked while it held the lock.
    pub fn open_connections(&self) -> usize {
        self.connections.lock().unwrap().len()
    }

    /// Its entry in the member list.
    pub fn entry(&self, zone: &str, kind: &str, phase: &str) -> serde_json::Value {
        entry(&self.id, self.address, zone, kind, phase)
    }
}

/// What it does.
impl Member {
    /// Writes bytes to a connection.
    ///
    /// # Panics
    /// Panics if the connection is not open or cannot be written to.
    pub fn send(&self, connection: u64, bytes: &[u8]) {
        let stream = self.connections.lock().unwrap().get(&connection).cloned();
        let stream = stream.expect("the connection is open");
        (&*stream).write_all(bytes).unwrap();
    }

    /// The bytes of an answer to the request of that name.
    pub fn encode(id: &str, status: &str, fields: &str, body: &[u8]) -> Vec<u8> {
        let mut bytes = b"*4\r\n".to_vec();
        for part in [id.as_bytes(), status.as_bytes(), fields.as_bytes(), body] {
            bytes.extend(format!("${}\r\n", part.len()).bytes());
            bytes.extend(part);
            bytes.extend(b"\r\n");
        }
        bytes
    }

    /// Answers a request with a status (such as `200`) and a body.
    pub fn answer(&self, request: &MemberRequest, status: &str, body: &[u8]) {
        let fields = if status == "200" { "entity=t1,issued=1" } else { "-" };
        self.send(request.connection, &Self::encode(&request.id, status, fields, body));
    }

    /// Answers the next request as a miss, and returns it.
    ///
    /// # Panics
    /// If none comes in time.
    pub fn answer_miss(&self) -> MemberRequest {
        let request = self.next_request();
        self.answer(&request, "404", &[]);
        request
    }

    /// Answers a request whose connection may have been closed.
    ///
    /// # Panics
    /// Panics if a thread panicked while it held the lock.
    pub fn try_answer(&self, request: &MemberRequest, status: &str, body: &[u8]) {
        let stream = self.connections.lock().unwrap().get(&request.connection).cloned();
        if let Some(stream) = stream {
            let _ = (&*stream).write_all(&Self::encode(&request.id, status, "-", body));
        }
    }

    /// Resets a connection.
    ///
    /// # Panics
    /// Panics if the connection is not open.
    pub fn reset(&self, connection: u64) {
        let stream = self.connections.lock().unwrap().remove(&connection).expect("the connection is open");
        SockRef::from(&*stream).set_linger(Some(Duration::ZERO)).unwrap();
    }

    /// Closes a connection.
    ///
    /// # Panics
    /// Panics if the connection is not open.
    pub fn close(&self, connection: u64) {
        self.connections.lock().unwrap().remove(&connection).expect("the connection is open");
    }

    /// Stops reading.
    pub fn stop_reading(&self) {
        self.paused.store(true, Ordering::SeqCst);
    }

    /// Reads on.
    pub fn resume_reading(&self) {
        self.paused.store(false, Ordering::SeqCst);
    }

    /// Closes its listener, and waits until connections to it are refused.
    ///
    /// # Panics
    /// If they aren't in time.
    pub fn stop_listening(&self) {
        self.listening.store(false, Ordering::SeqCst);
        until("the listener closes", || TcpStream::connect(self.address).is_err());
    }
}

impl Drop for Member {
    fn drop(&mut self) {
        self.listening.store(false, Ordering::SeqCst);
        self.connections.lock().unwrap().clear();
    }
}

/// An entry of the member list, of a member that has run for ever.
pub fn entry(id: &str, address: SocketAddr, zone: &str, kind: &str, phase: &str) -> serde_json::Value {
    json!({"id": id, "host_port": address.to_string(), "locality": zone, "flavor": kind, "cell": 0, "phase": phase,
        "size": 100, "up_since_ms": 0})
}
