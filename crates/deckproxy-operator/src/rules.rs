//! Rules on fields, and between a field and its neighbours, in the form that the validation library calls.

use crate::{Link, Trust, defaults};
use deckproxy_fleet::instance;
use garde::{Error, Result};
use ipnet::IpNet;
use std::net::SocketAddr;

/// How a value breaks a rule. The texts give the field's own names, which are those of the operator file.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RuleViolation {
    /// A text is not the name of a site.
    #[error("{0:?} is no name: 1 to 63 of a-z, 0-9 and \"-\" are wanted")]
    SiteName(String),
    /// A text is not an address with its port.
    #[error("{0:?} is no ADDRESS:PORT")]
    SocketAddress(String),
    /// A text is not a network.
    #[error("{0:?} is no ADDRESS/BITS")]
    Network(String),
    /// A network's address has bits set past its length.
    #[error("{text:?} has bits past its length; {network} is meant?")]
    HostBits {
        /// The text.
        text: String,
        /// The network without these bits.
        network: IpNet,
    },
    /// A text is not the name of an instance.
    #[error(transparent)]
    InstanceName(#[from] InvalidInstanceName),
    /// A text is not the beginning of an object's number.
    #[error("{0:?} is no prefix: 0 to 16 digits of 0-9 and a-f are wanted")]
    HexPrefix(String),
    /// A number is below that of another field.
    #[error("below {field}, which is {min}")]
    BelowField {
        /// The other field.
        field: &'static str,
        /// Its number.
        min: u32,
    },
    /// A number is below twice that of another field.
    #[error("{value} is below twice {field}, which is {other}")]
    BelowTwiceField {
        /// The number.
        value: u32,
        /// The other field.
        field: &'static str,
        /// Its number.
        other: u32,
    },
    /// A number is above that of another field.
    #[error("{value} is over {field}, which is {max}")]
    AboveField {
        /// The number.
        value: u32,
        /// The other field.
        field: &'static str,
        /// Its number.
        max: u32,
    },
    /// The lease does not end before the grace does.
    #[error("lease_ms ({lease}) must be below grace_ms ({grace})")]
    LeaseNotBelowGrace {
        /// The lease, ms.
        lease: u32,
        /// The grace, ms.
        grace: u32,
    },
    /// The lease is too short for the heartbeats that renew it.
    #[error("lease_ms ({lease}) must be twice link.heartbeat_ms ({heartbeat}) at least")]
    LeaseBelowHeartbeats {
        /// The lease, ms.
        lease: u32,
        /// The time between heartbeats, ms.
        heartbeat: u32,
    },
}

impl From<RuleViolation> for Error {
    fn from(violation: RuleViolation) -> Self {
        Error::new(violation)
    }
}

/// A name that no instance of a fleet may have.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{name:?} is no name: 1 to 63 of a-z, 0-9, \"-\", \".\" and \"_\" are wanted")]
pub struct InvalidInstanceName {
    /// The name.
    pub name: String,
}

/// A site's name.
///
/// # Errors
/// The name is not 1 to 63 characters of `a-z`, `0-9` and `-`.
pub fn site_name(name: &str, _: &()) -> Result {
    let is_name_byte = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-';
    match name.len() {
        1..64 if name.bytes().all(is_name_byte) => Ok(()),
        _ => Err(RuleViolation::SiteName(name.to_string()).into()),
    }
}

/// An address with its port.
///
/// # Errors
/// The text is not a socket address, or its port is 0.
pub fn socket_address(text: &str, _: &()) -> Result {
    match text.parse::<SocketAddr>() {
        Ok(address) if address.port() > 0 => Ok(()),
        _ => Err(RuleViolation::SocketAddress(text.to_string()).into()),
    }
}

/// An address with its port, or none.
///
/// # Errors
/// See [`socket_address`].
pub fn optional_socket_address(text: &Option<String>, context: &()) -> Result {
    text.as_ref().map_or(Ok(()), |text| socket_address(text, context))
}

