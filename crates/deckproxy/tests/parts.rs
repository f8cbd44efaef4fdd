//! The small parts without sockets: what waits to be written, timers, the list of members.

use bytes::Bytes;
use deckproxy::protocol::feed::{MemberEntry, Phase};
use deckproxy::routing::members::Members;
use deckproxy::routing::timers::Timers;
use deckproxy::transport::outbox::{Outbox, Outgoing, Written};
use deckproxy_control::interface::Lifecycle;
use proptest::prelude::*;
use std::io::{self, IoSlice, Write};

/// A kernel that takes so many bytes at each call, then no more until it is asked again.
struct Kernel {
    takes: Vec<usize>,
    got: Vec<u8>,
}

impl Write for Kernel {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.write_vectored(&[IoSlice::new(bytes)])
    }

    fn write_vectored(&mut self, slices: &[IoSlice<'_>]) -> io::Result<usize> {
        let Some(mut left) = self.takes.pop().filter(|n| *n > 0) else {
            return Err(io::ErrorKind::WouldBlock.into());
        };
        let before = self.got.len();
        for slice in slices {
            let part = left.min(slice.len());
            self.got.extend_from_slice(&slice[..part]);
            left -= part;
        }
        Ok(self.got.len() - before)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn message(key: u64, sizes: [usize; 3]) -> Outgoing {
    let byte = u8::try_from(key % 251).unwrap();
    Outgoing { key, parts: sizes.map(|n| Bytes::from(vec![byte; n])) }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200, failure_persistence: None, rng_seed: prop::test_runner::RngSeed::Fixed(7),
        ..ProptestConfig::default()
    })]

    #[test]
    fn all_is_written_in_order_however_little_the_kernel_takes(
        sizes in prop::collection::vec((0usize..50, 0usize..500, 1usize..5), 1..80),
        takes in prop::collection::vec(0usize..700, 0..60),
    ) {
        let mut outbox = Outbox::default();
        let mut want = Vec::new();
        for (key, (a, b, c)) in (1u64..).zip(&sizes) {
            let m = message(key, [*a, *b, *c]);
            m.parts.iter().for_each(|p| want.extend_from_slice(p));
            outbox.push(m);
        }
        let mut kernel = Kernel { takes, got: Vec::new() };
        let mut written = Vec::new();
        let mut done = false;
        while !done {
            done = outbox.flush(&mut kernel, &mut written).unwrap();
            prop_assert_eq!(outbox.bytes(), want.len() - kernel.got.len());
            // A key is told once all of its bytes are out, and not before.
            let whole: usize = sizes[..written.len()].iter().map(|(a, b, c)| a + b + c).sum();
            let next: usize = sizes.get(written.len()).map_or(1, |(a, b, c)| a + b + c);
            prop_assert!((whole..whole + next).contains(&kernel.got.len()));
            if kernel.takes.is_empty() {
                kernel.takes = vec![64; 100];
            }
        }
        prop_assert_eq!(kernel.got, want);
        let lengths = sizes.iter().map(|(a, b, c)| a + b + c);
        let all = (1..).zip(lengths).map(|(key, bytes)| Written { key, bytes });
        prop_assert_eq!(written, all.collect::<Vec<_>>());
    }
}

#[test]
fn only_what_did_not_begin_to_be_written_is_taken_back() {
    let mut outbox = Outbox::default();
    (1..=3).for_each(|key| outbox.push(message(key, [10, 10, 10])));
    let mut kernel = Kernel { takes: vec![0, 5], got: Vec::new() };
    let mut written = Vec::new();
    assert!(!outbox.flush(&mut kernel, &mut written).unwrap());
    assert!(!outbox.withdraw(1), "five of its bytes are out");
    assert!(outbox.withdraw(2));
    assert!(!outbox.withdraw(2) && !outbox.withdraw(9));
    assert_eq!(outbox.bytes(), 55);
    kernel.takes = vec![1000; 3];
    assert!(outbox.flush(&mut kernel, &mut written).unwrap());
    assert_eq!((written, kernel.got.len()), ([1, 3].map(|key| Written { key, bytes: 30 }).to_vec(), 60));
}

#[test]
fn a_connection_that_takes_nothing_and_says_so_is_broken() {
    struct Closed;
    impl Write for Closed {
        fn write(&mut self, _: &[u8]) -> io::Result<usize> {
            Ok(0)
        }
        fn flush(&mut self) -> io::Result<()> {
            Ok(())
        }
    }
    let mut outbox = Outbox::default();
    outbox.push(message(1, [1, 1, 1]));
    assert!(outbox.flush(&mut Closed, &mut Vec::new()).is_err());
}

#[test]
fn timers_ring_in_order_of_time_and_of_setting() {
    let mut timers = Timers::default();
    for (at, what) in [(5.0, "c"), (1.0, "a"), (5.0, "d"), (3.0, "b")] {
        timers.schedule(at, what);
    }
    assert_eq!(timers.pop_due(0.5), None);
    assert_eq!(timers.next_deadline(), Some(1.0));
    let rung: Vec<_> = std::iter::from_fn(|| timers.pop_due(5.0)).collect();
    assert_eq!(rung, [(1.0, "a"), (3.0, "b"), (5.0, "c"), (5.0, "d")]);
    assert_eq!(timers.next_deadline(), None);
}

fn line(id: &str, address: Option<&str>, phase: Phase) -> MemberEntry {
    MemberEntry {
        id: id.into(),
        address: address.map(|a| a.parse().unwrap()),
        zone: "edge one".into(),
        kind: "box".into(),
        cell: 2,
        phase,
        size: 4.0,
        started: None,
    }
}

#[test]
fn a_members_number_depends_on_its_name_alone() {
    let (zones, kinds) = (["hub".to_string(), "edge_one".to_string()], ["box".to_string()]);
    let at = Some("127.0.0.1:9");
    let ids = |names: &[&str]| -> Vec<u32> {
        let mut members = Members::default();
        let take = |n: &&str| members.take(&line(n, at, Phase::Ready), &zones, &kinds).unwrap().id;
        names.iter().map(take).collect()
    };
    // Gateways that heard of others, or in another order, agree: the shared hash rests on it.
    let all = ids(&["s-1", "s-2", "s-3"]);
    assert_eq!(ids(&["s-9", "s-3", "s-1", "s-2"])[1..], [all[2], all[0], all[1]]);
    assert!(all[0] != all[1] && all[1] != all[2] && all[0] != all[2]);
}

#[test]
fn a_line_is_taken_with_its_zone_and_place_or_not_at_all() {
    let (zones, kinds) = (["hub".to_string(), "edge_one".to_string()], ["box".to_string()]);
    let mut members = Members::default();
    let m = members.take(&line("s-1", Some("127.0.0.1:9"), Phase::Ready), &zones, &kinds).unwrap();
    assert_eq!((m.zone, m.kind, m.cell, m.weight, m.lifecycle), (1, 0, 2, 4.0, Lifecycle::Ready));
    assert_eq!(members.name(m.id), Some("s-1"));
    assert!(members.endpoint(m.id).is_some());
    // A line that tells only that it has gone keeps where it was, for what is still out there.
    let gone = members.take(&line("s-1", None, Phase::Gone), &zones, &kinds).unwrap();
    assert_eq!((gone.id, gone.lifecycle), (m.id, Lifecycle::Gone));
    assert!(members.endpoint(m.id).is_some());
    let mut other = line("s-2", Some("127.0.0.1:9"), Phase::Ready);
    other.zone = "nowhere".into();
    assert_eq!(members.take(&other, &zones, &kinds), None);
}
