//! Stand-ins for all that a gateway talks to, and the gateway's process. Each waits for a condition.
#![allow(dead_code, clippy::missing_panics_doc)]

use rmpv::Value;
use serde_json::json;
use socket2::SockRef;
use std::collections::{BTreeMap, HashMap};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// How long a test waits for what must come.
pub const PATIENCE: Duration = Duration::from_secs(10);
/// How long it waits to see that something does not come.
pub const QUIET: Duration = Duration::from_millis(150);

/// Waits until a condition holds.
pub fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let end = Instant::now() + PATIENCE;
    while !holds() {
        assert!(Instant::now() < end, "in vain: {what}");
        thread::sleep(Duration::from_millis(2));
    }
}

/// The Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap();
    u64::try_from(since.as_millis()).unwrap()
}

/// An address on which nobody listens.
pub fn free_address() -> SocketAddr {
    // An address of its own: a port alone may be taken by another test before its gateway listens.
    let n = NEXT.fetch_add(1, Ordering::SeqCst);
    let part = |n: u64, of: u64, from: u64| u8::try_from(n % of + from).unwrap();
    let at = [127, part(std::process::id().into(), 200, 20), part(n / 250, 250, 1), part(n, 250, 1)];
    TcpListener::bind((std::net::Ipv4Addr::from(at), 0)).unwrap().local_addr().unwrap()
}

// ---- Members -----------------------------------------------------------------------------------------------

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
    seen: Receiver<Seen>,
    conns: Conns,
    listening: Arc<AtomicBool>,
    stalled: Arc<AtomicBool>,
}

static NEXT: AtomicU64 = AtomicU64::new(1);

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
fn command(buffer: &mut Vec<u8>) -> Option<Vec<Vec<u8>>> {
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
                let conn = NEXT.fetch_add(1, Ordering::SeqCst);
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

// ---- The feed ----------------------------------------------------------------------------------------------

/// A stand-in for the control feed.
pub struct Feed {
    pub address: SocketAddr,
    subs: Receiver<(u64, TcpStream)>,
}

impl Feed {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (send, subs) = channel();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let mut line = Vec::new();
                let mut byte = [0];
                stream.set_read_timeout(Some(PATIENCE)).unwrap();
                while matches!((&stream).read(&mut byte), Ok(1)) && byte[0] != b'\n' {
                    line.push(byte[0]);
                }
                let line = String::from_utf8(line).unwrap();
                let Some(number) = line.strip_prefix("SUB ").and_then(|n| n.parse().ok()) else { continue };
                if send.send((number, stream)).is_err() {
                    return;
                }
            }
        });
        Feed { address, subs }
    }

    /// The next subscription: from which number, and its connection.
    pub fn sub(&self) -> (u64, TcpStream) {
        self.subs.recv_timeout(PATIENCE).expect("a subscription")
    }
}

/// Writes one line to a subscriber.
pub fn tell(mut to: &TcpStream, line: &serde_json::Value) {
    to.write_all(format!("{line}\n").as_bytes()).unwrap();
}

// ---- Clients -----------------------------------------------------------------------------------------------

/// How a request was answered.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    Served(Vec<u8>, BTreeMap<String, String>),
    Error(String, BTreeMap<String, String>),
    Ready(bool),
}

/// A stand-in for a client.
pub struct Client {
    stream: TcpStream,
    buffer: Vec<u8>,
    next: u64,
}

fn fields_of(value: &Value) -> BTreeMap<String, String> {
    let text = |v: &Value| v.as_str().unwrap().to_string();
    value.as_map().unwrap().iter().map(|(n, v)| (text(n), text(v))).collect()
}

/// A name that no other request has.
pub fn fresh_name() -> String {
    format!("{:016x}", 0xabc0_0000_0000_0000 + NEXT.fetch_add(1, Ordering::SeqCst))
}

