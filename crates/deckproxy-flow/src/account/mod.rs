//! Attribution of bytes to requests and attempts until they can be counted as flows.
//!
//! - [`client`]: the requests of a client connection and the answers queued for it.
//! - [`attempts`]: the attempts that are in flight to members.
//! - [`link`]: bytes and requests of links to other sites.
//! - [`names`]: the table that numbers the names of classes, members and sites.
//!
//! A byte counts as sent when the kernel has accepted it, and as received when the process has read it. State is
//! dropped at the end of the request or connection that it belongs to.

pub mod attempts;
pub mod client;
pub mod link;
pub mod names;

pub use attempts::Attempts;
pub use client::ClientAccount;
pub use names::{Names, OTHERS};

use crate::meter::{Millis, NameId};
use ipnet::IpNet;

/// Microseconds on the meter's clock.
pub type Micros = u64;

/// The origin of a request as counted in flows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestSource {
    /// The client's network; `None` for a request that was received over a link.
    pub client: Option<IpNet>,
    /// The request class.
    pub class: NameId,
    /// The site that forwarded the request; 0: it was received from a client of this site.
    pub site: NameId,
}

/// Converts microseconds to the meter's milliseconds.
fn millis(at: Micros) -> Millis {
    at / 1000
}
