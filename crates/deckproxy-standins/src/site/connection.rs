//! A member's connections: it accepts them, reads commands and answers them.

use super::answer::{self, Request, Response};
use super::config::{NodeFault, NodeKind};
use super::node::{Node, SiteState};
use crate::member::{Member as Codec, take_command};
use crate::record::Fact;
use crate::wait::next_number;
use serde_json::Value;
use std::collections::{HashMap, HashSet};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Bytes read at once.
const READ_CHUNK: usize = 64 * 1024;

/// Accepts the connections of all members that share a listener at all IP addresses, until the last one has ended.
pub(super) fn accept_shared_connections(
    site: &Arc<SiteState>,
    listener: &TcpListener,
    nodes: &HashMap<SocketAddr, Arc<Node>>,
) {
    while nodes.values().any(|node| node.running.load(Ordering::SeqCst)) {
        let Ok((stream, _)) = listener.accept() else {
            thread::sleep(Duration::from_millis(1));
            continue;
        };
        let node = stream.local_addr().ok().and_then(|address| nodes.get(&address));
        if let Some(node) = node.filter(|node| node.running.load(Ordering::SeqCst)) {
            serve_connection(site, node, stream);
        }
    }
}

/// Starts a member on a listener; returns its entry in the member list. `since`: when its process started, Unix ms.
pub(super) fn start_node(
    site: &Arc<SiteState>,
    listener: TcpListener,
    name: String,
    kind: NodeKind,
    zone: &str,
    since: u64,
) -> Value {
    listener.set_nonblocking(true).unwrap();
    let node = Arc::new(Node::new(name, kind, zone, listener.local_addr().unwrap()));
    site.nodes.lock().unwrap().insert(node.name.clone(), node.clone());
    let entry = node.entry("Ready", since);
    let site = site.clone();
    thread::spawn(move || accept_connections(&site, &node, &listener));
    entry
}

fn accept_connections(site: &Arc<SiteState>, node: &Arc<Node>, listener: &TcpListener) {
    while node.running.load(Ordering::SeqCst) {
        let Ok((stream, _)) = listener.accept() else {
            thread::sleep(Duration::from_millis(1));
            continue;
        };
        serve_connection(site, node, stream);
    }
}

fn serve_connection(site: &Arc<SiteState>, node: &Arc<Node>, stream: TcpStream) {
    site.connections_accepted.fetch_add(1, Ordering::SeqCst);
    let (site, node) = (site.clone(), node.clone());
    thread::spawn(move || Connection::new(site, node, stream).serve());
}

/// One connection to a member.
#[derive(Clone)]
struct Connection {
    site: Arc<SiteState>,
    node: Arc<Node>,
    stream: Arc<TcpStream>,
    /// Names of the attempts in flight.
    in_flight: Arc<Mutex<HashSet<String>>>,
}

impl Connection {
    fn new(site: Arc<SiteState>, node: Arc<Node>, stream: TcpStream) -> Self {
        let _ = (stream.set_nonblocking(false), stream.set_nodelay(true));
        Connection { site, node, stream: Arc::new(stream), in_flight: Arc::default() }
    }

    /// Reads and answers commands until the connection ends.
    fn serve(&self) {
        let number = next_number();
        self.node.connections.lock().unwrap().insert(number, self.stream.clone());
        let mut buffer = Vec::new();
        let mut chunk = vec![0; READ_CHUNK];
        while let Ok(n @ 1..) = (&*self.stream).read(&mut chunk) {
            buffer.extend_from_slice(&chunk[..n]);
            while let Some(words) = take_command(&mut buffer) {
                self.handle(&words);
            }
        }
        self.node.connections.lock().unwrap().remove(&number);
        for name in std::mem::take(&mut *self.in_flight.lock().unwrap()) {
            self.site.record.note(Fact::AttemptEnded { name, member: self.node.name.clone() });
        }
    }

    fn handle(&self, words: &[Vec<u8>]) {
        let word = |index: usize| String::from_utf8_lossy(&words[index]).into_owned();
        match word(0).as_str() {
            "ASK" => self.start_attempt(word(1), &word(2)),
            "QUIT" => self.end_attempt(&word(1)),
            _ => self.answer_health_check(&word(1)),
        }
    }

    fn start_attempt(&self, name: String, fields: &str) {
        let request = Request::parse(fields);
        self.in_flight.lock().unwrap().insert(name.clone());
        self.site.record.note(Fact::AttemptReceived {
            name: name.clone(),
            site: self.site.site,
            member: self.node.name.clone(),
            class: request.class.clone(),
        });
        let connection = self.clone();
        thread::spawn(move || connection.answer(&name, &request));
    }

    fn answer(&self, name: &str, request: &Request) {
        self.site.pause(self.site.config.hit_ms);
        let hangs = *self.node.fault.lock().unwrap() == NodeFault::Hangs;
        if self.site.apply_fault(&self.node) {
            self.respond(name, &answer::answer(&self.site, &self.node, name, request));
        } else if !hangs {
            self.respond(name, &Response::failed());
        }
    }

    /// Writes a response, unless the attempt was cancelled.
    fn respond(&self, name: &str, response: &Response) {
        if !self.in_flight.lock().unwrap().contains(name) {
            return;
        }
        let bytes = Codec::encode(name, response.status, &response.fields, &response.body);
        let _ = (&*self.stream).write_all(&bytes);
        self.end_attempt(name);
    }

    fn end_attempt(&self, name: &str) {
        if self.in_flight.lock().unwrap().remove(name) {
            let member = self.node.name.clone();
            self.site.record.note(Fact::AttemptEnded { name: name.to_string(), member });
        }
    }

    fn answer_health_check(&self, name: &str) {
        self.site.record.note(Fact::HealthChecked { member: self.node.name.clone() });
        if self.site.apply_fault(&self.node) {
            let reply = Codec::encode(name, "alive", "rep=busy_reqs:0;x1:0", b"");
            let _ = (&*self.stream).write_all(&reply);
        }
    }
}
