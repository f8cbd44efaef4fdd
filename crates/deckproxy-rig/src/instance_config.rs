//! The configuration and the operator file of an instance.

use crate::plan::{OverloadControl, Plan};
use crate::relay::Relays;
use deckproxy_standins::site::{Site, zone_name};
use serde_json::{Value, json};
use std::collections::HashMap;
use std::net::SocketAddr;

/// Zone of the members that belong to no zone of caches.
const HUB: &str = "hub";
/// Inflow of a zone, KB a second: never scarce.
const INLET_KB_PER_S: f64 = 1e6;
/// Sockets of an instance, and the largest Retry-After, ms, where clients come as an open loop.
const OPEN_LOOP_SOCKETS: u32 = 4096;
/// See `OPEN_LOOP_SOCKETS`.
const OPEN_LOOP_MAX_RETRY_AFTER_MS: f64 = 2000.0;

/// Addresses at which an instance reaches members, where they are not the members' own.
pub(crate) type MemberAddresses = HashMap<String, SocketAddr>;

/// Changes the members' addresses in an event of the feed to those at which an instance reaches them.
pub(crate) fn readdress(event: &Value, addresses: &MemberAddresses) -> Value {
    let mut event = event.clone();
    let members = event["members"]["members"].as_array_mut();
    for member in members.into_iter().flatten() {
        if let Some(address) = member["id"].as_str().and_then(|id| addresses.get(id)) {
            member["host_port"] = json!(address.to_string());
        }
    }
    event
}

/// The configuration of an instance: that of the site, with the zones of the plan and the instance's place in them.
pub(crate) fn config(
    plan: &Plan,
    index: usize,
    site: &Site,
    listen: SocketAddr,
    addresses: &MemberAddresses,
) -> Value {
    let mut config = site.config(&format!("i{index}"), listen);
    let zones = (0..plan.zones).map(|zone| zone_name(plan.zones, zone));
    let zones: Vec<String> = std::iter::once(HUB.to_string()).chain(zones).collect();
    let in_zone = |zone: usize| (0..plan.instances).filter(|i| i % plan.zones == zone).count();
    let instances: Vec<usize> = std::iter::once(0).chain((0..plan.zones).map(in_zone)).collect();
    let inlets: Vec<f64> = std::iter::once(0.0).chain((0..plan.zones).map(|_| INLET_KB_PER_S)).collect();
    let settings = &mut config["settings"];
    settings["zones"] = json!(zones);
    settings["locality"] = json!(1 + index % plan.zones);
    settings["groupSize"] = json!(plan.instances);
    settings["position"] = json!(index);
    settings["familyInfo"]["zoneBalancers"] = json!(instances);
    settings["familyInfo"]["inletKbPerS"] = json!(inlets);
    if plan.open_loop {
        settings["limits"]["maxRetryAfterMs"] = json!(OPEN_LOOP_MAX_RETRY_AFTER_MS);
        config["limits"]["sockets"] = json!(OPEN_LOOP_SOCKETS);
    }
    let events = config["known"]["events"].as_array().into_iter().flatten();
    let events: Vec<Value> = events.map(|event| readdress(event, addresses)).collect();
    config["known"]["events"] = json!(events);
    config
}

/// The operator file of an instance whose datagram socket is at `listen`; empty where the plan has no fleet.
pub(crate) fn operator_file(plan: &Plan, index: usize, relays: &Relays, listen: SocketAddr) -> String {
    if !plan.fleet {
        return String::new();
    }
    let name = format!("i{index}");
    let (fleet, size) = if plan.isolated { (name.as_str(), 1) } else { ("rig", plan.instances) };
    // An isolated instance knows no other one as a seed.
    let known = if plan.isolated { &relays.addresses[index..=index] } else { &relays.addresses[..] };
    let seeds: Vec<String> = known.iter().take(2).map(|address| format!("\"{address}\"")).collect();
    let observers = if plan.isolated { " observers: 1" } else { "" };
    // 64 KB a second: what the instances of a site exchange about 1,000 requests a second.
    let overload = match plan.overload_control {
        OverloadControl::Fleet => "kb_per_s: 64 overload { } ",
        OverloadControl::Off | OverloadControl::PerInstance => "",
    };
    let recovery = match plan.overload_control {
        OverloadControl::PerInstance => "recovery { client: ADDRESS }\n",
        OverloadControl::Off | OverloadControl::Fleet => "",
    };
    format!(
        "fleet {{\n name: \"{fleet}\" listen: \"{listen}\" address: \"{}\" seeds: [{}]\n prefixes: \"127.0.0.0/8\" \
         instance: \"{name}\" instances: {size}\n {overload}probes {{{observers} interval_ms: {} }}\n}}\n{recovery}",
        relays.addresses[index],
        seeds.join(", "),
        plan.health_check_interval_ms
    )
}
