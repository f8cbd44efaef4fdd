//! Clients that left: nothing is begun for them, whatever their requests wait for and however far behind the loop is.
//! The process stands still while what is to be heard and what is not to happen are laid into the kernel.

mod common;
use common::*;
use deckproxy_standins::bounds::Leavers;
use serde_json::json;
use std::io::Read;
use std::thread;
use std::time::Duration;

const OBJECT: &str = "7f3a9c21e0b4d655";
/// Longer than a client may be gone before a further attempt is a broken rule.
const GONE: Duration = Duration::from_millis(120);

fn now() -> f64 {
    unix_ms() as f64
}

/// Has a write served, so that a connection to the origin rests: what is sent next is written at once.
fn warm(world: &World, gateway: &Gateway) -> Client {
    let mut client = gateway.client();
    let id = client.call("once", &[("lookup", OBJECT)], b"warm");
    let ask = world.origin.ask();
    world.origin.answer(&ask, "200", b"warm");
    client.served(id, b"warm");
    client
}

/// A leader whose fill is out at a cache, and a client that waits for it: both look-ups' names too.
fn collapsed<'a>(world: &'a World, gateway: &Gateway) -> (&'a Member, Client, Ask, Client, String) {
    let mut leader = gateway.client();
    leader.get(OBJECT);
    let (cache, ask) = world.ask();
    cache.answer(&ask, "404", &[]);
    let fill = cache.ask();
    let mut waiter = gateway.client();
    waiter.get(OBJECT);
    let look_up = cache.ask();
    cache.answer(&look_up, "404", &[]);
    // Answered by now: a ping behind it was heard after the miss.
    until("it waits", || cache.maybe_ask().is_none());
    (cache, leader, fill, waiter, look_up.id)
}

#[test]
fn a_waiter_that_left_does_not_lead_where_the_leaders_failure_is_heard_first() {
    let world = World::start();
    let gateway = world.setup().start();
    let (cache, _leader, fill, waiter, waiters_name) = collapsed(&world, &gateway);
    gateway.freeze();
    cache.answer(&fill, "500", &[]);
    drop(waiter);
    let mut judge = Leavers::default();
    judge.left(&waiters_name, now());
    thread::sleep(GONE);
    gateway.thaw();
    // The leader leads on, and nobody is sent for the one that left.
    let (_, next) = world.ask();
    assert_eq!(next.id, fill.id);
    while let Some((_, ask)) = world.maybe_ask() {
        judge.began(&ask.id, now());
    }
    assert!(judge.late().is_empty(), "sent for a client that left: {:?}", judge.late());
}

#[test]
fn a_waiter_that_left_is_not_sent_on_by_a_timer_that_is_due_with_its_end() {
    let world = World::start();
    let gateway = world.setup().start();
    let mut leader = gateway.client();
    leader.get(OBJECT);
    let (cache, ask) = world.ask();
    cache.answer(&ask, "404", &[]);
    let fill = cache.ask();
    let mut waiter = gateway.client();
    // It has so little time that its wait ends long before the leader's fill.
    waiter.call("page", &[("lookup", OBJECT), ("allow", "700")], &[]);
    let look_up = cache.ask();
    cache.answer(&look_up, "404", &[]);
    until("it waits", || cache.maybe_ask().is_none());
    gateway.freeze();
    drop(waiter);
    let mut judge = Leavers::default();
    judge.left(&look_up.id, now());
    // Its time to go alone comes while the process stands still, some 160 ms before it ends.
    thread::sleep(Duration::from_millis(450));
    gateway.thaw();
    cache.answer(&fill, "200", b"filled");
    leader.served(1, b"filled");
    while let Some((_, ask)) = world.maybe_ask() {
        judge.began(&ask.id, now());
    }
    assert!(judge.late().is_empty(), "sent for a client that left: {:?}", judge.late());
}

#[test]
fn what_is_taken_back_behind_the_request_itself_is_sent_nowhere() {
    let world = World::start();
    let gateway = world.setup().start();
    let mut client = warm(&world, &gateway);
    gateway.freeze();
    let ids: Vec<u64> =
        (0..4).map(|n| client.call("once", &[("lookup", OBJECT)], &vec![n; 30_000])).collect();
    ids.iter().for_each(|id| client.abort(*id));
    let kept = client.call("once", &[("lookup", OBJECT)], b"kept");
    thread::sleep(GONE);
    gateway.thaw();
    let ask = world.origin.ask();
    assert_eq!(ask.body, b"kept", "what was taken back went out");
    world.origin.answer(&ask, "200", b"done");
    client.served(kept, b"done");
}

