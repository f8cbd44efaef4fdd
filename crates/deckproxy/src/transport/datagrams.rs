//! A socket for datagrams of other instances.

use calloop::generic::Generic;
use calloop::{Interest, LoopHandle, Mode, PostAction, RegistrationToken};
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;

/// Longest datagram that is read whole; of a longer one it shows that it is too long.
const LONGEST: usize = 2048;

/// The socket. It is registered edge-triggered: after news, take datagrams until there is none more.
pub struct Datagrams {
    socket: Rc<UdpSocket>,
    token: RegistrationToken,
    buffer: Box<[u8; LONGEST]>,
    /// Datagrams that the kernel did not take.
    pub unsent: u64,
}

impl Datagrams {
    /// Binds. `ready` is called when datagrams wait.
    pub fn bind<D: 'static>(
        handle: &LoopHandle<'static, D>,
        at: SocketAddr,
        mut ready: impl FnMut(&mut D) + 'static,
    ) -> io::Result<Self> {
        let socket = Rc::new(UdpSocket::bind(at)?);
        socket.set_nonblocking(true)?;
        let source = Generic::new(Rc::clone(&socket), Interest::READ, Mode::Edge);
        let token = handle
            .insert_source(source, move |_, _, data| {
                ready(data);
                Ok(PostAction::Continue)
            })
            .map_err(|e| io::Error::other(e.error))?;
        Ok(Datagrams { socket, token, buffer: Box::new([0; LONGEST]), unsent: 0 })
    }

    /// The next datagram and who sent it; none where none waits.
    pub fn take(&mut self) -> Option<(SocketAddr, &[u8])> {
        loop {
            match self.socket.recv_from(&mut self.buffer[..]) {
                Ok((n, from)) => return Some((from, &self.buffer[..n])),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return None,
                // It tells of a datagram that nobody took at its other end; the next one may be whole.
                Err(e)
                    if matches!(e.kind(), io::ErrorKind::ConnectionRefused | io::ErrorKind::Interrupted) => {}
                Err(_) => return None,
            }
        }
    }

    /// Sends one; what the kernel does not take is lost as on the way.
    pub fn send(&mut self, to: SocketAddr, bytes: &[u8]) {
        self.unsent += u64::from(self.socket.send_to(bytes, to).is_err());
    }

    /// Ends it.
    pub fn close<D: 'static>(self, handle: &LoopHandle<'static, D>) {
        handle.remove(self.token);
    }
}
