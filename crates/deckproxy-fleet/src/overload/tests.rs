use super::coordination::SHED_LEVEL_TTL;
use super::shed_controller::Limits;
use super::shed_level::ResourceShedLevel;
use super::summary::Resource;
use super::*;
use crate::gossip_store::{self, AuthorUpdate, Delta, EntryUpdate, GossipStore, Key, kinds};
use deckproxy_recovery::budget;

/// The highest minimum priority, at which practically no first attempt is admitted.
const MAX_MIN_PRIORITY: u32 = priority::PRIORITIES - 1;

fn settings() -> Settings {
    Settings {
        fleet: "edge".to_string(),
        classes: vec![Class { band: 0, has_effect: false }, Class { band: 1, has_effect: true }],
        limits: Limits::default(),
        retry_budget: budget::Limits { share: 0.2, max_saved: 2.0 },
        sends_retry_after: true,
        min_retry_after: 50.0,
        max_retry_after: 2000.0,
        remembered: 1024,
        window: 250.0,
    }
}

fn request(client: u64, class: usize, object: u64) -> RequestInfo {
    RequestInfo { client, class, object, time_left: 1500.0, size_kb: None, is_retry: false }
}

fn level(min_priority: u32, reserved_share: u16, retry_rate: f32) -> ShedLevel {
    let (admitted_rate, offered_rate) = (100.0, 300.0);
    let resource_level =
        ResourceShedLevel { min_priority, admitted_rate, offered_rate, reserved_share, retry_rate };
    ShedLevel { epoch: 1, epoch_age: 0, resources: [None, Some(resource_level)] }
}

fn presence(own: &str, others: &[&str]) -> Presence {
    let others = others.iter().map(|name| PresentInstance { name: Name::from(*name), incarnation: 1 });
    Presence { own: Some(own.into()), others: others.collect(), is_stale: false }
}

/// A store with a shed level that instance `b` has announced.
fn store_with(level: &ShedLevel) -> GossipStore {
    let mut store = GossipStore::new("b".into(), 1, gossip_store::Limits::default());
    let key = Key::of_kind(kinds::SHED_LEVEL);
    assert!(store.write(0.0, key, SHED_LEVEL_TTL, Some(postcard::to_stdvec(level).unwrap())));
    store
}

/// Instance `a`, enforcing a shed level announced by instance `b`.
fn follower(level: &ShedLevel) -> Overload {
    let mut overload = Overload::new(0.0, settings());
    // Prevents an evaluation by this instance, in case it is the leader.
    overload.next_evaluation = f64::MAX;
    overload.tick(10.0, &presence("a", &["b"]), &store_with(level));
    assert_eq!(overload.level().resources, level.resources);
    overload
}

fn retry_after(verdict: Verdict) -> Option<Millis> {
    match verdict {
        Verdict::Reject { retry_after } => Some(retry_after),
        Verdict::Admit(_) => None,
    }
}

#[test]
fn two_instances_reject_the_same_requests_with_the_same_retry_after() {
    let level = level(40_000, 20_000, 20.0);
    let (mut one, mut other) = (follower(&level), follower(&level));
    let mut reserved = 0;
    for client in 0..500 {
        let here = retry_after(one.request(100.0, request(client, 0, client)));
        let there = retry_after(other.request(105.0, request(client, 0, client)));
        match (here, there) {
            (Some(here), Some(there)) if here < 1500.0 => {
                reserved += 1;
                assert!((100.0 + here - 105.0 - there).abs() < 1e-6, "{here} {there}");
            }
            (here, there) => assert_eq!(here, there),
        }
    }
    assert!(reserved > 40, "{reserved}");
    assert_eq!(one.counters.below_level, other.counters.below_level);
}

#[test]
fn early_retry_is_rejected_with_the_same_time_and_retry_at_the_reserved_time_is_admitted() {
    let mut overload = follower(&level(MAX_MIN_PRIORITY, u16::MAX, 100.0));
    let retry_delay = retry_after(overload.request(100.0, request(1, 0, 1))).unwrap();
    assert!(retry_delay < 1500.0);
    let retry = RequestInfo { is_retry: true, ..request(1, 0, 1) };
    assert_eq!(retry_after(overload.request(200.0, retry)), Some(retry_delay - 100.0));
    assert_eq!(overload.counters.too_early, 1);
    // The token bucket is filled by the reserved time.
    overload.retry_tokens[1].set_refill_rate(100.0, 10.0);
    assert_eq!(retry_after(overload.request(100.0 + retry_delay, retry)), None);
    assert_eq!((overload.counters.reservations_kept, overload.counters.reservations), (1, 1));
}

#[test]
fn retry_of_request_that_may_have_run_is_admitted_at_any_shed_level() {
    let mut overload = follower(&level(MAX_MIN_PRIORITY, 0, 0.0));
    let Verdict::Admit(ticket) = Overload::new(0.0, settings()).request(0.0, request(1, 1, 9)) else {
        panic!("no load is shed by an instance without a shed level")
    };
    overload.request_ended(50.0, &ticket, RequestOutcome::Failed, 0.0);
    let retry = RequestInfo { is_retry: true, ..request(1, 1, 9) };
    assert_eq!(retry_after(overload.request(100.0, retry)), None);
    // Another request of the class that has not run is rejected.
    assert!(retry_after(overload.request(100.0, request(2, 1, 10))).is_some());
}

