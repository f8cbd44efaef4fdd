//! The configuration and endpoint list of simulated gateways, as the platform would give them to real ones.

use super::EndpointEntry;
use crate::members::MemberId;
use crate::scenario::Scenario;
use deckproxy::protocol::config::{self, Config};
use deckproxy::protocol::feed::MemberEntry;
use serde_json::{Value, json};
use std::net::{Ipv4Addr, SocketAddr};

/// Answers at full bandwidth that saturate a member's egress link, as the endpoint list states it.
const MEMBER_WEIGHT: f64 = 8.0;
/// The address of member 0; that of each further one is one more.
const FIRST_ADDRESS: u32 = 0x0a00_0000;
/// The port of every member.
const MEMBER_PORT: u16 = 1;

/// The configuration of the gateway at a position of its location.
pub(super) fn configuration(scenario: &Scenario, position: usize) -> Config {
    let members = &scenario.members;
    let configuration = json!({"name": "g", "listen": "127.0.0.1:1", "seed": "1", "feed": "127.0.0.1:2",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "flow_bytes_per_s": members.egress_kb_per_s * 1000.0,
        "link_bytes_per_s": members.parent_link_kb_per_s * 1000.0, "known": {"n": 0, "events": []},
        "settings": settings(scenario, position)});
    config::read(configuration.to_string().as_bytes()).expect("the configuration above is valid")
}

fn settings(scenario: &Scenario, position: usize) -> Value {
    let members = &scenario.members;
    json!({
        "services": services(scenario.load.client_timeout_ms),
        "familyInfo": {"maxAgeMs": [0.0, 0.0, 0.0], "usableAfterMs": [0.0, 0.0, 0.0], "agedWorth": [0.0, 0.0, 0.0],
            "goesThrough": [false, true, true], "shieldKind": 1, "sourceKind": 2, "bypassAllowed": true, "canJoin": true,
            "sideways": "none", "flowKbPerS": members.egress_kb_per_s / MEMBER_WEIGHT,
            "zoneBalancers": [0, scenario.gateways], "inletKbPerS": [0.0, members.parent_link_kb_per_s],
            "obeyAfterMs": 1000.0, "clearedWithinMs": 6000.0, "upperColdFrom": 1.0, "upperColdMs": 1.0,
            "parentFallMultiple": 100.0},
        "rules": {"coldFrom": members.initial_capacity_share, "rampTimeMs": members.warm_up_ms,
            "fallMultiple": members.overload_multiple, "fallMs": members.overload_window_ms, "drainGraceMs": 500.0,
            "answerSlackMs": 8.0},
        "limits": {"sendCap": 6, "secondCopies": false, "cancel": true, "retryAfter": true, "maxRetryAfterMs": 500.0,
            "connIdleMs": 15000.0, "connectTimeoutMs": 400.0, "maxStreams": 100, "maxOpen": 100_000, "probes": true},
        "report": {"fields": ["busy_reqs", "cpu_share"], "via": "answer"},
        "machineTypes": ["box", "parent", "origin"], "zones": ["hub", "edge"], "locality": 1,
        "groupSize": scenario.gateways, "position": position, "discovery": "pushed"
    })
}

/// The settings of each [`Class`](crate::load::Class), in its order.
fn services(deadline_ms: f64) -> Value {
    json!([
        {"name": "page", "aimMs": 500.0, "aimStretch": 2.0, "deadlineMs": deadline_ms, "effect": "retryable",
         "group": "all", "importance": 1.0, "lateShare": 0.2, "dedupWindowMs": 0.0, "stream": false},
        {"name": "post", "aimMs": 800.0, "deadlineMs": deadline_ms, "effect": "dedup", "group": "all",
         "importance": 3.0, "lateShare": 0.0, "dedupWindowMs": 6000.0, "stream": false},
        {"name": "once", "aimMs": 800.0, "deadlineMs": deadline_ms, "effect": "fragile", "group": "all",
         "importance": 3.0, "lateShare": 0.0, "dedupWindowMs": 0.0, "stream": false}
    ])
}

/// An endpoint as the control feed describes it.
pub(super) fn feed_entry(endpoint: &EndpointEntry) -> MemberEntry {
    let kind = if endpoint.is_cache {
        "box"
    } else if endpoint.is_origin {
        "origin"
    } else {
        "parent"
    };
    MemberEntry {
        id: endpoint.name.clone(),
        address: Some(member_address(endpoint.member)),
        zone: if endpoint.is_cache { "edge" } else { "hub" }.into(),
        kind: kind.into(),
        cell: 0,
        lifecycle: endpoint.lifecycle,
        size: MEMBER_WEIGHT,
        started: endpoint.started_unix_ms,
    }
}

fn member_address(member: MemberId) -> SocketAddr {
    (Ipv4Addr::from(FIRST_ADDRESS + member), MEMBER_PORT).into()
}

/// The member with an address of the endpoint list.
pub(super) fn member_at(address: SocketAddr) -> MemberId {
    match address {
        SocketAddr::V4(v4) => u32::from(*v4.ip()) - FIRST_ADDRESS,
        SocketAddr::V6(_) => unreachable!("members have the IPv4 addresses of member_address"),
    }
}
