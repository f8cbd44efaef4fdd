//! A listening socket.

use crate::transport::registration::register;
use crate::transport::stream::is_exhausted;
use calloop::{Interest, LoopHandle, RegistrationToken};
use socket2::{Domain, Protocol, Socket, Type};
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;

/// Connections that wait to be accepted, at most.
const BACKLOG: i32 = 1024;

/// The result of accepting.
pub enum Accepted {
    /// A connection.
    One(TcpStream),
    /// Nothing more for now.
    None,
    /// The process or the system has no descriptor left; trying again at once would spin.
    Exhausted,
}

/// The listener. It is registered edge-triggered: once it is ready, accept until there is nothing more.
pub struct Listener {
    socket: Rc<TcpListener>,
    token: RegistrationToken,
}

impl Listener {
    /// Binds and listens. `ready` is called when connections wait.
    ///
    /// # Errors
    /// The error of the operating system if the socket cannot be bound or registered.
    pub fn bind<D: 'static>(
        handle: &LoopHandle<'static, D>,
        address: SocketAddr,
        mut ready: impl FnMut(&mut D) + 'static,
    ) -> io::Result<Self> {
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
        // A gateway that was killed starts again at its address at once.
        socket.set_reuse_address(true)?;
        socket.set_nonblocking(true)?;
        socket.bind(&address.into())?;
        socket.listen(BACKLOG)?;
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
                // That one connection broke before it was accepted.
                Err(_) => {}
            }
        }
    }

    /// Stops listening; connections that wait to be accepted are reset.
    pub fn close<D: 'static>(self, handle: &LoopHandle<'static, D>) {
        handle.remove(self.token);
    }
}
