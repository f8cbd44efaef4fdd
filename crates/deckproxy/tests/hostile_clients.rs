//! A soak: a gateway with little memory, with ordinary clients and with hostile ones whose acts are drawn from a seed. It
//! runs short in CI; `DECKPROXY_SOAK_SECONDS` and `DECKPROXY_SOAK_SEED` choose another length and seed.

use deckproxy_standins::free_address;
use deckproxy_standins::hostile_clients::HostileClients;
use deckproxy_standins::load_client::{Load, LoadClients, RequestGenerator, RequestSpec};
use deckproxy_standins::record::Record;
use deckproxy_standins::rules::{self, RuleLimits, Verdict};
use deckproxy_standins::site::{Site, SiteConfig};
use rand::RngExt;
use serde_json::json;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

const MEMORY_MB: u64 = 48;
/// Hostile clients at a time; the gateway has connections for 341 clients.
const HOSTILE_CLIENTS: u32 = 60;
/// Hostile clients with which no answer may be late either.
const MANY_HOSTILE_CLIENTS: u32 = 120;
/// Ordinary clients, and the requests of all of them in a second.
const CLIENTS: usize = 8;
const RATE: f64 = 60.0;
/// Objects that the ordinary clients request.
const OBJECTS: u64 = 200;
/// Share of the ordinary requests that must be served.
const SERVED_SHARE: f64 = 0.6;

fn from_environment(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// Plays the soak with so many hostile clients. Returns the verdict on the ordinary ones.
fn soak(hostile_clients: u32) -> Verdict {
    let seconds = from_environment("DECKPROXY_SOAK_SECONDS", 20);
    let seed = from_environment("DECKPROXY_SOAK_SEED", 1);
    let record = Record::default();
    let site = Site::start(0, SiteConfig::default(), &record);
    let listen = free_address();
    let mut config = site.config("n1", listen);
    config["limits"]["memory_mb"] = json!(MEMORY_MB);
    let gateway = site.gateway_with_config(&config, "n1", listen, None);
    let generator: RequestGenerator = Arc::new(|rng| RequestSpec {
        class: "page",
        object: rng.random_range(0..OBJECTS),
        group: 1,
        home_site: 0,
        timeout_ms: 1400,
    });
    let clients = LoadClients::start(&Load::new(0, listen, CLIENTS, RATE, seed, &generator), &record);
    let hostile = HostileClients::start(listen, hostile_clients, seed);
    thread::sleep(Duration::from_secs(seconds));
    hostile.finish();
    clients.finish();
    let memory = gateway.own_memory_kb();
    assert!(memory < MEMORY_MB * 1024, "{memory} KB, seed {seed}");
    let verdict = rules::judge(&record.take(), RuleLimits::default(), record.now());
    // How many answers are late depends on the machine; a request that is never answered breaks a rule anywhere.
    let broken = verdict.unanswered
        + verdict.double_answers
        + verdict.double_attempts
        + verdict.double_effects
        + verdict.wrong_bodies;
    assert_eq!(broken, 0, "seed {seed}: {:?}", verdict.violations);
    let (share, late) = (verdict.home_served_share, verdict.late_answers);
    println!("seed {seed}: {} requests, {share:.3} served, {late} late, {memory} KB", verdict.requests);
    assert!(share > SERVED_SHARE, "{share:.3} of {} requests served, seed {seed}", verdict.requests);
    assert!(!gateway.log().contains("broken invariant"), "seed {seed}");
    verdict
}

/// Guards the memory, the answers and the rules for ordinary clients against hostile ones.
#[test]
fn hostile_clients_neither_end_the_gateway_nor_keep_others_from_being_served() {
    soak(HOSTILE_CLIENTS);
}

/// Guards against answers that come after their deadline beside many hostile clients.
#[test]
fn many_hostile_clients_do_not_make_answers_late() {
    let verdict = soak(MANY_HOSTILE_CLIENTS);
    assert!(verdict.holds(), "{:?}", verdict.violations);
}
