//! Clients that come to any instance, one request at a time each, and go to the next instance after a rejection, a death or
//! a silence while there is time left. A request that must not run twice is not retried once it may have run.

use crate::absence::Absences;
use deckproxy_standins::client::fresh_name;
use deckproxy_standins::load_client::{RequestGenerator, RequestSpec, encode_request, read_outcome};
use deckproxy_standins::record::{Fact, Outcome, Record};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::HashMap;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// How long past its time an answer is waited for.
const LATE_ANSWER_WAIT: Duration = Duration::from_millis(600);
/// A request sent so short a time before its connection was closed may have crossed the close.
const CLOSE_RACE: Duration = Duration::from_millis(50);
/// An instance that ended so short a time before a request counts as absent, ms.
const ABSENCE_SLACK_MS: f64 = 5.0;
/// With less time left than this a client does not retry, ms.
const LEAST_TIME_MS: u128 = 20;
/// Time from one attempt to the next.
const RETRY_PAUSE: Duration = Duration::from_millis(5);
/// Time after which a connection counts as refused.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// The longest pause between two requests of a client, s.
const MAX_GAP_SECONDS: f64 = 5.0;
/// A client that is late by more than this does not catch up on what it has missed.
const MAX_BACKLOG: Duration = Duration::from_secs(1);
/// Probability that a client goes to another instance after it was served.
const MOVE_PROBABILITY: f64 = 0.1;
/// Time after the last request in which a second answer would be seen.
const LINGER: Duration = Duration::from_millis(30);

/// An instance as clients know it.
#[derive(Clone)]
pub struct Endpoint {
    /// Where it listens.
    pub address: SocketAddr,
    /// When it could not answer.
    pub absences: Absences,
}

/// Requests at one instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct InstanceCounts {
    /// Requests that were sent to it.
    pub requests: u64,
    /// Those that it served.
    pub served: u64,
}

/// What clients counted.
#[derive(Default)]
pub struct Counts {
    /// Requests that clients wanted, retries not counted.
    pub wanted: AtomicU64,
    /// Those that were served in the end, at any instance.
    pub served: AtomicU64,
    /// Attempts by instance.
    pub by_instance: Mutex<HashMap<usize, InstanceCounts>>,
    /// Attempts whose instance was killed, stopped or gone meanwhile.
    pub excused: AtomicU64,
}

impl Counts {
    fn change(&self, instance: usize, change: impl FnOnce(&mut InstanceCounts)) {
        change(self.by_instance.lock().unwrap().entry(instance).or_default());
    }
}

/// The clients of a run, a thread each.
pub struct ClientPopulation {
    running: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
    /// What they counted.
    pub counts: Arc<Counts>,
}

/// How many clients there are, and what they request.
#[derive(Clone)]
pub struct PopulationSettings {
    /// Clients.
    pub clients: usize,
    /// Requests a second of all clients, retries not counted.
    pub rate: f64,
    /// Seed of the traffic.
    pub seed: u64,
    /// What they request.
    pub requests: RequestGenerator,
}

impl ClientPopulation {
    /// Starts them.
    pub fn start(settings: &PopulationSettings, endpoints: &[Endpoint], record: &Record) -> Self {
        let running = Arc::new(AtomicBool::new(true));
        let counts = Arc::new(Counts::default());
        let threads = (0..settings.clients).map(|i| {
            let seed = settings.seed ^ (i as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
            let mut client = Client {
                endpoints: endpoints.to_vec(),
                record: record.clone(),
                counts: counts.clone(),
                connection: None,
                instance: i % endpoints.len(),
                rng: Pcg64Mcg::seed_from_u64(seed),
            };
            let (settings, running) = (settings.clone(), running.clone());
            thread::spawn(move || client.run(&settings, &running))
        });
        let threads = threads.collect();
        ClientPopulation { running, threads, counts }
    }

    /// Ends the traffic, and waits for the requests in flight.
    pub fn finish(self) -> Arc<Counts> {
        self.running.store(false, Ordering::SeqCst);
        for thread in self.threads {
            let _ = thread.join();
        }
        self.counts
    }
}

/// A request in flight.
struct Pending {
    name: String,
    /// When it was sent, ms of the record.
    sent_at: f64,
    /// How long it may take, ms.
    timeout_ms: f64,
}

struct Connection {
    stream: TcpStream,
    buffer: Vec<u8>,
    /// Requests that were sent on it, by id; those that were answered stay, so that a second answer is seen.
    requests: HashMap<u64, Pending>,
    next_id: u64,
}

impl Connection {
    fn open(address: &SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(address, CONNECT_TIMEOUT)?;
        let _ = stream.set_nodelay(true);
        Ok(Connection { stream, buffer: Vec::new(), requests: HashMap::new(), next_id: 1 })
    }

