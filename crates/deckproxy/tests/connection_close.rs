//! Connections that the gateway closes: it first reads what has arrived, and discards no written answer.

use deckproxy::protocol::{downstream, limits};
use deckproxy::transport::client as transport;
use deckproxy::transport::stream::Stream;
use deckproxy_standins::wait::until_in;
use deckproxy_standins::*;
use std::collections::BTreeSet;
use std::io::{Read, Write};
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// When an answer of a test without a gateway is of no more use, Unix ms.
const DUE: f64 = 1e12;
/// The largest answer.
static LARGEST: [u8; limits::OBJECT] = [7; limits::OBJECT];

fn ready_client(gateway: &Gateway) -> Client {
    let mut client = gateway.client();
    client.expect_ready();
    client
}

#[test]
fn client_with_unread_request_is_not_evicted() {
    let site = TestSite::start();
    let mut setup = site.setup();
    // Ten client connections, one of which is reserved.
    setup.sockets = 30;
    let gateway = setup.start();
    let mut oldest = ready_client(&gateway);
    let _others: Vec<Client> = (0..8).map(|_| ready_client(&gateway)).collect();
    gateway.pause();
    // The new connection is read first, while the request of the longest idle client is still unread.
    let mut new_client = gateway.client();
    let ping = new_client.ping();
    let id = oldest.request_object(OBJECT);
    gateway.resume();
    let (cache, request) = site.next_request();
    cache.answer(&request, "200", b"there");
    oldest.expect_served(id, b"there");
    assert_eq!(new_client.next_answer(), (ping, Answer::Ready(true)), "another client was evicted");
}

#[test]
fn requests_received_before_shutdown_ends_are_answered_however_many() {
    let site = TestSite::start();
    let mut gateway = site.setup().start();
    // More than the event loop serves in one iteration.
    let mut idle: Vec<Client> = (0..150).map(|_| ready_client(&gateway)).collect();
    let start = Instant::now();
    gateway.signal("TERM");
    until("the shutdown begins", || gateway.log().contains("graceful shutdown begins"));
    gateway.pause();
    let ids: Vec<u64> = idle.iter_mut().map(|client| client.request_object(OBJECT)).collect();
    assert!(start.elapsed() < Duration::from_millis(600), "the requests arrived in time");
    until("the time for late requests is over", || start.elapsed() > Duration::from_millis(750));
    gateway.resume();
    for (client, id) in idle.iter_mut().zip(ids) {
        client.expect_error(id, "Shed");
        client.expect_clean_close();
    }
    assert_eq!(gateway.wait_for_exit(), Some(0));
}

/// The idle timeout is checked while more connections are readable than one iteration serves.
#[test]
fn request_arriving_at_the_idle_timeout_is_answered() {
    let site = TestSite::start();
    let gateway = site.setup().start();
    let start = Instant::now();
    let mut idle: Vec<Client> = (0..150).map(|_| ready_client(&gateway)).collect();
    let all_idle_since = Instant::now();
    until_in(Duration::from_secs(12), "the idle timeout is nearly reached", || {
        start.elapsed() > Duration::from_millis(9600)
    });
    gateway.pause();
    assert!(start.elapsed() < Duration::from_secs(10), "no client has been closed yet");
    let pings: Vec<u64> = idle.iter_mut().map(Client::ping).collect();
    until_in(Duration::from_secs(12), "all idle timeouts have passed", || {
        all_idle_since.elapsed() > Duration::from_millis(10_100)
    });
    gateway.resume();
    for (client, id) in idle.iter_mut().zip(pings) {
        assert_eq!(client.next_answer(), (id, Answer::Ready(true)));
    }
}

#[test]
fn partial_request_read_before_shutdown_is_answered_when_completed() {
    let site = TestSite::start();
    let mut gateway = site.setup().start();
    let mut client = ready_client(&gateway);
    let start = Instant::now();
    gateway.signal("TERM");
    until("the shutdown begins", || gateway.log().contains("graceful shutdown begins"));
    let (id, bytes) = client.encode_request("page", &[("lookup", OBJECT)], &[]);
    client.send(&bytes[..20]);
    until("the time for late requests is over", || start.elapsed() > Duration::from_millis(900));
    client.send(&bytes[20..]);
    client.expect_error(id, "Shed");
    client.expect_clean_close();
    assert_eq!(gateway.wait_for_exit(), Some(0));
}

#[test]
fn partial_request_never_completed_does_not_delay_shutdown() {
    let site = TestSite::start();
    let mut gateway = site.setup().start();
    let mut client = ready_client(&gateway);
    let (_, bytes) = client.encode_request("page", &[("lookup", OBJECT)], &[]);
    client.send(&bytes[..20]);
    let start = Instant::now();
    gateway.signal("TERM");
    assert_eq!(gateway.wait_for_exit(), Some(0));
    // SIGKILL would come 3.7 s after SIGTERM.
    assert!(start.elapsed() < Duration::from_millis(3500), "{:?}", start.elapsed());
    client.expect_clean_close();
}

