//! The calls of the C library that the standard library has no name for.

use std::os::fd::AsRawFd;

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, bytes: u32) -> i32;
    fn poll(sockets: *mut Polled, count: std::ffi::c_ulong, timeout_ms: i32) -> i32;
}

/// A `struct pollfd`.
#[repr(C)]
struct Polled {
    socket: i32,
    events: i16,
    found: i16,
}

const POLLIN: i16 = 1;
const SOL_SOCKET: i32 = 1;
const SO_RCVBUF: i32 = 8;
const SO_LINGER: i32 = 13;

/// Sends a signal to a process that this one started and has not waited for.
pub fn send_signal(process: u32, signal: i32) {
    // SAFETY: a call without pointers.
    unsafe { kill(process as i32, signal) };
}

/// Makes the close of a socket a reset.
pub fn reset_on_close(socket: &impl AsRawFd) {
    // A `struct linger`: on, with no time.
    let linger: [i32; 2] = [1, 0];
    // SAFETY: the pointer is to eight bytes that live through the call.
    unsafe { setsockopt(socket.as_raw_fd(), SOL_SOCKET, SO_LINGER, linger.as_ptr(), 8) };
}

/// Limits how many bytes the kernel takes for a socket that nobody reads.
pub fn limit_receive_buffer(socket: &impl AsRawFd, bytes: i32) {
    // SAFETY: the pointer is to four bytes that live through the call.
    unsafe { setsockopt(socket.as_raw_fd(), SOL_SOCKET, SO_RCVBUF, &raw const bytes, 4) };
}

/// Waits until some of the sockets can be read, for so many ms at most; returns their positions.
pub fn wait_readable(sockets: &[impl AsRawFd], timeout_ms: i32) -> Vec<usize> {
    let polled = |socket: &_| Polled { socket: AsRawFd::as_raw_fd(socket), events: POLLIN, found: 0 };
    let mut all: Vec<Polled> = sockets.iter().map(polled).collect();
    // SAFETY: the pointer is to that many structures, which live through the call.
    unsafe { poll(all.as_mut_ptr(), all.len() as std::ffi::c_ulong, timeout_ms) };
    (0..all.len()).filter(|position| all[*position].found != 0).collect()
}
