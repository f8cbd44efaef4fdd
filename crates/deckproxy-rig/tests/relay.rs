//! Relays between instances: a cut takes one way of one pair, and datagrams may be lost or doubled.

use deckproxy_rig::relay::{DatagramFaults, Relays};
use std::net::{SocketAddr, UdpSocket};
use std::time::Duration;

#[test]
fn a_cut_takes_one_way_of_one_pair() {
    let ends: Vec<UdpSocket> = (0..3).map(|_| UdpSocket::bind("127.0.0.1:0").unwrap()).collect();
    let at: Vec<SocketAddr> = ends.iter().map(|e| e.local_addr().unwrap()).collect();
    let relays = Relays::to(&at, 1);
    relays.cut([(0, 1)]);
    let got = |from: usize, to: usize| {
        ends[from].send_to(&[from as u8], relays.addresses[to]).unwrap();
        // One that is cut is followed by one that is not, so that nothing is waited for in vain.
        ends[2].send_to(&[9], relays.addresses[to]).unwrap();
        let mut seen = Vec::new();
        let mut buffer = [0; 8];
        ends[to].set_read_timeout(Some(Duration::from_secs(10))).unwrap();
        while seen.last() != Some(&9) {
            ends[to].recv_from(&mut buffer).unwrap();
            seen.push(buffer[0]);
        }
        seen
    };
    assert_eq!(got(0, 1), [9]);
    assert_eq!(got(1, 0), [1, 9]);
    relays.join([(0, 1)]);
    assert_eq!(got(0, 1), [0, 9]);
    assert_eq!(relays.sent().datagrams, 6);
}

#[test]
fn all_may_be_lost_or_doubled() {
    let ends: Vec<UdpSocket> = (0..2).map(|_| UdpSocket::bind("127.0.0.1:0").unwrap()).collect();
    let at: Vec<SocketAddr> = ends.iter().map(|e| e.local_addr().unwrap()).collect();
    let relays = Relays::to(&at, 2);
    relays.set_faults(DatagramFaults { lost_share: 1.0, ..DatagramFaults::default() });
    for _ in 0..50 {
        ends[0].send_to(&[1], relays.addresses[1]).unwrap();
    }
    deckproxy_standins::until("all came to the relay", || relays.sent().datagrams == 50);
    relays.set_faults(DatagramFaults { duplicated_share: 1.0, max_delay_ms: 5, ..DatagramFaults::default() });
    ends[0].send_to(&[2], relays.addresses[1]).unwrap();
    let mut buffer = [0; 8];
    ends[1].set_read_timeout(Some(Duration::from_secs(10))).unwrap();
    let mut next = || {
        ends[1].recv_from(&mut buffer).unwrap();
        buffer[0]
    };
    assert_eq!([next(), next()], [2, 2]);
}
