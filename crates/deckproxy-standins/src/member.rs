//! A member whose answers are given by hand.

use crate::wait::{PATIENCE, QUIET, next_number, until};
use serde_json::json;
use socket2::SockRef;
use std::collections::{BTreeMap, HashMap};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// A request that a member got.
#[derive(Clone, Debug)]
pub struct Ask {
    pub conn: u64,
    pub id: String,
    pub fields: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Ask {
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.get(name).map(String::as_str)
    }
}

/// What a member sees.
#[derive(Clone, Debug)]
pub enum Seen {
    Opened(u64),
    Ask(Ask),
    Quit(u64, String),
    Probe(u64, String),
    Closed(u64),
}

type Conns = Arc<Mutex<HashMap<u64, Arc<TcpStream>>>>;

/// A stand-in for a cache, a parent or the origin. The test answers by hand.
pub struct Member {
    pub id: String,
    pub address: SocketAddr,
    pub(crate) seen: Receiver<Seen>,
    conns: Conns,
    listening: Arc<AtomicBool>,
    stalled: Arc<AtomicBool>,
}

fn read_some(stream: &TcpStream, buffer: &mut Vec<u8>, stalled: &AtomicBool) -> Option<bool> {
    if stalled.load(Ordering::SeqCst) {
        thread::sleep(Duration::from_millis(2));
        return Some(false);
    }
    let mut chunk = [0; 65536];
    match (&mut &*stream).read(&mut chunk) {
        Ok(0) => None,
        Ok(n) => {
            buffer.extend_from_slice(&chunk[..n]);
            Some(true)
        }
        Err(e) if matches!(e.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => {
            Some(false)
        }
        Err(_) => None,
    }
}

/// Takes one array of bulk strings off the buffer.
pub(crate) fn command(buffer: &mut Vec<u8>) -> Option<Vec<Vec<u8>>> {
    fn line(bytes: &[u8], at: &mut usize) -> Option<usize> {
        let end = bytes[*at..].windows(2).position(|w| w == b"\r\n")? + *at;
        let number = std::str::from_utf8(&bytes[*at + 1..end]).unwrap().parse().unwrap();
        *at = end + 2;
        Some(number)
    }
    let mut at = 0;
    if buffer.is_empty() {
        return None;
    }
    let count = line(buffer, &mut at)?;
    let mut words = Vec::new();
    for _ in 0..count {
        if at >= buffer.len() {
            return None;
        }
        let length = line(buffer, &mut at)?;
        if buffer.len() < at + length + 2 {
            return None;
        }
        words.push(buffer[at..at + length].to_vec());
        at += length + 2;
    }
    buffer.drain(..at);
    Some(words)
}

fn serve(conn: u64, stream: Arc<TcpStream>, conns: &Conns, stalled: &AtomicBool, seen: &Sender<Seen>) {
    let mut buffer = Vec::new();
    let _ = seen.send(Seen::Opened(conn));
    while conns.lock().unwrap().contains_key(&conn) {
        if read_some(&stream, &mut buffer, stalled).is_none() {
            break;
        }
        while let Some(words) = command(&mut buffer) {
            let text = |i: usize| String::from_utf8(words[i].clone()).unwrap();
            let what = match text(0).as_str() {
                "ASK" => {
                    let fields = text(2);
                    let fields = fields.split(',').filter_map(|f| f.split_once('='));
                    let fields = fields.map(|(n, v)| (n.to_string(), v.to_string())).collect();
                    Seen::Ask(Ask { conn, id: text(1), fields, body: words[3].clone() })
                }
                "QUIT" => Seen::Quit(conn, text(1)),
                "INFO" | "NOOP" => Seen::Probe(conn, text(1)),
                other => panic!("an unknown command {other}"),
            };
            let _ = seen.send(what);
        }
    }
    conns.lock().unwrap().remove(&conn);
    // It is told once the connection has ended.
    drop(stream);
    let _ = seen.send(Seen::Closed(conn));
}

impl Member {
    pub fn start(id: &str) -> Self {
        Self::start_at(id, "127.0.0.1:0".parse().unwrap())
    }

    pub fn start_at(id: &str, at: SocketAddr) -> Self {
        let listener = TcpListener::bind(at).unwrap();
        let address = listener.local_addr().unwrap();
        // What it does not read stays with the gateway.
        socket2::SockRef::from(&listener).set_recv_buffer_size(16 * 1024).unwrap();
        listener.set_nonblocking(true).unwrap();
        let (send, seen) = channel();
        let conns: Conns = Arc::default();
        let listening = Arc::new(AtomicBool::new(true));
        let stalled = Arc::new(AtomicBool::new(false));
        let shared = (conns.clone(), listening.clone(), stalled.clone());
        thread::spawn(move || {
            let (conns, listening, stalled) = shared;
            while listening.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                stream.set_nonblocking(false).unwrap();
                stream.set_nodelay(true).unwrap();
                stream.set_read_timeout(Some(Duration::from_millis(5))).unwrap();
                let conn = next_number();
                let stream = Arc::new(stream);
                conns.lock().unwrap().insert(conn, stream.clone());
                let (conns, stalled, send) = (conns.clone(), stalled.clone(), send.clone());
                thread::spawn(move || serve(conn, stream, &conns, &stalled, &send));
            }
        });
        Member { id: id.to_string(), address, seen, conns, listening, stalled }
    }

    /// The next thing it sees.
    pub fn next(&self) -> Seen {
        self.seen.recv_timeout(PATIENCE).unwrap_or_else(|_| panic!("{} saw nothing more", self.id))
    }

    /// The next request; what comes before it is passed over.
    pub fn ask(&self) -> Ask {
        loop {
            if let Seen::Ask(ask) = self.next() {
                return ask;
            }
        }
    }

    /// The next request, if one comes in a short while.
    pub fn maybe_ask(&self) -> Option<Ask> {
        let end = Instant::now() + QUIET;
        while let Ok(seen) = self.seen.recv_timeout(end.saturating_duration_since(Instant::now())) {
            if let Seen::Ask(ask) = seen {
                return Some(ask);
            }
        }
        None
    }

    /// Waits until a request is given up.
    pub fn quit(&self, id: &str) {
        loop {
            if matches!(self.next(), Seen::Quit(_, quit) if quit == id) {
                return;
            }
        }
    }

    /// Waits until a connection has ended.
    pub fn closed(&self) {
        while !matches!(self.next(), Seen::Closed(_)) {}
    }

    pub fn send(&self, conn: u64, bytes: &[u8]) {
        let stream = self.conns.lock().unwrap().get(&conn).cloned().expect("the connection is open");
        (&mut &*stream).write_all(bytes).unwrap();
    }

    pub fn encode(id: &str, word: &str, fields: &str, body: &[u8]) -> Vec<u8> {
        let mut bytes = b"*4\r\n".to_vec();
        for part in [id.as_bytes(), word.as_bytes(), fields.as_bytes(), body] {
            bytes.extend(format!("${}\r\n", part.len()).bytes());
            bytes.extend(part);
            bytes.extend(b"\r\n");
        }
        bytes
    }

    pub fn answer(&self, ask: &Ask, word: &str, body: &[u8]) {
        let fields = if word == "200" { "entity=t1,issued=1" } else { "-" };
        self.send(ask.conn, &Self::encode(&ask.id, word, fields, body));
    }

    /// Answers what may have been given up, its connection closed.
    pub fn try_answer(&self, ask: &Ask, word: &str, body: &[u8]) {
        let stream = self.conns.lock().unwrap().get(&ask.conn).cloned();
        let bytes = Self::encode(&ask.id, word, "-", body);
        let _ = stream.map(|s| (&mut &*s).write_all(&bytes));
    }

    /// Breaks a connection with a reset.
    pub fn reset(&self, conn: u64) {
        let stream = self.conns.lock().unwrap().remove(&conn).expect("the connection is open");
        SockRef::from(&*stream).set_linger(Some(Duration::ZERO)).unwrap();
    }

    /// Closes a connection.
    pub fn close(&self, conn: u64) {
        self.conns.lock().unwrap().remove(&conn).expect("the connection is open");
    }

    /// Connections that are open now.
    pub fn open(&self) -> usize {
        self.conns.lock().unwrap().len()
    }

    /// Reads nothing more.
    pub fn stall(&self) {
        self.stalled.store(true, Ordering::SeqCst);
    }

    /// Reads on.
    pub fn resume(&self) {
        self.stalled.store(false, Ordering::SeqCst);
    }

    /// Takes no more connections: they are refused.
    pub fn refuse(&self) {
        self.listening.store(false, Ordering::SeqCst);
        until("the listener closes", || TcpStream::connect(self.address).is_err());
    }

    /// Its line in the list.
    pub fn entry(&self, zone: &str, kind: &str, phase: &str) -> serde_json::Value {
        entry(&self.id, self.address, zone, kind, phase)
    }
}

impl Drop for Member {
    fn drop(&mut self) {
        self.listening.store(false, Ordering::SeqCst);
        self.conns.lock().unwrap().clear();
    }
}

pub fn entry(id: &str, at: SocketAddr, zone: &str, kind: &str, phase: &str) -> serde_json::Value {
    json!({"id": id, "host_port": at.to_string(), "locality": zone, "flavor": kind, "cell": 0, "phase": phase,
        "size": 100, "up_since_ms": 0})
}
