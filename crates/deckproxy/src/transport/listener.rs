//! A listening socket.

use crate::transport::registration::register;
use crate::transport::stream::is_exhausted;
use calloop::{Interest, LoopHandle, RegistrationToken};
use socket2::{Domain, Protocol, Socket, Type};
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;

/// Maximum number of connections waiting to be accepted.
const ACCEPT_BACKLOG: i32 = 1024;

/// The result of [`Listener::accept`].
pub enum Accepted {
    /// A new connection.
    One(TcpStream),
    /// No connection is waiting.
    None,
    /// The process or the system is out of descriptors, buffers or memory; retrying at once would busy-loop.
    Exhausted,
}

/// A listening socket, registered edge-triggered: once it is ready, call `accept` until no connection is waiting.
pub struct Listener {
    socket: Rc<TcpListener>,
    token: RegistrationToken,
}

impl Listener {
    /// Binds and listens. `ready` is called when connections are waiting.
    ///
    /// # Errors
    /// The error of the operating system if the socket cannot be bound or registered.
    pub fn bind<D: 'static>(
        handle: &LoopHandle<'static, D>,
        address: SocketAddr,
        mut ready: impl FnMut(&mut D) + 'static,
    ) -> io::Result<Self> {
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
        // Lets a gateway that was killed rebind its address immediately after the restart.
        socket.set_reuse_address(true)?;
        socket.set_nonblocking(true)?;
        socket.bind(&address.into())?;
        socket.listen(ACCEPT_BACKLOG)?;
        let socket = Rc::new(TcpListener::from(socket));
        let token = register(handle, Rc::clone(&socket), Interest::READ, move |data, _| ready(data))?;
        Ok(Listener { socket, token })
    }

    /// Accepts one connection.
    pub fn accept(&self) -> Accepted {
        loop {
            match self.socket.accept() {
                Ok((socket, _)) => return Accepted::One(socket),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Accepted::None,
                Err(error) if is_exhausted(&error) => return Accepted::Exhausted,
                // This connection failed before it was accepted; the next one may be valid.
                Err(_) => {}
            }
        }
    }

    /// Stops listening; connections waiting to be accepted are reset.
    pub fn close<D: 'static>(self, handle: &LoopHandle<'static, D>) {
        handle.remove(self.token);
    }
}
