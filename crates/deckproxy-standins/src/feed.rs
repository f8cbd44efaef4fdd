//! A control feed whose lines a test writes by hand.

use crate::wait::{PATIENCE, unix_ms};
use serde_json::{Value, json};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, channel};
use std::thread;

/// A stand-in for the control feed.
pub struct Feed {
    /// Where it listens.
    pub address: SocketAddr,
    subscriptions: Receiver<(u64, TcpStream)>,
}

impl Feed {
    /// Starts a feed that reads subscriptions and sends nothing by itself.
    ///
    /// # Panics
    /// If it can't listen.
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (send, subscriptions) = channel();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let Some(first) = read_subscription(&stream) else { continue };
                if send.send((first, stream)).is_err() {
                    return;
                }
            }
        });
        Feed { address, subscriptions }
    }

    /// The next subscription: the number of the first event that it asks for, and its connection.
    ///
    /// # Panics
    /// If none comes in time.
    pub fn accept(&self) -> (u64, TcpStream) {
        self.subscriptions.recv_timeout(PATIENCE).expect("a subscription")
    }
}

/// Reads the line `SUB n` byte by byte, as the connection is handed on after it.
fn read_subscription(mut stream: &TcpStream) -> Option<u64> {
    let mut line = Vec::new();
    let mut byte = [0];
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    while matches!(stream.read(&mut byte), Ok(1)) && byte[0] != b'\n' {
        line.push(byte[0]);
    }
    let line = String::from_utf8(line).unwrap();
    line.strip_prefix("SUB ").and_then(|number| number.parse().ok())
}

/// Writes one line to a subscriber.
///
/// # Panics
/// If it can't be written.
pub fn send_line(mut subscriber: &TcpStream, line: &Value) {
    subscriber.write_all(format!("{line}\n").as_bytes()).unwrap();
}

/// The event with this number that purges a group now.
pub fn group_purge(number: u64, group: u64) -> Value {
    json!({"n": number, "purge": {"group": group, "at": unix_ms()}})
}

/// The event with this number that changes these entries of the member list.
pub fn member_update(number: u64, entries: &[Value]) -> Value {
    json!({"n": number, "members": {"revision": number, "complete": false, "members": entries}})
}
