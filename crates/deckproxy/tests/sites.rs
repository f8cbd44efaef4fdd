//! Gateways of two and three sites on sockets, members answering by hand, links that are cut.

mod common;
use common::link_relay::{LinkRelay, LinkState};
use common::*;
use deckproxy::protocol::link;
use deckproxy_sites::frame::{Frame, Hello, Say};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Objects of the north begin with a, those of the south with b, those of the east with c.
const SOUTHERN: &str = "b000000000000001";

/// A site's file: routes as prefix, home and what else.
fn file(
    name: &str,
    listen: SocketAddr,
    peers: &[(&str, SocketAddr)],
    routes: &[(&str, &str, &str)],
) -> String {
    let peers: String = peers
        .iter()
        .map(|(site, at)| format!("peers {{ site: \"{site}\" addresses: \"{at}\" }}\n"))
        .collect();
    let routes: String = routes
        .iter()
        .map(|(prefix, home, more)| format!("routes {{ prefix: \"{prefix}\" home: \"{home}\" {more} }}\n"))
        .collect();
    format!(
        "sites {{ name: \"{name}\" listen: \"{listen}\"\n{peers}{routes}\
         link {{ heartbeat_ms: 50 silence_ms: 250 hold_ms: 200 }} trust {{ known_ms: 3600000 lease_ms: 400 }} }}\n"
    )
}

struct Site {
    world: TestSite,
    setup: Setup,
    gateway: Gateway,
    feed: Feed,
    line: TcpStream,
}

impl Site {
    fn start(operator: String) -> Self {
        let world = TestSite::start();
        let feed = Feed::start();
        let mut setup = world.setup();
        setup.feed = feed.address;
        setup.operator = Some(operator);
        let gateway = setup.start();
        let (_, line) = feed.accept();
        Site { world, setup, gateway, feed, line }
    }
}

/// A northern and a southern site; the north's link passes a shim.
struct Two {
    north: Site,
    south: Site,
    shim: LinkRelay,
    client: Client,
}

fn up(site: &Site, peer: &str) {
    until("the link is up", || site.gateway.log().contains(&format!("link to {peer} (0): up")));
}

impl Two {
    fn start_with(mode: &str) -> Self {
        let [north_at, south_at] = [free_address(), free_address()];
        let shim = LinkRelay::to(south_at);
        let south = Site::start(file("south", south_at, &[("north", north_at)], &[("a", "north", "")]));
        let routes = [("b", "south", mode)];
        let north = Site::start(file("north", north_at, &[("south", shim.address)], &routes));
        up(&north, "south");
        up(&south, "north");
        let client = north.gateway.client();
        Two { north, south, shim, client }
    }

    fn start() -> Self {
        Self::start_with("")
    }
}

#[test]
fn a_request_crosses_unchanged_and_its_answer_comes_back() {
    let mut two = Two::start();
    let fields = [("lookup", SOUTHERN), ("seg", "3"), ("ref", "00000000000000aa"), ("bucket", "9")];
    let id = two.client.send_request("page", &fields, b"");
    let (cache, ask) = two.south.world.next_request();
    assert_eq!(
        (&*ask.id, ask.field("name"), ask.field("piece")),
        ("00000000000000aa", Some(SOUTHERN), Some("3"))
    );
    let ttl: f64 = ask.field("ttl").unwrap().parse().unwrap();
    assert!((1000.0..=1200.0).contains(&ttl), "the time left crosses as a span: {ttl}");
    cache.answer(&ask, "200", b"from the south");
    two.client.expect_served(id, b"from the south");
    // Own objects stay here.
    two.north.world.serve_object(&mut two.client, "a000000000000001", b"own");
    assert!(two.south.world.request_if_any().is_none());
}

#[test]
fn a_refusal_comes_back_with_its_advice() {
    let two = Two::start();
    // No cache of the south is left: its module refuses.
    let entries: Vec<_> = ["s-00000001", "s-00000002", "s-00000003", "s-00000004"]
        .iter()
        .map(|id| {
            entry(id, free_address(), if id.ends_with(['1', '2']) { "edge" } else { "hub" }, kind(id), "Gone")
        })
        .collect();
    let list = member_update(2, &entries);
    send_line(&two.south.line, &list);
    let mut client = two.north.gateway.client();
    let mut own = two.south.gateway.client();
    let id = own.request_object(SOUTHERN);
    let local = own.expect_error(id, "Shed");
    let id = client.request_object(SOUTHERN);
    assert_eq!(client.expect_error(id, "Shed"), local, "as a client of the south would be told");
}

