//! A stored record: what one flow was, as text and numbers.

use deckproxy_flow::codec::elements::{self, NO_VALUE, ProjectElement};
use deckproxy_flow::codec::{Element, Value};
use ipnet::IpNet;
use serde::{Deserialize, Serialize};
use std::net::IpAddr;
use std::num::TryFromIntError;

/// One flow as it is stored.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Record {
    /// The address of the exporter.
    pub exporter: String,
    /// The exporter's observation domain.
    pub domain: u32,
    /// When the flow began, Unix ms.
    pub start: u64,
    /// When it ended, Unix ms.
    pub end: u64,
    /// "client", "member" or "link".
    pub leg: String,
    /// The client's prefix; none for a flow of all clients.
    pub client: Option<IpNet>,
    /// The class of the requests.
    pub class: String,
    /// The cache, parent or origin that was asked.
    #[serde(rename = "box")]
    pub member: String,
    /// The site at the other end of a link.
    pub link: String,
    /// How the requests ended.
    pub result: String,
    /// Bytes towards the client.
    pub out: u64,
    /// Bytes from the client.
    pub back: u64,
    pub requests: u64,
    /// 99th percentile of the latency, µs.
    pub p99: u64,
    /// 0 as it was metered, 1 to 3 coarser.
    pub folded: u8,
    /// Requests or flows that the exporter says it lost: in a record of loss, not of a flow.
    #[serde(skip_serializing_if = "is_zero")]
    pub lost: u64,
    /// Bytes that the exporter says it lost.
    #[serde(skip_serializing_if = "is_zero")]
    pub lost_bytes: u64,
}

/// The leg of flows of exporters that do not name one.
const DEFAULT_LEG: &str = "client";
/// The longest text that is stored, characters.
const MAX_TEXT_LENGTH: usize = 128;
/// Numbers of project elements in NetFlow v9, which has no enterprises, begin here.
const V9_BASE: u16 = 0xe000;

#[allow(clippy::trivially_copy_pass_by_ref)]
fn is_zero(number: &u64) -> bool {
    *number == 0
}

impl Record {
    /// The record of a decoded flow or, with scope fields, of a loss; none where it is neither.
    pub fn decode(
        exporter: IpAddr,
        domain: u32,
        scope_fields: u16,
        values: &[(Element, Value)],
    ) -> Option<Record> {
        let mut record = Record { exporter: exporter.to_string(), domain, ..Record::default() };
        let mut client = ClientPrefix::default();
        for (element, value) in values {
            if !client.set(*element, value) && !record.set_standard(*element, value) {
                record.set_project(*element, value);
            }
        }
        if scope_fields > 0 {
            return record.is_loss().then_some(record);
        }
        if !values.iter().any(|(element, _)| is_project(*element, elements::LEG)) {
            record.leg = DEFAULT_LEG.to_string();
        }
        record.client = client.prefix().ok()?;
        Some(record)
    }

    /// Whether it reports a loss.
    pub fn is_loss(&self) -> bool {
        self.lost > 0
    }

    /// Takes the value of a standard element; false where it is not one that is stored.
    fn set_standard(&mut self, element: Element, value: &Value) -> bool {
        let number = value.number().unwrap_or(0);
        match element {
            elements::OCTETS => self.out = number,
            elements::REVERSE_OCTETS_V9 => self.back = number,
            reverse if reverse == elements::reverse(elements::OCTETS) => self.back = number,
            elements::FLOWS => self.requests = number,
            elements::START => self.start = number,
            elements::END => self.end = number,
            elements::APPLICATION => self.class = text(value),
            elements::LOST_FLOWS => self.lost = number,
            elements::LOST_OCTETS => self.lost_bytes = number,
            _ => return false,
        }
        true
    }

    /// Takes the value of an element of this project.
    fn set_project(&mut self, element: Element, value: &Value) {
        let number = value.number().unwrap_or(0);
        let is = |own| is_project(element, own);
        if is(elements::MEMBER) {
            self.member = text(value);
        } else if is(elements::SITE) {
            self.link = text(value);
        } else if is(elements::RESULT) {
            self.result = text(value);
        } else if is(elements::P99) {
            self.p99 = number;
        } else if is(elements::FOLDED) {
            self.folded = u8::try_from(number).unwrap_or(u8::MAX);
        } else if is(elements::LEG) {
            self.leg = text(value);
        }
    }
}

/// The address and prefix length of a flow's client, which are elements of their own.
#[derive(Debug, Default)]
struct ClientPrefix {
    address: Option<IpAddr>,
    length: Option<u64>,
}

impl ClientPrefix {
    /// Takes the value of an element; false where it is not of the client.
    fn set(&mut self, element: Element, value: &Value) -> bool {
        match (element, value) {
            (elements::CLIENT_V4 | elements::CLIENT_V6, Value::Bytes(bytes)) => {
                let v4 = <[u8; 4]>::try_from(&bytes[..]).map(IpAddr::from).ok();
                self.address = v4.or(<[u8; 16]>::try_from(&bytes[..]).map(IpAddr::from).ok());
            }
            (elements::CLIENT_V4_PREFIX_LENGTH | elements::CLIENT_V6_PREFIX_LENGTH, _) => {
                self.length = Some(value.number().unwrap_or(0));
            }
            _ => return false,
        }
        true
    }

    /// The prefix; none where the flow is of all clients.
    ///
    /// # Errors
    ///
    /// The length is not one of any prefix.
    fn prefix(&self) -> Result<Option<IpNet>, TryFromIntError> {
        Ok(match (self.address, self.length) {
            // A length of 0 stands for all clients.
            (None, _) | (Some(_), Some(0)) => None,
            (Some(address), None) => Some(IpNet::from(address)),
            (Some(address), Some(length)) => {
                IpNet::new(address, u8::try_from(length)?).ok().map(|prefix| prefix.trunc())
            }
        })
    }
}

/// Whether an element is a certain one of this project: under any enterprise, as installations use their own number, or
/// under its number in NetFlow v9.
fn is_project(element: Element, own: ProjectElement) -> bool {
    match element.enterprise {
        Some(elements::REVERSE_ENTERPRISE) => false,
        Some(_) => element.id == own.id,
        None => element.id == V9_BASE + own.id,
    }
}

/// A value as text, without padding. As it comes from the network and is shown in a terminal, without control characters.
fn text(value: &Value) -> String {
    let Value::Bytes(bytes) = value else { return String::new() };
    let end = bytes.iter().rposition(|byte| *byte != 0).map_or(0, |last| last + 1);
    let text = String::from_utf8_lossy(&bytes[..end]);
    let text: String = text.chars().filter(|c| !c.is_control()).take(MAX_TEXT_LENGTH).collect();
    if text == NO_VALUE { String::new() } else { text }
}
