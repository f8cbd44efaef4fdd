//! Clients that write a request slowly, and requests on connections that are about to close: each request that was
//! written whole has a final answer.

use deckproxy::protocol::limits;
use deckproxy::transport::client::ClientConnection;
use deckproxy::transport::stream::Stream;
use deckproxy_standins::*;
use serde_json::json;
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::thread;
use std::time::{Duration, Instant};

/// A body that takes many writes.
static BODY: [u8; 40_000] = [9; 40_000];

/// A gateway whose reads have a deadline of 9 s.
fn start_patient() -> (TestSite, Gateway, Client) {
    let site = TestSite::start();
    let mut setup = site.setup();
    setup.settings["services"][0]["deadlineMs"] = json!(9000.0);
    let gateway = setup.start();
    let client = gateway.client();
    (site, gateway, client)
}

/// Sends a read that stays open; returns its id, the cache and the request that the cache received.
fn send_open_request<'a>(site: &'a TestSite, client: &mut Client) -> (u64, &'a Member, MemberRequest) {
    let id = client.send_request("page", &[("lookup", OBJECT), ("allow", "9000")], &[]);
    let (cache, request) = site.next_request();
    (id, cache, request)
}

/// Sends three requests and expects that each is rejected.
fn expect_rejections(client: &mut Client) {
    for _ in 0..3 {
        let id = client.request_object(OBJECT);
        client.expect_error(id, "Shed");
    }
}

/// Guards against the loss of a request that is written over more than two seconds beside an open one, and of all
/// requests after it.
#[test]
fn request_written_slowly_beside_an_open_one_is_served() {
    let (site, _gateway, mut client) = start_patient();
    let (open, cache, request) = send_open_request(&site, &mut client);
    let (slow, bytes) = client.encode_request("once", &[("lookup", OBJECT)], &BODY);
    for piece in bytes.chunks(bytes.len().div_ceil(25)) {
        client.send(piece);
        thread::sleep(Duration::from_millis(100));
    }
    let write = site.origin.next_request();
    assert_eq!(write.body, BODY);
    site.origin.answer(&write, "200", b"written");
    client.expect_served(slow, b"written");
    site.serve_write(&mut client, b"x", b"next");
    cache.answer(&request, "200", b"open");
    client.expect_served(open, b"open");
}

/// Guards against requests that are read and dropped while a closing connection waits for an open request.
#[test]
fn requests_on_a_draining_connection_are_rejected_not_dropped() {
    let (site, gateway, mut client) = start_patient();
    let (open, cache, request) = send_open_request(&site, &mut client);
    let (stalled, bytes) = client.encode_request("once", &[("lookup", OBJECT)], &BODY);
    client.send(&bytes[..30_000]);
    until("the connection starts to close", || gateway.log().contains("keeps a message waiting"));
    client.expect_error(stalled, "Shed");
    client.send(&bytes[30_000..]);
    expect_rejections(&mut client);
    cache.answer(&request, "200", b"open");
    client.expect_served(open, b"open");
    client.expect_clean_close();
    assert!(site.origin.request_if_any().is_none(), "a rejected request was forwarded");
}

/// Guards against the same loss on a connection that closes for its many cancellations.
#[test]
fn requests_after_too_many_cancellations_are_rejected_not_dropped() {
    let (site, gateway, mut client) = start_patient();
    let (open, cache, request) = send_open_request(&site, &mut client);
    for _ in 0..=limits::CLIENT_CANCELLATIONS {
        let id = client.send_request("once", &[("lookup", OBJECT)], b"x");
        client.cancel(id);
    }
    until("the connection starts to close", || gateway.log().contains("cancels too many requests"));
    expect_rejections(&mut client);
    cache.answer(&request, "200", b"open");
    client.expect_served(open, b"open");
    client.expect_clean_close();
}

