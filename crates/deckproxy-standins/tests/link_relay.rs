//! The relay's throttle.

use deckproxy_standins::link_relay::LinkRelay;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// The most bytes that the relay passes at once.
const CHUNK: usize = 16 * 1024;

#[test]
fn throttle_applies_to_bytes_read_before_it_was_set() {
    let target = TcpListener::bind("127.0.0.1:0").unwrap();
    let relay = LinkRelay::to(target.local_addr().unwrap());
    let mut client = TcpStream::connect(relay.address).unwrap();
    let (mut received, _) = target.accept().unwrap();
    // Delayed for longer than it takes until the throttle is set.
    relay.set_delay(Duration::from_millis(800));
    client.write_all(&[7; CHUNK]).unwrap();
    std::thread::sleep(Duration::from_millis(30));
    relay.throttle(64);
    // All bytes take 256 ms.
    let mut chunk = vec![0; CHUNK];
    let first = received.read(&mut chunk).unwrap();
    let start = Instant::now();
    received.read_exact(&mut chunk[first..]).unwrap();
    assert!(first < CHUNK / 4, "{first} bytes at once");
    assert!(start.elapsed() > Duration::from_millis(100), "{:?}", start.elapsed());
}
