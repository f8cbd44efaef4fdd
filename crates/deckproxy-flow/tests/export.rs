//! The exporting process with collectors that decode its messages: each flow is exported or reported as lost.

use bytes::Bytes;
use deckproxy_flow::codec::elements::{self, EXAMPLE_ENTERPRISE};
use deckproxy_flow::codec::{DecodedRecord, Decoder, Element, Limits, Value, Version};
use deckproxy_flow::export::{Backlog, CollectorIndex, Effect, Exporter, Settings, Transport};
use deckproxy_flow::meter::{Flow, Key, Leg, Limits as MeterLimits, Meter, Outcome, Update};
use std::net::{IpAddr, Ipv4Addr};

const SETTINGS: Settings = Settings {
    version: Version::Ipfix,
    domain: 1,
    enterprise: EXAMPLE_ENTERPRISE,
    max_message: 1400,
    message_rate: 0,
    template_interval: 60_000,
    spool_size: 64 * 1024,
    max_in_flight: 8 * 1024,
    stall_timeout: 3000,
    replicate: false,
};

/// Address of the client with number 0: 10.0.0.0.
const FIRST_CLIENT: u32 = 0x0a00_0000;
/// When all flows were metered, Unix milliseconds.
const METERED_AT: u64 = 1_764_576_000_000;

/// The name of a class or member by its number.
fn name(number: u32) -> &'static str {
    ["", "page", "s-00c41f7a"][number as usize]
}

/// The key of a client's flow: on the client leg, or on the member leg if a member is given.
fn key(meter: &Meter, client: IpAddr, class: u32, member: u32, outcome: Outcome) -> Key {
    let leg = if member == 0 { Leg::Client } else { Leg::Member };
    Key { client: Some(meter.client(client)), class, member, outcome: Some(outcome), ..Key::of(leg) }
}

/// One flow for each client number, with one request, 100 bytes to the client and 7 bytes from it.
fn flows(clients: std::ops::Range<u32>) -> Vec<Flow> {
    let mut meter = Meter::new(MeterLimits { entries: 100_000, ..MeterLimits::default() });
    let update = Update { bytes_to_client: 100, bytes_from_client: 7, requests: 1, latency: Some(900) };
    for client in clients {
        let address = Ipv4Addr::from(FIRST_CLIENT + client).into();
        meter.count(METERED_AT, key(&meter, address, 1, 2, Outcome::Served), &update);
    }
    meter.take_all()
}

/// A collector that decodes its messages, and sums up the flows and the reported losses.
#[derive(Default)]
struct Collector {
    decoder: Option<Decoder>,
    bytes_to_client: u64,
    requests: u64,
    lost_flows: u64,
    lost_requests: u64,
    /// Names of the elements in descriptions, one for each description received.
    element_names: Vec<String>,
    /// Number of missing records, according to the sequence numbers.
    missing: u32,
}

impl Collector {
    fn receive(&mut self, bytes: &Bytes) {
        let decoder = self.decoder.get_or_insert_with(|| Decoder::new(Limits::default()));
        let decoded = decoder.decode(0, bytes);
        assert_eq!((decoded.error, decoded.unknown_sets), (None, 0));
        self.missing += decoded.missing;
        for DecodedRecord { scope, values } in decoded.records {
            let value = |wanted: Element| {
                values.iter().find(|(element, _)| *element == wanted).map(|(_, value)| value)
            };
            let number = |wanted: Element| value(wanted).and_then(Value::number).unwrap_or(0);
            match scope {
                0 => {
                    self.bytes_to_client += number(elements::OCTETS);
                    self.requests += number(elements::FLOWS);
                }
                1 => {
                    self.lost_flows += number(elements::LOST_FLOWS);
                    self.lost_requests += number(elements::FLOWS);
                }
                _ => {
                    if let Some(Value::Bytes(text)) = value(elements::IE_NAME) {
                        self.element_names.push(String::from_utf8(text.to_vec()).unwrap());
                    }
                }
            }
        }
    }
}

