//! The exporting process against a collector that reads its messages: nothing is lost that is not told.

use bytes::Bytes;
use deckproxy_flow::codec::elements::{self, EXAMPLE_ENTERPRISE};
use deckproxy_flow::codec::{Decoder, Element, Limits, Value, Version};
use deckproxy_flow::export::{Effect, Exporter, Settings, Transport};
use deckproxy_flow::meter::{Flow, Key, Leg, Limits as MeterLimits, Meter, Outcome, Update};
use std::net::{IpAddr, Ipv4Addr};

const SETTINGS: Settings = Settings {
    version: Version::Ipfix,
    domain: 1,
    enterprise: EXAMPLE_ENTERPRISE,
    largest: 1400,
    rate: 0,
    refresh: 60_000,
    spool: 64 * 1024,
    queued: 8 * 1024,
    stall: 3000,
    copies: false,
};

fn name(n: u32) -> &'static str {
    ["", "page", "s-00c41f7a"][n as usize]
}

/// The key of what a client did: of its own leg, or of a member's where one is named.
fn key(meter: &Meter, client: IpAddr, class: u32, member: u32, outcome: Outcome) -> Key {
    let leg = if member == 0 { Leg::Client } else { Leg::Member };
    Key { client: Some(meter.client(client)), class, member, outcome: Some(outcome), ..Key::of(leg) }
}

/// Flows of clients with numbers from one on, each of one request and 100 bytes out, 7 back.
fn flows(clients: std::ops::Range<u32>) -> Vec<Flow> {
    let mut meter = Meter::new(MeterLimits { entries: 100_000, ..MeterLimits::default() });
    for n in clients {
        let key = key(&meter, Ipv4Addr::from(0x0a00_0000 + n).into(), 1, 2, Outcome::Served);
        meter.count(1_764_576_000_000, key, &Update { out: 100, back: 7, requests: 1, latency: Some(900) });
    }
    meter.end()
}

/// What collectors have read: sums of bytes out and requests, and of losses that were told.
#[derive(Default)]
struct Read {
    decoder: Option<Decoder>,
    out: u64,
    requests: u64,
    lost_flows: u64,
    lost_requests: u64,
    names: Vec<String>,
    missing: u32,
}

impl Read {
    fn message(&mut self, bytes: &Bytes) {
        let got = self.decoder.get_or_insert_with(|| Decoder::new(Limits::default())).message(0, bytes);
        assert_eq!((got.fault, got.unknown), (None, 0));
        self.missing += got.missing;
        for (scope, values) in got.records {
            let number = |element: Element| {
                values.iter().find(|(e, _)| *e == element).and_then(|(_, v)| v.number()).unwrap_or(0)
            };
            match scope {
                0 => {
                    self.out += number(elements::OCTETS);
                    self.requests += number(elements::FLOWS);
                }
                1 => {
                    self.lost_flows += number(elements::LOST_FLOWS);
                    self.lost_requests += number(elements::FLOWS);
                }
                _ => {
                    let name = values.iter().find(|(e, _)| *e == elements::IE_NAME);
                    if let Some((_, Value::Bytes(text))) = name {
                        self.names.push(String::from_utf8(text.to_vec()).unwrap());
                    }
                }
            }
        }
    }
}

/// Works, answers what is asked, and has `takes` tell for each collector whether it is there and writes.
fn run(exporter: &mut Exporter, now: u64, reads: &mut [Read], takes: impl Fn(usize) -> bool) {
    for _ in 0..2000 {
        let more = exporter.work(now, 4, &name);
        let mut any = false;
        while let Some(effect) = exporter.effect() {
            any = true;
            match effect {
                Effect::Connect(place) if takes(place) => exporter.connected(now, place),
                Effect::Connect(place) => exporter.broke(now, place),
                Effect::Send(place, number, bytes) if takes(place) => {
                    reads[place].message(&bytes);
                    exporter.written(now, place, number);
                }
                Effect::Send(..) | Effect::Close(_) | Effect::Log(_) => {}
            }
        }
        if !more && !any {
            return;
        }
    }
    panic!("it never comes to rest");
}

#[test]
fn all_flows_come_with_their_names_and_types() {
    let mut exporter = Exporter::new(SETTINGS, &[Transport::Tcp], 0, 0);
    let mut reads = [Read::default()];
    flows(0..250).into_iter().for_each(|f| exporter.push(f));
    run(&mut exporter, 10, &mut reads, |_| true);
    assert_eq!((reads[0].out, reads[0].requests, reads[0].missing), (25_000, 250, 0));
    assert_eq!(
        reads[0].names.len(),
        elements::OWN.len(),
        "each of our elements is described once a connection"
    );
    assert_eq!((exporter.waiting(), exporter.counters.requests), ((0, 0), 250));
}

