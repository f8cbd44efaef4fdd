//! Two sites on one clock: clients, executions, faults and the network between them.

use super::Responses;
use super::model::{OBJECTS, PurgeTimes, Run, TrackedRequest, body, check_body, object};
use super::network::{Arrival, Connection, Network};
use bytes::Bytes;
use deckproxy_sites::frame::{Frame, Outcome, Request};
use deckproxy_sites::purges::PurgeNotice;
use deckproxy_sites::requester::{ForwardedRequest, Reply, RequestToken, RetrySafety};
use deckproxy_sites::responder::{RunId, RunResult};
use deckproxy_sites::routes::RouteRule;
use deckproxy_sites::site::{Destination, Effect, PeerConfig, SiteConfig, SiteGateway};
use deckproxy_sites::{LinkLimits, TrustLimits};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Duration of one step, ms.
const STEP: f64 = 5.0;
/// Grace period of purges, ms.
const PURGE_GRACE: f64 = 200.0;
/// Age of a purge after which the copies that it voids have expired at the home, ms.
const COPY_EXPIRY: f64 = 1500.0;
/// Largest time in flight that a request's time left may fail to account for, ms.
const FLIGHT_MARGIN: f64 = 160.0;
const SITES: [&str; 2] = ["a", "b"];

pub fn site_config(own_site: &str, peer: &str) -> SiteConfig {
    let route_to_peer = RouteRule {
        class: None,
        prefix: if peer == "a" { 0xa << 60 } else { 0xb << 60 },
        prefix_digits: 1,
        groups: (0, 255),
        home: peer.to_string(),
        via: None,
        copies_allowed: false,
    };
    SiteConfig {
        own_site: own_site.to_string(),
        peers: vec![PeerConfig { site: peer.to_string(), endpoints: 1, connections: 2 }],
        rules: vec![route_to_peer],
        max_hops: 2,
        link: LinkLimits {
            heartbeat_interval: 20.0,
            silence_timeout: 80.0,
            resume_timeout: 400.0,
            chunk_size: 64,
            credit_window: 256,
            max_exchanges: 200,
            max_waiters: 8,
            max_retained_bytes: 2000,
            recovery_ramp: 100.0,
            queue_timeout: 60.0,
            retry_ratio: 0.2,
            retry_after: 50.0,
        },
        trust: TrustLimits {
            purge_grace: PURGE_GRACE,
            lease: 120.0,
            known_purge_history: 0.0,
            serve_when_partitioned: false,
            max_clock_skew: 50.0,
            copy_lifetime: 2000.0,
        },
    }
}

pub struct Simulation {
    rng: Pcg64Mcg,
    now: f64,
    pub sites: Vec<SiteGateway>,
    next_epoch: u64,
    pub network: Network,
    next_number: u64,
    /// Requests that wait for a response, by site and token.
    pub tokens: BTreeMap<(usize, RequestToken), String>,
    requests: BTreeMap<String, TrackedRequest>,
    pub runs: BTreeMap<(usize, RunId), Run>,
    /// When the home's copy of each object was issued.
    copies: HashMap<u64, f64>,
    purges: BTreeMap<u64, Vec<PurgeTimes>>,
    pub responses: Responses,
}

