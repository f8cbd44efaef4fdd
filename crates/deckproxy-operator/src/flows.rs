//! The `flows` section of the file: checks of the relations between its fields, and its conversion to the settings of
//! `deckproxy-flow`.

use crate::finding::Finding;
use crate::{Collector, Delivery, Flows, Operator, Protocol, Transport, defaults};
use deckproxy_flow::codec::Version;
use deckproxy_flow::export::{self, Settings};
use deckproxy_flow::meter::Limits;
use std::net::SocketAddr;

/// Bytes in flight on one connection to a collector above which no further message is queued there.
const MAX_IN_FLIGHT_BYTES: usize = 64 * 1024;

/// Prefix lengths of IPv4 and IPv6 addresses, limited to the length of an address.
fn prefix_bits(v4: u32, v6: u32) -> (u8, u8) {
    (v4.min(32) as u8, v6.min(128) as u8)
}

impl Flows {
    /// The settings of the export, including defaults.
    pub fn settings(&self) -> Settings {
        Settings {
            version: match self.protocol() {
                Protocol::Ipfix => Version::Ipfix,
                Protocol::NetflowV9 => Version::NetflowV9,
            },
            domain: self.domain.unwrap_or(defaults::flows::OBSERVATION_DOMAIN),
            enterprise: self.enterprise.unwrap_or(defaults::flows::ENTERPRISE_NUMBER),
            max_message: self.message_bytes.unwrap_or(defaults::flows::MAX_MESSAGE_BYTES) as usize,
            message_rate: self.rate.unwrap_or(defaults::flows::MAX_MESSAGE_RATE),
            template_interval: u64::from(self.refresh_ms.unwrap_or(defaults::flows::TEMPLATE_INTERVAL_MS)),
            spool_size: self.spool_kb.unwrap_or(defaults::flows::SPOOL_SIZE_KB) as usize * 1024,
            max_in_flight: MAX_IN_FLIGHT_BYTES,
            stall_timeout: u64::from(self.stall_ms.unwrap_or(defaults::flows::STALL_TIMEOUT_MS)),
            replicate: self.delivery() == Delivery::ToEach,
        }
    }

    /// The limits of the meter, including defaults.
    pub fn meter_limits(&self) -> Limits {
        let meter = self.meter.unwrap_or_default();
        let v4 = meter.v4_bits.unwrap_or(defaults::meter::IPV4_BITS);
        let v6 = meter.v6_bits.unwrap_or(defaults::meter::IPV6_BITS);
        Limits {
            entries: meter.entries.unwrap_or(defaults::meter::MAX_ENTRIES) as usize,
            prefix_bits: prefix_bits(v4, v6),
            // A folded flow never has a longer prefix than an unfolded one.
            folded_prefix_bits: prefix_bits(
                meter.folded_v4_bits.unwrap_or(defaults::meter::FOLDED_IPV4_BITS).min(v4),
                meter.folded_v6_bits.unwrap_or(defaults::meter::FOLDED_IPV6_BITS).min(v6),
            ),
            active_timeout: u64::from(meter.active_ms.unwrap_or(defaults::meter::ACTIVE_TIMEOUT_MS)),
            idle_timeout: u64::from(meter.idle_ms.unwrap_or(defaults::meter::IDLE_TIMEOUT_MS)),
        }
    }

    /// The address and the transport of each collector.
    pub fn collector_endpoints(&self) -> Vec<(SocketAddr, export::Transport)> {
        let endpoint = |collector: &Collector| {
            let transport = match collector.transport() {
                Transport::Udp => export::Transport::Udp,
                Transport::Tcp => export::Transport::Tcp,
            };
            Some((collector.address.parse().ok()?, transport))
        };
        self.collectors.iter().filter_map(endpoint).collect()
    }

    /// Time that a graceful shutdown waits for the export, ms.
    pub fn flush_timeout(&self) -> f64 {
        f64::from(self.flush_ms.unwrap_or(defaults::flows::FLUSH_TIMEOUT_MS))
    }
}

/// Checks the relations between fields.
pub(crate) fn check(operator: &Operator) -> Vec<Finding> {
    let Some(flows) = &operator.flows else { return Vec::new() };
    let mut findings = Vec::new();
    for (index, collector) in flows.collectors.iter().enumerate() {
        if flows.collectors[..index].iter().any(|other| other.address == collector.address) {
            findings.push(Finding::new(
                format!("flows.collectors[{index}].address"),
                format!("{:?} is already listed", collector.address),
            ));
        }
        if flows.protocol() == Protocol::NetflowV9 && collector.transport() == Transport::Tcp {
            let message = "NetFlow v9 is exported over UDP only (RFC 3954, 3); IPFIX also supports TCP";
            findings.push(Finding::new(format!("flows.collectors[{index}].transport"), message));
        }
    }
    let meter = flows.meter.unwrap_or_default();
    // The field's own rule compares `idle_ms` with `active_ms` or its default; this compares the default of `idle_ms`.
    if meter.idle_ms.is_none()
        && meter.active_ms.is_some_and(|active| active < defaults::meter::IDLE_TIMEOUT_MS)
    {
        findings.push(Finding::new(
            "flows.meter.active_ms".to_string(),
            format!("below idle_ms, which is {} where it is left out", defaults::meter::IDLE_TIMEOUT_MS),
        ));
    }
    findings
}
