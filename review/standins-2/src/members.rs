//! Caches, parents and the origin: RESP servers on loopback addresses.

use crate::record::Record;
use crate::sys::wait_readable;
use crate::world::{Role, World};
use crate::{lock, now_ms, sleep_ms};
use std::collections::{HashMap, HashSet};
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

/// Bytes of a part, at most.
const BODY_BYTES: usize = 2000;

/// An attempt as it came to a member.
#[derive(Clone, Debug)]
pub struct Ask {
    /// Unix ms.
    pub at: f64,
    pub member: String,
    pub role: Role,
    pub connection: u64,
    pub id: String,
    pub body: Vec<u8>,
    pub fields: HashMap<String, String>,
}

impl Ask {
    /// A field; empty if absent.
    pub fn field(&self, name: &str) -> &str {
        self.fields.get(name).map_or("", String::as_str)
    }
}

/// What a member does with an attempt.
#[derive(Clone, Debug, PartialEq)]
pub enum Fate {
    /// Serves it after its time.
    Serve,
    /// Serves it, and takes so many ms to send the bytes.
    Send(f64),
    /// Serves it with a body of so many bytes, which it sends evenly in so many ms.
    SendSlowly { bytes: usize, ms: f64 },
    /// Answers with a word and no bytes after so many ms.
    Answer(&'static str, f64),
    /// Runs a write at once, and answers after so many ms.
    RunThenAnswer(f64),
}

type Choose = dyn Fn(&Ask) -> Fate + Send + Sync;

/// The servers of one site.
pub struct Members {
    pub world: Mutex<World>,
    /// All attempts, in the order in which they came.
    pub asks: Mutex<Vec<Ask>>,
    /// Attempts given up by `QUIT`: Unix ms, member and id.
    pub quits: Mutex<Vec<(f64, String, String)>>,
    /// When an attempt's answer was written: Unix ms, member, id and word.
    pub ends: Mutex<Vec<(f64, String, String, String)>>,
    /// When a gateway's connection ended: Unix ms and its number.
    pub closes: Mutex<Vec<(f64, u64)>>,
    /// Writes that ran at the origin: Unix ms, id and idempotency key.
    pub runs: Mutex<Vec<(f64, String, String)>>,
    pub hit_ms: f64,
    pub fill_ms: f64,
    pub write_classes: HashSet<String>,
    choose: Mutex<Arc<Choose>>,
    roles: Mutex<HashMap<String, Role>>,
    connections: AtomicU64,
    record: Record,
}

/// A member that listens.
#[derive(Clone, Debug)]
pub struct Member {
    pub id: String,
    pub address: SocketAddr,
    pub zone: &'static str,
    pub kind: &'static str,
    pub size: f64,
}

fn bulk(out: &mut Vec<u8>, bytes: &[u8]) {
    out.extend(format!("${}\r\n", bytes.len()).as_bytes());
    out.extend(bytes);
    out.extend(b"\r\n");
}

fn number_line(reader: &mut impl BufRead, kind: u8) -> Option<usize> {
    let mut line = String::new();
    reader.read_line(&mut line).ok().filter(|read| *read > 0)?;
    let text = line.trim_end();
    (text.as_bytes().first() == Some(&kind)).then(|| text[1..].parse().ok())?
}

fn read_command(reader: &mut impl BufRead) -> Option<Vec<Vec<u8>>> {
    let count = number_line(reader, b'*')?;
    let mut strings = Vec::new();
    for _ in 0..count {
        let length = number_line(reader, b'$')?;
        let mut bytes = vec![0; length + 2];
        reader.read_exact(&mut bytes).ok()?;
        bytes.truncate(length);
        strings.push(bytes);
    }
    Some(strings)
}

/// One connection of a gateway.
struct Connection {
    stream: Mutex<TcpStream>,
    given_up: Mutex<HashSet<String>>,
    is_open: AtomicBool,
}

impl Members {
    /// Servers without members.
    pub fn new(record: &Record, write_classes: &[&str], fresh_ms: &[(&str, f64)]) -> Arc<Members> {
        let fresh_ms = fresh_ms.iter().map(|(class, ms)| ((*class).to_string(), *ms)).collect();
        Arc::new(Members {
            world: Mutex::new(World::new(fresh_ms)),
            asks: Mutex::default(),
            quits: Mutex::default(),
            ends: Mutex::default(),
            closes: Mutex::default(),
            runs: Mutex::default(),
            hit_ms: 5.0,
            fill_ms: 30.0,
            write_classes: write_classes.iter().map(|class| (*class).to_string()).collect(),
            choose: Mutex::new(Arc::new(|_: &Ask| Fate::Serve)),
            roles: Mutex::default(),
            connections: AtomicU64::new(0),
            record: record.clone(),
        })
    }

