//! Waiting for conditions, free addresses, the clock.

use socket2::{Domain, Socket, Type};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// How long a test waits for what must come.
pub const PATIENCE: Duration = Duration::from_secs(10);
/// How long it waits to see that something does not come.
pub const QUIET: Duration = Duration::from_millis(150);

/// Waits until a condition holds.
pub fn until(what: &str, holds: impl FnMut() -> bool) {
    until_in(PATIENCE, what, holds);
}

/// The same with another patience.
pub fn until_in(patience: Duration, what: &str, mut holds: impl FnMut() -> bool) {
    let end = Instant::now() + patience;
    while !holds() {
        assert!(Instant::now() < end, "in vain: {what}");
        thread::sleep(Duration::from_millis(2));
    }
}

/// The Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap();
    u64::try_from(since.as_millis()).unwrap()
}

/// An address on which nobody listens.
pub fn free_address() -> SocketAddr {
    reserve().1
}

/// A socket that holds such an address as long as it lives, and the address. It never listens: processes that other
/// threads start just then hold a copy of it for a moment, which would take connections in place of whoever is to
/// listen there, or keep the address from it.
pub fn reserve() -> (Socket, SocketAddr) {
    // An address of its own: a port alone may be taken by another test before its gateway listens.
    let n = next_number();
    let part = |n: u64, of: u64, from: u64| u8::try_from(n % of + from).unwrap();
    let at = [127, part(std::process::id().into(), 200, 20), part(n / 250, 250, 1), part(n, 250, 1)];
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    // So that another may bind to it while this one, or a copy, is still open.
    socket.set_reuse_address(true).unwrap();
    socket.bind(&SocketAddr::from((at, 0)).into()).unwrap();
    let address = socket.local_addr().unwrap().as_socket().unwrap();
    (socket, address)
}

static NEXT: AtomicU64 = AtomicU64::new(1);

/// A number that no other caller in this process gets.
pub fn next_number() -> u64 {
    NEXT.fetch_add(1, Ordering::SeqCst)
}