/// There is always a connection to accept, and all accepted connections are new.
#[test]
fn shutdown_ends_in_time_while_idle_clients_keep_connecting() {
    let site = TestSite::start();
    let mut setup = site.setup();
    // Ten client connections.
    setup.sockets = 30;
    let mut gateway = setup.start();
    let (address, filling) = (gateway.address, AtomicBool::new(true));
    let (code, took) = thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| {
                let mut idle = std::collections::VecDeque::new();
                while filling.load(Ordering::SeqCst) {
                    if let Ok(stream) =
                        std::net::TcpStream::connect_timeout(&address, Duration::from_millis(100))
                    {
                        idle.push_back(stream);
                    }
                    if idle.len() > 64 {
                        idle.pop_front();
                    }
                }
            });
        }
        let end = Instant::now() + Duration::from_secs(5);
        let is_full = |gateway: &Gateway| gateway.usage().descriptors >= 15;
        while !is_full(&gateway) && Instant::now() < end {
            thread::sleep(Duration::from_millis(2));
        }
        let start = Instant::now();
        gateway.signal("TERM");
        let mut code = None;
        while code.is_none() && start.elapsed() < Duration::from_secs(5) {
            thread::sleep(Duration::from_millis(2));
            code = gateway.child.try_wait().unwrap().and_then(|c| c.code());
        }
        // Also on failure, as the other threads wait for this flag.
        filling.store(false, Ordering::SeqCst);
        (code, start.elapsed())
    });
    assert_eq!(code, Some(0));
    // SIGKILL would come 3.7 s after SIGTERM.
    assert!(took < Duration::from_millis(3500), "{took:?}");
}

#[test]
fn repeated_shutdown_and_reload_signals_end_like_one() {
    let (site, mut gateway, mut client) = TestSite::start_with_client();
    let id = client.request_object(OBJECT);
    let (cache, request) = site.next_request();
    gateway.pause();
    for signal in ["TERM", "HUP", "TERM"] {
        gateway.signal(signal);
    }
    gateway.resume();
    until("the shutdown begins", || gateway.log().contains("graceful shutdown begins"));
    gateway.signal("TERM");
    gateway.signal("HUP");
    cache.answer(&request, "200", b"kept");
    client.expect_served(id, b"kept");
    client.expect_clean_close();
    assert_eq!(gateway.wait_for_exit(), Some(0));
}

#[test]
fn flood_after_malformed_bytes_discards_no_answer() {
    let (site, gateway, mut client) = TestSite::start_with_client();
    let id = client.request_object(OBJECT);
    let (cache, request) = site.next_request();
    let mut handle = client.stream_handle();
    let flood = thread::spawn(move || {
        let mut written = handle.write_all(b"\xc1");
        for _ in 0..256 {
            written = written.and_then(|()| handle.write_all(&[0; 64 * 1024]));
        }
        written
    });
    until("the gateway closes the connection", || gateway.log().contains("a client's connection closes"));
    flood.join().unwrap().expect("16 MB are read, as an answer is pending");
    cache.answer(&request, "200", &vec![3; 200_000]);
    client.expect_served(id, &vec![3; 200_000]);
    client.expect_clean_close();
}

/// The answer is written and the connection shut down, but most of it is still in the gateway's kernel buffer.
#[test]
fn slow_reader_that_keeps_sending_gets_its_answer_before_close() {
    let (site, gateway, mut client) = TestSite::start_with_client();
    socket2::SockRef::from(&client.stream_handle()).set_recv_buffer_size(8 * 1024).unwrap();
    let id = client.request_object(OBJECT);
    let (cache, request) = site.next_request();
    client.send(b"\xc1");
    until("the gateway closes the connection", || gateway.log().contains("a client's connection closes"));
    cache.answer(&request, "200", &vec![3; 200_000]);
    let mut handle = client.stream_handle();
    handle.peek(&mut [0]).unwrap();
    // Three times as long as a client has to close its side.
    let start = Instant::now();
    while start.elapsed() < Duration::from_millis(900) {
        handle.write_all(&[0; 1024]).expect("the bytes are read and not answered with a reset");
        thread::sleep(Duration::from_millis(10));
    }
    client.expect_served(id, &vec![3; 200_000]);
    client.expect_clean_close();
}

#[test]
fn request_before_an_incomplete_message_is_answered() {
    let site = TestSite::start();
    let mut setup = site.setup();
    setup.settings["services"][0]["deadlineMs"] = serde_json::json!(9000.0);
    let gateway = setup.start();
    let mut client = gateway.client();
    let id = client.send_request("page", &[("lookup", OBJECT), ("allow", "9000")], &[]);
    let (cache, request) = site.next_request();
    let (partial, bytes) = client.encode_request("page", &[("lookup", OBJECT)], &[]);
    client.send(&bytes[..20]);
    until("the gateway starts to close the connection", || gateway.log().contains("keeps a message waiting"));
    client.expect_error(partial, "Shed");
    // Longer than a closing connection without pending answers stays open.
    thread::sleep(Duration::from_millis(1700));
    cache.answer(&request, "200", b"owed");
    client.expect_served(id, b"owed");
    client.expect_clean_close();
}