#[test]
fn a_request_whose_client_closed_behind_it_is_sent_nowhere() {
    let world = World::start();
    let gateway = world.setup().start();
    let mut client = warm(&world, &gateway);
    gateway.freeze();
    client.call("once", &[("lookup", OBJECT)], b"left");
    drop(client);
    thread::sleep(GONE);
    gateway.thaw();
    let mut other = gateway.client();
    let id = other.call("once", &[("lookup", OBJECT)], b"there");
    let ask = world.origin.ask();
    assert_eq!(ask.body, b"there");
    world.origin.answer(&ask, "200", b"done");
    other.served(id, b"done");
}

#[test]
fn what_a_client_takes_back_is_heard_behind_answers_that_it_leaves_unread() {
    let world = World::start();
    let gateway = world.setup().start();
    let mut client = gateway.client();
    // The kernel holds little for a client that does not read.
    socket2::SockRef::from(&client.handle()).set_recv_buffer_size(64 * 1024).unwrap();
    let body = vec![7u8; 240_000];
    let ids: Vec<u64> = (0..31).map(|_| client.get(OBJECT)).collect();
    let asks: Vec<(&Member, Ask)> = ids.iter().map(|_| world.ask()).collect();
    let open = client.call("once", &[("lookup", OBJECT)], b"x");
    let out = world.origin.ask();
    for (cache, ask) in &asks {
        cache.answer(ask, "200", &body);
    }
    // All is read from the caches: over 7 MB, of which the kernel takes a part.
    let mut other = gateway.client();
    until("the answers wait for their reader", || {
        let ping = other.ping();
        other.answer() == (ping, Answer::Ready(true)) && gateway.usage().0 > 6 * 1024
    });
    client.abort(open);
    world.origin.quit(&out.id);
    for _ in &ids {
        assert!(matches!(client.answer().1, Answer::Served(b, _) if b == body));
    }
}

#[test]
fn an_attempt_that_waits_for_its_connection_is_taken_off_when_its_client_leaves() {
    let world = World::start();
    let mut late = Late::start();
    let mut setup = world.setup();
    let entries = vec![entry("s-00000009", late.address, "hub", "origin", "Ready")];
    setup.events = vec![json!({"n": 1, "members": {"revision": 1, "complete": true, "members": entries}})];
    // The handshake has the time that the kernel takes for its second try.
    setup.settings["limits"]["connectTimeoutMs"] = json!(8000.0);
    setup.settings["rules"]["drainGraceMs"] = json!(8000.0);
    setup.settings["familyInfo"]["obeyAfterMs"] = json!(8000.0);
    setup.settings["services"][2]["deadlineMs"] = json!(8000.0);
    let gateway = setup.start();
    let mut client = gateway.client();
    client.call("once", &[("lookup", OBJECT), ("allow", "8000")], b"left");
    let mut other = gateway.client();
    let ping = other.ping();
    assert_eq!(other.answer(), (ping, Answer::Ready(true)));
    late.awaited();
    gateway.freeze();
    let mut origin = late.come_up();
    drop(client);
    thread::sleep(GONE);
    gateway.thaw();
    let id = other.call("once", &[("lookup", OBJECT), ("allow", "8000")], b"there");
    origin.set_read_timeout(Some(PATIENCE)).unwrap();
    let mut got = Vec::new();
    let mut chunk = [0; 4096];
    while !got.windows(5).any(|w| w == b"there") {
        let n = origin.read(&mut chunk).unwrap();
        assert!(n > 0, "the connection is used by the next one");
        got.extend_from_slice(&chunk[..n]);
    }
    assert!(!got.windows(4).any(|w| w == b"left"), "sent for a client that left");
    assert_eq!(id, 2);
}

#[test]
fn an_attempt_whose_connection_did_not_come_up_goes_nowhere_else_for_a_client_that_left() {
    let world = World::start();
    let late = Late::start();
    let mut setup = world.setup();
    let entries = vec![
        entry("s-00000009", late.address, "edge", "box", "Ready"),
        world.parent.entry("hub", "parent", "Ready"),
        world.origin.entry("hub", "origin", "Ready"),
    ];
    setup.events = vec![json!({"n": 1, "members": {"revision": 1, "complete": true, "members": entries}})];
    let gateway = setup.start();
    let mut client = gateway.client();
    // Its connection to the parent rests then.
    let id = client.get(OBJECT);
    let ask = world.parent.ask();
    world.parent.answer(&ask, "200", b"warm");
    client.served(id, b"warm");
    client.get(OBJECT);
    late.awaited();
    gateway.freeze();
    drop(client);
    // The connect time-out of 400 ms passes meanwhile.
    thread::sleep(Duration::from_millis(450));
    gateway.thaw();
    let mut other = gateway.client();
    let id = other.call("once", &[("lookup", OBJECT)], b"there");
    let ask = world.origin.ask();
    assert_eq!(ask.body, b"there");
    world.origin.answer(&ask, "200", b"done");
    other.served(id, b"done");
    assert!(world.parent.maybe_ask().is_none(), "sent for a client that left");
}
