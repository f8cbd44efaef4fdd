//! Errors in routes: within one site's rules, and between the rules of several sites.

use super::rule::RouteRule;
use super::table::RouteTable;
use std::collections::{BTreeMap, HashMap};

/// An error in a route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteError {
    /// Index of the route in the list.
    pub route: usize,
    /// The field of the operator file.
    pub field: &'static str,
    /// What is wrong.
    pub message: String,
}

/// The routes of one site, for [`validate_together`].
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SiteRoutes {
    /// The site.
    pub site: String,
    /// Its routes.
    pub rules: Vec<RouteRule>,
    /// Sites that a request may pass.
    pub max_hops: u32,
}

/// Finds the errors within one site's routes: rules that match the same requests, sites without a link, routes that
/// lead back to this site.
pub fn validate(own_site: &str, peers: &[&str], rules: &[RouteRule]) -> Vec<RouteError> {
    type Matched<'a> = (Option<&'a str>, u64, u32);
    // By class and prefix: the last group and the index of each rule, by its first group.
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
                let message = format!("matches the same as sites.routes[{other}]");
                errors.push(RouteError { route, field: "prefix", message });
            }
            _ => {
                ranges.insert(first, (last, route));
            }
        }
    }
    errors
}

/// Errors in where one rule leads.
fn destination_errors(own_site: &str, peers: &[&str], route: usize, rule: &RouteRule) -> Vec<RouteError> {
    let mut errors = Vec::new();
    let mut error = |field, message: String| errors.push(RouteError { route, field, message });
    if rule.home == own_site && rule.via.is_some() {
        error("via", "this site's own objects need no way".to_string());
    } else if rule.via.as_deref() == Some(own_site) {
        error("via", "the way comes back to this site".to_string());
    } else if rule.home != own_site && !peers.contains(&rule.next_site()) {
        let field = if rule.via.is_some() { "via" } else { "home" };
        error(field, format!("no peer is named {:?}", rule.next_site()));
    }
    if rule.home == own_site && rule.copies_allowed {
        error("mode", "COPIES is for another site's objects".to_string());
    }
    errors
}

/// Follows requests through the routes of several sites. Returns, with the index of the site, each route on which a
/// request would pass a site twice or take too many hops.
pub fn validate_together(sites: &[SiteRoutes]) -> Vec<(usize, String)> {
    let tables: Vec<RouteTable> =
        sites.iter().map(|site| RouteTable::new(&site.site, site.rules.clone())).collect();
    let mut errors = Vec::new();
    for (start, site) in sites.iter().enumerate() {
        for (route, rule) in site.rules.iter().enumerate().filter(|(_, rule)| rule.home != site.site) {
            if let Some(message) = first_misrouted(sites, &tables, start, rule) {
                errors.push((start, format!("sites.routes[{route}]: {message}")));
            }
        }
    }
    errors
}

/// Follows requests that one rule matches. Samples every combination of object and group at which any site's routes
/// change within the rule, and returns the first error.
fn first_misrouted(
    sites: &[SiteRoutes],
    tables: &[RouteTable],
    start: usize,
    rule: &RouteRule,
) -> Option<String> {
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
) -> Result<(), String> {
    let max_hops = sites[start].max_hops;
    let mut visited = vec![start];
    let mut current = start;
    loop {
        let Some(rule) = tables[current].find(class, group, object) else { return Ok(()) };
        let Some(next) = sites.iter().position(|site| site.site == rule.next_site()) else {
            // The routes of that site were not given.
            return Ok(());
        };
        let names = visited.iter().chain([&next]).map(|index| &*sites[*index].site);
        let path = names.collect::<Vec<_>>().join(" > ");
        if visited.contains(&next) {
            return Err(format!("object {object:016x} goes round: {path}"));
        }
        visited.push(next);
        if visited.len() > max_hops as usize + 1 {
            return Err(format!("object {object:016x} takes over {max_hops} hops: {path}"));
        }
        current = next;
    }
}