impl Client {
    pub fn connect(to: SocketAddr) -> Self {
        let stream = TcpStream::connect(to).unwrap();
        stream.set_nodelay(true).unwrap();
        Client { stream, buffer: Vec::new(), next: 1 }
    }

    pub fn send(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).unwrap();
    }

    pub fn try_send(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        self.stream.write_all(bytes)
    }

    pub fn try_abort(&mut self, id: u64) -> std::io::Result<()> {
        let mut bytes = Vec::new();
        let ids = Value::Array(vec![2.into(), "abort".into(), Value::Array(vec![id.into()])]);
        rmpv::encode::write_value(&mut bytes, &ids).unwrap();
        self.try_send(&bytes)
    }

    /// Encodes a request of its own next id; gives the id too.
    pub fn encode(&mut self, class: &str, fields: &[(&str, &str)], body: &[u8]) -> (u64, Vec<u8>) {
        let id = self.next;
        self.next += 1;
        let mut all: Vec<(String, String)> =
            vec![("ref".into(), fresh_name()), ("allow".into(), "1200".into()), ("room".into(), "10".into())];
        all.extend(fields.iter().map(|(n, v)| ((*n).to_string(), (*v).to_string())));
        let map = all.into_iter().map(|(n, v)| (Value::from(n), Value::from(v))).collect();
        let message = Value::Array(vec![
            0.into(),
            id.into(),
            class.into(),
            Value::Array(vec![Value::Map(map), Value::Binary(body.to_vec())]),
        ]);
        let mut bytes = Vec::new();
        rmpv::encode::write_value(&mut bytes, &message).unwrap();
        (id, bytes)
    }

    /// Sends a request.
    pub fn call(&mut self, class: &str, fields: &[(&str, &str)], body: &[u8]) -> u64 {
        let (id, bytes) = self.encode(class, fields, body);
        self.send(&bytes);
        id
    }

    /// Asks for an object.
    pub fn get(&mut self, object: &str) -> u64 {
        self.call("page", &[("lookup", object)], &[])
    }

    pub fn ping(&mut self) -> u64 {
        let id = self.next;
        self.next += 1;
        let params = Value::Array(vec![Value::Map(Vec::new())]);
        self.send_value(&Value::Array(vec![0.into(), id.into(), "ping".into(), params]));
        id
    }

    pub fn abort(&mut self, id: u64) {
        let ids = Value::Array(vec![id.into()]);
        self.send_value(&Value::Array(vec![2.into(), "abort".into(), ids]));
    }

    pub fn send_value(&mut self, value: &Value) {
        let mut bytes = Vec::new();
        rmpv::encode::write_value(&mut bytes, value).unwrap();
        self.send(&bytes);
    }

    fn read(&mut self, patience: Duration) -> Option<usize> {
        self.stream.set_read_timeout(Some(patience)).unwrap();
        let mut chunk = [0; 65536];
        let n = self.stream.read(&mut chunk).ok()?;
        self.buffer.extend_from_slice(&chunk[..n]);
        Some(n)
    }

    fn take(&mut self) -> Option<(u64, Answer)> {
        let mut rest = &self.buffer[..];
        let value = rmpv::decode::read_value(&mut rest).ok()?;
        let used = self.buffer.len() - rest.len();
        self.buffer.drain(..used);
        let parts = value.as_array().unwrap();
        assert_eq!((parts.len(), &parts[0]), (4, &Value::from(1)));
        let id = parts[1].as_u64().unwrap();
        let answer = match (&parts[2], &parts[3]) {
            (Value::Nil, Value::Array(result)) => match &result[0] {
                Value::Boolean(ready) => Answer::Ready(*ready),
                body => Answer::Served(body.as_slice().unwrap().to_vec(), fields_of(&result[1])),
            },
            (Value::Array(error), Value::Nil) => {
                Answer::Error(error[0].as_str().unwrap().to_string(), fields_of(&error[1]))
            }
            other => panic!("an answer that can't be read: {other:?}"),
        };
        Some((id, answer))
    }

    /// The next answer and what it answers.
    pub fn answer(&mut self) -> (u64, Answer) {
        let end = Instant::now() + PATIENCE;
        loop {
            if let Some(got) = self.take() {
                return got;
            }
            let n = self.read(end.saturating_duration_since(Instant::now()).max(Duration::from_millis(1)));
            assert!(n.is_some_and(|n| n > 0), "no answer came: {n:?}");
        }
    }

    /// Expects that the next answer is served with this body.
    pub fn served(&mut self, id: u64, body: &[u8]) {
        let (got, answer) = self.answer();
        assert_eq!(got, id);
        assert!(matches!(&answer, Answer::Served(b, _) if b == body), "{answer:?}");
    }

    /// Expects an error of that word.
    pub fn error(&mut self, id: u64, word: &str) -> BTreeMap<String, String> {
        match self.answer() {
            (got, Answer::Error(w, fields)) if got == id && w == word => fields,
            other => panic!("in place of {word} to {id}: {other:?}"),
        }
    }

    /// Expects that nothing comes for a short while.
    pub fn quiet(&mut self) {
        assert_eq!(self.read(QUIET), None, "something came, or the connection ended");
    }

    /// Expects that the gateway closes the connection.
    pub fn closed(&mut self) {
        self.stream.set_read_timeout(Some(PATIENCE)).unwrap();
        let mut rest = Vec::new();
        match self.stream.read_to_end(&mut rest) {
            Ok(_) => {}
            Err(e) => assert_eq!(e.kind(), std::io::ErrorKind::ConnectionReset),
        }
    }
}

