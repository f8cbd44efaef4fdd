//! The drill of the gateway between sites: two sites whose link is cut, purges on both sides, drains, restarts.

mod faults;
mod spoil;
mod timeline;

use super::{Options, Report};
use crate::traffic;
use deckproxy_standins::link_relay::LinkRelay;
use deckproxy_standins::load_client::{Load, LoadClients};
use deckproxy_standins::record::Record;
use deckproxy_standins::rules::{self, Verdict};
use deckproxy_standins::site::{Site, SiteConfig};
use deckproxy_standins::{Gateway, free_address, until};
use faults::FaultSchedule;
use serde_json::json;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Objects of each site.
const OBJECTS: usize = 400;
/// Requests a second of each site's clients.
const RATE: f64 = 120.0;
/// Clients of each site.
const CLIENTS: usize = 6;
/// Share of the requests that are for objects of the other site.
const CROSS_SITE_SHARE: f64 = 0.5;
/// Share of the requests that have an effect.
const WRITE_SHARE: f64 = 0.1;
/// One-way delay of a link.
const LINK_DELAY: Duration = Duration::from_millis(4);
/// Share of the requests for objects of the client's own site that has to be served.
const LEAST_HOME_SERVED: f64 = 0.95;
/// Share of the requests for objects of the other site that has to be served, the cuts notwithstanding.
const LEAST_CROSS_SITE_SERVED: f64 = 0.75;
/// The sites' names, in the order of their numbers.
const NAMES: [&str; 2] = ["north", "south"];

/// The operator file of a site's gateway.
fn operator_file(site: usize, listen: SocketAddr, peer: SocketAddr) -> String {
    let (name, other) = (NAMES[site], 1 - site);
    let other_name = NAMES[other];
    // Of the other site's objects, those whose second digit is 0 to 3 may be copied here.
    let copies: Vec<String> = (0..4)
        .map(|digit| {
            format!(
                "routes {{ class: \"page\" prefix: \"{other}{digit}\" home: \"{other_name}\" mode: COPIES }}"
            )
        })
        .collect();
    format!(
        "sites {{\n name: \"{name}\"\n listen: \"{listen}\"\n \
         peers {{ site: \"{other_name}\" addresses: \"{peer}\" }}\n \
         routes {{ prefix: \"{other}\" home: \"{other_name}\" }}\n {}\n \
         trust {{ known_ms: 3600000 }}\n}}\n",
        copies.join("\n ")
    )
}

/// A site's gateway, with what it takes to start it again.
struct SiteGateway {
    site: Arc<Site>,
    listen: SocketAddr,
    operator_file: String,
    gateway: Gateway,
}

impl SiteGateway {
    fn start(site: &Arc<Site>, listen: SocketAddr, operator_file: String) -> Self {
        let gateway = site.gateway(NAMES[site.number as usize], listen, Some(&operator_file));
        SiteGateway { site: site.clone(), listen, operator_file, gateway }
    }

    fn start_again(&mut self) {
        let name = NAMES[self.site.number as usize];
        self.gateway = self.site.gateway(name, self.listen, Some(&self.operator_file));
    }

    /// Ends the gateway, and gives what is wrong with the way in which it ended.
    fn end(&mut self, prints_log: bool) -> Vec<String> {
        self.gateway.signal("TERM");
        let code = self.gateway.wait_for_exit();
        let log = self.gateway.log();
        if prints_log {
            eprintln!("{log}");
        }
        let mut broken = Vec::new();
        if code != Some(0) {
            broken.push(format!("a gateway ended with {code:?}: {log}"));
        }
        if log.contains("broken invariant") || log.contains("panicked") {
            broken.push(format!("a gateway's own checks failed: {log}"));
        }
        broken
    }
}

/// Runs the drill.
pub fn run(options: &Options) -> Report {
    let prints_logs = std::env::var_os("DECKLAB_LOGS").is_some();
    let record = Record::default();
    let sites: Vec<Arc<Site>> = (0..2).map(|n| Arc::new(start_site(n, &record))).collect();
    let link_addresses = [free_address(), free_address()];
    // The link that a site opens goes through a relay to the other's gateway.
    let links = [LinkRelay::to(link_addresses[1]), LinkRelay::to(link_addresses[0])];
    for link in &links {
        link.set_delay(LINK_DELAY);
    }
    let mut gateways: Vec<SiteGateway> = (0..2)
        .map(|n| {
            let operator_file = operator_file(n, link_addresses[n], links[n].address);
            SiteGateway::start(&sites[n], free_address(), operator_file)
        })
        .collect();
    until("the links are up", || gateways.iter().all(|g| g.gateway.log().contains(": up;")));
    let clients: Vec<LoadClients> =
        (0..2).map(|n| start_clients(n, gateways[n as usize].listen, options.seed, &record)).collect();
    let length = Duration::from_secs(options.seconds);
    let restarts = FaultSchedule::new(options.seed, length, &record, &sites, &links, &mut gateways).run();
    clients.into_iter().for_each(LoadClients::finish);
    let mut broken: Vec<String> = gateways.iter_mut().flat_map(|gateway| gateway.end(prints_logs)).collect();
    let end = record.now();
    let mut facts = record.take();
    if let Some(kind) = options.spoil {
        spoil::spoil(&mut facts, kind);
    }
    let verdict = rules::judge(&facts, rules::RuleLimits::default(), end);
    broken.extend(missed_shares(&verdict));
    if prints_logs {
        timeline::print(&facts, end);
    }
    let cut_share = timeline::cut_duration(&facts, end) / end;
    Report {
        figures: json!({"cut_share": super::round(cut_share), "restarts": restarts, "attempts": verdict.attempts,
            "hits": verdict.hits, "fills": verdict.fills}),
        verdict,
        broken,
    }
}

fn start_site(number: u32, record: &Record) -> Site {
    Site::start(number, SiteConfig { purge_delay_ms: 2000, ..SiteConfig::default() }, record)
}

fn start_clients(site: u32, gateway: SocketAddr, seed: u64, record: &Record) -> LoadClients {
    let requests = traffic::requests(site, 2, OBJECTS, CROSS_SITE_SHARE, WRITE_SHARE);
    let seed = seed ^ u64::from(site) << 32;
    LoadClients::start(&Load::new(site, gateway, CLIENTS, RATE, seed, &requests), record)
}

/// The promised shares of served requests that were not reached.
fn missed_shares(verdict: &Verdict) -> Vec<String> {
    let promises = [
        ("requests for own objects", verdict.home_served_share, LEAST_HOME_SERVED),
        ("crossing requests", verdict.cross_site_served_share, LEAST_CROSS_SITE_SERVED),
    ];
    let missed = promises.into_iter().filter(|(_, share, least)| share < least);
    missed
        .map(|(what, share, least)| format!("{share:.3} of the {what} were served; {least} are promised"))
        .collect()
}
