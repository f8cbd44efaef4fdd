//! The configuration of a gateway between sites.

use crate::routes::RouteRule;
use crate::{LinkLimits, TrustLimits};

/// A peer: another site to which this site opens links.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerConfig {
    /// The peer's site name.
    pub site: String,
    /// Number of its gateways; their addresses are known to the caller only.
    pub endpoints: usize,
    /// Number of connections to keep open to each gateway.
    pub connections: usize,
}

/// The configuration of a gateway between sites.
#[derive(Clone, Debug, PartialEq)]
pub struct SiteConfig {
    /// This site's name.
    pub own_site: String,
    /// The peers to which links are opened.
    pub peers: Vec<PeerConfig>,
    /// The routes.
    pub rules: Vec<RouteRule>,
    /// How often a request may be forwarded, from its first site to its home.
    pub max_hops: u32,
    /// Limits of the links.
    pub link: LinkLimits,
    /// Limits of the trust in copies.
    pub trust: TrustLimits,
}