#[test]
fn isolated_instance_admits_retries_within_its_own_budget() {
    let mut overload = Overload::new(0.0, settings());
    let mut admitted = 0;
    for i in 0..200 {
        let client = u64::from(i as u32);
        let Verdict::Admit(ticket) = overload.request(f64::from(i), request(client, 0, 1)) else {
            panic!("a first attempt")
        };
        overload.request_ended(f64::from(i), &ticket, RequestOutcome::Served, 0.0);
        let retry = RequestInfo { is_retry: true, ..request(1000 + client, 0, 2) };
        admitted += usize::from(retry_after(overload.request(f64::from(i), retry)).is_none());
    }
    assert!(
        (38..=42).contains(&admitted),
        "{admitted} of 200 retries admitted with a budget of 0.2 per first attempt"
    );
}

/// First attempts at a resource that sheds load raise the retry rate of its shed level. They must not also earn retries in
/// the instance's own budget, which would admit the same number of retries of cache hits.
#[test]
fn first_attempts_at_a_shed_resource_do_not_earn_retries_twice() {
    let mut overload = follower(&level(0, 0, 0.0));
    let mut admitted = 0;
    for i in 1..=200 {
        let Verdict::Admit(ticket) = overload.request(100.0, request(i, 0, i)) else {
            panic!("a first attempt")
        };
        assert_eq!(ticket.resource, Resource::Sources);
        overload.request_ended(100.0, &ticket, RequestOutcome::Served, 0.0);
        // The object is cached by now; another client requests it.
        let retry = RequestInfo { is_retry: true, ..request(1000 + i, 0, 1) };
        admitted += usize::from(retry_after(overload.request(200.0, retry)).is_none());
    }
    assert!(admitted <= 1, "{admitted} retries of cache hits were admitted; the initial budget allows one");
}

#[test]
fn shed_level_stays_in_force_while_the_view_is_stale() {
    let level = level(40_000, 0, 0.0);
    let mut overload = follower(&level);
    let empty = GossipStore::new("b".into(), 1, gossip_store::Limits::default());
    overload.tick(9000.0, &Presence { is_stale: true, ..presence("a", &["b"]) }, &empty);
    assert_eq!(overload.level().resources, level.resources, "a stale instance changed its shed level");
    overload.next_evaluation = f64::MAX;
    overload.tick(9100.0, &presence("a", &["b"]), &empty);
    assert_eq!(overload.level().resources, [None; RESOURCES], "the store has no shed level any more");
}

/// The restart of an author removes its entries from the stores of all instances.
#[test]
fn shed_level_outlives_a_restart_of_its_author_and_is_announced_in_its_place() {
    let level = level(40_000, 0, 0.0);
    let mut overload = follower(&level);
    let empty = GossipStore::new("a".into(), 1, gossip_store::Limits::default());
    let writes = overload.tick(100.0, &presence("a", &["b"]), &empty);
    assert_eq!(overload.level().resources, level.resources);
    let write =
        writes.iter().find(|write| write.key.kind == kinds::SHED_LEVEL).expect("the shed level is announced");
    assert_eq!(
        write.ttl,
        SHED_LEVEL_TTL - 100,
        "the shed level must expire when it would have without the restart"
    );
    let announced: ShedLevel = postcard::from_bytes(write.value.as_ref().unwrap()).unwrap();
    assert_eq!(announced, ShedLevel { epoch_age: 100, ..level });

    let writes = overload.tick(f64::from(SHED_LEVEL_TTL), &presence("a", &["b"]), &empty);
    assert_eq!(overload.level().resources, [None; RESOURCES], "the shed level has expired");
    assert!(writes.iter().all(|write| write.key.kind != kinds::SHED_LEVEL));
}

#[test]
fn newly_started_process_enforces_the_shared_level() {
    let (first, next) = (level(40_000, 0, 0.0), level(30_000, 0, 0.0));
    let mut overload = Overload::new(0.0, settings());
    let stale = Presence { is_stale: true, ..presence("a", &["b"]) };
    overload.tick(10.0, &stale, &store_with(&first));
    assert_eq!(overload.level().resources, first.resources);
    overload.tick(20.0, &stale, &store_with(&next));
    assert_eq!(overload.level().resources, next.resources);
}

#[test]
fn announced_shed_level_is_withdrawn_once_the_leader_has_decided() {
    let mut candidate = Overload::new(0.0, settings());
    candidate.tick(
        0.0,
        &presence("a", &["b"]),
        &GossipStore::new("a".into(), 1, gossip_store::Limits::default()),
    );
    let (leader, own) = if candidate.is_leader() { ("a", "b") } else { ("b", "a") };

    let (key, value) =
        (Key::of_kind(kinds::SHED_LEVEL), postcard::to_stdvec(&level(40_000, 0, 0.0)).unwrap());
    let mut store = GossipStore::new(own.into(), 1, gossip_store::Limits::default());
    assert!(store.write(0.0, key.clone(), SHED_LEVEL_TTL, Some(value.clone())));
    let mut overload = Overload::new(0.0, settings());
    let mut withdraws = |now, store: &GossipStore| {
        let writes = overload.tick(now, &presence(own, &[leader]), store);
        writes.iter().any(|write| write.key == key && write.value.is_none())
    };
    assert!(!withdraws(0.0, &store), "the leader has not announced a shed level yet");
    let entry = EntryUpdate { version: 1, age: 0, ttl: SHED_LEVEL_TTL, key: key.clone(), value: Some(value) };
    let update =
        AuthorUpdate { author: leader.into(), incarnation: 1, after: 0, up_to: 1, entries: vec![entry] };
    store.merge(0.0, Delta { authors: vec![update] });
    assert!(withdraws(300.0, &store));
}

#[test]
fn the_stricter_of_two_levels_is_enforced() {
    let (loose, strict) = (level(10_000, 0, 0.0), ShedLevel { epoch: 7, ..level(50_000, 0, 0.0) });
    for (one, other) in [(loose, strict), (strict, loose)] {
        assert_eq!(one.stricter(&other).resources, strict.resources);
    }
    assert_eq!(ShedLevel::default().stricter(&loose).resources, loose.resources);
}