/// Polls the exporter and carries out its effects until it is idle.
fn run(
    exporter: &mut Exporter,
    now: u64,
    collectors: &mut [Collector],
    is_reachable: impl Fn(CollectorIndex) -> bool,
) {
    for _ in 0..2000 {
        let has_more = exporter.poll(now, 4, &name);
        let mut had_effects = false;
        while let Some(effect) = exporter.next_effect() {
            had_effects = true;
            match effect {
                Effect::Connect(index) if is_reachable(index) => exporter.connected(now, index),
                Effect::Connect(index) => exporter.disconnected(now, index),
                Effect::Send { collector: index, number, message } if is_reachable(index) => {
                    collectors[index].receive(&message);
                    exporter.message_sent(now, index, number);
                }
                Effect::Send { .. } | Effect::Close(_) | Effect::Log(_) => {}
            }
        }
        if !has_more && !had_effects {
            return;
        }
    }
    panic!("the exporter never becomes idle");
}

#[test]
fn all_flows_are_exported_with_their_names_and_types() {
    let mut exporter = Exporter::new(SETTINGS, &[Transport::Tcp], 0, 0);
    let mut collectors = [Collector::default()];
    for flow in flows(0..250) {
        exporter.push(flow);
    }
    run(&mut exporter, 10, &mut collectors, |_| true);
    assert_eq!(
        (collectors[0].bytes_to_client, collectors[0].requests, collectors[0].missing),
        (25_000, 250, 0)
    );
    assert_eq!(
        collectors[0].element_names.len(),
        elements::PROJECT_ELEMENTS.len(),
        "each of this project's elements is described once per connection"
    );
    assert_eq!((exporter.backlog(), exporter.counters.requests), (Backlog::default(), 250));
}

#[test]
fn a_collector_that_was_down_for_minutes_gets_all_sums_later() {
    let mut exporter = Exporter::new(SETTINGS, &[Transport::Tcp], 0, 0);
    let mut collectors = [Collector::default()];
    // All flows are of the same 100 clients: they are merged by key, and none is dropped.
    for minute in 0..60 {
        for flow in flows(0..100) {
            exporter.push(flow);
        }
        run(&mut exporter, minute * 5000, &mut collectors, |_| false);
    }
    assert!(exporter.backlog().spooled * size_of::<Flow>() <= SETTINGS.spool_size, "bounded");
    run(&mut exporter, 400_000, &mut collectors, |_| true);
    assert_eq!(
        (collectors[0].requests, collectors[0].bytes_to_client, collectors[0].lost_flows),
        (6000, 600_000, 0)
    );
}

#[test]
fn dropped_flows_are_counted_and_reported() {
    let mut exporter = Exporter::new(SETTINGS, &[Transport::Tcp], 0, 0);
    let mut collectors = [Collector::default()];
    // Each flow has a different client, so that none can be merged.
    for flow in flows(0..5000) {
        exporter.push(flow);
    }
    assert!(exporter.unreported_loss().flows > 0);
    run(&mut exporter, 10, &mut collectors, |_| true);
    assert!(collectors[0].lost_flows > 0 && collectors[0].requests > 100);
    assert_eq!(
        collectors[0].requests + collectors[0].lost_requests,
        5000,
        "each request is exported or reported as lost"
    );
    assert!(exporter.unreported_loss().is_zero());
}

#[test]
fn flows_of_unwritten_messages_are_sent_again() {
    let mut exporter = Exporter::new(SETTINGS, &[Transport::Tcp], 0, 0);
    let mut collectors = [Collector::default()];
    for flow in flows(0..300) {
        exporter.push(flow);
    }
    exporter.poll(10, 100, &name);
    assert_eq!(exporter.next_effect(), Some(Effect::Connect(0)));
    exporter.connected(10, 0);
    exporter.poll(10, 100, &name);
    let in_flight = exporter.backlog().in_flight;
    assert!(in_flight > 0);
    // The collector reads nothing: the connection is closed after the stall timeout, but not before.
    run(&mut exporter, 3000, &mut collectors, |_| false);
    assert_eq!(exporter.backlog().in_flight, in_flight);
    exporter.poll(3011, 100, &name);
    let effects: Vec<Effect> = std::iter::from_fn(|| exporter.next_effect()).collect();
    assert!(effects.contains(&Effect::Close(0)), "{effects:?}");
    assert_eq!(exporter.backlog(), Backlog { spooled: 300, in_flight: 0 });
    run(&mut exporter, 20_000, &mut collectors, |_| true);
    assert_eq!(collectors[0].requests, 300);
}

