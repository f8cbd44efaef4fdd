//! The gateway between sites: the cost of crossing, flow control of bodies, collapsing of requests, recovery after a cut,
//! memory of open requests.

mod collapsing;
mod crossing;
mod flow_control;
mod memory;
mod recovery;

use super::Options;
use crate::traffic;
use deckproxy_standins::link_relay::LinkRelay;
use deckproxy_standins::load_client::{Load, LoadClients, RequestGenerator, RequestSpec};
use deckproxy_standins::record::{Record, Seen};
use deckproxy_standins::rules::{self, Verdict};
use deckproxy_standins::site::{Site, SiteConfig, object_size};
use deckproxy_standins::{Gateway, free_address, until};
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// The largest size of an object that counts as small, bytes, exclusive.
const SMALL_BYTES: usize = 8000;
/// Time that a client gives a request, ms.
const TIMEOUT_MS: u32 = 1400;
/// Clients of the north under load.
const CLIENTS: usize = 16;

/// Runs all parts.
pub fn run(options: &Options) {
    crossing::run(options);
    flow_control::run(options);
    collapsing::run();
    recovery::run(options);
    memory::run();
}

/// Which way the north's link takes.
#[derive(Clone, Copy, PartialEq, Eq)]
enum LinkPath {
    /// Straight to the south's gateway.
    Direct,
    /// Through a relay that can cut and throttle it.
    Relayed,
}

/// A northern and a southern site, each with its gateway, and a link from the north to the south.
struct SitePair {
    record: Record,
    sites: [Arc<Site>; 2],
    gateways: [Gateway; 2],
    /// Where clients connect.
    addresses: [SocketAddr; 2],
    relay: LinkRelay,
}

/// The results of one load.
struct LoadResult {
    verdict: Verdict,
    facts: Vec<Seen>,
    /// CPU time of the north's and the south's gateway, ms.
    cpu_ms: [u64; 2],
}

impl SitePair {
    /// Starts both. `link_settings`: fields of the operator file's `link` message.
    fn start(link_settings: &str, path: LinkPath) -> Self {
        let record = Record::default();
        let sites = [0, 1].map(|n| Arc::new(Site::start(n, SiteConfig::default(), &record)));
        let addresses = [free_address(), free_address()];
        let [north, south] = [free_address(), free_address()];
        let relay = LinkRelay::to(south);
        let peer = if path == LinkPath::Direct { south } else { relay.address };
        let operator_files = [
            format!(
                "sites {{ name: \"north\" listen: \"{north}\" peers {{ site: \"south\" addresses: \"{peer}\" }} \
                 routes {{ prefix: \"1\" home: \"south\" }} link {{ {link_settings} }} trust {{ when_cut: SERVE }} }}"
            ),
            format!("sites {{ name: \"south\" listen: \"{south}\" link {{ {link_settings} }} }}"),
        ];
        let start =
            |n: usize| sites[n].gateway(["north", "south"][n], addresses[n], Some(&operator_files[n]));
        let gateways = [start(0), start(1)];
        until("the link is up", || gateways[0].log().contains("link to south (0): up"));
        SitePair { record, sites, gateways, addresses, relay }
    }

    fn cpu_ms(&self) -> [u64; 2] {
        self.gateways.each_ref().map(Gateway::cpu_ms)
    }

    /// Has clients of the north send `rate` requests a second for the seconds of the options.
    fn load(&self, options: &Options, rate: f64, requests: &RequestGenerator) -> LoadResult {
        let before = self.cpu_ms();
        let load = Load::new(0, self.addresses[0], CLIENTS, rate, options.seed, requests);
        let clients = LoadClients::start(&load, &self.record);
        thread::sleep(Duration::from_secs(options.seconds));
        clients.finish();
        let after = self.cpu_ms();
        let facts = self.record.take();
        LoadResult {
            verdict: rules::judge(&facts, rules::RuleLimits::default(), self.record.now()),
            facts,
            cpu_ms: [after[0] - before[0], after[1] - before[1]],
        }
    }
}

/// A read of an object.
fn page(object: u64, home_site: u32) -> RequestSpec {
    RequestSpec { class: "page", object, group: traffic::group(object), home_site, timeout_ms: TIMEOUT_MS }
}

fn is_small(object: u64) -> bool {
    object_size(object) < SMALL_BYTES
}