fn kind(id: &str) -> &'static str {
    match &id[id.len() - 1..] {
        "3" => "parent",
        "4" => "origin",
        _ => "box",
    }
}

#[test]
fn many_clients_that_want_one_object_cross_once() {
    let mut two = Two::start();
    let mut others: Vec<Client> = (0..20).map(|_| two.north.gateway.client()).collect();
    let first = two.client.request_object(SOUTHERN);
    let (cache, ask) = two.south.world.next_request();
    let ids: Vec<u64> = others.iter_mut().map(|c| c.request_object(SOUTHERN)).collect();
    assert!(two.south.world.request_if_any().is_none());
    cache.answer(&ask, "200", b"for all");
    two.client.expect_served(first, b"for all");
    others.iter_mut().zip(ids).for_each(|(client, id)| client.expect_served(id, b"for all"));
    assert!(two.south.world.request_if_any().is_none());
}

#[test]
fn a_write_whose_answer_was_lost_with_its_connection_is_answered_and_runs_once() {
    for state in [LinkState::Reset, LinkState::Silent, LinkState::HalfOpen] {
        let mut two = Two::start();
        let fields = [("lookup", SOUTHERN), ("replay", "k1")];
        let id = two.client.send_request("post", &fields, b"write");
        let origin = &two.south.world.origin;
        let ask = origin.next_request();
        two.shim.set_state(state);
        // The near side has to notice a silence.
        std::thread::sleep(Duration::from_millis(if state == LinkState::Reset { 20 } else { 400 }));
        origin.answer(&ask, "200", b"written");
        std::thread::sleep(Duration::from_millis(50));
        two.shim.set_state(LinkState::Up);
        two.client.expect_served(id, b"written");
        assert!(origin.request_if_any().is_none(), "{state:?}: it ran a second time");
    }
}

#[test]
fn a_write_that_may_have_run_at_a_killed_gateway_fails_and_does_not_run_again() {
    let mut two = Two::start();
    let id = two.client.send_request("post", &[("lookup", SOUTHERN), ("replay", "k1")], b"write");
    let ask = two.south.world.origin.next_request();
    two.south.gateway.child.kill().unwrap();
    two.south.gateway.child.wait().unwrap();
    two.south.gateway = two.south.setup.start();
    let start = Instant::now();
    two.client.expect_error(id, "Fault");
    assert!(
        start.elapsed() < Duration::from_millis(900),
        "told as soon as the new process says that it is another"
    );
    assert!(two.south.world.origin.request_if_any().is_none(), "{} ran again", ask.id);
}

#[test]
fn a_read_at_a_killed_gateway_goes_again() {
    let mut two = Two::start();
    let id = two.client.request_object(SOUTHERN);
    let _ = two.south.world.next_request();
    two.south.gateway.child.kill().unwrap();
    two.south.gateway.child.wait().unwrap();
    two.south.gateway = two.south.setup.start();
    let (cache, ask) = two.south.world.next_request();
    cache.answer(&ask, "200", b"again");
    two.client.expect_served(id, b"again");
}

/// The south has two gateways in front of the same caches; one of them is killed.
#[test]
fn a_second_way_takes_over_at_once() {
    let [first, second] = [free_address(), free_address()];
    let south = Site::start(format!("sites {{ name: \"south\" listen: \"{first}\" }}"));
    let mut setup = south.world.setup();
    setup.operator = Some(format!("sites {{ name: \"south\" listen: \"{second}\" }}"));
    let mut other = setup.start();
    let north = file("north", free_address(), &[("south", first)], &[("b", "south", "")]);
    let north = Site::start(
        north.replace(&format!("addresses: \"{first}\""), &format!("addresses: [\"{first}\", \"{second}\"]")),
    );
    until("both ways are up", || north.gateway.log().contains("2 of 2 ways are up"));
    other.child.kill().unwrap();
    other.child.wait().unwrap();
    until("one is cut", || {
        north.gateway.log().contains("1 of 2 ways are up") && north.gateway.log().contains(": cut")
    });
    let mut client = north.gateway.client();
    for n in 0..5 {
        south.world.serve_object(&mut client, &format!("b00000000000000{n}"), b"by the other way");
    }
}

