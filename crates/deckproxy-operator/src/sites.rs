//! The `sites` section of the file: checks of the relations between its fields, and its conversion to the settings of
//! `deckproxy-sites`.

use crate::finding::Finding;
use crate::{Mode, Operator, Route, Sites, WhenCut, defaults};
use deckproxy_sites::routes::{self, ForwardingError, RouteError, RouteRule, SiteRoutes};
use deckproxy_sites::{LinkLimits, TrustLimits};

/// Converts a route to a rule of `deckproxy-sites`. An invalid prefix is treated as the number 0; the field's own rule
/// reports it.
fn route_rule(route: &Route) -> RouteRule {
    let digits = u32::try_from(route.prefix.len().min(16)).unwrap_or(16);
    let number = u64::from_str_radix(&route.prefix, 16).unwrap_or(0);
    RouteRule {
        class: Some(route.class.clone()).filter(|c| !c.is_empty()),
        prefix: if digits == 0 { 0 } else { number << (64 - 4 * digits) },
        prefix_digits: digits,
        groups: route.groups.map_or((0, 255), |g| (g.first, g.last)),
        home: route.home.clone(),
        via: Some(route.via.clone()).filter(|v| !v.is_empty()),
        copies_allowed: route.mode == Mode::Copies as i32,
    }
}

impl Sites {
    /// The routes as rules of `deckproxy-sites`.
    pub fn route_rules(&self) -> Vec<RouteRule> {
        self.routes.iter().map(route_rule).collect()
    }

    /// Most sites that a request may pass through.
    pub fn max_hops(&self) -> u32 {
        self.most_hops.unwrap_or(defaults::sites::MAX_HOPS)
    }

    /// The limits of links, including defaults.
    pub fn link_limits(&self) -> LinkLimits {
        let link = self.link.unwrap_or_default();
        LinkLimits {
            heartbeat_interval: f64::from(link.heartbeat_ms.unwrap_or(defaults::link::HEARTBEAT_INTERVAL_MS)),
            silence_timeout: f64::from(link.silence_ms.unwrap_or(defaults::link::SILENCE_TIMEOUT_MS)),
            resume_timeout: f64::from(link.reattach_ms.unwrap_or(defaults::link::RESUME_TIMEOUT_MS)),
            chunk_size: link.chunk_kb.unwrap_or(defaults::link::CHUNK_SIZE_KB) as usize * 1024,
            credit_window: link.credit_kb.unwrap_or(defaults::link::CREDIT_WINDOW_KB) as usize * 1024,
            max_exchanges: link.most_crossings.unwrap_or(defaults::link::MAX_EXCHANGES) as usize,
            max_waiters: link.waiters.unwrap_or(defaults::link::MAX_WAITERS) as usize,
            max_retained_bytes: link.retain_kb.unwrap_or(defaults::link::MAX_RETAINED_KB) as usize * 1024,
            recovery_ramp: f64::from(link.ramp_ms.unwrap_or(defaults::link::RECOVERY_RAMP_MS)),
            queue_timeout: f64::from(link.hold_ms.unwrap_or(defaults::link::QUEUE_TIMEOUT_MS)),
            retry_ratio: link.repeats_share.unwrap_or(defaults::link::RETRY_RATIO),
            retry_after: f64::from(self.cooldown_ms.unwrap_or(defaults::sites::RETRY_AFTER_MS)),
        }
    }

    /// The limits of trust in copies, including defaults.
    pub fn trust_limits(&self) -> TrustLimits {
        let trust = self.trust.unwrap_or_default();
        TrustLimits {
            known_purge_history: f64::from(trust.known_ms.unwrap_or(defaults::trust::KNOWN_PURGE_HISTORY_MS)),
            serve_when_partitioned: trust.when_cut == WhenCut::Serve as i32,
            purge_grace: f64::from(trust.grace_ms.unwrap_or(defaults::trust::PURGE_GRACE_MS)),
            lease: f64::from(trust.lease_ms.unwrap_or(defaults::trust::LEASE_MS)),
            max_clock_skew: f64::from(trust.skew_ms.unwrap_or(defaults::trust::MAX_CLOCK_SKEW_MS)),
            copy_lifetime: f64::from(trust.copy_life_ms.unwrap_or(defaults::trust::COPY_LIFETIME_MS)),
        }
    }
}

/// Checks the relations between fields.
pub(crate) fn check(operator: &Operator) -> Vec<Finding> {
    let Some(sites) = &operator.sites else { return Vec::new() };
    let mut findings = Vec::new();
    if sites.listen.is_none() && sites.peers.is_empty() {
        findings.push(Finding::new("sites", "neither listen nor peers: nothing would be linked"));
    }
    for index in 0..sites.peers.len() {
        findings.extend(check_peer_name(sites, index));
        findings.extend(check_peer_addresses(sites, index));
    }
    findings.extend(check_routes(sites));
    findings
}

/// Checks that a peer is another site and has not been listed before.
fn check_peer_name(sites: &Sites, index: usize) -> Vec<Finding> {
    let peer = &sites.peers[index];
    let path = format!("sites.peers[{index}].site");
    let mut findings = Vec::new();
    if peer.site == sites.name {
        findings.push(Finding::new(&path, "this site itself"));
    }
    if sites.peers[..index].iter().any(|earlier| earlier.site == peer.site) {
        findings.push(Finding::new(&path, format!("{:?} is already a peer", peer.site)));
    }
    findings
}

/// Checks that a peer's addresses are not this gateway's own and have not been listed before.
fn check_peer_addresses(sites: &Sites, index: usize) -> Vec<Finding> {
    let addresses = &sites.peers[index].addresses;
    let mut findings = Vec::new();
    for (position, address) in addresses.iter().enumerate() {
        let earlier_peers = sites.peers[..index].iter().flat_map(|peer| &peer.addresses);
        let mut earlier = earlier_peers.chain(&addresses[..position]);
        let problem = if sites.listen.as_ref() == Some(address) {
            "this gateway's own listen address"
        } else if earlier.any(|other| other == address) {
            "already listed"
        } else {
            continue;
        };
        let path = format!("sites.peers[{index}].addresses[{position}]");
        findings.push(Finding::new(path, format!("{address:?} is {problem}")));
    }
    findings
}

/// Checks that the routes lead to linked sites, and that no two match the same requests.
fn check_routes(sites: &Sites) -> Vec<Finding> {
    let peers: Vec<&str> = sites.peers.iter().map(|peer| &*peer.site).collect();
    let errors = routes::validate(&sites.name, &peers, &sites.route_rules());
    let finding = |error: &RouteError| {
        Finding::new(format!("sites.routes[{}].{}", error.route, error.field), error.to_string())
    };
    errors.iter().map(finding).collect()
}

/// Checks that the routes of several sites' files forward each request to its home site without passing a site twice.
/// An error's `site` is the index of the file.
pub fn check_routes_between_sites(files: &[Operator]) -> Vec<ForwardingError> {
    let site_routes = |sites: &Sites| SiteRoutes {
        site: sites.name.clone(),
        rules: sites.route_rules(),
        max_hops: sites.max_hops(),
    };
    let all: Vec<SiteRoutes> =
        files.iter().map(|file| file.sites.as_ref().map(site_routes).unwrap_or_default()).collect();
    routes::validate_together(&all)
}
