//! The control feed, told by hand.

use crate::wait::PATIENCE;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, channel};
use std::thread;

/// A stand-in for the control feed.
pub struct Feed {
    pub address: SocketAddr,
    subs: Receiver<(u64, TcpStream)>,
}

impl Feed {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (send, subs) = channel();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let mut line = Vec::new();
                let mut byte = [0];
                stream.set_read_timeout(Some(PATIENCE)).unwrap();
                while matches!((&stream).read(&mut byte), Ok(1)) && byte[0] != b'\n' {
                    line.push(byte[0]);
                }
                let line = String::from_utf8(line).unwrap();
                let Some(number) = line.strip_prefix("SUB ").and_then(|n| n.parse().ok()) else { continue };
                if send.send((number, stream)).is_err() {
                    return;
                }
            }
        });
        Feed { address, subs }
    }

    /// The next subscription: from which number, and its connection.
    pub fn sub(&self) -> (u64, TcpStream) {
        self.subs.recv_timeout(PATIENCE).expect("a subscription")
    }
}

/// Writes one line to a subscriber.
pub fn tell(mut to: &TcpStream, line: &serde_json::Value) {
    to.write_all(format!("{line}\n").as_bytes()).unwrap();
}
