//! The sites' part of the file: relations between its entries, and its form for `deckproxy-sites`.

use crate::{Mode, Operator, Route, Sites, WhenCut, defaults};
use deckproxy_sites::routes::{self, Rule};
use deckproxy_sites::{LinkLimits, TrustLimits};

/// A route in the form that is looked up; a prefix that is no number counts as empty, which its own rule tells.
fn rule(route: &Route) -> Rule {
    let digits = u32::try_from(route.prefix.len().min(16)).unwrap_or(16);
    let number = u64::from_str_radix(&route.prefix, 16).unwrap_or(0);
    Rule {
        class: Some(route.class.clone()).filter(|c| !c.is_empty()),
        prefix: if digits == 0 { 0 } else { number << (64 - 4 * digits) },
        digits,
        groups: route.groups.map_or((0, 255), |g| (g.first, g.last)),
        home: route.home.clone(),
        via: Some(route.via.clone()).filter(|v| !v.is_empty()),
        copies: route.mode == Mode::Copies as i32,
    }
}

impl Sites {
    /// The routes in the form that is looked up.
    pub fn rules(&self) -> Vec<Rule> {
        self.routes.iter().map(rule).collect()
    }

    /// The most hops of a request.
    pub fn hops(&self) -> u32 {
        self.most_hops.unwrap_or(defaults::MOST_HOPS)
    }

    /// The links' limits, defaults filled in.
    pub fn link_limits(&self) -> LinkLimits {
        let link = self.link.unwrap_or_default();
        LinkLimits {
            heartbeat: f64::from(link.heartbeat_ms.unwrap_or(defaults::HEARTBEAT_MS)),
            silence: f64::from(link.silence_ms.unwrap_or(defaults::SILENCE_MS)),
            reattach: f64::from(link.reattach_ms.unwrap_or(defaults::REATTACH_MS)),
            chunk: link.chunk_kb.unwrap_or(defaults::CHUNK_KB) as usize * 1024,
            credit: link.credit_kb.unwrap_or(defaults::CREDIT_KB) as usize * 1024,
            crossings: link.most_crossings.unwrap_or(defaults::MOST_CROSSINGS) as usize,
            waiters: link.waiters.unwrap_or(defaults::WAITERS) as usize,
            retain: link.retain_kb.unwrap_or(defaults::RETAIN_KB) as usize * 1024,
            ramp: f64::from(link.ramp_ms.unwrap_or(defaults::RAMP_MS)),
            hold: f64::from(link.hold_ms.unwrap_or(defaults::HOLD_MS)),
            repeats: link.repeats_share.unwrap_or(defaults::REPEATS_SHARE),
            cooldown: f64::from(self.cooldown_ms.unwrap_or(defaults::COOLDOWN_MS)),
        }
    }

    /// What copies are trusted by, defaults filled in.
    pub fn trust_limits(&self) -> TrustLimits {
        let trust = self.trust.unwrap_or_default();
        TrustLimits {
            known: f64::from(trust.known_ms.unwrap_or(0)),
            serve_when_cut: trust.when_cut == WhenCut::Serve as i32,
            grace: f64::from(trust.grace_ms.unwrap_or(defaults::GRACE_MS)),
            lease: f64::from(trust.lease_ms.unwrap_or(defaults::LEASE_MS)),
            skew: f64::from(trust.skew_ms.unwrap_or(defaults::SKEW_MS)),
            copy_life: f64::from(trust.copy_life_ms.unwrap_or(defaults::COPY_LIFE_MS)),
        }
    }
}

/// Faults between the entries, as path and text.
pub(crate) fn check(operator: &Operator) -> Vec<(String, String)> {
    let Some(sites) = &operator.sites else { return Vec::new() };
    let mut out = Vec::new();
    if sites.listen.is_none() && sites.peers.is_empty() {
        out.push(("sites".to_string(), "neither listen nor peers: nothing would be linked".to_string()));
    }
    for (i, peer) in sites.peers.iter().enumerate() {
        if peer.site == sites.name {
            out.push((format!("sites.peers[{i}].site"), "this site itself".to_string()));
        }
        if sites.peers[..i].iter().any(|p| p.site == peer.site) {
            out.push((format!("sites.peers[{i}].site"), format!("{:?} is a peer already", peer.site)));
        }
        for (k, address) in peer.addresses.iter().enumerate() {
            let own = sites.listen.as_ref() == Some(address);
            let before = sites.peers[..i].iter().flat_map(|p| &p.addresses).chain(&peer.addresses[..k]);
            if own || before.clone().any(|a| a == address) {
                let what = if own { "this gateway's own listen" } else { "named already" };
                out.push((format!("sites.peers[{i}].addresses[{k}]"), format!("{address:?} is {what}")));
            }
        }
    }
    let peers: Vec<&str> = sites.peers.iter().map(|p| &*p.site).collect();
    let faults = routes::check(&sites.name, &peers, &sites.rules());
    out.extend(faults.into_iter().map(|f| (format!("sites.routes[{}].{}", f.route, f.field), f.what)));
    out
}

/// Checks that the routes of several sites' files lead each request home without coming by a site twice. Gives for
/// each fault the number of the file.
pub fn check_together(files: &[Operator]) -> Vec<(usize, String)> {
    let maps: Vec<(String, Vec<Rule>, u32)> = files
        .iter()
        .map(|f| f.sites.as_ref().map_or_else(Default::default, |s| (s.name.clone(), s.rules(), s.hops())))
        .collect();
    routes::check_together(&maps)
}
