//! Relays between instances: a cut blocks one direction of one pair, and datagrams can be lost or duplicated.

use deckproxy_rig::relay::{DatagramFaults, Relays};
use std::net::{SocketAddr, UdpSocket};
use std::time::Duration;

#[test]
fn cut_blocks_one_direction_of_one_pair() {
    let sockets: Vec<UdpSocket> = (0..3).map(|_| UdpSocket::bind("127.0.0.1:0").unwrap()).collect();
    let addresses: Vec<SocketAddr> = sockets.iter().map(|socket| socket.local_addr().unwrap()).collect();
    let relays = Relays::to(&addresses, 1);
    relays.cut([(0, 1)]);
    let received = |from: usize, to: usize| {
        sockets[from].send_to(&[from as u8], relays.addresses[to]).unwrap();
        // One that is cut is followed by one that is not, so that nothing is waited for in vain.
        sockets[2].send_to(&[9], relays.addresses[to]).unwrap();
        let mut seen = Vec::new();
        let mut buffer = [0; 8];
        sockets[to].set_read_timeout(Some(Duration::from_secs(10))).unwrap();
        while seen.last() != Some(&9) {
            sockets[to].recv_from(&mut buffer).unwrap();
            seen.push(buffer[0]);
        }
        seen
    };
    assert_eq!(received(0, 1), [9]);
    assert_eq!(received(1, 0), [1, 9]);
    relays.join([(0, 1)]);
    assert_eq!(received(0, 1), [0, 9]);
    assert_eq!(relays.sent().datagrams, 6);
}

#[test]
fn datagrams_are_lost_or_duplicated() {
    let sockets: Vec<UdpSocket> = (0..2).map(|_| UdpSocket::bind("127.0.0.1:0").unwrap()).collect();
    let addresses: Vec<SocketAddr> = sockets.iter().map(|socket| socket.local_addr().unwrap()).collect();
    let relays = Relays::to(&addresses, 2);
    relays.set_faults(DatagramFaults { lost_share: 1.0, ..DatagramFaults::default() });
    for _ in 0..50 {
        sockets[0].send_to(&[1], relays.addresses[1]).unwrap();
    }
    deckproxy_standins::until("the relay received all", || relays.sent().datagrams == 50);
    relays.set_faults(DatagramFaults { duplicated_share: 1.0, max_delay_ms: 5, ..DatagramFaults::default() });
    sockets[0].send_to(&[2], relays.addresses[1]).unwrap();
    let mut buffer = [0; 8];
    sockets[1].set_read_timeout(Some(Duration::from_secs(10))).unwrap();
    let mut next = || {
        sockets[1].recv_from(&mut buffer).unwrap();
        buffer[0]
    };
    assert_eq!([next(), next()], [2, 2]);
}