#[test]
fn a_standby_collector_takes_over_and_replicas_get_all_flows() {
    let mut exporter = Exporter::new(SETTINGS, &[Transport::Tcp, Transport::Tcp], 0, 0);
    let mut collectors = [Collector::default(), Collector::default()];
    for flow in flows(0..100) {
        exporter.push(flow);
    }
    run(&mut exporter, 10, &mut collectors, |_| true);
    for flow in flows(0..100) {
        exporter.push(flow);
    }
    exporter.disconnected(20, 0);
    run(&mut exporter, 20, &mut collectors, |index| index == 1);
    assert_eq!((collectors[0].requests, collectors[1].requests), (100, 100));
    let replicas = Settings { replicate: true, ..SETTINGS };
    let mut exporter = Exporter::new(replicas, &[Transport::Tcp, Transport::Udp], 0, 0);
    let mut collectors = [Collector::default(), Collector::default()];
    for flow in flows(0..100) {
        exporter.push(flow);
    }
    run(&mut exporter, 10, &mut collectors, |index| index == 1);
    run(&mut exporter, 5000, &mut collectors, |_| true);
    assert_eq!((collectors[0].requests, collectors[1].requests), (100, 100));
}

#[test]
fn over_udp_templates_are_repeated_and_the_message_rate_is_kept() {
    let settings = Settings { template_interval: 1000, message_rate: 10, ..SETTINGS };
    let mut exporter = Exporter::new(settings, &[Transport::Udp], 0, 0);
    let mut collectors = [Collector::default()];
    run(&mut exporter, 0, &mut collectors, |_| true);
    run(&mut exporter, 10, &mut collectors, |_| true);
    let repetitions =
        |collectors: &[Collector]| collectors[0].element_names.len() / elements::PROJECT_ELEMENTS.len();
    assert_eq!(repetitions(&collectors), 1);
    run(&mut exporter, 900, &mut collectors, |_| true);
    assert_eq!(repetitions(&collectors), 1);
    run(&mut exporter, 1200, &mut collectors, |_| true);
    assert_eq!(repetitions(&collectors), 2);
    // A collector that has lost its templates decodes flows again once the templates are repeated.
    collectors[0].decoder = None;
    for flow in flows(0..350) {
        exporter.push(flow);
    }
    run(&mut exporter, 2300, &mut collectors, |_| true);
    let sent = exporter.counters.messages;
    run(&mut exporter, 2301, &mut collectors, |_| true);
    assert_eq!(exporter.counters.messages, sent, "no more at once than the rate allows");
    for now in (2400..9000).step_by(100) {
        run(&mut exporter, now, &mut collectors, |_| true);
    }
    assert_eq!(collectors[0].requests, 350);
}

#[test]
fn netflow_v9_carries_the_same_sums() {
    let settings = Settings { version: Version::NetflowV9, ..SETTINGS };
    let mut exporter = Exporter::new(settings, &[Transport::Udp], 0, 0);
    let mut collectors = [Collector::default()];
    for flow in flows(0..200) {
        exporter.push(flow);
    }
    run(&mut exporter, 10, &mut collectors, |_| true);
    assert_eq!(collectors[0].requests, 0, "templates are sent ahead");
    run(&mut exporter, 120, &mut collectors, |_| true);
    assert_eq!(
        (collectors[0].bytes_to_client, collectors[0].requests, collectors[0].missing),
        (20_000, 200, 0)
    );
}

