//! A cache, parent or origin: RESP over TCP, as PROTOCOL.md has it.

use crate::run::{Record, unix_ms};
use std::collections::{HashMap, HashSet};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::Duration;

/// A request as it came whole.
#[derive(Clone, Debug)]
pub struct Ask {
    /// When it had come whole, ms since the start.
    pub at: f64,
    /// The request's id.
    pub id: String,
    /// Its fields.
    pub fields: HashMap<String, String>,
}

impl Ask {
    /// A field, or nothing.
    pub fn field(&self, name: &str) -> &str {
        self.fields.get(name).map_or("", String::as_str)
    }
}

/// What a member does with a request, after a delay in ms.
pub enum Reaction {
    /// Answers 200 with these bytes, given out by the origin just now.
    Serve(u64, Vec<u8>),
    /// Answers 200 with these bytes of a copy that the origin gave out at this Unix time in ms.
    Copy(u64, Vec<u8>, f64),
    /// Answers 404.
    Miss(u64),
    /// Resets the connection.
    Reset(u64),
}

type Behaviour = dyn Fn(&Ask) -> Reaction + Send + Sync;

/// A member that listens.
pub struct Member {
    pub name: String,
    pub address: SocketAddr,
    asks: Arc<Mutex<Vec<Ask>>>,
    answers: Arc<Mutex<Vec<(String, f64, Vec<u8>)>>>,
}

impl Member {
    /// Starts to listen; `behaviour` decides on each request.
    pub fn start(
        record: &Record,
        name: &str,
        behaviour: impl Fn(&Ask) -> Reaction + Send + Sync + 'static,
    ) -> Member {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
        let address = listener.local_addr().expect("a bound socket has an address");
        let asks: Arc<Mutex<Vec<Ask>>> = Arc::default();
        let behaviour: Arc<Behaviour> = Arc::new(behaviour);
        let answers: Arc<Mutex<Vec<(String, f64, Vec<u8>)>>> = Arc::default();
        let served = Served {
            name: name.to_string(),
            record: record.clone(),
            asks: Arc::clone(&asks),
            answers: Arc::clone(&answers),
            behaviour,
        };
        spawn(move || {
            for socket in listener.incoming().flatten() {
                let served = served.clone();
                spawn(move || served.connection(socket));
            }
        });
        Member { name: name.to_string(), address, asks, answers }
    }

    /// All requests so far.
    pub fn asks(&self) -> Vec<Ask> {
        self.asks.lock().expect("no connection panicked").clone()
    }

    /// The bytes of the answer 200 to a request, by its id and when it came.
    pub fn answer_to(&self, id: &str, at: f64) -> Option<Vec<u8>> {
        let answers = self.answers.lock().expect("no connection panicked");
        answers.iter().find(|(of, asked, _)| of == id && *asked == at).map(|(_, _, body)| body.clone())
    }
}

#[derive(Clone)]
struct Served {
    name: String,
    record: Record,
    asks: Arc<Mutex<Vec<Ask>>>,
    /// Ids of requests, when they came, and the bytes with which they were answered 200.
    answers: Arc<Mutex<Vec<(String, f64, Vec<u8>)>>>,
    behaviour: Arc<Behaviour>,
}

/// Reads one RESP array of bulk strings.
fn read_command(input: &mut impl BufRead) -> Option<Vec<Vec<u8>>> {
    let length = |sign: u8, input: &mut dyn BufRead| -> Option<usize> {
        let mut line = Vec::new();
        input.read_until(b'\n', &mut line).ok()?;
        let text = std::str::from_utf8(line.strip_suffix(b"\r\n")?).ok()?;
        (text.as_bytes().first() == Some(&sign)).then(|| text[1..].parse().ok())?
    };
    let count = length(b'*', input)?;
    let mut parts = Vec::with_capacity(count);
    for _ in 0..count {
        let mut part = vec![0; length(b'$', input)? + 2];
        input.read_exact(&mut part).ok()?;
        part.truncate(part.len() - 2);
        parts.push(part);
    }
    Some(parts)
}

fn write_command(output: &Mutex<TcpStream>, parts: &[&[u8]]) {
    let mut out = format!("*{}\r\n", parts.len()).into_bytes();
    for part in parts {
        out.extend(format!("${}\r\n", part.len()).as_bytes());
        out.extend(*part);
        out.extend(b"\r\n");
    }
    let _ = output.lock().expect("no writer panicked").write_all(&out);
}

