//! Tests of the router without sockets, with two caches, two parents and an origin.

mod health_checks;
mod list_costs;
mod member_lists;
mod request_invariants;

use deckproxy::protocol::config;
use deckproxy::protocol::feed::{FeedEvent, KnownEvents, Lifecycle, MemberEntry, NumberedEvent};
use deckproxy::routing::Router;
use serde_json::json;

const NOW: f64 = 1_764_576_000_000.0;
const ATTEMPTS: usize = 4;

const MEMBERS: [(&str, &str, &str); 5] = [
    ("s-1", "edge", "box"),
    ("s-2", "edge", "box"),
    ("s-3", "hub", "parent"),
    ("s-4", "hub", "parent"),
    ("s-5", "hub", "origin"),
];

fn entry(at: usize, lifecycle: Lifecycle, started: Option<f64>) -> MemberEntry {
    let (id, zone, kind) = MEMBERS[at];
    MemberEntry {
        id: id.into(),
        address: Some("127.0.0.1:9".parse().unwrap()),
        zone: zone.into(),
        kind: kind.into(),
        cell: 0,
        lifecycle,
        size: 20.0,
        started,
    }
}

fn numbered(number: u64, event: FeedEvent) -> NumberedEvent {
    NumberedEvent { number, event }
}

fn router() -> Router {
    router_with_health_checks(false)
}

fn router_with_health_checks(allowed: bool) -> Router {
    let class = |name: &str, effect: &str| {
        json!({"name": name, "aimMs": 500.0, "deadlineMs": 1500.0, "effect": effect, "group": "all",
            "dedupWindowMs": 1000.0})
    };
    let config = json!({
        "listen": "127.0.0.1:1", "seed": "1",
        "settings": {
            "services": [class("page", "retryable"), class("post", "dedup"), class("once", "fragile")],
            "familyInfo": {"goesThrough": [false, true, true], "shieldKind": 1, "sourceKind": 2,
                "bypassAllowed": true, "canJoin": true, "flowKbPerS": 1000.0, "zoneBalancers": [0, 1],
                "clearedWithinMs": 6000.0, "obeyAfterMs": 1000.0, "upperColdFrom": 0.1, "upperColdMs": 5000.0},
            "rules": {"answerSlackMs": 8.0, "coldFrom": 0.2, "rampTimeMs": 5000.0, "fallMultiple": 3.0},
            "limits": {"sendCap": ATTEMPTS, "cancel": true, "connectTimeoutMs": 400.0, "retryAfter": true,
                "maxRetryAfterMs": 500.0, "probes": allowed},
            "machineTypes": ["box", "parent", "origin"], "zones": ["hub", "edge"], "locality": 1, "groupSize": 1
        }
    });
    let config = config::read(config.to_string().as_bytes()).unwrap();
    let entries = (0..MEMBERS.len()).map(|at| entry(at, Lifecycle::Ready, None)).collect();
    Router::new(
        NOW,
        config.settings,
        config.seed,
        KnownEvents {
            last: 1,
            events: vec![NumberedEvent {
                number: 1,
                event: FeedEvent::Members { complete: true, entries, unreadable: 0 },
            }],
        },
    )
}
