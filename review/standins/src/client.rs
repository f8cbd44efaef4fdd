//! A client: MessagePack-RPC over one TCP connection, as PROTOCOL.md has it.

use crate::run::Record;
use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// A decoded value, as far as answers need it.
#[derive(Clone, Debug, PartialEq)]
enum Value {
    Nil,
    Bool(bool),
    Int(u64),
    Text(String),
    Bytes(Vec<u8>),
    List(Vec<Value>),
    Map(Vec<(Value, Value)>),
}

/// Decodes the value at `at`; `None` if it is not complete yet.
fn decode(bytes: &[u8], at: &mut usize) -> Option<Value> {
    let first = *bytes.get(*at)?;
    *at += 1;
    let number = |at: &mut usize, size: usize| {
        let part = bytes.get(*at..*at + size)?;
        *at += size;
        Some(part.iter().fold(0u64, |n, byte| n << 8 | u64::from(*byte)))
    };
    let take = |at: &mut usize, length: usize| {
        let part = bytes.get(*at..*at + length)?.to_vec();
        *at += length;
        Some(part)
    };
    let text = |part: Vec<u8>| Value::Text(String::from_utf8_lossy(&part).into_owned());
    let list = |at: &mut usize, count: u64| {
        (0..count).map(|_| decode(bytes, at)).collect::<Option<Vec<_>>>().map(Value::List)
    };
    let map = |at: &mut usize, count: u64| {
        let pair = |at: &mut usize| Some((decode(bytes, at)?, decode(bytes, at)?));
        (0..count).map(|_| pair(at)).collect::<Option<Vec<_>>>().map(Value::Map)
    };
    match first {
        0x00..=0x7f => Some(Value::Int(u64::from(first))),
        0x80..=0x8f => map(at, u64::from(first & 0x0f)),
        0x90..=0x9f => list(at, u64::from(first & 0x0f)),
        0xa0..=0xbf => take(at, usize::from(first & 0x1f)).map(text),
        0xc0 => Some(Value::Nil),
        0xc2 => Some(Value::Bool(false)),
        0xc3 => Some(Value::Bool(true)),
        0xc4 | 0xc5 | 0xc6 => {
            let length = number(at, 1 << (first - 0xc4))?;
            take(at, length as usize).map(Value::Bytes)
        }
        0xcc..=0xcf => number(at, 1 << (first - 0xcc)).map(Value::Int),
        0xd9 | 0xda | 0xdb => {
            let length = number(at, 1 << (first - 0xd9))?;
            take(at, length as usize).map(text)
        }
        0xdc => number(at, 2).and_then(|count| list(at, count)),
        0xde => number(at, 2).and_then(|count| map(at, count)),
        _ => panic!("a byte that no answer has: {first:#x}"),
    }
}

/// A final answer.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// The bytes.
    Served(Vec<u8>),
    /// The error `Shed`, with its `cooldown`.
    Refused(Option<u64>),
    /// Any other error.
    Failed(String),
    /// The answer to a ping.
    Pong(bool),
}

impl Answer {
    /// For the record.
    pub fn text(&self) -> String {
        match self {
            Answer::Served(body) => format!("served, {} bytes", body.len()),
            Answer::Refused(cooldown) => format!("refused (Shed), cooldown {cooldown:?}"),
            Answer::Failed(word) => format!("failed ({word})"),
            Answer::Pong(ready) => format!("pong {ready}"),
        }
    }
}

fn answer_of(error: &Value, result: &Value) -> Answer {
    if let Value::List(parts) = error {
        let Some(Value::Text(word)) = parts.first() else { panic!("an error without its word") };
        if word != "Shed" {
            return Answer::Failed(word.clone());
        }
        let fields = match parts.get(1) {
            Some(Value::Map(fields)) => fields.clone(),
            _ => Vec::new(),
        };
        let cooldown = fields.iter().find_map(|(name, value)| match (name, value) {
            (Value::Text(name), Value::Text(ms)) if name == "cooldown" => ms.parse().ok(),
            _ => None,
        });
        return Answer::Refused(cooldown);
    }
    match result {
        Value::List(parts) => match parts.first() {
            Some(Value::Bytes(body)) => Answer::Served(body.clone()),
            Some(Value::Bool(ready)) => Answer::Pong(*ready),
            other => panic!("a result of another form: {other:?}"),
        },
        other => panic!("a result of another form: {other:?}"),
    }
}

/// What has arrived on a connection.
#[derive(Default)]
struct Arrived {
    /// Answers with the time of each, by message id.
    answers: HashMap<u64, (f64, Answer)>,
    /// When the gateway closed the connection.
    ended: Option<f64>,
}

/// A connection of a client.
pub struct Client {
    name: String,
    record: Record,
    socket: TcpStream,
    next: u64,
    arrived: Arc<(Mutex<Arrived>, Condvar)>,
}

