//! Rules on fields, and between a field and its neighbours, in the form that the validation library calls.

use crate::{Link, Trust, defaults};
use garde::{Error, Result};
use std::net::SocketAddr;

/// A site's name.
///
/// # Errors
/// An error if the name is not 1 to 63 characters of `a-z`, `0-9` and `-`.
pub fn site_name(name: &str, _: &()) -> Result {
    let plain = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-';
    match name.len() {
        1..64 if name.bytes().all(plain) => Ok(()),
        _ => Err(Error::new(format!("{name:?} is no name: 1 to 63 of a-z, 0-9 and \"-\" are wanted"))),
    }
}

/// An address with its port.
///
/// # Errors
/// An error if the text is not a socket address or its port is 0.
pub fn address(text: &str, _: &()) -> Result {
    match text.parse::<SocketAddr>() {
        Ok(at) if at.port() > 0 => Ok(()),
        _ => Err(Error::new(format!("{text:?} is no ADDRESS:PORT"))),
    }
}

/// The same where one is given.
///
/// # Errors
/// An error if a text is given that [`address`] rejects.
pub fn address_if_set(text: &Option<String>, context: &()) -> Result {
    text.as_ref().map_or(Ok(()), |text| address(text, context))
}

/// A network, as an address and its leading bits.
///
/// # Errors
/// An error if the text is not a network prefix or has bits set past its length.
pub fn prefix(text: &str, _: &()) -> Result {
    match text.parse::<ipnet::IpNet>() {
        Ok(net) if net.trunc() == net => Ok(()),
        Ok(net) => Err(Error::new(format!("{text:?} has bits past its length; {} is meant?", net.trunc()))),
        Err(_) => Err(Error::new(format!("{text:?} is no ADDRESS/BITS"))),
    }
}

/// A name that no instance of a fleet may have.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{name:?} is no name: 1 to 63 of a-z, 0-9, \"-\", \".\" and \"_\" are wanted")]
pub struct InvalidInstanceName {
    /// The name.
    pub name: String,
}

/// Checks the name of an instance of a fleet, or of its zone.
///
/// # Errors
/// The name is empty, too long or has other characters than an instance name may have.
pub fn check_instance_name(name: &str) -> std::result::Result<(), InvalidInstanceName> {
    if deckproxy_fleet::instance::is_valid_name(name) {
        Ok(())
    } else {
        Err(InvalidInstanceName { name: name.to_string() })
    }
}

/// The name of an instance of a fleet.
///
/// # Errors
/// See [`check_instance_name`].
pub fn instance_name(name: &str, _: &()) -> Result {
    check_instance_name(name).map_err(Error::new)
}

/// The same where one is given.
///
/// # Errors
/// An error if a name is given that [`instance_name`] rejects.
pub fn instance_name_if_set(name: &Option<String>, context: &()) -> Result {
    name.as_ref().map_or(Ok(()), |name| instance_name(name, context))
}

/// First digits of an object's number.
///
/// # Errors
/// An error if the text is not 0 to 16 digits of `0-9` and `a-f`.
pub fn hex_prefix(text: &str, _: &()) -> Result {
    let digits = text.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'));
    if digits && text.len() <= 16 {
        Ok(())
    } else {
        Err(Error::new(format!("{text:?} is no prefix: 0 to 16 digits of 0-9 and a-f are wanted")))
    }
}

/// A value that may be left out.
pub trait Given {
    /// The value, if it is there.
    fn given(&self) -> Option<u32>;
}

impl Given for u32 {
    fn given(&self) -> Option<u32> {
        Some(*self)
    }
}

impl Given for Option<u32> {
    fn given(&self) -> Option<u32> {
        *self
    }
}

/// Not below another field.
pub fn not_below<T: Given>(name: &'static str, least: Option<u32>) -> impl FnOnce(&T, &()) -> Result {
    move |value, ()| match (value.given(), least) {
        (Some(value), Some(least)) if value < least => {
            Err(Error::new(format!("below {name}, which is {least}")))
        }
        _ => Ok(()),
    }
}

/// Twice another field at least.
pub fn twice(name: &'static str, other: Option<u32>) -> impl FnOnce(&Option<u32>, &()) -> Result {
    move |value, ()| match (value, other) {
        (Some(value), Some(other)) if *value < other * 2 => {
            Err(Error::new(format!("{value} is below twice {name}, which is {other}")))
        }
        _ => Ok(()),
    }
}

/// The lease ends before the grace does, and the link tells of a cut before that.
pub fn lease_below_grace(link: &Option<Link>) -> impl FnOnce(&Option<Trust>, &()) -> Result {
    let heartbeat = link.and_then(|l| l.heartbeat_ms).unwrap_or(defaults::HEARTBEAT_MS);
    move |trust, ()| {
        let Some(trust) = trust else { return Ok(()) };
        let lease = trust.lease_ms.unwrap_or(defaults::LEASE_MS);
        let grace = trust.grace_ms.unwrap_or(defaults::GRACE_MS);
        if lease >= grace {
            return Err(Error::new(format!("lease_ms ({lease}) must be below grace_ms ({grace})")));
        }
        if lease < heartbeat * 2 {
            return Err(Error::new(format!(
                "lease_ms ({lease}) must be twice link.heartbeat_ms ({heartbeat}) at least"
            )));
        }
        Ok(())
    }
}

/// Another field at most; that one's default where it is left out.
pub fn not_above(
    name: &'static str,
    other: Option<u32>,
    default: u32,
) -> impl FnOnce(&Option<u32>, &()) -> Result {
    let most = other.unwrap_or(default);
    move |value, ()| match value {
        Some(value) if *value > most => Err(Error::new(format!("{value} is over {name}, which is {most}"))),
        _ => Ok(()),
    }
}
