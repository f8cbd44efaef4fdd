//! Waiting for conditions, free addresses, the clock.

use rustix::time::{ClockId, clock_gettime};
use socket2::{Domain, Socket, Type};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// How long a test waits for an expected event.
pub const PATIENCE: Duration = Duration::from_secs(10);
/// How long a test waits to see that an event does not occur.
pub const QUIET: Duration = Duration::from_millis(150);
/// Time between two evaluations of a condition.
const POLL: Duration = Duration::from_millis(2);

/// Waits until a condition holds, for [`PATIENCE`] at most.
///
/// # Panics
/// If it doesn't hold in time.
pub fn until(what: &str, holds: impl FnMut() -> bool) {
    until_in(PATIENCE, what, holds);
}

/// Waits until a condition holds, for so long at most.
///
/// # Panics
/// If it doesn't hold in time.
pub fn until_in(patience: Duration, what: &str, mut holds: impl FnMut() -> bool) {
    let end = Instant::now() + patience;
    while !holds() {
        assert!(Instant::now() < end, "timed out: {what}");
        thread::sleep(POLL);
    }
}

/// The Unix time in milliseconds.
///
/// # Panics
/// If the clock is before 1970.
pub fn unix_ms() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap();
    u64::try_from(since.as_millis()).unwrap()
}

/// CPU time that the calling thread has used, ns.
pub fn thread_cpu_ns() -> i64 {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    time.tv_sec * 1_000_000_000 + time.tv_nsec
}

/// An address on which nobody listens.
pub fn free_address() -> SocketAddr {
    reserve().1
}

/// A socket that reserves a free address as long as it lives, and the address. It never listens: a process that another
/// thread starts at that moment has a copy of it for a short time, which would otherwise take connections in place of
/// the intended listener, or keep the address from it.
///
/// # Panics
/// If no socket can be bound.
pub fn reserve() -> (Socket, SocketAddr) {
    // An IP address of its own: a port alone may be taken by another test before its gateway listens.
    let n = next_number();
    let part = |n: u64, of: u64, from: u64| u8::try_from(n % of + from).unwrap();
    let ip = [127, part(std::process::id().into(), 200, 20), part(n / 250, 250, 1), part(n, 250, 1)];
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    // So that another process may bind to it while this socket, or a copy of it, is still open.
    socket.set_reuse_address(true).unwrap();
    socket.bind(&SocketAddr::from((ip, 0)).into()).unwrap();
    let address = socket.local_addr().unwrap().as_socket().unwrap();
    (socket, address)
}

static NEXT: AtomicU64 = AtomicU64::new(1);

/// A number that no other caller in this process gets.
pub fn next_number() -> u64 {
    NEXT.fetch_add(1, Ordering::SeqCst)
}
