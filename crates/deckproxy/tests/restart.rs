//! A simultaneous restart of a whole fleet while service discovery is unavailable.

use deckproxy_standins::limit_checkers::StartupChecker;
use deckproxy_standins::*;
use std::io::Read;
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

const PROCESSES: usize = 24;

/// The time until a process answers a ping as ready, ms; polls like the load balancer.
fn time_until_ready(start: Instant, at: SocketAddr) -> Option<f64> {
    while start.elapsed() < Duration::from_secs(15) {
        if let Ok(stream) = TcpStream::connect(at) {
            drop(stream);
            let mut client = Client::connect(at);
            let ping = client.ping();
            if client.next_answer() == (ping, Answer::Ready(true)) {
                return Some(start.elapsed().as_secs_f64() * 1000.0);
            }
        }
        thread::sleep(Duration::from_millis(5));
    }
    None
}

/// For a third of the processes each, service discovery refuses connections, accepts them silently, or never completes
/// the handshake.
#[test]
fn nine_in_ten_restarted_gateways_are_ready_in_time_without_discovery() {
    let site = TestSite::start();
    let silent = Feed::start();
    let never = StalledListener::start();
    let setups: Vec<Setup> = (0..PROCESSES)
        .map(|i| {
            let mut setup = site.setup();
            setup.feed = [free_address(), silent.address, never.address][i % 3];
            setup
        })
        .collect();
    // All processes have a connected client when they are killed and restarted at their addresses.
    let first: Vec<Gateway> = thread::scope(|scope| {
        let all: Vec<_> = setups.iter().map(|setup| scope.spawn(|| setup.start())).collect();
        all.into_iter().map(|one| one.join().unwrap()).collect()
    });
    let mut clients: Vec<Client> = first.iter().map(Gateway::client).collect();
    for client in &mut clients {
        client.ping();
    }
    drop(first);
    let start = Instant::now();
    let next: Vec<Gateway> =
        setups.iter().map(|setup| Gateway::spawn(&setup.config().to_string(), setup.listen)).collect();
    let mut checker = StartupChecker::default();
    thread::scope(|scope| {
        let all: Vec<_> =
            next.iter().map(|one| scope.spawn(|| time_until_ready(start, one.address))).collect();
        for one in all {
            checker.record_start(one.join().unwrap());
        }
    });
    assert!(checker.holds(), "{checker:?}");
    // Each process serves with the member list of its configuration.
    for gateway in &next {
        let mut client = gateway.client();
        site.serve_object(&mut client, OBJECT, b"there");
    }
    // The earlier clients' connections are closed.
    for client in &clients {
        let mut handle = client.stream_handle();
        handle.set_read_timeout(Some(PATIENCE)).unwrap();
        // Possibly the pong, followed by a close or a reset.
        let silent = loop {
            match handle.read(&mut [0; 64]) {
                Ok(1..) => {}
                Ok(0) => break false,
                Err(e) => break e.kind() == std::io::ErrorKind::WouldBlock,
            }
        };
        assert!(!silent, "its connection neither closed nor broke");
    }
}
