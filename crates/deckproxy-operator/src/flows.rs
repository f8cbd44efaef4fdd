//! The flows' part of the file: relations between its entries, and its form for `deckproxy-flow`.

use crate::finding::Finding;
use crate::{Delivery, Flows, Operator, Protocol, Transport, defaults};
use deckproxy_flow::codec::Version;
use deckproxy_flow::export::{self, Settings};
use deckproxy_flow::meter::Limits;
use std::net::SocketAddr;

/// Bytes that one connection to a collector holds before no further message is put there.
const MAX_IN_FLIGHT: usize = 64 * 1024;

fn bits(v4: u32, v6: u32) -> (u8, u8) {
    (v4.min(32) as u8, v6.min(128) as u8)
}

impl Flows {
    /// How the export is set, defaults filled in.
    pub fn settings(&self) -> Settings {
        Settings {
            version: match self.protocol() {
                Protocol::Ipfix => Version::Ipfix,
                Protocol::NetflowV9 => Version::NetflowV9,
            },
            domain: self.domain.unwrap_or(defaults::DOMAIN),
            enterprise: self.enterprise.unwrap_or(defaults::ENTERPRISE),
            max_message: self.message_bytes.unwrap_or(defaults::MESSAGE_BYTES) as usize,
            message_rate: self.rate.unwrap_or(defaults::RATE),
            template_interval: u64::from(self.refresh_ms.unwrap_or(defaults::REFRESH_MS)),
            spool_size: self.spool_kb.unwrap_or(defaults::SPOOL_KB) as usize * 1024,
            max_in_flight: MAX_IN_FLIGHT,
            stall_timeout: u64::from(self.stall_ms.unwrap_or(defaults::STALL_MS)),
            replicate: self.delivery() == Delivery::ToEach,
        }
    }

    /// How the meter is set, defaults filled in.
    pub fn limits(&self) -> Limits {
        let meter = self.meter.unwrap_or_default();
        let v4 = meter.v4_bits.unwrap_or(defaults::V4_BITS);
        let v6 = meter.v6_bits.unwrap_or(defaults::V6_BITS);
        Limits {
            entries: meter.entries.unwrap_or(defaults::ENTRIES) as usize,
            bits: bits(v4, v6),
            // Where fewer bits are kept from the start, folding does not ask for more.
            folded_bits: bits(
                meter.folded_v4_bits.unwrap_or(defaults::FOLDED_V4_BITS).min(v4),
                meter.folded_v6_bits.unwrap_or(defaults::FOLDED_V6_BITS).min(v6),
            ),
            active: u64::from(meter.active_ms.unwrap_or(defaults::ACTIVE_MS)),
            idle: u64::from(meter.idle_ms.unwrap_or(defaults::IDLE_MS)),
        }
    }

    /// The collectors: where, and how.
    pub fn reached(&self) -> Vec<(SocketAddr, export::Transport)> {
        let all = self.collectors.iter().filter_map(|c| {
            let how = match c.transport() {
                Transport::Udp => export::Transport::Udp,
                Transport::Tcp => export::Transport::Tcp,
            };
            Some((c.address.parse().ok()?, how))
        });
        all.collect()
    }

    /// Milliseconds that a planned end waits for flows to be told.
    pub fn flush(&self) -> f64 {
        f64::from(self.flush_ms.unwrap_or(defaults::FLUSH_MS))
    }
}

/// Faults of entries beside each other.
pub(crate) fn check(operator: &Operator) -> Vec<Finding> {
    let Some(flows) = &operator.flows else { return Vec::new() };
    let mut findings = Vec::new();
    for (i, collector) in flows.collectors.iter().enumerate() {
        if flows.collectors[..i].iter().any(|c| c.address == collector.address) {
            findings.push(Finding::new(
                format!("flows.collectors[{i}].address"),
                format!("{:?} is named already", collector.address),
            ));
        }
        if flows.protocol() == Protocol::NetflowV9 && collector.transport() == Transport::Tcp {
            let what = "NetFlow v9 goes over UDP alone (RFC 3954, 3); IPFIX goes over TCP too".to_string();
            findings.push(Finding::new(format!("flows.collectors[{i}].transport"), what));
        }
    }
    let meter = flows.meter.unwrap_or_default();
    // Fields that are given are held against each other by their own rules; here, one against another's default.
    if meter.idle_ms.is_none() && meter.active_ms.is_some_and(|active| active < defaults::IDLE_MS) {
        findings.push(Finding::new(
            "flows.meter.active_ms".to_string(),
            format!("below idle_ms, which is {} where it is left out", defaults::IDLE_MS),
        ));
    }
    findings
}