/// Makes the close that follows a reset of the connection.
fn reset_on_close(socket: &TcpStream) {
    #[repr(C)]
    struct Linger {
        on: i32,
        seconds: i32,
    }
    unsafe extern "C" {
        fn setsockopt(socket: i32, level: i32, name: i32, value: *const Linger, length: u32) -> i32;
    }
    const SOL_SOCKET: i32 = 1;
    const SO_LINGER: i32 = 13;
    let linger = Linger { on: 1, seconds: 0 };
    // SAFETY: a system call on an open descriptor, with a value of the length that it is given.
    unsafe { setsockopt(socket.as_raw_fd(), SOL_SOCKET, SO_LINGER, &linger, 8) };
}

impl Served {
    fn connection(&self, socket: TcpStream) {
        let _ = socket.set_nodelay(true);
        let Ok(reader) = socket.try_clone() else { return };
        let mut input = BufReader::new(reader);
        let output = Arc::new(Mutex::new(socket));
        let given_up: Arc<Mutex<HashSet<String>>> = Arc::default();
        while let Some(parts) = read_command(&mut input) {
            let word = String::from_utf8_lossy(&parts[0]).into_owned();
            let id = String::from_utf8_lossy(&parts[1]).into_owned();
            match word.as_str() {
                "ASK" => self.ask(id, &parts, &output, &given_up),
                "QUIT" => {
                    self.record.line(format!("{}: QUIT {id}", self.name));
                    given_up.lock().expect("no answer panicked").insert(id);
                }
                "NOOP" | "INFO" => {
                    write_command(&output, &[id.as_bytes(), b"alive", b"rep=inflight:0;x1:0.1"])
                }
                other => {
                    self.record.line(format!("{}: an unknown command {other}", self.name));
                    return;
                }
            }
        }
    }

    fn ask(
        &self,
        id: String,
        parts: &[Vec<u8>],
        output: &Arc<Mutex<TcpStream>>,
        given_up: &Arc<Mutex<HashSet<String>>>,
    ) {
        let text = String::from_utf8_lossy(&parts[2]).into_owned();
        let fields = text.split(',').filter_map(|field| field.split_once('='));
        let fields = fields.map(|(name, value)| (name.to_string(), value.to_string())).collect();
        let at = self.record.line(format!("{}: ASK {id} {text}, body {}", self.name, parts[3].len()));
        let ask = Ask { at, id, fields };
        self.asks.lock().expect("no connection panicked").push(ask.clone());
        let (served, output, given_up) = (self.clone(), Arc::clone(output), Arc::clone(given_up));
        let reaction = (self.behaviour)(&ask);
        spawn(move || match reaction {
            Reaction::Serve(delay, body) => {
                served.answer(&ask, delay, "200", Some(body), None, &output, &given_up);
            }
            Reaction::Copy(delay, body, issued) => {
                served.answer(&ask, delay, "200", Some(body), Some(issued), &output, &given_up);
            }
            Reaction::Miss(delay) => served.answer(&ask, delay, "404", None, None, &output, &given_up),
            Reaction::Reset(delay) => {
                sleep(Duration::from_millis(delay));
                served.record.line(format!("{}: resets the connection of {}", served.name, ask.id));
                let socket = output.lock().expect("no writer panicked");
                reset_on_close(&socket);
                // Ends the read of the connection's thread, which closes its copy; the last close resets the connection.
                let _ = socket.shutdown(std::net::Shutdown::Read);
            }
        });
    }

    /// Answers after a delay, unless the request was given up meanwhile.
    #[allow(clippy::too_many_arguments)]
    fn answer(
        &self,
        ask: &Ask,
        delay: u64,
        word: &str,
        body: Option<Vec<u8>>,
        issued: Option<f64>,
        output: &Mutex<TcpStream>,
        given_up: &Mutex<HashSet<String>>,
    ) {
        sleep(Duration::from_millis(delay));
        if given_up.lock().expect("no connection panicked").contains(&ask.id) {
            return;
        }
        let fields = match &body {
            Some(_) => format!("entity=4be0c1927d55a6f3,issued={:.0}", issued.unwrap_or_else(unix_ms)),
            None => "-".to_string(),
        };
        let body = body.unwrap_or_default();
        if word == "200" {
            let answered = (ask.id.clone(), ask.at, body.clone());
            self.answers.lock().expect("no connection panicked").push(answered);
        }
        let short = if body.len() < 40 { String::from_utf8_lossy(&body).into_owned() } else { String::new() };
        self.record.line(format!("{}: answers {} {word} {fields} {short}", self.name, ask.id));
        write_command(output, &[ask.id.as_bytes(), word.as_bytes(), fields.as_bytes(), &body]);
    }
}
