//! The state of a site's members, and what all members of a site share.

use super::config::{NodeFault, NodeKind, SiteConfig};
use crate::record::Record;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::{Value, json};
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// A part of an object: the object's number and the part's.
pub(super) type Part = (u64, u32);

/// The copies that a cache has, and the fills that are in flight.
#[derive(Default)]
pub(super) struct Store {
    /// When the origin issued each copy, Unix ms.
    pub copies: HashMap<Part, u64>,
    /// The copies in the order in which they were stored.
    pub order: VecDeque<Part>,
    /// Parts that are being filled.
    pub filling: HashSet<Part>,
}

/// A member of a site.
pub(super) struct Node {
    pub name: String,
    pub kind: NodeKind,
    pub zone: String,
    pub address: SocketAddr,
    pub fault: Mutex<NodeFault>,
    pub store: Mutex<Store>,
    /// Signalled when a fill has ended.
    pub filled: Condvar,
    pub running: AtomicBool,
    /// Open connections by number.
    pub connections: Mutex<HashMap<u64, Arc<TcpStream>>>,
}

impl Node {
    /// A member that runs and has no copies.
    pub fn new(name: String, kind: NodeKind, zone: &str, address: SocketAddr) -> Self {
        Node {
            name,
            kind,
            zone: zone.to_string(),
            address,
            fault: Mutex::default(),
            store: Mutex::default(),
            filled: Condvar::new(),
            running: AtomicBool::new(true),
            connections: Mutex::default(),
        }
    }

    /// Closes its listener and its connections.
    pub fn stop(&self) {
        self.running.store(false, Ordering::SeqCst);
        for stream in std::mem::take(&mut *self.connections.lock().unwrap()).into_values() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Its entry in the control feed's member list; `since`: when its process started, Unix ms, 0 for unknown.
    pub fn entry(&self, phase: &str, since: u64) -> Value {
        json!({"id": self.name, "host_port": self.address.to_string(), "locality": self.zone,
            "flavor": self.kind.machine_type(), "cell": 0, "phase": phase, "size": 100, "up_since_ms": since})
    }
}

/// What all members of a site share.
pub(super) struct SiteState {
    /// The site's number.
    pub site: u32,
    pub config: SiteConfig,
    pub record: Record,
    /// The members by name.
    pub nodes: Mutex<BTreeMap<String, Arc<Node>>>,
    /// Idempotency keys of the requests that took effect.
    pub applied_keys: Mutex<HashSet<String>>,
    /// When each object was purged last.
    pub purged: Mutex<HashMap<u64, Instant>>,
    /// Seed of the next random draw.
    pub next_seed: AtomicU64,
    /// Additional time that each request takes at the origin, ms.
    pub origin_slowdown_ms: AtomicU64,
    /// Connections that the members have accepted.
    pub connections_accepted: AtomicUsize,
    /// Requests that the origin processes.
    pub origin_in_flight: Mutex<usize>,
    /// Signalled when the origin has processed a request.
    pub origin_freed: Condvar,
}

impl SiteState {
    /// A site without members.
    pub fn new(site: u32, config: SiteConfig, record: &Record) -> Self {
        SiteState {
            site,
            config,
            record: record.clone(),
            nodes: Mutex::default(),
            applied_keys: Mutex::default(),
            purged: Mutex::default(),
            next_seed: AtomicU64::new(u64::from(site) + 1),
            origin_slowdown_ms: AtomicU64::new(0),
            connections_accepted: AtomicUsize::new(0),
            origin_in_flight: Mutex::new(0),
            origin_freed: Condvar::new(),
        }
    }

    /// The member of that name.
    pub fn node(&self, name: &str) -> Option<Arc<Node>> {
        self.nodes.lock().unwrap().get(name).cloned()
    }

    /// The site's origin.
    pub fn origin(&self) -> Option<Arc<Node>> {
        self.nodes.lock().unwrap().values().find(|node| node.kind == NodeKind::Origin).cloned()
    }

    /// Sleeps for that time and a random half of it more.
    pub fn pause(&self, ms: u64) {
        let extra_us = self.random().random_range(0..=ms * 500 + 100);
        thread::sleep(Duration::from_micros(ms * 1000 + extra_us));
    }

    /// Applies a member's fault to a request or a health check; returns whether it is then answered normally.
    pub fn apply_fault(&self, node: &Node) -> bool {
        let fault = *node.fault.lock().unwrap();
        match fault {
            NodeFault::None => true,
            NodeFault::Hangs => false,
            NodeFault::Slow(ms) => {
                self.pause(ms);
                true
            }
            NodeFault::Fails(share) => self.random().random::<f64>() >= share,
        }
    }

    fn random(&self) -> Pcg64Mcg {
        Pcg64Mcg::seed_from_u64(self.next_seed.fetch_add(1, Ordering::SeqCst))
    }
}
