//! A collector of IPFIX flow records that shares no code with the exporter: another crate decodes what comes. It can be
//! stopped as if killed, restarted without its templates, and paused.

mod decode;

pub use decode::{Collection, FlowRecord};

use crate::wait::free_address;
use netflow_parser::NetflowParser;
use std::io::{ErrorKind, Read};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::Duration;

#[derive(Default)]
struct Shared {
    collection: Mutex<Collection>,
    connections: Mutex<Vec<TcpStream>>,
    paused: AtomicBool,
}

/// A collector at one address.
pub struct Collector {
    /// Where it listens.
    pub address: SocketAddr,
    udp: bool,
    shared: Arc<Shared>,
    running: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Collector {
    /// Starts a collector of TCP connections.
    ///
    /// # Panics
    /// If it can't listen.
    pub fn tcp() -> Self {
        Self::at(free_address(), false)
    }

    /// Starts a collector of UDP datagrams.
    ///
    /// # Panics
    /// If it can't listen.
    pub fn udp() -> Self {
        Self::at(free_address(), true)
    }

    fn at(address: SocketAddr, udp: bool) -> Self {
        let mut collector =
            Collector { address, udp, shared: Arc::default(), running: Arc::default(), thread: None };
        collector.restart();
        collector
    }

    /// Stops it like a process that is killed: what it did not read is lost.
    ///
    /// # Panics
    /// Panics if a thread panicked while it held the lock.
    pub fn stop(&mut self) {
        self.running.store(false, Ordering::SeqCst);
        for conn in std::mem::take(&mut *self.shared.connections.lock().unwrap()) {
            let _ = conn.shutdown(std::net::Shutdown::Both);
        }
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
        // Connections that were accepted while it stopped.
        for conn in std::mem::take(&mut *self.shared.connections.lock().unwrap()) {
            let _ = conn.shutdown(std::net::Shutdown::Both);
        }
    }

    /// Restarts it at its address: its collection stays, templates are forgotten.
    ///
    /// # Panics
    /// If its address does not become free in time.
    pub fn restart(&mut self) {
        let (running, shared) = (Arc::new(AtomicBool::new(true)), self.shared.clone());
        self.running = running.clone();
        self.thread = Some(if self.udp {
            let socket = bind_when_free(|| UdpSocket::bind(self.address));
            thread::spawn(move || read_datagrams(&socket, &shared, &running))
        } else {
            let listener = bind_when_free(|| TcpListener::bind(self.address));
            thread::spawn(move || accept_connections(&listener, &shared, &running))
        });
    }

    /// Stops reading from connections (`true`), or reads on.
    pub fn set_paused(&self, paused: bool) {
        self.shared.paused.store(paused, Ordering::SeqCst);
    }

    /// What it has received so far.
    ///
    /// # Panics
    /// Panics if a thread panicked while it held the lock.
    pub fn collection(&self) -> Collection {
        self.shared.collection.lock().unwrap().clone()
    }
}

/// Binds to an address that another process's connection may use for a moment.
fn bind_when_free<T>(bind: impl Fn() -> std::io::Result<T>) -> T {
    let mut bound = None;
    crate::wait::until("the collector's address is free", || {
        bound = bind().ok();
        bound.is_some()
    });
    bound.expect("the wait ended with a socket")
}

impl Drop for Collector {
    fn drop(&mut self) {
        self.stop();
    }
}

fn read_datagrams(socket: &UdpSocket, shared: &Shared, running: &AtomicBool) {
    let mut parser = NetflowParser::default();
    socket.set_read_timeout(Some(Duration::from_millis(5))).unwrap();
    let mut buffer = vec![0; 65_536];
    while running.load(Ordering::SeqCst) {
        if let Ok(n) = socket.recv(&mut buffer) {
            shared.collection.lock().unwrap().add_message(&mut parser, &buffer[..n]);
        }
    }
}

fn accept_connections(listener: &TcpListener, shared: &Arc<Shared>, running: &Arc<AtomicBool>) {
    listener.set_nonblocking(true).unwrap();
    let mut readers = Vec::new();
    while running.load(Ordering::SeqCst) {
        let Ok((stream, _)) = listener.accept() else {
            thread::sleep(Duration::from_millis(1));
            continue;
        };
        let _ = stream.set_nonblocking(false);
        shared.connections.lock().unwrap().extend(stream.try_clone());
        let (shared, running) = (shared.clone(), running.clone());
        readers.push(thread::spawn(move || read_connection(stream, &shared, &running)));
    }
    for reader in readers {
        let _ = reader.join();
    }
}

fn read_connection(mut stream: TcpStream, shared: &Shared, running: &AtomicBool) {
    let mut parser = NetflowParser::default();
    stream.set_read_timeout(Some(Duration::from_millis(5))).unwrap();
    let (mut buffer, mut chunk) = (Vec::new(), vec![0; 16 * 1024]);
    while running.load(Ordering::SeqCst) {
        if shared.paused.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(2));
            continue;
        }
        match stream.read(&mut chunk) {
            Ok(0) => return,
            Ok(n) => buffer.extend_from_slice(&chunk[..n]),
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(_) => return,
        }
        // RFC 7011, 3.1: the message's length is in its third and fourth byte.
        while buffer.len() >= 4 {
            let length = usize::from(u16::from_be_bytes([buffer[2], buffer[3]]));
            if length < 16 || buffer.len() < length {
                break;
            }
            shared.collection.lock().unwrap().add_message(&mut parser, &buffer[..length]);
            buffer.drain(..length);
        }
    }
}
