//! A client of a gateway: MessagePack-RPC over one connection, with at most 32 open requests.

use crate::msgpack::{Value, decode, put_bin, put_fields, put_int, put_text};
use crate::record::Record;
use crate::{lock, now_ms};
use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// How a request was answered.
#[derive(Clone, Debug, PartialEq)]
pub enum Kind {
    Served(Vec<u8>),
    NotModified,
    /// With the time to stay away, ms; 0 if none was given.
    Refused(u32),
    Failed(String),
}

/// An answer, with the Unix ms at which it was read.
#[derive(Clone, Debug)]
pub struct Answer {
    pub at: f64,
    pub kind: Kind,
}

/// A request to send.
#[derive(Clone, Debug)]
pub struct Request {
    pub class: &'static str,
    pub object: u64,
    pub part: Option<u32>,
    pub allow_ms: u32,
    pub key: Option<String>,
    /// Whether the client marks it as a retry.
    pub is_retry: bool,
    pub size_kb: f64,
    pub body: Vec<u8>,
}

impl Request {
    /// A read of an object with one part.
    pub fn read(class: &'static str, object: u64, allow_ms: u32) -> Request {
        Request {
            class,
            object,
            part: None,
            allow_ms,
            key: None,
            is_retry: false,
            size_kb: 300.0,
            body: Vec::new(),
        }
    }
}

/// A request that was sent.
#[derive(Clone, Debug)]
pub struct Sent {
    pub id: u32,
    pub name: String,
    pub object: u64,
    pub class: &'static str,
    pub sent_at: f64,
    pub allow_ms: u32,
}

#[derive(Default)]
struct State {
    answers: HashMap<u32, Vec<Answer>>,
    ended_at: Option<f64>,
    bytes_read: u64,
}

/// One connection.
pub struct Client {
    stream: TcpStream,
    next_id: u32,
    state: Arc<Mutex<State>>,
    record: Record,
    label: String,
}

static NAMES: AtomicU64 = AtomicU64::new(1);

