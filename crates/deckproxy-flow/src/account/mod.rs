//! Attribution of bytes to requests and attempts until they can be counted as flows.
//!
//! - [`client`]: the requests of a client's connection and the answers that wait to be written to it.
//! - [`attempts`]: the attempts that are in flight to members.
//! - [`link`]: bytes and requests of links to other sites.
//! - [`names`]: numbers for the names of classes, members and sites.
//!
//! A byte counts once the kernel has accepted it or handed it over. State lives no longer than the request or the
//! connection that it belongs to.

pub mod attempts;
pub mod client;
pub mod link;
pub mod names;

pub use attempts::Attempts;
pub use client::ClientAccount;
pub use names::{Names, OTHERS};

use crate::meter::{Millis, Name};
use ipnet::IpNet;

/// Microseconds on the meter's clock.
pub type Micros = u64;

/// Where a request came from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestSource {
    /// The client's network; none for a request that was received over a link.
    pub client: Option<IpNet>,
    /// The request class.
    pub class: Name,
    /// The site that forwarded the request; 0: it was received from a client of this site.
    pub site: Name,
}

/// The meter's time for a time in microseconds.
fn millis(at: Micros) -> Millis {
    at / 1000
}
