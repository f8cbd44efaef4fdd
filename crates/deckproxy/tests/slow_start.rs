//! Members in slow start under a fleet of 24 processes with unequal traffic, which learn of the member's start at
//! different times and of which some have just restarted. Requests are counted at the members, including fills through
//! a parent.

use deckproxy_standins::limit_checkers::{SlowStartChecker, SlowStartLimits};
use deckproxy_standins::*;
use serde_json::{Value, json};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

const PROCESSES: usize = 24;
/// Sending time of each answer, ms: 100 KB at 1,000 KB a second, which is the mean work of a request.
const WORK: f64 = 100.0;
/// Requests of one process in a surge: at least one of them has the starting member as its home.
const SURGE: usize = 8;

/// A request that a member received.
struct ReceivedRequest {
    /// Time of receipt, Unix ms.
    at_ms: f64,
    /// The member.
    member: String,
    /// The member from which it fills on a miss.
    fill_source: Option<String>,
}

/// The requests that all members received.
type ReceivedRequests = Arc<Mutex<Vec<ReceivedRequest>>>;

/// A member that misses lookups, serves everything else, and records what it receives.
struct RecordingMember {
    address: std::net::SocketAddr,
    id: String,
    running: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl RecordingMember {
    fn start(id: &str, received: &ReceivedRequests) -> Self {
        let member = Member::start(id);
        let address = member.address;
        let running = Arc::new(AtomicBool::new(true));
        let (still_running, received) = (running.clone(), received.clone());
        let thread = thread::spawn(move || {
            while still_running.load(Ordering::SeqCst) {
                let Some(request) = member.request_if_any() else { continue };
                let source = request.field("miss").map(str::to_string);
                received.lock().unwrap().push(ReceivedRequest {
                    at_ms: unix_ms() as f64,
                    member: member.id.clone(),
                    fill_source: source.clone(),
                });
                let misses = source.is_none() && member.id.starts_with("s-c");
                member.try_answer(&request, if misses { "404" } else { "200" }, b"body");
            }
        });
        RecordingMember { address, id: id.to_string(), running, thread: Some(thread) }
    }

    fn entry(&self, zone: &str, kind: &str, size: f64, since: u64) -> Value {
        let mut entry = entry(&self.id, self.address, zone, kind, "Ready");
        (entry["size"], entry["up_since_ms"]) = (json!(size), json!(since));
        entry
    }
}

impl Drop for RecordingMember {
    fn drop(&mut self) {
        self.running.store(false, Ordering::SeqCst);
        if let Some(thread) = self.thread.take() {
            thread.join().unwrap();
        }
    }
}

/// One process, a client of it, and the requests in flight.
struct Process {
    gateway: Gateway,
    client: Client,
    ids: Vec<u64>,
    objects: u64,
}

impl Process {
    fn new(gateway: Gateway, number: usize) -> Self {
        let mut client = gateway.client();
        // Sends a ping at once: the other processes start before the first request, and silent clients are closed after
        // 2 s.
        client.expect_ready();
        Process { gateway, client, ids: Vec::new(), objects: (number as u64 + 1) << 32 }
    }

    fn send_request(&mut self) {
        self.objects += 0x9e37_79b9;
        let fields = [("lookup", &*format!("{:016x}", self.objects)), ("room", "100"), ("allow", "1000")];
        let id = self.client.send_request("page", &fields, &[]);
        self.ids.push(id);
    }

    /// Waits for the final answers to all requests.
    fn settle(&mut self) {
        for _ in self.ids.drain(..) {
            self.client.next_answer();
        }
    }
}

/// A fleet of 24 processes, each of which knows the warm members.
struct Fleet {
    settings: Value,
    known: Vec<Value>,
    feed: Feed,
    subscriptions: Vec<TcpStream>,
    processes: Vec<Process>,
}

impl Fleet {
    fn start(settings: Value, known: &[Value]) -> Self {
        let (feed, known) = (Feed::start(), known.to_vec());
        let mut fleet = Fleet { settings, known, feed, subscriptions: Vec::new(), processes: Vec::new() };
        for i in 0..PROCESSES {
            let gateway = fleet.setup(i, &[]).start();
            fleet.processes.push(Process::new(gateway, i));
            fleet.subscriptions.push(fleet.feed.accept().1);
        }
        fleet
    }

    fn setup(&self, position: usize, more: &[Value]) -> Setup {
        let mut setup = Setup::knowing(&[&self.known, more].concat());
        setup.settings = self.settings.clone();
        setup.settings["position"] = json!(position);
        setup.feed = self.feed.address;
        setup
    }

