//! Free addresses: nobody answers there before the one that it is for.

use deckproxy_standins::wait::reserve;
use std::net::{TcpListener, TcpStream};

/// A process that another thread starts at that moment holds a copy of the socket for a while: it took the first
/// connection, a test went on as if its program listened, and the next connection was refused.
#[test]
fn a_free_address_takes_no_connection_and_can_be_listened_on_while_a_copy_of_its_socket_is_open() {
    let (socket, at) = reserve();
    let _copy = socket.try_clone().unwrap();
    assert!(TcpStream::connect(at).is_err(), "nobody listens");
    drop(socket);
    assert!(TcpStream::connect(at).is_err(), "nor by the copy");
    let listener = TcpListener::bind(at).expect("it is free for the one that it is for");
    TcpStream::connect(at).unwrap();
    listener.accept().unwrap();
}
