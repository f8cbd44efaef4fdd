//! Reads the settings of an instance from pairs of key and value: the decision module's settings, and those that only
//! a gateway uses.
//!
//! The simulator sends the pairs as text; a gateway's configuration holds the same keys as JSON, which its
//! decoder flattens to the same pairs. Unknown keys are ignored, and an absent key has a neutral default. Values that
//! [`keys`] does not allow are errors; all of them are reported in one [`SettingsError`].
#![forbid(unsafe_code)]

mod classes;
mod error;
pub mod keys;
mod load_report;
mod values;

pub use error::{InvalidSetting, SettingsError};
pub use load_report::read_load_report;

use classes::{NamedClass, read_classes};
use deckproxy_control::interface::{Class, Settings, Siblings, SlowStart};
use values::Values;

/// Time in ms within which a connection must be established, where the settings omit it.
const DEFAULT_CONNECT_TIMEOUT_MS: f64 = 1000.0;
/// Window in ms in which overload of a member that is warming up is counted, where the settings omit it.
const DEFAULT_OVERLOAD_WINDOW_MS: f64 = 1000.0;
/// Most attempts of one request. Their numbers, from 0, are one byte on the simulator's wire and in a gateway's keys.
const MAX_ATTEMPTS: u32 = 1 << u8::BITS;

/// The settings of one instance.
#[derive(Debug)]
pub struct InstanceSettings {
    /// Settings of the decision module.
    pub settings: Settings,
    /// Names of a load report's values, in order.
    pub report_fields: Vec<String>,
    /// Names of the classes, by position.
    pub classes: Vec<String>,
    /// Names of the zones, by position.
    pub zones: Vec<String>,
    /// Names of the kinds of members, by position.
    pub member_kinds: Vec<String>,
    /// Limits on connections and requests.
    pub limits: Limits,
}

impl InstanceSettings {
    /// The longest deadline of a class, ms.
    pub fn longest_deadline(&self) -> f64 {
        self.settings.classes.iter().map(|class| class.deadline).fold(0.0, f64::max)
    }
}

/// Limits on connections and requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Time in ms after which members close an idle connection; 0: never.
    pub idle_timeout: f64,
    /// Time in ms after which a connection that is not established has failed.
    pub connect_timeout: f64,
    /// Time in ms for which a decision is valid: an attempt that has not begun to be sent by then is not sent. It
    /// is the shortest of the connect timeout and the grace periods of drains and purges, where these are above 0.
    pub unsent_timeout: f64,
    /// Most attempts in flight on one connection, at least 1.
    pub max_streams: usize,
    /// Most requests without a final answer.
    pub max_requests: usize,
    /// Time in ms after a deadline within which a final answer still counts.
    pub answer_slack: f64,
    /// Whether health checks of members are allowed.
    pub health_checks: bool,
}

/// Reads the settings from their text, one `key=value` a line. Lines without `=` are ignored.
///
/// # Errors
/// [`SettingsError`] if a value is invalid.
pub fn read(text: &str) -> Result<InstanceSettings, SettingsError> {
    read_pairs(text.lines().filter_map(|line| line.trim_end_matches('\r').split_once('=')))
}

/// Reads the settings from pairs of key and value.
///
/// # Errors
/// [`SettingsError`] if a value is invalid.
pub fn read_pairs<'a>(
    pairs: impl IntoIterator<Item = (&'a str, &'a str)>,
) -> Result<InstanceSettings, SettingsError> {
    let values = Values::checked(pairs)?;
    let mut class_names = Vec::new();
    let mut classes = Vec::new();
    for NamedClass { name, class } in read_classes(&values)? {
        class_names.push(name);
        classes.push(class);
    }
    Ok(InstanceSettings {
        settings: read_control_settings(&values, classes)?,
        limits: read_limits(&values)?,
        report_fields: values.list("report.fields")?,
        classes: class_names,
        zones: values.list("zones")?,
        member_kinds: values.list("machineTypes")?,
    })
}

