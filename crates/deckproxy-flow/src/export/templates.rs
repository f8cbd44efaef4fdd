//! The templates that are sent: for flows of IPv4 and IPv6 clients, for losses, and for descriptions of this
//! project's elements.

use super::settings::Settings;
use crate::codec::elements::{self, ProjectElement};
use crate::codec::{Element, Field, Template, VARIABLE_LENGTH, Value, Version};

/// Template ids (RFC 7011, 3.4.1: from 256 on).
const FLOW_V4_ID: u16 = 256;
const FLOW_V6_ID: u16 = 257;
const LOSS_ID: u16 = 258;
const ELEMENT_ID: u16 = 259;
/// Offset of the ids of this project's elements in NetFlow v9, which has no enterprises: ids from here on are
/// for vendors.
const FIRST_VENDOR_ID_V9: u16 = 0xe000;
/// Lengths of texts in NetFlow v9, which has no fields of variable length, bytes.
const NAME_LENGTH: u16 = 24;
const KEYWORD_LENGTH: u16 = 8;
const ELEMENT_NAME_LENGTH: u16 = 32;

/// All templates of one exporter.
#[derive(Clone, Debug)]
pub(super) struct Templates {
    /// Flows whose client has an IPv4 prefix, or without a client.
    pub(super) flow_v4: Template,
    /// Flows whose client has an IPv6 prefix.
    pub(super) flow_v6: Template,
    /// Options: the dropped flows.
    pub(super) loss: Template,
    /// Options: the description of one of this project's elements (RFC 5610).
    pub(super) element: Template,
}

impl Templates {
    /// The templates for these settings.
    pub(super) fn new(settings: &Settings) -> Self {
        let version = settings.version;
        Templates {
            flow_v4: flow_template(
                settings,
                FLOW_V4_ID,
                elements::CLIENT_V4,
                elements::CLIENT_V4_PREFIX_LENGTH,
                4,
            ),
            flow_v6: flow_template(
                settings,
                FLOW_V6_ID,
                elements::CLIENT_V6,
                elements::CLIENT_V6_PREFIX_LENGTH,
                16,
            ),
            loss: Template {
                id: LOSS_ID,
                scope: 1,
                fields: vec![
                    field(elements::EXPORTER, 4),
                    field(elements::LOST_FLOWS, 8),
                    field(elements::LOST_OCTETS, 8),
                    field(elements::FLOWS, 8),
                ],
            },
            element: Template {
                id: ELEMENT_ID,
                scope: 2,
                fields: vec![
                    field(elements::IE_ENTERPRISE, 4),
                    field(elements::IE_ID, 2),
                    field(elements::IE_TYPE, 1),
                    field(elements::IE_SEMANTICS, 1),
                    field(elements::IE_UNITS, 2),
                    text_field(version, elements::IE_NAME, ELEMENT_NAME_LENGTH),
                ],
            },
        }
    }

    /// All templates, in the order in which they are sent.
    pub(super) fn all(&self) -> [&Template; 4] {
        [&self.flow_v4, &self.flow_v6, &self.loss, &self.element]
    }
}

fn field(element: Element, length: u16) -> Field {
    Field { element, length }
}

/// A text field: of variable length in IPFIX, of the given length in NetFlow v9.
fn text_field(version: Version, element: Element, length: u16) -> Field {
    match version {
        Version::Ipfix => field(element, VARIABLE_LENGTH),
        Version::NetflowV9 => field(element, length),
    }
}

/// The element id of one of this project's elements in the configured protocol.
fn project_element(settings: &Settings, element: ProjectElement) -> Element {
    match settings.version {
        Version::Ipfix => element.under(settings.enterprise),
        Version::NetflowV9 => Element { id: FIRST_VENDOR_ID_V9 + element.id, enterprise: None },
    }
}

fn flow_template(
    settings: &Settings,
    id: u16,
    client: Element,
    prefix_length: Element,
    address_bytes: u16,
) -> Template {
    let version = settings.version;
    let reverse_octets = match version {
        Version::Ipfix => elements::reverse(elements::OCTETS),
        Version::NetflowV9 => elements::REVERSE_OCTETS_V9,
    };
    let project = |element| project_element(settings, element);
    let fields = vec![
        field(client, address_bytes),
        field(prefix_length, 1),
        field(elements::OCTETS, 8),
        field(reverse_octets, 8),
        field(elements::FLOWS, 8),
        field(elements::START, 8),
        field(elements::END, 8),
        field(elements::END_REASON, 1),
        text_field(version, elements::APPLICATION, NAME_LENGTH),
        text_field(version, project(elements::MEMBER), NAME_LENGTH),
        text_field(version, project(elements::SITE), NAME_LENGTH),
        text_field(version, project(elements::RESULT), KEYWORD_LENGTH),
        field(project(elements::P99), 4),
        field(project(elements::FOLDED), 1),
        text_field(version, project(elements::LEG), KEYWORD_LENGTH),
    ];
    Template { id, scope: 0, fields }
}

/// The record that describes one of this project's elements (RFC 5610).
pub(super) fn element_record(enterprise: u32, element: ProjectElement) -> Vec<Value> {
    vec![
        Value::Number(u64::from(enterprise)),
        Value::Number(u64::from(element.id)),
        Value::Number(u64::from(element.data_type)),
        Value::Number(u64::from(element.semantics)),
        Value::Number(u64::from(element.units)),
        Value::text(element.name),
    ]
}
