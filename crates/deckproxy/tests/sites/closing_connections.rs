//! Client connections that close while answers are owed on them, one of them by another site. In each test the order is
//! forced: the connection begins to close, the local request is answered, and the forwarded one only after the time for
//! which a closing connection without owed answers stays open.

use crate::{LinkedSite, SOUTHERN, SitePair, operator_text, wait_for_link};
use deckproxy::protocol::limits;
use deckproxy_standins::link_relay::LinkState;
use deckproxy_standins::*;
use std::thread;
use std::time::{Duration, Instant};

/// Deadline of the reads, well over the time for which a closing connection without owed answers stays open.
const DEADLINE_MS: f64 = 9000.0;
/// An object that the north serves itself.
const NORTHERN: &str = "a000000000000001";
/// A reserved byte of MessagePack.
const MEANINGLESS: &[u8] = b"\xc1";

/// A request that waits at a member for its answer.
struct Open<'a> {
    id: u64,
    cache: &'a Member,
    request: MemberRequest,
}

impl Open<'_> {
    /// Answers it, and expects that its client is served.
    fn serve(&self, client: &mut Client, body: &[u8]) {
        self.cache.answer(&self.request, "200", body);
        client.expect_served(self.id, body);
    }
}

fn open<'a>(client: &mut Client, site: &'a LinkedSite, object: &str, allow_ms: &str) -> Open<'a> {
    let id = client.send_request("page", &[("lookup", object), ("allow", allow_ms)], &[]);
    let (cache, request) = site.members.next_request();
    Open { id, cache, request }
}

fn until_closing(north: &LinkedSite) {
    until("the connection begins to close", || north.gateway.log().contains("a client's connection closes"));
}

/// Waits longer than a closing connection without owed answers stays open.
fn outlast_closing_interval() {
    thread::sleep(Duration::from_millis(1700));
}

/// Has a client open a forwarded and a local request and begin to close its connection. Expects that the local one is
/// answered, then the forwarded one, and that the connection is then closed without a reset.
fn expect_answers_while_closing(begin_to_close: impl FnOnce(&mut Client)) {
    let SitePair { north, south, mut client, link: _link } = SitePair::start_with_deadline(DEADLINE_MS);
    let forwarded = open(&mut client, &south, SOUTHERN, "9000");
    let local = open(&mut client, &north, NORTHERN, "9000");
    begin_to_close(&mut client);
    until_closing(&north);
    local.serve(&mut client, b"own");
    outlast_closing_interval();
    forwarded.serve(&mut client, b"from the south");
    client.expect_clean_close();
}

/// Guards against the loss of a forwarded request whose client writes its next one slowly.
#[test]
fn forwarded_request_is_answered_beside_a_slow_message() {
    expect_answers_while_closing(|client| {
        let (slow, bytes) = client.encode_request("once", &[("lookup", NORTHERN)], &[9; 20_000]);
        client.send(&bytes[..10_000]);
        client.expect_error(slow, "Shed");
    });
}

/// Guards against the loss of a forwarded request whose client then sends bytes that can't be decoded.
#[test]
fn forwarded_request_is_answered_after_meaningless_bytes() {
    expect_answers_while_closing(|client| client.send(MEANINGLESS));
}

/// Guards against the loss of a forwarded request whose client then skips a message id.
#[test]
fn forwarded_request_is_answered_after_an_id_out_of_sequence() {
    expect_answers_while_closing(|client| {
        client.encode_request("page", &[], &[]);
        let invalid = client.request_object(NORTHERN);
        client.expect_error(invalid, "Unusable");
    });
}

/// Guards against the loss of a forwarded request whose client then uses the id of another open request again.
#[test]
fn forwarded_request_is_answered_after_an_id_is_reused() {
    expect_answers_while_closing(|client| {
        let (reused, bytes) = client.encode_request("once", &[("lookup", NORTHERN)], &[]);
        client.send(&bytes);
        client.send(&bytes);
        client.expect_error(reused, "Unusable");
    });
}