fn read_control_settings(values: &Values, classes: Vec<Class>) -> Result<Settings, SettingsError> {
    let siblings = [("none", Siblings::None), ("location", Siblings::Location), ("any", Siblings::Any)];
    // A live weight changes with the load, so hashing and retry budgets can't use it as a capacity.
    let weights = [("nominal", true), ("rough", true), ("none", false), ("live", false)];
    let cache_slow_start = read_cache_slow_start(values)?;
    Ok(Settings {
        classes,
        zone: values.position("locality")?.unwrap_or(0),
        zone_routers: values.list("familyInfo.zoneBalancers")?,
        zone_link_rate: values.list("familyInfo.inletKbPerS")?,
        routers: values.parsed("groupSize")?.unwrap_or(1),
        position: values.position("position")?.unwrap_or(0),
        parent_kind: values.position("familyInfo.shieldKind")?,
        origin_kind: values.position("familyInfo.sourceKind")?,
        cache_bypass: values.flag("familyInfo.bypassAllowed")?,
        join_fills: values.flag("familyInfo.canJoin")?,
        siblings: values.word("familyInfo.sideways", "value", Siblings::None, &siblings)?,
        transfer_rate: values.number("familyInfo.flowKbPerS", 0.0)?,
        weights_are_capacities: values.word("weightKind", "value", true, &weights)?,
        cache_slow_start,
        parent_slow_start: read_parent_slow_start(values, cache_slow_start)?,
        purge_grace: values.number("familyInfo.obeyAfterMs", 0.0)?,
        purge_settle_time: values.number("familyInfo.clearedWithinMs", 0.0)?,
        subscribe_to_member_list: values.text("discovery") == Some("on_request"),
        max_attempts: values.parsed("limits.sendCap")?.unwrap_or(1).min(MAX_ATTEMPTS),
        hedged_requests: values.flag("limits.secondCopies")?,
        cancellation: values.flag("limits.cancel")?,
        retry_after: values.flag("limits.retryAfter")?,
        max_retry_after: values.number("limits.maxRetryAfterMs", 0.0)?,
    })
}

fn read_cache_slow_start(values: &Values) -> Result<SlowStart, SettingsError> {
    Ok(SlowStart {
        initial_share: values.number("rules.coldFrom", 0.0)?,
        duration: values.number("rules.rampTimeMs", 0.0)?,
        overload_multiple: values.number("rules.fallMultiple", 1.0)?,
        overload_window: values.number("rules.fallMs", DEFAULT_OVERLOAD_WINDOW_MS)?,
    })
}

/// Values that the settings omit default to those of the caches.
fn read_parent_slow_start(values: &Values, cache: SlowStart) -> Result<SlowStart, SettingsError> {
    Ok(SlowStart {
        initial_share: values.number("familyInfo.upperColdFrom", cache.initial_share)?,
        duration: values.number("familyInfo.upperColdMs", cache.duration)?,
        overload_multiple: values.number("familyInfo.parentFallMultiple", cache.overload_multiple)?,
        ..cache
    })
}

fn read_limits(values: &Values) -> Result<Limits, SettingsError> {
    let connect_timeout = values.number("limits.connectTimeoutMs", DEFAULT_CONNECT_TIMEOUT_MS)?;
    let drain_grace = values.number("rules.drainGraceMs", 0.0)?;
    let purge_grace = values.number("familyInfo.obeyAfterMs", 0.0)?;
    let graces = [drain_grace, purge_grace].into_iter().filter(|grace| *grace > 0.0);
    Ok(Limits {
        idle_timeout: values.number("limits.connIdleMs", 0.0)?,
        connect_timeout,
        unsent_timeout: graces.fold(connect_timeout, f64::min),
        max_streams: values.parsed("limits.maxStreams")?.unwrap_or(1),
        max_requests: values.parsed("limits.maxOpen")?.unwrap_or(usize::MAX),
        answer_slack: values.number("rules.answerSlackMs", 0.0)?,
        health_checks: values.flag("limits.probes")?,
    })
}