#[test]
fn a_collector_that_is_gone_for_minutes_gets_all_sums_later() {
    let mut exporter = Exporter::new(SETTINGS, &[Transport::Tcp], 0, 0);
    let mut reads = [Read::default()];
    // The same 100 clients again and again: merged by key, nothing is dropped.
    for minute in 0..60 {
        flows(0..100).into_iter().for_each(|f| exporter.push(f));
        run(&mut exporter, minute * 5000, &mut reads, |_| false);
    }
    assert!(exporter.waiting().0 * size_of::<Flow>() <= SETTINGS.spool, "bounded");
    run(&mut exporter, 400_000, &mut reads, |_| true);
    assert_eq!((reads[0].requests, reads[0].out, reads[0].lost_flows), (6000, 600_000, 0));
}

#[test]
fn what_has_to_be_dropped_is_counted_and_told() {
    let mut exporter = Exporter::new(SETTINGS, &[Transport::Tcp], 0, 0);
    let mut reads = [Read::default()];
    // Every flow another client: there is nothing to merge.
    flows(0..5000).into_iter().for_each(|f| exporter.push(f));
    assert!(exporter.untold().flows > 0);
    run(&mut exporter, 10, &mut reads, |_| true);
    assert!(reads[0].lost_flows > 0 && reads[0].requests > 100);
    assert_eq!(reads[0].requests + reads[0].lost_requests, 5000, "each request is exported or told as lost");
    assert!(exporter.untold().is_none());
}

#[test]
fn what_a_connection_did_not_write_goes_again() {
    let mut exporter = Exporter::new(SETTINGS, &[Transport::Tcp], 0, 0);
    let mut reads = [Read::default()];
    flows(0..300).into_iter().for_each(|f| exporter.push(f));
    exporter.work(10, 100, &name);
    assert_eq!(exporter.effect(), Some(Effect::Connect(0)));
    exporter.connected(10, 0);
    exporter.work(10, 100, &name);
    let held = exporter.waiting().1;
    assert!(held > 0);
    // Its window is shut: given up after the stall, and not before.
    run(&mut exporter, 3000, &mut reads, |_| false);
    assert_eq!(exporter.waiting().1, held);
    exporter.work(3011, 100, &name);
    let effects: Vec<Effect> = std::iter::from_fn(|| exporter.effect()).collect();
    assert!(effects.contains(&Effect::Close(0)), "{effects:?}");
    assert_eq!(exporter.waiting(), (300, 0));
    run(&mut exporter, 20_000, &mut reads, |_| true);
    assert_eq!(reads[0].requests, 300);
}

#[test]
fn one_that_stands_by_takes_over_and_copies_get_everything() {
    let mut exporter = Exporter::new(SETTINGS, &[Transport::Tcp, Transport::Tcp], 0, 0);
    let mut reads = [Read::default(), Read::default()];
    flows(0..100).into_iter().for_each(|f| exporter.push(f));
    run(&mut exporter, 10, &mut reads, |_| true);
    flows(0..100).into_iter().for_each(|f| exporter.push(f));
    exporter.broke(20, 0);
    run(&mut exporter, 20, &mut reads, |place| place == 1);
    assert_eq!((reads[0].requests, reads[1].requests), (100, 100));
    let copies = Settings { copies: true, ..SETTINGS };
    let mut exporter = Exporter::new(copies, &[Transport::Tcp, Transport::Udp], 0, 0);
    let mut reads = [Read::default(), Read::default()];
    flows(0..100).into_iter().for_each(|f| exporter.push(f));
    run(&mut exporter, 10, &mut reads, |place| place == 1);
    run(&mut exporter, 5000, &mut reads, |_| true);
    assert_eq!((reads[0].requests, reads[1].requests), (100, 100));
}

#[test]
fn over_udp_templates_are_told_again_and_messages_keep_the_rate() {
    let settings = Settings { refresh: 1000, rate: 10, ..SETTINGS };
    let mut exporter = Exporter::new(settings, &[Transport::Udp], 0, 0);
    let mut reads = [Read::default()];
    run(&mut exporter, 0, &mut reads, |_| true);
    run(&mut exporter, 10, &mut reads, |_| true);
    let told = |reads: &[Read]| reads[0].names.len() / elements::OWN.len();
    assert_eq!(told(&reads), 1);
    run(&mut exporter, 900, &mut reads, |_| true);
    assert_eq!(told(&reads), 1);
    run(&mut exporter, 1200, &mut reads, |_| true);
    assert_eq!(told(&reads), 2);
    // A collector that lost its templates reads again after a refresh.
    reads[0].decoder = None;
    flows(0..350).into_iter().for_each(|f| exporter.push(f));
    run(&mut exporter, 2300, &mut reads, |_| true);
    let sent = exporter.counters.messages;
    run(&mut exporter, 2301, &mut reads, |_| true);
    assert_eq!(exporter.counters.messages, sent, "no more at once than the rate allows");
    for now in (2400..9000).step_by(100) {
        run(&mut exporter, now, &mut reads, |_| true);
    }
    assert_eq!(reads[0].requests, 350);
}

