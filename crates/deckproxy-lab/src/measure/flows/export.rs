//! How fast an exporter encodes flows and hands them over.

use super::client_address;
use crate::measure::show;
use crate::output::print_line;
use deckproxy_flow::codec::Version;
use deckproxy_flow::codec::elements::EXAMPLE_ENTERPRISE;
use deckproxy_flow::export::{Backlog, Effect, Exporter, Settings, Transport};
use deckproxy_flow::meter::{Key, Leg, Limits, Meter, Outcome, Update};
use std::time::Instant;

const FLOWS: usize = 500_000;
/// Protocols, and the largest message of each, bytes.
const PROTOCOLS: [(&str, Version, usize); 3] = [
    ("IPFIX, 1,400 bytes", Version::Ipfix, 1400),
    ("IPFIX, 65,000 bytes", Version::Ipfix, 65_000),
    ("NetFlow v9, 1,400 bytes", Version::NetflowV9, 1400),
];
/// Messages that the exporter may hand over at a time.
const MESSAGES_PER_POLL: usize = 64;
/// What each flow counted.
const UPDATE: Update =
    Update { bytes_to_client: 1000, bytes_from_client: 60, requests: 1, latency: Some(900) };

/// Runs the measurement.
pub fn run() {
    print_line!("\nFlows encoded and handed over, one core, no socket");
    let rows = PROTOCOLS.map(|(name, version, max_message)| {
        let mut exporter = connected_exporter(version, max_message);
        let start = Instant::now();
        let bytes = export_all(&mut exporter);
        let flows_per_second = FLOWS as f64 / start.elapsed().as_secs_f64();
        vec![
            name.to_string(),
            format!("{flows_per_second:.0}"),
            format!("{:.0}", bytes as f64 / FLOWS as f64),
        ]
    });
    show(&["what", "flows a second", "bytes a flow"], &rows);
}

/// An exporter with a connection, and with all flows in its spool.
fn connected_exporter(version: Version, max_message: usize) -> Exporter {
    let settings = Settings {
        version,
        domain: 1,
        enterprise: EXAMPLE_ENTERPRISE,
        max_message,
        message_rate: 0,
        template_interval: 60_000,
        spool_size: usize::MAX / 2,
        max_in_flight: usize::MAX,
        stall_timeout: 1000,
        replicate: false,
    };
    let mut exporter = Exporter::new(settings, &[Transport::Tcp], 0, 0);
    meter().take_all().into_iter().for_each(|flow| exporter.push(flow));
    exporter.poll(1, 1, &|_| "page");
    exporter.connected(1, 0);
    exporter
}

/// A meter with a flow of each client.
fn meter() -> Meter {
    let mut meter = Meter::new(Limits { entries: FLOWS, ..Limits::default() });
    for n in 0..FLOWS {
        let client = Some(meter.client(client_address(n)));
        let key = Key { client, class: 1, outcome: Some(Outcome::Served), ..Key::of(Leg::Client) };
        meter.count(1000, key, &UPDATE);
    }
    meter
}

/// Takes messages until the spool is empty, and gives their bytes.
fn export_all(exporter: &mut Exporter) -> usize {
    let mut bytes = 0;
    while exporter.poll(2, MESSAGES_PER_POLL, &|_| "page") || exporter.backlog() != Backlog::default() {
        while let Some(effect) = exporter.next_effect() {
            if let Effect::Send { collector, number, message } = effect {
                bytes += message.len();
                exporter.message_sent(2, collector, number);
            }
        }
    }
    bytes
}