#[test]
fn unread_rejections_of_a_client_are_bounded() {
    let events: calloop::EventLoop<'static, ()> = calloop::EventLoop::try_new().unwrap();
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let _other = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let (socket, _) = listener.accept().unwrap();
    let stream = Stream::accepted(&events.handle(), &Rc::default(), socket, |(), _| {}).unwrap();
    let mut client = transport::ClientConnection::new(stream, 0.0);
    let mut id = 0;
    while client.buffered_bytes() < limits::CLIENT_REJECTIONS {
        assert!(!client.is_over_write_limit(), "{} bytes", client.buffered_bytes());
        id += 1;
        client.answer_unadmitted(id, &downstream::Answer::Rejected(0.0), DUE);
    }
    client.answer_unadmitted(id + 1, &downstream::Answer::Rejected(0.0), DUE);
    assert!(client.is_over_write_limit());
    // Bytes in the kernel's buffer are not counted; answers to requests in flight are bounded by their number.
    client.flush(1.0, |_| {}).unwrap();
    assert!(!client.is_over_write_limit() && client.buffered_bytes() == 0);
    assert!(client.admit(id + 2, DUE));
    assert!(client.answer(id + 2, &downstream::Answer::Served(vec![0; 200_000].into())));
    assert!(!client.is_over_write_limit());
}

/// Guards against an answer that is neither in the router nor in the write buffer when the linger time ends: the request's
/// deadline and the linger time pass in one turn of the event loop.
#[test]
fn answer_decided_in_the_turn_in_which_the_linger_time_ends_is_written() {
    let (site, gateway, mut client) = TestSite::start_with_client();
    let start = Instant::now();
    let id = client.send_request("page", &[("lookup", OBJECT), ("allow", "1450")], &[]);
    site.next_request();
    client.send(b"\xc1");
    until("the connection begins to close", || gateway.log().contains("a client's connection closes"));
    gateway.pause();
    until("both times have passed", || start.elapsed() > Duration::from_millis(1650));
    gateway.resume();
    assert!(matches!(client.next_answer(), (answered, Answer::Error(..)) if answered == id));
    client.expect_clean_close();
}

/// A client that has requested as much as it may at once and reads nothing; most of its answers are not written.
struct UnreadAnswers {
    _site: TestSite,
    gateway: Gateway,
    client: Client,
    ids: BTreeSet<u64>,
}

impl UnreadAnswers {
    fn start(allow_ms: &str) -> Self {
        let site = TestSite::start();
        let mut setup = site.setup();
        setup.settings["services"][0]["deadlineMs"] = serde_json::json!(9000.0);
        let gateway = setup.start();
        let mut client = gateway.client();
        let mut ids = BTreeSet::new();
        for number in 0..limits::CLIENT_REQUESTS {
            let object = format!("{number:016x}");
            ids.insert(client.send_request("page", &[("lookup", &object), ("allow", allow_ms)], &[]));
            let (cache, request) = site.next_request();
            cache.answer(&request, "200", &LARGEST);
        }
        UnreadAnswers { _site: site, gateway, client, ids }
    }

    /// Begins to close the connection, and waits longer than one without owed answers stays open.
    fn begin_to_close(&mut self) {
        self.client.send(b"\xc1");
        until("the connection begins to close", || {
            self.gateway.log().contains("a client's connection closes")
        });
        thread::sleep(Duration::from_millis(1700));
    }
}

/// Guards against the loss of answers that a client reads slowly while its connection closes.
#[test]
fn unread_answers_on_a_closing_connection_are_kept() {
    let mut unread = UnreadAnswers::start("9000");
    unread.begin_to_close();
    while !unread.ids.is_empty() {
        let (id, answer) = unread.client.next_answer();
        assert!(matches!(answer, Answer::Served(body, _) if body == LARGEST), "{id}");
        assert!(unread.ids.remove(&id), "{id} was answered twice");
    }
    unread.client.expect_clean_close();
}

/// Guards against a closing connection that stays for ever because its client reads nothing.
#[test]
fn unread_answers_on_a_closing_connection_are_dropped_after_their_deadlines() {
    let mut unread = UnreadAnswers::start("2000");
    unread.begin_to_close();
    thread::sleep(Duration::from_millis(1500));
    let mut handle = unread.client.stream_handle();
    handle.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
    let ended = handle.read_to_end(&mut Vec::new());
    assert_eq!(ended.unwrap_err().kind(), std::io::ErrorKind::ConnectionReset);
}