impl Simulation {
    pub fn new(seed: u64) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let epoch: u64 = rng.random();
        let sites = vec![
            SiteGateway::new(site_config("a", "b"), epoch, 0.0),
            SiteGateway::new(site_config("b", "a"), epoch ^ 1, 0.0),
        ];
        Simulation {
            rng,
            now: 0.0,
            sites,
            next_epoch: epoch,
            network: Network::default(),
            next_number: 0,
            tokens: BTreeMap::new(),
            requests: BTreeMap::new(),
            runs: BTreeMap::new(),
            copies: HashMap::new(),
            purges: BTreeMap::new(),
            responses: Responses::default(),
        }
    }

    /// Requests without a response.
    pub fn unanswered(&self) -> Vec<&String> {
        self.requests.iter().filter(|(_, request)| !request.is_answered).map(|(name, _)| name).collect()
    }

    pub fn step(&mut self, has_faults: bool) {
        self.now += STEP;
        if has_faults {
            self.inject_faults();
        }
        self.end_runs();
        self.execute_effects();
        self.deliver();
        for site in &mut self.sites {
            site.tick(self.now, self.now);
        }
        self.execute_effects();
    }

    fn execute_effects(&mut self) {
        loop {
            let mut is_idle = true;
            for index in 0..self.sites.len() {
                while let Some(effect) = self.sites[index].next_effect() {
                    is_idle = false;
                    self.execute_effect(index, effect);
                }
                for connection in self.network.connection_ids() {
                    while let Some(frame) = self.sites[index].next_chunk(connection) {
                        is_idle = false;
                        self.write(index, connection, frame);
                    }
                }
            }
            if is_idle {
                return;
            }
        }
    }

    fn write(&mut self, site: usize, connection: u64, frame: Frame) {
        if self.network.connections.contains_key(&connection) {
            let delay = self.rng.random_range(1.0..15.0);
            self.network.write(self.now, site, connection, frame, delay);
        }
    }

    fn execute_effect(&mut self, site: usize, effect: Effect) {
        match effect {
            Effect::Connect { peer, endpoint } => self.connect(site, peer, endpoint),
            Effect::Send(connection, frame) => self.write(site, connection, frame),
            Effect::Close(connection, _) => self.network.close(self.now, site, connection),
            Effect::Reply(token, reply) => self.replied(site, token, reply),
            Effect::Run(run, request) => self.start_run(site, run, request),
            Effect::Cancel(run) => {
                if let Some(canceled) = self.runs.remove(&(site, run)) {
                    self.tracked(&canceled.request).live_runs.remove(&(site, run));
                }
            }
            Effect::Purge(_) | Effect::LimitCopyAge(_) | Effect::Log(_) => {}
        }
    }

    fn connect(&mut self, site: usize, peer: usize, endpoint: usize) {
        if self.now < self.network.partitioned_until || self.rng.random_range(0..20) == 0 {
            return self.sites[site].connect_failed(self.now, peer, endpoint);
        }
        self.next_number += 1;
        let connection = self.next_number;
        self.network.connections.insert(connection, Connection::new(site, 1 - site));
        self.sites[1 - site].accepted(self.now, connection);
        self.sites[site].connected(self.now, peer, endpoint, connection);
    }

    fn tracked(&mut self, request: &str) -> &mut TrackedRequest {
        self.requests.get_mut(request).unwrap()
    }

    fn start_run(&mut self, site: usize, run: RunId, request: Request) {
        let now = self.now;
        let object = u64::from_str_radix(&request.object, 16).unwrap();
        let name = request.name;
        let tracked = self.tracked(&name);
        assert!(tracked.live_runs.is_empty(), "{name}: two executions at once");
        tracked.executions += 1;
        let is_idempotent = tracked.is_idempotent;
        assert!(is_idempotent || tracked.executions == 1, "{name}: executed {} times", tracked.executions);
        // The time left is counted from the arrival: it may exceed the true one by at most the time in flight.
        let longest_time_left = tracked.deadline - now + FLIGHT_MARGIN;
        assert!(request.time_left <= longest_time_left, "the time left exceeds the time to the deadline");
        tracked.live_runs.insert((site, run));
        let longest = if self.rng.random_range(0..8) == 0 { 150.0 } else { 10.0 };
        let ends_at = now + self.rng.random_range(0.0..longest);
        self.runs.insert((site, run), Run { site, request: name, ends_at, object, is_idempotent });
    }

    fn replied(&mut self, site: usize, token: RequestToken, reply: Reply) {
        let now = self.now;
        let name = self.tokens.remove(&(site, token)).expect("a response to a request that is not open");
        let tracked = self.requests.get_mut(&name).unwrap();
        assert!(!tracked.is_answered, "{name}: a second response");
        tracked.is_answered = true;
        assert!(now <= tracked.deadline + 2.0 * STEP, "{name}: answered late");
        match reply {
            Reply::Served { body, .. } => {
                self.responses.served += 1;
                let issued_at = check_body(&body, tracked.object);
                let mut purges = self.purges.get(&tracked.object).into_iter().flatten();
                let voiding =
                    purges.find(|purge| purge.purged_at > issued_at && purge.notified_at + PURGE_GRACE < now);
                assert!(
                    !tracked.is_idempotent || voiding.is_none(),
                    "{name}: issued at {issued_at}, purge {voiding:?}, now {now}"
                );
            }
            Reply::Rejected { .. } => {
                let was_executed = tracked.executions > 0;
                assert!(tracked.is_idempotent || !was_executed, "{name}: rejected, and it was executed");
            }
            Reply::Failed | Reply::Invalid => self.responses.failed += 1,
            Reply::NotModified { .. } => panic!("no request named a cached copy"),
        }
    }

    /// Ends the executions whose end time has passed.
    fn end_runs(&mut self) {
        let due = self.runs.iter().filter(|(_, run)| run.ends_at <= self.now);
        for key in due.map(|(key, _)| *key).collect::<Vec<_>>() {
            let run = self.runs.remove(&key).unwrap();
            self.tracked(&run.request).live_runs.remove(&key);
            let issued_at = self.issue_copy(&run);
            let outcome = match self.rng.random_range(0..20) {
                0 => Outcome::Failed,
                1 => Outcome::Rejected,
                _ => Outcome::Served,
            };
            let is_served = outcome == Outcome::Served;
            let body = if is_served { body(run.object, issued_at) } else { Bytes::new() };
            // A failed request counts as executed; a rejected one does not.
            if outcome == Outcome::Rejected {
                self.tracked(&run.request).executions -= 1;
            }
            let (issued_at, tag) = (Some(issued_at), String::new());
            let result = RunResult { outcome, retry_after: 30.0, body, issued_at, tag };
            self.sites[run.site].run_ended(self.now, key.1, result);
        }
    }

    /// The issue time of the copy that an execution serves. The home has one copy of each object, which is replaced
    /// when a purge that the home knows voids it, and at random.
    fn issue_copy(&mut self, run: &Run) -> f64 {
        let is_forced = !run.is_idempotent || self.rng.random_range(0..4) == 0;
        let known = self.last_known_purge(run.site, run.object);
        // Copies older than a purge expire after a time, whichever site was notified.
        let purges = self.purges.get(&run.object).into_iter().flatten();
        let purged_at = purges.map(|purge| purge.purged_at);
        let expired = purged_at.filter(|purged_at| self.now - purged_at > COPY_EXPIRY).fold(0.0, f64::max);
        let voided_until = known.map_or(expired, |known| known.max(expired));
        let copy = self.copies.entry(run.object).or_insert(self.now);
        if is_forced || voided_until >= *copy {
            *copy = self.now;
        }
        *copy
    }

    /// The time of the last purge of an object that a site's log contains, without the delay of its enforcement.
    fn last_known_purge(&self, site: usize, object: u64) -> Option<f64> {
        let notified = self.purges.get(&object)?.iter().filter(|purge| purge.notified_at <= self.now);
        notified
            .map(|purge| purge.purged_at)
            .filter(|at| !self.sites[site].purges().may_serve(f64::MAX, object, 0, at - 0.5))
            .reduce(f64::max)
    }

    fn deliver(&mut self) {
        for connection in self.network.connection_ids() {
            for end in 0..2 {
                self.deliver_direction(connection, end);
            }
            self.network.remove_if_closed(connection);
        }
    }

    fn deliver_direction(&mut self, connection: u64, end: usize) {
        while let Some(arrival) = self.network.next_arrival(self.now, connection, end) {
            let receiver = 1 - end;
            let site = self.network.connections[&connection].ends[receiver];
            match arrival {
                Arrival::Frame(frame) => {
                    if self.network.connections[&connection].is_open[receiver] {
                        self.sites[site].receive(self.now, self.now, connection, *frame);
                        self.execute_effects();
                    }
                }
                Arrival::End => {
                    self.sites[site].disconnected(self.now, connection, &[]);
                    self.execute_effects();
                }
            }
        }
    }

    /// Draws at random whether an event occurs in this step that occurs once in the given number of steps on average.
    fn one_in(&mut self, steps: u32) -> bool {
        self.rng.random_range(0..steps) == 0
    }

    fn inject_faults(&mut self) {
        if self.one_in(60) && !self.network.connections.is_empty() {
            self.break_connection();
        }
        if self.one_in(150) {
            self.break_link();
        }
        if self.one_in(25) {
            self.purge();
        }
        if self.one_in(900) {
            self.restart();
        }
        for _ in 0..self.rng.random_range(0..3) {
            self.request();
        }
        if self.one_in(40) {
            self.cancel();
        }
    }

    fn break_connection(&mut self) {
        let connections = self.network.connection_ids();
        let connection = connections[self.rng.random_range(0..connections.len())];
        if self.rng.random_range(0..2) == 0 {
            self.network.reset(self.now, connection);
        } else {
            let arrives_at = self.now + self.rng.random_range(0.0..120.0);
            self.network.abandon(self.now, connection, arrives_at);
        }
    }

    /// All connections become silent or are reset, and none can be opened for a while.
    fn break_link(&mut self) {
        let is_silent = self.rng.random_range(0..2) == 0;
        self.network.partitioned_until = self.now + self.rng.random_range(20.0..700.0);
        for connection in self.network.connection_ids() {
            if is_silent {
                self.network.connections.get_mut(&connection).unwrap().is_silent = true;
            } else {
                self.network.reset(self.now, connection);
            }
        }
    }

    fn purge(&mut self) {
        let home = self.rng.random_range(0..2usize);
        let object = object(home, self.rng.random_range(0..OBJECTS));
        let notified_site = self.rng.random_range(0..2usize);
        let age = self.rng.random_range(0.0..20.0);
        let times = PurgeTimes { purged_at: self.now - age, notified_at: self.now };
        self.purges.entry(object).or_default().push(times);
        self.notify(notified_site, object, times);
    }

    fn notify(&mut self, site: usize, object: u64, times: PurgeTimes) {
        let age = self.now - times.purged_at;
        self.sites[site].purge_notified(self.now, PurgeNotice { object: Some(object), group: 0, age });
    }

    /// One site's process is killed and restarted: its clients' requests and its executions are lost.
    fn restart(&mut self) {
        let index = self.rng.random_range(0..2usize);
        self.network.kill_ends_of(self.now, index);
        let lost: Vec<_> = self.tokens.keys().filter(|(site, _)| *site == index).copied().collect();
        for key in lost {
            let request = self.tokens.remove(&key).unwrap();
            self.tracked(&request).is_answered = true;
        }
        let killed: Vec<_> = self.runs.keys().filter(|(site, _)| *site == index).copied().collect();
        for key in killed {
            let run = self.runs.remove(&key).unwrap();
            self.tracked(&run.request).live_runs.remove(&key);
        }
        self.next_epoch = self.next_epoch.wrapping_add(2);
        let config = site_config(SITES[index], SITES[1 - index]);
        self.sites[index] = SiteGateway::new(config, self.next_epoch, self.now);
        // Its feed sends all purges again.
        for (object, all) in self.purges.clone() {
            for times in all {
                self.notify(index, object, times);
            }
        }
    }

    fn request(&mut self) {
        let site = self.rng.random_range(0..2usize);
        let is_idempotent = self.rng.random_range(0..4) > 0;
        let object = object(1 - site, self.rng.random_range(0..OBJECTS));
        self.next_number += 1;
        let (token, name) = (self.next_number, format!("r{}", self.next_number));
        let deadline = self.now + self.rng.random_range(50.0..900.0);
        let home = SITES[1 - site];
        let destination = self.sites[site].destination(self.now, "page", 0, object, &[]);
        assert_eq!(destination, Destination::Remote(home.to_string()));
        let request = Request {
            name: name.clone(),
            class: "page".into(),
            object: format!("{object:016x}"),
            site_path: vec![SITES[site].into()],
            ..Request::default()
        };
        let tracked = TrackedRequest {
            is_idempotent,
            object,
            deadline,
            is_answered: false,
            executions: 0,
            live_runs: BTreeSet::new(),
        };
        self.tokens.insert((site, token), name.clone());
        self.requests.insert(name, tracked);
        let forwarded = ForwardedRequest {
            request,
            object,
            deadline,
            retry_safety: if is_idempotent { RetrySafety::Idempotent } else { RetrySafety::NotIdempotent },
            may_collapse: is_idempotent,
            priority_rank: 0.5,
        };
        self.sites[site].request(self.now, token, home, forwarded);
        self.execute_effects();
    }

    /// Cancels the first open request.
    fn cancel(&mut self) {
        if let Some(((site, token), request)) = self.tokens.pop_first() {
            self.tracked(&request).is_answered = true;
            self.sites[site].cancel(self.now, token);
        }
    }
}