    /// Sets what the members do with attempts.
    pub fn choose(&self, choose: impl Fn(&Ask) -> Fate + Send + Sync + 'static) {
        *lock(&self.choose) = Arc::new(choose);
    }

    /// Starts a member on a free port.
    pub fn start(
        self: &Arc<Self>,
        id: &str,
        role: Role,
        zone: &'static str,
        kind: &'static str,
        size: f64,
    ) -> std::io::Result<Member> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        lock(&self.roles).insert(id.to_string(), role);
        let (all, name) = (Arc::clone(self), id.to_string());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (all, name) = (Arc::clone(&all), name.clone());
                std::thread::spawn(move || all.serve(&name, role, stream));
            }
        });
        Ok(Member { id: id.to_string(), address, zone, kind, size })
    }

    /// Starts many caches on free ports, with one thread that accepts for all of them.
    pub fn start_many(
        self: &Arc<Self>,
        prefix: &str,
        count: usize,
        zone: &'static str,
        kind: &'static str,
        size: f64,
    ) -> std::io::Result<Vec<Member>> {
        let (mut listeners, mut list) = (Vec::new(), Vec::new());
        for number in 1..=count {
            let listener = TcpListener::bind("127.0.0.1:0")?;
            listener.set_nonblocking(true)?;
            let id = format!("{prefix}{number}");
            lock(&self.roles).insert(id.clone(), Role::Cache);
            list.push(Member { id, address: listener.local_addr()?, zone, kind, size });
            listeners.push(listener);
        }
        let (all, names) = (Arc::clone(self), list.clone());
        std::thread::spawn(move || {
            loop {
                for position in wait_readable(&listeners, 1000) {
                    while let Ok((stream, _)) = listeners[position].accept() {
                        let (all, name) = (Arc::clone(&all), names[position].id.clone());
                        let _ = stream.set_nonblocking(false);
                        std::thread::spawn(move || all.serve(&name, Role::Cache, stream));
                    }
                }
            }
        });
        Ok(list)
    }

    fn serve(self: Arc<Self>, member: &str, role: Role, stream: TcpStream) {
        let number = self.connections.fetch_add(1, Ordering::Relaxed);
        let _ = stream.set_nodelay(true);
        let Ok(writer) = stream.try_clone() else { return };
        let connection = Arc::new(Connection {
            stream: Mutex::new(writer),
            given_up: Mutex::default(),
            is_open: AtomicBool::new(true),
        });
        let mut reader = BufReader::new(stream);
        while let Some(command) = read_command(&mut reader) {
            let text = |at: usize| {
                command.get(at).map(|bytes| String::from_utf8_lossy(bytes).into_owned()).unwrap_or_default()
            };
            match (text(0).as_str(), command.len()) {
                ("ASK", 4) => {
                    let fields = text(2);
                    let fields = fields.split(',').filter_map(|field| field.split_once('='));
                    let fields = fields.map(|(name, value)| (name.to_string(), value.to_string())).collect();
                    let ask = Ask {
                        at: now_ms(),
                        member: member.to_string(),
                        role,
                        connection: number,
                        id: text(1),
                        body: command[3].clone(),
                        fields,
                    };
                    self.record.line(&format!("{member} ASK {} {}", ask.id, text(2)));
                    lock(&connection.given_up).remove(&ask.id);
                    lock(&self.asks).push(ask.clone());
                    let (all, connection) = (Arc::clone(&self), Arc::clone(&connection));
                    std::thread::spawn(move || all.run(&ask, &connection));
                }
                ("QUIT", 2) => {
                    self.record.line(&format!("{member} QUIT {}", text(1)));
                    lock(&connection.given_up).insert(text(1));
                    lock(&self.quits).push((now_ms(), member.to_string(), text(1)));
                }
                ("NOOP" | "INFO", 2) => {
                    let mut out = b"*4\r\n".to_vec();
                    for part in [text(1).as_str(), "alive", "rep=inflight:1;x1:0.1", ""] {
                        bulk(&mut out, part.as_bytes());
                    }
                    let _ = lock(&connection.stream).write_all(&out);
                }
                _ => break,
            }
        }
        connection.is_open.store(false, Ordering::Relaxed);
        lock(&self.closes).push((now_ms(), number));
        let _ = lock(&connection.stream).shutdown(Shutdown::Both);
    }

    fn run(&self, ask: &Ask, connection: &Connection) {
        let choose = Arc::clone(&*lock(&self.choose));
        let fate = choose(ask);
        let sending = match fate {
            Fate::Serve => 0.0,
            Fate::Send(ms) => ms,
            Fate::SendSlowly { bytes, ms } => return self.send_slowly(ask, connection, bytes, ms),
            Fate::Answer(word, ms) => {
                sleep_ms(ms);
                return self.answer(ask, connection, word, "-", b"");
            }
            Fate::RunThenAnswer(ms) => {
                self.note_run(ask);
                sleep_ms(ms);
                let fields = format!("entity=w,issued={:.0}", now_ms());
                return self.answer(ask, connection, "200", &fields, b"done");
            }
        };
        if self.write_classes.contains(ask.field("lane")) {
            let source = ask.field("miss");
            let reaches_origin = ask.role == Role::Origin || !source.is_empty();
            if !reaches_origin {
                return self.answer(ask, connection, "404", "-", b"");
            }
            sleep_ms(self.fill_ms);
            self.note_run(ask);
            return self.answer(ask, connection, "200", &format!("entity=w,issued={:.0}", now_ms()), b"done");
        }
        match self.read(ask) {
            Some(issued) => {
                sleep_ms(sending);
                let (object, part) = (ask.field("name"), ask.field("piece"));
                let unit = format!("{object}/{part}@{issued:.0};");
                let body = unit.repeat(BODY_BYTES / unit.len());
                let fields = format!("entity=t{issued:.0},issued={issued:.0}");
                self.answer(ask, connection, "200", &fields, body.as_bytes());
            }
            None => self.answer(ask, connection, "404", "-", b""),
        }
    }

    /// Serves a read: returns when the origin gave out the copy.
    fn read(&self, ask: &Ask) -> Option<f64> {
        let (class, object, part) = (ask.field("lane"), ask.field("name"), ask.field("piece"));
        let within: f64 = ask.field("within").parse().unwrap_or(0.0);
        let local = ask.field("f").split('+').any(|word| word == "local");
        let own = lock(&self.world).held(&ask.member, class, object, part, now_ms(), within);
        sleep_ms(self.hit_ms);
        if own.is_some() || ask.role == Role::Origin {
            return own.or_else(|| Some(now_ms().floor()));
        }
        let source = ask.field("miss");
        let role = lock(&self.roles).get(source).copied()?;
        sleep_ms(self.fill_ms);
        let mut world = lock(&self.world);
        let upper = if role == Role::Origin {
            None
        } else {
            world.held(source, class, object, part, now_ms(), within)
        };
        if upper.is_none() && local {
            return None;
        }
        let issued = upper.unwrap_or_else(|| now_ms().floor());
        if role != Role::Origin {
            world.store(source, object, part, issued);
        }
        if !ask.field("prio").is_empty() || ask.role == Role::Parent {
            world.store(&ask.member, object, part, issued);
        }
        Some(issued)
    }

    fn send_slowly(&self, ask: &Ask, connection: &Connection, bytes: usize, ms: f64) {
        /// Time between two pieces.
        const PIECE_MS: f64 = 20.0;
        let issued = now_ms().floor();
        let mut out = b"*4\r\n".to_vec();
        let fields = format!("entity=t{issued:.0},issued={issued:.0}");
        for part in [ask.id.as_bytes(), b"200", fields.as_bytes(), vec![b'x'; bytes].as_slice()] {
            bulk(&mut out, part);
        }
        let pieces = (ms / PIECE_MS).ceil().max(1.0) as usize;
        for piece in out.chunks(out.len().div_ceil(pieces)) {
            if lock(&connection.given_up).contains(&ask.id) || !connection.is_open.load(Ordering::Relaxed) {
                return;
            }
            if lock(&connection.stream).write_all(piece).is_err() {
                return;
            }
            sleep_ms(PIECE_MS);
        }
        self.note_end(ask, "200");
    }

    fn note_run(&self, ask: &Ask) {
        if self.write_classes.contains(ask.field("lane")) {
            self.record.line(&format!("{} RUN {} {}", ask.member, ask.id, ask.field("dedupe")));
            lock(&self.runs).push((now_ms(), ask.id.clone(), ask.field("dedupe").to_string()));
        }
    }

    fn note_end(&self, ask: &Ask, word: &str) {
        lock(&self.ends).push((now_ms(), ask.member.clone(), ask.id.clone(), word.to_string()));
        self.record.line(&format!("{} END {} {word}", ask.member, ask.id));
    }

    fn answer(&self, ask: &Ask, connection: &Connection, word: &str, fields: &str, body: &[u8]) {
        if lock(&connection.given_up).remove(&ask.id) || !connection.is_open.load(Ordering::Relaxed) {
            return;
        }
        let mut out = b"*4\r\n".to_vec();
        for part in [ask.id.as_bytes(), word.as_bytes(), fields.as_bytes(), body] {
            bulk(&mut out, part);
        }
        let _ = lock(&connection.stream).write_all(&out);
        self.note_end(ask, word);
    }
}
