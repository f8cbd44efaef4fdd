//! Free addresses: no connection is accepted there before the intended listener exists.

use deckproxy_standins::wait::reserve;
use std::net::{TcpListener, TcpStream};

/// Regression test: a process that another thread starts at that moment has a copy of the socket for a while. That accepted
/// the first connection, so that a test continued before its program listened, and the next connection was refused.
#[test]
fn free_address_accepts_nothing_and_can_be_bound_while_a_copy_of_its_socket_is_open() {
    let (socket, at) = reserve();
    let _copy = socket.try_clone().unwrap();
    assert!(TcpStream::connect(at).is_err(), "nobody listens");
    drop(socket);
    assert!(TcpStream::connect(at).is_err(), "nor by the copy");
    let listener = TcpListener::bind(at).expect("it is free for the one that it is for");
    TcpStream::connect(at).unwrap();
    listener.accept().unwrap();
}