/// Guards against the loss of a forwarded request whose client cancels many others.
#[test]
fn forwarded_request_is_answered_after_too_many_cancellations() {
    expect_answers_while_closing(|client| {
        for _ in 0..=limits::CLIENT_CANCELLATIONS {
            let id = client.send_request("once", &[("lookup", SOUTHERN)], b"x");
            client.cancel(id);
        }
    });
}

/// Guards against the loss of a forwarded request while its gateway shuts down and its connection closes.
#[test]
fn forwarded_request_is_answered_while_its_gateway_shuts_down() {
    let SitePair { mut north, south, mut client, link: _link } = SitePair::start_with_deadline(DEADLINE_MS);
    let forwarded = open(&mut client, &south, SOUTHERN, "9000");
    let local = open(&mut client, &north, NORTHERN, "9000");
    client.send(MEANINGLESS);
    until_closing(&north);
    north.gateway.signal("TERM");
    local.serve(&mut client, b"own");
    outlast_closing_interval();
    forwarded.serve(&mut client, b"from the south");
    client.expect_clean_close();
    assert_eq!(north.gateway.wait_for_exit(), Some(0));
}

/// Guards against the loss of a forwarded request whose connection closes and whose site is removed by a reload, while
/// the link to it is lost.
#[test]
fn forwarded_request_is_answered_after_its_site_is_removed_and_the_link_lost() {
    let SitePair { north, south, mut client, link } = SitePair::start_with_deadline(DEADLINE_MS);
    let forwarded = open(&mut client, &south, SOUTHERN, "9000");
    client.send(MEANINGLESS);
    until_closing(&north);
    let operator = north.setup.operator.as_ref().unwrap();
    let alone: String =
        operator.lines().filter(|line| !line.starts_with("peers") && !line.starts_with("routes")).collect();
    let other = format!("peers {{ site: \"west\" addresses: \"{}\" }} link {{", free_address());
    north.gateway.reload_operator(&alone.replace("link {", &other));
    until("the new peers are in force", || north.gateway.log().contains("routes and peers are in force"));
    link.set_state(LinkState::Reset);
    until("the cut is detected", || north.gateway.log().contains("link to south (0): down"));
    link.set_state(LinkState::Up);
    outlast_closing_interval();
    forwarded.serve(&mut client, b"from the south");
    client.expect_clean_close();
    until("the links to the removed site close", || link.open_connections() == 0);
}

/// Guards against the loss of a request that is forwarded through a third site.
#[test]
fn request_forwarded_through_a_third_site_is_answered_on_a_closing_connection() {
    let [north_at, south_at, east_at] = [free_address(), free_address(), free_address()];
    let start = |text| LinkedSite::start_with_deadline(text, DEADLINE_MS);
    let east = start(operator_text("east", east_at, &[("north", north_at)], &[("a", "north", "")]));
    let south = start(operator_text("south", south_at, &[("east", east_at)], &[("c", "east", "")]));
    let routes = [("c", "east", "via: \"south\"")];
    let north = start(operator_text("north", north_at, &[("south", south_at)], &routes));
    wait_for_link(&north, "south");
    wait_for_link(&south, "east");
    let mut client = north.gateway.client();
    let forwarded = open(&mut client, &east, "c000000000000001", "9000");
    let local = open(&mut client, &north, NORTHERN, "9000");
    client.send(MEANINGLESS);
    until_closing(&north);
    local.serve(&mut client, b"own");
    outlast_closing_interval();
    forwarded.serve(&mut client, b"from the east");
    client.expect_clean_close();
}

/// Guards against a closing connection that stays for ever: the deadline of the forwarded request ends it.
#[test]
fn closing_connection_ends_by_the_deadline_of_its_forwarded_request() {
    let SitePair { north, south, mut client, link } = SitePair::start_with_deadline(DEADLINE_MS);
    let start = Instant::now();
    let forwarded = open(&mut client, &south, SOUTHERN, "2500");
    client.send(MEANINGLESS);
    until_closing(&north);
    link.set_state(LinkState::Silent);
    assert!(matches!(client.next_answer(), (id, Answer::Error(..)) if id == forwarded.id));
    client.expect_clean_close();
    assert!(start.elapsed() < Duration::from_millis(3050), "{:?}", start.elapsed());
}