/// A network, as an address and its number of leading bits.
///
/// # Errors
/// The text is not a network, or its address has bits set past its length.
pub fn network(text: &str, _: &()) -> Result {
    match text.parse::<IpNet>() {
        Ok(network) if network.trunc() == network => Ok(()),
        Ok(network) => {
            Err(RuleViolation::HostBits { text: text.to_string(), network: network.trunc() }.into())
        }
        Err(_) => Err(RuleViolation::Network(text.to_string()).into()),
    }
}

/// Checks the name of an instance of a fleet, or of its zone.
///
/// # Errors
/// The name is empty, too long or has other characters than an instance name may have.
pub fn check_instance_name(name: &str) -> std::result::Result<(), InvalidInstanceName> {
    if instance::is_valid_name(name) { Ok(()) } else { Err(InvalidInstanceName { name: name.to_string() }) }
}

/// The name of an instance of a fleet.
///
/// # Errors
/// See [`check_instance_name`].
pub fn instance_name(name: &str, _: &()) -> Result {
    check_instance_name(name).map_err(|error| RuleViolation::from(error).into())
}

/// The name of an instance of a fleet, or none.
///
/// # Errors
/// See [`check_instance_name`].
pub fn optional_instance_name(name: &Option<String>, context: &()) -> Result {
    name.as_ref().map_or(Ok(()), |name| instance_name(name, context))
}

/// The first digits of an object's number.
///
/// # Errors
/// The text is not 0 to 16 digits of `0-9` and `a-f`.
pub fn hex_prefix(text: &str, _: &()) -> Result {
    let is_hex = text.bytes().all(|byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f'));
    if is_hex && text.len() <= 16 { Ok(()) } else { Err(RuleViolation::HexPrefix(text.to_string()).into()) }
}

/// A number that a file may leave out.
pub trait OptionalNumber {
    /// The number, if the file has it.
    fn number(&self) -> Option<u32>;
}

impl OptionalNumber for u32 {
    fn number(&self) -> Option<u32> {
        Some(*self)
    }
}

impl OptionalNumber for Option<u32> {
    fn number(&self) -> Option<u32> {
        *self
    }
}

/// At least the number of another field.
pub fn at_least<T: OptionalNumber>(field: &'static str, min: Option<u32>) -> impl FnOnce(&T, &()) -> Result {
    move |value, ()| match (value.number(), min) {
        (Some(value), Some(min)) if value < min => Err(RuleViolation::BelowField { field, min }.into()),
        _ => Ok(()),
    }
}

/// At least twice the number of another field.
pub fn at_least_twice(field: &'static str, other: Option<u32>) -> impl FnOnce(&Option<u32>, &()) -> Result {
    move |value, ()| match (*value, other) {
        (Some(value), Some(other)) if value < other * 2 => {
            Err(RuleViolation::BelowTwiceField { value, field, other }.into())
        }
        _ => Ok(()),
    }
}

/// At most the number of another field, or that field's default.
pub fn at_most(
    field: &'static str,
    other: Option<u32>,
    default: u32,
) -> impl FnOnce(&Option<u32>, &()) -> Result {
    let max = other.unwrap_or(default);
    move |value, ()| match *value {
        Some(value) if value > max => Err(RuleViolation::AboveField { value, field, max }.into()),
        _ => Ok(()),
    }
}

/// The lease ends before the grace does, and is long enough for two heartbeats of the link.
pub fn lease_below_grace(link: &Option<Link>) -> impl FnOnce(&Option<Trust>, &()) -> Result {
    let heartbeat = link.and_then(|link| link.heartbeat_ms).unwrap_or(defaults::link::HEARTBEAT_INTERVAL_MS);
    move |trust, ()| {
        let Some(trust) = trust else { return Ok(()) };
        let lease = trust.lease_ms.unwrap_or(defaults::trust::LEASE_MS);
        let grace = trust.grace_ms.unwrap_or(defaults::trust::PURGE_GRACE_MS);
        if lease >= grace {
            return Err(RuleViolation::LeaseNotBelowGrace { lease, grace }.into());
        }
        if lease < heartbeat * 2 {
            return Err(RuleViolation::LeaseBelowHeartbeats { lease, heartbeat }.into());
        }
        Ok(())
    }
}
