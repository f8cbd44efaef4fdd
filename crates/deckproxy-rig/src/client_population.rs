//! Clients that come to any instance, and go to the next one after a refusal, a death or a silence, while there is time
//! left. What may not run twice is not asked again once it may have run.

use crate::processes::Absences;
use deckproxy_standins::client::fresh_name;
use deckproxy_standins::load_client::{RequestGenerator, RequestSpec, encode_request, read_outcome};
use deckproxy_standins::record::{Fact, Outcome, Record};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::HashMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Past its time an answer is waited for so long.
const PATIENCE: Duration = Duration::from_millis(600);
/// A request asked so short a time before its connection was closed may have crossed the close.
const CROSSED: Duration = Duration::from_millis(50);

/// An instance as clients know it.
#[derive(Clone)]
pub struct Endpoint {
    /// Where it listens.
    pub at: SocketAddr,
    /// When it could not answer.
    pub absent: Absences,
}

/// What clients counted.
#[derive(Default)]
pub struct Counts {
    /// Things that clients wanted: first tries.
    pub wanted: AtomicU64,
    /// Those that were served at last.
    pub got: AtomicU64,
    /// Requests at each instance, and those served, in its place.
    pub by_instance: Mutex<HashMap<usize, [u64; 2]>>,
    /// Requests whose instance was killed, stopped or gone meanwhile.
    pub excused: AtomicU64,
}

/// The clients of a run.
pub struct ClientPopulation {
    running: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
    /// What they counted.
    pub counts: Arc<Counts>,
}

/// How the clients come.
#[derive(Clone)]
pub struct PopulationSettings {
    /// How many there are.
    pub clients: usize,
    /// First tries a second of all.
    pub rate: f64,
    /// Seed of the traffic.
    pub seed: u64,
    /// What they ask for.
    pub draw: RequestGenerator,
}

impl ClientPopulation {
    /// Starts them.
    pub fn start(coming: &PopulationSettings, doors: &[Endpoint], record: &Record) -> Self {
        let running = Arc::new(AtomicBool::new(true));
        let counts = Arc::new(Counts::default());
        let threads = (0..coming.clients).map(|i| {
            let mut one = One {
                doors: doors.to_vec(),
                record: record.clone(),
                counts: counts.clone(),
                line: None,
                door: i % doors.len(),
                rng: Pcg64Mcg::seed_from_u64(
                    coming.seed ^ (i as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15),
                ),
            };
            let (coming, running) = (coming.clone(), running.clone());
            thread::spawn(move || one.live(&coming, &running))
        });
        let threads = threads.collect();
        ClientPopulation { running, threads, counts }
    }

    /// They ask for nothing more; waits for what is open.
    pub fn finish(self) -> Arc<Counts> {
        self.running.store(false, Ordering::SeqCst);
        for thread in self.threads {
            let _ = thread.join();
        }
        self.counts
    }
}

struct Asked {
    name: String,
    /// When, ms of the record, and how long it was to take at most.
    at: f64,
    allow: f64,
}

struct Line {
    stream: TcpStream,
    buffer: Vec<u8>,
    /// What was asked on it, by id.
    asked: HashMap<u64, Asked>,
    next: u64,
}

struct One {
    doors: Vec<Endpoint>,
    record: Record,
    counts: Arc<Counts>,
    line: Option<Line>,
    door: usize,
    rng: Pcg64Mcg,
}

/// What became of one try.
enum Became {
    Served,
    /// Refused: it never ran.
    Refused,
    Failed,
    /// The connection could not be made: nobody was asked.
    Nobody,
    /// The connection ended, or nothing came.
    Gone,
}

impl One {
    fn live(&mut self, coming: &PopulationSettings, running: &AtomicBool) {
        let rate = coming.rate / coming.clients as f64;
        let mut due = Instant::now();
        while running.load(Ordering::SeqCst) {
            let gap = -(1.0 - self.rng.random::<f64>()).ln() / rate;
            due += Duration::from_secs_f64(gap.min(5.0));
            while Instant::now() < due && running.load(Ordering::SeqCst) {
                thread::sleep((due - Instant::now()).min(Duration::from_millis(20)));
            }
            // Who is late by more than a while has lost that time: it does not ask all of it at once.
            due = due.max(Instant::now() - Duration::from_secs(1));
            let wish = (coming.draw)(&mut self.rng);
            self.want(wish);
        }
        // A moment in which a second answer would be seen.
        thread::sleep(Duration::from_millis(30));
        let _ = self.hear(Duration::from_millis(1));
    }

