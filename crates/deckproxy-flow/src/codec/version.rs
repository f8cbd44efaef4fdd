//! The two protocols and the constants in which they differ.

/// The length of an IPFIX message's header, bytes (RFC 7011, 3.1).
pub(super) const IPFIX_HEADER_LENGTH: usize = 16;
/// The length of a NetFlow v9 message's header, bytes (RFC 3954, 5.1).
pub(super) const NETFLOW_V9_HEADER_LENGTH: usize = 20;

/// The protocol of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Version {
    /// IPFIX, RFC 7011.
    Ipfix,
    /// NetFlow v9, RFC 3954: without enterprise elements and fields of variable length.
    NetflowV9,
}

impl Version {
    /// The version number in a message's header.
    pub(super) fn number(self) -> u16 {
        match self {
            Version::Ipfix => 10,
            Version::NetflowV9 => 9,
        }
    }

    /// The protocol of a header's version number.
    pub(super) fn from_number(number: u16) -> Option<Version> {
        [Version::Ipfix, Version::NetflowV9].into_iter().find(|version| version.number() == number)
    }

    pub(super) fn header_length(self) -> usize {
        match self {
            Version::Ipfix => IPFIX_HEADER_LENGTH,
            Version::NetflowV9 => NETFLOW_V9_HEADER_LENGTH,
        }
    }

    /// The id of sets with templates.
    pub(super) fn template_set(self) -> u16 {
        match self {
            Version::Ipfix => 2,
            Version::NetflowV9 => 0,
        }
    }

    /// The id of sets with options templates.
    pub(super) fn options_template_set(self) -> u16 {
        match self {
            Version::Ipfix => 3,
            Version::NetflowV9 => 1,
        }
    }
}
