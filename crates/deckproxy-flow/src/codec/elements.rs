//! The information elements that are used here: IANA's, and this project's own.

use super::Element;

/// IANA's.
const fn iana(id: u16) -> Element {
    Element { id, enterprise: None }
}

/// Bytes towards the client, since the last record (RFC 7012; IANA 1).
pub const OCTETS: Element = iana(1);
/// Requests: the original flows that a record sums up (RFC 7015; IANA 3).
pub const FLOWS: Element = iana(3);
/// The client's IPv4 address or prefix, and the prefix's length (8, 9).
pub const CLIENT_V4: Element = iana(8);
/// See `CLIENT_V4`.
pub const CLIENT_V4_LENGTH: Element = iana(9);
/// NetFlow v9's bytes of the other direction (23); IPFIX has them as the reverse of `OCTETS`.
pub const OCTETS_BACK_V9: Element = iana(23);
/// The client's IPv6 address or prefix, and the prefix's length (27, 29).
pub const CLIENT_V6: Element = iana(27);
/// See `CLIENT_V6`.
pub const CLIENT_V6_LENGTH: Element = iana(29);
/// Bytes and records that an exporter has exported (40, 42).
pub const EXPORTED_OCTETS: Element = iana(40);
/// See `EXPORTED_OCTETS`.
pub const EXPORTED_RECORDS: Element = iana(42);
/// The class, as a text (96: application name).
pub const APPLICATION: Element = iana(96);
/// Why a record was made (136): 1 idle, 2 active, 3 end, 4 forced, 5 lack of resources.
pub const END_REASON: Element = iana(136);
/// The exporting process (144), scope of options.
pub const EXPORTER: Element = iana(144);
/// A template (145) and the observation domain (149), scopes of options.
pub const TEMPLATE: Element = iana(145);
/// See `TEMPLATE`.
pub const DOMAIN: Element = iana(149);
/// First and last time of a flow, Unix milliseconds (152, 153).
pub const START: Element = iana(152);
/// See `START`.
pub const END: Element = iana(153);
/// Flows and bytes that were never exported (166, 168).
pub const LOST_FLOWS: Element = iana(166);
/// See `LOST_FLOWS`.
pub const LOST_OCTETS: Element = iana(168);
/// What a record of RFC 5610 tells of an element: number, type, name, semantics, units, enterprise.
pub const IE_ID: Element = iana(303);
/// See `IE_ID`.
pub const IE_TYPE: Element = iana(339);
/// See `IE_ID`.
pub const IE_NAME: Element = iana(341);
/// See `IE_ID`.
pub const IE_SEMANTICS: Element = iana(344);
/// See `IE_ID`.
pub const IE_UNITS: Element = iana(345);
/// See `IE_ID`.
pub const IE_ENTERPRISE: Element = iana(346);

/// The enterprise number under which IPFIX has the other direction of an element (RFC 5103, 6.1).
pub const REVERSE: u32 = 29_305;

/// The other direction of one of IANA's elements.
pub const fn reverse(element: Element) -> Element {
    Element { id: element.id, enterprise: Some(REVERSE) }
}

/// The enterprise number kept for documentation (RFC 5612): used until an installation sets its own.
pub const EXAMPLE_ENTERPRISE: u32 = 32_473;

/// An element of this project.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Own {
    /// Its number under the enterprise.
    pub id: u16,
    /// Its name.
    pub name: &'static str,
    /// Its type by RFC 5610, 3.1: 13 a text, 1 to 4 unsigned of 8 to 64 bits.
    pub kind: u8,
    /// Its semantics by RFC 5610, 3.6: 0 default, 1 quantity, 5 flags.
    pub semantics: u8,
    /// Its units by RFC 5610, 3.7: 0 none, 9 microseconds.
    pub units: u16,
}

/// The text that stands for none.
pub const NONE: &str = "-";

/// What was asked: the member (cache, parent, origin), by its id.
pub const MEMBER: Own = Own { id: 1, name: "deckproxyMember", kind: 13, semantics: 0, units: 0 };
/// The site at the other end of a link.
pub const SITE: Own = Own { id: 2, name: "deckproxySite", kind: 13, semantics: 0, units: 0 };
/// How requests ended.
pub const RESULT: Own = Own { id: 3, name: "deckproxyResult", kind: 13, semantics: 0, units: 0 };
/// The 99th percentile of their latency, microseconds.
pub const P99: Own = Own { id: 4, name: "deckproxyLatencyP99", kind: 3, semantics: 1, units: 9 };
/// How coarse the flow's key is: 0 as set, 1 by wider prefix, 2 by class alone.
pub const FOLDED: Own = Own { id: 5, name: "deckproxyFolded", kind: 1, semantics: 0, units: 0 };

/// Between whom the bytes went: "client", "member" or "link".
pub const LEG: Own = Own { id: 6, name: "deckproxyLeg", kind: 13, semantics: 0, units: 0 };

/// All of them, as they are told to collectors.
pub const OWN: [Own; 6] = [MEMBER, SITE, RESULT, P99, FOLDED, LEG];

impl Own {
    /// The element under an enterprise number.
    pub const fn under(self, enterprise: u32) -> Element {
        Element { id: self.id, enterprise: Some(enterprise) }
    }
}
