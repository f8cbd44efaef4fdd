//! Simulates both ends of a link over a network that loses connections, under thousands of seeded schedules, and checks
//! the guarantees against a model: one response to each request, never two concurrent executions, at most one execution
//! of a request that is not idempotent, no copy older than a purge that was notified more than the grace period ago,
//! and no state left at the end.

mod model;
mod network;
mod simulation;

use deckproxy_sites::frame::{AttemptNumbers, Heartbeat, Payload, Request};
use deckproxy_sites::requester::OpenCounts;
use deckproxy_sites::site::{Effect, SiteGateway};
use simulation::{Simulation, site_config};
use std::ops::Add;

/// Number of steps with faults, and of steps after them in which all requests must end.
const STEPS: [usize; 2] = [600, 400];

/// Responses that the clients of a schedule received.
#[derive(Clone, Copy, Default)]
struct Responses {
    served: usize,
    failed: usize,
}

impl Add for Responses {
    type Output = Responses;

    fn add(self, other: Responses) -> Responses {
        Responses { served: self.served + other.served, failed: self.failed + other.failed }
    }
}

/// Prints the seed of a schedule if its thread panics because a guarantee is violated.
struct SeedReport(u64);

impl Drop for SeedReport {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("seed {} violates a guarantee", self.0);
        }
    }
}

fn run_schedule(seed: u64) -> Responses {
    let _report = SeedReport(seed);
    let mut simulation = Simulation::new(seed);
    for _ in 0..STEPS[0] {
        simulation.step(true);
    }
    simulation.network.partitioned_until = 0.0;
    for _ in 0..STEPS[1] {
        simulation.step(false);
    }
    let unanswered = simulation.unanswered();
    assert!(unanswered.is_empty(), "never answered: {unanswered:?}");
    for site in &simulation.sites {
        assert_eq!(site.open_requests(), 0);
        let open = site.requester(0).unwrap().open_counts();
        assert_eq!(open, OpenCounts::default(), "something is left on the requesting side");
        assert_eq!(site.held_bytes(), 0, "memory is counted that nothing uses");
        let usage = site.responder().usage();
        assert_eq!((usage.runs, usage.retained_bytes), (0, 0), "something is left on the serving side");
        assert_eq!(site.responder().owed_attempts(), 0, "a response is owed for ever");
    }
    assert!(simulation.tokens.is_empty() && simulation.runs.is_empty());
    simulation.responses
}

#[test]
fn the_guarantees_hold_under_any_schedule() {
    // To run more schedules: DECKPROXY_SCHEDULES=100000 cargo test --release -p deckproxy-sites
    let schedules = std::env::var("DECKPROXY_SCHEDULES").ok().and_then(|n| n.parse().ok()).unwrap_or(2000);
    let threads = std::thread::available_parallelism().map_or(4, usize::from) as u64;
    let Responses { served, failed } = std::thread::scope(|scope| {
        let part = |thread| {
            move || {
                let seeds = (thread..schedules).step_by(threads as usize);
                seeds.map(run_schedule).fold(Responses::default(), Responses::add)
            }
        };
        let threads: Vec<_> = (0..threads).map(|thread| scope.spawn(part(thread))).collect();
        threads
            .into_iter()
            .map(|thread| thread.join().expect("a schedule violates a guarantee: see above"))
            .fold(Responses::default(), Responses::add)
    });
    assert!(served as u64 > schedules * 100, "too few requests were served for a meaningful test: {served}");
    // Some fail by design or because their deadline passes; many more would mean that requests wait for events that
    // never occur.
    assert!(failed * 4 < served, "{failed} requests failed and only {served} were served");
}

/// A serving side must accept no other message before the hello.
#[test]
fn nothing_is_accepted_before_the_hello() {
    let payloads = [
        Payload::Ping(Heartbeat::default()),
        Payload::Request(Request::default()),
        Payload::Resume(AttemptNumbers::default()),
    ];
    for payload in payloads {
        let mut site = SiteGateway::new(site_config("b", "a"), 1, 0.0);
        site.accepted(0.0, 7);
        site.receive(1.0, 1.0, 7, payload.into());
        let effects: Vec<Effect> = std::iter::from_fn(|| site.next_effect()).collect();
        assert!(effects.iter().any(|effect| matches!(effect, Effect::Close(7, _))), "{effects:?}");
        assert!(!effects.iter().any(|effect| matches!(effect, Effect::Run(..))));
    }
}