#[test]
fn a_body_that_was_cut_off_comes_whole() {
    let mut two = Two::start();
    two.shim.throttle(400);
    let body: Vec<u8> = (0..200_000u32).map(|i| (i % 253) as u8).collect();
    let id = two.client.send_request("page", &[("lookup", SOUTHERN), ("room", "200")], b"");
    let (cache, ask) = two.south.world.next_request();
    cache.answer(&ask, "200", &body);
    let before = two.shim.bytes_relayed();
    until("a part of it has come", || two.shim.bytes_relayed() > before + 60_000);
    two.shim.set_state(LinkState::Reset);
    std::thread::sleep(Duration::from_millis(30));
    two.shim.set_state(LinkState::Up);
    two.client.expect_served(id, &body);
    assert!(two.south.world.request_if_any().is_none(), "it was not asked for again");
}

#[test]
fn small_answers_pass_a_large_one() {
    let mut two = Two::start();
    two.shim.throttle(320);
    let large = vec![1; 200_000];
    let first = two.client.send_request("page", &[("lookup", SOUTHERN), ("room", "200")], b"");
    let (cache, ask) = two.south.world.next_request();
    cache.answer(&ask, "200", &large);
    std::thread::sleep(Duration::from_millis(50));
    two.south.world.serve_object(&mut two.client, "b000000000000002", b"small");
    two.client.expect_served(first, &large);
}

#[test]
fn a_slow_link_is_not_taken_for_a_cut_one() {
    let mut two = Two::start();
    until("its round trip is known", || two.north.gateway.log().contains("all peers are heard"));
    // One piece of 16 KB takes three times the silence.
    two.shim.throttle(24);
    let body = vec![5; 20_000];
    let id = two.client.send_request("page", &[("lookup", SOUTHERN), ("room", "20")], b"");
    let (cache, ask) = two.south.world.next_request();
    cache.answer(&ask, "200", &body);
    two.client.expect_served(id, &body);
    assert!(!two.north.gateway.log().contains(": cut"), "{}", two.north.gateway.log());
}

#[test]
fn while_the_link_is_down_requests_wait_for_a_moment_and_are_then_refused_with_advice() {
    let mut two = Two::start();
    two.shim.set_state(LinkState::Reset);
    until("the cut is seen", || two.north.gateway.log().contains("link to south (0): cut"));
    let start = Instant::now();
    let id = two.client.request_object(SOUTHERN);
    let fields = two.client.expect_error(id, "Shed");
    let took = start.elapsed().as_millis();
    assert!((150..600).contains(&took), "{took} ms");
    assert!(fields["cooldown"].parse::<u32>().unwrap() >= 1, "{fields:?}");
    // One that comes in time before the link is back is served.
    let id = two.client.request_object(SOUTHERN);
    two.shim.set_state(LinkState::Up);
    let (cache, ask) = two.south.world.next_request();
    cache.answer(&ask, "200", b"back");
    two.client.expect_served(id, b"back");
}

#[test]
fn a_purge_told_on_one_side_counts_on_the_other() {
    let mut two = Two::start();
    let purge = |n: u64| serde_json::json!({"n": n, "purge": {"key": SOUTHERN, "at": unix_ms()}});
    send_line(&two.north.line, &purge(2));
    let mut within = None;
    until("the south asks for no older copy", || {
        let mut own = two.south.gateway.client();
        let (_, ask) = two.south.world.serve_object(&mut own, SOUTHERN, b"new");
        within = ask.field("within").and_then(|w| w.parse::<u64>().ok());
        within.is_some()
    });
    assert!(within.unwrap() < 5000, "{within:?}");
    // An answer from an older copy than a purge that the near side was told is not passed on.
    let id = two.client.request_object("b000000000000005");
    let (cache, ask) = two.south.world.next_request();
    let key = serde_json::json!({"n": 3, "purge": {"key": "b000000000000005", "at": unix_ms()}});
    send_line(&two.north.line, &key);
    std::thread::sleep(Duration::from_millis(650));
    let old = format!("entity=t1,issued={}", unix_ms() - 60_000);
    cache.send(ask.connection, &Member::encode(&ask.id, "200", &old, b"old"));
    let (cache, ask) = two.south.world.next_request();
    let new = format!("entity=t2,issued={}", unix_ms());
    cache.send(ask.connection, &Member::encode(&ask.id, "200", &new, b"new"));
    two.client.expect_served(id, b"new");
}

