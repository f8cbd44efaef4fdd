//! A link that can be delayed, throttled and cut: a TCP relay between two loopback addresses.

use crate::wait::next_number;
use std::collections::{HashMap, VecDeque};
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// How a link is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Bytes pass.
    Whole,
    /// Connections are reset and new ones refused.
    Reset,
    /// Connections stay open, new ones come up, and nothing passes.
    Silent,
    /// Nothing passes from the side that connected; the other way is whole.
    HalfOpen,
}

struct Shared {
    state: Mutex<State>,
    /// One way, in microseconds.
    delay: AtomicU64,
    /// Bytes a millisecond each way; 0: no bound.
    pace: AtomicU64,
    running: AtomicBool,
    open: Mutex<HashMap<u64, (TcpStream, TcpStream)>>,
    /// Bytes that passed.
    passed: AtomicU64,
}

/// A relay to one address.
pub struct Shim {
    /// Where it listens.
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl Shim {
    /// Starts one to an address.
    pub fn to(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        narrow(&socket2::SockRef::from(&listener));
        let address = listener.local_addr().unwrap();
        listener.set_nonblocking(true).unwrap();
        let shared = Arc::new(Shared {
            state: Mutex::new(State::Whole),
            delay: AtomicU64::new(0),
            pace: AtomicU64::new(0),
            running: AtomicBool::new(true),
            open: Mutex::default(),
            passed: AtomicU64::new(0),
        });
        let all = shared.clone();
        thread::spawn(move || {
            while all.running.load(Ordering::SeqCst) {
                let Ok((near, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                near.set_nonblocking(false).unwrap();
                if *all.state.lock().unwrap() == State::Reset {
                    reset(&near);
                    continue;
                }
                match connect(target) {
                    Ok(far) => join(&all, near, far),
                    Err(_) => reset(&near),
                }
            }
        });
        Shim { address, shared }
    }

    /// Changes how the link is.
    pub fn set(&self, state: State) {
        *self.shared.state.lock().unwrap() = state;
        if state == State::Reset {
            for (near, far) in std::mem::take(&mut *self.shared.open.lock().unwrap()).into_values() {
                reset(&near);
                reset(&far);
            }
        }
    }

    /// The delay of each way.
    pub fn delay(&self, one_way: Duration) {
        self.shared.delay.store(one_way.as_micros() as u64, Ordering::SeqCst);
    }

    /// The most bytes a millisecond each way; 0: no bound.
    pub fn throttle(&self, bytes_per_ms: u64) {
        self.shared.pace.store(bytes_per_ms, Ordering::SeqCst);
    }

    /// Bytes that passed, both ways.
    pub fn passed(&self) -> u64 {
        self.shared.passed.load(Ordering::SeqCst)
    }

    /// Connections that are open.
    pub fn open(&self) -> usize {
        self.shared.open.lock().unwrap().len()
    }
}

impl Drop for Shim {
    fn drop(&mut self) {
        self.shared.running.store(false, Ordering::SeqCst);
        self.set(State::Reset);
    }
}

/// Segments as on a real network, and little that the kernel holds for the relay: loopback's own segments of 64 KB
/// would hide what a narrow link does.
fn narrow(socket: &socket2::Socket) {
    let _ = socket.set_tcp_mss(1400);
    let _ = socket.set_recv_buffer_size(32 * 1024);
    let _ = socket.set_send_buffer_size(32 * 1024);
}

fn connect(target: SocketAddr) -> std::io::Result<TcpStream> {
    let socket = socket2::Socket::new(socket2::Domain::for_address(target), socket2::Type::STREAM, None)?;
    narrow(&socket);
    socket.connect_timeout(&target.into(), Duration::from_millis(300))?;
    Ok(socket.into())
}

fn reset(stream: &TcpStream) {
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
    let _ = stream.shutdown(Shutdown::Both);
}

fn join(all: &Arc<Shared>, near: TcpStream, far: TcpStream) {
    let id = next_number();
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let Ok(pair) = near.try_clone().and_then(|n| far.try_clone().map(|f| (n, f))) else { return };
    all.open.lock().unwrap().insert(id, pair);
    for (from, to, forward) in [(near.try_clone(), far.try_clone(), true), (Ok(far), Ok(near), false)] {
        let (Ok(from), Ok(to)) = (from, to) else { return };
        let all = all.clone();
        thread::spawn(move || {
            relay(&all, id, &from, &to, forward);
            // One way's end ends both, as a link's connection does.
            if let Some((near, far)) = all.open.lock().unwrap().remove(&id) {
                let _ = (near.shutdown(Shutdown::Both), far.shutdown(Shutdown::Both));
            }
        });
    }
}

/// Bytes that a link passes at once, at most.
const PIECE: usize = 16 * 1024;

/// Bytes that a link of so many bytes a millisecond (0: no bound) passes at once: what it carries in 5 ms.
fn piece_at(pace: u64) -> usize {
    if pace > 0 { (pace as usize * 5).clamp(256, PIECE) } else { PIECE }
}

fn relay(all: &Shared, id: u64, mut from: &TcpStream, mut to: &TcpStream, forward: bool) {
    let _ = from.set_read_timeout(Some(Duration::from_millis(1)));
    let mut waiting: VecDeque<(Instant, Vec<u8>)> = VecDeque::new();
    let mut chunk = vec![0; PIECE];
    let mut free = Instant::now();
    while all.running.load(Ordering::SeqCst) && all.open.lock().unwrap().contains_key(&id) {
        let state = *all.state.lock().unwrap();
        let stops = state == State::Silent || state == State::HalfOpen && forward;
        if stops {
            // What is on its way stays there.
            thread::sleep(Duration::from_millis(1));
            continue;
        }
        let held: usize = waiting.iter().map(|(_, bytes)| bytes.len()).sum();
        // A throttled link has a short queue, and passes little at a time: what waits longer waits at who sends it.
        let pace = all.pace.load(Ordering::SeqCst);
        let most = if pace > 0 { PIECE } else { 256 * 1024 };
        if held < most {
            match from.read(&mut chunk[..piece_at(pace)]) {
                Ok(0) => return,
                Ok(n) => {
                    let due = Instant::now() + Duration::from_micros(all.delay.load(Ordering::SeqCst));
                    waiting.push_back((due, chunk[..n].to_vec()));
                }
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                Err(_) => return,
            }
        } else {
            thread::sleep(Duration::from_millis(1));
        }
        while waiting.front().is_some_and(|(due, _)| *due <= Instant::now() && free <= Instant::now()) {
            let Some((due, mut bytes)) = waiting.pop_front() else { break };
            // What was read before a throttle came is cut to its pieces too: passed as a whole, it would leave a
            // hush as long as all of it takes, and a slow link would look like a cut one.
            let pace = all.pace.load(Ordering::SeqCst);
            let rest = bytes.split_off(piece_at(pace).min(bytes.len()));
            if !rest.is_empty() {
                waiting.push_front((due, rest));
            }
            if let Some(took) = (bytes.len() as u64 * 1000).checked_div(pace) {
                free = free.max(Instant::now()) + Duration::from_micros(took);
            }
            if to.write_all(&bytes).is_err() {
                return;
            }
            all.passed.fetch_add(bytes.len() as u64, Ordering::SeqCst);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_throttle_holds_for_what_was_read_before_it_came() {
        let behind = TcpListener::bind("127.0.0.1:0").unwrap();
        let shim = Shim::to(behind.local_addr().unwrap());
        let mut near = TcpStream::connect(shim.address).unwrap();
        let (mut far, _) = behind.accept().unwrap();
        // On its way for longer than the throttle takes to come.
        shim.delay(Duration::from_millis(800));
        near.write_all(&[7; PIECE]).unwrap();
        std::thread::sleep(Duration::from_millis(30));
        shim.throttle(64);
        // The whole takes 256 ms.
        let mut chunk = vec![0; PIECE];
        let first = far.read(&mut chunk).unwrap();
        let start = Instant::now();
        far.read_exact(&mut chunk[first..]).unwrap();
        assert!(first < PIECE / 4, "{first} bytes at once");
        assert!(start.elapsed() > Duration::from_millis(100), "{:?}", start.elapsed());
    }
}
