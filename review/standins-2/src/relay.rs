//! A relay between two programs: the network of a case. It can be cut: it then passes nothing on, and accepts nothing.

use crate::record::Record;
use crate::sys::{limit_receive_buffer, reset_on_close};
use crate::{lock, sleep_ms};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// The receive buffer of the relay's sockets.
const RECEIVE_BUFFER_BYTES: i32 = 4096;

/// A relay to one address.
pub struct Relay {
    cut: AtomicBool,
    open: Mutex<Vec<(TcpStream, TcpStream)>>,
    record: Record,
    name: String,
}

impl Relay {
    /// Starts a relay; returns it with its address.
    pub fn start(name: &str, to: SocketAddr, record: &Record) -> std::io::Result<(Arc<Relay>, SocketAddr)> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        // The kernel acknowledges bytes that the relay has not read. With a small buffer these are few, as they are
        // where the network itself is cut.
        limit_receive_buffer(&listener, RECEIVE_BUFFER_BYTES);
        let address = listener.local_addr()?;
        let relay = Arc::new(Relay {
            cut: AtomicBool::new(false),
            open: Mutex::default(),
            record: record.clone(),
            name: name.to_string(),
        });
        let own = Arc::clone(&relay);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                while own.is_cut() {
                    sleep_ms(10.0);
                }
                let own = Arc::clone(&own);
                std::thread::spawn(move || own.connect(stream, to));
            }
        });
        Ok((relay, address))
    }

    fn is_cut(&self) -> bool {
        self.cut.load(Ordering::SeqCst)
    }

    /// Cuts the network: connections stay open and silent, new ones get no answer.
    pub fn cut(&self) {
        self.record.line(&format!("{}: cut", self.name));
        self.cut.store(true, Ordering::SeqCst);
    }

    /// Ends the cut; resets the connections of before it if `reset`.
    pub fn mend(&self, reset: bool) {
        self.record.line(&format!("{}: mended, reset: {reset}", self.name));
        if reset {
            for (left, right) in lock(&self.open).drain(..) {
                reset_on_close(&left);
                reset_on_close(&right);
                let _ = left.shutdown(Shutdown::Both);
                let _ = right.shutdown(Shutdown::Both);
            }
        }
        self.cut.store(false, Ordering::SeqCst);
    }

    fn connect(self: Arc<Self>, left: TcpStream, to: SocketAddr) {
        let Ok(right) = TcpStream::connect_timeout(&to, Duration::from_secs(1)) else {
            reset_on_close(&left);
            return;
        };
        let _ = (left.set_nodelay(true), right.set_nodelay(true));
        let (Ok(left_copy), Ok(right_copy)) = (left.try_clone(), right.try_clone()) else { return };
        let (Ok(left_end), Ok(right_end)) = (left.try_clone(), right.try_clone()) else { return };
        lock(&self.open).push((left_end, right_end));
        let other = Arc::clone(&self);
        std::thread::spawn(move || other.pass(left_copy, right_copy));
        self.pass(right, left);
    }

    fn pass(&self, mut from: TcpStream, mut to: TcpStream) {
        // A short wait, so that a cut takes hold soon.
        let _ = from.set_read_timeout(Some(Duration::from_millis(10)));
        let mut chunk = vec![0; 16384];
        loop {
            if self.is_cut() {
                sleep_ms(5.0);
                continue;
            }
            match from.read(&mut chunk) {
                Ok(0) => break,
                Ok(read) => {
                    while self.is_cut() {
                        sleep_ms(5.0);
                    }
                    if to.write_all(&chunk[..read]).is_err() {
                        break;
                    }
                }
                Err(e)
                    if matches!(e.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => {}
                Err(_) => break,
            }
        }
        let _ = (from.shutdown(Shutdown::Both), to.shutdown(Shutdown::Both));
    }
}
