//! A UDP socket for datagrams of the fleet's other instances.

use crate::transport::registration::register;
use calloop::{Interest, LoopHandle, RegistrationToken};
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;

/// Bytes read of a datagram; a longer one is cut, and is too long for its decoder.
const BUFFER: usize = 2048;

/// The socket. It is registered edge-triggered: once it is ready, receive until no datagram is left.
pub struct DatagramSocket {
    socket: Rc<UdpSocket>,
    token: RegistrationToken,
    buffer: Box<[u8; BUFFER]>,
    /// Datagrams that the kernel did not take.
    pub unsent: u64,
}

impl DatagramSocket {
    /// Binds. `ready` is called when datagrams wait.
    ///
    /// # Errors
    /// The error of the operating system if the socket cannot be bound or registered.
    pub fn bind<D: 'static>(
        handle: &LoopHandle<'static, D>,
        address: SocketAddr,
        mut ready: impl FnMut(&mut D) + 'static,
    ) -> io::Result<Self> {
        let socket = Rc::new(UdpSocket::bind(address)?);
        socket.set_nonblocking(true)?;
        let token = register(handle, Rc::clone(&socket), Interest::READ, move |data, _| ready(data))?;
        Ok(DatagramSocket { socket, token, buffer: Box::new([0; BUFFER]), unsent: 0 })
    }

    /// The next datagram and its sender; none where none waits.
    pub fn receive(&mut self) -> Option<(SocketAddr, &[u8])> {
        loop {
            match self.socket.recv_from(&mut self.buffer[..]) {
                Ok((length, from)) => return Some((from, &self.buffer[..length])),
                Err(error) if error.kind() == ErrorKind::WouldBlock => return None,
                // It reports an earlier datagram that was not taken at its other end; the next one may be good.
                Err(error)
                    if matches!(error.kind(), ErrorKind::ConnectionRefused | ErrorKind::Interrupted) => {}
                Err(_) => return None,
            }
        }
    }

    /// Sends a datagram; what the kernel does not take is lost, as it could be on the network.
    pub fn send(&mut self, to: SocketAddr, bytes: &[u8]) {
        self.unsent += u64::from(self.socket.send_to(bytes, to).is_err());
    }

    /// Closes the socket.
    pub fn close<D: 'static>(self, handle: &LoopHandle<'static, D>) {
        handle.remove(self.token);
    }
}
