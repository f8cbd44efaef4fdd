//! The encoding of messages between instances: their fields are encoded in order, like those of plain tuples, so that
//! instances of different versions interoperate.

use deckproxy_fleet::fleet::{Heartbeat, kinds};
use deckproxy_fleet::gossip_store::{AuthorUpdate, Delta, Digest, EntryUpdate, Key, Mark, Position};
use deckproxy_fleet::health::Health;
use deckproxy_fleet::instance::Instance;
use deckproxy_fleet::overload::rejection_batch::RejectionBatch;
use deckproxy_fleet::overload::shed_level::{ResourceShedLevel, ShedLevel};
use deckproxy_fleet::overload::summary::{Summary, Tally};
use deckproxy_fleet::wire::{Body, Packet};
use serde::Serialize;
use std::net::SocketAddr;

fn bytes(value: &impl Serialize) -> Vec<u8> {
    postcard::to_stdvec(value).unwrap()
}

#[test]
fn packets_have_their_fields_in_order() {
    let address: SocketAddr = "10.0.0.9:7100".parse().unwrap();
    let from =
        Instance { name: "i9".into(), zone: "z1".into(), address, incarnation: 700, renewals: 3, weight: 5 };
    let from_fields = ("i9", "z1", address, 700u64, 3u32, 5u16);
    let packet = |body| bytes(&Packet { from: from.clone(), body });
    let hello = Body::Hello { is_reply: true, known_incarnation: Some(701) };
    assert_eq!(packet(hello), bytes(&(from_fields, 0u8, true, Some(701u64))));
    assert_eq!(packet(Body::Swim(vec![7, 8])), bytes(&(from_fields, 1u8, vec![7u8, 8])));
    let digest = Digest {
        receiver: Some(Position { incarnation: 300, version: 4 }),
        marks: vec![Mark { author: 9_000, incarnation: 800, version: 6 }],
        complete: true,
        is_request: false,
    };
    let digest_fields = (Some((300u64, 4u64)), vec![(9_000u64, 800u64, 6u64)], true, false);
    assert_eq!(packet(Body::Digest(digest)), bytes(&(from_fields, 2u8, digest_fields)));
    let entry = EntryUpdate {
        key: Key { kind: kinds::HEALTH, subject: "m-1".into() },
        version: 11,
        age: 500,
        ttl: 15_000,
        value: Some(vec![1]),
    };
    let author =
        AuthorUpdate { author: "i9".into(), incarnation: 700, after: 10, up_to: 12, entries: vec![entry] };
    let entry_fields = ((1u8, "m-1"), 11u64, 500u32, 15_000u32, Some(vec![1u8]));
    let delta_fields = vec![("i9", 700u64, 10u64, 12u64, vec![entry_fields])];
    let delta = Body::Delta(Delta { authors: vec![author] });
    assert_eq!(packet(delta), bytes(&(from_fields, 3u8, delta_fields)));
}

#[test]
fn entries_have_their_fields_in_order() {
    let heartbeat = Heartbeat { open_requests: 1000, leaving: true, known_instances: 300 };
    assert_eq!(bytes(&heartbeat), bytes(&(1000u32, true, 300u16)));
    let health = [Health::Healthy, Health::Failing, Health::HalfOpen];
    assert_eq!(health.map(|health| bytes(&health)), [[0], [1], [2]]);
    let line = ResourceShedLevel {
        min_priority: 40_000,
        admitted_rate: 1.5,
        offered_rate: 2.5,
        reserved_share: 600,
        retry_rate: 3.5,
    };
    let level = ShedLevel { epoch: 9, epoch_age: 400, resources: [None, Some(line)] };
    let line_fields = (40_000u32, 1.5f32, 2.5f32, 600u16, 3.5f32);
    let lines = (None::<()>, Some(line_fields));
    assert_eq!(bytes(&level), bytes(&(9u64, 400u16, lines)));
    let tally = Tally {
        arrivals: [300; 24],
        retries: 1,
        admitted_retries: 2,
        admitted_firsts: 3,
        admitted: 4,
        served: 5,
        rejected: 6,
        wasted: 7,
        slow: 8,
    };
    let tally_fields = ([300u16; 24], 1u16, 2u16, 3u16, 4u16, 5u16, 6u16, 7u16, 8u16);
    let summary = Summary { span: 500, resources: [tally, Tally::default()] };
    let empty_fields = ([0u16; 24], 0u16, 0u16, 0u16, 0u16, 0u16, 0u16, 0u16, 0u16);
    assert_eq!(bytes(&summary), bytes(&(500u16, tally_fields, empty_fields)));
    let batch = RejectionBatch { number: 300, rejections: vec![1, 2, 3, 4, 130] };
    assert_eq!(bytes(&batch), bytes(&(300u64, vec![1u8, 2, 3, 4, 130])));
}

#[test]
fn entry_kinds_keep_their_numbers() {
    let all = [kinds::HEARTBEAT, kinds::HEALTH, kinds::SUMMARY, kinds::SHED_LEVEL, kinds::REJECTIONS];
    assert_eq!(all, [0, 1, 2, 3, 4]);
}
