//! A client that makes one request at a time, at the next instance after a rejection.

use super::connection::{Answer, Connection, Disconnected, LEAST_READ_TIMEOUT, SentRequest};
use super::{Counts, PopulationSettings};
use crate::endpoint::Endpoint;
use deckproxy_standins::client::fresh_name;
use deckproxy_standins::load_client::RequestSpec;
use deckproxy_standins::record::{Fact, Outcome, Record};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// How long past its time an answer is waited for.
const LATE_ANSWER_WAIT: Duration = Duration::from_millis(600);
/// With less time left than this a client does not retry, ms.
const LEAST_TIME_MS: u128 = 20;
/// Time from one attempt to the next.
const RETRY_PAUSE: Duration = Duration::from_millis(5);
/// The longest pause between two requests of a client, s.
const MAX_GAP_SECONDS: f64 = 5.0;
/// A client that is late by more than this does not catch up on what it has missed.
const MAX_BACKLOG: Duration = Duration::from_secs(1);
/// Probability that a client goes to another instance after it was served.
const MOVE_PROBABILITY: f64 = 0.1;
/// Time after the last request in which a second answer would be seen.
const LINGER: Duration = Duration::from_millis(30);
/// The longest time until a pausing client sees that the traffic has ended.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(20);

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

/// A client with one request at a time.
pub(super) struct Client {
    endpoints: Vec<Endpoint>,
    record: Record,
    counts: Arc<Counts>,
    connection: Option<Connection>,
    /// The instance that it goes to.
    instance: usize,
    rng: Pcg64Mcg,
}

impl Client {
    /// A client that goes to an instance first.
    pub(super) fn new(
        endpoints: &[Endpoint],
        record: &Record,
        counts: &Arc<Counts>,
        instance: usize,
        seed: u64,
    ) -> Self {
        Client {
            endpoints: endpoints.to_vec(),
            record: record.clone(),
            counts: counts.clone(),
            connection: None,
            instance,
            rng: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Makes requests until the traffic ends.
    pub(super) fn run(&mut self, settings: &PopulationSettings, running: &AtomicBool) {
        let rate = settings.rate / settings.clients as f64;
        let mut due = Instant::now();
        while running.load(Ordering::SeqCst) {
            let gap = -(1.0 - self.rng.random::<f64>()).ln() / rate;
            due += Duration::from_secs_f64(gap.min(MAX_GAP_SECONDS));
            sleep_until(due, running);
            due = Instant::now().checked_sub(MAX_BACKLOG).map_or(due, |earliest| due.max(earliest));
            let request = (settings.requests)(&mut self.rng);
            self.request(request);
        }
        thread::sleep(LINGER);
        let _ = self.receive(LEAST_READ_TIMEOUT);
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
            let timeout_ms = u32::try_from(left).unwrap_or(u32::MAX);
            let result = self.attempt(&RequestSpec { timeout_ms, ..request }, is_retry);
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

    /// Goes to any instance, with some probability.
    fn move_at_random(&mut self) {
        if self.rng.random_bool(MOVE_PROBABILITY) {
            let instance = self.rng.random_range(0..self.endpoints.len());
            self.move_to(instance);
        }
    }

    /// Goes to an instance; numbers past the last one begin again.
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
        let (name, sent_at) = (fresh_name(), self.record.now());
        let deadline = Instant::now() + Duration::from_millis(u64::from(request.timeout_ms));
        let timeout_ms = f64::from(request.timeout_ms);
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
        let sent = SentRequest { name: name.clone(), sent_at, timeout_ms };
        let answer = match connection.send(sent, request, is_retry) {
            Ok(id) => self.wait_for_answer(id, deadline + LATE_ANSWER_WAIT),
            Err(Disconnected) => None,
        };
        match answer {
            Some(answer) => self.result(answer.outcome),
            None => self.lose(name, sent_at),
        }
    }

    /// The answer to a request; none where the connection or the time ends before it.
    fn wait_for_answer(&mut self, id: u64, end: Instant) -> Option<Answer> {
        loop {
            let answers = self.receive(end.saturating_duration_since(Instant::now())).ok()?;
            let answer = answers.into_iter().find(|answer| answer.id == id);
            if answer.is_some() || Instant::now() >= end {
                return answer;
            }
        }
    }

    /// The end of an attempt that was answered.
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
    fn lose(&mut self, name: String, sent_at: f64) -> AttemptResult {
        self.connection = None;
        if self.endpoints[self.instance].excuses_loss(sent_at, self.record.now()) {
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
        let endpoint = &self.endpoints[self.instance];
        while let Some(answer) = connection.next_answer()? {
            let Some(SentRequest { name, sent_at, timeout_ms }) = connection.request(answer.id) else {
                continue;
            };
            let (now, name) = (self.record.now(), name.clone());
            if endpoint.excuses_late_answer(*sent_at, *timeout_ms, now) {
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

/// Sleeps until a time, or until the traffic ends.
fn sleep_until(due: Instant, running: &AtomicBool) {
    while Instant::now() < due && running.load(Ordering::SeqCst) {
        thread::sleep(due.saturating_duration_since(Instant::now()).min(STOP_CHECK_INTERVAL));
    }
}
