//! The listening socket.

use crate::transport::stream::is_exhausted;
use calloop::generic::Generic;
use calloop::{Interest, LoopHandle, Mode, PostAction, RegistrationToken};
use socket2::{Domain, Protocol, Socket, Type};
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;

/// Connections that wait to be accepted, at most.
const BACKLOG: i32 = 1024;

/// What accepting brought.
pub enum Accepted {
    /// A connection.
    One(TcpStream),
    /// Nothing more for now.
    None,
    /// The process or the system has no descriptor left; asking again at once would spin.
    Exhausted,
}

/// The listener. It is registered edge-triggered: after news, accept until there is nothing more.
pub struct Listener {
    socket: Rc<TcpListener>,
    token: RegistrationToken,
}

impl Listener {
    /// Binds and listens. `ready` is called when connections wait.
    pub fn bind<D: 'static>(
        handle: &LoopHandle<'static, D>,
        at: SocketAddr,
        mut ready: impl FnMut(&mut D) + 'static,
    ) -> io::Result<Self> {
        let socket = Socket::new(Domain::for_address(at), Type::STREAM, Some(Protocol::TCP))?;
        // A gateway that was killed starts again at its address at once.
        socket.set_reuse_address(true)?;
        socket.set_nonblocking(true)?;
        socket.bind(&at.into())?;
        socket.listen(BACKLOG)?;
        let socket = Rc::new(TcpListener::from(socket));
        let source = Generic::new(Rc::clone(&socket), Interest::READ, Mode::Edge);
        let token = handle
            .insert_source(source, move |_, _, data| {
                ready(data);
                Ok(PostAction::Continue)
            })
            .map_err(|e| io::Error::other(e.error))?;
        Ok(Listener { socket, token })
    }

    /// Accepts one connection.
    pub fn accept(&self) -> Accepted {
        loop {
            match self.socket.accept() {
                Ok((socket, _)) => return Accepted::One(socket),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Accepted::None,
                Err(e) if is_exhausted(&e) => return Accepted::Exhausted,
                // That one connection broke before it was accepted.
                Err(_) => {}
            }
        }
    }

    /// Stops listening; what waits unaccepted is reset.
    pub fn close<D: 'static>(self, handle: &LoopHandle<'static, D>) {
        handle.remove(self.token);
    }
}