#[test]
fn no_flow_is_sent_over_udp_where_no_collector_listens() {
    let mut exporter = Exporter::new(SETTINGS, &[Transport::Udp], 0, 0);
    let mut collectors = [Collector::default()];
    for flow in flows(0..50) {
        exporter.push(flow);
    }
    for now in (0..60_000).step_by(50) {
        run(&mut exporter, now, &mut collectors, |_| true);
        // The network reports the closed port after the first datagram, before any flow is sent.
        exporter.disconnected(now + 1, 0);
    }
    assert_eq!((collectors[0].requests, exporter.backlog().spooled), (0, 50));
    let attempts = collectors[0].element_names.len() / elements::PROJECT_ELEMENTS.len();
    assert!((6..20).contains(&attempts), "{attempts} attempts: the backoff grows");
    run(&mut exporter, 75_000, &mut collectors, |_| true);
    run(&mut exporter, 75_200, &mut collectors, |_| true);
    assert_eq!(collectors[0].requests, 50);
}

#[test]
fn sequence_numbers_continue_from_the_first_unwritten_message() {
    let start = u32::MAX - 40;
    let mut exporter = Exporter::new(SETTINGS, &[Transport::Tcp], start, 0);
    // The decoder is the same for both connections: it would detect a gap, also across the wrap at 2^32.
    let mut collectors = [Collector::default()];
    for flow in flows(0..100) {
        exporter.push(flow);
    }
    run(&mut exporter, 10, &mut collectors, |_| true);
    for flow in flows(100..200) {
        exporter.push(flow);
    }
    exporter.poll(20, 100, &name);
    assert!(exporter.backlog().in_flight > 0, "in flight, and not written");
    while exporter.next_effect().is_some() {}
    exporter.disconnected(30, 0);
    run(&mut exporter, 1000, &mut collectors, |_| true);
    assert_eq!((collectors[0].requests, collectors[0].missing), (200, 0));
}

#[test]
fn collectors_are_replaced_in_service_without_loss_or_duplicates() {
    for replicate in [false, true] {
        let settings = Settings { replicate, ..SETTINGS };
        let both = [Transport::Tcp, Transport::Tcp];
        let mut exporter = Exporter::new(settings, &both, 0, 0);
        let mut collectors = [Collector::default(), Collector::default()];
        for flow in flows(0..40) {
            exporter.push(flow);
        }
        // Neither is up at first. Then the first is removed, the second is kept at index 0, and a new one is added.
        run(&mut exporter, 10, &mut collectors, |_| false);
        exporter.poll(5000, 0, &name);
        while exporter.next_effect().is_some() {}
        exporter.connected(5000, 1);
        exporter.poll(5001, 100, &name);
        while exporter.next_effect().is_some() {}
        assert_eq!(exporter.backlog().in_flight, 40, "in flight to the second");
        exporter.replace_collectors(settings, &[(Transport::Tcp, Some(1)), (Transport::Tcp, None)], 5002);
        assert_eq!(exporter.backlog().in_flight, 40, "its connection stays");
        for flow in flows(40..60) {
            exporter.push(flow);
        }
        // The second's connection is lost before a byte is written: all its flows are sent again.
        exporter.disconnected(5003, 0);
        run(&mut exporter, 60_000, &mut collectors, |_| true);
        let requests = [collectors[0].requests, collectors[1].requests];
        // A new replica receives the flows pushed since it was added, a standby none.
        let expected = if replicate { [60, 20] } else { [60, 0] };
        assert_eq!((requests, exporter.is_drained()), (expected, true), "replicate: {replicate}");
    }
}

#[test]
fn the_smallest_message_holds_all_templates() {
    for (version, transport) in [(Version::Ipfix, Transport::Tcp), (Version::NetflowV9, Transport::Udp)] {
        let settings = Settings { version, max_message: 1024, ..SETTINGS };
        let mut exporter = Exporter::new(settings, &[transport], 0, 0);
        let mut collectors = [Collector::default()];
        for flow in flows(0..30) {
            exporter.push(flow);
        }
        run(&mut exporter, 10, &mut collectors, |_| true);
        run(&mut exporter, 200, &mut collectors, |_| true);
        assert_eq!(collectors[0].requests, 30, "{version:?}");
    }
}