#[test]
fn netflow_v9_carries_the_same_sums() {
    let settings = Settings { version: Version::NetflowV9, ..SETTINGS };
    let mut exporter = Exporter::new(settings, &[Transport::Udp], 0, 0);
    let mut reads = [Read::default()];
    flows(0..200).into_iter().for_each(|f| exporter.push(f));
    run(&mut exporter, 10, &mut reads, |_| true);
    assert_eq!(reads[0].requests, 0, "templates go ahead");
    run(&mut exporter, 120, &mut reads, |_| true);
    assert_eq!((reads[0].out, reads[0].requests, reads[0].missing), (20_000, 200, 0));
}

#[test]
fn where_nobody_listens_on_udp_no_flow_is_spent_on_it() {
    let mut exporter = Exporter::new(SETTINGS, &[Transport::Udp], 0, 0);
    let mut reads = [Read::default()];
    flows(0..50).into_iter().for_each(|f| exporter.push(f));
    for now in (0..60_000).step_by(50) {
        run(&mut exporter, now, &mut reads, |_| true);
        // The network says so after the first datagram, long before the flows may follow.
        exporter.broke(now + 1, 0);
    }
    assert_eq!((reads[0].requests, exporter.waiting().0), (0, 50));
    let tries = reads[0].names.len() / elements::OWN.len();
    assert!((6..20).contains(&tries), "{tries} tries: not for ever at the first pace");
    run(&mut exporter, 75_000, &mut reads, |_| true);
    run(&mut exporter, 75_200, &mut reads, |_| true);
    assert_eq!(reads[0].requests, 50);
}

#[test]
fn numbers_go_on_from_the_first_message_that_was_not_written() {
    let start = u32::MAX - 40;
    let mut exporter = Exporter::new(SETTINGS, &[Transport::Tcp], start, 0);
    // One reader across the connections: it would see a gap, also over the wrap at 2^32.
    let mut reads = [Read::default()];
    flows(0..100).into_iter().for_each(|f| exporter.push(f));
    run(&mut exporter, 10, &mut reads, |_| true);
    flows(100..200).into_iter().for_each(|f| exporter.push(f));
    exporter.work(20, 100, &name);
    assert!(exporter.waiting().1 > 0, "handed over, and not written");
    while exporter.effect().is_some() {}
    exporter.broke(30, 0);
    run(&mut exporter, 1000, &mut reads, |_| true);
    assert_eq!((reads[0].requests, reads[0].missing), (200, 0));
}

#[test]
fn collectors_change_in_service_and_nothing_is_lost_or_doubled() {
    for copies in [false, true] {
        let settings = Settings { copies, ..SETTINGS };
        let both = [Transport::Tcp, Transport::Tcp];
        let mut exporter = Exporter::new(settings, &both, 0, 0);
        let mut reads = [Read::default(), Read::default()];
        flows(0..40).into_iter().for_each(|f| exporter.push(f));
        // Neither is there; then the first leaves the list, the second stays and moves up, a new one comes.
        run(&mut exporter, 10, &mut reads, |_| false);
        exporter.work(5000, 0, &name);
        while exporter.effect().is_some() {}
        exporter.connected(5000, 1);
        exporter.work(5001, 100, &name);
        while exporter.effect().is_some() {}
        assert_eq!(exporter.waiting().1, 40, "on its way to the second");
        exporter.replace(settings, &[(Transport::Tcp, Some(1)), (Transport::Tcp, None)], 5002);
        assert_eq!(exporter.waiting().1, 40, "its connection goes on");
        flows(40..60).into_iter().for_each(|f| exporter.push(f));
        // That connection breaks without a byte written: all goes again.
        exporter.broke(5003, 0);
        run(&mut exporter, 60_000, &mut reads, |_| true);
        let got = [reads[0].requests, reads[1].requests];
        // Where each gets all, a newcomer gets what comes from then on.
        let want = if copies { [60, 20] } else { [60, 0] };
        assert_eq!((got, exporter.is_settled()), (want, true), "copies: {copies}");
    }
}

#[test]
fn the_smallest_message_holds_all_templates() {
    for (version, transport) in [(Version::Ipfix, Transport::Tcp), (Version::NetflowV9, Transport::Udp)] {
        let settings = Settings { version, largest: 1024, ..SETTINGS };
        let mut exporter = Exporter::new(settings, &[transport], 0, 0);
        let mut reads = [Read::default()];
        flows(0..30).into_iter().for_each(|f| exporter.push(f));
        run(&mut exporter, 10, &mut reads, |_| true);
        run(&mut exporter, 200, &mut reads, |_| true);
        assert_eq!(reads[0].requests, 30, "{version:?}");
    }
}
