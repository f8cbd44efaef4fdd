//! Clients as overload has them: each with an address of its own, many requests open at a time at any of the instances,
//! asked at times that no answer delays (open loop), and repeated as its manners are. What may have run twice is not asked
//! again.

use crate::client_population::Endpoint;
use deckproxy_standins::client::fresh_name;
use deckproxy_standins::load_client::{RequestGenerator, RequestSpec, encode_request, read_outcome};
use deckproxy_standins::record::{Fact, Outcome, Record};
use mio::net::TcpStream;
use mio::{Events, Interest, Poll, Token};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use socket2::{Domain, Socket, Type};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::io::{ErrorKind, Read, Write};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// Threads that play them.
const HANDS: usize = 4;
/// Requests open on one connection; the protocol allows 32.
const OPEN: usize = 30;
/// Past its time an answer is waited for so long, ms.
const PATIENCE: f64 = 600.0;
/// A request asked so short a time before its connection was closed may have crossed the close, ms.
const CROSSED: f64 = 50.0;
/// With less time left than this nobody asks, ms.
const LEAST: f64 = 60.0;
/// An instance that did not answer is left alone for so long, ms.
const SHUNNED: f64 = 1500.0;

/// How clients take a refusal.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Manners {
    /// They go to the next instance at once, and from there follow what they are told.
    #[default]
    Moves,
    /// They go from instance to instance, at once and for ever.
    Hasty,
}

/// A try, as its client saw it.
#[derive(Clone, Debug)]
pub struct Try {
    /// Its name at members.
    pub name: String,
    /// The wish that it is one of, by number, and how many tries went before.
    pub wish: u64,
    /// See `wish`.
    pub before: u32,
    /// When it was asked, ms of the record, and when its wish first was.
    pub at: f64,
    /// See `at`.
    pub since: f64,
    /// How long the client waits from then on, ms.
    pub allow: f64,
    /// The instance.
    pub door: usize,
    /// The class and the object.
    pub class: &'static str,
    /// See `class`.
    pub object: u64,
    /// It came back when it had been told to.
    pub told: bool,
    /// How it ended, and when; none: nobody knows.
    pub end: Option<(f64, Outcome)>,
}

/// How they come.
#[derive(Clone)]
pub struct LoadSettings {
    /// How many there are.
    pub clients: usize,
    /// First tries a second of all; may be changed while they come.
    pub rate: Arc<Rate>,
    /// Seed of the traffic.
    pub seed: u64,
    /// What they ask for.
    pub draw: RequestGenerator,
    /// How they take a refusal.
    pub manners: Manners,
    /// Clients of the first instance beside each other's.
    pub skew: f64,
}

/// A number that many read.
#[derive(Debug, Default)]
pub struct Rate(AtomicU64);

impl Rate {
    /// Of that many a second.
    pub fn new(rate: f64) -> Self {
        Rate(AtomicU64::new(rate.to_bits()))
    }

    /// From now on so many.
    pub fn set(&self, rate: f64) {
        self.0.store(rate.to_bits(), Ordering::SeqCst);
    }

    /// How many.
    pub fn get(&self) -> f64 {
        f64::from_bits(self.0.load(Ordering::SeqCst))
    }
}

/// The clients of a run.
pub struct LoadGenerator {
    running: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
    tries: Arc<Mutex<Vec<Try>>>,
}

impl LoadGenerator {
    /// Starts them.
    pub fn start(coming: &LoadSettings, doors: &[Endpoint], record: &Record) -> Self {
        let running = Arc::new(AtomicBool::new(true));
        let tries: Arc<Mutex<Vec<Try>>> = Arc::default();
        // A thread without clients would have nobody to send for.
        let threads = (0..HANDS.min(coming.clients)).map(|hand| {
            let (running, tries) = (running.clone(), tries.clone());
            let own: Vec<usize> = (0..coming.clients).filter(|i| i % HANDS == hand).collect();
            let mut one = Hand {
                coming: coming.clone(),
                share: own.len() as f64 / coming.clients.max(1) as f64,
                clients: own.iter().map(|i| Client::new(*i, coming, doors.len())).collect(),
                doors: doors.to_vec(),
                record: record.clone(),
                poll: Poll::new().expect("the system has one"),
                keys: HashMap::new(),
                next_key: 0,
                next_wish: (hand as u64) << 48,
                due: BinaryHeap::new(),
                waiting: HashMap::new(),
                order: 0,
                done: Vec::new(),
                rng: Pcg64Mcg::seed_from_u64(
                    coming.seed ^ (hand as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15),
                ),
            };
            thread::spawn(move || {
                one.live(&running);
                tries.lock().unwrap().append(&mut one.done);
            })
        });
        let threads = threads.collect();
        LoadGenerator { running, threads, tries }
    }