// ---- The gateway -------------------------------------------------------------------------------------------

pub fn settings() -> serde_json::Value {
    json!({
        "services": [
            {"name": "page", "aimMs": 600.0, "aimStretch": 2.0, "deadlineMs": 1500.0, "effect": "retryable",
             "group": "all", "importance": 1.0, "lateShare": 0.2, "dedupWindowMs": 0.0, "stream": false},
            {"name": "post", "aimMs": 800.0, "deadlineMs": 1500.0, "effect": "dedup", "group": "all",
             "importance": 3.0, "lateShare": 0.0, "dedupWindowMs": 6000.0, "stream": false},
            {"name": "once", "aimMs": 800.0, "deadlineMs": 1500.0, "effect": "fragile", "group": "all",
             "importance": 3.0, "lateShare": 0.0, "dedupWindowMs": 0.0, "stream": false}
        ],
        "familyInfo": {"maxAgeMs": [0.0, 0.0, 0.0], "usableAfterMs": [0.0, 0.0, 0.0],
            "agedWorth": [0.0, 0.0, 0.0], "goesThrough": [false, true, true], "shieldKind": 1, "sourceKind": 2,
            "bypassAllowed": true, "canJoin": true, "sideways": "none", "flowKbPerS": 1000.0,
            "zoneBalancers": [0, 1], "inletKbPerS": [0.0, 1_000_000.0], "obeyAfterMs": 500.0,
            "clearedWithinMs": 6000.0, "upperColdFrom": 0.1, "upperColdMs": 5000.0, "parentFallMultiple": 2.0},
        "rules": {"coldFrom": 0.2, "rampTimeMs": 5000.0, "fallMultiple": 3.0, "fallMs": 1000.0,
            "drainGraceMs": 500.0, "answerSlackMs": 8.0},
        "limits": {"sendCap": 6, "secondCopies": false, "cancel": true, "retryAfter": true,
            "maxRetryAfterMs": 500.0, "connIdleMs": 15000.0, "connectTimeoutMs": 400.0, "maxStreams": 100,
            "maxOpen": 20000, "probes": true},
        "report": {"fields": ["busy_reqs", "x1"], "via": "probe"},
        "machineTypes": ["box", "parent", "origin"], "zones": ["hub", "edge"], "locality": 1,
        "groupSize": 1, "position": 0, "discovery": "pushed"
    })
}