    /// Reads what comes within a time; false where nothing came.
    fn read(&mut self, timeout: Duration) -> Result<bool, Disconnected> {
        let _ = self.stream.set_read_timeout(Some(timeout.max(Duration::from_millis(1))));
        let mut chunk = [0; 64 * 1024];
        match self.stream.read(&mut chunk) {
            Ok(0) => Err(Disconnected),
            Ok(length) => {
                self.buffer.extend_from_slice(&chunk[..length]);
                Ok(true)
            }
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => Ok(false),
            Err(_) => Err(Disconnected),
        }
    }

    /// Takes the next complete answer from what was read.
    fn next_answer(&mut self) -> Result<Option<Answer>, Disconnected> {
        let mut rest = &self.buffer[..];
        let Ok(value) = rmpv::decode::read_value(&mut rest) else { return Ok(None) };
        let used = self.buffer.len() - rest.len();
        self.buffer.drain(..used);
        let (id, outcome) = read_outcome(&value).ok_or(Disconnected)?;
        Ok(Some(Answer { id, outcome }))
    }
}

/// An answer to a request of a connection.
struct Answer {
    id: u64,
    outcome: Outcome,
}

/// The connection has ended, or what came on it was no answer.
struct Disconnected;

/// The end of an attempt.
enum AttemptResult {
    Served,
    /// The request was rejected before it ran.
    Rejected,
    Failed,
    /// The connection could not be made, so that nothing was sent.
    NotSent,
    /// The connection ended, or no answer came in time.
    Lost,
}

struct Client {
    endpoints: Vec<Endpoint>,
    record: Record,
    counts: Arc<Counts>,
    connection: Option<Connection>,
    /// The instance that it goes to.
    instance: usize,
    rng: Pcg64Mcg,
}

impl Client {
    fn run(&mut self, settings: &PopulationSettings, running: &AtomicBool) {
        let rate = settings.rate / settings.clients as f64;
        let mut due = Instant::now();
        while running.load(Ordering::SeqCst) {
            let gap = -(1.0 - self.rng.random::<f64>()).ln() / rate;
            due += Duration::from_secs_f64(gap.min(MAX_GAP_SECONDS));
            while Instant::now() < due && running.load(Ordering::SeqCst) {
                thread::sleep((due - Instant::now()).min(Duration::from_millis(20)));
            }
            due = Instant::now().checked_sub(MAX_BACKLOG).map_or(due, |earliest| due.max(earliest));
            let request = (settings.requests)(&mut self.rng);
            self.request(request);
        }
        thread::sleep(LINGER);
        let _ = self.receive(Duration::from_millis(1));
    }

    /// Sends a request, and retries it at other instances until it was served or its time is over.
    fn request(&mut self, request: RequestSpec) {
        self.counts.wanted.fetch_add(1, Ordering::SeqCst);
        let deadline = Instant::now() + Duration::from_millis(u64::from(request.timeout_ms));
        let mut is_retry = false;
        loop {
            let left = deadline.saturating_duration_since(Instant::now()).as_millis();
            if left < LEAST_TIME_MS {
                return;
            }
            let result = self.attempt(&RequestSpec { timeout_ms: left as u32, ..request }, is_retry);
            is_retry = true;
            match result {
                AttemptResult::Served => {
                    self.counts.served.fetch_add(1, Ordering::SeqCst);
                    return self.move_at_random();
                }
                AttemptResult::Failed => return,
                AttemptResult::Lost if request.class != "page" => return self.move_to(self.instance + 1),
                AttemptResult::Rejected | AttemptResult::NotSent | AttemptResult::Lost => {
                    self.move_to(self.instance + 1);
                    thread::sleep(RETRY_PAUSE);
                }
            }
        }
    }