/// Guards against requests that are received together with what closes their connection, and are dropped with it.
#[test]
fn requests_read_together_with_an_invalid_id_are_answered() {
    let (_site, _gateway, mut client) = TestSite::start_with_client();
    client.encode_request("page", &[], &[]);
    let (invalid, mut bytes) = client.encode_request("page", &[("lookup", OBJECT)], &[]);
    let (whole, next) = client.encode_request("page", &[("lookup", OBJECT)], &[]);
    let (partial, last) = client.encode_request("page", &[("lookup", OBJECT)], &[]);
    bytes.extend(next);
    bytes.extend(&last[..20]);
    client.send(&bytes);
    client.expect_error(invalid, "Unusable");
    client.expect_error(whole, "Shed");
    client.expect_error(partial, "Shed");
    client.expect_clean_close();
}

/// The first message has to arrive within two seconds, as it may never end; its request is still answered.
#[test]
fn first_request_that_arrives_too_slowly_is_rejected_before_the_close() {
    let (_site, gateway, mut client) = TestSite::start_with_client();
    let start = Instant::now();
    let (id, bytes) = client.encode_request("once", &[("lookup", OBJECT)], &BODY);
    let mut handle = client.stream_handle();
    let writer = thread::spawn(move || {
        for piece in bytes.chunks(bytes.len().div_ceil(28)) {
            if handle.write_all(piece).is_err() {
                break;
            }
            thread::sleep(Duration::from_millis(100));
        }
    });
    client.expect_error(id, "Shed");
    client.expect_clean_close();
    assert!(start.elapsed() < Duration::from_secs(3), "{:?}", start.elapsed());
    writer.join().unwrap();
    assert!(gateway.log().contains("keeps a message waiting"));
}

/// Guards against a time-out that counts a pause of the process as a pause of the client.
#[test]
fn request_completed_while_the_process_was_paused_is_served() {
    let (site, gateway, mut client) = start_patient();
    let (open, cache, request) = send_open_request(&site, &mut client);
    let (id, bytes) = client.encode_request("once", &[("lookup", OBJECT)], &BODY);
    client.send(&bytes[..30_000]);
    thread::sleep(Duration::from_millis(300));
    gateway.pause();
    client.send(&bytes[30_000..]);
    thread::sleep(Duration::from_millis(2200));
    gateway.resume();
    let write = site.origin.next_request();
    site.origin.answer(&write, "200", b"written");
    client.expect_served(id, b"written");
    cache.answer(&request, "200", b"open");
    client.expect_served(open, b"open");
}

/// A connection whose client has sent a first message; both ends.
fn connection() -> (ClientConnection, TcpStream) {
    let events: calloop::EventLoop<'static, ()> = calloop::EventLoop::try_new().unwrap();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let client = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let (socket, _) = listener.accept().unwrap();
    let stream = Stream::accepted(&events.handle(), &Rc::default(), socket, |(), _| {}).unwrap();
    let mut connection = ClientConnection::new(stream, 0.0);
    assert!(connection.accept_id(1));
    (connection, client)
}

/// Receives one more byte of a message that never ends.
fn receive_byte(connection: &mut ClientConnection, client: &mut TcpStream, now: f64, byte: u8) {
    client.write_all(&[byte]).unwrap();
    let end = Instant::now() + Duration::from_secs(5);
    let before = connection.stream.input.len();
    while connection.stream.input.len() == before && Instant::now() < end {
        connection.stream.assume_readable();
        connection.read(now);
    }
    assert_eq!(connection.take_message(), Ok(None));
}

#[test]
fn later_message_may_take_ten_seconds_with_pauses_of_two() {
    let (mut connection, mut client) = connection();
    receive_byte(&mut connection, &mut client, 1000.0, 0x94);
    assert!(!connection.is_read_timed_out(3000.0));
    assert!(connection.is_read_timed_out(3001.0), "a pause of over two seconds");
    // A request with the id 2, and a string of 31 bytes.
    let mut now = 1000.0;
    for byte in [0x00, 0x02, 0xbf, b'a', b'a', b'a'] {
        now += 1900.0;
        receive_byte(&mut connection, &mut client, now, byte);
        let is_expired = now - 1000.0 > limits::CLIENT_MESSAGE_TIMEOUT;
        assert_eq!(connection.is_read_timed_out(now), is_expired, "{now}");
    }
}
