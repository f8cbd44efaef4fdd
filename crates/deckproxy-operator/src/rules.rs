//! Validation rules of fields, and of a field relative to others of its message, as functions for `garde`.

use crate::{Link, Trust, defaults};
use deckproxy_fleet::instance;
use garde::{Error, Result};
use ipnet::IpNet;
use std::net::SocketAddr;

/// How a value violates a rule. The messages use the field names of the operator file.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RuleViolation {
    /// A text is not the name of a site.
    #[error("{0:?} is not a name: expected 1 to 63 of a-z, 0-9 and \"-\"")]
    SiteName(String),
    /// A text is not an address with a port.
    #[error("{0:?} is not ADDRESS:PORT")]
    SocketAddress(String),
    /// A text is not a network.
    #[error("{0:?} is not ADDRESS/BITS")]
    Network(String),
    /// A network's address has bits set past its prefix length.
    #[error("{text:?} has bits set past its prefix length; did you mean {network}?")]
    HostBits {
        /// The text.
        text: String,
        /// The network with these bits cleared.
        network: IpNet,
    },
    /// A text is not the name of an instance.
    #[error(transparent)]
    InstanceName(#[from] InvalidInstanceName),
    /// A text is not a prefix of an object's number.
    #[error("{0:?} is not a prefix: expected 0 to 16 digits of 0-9 and a-f")]
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
    /// The lease is not shorter than the grace period.
    #[error("lease_ms ({lease}) must be below grace_ms ({grace})")]
    LeaseNotBelowGrace {
        /// The lease, ms.
        lease: u32,
        /// The grace period, ms.
        grace: u32,
    },
    /// The lease is too short for the heartbeats that renew it.
    #[error("lease_ms ({lease}) must be at least twice link.heartbeat_ms ({heartbeat})")]
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

/// A text is not a valid name of an instance.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{name:?} is not a name: expected 1 to 63 of a-z, 0-9, \"-\", \".\" and \"_\"")]
pub struct InvalidInstanceName {
    /// The name.
    pub name: String,
}

/// Checks the name of a site.
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

/// Checks an address with its port.
///
/// # Errors
/// The text is not a socket address, or its port is 0.
pub fn socket_address(text: &str, _: &()) -> Result {
    match text.parse::<SocketAddr>() {
        Ok(address) if address.port() > 0 => Ok(()),
        _ => Err(RuleViolation::SocketAddress(text.to_string()).into()),
    }
}

/// Checks an address with its port, if there is one.
///
/// # Errors
/// See [`socket_address`].
pub fn optional_socket_address(text: &Option<String>, context: &()) -> Result {
    text.as_ref().map_or(Ok(()), |text| socket_address(text, context))
}

/// Checks a network in the form of an address and a prefix length.
///
/// # Errors
/// The text is not a network, or its address has bits set past its prefix length.
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
/// The name is empty, too long or contains a character that instance names don't allow.
pub fn check_instance_name(name: &str) -> std::result::Result<(), InvalidInstanceName> {
    if instance::is_valid_name(name) { Ok(()) } else { Err(InvalidInstanceName { name: name.to_string() }) }
}

/// Checks the name of an instance, as a rule of a field.
///
/// # Errors
/// See [`check_instance_name`].
pub fn instance_name(name: &str, _: &()) -> Result {
    check_instance_name(name).map_err(|error| RuleViolation::from(error).into())
}

/// Checks the name of an instance, if there is one.
///
/// # Errors
/// See [`check_instance_name`].
pub fn optional_instance_name(name: &Option<String>, context: &()) -> Result {
    name.as_ref().map_or(Ok(()), |name| instance_name(name, context))
}

/// Checks a prefix of an object's number.
///
/// # Errors
/// The text is not 0 to 16 digits of `0-9` and `a-f`.
pub fn hex_prefix(text: &str, _: &()) -> Result {
    let is_hex = text.bytes().all(|byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f'));
    if is_hex && text.len() <= 16 { Ok(()) } else { Err(RuleViolation::HexPrefix(text.to_string()).into()) }
}

/// A field with a number that may be optional.
pub trait OptionalNumber {
    /// The number, if the field is set.
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

/// Requires at least the number of another field.
pub fn at_least<T: OptionalNumber>(field: &'static str, min: Option<u32>) -> impl FnOnce(&T, &()) -> Result {
    move |value, ()| match (value.number(), min) {
        (Some(value), Some(min)) if value < min => Err(RuleViolation::BelowField { field, min }.into()),
        _ => Ok(()),
    }
}

/// Requires at least twice the number of another field.
pub fn at_least_twice(field: &'static str, other: Option<u32>) -> impl FnOnce(&Option<u32>, &()) -> Result {
    move |value, ()| match (*value, other) {
        (Some(value), Some(other)) if value < other * 2 => {
            Err(RuleViolation::BelowTwiceField { value, field, other }.into())
        }
        _ => Ok(()),
    }
}

/// Requires at most the number of another field, or that field's default.
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

/// Requires a lease that is shorter than the purge grace period and at least two heartbeat intervals of the link.
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
