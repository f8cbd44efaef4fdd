//! The information elements in use, from IANA's registry and defined by this project.

use super::Element;

/// An element of IANA's registry.
const fn iana(id: u16) -> Element {
    Element { id, enterprise: None }
}

/// Bytes sent towards the client since the last record (octetDeltaCount, 1).
pub const OCTETS: Element = iana(1);
/// Requests: the original flows that a record aggregates (deltaFlowCount, 3; RFC 7015).
pub const FLOWS: Element = iana(3);
/// The client's IPv4 address or prefix (sourceIPv4Address, 8).
pub const CLIENT_V4: Element = iana(8);
/// The length of an IPv4 prefix, bits (sourceIPv4PrefixLength, 9).
pub const CLIENT_V4_PREFIX_LENGTH: Element = iana(9);
/// Bytes received from the client, in NetFlow v9 (`OUT_BYTES`, 23); IPFIX uses the reverse of [`OCTETS`].
pub const REVERSE_OCTETS_V9: Element = iana(23);
/// The client's IPv6 address or prefix (sourceIPv6Address, 27).
pub const CLIENT_V6: Element = iana(27);
/// The length of an IPv6 prefix, bits (sourceIPv6PrefixLength, 29).
pub const CLIENT_V6_PREFIX_LENGTH: Element = iana(29);
/// Bytes that an exporter has exported (exportedOctetTotalCount, 40).
pub const EXPORTED_OCTETS: Element = iana(40);
/// Records that an exporter has exported (exportedFlowRecordTotalCount, 42).
pub const EXPORTED_RECORDS: Element = iana(42);
/// The request class (applicationName, 96).
pub const APPLICATION: Element = iana(96);
/// Why a record was exported (flowEndReason, 136): 1 idle, 2 active, 3 end, 4 forced, 5 lack of resources.
pub const END_REASON: Element = iana(136);
/// The exporting process, as a scope of options (exportingProcessId, 144).
pub const EXPORTER: Element = iana(144);
/// A template, as a scope of options (templateId, 145).
pub const TEMPLATE: Element = iana(145);
/// The observation domain, as a scope of options (observationDomainId, 149).
pub const DOMAIN: Element = iana(149);
/// The start of a flow, Unix milliseconds (flowStartMilliseconds, 152).
pub const START: Element = iana(152);
/// The end of a flow, Unix milliseconds (flowEndMilliseconds, 153).
pub const END: Element = iana(153);
/// Flows that were never exported (notSentFlowTotalCount, 166).
pub const LOST_FLOWS: Element = iana(166);
/// Bytes that were never exported (notSentOctetTotalCount, 168).
pub const LOST_OCTETS: Element = iana(168);
/// The number of an element that a record describes (informationElementId, 303; RFC 5610).
pub const IE_ID: Element = iana(303);
/// The data type of a described element (informationElementDataType, 339).
pub const IE_TYPE: Element = iana(339);
/// The name of a described element (informationElementName, 341).
pub const IE_NAME: Element = iana(341);
/// The semantics of a described element (informationElementSemantics, 344).
pub const IE_SEMANTICS: Element = iana(344);
/// The units of a described element (informationElementUnits, 345).
pub const IE_UNITS: Element = iana(345);
/// The enterprise of a described element (privateEnterpriseNumber, 346).
pub const IE_ENTERPRISE: Element = iana(346);

/// The enterprise number of elements that count the other direction (RFC 5103, 6.1).
pub const REVERSE_ENTERPRISE: u32 = 29_305;

/// The element that counts the other direction of one of IANA's elements.
pub const fn reverse(element: Element) -> Element {
    Element { id: element.id, enterprise: Some(REVERSE_ENTERPRISE) }
}

/// The enterprise number reserved for documentation (RFC 5612); the default until an installation sets its own.
pub const EXAMPLE_ENTERPRISE: u32 = 32_473;

/// An element that this project defines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProjectElement {
    /// The number under the enterprise.
    pub id: u16,
    /// The name.
    pub name: &'static str,
    /// The data type (RFC 5610, 3.1): 13 is a string, 1 to 4 are unsigned numbers of 8 to 64 bits.
    pub data_type: u8,
    /// The semantics (RFC 5610, 3.6): 0 default, 1 quantity, 5 flags.
    pub semantics: u8,
    /// The units (RFC 5610, 3.7): 0 none, 9 microseconds.
    pub units: u16,
}

/// The text of a field without a value.
pub const NO_VALUE: &str = "-";

/// The member (cache, parent or origin) that received the request, by its id.
pub const MEMBER: ProjectElement =
    ProjectElement { id: 1, name: "deckproxyMember", data_type: 13, semantics: 0, units: 0 };
/// The site at the other end of a link.
pub const SITE: ProjectElement =
    ProjectElement { id: 2, name: "deckproxySite", data_type: 13, semantics: 0, units: 0 };
/// The outcome of the requests.
pub const RESULT: ProjectElement =
    ProjectElement { id: 3, name: "deckproxyResult", data_type: 13, semantics: 0, units: 0 };
/// The 99th percentile of the requests' latency, microseconds.
pub const P99: ProjectElement =
    ProjectElement { id: 4, name: "deckproxyLatencyP99", data_type: 3, semantics: 1, units: 9 };
/// How coarse the flow's key is: 0 as configured, 1 by wider prefix, 2 by leg, class and outcome, 3 by leg alone.
pub const FOLDED: ProjectElement =
    ProjectElement { id: 5, name: "deckproxyFolded", data_type: 1, semantics: 0, units: 0 };
/// The leg that transferred the bytes: "client", "member" or "link".
pub const LEG: ProjectElement =
    ProjectElement { id: 6, name: "deckproxyLeg", data_type: 13, semantics: 0, units: 0 };

/// All elements that this project defines, in the order in which collectors receive their descriptions.
pub const PROJECT_ELEMENTS: [ProjectElement; 6] = [MEMBER, SITE, RESULT, P99, FOLDED, LEG];

impl ProjectElement {
    /// The element under an enterprise number.
    pub const fn under(self, enterprise: u32) -> Element {
        Element { id: self.id, enterprise: Some(enterprise) }
    }
}
