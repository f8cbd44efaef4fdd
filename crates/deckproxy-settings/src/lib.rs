//! The one reader of settings: `path=value` pairs to the module's settings and what a gateway needs beside
//! them. The simulator sends the pairs as text; a gateway's configuration holds the same object as JSON, which
//! its decoder flattens to the same pairs. Unknown keys are ignored.
//!
//! Where a key may be absent, a neutral value stands in; a value outside what [`keys`] allows is an error, and all
//! of them are told at once.
#![forbid(unsafe_code)]

pub mod keys;

use deckproxy_control::interface::{Class, Group, Idempotency, LoadReport, Settings, Siblings, SlowStart};
use std::collections::BTreeMap;
use std::str::FromStr;

/// What one instance's settings give: the module's part, and the names of the load report's values.
#[derive(Debug)]
pub struct Conf {
    /// For the module.
    pub settings: Settings,
    /// Names of the values of a load report, in order.
    pub report: Vec<String>,
    /// Names of the classes, by position.
    pub classes: Vec<String>,
    /// Names of the zones, by position.
    pub zones: Vec<String>,
    /// Names of the kinds of members, by position.
    pub kinds: Vec<String>,
    /// Limits on connections and requests.
    pub limits: Limits,
}

/// Limits that whoever holds the connections keeps.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Members close connections that have been idle for so long, ms; 0: never.
    pub idle: f64,
    /// A connection that is not up by then failed, ms.
    pub connect: f64,
    /// What was decided on drains and purges holds for a send that begins within this span, ms: the shortest of
    /// their graces and of the time for a connection.
    pub unsent: f64,
    /// Attempts that one connection carries together.
    pub streams: usize,
    /// Requests that may be open.
    pub open: usize,
    /// Span after a deadline within which a final answer still counts, ms.
    pub slack: f64,
    /// Members may be probed.
    pub probes: bool,
}

/// Reads the values of a load report by their names. The settings and the sockets' page have each their own.
pub fn load<'a>(values: impl IntoIterator<Item = (&'a str, f64)>) -> Option<LoadReport> {
    let mut load = None::<LoadReport>;
    for (name, value) in values {
        let load = load.get_or_insert_default();
        match name {
            "busy_reqs" | "inflight" => load.in_flight = Some(value),
            "x1" => load.link = Some(value),
            "cpu_share" | "util" => load.busy_share = Some(value),
            _ => {}
        }
    }
    load
}

struct Text<'a>(BTreeMap<&'a str, &'a str>);

impl<'a> Text<'a> {
    fn get(&self, key: &str) -> Option<&'a str> {
        self.0.get(key).copied().filter(|v| !v.is_empty())
    }
    fn parse<T: FromStr>(&self, key: &str) -> Result<Option<T>, String> {
        self.get(key).map(|v| v.parse().map_err(|_| format!("setting {key}: cannot read {v:?}"))).transpose()
    }
    fn number(&self, key: &str, neutral: f64) -> Result<f64, String> {
        match self.parse::<f64>(key)? {
            Some(x) if x.is_finite() => Ok(x),
            Some(_) => Err(format!("setting {key}: not a finite number")),
            None => Ok(neutral),
        }
    }
    fn flag(&self, key: &str) -> Result<bool, String> {
        Ok(self.parse::<bool>(key)?.unwrap_or(false))
    }
    fn list<T: FromStr>(&self, key: &str) -> Result<Vec<T>, String> {
        let Some(text) = self.get(key) else { return Ok(Vec::new()) };
        text.split(',')
            .map(|v| v.parse().map_err(|_| format!("setting {key}: cannot read {v:?} in {text:?}")))
            .collect()
    }
    /// A position in a list of names; absent or negative: none.
    fn position(&self, key: &str) -> Result<Option<u32>, String> {
        Ok(self.parse::<i64>(key)?.and_then(|n| u32::try_from(n).ok()))
    }
}

/// Reads the settings from their text, one `path=value` a line.
pub fn read(conf: &str) -> Result<Conf, String> {
    read_pairs(conf.lines().filter_map(|line| line.trim_end_matches('\r').split_once('=')))
}

