//! Datagrams that are lost, delayed, duplicated, or sent by strangers.

use crate::{finish_and_check, start, wait_for_health_checks};
use deckproxy_rig::plan::FaultKind;
use deckproxy_rig::relay::DatagramFaults;
use deckproxy_rig::rig::Rig;
use std::net::UdpSocket;

#[test]
fn instances_that_are_not_heard_release_their_share() {
    let mut rig = start(5, 4);
    let mute = FaultKind::Mute(vec![0, 3]);
    rig.begin_fault(&mute, 0.0);
    rig.until("the muted instances detect that they are in the minority", |rig| {
        [0, 3].into_iter().all(|i| rig.view(i).is_some_and(|v| !v.in_larger_part))
            && [1, 2, 4]
                .into_iter()
                .all(|i| rig.view(i).is_some_and(|v| v.in_larger_part && v.heard.len() == 2))
    });
    wait_for_health_checks(&rig, 6);
    rig.end_fault(&mute);
    rig.until("all views have converged again", Rig::has_converged);
    finish_and_check(rig);
}

#[test]
fn datagram_loss_delay_and_duplication_cause_no_partition() {
    let mut rig = start(4, 5);
    rig.begin_fault(
        &FaultKind::Datagrams(DatagramFaults { lost_share: 0.3, duplicated_share: 0.2, max_delay_ms: 60 }),
        0.0,
    );
    wait_for_health_checks(&rig, 20);
    let (_, figures) = finish_and_check(rig);
    assert_eq!(figures.false_deaths, 0);
}

#[test]
fn datagrams_of_strangers_are_dropped_and_counted() {
    let rig = start(3, 11);
    let stranger = UdpSocket::bind("127.0.0.1:0").unwrap();
    for i in 0..3 {
        let at = rig.relay_address(i);
        stranger.send_to(b"hello", at).unwrap();
        stranger.send_to(&[0; 1500], at).unwrap();
        // A valid datagram of another fleet.
        let other = deckproxy_fleet::wire::Wire::new("other", vec!["127.0.0.0/8".parse().unwrap()]);
        let from = deckproxy_fleet::instance::Instance {
            name: "i9".into(),
            zone: "edge".into(),
            address: stranger.local_addr().unwrap(),
            incarnation: 1,
            renewals: 0,
            weight: 1,
        };
        let body = deckproxy_fleet::wire::Body::Hello { is_reply: false, known_incarnation: None };
        let bytes = other.encode(&deckproxy_fleet::wire::Packet { from, body }).unwrap();
        stranger.send_to(&bytes, at).unwrap();
    }
    rig.until("the relays have forwarded datagrams", |rig| rig.datagrams() > 0);
    wait_for_health_checks(&rig, 4);
    assert!(rig.has_converged());
    let (run, _) = finish_and_check(rig);
    for log in &run.logs {
        let summary =
            log.lines().rfind(|line| line.contains("\"msg\":\"end\"")).expect("a summary at the end");
        for counter in ["garbled:1", "too_large:1", "other_fleet:1"] {
            assert!(summary.contains(counter), "{counter}: {summary}");
        }
        assert!(!log.contains("i9"));
    }
}
