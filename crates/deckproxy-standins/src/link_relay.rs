//! A link with faults: a TCP relay between two loopback addresses that can be delayed, throttled and cut.

use crate::wait::next_number;
use std::collections::{HashMap, VecDeque};
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Bytes that a link passes at once, at most.
const MAX_CHUNK: usize = 16 * 1024;
/// Bytes that a link without a throttle queues in each direction.
const UNTHROTTLED_QUEUE: usize = 256 * 1024;
/// How long a thread sleeps when nothing can pass, and a read waits for bytes.
const POLL: Duration = Duration::from_millis(1);
/// How long the relay waits for its connection to the target.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// The state of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkState {
    /// Bytes pass.
    Up,
    /// Connections are reset, and new ones too.
    Reset,
    /// Connections stay open, new ones are accepted, and nothing passes.
    Silent,
    /// Nothing passes from the side that connected; the other direction works.
    HalfOpen,
}

/// One connection through the relay.
struct Pair {
    client: TcpStream,
    target: TcpStream,
}

struct Shared {
    state: Mutex<LinkState>,
    /// Delay of each direction, microseconds.
    delay_us: AtomicU64,
    /// Bytes a millisecond in each direction; 0 for no limit.
    bytes_per_ms: AtomicU64,
    running: AtomicBool,
    pairs: Mutex<HashMap<u64, Pair>>,
    /// Bytes relayed so far, both directions.
    relayed: AtomicU64,
}

/// A relay to one address.
pub struct LinkRelay {
    /// Where it listens.
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl LinkRelay {
    /// Starts a relay to an address.
    ///
    /// # Panics
    /// If it can't listen.
    pub fn to(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        shrink_buffers(&socket2::SockRef::from(&listener));
        let address = listener.local_addr().unwrap();
        listener.set_nonblocking(true).unwrap();
        let shared = Arc::new(Shared {
            state: Mutex::new(LinkState::Up),
            delay_us: AtomicU64::new(0),
            bytes_per_ms: AtomicU64::new(0),
            running: AtomicBool::new(true),
            pairs: Mutex::default(),
            relayed: AtomicU64::new(0),
        });
        let own = shared.clone();
        thread::spawn(move || accept_connections(&own, &listener, target));
        LinkRelay { address, shared }
    }

    /// Changes the state of the link; [`LinkState::Reset`] resets all connections.
    ///
    /// # Panics
    /// Panics if a thread panicked while it held the lock.
    pub fn set_state(&self, state: LinkState) {
        *self.shared.state.lock().unwrap() = state;
        if state == LinkState::Reset {
            for pair in std::mem::take(&mut *self.shared.pairs.lock().unwrap()).into_values() {
                reset(&pair.client);
                reset(&pair.target);
            }
        }
    }

    /// Sets the delay of each direction, for bytes that are read from now on.
    pub fn set_delay(&self, one_way: Duration) {
        let delay_us = u64::try_from(one_way.as_micros()).unwrap_or(u64::MAX);
        self.shared.delay_us.store(delay_us, Ordering::SeqCst);
    }

    /// Limits each direction to so many bytes a millisecond; 0 for no limit.
    pub fn throttle(&self, bytes_per_ms: u64) {
        self.shared.bytes_per_ms.store(bytes_per_ms, Ordering::SeqCst);
    }

    /// Bytes relayed so far, both directions.
    pub fn bytes_relayed(&self) -> u64 {
        self.shared.relayed.load(Ordering::SeqCst)
    }

    /// Connections that are open.
    ///
    /// # Panics
    /// Panics if a thread panicked while it held the lock.
    pub fn open_connections(&self) -> usize {
        self.shared.pairs.lock().unwrap().len()
    }
}

impl Drop for LinkRelay {
    fn drop(&mut self) {
        self.shared.running.store(false, Ordering::SeqCst);
        self.set_state(LinkState::Reset);
    }
}

/// Gives a socket the segments of a real network and small buffers in the kernel: loopback's own segments of 64 KB
/// would hide what a narrow link does.
fn shrink_buffers(socket: &socket2::Socket) {
    let _ = socket.set_tcp_mss(1400);
    let _ = socket.set_recv_buffer_size(32 * 1024);
    let _ = socket.set_send_buffer_size(32 * 1024);
}

fn accept_connections(shared: &Arc<Shared>, listener: &TcpListener, target: SocketAddr) {
    while shared.running.load(Ordering::SeqCst) {
        let Ok((client, _)) = listener.accept() else {
            thread::sleep(POLL);
            continue;
        };
        client.set_nonblocking(false).unwrap();
        if *shared.state.lock().unwrap() == LinkState::Reset {
            reset(&client);
            continue;
        }
        match connect(target) {
            Ok(target) => relay_connection(shared, client, target),
            Err(_) => reset(&client),
        }
    }
}

fn connect(target: SocketAddr) -> std::io::Result<TcpStream> {
    let socket = socket2::Socket::new(socket2::Domain::for_address(target), socket2::Type::STREAM, None)?;
    shrink_buffers(&socket);
    socket.connect_timeout(&target.into(), CONNECT_TIMEOUT)?;
    Ok(socket.into())
}

fn reset(stream: &TcpStream) {
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
    let _ = stream.shutdown(Shutdown::Both);
}

/// Starts a thread for each direction of a connection.
fn relay_connection(shared: &Arc<Shared>, client: TcpStream, target: TcpStream) {
    let id = next_number();
    let _ = (client.set_nodelay(true), target.set_nodelay(true));
    let copies = client.try_clone().and_then(|client| Ok(Pair { client, target: target.try_clone()? }));
    let Ok(pair) = copies else { return };
    shared.pairs.lock().unwrap().insert(id, pair);
    let directions = [
        (client.try_clone(), target.try_clone(), Direction::ToTarget),
        (Ok(target), Ok(client), Direction::ToClient),
    ];
    for (from, to, direction) in directions {
        let (Ok(from), Ok(to)) = (from, to) else { return };
        let shared = shared.clone();
        thread::spawn(move || {
            relay_direction(&shared, id, &from, &to, direction);
            // The end of one direction ends both, as with a connection that breaks on a link.
            if let Some(pair) = shared.pairs.lock().unwrap().remove(&id) {
                let _ = (pair.client.shutdown(Shutdown::Both), pair.target.shutdown(Shutdown::Both));
            }
        });
    }
}

#[derive(Clone, Copy, PartialEq)]
enum Direction {
    ToTarget,
    ToClient,
}

/// Bytes that a link of so many bytes a millisecond (0: no limit) passes at once: what it carries in 5 ms.
fn chunk_size(bytes_per_ms: u64) -> usize {
    if bytes_per_ms == 0 {
        return MAX_CHUNK;
    }
    usize::try_from(bytes_per_ms.saturating_mul(5)).map_or(MAX_CHUNK, |bytes| bytes.clamp(256, MAX_CHUNK))
}

/// The bytes of one direction that were read and not yet written.
struct Queue {
    /// Each chunk with the time at which its delay has passed.
    chunks: VecDeque<(Instant, Vec<u8>)>,
    /// Until when the throttled link is busy with the chunk before.
    busy_until: Instant,
}

impl Queue {
    fn len(&self) -> usize {
        self.chunks.iter().map(|(_, bytes)| bytes.len()).sum()
    }