/// What a gateway is configured with; a test changes what it is about.
pub struct Setup {
    pub settings: serde_json::Value,
    pub events: Vec<serde_json::Value>,
    pub feed: SocketAddr,
    pub listen: SocketAddr,
    pub sockets: u64,
    pub memory: u64,
}

impl Setup {
    /// A gateway that knows these entries and no feed that answers.
    pub fn knowing(entries: &[serde_json::Value]) -> Self {
        let list = json!({"n": 1, "members": {"revision": 1, "complete": true, "members": entries}});
        Setup {
            settings: settings(),
            events: vec![list],
            feed: free_address(),
            listen: free_address(),
            sockets: 1024,
            memory: 192,
        }
    }

    pub fn config(&self) -> serde_json::Value {
        json!({"name": "n1", "listen": self.listen.to_string(), "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": self.memory, "sockets": self.sockets}, "feed": self.feed.to_string(),
            "flow_bytes_per_s": 310_000, "link_bytes_per_s": 1_240_000,
            "known": {"n": self.events.len(), "events": self.events}, "settings": self.settings})
    }

    pub fn start(&self) -> Gateway {
        self.start_under("true")
    }

    /// Starts it after a shell's command that sets its limits.
    pub fn start_under(&self, limit: &str) -> Gateway {
        let gateway = Gateway::spawn_under(&self.config().to_string(), self.listen, limit);
        until("the gateway is ready", || TcpStream::connect(self.listen).is_ok());
        let mut client = Client::connect(self.listen);
        let id = client.ping();
        assert_eq!(client.answer(), (id, Answer::Ready(true)));
        gateway
    }
}

/// The gateway's process.
pub struct Gateway {
    pub child: Child,
    pub address: SocketAddr,
    path: std::path::PathBuf,
    log: Arc<Mutex<String>>,
    unheard: Arc<AtomicBool>,
}

impl Gateway {
    pub fn spawn(config: &str, address: SocketAddr) -> Self {
        Self::spawn_under(config, address, "true")
    }

    /// Starts it by a shell after a command that sets its limits.
    pub fn spawn_under(config: &str, address: SocketAddr, limit: &str) -> Self {
        let name =
            format!("deckproxy-test-{}-{}.json", std::process::id(), NEXT.fetch_add(1, Ordering::SeqCst));
        let path = std::env::temp_dir().join(name);
        std::fs::write(&path, config).unwrap();
        let command = format!("{limit} && exec {}", env!("CARGO_BIN_EXE_deckproxy"));
        let mut child = Command::new("sh")
            .args(["-c", &command])
            .env("GW_CONFIG", &path)
            .env("GW_LISTEN", address.to_string())
            .env("GW_NAME", "n1")
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let mut stderr = child.stderr.take().unwrap();
        let log: Arc<Mutex<String>> = Arc::default();
        let unheard = Arc::new(AtomicBool::new(false));
        let (copy, stop, file) = (log.clone(), unheard.clone(), path.clone());
        thread::spawn(move || {
            let mut chunk = [0; 4096];
            while let (false, Ok(n @ 1..)) = (stop.load(Ordering::SeqCst), stderr.read(&mut chunk)) {
                copy.lock().unwrap().push_str(&String::from_utf8_lossy(&chunk[..n]));
            }
            let _ = std::fs::remove_file(file);
        });
        Gateway { child, address, path, log, unheard }
    }

    pub fn client(&self) -> Client {
        Client::connect(self.address)
    }

    /// Closes the log's reader when its next line has come.
    pub fn stop_reading_log(&self) {
        self.unheard.store(true, Ordering::SeqCst);
    }

    pub fn log(&self) -> String {
        self.log.lock().unwrap().clone()
    }

    /// Sends a signal by name.
    /// Replaces its configuration file and tells it so; none removes the file.
    pub fn reload(&self, config: Option<&str>) {
        match config {
            Some(text) => std::fs::write(&self.path, text).unwrap(),
            None => std::fs::remove_file(&self.path).unwrap(),
        }
        self.signal("HUP");
    }