#[test]
fn own_copies_are_bounded_in_age_while_the_other_side_is_not_heard() {
    let two = Two::start();
    let within = |two: &Two| {
        let mut own = two.north.gateway.client();
        let (_, ask) = two.north.world.serve_object(&mut own, "a000000000000001", b"own");
        ask.field("within").and_then(|w| w.parse::<u64>().ok())
    };
    until("the south is heard", || two.north.gateway.log().contains("all peers are heard"));
    two.shim.set_state(LinkState::Silent);
    until("the north doubts", || two.north.gateway.log().matches("is not heard").count() == 2);
    let bound = within(&two);
    assert!(bound.is_some_and(|w| w <= 1000), "{bound:?}");
    two.shim.set_state(LinkState::Up);
    until("it is heard again", || two.north.gateway.log().matches("all peers are heard").count() == 2);
}

#[test]
fn copies_answer_here_while_they_are_trusted_and_else_the_home_does() {
    let mut two = Two::start_with("mode: COPIES");
    until("the south is heard", || two.north.gateway.log().contains("all peers are heard"));
    two.north.world.serve_object(&mut two.client, SOUTHERN, b"copy");
    two.shim.set_state(LinkState::Silent);
    until("the north doubts", || two.north.gateway.log().matches("is not heard").count() == 2);
    let id = two.client.request_object(SOUTHERN);
    two.client.expect_error(id, "Shed");
    assert!(two.north.world.request_if_any().is_none(), "a copy that nobody vouches for");
}

#[test]
fn three_sites_in_a_ring_carry_requests_on_and_never_round() {
    let [a, b, c] = [free_address(), free_address(), free_address()];
    let east = Site::start(file(
        "east",
        c,
        &[("north", a)],
        &[("a", "north", ""), ("d", "south", "via: \"north\"")],
    ));
    // The south holds d to be the east's, the east holds it to be the south's: no file is wrong by itself.
    let routes = [("c", "east", ""), ("d", "east", "")];
    let south = Site::start(file("south", b, &[("east", c)], &routes));
    let north = Site::start(file(
        "north",
        a,
        &[("south", b)],
        &[("c", "east", "via: \"south\""), ("d", "south", "")],
    ));
    up(&north, "south");
    up(&south, "east");
    up(&east, "north");
    let mut client = north.gateway.client();
    east.world.serve_object(&mut client, "c000000000000001", b"from the east");
    let id = client.request_object("d000000000000001");
    assert!(matches!(client.next_answer(), (got, Answer::Error(..)) if got == id), "it would come back");
    // A log line may be read later than the answer.
    until("it is turned away", || [&south, &east].iter().any(|s| s.gateway.log().contains("turned away")));
    // A purge told in the north comes to all.
    send_line(
        &north.line,
        &serde_json::json!({"n": 2, "purge": {"key": "c000000000000001", "at": unix_ms()}}),
    );
    until("the east asks for no older copy", || {
        let mut own = east.gateway.client();
        let (_, ask) = east.world.serve_object(&mut own, "c000000000000001", b"new");
        ask.field("within").is_some()
    });
}

#[test]
fn routes_and_peers_change_on_sighup_with_requests_open() {
    let mut two = Two::start();
    let open = two.client.request_object(SOUTHERN);
    let (cache, ask) = two.south.world.next_request();
    let text = std::fs::read_to_string(two.north.gateway.operator_file()).unwrap();
    // A file with a fault changes nothing.
    two.north.gateway.reload_operator(&text.replace("home: \"south\"", "home: \"west\""));
    until("the fault is told", || two.north.gateway.log().contains("no peer is named"));
    two.north.gateway.reload_operator(&text.replace("prefix: \"b\"", "prefix: \"e\""));
    until("the routes are taken", || two.north.gateway.log().contains("routes and peers are taken"));
    two.north.world.serve_object(&mut two.client, "b000000000000009", b"here now");
    cache.answer(&ask, "200", b"as it went out");
    two.client.expect_served(open, b"as it went out");
    // Without the peer its links close, and with it they come back.
    let alone = two.north.setup.operator.as_ref().unwrap();
    let alone: String =
        alone.lines().filter(|l| !l.starts_with("peers") && !l.starts_with("routes")).collect();
    let other = alone
        .replace("link {", &format!("peers {{ site: \"west\" addresses: \"{}\" }} link {{", free_address()));
    two.north.gateway.reload_operator(&other);
    until("the links close", || two.shim.open_connections() == 0);
    two.north.gateway.reload_operator(&text);
    until("they are back", || two.shim.open_connections() > 0);
}

