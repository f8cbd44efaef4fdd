//! How a gateway between sites is set up.

use crate::routes::RouteRule;
use crate::{LinkLimits, TrustLimits};

/// A peer: another site to which links are opened.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerConfig {
    /// The site.
    pub site: String,
    /// Number of its gateways; their addresses are the caller's.
    pub endpoints: usize,
    /// Connections to keep open to each of them.
    pub connections: usize,
}

/// The configuration of a gateway between sites.
#[derive(Clone, Debug, PartialEq)]
pub struct SiteConfig {
    /// This site.
    pub own_site: String,
    /// The sites to which links are opened.
    pub peers: Vec<PeerConfig>,
    /// The routes.
    pub rules: Vec<RouteRule>,
    /// Sites that a request may pass.
    pub max_hops: u32,
    /// Limits of the links.
    pub link: LinkLimits,
    /// Limits of the trust in copies.
    pub trust: TrustLimits,
}