    /// Writes all chunks that are due.
    fn write_due(&mut self, shared: &Shared, mut to: &TcpStream) -> std::io::Result<()> {
        while self
            .chunks
            .front()
            .is_some_and(|(due, _)| *due <= Instant::now() && self.busy_until <= Instant::now())
        {
            let Some((due, mut bytes)) = self.chunks.pop_front() else { break };
            // Bytes that were read before the throttle was set are cut to its chunks too: written at once, they would
            // be followed by silence for as long as they take, and a slow link would look like a cut one.
            let bytes_per_ms = shared.bytes_per_ms.load(Ordering::SeqCst);
            let rest = bytes.split_off(chunk_size(bytes_per_ms).min(bytes.len()));
            if !rest.is_empty() {
                self.chunks.push_front((due, rest));
            }
            if let Some(took_us) = (bytes.len() as u64 * 1000).checked_div(bytes_per_ms) {
                self.busy_until = self.busy_until.max(Instant::now()) + Duration::from_micros(took_us);
            }
            to.write_all(&bytes)?;
            shared.relayed.fetch_add(bytes.len() as u64, Ordering::SeqCst);
        }
        Ok(())
    }
}

fn relay_direction(shared: &Shared, id: u64, mut from: &TcpStream, to: &TcpStream, direction: Direction) {
    let _ = from.set_read_timeout(Some(POLL));
    let mut queue = Queue { chunks: VecDeque::new(), busy_until: Instant::now() };
    let mut buffer = vec![0; MAX_CHUNK];
    while shared.running.load(Ordering::SeqCst) && shared.pairs.lock().unwrap().contains_key(&id) {
        let state = *shared.state.lock().unwrap();
        let blocked =
            state == LinkState::Silent || state == LinkState::HalfOpen && direction == Direction::ToTarget;
        if blocked {
            // The queue stays as it is.
            thread::sleep(POLL);
            continue;
        }
        // A throttled link has a short queue and passes little at a time, so that the rest waits at the sender.
        let bytes_per_ms = shared.bytes_per_ms.load(Ordering::SeqCst);
        let capacity = if bytes_per_ms > 0 { MAX_CHUNK } else { UNTHROTTLED_QUEUE };
        if queue.len() < capacity {
            match from.read(&mut buffer[..chunk_size(bytes_per_ms)]) {
                Ok(0) => return,
                Ok(n) => {
                    let delay = Duration::from_micros(shared.delay_us.load(Ordering::SeqCst));
                    queue.chunks.push_back((Instant::now() + delay, buffer[..n].to_vec()));
                }
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                Err(_) => return,
            }
        } else {
            thread::sleep(POLL);
        }
        if queue.write_due(shared, to).is_err() {
            return;
        }
    }
}