/// 16 hex digits, new with every call.
pub fn fresh_ref() -> String {
    use std::sync::atomic::{AtomicU64, Ordering};
    static NEXT: AtomicU64 = AtomicU64::new(1);
    let n = NEXT.fetch_add(1, Ordering::Relaxed);
    format!("{:016x}", (n ^ u64::from(std::process::id()) << 32).wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

fn put_text(out: &mut Vec<u8>, text: &str) {
    let length = u8::try_from(text.len()).expect("the texts of a client are short");
    if length < 32 {
        out.push(0xa0 | length)
    } else {
        out.extend([0xd9, length])
    }
    out.extend(text.as_bytes());
}

/// The bytes of a request.
pub fn request(id: u64, class: &str, fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut out = vec![0x94, 0x00, 0xce];
    out.extend(u32::try_from(id).expect("ids are small").to_be_bytes());
    put_text(&mut out, class);
    out.extend([0x92, 0x80 | u8::try_from(fields.len()).expect("under 16 fields")]);
    for (name, value) in fields {
        put_text(&mut out, name);
        put_text(&mut out, value);
    }
    out.push(0xc6);
    out.extend(u32::try_from(body.len()).expect("bodies are short").to_be_bytes());
    out.extend(body);
    out
}

impl Client {
    /// Connects.
    pub fn connect(record: &Record, name: &str, to: SocketAddr) -> Result<Client, String> {
        let socket = TcpStream::connect(to).map_err(|e| format!("client {name}: {e}"))?;
        socket.set_nodelay(true).map_err(|e| e.to_string())?;
        let arrived: Arc<(Mutex<Arrived>, Condvar)> = Arc::default();
        let reader = socket.try_clone().map_err(|e| e.to_string())?;
        let (name, record) = (name.to_string(), record.clone());
        let shared = (name.clone(), record.clone(), Arc::clone(&arrived));
        std::thread::spawn(move || read_answers(reader, &shared.0, &shared.1, &shared.2));
        Ok(Client { name, record, socket, next: 1, arrived })
    }

    /// Waits until the gateway says that it is ready.
    pub fn expect_ready(&mut self) -> Result<(), String> {
        let id = self.take_id();
        let mut out = vec![0x94, 0x00, 0xce];
        out.extend(u32::try_from(id).expect("ids are small").to_be_bytes());
        put_text(&mut out, "ping");
        out.extend([0x91, 0x80]);
        self.write(&out);
        match self.wait(id, 5000) {
            Some((_, Answer::Pong(true))) => Ok(()),
            other => Err(format!("not ready: {other:?}")),
        }
    }

    /// The next message id.
    pub fn take_id(&mut self) -> u64 {
        self.next += 1;
        self.next - 1
    }

    /// Writes bytes; returns the time after the last one.
    pub fn write(&mut self, bytes: &[u8]) -> f64 {
        if let Err(error) = self.socket.write_all(bytes) {
            self.record.line(format!("client {}: write: {error}", self.name));
        }
        self.record.now()
    }

    /// Sends a request; returns its id and when its last byte was written.
    pub fn send(&mut self, class: &str, fields: &[(&str, &str)], body: &[u8]) -> (u64, f64) {
        let id = self.take_id();
        let at = self.write(&request(id, class, fields, body));
        self.record.line(format!(
            "client {}: sent request {id} {class} {fields:?}, body {}",
            self.name,
            body.len()
        ));
        (id, at)
    }

    /// Waits for an answer; returns it with its time.
    pub fn wait(&self, id: u64, ms: u64) -> Option<(f64, Answer)> {
        let until = Instant::now() + Duration::from_millis(ms);
        let (lock, changed) = &*self.arrived;
        let mut arrived = lock.lock().expect("no reader panicked");
        loop {
            if let Some(answer) = arrived.answers.get(&id) {
                return Some(answer.clone());
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() || arrived.ended.is_some() {
                return None;
            }
            arrived = changed.wait_timeout(arrived, left).expect("no reader panicked").0;
        }
    }

    /// When the gateway closed the connection, if it has.
    pub fn ended(&self) -> Option<f64> {
        self.arrived.0.lock().expect("no reader panicked").ended
    }
}

impl Drop for Client {
    fn drop(&mut self) {
        let _ = self.socket.shutdown(std::net::Shutdown::Both);
    }
}

fn read_answers(mut socket: TcpStream, name: &str, record: &Record, shared: &(Mutex<Arrived>, Condvar)) {
    let mut bytes = Vec::new();
    let mut chunk = vec![0; 64 * 1024];
    loop {
        let read = socket.read(&mut chunk);
        let (lock, changed) = shared;
        let count = match read {
            Ok(0) | Err(_) => {
                let at = record.line(format!("client {name}: its connection has ended: {read:?}"));
                lock.lock().expect("no client panicked").ended = Some(at);
                changed.notify_all();
                return;
            }
            Ok(count) => count,
        };
        bytes.extend(&chunk[..count]);
        let mut at = 0;
        loop {
            let start = at;
            let Some(Value::List(parts)) = decode(&bytes, &mut at) else {
                at = start;
                break;
            };
            let [Value::Int(1), Value::Int(id), error, result] = &parts[..] else {
                panic!("not an answer: {parts:?}")
            };
            let answer = answer_of(error, result);
            let time = record.line(format!("client {name}: answer to request {id}: {}", answer.text()));
            let mut arrived = lock.lock().expect("no client panicked");
            if arrived.answers.insert(*id, (time, answer)).is_some() {
                record.line(format!("client {name}: a second answer to request {id}"));
            }
            changed.notify_all();
        }
        bytes.drain(..at);
    }
}