    fn want(&mut self, wish: RequestSpec) {
        self.counts.wanted.fetch_add(1, Ordering::SeqCst);
        let until = Instant::now() + Duration::from_millis(u64::from(wish.timeout_ms));
        let mut again = false;
        loop {
            let left = until.saturating_duration_since(Instant::now()).as_millis();
            if left < 20 {
                return;
            }
            let became = self.ask(RequestSpec { timeout_ms: left as u32, ..wish }, again);
            again = true;
            match became {
                Became::Served => {
                    self.counts.got.fetch_add(1, Ordering::SeqCst);
                    // Clients come to any instance.
                    if self.rng.random_bool(0.1) {
                        let door = self.rng.random_range(0..self.doors.len());
                        self.go(door);
                    }
                    return;
                }
                Became::Failed => return,
                Became::Gone if wish.class != "page" => return self.go(self.door + 1),
                Became::Refused | Became::Nobody | Became::Gone => {
                    self.go(self.door + 1);
                    thread::sleep(Duration::from_millis(5));
                }
            }
        }
    }

    fn go(&mut self, door: usize) {
        let door = door % self.doors.len();
        if door != self.door {
            self.line = None;
            self.door = door;
        }
    }

    fn ask(&mut self, wish: RequestSpec, again: bool) -> Became {
        if self.line.is_none() {
            let made = TcpStream::connect_timeout(&self.doors[self.door].at, Duration::from_millis(300));
            let Ok(stream) = made else { return Became::Nobody };
            let _ = stream.set_nodelay(true);
            self.line = Some(Line { stream, buffer: Vec::new(), asked: HashMap::new(), next: 1 });
        }
        let Some(line) = &mut self.line else { return Became::Nobody };
        let (id, name) = (line.next, fresh_name());
        line.next += 1;
        let (began, at) = (Instant::now(), self.record.now());
        let allow = f64::from(wish.timeout_ms);
        line.asked.insert(id, Asked { name: name.clone(), at, allow });
        let (class, object, group) = (wish.class, wish.object, wish.group);
        self.record.note(Fact::RequestSent {
            name: name.clone(),
            site: 0,
            home_site: 0,
            class,
            object,
            group,
            timeout_ms: allow,
        });
        self.counts.by_instance.lock().unwrap().entry(self.door).or_default()[0] += 1;
        let end = began + Duration::from_millis(u64::from(wish.timeout_ms)) + PATIENCE;
        if line.stream.write_all(&encode_request(id, &name, &wish, again)).is_err() {
            return self.gone(name, began, at);
        }
        loop {
            match self.hear(end.saturating_duration_since(Instant::now())) {
                Ok(heard) => {
                    for (other, outcome) in heard {
                        if other != id {
                            continue;
                        }
                        return match outcome {
                            Outcome::Served(_) | Outcome::Unchanged => {
                                self.counts.by_instance.lock().unwrap().entry(self.door).or_default()[1] += 1;
                                Became::Served
                            }
                            Outcome::Rejected(_) => Became::Refused,
                            Outcome::Failed => Became::Failed,
                        };
                    }
                }
                Err(()) => return self.gone(name, began, at),
            }
            if Instant::now() >= end {
                return self.gone(name, began, at);
            }
        }
    }

    /// No answer came: whether that is anybody's fault the times tell at which the instance could not answer.
    fn gone(&mut self, name: String, began: Instant, at: f64) -> Became {
        self.line = None;
        let absent = self.doors[self.door].absent.touch(at - 5.0, self.record.now());
        let crossed = began.elapsed() < CROSSED;
        if absent || crossed {
            self.counts.excused.fetch_add(1, Ordering::SeqCst);
            self.record.note(Fact::Withdrawn { name });
        } else {
            self.record.note(Fact::ConnectionLost { name });
        }
        Became::Gone
    }

    /// Answers that come within a time; an error: the connection has ended.
    fn hear(&mut self, patience: Duration) -> Result<Vec<(u64, Outcome)>, ()> {
        let Some(line) = &mut self.line else { return Err(()) };
        let _ = line.stream.set_read_timeout(Some(patience.max(Duration::from_millis(1))));
        let mut chunk = [0; 64 * 1024];
        let n = match line.stream.read(&mut chunk) {
            Ok(0) => return Err(()),
            Ok(n) => n,
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                return Ok(Vec::new());
            }
            Err(_) => return Err(()),
        };
        line.buffer.extend_from_slice(&chunk[..n]);
        let mut heard = Vec::new();
        let mut used = 0;
        loop {
            let mut rest = &line.buffer[used..];
            let Ok(value) = rmpv::decode::read_value(&mut rest) else { break };
            used = line.buffer.len() - rest.len();
            let Some((id, outcome)) = read_outcome(&value) else { return Err(()) };
            if let Some(Asked { name, at, allow }) = line.asked.get(&id) {
                // What came late of an instance that was stopped meanwhile is nobody's fault.
                let now = self.record.now();
                if now > at + allow && self.doors[self.door].absent.touch(*at, now) {
                    self.counts.excused.fetch_add(1, Ordering::SeqCst);
                    self.record.note(Fact::Withdrawn { name: name.clone() });
                } else {
                    self.record.note(Fact::Answered { name: name.clone(), outcome });
                }
                heard.push((id, outcome));
            }
        }
        line.buffer.drain(..used);
        Ok(heard)
    }
}
