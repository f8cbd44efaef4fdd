//! Gateways of two and three sites on sockets, with members answered by hand and links that are cut.

use deckproxy::protocol::link;
use deckproxy_sites::frame::{Frame, Hello, Payload};
use deckproxy_standins::link_relay::{LinkRelay, LinkState};
use deckproxy_standins::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Objects of the north begin with a, those of the south with b, those of the east with c.
const SOUTHERN: &str = "b000000000000001";

/// The operator file of a site; a route is a prefix, its home site and further fields.
fn operator_text(
    name: &str,
    listen: SocketAddr,
    peers: &[(&str, SocketAddr)],
    routes: &[(&str, &str, &str)],
) -> String {
    let peers: Vec<String> = peers
        .iter()
        .map(|(site, at)| format!("peers {{ site: \"{site}\" addresses: \"{at}\" }}\n"))
        .collect();
    let routes: Vec<String> = routes
        .iter()
        .map(|(prefix, home, more)| format!("routes {{ prefix: \"{prefix}\" home: \"{home}\" {more} }}\n"))
        .collect();
    let (peers, routes) = (peers.concat(), routes.concat());
    format!(
        "sites {{ name: \"{name}\" listen: \"{listen}\"\n{peers}{routes}\
         link {{ heartbeat_ms: 50 silence_ms: 250 hold_ms: 200 }} trust {{ known_ms: 3600000 lease_ms: 400 }} }}\n"
    )
}

struct LinkedSite {
    members: TestSite,
    setup: Setup,
    gateway: Gateway,
    feed: Feed,
    feed_connection: TcpStream,
}

impl LinkedSite {
    fn start(operator: String) -> Self {
        let members = TestSite::start();
        let feed = Feed::start();
        let mut setup = members.setup();
        setup.feed = feed.address;
        setup.operator = Some(operator);
        let gateway = setup.start();
        let (_, feed_connection) = feed.accept();
        LinkedSite { members, setup, gateway, feed, feed_connection }
    }
}

/// A northern and a southern site; the north's connection to the south goes through a relay.
struct SitePair {
    north: LinkedSite,
    south: LinkedSite,
    link: LinkRelay,
    client: Client,
}

fn wait_for_link(site: &LinkedSite, peer: &str) {
    until("the link is up", || site.gateway.log().contains(&format!("link to {peer} (0): up")));
}

impl SitePair {
    fn start_with(mode: &str) -> Self {
        let [north_at, south_at] = [free_address(), free_address()];
        let link = LinkRelay::to(south_at);
        let south = LinkedSite::start(operator_text(
            "south",
            south_at,
            &[("north", north_at)],
            &[("a", "north", "")],
        ));
        let routes = [("b", "south", mode)];
        let north = LinkedSite::start(operator_text("north", north_at, &[("south", link.address)], &routes));
        wait_for_link(&north, "south");
        wait_for_link(&south, "north");
        let client = north.gateway.client();
        SitePair { north, south, link, client }
    }

    fn start() -> Self {
        Self::start_with("")
    }
}

#[test]
fn cross_site_request_and_answer_are_unchanged() {
    let mut pair = SitePair::start();
    let fields = [("lookup", SOUTHERN), ("seg", "3"), ("ref", "00000000000000aa"), ("bucket", "9")];
    let id = pair.client.send_request("page", &fields, b"");
    let (cache, request) = pair.south.members.next_request();
    assert_eq!(
        (&*request.id, request.field("name"), request.field("piece")),
        ("00000000000000aa", Some(SOUTHERN), Some("3"))
    );
    let ttl: f64 = request.field("ttl").unwrap().parse().unwrap();
    assert!((1000.0..=1200.0).contains(&ttl), "the time left crosses as a span: {ttl}");
    cache.answer(&request, "200", b"from the south");
    pair.client.expect_served(id, b"from the south");
    // Own objects stay here.
    pair.north.members.serve_object(&mut pair.client, "a000000000000001", b"own");
    assert!(pair.south.members.request_if_any().is_none());
}