/// A name for a request that no other one has.
fn new_name() -> String {
    let number = NAMES.fetch_add(1, Ordering::Relaxed);
    format!("{:016x}", (number ^ (now_ms() as u64) << 20).wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

/// The bytes of a request under a message id, and its new name.
pub fn encode(id: u32, request: &Request) -> (Vec<u8>, String) {
    let name = new_name();
    let mut fields: Vec<(&str, String)> = vec![
        ("ref", name.clone()),
        ("allow", request.allow_ms.to_string()),
        ("lookup", format!("{:016x}", request.object)),
        ("bucket", (request.object % 256).to_string()),
        ("room", format!("{:.1}", request.size_kb)),
    ];
    if let Some(part) = request.part {
        fields.push(("seg", part.to_string()));
    }
    if let Some(key) = &request.key {
        fields.push(("replay", key.clone()));
    }
    if request.is_retry {
        fields.push(("dup", "1".into()));
    }
    let mut bytes = vec![0x94, 0x00];
    put_int(&mut bytes, id);
    put_text(&mut bytes, request.class);
    bytes.push(0x92);
    put_fields(&mut bytes, &fields);
    put_bin(&mut bytes, &request.body);
    (bytes, name)
}

/// The field `cooldown` of a refusal.
fn cooldown(error: &[Value]) -> u32 {
    let Some(Value::Map(fields)) = error.get(1) else { return 0 };
    let field = fields.iter().find(|(name, _)| *name == Value::Text("cooldown".into()));
    field.map_or(0, |(_, value)| match value {
        Value::Text(text) => text.parse().unwrap_or(0),
        _ => 0,
    })
}

fn kind(error: &Value, result: &Value) -> Result<Kind, String> {
    let word = |value: &Value| match value {
        Value::Text(text) => text.clone(),
        other => format!("{other:?}"),
    };
    match (error, result) {
        (Value::List(error), Value::Nil) => {
            let name = error.first().map(word).unwrap_or_default();
            Ok(if name == "Shed" { Kind::Refused(cooldown(error)) } else { Kind::Failed(name) })
        }
        (Value::Nil, Value::List(items)) => match items.as_slice() {
            [Value::Bool(_), _] => Ok(Kind::Served(Vec::new())),
            [Value::Bin(body), Value::Map(fields)] => {
                let same = fields.iter().any(|(name, _)| *name == Value::Text("notmod".into()));
                Ok(if same { Kind::NotModified } else { Kind::Served(body.clone()) })
            }
            other => Err(format!("a result that can't be used: {other:?}")),
        },
        other => Err(format!("an answer that can't be used: {other:?}")),
    }
}

fn read_answers(mut stream: TcpStream, state: &Mutex<State>, record: &Record, label: &str) {
    let mut buffer: Vec<u8> = Vec::new();
    let mut chunk = vec![0; 65536];
    loop {
        let read = stream.read(&mut chunk).unwrap_or(0);
        if read == 0 {
            lock(state).ended_at = Some(now_ms());
            return;
        }
        lock(state).bytes_read += read as u64;
        buffer.extend_from_slice(&chunk[..read]);
        let mut used = 0;
        loop {
            let value = match decode(&buffer, used) {
                Ok(None) => break,
                Ok(Some((value, after))) => {
                    used = after;
                    value
                }
                Err(error) => {
                    record.line(&format!("{label}: {error}"));
                    return;
                }
            };
            let Value::List(items) = value else { continue };
            let [Value::Int(1), Value::Int(id), error, result] = items.as_slice() else { continue };
            match kind(error, result) {
                Ok(kind) => {
                    let text = match &kind {
                        Kind::Served(body) => {
                            format!("served {:?}", String::from_utf8_lossy(&body[..body.len().min(40)]))
                        }
                        other => format!("{other:?}"),
                    };
                    record.line(&format!("{label} answer {id}: {text}"));
                    let answer = Answer { at: now_ms(), kind };
                    lock(state).answers.entry(*id as u32).or_default().push(answer);
                }
                Err(error) => record.line(&format!("{label}: {error}")),
            }
        }
        buffer.drain(..used);
    }
}

impl Client {
    /// Connects.
    pub fn connect(to: SocketAddr, record: &Record, label: &str) -> std::io::Result<Client> {
        let stream = TcpStream::connect_timeout(&to, Duration::from_secs(2))?;
        stream.set_nodelay(true)?;
        let state = Arc::new(Mutex::new(State::default()));
        let reader = stream.try_clone()?;
        let (shared, own, name) = (Arc::clone(&state), record.clone(), label.to_string());
        std::thread::spawn(move || read_answers(reader, &shared, &own, &name));
        Ok(Client { stream, next_id: 1, state, record: record.clone(), label: label.to_string() })
    }

    /// Whether the gateway answers `ping` with true within a second.
    pub fn is_ready(to: SocketAddr, record: &Record) -> bool {
        let Ok(mut client) = Client::connect(to, record, "ping") else { return false };
        let mut bytes = vec![0x94, 0x00, 0x01];
        put_text(&mut bytes, "ping");
        bytes.extend([0x91, 0x80]);
        if client.stream.write_all(&bytes).is_err() {
            return false;
        }
        let until = now_ms() + 1000.0;
        while now_ms() < until {
            if client.answer(1).is_some() {
                return true;
            }
            crate::sleep_ms(5.0);
        }
        false
    }

    /// Sends a request; `None` if the connection has ended.
    pub fn send(&mut self, request: &Request) -> Option<Sent> {
        let id = self.next_id;
        let (bytes, name) = encode(id, request);
        if lock(&self.state).ended_at.is_some() {
            return None;
        }
        self.next_id += 1;
        let text = format!("{} request {id}: {} {} {:016x}", self.label, name, request.class, request.object);
        self.record.line(&text);
        self.stream.write_all(&bytes).ok()?;
        let (object, class, allow_ms) = (request.object, request.class, request.allow_ms);
        Some(Sent { id, name, object, class, sent_at: now_ms(), allow_ms })
    }

    /// Sends a request in two halves with a pause between them; `None` if the connection has ended before.
    pub fn send_in_halves(&mut self, request: &Request, pause_ms: f64) -> Option<Sent> {
        let id = self.next_id;
        let (bytes, name) = encode(id, request);
        self.next_id += 1;
        let (first, rest) = bytes.split_at(bytes.len() / 2);
        self.record.line(&format!("{} request {id}: first half of {name}", self.label));
        self.stream.write_all(first).ok()?;
        crate::sleep_ms(pause_ms);
        // The gateway may have closed the connection meanwhile.
        let written = self.stream.write_all(rest).is_ok();
        self.record.line(&format!("{} request {id}: second half, written: {written}", self.label));
        let (object, class, allow_ms) = (request.object, request.class, request.allow_ms);
        Some(Sent { id, name, object, class, sent_at: now_ms(), allow_ms })
    }

    /// The first answer to a request.
    pub fn answer(&self, id: u32) -> Option<Answer> {
        lock(&self.state).answers.get(&id).and_then(|answers| answers.first().cloned())
    }

    /// Waits for the answer until a Unix time, ms.
    pub fn wait(&self, id: u32, until: f64) -> Option<Answer> {
        loop {
            if let Some(answer) = self.answer(id) {
                return Some(answer);
            }
            if now_ms() >= until || lock(&self.state).ended_at.is_some() {
                return self.answer(id);
            }
            crate::sleep_ms(2.0);
        }
    }

    /// Whether the gateway has ended the connection.
    pub fn has_ended(&self) -> bool {
        lock(&self.state).ended_at.is_some()
    }

    /// Bytes read so far.
    pub fn bytes_read(&self) -> u64 {
        lock(&self.state).bytes_read
    }
}

impl Drop for Client {
    fn drop(&mut self) {
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}