    pub fn signal(&self, name: &str) {
        let kill = format!("kill -{name} {}", self.child.id());
        assert!(Command::new("sh").args(["-c", &kill]).status().unwrap().success());
    }

    /// Waits until the process has ended by itself; gives its exit code.
    pub fn ended(&mut self) -> Option<i32> {
        let mut code = None;
        until("the process ends", || {
            code = self.child.try_wait().unwrap();
            code.is_some()
        });
        code.and_then(|c| c.code())
    }

    /// CPU time of its event loop in ms.
    pub fn cpu(&self) -> u64 {
        let text = std::fs::read_to_string(format!("/proc/{}/schedstat", self.child.id())).unwrap();
        text.split_whitespace().next().unwrap().parse::<u64>().unwrap() / 1_000_000
    }

    /// Resident memory in KB, and open descriptors.
    pub fn usage(&self) -> (u64, usize) {
        let proc = format!("/proc/{}", self.child.id());
        let status = std::fs::read_to_string(format!("{proc}/status")).unwrap();
        let line = status.lines().find(|l| l.starts_with("VmHWM")).unwrap();
        let memory = line.split_whitespace().nth(1).unwrap().parse().unwrap();
        (memory, std::fs::read_dir(format!("{proc}/fd")).unwrap().count())
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        if thread::panicking() {
            eprintln!("the gateway's log:\n{}", self.log());
        }
    }
}

/// A gateway with its feed.
pub struct Fed {
    pub gateway: Gateway,
    pub client: Client,
    pub feed: Feed,
    pub line: TcpStream,
}

/// A whole small deployment: two caches, a parent, the origin.
pub struct World {
    pub caches: [Member; 2],
    pub parent: Member,
    pub origin: Member,
}

impl World {
    pub fn start() -> Self {
        World {
            caches: [Member::start("s-00000001"), Member::start("s-00000002")],
            parent: Member::start("s-00000003"),
            origin: Member::start("s-00000004"),
        }
    }

    pub fn entries(&self) -> Vec<serde_json::Value> {
        vec![
            self.caches[0].entry("edge", "box", "Ready"),
            self.caches[1].entry("edge", "box", "Ready"),
            self.parent.entry("hub", "parent", "Ready"),
            self.origin.entry("hub", "origin", "Ready"),
        ]
    }

    pub fn setup(&self) -> Setup {
        Setup::knowing(&self.entries())
    }

    /// A gateway that has subscribed to its feed, a client of it, and the feed's side of the subscription.
    pub fn fed(&self) -> Fed {
        let feed = Feed::start();
        let mut setup = self.setup();
        setup.feed = feed.address;
        let gateway = setup.start();
        let (from, line) = feed.sub();
        assert_eq!(from, 1);
        Fed { client: gateway.client(), gateway, feed, line }
    }

    /// The next request at either cache, and which it is.
    pub fn ask(&self) -> (&Member, Ask) {
        let mut got = None;
        until("a cache is asked", || {
            got = self.caches.iter().find_map(|c| {
                loop {
                    match c.seen.try_recv() {
                        Ok(Seen::Ask(ask)) => break Some((c, ask)),
                        Ok(_) => {}
                        Err(_) => break None,
                    }
                }
            });
            got.is_some()
        });
        got.unwrap()
    }

    /// The next request at either cache, if one comes in a short while.
    pub fn maybe_ask(&self) -> Option<(&Member, Ask)> {
        let end = Instant::now() + QUIET;
        while Instant::now() < end {
            for cache in &self.caches {
                while let Ok(seen) = cache.seen.try_recv() {
                    if let Seen::Ask(ask) = seen {
                        return Some((cache, ask));
                    }
                }
            }
            thread::sleep(Duration::from_millis(1));
        }
        None
    }

    /// The other cache.
    pub fn other(&self, cache: &Member) -> &Member {
        self.caches.iter().find(|c| c.id != cache.id).unwrap()
    }
}
