//! Validation of routes: within one site's rules, and across the rules of several sites.

use super::rule::RouteRule;
use super::table::RouteTable;
use std::collections::{BTreeMap, HashMap};
use thiserror::Error;

/// An error in a route of one site; its text names neither the route nor the field.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{fault}")]
pub struct RouteError {
    /// Index of the route in the list.
    pub route: usize,
    /// The field in the operator file.
    pub field: &'static str,
    /// What is wrong.
    pub fault: RouteFault,
}

/// What is wrong with a route of one site.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum RouteFault {
    /// An earlier route with the same class and prefix matches some of the same groups.
    #[error("matches the same as sites.routes[{other}]")]
    Overlap {
        /// Index of the earlier route.
        other: usize,
    },
    /// A route for the site's own objects names a next site.
    #[error("this site's own objects are not forwarded")]
    ViaForOwnObjects,
    /// The next site is this site.
    #[error("the next site is this site itself")]
    ViaOwnSite,
    /// The next site is not a peer of this site.
    #[error("no peer is named {next_site:?}")]
    UnknownPeer {
        /// The next site.
        next_site: String,
    },
    /// A route for the site's own objects allows copies.
    #[error("COPIES is for another site's objects")]
    CopiesOfOwnObjects,
}

/// A route on which a request does not reach its home; its text names the route.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("sites.routes[{route}]: {fault}")]
pub struct ForwardingError {
    /// Index of the site.
    pub site: usize,
    /// Index of the route in the site's list.
    pub route: usize,
    /// What is wrong.
    pub fault: ForwardingFault,
}

/// Why a request does not reach its home. The paths name the sites in the order in which they are passed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ForwardingFault {
    /// The request would pass a site twice.
    #[error("object {object:016x} goes round: {}", path.join(" > "))]
    Loop {
        /// Number of the object.
        object: u64,
        /// The sites passed; the last one appears twice.
        path: Vec<String>,
    },
    /// The request would be forwarded more often than the first site allows.
    #[error("object {object:016x} takes over {max_hops} hops: {}", path.join(" > "))]
    TooManyHops {
        /// Number of the object.
        object: u64,
        /// How often the first site allows a request to be forwarded.
        max_hops: u32,
        /// The sites passed.
        path: Vec<String>,
    },
}

/// The routes of one site, for [`validate_together`].
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SiteRoutes {
    /// The site.
    pub site: String,
    /// Its routes.
    pub rules: Vec<RouteRule>,
    /// How often a request may be forwarded.
    pub max_hops: u32,
}

/// Finds the errors within one site's routes: overlapping rules, next sites that are this site or not peers, and
/// forwarding or copy settings on the site's own objects.
pub fn validate(own_site: &str, peers: &[&str], rules: &[RouteRule]) -> Vec<RouteError> {
    type Matched<'a> = (Option<&'a str>, u64, u32);
    // For each class and prefix: the last group and the index of each rule, keyed by its first group.
    let mut group_ranges: HashMap<Matched<'_>, BTreeMap<u32, (u32, usize)>> = HashMap::new();
    let mut errors = Vec::new();
    for (route, rule) in rules.iter().enumerate() {
        errors.extend(destination_errors(own_site, peers, route, rule));
        let (first, last) = rule.groups;
        if first > last {
            continue;
        }
        let matched = (rule.class.as_deref(), rule.prefix, rule.prefix_digits);
        let ranges = group_ranges.entry(matched).or_default();
        // The earlier ranges are disjoint: only the one that starts last before this range's end can overlap it.
        match ranges.range(..=last).next_back() {
            Some((_, (end, other))) if *end >= first => {
                let fault = RouteFault::Overlap { other: *other };
                errors.push(RouteError { route, field: "prefix", fault });
            }
            _ => {
                ranges.insert(first, (last, route));
            }
        }
    }
    errors
}

/// Finds the errors in the destination and the mode of one rule.
fn destination_errors(own_site: &str, peers: &[&str], route: usize, rule: &RouteRule) -> Vec<RouteError> {
    let mut errors = Vec::new();
    let mut error = |field, fault| errors.push(RouteError { route, field, fault });
    if rule.home == own_site && rule.via.is_some() {
        error("via", RouteFault::ViaForOwnObjects);
    } else if rule.via.as_deref() == Some(own_site) {
        error("via", RouteFault::ViaOwnSite);
    } else if rule.home != own_site && !peers.contains(&rule.next_site()) {
        let field = if rule.via.is_some() { "via" } else { "home" };
        error(field, RouteFault::UnknownPeer { next_site: rule.next_site().to_string() });
    }
    if rule.home == own_site && rule.copies_allowed {
        error("mode", RouteFault::CopiesOfOwnObjects);
    }
    errors
}

/// Follows requests through the routes of several sites. Returns each route on which a request would pass a site twice
/// or exceed the hop limit.
pub fn validate_together(sites: &[SiteRoutes]) -> Vec<ForwardingError> {
    let tables: Vec<RouteTable> =
        sites.iter().map(|site| RouteTable::new(&site.site, site.rules.clone())).collect();
    let mut errors = Vec::new();
    for (site, routes) in sites.iter().enumerate() {
        for (route, rule) in routes.rules.iter().enumerate().filter(|(_, rule)| rule.home != routes.site) {
            if let Some(fault) = first_forwarding_fault(sites, &tables, site, rule) {
                errors.push(ForwardingError { site, route, fault });
            }
        }
    }
    errors
}

/// Follows requests that one rule matches, and returns the first fault. Samples every combination of object and group
/// within the rule at which a rule of any site starts.
fn first_forwarding_fault(
    sites: &[SiteRoutes],
    tables: &[RouteTable],
    start: usize,
    rule: &RouteRule,
) -> Option<ForwardingFault> {
    let all_rules = || sites.iter().flat_map(|site| &site.rules);
    let mut objects: Vec<u64> =
        all_rules().map(|other| other.prefix).filter(|object| rule.contains_object(*object)).collect();
    objects.push(rule.prefix);
    objects.sort_unstable();
    objects.dedup();
    let mut groups: Vec<u32> =
        all_rules().map(|other| other.groups.0).filter(|group| rule.contains_group(*group)).collect();
    groups.push(rule.groups.0);
    groups.sort_unstable();
    groups.dedup();
    let class = rule.class.as_deref().unwrap_or("");
    objects
        .iter()
        .flat_map(|object| groups.iter().map(move |group| (*object, *group)))
        .find_map(|(object, group)| follow(sites, tables, start, class, group, object).err())
}

/// Follows one request from a site until it reaches its home.
fn follow(
    sites: &[SiteRoutes],
    tables: &[RouteTable],
    start: usize,
    class: &str,
    group: u32,
    object: u64,
) -> Result<(), ForwardingFault> {
    let max_hops = sites[start].max_hops;
    let mut visited = vec![start];
    let mut current = start;
    loop {
        let Some(rule) = tables[current].find(class, group, object) else { return Ok(()) };
        let Some(next) = sites.iter().position(|site| site.site == rule.next_site()) else {
            // The routes of that site are not among those to validate.
            return Ok(());
        };
        let is_loop = visited.contains(&next);
        visited.push(next);
        let path = || visited.iter().map(|index| sites[*index].site.clone()).collect();
        if is_loop {
            return Err(ForwardingFault::Loop { object, path: path() });
        }
        if visited.len() > max_hops as usize + 1 {
            return Err(ForwardingFault::TooManyHops { object, max_hops, path: path() });
        }
        current = next;
    }
}