    /// They ask for nothing more; waits for what is open, and gives all tries in the order of time.
    pub fn finish(self) -> Vec<Try> {
        self.running.store(false, Ordering::SeqCst);
        for thread in self.threads {
            let _ = thread.join();
        }
        let mut tries = std::mem::take(&mut *self.tries.lock().unwrap());
        tries.sort_by(|a, b| a.at.total_cmp(&b.at));
        tries
    }
}

struct Line {
    stream: TcpStream,
    key: usize,
    read: Vec<u8>,
    write: Vec<u8>,
    next: u64,
    open: HashMap<u64, Open>,
    /// Names of what was answered, by id.
    answered: HashMap<u64, String>,
}

struct Open {
    asked: Wanted,
    tried: Try,
}

#[derive(Clone, Copy)]
struct Wanted {
    client: usize,
    wish: RequestSpec,
    number: u64,
    since: f64,
    tries: u32,
    door: usize,
    told: bool,
}

struct Client {
    from: Ipv4Addr,
    home: usize,
    lines: HashMap<usize, Line>,
    /// Until when an instance is left alone.
    shunned: HashMap<usize, f64>,
}

impl Client {
    fn new(i: usize, coming: &LoadSettings, doors: usize) -> Self {
        // Some share of all comes to the first instance, the rest to the others by turns.
        let first = coming.skew / (coming.skew + doors as f64 - 1.0);
        let before = (i as f64 * first).floor() != ((i + 1) as f64 * first).floor();
        let home = if before || doors == 1 { 0 } else { 1 + i % (doors - 1) };
        let from = Ipv4Addr::from(u32::from(Ipv4Addr::new(127, 40, 0, 2)) + i as u32);
        Client { from, home, lines: HashMap::new(), shunned: HashMap::new() }
    }
}

/// What a thread does for some of the clients.
struct Hand {
    coming: LoadSettings,
    share: f64,
    clients: Vec<Client>,
    doors: Vec<Endpoint>,
    record: Record,
    poll: Poll,
    /// Client and instance of a connection, by its key.
    keys: HashMap<usize, (usize, usize)>,
    next_key: usize,
    next_wish: u64,
    due: BinaryHeap<Reverse<(u64, u64)>>,
    waiting: HashMap<u64, Wanted>,
    order: u64,
    done: Vec<Try>,
    rng: Pcg64Mcg,
}

impl Hand {
    fn live(&mut self, running: &AtomicBool) {
        let mut events = Events::with_capacity(256);
        let mut next = self.record.now();
        let mut ends = f64::MAX;
        let mut looked = 0.0;
        loop {
            let now = self.record.now();
            if running.load(Ordering::SeqCst) {
                // Who is late by more than a while has lost that time: it does not ask all of it at once.
                next = next.max(now - 1000.0);
                while next <= now {
                    self.first(now);
                    let gap = -(1.0 - self.rng.random::<f64>()).ln();
                    next += gap * 1000.0 / (self.coming.rate.get() * self.share).max(0.1);
                }
            } else {
                ends = ends.min(now + 2600.0);
                self.waiting.clear();
                self.due.clear();
                let open = self.clients.iter().flat_map(|c| c.lines.values()).any(|l| !l.open.is_empty());
                if !open || now > ends {
                    // A moment in which a second answer would be seen.
                    thread::sleep(Duration::from_millis(30));
                    self.poll(&mut events, Duration::ZERO);
                    let left: Vec<(usize, usize)> = self.keys.values().copied().collect();
                    left.into_iter().for_each(|(client, door)| self.broke(client, door));
                    return;
                }
            }
            while self.due.peek().is_some_and(|due| due.0.0 as f64 / 1000.0 <= now) {
                let Some(Reverse((_, order))) = self.due.pop() else { break };
                if let Some(wanted) = self.waiting.remove(&order) {
                    self.ask(now, wanted);
                }
            }
            if now - looked > 50.0 {
                looked = now;
                self.late(now);
            }
            self.poll(&mut events, Duration::from_millis(1));
        }
    }

