//! A UDP socket for datagrams of the fleet's other instances.

use crate::transport::registration::register;
use calloop::{Interest, LoopHandle, RegistrationToken};
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;

/// Size of the receive buffer. A longer datagram is truncated to this length, which exceeds what its decoder accepts.
const RECEIVE_BUFFER_BYTES: usize = 2048;

/// A UDP socket, registered edge-triggered: once it is ready, call `receive` until it returns none.
pub struct DatagramSocket {
    socket: Rc<UdpSocket>,
    token: RegistrationToken,
    buffer: Box<[u8; RECEIVE_BUFFER_BYTES]>,
    /// Datagrams that the kernel did not accept.
    pub unsent: u64,
}

impl DatagramSocket {
    /// Binds the socket. `ready` is called when datagrams are available.
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
        Ok(DatagramSocket { socket, token, buffer: Box::new([0; RECEIVE_BUFFER_BYTES]), unsent: 0 })
    }

    /// Receives the next datagram and its sender; none if none is available.
    pub fn receive(&mut self) -> Option<(SocketAddr, &[u8])> {
        loop {
            match self.socket.recv_from(&mut self.buffer[..]) {
                Ok((length, from)) => return Some((from, &self.buffer[..length])),
                Err(error) if error.kind() == ErrorKind::WouldBlock => return None,
                // `ConnectionRefused` reports an earlier datagram that its destination rejected; the next receive may
                // succeed.
                Err(error)
                    if matches!(error.kind(), ErrorKind::ConnectionRefused | ErrorKind::Interrupted) => {}
                Err(_) => return None,
            }
        }
    }

    /// Sends a datagram. One that the kernel does not accept is counted and dropped, as it could also be lost on the
    /// network.
    pub fn send(&mut self, to: SocketAddr, bytes: &[u8]) {
        self.unsent += u64::from(self.socket.send_to(bytes, to).is_err());
    }

    /// Closes the socket.
    pub fn close<D: 'static>(self, handle: &LoopHandle<'static, D>) {
        handle.remove(self.token);
    }
}