    fn restart(&mut self, i: usize, cold: &Value) {
        self.processes[i].gateway.child.kill().unwrap();
        let setup = self.setup(i, std::slice::from_ref(cold));
        let mut process = Process::new(setup.start(), i);
        process.objects = self.processes[i].objects;
        self.processes[i] = process;
    }
}

/// A member starts while the fleet serves, and the processes learn of it one after another. Its load is checked in each
/// window during unequal traffic, a pause in which budgets could accumulate, a surge at all processes, and a restart of
/// some.
fn check_slow_start(cold_is_a_parent: bool) {
    let received = ReceivedRequests::default();
    let cold = RecordingMember::start(if cold_is_a_parent { "s-p0000001" } else { "s-c0000001" }, &received);
    let other = RecordingMember::start(if cold_is_a_parent { "s-p0000002" } else { "s-c0000002" }, &received);
    let third = RecordingMember::start(if cold_is_a_parent { "s-c0000003" } else { "s-p0000003" }, &received);
    let origin = RecordingMember::start("s-f0000004", &received);
    let (zone, kind, size) = if cold_is_a_parent { ("hub", "parent", 9.0) } else { ("edge", "box", 3.0) };
    let known = [
        other.entry(zone, kind, size, 0),
        if cold_is_a_parent {
            third.entry("edge", "box", 1000.0, 0)
        } else {
            third.entry("hub", "parent", 1000.0, 0)
        },
        origin.entry("hub", "origin", 1000.0, 0),
    ];
    let mut settings = settings();
    for class in 0..3 {
        settings["services"][class]["deadlineMs"] = json!(1000.0);
    }
    settings["groupSize"] = json!(PROCESSES);
    settings["familyInfo"]["zoneBalancers"] = json!([0, PROCESSES]);
    // The ramp takes five minutes, so the budget is nearly constant during the test: a handful of calls per window.
    settings["rules"]["rampTimeMs"] = json!(300_000.0);
    settings["familyInfo"]["upperColdMs"] = json!(300_000.0);
    settings["rules"]["fallMs"] = json!(500.0);
    let mut fleet = Fleet::start(settings, &known);

    let since = unix_ms();
    let entry = cold.entry(zone, kind, size, since);
    let event = member_update(2, std::slice::from_ref(&entry));
    let start = Instant::now();
    for step in 0..100_u32 {
        let at = Duration::from_millis(10) * step;
        thread::sleep(at.saturating_sub(start.elapsed()));
        for (i, process) in fleet.processes.iter_mut().enumerate() {
            if step == 10 * (i as u32 % 5) {
                send_line(&fleet.subscriptions[i], &event);
            }
            // The busiest process has about ten times the traffic of the least busy one.
            if step % (5 + 2 * i as u32) == 0 {
                process.send_request();
            }
        }
    }
    fleet.processes.iter_mut().for_each(Process::settle);
    // A process gets a slot every 2.9 s, so each could save one during this pause.
    thread::sleep(Duration::from_millis(3300));
    (0..SURGE).for_each(|_| fleet.processes.iter_mut().for_each(Process::send_request));
    fleet.processes.iter_mut().for_each(Process::settle);
    // The restarted processes do not know what was sent just before.
    (0..PROCESSES).step_by(4).for_each(|i| fleet.restart(i, &entry));
    (0..SURGE).for_each(|_| fleet.processes.iter_mut().for_each(Process::send_request));
    fleet.processes.iter_mut().for_each(Process::settle);

    let mut checker = SlowStartChecker::default();
    for request in received.lock().unwrap().iter() {
        if request.member == cold.id || request.fill_source.as_ref() == Some(&cold.id) {
            checker.record_call(request.at_ms, WORK);
        }
    }
    let (from, multiple) = if cold_is_a_parent { (0.1, 2.0) } else { (0.2, 3.0) };
    let (started, ramp, window) = (since as f64, 300_000.0, 500.0);
    let limits = SlowStartLimits {
        started_ms: started,
        capacity: size,
        initial_share: from,
        ramp_ms: ramp,
        multiple,
        window_ms: window,
    };
    assert_eq!(
        checker.first_overload(limits),
        None,
        "{} calls were received",
        checker.total_work_ms() / WORK
    );
    assert!(
        checker.total_work_ms() >= 3.0 * WORK,
        "too few calls to the member: {}",
        checker.total_work_ms() / WORK
    );
}

#[test]
fn cache_in_slow_start_is_not_overloaded_by_24_processes() {
    check_slow_start(false);
}

#[test]
fn parent_in_slow_start_is_not_overloaded_by_fills_of_24_processes() {
    check_slow_start(true);
}