#[test]
fn rejection_returns_with_retry_after() {
    let pair = SitePair::start();
    // No cache of the south is left: its decision module rejects.
    let entries: Vec<_> = ["s-00000001", "s-00000002", "s-00000003", "s-00000004"]
        .iter()
        .map(|id| {
            entry(id, free_address(), if id.ends_with(['1', '2']) { "edge" } else { "hub" }, kind(id), "Gone")
        })
        .collect();
    let list = member_update(2, &entries);
    send_line(&pair.south.feed_connection, &list);
    let mut client = pair.north.gateway.client();
    let mut own = pair.south.gateway.client();
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
fn requests_for_one_object_are_collapsed_across_sites() {
    let mut pair = SitePair::start();
    let mut others: Vec<Client> = (0..20).map(|_| pair.north.gateway.client()).collect();
    let first = pair.client.request_object(SOUTHERN);
    let (cache, request) = pair.south.members.next_request();
    let ids: Vec<u64> = others.iter_mut().map(|c| c.request_object(SOUTHERN)).collect();
    assert!(pair.south.members.request_if_any().is_none());
    cache.answer(&request, "200", b"for all");
    pair.client.expect_served(first, b"for all");
    others.iter_mut().zip(ids).for_each(|(client, id)| client.expect_served(id, b"for all"));
    assert!(pair.south.members.request_if_any().is_none());
}

#[test]
fn write_whose_answer_was_lost_with_the_link_runs_once() {
    for state in [LinkState::Reset, LinkState::Silent, LinkState::HalfOpen] {
        let mut pair = SitePair::start();
        let fields = [("lookup", SOUTHERN), ("replay", "k1")];
        let id = pair.client.send_request("post", &fields, b"write");
        let origin = &pair.south.members.origin;
        let request = origin.next_request();
        pair.link.set_state(state);
        // The requesting side needs time to notice a silent link.
        std::thread::sleep(Duration::from_millis(if state == LinkState::Reset { 20 } else { 400 }));
        origin.answer(&request, "200", b"written");
        std::thread::sleep(Duration::from_millis(50));
        pair.link.set_state(LinkState::Up);
        pair.client.expect_served(id, b"written");
        assert!(origin.request_if_any().is_none(), "{state:?}: it ran a second time");
    }
}

#[test]
fn write_at_a_killed_gateway_fails_and_does_not_run_again() {
    let mut pair = SitePair::start();
    let id = pair.client.send_request("post", &[("lookup", SOUTHERN), ("replay", "k1")], b"write");
    let request = pair.south.members.origin.next_request();
    pair.south.gateway.child.kill().unwrap();
    pair.south.gateway.child.wait().unwrap();
    pair.south.gateway = pair.south.setup.start();
    let start = Instant::now();
    pair.client.expect_error(id, "Fault");
    assert!(
        start.elapsed() < Duration::from_millis(900),
        "told as soon as the new process says that it is another"
    );
    assert!(pair.south.members.origin.request_if_any().is_none(), "{} ran again", request.id);
}

#[test]
fn read_at_a_killed_gateway_is_retried() {
    let mut pair = SitePair::start();
    let id = pair.client.request_object(SOUTHERN);
    let _ = pair.south.members.next_request();
    pair.south.gateway.child.kill().unwrap();
    pair.south.gateway.child.wait().unwrap();
    pair.south.gateway = pair.south.setup.start();
    let (cache, request) = pair.south.members.next_request();
    cache.answer(&request, "200", b"again");
    pair.client.expect_served(id, b"again");
}

/// The south has two gateways with the same caches; one of them is killed.
#[test]
fn second_path_takes_over_at_once() {
    let [first, second] = [free_address(), free_address()];
    let south = LinkedSite::start(format!("sites {{ name: \"south\" listen: \"{first}\" }}"));
    let mut setup = south.members.setup();
    setup.operator = Some(format!("sites {{ name: \"south\" listen: \"{second}\" }}"));
    let mut other = setup.start();
    let north = operator_text("north", free_address(), &[("south", first)], &[("b", "south", "")]);
    let north = LinkedSite::start(
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
        south.members.serve_object(&mut client, &format!("b00000000000000{n}"), b"by the other way");
    }
}

#[test]
fn interrupted_body_is_completed_after_reconnect() {
    let mut pair = SitePair::start();
    pair.link.throttle(400);
    let body: Vec<u8> = (0..200_000u32).map(|i| (i % 253) as u8).collect();
    let id = pair.client.send_request("page", &[("lookup", SOUTHERN), ("room", "200")], b"");
    let (cache, request) = pair.south.members.next_request();
    cache.answer(&request, "200", &body);
    let before = pair.link.bytes_relayed();
    until("a part of it has come", || pair.link.bytes_relayed() > before + 60_000);
    pair.link.set_state(LinkState::Reset);
    std::thread::sleep(Duration::from_millis(30));
    pair.link.set_state(LinkState::Up);
    pair.client.expect_served(id, &body);
    assert!(pair.south.members.request_if_any().is_none(), "it was not asked for again");
}

#[test]
fn small_answers_overtake_a_large_one() {
    let mut pair = SitePair::start();
    pair.link.throttle(320);
    let large = vec![1; 200_000];
    let first = pair.client.send_request("page", &[("lookup", SOUTHERN), ("room", "200")], b"");
    let (cache, request) = pair.south.members.next_request();
    cache.answer(&request, "200", &large);
    std::thread::sleep(Duration::from_millis(50));
    pair.south.members.serve_object(&mut pair.client, "b000000000000002", b"small");
    pair.client.expect_served(first, &large);
}

#[test]
fn slow_link_is_not_treated_as_cut() {
    let mut pair = SitePair::start();
    until("its round trip is known", || pair.north.gateway.log().contains("all peers are heard"));
    // One frame of 16 KB takes three times the silence timeout.
    pair.link.throttle(24);
    let body = vec![5; 20_000];
    let id = pair.client.send_request("page", &[("lookup", SOUTHERN), ("room", "20")], b"");
    let (cache, request) = pair.south.members.next_request();
    cache.answer(&request, "200", &body);
    pair.client.expect_served(id, &body);
    assert!(!pair.north.gateway.log().contains(": cut"), "{}", pair.north.gateway.log());
}

#[test]
fn requests_wait_briefly_for_a_down_link_and_are_then_rejected_with_retry_after() {
    let mut pair = SitePair::start();
    pair.link.set_state(LinkState::Reset);
    until("the cut is seen", || pair.north.gateway.log().contains("link to south (0): cut"));
    let start = Instant::now();
    let id = pair.client.request_object(SOUTHERN);
    let fields = pair.client.expect_error(id, "Shed");
    let took = start.elapsed().as_millis();
    assert!((150..600).contains(&took), "{took} ms");
    assert!(fields["cooldown"].parse::<u32>().unwrap() >= 1, "{fields:?}");
    // A request that comes just before the link is back is served.
    let id = pair.client.request_object(SOUTHERN);
    pair.link.set_state(LinkState::Up);
    let (cache, request) = pair.south.members.next_request();
    cache.answer(&request, "200", b"back");
    pair.client.expect_served(id, b"back");
}

#[test]
fn purge_on_one_site_applies_on_the_other() {
    let mut pair = SitePair::start();
    let purge = |n: u64| serde_json::json!({"n": n, "purge": {"key": SOUTHERN, "at": unix_ms()}});
    send_line(&pair.north.feed_connection, &purge(2));
    let mut within = None;
    until("the south asks for no older copy", || {
        let mut own = pair.south.gateway.client();
        let (_, request) = pair.south.members.serve_object(&mut own, SOUTHERN, b"new");
        within = request.field("within").and_then(|w| w.parse::<u64>().ok());
        within.is_some()
    });
    assert!(within.unwrap() < 5000, "{within:?}");
    // An answer older than a purge that the requesting side knows is not passed on.
    let id = pair.client.request_object("b000000000000005");
    let (cache, request) = pair.south.members.next_request();
    let key = serde_json::json!({"n": 3, "purge": {"key": "b000000000000005", "at": unix_ms()}});
    send_line(&pair.north.feed_connection, &key);
    std::thread::sleep(Duration::from_millis(650));
    let old = format!("entity=t1,issued={}", unix_ms() - 60_000);
    cache.send(request.connection, &Member::encode(&request.id, "200", &old, b"old"));
    let (cache, request) = pair.south.members.next_request();
    let new = format!("entity=t2,issued={}", unix_ms());
    cache.send(request.connection, &Member::encode(&request.id, "200", &new, b"new"));
    pair.client.expect_served(id, b"new");
}

#[test]
fn own_copies_are_limited_in_age_while_the_peer_is_unreachable() {
    let pair = SitePair::start();
    let within = |pair: &SitePair| {
        let mut own = pair.north.gateway.client();
        let (_, request) = pair.north.members.serve_object(&mut own, "a000000000000001", b"own");
        request.field("within").and_then(|w| w.parse::<u64>().ok())
    };
    until("the south is heard", || pair.north.gateway.log().contains("all peers are heard"));
    pair.link.set_state(LinkState::Silent);
    until("the north doubts", || pair.north.gateway.log().matches("is not heard").count() == 2);
    let bound = within(&pair);
    assert!(bound.is_some_and(|w| w <= 1000), "{bound:?}");
    pair.link.set_state(LinkState::Up);
    until("it is heard again", || pair.north.gateway.log().matches("all peers are heard").count() == 2);
}

#[test]
fn local_copies_are_served_while_the_lease_lasts() {
    let mut pair = SitePair::start_with("mode: COPIES");
    until("the south is heard", || pair.north.gateway.log().contains("all peers are heard"));
    pair.north.members.serve_object(&mut pair.client, SOUTHERN, b"copy");
    pair.link.set_state(LinkState::Silent);
    until("the north doubts", || pair.north.gateway.log().matches("is not heard").count() == 2);
    let id = pair.client.request_object(SOUTHERN);
    pair.client.expect_error(id, "Shed");
    assert!(pair.north.members.request_if_any().is_none(), "a copy that nobody vouches for");
}

#[test]
fn three_sites_in_a_ring_forward_without_loops() {
    let [a, b, c] = [free_address(), free_address(), free_address()];
    let east = LinkedSite::start(operator_text(
        "east",
        c,
        &[("north", a)],
        &[("a", "north", ""), ("d", "south", "via: \"north\"")],
    ));
    // To the south the home of d is the east, to the east it is the south: neither file is invalid by itself.
    let routes = [("c", "east", ""), ("d", "east", "")];
    let south = LinkedSite::start(operator_text("south", b, &[("east", c)], &routes));
    let north = LinkedSite::start(operator_text(
        "north",
        a,
        &[("south", b)],
        &[("c", "east", "via: \"south\""), ("d", "south", "")],
    ));
    wait_for_link(&north, "south");
    wait_for_link(&south, "east");
    wait_for_link(&east, "north");
    let mut client = north.gateway.client();
    east.members.serve_object(&mut client, "c000000000000001", b"from the east");
    let id = client.request_object("d000000000000001");
    assert!(matches!(client.next_answer(), (got, Answer::Error(..)) if got == id), "it would come back");
    // A log line may be read later than the answer.
    until("it is turned away", || [&south, &east].iter().any(|s| s.gateway.log().contains("turned away")));
    // A purge announced in the north reaches all sites.
    send_line(
        &north.feed_connection,
        &serde_json::json!({"n": 2, "purge": {"key": "c000000000000001", "at": unix_ms()}}),
    );
    until("the east asks for no older copy", || {
        let mut own = east.gateway.client();
        let (_, request) = east.members.serve_object(&mut own, "c000000000000001", b"new");
        request.field("within").is_some()
    });
}

#[test]
fn reload_changes_routes_and_peers_with_requests_in_flight() {
    let mut pair = SitePair::start();
    let open = pair.client.request_object(SOUTHERN);
    let (cache, request) = pair.south.members.next_request();
    let text = std::fs::read_to_string(pair.north.gateway.operator_file()).unwrap();
    // An invalid file changes nothing.
    pair.north.gateway.reload_operator(&text.replace("home: \"south\"", "home: \"west\""));
    until("the fault is told", || pair.north.gateway.log().contains("no peer is named"));
    pair.north.gateway.reload_operator(&text.replace("prefix: \"b\"", "prefix: \"e\""));
    until("the routes are taken", || pair.north.gateway.log().contains("routes and peers are taken"));
    pair.north.members.serve_object(&mut pair.client, "b000000000000009", b"here now");
    cache.answer(&request, "200", b"as it went out");
    pair.client.expect_served(open, b"as it went out");
    // Without the peer its links are closed, and with it they are opened again.
    let alone = pair.north.setup.operator.as_ref().unwrap();
    let alone: String =
        alone.lines().filter(|l| !l.starts_with("peers") && !l.starts_with("routes")).collect();
    let other = alone
        .replace("link {", &format!("peers {{ site: \"west\" addresses: \"{}\" }} link {{", free_address()));
    pair.north.gateway.reload_operator(&other);
    until("the links close", || pair.link.open_connections() == 0);
    pair.north.gateway.reload_operator(&text);
    until("they are back", || pair.link.open_connections() > 0);
}

#[test]
fn graceful_shutdown_answers_cross_site_requests() {
    for far in [true, false] {
        let mut pair = SitePair::start();
        let id = pair.client.request_object(SOUTHERN);
        let (cache, request) = pair.south.members.next_request();
        let ends = if far { &pair.south } else { &pair.north };
        ends.gateway.signal("TERM");
        std::thread::sleep(Duration::from_millis(100));
        cache.answer(&request, "200", b"to the last");
        pair.client.expect_served(id, b"to the last");
        let ends = if far { &mut pair.south } else { &mut pair.north };
        assert_eq!(ends.gateway.wait_for_exit(), Some(0));
        if far {
            let id = pair.client.request_object(SOUTHERN);
            pair.client.expect_error(id, "Shed");
        }
    }
}

fn hello(to: &str, version: u32) -> Frame {
    let hello = Hello {
        version,
        site: "west".into(),
        peer_site: to.into(),
        epoch: 5,
        session: 6,
        next_attempt: 1,
        ..Hello::default()
    };
    Payload::Hello(hello).into()
}

/// All frames that the other side sends until it closes the connection.
fn read_frames(mut stream: &TcpStream) -> Vec<Frame> {
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    let mut all = Vec::new();
    let _ = stream.read_to_end(&mut all);
    let (mut buffer, decoder) = (bytes::BytesMut::from(&all[..]), link::Decoder);
    std::iter::from_fn(|| decoder.next(&mut buffer).unwrap()).collect()
}

#[test]
fn incompatible_hello_is_reported_to_both_sides() {
    let pair = SitePair::start();
    let at: SocketAddr =
        pair.south.setup.operator.as_ref().unwrap().split('"').nth(3).unwrap().parse().unwrap();
    for (frame, why) in
        [(hello("east", 1), "this is site"), (hello("south", 9), "version 1 of the link protocol")]
    {
        let mut stream = TcpStream::connect(at).unwrap();
        stream.write_all(&link::encode_frame(&frame)).unwrap();
        let told = read_frames(&stream);
        let bye = told
            .iter()
            .any(|f| matches!(&f.payload, Some(Payload::Goodbye(goodbye)) if goodbye.reason.contains(why)));
        assert!(bye, "{told:?}");
        until("it is told here", || pair.south.gateway.log().contains(why));
    }
}

/// Regression test: accepting stopped until another link connected.
#[test]
fn link_gets_a_descriptor_when_clients_use_all() {
    let members = TestSite::start();
    let mut setup = members.setup();
    let at = free_address();
    setup.operator = Some(operator_text("south", at, &[("north", free_address())], &[("a", "north", "")]));
    let gateway = setup.start_limited("ulimit -n 32");
    let _silent = gateway.fill_descriptors(32);
    let mut stream = TcpStream::connect(at).unwrap();
    stream.write_all(&link::encode_frame(&hello("east", 1))).unwrap();
    let told = read_frames(&stream);
    assert!(told.iter().any(|f| matches!(&f.payload, Some(Payload::Goodbye(_)))), "{told:?}");
}

#[test]
fn malformed_link_bytes_close_only_their_connection() {
    let mut pair = SitePair::start();
    let at: SocketAddr =
        pair.south.setup.operator.as_ref().unwrap().split('"').nth(3).unwrap().parse().unwrap();
    let mut good = link::encode_frame(&hello("south", 1)).to_vec();
    // A valid hello, followed by one that a requesting side never sends.
    good.extend(link::encode_frame(&Payload::Hello(Hello::default()).into()));
    let cases: [&[u8]; 5] =
        [b"\xff\xff\xff\xffrest", b"\0\0\0\x05nodes", &[0; 64], b"GET / HTTP/1.1\r\n\r\n", &good];
    let id = pair.client.request_object(SOUTHERN);
    let (cache, request) = pair.south.members.next_request();
    for bytes in cases {
        let mut stream = TcpStream::connect(at).unwrap();
        stream.write_all(bytes).unwrap();
        read_frames(&stream);
    }
    // A silent connection is closed too.
    read_frames(&TcpStream::connect(at).unwrap());
    cache.answer(&request, "200", b"unharmed");
    pair.client.expect_served(id, b"unharmed");
}

#[test]
fn client_disconnect_cancels_its_cross_site_request() {
    let mut pair = SitePair::start();
    let id = pair.client.request_object(SOUTHERN);
    let (cache, request) = pair.south.members.next_request();
    pair.client.cancel(id);
    cache.expect_cancelled(&request.id);
    let other = pair.north.gateway.client();
    drop(other);
    let id = pair.client.request_object("b000000000000003");
    let (cache, request) = pair.south.members.next_request();
    drop(std::mem::replace(&mut pair.client, pair.north.gateway.client()));
    cache.expect_cancelled(&request.id);
    let _ = id;
    assert!(pair.north.feed.address.port() > 0);
}
