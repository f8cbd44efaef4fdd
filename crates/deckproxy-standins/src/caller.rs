//! Clients that run by themselves: each has a connection, asks at the times that its seed gives (open loop: a slow
//! answer delays no later request), follows the advice on when to come back, and connects anew when it is cut off.

use crate::client::fresh_name;
use crate::record::{Fact, Outcome, Passed, Record, Stamp};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rmpv::Value;
use socket2::{Domain, Socket, Type};
use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// A request to be made.
#[derive(Clone, Copy, Debug)]
pub struct Wish {
    pub class: &'static str,
    pub object: u64,
    pub group: u32,
    pub home: u32,
    pub allow: u32,
}

/// Draws the next request.
pub type Draw = Arc<dyn Fn(&mut Pcg64Mcg) -> Wish + Send + Sync>;

/// What a client does when it is refused.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Patience {
    /// Nothing: the request is over.
    #[default]
    None,
    /// It comes again when it was told to, while there is time left.
    Advised,
    /// It comes again at once, while there is time left.
    Hasty,
}

/// A load of clients at one gateway.
pub struct Callers {
    running: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

/// Requests open on one connection, at most; the protocol allows 32.
const OPEN: usize = 30;

struct Open {
    name: String,
    answered: bool,
    at: Instant,
    wish: Wish,
    /// When the first try gives up.
    until: Instant,
}

/// Refused requests that are to come again, with when, and when they are over.
type Again = Arc<Mutex<Vec<(Instant, Wish, Instant)>>>;

/// A request asked so short a time before its connection was closed may have crossed the close.
const CROSSED: Duration = Duration::from_millis(50);

/// A load to be started.
#[derive(Clone)]
pub struct Load {
    /// The clients' site, and where they connect.
    pub site: u32,
    pub at: SocketAddr,
    pub clients: usize,
    /// Requests a second of all of them.
    pub rate: f64,
    pub seed: u64,
    pub draw: Draw,
    pub patience: Patience,
    /// The first client's address, the others' follow; none: the system's choice.
    pub from: Option<Ipv4Addr>,
    /// Share of the answers in the middle of which a client hangs up.
    pub hangs_up: f64,
}

impl Load {
    /// Of clients that neither come again nor hang up.
    pub fn new(site: u32, at: SocketAddr, clients: usize, rate: f64, seed: u64, draw: &Draw) -> Self {
        let draw = draw.clone();
        Load { site, at, clients, rate, seed, draw, patience: Patience::None, from: None, hangs_up: 0.0 }
    }

    fn connect(&self, client: usize) -> std::io::Result<TcpStream> {
        let Some(from) = self.from else { return TcpStream::connect(self.at) };
        let from = Ipv4Addr::from(u32::from(from) + client as u32);
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
        if self.hangs_up > 0.0 {
            // Little stands between what was written to it and what it has read.
            socket.set_recv_buffer_size(8 * 1024)?;
        }
        socket.bind(&SocketAddr::from((from, 0)).into())?;
        socket.connect(&self.at.into())?;
        Ok(socket.into())
    }
}

impl Callers {
    /// Starts a load.
    pub fn start(load: Load, record: &Record) -> Self {
        let running = Arc::new(AtomicBool::new(true));
        let threads = (0..load.clients).map(|i| {
            let (running, load, record) = (running.clone(), load.clone(), record.clone());
            let mut rng =
                Pcg64Mcg::seed_from_u64(load.seed ^ (i as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15));
            thread::spawn(move || {
                while running.load(Ordering::SeqCst) {
                    if let Ok(stream) = load.connect(i) {
                        converse(&load, &stream, &mut rng, &record, &running);
                    }
                    thread::sleep(Duration::from_millis(20));
                }
            })
        });
        let threads = threads.collect();
        Callers { running, threads }
    }

