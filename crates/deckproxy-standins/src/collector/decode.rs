//! What a collector makes of IPFIX messages: flow records, losses and missing numbers.

use netflow_parser::variable_versions::ipfix::FlowSetBody;
use netflow_parser::{DataNumber, FieldValue, NetflowPacket, NetflowParser};
use std::collections::HashMap;
use std::net::IpAddr;

/// A flow record as it was exported; texts are empty where the exporter has none.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FlowRecord {
    /// The leg (client, member or site) that the flow belongs to.
    pub leg: String,
    /// The client's network.
    pub client: Option<IpAddr>,
    /// Prefix length of the client's network.
    pub prefix_length: u64,
    /// Class of the requests.
    pub class: String,
    /// The member.
    pub member: String,
    /// The site.
    pub site: String,
    /// How the requests ended.
    pub result: String,
    /// Bytes out.
    pub bytes_out: u64,
    /// Bytes back.
    pub bytes_back: u64,
    /// Requests.
    pub requests: u64,
    /// 99th percentile of the latency, in the exporter's unit.
    pub p99: u64,
    /// Flows that were folded into this one.
    pub folded: u64,
}

/// All that a collector received.
#[derive(Clone, Debug, Default)]
pub struct Collection {
    /// The flow records.
    pub flows: Vec<FlowRecord>,
    /// Messages.
    pub messages: u64,
    /// Records that are missing by the sequence numbers, over all connections.
    pub missing: u64,
    /// Requests in the losses that the exporter reported.
    pub lost_requests: u64,
    /// Flows in the losses that the exporter reported.
    pub lost_flows: u64,
    /// Sets without a template, and what could not be decoded.
    pub undecoded: u64,
    /// Names of the elements that the exporter described.
    pub described: Vec<String>,
    /// The next sequence number by observation domain.
    next_sequence: HashMap<u32, u32>,
}

impl Collection {
    /// Bytes out, bytes back and requests of the flows that match.
    pub fn sums(&self, matches: impl Fn(&FlowRecord) -> bool) -> [u64; 3] {
        let add = |sums: [u64; 3], flow: &FlowRecord| {
            [sums[0] + flow.bytes_out, sums[1] + flow.bytes_back, sums[2] + flow.requests]
        };
        self.flows.iter().filter(|flow| matches(flow)).fold([0; 3], add)
    }

    /// The same of the flows of a leg.
    pub fn leg_sums(&self, leg: &str) -> [u64; 3] {
        self.sums(|flow| flow.leg == leg)
    }

    /// Decodes one message.
    pub(super) fn add_message(&mut self, parser: &mut NetflowParser, bytes: &[u8]) {
        self.messages += 1;
        let packets = parser.parse_bytes(bytes).packets;
        if packets.is_empty() {
            self.undecoded += 1;
        }
        for packet in packets {
            let NetflowPacket::IPFix(packet) = packet else {
                self.undecoded += 1;
                continue;
            };
            let (domain, number) = (packet.header.observation_domain_id, packet.header.sequence_number);
            let mut records = 0;
            for set in packet.flowsets {
                match set.body {
                    FlowSetBody::Data(data) => {
                        records += data.fields.len();
                        self.flows.extend(data.fields.iter().map(|fields| read_flow(fields)));
                    }
                    FlowSetBody::OptionsData(data) => {
                        records += data.fields.len();
                        data.fields.iter().for_each(|fields| self.add_option(fields));
                    }
                    FlowSetBody::NoTemplate(_) => self.undecoded += 1,
                    _ => {}
                }
            }
            // A message of at most 65,535 bytes has far fewer records than 2^32.
            let records = u32::try_from(records).unwrap_or(u32::MAX);
            let gap = self.next_sequence.get(&domain).map_or(0, |next| number.wrapping_sub(*next));
            // A number from before means that the exporter restarted.
            self.missing += u64::from(if gap < 1 << 31 { gap } else { 0 });
            self.next_sequence.insert(domain, number.wrapping_add(records));
        }
    }

    fn add_option<F: std::fmt::Debug>(&mut self, fields: &[(F, FieldValue)]) {
        let named = named(fields);
        if let Some(name) = named.get("IANA(InformationElementName)") {
            self.described.push(text(name));
        }
        if let Some(lost) = named.get("IANA(NotSentFlowTotalCount)") {
            self.lost_flows += number(lost);
            self.lost_requests += named.get("IANA(DeltaFlowCount)").map_or(0, |v| number(v));
        }
    }
}

fn named<F: std::fmt::Debug>(fields: &[(F, FieldValue)]) -> HashMap<String, &FieldValue> {
    fields.iter().map(|(field, value)| (format!("{field:?}"), value)).collect()
}

fn number(value: &FieldValue) -> u64 {
    match value {
        FieldValue::DataNumber(DataNumber::U8(n)) => u64::from(*n),
        FieldValue::DataNumber(DataNumber::U16(n)) => u64::from(*n),
        FieldValue::DataNumber(DataNumber::U32(n)) => u64::from(*n),
        FieldValue::DataNumber(DataNumber::U64(n)) => *n,
        FieldValue::Vec(bytes) => bytes.iter().fold(0, |n, b| n << 8 | u64::from(*b)),
        other => panic!("no number: {other:?}"),
    }
}

fn text(value: &FieldValue) -> String {
    let text = match value {
        FieldValue::String(s) => s.value.clone(),
        FieldValue::Vec(bytes) => String::from_utf8(bytes.clone()).expect("a text"),
        other => panic!("no text: {other:?}"),
    };
    // The exporter's notation for none.
    if text == "-" { String::new() } else { text }
}

fn read_flow<F: std::fmt::Debug>(fields: &[(F, FieldValue)]) -> FlowRecord {
    let named = named(fields);
    let iana = |name: &str| named.get(&format!("IANA({name})")).copied();
    let own = |id: u16| {
        let name = format!("Enterprise {{ enterprise_number: 32473, field_number: {id} }}");
        *named.get(&name).unwrap_or_else(|| panic!("{name} is not among {named:?}"))
    };
    let back = named.get("ReverseInformationElement(ReverseOctetDeltaCount)").copied();
    let (client, prefix_length) = match (iana("SourceIpv4address"), iana("SourceIpv6address")) {
        (Some(FieldValue::Ip4Addr(v4)), _) => (Some(IpAddr::from(*v4)), iana("SourceIpv4prefixLength")),
        (_, Some(FieldValue::Ip6Addr(v6))) => (Some(IpAddr::from(*v6)), iana("SourceIpv6prefixLength")),
        _ => (None, None),
    };
    FlowRecord {
        client,
        prefix_length: prefix_length.map_or(0, number),
        class: iana("ApplicationName").map_or(String::new(), text),
        member: text(own(1)),
        site: text(own(2)),
        result: text(own(3)),
        p99: number(own(4)),
        folded: number(own(5)),
        leg: text(own(6)),
        bytes_out: iana("OctetDeltaCount").map_or(0, number),
        bytes_back: back.map_or(0, number),
        requests: iana("DeltaFlowCount").map_or(0, number),
    }
}
