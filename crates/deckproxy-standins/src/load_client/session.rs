//! One connection of a load client: a thread that sends requests, and one that reads answers.

use super::{Load, RequestSpec, RetryPolicy, encode_request, read_outcome};
use crate::client::fresh_name;
use crate::record::{Fact, Outcome, Record, Traffic};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{IpAddr, Shutdown, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Requests in flight on one connection, at most; the protocol allows 32.
const MAX_IN_FLIGHT: usize = 30;
/// A request sent this shortly before its connection was closed may have crossed the close.
const CLOSE_CROSSING: Duration = Duration::from_millis(50);
/// The longest pause between two requests of a client, s.
const MAX_GAP_S: f64 = 5.0;
/// A request with less time left than this is not sent, ms.
const MIN_TIMEOUT_MS: u32 = 10;
/// How long a client that ends waits for its answers.
const FINAL_WAIT: Duration = Duration::from_millis(2500);
/// How long it then waits for second answers, which would be a fault.
const SECOND_ANSWER_WAIT: Duration = Duration::from_millis(30);
/// How long a thread sleeps at most until it looks again.
const POLL: Duration = Duration::from_millis(2);
/// Bytes of answers that a client reads before it disconnects in the middle.
const BYTES_BEFORE_DISCONNECT: usize = 20_000;

/// A request that was sent.
struct SentRequest {
    name: String,
    answered: bool,
    sent: Instant,
    request: RequestSpec,
    /// When its first attempt times out.
    deadline: Instant,
}

/// A rejected request that is to be sent again.
struct Retry {
    due: Instant,
    request: RequestSpec,
    deadline: Instant,
}

/// What the two threads of a connection share.
#[derive(Default)]
struct SessionState {
    /// The requests sent, by id.
    sent: Mutex<HashMap<u64, SentRequest>>,
    retries: Mutex<Vec<Retry>>,
    /// The reader has ended.
    ended: AtomicBool,
    /// When the gateway closed the connection without an error.
    closed: Mutex<Option<Instant>>,
}

impl SessionState {
    fn in_flight(&self) -> usize {
        self.sent.lock().unwrap().values().filter(|sent| !sent.answered).count()
    }

    fn take_due_retry(&self, now: Instant) -> Option<Retry> {
        let mut retries = self.retries.lock().unwrap();
        let index = retries.iter().position(|retry| retry.due <= now)?;
        Some(retries.swap_remove(index))
    }

    fn next_due(&self, next_request: Instant) -> Instant {
        self.retries.lock().unwrap().iter().map(|retry| retry.due).fold(next_request, Instant::min)
    }
}

/// Sends requests on a connection until it ends or `running` is cleared, and records what becomes of them.
pub(super) fn run_session(
    load: &Load,
    stream: &TcpStream,
    random: &mut Pcg64Mcg,
    record: &Record,
    running: &AtomicBool,
) {
    let disconnects = load.disconnect_share > 0.0 && random.random::<f64>() < load.disconnect_share;
    let Ok(client) = stream.local_addr().map(|address| address.ip()) else { return };
    let _ = stream.set_nodelay(true);
    let state = Arc::<SessionState>::default();
    let Ok(stream_copy) = stream.try_clone() else { return };
    let reader = {
        let reader = Reader {
            stream: stream_copy,
            client,
            state: state.clone(),
            record: record.clone(),
            retry_policy: load.retry_policy,
        };
        thread::spawn(move || reader.run(disconnects))
    };
    send_requests(load, stream, client, random, record, running, &state);
    let end = Instant::now() + FINAL_WAIT;
    while Instant::now() < end && !state.ended.load(Ordering::SeqCst) && state.in_flight() > 0 {
        thread::sleep(POLL);
    }
    thread::sleep(SECOND_ANSWER_WAIT);
    let _ = stream.shutdown(Shutdown::Both);
    let _ = reader.join();
    record_unanswered(&state, record);
}

fn send_requests(
    load: &Load,
    stream: &TcpStream,
    client: IpAddr,
    random: &mut Pcg64Mcg,
    record: &Record,
    running: &AtomicBool,
    state: &SessionState,
) {
    let rate = load.rate / load.clients as f64;
    let mut next_id = 1u64;
    let mut next_request = Instant::now();
    while running.load(Ordering::SeqCst) && !state.ended.load(Ordering::SeqCst) {
        let now = Instant::now();
        let (request, deadline, is_retry) = match state.take_due_retry(now) {
            Some(retry) => (retry.request, retry.deadline, true),
            None if now >= next_request => {
                let gap = -(1.0 - random.random::<f64>()).ln() / rate;
                next_request += Duration::from_secs_f64(gap.min(MAX_GAP_S));
                if state.in_flight() >= MAX_IN_FLIGHT {
                    continue;
                }
                let request = (load.generator)(random);
                (request, now + Duration::from_millis(u64::from(request.timeout_ms)), false)
            }
            None => {
                thread::sleep((state.next_due(next_request) - now).min(POLL));
                continue;
            }
        };
        let timeout_ms = u32::try_from((deadline - now).as_millis()).unwrap_or(0);
        if timeout_ms < MIN_TIMEOUT_MS {
            continue;
        }
        let request = RequestSpec { timeout_ms, ..request };
        let name = fresh_name();
        let bytes = encode_request(next_id, &name, &request, is_retry);
        let sent = SentRequest { name: name.clone(), answered: false, sent: now, request, deadline };
        state.sent.lock().unwrap().insert(next_id, sent);
        next_id += 1;
        // Recorded before it is written, so that no answer precedes it.
        record.note(Fact::RequestSent {
            name,
            site: load.site,
            home_site: request.home_site,
            class: request.class,
            object: request.object,
            group: request.group,
            timeout_ms: f64::from(request.timeout_ms),
        });
        if (&mut &*stream).write_all(&bytes).is_err() {
            break;
        }
        record.count_traffic(client, Traffic { written: bytes.len() as u64, requests: 1, read: 0 });
    }
}

/// Records the requests that were never answered: as lost, or as withdrawn where the close may have crossed them.
fn record_unanswered(state: &SessionState, record: &Record) {
    let closed = *state.closed.lock().unwrap();
    for request in state.sent.lock().unwrap().values().filter(|sent| !sent.answered) {
        let name = request.name.clone();
        let crossed = closed.is_some_and(|at| request.sent + CLOSE_CROSSING > at);
        record.note(if crossed { Fact::Withdrawn { name } } else { Fact::ConnectionLost { name } });
    }
}

/// The thread that reads a connection's answers.
struct Reader {
    stream: TcpStream,
    /// The client's address.
    client: IpAddr,
    state: Arc<SessionState>,
    record: Record,
    retry_policy: RetryPolicy,
}

impl Reader {
    fn run(mut self, disconnects: bool) {
        let closed_cleanly = if disconnects { self.disconnect_in_answer() } else { self.read_answers() };
        *self.state.closed.lock().unwrap() = closed_cleanly.then(Instant::now);
        self.state.ended.store(true, Ordering::SeqCst);
    }

    fn count_read(&self, bytes: usize) {
        self.record.count_traffic(self.client, Traffic { read: bytes as u64, ..Traffic::default() });
    }

    /// Reads a part of the first large answer and disconnects. Its requests need no answer from then on.
    fn disconnect_in_answer(&mut self) -> bool {
        let mut chunk = vec![0; 4096];
        let mut total = 0;
        while let Ok(n @ 1..) = self.stream.read(&mut chunk) {
            self.count_read(n);
            total += n;
            if total > BYTES_BEFORE_DISCONNECT {
                break;
            }
        }
        let _ = self.stream.shutdown(Shutdown::Both);
        for sent in self.state.sent.lock().unwrap().values_mut().filter(|sent| !sent.answered) {
            sent.answered = true;
            self.record.note(Fact::Withdrawn { name: sent.name.clone() });
        }
        true
    }

    /// Records answers until the connection ends; returns whether it was closed without an error.
    fn read_answers(&mut self) -> bool {
        let mut buffer: Vec<u8> = Vec::new();
        let mut chunk = vec![0; 64 * 1024];
        loop {
            let n = match self.stream.read(&mut chunk) {
                Ok(0) => return true,
                Ok(n) => n,
                Err(_) => return false,
            };
            self.count_read(n);
            buffer.extend_from_slice(&chunk[..n]);
            let mut used = 0;
            loop {
                let mut rest = &buffer[used..];
                let Ok(message) = rmpv::decode::read_value(&mut rest) else { break };
                used = buffer.len() - rest.len();
                let Some((id, outcome)) = read_outcome(&message) else { return false };
                self.handle_answer(id, outcome);
            }
            buffer.drain(..used);
        }
    }

    fn handle_answer(&self, id: u64, outcome: Outcome) {
        let mut sent = self.state.sent.lock().unwrap();
        let Some(sent) = sent.get_mut(&id) else { return };
        if let (Outcome::Rejected(retry_after), false) = (outcome, sent.answered) {
            self.schedule_retry(sent, retry_after);
        }
        sent.answered = true;
        self.record.note(Fact::Answered { name: sent.name.clone(), outcome });
    }

    fn schedule_retry(&self, sent: &SentRequest, retry_after_ms: Option<f64>) {
        let wait_ms = match self.retry_policy {
            RetryPolicy::Never => return,
            RetryPolicy::AfterAdvice => retry_after_ms.unwrap_or(0.0),
            RetryPolicy::Immediate => 0.0,
        };
        let due = Instant::now() + Duration::from_secs_f64(wait_ms / 1000.0);
        if due < sent.deadline {
            let retry = Retry { due, request: sent.request, deadline: sent.deadline };
            self.state.retries.lock().unwrap().push(retry);
        }
    }
}
