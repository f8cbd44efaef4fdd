//! One client that sends at full speed: the others are answered in time, and nothing grows without bound.

use deckproxy_standins::*;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Messages in one write of the flooding client.
const MESSAGES: usize = 200;
/// Requests of the other client, and the time in which each must be answered.
const REQUESTS: usize = 40;
const MAX_LATENCY: Duration = Duration::from_millis(500);

/// A client that writes messages at full speed, and reads and drops the answers.
struct Flood {
    stop: Arc<AtomicBool>,
    stream: TcpStream,
    writer: JoinHandle<usize>,
    reader: JoinHandle<()>,
}

/// Writes to a connection until told to stop or the connection ends. Returns the number of messages written.
fn write_messages(
    client: &mut Client,
    stop: &AtomicBool,
    mut message: impl FnMut(&mut Client) -> Vec<u8>,
) -> usize {
    let mut written = 0;
    while !stop.load(Ordering::SeqCst) {
        let bytes: Vec<u8> = (0..MESSAGES).flat_map(|_| message(client)).collect();
        if client.try_send(&bytes).is_err() {
            break;
        }
        written += MESSAGES;
    }
    written
}

fn drop_answers(mut stream: TcpStream) {
    let mut chunk = vec![0; 65536];
    while matches!(stream.read(&mut chunk), Ok(1..)) {}
}

impl Flood {
    fn start(gateway: &Gateway, message: impl FnMut(&mut Client) -> Vec<u8> + Send + 'static) -> Self {
        let mut client = gateway.client();
        let (stream, answers) = (client.stream_handle(), client.stream_handle());
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = Arc::clone(&stop);
        let writer = thread::spawn(move || write_messages(&mut client, &stopped, message));
        Flood { stop, stream, writer, reader: thread::spawn(move || drop_answers(answers)) }
    }

    /// Stops it. Returns the number of messages that it wrote.
    fn stop(self) -> usize {
        self.stop.store(true, Ordering::SeqCst);
        // Fails only if the gateway has closed the connection.
        let _ = self.stream.shutdown(Shutdown::Both);
        let written = self.writer.join().unwrap();
        self.reader.join().unwrap();
        written
    }
}

/// Expects that each request of another client is served in time, with caches that answer all requests.
fn expect_others_served(site: &TestSite, gateway: &Gateway) {
    let mut other = gateway.client();
    for number in 0..REQUESTS {
        let object = format!("{:016x}", 0xa000 + number);
        let start = Instant::now();
        let id = other.request_object(&object);
        loop {
            let (cache, request) = site.next_request();
            cache.try_answer(&request, "200", b"mine");
            if request.field("name") == Some(&object) {
                break;
            }
        }
        other.expect_served(id, b"mine");
        assert!(start.elapsed() < MAX_LATENCY, "{:?} for request {number}", start.elapsed());
        thread::sleep(Duration::from_millis(20));
    }
}

/// Guards against a client whose small requests use all the time of the event loop, so that the requests of others are
/// answered late or never.
#[test]
fn flood_of_small_requests_does_not_delay_other_clients() {
    let (site, gateway, _client) = TestSite::start_with_client();
    let mut number = 0u64;
    let flood = Flood::start(&gateway, move |client| {
        number += 1;
        client.encode_request("page", &[("lookup", &format!("{:016x}", 0xf000_0000 + number))], &[]).1
    });
    expect_others_served(&site, &gateway);
    let written = flood.stop();
    assert!(written > 2000, "{written} requests are not a flood");
}

/// The same with requests that can't be served.
#[test]
fn flood_of_invalid_requests_does_not_delay_other_clients() {
    let (site, gateway, _client) = TestSite::start_with_client();
    let mut number = 0u64;
    let flood = Flood::start(&gateway, move |client| {
        number += 1;
        client.encode_request(&format!("class{number}"), &[("lookup", OBJECT)], &[]).1
    });
    expect_others_served(&site, &gateway);
    let written = flood.stop();
    assert!(written > 2000, "{written} requests are not a flood");
}

/// Guards against requests that are forwarded although their client has closed its connection, after much more data than
/// is read at a time.
#[test]
fn requests_followed_by_much_data_and_a_disconnect_are_not_forwarded() {
    let (site, gateway, mut first) = TestSite::start_with_client();
    site.serve_write(&mut first, b"warm", b"warm");
    gateway.pause();
    let mut client = gateway.client();
    for _ in 0..4 {
        client.send_request("once", &[("lookup", OBJECT)], b"left");
    }
    let mut stream = client.stream_handle();
    let pings: Vec<u8> = (0..40_000).flat_map(|_| client.encode_request("ping", &[], &[]).1).collect();
    // As much as the kernel takes, in time.
    stream.set_write_timeout(Some(Duration::from_millis(300))).unwrap();
    let _ = stream.write_all(&pings);
    drop((stream, client));
    thread::sleep(Duration::from_millis(120));
    gateway.resume();
    let request = site.serve_write(&mut first, b"there", b"done");
    assert_eq!(request.body, b"there");
    assert!(site.origin.request_if_any().is_none(), "a request of a client that had left was forwarded");
}
