//! Relays for the datagrams between instances. Each instance is reached at a relay of its own, which tells by the sender's
//! address which pair of instances a datagram is between, and can cut that pair alone.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap, HashMap};
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Bytes of the largest datagram that is relayed whole.
const LARGEST_DATAGRAM: usize = 4096;
/// Longest wait for a datagram while none is delayed, and while some are, ms.
const IDLE_WAIT_MS: u64 = 20;
/// See `IDLE_WAIT_MS`.
const BUSY_WAIT_MS: u64 = 1;

/// How datagrams fare on their way.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DatagramFaults {
    /// Share that is lost, 0 to 1.
    pub lost_share: f64,
    /// Share that comes twice, 0 to 1.
    pub duplicated_share: f64,
    /// The most milliseconds that one takes; the delay of each is drawn anew, so that they come out of order.
    pub max_delay_ms: u64,
}

/// Datagrams that instances sent, whether they arrived or not.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DatagramCounts {
    /// How many.
    pub datagrams: u64,
    /// Their bytes.
    pub bytes: u64,
}

/// What the relays' threads and their owner share.
#[derive(Default)]
struct Shared {
    /// Instances by the address that they send from.
    senders: Mutex<HashMap<SocketAddr, usize>>,
    faults: Mutex<DatagramFaults>,
    /// Pairs between which nothing passes: (from, to).
    cuts: Mutex<BTreeSet<(usize, usize)>>,
    is_over: AtomicBool,
    datagrams: AtomicU64,
    bytes: AtomicU64,
}

/// The relays to all instances; their threads end when it is dropped.
pub struct Relays {
    shared: Arc<Shared>,
    /// Where each instance is reached.
    pub addresses: Vec<SocketAddr>,
}

impl Relays {
    /// Starts a relay to each address. The instances send from the same addresses.
    ///
    /// # Panics
    ///
    /// If no loopback port is free.
    pub fn to(targets: &[SocketAddr], seed: u64) -> Self {
        let shared = Arc::<Shared>::default();
        let addresses = targets.iter().enumerate().map(|(to, target)| {
            shared.senders.lock().unwrap().insert(*target, to);
            let socket = UdpSocket::bind("127.0.0.1:0").expect("a loopback address is free");
            let address = socket.local_addr().expect("it is bound");
            let seed = seed ^ (to as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
            let relay = Relay {
                shared: shared.clone(),
                socket,
                to,
                target: *target,
                rng: Pcg64Mcg::seed_from_u64(seed),
                delayed: DelayQueue::default(),
            };
            thread::spawn(move || relay.run());
            address
        });
        let addresses = addresses.collect();
        Relays { shared, addresses }
    }

    /// Sets how all datagrams fare from now on.
    ///
    /// # Panics
    /// Panics if a thread panicked while it held the lock.
    pub fn set_faults(&self, faults: DatagramFaults) {
        *self.shared.faults.lock().unwrap() = faults;
    }

    /// Cuts pairs, as (from, to).
    ///
    /// # Panics
    /// Panics if a thread panicked while it held the lock.
    pub fn cut(&self, pairs: impl IntoIterator<Item = (usize, usize)>) {
        self.shared.cuts.lock().unwrap().extend(pairs);
    }

    /// Joins pairs again.
    ///
    /// # Panics
    /// Panics if a thread panicked while it held the lock.
    pub fn join(&self, pairs: impl IntoIterator<Item = (usize, usize)>) {
        let mut cuts = self.shared.cuts.lock().unwrap();
        for pair in pairs {
            cuts.remove(&pair);
        }
    }

    /// What the instances have sent so far.
    pub fn sent(&self) -> DatagramCounts {
        DatagramCounts {
            datagrams: self.shared.datagrams.load(Ordering::SeqCst),
            bytes: self.shared.bytes.load(Ordering::SeqCst),
        }
    }
}

impl Drop for Relays {
    fn drop(&mut self) {
        self.shared.is_over.store(true, Ordering::SeqCst);
    }
}

/// Datagrams by the time at which they are due; of one time the first that came.
#[derive(Default)]
struct DelayQueue {
    due: BinaryHeap<Reverse<(Instant, u64)>>,
    datagrams: HashMap<u64, Vec<u8>>,
    last_number: u64,
}

impl DelayQueue {
    fn push(&mut self, due: Instant, datagram: Vec<u8>) {
        self.last_number += 1;
        self.due.push(Reverse((due, self.last_number)));
        self.datagrams.insert(self.last_number, datagram);
    }

    /// The next datagram that is due.
    fn pop(&mut self, now: Instant) -> Option<Vec<u8>> {
        let Reverse((due, _)) = self.due.peek()?;
        if *due > now {
            return None;
        }
        let Reverse((_, number)) = self.due.pop()?;
        self.datagrams.remove(&number)
    }
}

/// The relay to one instance.
struct Relay {
    shared: Arc<Shared>,
    socket: UdpSocket,
    /// The instance's number.
    to: usize,
    /// Where it listens.
    target: SocketAddr,
    rng: Pcg64Mcg,
    delayed: DelayQueue,
}

impl Relay {
    fn run(mut self) {
        let mut buffer = [0; LARGEST_DATAGRAM];
        while !self.shared.is_over.load(Ordering::SeqCst) {
            while let Some(datagram) = self.delayed.pop(Instant::now()) {
                // Nobody listens where an instance has ended.
                let _ = self.socket.send_to(&datagram, self.target);
            }
            let wait = if self.delayed.due.is_empty() { IDLE_WAIT_MS } else { BUSY_WAIT_MS };
            let _ = self.socket.set_read_timeout(Some(Duration::from_millis(wait)));
            let Ok((length, from)) = self.socket.recv_from(&mut buffer) else { continue };
            self.relay(from, &buffer[..length]);
        }
    }

    /// Counts a datagram, and queues it as often as it is to arrive.
    fn relay(&mut self, from: SocketAddr, datagram: &[u8]) {
        self.shared.datagrams.fetch_add(1, Ordering::SeqCst);
        self.shared.bytes.fetch_add(datagram.len() as u64, Ordering::SeqCst);
        let sender = self.shared.senders.lock().unwrap().get(&from).copied();
        let faults = *self.shared.faults.lock().unwrap();
        let is_cut =
            sender.is_some_and(|sender| self.shared.cuts.lock().unwrap().contains(&(sender, self.to)));
        if is_cut || self.rng.random::<f64>() < faults.lost_share {
            return;
        }
        let copies = 1 + usize::from(self.rng.random::<f64>() < faults.duplicated_share);
        for _ in 0..copies {
            let delay = Duration::from_micros(self.rng.random_range(0..=faults.max_delay_ms * 1000));
            self.delayed.push(Instant::now() + delay, datagram.to_vec());
        }
    }
}
