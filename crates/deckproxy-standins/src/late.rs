//! Connections that come up late, and processes that stand still: the order of two things is forced, not hoped for.

use crate::gateway::Gateway;
use crate::wait::{PATIENCE, until};
use socket2::{Domain, Socket, Type};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// An address at which connections come up late: while its queue is full, a handshake ends only once that is emptied.
pub struct Late {
    socket: Socket,
    plugs: Vec<TcpStream>,
    pub address: SocketAddr,
}

impl Late {
    /// One whose queue is full.
    pub fn start() -> Self {
        let mut late = Self::open();
        late.fill();
        late
    }

    /// One that takes connections at once.
    pub fn open() -> Self {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.bind(&"127.0.0.1:0".parse::<SocketAddr>().unwrap().into()).unwrap();
        socket.listen(0).unwrap();
        let address = socket.local_addr().unwrap().as_socket().unwrap();
        Late { socket, plugs: Vec::new(), address }
    }

    /// Fills its queue: from now on no handshake ends.
    pub fn fill(&mut self) {
        while let Ok(stream) = TcpStream::connect_timeout(&self.address, Duration::from_millis(100)) {
            self.plugs.push(stream);
        }
    }

    /// Waits until somebody's handshake with it has begun. What that one says elsewhere proves nothing of it: an answer
    /// may be written before what was asked in front of it is carried out.
    pub fn awaited(&self) {
        let SocketAddr::V4(at) = self.address else { unreachable!("it listens on 127.0.0.1") };
        let to = format!("{:08X}:{:04X}", u32::from_le_bytes(at.ip().octets()), at.port());
        until("a handshake has begun", || {
            // proc(5): the fields are number, local address, remote address, state; 02 is SYN_SENT.
            let all = std::fs::read_to_string("/proc/net/tcp").unwrap();
            all.lines()
                .map(|line| line.split_whitespace().skip(2))
                .any(|mut f| f.next() == Some(&*to) && f.next() == Some("02"))
        });
    }

    /// Lets the next connection come up, the kernel's next try of its handshake. Gives it once it is.
    pub fn come_up(&mut self) -> TcpStream {
        for _ in self.plugs.drain(..) {
            drop(self.socket.accept().unwrap());
        }
        self.socket.set_read_timeout(Some(PATIENCE)).unwrap();
        let (socket, _) = self.socket.accept().expect("the connection comes up");
        socket.into()
    }
}

impl Gateway {
    /// Has its process stand still: what comes meanwhile lies in the kernel. Waits until it does.
    pub fn freeze(&self) {
        self.signal("STOP");
        until("the process stands still", || self.state() == 'T');
    }

    /// Has it go on.
    pub fn thaw(&self) {
        self.signal("CONT");
    }

    /// Silent clients that come in one breath, until they hold all of its descriptors, which are so many. For the moment
    /// that each of them has to send its first message, none makes room.
    pub fn fill(&self, descriptors: usize) -> Vec<TcpStream> {
        self.freeze();
        let silent = (0..descriptors).map(|_| TcpStream::connect(self.address).unwrap()).collect();
        self.thaw();
        until("none is left", || self.usage().1 >= descriptors);
        silent
    }

    fn state(&self) -> char {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).unwrap();
        stat.rsplit(") ").next().and_then(|rest| rest.chars().next()).unwrap()
    }
}
