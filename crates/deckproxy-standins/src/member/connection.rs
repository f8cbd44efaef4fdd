//! The threads of a hand-driven member: one accepts connections, and one for each connection reports its commands.

use super::{Connections, MemberEvent, MemberRequest};
use crate::wait::next_number;
use std::io::{ErrorKind, Read};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::Sender;
use std::thread;
use std::time::Duration;

/// How long a read waits until the state of the connection is looked at again.
const READ_POLL: Duration = Duration::from_millis(5);

/// The thread that accepts a member's connections.
pub(super) struct Acceptor {
    pub connections: Connections,
    pub listening: Arc<AtomicBool>,
    pub paused: Arc<AtomicBool>,
    pub events: Sender<MemberEvent>,
}

impl Acceptor {
    /// Accepts connections until `listening` is cleared.
    pub fn run(&self, listener: &TcpListener) {
        while self.listening.load(Ordering::SeqCst) {
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(Duration::from_millis(1));
                continue;
            };
            stream.set_nonblocking(false).unwrap();
            stream.set_nodelay(true).unwrap();
            stream.set_read_timeout(Some(READ_POLL)).unwrap();
            let number = next_number();
            let stream = Arc::new(stream);
            self.connections.lock().unwrap().insert(number, stream.clone());
            let (connections, paused, events) =
                (self.connections.clone(), self.paused.clone(), self.events.clone());
            thread::spawn(move || read_connection(number, stream, &connections, &paused, &events));
        }
    }
}

/// Reports the commands of a connection until that ends.
fn read_connection(
    number: u64,
    stream: Arc<TcpStream>,
    connections: &Connections,
    paused: &AtomicBool,
    events: &Sender<MemberEvent>,
) {
    let mut buffer = Vec::new();
    let _ = events.send(MemberEvent::Opened(number));
    while connections.lock().unwrap().contains_key(&number) {
        if paused.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(2));
        } else if read_some(&stream, &mut buffer).is_err() {
            break;
        }
        while let Some(words) = take_command(&mut buffer) {
            let _ = events.send(read_command(number, &words));
        }
    }
    connections.lock().unwrap().remove(&number);
    // Closed before that is reported.
    drop(stream);
    let _ = events.send(MemberEvent::Closed(number));
}

/// The connection has ended.
struct Ended;

fn read_some(mut stream: &TcpStream, buffer: &mut Vec<u8>) -> Result<(), Ended> {
    let mut chunk = [0; 65536];
    match stream.read(&mut chunk) {
        Ok(0) => Err(Ended),
        Ok(n) => {
            buffer.extend_from_slice(&chunk[..n]);
            Ok(())
        }
        Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => Ok(()),
        Err(_) => Err(Ended),
    }
}

fn read_command(connection: u64, words: &[Vec<u8>]) -> MemberEvent {
    let word = |index: usize| String::from_utf8(words[index].clone()).unwrap();
    match word(0).as_str() {
        "ASK" => {
            let text = word(2);
            let fields = text.split(',').filter_map(|field| field.split_once('='));
            let fields = fields.map(|(name, value)| (name.to_string(), value.to_string())).collect();
            MemberEvent::Request(MemberRequest { connection, id: word(1), fields, body: words[3].clone() })
        }
        "QUIT" => MemberEvent::Cancelled(connection, word(1)),
        "INFO" | "NOOP" => MemberEvent::HealthCheck(connection, word(1)),
        other => panic!("an unknown command {other}"),
    }
}

/// Takes one array of bulk strings off the buffer; `None` while it is incomplete.
pub(crate) fn take_command(buffer: &mut Vec<u8>) -> Option<Vec<Vec<u8>>> {
    if buffer.is_empty() {
        return None;
    }
    let mut at = 0;
    let count = take_length(buffer, &mut at)?;
    let mut words = Vec::new();
    for _ in 0..count {
        if at >= buffer.len() {
            return None;
        }
        let length = take_length(buffer, &mut at)?;
        if buffer.len() < at + length + 2 {
            return None;
        }
        words.push(buffer[at..at + length].to_vec());
        at += length + 2;
    }
    buffer.drain(..at);
    Some(words)
}

/// Reads a line with a type's byte and a number.
fn take_length(bytes: &[u8], at: &mut usize) -> Option<usize> {
    let end = bytes[*at..].windows(2).position(|pair| pair == b"\r\n")? + *at;
    let number = std::str::from_utf8(&bytes[*at + 1..end]).unwrap().parse().unwrap();
    *at = end + 2;
    Some(number)
}