    fn move_at_random(&mut self) {
        if self.rng.random_bool(MOVE_PROBABILITY) {
            let instance = self.rng.random_range(0..self.endpoints.len());
            self.move_to(instance);
        }
    }

    fn move_to(&mut self, instance: usize) {
        let instance = instance % self.endpoints.len();
        if instance != self.instance {
            self.connection = None;
            self.instance = instance;
        }
    }

    /// Sends a request to the present instance, and waits for its answer.
    fn attempt(&mut self, request: &RequestSpec, is_retry: bool) -> AttemptResult {
        if self.connection.is_none() {
            self.connection = Connection::open(&self.endpoints[self.instance].address).ok();
        }
        let Some(connection) = &mut self.connection else { return AttemptResult::NotSent };
        let (id, name) = (connection.next_id, fresh_name());
        connection.next_id += 1;
        let (began, sent_at) = (Instant::now(), self.record.now());
        let timeout_ms = f64::from(request.timeout_ms);
        connection.requests.insert(id, Pending { name: name.clone(), sent_at, timeout_ms });
        self.record.note(Fact::RequestSent {
            name: name.clone(),
            site: 0,
            home_site: 0,
            class: request.class,
            object: request.object,
            group: request.group,
            timeout_ms,
        });
        self.counts.change(self.instance, |counts| counts.requests += 1);
        let end = began + Duration::from_millis(u64::from(request.timeout_ms)) + LATE_ANSWER_WAIT;
        if connection.stream.write_all(&encode_request(id, &name, request, is_retry)).is_err() {
            return self.lose(name, began, sent_at);
        }
        loop {
            let Ok(answers) = self.receive(end.saturating_duration_since(Instant::now())) else {
                return self.lose(name, began, sent_at);
            };
            if let Some(answer) = answers.iter().find(|answer| answer.id == id) {
                return self.result(answer.outcome);
            }
            if Instant::now() >= end {
                return self.lose(name, began, sent_at);
            }
        }
    }

    fn result(&self, outcome: Outcome) -> AttemptResult {
        match outcome {
            Outcome::Served(_) | Outcome::Unchanged => {
                self.counts.change(self.instance, |counts| counts.served += 1);
                AttemptResult::Served
            }
            Outcome::Rejected(_) => AttemptResult::Rejected,
            Outcome::Failed => AttemptResult::Failed,
        }
    }

    /// Notes that no answer came. It is excused where the instance could not answer, or the request crossed the close.
    fn lose(&mut self, name: String, began: Instant, sent_at: f64) -> AttemptResult {
        self.connection = None;
        let absences = &self.endpoints[self.instance].absences;
        let was_absent = absences.overlap(sent_at - ABSENCE_SLACK_MS, self.record.now());
        if was_absent || began.elapsed() < CLOSE_RACE {
            self.counts.excused.fetch_add(1, Ordering::SeqCst);
            self.record.note(Fact::Withdrawn { name });
        } else {
            self.record.note(Fact::ConnectionLost { name });
        }
        AttemptResult::Lost
    }

    /// Answers that come within a time, noted in the record.
    fn receive(&mut self, timeout: Duration) -> Result<Vec<Answer>, Disconnected> {
        let Some(connection) = &mut self.connection else { return Err(Disconnected) };
        let mut answers = Vec::new();
        if !connection.read(timeout)? {
            return Ok(answers);
        }
        let absences = &self.endpoints[self.instance].absences;
        while let Some(answer) = connection.next_answer()? {
            let Some(Pending { name, sent_at, timeout_ms }) = connection.requests.get(&answer.id) else {
                continue;
            };
            let (now, name) = (self.record.now(), name.clone());
            // An answer that is late because the instance was stopped meanwhile is excused.
            if now > sent_at + timeout_ms && absences.overlap(*sent_at, now) {
                self.counts.excused.fetch_add(1, Ordering::SeqCst);
                self.record.note(Fact::Withdrawn { name });
            } else {
                self.record.note(Fact::Answered { name, outcome: answer.outcome });
            }
            answers.push(answer);
        }
        Ok(answers)
    }
}