    fn first(&mut self, now: f64) {
        let wish = (self.coming.draw)(&mut self.rng);
        let client = self.rng.random_range(0..self.clients.len());
        let away = self.rng.random_bool(0.05);
        let door = if away { self.rng.random_range(0..self.doors.len()) } else { self.clients[client].home };
        self.next_wish += 1;
        let number = self.next_wish;
        self.ask(now, Wanted { client, wish, number, since: now, tries: 0, door, told: false });
    }

    fn later(&mut self, at: f64, wanted: Wanted) {
        if at + LEAST < wanted.since + f64::from(wanted.wish.timeout_ms) {
            self.order += 1;
            self.due.push(Reverse(((at * 1000.0) as u64, self.order)));
            self.waiting.insert(self.order, wanted);
        }
    }

    fn elsewhere(&self, wanted: Wanted) -> Wanted {
        Wanted { door: (wanted.door + 1) % self.doors.len(), told: false, ..wanted }
    }

    fn ask(&mut self, now: f64, wanted: Wanted) {
        let mut wanted = wanted;
        let shunned = &self.clients[wanted.client].shunned;
        for _ in 0..self.doors.len() {
            if shunned.get(&wanted.door).is_none_or(|until| *until < now) {
                break;
            }
            wanted.door = (wanted.door + 1) % self.doors.len();
        }
        let left = wanted.since + f64::from(wanted.wish.timeout_ms) - now;
        if left < LEAST {
            return;
        }
        let Some(line) = self.line(wanted.client, wanted.door) else {
            // Nobody was asked.
            self.clients[wanted.client].shunned.insert(wanted.door, now + SHUNNED);
            let next = self.elsewhere(wanted);
            return self.later(now + 5.0, next);
        };
        if line.open.len() >= OPEN {
            return;
        }
        let (id, name) = (line.next, fresh_name());
        line.next += 1;
        let wish = RequestSpec { timeout_ms: left as u32, ..wanted.wish };
        line.write.extend(encode_request(id, &name, &wish, wanted.tries > 0));
        let tried = Try {
            name: name.clone(),
            wish: wanted.number,
            before: wanted.tries,
            at: now,
            since: wanted.since,
            allow: f64::from(wish.timeout_ms),
            door: wanted.door,
            class: wish.class,
            object: wish.object,
            told: wanted.told,
            end: None,
        };
        let asked = Wanted { tries: wanted.tries + 1, ..wanted };
        line.open.insert(id, Open { asked, tried });
        let (class, object, group) = (wish.class, wish.object, wish.group);
        let allow = f64::from(wish.timeout_ms);
        self.record.note(Fact::RequestSent {
            name,
            site: 0,
            home_site: 0,
            class,
            object,
            group,
            timeout_ms: allow,
        });
        self.flush(wanted.client, wanted.door);
    }

    fn line(&mut self, client: usize, door: usize) -> Option<&mut Line> {
        if !self.clients[client].lines.contains_key(&door) {
            let socket = Socket::new(Domain::IPV4, Type::STREAM, None).ok()?;
            socket.bind(&SocketAddr::from((self.clients[client].from, 0)).into()).ok()?;
            socket.connect_timeout(&self.doors[door].at.into(), Duration::from_millis(200)).ok()?;
            socket.set_nonblocking(true).ok()?;
            let mut stream = TcpStream::from_std(socket.into());
            let _ = stream.set_nodelay(true);
            let key = self.next_key;
            self.next_key += 1;
            let both = Interest::READABLE | Interest::WRITABLE;
            self.poll.registry().register(&mut stream, Token(key), both).ok()?;
            self.keys.insert(key, (client, door));
            let line = Line {
                stream,
                key,
                read: Vec::new(),
                write: Vec::new(),
                next: 1,
                open: HashMap::new(),
                answered: HashMap::new(),
            };
            self.clients[client].lines.insert(door, line);
        }
        self.clients[client].lines.get_mut(&door)
    }

    fn poll(&mut self, events: &mut Events, patience: Duration) {
        // Interrupted: the next turn looks again.
        let _ = self.poll.poll(events, Some(patience));
        for event in events.iter() {
            let Some((client, door)) = self.keys.get(&event.token().0).copied() else { continue };
            if event.is_writable() {
                self.flush(client, door);
            }
            if event.is_readable() {
                self.hear(client, door);
            }
        }
    }