    /// Asks for nothing more, waits for what is open, and ends.
    pub fn finish(self) {
        self.running.store(false, Ordering::SeqCst);
        for thread in self.threads {
            let _ = thread.join();
        }
    }
}

fn converse(load: &Load, stream: &TcpStream, rng: &mut Pcg64Mcg, record: &Record, running: &Arc<AtomicBool>) {
    let rate = load.rate / load.clients as f64;
    let hangs_up = load.hangs_up > 0.0 && rng.random::<f64>() < load.hangs_up;
    let Ok(own) = stream.local_addr().map(|at| at.ip()) else { return };
    let again = Again::default();
    let _ = stream.set_nodelay(true);
    let open: Arc<Mutex<HashMap<u64, Open>>> = Arc::default();
    let ended = Arc::new(AtomicBool::new(false));
    let closed: Arc<Mutex<Option<Instant>>> = Arc::default();
    let Ok(reading) = stream.try_clone() else { return };
    let reader = {
        let (open, ended, closed, record) = (open.clone(), ended.clone(), closed.clone(), record.clone());
        let again = again.clone();
        let patience = load.patience;
        thread::spawn(move || {
            let clean = match hangs_up {
                true => hang_up(&reading, own, &open, &record),
                false => read_answers(&reading, own, &open, &record, &again, patience),
            };
            *closed.lock().unwrap() = clean.then(Instant::now);
            ended.store(true, Ordering::SeqCst);
        })
    };
    let mut next = 1u64;
    let mut due = Instant::now();
    while running.load(Ordering::SeqCst) && !ended.load(Ordering::SeqCst) {
        let now = Instant::now();
        let back = {
            let mut again = again.lock().unwrap();
            let at = again.iter().position(|(due, ..)| *due <= now);
            at.map(|i| again.swap_remove(i))
        };
        let (wish, until, repeats) = match back {
            Some((_, wish, until)) => (wish, until, true),
            None if now >= due => {
                let gap = -(1.0 - rng.random::<f64>()).ln() / rate;
                due += Duration::from_secs_f64(gap.min(5.0));
                if open.lock().unwrap().values().filter(|o| !o.answered).count() >= OPEN {
                    continue;
                }
                let wish = (load.draw)(rng);
                (wish, now + Duration::from_millis(u64::from(wish.allow)), false)
            }
            None => {
                let next = again.lock().unwrap().iter().map(|(due, ..)| *due).fold(due, Instant::min);
                thread::sleep((next - now).min(Duration::from_millis(2)));
                continue;
            }
        };
        let left = u32::try_from((until - now).as_millis()).unwrap_or(0);
        if left < 10 {
            continue;
        }
        let wish = Wish { allow: left, ..wish };
        let name = fresh_name();
        let bytes = encode(next, &name, &wish, repeats);
        open.lock().unwrap().insert(next, Open { name: name.clone(), answered: false, at: now, wish, until });
        next += 1;
        // Noted before, so that no answer can come before the question; what can't be written was never asked.
        record.note(Fact::Asked {
            name,
            site: load.site,
            home: wish.home,
            class: wish.class,
            object: wish.object,
            group: wish.group,
            allow: f64::from(wish.allow),
        });
        if (&mut &*stream).write_all(&bytes).is_err() {
            break;
        }
        record.pass(own, Passed { wrote: bytes.len() as u64, asked: 1, read: 0 });
    }
    let end = Instant::now() + Duration::from_millis(2500);
    let waits = || open.lock().unwrap().values().any(|o| !o.answered);
    while Instant::now() < end && !ended.load(Ordering::SeqCst) && waits() {
        thread::sleep(Duration::from_millis(2));
    }
    // A moment more, in which a second answer would be seen.
    thread::sleep(Duration::from_millis(30));
    let _ = stream.shutdown(std::net::Shutdown::Both);
    let _ = reader.join();
    for left in open.lock().unwrap().values().filter(|o| !o.answered) {
        let name = left.name.clone();
        let crossed = closed.lock().unwrap().is_some_and(|at| left.at + CROSSED > at);
        record.note(if crossed { Fact::Recalled { name } } else { Fact::Lost { name } });
    }
}

/// Reads a little of the first large answer, and hangs up on it. What was asked is owed nothing any more.
fn hang_up(mut stream: &TcpStream, own: IpAddr, open: &Mutex<HashMap<u64, Open>>, record: &Record) -> bool {
    let mut chunk = vec![0; 4096];
    let mut sum = 0;
    while let Ok(n @ 1..) = stream.read(&mut chunk) {
        record.pass(own, Passed { read: n as u64, ..Passed::default() });
        sum += n;
        if sum > 20_000 {
            break;
        }
    }
    let _ = stream.shutdown(std::net::Shutdown::Both);
    for open in open.lock().unwrap().values_mut().filter(|o| !o.answered) {
        open.answered = true;
        record.note(Fact::Recalled { name: open.name.clone() });
    }
    true
}

/// Notes answers until the connection ends; tells whether it was closed in good order.
fn read_answers(
    mut stream: &TcpStream,
    own: IpAddr,
    open: &Mutex<HashMap<u64, Open>>,
    record: &Record,
    again: &Again,
    patience: Patience,
) -> bool {
    let mut buffer: Vec<u8> = Vec::new();
    let mut chunk = vec![0; 64 * 1024];
    loop {
        let n = match stream.read(&mut chunk) {
            Ok(0) => return true,
            Ok(n) => n,
            Err(_) => return false,
        };
        record.pass(own, Passed { read: n as u64, ..Passed::default() });
        buffer.extend_from_slice(&chunk[..n]);
        let mut used = 0;
        loop {
            let mut rest = &buffer[used..];
            let Ok(value) = rmpv::decode::read_value(&mut rest) else { break };
            used = buffer.len() - rest.len();
            let Some((id, outcome)) = outcome(&value) else { return false };
            let mut open = open.lock().unwrap();
            if let Some(open) = open.get_mut(&id) {
                if let (Outcome::Refused(wait), false) =
                    (outcome, open.answered || patience == Patience::None)
                {
                    let wait = if patience == Patience::Advised { wait.unwrap_or(0.0) } else { 0.0 };
                    let due = Instant::now() + Duration::from_secs_f64(wait / 1000.0);
                    if due < open.until {
                        again.lock().unwrap().push((due, open.wish, open.until));
                    }
                }
                open.answered = true;
                record.note(Fact::Answered { name: open.name.clone(), outcome });
            }
        }
        buffer.drain(..used);
    }
}

/// The request that a message answers, by its id, and how.
pub fn outcome(value: &Value) -> Option<(u64, Outcome)> {
    let parts = value.as_array()?;
    let id = parts.get(1)?.as_u64()?;
    if let Some(error) = parts.get(2)?.as_array() {
        let word = error.first()?.as_str()?;
        let cooldown = error.get(1)?.as_map()?.iter().find(|(n, _)| n.as_str() == Some("cooldown"));
        let cooldown = cooldown.and_then(|(_, v)| v.as_str()).and_then(|v| v.parse().ok());
        let refused = word == "Shed";
        return Some((id, if refused { Outcome::Refused(cooldown) } else { Outcome::Failed }));
    }
    let result = parts.get(3)?.as_array()?;
    let unchanged = result.get(1)?.as_map()?.iter().any(|(n, _)| n.as_str() == Some("notmod"));
    let body = result.first()?.as_slice()?;
    Some((id, if unchanged { Outcome::Unchanged } else { Outcome::Served(Stamp::read(body)) }))
}

/// The bytes of a request; `again`: marked as a repeat.
pub fn encode(id: u64, name: &str, wish: &Wish, again: bool) -> Vec<u8> {
    let size = crate::fleet::size_of_object(wish.object) as f64 / 1024.0;
    let mut fields = vec![
        ("ref", name.to_string()),
        ("allow", wish.allow.to_string()),
        ("lookup", format!("{:016x}", wish.object)),
        ("bucket", wish.group.to_string()),
        ("room", format!("{size:.2}")),
    ];
    if again {
        fields.push(("dup", "1".to_string()));
    }
    if wish.class == "post" {
        fields.push(("replay", format!("k{name}")));
    }
    let fields = fields.into_iter().map(|(n, v)| (Value::from(n), Value::from(v))).collect();
    let body = if wish.class == "page" { Vec::new() } else { vec![7; 200] };
    let message = Value::Array(vec![
        0.into(),
        id.into(),
        wish.class.into(),
        Value::Array(vec![Value::Map(fields), Value::Binary(body)]),
    ]);
    let mut bytes = Vec::new();
    rmpv::encode::write_value(&mut bytes, &message).expect("a vector takes all");
    bytes
}
