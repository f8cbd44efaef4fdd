//! A site whose caches, parents, origin and control feed run by themselves: members look up, fill, join fills, store
//! copies by rank, drop purged copies after a while, and apply requests with a known idempotency key only once.

mod answer;
mod cache;
mod config;
mod connection;
mod gateways;
mod node;

pub use config::{NodeFault, NodeKind, SiteConfig, object_size, zone_name};

use crate::live_feed::LiveFeed;
use crate::record::{Fact, Record};
use crate::wait::{free_address, next_number, unix_ms, until};
use connection::{accept_shared_connections, start_node};
use node::{Node, SiteState};
use serde_json::{Value, json};
use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Instant;

/// The IP address of the first of the members that share a listener; the others' follow.
const FIRST_SHARED_ADDRESS: Ipv4Addr = Ipv4Addr::new(127, 240, 0, 1);

/// A site: its members, its feed, and the files of its gateways.
pub struct Site {
    /// The site's number.
    pub number: u32,
    /// The control feed that lists its members.
    pub feed: LiveFeed,
    state: Arc<SiteState>,
    /// Where the configuration files of its gateways are.
    folder: PathBuf,
}

impl Site {
    /// Starts its members and its feed.
    ///
    /// # Panics
    /// If no address or temporary folder is to be had.
    pub fn start(number: u32, config: SiteConfig, record: &Record) -> Self {
        let state = Arc::new(SiteState::new(number, config, record));
        let kinds =
            [(NodeKind::Cache, config.caches), (NodeKind::Parent, config.parents), (NodeKind::Origin, 1)];
        let members = kinds.into_iter().flat_map(|(kind, count)| {
            let zones = zones_of(kind, &config).into_iter();
            zones.flat_map(move |zone| std::iter::repeat_n((kind, zone), count))
        });
        let entries: Vec<Value> = if config.shared_listener {
            start_sharing_listener(&state, members)
        } else {
            members.map(|(kind, zone)| add_node(&state, kind, &zone, 0)).collect()
        };
        let folder =
            std::env::temp_dir().join(format!("deckproxy-lab-{}-{}", std::process::id(), next_number()));
        std::fs::create_dir_all(&folder).unwrap();
        Site { number, feed: LiveFeed::start(&entries), state, folder }
    }

    /// Names of the caches that run.
    pub fn caches(&self) -> Vec<String> {
        self.names(|node| node.kind == NodeKind::Cache)
    }

    /// Names of the caches of a zone.
    pub fn caches_in_zone(&self, zone: &str) -> Vec<String> {
        self.names(|node| node.kind == NodeKind::Cache && node.zone == zone)
    }

    /// Names of all members that run, with their addresses.
    ///
    /// # Panics
    /// Panics if a thread panicked while it held the lock.
    pub fn members(&self) -> Vec<(String, SocketAddr)> {
        let nodes = self.state.nodes.lock().unwrap();
        nodes.values().map(|node| (node.name.clone(), node.address)).collect()
    }

    /// Sets a member's fault; [`NodeFault::None`] ends it.
    ///
    /// # Panics
    /// Panics if a thread panicked while it held the lock.
    pub fn set_fault(&self, name: &str, fault: NodeFault) {
        if let Some(node) = self.state.node(name) {
            *node.fault.lock().unwrap() = fault;
        }
    }

    /// Ends a member's process; the feed reports nothing.
    pub fn crash(&self, name: &str) {
        if let Some(node) = self.state.node(name) {
            node.stop();
        }
    }

    /// Restarts a crashed member at its address, with an empty cache; the feed reports its new start time.
    ///
    /// # Panics
    /// If its address does not become free in time.
    pub fn restart(&self, name: &str) {
        let Some(crashed) = self.state.node(name) else { return };
        let mut listener = None;
        until("a crashed member's address is free again", || {
            listener = TcpListener::bind(crashed.address).ok();
            listener.is_some()
        });
        let listener = listener.expect("the wait ended with a listener");
        let entry =
            start_node(&self.state, listener, name.to_string(), crashed.kind, &crashed.zone, unix_ms());
        self.publish_member(&entry);
    }

    /// Starts a new cache in the first zone; the feed reports it.
    pub fn add_cache(&self) {
        let zone = zone_name(self.state.config.zones, 0);
        self.publish_member(&add_node(&self.state, NodeKind::Cache, &zone, unix_ms()));
    }

    /// Has the feed report that a member drains.
    pub fn drain(&self, name: &str) {
        let Some(node) = self.state.node(name) else { return };
        self.state.record.note(Fact::DrainAnnounced { member: name.to_string() });
        self.publish_member(&node.entry("Terminating", 0));
    }