    fn flush(&mut self, client: usize, door: usize) {
        let Some(line) = self.clients[client].lines.get_mut(&door) else { return };
        while !line.write.is_empty() {
            match line.stream.write(&line.write) {
                Ok(n @ 1..) => drop(line.write.drain(..n)),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                _ => return self.broke(client, door),
            }
        }
    }

    fn hear(&mut self, client: usize, door: usize) {
        let Some(line) = self.clients[client].lines.get_mut(&door) else { return };
        let mut chunk = [0; 64 * 1024];
        let mut ended = false;
        loop {
            match line.stream.read(&mut chunk) {
                Ok(n @ 1..) => line.read.extend_from_slice(&chunk[..n]),
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                _ => {
                    ended = true;
                    break;
                }
            }
        }
        let mut used = 0;
        let mut heard = Vec::new();
        loop {
            let mut rest = &line.read[used..];
            let Ok(value) = rmpv::decode::read_value(&mut rest) else { break };
            used = line.read.len() - rest.len();
            let Some((id, outcome)) = read_outcome(&value) else {
                ended = true;
                break;
            };
            if let Some(open) = line.open.remove(&id) {
                line.answered.insert(id, open.tried.name.clone());
                heard.push((open, outcome));
            } else if let Some(name) = line.answered.get(&id) {
                // A second answer: the judge is told.
                self.record.note(Fact::Answered { name: name.clone(), outcome });
            }
        }
        line.read.drain(..used);
        for (open, outcome) in heard {
            self.answered(open, outcome);
        }
        if ended {
            self.broke(client, door);
        }
    }

    fn answered(&mut self, open: Open, outcome: Outcome) {
        let now = self.record.now();
        let Open { asked, mut tried } = open;
        // What came late of an instance that was stopped meanwhile is nobody's fault.
        if now > tried.at + tried.allow && self.doors[tried.door].absent.touch(tried.at, now) {
            self.record.note(Fact::Withdrawn { name: tried.name.clone() });
        } else {
            self.record.note(Fact::Answered { name: tried.name.clone(), outcome });
        }
        tried.end = Some((now, outcome));
        self.done.push(tried);
        if let Outcome::Rejected(back) = outcome {
            match self.coming.manners {
                Manners::Hasty => self.later(now + 20.0, self.elsewhere(asked)),
                Manners::Moves if asked.tries == 1 => self.later(now + 5.0, self.elsewhere(asked)),
                Manners::Moves => {
                    let door = self.rng.random_range(0..self.doors.len());
                    let door = if self.rng.random_bool(0.5) { asked.door } else { door };
                    let back = back.unwrap_or(0.0);
                    self.later(now + back, Wanted { door, told: back > 0.0, ..asked });
                }
            }
        }
    }

    /// Requests whose answers are overdue: that connection is given up.
    fn late(&mut self, now: f64) {
        let overdue = |line: &Line| line.open.values().any(|o| now > o.tried.at + o.tried.allow + PATIENCE);
        let all = self.clients.iter().enumerate();
        let late: Vec<(usize, usize)> = all
            .flat_map(|(i, c)| c.lines.iter().filter(|(_, l)| overdue(l)).map(move |(door, _)| (i, *door)))
            .collect();
        late.into_iter().for_each(|(client, door)| self.broke(client, door));
    }

    /// A connection has ended: whose fault the open requests are the times tell at which the instance could not answer.
    fn broke(&mut self, client: usize, door: usize) {
        let Some(mut line) = self.clients[client].lines.remove(&door) else { return };
        let _ = self.poll.registry().deregister(&mut line.stream);
        self.keys.remove(&line.key);
        let now = self.record.now();
        if !line.open.is_empty() {
            self.clients[client].shunned.insert(door, now + SHUNNED);
        }
        for (_, Open { asked, tried }) in line.open {
            let absent = self.doors[door].absent.touch(tried.at - 5.0, now);
            let crossed = now - tried.at < CROSSED;
            let name = tried.name.clone();
            self.record.note(if absent || crossed {
                Fact::Withdrawn { name }
            } else {
                Fact::ConnectionLost { name }
            });
            self.done.push(tried);
            if asked.wish.class == "page" {
                self.later(now + 5.0, self.elsewhere(asked));
            }
        }
    }
}
