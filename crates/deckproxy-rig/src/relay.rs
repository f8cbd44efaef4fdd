//! Datagrams between instances: each is reached at a relay of its own, which knows by the sender's address which pair a
//! datagram is between, and hurts that pair alone.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap, HashMap};
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// How datagrams fare.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Fate {
    /// Share that is lost.
    pub lost: f64,
    /// Share that comes twice.
    pub doubled: f64,
    /// Milliseconds that one takes at most.
    pub late: u64,
}

#[derive(Default)]
struct Shared {
    /// Instances by the address that they send from.
    senders: Mutex<HashMap<SocketAddr, usize>>,
    fate: Mutex<Fate>,
    /// Pairs between which nothing passes: (from, to).
    cuts: Mutex<BTreeSet<(usize, usize)>>,
    over: AtomicBool,
    /// Datagrams and bytes that instances sent, lost or not.
    sent: AtomicU64,
    bytes: AtomicU64,
}

/// Relays to all instances.
pub struct Relays {
    shared: Arc<Shared>,
    /// Where each instance is reached.
    pub addresses: Vec<SocketAddr>,
}

impl Relays {
    /// Starts one to each address; those also are what the instances send from.
    pub fn to(targets: &[SocketAddr], seed: u64) -> Self {
        let shared = Arc::<Shared>::default();
        let addresses = targets.iter().enumerate().map(|(to, target)| {
            shared.senders.lock().unwrap().insert(*target, to);
            let socket = UdpSocket::bind("127.0.0.1:0").expect("a loopback address is free");
            let address = socket.local_addr().expect("it is bound");
            let (shared, target) = (shared.clone(), *target);
            let seed = seed ^ (to as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
            thread::spawn(move || relay(&shared, &socket, to, target, seed));
            address
        });
        let addresses = addresses.collect();
        Relays { shared, addresses }
    }

    /// From now on all datagrams fare so.
    pub fn fate(&self, fate: Fate) {
        *self.shared.fate.lock().unwrap() = fate;
    }

    /// Cuts pairs, as (from, to).
    pub fn cut(&self, pairs: impl IntoIterator<Item = (usize, usize)>) {
        self.shared.cuts.lock().unwrap().extend(pairs);
    }

    /// Joins pairs again.
    pub fn join(&self, pairs: impl IntoIterator<Item = (usize, usize)>) {
        let mut cuts = self.shared.cuts.lock().unwrap();
        for pair in pairs {
            cuts.remove(&pair);
        }
    }

    /// Datagrams that instances sent, and their bytes.
    pub fn sent(&self) -> (u64, u64) {
        (self.shared.sent.load(Ordering::SeqCst), self.shared.bytes.load(Ordering::SeqCst))
    }
}

impl Drop for Relays {
    fn drop(&mut self) {
        self.shared.over.store(true, Ordering::SeqCst);
    }
}

/// Datagrams on their way, by the time at which they are due; of one time the first that came.
#[derive(Default)]
struct Way {
    due: BinaryHeap<Reverse<(Instant, u64)>>,
    bytes: HashMap<u64, Vec<u8>>,
    next: u64,
}

impl Way {
    fn put(&mut self, at: Instant, bytes: Vec<u8>) {
        self.next += 1;
        self.due.push(Reverse((at, self.next)));
        self.bytes.insert(self.next, bytes);
    }

    fn take(&mut self, now: Instant) -> Option<Vec<u8>> {
        let Reverse((at, _)) = self.due.peek()?;
        if *at > now {
            return None;
        }
        let Reverse((_, order)) = self.due.pop()?;
        self.bytes.remove(&order)
    }
}

fn relay(shared: &Shared, socket: &UdpSocket, to: usize, target: SocketAddr, seed: u64) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut way = Way::default();
    let mut buffer = [0; 4096];
    while !shared.over.load(Ordering::SeqCst) {
        while let Some(bytes) = way.take(Instant::now()) {
            // Nobody listens where an instance has ended.
            let _ = socket.send_to(&bytes, target);
        }
        // While nothing is on its way there is nothing to wait for but the end.
        let wait = if way.due.is_empty() { 20 } else { 1 };
        let _ = socket.set_read_timeout(Some(Duration::from_millis(wait)));
        let Ok((n, from)) = socket.recv_from(&mut buffer) else { continue };
        shared.sent.fetch_add(1, Ordering::SeqCst);
        shared.bytes.fetch_add(n as u64, Ordering::SeqCst);
        let from = shared.senders.lock().unwrap().get(&from).copied();
        let fate = *shared.fate.lock().unwrap();
        let cut = from.is_some_and(|from| shared.cuts.lock().unwrap().contains(&(from, to)));
        if cut || rng.random::<f64>() < fate.lost {
            continue;
        }
        let copies = 1 + usize::from(rng.random::<f64>() < fate.doubled);
        for _ in 0..copies {
            let late = Duration::from_micros(rng.random_range(0..=fate.late * 1000));
            way.put(Instant::now() + late, buffer[..n].to_vec());
        }
    }
}