/// Reads the settings from pairs of path and value.
pub fn read_pairs<'a>(pairs: impl IntoIterator<Item = (&'a str, &'a str)>) -> Result<Conf, String> {
    let text = Text(pairs.into_iter().collect());
    let faults: Vec<String> = text
        .0
        .iter()
        .filter_map(|(key, value)| keys::fault(key, value).map(|what| format!("setting {key}: {what}")))
        .collect();
    if !faults.is_empty() {
        return Err(faults.join("; "));
    }
    let count: usize = text.parse("services.count")?.unwrap_or(0);
    let fresh: Vec<f64> = text.list("familyInfo.maxAgeMs")?;
    let grace: Vec<f64> = text.list("familyInfo.usableAfterMs")?;
    let stale: Vec<f64> = text.list("familyInfo.agedWorth")?;
    let write: Vec<bool> = text.list("familyInfo.goesThrough")?;
    let mut classes = Vec::new();
    let mut names = Vec::new();
    for i in 0..count {
        let key = |name: &str| format!("services.{i}.{name}");
        let aim = text.number(&key("aimMs"), 0.0)?;
        names.push(text.get(&key("name")).unwrap_or_default().to_string());
        classes.push(Class {
            latency_objective: aim,
            latency_objective_stretch: text.number(&key("aimStretch"), 0.0)?,
            deadline: text.number(&key("deadlineMs"), aim)?,
            priority_weight: text.number(&key("importance"), 1.0)?,
            late_weight_share: text.number(&key("lateShare"), 0.0)?,
            idempotency: match text.get(&key("effect")) {
                Some("retryable") => Idempotency::Idempotent,
                Some("dedup") => Idempotency::Keyed,
                // The careful reading where nothing is told.
                Some("fragile") | None => Idempotency::NotIdempotent,
                Some(other) => return Err(format!("setting {}: unknown effect {other:?}", key("effect"))),
            },
            group: match text.get(&key("group")) {
                Some("all") | None => Group::All,
                Some("zone") => Group::Zone,
                Some("cell") => Group::Cell,
                Some(other) => return Err(format!("setting {}: unknown group {other:?}", key("group"))),
            },
            dedup_window: text.number(&key("dedupWindowMs"), 0.0)?,
            freshness_lifetime: fresh.get(i).copied().unwrap_or(0.0),
            stale_lifetime: grace.get(i).copied().unwrap_or(0.0),
            stale_weight_share: stale.get(i).copied().unwrap_or(0.0),
            write: write.get(i).copied().unwrap_or(false),
            stream: text.flag(&key("stream"))?,
        });
    }
    let rule = |initial_share: &str, duration: &str, multiple: &str| -> Result<SlowStart, String> {
        let cache = SlowStart {
            initial_share: text.number("rules.coldFrom", 0.0)?,
            duration: text.number("rules.rampTimeMs", 0.0)?,
            overload_multiple: text.number("rules.fallMultiple", 1.0)?,
            overload_window: text.number("rules.fallMs", 1000.0)?,
        };
        Ok(SlowStart {
            initial_share: text.number(initial_share, cache.initial_share)?,
            duration: text.number(duration, cache.duration)?,
            overload_multiple: text.number(multiple, cache.overload_multiple)?,
            ..cache
        })
    };
    let settings = Settings {
        classes,
        zone: text.position("locality")?.unwrap_or(0),
        zone_routers: text.list("familyInfo.zoneBalancers")?,
        zone_link_rate: text.list("familyInfo.inletKbPerS")?,
        routers: text.parse("groupSize")?.unwrap_or(1),
        position: text.position("position")?.unwrap_or(0),
        parent_kind: text.position("familyInfo.shieldKind")?,
        origin_kind: text.position("familyInfo.sourceKind")?,
        cache_bypass: text.flag("familyInfo.bypassAllowed")?,
        join_fills: text.flag("familyInfo.canJoin")?,
        siblings: match text.get("familyInfo.sideways") {
            None | Some("none") => Siblings::None,
            Some("location") => Siblings::Location,
            Some("any") => Siblings::Any,
            Some(other) => return Err(format!("setting familyInfo.sideways: unknown value {other:?}")),
        },
        transfer_rate: text.number("familyInfo.flowKbPerS", 0.0)?,
        weights_are_sizes: match text.get("weightKind") {
            None | Some("nominal" | "rough") => true,
            // A size over what is held changes all the time: no size to hash or to budget by.
            Some("none" | "live") => false,
            Some(other) => return Err(format!("setting weightKind: unknown value {other:?}")),
        },
        cache_slow_start: rule("rules.coldFrom", "rules.rampTimeMs", "rules.fallMultiple")?,
        parent_slow_start: rule(
            "familyInfo.upperColdFrom",
            "familyInfo.upperColdMs",
            "familyInfo.parentFallMultiple",
        )?,
        purge_grace: text.number("familyInfo.obeyAfterMs", 0.0)?,
        purge_settle_time: text.number("familyInfo.clearedWithinMs", 0.0)?,
        poll_member_list: text.get("discovery") == Some("on_request"),
        max_attempts: text.parse("limits.sendCap")?.unwrap_or(1),
        hedged_requests: text.flag("limits.secondCopies")?,
        cancellation: text.flag("limits.cancel")?,
        retry_after: text.flag("limits.retryAfter")?,
        max_retry_after: text.number("limits.maxRetryAfterMs", 0.0)?,
    };
    let streams = text.parse("limits.maxStreams")?.unwrap_or(1);
    let connect = text.number("limits.connectTimeoutMs", 1000.0)?;
    let graces = [text.number("rules.drainGraceMs", 0.0)?, text.number("familyInfo.obeyAfterMs", 0.0)?];
    let limits = Limits {
        idle: text.number("limits.connIdleMs", 0.0)?,
        connect,
        unsent: graces.into_iter().filter(|span| *span > 0.0).fold(connect, f64::min),
        streams,
        open: text.parse("limits.maxOpen")?.unwrap_or(usize::MAX),
        slack: text.number("rules.answerSlackMs", 0.0)?,
        probes: text.flag("limits.probes")?,
    };
    Ok(Conf {
        settings,
        report: text.list("report.fields")?,
        classes: names,
        zones: text.list("zones")?,
        kinds: text.list("machineTypes")?,
        limits,
    })
}
