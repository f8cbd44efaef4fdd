//! A listener whose connections come up late, so that a test can order a handshake and other events.

use crate::wait::{PATIENCE, until};
use socket2::{Domain, Socket, Type};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// How long a connection is tried until the queue counts as full.
const FULL_QUEUE_TIMEOUT: Duration = Duration::from_millis(100);

/// A listener with a short queue: while that is full, a handshake ends only once the queue is emptied.
pub struct StalledListener {
    socket: Socket,
    queued: Vec<TcpStream>,
    /// Where it listens.
    pub address: SocketAddr,
}

impl StalledListener {
    /// A listener whose queue is full.
    ///
    /// # Panics
    /// If it can't listen.
    pub fn start() -> Self {
        let mut listener = Self::start_empty();
        listener.fill_queue();
        listener
    }

    /// A listener that still accepts connections at once.
    ///
    /// # Panics
    /// If it can't listen.
    pub fn start_empty() -> Self {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.bind(&"127.0.0.1:0".parse::<SocketAddr>().unwrap().into()).unwrap();
        socket.listen(0).unwrap();
        let address = socket.local_addr().unwrap().as_socket().unwrap();
        StalledListener { socket, queued: Vec::new(), address }
    }

    /// Fills its queue: from now on no handshake ends.
    pub fn fill_queue(&mut self) {
        while let Ok(stream) = TcpStream::connect_timeout(&self.address, FULL_QUEUE_TIMEOUT) {
            self.queued.push(stream);
        }
    }

    /// Waits until a handshake with it has begun. An answer of the connecting process elsewhere is no proof of that: it
    /// may be written before the request ahead of it is carried out.
    ///
    /// # Panics
    /// If none begins in time.
    pub fn wait_for_handshake(&self) {
        let SocketAddr::V4(address) = self.address else { unreachable!("it listens on 127.0.0.1") };
        let remote = format!("{:08X}:{:04X}", u32::from_le_bytes(address.ip().octets()), address.port());
        until("a handshake has begun", || {
            // proc(5): the fields are number, local address, remote address, state; 02 is SYN_SENT.
            let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
            table
                .lines()
                .map(|line| line.split_whitespace().skip(2))
                .any(|mut fields| fields.next() == Some(&*remote) && fields.next() == Some("02"))
        });
    }

    /// Lets the next connection come up, at the kernel's next attempt of its handshake, and returns it.
    ///
    /// # Panics
    /// If none comes up in time.
    pub fn accept(&mut self) -> TcpStream {
        for _ in self.queued.drain(..) {
            drop(self.socket.accept().unwrap());
        }
        self.socket.set_read_timeout(Some(PATIENCE)).unwrap();
        let (socket, _) = self.socket.accept().expect("the connection comes up");
        socket.into()
    }
}
