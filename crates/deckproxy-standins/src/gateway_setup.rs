//! The configuration with which a test starts a gateway.

use crate::client::Client;
use crate::gateway::Gateway;
use crate::wait::{free_address, until};
use serde_json::json;
use std::net::{SocketAddr, TcpStream};

/// The platform's settings in `GW_CONFIG` that tests start from.
pub fn settings() -> serde_json::Value {
    json!({
        "services": [
            {"name": "page", "aimMs": 600.0, "aimStretch": 2.0, "deadlineMs": 1500.0, "effect": "retryable",
             "group": "all", "importance": 1.0, "lateShare": 0.2, "dedupWindowMs": 0.0, "stream": false},
            {"name": "post", "aimMs": 800.0, "deadlineMs": 1500.0, "effect": "dedup", "group": "all",
             "importance": 3.0, "lateShare": 0.0, "dedupWindowMs": 6000.0, "stream": false},
            {"name": "once", "aimMs": 800.0, "deadlineMs": 1500.0, "effect": "fragile", "group": "all",
             "importance": 3.0, "lateShare": 0.0, "dedupWindowMs": 0.0, "stream": false}
        ],
        "familyInfo": {"maxAgeMs": [0.0, 0.0, 0.0], "usableAfterMs": [0.0, 0.0, 0.0],
            "agedWorth": [0.0, 0.0, 0.0], "goesThrough": [false, true, true], "shieldKind": 1, "sourceKind": 2,
            "bypassAllowed": true, "canJoin": true, "sideways": "none", "flowKbPerS": 1000.0,
            "zoneBalancers": [0, 1], "inletKbPerS": [0.0, 1_000_000.0], "obeyAfterMs": 500.0,
            "clearedWithinMs": 6000.0, "upperColdFrom": 0.1, "upperColdMs": 5000.0, "parentFallMultiple": 2.0},
        "rules": {"coldFrom": 0.2, "rampTimeMs": 5000.0, "fallMultiple": 3.0, "fallMs": 1000.0,
            "drainGraceMs": 500.0, "answerSlackMs": 8.0},
        "limits": {"sendCap": 6, "secondCopies": false, "cancel": true, "retryAfter": true,
            "maxRetryAfterMs": 500.0, "connIdleMs": 15000.0, "connectTimeoutMs": 400.0, "maxStreams": 100,
            "maxOpen": 20000, "probes": true},
        "report": {"fields": ["busy_reqs", "x1"], "via": "probe"},
        "machineTypes": ["box", "parent", "origin"], "zones": ["hub", "edge"], "locality": 1,
        "groupSize": 1, "position": 0, "discovery": "pushed"
    })
}

/// The configuration of a gateway; a test changes the fields that it is about.
pub struct Setup {
    /// The platform's settings.
    pub settings: serde_json::Value,
    /// The events of the control feed that the gateway knows from its start.
    pub events: Vec<serde_json::Value>,
    /// The control feed's address.
    pub feed: SocketAddr,
    /// Where the gateway listens.
    pub listen: SocketAddr,
    /// Limit of its sockets.
    pub sockets: u64,
    /// The text of its operator file, if it has one.
    pub operator: Option<String>,
    /// Limit of its memory, MB.
    pub memory_mb: u64,
}

impl Setup {
    /// A gateway that knows these member entries, and whose control feed does not answer.
    pub fn knowing(entries: &[serde_json::Value]) -> Self {
        Setup {
            settings: settings(),
            events: vec![complete_member_list(entries)],
            feed: free_address(),
            listen: free_address(),
            sockets: 1024,
            operator: None,
            memory_mb: 192,
        }
    }

    /// The configuration as `GW_CONFIG` has it.
    pub fn config(&self) -> serde_json::Value {
        json!({"name": "n1", "listen": self.listen.to_string(), "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": self.memory_mb, "sockets": self.sockets},
            "feed": self.feed.to_string(), "flow_bytes_per_s": 310_000, "link_bytes_per_s": 1_240_000,
            "known": {"n": self.events.len(), "events": self.events}, "settings": self.settings})
    }

    /// Starts the gateway and waits until it is ready.
    ///
    /// # Panics
    /// If it isn't ready in time.
    pub fn start(&self) -> Gateway {
        self.start_limited("true")
    }

    /// Starts the gateway after a shell command that sets its limits (such as `ulimit -n 32`), and waits until it is
    /// ready.
    ///
    /// # Panics
    /// If it isn't ready in time.
    pub fn start_limited(&self, limit: &str) -> Gateway {
        let gateway = match &self.operator {
            None => Gateway::spawn_limited(&self.config().to_string(), self.listen, limit),
            Some(text) => Gateway::spawn_with_operator(&self.config().to_string(), self.listen, limit, text),
        };
        until("the gateway is ready", || TcpStream::connect(self.listen).is_ok());
        Client::connect(self.listen).expect_ready();
        gateway
    }
}

/// The first event of a control feed: the complete member list.
pub fn complete_member_list(entries: &[serde_json::Value]) -> serde_json::Value {
    json!({"n": 1, "members": {"revision": 1, "complete": true, "members": entries}})
}