#[test]
fn a_planned_end_answers_all_that_crosses() {
    for far in [true, false] {
        let mut two = Two::start();
        let id = two.client.request_object(SOUTHERN);
        let (cache, ask) = two.south.world.next_request();
        let ends = if far { &two.south } else { &two.north };
        ends.gateway.signal("TERM");
        std::thread::sleep(Duration::from_millis(100));
        cache.answer(&ask, "200", b"to the last");
        two.client.expect_served(id, b"to the last");
        let ends = if far { &mut two.south } else { &mut two.north };
        assert_eq!(ends.gateway.wait_for_exit(), Some(0));
        if far {
            let id = two.client.request_object(SOUTHERN);
            two.client.expect_error(id, "Shed");
        }
    }
}

fn hello(to: &str, version: u32) -> Frame {
    let hello = Hello {
        version,
        site: "west".into(),
        to: to.into(),
        epoch: 5,
        session: 6,
        next: 1,
        ..Hello::default()
    };
    Say::Hello(hello).into()
}

/// All that the other side says until it closes the connection.
fn heard(mut stream: &TcpStream) -> Vec<Frame> {
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    let mut all = Vec::new();
    let _ = stream.read_to_end(&mut all);
    let (mut buffer, decoder) = (bytes::BytesMut::from(&all[..]), link::Decoder);
    std::iter::from_fn(|| decoder.next(&mut buffer).unwrap()).collect()
}

#[test]
fn a_hello_that_does_not_fit_is_told_to_both_sides() {
    let two = Two::start();
    let at: SocketAddr =
        two.south.setup.operator.as_ref().unwrap().split('"').nth(3).unwrap().parse().unwrap();
    for (frame, why) in
        [(hello("east", 1), "this is site"), (hello("south", 9), "version 1 of the link protocol")]
    {
        let mut stream = TcpStream::connect(at).unwrap();
        stream.write_all(&link::encode_frame(&frame)).unwrap();
        let told = heard(&stream);
        let bye = told.iter().any(|f| matches!(&f.say, Some(Say::Bye(bye)) if bye.why.contains(why)));
        assert!(bye, "{told:?}");
        until("it is told here", || two.south.gateway.log().contains(why));
    }
}

/// Accepting stopped until another link came.
#[test]
fn a_link_finds_a_descriptor_where_clients_hold_all() {
    let world = TestSite::start();
    let mut setup = world.setup();
    let at = free_address();
    setup.operator = Some(file("south", at, &[("north", free_address())], &[("a", "north", "")]));
    let gateway = setup.start_limited("ulimit -n 32");
    let _silent = gateway.fill_descriptors(32);
    let mut stream = TcpStream::connect(at).unwrap();
    stream.write_all(&link::encode_frame(&hello("east", 1))).unwrap();
    let told = heard(&stream);
    assert!(told.iter().any(|f| matches!(&f.say, Some(Say::Bye(_)))), "{told:?}");
}

#[test]
fn hostile_bytes_end_their_connection_and_no_other() {
    let mut two = Two::start();
    let at: SocketAddr =
        two.south.setup.operator.as_ref().unwrap().split('"').nth(3).unwrap().parse().unwrap();
    let mut good = link::encode_frame(&hello("south", 1)).to_vec();
    // A hello, then what no near end says.
    good.extend(link::encode_frame(&Say::Hello(Hello::default()).into()));
    let cases: [&[u8]; 5] =
        [b"\xff\xff\xff\xffrest", b"\0\0\0\x05nodes", &[0; 64], b"GET / HTTP/1.1\r\n\r\n", &good];
    let id = two.client.request_object(SOUTHERN);
    let (cache, ask) = two.south.world.next_request();
    for bytes in cases {
        let mut stream = TcpStream::connect(at).unwrap();
        stream.write_all(bytes).unwrap();
        heard(&stream);
    }
    // One that says nothing is ended too.
    heard(&TcpStream::connect(at).unwrap());
    cache.answer(&ask, "200", b"unharmed");
    two.client.expect_served(id, b"unharmed");
}

#[test]
fn a_client_that_leaves_takes_its_crossing_with_it() {
    let mut two = Two::start();
    let id = two.client.request_object(SOUTHERN);
    let (cache, ask) = two.south.world.next_request();
    two.client.cancel(id);
    cache.expect_cancelled(&ask.id);
    let other = two.north.gateway.client();
    drop(other);
    let id = two.client.request_object("b000000000000003");
    let (cache, ask) = two.south.world.next_request();
    drop(std::mem::replace(&mut two.client, two.north.gateway.client()));
    cache.expect_cancelled(&ask.id);
    let _ = id;
    assert!(two.north.feed.address.port() > 0);
}