    /// Ends a member, and has the feed report that it has gone.
    ///
    /// # Panics
    /// Panics if a thread panicked while it held the lock.
    pub fn remove(&self, name: &str) {
        let node = self.state.nodes.lock().unwrap().remove(name);
        let Some(node) = node else { return };
        self.publish_member(&node.entry("Gone", 0));
        node.stop();
    }

    /// Changes an object at its origin: all copies issued before are outdated.
    ///
    /// # Panics
    /// Panics if a thread panicked while it held the lock.
    pub fn change_object(&self, object: u64) {
        self.state.purged.lock().unwrap().insert(object, Instant::now());
    }

    /// Has this site's feed publish a purge that was made at that Unix ms.
    pub fn publish_purge(&self, object: u64, group: u32, at: u64) {
        self.state.record.note(Fact::PurgeAnnounced { site: self.number, object: Some(object), group, at });
        self.feed.publish(json!({"purge": {"key": format!("{object:016x}"), "at": at}}));
    }

    /// Makes each request take this much longer at the origin, ms.
    pub fn slow_origin(&self, ms: u64) {
        self.state.origin_slowdown_ms.store(ms, Ordering::SeqCst);
    }

    fn names(&self, matches: impl Fn(&Node) -> bool) -> Vec<String> {
        let nodes = self.state.nodes.lock().unwrap();
        nodes.values().filter(|node| matches(node)).map(|node| node.name.clone()).collect()
    }

    /// Number of connections that its members have accepted.
    pub fn connections_accepted(&self) -> usize {
        self.state.connections_accepted.load(Ordering::SeqCst)
    }

    /// Has the feed report the complete list of its members once more.
    ///
    /// # Panics
    /// Panics if a thread panicked while it held the lock.
    pub fn publish_all_members(&self) {
        let entries: Vec<Value> =
            self.state.nodes.lock().unwrap().values().map(|node| node.entry("Ready", 0)).collect();
        self.feed.publish(json!({"members": {"revision": 2, "complete": true, "members": entries}}));
    }

    /// Has the feed report a member's entry once more, as ready.
    pub fn publish_ready(&self, name: &str) {
        if let Some(node) = self.state.node(name) {
            self.publish_member(&node.entry("Ready", 0));
        }
    }

    fn publish_member(&self, entry: &Value) {
        self.feed.publish(json!({"members": {"revision": 2, "complete": false, "members": [entry]}}));
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        let nodes = std::mem::take(&mut *self.state.nodes.lock().unwrap());
        for node in nodes.values() {
            node.stop();
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// The zones in which a site has members of a kind.
fn zones_of(kind: NodeKind, config: &SiteConfig) -> Vec<String> {
    match kind {
        NodeKind::Cache => (0..config.zones).map(|index| zone_name(config.zones, index)).collect(),
        NodeKind::Parent | NodeKind::Origin => vec!["hub".to_string()],
    }
}

/// Starts members that share a listener; returns their entries in the member list.
fn start_sharing_listener(
    state: &Arc<SiteState>,
    members: impl Iterator<Item = (NodeKind, String)>,
) -> Vec<Value> {
    let listener = TcpListener::bind((Ipv4Addr::UNSPECIFIED, 0)).unwrap();
    listener.set_nonblocking(true).unwrap();
    let port = listener.local_addr().unwrap().port();
    let mut nodes = HashMap::new();
    for (index, (kind, zone)) in members.enumerate() {
        let offset = u32::try_from(index).expect("fewer members than addresses");
        let address = SocketAddr::from((Ipv4Addr::from(FIRST_SHARED_ADDRESS.to_bits() + offset), port));
        nodes.insert(address, Arc::new(Node::new(member_name(state), kind, &zone, address)));
    }
    let entries = nodes.values().map(|node| node.entry("Ready", 0)).collect();
    state.nodes.lock().unwrap().extend(nodes.values().map(|node| (node.name.clone(), node.clone())));
    let state = state.clone();
    thread::spawn(move || accept_shared_connections(&state, &listener, &nodes));
    entries
}

fn member_name(state: &SiteState) -> String {
    format!("s-{}{:07x}", state.site, next_number())
}

/// Starts a new member at an address of its own; returns its entry in the member list.
fn add_node(state: &Arc<SiteState>, kind: NodeKind, zone: &str, since: u64) -> Value {
    let listener = TcpListener::bind(free_address()).unwrap();
    start_node(state, listener, member_name(state), kind, zone, since)
}
